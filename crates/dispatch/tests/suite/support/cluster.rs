//! Simulation, in virtual time, of several nodes that send queries of several kinds to the same
//! leafs, for callers that come back after a refusal.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::budget::{Budget, Limit};
use jacinthfall_dispatch::fleet::{Ending, Fleet, Key, Report};
use jacinthfall_dispatch::flight::{Action, Answer, Context, Flight, Outcome};
use jacinthfall_dispatch::latency::Latency;
use jacinthfall_dispatch::overload::shortage::Shard;
use jacinthfall_dispatch::overload::{Settings, State};
use jacinthfall_route::leaf::Age;
use jacinthfall_route::snapshot::{Gather, Route, Target};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::credits::Ledger;
use super::{entry, reply, shards, single, timing};

/// Number of shards of a query.
pub const SHARDS: usize = 36;

/// Number of leafs of each shard, and of the service of single requests.
const LEAFS: usize = 3;

/// Number of requests that a leaf runs concurrently.
const SLOTS: usize = 4;

/// Number of nodes that callers use.
const NODES: usize = 8;

/// Number of nodes that a report is sent to.
const REPORT_TARGETS: usize = 4;

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two pauses of a leaf, and their length.
const PAUSE_INTERVAL: Duration = Duration::from_millis(4_500);
const PAUSE: Duration = Duration::from_millis(200);

/// Maximum number of times that a caller comes back.
const MAX_RETURNS: usize = 4;

/// Share of the objective within which a part must be answered to count as in time.
const PART_SHARE: f64 = 0.85;

/// A kind of request.
#[derive(Clone)]
pub struct Kind {
    /// Its route.
    pub route: Arc<Route>,
    /// Time that a leaf needs for a part.
    pub work: Duration,
    /// Number of requests per second.
    pub rate: f64,
}

/// Parameters of a simulation.
#[derive(Clone)]
pub struct Plan {
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Factor on the work of a leaf of a shard, by index of the shard, number of the leaf and time.
    pub slowness: fn(usize, usize, Time) -> f64,
    /// Factor on the load, by time.
    pub burst: fn(Time) -> f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Mechanisms that are in use.
    pub settings: Settings,
    /// Whether requests need credits, which the nodes get without delay.
    pub credits: bool,
    /// Seed of the random arrivals and service times.
    pub seed: u64,
}

/// Returns a route for queries over all shards.
pub fn query(name: &str, objective: u64, min_coverage: f64, priority: u32) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        objective: Duration::from_millis(objective),
        timeout: Duration::from_millis(objective * 12),
        priority,
        target: Target::Gather(Gather { shards: shards(SHARDS), top: 5, min_coverage }),
        ..single("unused", true)
    })
}

/// Results for the callers of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Results {
    /// Requests that arrived.
    pub requests: usize,
    /// Answers within the objective, counted from when the caller first asked.
    pub in_time: usize,
    /// Answers within the objective, counted from when the caller last came back.
    pub in_time_after_return: usize,
    /// Later answers.
    pub late: usize,
    /// Requests that were refused until their callers gave up.
    pub refused: usize,
    /// Refusals of requests, several for one that came back.
    pub refusals: usize,
    /// Refusals after the objective.
    pub refused_late: usize,
    /// Longest wait for a refusal.
    pub longest_refusal: Duration,
    /// Failed requests.
    pub failed: usize,
    /// Shards that are missing from answers.
    pub missing: usize,
}

impl Results {
    /// Adds the results of another run.
    pub fn add(&mut self, other: &Results) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.in_time_after_return += other.in_time_after_return;
        self.late += other.late;
        self.refused += other.refused;
        self.refusals += other.refusals;
        self.refused_late += other.refused_late;
        self.longest_refusal = self.longest_refusal.max(other.longest_refusal);
        self.failed += other.failed;
        self.missing += other.missing;
    }

    /// Returns the number of answers within the objective.
    #[must_use]
    pub fn on_time(&self) -> usize {
        self.in_time + self.in_time_after_return
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Return(usize),
    Done(Key),
    Wake(usize),
    Report,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    request: usize,
    part: usize,
    sent: Time,
    node: usize,
    kind: usize,
}

