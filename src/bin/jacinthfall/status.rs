//! `jacinthfall status`.

use jacinthfall::ops::{Outcome, status};

use crate::options::{Command, Failure};

const BRIEF: &str = "\
Shows the state of a node, the nodes it knows and the records in force on it.
Exits with 1 if the node is not ready.";

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("status", BRIEF).operators();
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    arguments.no_operand()?;
    let found = status::find(&arguments.node()?)?;
    arguments.print(&found, || status::render(&found));
    Ok(status::outcome(&found))
}
