//! The story of a request in words.

use std::collections::BTreeSet;

use super::{Line, Story};
use crate::ops::text::{self, count};

/// Tells the stories of a request.
#[must_use]
pub fn render(id: &str, stories: &[Story<'_>], unreadable: u64) -> String {
    let mut lines = Vec::new();
    if stories.is_empty() {
        lines.push(format!(
            "No line about request {id}. Whole answers in time are mostly counted only, and \
             lines are bounded for each second: see `passed_over` of the lines around its time. \
             A node that was killed told nothing of what it had in hand: look for `event=start` \
             without `event=stopped` before it."
        ));
    }
    for story in stories {
        lines.extend(tell(id, story));
    }
    let unreadable_lines = usize::try_from(unreadable).unwrap_or(usize::MAX);
    if unreadable > 0 {
        lines.push(format!("{} in the logs could not be read.", count(unreadable_lines, "line")));
    }
    lines.join("\n") + "\n"
}

fn tell(id: &str, story: &Story<'_>) -> Vec<String> {
    let mut lines = vec![format!("Request {id} at node {}", story.node)];
    let mut told = Vec::new();
    match story.end {
        Some(end) if end.event == "rejected" => told.push(rejected(end)),
        Some(end) => told.extend(answered(end)),
        None => told.push("The log ends before its answer.".to_owned()),
    }
    told.extend(believed(story));
    if !story.leafs.is_empty() {
        told.push("Leafs concerned, shortly before:".to_owned());
        told.extend(story.leafs.iter().map(|line| format!("  {}", leaf(line))));
    }
    if !story.steps.is_empty() {
        told.push("Decisions, in milliseconds after it came:".to_owned());
        told.extend(story.steps.iter().map(|line| format!("  {}", step(line))));
    }
    if let Some(end) = story.end
        && end.number("steps_left_out") > 0
    {
        let count = end.number("steps_left_out");
        told.push(format!("  {count} earlier decisions have no line."));
    }
    if let Some(cause) = cause(story) {
        told.push(format!("Cause: {cause}"));
    }
    lines.extend(told.into_iter().map(|line| format!("  {line}")));
    lines
}

fn rejected(end: &Line) -> String {
    let (host, path) = (end.text("host"), end.text("path"));
    format!("Came at {} for {host}{path}; answered {} at once.", end.time, end.text("status"))
}

fn answered(end: &Line) -> Vec<String> {
    let took = end.number("took_ms");
    let what = match end.text("outcome") {
        "success" => "answered by a leaf".to_owned(),
        "merged" if end.number("detail") == 0 => "answered by all shards".to_owned(),
        "merged" => format!("answered without {} of its shards", end.text("detail")),
        "leaf_failure" => format!("passed on a leaf's failure ({})", end.text("detail")),
        "refused" => format!("refused, to come back after {} ms; not run", end.text("detail")),
        "failed" => format!("failed with {}; it may have run", end.text("detail")),
        "abandoned" => "left by its caller before there was an answer".to_owned(),
        other => other.to_owned(),
    };
    let mut lines = vec![format!("At {}: {what}, after {took} ms.", end.time)];
    lines.push(format!(
        "Route {}, {} of {} parts in, {} given up, {} sends beyond the first.",
        end.text("route"),
        end.text("done"),
        end.text("parts"),
        end.text("dead"),
        end.text("extra")
    ));
    let spent = end.number("spent_ms");
    if spent > 0 {
        lines.push(format!("The caller had spent {spent} ms on earlier attempts."));
    }
    lines
}

fn believed(story: &Story<'_>) -> Vec<String> {
    let mut lines = Vec::new();
    let Some(end) = story.end else { return lines };
    let version = end.text("version");
    let source = story.configuration.map_or(String::new(), |line| {
        format!(" (in force since {}, from {})", line.time, line.text("source"))
    });
    lines.push(format!("Configuration version {version}{source}."));
    if let Some(known) = end.get("known_ms") {
        let upto = end.text("upto");
        lines.push(format!("Leafs known up to revision {upto}, confirmed {known} ms before."));
    }
    if let Some(store) = story.store {
        lines.push(match store.event.as_str() {
            "store_lost" => {
                format!(
                    "The store had not answered since {}: {}.",
                    store.time,
                    store.text("reason")
                )
            }
            _ => format!("The store had answered since {}.", store.time),
        });
    }
    lines
}

fn leaf(line: &Line) -> String {
    let id = line.text("id");
    if line.event == "leaf" {
        let (state, source) = (line.text("state"), line.text("source"));
        return format!(
            "{} {id} is {state}, revision {}, from {source}",
            line.time,
            line.text("revision")
        );
    }
    let service = line.text("service");
    let what = match line.text("state") {
        "paused" => {
            format!("is passed over for {} ms, {}", line.text("amount"), line.text("after"))
        }
        "limited" => format!("accepts no connection; {} requests at a time", line.text("amount")),
        "dropped" => "is not used: another leaf has its address".to_owned(),
        _ => "answers again".to_owned(),
    };
    format!("{} {id} of {service} {what}", line.time)
}

fn step(line: &Line) -> String {
    let at = line.number("at_ms");
    let (service, leaf) = (line.text("service"), line.text("leaf"));
    match line.event.as_str() {
        "send" => {
            let reason = match line.text("reason") {
                "late" => "the one before is late",
                "failed" => "the one before failed",
                _ => "first choice",
            };
            let reported = match line.number("reported") {
                ..0 => "its queue unknown".to_owned(),
                queue => {
                    format!("its queue {queue}, {} ms ago", line.text("report_age_ms"))
                }
            };
            format!(
                "{at:>6}  {service} to {leaf}: {reason}; expected {} ms, {} in hand, {reported}",
                line.text("expected_ms"),
                line.text("in_flight")
            )
        }
        "response" => format!("{at:>6}  {service}: {leaf} {}", result(line.text("result"))),
        "not_resent" => {
            format!("{at:>6}  {service} late, not sent again: {}", obstacle(line.text("why")))
        }
        "given_up" => format!("{at:>6}  {service} given up: {}", obstacle(line.text("why"))),
        other => format!("{at:>6}  {other}"),
    }
}

fn result(result: &str) -> &str {
    match result {
        "success" => "answered",
        "failure" => "ran it and failed",
        "not_run" => "did not run it",
        "unsent" => "could not be reached, nothing was sent",
        "unknown" => "gave no usable answer; it may have run",
        other => other,
    }
}

fn obstacle(why: &str) -> &str {
    match why {
        "may_have_run" => "it may have run and must not run twice",
        "attempts" => "the route allows no further attempt",
        "no_leaf" => "no leaf could take it in time",
        "budget" => "the bound on extra sends was reached",
        other => other,
    }
}

/// The cause as far as the lines show it, with the remedy.
fn cause(story: &Story<'_>) -> Option<String> {
    let end = story.end?;
    if end.event == "rejected" {
        return Some(rejection(end).to_owned());
    }
    let steps = |event: &str, field: &str, value: &str| {
        let lines = story.steps.iter().filter(|step| step.event == event);
        lines.filter(|step| step.text(field) == value).count()
    };
    let text = match end.text("outcome") {
        "refused" => refusal(story, end),
        "abandoned" => "the caller closed its connection; nothing of it matters any more.".into(),
        "failed" | "leaf_failure" if steps("response", "result", "unknown") > 0 => {
            "a leaf broke off, or was silent until the caller's deadline; look at the log of the \
             leaf named above, at that time."
                .into()
        }
        "failed" | "leaf_failure" if steps("response", "result", "failure") > 0 => {
            "the leaf ran it and failed; look at the log of the leaf named above.".into()
        }
        "failed" if silent(story) > 0 => {
            "leafs were given it and had not answered at the deadline: they are slow, paused or \
             out of reach."
                .into()
        }
        "failed" => format!(
            "{} given up, so that too few were left; see the decisions above.",
            text::count(usize::try_from(end.number("dead")).unwrap_or_default(), "part")
        ),
        "merged" | "success" => degraded(story, end, &steps)?,
        _ => return None,
    };
    Some(text)
}

fn rejection(end: &Line) -> &'static str {
    match end.text("reason") {
        "starting" => "the node had no configuration yet; it starts.",
        "no_route" => "no route of the configuration in force fits host and path.",
        "no_id" => "the request has no id; correct the caller.",
        "too_large" => "the body is above the limit of the configuration.",
        _ => "the body did not come in time or broke off; look at the caller.",
    }
}

