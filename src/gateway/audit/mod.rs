//! Log lines and metrics about requests and about the state of leafs.
//!
//! For a request that failed, was refused, was answered late or lacks shards, each
//! decision that led to the result is logged, and then the answer. Complete answers in
//! time are counted, and only a sample of them is logged. The number of lines per second
//! is limited, with a separate limit for failures. The latest lines are retained for
//! `jacinthfall trace`.
//!
//! `lines` formats the lines about a request, `leafs` those about leafs, and `traffic` the summary
//! of each route; `summary` writes all summaries.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::flight::{Answer, Flight, Tally, Timing};
use jacinthfall_dispatch::quarantine::Fingerprint;
use jacinthfall_dispatch::round_trip::Connection;
use jacinthfall_route::organisation::Organisation;
use jacinthfall_route::snapshot::Route;
use metrics::{counter, histogram};

use super::tables::Shared;
use crate::util::lock::lock;
use crate::util::output::Sampler;

mod leafs;
mod lines;
mod summary;
mod traffic;

use lines::{Outcome, header_text, truncate};
use traffic::{Grade, Traffic};

/// Maximum number of lines per second about requests that failed or were refused.
const MAX_FAILED_LINES_PER_SECOND: u32 = 100;

/// Maximum number of lines per second about requests that were answered late, lack shards,
/// took extra sends or were abandoned.
const MAX_DEGRADED_LINES_PER_SECOND: u32 = 60;

/// Maximum number of lines per second about complete answers in time.
const MAX_WHOLE_LINES_PER_SECOND: u32 = 4;

/// Maximum number of lines per second about the state of leafs.
const MAX_STATE_LINES_PER_SECOND: u32 = 20;

/// Maximum size of the retained lines about requests, in bytes.
const MAX_HISTORY_BYTES: usize = 192 * 1024;

/// A request, as far as it is needed for its log lines.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Request id from the caller; it names one attempt of the caller.
    pub id: &'a HeaderValue,
    /// What identifies the request, whatever the attempt's id.
    pub fingerprint: Fingerprint,
    /// Route of the request.
    pub route: &'a Route,
    /// State of the request, with the decisions on it.
    pub flight: &'a Flight,
    /// Counts of its parts and sends.
    pub tally: Tally,
    /// When it was received completely.
    pub arrived: Time,
    /// When the caller stops waiting, and what else was known of its time.
    pub timing: Timing,
    /// Whether the request was the first one on its connection.
    pub connection: Connection,
    /// Organisation of the caller, if it is known.
    pub organisation: Option<&'a Organisation>,
    /// Version of the configuration that was in force when it arrived.
    pub version: u64,
    /// Node that the caller sent it to, if it isn't this one.
    pub origin: Option<&'a id::Name>,
}

/// A request that another node was asked to serve.
#[derive(Clone, Copy, Debug)]
pub struct Relayed<'a> {
    /// Request id from the caller.
    pub id: &'a HeaderValue,
    /// What identifies the request, whatever the attempt's id.
    pub fingerprint: Fingerprint,
    /// Route of the request.
    pub route: &'a id::Name,
    /// The other node.
    pub node: &'a id::Name,
    /// How that ended, in one word.
    pub outcome: &'static str,
    /// HTTP status of the answer; 0 if there is none.
    pub status: u16,
    /// Time since the request arrived.
    pub took: Duration,
    /// Version of the configuration that the other node was asked to have in force.
    pub version: u64,
}

/// Retained lines about the latest requests.
#[derive(Debug, Default)]
struct History {
    /// Id and lines of each request, oldest first.
    requests: VecDeque<(String, String)>,
    /// Total size of `requests`, in bytes.
    bytes: usize,
}

impl History {
    fn push(&mut self, id: String, lines: String) {
        self.bytes += id.len() + lines.len();
        self.requests.push_back((id, lines));
        while self.bytes > MAX_HISTORY_BYTES {
            let Some((id, lines)) = self.requests.pop_front() else { return };
            self.bytes -= id.len() + lines.len();
        }
    }
}

/// State of [`Audit`]: the limits of the kinds of lines, and what was counted and retained.
#[derive(Debug)]
struct Inner {
    failed: Sampler,
    degraded: Sampler,
    whole: Sampler,
    states: Sampler,
    history: History,
    traffic: Traffic,
    /// Number of calls to the store since the last summary, by kind.
    store_calls: BTreeMap<&'static str, u64>,
    /// Requests that other nodes were asked to serve since the last summary, by node.
    relays: BTreeMap<id::Name, Relays>,
    /// Look-ups of addresses since the last summary.
    lookups: Lookups,
    /// When the last summary was logged.
    last_summary: Time,
}

/// Numbers of addresses in an answer to a look-up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Named {
    /// All addresses.
    pub addresses: usize,
    /// Those of nodes that are cut off from leafs.
    pub cut_off: usize,
}

/// Requests that one node was asked to serve in a window.
#[derive(Clone, Copy, Debug, Default)]
struct Relays {
    requests: u64,
    /// Those that weren't answered with success.
    failures: u64,
}

/// Look-ups of addresses in a window.
#[derive(Clone, Copy, Debug, Default)]
struct Lookups {
    /// Number of answers.
    answers: u64,
    /// What the latest answer named.
    latest: Named,
}

/// Limits and retains the lines about requests, and counts answers.
#[derive(Debug)]
pub struct Audit(Mutex<Inner>);

