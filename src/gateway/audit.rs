//! Log lines and metrics about requests and about leafs' states.
//!
//! A request that failed, was refused, came late or lacks shards gets a line for each
//! decision that led there and one for its answer; whole answers in time are counted,
//! and a few of them get lines too. Lines are bounded for each second, those about
//! failures apart from the others. The latest lines are kept for `jacinthfall trace`.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;
use http::{HeaderValue, StatusCode};
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Change, Ending, Key};
use jacinthfall_dispatch::flight::{Answer, Ended, Event, Flight, Obstacle, Reason, Step};
use jacinthfall_route::leaf::State;
use jacinthfall_route::snapshot::Route;
use metrics::{counter, gauge, histogram};

use super::hub::{Hub, Tables};
use crate::util::lock::lock;
use crate::util::output::Sampler;

/// Lines in a second about requests that failed or were refused.
const FAILED_LINES: u32 = 100;

/// Lines in a second about answers that came late, lack shards or took extra sends.
const DEGRADED_LINES: u32 = 60;

/// Lines in a second about whole answers in time.
const WHOLE_LINES: u32 = 4;

/// Lines in a second about leafs' states.
const STATE_LINES: u32 = 20;

/// Lines about the decisions on one request.
const MAX_STEPS: usize = 24;

/// Lines about requests that are kept, in bytes.
const KEPT_BYTES: usize = 192 * 1024;

/// Time between two lines about a route's traffic, or about the store's calls.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(5);

/// Longest response time that is told apart from longer ones, in milliseconds.
const MAX_MILLIS: u64 = 60_000;

/// A request, as far as its lines need it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Id of the caller's attempt.
    pub id: &'a HeaderValue,
    /// Its route.
    pub route: &'a Route,
    /// What was decided on it.
    pub flight: &'a Flight,
    /// When it was complete.
    pub arrived: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Time that the caller had spent on earlier attempts.
    pub spent: Duration,
    /// Version of the configuration that it began with.
    pub version: u64,
}

/// How well a request was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Grade {
    Whole,
    /// Whole and in time, with sends beyond the first of each part.
    Repeated,
    Late,
    Partial,
    Refused,
    Failed,
    Abandoned,
}

impl Grade {
    fn of(request: &Request<'_>, took: Duration, answer: Option<&Answer>) -> Grade {
        match answer {
            None => Grade::Abandoned,
            Some(Answer::Refused { .. }) => Grade::Refused,
            Some(Answer::Failed(_)) => Grade::Failed,
            Some(Answer::Forward(reply)) if !reply.status.is_success() => Grade::Failed,
            Some(Answer::Merged { missing: 1.., .. }) => Grade::Partial,
            Some(_) if took > request.route.objective => Grade::Late,
            Some(_) if request.flight.tally().extra > 0 => Grade::Repeated,
            Some(_) => Grade::Whole,
        }
    }
}

/// Answers of one route since its last line.
#[derive(Debug)]
struct Traffic {
    grades: HashMap<Grade, u64>,
    extra: u64,
    missing: u64,
    /// Response times of answers, in milliseconds.
    took: Histogram<u32>,
}

impl Traffic {
    fn open() -> Traffic {
        let took = Histogram::new_with_bounds(1, MAX_MILLIS, 2).expect("the bounds are valid");
        Traffic { grades: HashMap::new(), extra: 0, missing: 0, took }
    }

    fn count(&self, grade: Grade) -> u64 {
        self.grades.get(&grade).copied().unwrap_or_default()
    }
}

/// Latest lines about requests, oldest first.
#[derive(Debug, Default)]
struct Kept {
    requests: VecDeque<(String, String)>,
    bytes: usize,
}

impl Kept {
    fn push(&mut self, id: String, lines: String) {
        self.bytes += id.len() + lines.len();
        self.requests.push_back((id, lines));
        while self.bytes > KEPT_BYTES {
            let Some((id, lines)) = self.requests.pop_front() else { return };
            self.bytes -= id.len() + lines.len();
        }
    }
}

#[derive(Debug)]
struct Book {
    failed: Sampler,
    degraded: Sampler,
    whole: Sampler,
    states: Sampler,
    kept: Kept,
    traffic: HashMap<id::Name, Traffic>,
    /// Calls to the store by kind, since their last line.
    store_calls: BTreeMap<&'static str, u64>,
    traffic_since: Time,
}

/// Bounds and keeps lines, and counts answers.
#[derive(Debug)]
pub struct Audit(Mutex<Book>);

