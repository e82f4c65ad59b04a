//! Simulation, in virtual time, of a query load on shards whose leafs queue requests.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::budget::{Budget, Limit};
use jacinthfall_dispatch::fleet::{Ending, Fleet, Key, Report, Statement};
use jacinthfall_dispatch::flight::{Action, Answer, Context, Flight, Outcome};
use jacinthfall_dispatch::latency::Latency;
use jacinthfall_dispatch::overload;
use jacinthfall_route::snapshot::Route;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{fleet, reply, timing};

/// Number of requests that a leaf runs concurrently.
const SLOTS: usize = 3;

/// Time that a leaf needs to reject a part.
const REJECTION_TIME: Duration = Duration::from_millis(2);

/// Parameters of a simulation.
pub struct Plan {
    /// Route of the queries.
    pub route: Arc<Route>,
    /// Names of the shards.
    pub shards: Vec<id::Name>,
    /// Number of leafs of each shard.
    pub leafs: usize,
    /// Mean service time of a part, by index of its shard.
    pub service_time: fn(usize) -> Duration,
    /// Share of the parts that a leaf rejects at once without running them, by its number among
    /// the leafs of its shard.
    pub rejection_share: fn(usize) -> f64,
    /// Rate limit that each leaf of a shard states from the start, by index of the shard.
    pub rate_limit: fn(usize) -> Option<f64>,
    /// Mean number of queries per second.
    pub rate: f64,
    /// Time during which queries arrive.
    pub duration: Duration,
    /// Seed of the random arrivals and service times.
    pub seed: u64,
}

/// Numbers of queries by their result for the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Queries that arrived.
    pub queries: usize,
    /// Answers within the objective.
    pub in_time: usize,
    /// Answers after the objective.
    pub late: usize,
    /// Refused queries.
    pub refused: usize,
    /// Queries that were refused after the objective.
    pub refused_late: usize,
    /// Failed queries.
    pub failed: usize,
    /// Parts that were sent beyond the first send of each.
    pub extra_sends: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Done(Key),
    Rejected(Key, Job),
    Wake(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    query: usize,
    part: usize,
    sent: Time,
}

#[derive(Default)]
struct Queue {
    running: VecDeque<(Time, Job)>,
    waiting: VecDeque<Job>,
}

/// State of a running simulation.
pub struct Run {
    plan: Plan,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    fleet: Fleet,
    budget: Budget,
    latency: Latency,
    overload: overload::State,
    queues: BTreeMap<Key, Queue>,
    flights: BTreeMap<usize, (Time, Flight)>,
    outcomes: Outcomes,
}