impl Default for Audit {
    fn default() -> Audit {
        Audit(Mutex::new(Inner {
            failed: Sampler::open(MAX_FAILED_LINES_PER_SECOND),
            degraded: Sampler::open(MAX_DEGRADED_LINES_PER_SECOND),
            whole: Sampler::open(MAX_WHOLE_LINES_PER_SECOND),
            states: Sampler::open(MAX_STATE_LINES_PER_SECOND),
            history: History::default(),
            traffic: Traffic::default(),
            store_calls: BTreeMap::new(),
            relays: BTreeMap::new(),
            lookups: Lookups::default(),
            last_summary: Time(0),
        }))
    }
}

impl Audit {
    /// Counts and logs the answer to a request; `None` if its caller disconnected before there
    /// was one.
    pub fn record_answer(
        &self,
        now: Time,
        tables: &Shared,
        request: &Request<'_>,
        answer: Option<&Answer>,
    ) {
        let took = now.since(request.arrived);
        let grade = Grade::from_answer(request, took, answer);
        let outcome = Outcome::from_answer(answer);
        record_metrics(request, outcome.name, took, answer);
        let passed_over = {
            let mut inner = lock(&self.0);
            inner.traffic.record(request, grade, took, answer);
            inner.sampler(grade).admit(now)
        };
        let Some(passed_over) = passed_over else { return };
        let lines = lines::format_request(&tables.lock(), request, outcome, now, passed_over);
        for line in &lines {
            log::info!("{line}");
        }
        let mut inner = lock(&self.0);
        let count = u32::try_from(lines.len()).unwrap_or(u32::MAX);
        inner.sampler(grade).charge(count.saturating_sub(1));
        inner.history.push(header_text(request.id), lines.join("\n"));
    }

    /// Counts and logs a request that another node was asked to serve.
    pub fn record_relayed(&self, now: Time, request: &Relayed<'_>) {
        let Relayed { id, fingerprint, route, node, outcome, status, took, version } = request;
        counter!("jacinthfall_relayed_requests_total", "outcome" => *outcome).increment(1);
        let is_success = (200..300).contains(status);
        let passed_over = {
            let mut inner = lock(&self.0);
            let relays = inner.relays.entry((*node).clone()).or_default();
            relays.requests += 1;
            relays.failures += u64::from(!is_success);
            let grade = if is_success { Grade::Whole } else { Grade::Failed };
            inner.sampler(grade).admit(now)
        };
        let Some(passed_over) = passed_over else { return };
        let id = header_text(id);
        let line = format!(
            "event=relayed id={id:?} request={fingerprint} route={route} node={node} \
             outcome={outcome} status={status} took_ms={} version={version} \
             passed_over={passed_over}",
            took.as_millis()
        );
        log::info!("{line}");
        lock(&self.0).history.push(id, line);
    }

    /// Counts and logs a request that was rejected before any leaf was chosen.
    pub fn record_rejection(&self, now: Time, tables: &Shared, request: &Rejection<'_>) {
        let Rejection { id, status, reason, host, path } = request;
        counter!("jacinthfall_rejections_total", "reason" => *reason).increment(1);
        let Some(passed_over) = lock(&self.0).failed.admit(now) else { return };
        let (version, behind, upto) = {
            let tables = tables.lock();
            (tables.version(), tables.ranks.time_behind(now).as_millis(), tables.upto)
        };
        let id = id.map(header_text).unwrap_or_default();
        let status = status.as_u16();
        let (host, path) = (truncate(host), truncate(path));
        let line = format!(
            "event=rejected id={id:?} status={status} reason={reason} host={host:?} \
             path={path:?} version={version} behind_ms={behind} upto={upto} passed_over={passed_over}"
        );
        log::info!("{line}");
        lock(&self.0).history.push(id, line);
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, kind: &'static str) {
        *lock(&self.0).store_calls.entry(kind).or_default() += 1;
    }

    /// Counts an answer to a look-up of addresses, which named this many of nodes that reach leafs
    /// and of nodes that don't.
    pub fn count_lookup(&self, named: Named) {
        let mut inner = lock(&self.0);
        inner.lookups.answers += 1;
        inner.lookups.latest = named;
    }

    /// Returns the retained lines about the requests with an id.
    #[must_use]
    pub fn trace(&self, id: &str) -> String {
        let id = truncate(id);
        let inner = lock(&self.0);
        let requests = inner.history.requests.iter().filter(|(other, _)| *other == id);
        requests.map(|(_, lines)| format!("{lines}\n")).collect()
    }
}

impl Inner {
    /// Returns the limit on the lines about requests of a grade.
    fn sampler(&mut self, grade: Grade) -> &mut Sampler {
        match grade {
            Grade::Refused | Grade::Failed => &mut self.failed,
            Grade::Repeated | Grade::Late | Grade::Partial | Grade::Abandoned => &mut self.degraded,
            Grade::Whole => &mut self.whole,
        }
    }
}

/// A request that was rejected before any leaf was chosen.
#[derive(Clone, Copy, Debug)]
pub struct Rejection<'a> {
    /// Request id from the caller, if there is one.
    pub id: Option<&'a HeaderValue>,
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Why it was rejected, in one word.
    pub reason: &'static str,
    /// Host that the caller sent.
    pub host: &'a str,
    /// Path that the caller sent.
    pub path: &'a str,
}

fn record_metrics(
    request: &Request<'_>,
    outcome: &'static str,
    took: Duration,
    answer: Option<&Answer>,
) {
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
