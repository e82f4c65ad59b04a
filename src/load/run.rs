//! Sends the requests of a schedule and collects the result.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use jacinthfall_core::id;
use jacinthfall_core::time::Wall;

use crate::api::Ask;
use crate::load::addresses::Cache;
use crate::load::check::{self, Reply, Violation};
use crate::load::client::{self, Error, Outcome};
use crate::load::leafs;
use crate::load::mix::Mix;
use crate::load::report::{Leafs, Report, Violations};
use crate::load::schedule::{self, Arrival};
use crate::load::tally::Tally;

/// Delay after which a request counts as sent late.
const LATE_AFTER: Duration = Duration::from_millis(1);

/// Maximum number of violations that a report describes.
const MAX_DESCRIBED: usize = 20;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Label of the run.
    pub name: String,
    /// Mix of requests.
    pub mix: Mix,
    /// Requests per second.
    pub rate: f64,
    /// Length of the schedule.
    pub duration: Duration,
    /// Seed of the schedule.
    pub seed: u64,
    /// Prefix of every request id.
    pub ids: String,
    /// Maximum number of requests in flight.
    pub workers: usize,
    /// Nodes to fetch addresses from.
    pub nodes: Vec<SocketAddr>,
    /// Control addresses of the stand-in leafs.
    pub leafs: Vec<SocketAddr>,
    /// Whether each row repeats version, key and text, as the stand-ins' rows do.
    pub echo: bool,
}

/// Results that a worker collected.
#[derive(Clone, Debug, Default)]
struct Count {
    tallies: Vec<Tally>,
    sent_late: u64,
    replies: BTreeMap<id::Request, Reply>,
    violations: Violations,
}

/// State that the workers share.
#[derive(Debug)]
struct Shared<'a> {
    plan: &'a Plan,
    arrivals: Vec<Arrival>,
    next: AtomicUsize,
    start: Instant,
    addresses: Cache,
}

/// Runs a plan to completion.
///
/// # Errors
///
/// A description of what failed at the leafs' control addresses.
pub fn run(plan: &Plan) -> Result<Report, String> {
    let before = leafs::read(&plan.leafs)?;
    let shared = Shared {
        plan,
        arrivals: schedule::draw(&plan.mix, plan.rate, plan.duration, plan.seed),
        next: AtomicUsize::new(0),
        start: Instant::now(),
        addresses: Cache::new(plan.nodes.clone()),
    };
    let mut count = run_workers(&shared);
    let took = shared.start.elapsed().max(plan.duration);
    let after = leafs::read(&plan.leafs)?;
    let mut total = Tally::default();
    count.tallies.iter().for_each(|tally| total.add(tally));
    let leafs = (!plan.leafs.is_empty()).then(|| {
        count.check_runs(&after.runs);
        Leafs::new(after.counters.since(&before.counters), total.needed())
    });
    let profiles = plan.mix.kinds.iter().zip(&count.tallies);
    Ok(Report {
        name: plan.name.clone(),
        rate: plan.rate,
        duration_s: plan.duration.as_secs_f64(),
        seed: plan.seed,
        sent_late: count.sent_late,
        total: total.row("total".into(), took),
        profiles: profiles.map(|(kind, tally)| tally.row(kind.profile.clone(), took)).collect(),
        leafs,
        violations: count.violations,
    })
}

/// Runs all workers and adds up their results.
fn run_workers(shared: &Shared<'_>) -> Count {
    let kinds = shared.plan.mix.kinds.len();
    let mut total = Count::new(kinds);
    thread::scope(|scope| {
        let workers: Vec<_> = (0..shared.plan.workers)
            .map(|_| scope.spawn(|| run_worker(shared, Count::new(kinds))))
            .collect();
        for worker in workers {
            total.add(worker.join().expect("a worker does not panic"));
        }
    });
    total
}

/// Sends requests one after the other until the schedule ends.
fn run_worker(shared: &Shared<'_>, mut count: Count) -> Count {
    loop {
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let Some(arrival) = shared.arrivals.get(number) else { return count };
        let intended = shared.start + arrival.at;
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        count.sent_late += u64::from(intended.elapsed() > LATE_AFTER);
        let kind = &shared.plan.mix.kinds[arrival.kind];
        let ask = schedule::ask(&shared.plan.ids, number, arrival, kind, wall_clock());
        let outcome = send(&shared.addresses, number, &ask);
        let latency = intended.elapsed();
        count.record(shared.plan, arrival.kind, &ask, outcome, latency);
    }
}

/// Sends a request to the first node that accepts a connection.
fn send(addresses: &Cache, number: usize, ask: &Ask) -> Result<Outcome, Error> {
    let mut order = addresses.order(number).into_iter();
    let first = order.next().expect("the address list is never empty");
    let mut outcome = client::ask(first, ask);
    for address in order {
        if !matches!(outcome, Err(Error::Connect(_))) {
            break;
        }
        outcome = client::ask(address, ask);
    }
    outcome
}

impl Count {
    fn new(kinds: usize) -> Count {
        Count { tallies: vec![Tally::default(); kinds], ..Count::default() }
    }

    fn record(
        &mut self,
        plan: &Plan,
        index: usize,
        ask: &Ask,
        outcome: Result<Outcome, Error>,
        latency: Duration,
    ) {
        let kind = &plan.mix.kinds[index];
        let tally = &mut self.tallies[index];
        let (reply, violations) = match outcome {
            Ok(Outcome::Answered(answer)) => {
                tally.answer(kind, &answer, latency);
                (Reply::Answered, check::answer(ask, kind, plan.echo, &answer))
            }
            Ok(Outcome::Refused(refusal)) => {
                tally.refuse(&refusal, latency);
                let violation = check::refusal(ask, &refusal);
                (Reply::Refused(refusal.ran), violation.into_iter().collect())
            }
            Err(error) => {
                tally.fail();
                let violation = match error {
                    Error::Contract { .. } => Some(Violation::Contract(error.to_string())),
                    Error::Connect(_) | Error::Broken(_) => None,
                };
                (Reply::Nothing, violation.into_iter().collect())
            }
        };
        if kind.once {
            self.replies.insert(ask.request.clone(), reply);
        }
        violations.iter().for_each(|violation| self.add_violation(&ask.request, violation));
    }

    /// Checks the replies against the runs at all leafs.
    fn check_runs(&mut self, runs: &BTreeMap<id::Request, u64>) {
        for (request, reply) in std::mem::take(&mut self.replies) {
            let runs = runs.get(&request).copied().unwrap_or(0);
            if let Some(violation) = check::runs(reply, runs) {
                self.add_violation(&request, &violation);
            }
        }
    }

    fn add_violation(&mut self, request: &id::Request, violation: &Violation) {
        self.violations.count += 1;
        if self.violations.first.len() < MAX_DESCRIBED {
            self.violations.first.push(format!("request `{request}`: {violation}"));
        }
    }

    fn add(&mut self, other: Count) {
        for (tally, others) in self.tallies.iter_mut().zip(&other.tallies) {
            tally.add(others);
        }
        self.sent_late += other.sent_late;
        self.replies.extend(other.replies);
        self.violations.count += other.violations.count;
        let remaining = MAX_DESCRIBED - self.violations.first.len();
        self.violations.first.extend(other.violations.first.into_iter().take(remaining));
    }
}

fn wall_clock() -> Wall {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Wall::default() + since.unwrap_or_default()
}
