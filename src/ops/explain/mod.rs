//! `explain`: finds in logs what nodes did with a request, and why it ended as it did.
//!
//! [`Logs`] reads the logs, [`find`] selects the lines about a request, and [`render`]
//! formats them with the likely cause.

mod line;
mod logs;
mod render;

pub use line::Line;
pub use logs::{Logs, for_each_line};
pub use render::render;

/// How long before the arrival of a request lines about its leafs are included, in
/// milliseconds.
const CONTEXT_MS: i64 = 5_000;

/// Maximum number of lines about leafs to include with a request.
const MAX_CONTEXT_LINES: usize = 12;

/// What one node logged about one request.
#[derive(Clone, Debug)]
pub struct History<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Decisions of the node, in order.
    pub steps: Vec<&'a Line>,
    /// The line about the answer, also if another node gave it, or about the rejection if the
    /// request was rejected before any leaf was selected; `None` if the log ends before.
    pub end: Option<&'a Line>,
    /// The last change of the configuration before the answer.
    pub configuration: Option<&'a Line>,
    /// The last change of the store's reachability before the answer.
    pub store: Option<&'a Line>,
    /// The return of the store from an older copy shortly before the answer.
    pub restore: Option<&'a Line>,
    /// The last change of what the node reaches before the answer.
    pub reach: Option<&'a Line>,
    /// Lines about the leafs concerned from shortly before the answer.
    pub leafs: Vec<&'a Line>,
}

/// Finds what nodes did with a request. Returns one history per node and answer.
#[must_use]
pub fn find<'a>(logs: &'a Logs, id: &str) -> Vec<History<'a>> {
    logs.nodes().flat_map(|(node, lines)| on_node(node, lines, id)).collect()
}

fn on_node<'a>(node: &'a str, lines: &'a [Line], id: &str) -> Vec<History<'a>> {
    let mut histories = Vec::new();
    let mut current: Option<History<'a>> = None;
    for (position, line) in lines.iter().enumerate() {
        if line.get("id") != Some(id) || is_leaf_event(line) {
            continue;
        }
        let history = current.get_or_insert_with(|| History {
            node,
            steps: Vec::new(),
            end: None,
            configuration: None,
            store: None,
            restore: None,
            reach: None,
            leafs: Vec::new(),
        });
        if is_end(line) {
            history.end = Some(line);
            add_context(history, &lines[..position]);
            histories.extend(current.take());
        } else {
            history.steps.push(line);
        }
    }
    histories.extend(current);
    histories
}

/// Adds what the node knew, from the lines before the answer. Lines of an earlier process
/// of the same node are ignored.
fn add_context<'a>(history: &mut History<'a>, before: &'a [Line]) {
    let started = before.iter().rposition(|line| line.event == "start");
    let before = &before[started.unwrap_or_default()..];
    let last =
        |events: &[&str]| before.iter().rev().find(|line| events.contains(&line.event.as_str()));
    history.configuration = last(&["configuration"]);
    history.store = last(&["store_lost", "store_regained", "store_reached"]);
    history.reach = last(&["reach"]);
    let Some(end) = history.end else { return };
    let earliest = end.millis_of_day().map(|at| at - CONTEXT_MS - end.number("took_ms"));
    let recent = before.iter().rev().take_while(|line| line.millis_of_day() >= earliest);
    history.restore = recent.clone().find(|line| line.event == "store_restored");
    let concerned = recent.filter(|line| is_leaf_event(line) && concerns(history, line));
    let mut leafs: Vec<&Line> = concerned.take(MAX_CONTEXT_LINES).collect();
    leafs.reverse();
    history.leafs = leafs;
}

/// Whether a line is the last one that the node wrote about a request.
fn is_end(line: &Line) -> bool {
    match line.event.as_str() {
        "answer" | "rejected" => true,
        "relayed" => matches!(line.text("outcome"), "answered" | "unknown"),
        _ => false,
    }
}

fn is_leaf_event(line: &Line) -> bool {
    matches!(line.event.as_str(), "leaf" | "leaf_state")
}

/// Returns whether a request was sent to, or lacks a part of, the leaf or service that a line
/// is about.
fn concerns(history: &History<'_>, line: &Line) -> bool {
    let leaf = line.text("id");
    let service = line.get("service");
    let missing = history.end.map_or("", |end| end.text("missing"));
    let in_missing = missing
        .split(' ')
        .filter_map(|part| part.split_once(':'))
        .any(|(s, leafs)| service == Some(s) || leafs.split('+').any(|other| other == leaf));
    in_missing || history.steps.iter().any(|step| step.text("leaf") == leaf)
}
