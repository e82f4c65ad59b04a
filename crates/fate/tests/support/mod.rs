//! Simulated cluster: keepers connected by a network that loses, duplicates, delays and
//! reorders frames.
//!
//! Time is simulated, and every random number is derived from the seed.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthfall_core::fate::Fate;
use jacinthfall_core::id::{Incarnation, Token};
use jacinthfall_core::refusal::Ran;
use jacinthfall_core::time::{Time, Wall};
use jacinthfall_fate::view::View;
use jacinthfall_fate::{Action, Event, Keeper, Peer, Settings};
use jacinthfall_wire::fate::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum time until a node learns of a change of the live nodes.
pub const MEMBERSHIP_LAG: Duration = Duration::from_secs(1);

/// Answer of a keeper to a search.
#[derive(Clone, Debug)]
pub struct Answer {
    pub fates: Vec<Fate>,
    pub complete: bool,
    pub reach: Duration,
}

/// Fault parameters of the network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Probability that a frame is lost.
    pub loss: f64,
    /// Probability that a frame is duplicated.
    pub duplication: f64,
    pub max_delay: Duration,
}

impl Network {
    pub const RELIABLE: Network =
        Network { loss: 0.0, duplication: 0.0, max_delay: Duration::from_millis(2) };
    pub const LOSSY: Network =
        Network { loss: 0.2, duplication: 0.2, max_delay: Duration::from_millis(400) };
    pub const DISCONNECTED: Network = Network { loss: 1.0, ..Network::RELIABLE };
}

/// Something that reaches a node after a delay.
enum Delivery {
    Frame { from: usize, message: Message },
    Peers,
}

pub struct Node {
    pub peer: Peer,
    pub keeper: Option<Keeper>,
    wake_at: Option<Time>,
    pub handed_over: u32,
    answers: BTreeMap<Token, Answer>,
}

pub struct Cluster {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub network: Network,
    /// Nodes whose frames are dropped in both directions.
    pub isolated: BTreeSet<usize>,
    settings: Settings,
    leaving: BTreeSet<usize>,
    queue: BTreeMap<(Time, u64), (usize, Delivery)>,
    last_number: u64,
    rng: ChaCha8Rng,
}