fn refusal(story: &Story<'_>, end: &Line) -> String {
    let missing: Vec<&str> = end.text("missing").split(' ').collect();
    let untried = missing.iter().filter(|part| part.ends_with(':')).count();
    let count = |state: &str| {
        let lines = story.leafs.iter().filter(|line| line.text("state") == state);
        lines.map(|line| line.text("id")).collect::<BTreeSet<&str>>().len()
    };
    let (paused, gone, limited) = (count("paused"), count("gone"), count("limited"));
    if paused + gone + limited > 0 {
        return format!(
            "too few shards had a leaf: shortly before, of those concerned {paused} were passed \
             over, {gone} left and {limited} accepted no further connection. Look for what they \
             have in common: machine, zone, release, nodes that were lost."
        );
    }
    format!(
        "{untried} of {} parts had no leaf that could answer in time, and none of their leafs \
         was lost: they were full. Add leafs to the services of these parts, or lower the load.",
        end.text("parts")
    )
}

/// Sends without any response by the time of the answer.
fn silent(story: &Story<'_>) -> usize {
    let responses = |leaf: &str, service: &str| {
        story.steps.iter().any(|step| {
            step.event == "response" && step.text("leaf") == leaf && step.text("service") == service
        })
    };
    let sends = story.steps.iter().filter(|step| step.event == "send");
    sends.filter(|send| !responses(send.text("leaf"), send.text("service"))).count()
}

fn degraded(
    story: &Story<'_>,
    end: &Line,
    steps: &dyn Fn(&str, &str, &str) -> usize,
) -> Option<String> {
    let held = steps("not_resent", "why", "budget");
    let no_leaf = steps("not_resent", "why", "no_leaf") + steps("given_up", "why", "no_leaf");
    let silent = silent(story);
    let is_whole = end.text("outcome") == "success" || end.number("detail") == 0;
    if is_whole && end.number("waited_ms") * 2 > end.number("took_ms") {
        return Some("most of the time it waited until leafs had room for it.".into());
    }
    if held > 0 {
        return Some(format!(
            "{} not sent again because the bound on extra sends was reached: many leafs are \
             slow at once.",
            count(held, "late part")
        ));
    }
    if no_leaf > 0 {
        return Some(format!("{} found no leaf with room in time.", count(no_leaf, "part")));
    }
    if silent > 0 && !is_whole {
        return Some(format!(
            "{} without a response when the answer was due: the leafs named above are slow, \
             paused or out of reach.",
            count(silent, "send")
        ));
    }
    is_whole.then(|| "it is whole; the slowest part is shown above.".into())
}
