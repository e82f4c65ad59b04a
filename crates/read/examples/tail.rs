//! Discrete-event simulation of the engine against fake leafs, with fixed seeds. By
//! default there are 30 leafs in 10 groups of 3 replicas, 30 shards and 3 slots per
//! leaf, and 1% of the calls are stragglers. Prints latency percentiles, goodput,
//! refusals, extra attempts and the engine's time per part.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jacinthfall_core::id;
use jacinthfall_core::leaf::{self, Load, Outcome, Reply};
use jacinthfall_core::profile::Profile;
use jacinthfall_core::query::{self, Ask, Query, Scope};
use jacinthfall_core::service::{Leaf, Map, Service, Shard};
use jacinthfall_core::time::{Time, Wall};
use jacinthfall_read::{Action, Engine, Event};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 3;
const RUN: Duration = Duration::from_secs(40);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    Done(id::Name, u64),
    Wake,
}

#[derive(Default)]
struct Server {
    busy: BTreeSet<u64>,
    queue: VecDeque<u64>,
}

struct Trial {
    engine: Engine,
    heap: BinaryHeap<Reverse<(Time, u64, Step)>>,
    sequence: u64,
    now: Time,
    servers: BTreeMap<id::Name, Server>,
    parts: BTreeMap<u64, leaf::Query>,
    arrived: BTreeMap<id::Token, Time>,
    latencies: Vec<Duration>,
    refused: u64,
    engine_time: Duration,
    rng: ChaCha8Rng,
    oracle: bool,
}

fn service(shards: u32) -> Service {
    let name = |group: u32, replica: u32| -> id::Name { format!("leaf-{group}-{replica}").into() };
    let groups = shards.div_ceil(3);
    let leafs = (0..groups).flat_map(|group| (0..3).map(move |replica| (group, replica)));
    let leafs = leafs.map(|(group, replica)| Leaf {
        name: name(group, replica),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "kl-hall-a".into(),
        leaving: false,
    });
    let entry =
        |n| Shard { shard: id::Shard(n), replicas: (0..3).map(|r| name(n % groups, r)).collect() };
    let map = Map { version: id::Version(1), shards: (0..shards).map(entry).collect() };
    Service {
        name: "agent-console".into(),
        slots: 3,
        connections: 30,
        connect: Duration::from_millis(6),
        named_versions: true,
        leafs: leafs.collect(),
        maps: vec![map],
    }
}

impl Trial {
    fn new(shards: u32, oracle: bool) -> Trial {
        let origin = id::Incarnation { node: "klang-1".into(), started: 1 };
        let mut engine = Engine::open(origin, "agent-console".into(), 7);
        engine.handle(Time(0), Event::Service(Arc::new(service(shards))));
        Trial {
            engine,
            heap: BinaryHeap::new(),
            sequence: 0,
            now: Time(0),
            servers: BTreeMap::new(),
            parts: BTreeMap::new(),
            arrived: BTreeMap::new(),
            latencies: Vec::new(),
            refused: 0,
            engine_time: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(11),
            oracle,
        }
    }

    fn schedule(&mut self, time: Time, step: Step) {
        self.sequence += 1;
        self.heap.push(Reverse((time, self.sequence, step)));
    }

    /// Draws a service time of 3 ms plus an exponential part with a mean of 1 ms; one call
    /// in a hundred takes 60 ms more.
    fn draw_service_time(&mut self) -> Duration {
        let tail = -(1.0 - self.rng.random::<f64>()).ln();
        let straggles = self.rng.random::<f64>() < 0.01;
        Duration::from_micros(3_000 + (tail * 1_000.0) as u64 + if straggles { 60_000 } else { 0 })
    }

    fn draw_call_time(&mut self) -> Duration {
        let (first, second) = (self.draw_service_time(), self.draw_service_time());
        if self.oracle { first.min(second) } else { first }
    }

    fn feed(&mut self, event: Event) {
        let start = Instant::now();
        let actions = self.engine.handle(self.now, event);
        self.engine_time += start.elapsed();
        for action in actions {
            match action {
                Action::Send { leaf, part } => {
                    let counter = part.attempt.counter;
                    self.parts.insert(counter, *part);
                    self.servers.entry(leaf.clone()).or_default().queue.push_back(counter);
                    self.serve(&leaf);
                }
                Action::Cancel { attempt, leaf } => {
                    self.parts.remove(&attempt.counter);
                    let server = self.servers.entry(leaf.clone()).or_default();
                    server.busy.remove(&attempt.counter);
                    server.queue.retain(|&counter| counter != attempt.counter);
                    self.serve(&leaf);
                }
                Action::Answer { token, outcome, .. } => {
                    let arrived = self.arrived.remove(&token).expect("an ask");
                    match outcome {
                        query::Outcome::Answered(_) => self.latencies.push(self.now.since(arrived)),
                        query::Outcome::Refused(_) => self.refused += 1,
                    }
                }
                Action::Wake(time) => self.schedule(time, Step::Wake),
                _ => {}
            }
        }
    }

