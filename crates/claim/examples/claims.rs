//! Measures, in virtual time, how claims per second and calls to the store grow with
//! the request rate and the number of buckets.
//!
//! ```text
//! cargo run --release -p jacinthfall-claim --example claims
//! ```
//!
//! Buckets initially hold the ids of a whole window. Nodes share a store that takes
//! 5 ms per call and refuses calls beyond its rate limits. A leaf replies after
//! 5 ms. The route "any" sends each request to a random node, "owner" to the node
//! that owns its bucket, as if requests were forwarded.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use jacinthfall_claim::entry::{Entry, State};
use jacinthfall_claim::{Action, Completion, Counters, Engine, Event, Now, Settings};
use jacinthfall_core::coverage::Coverage;
use jacinthfall_core::id::{Attempt, Incarnation, Name, Token, Version};
use jacinthfall_core::query::{Answer, Outcome};
use jacinthfall_core::time::{Time, Wall};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Wall = Wall(1_700_000_000_000);
const STORE_LATENCY: Duration = Duration::from_millis(5);
const LEAF_LATENCY: Duration = Duration::from_millis(5);
const FORWARD_LATENCY: Duration = Duration::from_millis(1);
const DEADLINE: Duration = Duration::from_secs(2);
const WARM_UP: Time = Time::from_millis(2_000);
const END: Time = Time::from_millis(12_000);
const WRITES_PER_SECOND: f64 = 300.0;
const READS_PER_SECOND: f64 = 2_000.0;

/// Node that receives a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    /// A random node, as if callers chose freely.
    Any,
    /// The owner of its bucket.
    Owner,
}

/// Parameters of one measurement.
#[derive(Clone, Copy, Debug)]
struct Case {
    route: Route,
    nodes: usize,
    rate: u64,
    buckets: u32,
}

/// Rate limit of the store: a token bucket that holds the calls of half a second.
#[derive(Debug)]
struct RateLimit {
    per_second: f64,
    tokens: f64,
    last: Time,
}

impl RateLimit {
    fn new(per_second: f64) -> RateLimit {
        RateLimit { per_second, tokens: 0.0, last: Time(0) }
    }

    fn admits(&mut self, now: Time) -> bool {
        let refill = now.since(self.last).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second / 2.0);
        self.last = now;
        let admits = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(admits));
        admits
    }
}

/// Something to be done at a point in virtual time.
#[derive(Debug)]
enum Task {
    Ask,
    Event { node: usize, event: Event },
    Wake { node: usize, at: Time },
    Read { node: usize, call: u64, key: Name },
    Swap { node: usize, call: u64, key: Name, expect: u64, value: Vec<u8> },
}

/// Measurements after the warm-up.
#[derive(Debug, Default)]
struct Stats {
    asked: u64,
    answered: u64,
    refused: u64,
    delays: Vec<Duration>,
    writes: u64,
    reads: u64,
    rate_refusals: u64,
    largest_value_bytes: usize,
    transferred_bytes: usize,
    engine_time: Duration,
}

struct World {
    case: Case,
    time: Time,
    sequence: u64,
    queue: BTreeMap<(Time, u64), Task>,
    engines: Vec<Engine>,
    wakes: Vec<Option<Time>>,
    keys: BTreeMap<Name, (u64, Vec<u8>)>,
    writes: RateLimit,
    reads: RateLimit,
    asked: BTreeMap<Token, Time>,
    rng: ChaCha8Rng,
    stats: Stats,
}

impl World {
    fn open(case: Case) -> World {
        let settings = Settings { buckets: case.buckets, ..Settings::default() };
        let engine = |node: usize| {
            let origin = Incarnation { node: format!("node-{node}").into(), started: 1 };
            Engine::open(origin, settings.clone())
        };
        World {
            case,
            time: Time(0),
            sequence: 0,
            queue: BTreeMap::new(),
            engines: (0..case.nodes).map(engine).collect(),
            wakes: vec![None; case.nodes],
            keys: BTreeMap::new(),
            writes: RateLimit::new(WRITES_PER_SECOND),
            reads: RateLimit::new(READS_PER_SECOND),
            asked: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(7),
            stats: Stats::default(),
        }
    }

