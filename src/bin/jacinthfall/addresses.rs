//! `jacinthfall addresses`.

use jacinthfall::ops::{Outcome, addresses};

use crate::options::{Command, Failure};

const BRIEF: &str = "Lists the addresses that callers should use, best first.";

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("addresses", BRIEF).callers();
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    arguments.no_operand()?;
    let found = addresses::find(&arguments.node()?)?;
    arguments.print(&found, || addresses::render(&found));
    Ok(Outcome::Done)
}
