//! Formats the histories of a request.

use std::collections::BTreeSet;

use super::{History, Line};
use crate::ops::text::{self, count};

/// Formats the histories of a request.
#[must_use]
pub fn render(id: &str, histories: &[History<'_>], unreadable: u64) -> String {
    let mut lines = Vec::new();
    if histories.is_empty() {
        lines.push(format!(
            "No line about request {id}. Complete answers in time are mostly counted but not \
             logged, and the number of lines per second is limited: see `passed_over` in the \
             lines around its time. A node that was killed did not log its requests in flight: \
             look for `event=start` without `event=stopped` before it."
        ));
    }
    for history in histories {
        lines.extend(render_history(id, history));
    }
    let unreadable_lines = usize::try_from(unreadable).unwrap_or(usize::MAX);
    if unreadable > 0 {
        lines.push(format!("{} in the logs could not be read.", count(unreadable_lines, "line")));
    }
    lines.join("\n") + "\n"
}

fn render_history(id: &str, history: &History<'_>) -> Vec<String> {
    let mut lines = vec![format!("Request {id} at node {}", history.node)];
    let mut details = Vec::new();
    match history.end {
        Some(end) if end.event == "rejected" => details.push(rejection_line(end)),
        Some(end) if end.event == "relayed" => details.push(relayed_line(end)),
        Some(end) => details.extend(answer_lines(end)),
        None => details.push("The log ends before the answer.".to_owned()),
    }
    details.extend(node_state(history));
    if !history.leafs.is_empty() {
        details.push("Changes of the leafs concerned, shortly before:".to_owned());
        details.extend(history.leafs.iter().map(|line| format!("  {}", leaf_event(line))));
    }
    if !history.steps.is_empty() {
        details.push("Decisions, in milliseconds after its arrival:".to_owned());
        details.extend(history.steps.iter().map(|line| format!("  {}", decision(line))));
    }
    if let Some(end) = history.end
        && end.number("steps_left_out") > 0
    {
        let count = end.number("steps_left_out");
        details.push(format!("  {count} earlier decisions were not logged."));
    }
    if let Some(cause) = cause(history) {
        details.push(format!("Cause: {cause}"));
    }
    lines.extend(details.into_iter().map(|line| format!("  {line}")));
    lines
}

fn rejection_line(end: &Line) -> String {
    let (host, path) = (end.text("host"), end.text("path"));
    format!(
        "Arrived at {} for {host}{path}; answered {} without being sent to a leaf.",
        end.time,
        end.text("status")
    )
}

fn relayed_line(end: &Line) -> String {
    let (node, took, status) = (end.text("node"), end.text("took_ms"), end.text("status"));
    let what = match end.text("outcome") {
        "answered" => format!("node {node} was asked to serve it and answered {status}"),
        _ => format!("node {node} was asked to serve it and its answer is lost, so {status}"),
    };
    format!("At {}: {what}, after {took} ms. See the lines of that node about this id.", end.time)
}

fn answer_lines(end: &Line) -> Vec<String> {
    let took = end.number("took_ms");
    let what = match end.text("outcome") {
        "success" => "answered by a leaf".to_owned(),
        "merged" if end.number("detail") == 0 => "answered by all shards".to_owned(),
        "merged" => format!("answered without {} of its shards", end.text("detail")),
        "leaf_failure" => format!("answered with a leaf's failure ({})", end.text("detail")),
        "refused" => format!("refused, to be retried after {} ms; not run", end.text("detail")),
        "failed" => format!("failed with {}; it may have run", end.text("detail")),
        "abandoned" => "abandoned: the caller disconnected before the answer".to_owned(),
        other => other.to_owned(),
    };
    let mut lines = vec![format!("At {}: {what}, after {took} ms.", end.time)];
    lines.push(format!(
        "Route {}: {} of {} parts answered, {} given up, {} retries and hedged requests.",
        end.text("route"),
        end.text("done"),
        end.text("parts"),
        end.text("dead"),
        end.text("extra")
    ));
    if let Some(organisation) = end.get("organisation").filter(|name| !name.is_empty()) {
        lines.push(format!("The caller belongs to organisation {organisation}."));
    }
    if let Some(origin) = end.get("origin").filter(|origin| *origin != "-") {
        lines.push(format!("The caller had sent it to node {origin}, which asked this one."));
    }
    let elapsed = end.number("elapsed_ms");
    if elapsed > 0 {
        lines.push(format!("The other node had had it for {elapsed} ms."));
    }
    lines
}

fn node_state(history: &History<'_>) -> Vec<String> {
    let mut lines = Vec::new();
    let Some(end) = history.end else { return lines };
    let version = end.text("version");
    let source = history.configuration.map_or(String::new(), |line| {
        format!(" (in force since {}, from {})", line.time, line.text("source"))
    });
    lines.push(format!("Configuration version {version}{source}."));
    if end.number("behind_ms") > 0 {
        lines.push(format!(
            "A later version had been known to exist for {} ms and had not arrived yet.",
            end.text("behind_ms")
        ));
    }
    if let Some(known) = end.get("known_ms") {
        let upto = end.text("upto");
        lines.push(format!(
            "Leafs known up to revision {upto}, last confirmed {known} ms before the answer."
        ));
    }
    if let Some(store) = history.store {
        lines.push(match store.event.as_str() {
            "store_lost" => {
                format!(
                    "The store had not been reachable since {}: {}.",
                    store.time,
                    store.text("reason")
                )
            }
            _ => format!("The store had been reachable since {}.", store.time),
        });
    }
    if let Some(reach) = history.reach.filter(|reach| reach.text("loss") != "nothing") {
        lines.push(format!(
            "The node had reached no leaf of {} of {} services since {} at the latest; {} reached \
             leafs of all.",
            reach.text("lost"),
            reach.text("services"),
            reach.time,
            count(usize::try_from(reach.number("peers_all")).unwrap_or_default(), "other node")
        ));
    }
    if let Some(restore) = history.restore {
        lines.push(format!(
            "The store had returned from an older copy at {} (era {}): it lacked {}, used for two \
             more seconds, and was out of date about {}.",
            restore.time,
            restore.text("era"),
            leaf_count(restore, "leafs_missing"),
            leaf_count(restore, "leafs_outdated"),
        ));
    }
    lines
}

fn leaf_count(line: &Line, field: &str) -> String {
    text::count(usize::try_from(line.number(field)).unwrap_or_default(), "leaf")
}

fn leaf_event(line: &Line) -> String {
    let id = line.text("id");
    if line.event == "leaf" {
        let (state, source) = (line.text("state"), line.text("source"));
        return format!(
            "{} {id} is {state}, revision {}, from {source}",
            line.time,
            line.text("at")
        );
    }
    let service = line.text("service");
    let what = match line.text("state") {
        "paused" => {
            format!("is not used for {} ms, {}", line.text("amount"), line.text("after"))
        }
        "limited" => format!("accepts no connections; at most {} requests", line.text("amount")),
        "dropped" => "is not used: another leaf has its address".to_owned(),
        _ => "answers again".to_owned(),
    };
    format!("{} {id} of {service} {what}", line.time)
}

fn decision(line: &Line) -> String {
    let at = line.number("at_ms");
    let (service, leaf) = (line.text("service"), line.text("leaf"));
    match line.event.as_str() {
        "send" => {
            let reason = match line.text("reason") {
                "late" => "the previous attempt is late",
                "failed" => "the previous attempt failed",
                _ => "first choice",
            };
            let reported = match line.number("reported") {
                ..0 => "queue length unknown".to_owned(),
                queue => {
                    format!("queue length {queue}, reported {} ms ago", line.text("report_age_ms"))
                }
            };
            format!(
                "{at:>6}  {service} to {leaf}: {reason}; expected {} ms, {} in flight, {reported}",
                line.text("expected_ms"),
                line.text("in_flight")
            )
        }
        "response" => format!("{at:>6}  {service}: {leaf} {}", result(line.text("result"))),
        "not_resent" => {
            format!("{at:>6}  {service} late, not sent again: {}", reason(line.text("why")))
        }
        "given_up" => format!("{at:>6}  {service} given up: {}", reason(line.text("why"))),
        "relayed" => format!(
            "{:>6}  node {} was asked to serve it and gave it to no leaf: {}",
            line.text("took_ms"),
            line.text("node"),
            line.text("outcome")
        ),
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

fn reason(why: &str) -> &str {
    match why {
        "may_have_run" => "it may have run and must not run twice",
        "attempts" => "the route allows no further attempts",
        "no_leaf" => "no leaf had capacity in time",
        "leafs_busy" => "the leafs that could take it were in use or paused",
        "budget" => "the budget for extra sends was exhausted",
        "lost" => "this node has lost its links to the leafs, and those that got it are silent",
        "node_busy" => "most parts of the query were late, so the node itself was behind",
        other => other,
    }
}

/// Returns the likely cause and the remedy, as far as the lines show them.
fn cause(history: &History<'_>) -> Option<String> {
    let end = history.end?;
    if end.event == "rejected" {
        return Some(rejection(end).to_owned());
    }
    if end.event == "relayed" {
        return Some(
            "this node had lost its links to leafs that the request needs; look at its network."
                .to_owned(),
        );
    }
    let steps = |event: &str, field: &str, value: &str| {
        let lines = history.steps.iter().filter(|step| step.event == event);
        lines.filter(|step| step.text(field) == value).count()
    };
    let text = match end.text("outcome") {
        "refused" => refusal(history, end),
        "abandoned" => "the caller closed its connection before the answer.".into(),
        "failed" | "leaf_failure" if steps("response", "result", "unknown") > 0 => {
            "a leaf broke off the connection or did not respond before the caller's deadline; see \
             the log of the leaf named above, at that time."
                .into()
        }
        "failed" | "leaf_failure" if steps("response", "result", "failure") > 0 => {
            "the leaf ran it and failed; see the log of the leaf named above.".into()
        }
        "failed" if unanswered(history) > 0 => {
            "leafs had received it and not answered by the deadline: they are slow, paused or \
             unreachable."
                .into()
        }
        "failed" => format!(
            "{} given up, so too few were left; see the decisions above.",
            text::count(usize::try_from(end.number("dead")).unwrap_or_default(), "part")
        ),
        "merged" | "success" => slow_or_partial(history, end, &steps)?,
        _ => return None,
    };
    Some(text)
}

fn rejection(end: &Line) -> &'static str {
    match end.text("reason") {
        "starting" => "the node was still starting and had no configuration yet.",
        "no_route" => "no route of the configuration in force fits the host and path.",
        "bad_host" => "it names no host or several; fix the caller.",
        "bad_id" => "its id is not printable, too long or not the only one; fix the caller.",
        "bad_deadline" => "its deadline is not a number of milliseconds; fix the caller.",
        "bad_body" => "its body is not framed properly; fix the caller.",
        "no_key" => {
            "it has no key of an organisation, which its route needs; give the caller one, to be \
             sent as X-Api-Key."
        }
        "unknown_key" => {
            "no organisation of the configuration in force has its key; compare the caller's key \
             with the document of that version."
        }
        "bad_key" => "it has several keys, or one that is empty or not text; fix the caller.",
        "no_id" => "the request has no id; fix the caller.",
        "over_quota" => {
            "its organisation has used up its quota over all nodes (429); it has not run. Raise \
             the organisation's `rate-per-s` or `burst`, or slow the caller down."
        }
        "too_large" => "the body exceeds the limit in the configuration.",
        _ => "the body did not arrive in time or was incomplete; check the caller.",
    }
}

fn refusal(history: &History<'_>, end: &Line) -> String {
    let missing: Vec<&str> = end.text("missing").split(' ').collect();
    let untried = missing.iter().filter(|part| part.ends_with(':')).count();
    let count = |state: &str| {
        let lines = history.leafs.iter().filter(|line| line.text("state") == state);
        lines.map(|line| line.text("id")).collect::<BTreeSet<&str>>().len()
    };
    let (paused, gone, limited) = (count("paused"), count("gone"), count("limited"));
    if paused + gone + limited > 0 {
        return format!(
            "too few shards had a usable leaf: shortly before, of the leafs concerned {paused} were \
             paused, {gone} left and {limited} accepted no more connections. Look for what they \
             have in common: VM, availability zone, release, lost nodes."
        );
    }
    format!(
        "{untried} of {} parts had no leaf that could answer in time, although none of their \
         leafs was lost: they were at capacity. Add leafs to the services of these parts, or \
         reduce the load.",
        end.text("parts")
    )
}

/// Returns the number of sends without a response by the time of the answer.
fn unanswered(history: &History<'_>) -> usize {
    let has_response = |leaf: &str, service: &str| {
        history.steps.iter().any(|step| {
            step.event == "response" && step.text("leaf") == leaf && step.text("service") == service
        })
    };
    let sends = history.steps.iter().filter(|step| step.event == "send");
    sends.filter(|send| !has_response(send.text("leaf"), send.text("service"))).count()
}

/// Returns the likely cause of an answer that was late or lacks shards.
fn slow_or_partial(
    history: &History<'_>,
    end: &Line,
    steps: &dyn Fn(&str, &str, &str) -> usize,
) -> Option<String> {
    let withheld = steps("not_resent", "why", "budget");
    let unplaced = |event: &str| steps(event, "why", "no_leaf") + steps(event, "why", "leafs_busy");
    let no_leaf = unplaced("not_resent") + unplaced("given_up");
    let unanswered = unanswered(history);
    let is_whole = end.text("outcome") == "success" || end.number("detail") == 0;
    if is_whole && end.number("waited_ms") * 2 > end.number("took_ms") {
        return Some("it spent most of the time waiting for leafs with free capacity.".into());
    }
    if withheld > 0 {
        return Some(format!(
            "{} not sent again because the budget for extra sends was exhausted: many leafs \
             are slow at the same time.",
            count(withheld, "late part")
        ));
    }
    if no_leaf > 0 {
        return Some(format!(
            "{} found no leaf with free capacity in time.",
            count(no_leaf, "part")
        ));
    }
    if unanswered > 0 && !is_whole {
        return Some(format!(
            "{} had no response by the time of the answer: the leafs named above are slow, \
             paused or unreachable.",
            count(unanswered, "send")
        ));
    }
    is_whole.then(|| "the answer is complete; the slowest part is shown above.".into())
}
