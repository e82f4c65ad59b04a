//! Cluster membership by gossip, as a state machine without I/O.
//!
//! Nodes discover each other through the platform's VM list and detect failures
//! by gossip. The VM list lags behind. It adds nodes to the membership and removes
//! nodes that don't respond, but it never overrides evidence that a node is alive.
//!
//! Each node pings a small, stable set of neighbours in turn. A neighbour that
//! does not reply is probed indirectly through other neighbours, then suspected,
//! and declared dead unless it refutes the suspicion. Changes are broadcast to
//! all neighbours at once and piggybacked on a few more frames. A periodic
//! comparison of digests (anti-entropy) repairs lost updates. When many nodes
//! stop responding at the same time, they stay suspect instead of being declared
//! dead.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_wire::member::{Message, Rumor, State};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod broadcast;
mod gossip;
mod probe;
mod ring;
pub mod suspicion;
mod sync;
mod table;
mod vm_list;

use broadcast::Queue;
use suspicion::Deaths;
use table::Table;

/// Time between two pings that a node sends, each to another neighbour.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two broadcasts of changes.
pub const BROADCAST_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of a wake-up after which the node considers itself to have been frozen.
pub const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// Time without any received frame after which a node considers itself isolated.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(1);

/// An entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the node on this VM.
    pub node: id::Name,
    /// Availability zone.
    pub zone: id::Name,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// An input of the [`Engine`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The VM list was read.
    Vms(Vec<Vm>),
    /// A peer sent a frame.
    Frame {
        /// The sending incarnation.
        from: id::Incarnation,
        /// The message.
        message: Message,
    },
    /// This node starts a graceful shutdown.
    Leave,
    /// The time of the last [`Action::Wake`] was reached.
    Wake,
}

/// An output of the [`Engine`], which the daemon has to carry out.
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
    /// The view changed. Read it with [`Engine::view`].
    ViewChanged,
    /// Shut this node down gracefully: the VM list or gossip says that it is
    /// leaving, or a later incarnation of it is running.
    Retire,
    /// Send [`Event::Wake`] at this time. Replaces earlier wake-ups.
    Wake(Time),
}

/// The membership of the cluster as seen by one node.
#[derive(Debug)]
pub struct Engine {
    own: id::Incarnation,
    table: Table,
    neighbours: Vec<id::Name>,
    probes: probe::Probes,
    broadcasts: Queue,
    deaths: Deaths,
    rng: ChaCha8Rng,
    next_tick: Option<Time>,
    ticks: u64,
    last_heard: Time,
    next_sync: Time,
    /// Peer that was lost or unknown until now, while its reply to a digest is
    /// awaited.
    new_contact: Option<id::Name>,
    retired: bool,
    changed: bool,
    view: Arc<[Rumor]>,
    actions: Vec<Action>,
    next_wake: Option<Time>,
}

