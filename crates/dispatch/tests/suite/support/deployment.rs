//! Many nodes in virtual time that know each other by heartbeats only and send to one leaf.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Candidates, Demand, Fleet, Key, Need, Placement, Turn};
use jacinthfall_dispatch::fleet::{Ending, Statement};
use jacinthfall_dispatch::reach::Loss;
use jacinthfall_dispatch::roster::{self, Heartbeat, Node, Phase, Roster};
use jacinthfall_dispatch::transfer::Rank;
use jacinthfall_route::leaf::{Age, Entry};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::entry;

/// Interval between two heartbeats of a node.
const TICK: Duration = Duration::from_millis(250);

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// Time after its start for which a node takes no more than an equal share, as gateway nodes do.
pub const SETTLING_TIME: Duration = Duration::from_secs(10);

/// Number of nodes that a node assumes at least in that time.
const MIN_ASSUMED_NODES: usize = 8;

/// Number of ticks over which a node measures its demand.
const METER_TICKS: usize = 6;

/// Time in which the leaf answers.
const RESPONSE: Duration = Duration::from_millis(20);

/// A gateway node: what it knows of the others, and its fleet of one leaf.
struct Member {
    own: Node,
    roster: Roster,
    fleet: Fleet,
    /// Requests in each of the latest ticks, newest first.
    ticks: [u32; METER_TICKS],
    /// Share of all requests that callers send to it.
    weight: f64,
}

impl Member {
    fn demand(&self) -> u32 {
        let requests: u32 = self.ticks.iter().sum();
        let window = TICK.as_secs_f64() * METER_TICKS as f64;
        (1_000.0 * f64::from(requests) / window).round() as u32
    }

    fn heartbeat(&self) -> Heartbeat {
        let node = self.demand();
        Heartbeat {
            node: self.own.clone(),
            phase: Phase::Serving,
            upto: Position::new(0, 1),
            configuration: Rank::default(),
            store_answers: true,
            active: true,
            load: 0,
            demand: roster::Demand { node, zone: self.roster.zone_demand(&self.own, node) },
            loss: Loss::Nothing,
        }
    }

    fn leaf(&self) -> Key {
        self.fleet.leafs("a")[0]
    }

    /// Sends a request that has just arrived if the fleet allows it now.
    fn serve(&mut self, now: Time) -> bool {
        let candidates = Candidates::AllBut(Vec::new());
        let demand = Demand {
            usual: RESPONSE,
            respond_by: now + Duration::from_secs(1),
            candidates: &candidates,
            queued: false,
            turn: Turn::default(),
            need: Need::Required,
        };
        let Placement::Leaf(key) = self.fleet.place(now, "a", &demand) else { return false };
        self.fleet.record_send(now, key, RESPONSE);
        let ending = Ending::Success { took: RESPONSE, usual: RESPONSE };
        self.fleet.record_end(now, key, now, ending);
        true
    }
}

/// A deployment whose callers ask for one leaf.
pub struct Deployment {
    members: Vec<Member>,
    rng: ChaCha8Rng,
    /// Current time.
    pub now: Time,
    /// When the leaf was sent a request.
    pub sends: Vec<Time>,
}

/// Returns node `number`; in a deployment of several zones, one in eight is strong.
pub fn node(number: usize, zones: usize) -> Node {
    let octets = [10, 0, (number / 250) as u8, (number % 250) as u8];
    Node {
        name: format!("node-{number:03}").into(),
        started: 1,
        zone: format!("zone-{}", number % zones).into(),
        callers: SocketAddr::from((octets, 80)),
        peers: SocketAddr::from((octets, 81)),
        capacity: if (number / zones).is_multiple_of(8) { 8_000 } else { 1_000 },
    }
}

/// Returns the entry of a leaf that stays cold for `warmup`.
pub fn cold(warmup: Duration, sequence: u64) -> Entry {
    Entry { warmup, ..entry("a", "zone-0", Age { born: 1, sequence }) }
}