impl Run {
    /// Simulates a plan until all queries have ended.
    pub fn simulate(plan: Plan) -> Outcomes {
        let mut fleet = fleet(&plan.shards, plan.leafs);
        for (part, shard) in plan.shards.iter().enumerate() {
            let Some(limit) = (plan.rate_limit)(part) else { continue };
            for key in fleet.leafs(shard).to_vec() {
                fleet.record_rate_limit(Time(0), key, Time(0), Statement::PerSecond(limit));
            }
        }
        let limit = Limit { ratio: 0.2, floor: 52.0, window: Duration::from_secs(10) };
        let mut run = Run {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            fleet,
            budget: Budget::open(limit, 1),
            latency: Latency::open(Duration::from_millis(20)),
            overload: overload::State::default(),
            queues: BTreeMap::new(),
            flights: BTreeMap::new(),
            outcomes: Outcomes::default(),
            plan,
        };
        run.push(Time(0), Event::Arrival);
        while let Some(Reverse((now, _, event))) = run.events.pop() {
            match event {
                Event::Arrival => run.arrive(now),
                Event::Done(leaf) => run.done(now, leaf),
                Event::Rejected(leaf, job) => run.reject(now, leaf, job),
                Event::Wake(query) => run.wake(now, query),
            }
        }
        run.outcomes
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn arrive(&mut self, now: Time) {
        if now.since(Time(0)) >= self.plan.duration {
            return;
        }
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / self.plan.rate;
        self.push(now + Duration::from_secs_f64(gap), Event::Arrival);
        let query = self.outcomes.queries;
        self.outcomes.queries += 1;
        let deadline = now + self.plan.route.timeout;
        let timing = timing(deadline);
        let flight = Flight::open(Arc::clone(&self.plan.route), None, now, timing);
        self.flights.insert(query, (now, flight));
        self.decide(now, query, |flight, context| flight.start(now, context));
    }

    fn done(&mut self, now: Time, leaf: Key) {
        let queue = self.queues.get_mut(&leaf).expect("a queue");
        let (_, job) = queue.running.pop_front().expect("a job");
        let next = queue.waiting.pop_front();
        let requests = u32::try_from(queue.running.len() + queue.waiting.len()).expect("few");
        let took = now.since(job.sent);
        let usual = self.latency.quantile(0.5);
        self.fleet.record_report(leaf, Report { requests, at: now });
        self.fleet.record_end(now, leaf, job.sent, Ending::Success { took, usual });
        self.latency.add(took);
        if let Some(next) = next {
            self.run_job(now, leaf, next);
        }
        let outcome = Outcome::Success(reply(StatusCode::OK, "r", b""));
        self.decide(now, job.query, |flight, context| {
            flight.send_ended(now, job.part, leaf, outcome, context)
        });
    }

    fn reject(&mut self, now: Time, leaf: Key, job: Job) {
        self.fleet.record_end(now, leaf, job.sent, Ending::Rejected);
        self.decide(now, job.query, |flight, context| {
            flight.send_ended(now, job.part, leaf, Outcome::NotRun, context)
        });
    }

    fn wake(&mut self, now: Time, query: usize) {
        self.decide(now, query, |flight, context| flight.wake(now, context));
    }

    fn decide(
        &mut self,
        now: Time,
        query: usize,
        decision: impl FnOnce(&mut Flight, &mut Context<'_>) -> Vec<Action>,
    ) {
        let Some((arrived, mut flight)) = self.flights.remove(&query) else { return };
        let Run { fleet, budget, latency, overload, .. } = self;
        let actions = decision(
            &mut flight,
            &mut Context {
                fleet,
                budget,
                latency,
                overload,
                priority: 1,
                lot: 0.5,
                jitter: 0.5,
                is_quarantined: false,
            },
        );
        for action in actions {
            match action {
                Action::Send { part, leaf } => self.send(now, leaf, Job { query, part, sent: now }),
                Action::Finish(answer) => {
                    self.outcomes.extra_sends += flight.tally().extra_sends;
                    return self.count(now.since(arrived), &answer);
                }
            }
        }
        let wake = flight.next_wake().max(now + Duration::from_micros(1));
        self.push(wake, Event::Wake(query));
        self.flights.insert(query, (arrived, flight));
    }

    fn send(&mut self, now: Time, leaf: Key, job: Job) {
        self.fleet.record_send(now, leaf, self.latency.quantile(0.5));
        let number = (leaf.0 as usize - 1) % self.plan.leafs;
        if self.rng.random_bool((self.plan.rejection_share)(number)) {
            return self.push(now + REJECTION_TIME, Event::Rejected(leaf, job));
        }
        let queue = self.queues.entry(leaf).or_default();
        if queue.running.len() < SLOTS {
            self.run_job(now, leaf, job);
        } else {
            queue.waiting.push_back(job);
        }
    }

    fn run_job(&mut self, now: Time, leaf: Key, job: Job) {
        let service_time =
            (self.plan.service_time)(job.part).mul_f64(self.rng.random_range(0.7..1.3));
        let end = now + service_time;
        let running = &mut self.queues.entry(leaf).or_default().running;
        let position = running.iter().position(|(at, _)| *at > end).unwrap_or(running.len());
        running.insert(position, (end, job));
        self.push(end, Event::Done(leaf));
    }

    fn count(&mut self, took: Duration, answer: &Answer) {
        let objective = self.plan.route.objective;
        let outcomes = &mut self.outcomes;
        match answer {
            Answer::Forward(_) | Answer::Merged { .. } if took <= objective => {
                outcomes.in_time += 1
            }
            Answer::Forward(_) | Answer::Merged { .. } => outcomes.late += 1,
            Answer::Refused { .. } => {
                outcomes.refused += 1;
                outcomes.refused_late += usize::from(took > objective);
            }
            Answer::Failed(_) => outcomes.failed += 1,
        }
    }
}

/// Simulates the simplest policy for comparison: each part is sent to a random leaf at once,
/// and a query is answered when `min_answers` parts are answered.
pub fn baseline(plan: &Plan, min_answers: usize) -> Outcomes {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let leafs = plan.shards.len() * plan.leafs;
    let mut free = vec![[Time(0); SLOTS]; leafs];
    let mut outcomes = Outcomes::default();
    let mut now = Time(0);
    while now.since(Time(0)) < plan.duration {
        outcomes.queries += 1;
        let mut ends: Vec<Time> = (0..plan.shards.len())
            .map(|part| {
                let leaf = part * plan.leafs + rng.random_range(0..plan.leafs);
                let service_time = (plan.service_time)(part).mul_f64(rng.random_range(0.7..1.3));
                let slot = free[leaf].iter_mut().min().expect("slots");
                *slot = (*slot).max(now) + service_time;
                *slot
            })
            .collect();
        ends.sort_unstable();
        match ends[min_answers - 1].since(now) {
            took if took <= plan.route.objective => outcomes.in_time += 1,
            took if took <= plan.route.timeout => outcomes.late += 1,
            _ => outcomes.failed += 1,
        }
        let gap = -rng.random::<f64>().max(1e-9).ln() / plan.rate;
        now = now + Duration::from_secs_f64(gap);
    }
    outcomes
}