#[derive(Default)]
struct Queue {
    running: VecDeque<(Time, Job)>,
    waiting: VecDeque<Job>,
}

struct Node {
    fleet: Fleet,
    budget: Budget,
    latencies: Vec<Latency>,
    overload: State,
}

struct Request {
    kind: usize,
    node: usize,
    /// When its caller first asked.
    first: Time,
    /// When it arrived at this node.
    arrived: Time,
    returns: usize,
    lot: f64,
    flight: Option<Flight>,
}

/// State of a running simulation.
pub struct Run {
    plan: Plan,
    rng: ChaCha8Rng,
    /// Random arrivals, so that all mechanisms meet the same load.
    arrivals: Vec<ChaCha8Rng>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Node>,
    ledger: Ledger,
    queues: BTreeMap<Key, Queue>,
    requests: Vec<Request>,
    results: Vec<Results>,
}

fn open_fleet(settings: Settings) -> Fleet {
    let mut fleet = Fleet::open("zone-0".into(), 7);
    fleet.set_order(settings.queue);
    let mut services = shards(SHARDS);
    services.push("single".into());
    let entries: Vec<(id::Name, _)> = services
        .iter()
        .flat_map(|service| {
            (0..LEAFS).map(move |n| {
                let entry = entry(service, &format!("zone-{n}"), Age { born: 1, sequence: 1 });
                let slots = u32::try_from(SLOTS).expect("few");
                (format!("{service}-{n}").into(), jacinthfall_route::leaf::Entry { slots, ..entry })
            })
        })
        .collect();
    fleet.update(Time(0), entries.iter().map(|(id, entry)| (id, entry)));
    fleet.set_concurrency_limits(services.iter().map(|service| (service.clone(), 4)).collect());
    fleet
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, u8::try_from(node + 1).expect("few nodes")], 80))
}

/// Returns a shard by its number; the one after the last stands for the service of single requests.
fn shard(number: usize) -> Shard {
    Shard::of(&number.to_string())
}

/// Returns the shard and the number of a leaf, by its key.
fn place(leaf: Key) -> (usize, usize) {
    let index = leaf.0 as usize - 1;
    (index / LEAFS, index % LEAFS)
}

/// Returns how far a leaf is in its interval between two pauses.
fn phase(leaf: Key, now: Time) -> Duration {
    let interval = PAUSE_INTERVAL.as_micros() as u64;
    let offset = leaf.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) % interval;
    Duration::from_micros((now.0 + offset) % interval)
}