impl Default for Audit {
    fn default() -> Audit {
        Audit(Mutex::new(Book {
            failed: Sampler::open(FAILED_LINES),
            degraded: Sampler::open(DEGRADED_LINES),
            whole: Sampler::open(WHOLE_LINES),
            states: Sampler::open(STATE_LINES),
            kept: Kept::default(),
            traffic: HashMap::new(),
            store_calls: BTreeMap::new(),
            traffic_since: Time(0),
        }))
    }
}

impl Audit {
    /// Notes the answer to a request, or that its caller left before there was one.
    pub fn answered(&self, hub: &Hub, request: &Request<'_>, answer: Option<&Answer>) {
        let now = hub.now();
        let took = now.since(request.arrived);
        let grade = Grade::of(request, took, answer);
        let outcome = Outcome::of(answer);
        measure(request, outcome.name, took);
        let passed_over = {
            let mut book = lock(&self.0);
            book.count(request, grade, took, answer);
            book.sampler(grade).admit(now)
        };
        let Some(passed_over) = passed_over else { return };
        let lines = lines(hub, request, outcome, now, passed_over);
        for line in &lines {
            log::info!("{line}");
        }
        let mut book = lock(&self.0);
        let count = u32::try_from(lines.len()).unwrap_or(u32::MAX);
        book.sampler(grade).charge(count.saturating_sub(1));
        book.kept.push(text(request.id), lines.join("\n"));
    }

    /// Notes a request that was answered before any decision on leafs.
    pub fn rejected(&self, hub: &Hub, request: &Rejected<'_>) {
        let Rejected { id, status, reason, host, path } = request;
        counter!("jacinthfall_rejections_total", "reason" => *reason).increment(1);
        let Some(passed_over) = lock(&self.0).failed.admit(hub.now()) else { return };
        let (version, upto) = {
            let tables = hub.tables();
            (tables.version(), tables.upto)
        };
        let id = id.map(text).unwrap_or_default();
        let status = status.as_u16();
        let line = format!(
            "event=rejected id={id:?} status={status} reason={reason} host={host:?} \
             path={path:?} version={version} upto={upto} passed_over={passed_over}"
        );
        log::info!("{line}");
        lock(&self.0).kept.push(id, line);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, kind: &'static str) {
        *lock(&self.0).store_calls.entry(kind).or_default() += 1;
    }

    /// Notes that a leaf's state for further requests changed.
    pub fn leaf_changed(&self, hub: &Hub, key: Key, ending: Ending, change: Change) {
        let Some(passed_over) = lock(&self.0).states.admit(hub.now()) else { return };
        let (id, service, in_flight) = {
            let tables = hub.tables();
            let Some(leaf) = tables.fleet.leaf(key) else { return };
            (leaf.id.clone(), leaf.entry.service.clone(), leaf.in_flight())
        };
        let (state, amount) = match change {
            Change::Paused(pause) => ("paused", pause.as_millis() as usize),
            Change::Back => ("back", 0),
            Change::Limited(requests) => ("limited", requests),
            Change::Dropped => ("dropped", 0),
        };
        log::info!(
            "event=leaf_state id={id} service={service} state={state} amount={amount} \
             after={} in_flight={in_flight} passed_over={passed_over}",
            ending.name()
        );
    }

    /// Notes what became known of leafs, and where it came from.
    pub fn leafs_changed(&self, hub: &Hub, changed: &[id::Name], source: &str) {
        let now = hub.now();
        for id in changed {
            let Some(passed_over) = lock(&self.0).states.admit(now) else { continue };
            let (state, revision) = {
                let tables = hub.tables();
                let record = tables.catalog.record(id);
                let entry = record.and_then(|record| record.entry.as_ref());
                let state = entry.map_or("gone", |entry| match entry.state {
                    State::Ready => "ready",
                    State::Draining => "draining",
                });
                (state, record.map_or(0, |record| record.revision))
            };
            log::info!(
                "event=leaf id={id} state={state} revision={revision} source={source} \
                 passed_over={passed_over}"
            );
        }
    }

    /// The kept lines about the requests with an id.
    #[must_use]
    pub fn kept(&self, id: &str) -> String {
        let book = lock(&self.0);
        let requests = book.kept.requests.iter().filter(|(other, _)| other == id);
        requests.map(|(_, lines)| format!("{lines}\n")).collect()
    }

    /// Writes lines about the store's calls and each route's traffic once they are due.
    pub fn summarize(&self, hub: &Hub) {
        if hub.now().since(lock(&self.0).traffic_since) >= TRAFFIC_INTERVAL {
            self.flush(hub);
        }
    }

