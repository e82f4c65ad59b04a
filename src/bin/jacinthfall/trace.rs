//! `jacinthfall trace`.

use jacinthfall::api::{Fates, Timeline};
use jacinthfall::ops::{Outcome, gateway, trace};
use serde::Serialize;

use crate::explain;
use crate::options::{self, Command, Failure};

const BRIEF: &str = "\
Shows what happened to a request: whether it ran, the index version and shards in its
answer, which shards are missing and why, how long each phase took, and why it was late
or refused. With an operators' address and token, also shows its events on all nodes.

Exits with 1 if the request is unknown, 4 if nothing was found but not every node that
keeps its fates replied, 5 if something was found but not every such node replied.";

/// What `--json` prints.
#[derive(Serialize)]
struct Trace<'a> {
    #[serde(flatten)]
    fates: &'a Fates,
    timeline: Option<&'a Timeline>,
}

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("trace ID", BRIEF).callers().operators().option(
        "gateway",
        "metrics address of a gateway node whose log lines about the request to show",
        "IP:PORT",
    );
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    let request = options::name("ID", arguments.operand()?)?;
    if let Some(text) = arguments.text("gateway") {
        let address = options::address("--gateway", &text)?;
        let logs = gateway::trace(address, arguments.timeout()?, &request)?;
        return Ok(explain::print(&arguments, &request, &logs));
    }
    let node = arguments.node()?;
    let fates = trace::find(&node, &request)?;
    let events = if node.operators.is_some() && node.token.is_some() {
        events(&node, &request)
    } else {
        None
    };
    let json = Trace { fates: &fates, timeline: events.as_ref() };
    arguments.print(&json, || trace::render(&fates, events.as_ref()));
    Ok(trace::outcome(&fates))
}

/// Fetches the events of a request. They are optional: an error is only reported on standard
/// error, and the fates are shown without events.
fn events(
    node: &jacinthfall::ops::Node,
    request: &jacinthfall_core::id::Request,
) -> Option<Timeline> {
    trace::events(node, request)
        .inspect_err(|error| eprintln!("jacinthfall: no events are shown: {error}"))
        .ok()
}