    fn serve(&mut self, leaf: &id::Name) {
        loop {
            let server = self.servers.entry(leaf.clone()).or_default();
            if server.busy.len() >= SLOTS {
                return;
            }
            let Some(counter) = server.queue.pop_front() else { return };
            server.busy.insert(counter);
            let end = self.now + self.draw_call_time();
            self.schedule(end, Step::Done(leaf.clone(), counter));
        }
    }

    fn finish_call(&mut self, leaf: id::Name, counter: u64) {
        if !self.servers.get_mut(&leaf).expect("a server").busy.remove(&counter) {
            return;
        }
        self.serve(&leaf);
        let part = self.parts.remove(&counter).expect("a part");
        let reply = Reply {
            attempt: part.attempt.clone(),
            request: part.request,
            shard: part.shard,
            version: id::Version(1),
            count: 0,
            rows: Vec::new(),
            load: Load::default(),
            leaving: false,
        };
        self.feed(Event::Ended { attempt: part.attempt, leaf, outcome: Outcome::Replied(reply) });
    }

    fn run(&mut self, profile: &Arc<Profile>, rate: f64, run: Duration) {
        let mut arrivals = ChaCha8Rng::seed_from_u64(5);
        let mut asks = 0;
        self.schedule(Time(1), Step::Arrive);
        while let Some(Reverse((time, _, step))) = self.heap.pop() {
            self.now = time;
            match step {
                Step::Wake => self.feed(Event::Wake),
                Step::Done(leaf, counter) => self.finish_call(leaf, counter),
                Step::Arrive if time < Time(0) + run => {
                    let gap = -(1.0 - arrivals.random::<f64>()).ln() / rate;
                    self.schedule(time + Duration::from_secs_f64(gap), Step::Arrive);
                    asks += 1;
                    self.ask(asks, profile);
                }
                Step::Arrive => {}
            }
        }
    }

    fn ask(&mut self, number: u64, profile: &Arc<Profile>) {
        let token = id::Token(number);
        self.arrived.insert(token, self.now);
        let ask = Arc::new(Ask {
            request: format!("r-{number}").into(),
            profile: profile.name.clone(),
            caller: format!("caller-{}", number % 10).into(),
            issued: Wall(1),
            query: Query { scope: Scope::All, text: "a".into(), limit: 10 },
        });
        let deadline = self.now + profile.deadline;
        let profile = Arc::clone(profile);
        self.feed(Event::Ask { token, ask, profile, deadline, expires: Wall(2) });
    }
}

fn report(label: &str, shards: u32, rate: f64, extra_load: f64, oracle: bool, run: Duration) {
    let text = r#"{"name":"desk","service":"agent-console","deadline_ms":140,"idempotent":true}"#;
    let profile: Profile = serde_json::from_str(text).expect("a profile");
    let profile = Arc::new(Profile { extra_load, ..profile });
    let mut trial = Trial::new(shards, oracle);
    trial.run(&profile, rate, run);
    trial.latencies.sort_unstable();
    let percentile = |share: f64| {
        let index = (trial.latencies.len() as f64 * share) as usize;
        trial.latencies.get(index).map_or(0.0, |latency| latency.as_secs_f64() * 1e3)
    };
    let counters = trial.engine.counters();
    let extra = (counters.hedges + counters.retries) as f64 / counters.first_sends as f64;
    let goodput = trial.latencies.len() as f64 / run.as_secs_f64();
    let engine_time = trial.engine_time.as_secs_f64() * 1e6 / counters.first_sends as f64;
    println!(
        "{label:<24} {shards:>6} {rate:>6.0} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {goodput:>8.1} {:>8} {:>7.2}% {engine_time:>8.2}",
        percentile(0.5),
        percentile(0.9),
        percentile(0.99),
        percentile(0.999),
        trial.refused,
        extra * 100.0
    );
}

fn main() {
    println!(
        "{:<24} shards  ask/s  p50 ms  p90 ms  p99 ms p99.9ms  goodput  refused   extra  us/part",
        "run"
    );
    report("no hedging", 30, 150.0, 0.0, false, RUN);
    report("hedging", 30, 150.0, 0.03, false, RUN);
    report("oracle of two draws", 30, 150.0, 0.0, true, RUN);
    for rate in [400.0, 500.0, 600.0, 1_200.0] {
        report("load", 30, rate, 0.03, false, RUN / 4);
    }
    for (shards, rate) in [(30, 150.0), (300, 150.0), (1_400, 150.0)] {
        report("cost", shards, rate, 0.03, false, RUN / 20);
    }
}