    /// Writes lines about the store's calls and each route's traffic since the last ones.
    pub fn flush(&self, hub: &Hub) {
        let now = hub.now();
        let mut book = lock(&self.0);
        let window = now.since(book.traffic_since);
        book.traffic_since = now;
        let traffic = std::mem::take(&mut book.traffic);
        let calls = std::mem::take(&mut book.store_calls);
        drop(book);
        if !calls.is_empty() {
            let calls = calls.iter().map(|(kind, count)| format!(" {kind}={count}"));
            let calls: String = calls.collect();
            log::info!("event=store_calls window_ms={}{calls}", window.as_millis());
        }
        for (route, traffic) in traffic {
            log::info!(
                "event=traffic route={route} window_ms={} whole={} late={} partial={} refused={} \
                 failed={} abandoned={} p50_ms={} p99_ms={} max_ms={} extra={} missing={}",
                window.as_millis(),
                traffic.count(Grade::Whole) + traffic.count(Grade::Repeated),
                traffic.count(Grade::Late),
                traffic.count(Grade::Partial),
                traffic.count(Grade::Refused),
                traffic.count(Grade::Failed),
                traffic.count(Grade::Abandoned),
                traffic.took.value_at_quantile(0.5),
                traffic.took.value_at_quantile(0.99),
                traffic.took.max(),
                traffic.extra,
                traffic.missing
            );
        }
    }
}

impl Book {
    /// What bounds the lines about requests that were served like this.
    fn sampler(&mut self, grade: Grade) -> &mut Sampler {
        match grade {
            Grade::Refused | Grade::Failed => &mut self.failed,
            Grade::Repeated | Grade::Late | Grade::Partial | Grade::Abandoned => &mut self.degraded,
            Grade::Whole => &mut self.whole,
        }
    }

    fn count(
        &mut self,
        request: &Request<'_>,
        grade: Grade,
        took: Duration,
        answer: Option<&Answer>,
    ) {
        let name = &request.route.name;
        if !self.traffic.contains_key(name) {
            self.traffic.insert(name.clone(), Traffic::open());
        }
        let traffic = self.traffic.get_mut(name).expect("inserted above");
        *traffic.grades.entry(grade).or_default() += 1;
        traffic.extra += request.flight.tally().extra as u64;
        if matches!(grade, Grade::Whole | Grade::Repeated | Grade::Late | Grade::Partial) {
            let millis = u64::try_from(took.as_millis()).unwrap_or(MAX_MILLIS);
            traffic.took.saturating_record(millis);
        }
        if let Some(Answer::Merged { missing, .. }) = answer {
            traffic.missing += *missing as u64;
        }
    }
}

/// A request that was answered before any decision on leafs.
#[derive(Clone, Copy, Debug)]
pub struct Rejected<'a> {
    /// Id of the caller's attempt, if it has one.
    pub id: Option<&'a HeaderValue>,
    /// Status of the answer.
    pub status: StatusCode,
    /// Why, in one word.
    pub reason: &'static str,
    /// Host that the caller asked for.
    pub host: &'a str,
    /// Path that the caller asked for.
    pub path: &'a str,
}

/// An answer in the words of the log.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    name: &'static str,
    /// Status, missing shards or milliseconds until the caller should come back.
    detail: u64,
}

impl Outcome {
    fn of(answer: Option<&Answer>) -> Outcome {
        let (name, detail) = match answer {
            None => ("abandoned", 0),
            Some(Answer::Forward(reply)) if reply.status.is_success() => ("success", 0),
            Some(Answer::Forward(reply)) => ("leaf_failure", reply.status.as_u16().into()),
            Some(Answer::Merged { missing, .. }) => ("merged", *missing as u64),
            Some(Answer::Refused { retry_after }) => ("refused", retry_after.as_millis() as u64),
            Some(Answer::Failed(status)) => ("failed", status.as_u16().into()),
        };
        Outcome { name, detail }
    }
}

fn measure(request: &Request<'_>, outcome: &'static str, took: Duration) {
    let route = || request.route.name.clone();
    counter!("jacinthfall_requests_total", "route" => route(), "outcome" => outcome).increment(1);
    histogram!("jacinthfall_request_seconds", "route" => route(), "outcome" => outcome)
        .record(took);
    histogram!("jacinthfall_queue_seconds", "route" => route()).record(request.flight.waited());
    let extra = request.flight.tally().extra as u64;
    if extra > 0 {
        counter!("jacinthfall_extra_sends_total", "route" => route()).increment(extra);
    }
    let missing = request.flight.missing().count() as u64;
    if outcome == "merged" && missing > 0 {
        counter!("jacinthfall_missing_parts_total", "route" => route()).increment(missing);
    }
}

