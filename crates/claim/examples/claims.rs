//! Measures how claims per second and calls to the store grow with nodes and
//! rate, in virtual time.
//!
//! ```text
//! cargo run --release -p jacinthfall-claim --example claims
//! ```
//!
//! Buckets hold a window full of older ids from the start. Nodes share a store that takes 5 ms a call and refuses calls beyond its
//! rates. A leaf replies after 5 ms. "any" sends each request to a random node,
//! "owner" to the node that owns its bucket, as if requests were forwarded.

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

/// Which node gets a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    /// Any, as callers choose.
    Any,
    /// The owner of its bucket.
    Owner,
}

/// One setting of the experiment.
#[derive(Clone, Copy, Debug)]
struct Case {
    route: Route,
    nodes: usize,
    rate: u64,
    buckets: u32,
}

/// Calls that the store admits: a bucket of tokens for half a second.
#[derive(Debug)]
struct Limit {
    per_second: f64,
    tokens: f64,
    last: Time,
}

impl Limit {
    fn new(per_second: f64) -> Limit {
        Limit { per_second, tokens: 0.0, last: Time(0) }
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

/// What waits for its time.
#[derive(Debug)]
enum Due {
    Ask,
    Event { node: usize, event: Event },
    Wake { node: usize, at: Time },
    Read { node: usize, call: u64, key: Name },
    Swap { node: usize, call: u64, key: Name, expect: u64, value: Vec<u8> },
}

/// What was seen after the warm-up.
#[derive(Debug, Default)]
struct Seen {
    asked: u64,
    answered: u64,
    refused: u64,
    delays: Vec<Duration>,
    writes: u64,
    reads: u64,
    rate_refusals: u64,
    largest: usize,
    bytes: usize,
    busy: Duration,
}

struct World {
    case: Case,
    time: Time,
    sequence: u64,
    queue: BTreeMap<(Time, u64), Due>,
    engines: Vec<Engine>,
    wakes: Vec<Option<Time>>,
    keys: BTreeMap<Name, (u64, Vec<u8>)>,
    writes: Limit,
    reads: Limit,
    asked: BTreeMap<Token, Time>,
    rng: ChaCha8Rng,
    seen: Seen,
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
            writes: Limit::new(WRITES_PER_SECOND),
            reads: Limit::new(READS_PER_SECOND),
            asked: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(7),
            seen: Seen::default(),
        }
    }

    /// Fills the buckets with the ids of a whole window at this rate.
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

    fn push(&mut self, delay: Duration, due: Due) {
        self.sequence += 1;
        self.queue.insert((self.time + delay, self.sequence), due);
    }

    fn is_warm(&self) -> bool {
        self.time >= WARM_UP
    }

    fn run(&mut self) {
        self.push(Duration::ZERO, Due::Ask);
        while let Some(((time, _), due)) = self.queue.pop_first() {
            if time > END {
                return;
            }
            self.time = time;
            self.happen(due);
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Ask => self.ask(),
            Due::Event { node, event } => self.deliver(node, event),
            Due::Wake { node, at } if self.wakes[node] == Some(at) => {
                self.deliver(node, Event::Wake);
            }
            Due::Wake { .. } => {}
            Due::Read { node, call, key } => self.read(node, call, &key),
            Due::Swap { node, call, key, expect, value } => {
                self.swap(node, call, key, expect, value);
            }
        }
    }

