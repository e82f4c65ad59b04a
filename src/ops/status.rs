//! `status`: the state of a node and its view of the other nodes.

use super::node::{Listener, Node};
use super::{Error, Outcome, text};
use crate::api::Status;

/// Fetches a node's state.
///
/// # Errors
///
/// Any [`Error`].
pub fn find(node: &Node) -> Result<Status, Error> {
    node.get(Listener::Operators, "/v1/status")?.ok()
}

/// Returns the outcome of the command.
#[must_use]
pub const fn outcome(status: &Status) -> Outcome {
    if status.ready { Outcome::Done } else { Outcome::Failure }
}

/// Formats the state, the members and the revisions in force.
#[must_use]
pub fn render(status: &Status) -> String {
    let started = text::time(jacinthfall_core::time::Wall(status.incarnation.started));
    let ready = if status.ready { "ready" } else { "not ready: no configuration is in force" };
    let watching = if status.watching {
        "it watches the store itself"
    } else {
        "it receives changes from peers"
    };
    let unconfirmed = text::duration(status.unconfirmed);
    let mut lines = vec![
        format!("Node {} in {}: {}, {ready}.", status.node, status.zone, status.state),
        format!("Started at {started}."),
        format!("Configuration last confirmed {unconfirmed} ago; {watching}."),
        String::new(),
        format!("{} as seen by this node:", text::count(status.members.len(), "node")),
    ];
    let members = status.members.iter();
    lines.extend(members.map(|m| format!("  {:<24} {:<10} {}", m.node, m.state, m.zone)));
    lines.push(String::new());
    lines.push(format!("{} in force:", text::count(status.revisions.len(), "record")));
    let revisions = status.revisions.iter();
    lines.extend(revisions.map(|(key, revision)| format!("  {key:<40} revision {revision}")));
    lines.join("\n") + "\n"
}
