//! Decision core of configuration.
//!
//! Accepted records live in the platform's store. A few nodes watch it; the
//! records spread from node to node by push, and each node pulls periodically
//! what it missed. A node applies only higher revisions.
//!
//! Up to [`plan::FLAT_NODES`] nodes are pushed to by the watching nodes
//! directly, more through relays. Each node is pushed the records by one peer
//! and told of them by another. A pull compares digests first and carries back
//! how long ago the peer's records were confirmed as current; that age only
//! grows on its way, frozen nodes and slow frames included.
//!
//! A node that can't confirm its records goes on with those in force and says
//! so in its [`Status`], without a limit of time. It warns after [`WARN_AFTER`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::record::Record;
use jacinthfall_core::time::Time;
use jacinthfall_wire::configuration::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod exchange;
pub mod plan;
mod records;
mod start;
mod watch;

use plan::{Nodes, Plan};
use records::Records;

/// Longest time for which the daemon lets a watch wait in the store.
pub const WATCH_WAIT: Duration = Duration::from_secs(3);

/// Time without confirmation after which operators should be warned.
pub const WARN_AFTER: Duration = Duration::from_secs(30);

/// Time between two checks of what is due.
const TICK: Duration = Duration::from_millis(500);

/// A live peer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the node.
    pub node: id::Name,
    /// Its availability zone.
    pub zone: id::Name,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The live peers changed, this node not included.
    Peers(Vec<Peer>),
    /// A frame came from a peer.
    Frame {
        /// The sender.
        from: id::Name,
        /// The message.
        message: Message,
    },
    /// The watch that [`Action::Watch`] asked for returned, with the store's
    /// revision.
    Stored {
        /// Every record that changed since the revision asked for.
        records: Vec<Record>,
        /// Store revision up to which `records` is complete.
        revision: u64,
    },
    /// The watch that [`Action::Watch`] asked for failed.
    StoreFailed,
    /// The store accepted this record from an operator at this node.
    Accepted(Record),
    /// The moment named by the last [`Action::Wake`] came.
    Wake,
}

/// What the daemon has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a frame to a peer.
    Send {
        /// The receiver.
        to: id::Name,
        /// The message.
        message: Message,
    },
    /// Bring a record into force.
    Apply(Arc<Record>),
    /// Wait up to [`WATCH_WAIT`] in the store for changes after a revision, then
    /// report back with [`Event::Stored`] or [`Event::StoreFailed`].
    Watch {
        /// Store revision.
        after: u64,
    },
    /// Call with [`Event::Wake`] at this time; replaces earlier wakes.
    Wake(Time),
}

/// What a node says of its configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Whether a first configuration was applied.
    pub ready: bool,
    /// Revision in force by key.
    pub revisions: BTreeMap<id::Name, id::Revision>,
    /// Time since the configuration was last confirmed to be current; since the
    /// start if it never was.
    pub unconfirmed: Duration,
    /// Whether this node watches the store.
    pub watching: bool,
}

/// Configuration of one node.
#[derive(Debug)]
pub struct Engine {
    own: Peer,
    nodes: Nodes,
    plan: Plan,
    records: Records,
    ready: bool,
    start: start::Start,
    confirmed: Option<Time>,
    opened: Option<Time>,
    watch: watch::Watch,
    pulls: exchange::Pulls,
    rng: ChaCha8Rng,
    next_tick: Time,
    next_wake: Option<Time>,
    actions: Vec<Action>,
}

impl Engine {
    /// Opens the engine without any record. Each life of a node needs a `seed`
    /// of its own: replies to an earlier life are told apart by it.
    ///
    /// ```
    /// use jacinthfall_config::{Engine, Peer};
    /// use jacinthfall_core::time::Time;
    /// let own = Peer { node: "klang-1".into(), zone: "kl-hall-a".into() };
    /// assert!(!Engine::open(own, 7).status(Time(0)).ready);
    /// ```
    #[must_use]
    pub fn open(own: Peer, seed: u64) -> Engine {
        let nodes = Nodes::open(&own);
        let plan = nodes.plan(&own);
        Engine {
            own,
            nodes,
            plan,
            records: Records::default(),
            ready: false,
            start: start::Start::default(),
            confirmed: None,
            opened: None,
            watch: watch::Watch::default(),
            pulls: exchange::Pulls::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_tick: Time::default(),
            next_wake: None,
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns what has to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.begin(now);
        match event {
            Event::Peers(peers) => self.meet(peers, now),
            Event::Frame { from, message } => self.receive(&from, message, now),
            Event::Stored { records, revision } => self.stored(records, revision, now),
            Event::StoreFailed => self.store_failed(now),
            Event::Accepted(record) => self.accepted(record),
            Event::Wake => self.next_wake = None,
        }
        self.tick(now);
        self.watch_if_due(now);
        self.pull_if_due(now);
        self.finish()
    }

    /// What is in force.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        Status {
            ready: self.ready,
            revisions: self.records.revisions(),
            unconfirmed: self.unconfirmed(now),
            watching: self.watch.is_waiting(),
        }
    }

    /// Sets up the timers with the first event.
    fn begin(&mut self, now: Time) {
        if self.opened.is_some() {
            return;
        }
        self.opened = Some(now);
        let phase = self.rng.random_range(0..TICK.as_micros() as u64);
        self.next_tick = now + Duration::from_micros(phase);
        self.pulls.begin(now, &mut self.rng);
        self.watch.settle(now + watch::ALONE_DELAY);
    }

    fn meet(&mut self, peers: Vec<Peer>, now: Time) {
        let chosen = self.plan.watches && self.nodes.count() > 1;
        self.nodes.meet(&self.own, peers);
        self.plan = self.nodes.plan(&self.own);
        if self.plan.watches && !chosen {
            self.watch.settle(now + watch::CHOSEN_DELAY);
        }
    }

    fn tick(&mut self, now: Time) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK;
        self.pulls.expire(now);
        self.help_to_watch(now);
        self.pull_to_start(now);
    }

    fn finish(&mut self) -> Vec<Action> {
        let due = [self.watch.due(), self.pulls.due(), Some(self.next_tick)];
        let wake = due.into_iter().flatten().min();
        if wake != self.next_wake {
            self.next_wake = wake;
            self.actions.extend(wake.map(Action::Wake));
        }
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, to: &id::Name, message: Message) {
        self.actions.push(Action::Send { to: to.clone(), message });
    }

    fn unconfirmed(&self, now: Time) -> Duration {
        let since = self.confirmed.or(self.opened).unwrap_or(now);
        now.since(since)
    }

    /// Notes that the records in force were current at `time`.
    fn confirm(&mut self, time: Time, now: Time) {
        assert!(time <= now, "invariant: records are not confirmed ahead of time");
        self.confirmed = self.confirmed.max(Some(time));
    }
}
