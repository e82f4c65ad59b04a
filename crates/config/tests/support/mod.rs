//! Several configuration engines joined by a fake network and a fake store. Each
//! test file and example uses a part of it.
//!
//! The fleet checks at every step that no revision goes back, that only what the
//! store accepted comes into force, and that no node claims a confirmation that
//! is younger than the truth.

#![allow(dead_code)]

#[path = "../../../member/tests/support/network.rs"]
pub mod network;

pub mod fault;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_config::{Action, Engine, Event, Peer, Status, WATCH_WAIT};
use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::record::{Body, Change, Record, profile_key};
use jacinthfall_core::time::{Time, Wall};
use jacinthfall_wire::configuration::Message;
use network::Network;

/// Time until the live peers are known after a change.
pub const DETECTION: Duration = Duration::from_secs(5);

/// Time until nodes that start together know each other.
const MEETING: Duration = Duration::from_millis(500);

/// Round trip to the store.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// What arrives at an engine.
#[derive(Clone, Debug)]
pub enum Item {
    Frame(id::Name, Message),
    Wake(u64),
    Peers,
    Stored { life: u64, records: Vec<Record>, upto: u64 },
    StoreFailed { life: u64 },
    WatchEnds { life: u64, watch: u64 },
}

/// One node with its engine.
pub struct Node {
    pub engine: Option<Engine>,
    pub own: Peer,
    /// While set, everything that arrives is held back.
    pub frozen: Option<Vec<Item>>,
    /// Whether the node reaches the store.
    pub reaches_store: bool,
    applied: BTreeMap<id::Name, id::Revision>,
    wake: u64,
    life: u64,
    watch: Option<(u64, u64)>,
}

/// The store with all that it ever accepted.
#[derive(Default)]
pub struct Store {
    pub up: bool,
    pub calls: u64,
    /// Each write with its time; the store's revision is the number of writes.
    pub writes: Vec<(Time, Record)>,
}

/// Counts of what was sent.
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

