//! Decision core of membership.
//!
//! Nodes find each other through the platform's VM list and watch each other by
//! gossip. The lagging list seeds membership and prunes it; it never overrules
//! a live proof.
//!
//! Each node pings a small, stable set of neighbours in turn. A neighbour that
//! stays silent is asked for through other neighbours, then suspected, and
//! declared dead unless it refutes. News are told to all neighbours at once,
//! ride on a few more frames, and a periodic comparison of digests repairs what
//! was lost. When many nodes fall silent together they stay suspect.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_wire::member::{Message, Rumor, State};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod gossip;
mod list;
mod news;
mod probe;
mod ring;
pub mod suspicion;
mod sync;
mod table;

use news::News;
use suspicion::Deaths;
use table::Table;

/// Time between two pings of a node, each to another neighbour.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two tellings of news.
pub const FLOOD_INTERVAL: Duration = Duration::from_millis(100);

/// Time by which a wake-up may be late before the node counts as frozen.
pub const STALL: Duration = Duration::from_secs(1);

/// Time without any frame after which a node counts itself as cut off.
pub const ISOLATION: Duration = Duration::from_secs(1);

/// An entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the node on it.
    pub node: id::Name,
    /// Availability zone.
    pub zone: id::Name,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Whether the platform is taking it away.
    pub leaving: bool,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The VM list was read.
    Vms(Vec<Vm>),
    /// A frame came from a peer.
    Frame {
        /// The sender in its present life.
        from: id::Incarnation,
        /// The message.
        message: Message,
    },
    /// This node starts to leave.
    Leave,
    /// The moment named by the last [`Action::Wake`] came.
    Wake,
}

/// What the daemon has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a frame to an address.
    Send {
        /// Name of the receiver.
        to: id::Name,
        /// Its address for peers.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The view changed; read it with [`Engine::view`].
    ViewChanged,
    /// The VM list says that this node is leaving, or a later life of it is
    /// running: stop in order.
    Retire,
    /// Call with [`Event::Wake`] at this time; replaces earlier wakes.
    Wake(Time),
}

/// Membership as one node sees it.
#[derive(Debug)]
pub struct Engine {
    own: id::Incarnation,
    table: Table,
    neighbours: Vec<id::Name>,
    probes: probe::Probes,
    news: News,
    deaths: Deaths,
    rng: ChaCha8Rng,
    next_tick: Option<Time>,
    ticks: u64,
    last_heard: Time,
    next_sync: Time,
    /// Peer with which contact was just made and whose comparison is awaited.
    contact: Option<id::Name>,
    retired: bool,
    changed: bool,
    view: Arc<[Rumor]>,
    actions: Vec<Action>,
    next_wake: Option<Time>,
}

impl Engine {
    /// Opens the engine; `own` describes this node.
    ///
    /// Nothing happens before the first event, which is usually
    /// [`Event::Vms`] or [`Event::Wake`].
    ///
    /// ```
    /// use jacinthfall_core::id::Incarnation;
    /// use jacinthfall_member::Engine;
    /// use jacinthfall_wire::member::{Rumor, State};
    /// let own = Rumor {
    ///     node: Incarnation { node: "klang-1".into(), started: 1 },
    ///     sequence: 0,
    ///     state: State::Alive,
    ///     zone: "kl-hall-a".into(),
    ///     peer_address: "127.0.0.1:1".parse().unwrap(),
    ///     caller_address: "127.0.0.1:2".parse().unwrap(),
    /// };
    /// let engine = Engine::open(own.clone(), 7);
    /// assert_eq!(&*engine.view(), [own]);
    /// ```
    ///
    /// # Panics
    ///
    /// If `own.node.started` is 0, which marks nodes that were never met.
    #[must_use]
    pub fn open(own: Rumor, seed: u64) -> Engine {
        assert!(own.node.started > 0, "invariant: a life has a start time above 0");
        let incarnation = own.node.clone();
        let mut news = News::default();
        news.add(incarnation.node.clone(), None);
        let mut table = Table::default();
        table.put(own, Time::default());
        Engine {
            own: incarnation,
            view: table.view(),
            table,
            neighbours: Vec::new(),
            probes: probe::Probes::default(),
            news,
            deaths: Deaths::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_tick: None,
            ticks: 0,
            last_heard: Time::default(),
            next_sync: Time::default(),
            contact: None,
            retired: false,
            changed: false,
            actions: Vec::new(),
            next_wake: None,
        }
    }

