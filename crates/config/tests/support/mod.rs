//! Configuration engines connected by a simulated network and a simulated store.
//! Each test file and example uses a part of this module.
//!
//! At every step, the fleet checks that no revision decreases, that only records
//! accepted by the store are applied, and that no node claims a confirmation more
//! recent than the state of its records.

#![allow(dead_code)]

#[path = "../../../member/tests/support/network.rs"]
pub mod network;

pub mod fault;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_config::{Action, Engine, Event, Peer, Status, WATCH_WAIT};
use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::record::{Body, Change, Record, profile_key};
use jacinthfall_core::time::{Time, Wall};
use jacinthfall_wire::configuration::Message;
use network::Network;

/// Time after which the nodes detect a change of the live peers.
pub const DETECTION_DELAY: Duration = Duration::from_secs(5);

/// Time after which nodes that start together know each other.
const DISCOVERY_DELAY: Duration = Duration::from_millis(500);

/// Round-trip time to the store.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// An item delivered to a node.
#[derive(Clone, Debug)]
pub enum Item {
    Frame(id::Name, Message),
    Wake(u64),
    Peers,
    Stored { incarnation: u64, records: Vec<Record>, upto: Position },
    StoreFailed { incarnation: u64 },
    WatchEnds { incarnation: u64, watch: u64 },
}

/// A simulated node.
pub struct Node {
    /// `None` while the node is not running.
    pub engine: Option<Engine>,
    pub own: Peer,
    /// While the node is frozen, the items that have arrived for it.
    pub frozen: Option<Vec<Item>>,
    /// Whether the node reaches the store.
    pub reaches_store: bool,
    applied: BTreeMap<id::Name, id::Revision>,
    wake: u64,
    incarnation: u64,
    watch: Option<(u64, u64)>,
}

/// The simulated store with every record that it accepted.
#[derive(Default)]
pub struct Store {
    pub up: bool,
    pub calls: u64,
    /// Each write with its time. The store revision is the number of writes.
    pub writes: Vec<(Time, Record)>,
}

/// Number of frames and bytes sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub frames: u64,
    pub bytes: u64,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub network: Network<Item>,
    pub store: Store,
    pub now: Time,
    pub traffic: Traffic,
    /// Whether traffic is counted instead of checking the confirmations.
    pub measure: bool,
    watches: u64,
    seed: u64,
}

pub fn name(index: usize) -> id::Name {
    format!("node-{index}").into()
}

fn index_of(name: &str) -> usize {
    name.trim_start_matches("node-").parse().expect("a name of the fleet")
}

/// Returns a record of the profile `key`. Every fifth revision deletes the
/// profile.
fn record(key: &str, revision: u64) -> Record {
    let profile = Profile {
        name: key.into(),
        service: "slot-finder".into(),
        deadline: Duration::from_millis(100 + revision),
        least_coverage: 1.0,
        wait: jacinthfall_core::profile::Wait::Full,
        early_after: Duration::ZERO,
        idempotent: true,
        extra_load: 0.03,
        hedge_quantile: 0.95,
        priority: 5,
        concurrency: 256,
    };
    Record {
        key: profile_key(key),
        revision: id::Revision(revision),
        change: Change {
            id: format!("{key}-{revision}").into(),
            author: "operator".into(),
            time: Wall(revision),
            cause: "a shorter deadline before the sales week".into(),
        },
        body: if revision.is_multiple_of(5) {
            Body::Deleted
        } else {
            Body::Profile(Arc::new(profile))
        },
    }
}

impl Fleet {
    /// Starts `count` nodes in `zones` zones. They know each other after
    /// [`DISCOVERY_DELAY`].
    pub fn open(count: usize, zones: usize, seed: u64) -> Fleet {
        let node = |index: usize| Node {
            engine: None,
            own: Peer { node: name(index), zone: format!("zone-{}", index % zones).into() },
            frozen: None,
            reaches_store: true,
            applied: BTreeMap::new(),
            wake: 0,
            incarnation: 0,
            watch: None,
        };
        let mut fleet = Fleet {
            nodes: (0..count).map(node).collect(),
            network: Network::open(count, seed),
            store: Store { up: true, ..Store::default() },
            now: Time::from_millis(1_000),
            traffic: Traffic::default(),
            measure: false,
            watches: 0,
            seed,
        };
        fleet.write("desk");
        for index in 0..count {
            fleet.boot(index);
        }
        for index in 0..count {
            fleet.handle(index, Event::Wake);
            fleet.network.schedule(fleet.now + DISCOVERY_DELAY, index, Item::Peers);
        }
        fleet
    }

