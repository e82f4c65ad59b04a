//! `jacinthfall timeline`.

use jacinthfall::ops::{Outcome, timeline};

use crate::options::{Arguments, Command, Failure};

const BRIEF: &str = "\
Shows events of all nodes in causal order. Exits with 5 if a node did not reply.";

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("timeline", BRIEF)
        .operators()
        .option("request", "only events of this request", "ID")
        .option("node", "only events of this node", "NAME")
        .option("after", "only at or after this time, ms since the Unix epoch", "MS")
        .option("before", "only before this time, ms since the Unix epoch", "MS")
        .option("limit", "maximum number of events to show, the newest ones (default 1000)", "N");
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    arguments.no_operand()?;
    let found = timeline::find(&arguments.node()?, &filter(&arguments)?)?;
    arguments.print(&found, || timeline::render(&found));
    Ok(timeline::outcome(&found))
}

fn filter(arguments: &Arguments) -> Result<timeline::Filter, Failure> {
    Ok(timeline::Filter {
        request: arguments.name("request")?,
        node: arguments.name("node")?,
        after: arguments.number("after")?,
        before: arguments.number("before")?,
        limit: arguments.number("limit")?,
    })
}
