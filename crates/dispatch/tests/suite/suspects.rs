//! Requests that crash leafs among innocent ones, on drawn traffic over several nodes: how many
//! leafs the guilty one ends, and for how long innocent ones are refused.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_dispatch::quarantine::{Crash, Fingerprint, Incarnation, Row, Service, Table};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step of the simulation, in milliseconds.
const STEP: u64 = 5;

/// Time for which a leaf runs a part, and after which a guilty one ends it, in milliseconds.
const WORK: u64 = 20;

/// Time from a crash until the leaf is back, in milliseconds.
const RESTART: u64 = 4_500;

/// Time until a message arrives at another node, in milliseconds. News are sent at once.
const DELAY: u64 = 20;

/// Interval between two replacements of a node, in milliseconds.
const REPLACEMENT: u64 = 1_700;

/// Number of leafs of each shard.
const REPLICAS: usize = 3;

/// Number of different innocent requests. Their popularity falls with their number.
const INNOCENT: usize = 200;

/// Number of the guilty request.
const GUILTY: usize = INNOCENT;

/// Longest time for which an innocent request may be refused at a node.
const MAX_REFUSED: Duration = Duration::from_secs(5);

/// Number of leafs that a guilty request may end.
const MAX_ENDED: usize = 3;

/// What is played.
#[derive(Clone, Copy, Debug)]
struct Plan {
    seed: u64,
    nodes: usize,
    shards: usize,
    /// Requests a second to all nodes.
    rate: f64,
    /// Probability that a leaf crashes under the guilty request, and how many of these come a second.
    guilty: (f64, f64),
    /// Number of shards that lose all leafs, one after the other.
    lost_shards: usize,
    /// Time between these losses, in milliseconds.
    apart: u64,
    /// Whether nodes are replaced by new ones.
    replaces_nodes: bool,
    seconds: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            seed: 1,
            nodes: 6,
            shards: 10,
            rate: 400.0,
            guilty: (0.0, 0.0),
            lost_shards: 0,
            apart: 1_200,
            replaces_nodes: false,
            seconds: 30,
        }
    }
}

/// What was observed.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Number of leafs that the guilty request ended.
    ended: usize,
    /// Longest time for which a node refused an innocent request.
    refused: Duration,
}

/// One attempt that runs on a leaf of each shard that has one.
struct Attempt {
    request: usize,
    node: usize,
    sent: u64,
    /// Leafs that run it, with their lives.
    leafs: Vec<(usize, u64)>,
    /// Leaf that it ends, if any.
    ends: Vec<usize>,
}

struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    tables: Vec<Table>,
    /// When each leaf is back, and its life.
    leafs: Vec<(u64, u64)>,
    running: Vec<Attempt>,
    messages: VecDeque<(u64, usize, Vec<Row>)>,
    /// Since when a node has refused an innocent request without serving it.
    refused_since: HashMap<(usize, usize), u64>,
    outcome: Outcome,
}

fn request(number: usize) -> Fingerprint {
    Fingerprint::of(&[format!("/request/{number}").as_bytes()])
}

fn service_of(shard: usize) -> Service {
    Service::of(&format!("s-{shard}"))
}

impl Simulation {
    fn open(plan: Plan) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let tables = (0..plan.nodes).map(|_| Table::open(rng.random())).collect();
        Simulation {
            plan,
            rng,
            tables,
            leafs: vec![(0, 0); plan.shards * REPLICAS],
            running: Vec::new(),
            messages: VecDeque::new(),
            refused_since: HashMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for now in (0..self.plan.seconds * 1_000).step_by(STEP as usize) {
            self.lose_shard(now);
            self.replace_node(now);
            let rate = self.plan.rate * STEP as f64 / 1_000.0;
            for _ in 0..self.draw_count(rate) {
                let skewed = self.rng.random::<f64>().powi(4) * INNOCENT as f64;
                self.arrive(now, skewed as usize);
            }
            let guilty = self.plan.guilty.1 * STEP as f64 / 1_000.0;
            for _ in 0..self.draw_count(guilty) {
                self.arrive(now, GUILTY);
            }
            self.end_attempts(now);
            self.exchange(now);
        }
        self.outcome
    }

    fn draw_count(&mut self, mean: f64) -> usize {
        let more = self.rng.random_bool(mean.fract());
        mean as usize + usize::from(more)
    }

    fn lose_shard(&mut self, now: u64) {
        let Plan { lost_shards, apart, .. } = self.plan;
        let Some(since) = now.checked_sub(5_000) else { return };
        if since % apart == 0 && ((since / apart) as usize) < lost_shards {
            let shard = (since / apart) as usize;
            (0..REPLICAS).for_each(|replica| self.crash(now, shard * REPLICAS + replica));
        }
    }

    fn replace_node(&mut self, now: u64) {
        if !self.plan.replaces_nodes || !now.is_multiple_of(REPLACEMENT) {
            return;
        }
        let node = self.rng.random_range(0..self.plan.nodes);
        let teacher = (node + 1) % self.plan.nodes;
        let rows = self.tables[teacher].all(Time::from_millis(now));
        self.tables[node] = Table::open(self.rng.random());
        self.running.retain(|attempt| attempt.node != node);
        self.messages.push_back((now, node, rows));
    }

