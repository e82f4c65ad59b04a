//! Log lines and metrics about requests and about the state of leafs.
//!
//! For a request that failed, was refused, was answered late or lacks shards, each
//! decision that led to the result is logged, and then the answer. Complete answers in
//! time are counted, and only a sample of them is logged. The number of lines per second
//! is limited, with a separate limit for failures. The latest lines are retained for
//! `jacinthfall trace`.
//!
//! `lines` formats the lines about a request, and `traffic` the summary of each route.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::caller_timeout::Connection;
use jacinthfall_dispatch::fleet::{Change, Key, Statement};
use jacinthfall_dispatch::flight::{Answer, Flight, Tally, Timing};
use jacinthfall_dispatch::quarantine::Fingerprint;
use jacinthfall_route::leaf::State;
use jacinthfall_route::snapshot::Route;
use metrics::{counter, histogram};

use super::crashes::Break;
use super::tables::{Shared, Tables};
use crate::util::lock::lock;
use crate::util::output::Sampler;

mod lines;
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

/// Maximum number of leafs in one summary of the requests to leafs with a rate limit.
const MAX_RATE_LIMITED_LINES: usize = 40;

/// Maximum number of nodes in one summary of the requests that others were asked to serve.
const MAX_RELAY_LINES: usize = 8;

/// Maximum number of services in a line about what this node reaches.
const MAX_LOST_SERVICES: usize = 16;

/// Maximum size of the retained lines about requests, in bytes.
const MAX_HISTORY_BYTES: usize = 192 * 1024;

