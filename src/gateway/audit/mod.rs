//! Log lines and metrics about requests and about leafs' states.
//!
//! A request that failed, was refused, came late or lacks shards gets a line for each
//! decision that led there and one for its answer; whole answers in time are counted,
//! and a few of them get lines too. Lines are bounded for each second, those about
//! failures apart from the others. The latest lines are kept for `jacinthfall trace`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Change, Ending, Key};
use jacinthfall_dispatch::flight::{Answer, Flight, Tally};
use jacinthfall_route::leaf::State;
use jacinthfall_route::snapshot::Route;
use metrics::{counter, histogram};

use super::hub::Hub;
use crate::util::lock::lock;
use crate::util::output::Sampler;

mod lines;
mod traffic;

use lines::{Outcome, shorten, text};
use traffic::{Grade, Traffic};

/// Lines in a second about requests that failed or were refused.
const FAILED_LINES: u32 = 100;

/// Lines in a second about answers that came late, lack shards or took extra sends.
const DEGRADED_LINES: u32 = 60;

/// Lines in a second about whole answers in time.
const WHOLE_LINES: u32 = 4;

/// Lines in a second about leafs' states.
const STATE_LINES: u32 = 20;

/// Lines about requests that are kept, in bytes.
const KEPT_BYTES: usize = 192 * 1024;

/// Time between two lines about a route's traffic, or about the store's calls.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(5);

/// A request, as far as its lines need it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Id of the caller's attempt.
    pub id: &'a HeaderValue,
    /// Its route.
    pub route: &'a Route,
    /// What was decided on it.
    pub flight: &'a Flight,
    /// What it needed.
    pub tally: Tally,
    /// When it was complete.
    pub arrived: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Time that the caller had spent on earlier attempts.
    pub spent: Duration,
    /// Version of the configuration that it began with.
    pub version: u64,
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
    traffic: Traffic,
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
            traffic: Traffic::default(),
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
        measure(request, outcome.name, took, answer);
        let passed_over = {
            let mut book = lock(&self.0);
            book.traffic.add(request, grade, took, answer);
            book.sampler(grade).admit(now)
        };
        let Some(passed_over) = passed_over else { return };
        let lines = lines::of_request(hub, request, outcome, now, passed_over);
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
        let (host, path) = (shorten(host), shorten(path));
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
            Change::Recovered => ("back", 0),
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
        let id = shorten(id);
        let book = lock(&self.0);
        let requests = book.kept.requests.iter().filter(|(other, _)| *other == id);
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
        traffic.lines(window).for_each(|line| log::info!("{line}"));
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

fn measure(request: &Request<'_>, outcome: &'static str, took: Duration, answer: Option<&Answer>) {
    let route = || request.route.name.clone();
    counter!("jacinthfall_requests_total", "route" => route(), "outcome" => outcome).increment(1);
    histogram!("jacinthfall_request_seconds", "route" => route(), "outcome" => outcome)
        .record(took);
    histogram!("jacinthfall_queue_seconds", "route" => route()).record(request.flight.queue_time());
    let extra = request.tally.extra_sends as u64;
    if extra > 0 {
        counter!("jacinthfall_extra_sends_total", "route" => route()).increment(extra);
    }
    if let Some(Answer::Merged { missing: missing @ 1.., .. }) = answer {
        let missing = *missing as u64;
        counter!("jacinthfall_missing_parts_total", "route" => route()).increment(missing);
    }
}