    /// Starts a new incarnation of a node. It knows its peers at once; they detect it
    /// later.
    pub fn start(&mut self, index: usize) {
        self.boot(index);
        self.handle_peers(index);
        self.schedule_peer_updates();
    }

    /// Replaces the engine of a node by that of a new incarnation.
    fn boot(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.frozen = None;
        node.watch = None;
        node.applied.clear();
        let seed = self.seed.wrapping_mul(1_000_003) + index as u64 * 1_000 + node.incarnation;
        node.engine = Some(Engine::open(node.own.clone(), seed));
    }

    /// Kills a node.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].engine = None;
        self.schedule_peer_updates();
    }

    /// Moves a node to a network partition. All nodes start in partition 0.
    pub fn move_to_partition(&mut self, index: usize, partition: u32) {
        self.network.partitions[index] = partition;
        self.schedule_peer_updates();
    }

    /// Freezes a node: it keeps its state and handles nothing.
    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen.get_or_insert_default();
    }

    /// Resumes a frozen node, which handles the items that have arrived.
    pub fn resume(&mut self, index: usize) {
        for item in self.nodes[index].frozen.take().unwrap_or_default() {
            self.deliver(index, item);
        }
    }

    /// Schedules an update of the live peers on every node.
    fn schedule_peer_updates(&mut self) {
        for index in 0..self.nodes.len() {
            self.network.schedule(self.now + DETECTION_DELAY, index, Item::Peers);
        }
    }

    /// Gives a node its live peers.
    fn handle_peers(&mut self, index: usize) {
        let partition = self.network.partitions[index];
        let is_peer = |other: &usize| {
            let node = &self.nodes[*other];
            *other != index && node.engine.is_some() && self.network.partitions[*other] == partition
        };
        let peers = (0..self.nodes.len()).filter(is_peer).map(|i| self.nodes[i].own.clone());
        let peers = peers.collect();
        self.handle(index, Event::Peers(peers));
    }

    /// Writes a new revision of a profile to the store and returns its record.
    pub fn write(&mut self, key: &str) -> Record {
        let revision = self.revision(key) + 1;
        let record = record(key, revision);
        self.store.writes.push((self.now, record.clone()));
        for index in 0..self.nodes.len() {
            if let Some((after, _)) = self.nodes[index].watch {
                self.reply(index, after);
            }
        }
        record
    }

    /// Writes a new revision of a profile through a node. The store must be up.
    pub fn write_through(&mut self, index: usize, key: &str) {
        let record = self.write(key);
        self.handle(index, Event::Accepted(record));
    }

    /// Returns the revision of a profile in the store.
    pub fn revision(&self, key: &str) -> u64 {
        let key = profile_key(key);
        let writes = self.store.writes.iter();
        writes.filter(|(_, record)| record.key == key).count() as u64
    }

    /// Lets a node handle an event.
    pub fn handle(&mut self, index: usize, event: Event) {
        let Some(engine) = &mut self.nodes[index].engine else { return };
        let actions = engine.handle(self.now, event);
        for action in actions {
            self.act(index, action);
        }
        if !self.measure {
            self.check_confirmation(index);
        }
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, delivery)) = self.network.next(end) {
            self.now = self.now.max(at);
            self.deliver(delivery.to, delivery.item);
        }
        self.now = end;
    }

    /// Runs until `done` returns true, for at most `limit`. Returns the time that
    /// passed, or `None` if the limit was reached first.
    pub fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(1));
        }
        done(self).then(|| self.now.since(start))
    }

    /// Returns the status of a node, or `None` if it is not running.
    pub fn status(&self, index: usize) -> Option<Status> {
        self.nodes[index].engine.as_ref().map(|engine| engine.status(self.now))
    }

    /// Returns the nodes that are running and not frozen.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        let is_running = |index: &usize| {
            self.nodes[*index].engine.is_some() && self.nodes[*index].frozen.is_none()
        };
        (0..self.nodes.len()).filter(is_running)
    }

    /// Returns whether a node is ready and has the last write of every key in force.
    pub fn is_current(&self, index: usize) -> bool {
        let ready = self.status(index).is_some_and(|status| status.ready);
        let applied = &self.nodes[index].applied;
        let has = |record: &Record| applied.get(&record.key) >= Some(&record.revision);
        ready && self.store.writes.iter().all(|(_, record)| has(record))
    }

    /// Returns whether every running node is current.
    pub fn all_current(&self) -> bool {
        self.running().all(|index| self.is_current(index))
    }

    fn deliver(&mut self, index: usize, item: Item) {
        if let Some(held) = &mut self.nodes[index].frozen {
            held.push(item);
            return;
        }
        let incarnation = self.nodes[index].incarnation;
        match item {
            Item::Frame(from, message) => self.handle(index, Event::Frame { from, message }),
            Item::Wake(wake) if wake == self.nodes[index].wake => self.handle(index, Event::Wake),
            Item::Wake(_) => {}
            Item::Peers => self.handle_peers(index),
            Item::Stored { incarnation: receiver, records, upto } if receiver == incarnation => {
                self.handle(index, Event::Stored { records, upto });
            }
            Item::StoreFailed { incarnation: receiver } if receiver == incarnation => {
                self.handle(index, Event::StoreFailed)
            }
            Item::Stored { .. } | Item::StoreFailed { .. } => {}
            Item::WatchEnds { incarnation: receiver, watch } => {
                if let Some((after, number)) = self.nodes[index].watch
                    && (receiver, watch) == (incarnation, number)
                {
                    self.reply(index, after);
                }
            }
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(index, &to, message),
            Action::Apply(record) => self.check_applied(index, &record),
            Action::Watch { after } => self.watch(index, after.revision),
            Action::Wake(at) => {
                self.nodes[index].wake += 1;
                let wake = self.nodes[index].wake;
                self.network.schedule(at.max(self.now), index, Item::Wake(wake));
            }
        }
    }

    fn send(&mut self, index: usize, to: &str, message: Message) {
        let from = self.nodes[index].own.node.clone();
        if self.measure {
            self.traffic.frames += 1;
            self.traffic.bytes += encoded_length(&from, &message);
        }
        self.network.send(self.now, index, index_of(to), Item::Frame(from, message));
    }

    fn watch(&mut self, index: usize, after: u64) {
        self.store.calls += 1;
        self.watches += 1;
        self.nodes[index].watch = Some((after, self.watches));
        let incarnation = self.nodes[index].incarnation;
        if (self.store.writes.len() as u64) > after {
            return self.reply(index, after);
        }
        let item = Item::WatchEnds { incarnation, watch: self.watches };
        self.network.schedule(self.now + WATCH_WAIT, index, item);
    }

    /// Completes the watch of a node, with an error if it doesn't reach the store.
    fn reply(&mut self, index: usize, after: u64) {
        let node = &mut self.nodes[index];
        node.watch = None;
        let incarnation = node.incarnation;
        let item = if self.store.up && node.reaches_store {
            let after = usize::try_from(after).expect("it counts writes");
            let changed = self.store.writes.get(after..).unwrap_or_default();
            let records = changed.iter().map(|(_, record)| record.clone()).collect();
            Item::Stored {
                incarnation,
                records,
                upto: Position::new(0, self.store.writes.len() as u64),
            }
        } else {
            Item::StoreFailed { incarnation }
        };
        self.network.schedule(self.now + STORE_DELAY, index, item);
    }

    /// Stops the store: open watches fail.
    pub fn stop_store(&mut self) {
        self.store.up = false;
        for index in 0..self.nodes.len() {
            if let Some((after, _)) = self.nodes[index].watch {
                self.reply(index, after);
            }
        }
    }

    fn check_applied(&mut self, index: usize, record: &Record) {
        let accepted = self.store.writes.iter().any(|(_, written)| written == record);
        assert!(accepted, "node {index} applied a record that the store did not accept");
        let before = self.nodes[index].applied.insert(record.key.clone(), record.revision);
        assert!(before < Some(record.revision), "a revision in force decreased at node {index}");
    }

    /// Checks that a node that claims to be current at some time has every earlier
    /// write in force.
    fn check_confirmation(&self, index: usize) {
        let Some(status) = self.status(index).filter(|status| status.ready) else { return };
        let current_at = self.now - status.unconfirmed;
        let earlier = self.store.writes.iter().take_while(|(time, _)| *time < current_at);
        for (time, record) in earlier {
            let applied = self.nodes[index].applied.get(&record.key);
            assert!(
                applied >= Some(&record.revision),
                "node {index} claims to be current at {current_at:?} but lacks a write of {time:?}"
            );
        }
    }
}

fn encoded_length(from: &id::Name, message: &Message) -> u64 {
    let envelope = jacinthfall_wire::Envelope {
        from: id::Incarnation { node: from.clone(), started: 1_700_000_000_000 },
        stamp: jacinthfall_wire::Stamp { time: u64::MAX, clock: u128::MAX },
        frame: jacinthfall_wire::Frame::Config(message.clone()),
    };
    jacinthfall_wire::encode(&envelope).expect("it encodes").len() as u64
}