    /// Handles one event and returns what has to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.start(now);
        self.forgive_stall(now);
        if matches!(event, Event::Wake) {
            self.next_wake = None;
        }
        match event {
            Event::Vms(vms) => self.read_list(&vms, now),
            Event::Frame { from, message } => self.receive(&from, message, now),
            Event::Leave => self.leave(now),
            Event::Wake => {}
        }
        self.tick(now);
        self.tell(now);
        self.finish(now)
    }

    /// Every node that is not known to be dead, this one included, by name.
    ///
    /// A node that only the VM list names is suspect with `started` 0 until it
    /// was met. The view is shared, so a call costs no copy.
    #[must_use]
    pub fn view(&self) -> Arc<[Rumor]> {
        self.view.clone()
    }

    /// Peers that this node pings and tells its news, by name.
    #[must_use]
    pub fn neighbours(&self) -> &[id::Name] {
        &self.neighbours
    }

    /// Sets up the timers with the first event.
    fn start(&mut self, now: Time) {
        if self.next_tick.is_some() {
            return;
        }
        let phase = self.rng.random_range(0..PROBE_INTERVAL.as_micros() as u64);
        self.next_tick = Some(now + Duration::from_micros(phase));
        self.last_heard = now;
    }

    /// After a freeze, silence says nothing about peers: forgets open probes and
    /// restarts the suspicions.
    fn forgive_stall(&mut self, now: Time) {
        let Some(planned) = self.next_tick else { return };
        if now.since(planned) <= STALL {
            return;
        }
        self.probes = probe::Probes::after(&self.probes);
        self.last_heard = now;
        for (_, entry) in self.table.iter_mut() {
            if entry.rumor.state == State::Suspect {
                entry.since = now;
            }
        }
    }

    /// Does what is due periodically.
    fn tick(&mut self, now: Time) {
        if self.next_tick.is_some_and(|next| now < next) {
            return;
        }
        self.next_tick = Some(now + PROBE_INTERVAL);
        self.ticks += 1;
        self.expire_probes(now);
        self.expire_suspicions(now);
        self.ping_neighbour(now);
        self.ping_lost();
        self.sync_periodically(now);
        self.forget(now);
    }

    fn finish(&mut self, now: Time) -> Vec<Action> {
        if self.changed {
            self.changed = false;
            self.view = self.table.view();
            self.actions.push(Action::ViewChanged);
            self.choose_neighbours(now);
        }
        let wake = self.next_tick.into_iter().chain(self.news_due()).min();
        if wake != self.next_wake {
            self.next_wake = wake;
            self.actions.extend(wake.map(Action::Wake));
        }
        std::mem::take(&mut self.actions)
    }

    /// Chooses the neighbours anew and pings those that were none before: where
    /// many nodes are lost, the next on a ring may be lost as well.
    fn choose_neighbours(&mut self, now: Time) {
        let chosen = ring::neighbours(&self.own.node, &self.table);
        let before = std::mem::replace(&mut self.neighbours, chosen);
        for node in self.neighbours.clone() {
            if !before.contains(&node) {
                self.ping(&node, now);
            }
        }
    }

    fn news_due(&self) -> Option<Time> {
        self.news.due().filter(|_| !self.neighbours.is_empty())
    }

    /// Sends a message to a known node.
    fn send(&mut self, to: &id::Name, message: Message) {
        let Some(entry) = self.table.get(to) else { return };
        let address = entry.rumor.peer_address;
        self.actions.push(Action::Send { to: to.clone(), address, message });
    }

    /// Whether nothing was heard from anybody for so long that the silence of
    /// one peer is no proof against it.
    fn is_isolated(&self, now: Time) -> bool {
        now.since(self.last_heard) > ISOLATION
    }

    fn own_rumor(&self) -> Rumor {
        let entry = self.table.get(&self.own.node);
        entry.expect("invariant: a node knows itself").rumor.clone()
    }

    /// Says once that this node has to stop.
    fn retire(&mut self) {
        if !self.retired {
            self.retired = true;
            self.actions.push(Action::Retire);
        }
    }
}

/// Open indirect probes, by the number that this node gave them.
type Relays = BTreeMap<u64, probe::Relay>;
