//! Several membership engines joined by a fake network. Each test file and
//! example uses a part of it.
//!
//! The fleet checks with every change of a view that no node goes back to an
//! earlier life or sequence, and that nodes which no fault touched are never
//! declared dead by each other.

#![allow(dead_code)]

pub mod fault;
pub mod network;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_member::{Action, Engine, Event, Vm};
use jacinthfall_wire::member::{Message, Rumor, State};
use network::Network;

/// What arrives at an engine.
#[derive(Clone, Debug)]
pub enum Item {
    Frame(id::Incarnation, Message),
    Wake(u64),
}

/// One node with its engine.
pub struct Node {
    pub engine: Option<Engine>,
    pub own: Rumor,
    /// While set, everything that arrives is held back.
    pub frozen: Option<Vec<Item>>,
    pub retired: bool,
    /// Life and sequence of each node in the last view.
    seen: BTreeMap<id::Name, (u64, u32)>,
    wake: u64,
    lives: u64,
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
    pub now: Time,
    pub traffic: Traffic,
    pub measure: bool,
    /// Nodes that no fault touched: none may declare another of them dead.
    pub untouched: BTreeSet<usize>,
    seed: u64,
}

pub fn name(index: usize) -> id::Name {
    format!("node-{index}").into()
}

fn address(index: usize, port: u16) -> SocketAddr {
    let host = u32::from(Ipv4Addr::new(10, 0, 0, 1)) + u32::try_from(index).unwrap();
    (Ipv4Addr::from(host), port).into()
}

impl Fleet {
    /// Starts `count` nodes in `zones` zones.
    pub fn open(count: usize, zones: usize, seed: u64) -> Fleet {
        let nodes = (0..count).map(|index| node(index, zones)).collect();
        let mut fleet = Fleet {
            nodes,
            network: Network::open(count, seed),
            now: Time::from_millis(1_000),
            traffic: Traffic::default(),
            measure: false,
            untouched: BTreeSet::new(),
            seed,
        };
        for index in 0..count {
            fleet.start(index);
        }
        fleet
    }

    /// The VM list with every node.
    pub fn list(&self) -> Vec<Vm> {
        let vm = |node: &Node| Vm {
            node: node.own.node.node.clone(),
            zone: node.own.zone.clone(),
            peer_address: node.own.peer_address,
            caller_address: node.own.caller_address,
            leaving: false,
        };
        self.nodes.iter().map(vm).collect()
    }

    /// Starts a node in a new life and shows it the VM list.
    pub fn start(&mut self, index: usize) {
        let list = self.list();
        let node = &mut self.nodes[index];
        node.lives += 1;
        node.own.node.started = 1_000 * node.lives;
        node.frozen = None;
        node.retired = false;
        node.seen.clear();
        let seed = self.seed.wrapping_mul(1_000_003) + index as u64 + node.lives;
        node.engine = Some(Engine::open(node.own.clone(), seed));
        self.give(index, Event::Vms(list));
    }

    /// Ends a node without notice.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].engine = None;
    }

    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen.get_or_insert_default();
    }

    /// Lets a frozen node go on with what arrived meanwhile.
    pub fn resume(&mut self, index: usize) {
        let held = self.nodes[index].frozen.take().unwrap_or_default();
        for item in held {
            self.deliver(index, item);
        }
    }

    /// Gives an event to a node.
    pub fn give(&mut self, index: usize, event: Event) {
        let Some(engine) = &mut self.nodes[index].engine else { return };
        let actions = engine.handle(self.now, event);
        for action in actions {
            self.act(index, action);
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
            self.run(Duration::from_millis(10));
        }
        done(self).then(|| self.now.since(start))
    }

    fn deliver(&mut self, index: usize, item: Item) {
        if let Some(held) = &mut self.nodes[index].frozen {
            held.push(item);
            return;
        }
        match item {
            Item::Frame(from, message) => self.give(index, Event::Frame { from, message }),
            Item::Wake(wake) if wake == self.nodes[index].wake => self.give(index, Event::Wake),
            Item::Wake(_) => {}
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message, .. } => self.send(index, &to, message),
            Action::ViewChanged if self.measure => {}
            Action::ViewChanged => self.check_view(index),
            Action::Retire => self.nodes[index].retired = true,
            Action::Wake(at) => {
                self.nodes[index].wake += 1;
                let wake = self.nodes[index].wake;
                self.network.schedule(at.max(self.now), index, Item::Wake(wake));
            }
        }
    }

    fn send(&mut self, index: usize, to: &str, message: Message) {
        let target: usize = to.trim_start_matches("node-").parse().expect("a name of the fleet");
        let from = self.nodes[index].own.node.clone();
        if self.measure {
            self.traffic.frames += 1;
            self.traffic.bytes += encoded(&from, &message);
        }
        if target < self.nodes.len() {
            self.network.send(self.now, index, target, Item::Frame(from, message));
        }
    }

    fn check_view(&mut self, index: usize) {
        let view = self.nodes[index].engine.as_ref().expect("it runs").view();
        for rumor in view.iter() {
            let key = (rumor.node.started, rumor.sequence);
            let before = self.nodes[index].seen.insert(rumor.node.node.clone(), key);
            assert!(before <= Some(key), "node {index} goes back on {rumor:?}");
        }
        if !self.untouched.contains(&index) {
            return;
        }
        let names: BTreeSet<_> = view.iter().map(|rumor| &rumor.node.node).collect();
        for &other in &self.untouched {
            assert!(names.contains(&name(other)), "node {index} evicts {other}, which is well");
        }
    }

    /// State of `other` as node `index` sees it; `None` if not in its view.
    pub fn state(&self, index: usize, other: usize) -> Option<State> {
        let view = self.nodes[index].engine.as_ref()?.view();
        let name = name(other);
        view.iter().find(|rumor| rumor.node.node == name).map(|rumor| rumor.state)
    }

    /// Nodes that run.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|&index| self.nodes[index].engine.is_some())
    }

    /// Whether every running node sees `other` in `state`.
    pub fn all_see(&self, other: usize, state: Option<State>) -> bool {
        self.running().filter(|&index| index != other).all(|i| self.state(i, other) == state)
    }

    /// Whether every running node sees every running node alive.
    pub fn all_alive(&self) -> bool {
        let running: Vec<_> = self.running().map(name).collect();
        self.running().all(|index| {
            let view = self.nodes[index].engine.as_ref().expect("it runs").view();
            let alive = view.iter().filter(|rumor| rumor.state == State::Alive);
            alive.filter(|rumor| running.contains(&rumor.node.node)).count() == running.len()
        })
    }
}

fn node(index: usize, zones: usize) -> Node {
    let own = Rumor {
        node: id::Incarnation { node: name(index), started: 0 },
        sequence: 0,
        state: State::Alive,
        zone: format!("zone-{}", index % zones).into(),
        peer_address: address(index, 7_000),
        caller_address: address(index, 8_000),
    };
    Node {
        engine: None,
        own,
        frozen: None,
        retired: false,
        seen: BTreeMap::new(),
        wake: 0,
        lives: 0,
    }
}

fn encoded(from: &id::Incarnation, message: &Message) -> u64 {
    let envelope = jacinthfall_wire::Envelope {
        from: from.clone(),
        stamp: jacinthfall_wire::Stamp { time: u64::MAX, clock: u128::MAX },
        frame: jacinthfall_wire::Frame::Member(message.clone()),
    };
    jacinthfall_wire::encode(&envelope).expect("it encodes").len() as u64
}