/// Every fifth revision deletes the profile.
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
    /// Starts `count` nodes in `zones` zones that know each other after
    /// [`MEETING`].
    pub fn open(count: usize, zones: usize, seed: u64) -> Fleet {
        let node = |index: usize| Node {
            engine: None,
            own: Peer { node: name(index), zone: format!("zone-{}", index % zones).into() },
            frozen: None,
            reaches_store: true,
            applied: BTreeMap::new(),
            wake: 0,
            life: 0,
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
            fleet.give(index, Event::Wake);
            fleet.network.put(fleet.now + MEETING, index, Item::Peers);
        }
        fleet
    }

    /// Starts a node in a new life; it knows its peers, they notice it later.
    pub fn start(&mut self, index: usize) {
        self.boot(index);
        self.give_peers(index);
        self.detect();
    }

    fn boot(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.life += 1;
        node.frozen = None;
        node.watch = None;
        node.applied.clear();
        let seed = self.seed.wrapping_mul(1_000_003) + index as u64 * 1_000 + node.life;
        node.engine = Some(Engine::open(node.own.clone(), seed));
    }

    /// Ends a node without notice.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].engine = None;
        self.detect();
    }

    /// Moves a node to a side of the network; 0 is the common one.
    pub fn put_on_side(&mut self, index: usize, side: u32) {
        self.network.sides[index] = side;
        self.detect();
    }

    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen.get_or_insert_default();
    }

    /// Lets a frozen node go on with what arrived meanwhile.
    pub fn resume(&mut self, index: usize) {
        for item in self.nodes[index].frozen.take().unwrap_or_default() {
            self.deliver(index, item);
        }
    }

    /// Tells every node of its live peers after the time that this takes.
    fn detect(&mut self) {
        for index in 0..self.nodes.len() {
            self.network.put(self.now + DETECTION, index, Item::Peers);
        }
    }

    fn give_peers(&mut self, index: usize) {
        let side = self.network.sides[index];
        let lives = |other: &usize| {
            let node = &self.nodes[*other];
            *other != index && node.engine.is_some() && self.network.sides[*other] == side
        };
        let peers = (0..self.nodes.len()).filter(lives).map(|i| self.nodes[i].own.clone());
        let peers = peers.collect();
        self.give(index, Event::Peers(peers));
    }

    /// An operator changes a profile in the store; returns its new record.
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

    /// An operator changes a profile through a node, while the store is up.
    pub fn write_through(&mut self, index: usize, key: &str) {
        let record = self.write(key);
        self.give(index, Event::Accepted(record));
    }

    /// Revision of a profile in the store.
    pub fn revision(&self, key: &str) -> u64 {
        let key = profile_key(key);
        let writes = self.store.writes.iter();
        writes.filter(|(_, record)| record.key == key).count() as u64
    }

    /// Gives an event to a node.
    pub fn give(&mut self, index: usize, event: Event) {
        let Some(engine) = &mut self.nodes[index].engine else { return };
        let actions = engine.handle(self.now, event);
        for action in actions {
            self.act(index, action);
        }
        if !self.measure {
            self.check_confirmation(index);
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, delivery)) = self.network.next(end) {
            self.now = self.now.max(at);
            self.deliver(delivery.to, delivery.item);
        }
        self.now = end;
    }

    /// Runs until `done` or for `most`; returns the time it took if done.
    pub fn until(&mut self, most: Duration, done: impl Fn(&Fleet) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < most {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(1));
        }
        done(self).then(|| self.now.since(start))
    }

    /// Status of a node that runs.
    pub fn status(&self, index: usize) -> Option<Status> {
        self.nodes[index].engine.as_ref().map(|engine| engine.status(self.now))
    }

    /// Nodes that run and are not frozen.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        let runs = |index: &usize| {
            self.nodes[*index].engine.is_some() && self.nodes[*index].frozen.is_none()
        };
        (0..self.nodes.len()).filter(runs)
    }

    /// Whether a node is ready and has the last write of every key in force.
    pub fn is_current(&self, index: usize) -> bool {
        let ready = self.status(index).is_some_and(|status| status.ready);
        let applied = &self.nodes[index].applied;
        let has = |record: &Record| applied.get(&record.key) >= Some(&record.revision);
        ready && self.store.writes.iter().all(|(_, record)| has(record))
    }

    /// Whether every running node is current.
    pub fn all_current(&self) -> bool {
        self.running().all(|index| self.is_current(index))
    }

    fn deliver(&mut self, index: usize, item: Item) {
        if let Some(held) = &mut self.nodes[index].frozen {
            held.push(item);
            return;
        }
        let life = self.nodes[index].life;
        match item {
            Item::Frame(from, message) => self.give(index, Event::Frame { from, message }),
            Item::Wake(wake) if wake == self.nodes[index].wake => self.give(index, Event::Wake),
            Item::Wake(_) => {}
            Item::Peers => self.give_peers(index),
            Item::Stored { life: of, records, upto } if of == life => {
                self.give(index, Event::Stored { records, revision: upto });
            }
            Item::StoreFailed { life: of } if of == life => self.give(index, Event::StoreFailed),
            Item::Stored { .. } | Item::StoreFailed { .. } => {}
            Item::WatchEnds { life: of, watch } => {
                if let Some((after, number)) = self.nodes[index].watch
                    && (of, watch) == (life, number)
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
            Action::Watch { after } => self.watch(index, after),
            Action::Wake(at) => {
                self.nodes[index].wake += 1;
                let wake = self.nodes[index].wake;
                self.network.put(at.max(self.now), index, Item::Wake(wake));
            }
        }
    }

    fn send(&mut self, index: usize, to: &str, message: Message) {
        let from = self.nodes[index].own.node.clone();
        if self.measure {
            self.traffic.frames += 1;
            self.traffic.bytes += encoded(&from, &message);
        }
        self.network.send(self.now, index, index_of(to), Item::Frame(from, message));
    }

    fn watch(&mut self, index: usize, after: u64) {
        self.store.calls += 1;
        self.watches += 1;
        self.nodes[index].watch = Some((after, self.watches));
        let life = self.nodes[index].life;
        if (self.store.writes.len() as u64) > after {
            return self.reply(index, after);
        }
        let item = Item::WatchEnds { life, watch: self.watches };
        self.network.put(self.now + WATCH_WAIT, index, item);
    }

    /// Replies to the watch of a node, or lets it fail.
    fn reply(&mut self, index: usize, after: u64) {
        let node = &mut self.nodes[index];
        node.watch = None;
        let life = node.life;
        let item = if self.store.up && node.reaches_store {
            let after = usize::try_from(after).expect("it counts writes");
            let changed = self.store.writes.get(after..).unwrap_or_default();
            let records = changed.iter().map(|(_, record)| record.clone()).collect();
            Item::Stored { life, records, upto: self.store.writes.len() as u64 }
        } else {
            Item::StoreFailed { life }
        };
        self.network.put(self.now + STORE_DELAY, index, item);
    }

    /// The store goes out of service: waiting watches fail.
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
        assert!(accepted, "only what the store accepted comes into force");
        let before = self.nodes[index].applied.insert(record.key.clone(), record.revision);
        assert!(before < Some(record.revision), "no revision goes back at node {index}");
    }

    /// A node that says that its records were current at a time must have every
    /// earlier write in force.
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

fn encoded(from: &id::Name, message: &Message) -> u64 {
    let envelope = jacinthfall_wire::Envelope {
        from: id::Incarnation { node: from.clone(), started: 1_700_000_000_000 },
        stamp: jacinthfall_wire::Stamp { time: u64::MAX, clock: u128::MAX },
        frame: jacinthfall_wire::Frame::Config(message.clone()),
    };
    jacinthfall_wire::encode(&envelope).expect("it encodes").len() as u64
}
