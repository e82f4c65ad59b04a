//! Membership engines connected by a simulated network. Each test file and example
//! uses a part of this module.
//!
//! At every change of a view, the fleet checks that no node goes back to an earlier
//! incarnation or sequence of any node, and that unaffected nodes never declare each
//! other dead.

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

/// An item delivered to a node.
#[derive(Clone, Debug)]
pub enum Item {
    Frame(id::Incarnation, Message),
    Wake(u64),
}

/// A simulated node.
pub struct Node {
    /// `None` while the node is not running.
    pub engine: Option<Engine>,
    pub own: Rumor,
    /// While the node is frozen, the items that have arrived for it.
    pub frozen: Option<Vec<Item>>,
    pub retired: bool,
    /// Incarnation and sequence of each node in the last view.
    seen: BTreeMap<id::Name, (u64, u32)>,
    wake: u64,
    incarnations: u64,
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
    pub now: Time,
    pub traffic: Traffic,
    /// Whether traffic is counted instead of checking the views.
    pub measure: bool,
    /// Nodes that no fault affects: none of them may declare another one dead.
    pub unaffected: BTreeSet<usize>,
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
            unaffected: BTreeSet::new(),
            seed,
        };
        for index in 0..count {
            fleet.start(index);
        }
        fleet
    }

    /// Returns a VM list with every node.
    pub fn vm_list(&self) -> Vec<Vm> {
        let vm = |node: &Node| Vm {
            node: node.own.node.node.clone(),
            zone: node.own.zone.clone(),
            peer_address: node.own.peer_address,
            caller_address: node.own.caller_address,
            leaving: false,
        };
        self.nodes.iter().map(vm).collect()
    }

    /// Starts a new incarnation of a node and gives it the VM list.
    pub fn start(&mut self, index: usize) {
        let vm_list = self.vm_list();
        let node = &mut self.nodes[index];
        node.incarnations += 1;
        node.own.node.started = 1_000 * node.incarnations;
        node.frozen = None;
        node.retired = false;
        node.seen.clear();
        let seed = self.seed.wrapping_mul(1_000_003) + index as u64 + node.incarnations;
        node.engine = Some(Engine::open(node.own.clone(), seed));
        self.handle(index, Event::Vms(vm_list));
    }

    /// Kills a node.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].engine = None;
    }

    /// Freezes a node: it keeps its state and handles nothing.
    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen.get_or_insert_default();
    }

    /// Resumes a frozen node, which handles the items that have arrived.
    pub fn resume(&mut self, index: usize) {
        let held = self.nodes[index].frozen.take().unwrap_or_default();
        for item in held {
            self.deliver(index, item);
        }
    }

    /// Lets a node handle an event.
    pub fn handle(&mut self, index: usize, event: Event) {
        let Some(engine) = &mut self.nodes[index].engine else { return };
        let actions = engine.handle(self.now, event);
        for action in actions {
            self.act(index, action);
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
            Item::Frame(from, message) => self.handle(index, Event::Frame { from, message }),
            Item::Wake(wake) if wake == self.nodes[index].wake => self.handle(index, Event::Wake),
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
            self.traffic.bytes += encoded_length(&from, &message);
        }
        if target < self.nodes.len() {
            self.network.send(self.now, index, target, Item::Frame(from, message));
        }
    }

    /// Checks the view of a node after a change.
    fn check_view(&mut self, index: usize) {
        let view = self.nodes[index].engine.as_ref().expect("it runs").view();
        for rumor in view.iter() {
            let key = (rumor.node.started, rumor.sequence);
            let before = self.nodes[index].seen.insert(rumor.node.node.clone(), key);
            assert!(before <= Some(key), "node {index} went back from {before:?} to {rumor:?}");
        }
        if !self.unaffected.contains(&index) {
            return;
        }
        let names: BTreeSet<_> = view.iter().map(|rumor| &rumor.node.node).collect();
        for &other in &self.unaffected {
            assert!(
                names.contains(&name(other)),
                "node {index} declared the unaffected node {other} dead"
            );
        }
    }

    /// Returns the state of `other` in the view of node `index`, or `None` if it is not
    /// in the view.
    pub fn state(&self, index: usize, other: usize) -> Option<State> {
        let view = self.nodes[index].engine.as_ref()?.view();
        let name = name(other);
        view.iter().find(|rumor| rumor.node.node == name).map(|rumor| rumor.state)
    }

    /// Returns the running nodes.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|&index| self.nodes[index].engine.is_some())
    }

    /// Returns whether `other` has `state` in the view of every other running node.
    pub fn all_see(&self, other: usize, state: Option<State>) -> bool {
        self.running().filter(|&index| index != other).all(|i| self.state(i, other) == state)
    }

    /// Returns whether all running nodes are alive in the views of all running nodes.
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
        incarnations: 0,
    }
}

/// Returns the length of an encoded frame.
fn encoded_length(from: &id::Incarnation, message: &Message) -> u64 {
    let envelope = jacinthfall_wire::Envelope {
        from: from.clone(),
        stamp: jacinthfall_wire::Stamp { time: u64::MAX, clock: u128::MAX },
        frame: jacinthfall_wire::Frame::Member(message.clone()),
    };
    jacinthfall_wire::encode(&envelope).expect("it encodes").len() as u64
}
