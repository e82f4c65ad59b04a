//! `trace`: describes what happened to a request, from its fates and events, for readers
//! who do not know the code.

use std::time::Duration;

use http::StatusCode;
use jacinthfall_core::fate::{Fate, Phase, Slowest, Span};
use jacinthfall_core::id;
use jacinthfall_core::refusal::Ran;

use super::node::{Listener, Node};
use super::{Error, Outcome, event, text, timeline};
use crate::api::{Fates, Timeline};

/// Maximum number of events to show for a request.
const MAX_EVENTS: u32 = 500;

/// Fetches every known fate of a request from a node.
///
/// # Errors
///
/// Any [`Error`]. Unknown requests result in an empty list, not in an error.
pub fn find(node: &Node, request: &id::Request) -> Result<Fates, Error> {
    let reply = node.get(Listener::Callers, &format!("/v1/fates/{request}"))?;
    match reply.status {
        StatusCode::OK | StatusCode::NOT_FOUND | StatusCode::SERVICE_UNAVAILABLE => reply.json(),
        _ => Err(reply.unexpected()),
    }
}

/// Fetches the events of a request on all nodes from one node.
///
/// # Errors
///
/// Any [`Error`].
pub fn events(node: &Node, request: &id::Request) -> Result<Timeline, Error> {
    let filter = timeline::Filter {
        request: Some(request.clone()),
        limit: Some(MAX_EVENTS),
        ..timeline::Filter::default()
    };
    timeline::find(node, &filter)
}

/// Returns the outcome of the command.
#[must_use]
pub const fn outcome(fates: &Fates) -> Outcome {
    match (fates.fates.is_empty(), fates.complete) {
        (false, true) => Outcome::Done,
        (false, false) => Outcome::Partial,
        (true, true) => Outcome::Failure,
        (true, false) => Outcome::Unknown,
    }
}

/// Formats what happened to a request.
#[must_use]
pub fn render(fates: &Fates, events: Option<&Timeline>) -> String {
    let mut lines = summary(fates);
    for (number, fate) in fates.fates.iter().enumerate() {
        lines.push(String::new());
        lines.extend(ask_lines(fate, number + 1, fates.fates.len()));
    }
    lines.push(String::new());
    lines.extend(certainty(fates));
    if let Some(events) = events {
        lines.push(String::new());
        lines.extend(event_lines(events));
    }
    lines.join("\n") + "\n"
}

fn summary(fates: &Fates) -> Vec<String> {
    let request = &fates.request;
    let has = |ran| fates.fates.iter().any(|fate| fate.ran == ran);
    let asked = text::count(fates.fates.len(), "ask");
    let verdict = match fates.fates.as_slice() {
        [] => return vec![format!("Nothing is known about request {request}.")],
        _ if has(Ran::Ran) => "it ran",
        _ if has(Ran::Unknown) => "it may have run",
        _ if fates.complete => "it did not run",
        _ => "it did not run at the asks that are known",
    };
    vec![format!("Request {request}: {verdict}. {asked} known.")]
}

fn ask_lines(fate: &Fate, number: usize, total: usize) -> Vec<String> {
    let heading = format!("Ask {number} of {total}, at node {}", fate.node.node);
    let mut lines = vec![heading];
    lines.push(format!(
        "It came at {} from caller {}, under profile {}.",
        text::time(fate.arrived),
        fate.caller,
        fate.profile
    ));
    lines.push(ending(fate));
    lines.push(text::ran(fate.ran).into());
    lines.extend(fate.version.map(|version| format!("The answer shows index version {version}.")));
    lines.extend(fate.coverage.iter().flat_map(text::coverage));
    lines.extend(phases(fate));
    lines.extend(fate.slowest.as_ref().map(slowest));
    lines.extend(extra(fate));
    let (heading, rest) = lines.split_at(1);
    let rest = rest.iter().map(|line| format!("  {line}"));
    heading.iter().cloned().chain(rest).collect()
}