    /// Fills the buckets with the ids of a whole window at the request rate of the
    /// case.
    fn fill(&mut self) {
        let settings = Settings { buckets: self.case.buckets, ..Settings::default() };
        let count = self.case.rate * settings.window.as_secs();
        let mut lines: BTreeMap<u32, BTreeMap<Name, String>> = BTreeMap::new();
        for number in 0..count {
            let request: Name = format!("invoice-0{number}").into();
            let age = settings.window.mul_f64(number as f64 / count as f64);
            let origin = Incarnation { node: "node-0".into(), started: 1_699_000_000_000 };
            let entry = Entry {
                request: request.clone(),
                digest: u64::MAX / (number + 1),
                issued: START - age,
                attempt: Attempt { origin, counter: number },
                state: State::Done(answer()),
            };
            let line = entry.encode().expect("an entry can be encoded");
            lines.entry(settings.bucket(&request)).or_default().insert(request, line);
        }
        for (number, lines) in lines {
            let lines: Vec<String> = lines.into_values().collect();
            let value = (lines.join("\n") + "\n").into_bytes();
            self.keys.insert(format!("claim/{number}").into(), (1, value));
        }
        self.sequence = 1;
    }

    fn push(&mut self, delay: Duration, task: Task) {
        self.sequence += 1;
        self.queue.insert((self.time + delay, self.sequence), task);
    }

    fn is_warmed_up(&self) -> bool {
        self.time >= WARM_UP
    }

    fn run(&mut self) {
        self.push(Duration::ZERO, Task::Ask);
        while let Some(((time, _), task)) = self.queue.pop_first() {
            if time > END {
                return;
            }
            self.time = time;
            self.process(task);
        }
    }

    fn process(&mut self, task: Task) {
        match task {
            Task::Ask => self.ask(),
            Task::Event { node, event } => self.deliver(node, event),
            Task::Wake { node, at } if self.wakes[node] == Some(at) => {
                self.deliver(node, Event::Wake);
            }
            Task::Wake { .. } => {}
            Task::Read { node, call, key } => self.read(node, call, &key),
            Task::Swap { node, call, key, expect, value } => {
                self.swap(node, call, key, expect, value);
            }
        }
    }

    /// Submits an ask and schedules the next one. The gaps are distributed
    /// exponentially.
    fn ask(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.case.rate as f64;
        self.push(Duration::from_secs_f64(gap), Task::Ask);
        let token = Token(self.sequence);
        let request: Name = format!("invoice-{}", token.0).into();
        let issued = START + self.time.since(Time(0));
        let deadline = self.time + DEADLINE;
        self.asked.insert(token, self.time);
        self.stats.asked += u64::from(self.is_warmed_up());
        let (node, delay) = match self.case.route {
            Route::Any => (self.rng.random_range(0..self.case.nodes), Duration::ZERO),
            Route::Owner => {
                let settings = Settings { buckets: self.case.buckets, ..Settings::default() };
                (settings.bucket(&request) as usize % self.case.nodes, FORWARD_LATENCY)
            }
        };
        let event = Event::Ask { token, request, digest: 1, issued, deadline };
        self.push(delay, Task::Event { node, event });
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let now = Now { time: self.time, wall: START + self.time.since(Time(0)) };
        let started = Instant::now();
        let actions = self.engines[node].handle(now, event);
        if self.is_warmed_up() {
            self.stats.engine_time += started.elapsed();
        }
        for action in VecDeque::from(actions) {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Read { call, key } => {
                self.push(STORE_LATENCY / 2, Task::Read { node, call, key });
            }
            Action::Swap { call, key, expect, value } => {
                self.push(STORE_LATENCY / 2, Task::Swap { node, call, key, expect, value });
            }
            Action::Dispatch { token, .. } => {
                let asked = self.asked[&token];
                if self.is_warmed_up() {
                    self.stats.delays.push(self.time.since(asked));
                }
                let event = Event::RunEnded { token, dispatched: true, outcome: answer() };
                self.push(LEAF_LATENCY, Task::Event { node, event });
            }
            Action::Answer { token, outcome } => {
                self.asked.remove(&token);
                if self.is_warmed_up() {
                    let is_answer = matches!(outcome, Outcome::Answered(_));
                    self.stats.answered += u64::from(is_answer);
                    self.stats.refused += u64::from(!is_answer);
                }
            }
            Action::Record(_) => {}
            Action::Wake(at) => {
                self.wakes[node] = Some(at);
                self.push(at.since(self.time), Task::Wake { node, at });
            }
        }
    }