/// The lines about a request: its decisions, then its answer.
fn lines(
    hub: &Hub,
    request: &Request<'_>,
    outcome: Outcome,
    now: Time,
    passed_over: u64,
) -> Vec<String> {
    let tables = hub.tables();
    let steps = request.flight.trail();
    // The latest ones explain the answer.
    let skipped = steps.len().saturating_sub(MAX_STEPS);
    let described = steps[skipped..].iter().map(|step| describe(&tables, request, step));
    let mut lines: Vec<String> = described.collect();
    let tally = request.flight.tally();
    lines.push(format!(
        "event=answer id={:?} route={} outcome={} detail={} took_ms={} waited_ms={} parts={} \
         done={} dead={} extra={} missing=[{}] deadline_ms={} spent_ms={} version={} upto={} \
         known_ms={} steps_left_out={skipped} passed_over={passed_over}",
        text(request.id),
        request.route.name,
        outcome.name,
        outcome.detail,
        now.since(request.arrived).as_millis(),
        request.flight.waited().as_millis(),
        request.flight.parts(),
        tally.done,
        tally.dead,
        tally.extra,
        missing(&tables, request.flight),
        request.deadline.since(request.arrived).as_millis(),
        request.spent.as_millis(),
        request.version,
        tables.upto,
        now.since(tables.confirmed).as_millis(),
    ));
    lines
}

fn describe(tables: &Tables, request: &Request<'_>, step: &Step) -> String {
    let (event, details) = match step.event {
        Event::Sent { leaf, reason, outlook } => {
            let (reported, age) = outlook
                .report
                .map_or((-1, 0), |(requests, age)| (i64::from(requests), age.as_millis()));
            let details = format!(
                "leaf={} reason={} expected_ms={} in_flight={} reported={reported} \
                 report_age_ms={age}",
                leaf_name(tables, leaf),
                reason_name(reason),
                outlook.expected.as_millis(),
                outlook.in_flight,
            );
            ("send", details)
        }
        Event::Ended { leaf, ended } => {
            let leaf = leaf_name(tables, leaf);
            ("response", format!("leaf={leaf} result={}", ended_name(ended)))
        }
        Event::Held(obstacle) => ("not_resent", format!("why={}", obstacle_name(obstacle))),
        Event::GivenUp(obstacle) => ("given_up", format!("why={}", obstacle_name(obstacle))),
    };
    let at = step.at.since(request.arrived).as_millis();
    let service = &step.service;
    format!("event={event} id={:?} at_ms={at} service={service} {details}", text(request.id))
}

fn leaf_name(tables: &Tables, key: Key) -> String {
    tables.fleet.leaf(key).map_or_else(|| format!("life-{}", key.0), |leaf| leaf.id.to_string())
}

/// Parts without an answer, with the leafs that were given them.
fn missing(tables: &Tables, flight: &Flight) -> String {
    let parts = flight.missing().map(|(service, keys)| {
        let leafs: Vec<String> = keys.iter().map(|key| leaf_name(tables, *key)).collect();
        format!("{service}:{}", leafs.join("+"))
    });
    parts.collect::<Vec<_>>().join(" ")
}

const fn reason_name(reason: Reason) -> &'static str {
    match reason {
        Reason::First => "first",
        Reason::Late => "late",
        Reason::Failed => "failed",
    }
}

const fn ended_name(ended: Ended) -> &'static str {
    match ended {
        Ended::Success => "success",
        Ended::Failure => "failure",
        Ended::NotRun => "not_run",
        Ended::Unsent => "unsent",
        Ended::Unknown => "unknown",
    }
}

const fn obstacle_name(obstacle: Obstacle) -> &'static str {
    match obstacle {
        Obstacle::MayHaveRun => "may_have_run",
        Obstacle::Attempts => "attempts",
        Obstacle::NoLeaf => "no_leaf",
        Obstacle::Budget => "budget",
    }
}

fn text(value: &HeaderValue) -> String {
    String::from_utf8_lossy(value.as_bytes()).into_owned()
}

/// Shows what the node knows in its metrics.
pub fn show(hub: &Hub) {
    let now = hub.now();
    let mut tables = hub.tables();
    gauge!("jacinthfall_configuration_version").set(tables.version() as f64);
    gauge!("jacinthfall_leafs_usable").set(tables.catalog.usable().count() as f64);
    gauge!("jacinthfall_nodes").set(tables.nodes as f64);
    let known = now.since(tables.confirmed);
    gauge!("jacinthfall_knowledge_age_seconds").set(known.as_secs_f64());
    let services = tables.configuration.as_ref();
    let services: Vec<id::Name> =
        services.map(|known| known.snapshot.services.keys().cloned().collect()).unwrap_or_default();
    for service in services {
        let left = tables.budget.left(now, &service);
        gauge!("jacinthfall_extra_sends_left", "service" => service).set(left);
    }
}