impl Run {
    /// Simulates a plan until all requests have ended. Returns the results of each kind.
    pub fn simulate(plan: Plan) -> Vec<Results> {
        let limit = Limit { ratio: 0.2, floor: 52.0, window: Duration::from_secs(10) };
        let latencies = || {
            let kinds = plan.kinds.iter();
            kinds.map(|kind| Latency::open(kind.route.objective.mul_f64(0.2))).collect()
        };
        let nodes = (0..NODES).map(|_| Node {
            fleet: open_fleet(plan.settings),
            budget: Budget::open(limit, NODES),
            latencies: latencies(),
            overload: State::open(plan.settings),
        });
        let mut run = Run {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            arrivals: (1..=plan.kinds.len() as u64)
                .map(|kind| ChaCha8Rng::seed_from_u64(plan.seed + 1_000 * kind))
                .collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            nodes: nodes.collect(),
            ledger: Ledger::default(),
            queues: BTreeMap::new(),
            requests: Vec::new(),
            results: vec![Results::default(); plan.kinds.len()],
            plan,
        };
        (0..run.plan.kinds.len()).for_each(|kind| run.push(Time(0), Event::Arrival(kind)));
        run.push(Time(0), Event::Report);
        while let Some(Reverse((now, _, event))) = run.events.pop() {
            match event {
                Event::Arrival(kind) => run.arrive(now, kind),
                Event::Return(request) => run.start(now, request),
                Event::Done(leaf) => run.done(now, leaf),
                Event::Wake(request) => run.decide(now, request, |f, c| f.wake(now, c)),
                Event::Report => run.report(now),
            }
        }
        run.results
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn report(&mut self, now: Time) {
        if now.since(Time(0)) < self.plan.duration {
            self.push(now + REPORT_INTERVAL, Event::Report);
        }
        let others: Vec<usize> = (0..NODES).collect();
        for sender in 0..NODES {
            let Some(report) = self.nodes[sender].overload.report(now) else { continue };
            for receiver in others.choose_multiple(&mut self.rng, REPORT_TARGETS) {
                if *receiver != sender {
                    self.nodes[*receiver].overload.merge(now, address(sender), &report);
                }
            }
        }
    }

    fn arrive(&mut self, now: Time, kind: usize) {
        if now.since(Time(0)) >= self.plan.duration {
            return;
        }
        let rate = self.plan.kinds[kind].rate * (self.plan.burst)(now);
        let gap = -self.arrivals[kind].random::<f64>().max(1e-9).ln() / rate;
        self.push(now + Duration::from_secs_f64(gap), Event::Arrival(kind));
        let lot = self.arrivals[kind].random();
        let request =
            Request { kind, node: 0, first: now, arrived: now, returns: 0, lot, flight: None };
        self.requests.push(request);
        self.results[kind].requests += 1;
        self.start(now, self.requests.len() - 1);
    }

    fn start(&mut self, now: Time, request: usize) {
        let node = self.rng.random_range(0..NODES);
        let state = &mut self.requests[request];
        let route = &self.plan.kinds[state.kind].route;
        if self.plan.credits {
            let (shards, min_parts) = match &route.target {
                Target::Gather(gather) => {
                    ((0..SHARDS).map(shard).collect::<Vec<_>>(), gather.min_shards())
                }
                Target::Service(_) | Target::Split(_) => (vec![shard(SHARDS)], 1),
            };
            if self.ledger.grant(now, &shards, min_parts).is_none() {
                state.arrived = now;
                let retry_after = route.objective.mul_f64(1.0 + state.lot);
                return self.count(now, request, &Answer::Refused { retry_after });
            }
        }
        let timing = timing(state.first + route.timeout);
        state.node = node;
        state.arrived = now;
        state.flight = Some(Flight::open(Arc::clone(route), None, now, timing));
        self.decide(now, request, |flight, context| flight.start(now, context));
    }

    fn done(&mut self, now: Time, leaf: Key) {
        let queue = self.queues.get_mut(&leaf).expect("a queue");
        let (_, job) = queue.running.pop_front().expect("a job");
        let next = queue.waiting.pop_front();
        let requests = u32::try_from(queue.running.len() + queue.waiting.len()).expect("few");
        let took = now.since(job.sent);
        if self.plan.credits {
            let objective = self.plan.kinds[job.kind].route.objective;
            let shard = shard(place(leaf).0);
            self.ledger.take_back(now, shard, took <= objective.mul_f64(PART_SHARE));
        }
        let node = &mut self.nodes[job.node];
        let usual = node.latencies[job.kind].quantile(0.5);
        node.fleet.record_report(leaf, Report { requests, at: now });
        node.fleet.record_end(now, leaf, job.sent, Ending::Success { took, usual });
        node.latencies[job.kind].add(took);
        if let Some(next) = next {
            self.run_job(now, leaf, next);
        }
        // The caller may have come back since, and its request be at another node.
        if self.requests[job.request].arrived <= job.sent {
            let outcome = Outcome::Success(reply(StatusCode::OK, "r", b""));
            self.decide(now, job.request, |flight, context| {
                flight.send_ended(now, job.part, leaf, outcome, context)
            });
        }
    }

    fn decide(
        &mut self,
        now: Time,
        request: usize,
        decision: impl FnOnce(&mut Flight, &mut Context<'_>) -> Vec<Action>,
    ) {
        let state = &mut self.requests[request];
        let Some(mut flight) = state.flight.take() else { return };
        let (number, kind, lot) = (state.node, state.kind, state.lot);
        let Node { fleet, budget, latencies, overload } = &mut self.nodes[number];
        let latency = &latencies[kind];
        let priority = self.plan.kinds[kind].route.priority;
        let jitter = self.rng.random();
        let mut context = Context {
            fleet,
            budget,
            latency,
            overload,
            priority,
            lot,
            jitter,
            is_quarantined: false,
        };
        for action in decision(&mut flight, &mut context) {
            match action {
                Action::Send { part, leaf } => {
                    flight.record_written(part, leaf);
                    self.send(now, leaf, Job { request, part, sent: now, node: number, kind });
                }
                Action::Finish(answer) => return self.count(now, request, &answer),
            }
        }
        let wake = flight.next_wake().max(now + Duration::from_micros(1));
        self.push(wake, Event::Wake(request));
        self.requests[request].flight = Some(flight);
    }

    fn send(&mut self, now: Time, leaf: Key, job: Job) {
        let node = &mut self.nodes[job.node];
        node.fleet.record_send(now, leaf, node.latencies[job.kind].quantile(0.5));
        let queue = self.queues.entry(leaf).or_default();
        if queue.running.len() < SLOTS {
            self.run_job(now, leaf, job);
        } else {
            queue.waiting.push_back(job);
        }
    }

    fn run_job(&mut self, now: Time, leaf: Key, job: Job) {
        let (shard, number) = place(leaf);
        let slowness = (self.plan.slowness)(shard, number, now);
        let running = &mut self.queues.entry(leaf).or_default().running;
        let crowding = 1.0 + 0.25 * running.len() as f64 / SLOTS as f64;
        let noise = self.rng.random_range(0.7..1.3);
        let work = self.plan.kinds[job.kind].work.mul_f64(slowness * crowding * noise);
        let phase = phase(leaf, now);
        let begin = now + PAUSE.saturating_sub(phase);
        let crosses = phase >= PAUSE && phase + work > PAUSE_INTERVAL;
        let end = begin + work + if crosses { PAUSE } else { Duration::ZERO };
        let position = running.iter().position(|(at, _)| *at > end).unwrap_or(running.len());
        running.insert(position, (end, job));
        self.push(end, Event::Done(leaf));
    }

    fn count(&mut self, now: Time, request: usize, answer: &Answer) {
        let state = &mut self.requests[request];
        let route = &self.plan.kinds[state.kind].route;
        let results = &mut self.results[state.kind];
        let took = now.since(state.arrived);
        let missing = match answer {
            Answer::Forward(_) => 0,
            Answer::Merged { missing, .. } => *missing,
            Answer::Refused { retry_after } => {
                results.refusals += 1;
                results.refused_late += usize::from(took > route.objective);
                results.longest_refusal = results.longest_refusal.max(took);
                let at = now + *retry_after;
                if at >= state.first + route.timeout || state.returns >= MAX_RETURNS {
                    results.refused += 1;
                } else {
                    state.returns += 1;
                    self.push(at, Event::Return(request));
                }
                return;
            }
            Answer::Failed(_) => {
                results.failed += 1;
                return;
            }
        };
        results.missing += missing;
        if took > route.objective {
            results.late += 1;
        } else if state.returns > 0 {
            results.in_time_after_return += 1;
        } else {
            results.in_time += 1;
        }
    }
}
