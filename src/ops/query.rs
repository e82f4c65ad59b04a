//! `query`: sends a query to a node as a caller does.

use http::{Method, StatusCode};

use super::node::{Listener, Node};
use super::{Error, Outcome, outcome_of_refusal, text};
use crate::api::{Answer, Ask, Refusal};

/// Final reply to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The query was answered.
    Answered(Answer),
    /// The query was refused.
    Refused(Refusal),
}

/// Sends a query.
///
/// # Errors
///
/// Any [`Error`]. A refusal is a [`Reply`], not an error.
pub fn ask(node: &Node, ask: &Ask) -> Result<Reply, Error> {
    let reply = node.send_json(Listener::Callers, Method::POST, "/v1/query", ask)?;
    if reply.status == StatusCode::OK {
        return Ok(Reply::Answered(reply.json()?));
    }
    reply.json().map(Reply::Refused).map_err(|_| reply.unexpected())
}

/// Returns the outcome of the command.
#[must_use]
pub fn outcome(reply: &Reply) -> Outcome {
    match reply {
        Reply::Answered(answer) if answer.coverage.is_full() => Outcome::Done,
        Reply::Answered(_) => Outcome::Partial,
        Reply::Refused(refusal) => outcome_of_refusal(refusal.ran),
    }
}

/// Formats the rows, the index version and the coverage of an answer, or the cause of a
/// refusal.
#[must_use]
pub fn render(reply: &Reply) -> String {
    match reply {
        Reply::Answered(answer) => render_answer(answer),
        Reply::Refused(refusal) => render_refusal(refusal),
    }
}

fn render_answer(answer: &Answer) -> String {
    let rows = answer.rows.iter().map(|row| format!("{}\t{}", row.key, row.value));
    let mut lines: Vec<String> = rows.collect();
    if !lines.is_empty() {
        lines.push(String::new());
    }
    let rows = text::count(answer.rows.len(), "row");
    lines.push(format!(
        "Request {}: {rows} in {} from node {}, index version {}.",
        answer.request,
        text::duration(answer.took),
        answer.node,
        answer.version
    ));
    lines.extend(text::coverage(&answer.coverage));
    lines.join("\n") + "\n"
}

fn render_refusal(refusal: &Refusal) -> String {
    let mut lines = vec![
        format!("Request {} was refused by node {}.", refusal.request, refusal.node),
        format!("Cause: {}. {}", text::refused_because(refusal.cause), refusal.message),
        text::ran(refusal.ran).to_owned(),
    ];
    lines.push(refusal.retry_after.map_or_else(
        || "Sending the same request again will not help.".to_owned(),
        |delay| format!("Send it again with the same id after {}.", text::duration(delay)),
    ));
    lines.join("\n") + "\n"
}