    fn arrive(&mut self, now: u64, number: usize) {
        let node = self.rng.random_range(0..self.plan.nodes);
        if self.tables[node].admit(Time::from_millis(now), request(number)).is_some() {
            if number != GUILTY {
                let since = *self.refused_since.entry((node, number)).or_insert(now);
                let refused = Duration::from_millis(now - since);
                self.outcome.refused = self.outcome.refused.max(refused);
            }
            return;
        }
        if number != GUILTY {
            self.refused_since.remove(&(node, number));
        }
        let mut leafs = Vec::new();
        for shard in 0..self.plan.shards {
            let up = (0..REPLICAS).map(|replica| shard * REPLICAS + replica);
            let up: Vec<usize> = up.filter(|leaf| self.leafs[*leaf].0 <= now).collect();
            if !up.is_empty() {
                let leaf = up[self.rng.random_range(0..up.len())];
                leafs.push((leaf, self.leafs[leaf].1));
            }
        }
        if 4 * leafs.len() < 3 * self.plan.shards {
            // Too few shards have a leaf, which is no refusal because of a quarantine.
            return;
        }
        let probability = if number == GUILTY { self.plan.guilty.0 } else { 0.0 };
        let ends = leafs.iter().map(|(leaf, _)| *leaf);
        let ends = ends.filter(|_| self.rng.random_bool(probability)).collect();
        let (request, sent) = (number, now);
        self.running.push(Attempt { request, node, sent, leafs, ends });
    }

    fn end_attempts(&mut self, now: u64) {
        let due = |attempt: &Attempt| now - attempt.sent >= WORK;
        let ending: Vec<usize> =
            self.running.iter().filter(|a| due(a)).flat_map(|a| a.ends.clone()).collect();
        for leaf in ending {
            if self.leafs[leaf].0 <= now {
                self.outcome.ended += 1;
                self.crash(now, leaf);
            }
        }
        let ended: Vec<Attempt> = self.running.extract_if(.., |attempt| due(attempt)).collect();
        for attempt in ended {
            let is_up = |(leaf, life): &&(usize, u64)| self.leafs[*leaf].1 == *life;
            for (leaf, _) in attempt.leafs.iter().filter(is_up) {
                let service = service_of(leaf / REPLICAS);
                let request = request(attempt.request);
                self.tables[attempt.node].record_answer(Time::from_millis(now), request, service);
            }
        }
    }

    /// Ends a leaf; each node learns of the crash under its own attempts.
    fn crash(&mut self, now: u64, leaf: usize) {
        let life = self.leafs[leaf].1;
        self.leafs[leaf] = (now + RESTART, life + 1);
        for attempt in &self.running {
            if !attempt.leafs.contains(&(leaf, life)) {
                continue;
            }
            let crash = Crash {
                service: service_of(leaf / REPLICAS),
                leaf: Incarnation::of(&format!("i-{leaf}"), life),
                sent: Time::from_millis(attempt.sent),
                crashed: Time::from_millis(now),
            };
            self.tables[attempt.node].record_crash(request(attempt.request), crash);
        }
    }

    /// Lets the nodes tell all others of their news.
    fn exchange(&mut self, now: u64) {
        for node in 0..self.plan.nodes {
            let rows = self.tables[node].next_message(Time::from_millis(now));
            if rows.is_empty() {
                continue;
            }
            for other in (0..self.plan.nodes).filter(|other| *other != node) {
                self.messages.push_back((now + DELAY, other, rows.clone()));
            }
        }
        while self.messages.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, node, rows)) = self.messages.pop_front() else { break };
            rows.iter().for_each(|row| _ = self.tables[node].merge(Time::from_millis(now), row));
        }
    }
}

fn play(plan: Plan) -> Outcome {
    Simulation::open(plan).run()
}

/// Plays a plan with several seeds and returns the largest figures.
fn worst(plan: Plan) -> Outcome {
    let outcomes = (1..=5).map(|seed| play(Plan { seed, ..plan }));
    outcomes.fold(Outcome::default(), |worst, outcome| Outcome {
        ended: worst.ended.max(outcome.ended),
        refused: worst.refused.max(outcome.refused),
    })
}

/// Guards against a request that is asked often and is refused for minutes, since it was present
/// when several shards crashed.
#[test]
fn no_innocent_request_is_refused_for_long_after_shards_crashed() {
    for nodes in [3, 6, 40] {
        for lost_shards in [1, 2, 3, 5, 10] {
            for replaces_nodes in [false, true] {
                let outcome = worst(Plan { nodes, lost_shards, replaces_nodes, ..Plan::default() });

                let plan = format!("{nodes} nodes, {lost_shards} shards, {replaces_nodes}");
                assert!(outcome.refused <= MAX_REFUSED, "{plan}: {:?}", outcome.refused);
            }
        }
    }
}

/// Guards against a request that crashes only some of the leafs that run it, and is never stopped.
#[test]
fn a_request_that_crashes_one_leaf_in_three_is_stopped() {
    for nodes in [3, 6, 40] {
        let outcome = worst(Plan { nodes, shards: 1, guilty: (1.0 / 3.0, 2.0), ..Plan::default() });

        assert!(outcome.ended <= MAX_ENDED, "{nodes} nodes: {} leafs", outcome.ended);
    }
}

/// Guards against a request that crashes each leaf that runs it, and ends more and more of them.
#[test]
fn a_request_that_crashes_each_leaf_is_stopped() {
    for nodes in [3, 6, 40] {
        let outcome = worst(Plan { nodes, shards: 1, guilty: (1.0, 2.0), ..Plan::default() });

        assert!(outcome.ended <= MAX_ENDED, "{nodes} nodes: {} leafs", outcome.ended);
    }
}