impl Deployment {
    /// Creates nodes that callers use in proportion to `weights`, and a warm leaf.
    pub fn open(weights: &[f64], zones: usize, seed: u64) -> Deployment {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let total: f64 = weights.iter().sum();
        let members = weights.iter().enumerate().map(|(number, weight)| {
            let mut roster = Roster::default();
            for other in (0..weights.len()).filter(|other| *other != number) {
                roster.record_registration(Time(0), node(other, zones));
            }
            let mut fleet = Fleet::open("zone-0".into(), rng.random());
            fleet.set_share(Time(0), 1.0 / MIN_ASSUMED_NODES as f64);
            fleet.set_concurrency_limits([("a".into(), 4)].into());
            let weight = weight / total;
            Member { own: node(number, zones), roster, fleet, ticks: [0; METER_TICKS], weight }
        });
        let members = members.collect();
        let mut deployment = Deployment { members, rng, now: Time(0), sends: Vec::new() };
        deployment.register(&cold(Duration::ZERO, 1));
        deployment
    }

    /// Lets all nodes read an entry of the leaf.
    pub fn register(&mut self, entry: &Entry) {
        let id: id::Name = "a-0".into();
        for member in &mut self.members {
            member.fleet.update(self.now, [(&id, entry)].into_iter());
        }
    }

    /// Sets the limit of cold leafs.
    pub fn set_warmup_limit(&mut self, limit: f64) {
        for member in &mut self.members {
            member.fleet.set_warmup_limits(self.now, [("a".into(), limit)].into());
        }
    }

    /// Lets the leaf state a limit of its own to all nodes.
    pub fn state_limit(&mut self, limit: f64) {
        for member in &mut self.members {
            let leaf = member.leaf();
            let statement = Statement::PerSecond(limit);
            member.fleet.record_rate_limit(self.now, leaf, self.now, statement);
        }
    }

    /// Evacuates these zones at all nodes, and no others.
    pub fn evacuate(&mut self, zones: &[&str]) {
        for member in &mut self.members {
            member.fleet.set_evacuated(zones.iter().map(|zone| (*zone).into()).collect());
        }
    }

    /// Changes the share of all requests that callers send to each node.
    pub fn set_weights(&mut self, weights: &[f64]) {
        let total: f64 = weights.iter().sum();
        for (member, weight) in self.members.iter_mut().zip(weights) {
            member.weight = weight / total;
        }
    }

    /// Lets callers ask for `rate` requests a second, except at the nodes that are paused.
    pub fn run(&mut self, duration: Duration, rate: f64, paused: &[usize]) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            let running: Vec<usize> =
                (0..self.members.len()).filter(|number| !paused.contains(number)).collect();
            if self.now.0.is_multiple_of(TICK.as_micros() as u64) {
                self.tick(&running);
            }
            for number in running {
                let member = &mut self.members[number];
                let mut expected = rate * member.weight * STEP.as_secs_f64();
                while expected > 0.0 && self.rng.random::<f64>() < expected {
                    expected -= 1.0;
                    member.ticks[0] += 1;
                    if member.serve(self.now) {
                        self.sends.push(self.now);
                    }
                }
            }
        }
    }

    /// Lets each node update its share and send a heartbeat.
    fn tick(&mut self, running: &[usize]) {
        let numbers: HashMap<SocketAddr, usize> =
            self.members.iter().enumerate().map(|(n, member)| (member.own.peers, n)).collect();
        let mut beats = Vec::new();
        for &number in running {
            let member = &mut self.members[number];
            let share = member.roster.demand_share(&member.own, member.demand());
            let nodes = member.roster.active_nodes(self.now, SETTLING_TIME).max(MIN_ASSUMED_NODES);
            let is_settled = self.now.since(Time(0)) > SETTLING_TIME;
            let max_share = if is_settled { 1.0 } else { 1.0 / nodes as f64 };
            member.fleet.set_share(self.now, share.min(max_share));
            let targets = member.roster.heartbeat_targets(&member.own, &mut self.rng);
            beats.push((member.heartbeat(), targets));
            member.ticks.rotate_right(1);
            member.ticks[0] = 0;
        }
        for (beat, targets) in beats {
            for number in targets.iter().map(|target| numbers[target]) {
                if running.contains(&number) {
                    self.members[number].roster.record_heartbeat(self.now, &beat);
                }
            }
        }
    }

    /// Returns the largest number of sends within any window since a time.
    pub fn busiest(&self, since: Time, window: Duration) -> usize {
        let sends: Vec<Time> = self.sends.iter().copied().filter(|at| *at > since).collect();
        let (mut first, mut most) = (0, 0);
        for (last, end) in sends.iter().enumerate() {
            while end.since(sends[first]) >= window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Returns the number of sends per second since a time.
    pub fn rate_since(&self, since: Time) -> f64 {
        let sends = self.sends.iter().filter(|at| **at > since).count();
        sends as f64 / self.now.since(since).as_secs_f64()
    }
}
