//! The text of lines about requests.

use http::HeaderValue;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::Key;
use jacinthfall_dispatch::flight::{Answer, Event, Flight, Step};

use super::Request;
use crate::gateway::hub::{Hub, Tables};

/// Longest text of a caller that a line holds, in characters.
const MAX_TEXT_CHARS: usize = 128;

/// Lines about the decisions on one request.
const MAX_STEPS: usize = 24;

/// An answer in the words of the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    pub(super) name: &'static str,
    /// Status, missing shards or milliseconds until the caller should come back.
    detail: u64,
}

impl Outcome {
    pub(super) fn of(answer: Option<&Answer>) -> Outcome {
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

/// The lines about a request: its decisions, then its answer.
pub(super) fn of_request(
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
    let tally = request.tally;
    lines.push(format!(
        "event=answer id={:?} route={} outcome={} detail={} took_ms={} waited_ms={} parts={} \
         done={} dead={} extra={} missing=[{}] deadline_ms={} spent_ms={} version={} upto={} \
         known_ms={} steps_left_out={skipped} passed_over={passed_over}",
        text(request.id),
        request.route.name,
        outcome.name,
        outcome.detail,
        now.since(request.arrived).as_millis(),
        request.flight.queue_time().as_millis(),
        request.flight.part_count(),
        tally.answered,
        tally.given_up,
        tally.extra_sends,
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
    format!("event={event} id={:?} at_ms={at} service={service} {details}", text(request.id))
}

fn leaf_name(tables: &Tables, key: Key) -> String {
    tables.fleet.leaf(key).map_or_else(|| format!("life-{}", key.0), |leaf| leaf.id.to_string())
}

/// Parts without an answer, with the leafs that were given them.
fn missing(tables: &Tables, flight: &Flight) -> String {
    let parts = flight.unanswered_parts().map(|(service, keys)| {
        let leafs: Vec<String> = keys.iter().map(|key| leaf_name(tables, *key)).collect();
        format!("{service}:{}", leafs.join("+"))
    });
    parts.collect::<Vec<_>>().join(" ")
}

/// A header's value as text, cut off if it is long.
pub(super) fn text(value: &HeaderValue) -> String {
    shorten(&String::from_utf8_lossy(value.as_bytes()))
}

/// The beginning of a text that a caller chose.
pub(super) fn shorten(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
