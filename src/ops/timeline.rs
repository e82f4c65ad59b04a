//! `timeline`: events of all nodes in causal order.

use jacinthfall_core::id;

use super::node::{Listener, Node};
use super::{Error, Outcome, event, text};
use crate::api::Timeline;

/// Selects the events to return.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only events of this request.
    pub request: Option<id::Request>,
    /// Only events of this node.
    pub node: Option<id::Name>,
    /// Only events at or after this time, in milliseconds since the Unix epoch.
    pub after: Option<u64>,
    /// Only events before this time, in milliseconds since the Unix epoch.
    pub before: Option<u64>,
    /// Maximum number of events to return, the newest ones; the node's default if absent.
    pub limit: Option<u32>,
}

/// Fetches events of all nodes from one node.
///
/// # Errors
///
/// Any [`Error`].
pub fn find(node: &Node, filter: &Filter) -> Result<Timeline, Error> {
    node.get(Listener::Operators, &path(filter))?.ok()
}

/// Returns the outcome of the command.
#[must_use]
pub const fn outcome(timeline: &Timeline) -> Outcome {
    if timeline.missing.is_empty() { Outcome::Done } else { Outcome::Partial }
}

/// Formats the events, one per line, with a line for each new date.
#[must_use]
pub fn render(timeline: &Timeline) -> String {
    let mut lines = Vec::new();
    let mut day = String::new();
    for entry in &timeline.entries {
        let time = text::time(entry.stamp.wall());
        let date = time.split(' ').next().unwrap_or_default();
        if date != day {
            date.clone_into(&mut day);
            lines.push(format!("{date} (UTC)"));
        }
        lines.push(event::line(entry, true));
    }
    if timeline.entries.is_empty() {
        lines.push("no events".into());
    }
    lines.extend(missing(timeline));
    lines.join("\n") + "\n"
}

/// Returns a line that names the nodes that did not reply, if there are any.
#[must_use]
pub fn missing(timeline: &Timeline) -> Option<String> {
    if timeline.missing.is_empty() {
        return None;
    }
    Some(format!("No reply came from {}; events there are not shown.", timeline.missing.join(", ")))
}

fn path(filter: &Filter) -> String {
    let pairs = [
        ("request", filter.request.as_ref().map(ToString::to_string)),
        ("node", filter.node.as_ref().map(ToString::to_string)),
        ("after", filter.after.map(|time| time.to_string())),
        ("before", filter.before.map(|time| time.to_string())),
        ("limit", filter.limit.map(|limit| limit.to_string())),
    ];
    let pairs = pairs.into_iter().filter_map(|(key, value)| Some(format!("{key}={}", value?)));
    format!("/v1/timeline?{}", pairs.collect::<Vec<String>>().join("&"))
}
