//! Simulation of the quotas of organisations over many nodes, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::gossip::Datagram;
use jacinthfall_dispatch::quota::{Ask, Decision, MAX_WAIT, OrganisationId, Quotas, Reply, Rule};
use jacinthfall_route::organisation::Quota;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Window of the rule, its overage and its slack.
pub const WINDOW: Duration = Duration::from_secs(5);
const RULE: Rule = Rule { window: WINDOW, overage: 0.1, slack: 20.0 };

/// Interval at which a node's messages become due, and at which they do while requests wait.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAITING_INTERVAL: Duration = Duration::from_millis(2);

/// Time after its start for which a node assumes that it doesn't know all others.
const SETTLING_TIME: Duration = Duration::from_secs(3);
const MIN_NODES: usize = 8;

/// Time until the store drops a node that was killed.
const REGISTRATION_TIME: Duration = Duration::from_secs(6);

/// What the network does to messages; shares from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub lost: f64,
    pub doubled: f64,
    pub delayed: f64,
    pub max_delay: Duration,
}

/// An organisation and its callers.
#[derive(Clone, Copy, Debug)]
pub struct Customer {
    pub name: &'static str,
    pub quota: Quota,
    /// Requests per second.
    pub demand: f64,
}

impl Customer {
    pub fn organisation(&self) -> OrganisationId {
        OrganisationId::of(self.name)
    }

    /// Returns the maximum number of requests in a window.
    pub fn max_requests(&self) -> usize {
        let Quota { rate_per_s, burst } = self.quota;
        ((rate_per_s * WINDOW.as_secs_f64() + burst) * (1.0 + RULE.overage) + RULE.slack) as usize
    }
}

/// The end of one request.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub at: Time,
    pub waited: Duration,
    pub is_admitted: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Poll(usize, u64),
    Ask(usize, Ask),
    Reply(usize, u64, Reply),
    Arrival(usize),
    Deadline(usize, u64),
    Members(usize, u64),
}

struct Node {
    name: id::Name,
    process: u64,
    started: Time,
    is_running: bool,
    resumes: Time,
    /// Whether it reaches neither the store nor any other node.
    is_cut_off: bool,
    /// Nodes of different sides don't reach each other.
    side: usize,
    /// Names of the nodes that it knows.
    members: Vec<id::Name>,
    quotas: Quotas,
    /// Limits of its configuration in force.
    limits: HashMap<OrganisationId, Quota>,
    /// Requests that wait: the customer, and when they arrived.
    waiting: Vec<(usize, Time)>,
    next_poll: Time,
}

pub struct World {
    pub now: Time,
    pub network: Network,
    pub customers: Vec<Customer>,
    pub ended: Vec<Vec<Ended>>,
    pub messages: u64,
    /// Size of all messages.
    pub bytes: u64,
    /// Size of the messages that each node has sent.
    pub sent_bytes: Vec<u64>,
    pub rng: ChaCha8Rng,
    nodes: Vec<Node>,
    /// Nodes that callers use.
    pub callers: Vec<usize>,
    /// Nodes that are registered in the store.
    registered: Vec<bool>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    contents: HashMap<u64, Event>,
    count: u64,
}

fn limits(customers: &[Customer]) -> HashMap<OrganisationId, Quota> {
    customers.iter().map(|customer| (customer.organisation(), customer.quota)).collect()
}