    /// Asks once and plans the next ask; gaps are exponential.
    fn ask(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.case.rate as f64;
        self.push(Duration::from_secs_f64(gap), Due::Ask);
        let token = Token(self.sequence);
        let request: Name = format!("invoice-{}", token.0).into();
        let issued = START + self.time.since(Time(0));
        let deadline = self.time + DEADLINE;
        self.asked.insert(token, self.time);
        self.seen.asked += u64::from(self.is_warm());
        let (node, delay) = match self.case.route {
            Route::Any => (self.rng.random_range(0..self.case.nodes), Duration::ZERO),
            Route::Owner => {
                let settings = Settings { buckets: self.case.buckets, ..Settings::default() };
                (settings.bucket(&request) as usize % self.case.nodes, FORWARD_LATENCY)
            }
        };
        let event = Event::Ask { token, request, digest: 1, issued, deadline };
        self.push(delay, Due::Event { node, event });
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let now = Now { time: self.time, wall: START + self.time.since(Time(0)) };
        let started = Instant::now();
        let actions = self.engines[node].handle(now, event);
        if self.is_warm() {
            self.seen.busy += started.elapsed();
        }
        for action in VecDeque::from(actions) {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Read { call, key } => {
                self.push(STORE_LATENCY / 2, Due::Read { node, call, key });
            }
            Action::Swap { call, key, expect, value } => {
                self.push(STORE_LATENCY / 2, Due::Swap { node, call, key, expect, value });
            }
            Action::Dispatch { token, .. } => {
                let asked = self.asked[&token];
                if self.is_warm() {
                    self.seen.delays.push(self.time.since(asked));
                }
                let event = Event::RunEnded { token, dispatched: true, outcome: answer() };
                self.push(LEAF_LATENCY, Due::Event { node, event });
            }
            Action::Answer { token, outcome } => {
                self.asked.remove(&token);
                if self.is_warm() {
                    let is_answer = matches!(outcome, Outcome::Answered(_));
                    self.seen.answered += u64::from(is_answer);
                    self.seen.refused += u64::from(!is_answer);
                }
            }
            Action::Record(_) => {}
            Action::Wake(at) => {
                self.wakes[node] = Some(at);
                self.push(at.since(self.time), Due::Wake { node, at });
            }
        }
    }

    fn reply(&mut self, node: usize, call: u64, result: Completion) {
        self.push(STORE_LATENCY / 2, Due::Event { node, event: Event::CallEnded { call, result } });
    }

    fn read(&mut self, node: usize, call: u64, key: &Name) {
        if !self.reads.admits(self.time) {
            self.seen.rate_refusals += u64::from(self.is_warm());
            return self.reply(node, call, Completion::Refused);
        }
        self.seen.reads += u64::from(self.is_warm());
        let (revision, value) =
            self.keys.get(key).cloned().map_or((0, None), |(r, v)| (r, Some(v)));
        self.seen.bytes += value.as_ref().map_or(0, Vec::len) * usize::from(self.is_warm());
        self.reply(node, call, Completion::Value { revision, value });
    }

    fn swap(&mut self, node: usize, call: u64, key: Name, expect: u64, value: Vec<u8>) {
        if !self.writes.admits(self.time) {
            self.seen.rate_refusals += u64::from(self.is_warm());
            return self.reply(node, call, Completion::Refused);
        }
        self.seen.writes += u64::from(self.is_warm());
        self.seen.largest = self.seen.largest.max(value.len());
        self.seen.bytes += value.len() * usize::from(self.is_warm());
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
    let seen = &mut world.seen;
    seen.delays.sort_unstable();
    let conflicts = total(&world.engines, |counters| counters.conflicts);
    let swaps = total(&world.engines, |counters| counters.swaps);
    println!(
        "{:>5} {:>6} {:>6} {:>8} {:>9.0} {:>8.1} {:>9.0} {:>7.0} {:>9.1} {:>9.0} {:>6} {:>6} {:>8} {:>6.1} {:>8.1}",
        format!("{:?}", case.route).to_lowercase(),
        case.nodes,
        case.rate,
        case.buckets,
        seen.answered as f64 / seconds,
        100.0 * seen.refused as f64 / seen.asked.max(1) as f64,
        seen.writes as f64 / seconds,
        seen.reads as f64 / seconds,
        100.0 * conflicts as f64 / swaps.max(1) as f64,
        seen.rate_refusals as f64 / seconds,
        quantile(&seen.delays, 0.5),
        quantile(&seen.delays, 0.99),
        seen.largest,
        seen.bytes as f64 / seconds / 1e6,
        seen.busy.as_secs_f64() * 1e6 / seen.asked.max(1) as f64,
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