/// Starts a cluster of `nodes` nodes, distributed evenly over `zones` zones.
pub fn cluster(nodes: usize, zones: usize, settings: Settings, seed: u64) -> Cluster {
    let mut cluster = Cluster {
        now: Time(1_000_000),
        nodes: Vec::new(),
        network: Network::RELIABLE,
        isolated: BTreeSet::new(),
        settings,
        leaving: BTreeSet::new(),
        queue: BTreeMap::new(),
        last_number: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    for n in 0..nodes {
        let zone = format!("zone-{}", n % zones).into();
        let peer = Peer { node: format!("node-{n}").into(), started: 1, zone };
        let keeper = None;
        let answers = BTreeMap::new();
        cluster.nodes.push(Node { peer, keeper, wake_at: None, handed_over: 0, answers });
    }
    (0..nodes).for_each(|n| cluster.open(n));
    cluster.announce_peers();
    cluster.run(MEMBERSHIP_LAG * 2);
    cluster
}

/// Builds the fate of a request on a node; in progress if `took` is `None`.
pub fn fate(request: &str, node: &Peer, arrived: u64, took: Option<u64>) -> Fate {
    Fate {
        request: request.into(),
        profile: "desk".into(),
        caller: "shop".into(),
        node: Incarnation { node: node.node.clone(), started: node.started },
        arrived: Wall(arrived),
        ended: took.map(|took| Wall(arrived + took)),
        ran: if took.is_some() { Ran::Ran } else { Ran::NotRun },
        version: None,
        coverage: None,
        refused: None,
        message: String::new(),
        spans: Vec::new(),
        slowest: None,
        hedges: 0,
        retries: 0,
    }
}

impl Cluster {
    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&n| self.nodes[n].keeper.is_some()).collect()
    }

    pub fn zone(&self, node: usize) -> Vec<usize> {
        let zone = &self.nodes[node].peer.zone;
        (0..self.nodes.len()).filter(|&n| self.nodes[n].peer.zone == *zone).collect()
    }

    /// Returns the nodes that should currently store copies of a fate of `server`.
    pub fn keepers(&self, request: &str, server: usize) -> Vec<usize> {
        let live = self.live().into_iter().filter(|n| !self.leaving.contains(n));
        let view = View::new(live.map(|n| self.nodes[n].peer.clone()), self.settings.cells);
        let peer = &self.nodes[server].peer;
        let incarnation = Incarnation { node: peer.node.clone(), started: peer.started };
        let keepers = view.keepers(request, &incarnation);
        keepers
            .iter()
            .map(|keeper| self.nodes.iter().position(|node| node.peer == **keeper).unwrap())
            .collect()
    }

    /// Returns the number of zones in which a live node stores the fate in the state
    /// that ended at `ended`.
    pub fn zones_storing(&mut self, request: &str, ended: Option<Wall>) -> usize {
        let mut zones = BTreeSet::new();
        for n in self.live() {
            let found = self.find_locally(n, request);
            if found.iter().any(|fate| fate.ended == ended) {
                zones.insert(self.nodes[n].peer.zone.clone());
            }
        }
        zones.len()
    }

    /// Returns the fates that one node stores itself. The frame that asks for them
    /// bypasses the simulated network.
    fn find_locally(&mut self, node: usize, request: &str) -> Vec<Fate> {
        let now = self.now;
        let message = Message::Find { token: Token(0), request: request.into() };
        let keeper = self.nodes[node].keeper.as_mut().unwrap();
        let actions = keeper.handle(now, Event::Frame { from: "asker".into(), message });
        let mut fates = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message: Message::Found { fates: found, .. } }
                    if &*to == "asker" =>
                {
                    fates = found;
                }
                other => self.carry_out(node, other),
            }
        }
        fates
    }

    pub fn record(&mut self, node: usize, request: &str, arrived: u64, took: Option<u64>) {
        let fate = fate(request, &self.nodes[node].peer, arrived, took);
        self.handle(node, Event::Record(fate));
    }

    pub fn record_and_flush(&mut self, node: usize, request: &str, arrived: u64) {
        let fate = fate(request, &self.nodes[node].peer, arrived, None);
        self.handle(node, Event::RecordAndFlush(fate));
    }

    /// Kills a node. The others learn of it within [`MEMBERSHIP_LAG`].
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].keeper = None;
        self.leaving.remove(&node);
        self.queue.retain(|_, (to, _)| *to != node);
        self.announce_peers();
    }

    /// Restarts a node without its stored fates.
    pub fn restart(&mut self, node: usize) {
        self.queue.retain(|_, (to, _)| *to != node);
        self.nodes[node].peer.started += 1;
        self.open(node);
        self.announce_peers();
    }

    /// Starts the planned stop of a node.
    pub fn stop(&mut self, node: usize) {
        self.leaving.insert(node);
        self.handle(node, Event::HandOver);
        self.announce_peers();
    }

    /// Searches for a fate at a node, and runs until it answers.
    pub fn find(&mut self, node: usize, request: &str) -> Answer {
        self.last_number += 1;
        let token = Token(self.last_number);
        self.handle(node, Event::Find { token, request: request.into() });
        let limit = self.now + Duration::from_secs(2);
        while !self.nodes[node].answers.contains_key(&token) && self.now < limit {
            self.run(Duration::from_millis(1));
        }
        self.nodes[node]
            .answers
            .remove(&token)
            .expect("every search must be answered within two seconds")
    }

    /// Advances the simulated time, delivering frames and wake-ups on the way.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let delivery = self.queue.first_key_value().map(|((at, _), _)| *at);
            let wakes = (0..self.nodes.len()).filter_map(|n| Some((self.nodes[n].wake_at?, n)));
            let wake = wakes.min();
            let next = delivery.into_iter().chain(wake.map(|(at, _)| at)).min();
            let Some(next) = next.filter(|next| *next <= end) else { break };
            self.now = self.now.max(next);
            if delivery == Some(next) {
                let (_, (to, delivery)) = self.queue.pop_first().unwrap();
                self.deliver(to, delivery);
                continue;
            }
            let node = wake.unwrap().1;
            self.nodes[node].wake_at = None;
            self.handle(node, Event::Wake);
        }
        self.now = end;
    }

    pub fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(keeper) = &mut self.nodes[node].keeper else { return };
        for action in keeper.handle(now, event) {
            self.carry_out(node, action);
        }
    }

    fn open(&mut self, node: usize) {
        let seed = self.rng.random();
        let peer = self.nodes[node].peer.clone();
        self.nodes[node].keeper = Some(Keeper::open(peer, self.settings.clone(), seed));
        self.nodes[node].wake_at = None;
        self.nodes[node].handed_over = 0;
        self.leaving.remove(&node);
    }

    /// Sends the current set of live nodes to every live node, each after its own delay.
    pub fn announce_peers(&mut self) {
        for n in self.live() {
            let delay = self.delay(MEMBERSHIP_LAG);
            self.schedule(n, delay, Delivery::Peers);
        }
    }

    fn deliver(&mut self, to: usize, delivery: Delivery) {
        let event = match delivery {
            Delivery::Frame { from, message } => {
                Event::Frame { from: self.nodes[from].peer.node.clone(), message }
            }
            Delivery::Peers => {
                let live = self.live().into_iter();
                let others = live.filter(|n| *n != to && !self.leaving.contains(n));
                Event::Peers(others.map(|n| self.nodes[n].peer.clone()).collect())
            }
        };
        self.handle(to, event);
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, &to, message),
            Action::Answer { token, fates, complete, reach } => {
                let answer = Answer { fates, complete, reach };
                let earlier = self.nodes[node].answers.insert(token, answer);
                assert!(earlier.is_none(), "a search was answered twice");
            }
            Action::HandedOver => self.nodes[node].handed_over += 1,
            Action::Wake(at) => self.nodes[node].wake_at = Some(at),
        }
    }

    fn send(&mut self, from: usize, to: &str, message: Message) {
        let to = self.nodes.iter().position(|node| &*node.peer.node == to).unwrap();
        if self.nodes[to].keeper.is_none()
            || self.isolated.contains(&from)
            || self.isolated.contains(&to)
        {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let delay = self.delay(self.network.max_delay);
            self.schedule(to, delay, Delivery::Frame { from, message: message.clone() });
        }
    }

    fn schedule(&mut self, to: usize, delay: Duration, delivery: Delivery) {
        self.last_number += 1;
        self.queue.insert((self.now + delay, self.last_number), (to, delivery));
    }

    fn delay(&mut self, max: Duration) -> Duration {
        Duration::from_micros(self.rng.random_range(500..=max.as_micros().max(500)) as u64)
    }
}