impl World {
    pub fn open(nodes: usize, callers: usize, customers: &[Customer], seed: u64) -> World {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World {
            now: Time(0),
            network: Network::default(),
            customers: customers.to_vec(),
            ended: vec![Vec::new(); customers.len()],
            messages: 0,
            bytes: 0,
            sent_bytes: vec![0; nodes],
            rng,
            nodes: Vec::new(),
            callers: (0..callers).collect(),
            registered: vec![true; nodes],
            events: BinaryHeap::new(),
            contents: HashMap::new(),
            count: 0,
        };
        for index in 0..nodes {
            let name: id::Name = format!("node-{index}-{seed}").into();
            world.nodes.push(Node {
                quotas: Quotas::open(RULE, name.clone(), 0),
                name,
                process: 0,
                started: Time(0),
                is_running: false,
                resumes: Time(0),
                is_cut_off: false,
                side: 0,
                members: Vec::new(),
                limits: HashMap::new(),
                waiting: Vec::new(),
                next_poll: Time(0),
            });
        }
        (0..nodes).for_each(|index| world.start(index));
        (0..customers.len()).for_each(|customer| world.schedule_arrival(customer));
        world
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count)));
        self.contents.insert(self.count, event);
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let demand = self.customers[customer].demand;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / demand;
        self.schedule(self.now + Duration::from_secs_f64(gap), Event::Arrival(customer));
    }

    pub fn start(&mut self, index: usize) {
        let now = self.now;
        self.registered[index] = true;
        let node = &mut self.nodes[index];
        node.process += 1;
        node.started = now;
        node.is_running = true;
        node.resumes = now;
        node.waiting.clear();
        node.quotas = Quotas::open(RULE, node.name.clone(), node.process);
        node.limits = limits(&self.customers);
        node.quotas.set_quotas(Time(0), node.limits.clone());
        let process = node.process;
        self.set_members(index);
        self.schedule(now, Event::Poll(index, process));
        self.schedule(now + SETTLING_TIME, Event::Members(index, process));
        if now > Time(0) {
            self.announce();
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_running = false;
        let process = self.nodes[index].process;
        self.schedule(self.now + REGISTRATION_TIME, Event::Members(index, process));
    }

    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].resumes = self.now + time;
    }

    pub fn set_cut_off(&mut self, index: usize, is_cut_off: bool) {
        self.nodes[index].is_cut_off = is_cut_off;
        // A node finds out a second later that nothing answers.
        let delay = if is_cut_off { Duration::from_secs(1) } else { Duration::ZERO };
        let process = self.nodes[index].process;
        self.schedule(self.now + delay, Event::Members(index, process));
    }

    /// Cuts the nodes off from those of other sides.
    pub fn set_side(&mut self, index: usize, side: usize) {
        self.nodes[index].side = side;
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.nodes[index].is_running
    }

    /// Puts the customers' present quotas in force at one node.
    pub fn configure(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.limits = limits(&self.customers);
        let quotas = node.limits.clone();
        node.quotas.set_quotas(Time(self.now.0 - node.started.0), quotas);
    }

    /// Lets all nodes learn within a second which nodes are registered.
    fn announce(&mut self) {
        for index in 0..self.nodes.len() {
            let delay = Duration::from_millis(self.rng.random_range(10..1_000));
            let process = self.nodes[index].process;
            self.schedule(self.now + delay, Event::Members(index, process));
        }
    }

    fn set_members(&mut self, index: usize) {
        let registered = self.nodes.iter().zip(&self.registered);
        let names = registered.filter(|(_, registered)| **registered);
        let names: Vec<id::Name> = names.map(|(node, _)| node.name.clone()).collect();
        let node = &mut self.nodes[index];
        let local = Time(self.now.0 - node.started.0);
        if !node.is_cut_off {
            node.members = names;
        }
        let is_settled = local.since(Time(0)) >= SETTLING_TIME;
        let min_nodes = if is_settled && !node.is_cut_off { 1 } else { MIN_NODES };
        node.quotas.set_members(local, node.members.clone(), min_nodes);
    }

    /// Runs until a time.
    pub fn run(&mut self, until: Time) {
        while let Some(Reverse((at, key))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.contents.remove(&key).expect("a scheduled event");
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let index = match &event {
            Event::Arrival(customer) => return self.arrive(*customer),
            Event::Poll(index, process)
            | Event::Reply(index, process, _)
            | Event::Deadline(index, process) => {
                if self.nodes[*index].process != *process {
                    return;
                }
                *index
            }
            Event::Members(index, process) => {
                let node = &self.nodes[*index];
                if node.process == *process && !node.is_running && self.registered[*index] {
                    self.registered[*index] = false;
                    return self.announce();
                }
                *index
            }
            Event::Ask(index, _) => *index,
        };
        let node = &mut self.nodes[index];
        if !node.is_running {
            return;
        }
        if node.resumes > self.now {
            // In order, as a socket's buffer keeps them.
            let resumes = node.resumes;
            return self.schedule(resumes, event);
        }
        let local = Time(self.now.0 - node.started.0);
        match event {
            Event::Poll(_, process) => {
                if self.now >= self.nodes[index].next_poll || self.nodes[index].started == self.now
                {
                    self.poll(index);
                    let interval = if self.nodes[index].waiting.is_empty() {
                        POLL_INTERVAL
                    } else {
                        WAITING_INTERVAL
                    };
                    self.nodes[index].next_poll = self.now + interval;
                    self.schedule(self.now + interval, Event::Poll(index, process));
                }
            }
            Event::Ask(_, ask) => {
                if let Some(reply) = node.quotas.receive_ask(local, &ask) {
                    let to = self.index(&ask.node);
                    let process = ask.started;
                    self.send(index, to, Event::Reply(to, process, reply));
                }
            }
            Event::Reply(_, _, reply) => {
                node.quotas.receive_reply(local, &reply);
                self.retry(index);
            }
            Event::Deadline(..) => self.retry(index),
            Event::Members(..) => self.set_members(index),
            Event::Arrival(_) => {}
        }
    }

    fn index(&self, name: &str) -> usize {
        name.split('-').nth(1).and_then(|index| index.parse().ok()).expect("a node's name")
    }

    fn poll(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let local = Time(self.now.0 - node.started.0);
        for (name, ask) in node.quotas.poll(local) {
            let to = self.index(&name);
            self.send(index, to, Event::Ask(to, ask));
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            return self.handle(event);
        }
        let datagram = match &event {
            Event::Ask(_, ask) => Datagram::QuotaAsk(ask.clone()),
            Event::Reply(_, _, reply) => Datagram::QuotaReply(reply.clone()),
            other => panic!("{other:?} isn't a message"),
        };
        let encoded = bincode::serde::encode_to_vec(datagram, bincode::config::standard());
        let size = encoded.expect("plain").len() as u64;
        self.messages += 1;
        self.bytes += size;
        self.sent_bytes[from] += size;
        let (sender, receiver) = (&self.nodes[from], &self.nodes[to]);
        let is_cut = sender.is_cut_off || receiver.is_cut_off || sender.side != receiver.side;
        let network = self.network;
        if is_cut || self.rng.random_bool(network.lost) {
            return;
        }
        let copies = if self.rng.random_bool(network.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = Duration::from_micros(self.rng.random_range(200..1_400));
            if self.rng.random_bool(network.delayed) {
                delay += network.max_delay.mul_f64(self.rng.random());
            }
            self.schedule(self.now + delay, event.clone());
        }
    }

    fn arrive(&mut self, customer: usize) {
        self.schedule_arrival(customer);
        // The first of the nodes gets most requests.
        let position = self.rng.random::<f64>().powi(2) * self.callers.len() as f64;
        let index = self.callers[position as usize];
        let node = &mut self.nodes[index];
        if !node.is_running || node.resumes > self.now {
            return;
        }
        let local = Time(self.now.0 - node.started.0);
        let organisation = self.customers[customer].organisation();
        let quota = node.limits[&organisation];
        match node.quotas.request(local, organisation, &quota) {
            Decision::Wait => {
                node.waiting.push((customer, self.now));
                let process = node.process;
                // The I/O sends what is due at once.
                self.poll(index);
                self.schedule(self.now + MAX_WAIT, Event::Deadline(index, process));
                let next = self.now + WAITING_INTERVAL;
                if next < self.nodes[index].next_poll {
                    self.nodes[index].next_poll = next;
                    self.schedule(next, Event::Poll(index, process));
                }
            }
            decision => self.end(customer, self.now, decision),
        }
    }

    fn end(&mut self, customer: usize, arrived: Time, decision: Decision) {
        let ended = Ended {
            at: self.now,
            waited: self.now.since(arrived),
            is_admitted: decision == Decision::Admit,
        };
        self.ended[customer].push(ended);
    }

    fn retry(&mut self, index: usize) {
        let started = self.nodes[index].started;
        for (customer, arrived) in std::mem::take(&mut self.nodes[index].waiting) {
            let organisation = self.customers[customer].organisation();
            let node = &mut self.nodes[index];
            let (now, since) = (Time(self.now.0 - started.0), Time(arrived.0 - started.0));
            match node.quotas.retry(now, organisation, since) {
                Decision::Wait => node.waiting.push((customer, arrived)),
                decision => self.end(customer, arrived, decision),
            }
        }
    }

    /// Returns the largest number of requests of a customer in any window that begins at `from`
    /// or later.
    pub fn busiest_window(&self, customer: usize, from: Time) -> usize {
        let admitted = self.ended[customer].iter().filter(|ended| ended.is_admitted);
        let times: Vec<Time> = admitted.map(|ended| ended.at).filter(|at| *at >= from).collect();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in times.iter().enumerate() {
            while at.since(times[first]) > WINDOW {
                first += 1;
            }
            most = most.max(last - first + 1);
        }
        most
    }

    /// Returns the numbers of admitted and of refused requests that ended from `from` on.
    pub fn counts(&self, customer: usize, from: Time) -> (usize, usize) {
        let ended = self.ended[customer].iter().filter(|ended| ended.at >= from);
        let (admitted, refused): (Vec<&Ended>, Vec<&Ended>) =
            ended.partition(|ended| ended.is_admitted);
        (admitted.len(), refused.len())
    }

    /// Asserts the rule for all customers.
    pub fn assert_rule(&self, context: &str) {
        for (index, customer) in self.customers.iter().enumerate() {
            let most = self.busiest_window(index, Time(0));
            let allowed = customer.max_requests();
            assert!(most <= allowed, "{context}: {customer:?} made {most} of {allowed} requests");
        }
    }
}