/// Interval between two summaries of the routes' traffic and of the calls to the store.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

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

    /// Logs that a leaf's availability for further requests changed. `after` says what showed it.
    pub fn log_leaf_change(
        &self,
        now: Time,
        tables: &Shared,
        key: Key,
        after: &str,
        change: Change,
    ) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        let (id, service, in_flight) = {
            let tables = tables.lock();
            let Some(leaf) = tables.fleet.leaf(key) else { return };
            (leaf.id.clone(), leaf.entry.service.clone(), leaf.in_flight())
        };
        let (state, amount) = match change {
            Change::Paused(pause) => ("paused", pause.as_millis() as usize),
            Change::Recovered => ("back", 0),
            Change::Limited(requests) => ("limited", requests),
            Change::Dropped => ("dropped", 0),
            Change::BackedOff(backoff) => ("backed_off", backoff.as_millis() as usize),
            Change::Leaving => ("leaving", 0),
        };
        log::info!(
            "event=leaf_state id={id} service={service} state={state} amount={amount} \
             after={after} in_flight={in_flight} passed_over={passed_over}"
        );
    }

    /// Logs that a leaf has crashed while it ran a request, which isn't necessarily the cause.
    pub fn log_crash(&self, now: Time, tables: &Shared, broken: &Break) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        let tables = tables.lock();
        let Some(leaf) = tables.fleet.leaf(broken.leaf) else { return };
        log::info!(
            "event=leaf_crashed id={} service={} request={} attempt={:?} after_ms={} \
             passed_over={passed_over}",
            leaf.id,
            leaf.entry.service,
            broken.request,
            header_text(&broken.id),
            broken.took().as_millis()
        );
    }

    /// Logs that a request is put in quarantine, by a crash that this node (`here`) or another one
    /// (`peer`) has seen.
    pub fn log_quarantine(
        &self,
        now: Time,
        request: Fingerprint,
        quarantine: Duration,
        source: &str,
    ) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        log::warn!(
            "event=request_quarantined request={request} for_ms={} source={source} \
             passed_over={passed_over}",
            quarantine.as_millis()
        );
    }

    /// Logs that a leaf states another rate limit than before.
    pub fn log_rate_limit(&self, now: Time, tables: &Shared, key: Key, statement: Statement) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        let tables = tables.lock();
        let Some(leaf) = tables.fleet.leaf(key) else { return };
        let limit = match statement {
            Statement::Unlimited => "none".to_owned(),
            Statement::PerSecond(limit) => limit.to_string(),
        };
        log::info!(
            "event=leaf_rate_limit id={} service={} per_second={limit} passed_over={passed_over}",
            leaf.id,
            leaf.entry.service
        );
    }

    /// Logs that a leaf's rate limit can't be decoded, so that it is ignored.
    pub fn log_malformed_rate_limit(
        &self,
        now: Time,
        tables: &Shared,
        key: Key,
        value: Option<&HeaderValue>,
    ) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        let tables = tables.lock();
        let Some(leaf) = tables.fleet.leaf(key) else { return };
        let value = value.map(header_text).unwrap_or_default();
        log::warn!(
            "event=leaf_rate_limit_malformed id={} service={} value={value:?} \
             passed_over={passed_over}",
            leaf.id,
            leaf.entry.service
        );
    }

    /// Logs the changed registrations of leafs, and the source that the changes came from.
    pub fn log_registration_changes(
        &self,
        now: Time,
        tables: &Shared,
        changed: &[id::Name],
        source: &str,
    ) {
        for id in changed {
            let Some(passed_over) = lock(&self.0).states.admit(now) else { continue };
            let (state, at) = {
                let tables = tables.lock();
                let record = tables.catalog.record(id);
                let entry = record.and_then(|record| record.entry.as_ref());
                let state = entry.map_or("gone", |entry| match entry.state {
                    State::Ready => "ready",
                    State::Draining => "draining",
                });
                (state, record.map_or(Position::START, |record| record.at))
            };
            log::info!(
                "event=leaf id={id} state={state} at={at} source={source} \
                 passed_over={passed_over}"
            );
        }
    }

    /// Logs which leafs and services this node reaches, and what the other nodes say of theirs.
    pub fn log_reach(&self, now: Time, tables: &Shared) {
        let tables = tables.lock();
        let (census, peers) = (tables.fleet.census(now), tables.roster.reaching(now));
        let lost: Vec<&str> =
            tables.fleet.lost_services().take(MAX_LOST_SERVICES).map(|name| &**name).collect();
        log::info!(
            "event=reach loss={} leafs={} silent={} services={} lost={} lost_services=[{}] \
             peers_all={} peers_some={} peers_none={}",
            tables.fleet.loss().name(),
            census.leafs,
            census.silent_leafs,
            census.services,
            census.lost_services,
            lost.join(" "),
            peers.all,
            peers.some,
            peers.none
        );
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

    /// Logs the summaries if `SUMMARY_INTERVAL` has passed since the last ones.
    pub fn flush_if_due(&self, now: Time, tables: &Shared) {
        if now.since(lock(&self.0).last_summary) >= SUMMARY_INTERVAL {
            self.flush(now, tables);
        }
    }

    /// Logs summaries of the calls to the store, of look-ups, of each route's traffic and of the
    /// requests to leafs with a rate limit since the last ones.
    pub fn flush(&self, now: Time, tables: &Shared) {
        let mut inner = lock(&self.0);
        let window = now.since(inner.last_summary);
        inner.last_summary = now;
        let traffic = std::mem::take(&mut inner.traffic);
        let calls = std::mem::take(&mut inner.store_calls);
        let lookups = std::mem::take(&mut inner.lookups);
        let relays = std::mem::take(&mut inner.relays);
        drop(inner);
        for (node, Relays { requests, failures }) in relays.iter().take(MAX_RELAY_LINES) {
            log::info!(
                "event=relays node={node} window_ms={} requests={requests} failures={failures}",
                window.as_millis()
            );
        }
        if lookups.answers > 0 {
            let Named { addresses, cut_off } = lookups.latest;
            log::info!(
                "event=lookups window_ms={} answers={} addresses={addresses} cut_off={cut_off}",
                window.as_millis(),
                lookups.answers
            );
        }
        if !calls.is_empty() {
            let calls = calls.iter().map(|(kind, count)| format!(" {kind}={count}"));
            let calls: String = calls.collect();
            log::info!("event=store_calls window_ms={}{calls}", window.as_millis());
        }
        traffic.lines(window).for_each(|line| log::info!("{line}"));
        log_rate_limited_sends(&mut tables.lock(), window);
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

/// Logs how many requests this node has sent to leafs with a rate limit.
fn log_rate_limited_sends(tables: &mut Tables, window: Duration) {
    let sends = tables.fleet.take_rate_limited_sends();
    let skipped = sends.len().saturating_sub(MAX_RATE_LIMITED_LINES);
    for (key, sends) in sends.into_iter().take(MAX_RATE_LIMITED_LINES) {
        let Some(leaf) = tables.fleet.leaf(key) else { continue };
        let Some(limiter) = &leaf.rate_limiter else { continue };
        log::info!(
            "event=rate_limited_sends id={} service={} window_ms={} sends={sends} per_second={} \
             own_per_second={:.3} left_out={skipped}",
            leaf.id,
            leaf.entry.service,
            window.as_millis(),
            limiter.limit,
            limiter.rate()
        );
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