fn ending(fate: &Fate) -> String {
    let Some(ended) = fate.ended else {
        return "No end of it is known: it is in progress, or its node was lost meanwhile.".into();
    };
    let took = text::duration(ended.since(fate.arrived));
    let Some(refusal) = fate.refused else {
        return format!("It was answered after {took}.{}", node_message(&fate.message));
    };
    let cause = text::refused_because(refusal);
    format!("It was refused after {took}, because {cause}.{}", node_message(&fate.message))
}

fn node_message(message: &str) -> String {
    if message.is_empty() {
        return String::new();
    }
    format!(" The node said: \"{message}\".")
}

fn phases(fate: &Fate) -> Vec<String> {
    if fate.spans.is_empty() {
        return Vec::new();
    }
    let parts: Vec<String> = fate
        .spans
        .iter()
        .map(|span| format!("{} {}", text::duration(span.took), phase(span.phase)))
        .collect();
    let mut lines = vec![format!("Where the time went: {}.", parts.join(", "))];
    let total: Duration = fate.spans.iter().map(|span| span.took).sum();
    let longest = fate.spans.iter().max_by_key(|span| span.took);
    lines.extend(longest.and_then(|span| dominant(*span, total)));
    lines
}

/// Describes the phase that took at least half of the time, and its usual cause.
fn dominant(span: Span, total: Duration) -> Option<String> {
    let share = span.took.as_secs_f64() / total.as_secs_f64();
    if !share.is_finite() || share < 0.5 {
        return None;
    }
    let cause = match span.phase {
        Phase::Queued => "the node or the leafs had more work than slots",
        Phase::Claim => "the platform's store was slow",
        Phase::Leafs => "the leafs took that long to reply",
        Phase::Merge => "the node was short of processor time, or the result was large",
    };
    let percent = (share * 100.0).floor();
    Some(format!("Most of it ({percent}%) was {}: {cause}.", phase(span.phase)))
}

const fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Queued => "waiting for a free slot",
        Phase::Claim => "claiming the request in the store",
        Phase::Leafs => "waiting for leafs",
        Phase::Merge => "merging rows",
    }
}

fn slowest(slowest: &Slowest) -> String {
    let took = text::duration(slowest.took);
    format!("The slowest leaf was {} (shard {}), with {took}.", slowest.leaf, slowest.shard)
}

fn extra(fate: &Fate) -> Vec<String> {
    let mut lines = Vec::new();
    if fate.hedges > 0 {
        let parts = text::count(fate.hedges as usize, "slow part");
        lines.push(format!("{parts} also went to another replica (hedged requests)."));
    }
    if fate.retries > 0 {
        let parts = text::count(fate.retries as usize, "failed part");
        lines.push(format!("{parts} went to another replica (retries)."));
    }
    lines
}

fn certainty(fates: &Fates) -> Vec<String> {
    let reach = text::duration(fates.reach);
    let mut lines = if fates.complete {
        vec!["Every node that keeps fates of this request replied.".to_owned()]
    } else {
        vec![
            "Not every node that keeps fates of this request replied, or some were dropped \
             because there were too many: there may be more. Ask again, at another node too."
                .to_owned(),
        ]
    };
    lines.push(format!("Their records reach back {reach}; what came before may be forgotten."));
    lines
}

fn event_lines(events: &Timeline) -> Vec<String> {
    let mut lines = vec![match events.entries.len() {
        0 => "Its events are no longer kept.".to_owned(),
        count if count >= MAX_EVENTS as usize => {
            format!("The newest {count} events on all nodes, each after what caused it (UTC):")
        }
        _ => "Events on all nodes, each after what caused it (UTC):".to_owned(),
    }];
    lines.extend(events.entries.iter().map(|entry| format!("  {}", event::line(entry, false))));
    lines.extend(timeline::missing(events));
    lines
}