    fn reply(&mut self, node: usize, call: u64, result: Completion) {
        self.push(
            STORE_LATENCY / 2,
            Task::Event { node, event: Event::CallEnded { call, result } },
        );
    }

    fn read(&mut self, node: usize, call: u64, key: &Name) {
        if !self.reads.admits(self.time) {
            self.stats.rate_refusals += u64::from(self.is_warmed_up());
            return self.reply(node, call, Completion::Refused);
        }
        self.stats.reads += u64::from(self.is_warmed_up());
        let (revision, value) =
            self.keys.get(key).cloned().map_or((0, None), |(r, v)| (r, Some(v)));
        self.stats.transferred_bytes +=
            value.as_ref().map_or(0, Vec::len) * usize::from(self.is_warmed_up());
        self.reply(node, call, Completion::Value { revision, value });
    }

    fn swap(&mut self, node: usize, call: u64, key: Name, expect: u64, value: Vec<u8>) {
        if !self.writes.admits(self.time) {
            self.stats.rate_refusals += u64::from(self.is_warmed_up());
            return self.reply(node, call, Completion::Refused);
        }
        self.stats.writes += u64::from(self.is_warmed_up());
        self.stats.largest_value_bytes = self.stats.largest_value_bytes.max(value.len());
        self.stats.transferred_bytes += value.len() * usize::from(self.is_warmed_up());
        let revision = self.keys.get(&key).map_or(0, |(revision, _)| *revision);
        if revision != expect {
            return self.reply(node, call, Completion::Conflict { revision });
        }
        self.sequence += 1;
        let revision = self.sequence;
        self.keys.insert(key, (revision, value));
        self.reply(node, call, Completion::Swapped { revision });
    }
}

fn answer() -> Outcome {
    let coverage = Coverage { total: 1, answered: 1, missed: Vec::new() };
    Outcome::Answered(Answer { version: Version(1), rows: Vec::new(), coverage })
}

fn total(engines: &[Engine], count: impl Fn(&Counters) -> u64) -> u64 {
    engines.iter().map(|engine| count(engine.counters())).sum()
}

fn quantile(delays: &[Duration], quantile: f64) -> u128 {
    let index = (delays.len().saturating_sub(1)) as f64 * quantile;
    delays.get(index as usize).map_or(0, Duration::as_millis)
}

fn measure(case: Case) {
    let mut world = World::open(case);
    world.fill();
    world.run();
    let seconds = END.since(WARM_UP).as_secs_f64();
    let stats = &mut world.stats;
    stats.delays.sort_unstable();
    let conflicts = total(&world.engines, |counters| counters.conflicts);
    let swaps = total(&world.engines, |counters| counters.swaps);
    println!(
        "{:>5} {:>6} {:>6} {:>8} {:>9.0} {:>8.1} {:>9.0} {:>7.0} {:>9.1} {:>9.0} {:>6} {:>6} {:>8} {:>6.1} {:>8.1}",
        format!("{:?}", case.route).to_lowercase(),
        case.nodes,
        case.rate,
        case.buckets,
        stats.answered as f64 / seconds,
        100.0 * stats.refused as f64 / stats.asked.max(1) as f64,
        stats.writes as f64 / seconds,
        stats.reads as f64 / seconds,
        100.0 * conflicts as f64 / swaps.max(1) as f64,
        stats.rate_refusals as f64 / seconds,
        quantile(&stats.delays, 0.5),
        quantile(&stats.delays, 0.99),
        stats.largest_value_bytes,
        stats.transferred_bytes as f64 / seconds / 1e6,
        stats.engine_time.as_secs_f64() * 1e6 / stats.asked.max(1) as f64,
    );
}

fn main() {
    println!(
        "{:>5} {:>6} {:>6} {:>8} {:>9} {:>8} {:>9} {:>7} {:>9} {:>9} {:>6} {:>6} {:>8} {:>6} {:>8}",
        "route",
        "nodes",
        "rate/s",
        "buckets",
        "claims/s",
        "refused%",
        "writes/s",
        "reads/s",
        "conflict%",
        "limited/s",
        "p50ms",
        "p99ms",
        "bytes",
        "MB/s",
        "us/claim"
    );
    for buckets in [256, 1_024] {
        for (route, rate) in
            [(Route::Any, 20), (Route::Any, 100), (Route::Any, 150), (Route::Owner, 100)]
        {
            measure(Case { route, nodes: 8, rate, buckets });
        }
    }
}