impl Engine {
    /// Creates an engine. `own` describes this node.
    ///
    /// The engine does nothing before the first event, which is usually
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
    /// Panics if `own.node.started` is 0, which marks nodes that were never
    /// contacted.
    #[must_use]
    pub fn open(own: Rumor, seed: u64) -> Engine {
        assert!(own.node.started > 0, "invariant: the start time of an incarnation is above 0");
        let incarnation = own.node.clone();
        let mut broadcasts = Queue::default();
        broadcasts.add(incarnation.node.clone(), None);
        let mut table = Table::default();
        table.insert(own, Time::default());
        Engine {
            own: incarnation,
            view: table.view(),
            table,
            neighbours: Vec::new(),
            probes: probe::Probes::default(),
            broadcasts,
            deaths: Deaths::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_tick: None,
            ticks: 0,
            last_heard: Time::default(),
            next_sync: Time::default(),
            new_contact: None,
            retired: false,
            changed: false,
            actions: Vec::new(),
            next_wake: None,
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.start_timers(now);
        self.recover_from_stall(now);
        if matches!(event, Event::Wake) {
            self.next_wake = None;
        }
        match event {
            Event::Vms(vms) => self.handle_vm_list(&vms, now),
            Event::Frame { from, message } => self.handle_frame(&from, message, now),
            Event::Leave => self.leave(now),
            Event::Wake => {}
        }
        self.tick(now);
        self.broadcast(now);
        self.take_actions(now)
    }

    /// Returns every node that is not known to be dead, including this one,
    /// ordered by name.
    ///
    /// A node known only from the VM list is suspect with `started` 0 until it
    /// was contacted. The view is shared, so that a call copies no rumors.
    #[must_use]
    pub fn view(&self) -> Arc<[Rumor]> {
        self.view.clone()
    }

    /// Returns the peers that this node pings and broadcasts to, ordered by name.
    #[must_use]
    pub fn neighbours(&self) -> &[id::Name] {
        &self.neighbours
    }

    /// Starts the timers on the first event. A random offset spreads the pings of the
    /// nodes over time.
    fn start_timers(&mut self, now: Time) {
        if self.next_tick.is_some() {
            return;
        }
        let offset = self.rng.random_range(0..PROBE_INTERVAL.as_micros() as u64);
        self.next_tick = Some(now + Duration::from_micros(offset));
        self.last_heard = now;
    }

    /// Forgets open probes and restarts all suspicions after this node was frozen,
    /// since the missing replies are then no evidence against its peers.
    fn recover_from_stall(&mut self, now: Time) {
        let Some(planned) = self.next_tick else { return };
        if now.since(planned) <= STALL_THRESHOLD {
            return;
        }
        self.probes = probe::Probes::reset(&self.probes);
        self.last_heard = now;
        for (_, entry) in self.table.iter_mut() {
            if entry.rumor.state == State::Suspect {
                entry.since = now;
            }
        }
    }

    /// Does the periodic work.
    fn tick(&mut self, now: Time) {
        if self.next_tick.is_some_and(|next| now < next) {
            return;
        }
        self.next_tick = Some(now + PROBE_INTERVAL);
        self.ticks += 1;
        self.expire_probes(now);
        self.expire_suspicions(now);
        self.ping_neighbour(now);
        self.ping_lost_periodically();
        self.sync_periodically(now);
        self.forget_dead(now);
    }

    fn take_actions(&mut self, now: Time) -> Vec<Action> {
        if self.changed {
            self.changed = false;
            self.view = self.table.view();
            self.actions.push(Action::ViewChanged);
            self.choose_neighbours(now);
        }
        let wake = self.next_tick.into_iter().chain(self.next_broadcast()).min();
        if wake != self.next_wake {
            self.next_wake = wake;
            self.actions.extend(wake.map(Action::Wake));
        }
        std::mem::take(&mut self.actions)
    }

    /// Recomputes the neighbours and pings the new ones at once: when many nodes are
    /// lost, the next node on a ring may be lost as well.
    fn choose_neighbours(&mut self, now: Time) {
        let neighbours = ring::neighbours(&self.own.node, &self.table);
        let before = std::mem::replace(&mut self.neighbours, neighbours);
        for node in self.neighbours.clone() {
            if !before.contains(&node) {
                self.ping(&node, now);
            }
        }
    }

    /// Returns the time of the next broadcast, if one is pending.
    fn next_broadcast(&self) -> Option<Time> {
        self.broadcasts.next_due().filter(|_| !self.neighbours.is_empty())
    }

    /// Sends a message to a node in the table.
    fn send(&mut self, to: &id::Name, message: Message) {
        let Some(entry) = self.table.get(to) else { return };
        let address = entry.rumor.peer_address;
        self.actions.push(Action::Send { to: to.clone(), address, message });
    }

    /// Returns whether this node has received no frame from any peer for so long
    /// that a missing reply is no evidence against the peer.
    fn is_isolated(&self, now: Time) -> bool {
        now.since(self.last_heard) > ISOLATION_TIMEOUT
    }

    /// Returns the current rumor about this node.
    fn own_rumor(&self) -> Rumor {
        let entry = self.table.get(&self.own.node);
        entry.expect("invariant: the table contains this node").rumor.clone()
    }

    /// Emits [`Action::Retire`], once.
    fn retire(&mut self) {
        if !self.retired {
            self.retired = true;
            self.actions.push(Action::Retire);
        }
    }
}

/// Open indirect probes made for other nodes, by the probe id of this node's ping.
type Relays = BTreeMap<u64, probe::Relay>;
