//! Replication of configuration records between nodes, as a state machine
//! without I/O.
//!
//! Accepted records are stored in the platform's store. A few nodes watch the
//! store and push changed records to their peers. Each node also pulls from its
//! peers periodically to fetch records that it missed. A node applies a record
//! only if its revision is higher than the one in force.
//!
//! In clusters of up to [`plan::MAX_FLAT_NODES`] nodes, the watchers push to all
//! other nodes directly. In larger clusters, records pass through relays. Each
//! node receives the records from one parent and an announcement of the change
//! from another. A pull compares digests first. Its reply states how long ago
//! the peer's records were confirmed to be current. This age can only increase
//! on the way: delays by frozen nodes or slow frames are included.
//!
//! A node that can't confirm its records keeps using those in force, without a
//! time limit, and reports their age in its [`Status`]. Operators should be
//! warned after [`WARN_AFTER`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::history::Position;
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

/// Longest time that a watch waits for changes in the store.
pub const WATCH_WAIT: Duration = Duration::from_secs(3);

/// Time without confirmation after which operators should be warned.
pub const WARN_AFTER: Duration = Duration::from_secs(30);

/// Time between two runs of the periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// A live node and its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the node.
    pub node: id::Name,
    /// Its availability zone.
    pub zone: id::Name,
}

/// An input of the [`Engine`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The set of live peers changed. It does not include this node.
    Peers(Vec<Peer>),
    /// A peer sent a frame.
    Frame {
        /// The sender.
        from: id::Name,
        /// The message.
        message: Message,
    },
    /// The watch started by [`Action::Watch`] returned.
    Stored {
        /// Every record that changed after the requested revision.
        records: Vec<Record>,
        /// Place in the store's history up to which `records` includes all changes.
        upto: Position,
    },
    /// The watch started by [`Action::Watch`] failed.
    StoreFailed,
    /// The store accepted this record, which an operator changed through this
    /// node.
    Accepted(Record),
    /// The time of the last [`Action::Wake`] was reached.
    Wake,
}

/// An output of the [`Engine`], which the daemon has to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a frame to a peer.
    Send {
        /// The receiver.
        to: id::Name,
        /// The message.
        message: Message,
    },
    /// Put a record into force.
    Apply(Arc<Record>),
    /// Watch the store for changes after a place, for up to [`WATCH_WAIT`],
    /// then report the result as [`Event::Stored`] or [`Event::StoreFailed`].
    Watch {
        /// Place in the store's history.
        after: Position,
    },
    /// Send [`Event::Wake`] at this time. Replaces earlier wake-ups.
    Wake(Time),
}

/// State of the configuration of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Whether the node has a complete initial configuration.
    pub ready: bool,
    /// Revision in force of each record, by key.
    pub revisions: BTreeMap<id::Name, id::Revision>,
    /// Time since the configuration was last confirmed to be current, or since
    /// the start if it never was.
    pub unconfirmed: Duration,
    /// Whether this node watches the store.
    pub watching: bool,
}

/// Replicates the configuration records on one node.
#[derive(Debug)]
pub struct Engine {
    own: Peer,
    nodes: Nodes,
    plan: Plan,
    records: Records,
    ready: bool,
    start: start::Start,
    confirmed: Option<Time>,
    started: Option<Time>,
    watch: watch::Watch,
    pulls: exchange::Pulls,
    rng: ChaCha8Rng,
    next_tick: Time,
    next_wake: Option<Time>,
    actions: Vec<Action>,
}

impl Engine {
    /// Creates an engine without records. Each incarnation of a node needs a
    /// different `seed`: pull ids start at a random number derived from it, so
    /// that replies to an earlier incarnation are ignored.
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
            started: None,
            watch: watch::Watch::default(),
            pulls: exchange::Pulls::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_tick: Time::default(),
            next_wake: None,
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.start_timers(now);
        match event {
            Event::Peers(peers) => self.set_peers(peers, now),
            Event::Frame { from, message } => self.handle_frame(&from, message, now),
            Event::Stored { records, upto } => self.handle_stored(records, upto, now),
            Event::StoreFailed => self.handle_store_failure(now),
            Event::Accepted(record) => self.handle_accepted(record),
            Event::Wake => self.next_wake = None,
        }
        self.tick(now);
        self.watch_if_due(now);
        self.pull_if_due(now);
        self.take_actions()
    }

    /// Returns the current state of the configuration.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        Status {
            ready: self.ready,
            revisions: self.records.revisions(),
            unconfirmed: self.unconfirmed(now),
            watching: self.watch.is_waiting(),
        }
    }

    /// Starts the timers on the first event. A random offset spreads the ticks
    /// of the nodes over time.
    fn start_timers(&mut self, now: Time) {
        if self.started.is_some() {
            return;
        }
        self.started = Some(now);
        let offset = self.rng.random_range(0..TICK_INTERVAL.as_micros() as u64);
        self.next_tick = now + Duration::from_micros(offset);
        self.pulls.schedule(now, &mut self.rng);
        self.watch.delay_until(now + watch::SINGLE_NODE_DELAY);
    }

    fn set_peers(&mut self, peers: Vec<Peer>, now: Time) {
        let was_watcher = self.plan.is_watcher && self.nodes.count() > 1;
        self.nodes.set_peers(&self.own, peers);
        self.plan = self.nodes.plan(&self.own);
        if self.plan.is_watcher && !was_watcher {
            self.watch.delay_until(now + watch::NEW_WATCHER_DELAY);
        }
    }

    fn tick(&mut self, now: Time) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.pulls.expire(now);
        self.take_over_if_stale(now);
        self.pull_until_ready(now);
    }

    fn take_actions(&mut self) -> Vec<Action> {
        let due = [self.watch.next_due(), self.pulls.next_due(), Some(self.next_tick)];
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
        let since = self.confirmed.or(self.started).unwrap_or(now);
        now.since(since)
    }

    /// Notes that the records in force were current at `time`.
    fn confirm(&mut self, time: Time, now: Time) {
        assert!(time <= now, "invariant: records can't be confirmed for a time in the future");
        self.confirmed = self.confirmed.max(Some(time));
    }
}
