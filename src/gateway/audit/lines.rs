//! Formats the log lines about a request.

use http::HeaderValue;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::Key;
use jacinthfall_dispatch::flight::{Answer, Event, Flight, Step};

use super::Request;
use crate::gateway::tables::Tables;

/// Maximum length of a text from a caller in a log line, in characters.
const MAX_TEXT_CHARS: usize = 128;

/// Maximum number of log lines about the decisions on one request.
const MAX_STEPS: usize = 24;

/// Result of a request, as it is logged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    /// Name that is written to the log and to metrics.
    pub(super) name: &'static str,
    /// Depends on `name`: the HTTP status, the number of missing shards, or the retry delay
    /// in milliseconds.
    detail: u64,
}

impl Outcome {
    pub(super) fn from_answer(answer: Option<&Answer>) -> Outcome {
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

/// Formats the lines about a request: one for each decision on it, then one for its answer.
pub(super) fn format_request(
    tables: &Tables,
    request: &Request<'_>,
    outcome: Outcome,
    now: Time,
    passed_over: u64,
) -> Vec<String> {
    let steps = request.flight.trail();
    // The latest steps explain the answer.
    let skipped = steps.len().saturating_sub(MAX_STEPS);
    let described = steps[skipped..].iter().map(|step| format_step(tables, request, step));
    let mut lines: Vec<String> = described.collect();
    let (tally, timing) = (request.tally, request.timing);
    lines.push(format!(
        "event=answer id={:?} request={} route={} organisation={:?} outcome={} detail={} took_ms={} waited_ms={} parts={} \
         done={} dead={} extra={} missing=[{}] objective_ms={} deadline_ms={} elapsed_ms={} \
         connection={} transport_ms={} lag_ms={} \
         version={} origin={} behind_ms={} upto={} known_ms={} steps_left_out={skipped} passed_over={passed_over}",
        header_text(request.id),
        request.fingerprint,
        request.route.name,
        request.organisation.map_or("", |organisation| &*organisation.name),
        outcome.name,
        outcome.detail,
        now.since(request.arrived).as_millis(),
        request.flight.queue_time().as_millis(),
        request.flight.part_count(),
        tally.answered,
        tally.given_up,
        tally.extra_sends,
        format_missing(tables, request.flight),
        request.route.objective.as_millis(),
        timing.deadline.since(request.arrived).as_millis(),
        timing.elapsed.as_millis(),
        request.connection.name(),
        timing.transport().as_millis(),
        timing.lag.as_millis(),
        request.version,
        request.origin.map_or("-", |node| &**node),
        tables.ranks.time_behind(now).as_millis(),
        tables.upto,
        now.since(tables.knowledge.confirmed()).as_millis(),
    ));
    lines
}

fn format_step(tables: &Tables, request: &Request<'_>, step: &Step) -> String {
    let (event, details) = match step.event {
        Event::Sent { leaf, reason, assessment } => {
            let (reported, age) = assessment
                .report
                .map_or((-1, 0), |(requests, age)| (i64::from(requests), age.as_millis()));
            let details = format!(
                "leaf={} reason={} expected_ms={} in_flight={} reported={reported} \
                 report_age_ms={age}",
                leaf_name(tables, leaf),
                reason.name(),
                assessment.expected.as_millis(),
                assessment.in_flight,
            );
            ("send", details)
        }
        Event::Ended { leaf, completion } => {
            let leaf = leaf_name(tables, leaf);
            ("response", format!("leaf={leaf} result={}", completion.name()))
        }
        Event::NotResent(obstacle) => ("not_resent", format!("why={}", obstacle.name())),
        Event::GivenUp(obstacle) => ("given_up", format!("why={}", obstacle.name())),
    };
    let at = step.at.since(request.arrived).as_millis();
    let service = &step.service;
    format!("event={event} id={:?} at_ms={at} service={service} {details}", header_text(request.id))
}

fn leaf_name(tables: &Tables, key: Key) -> String {
    tables.fleet.leaf(key).map_or_else(|| format!("life-{}", key.0), |leaf| leaf.id.to_string())
}

/// Formats the parts without an answer, with the leafs that each was sent to.
fn format_missing(tables: &Tables, flight: &Flight) -> String {
    let parts = flight.unanswered_parts().map(|(service, keys)| {
        let leafs: Vec<String> = keys.iter().map(|key| leaf_name(tables, *key)).collect();
        format!("{service}:{}", leafs.join("+"))
    });
    parts.collect::<Vec<_>>().join(" ")
}

/// Returns a header value as text, truncated to [`MAX_TEXT_CHARS`].
pub(super) fn header_text(value: &HeaderValue) -> String {
    truncate(&String::from_utf8_lossy(value.as_bytes()))
}

/// Truncates a text from a caller to [`MAX_TEXT_CHARS`].
pub(super) fn truncate(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
