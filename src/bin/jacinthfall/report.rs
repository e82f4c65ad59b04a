//! `jacinthfall report`.

use std::fs;

use jacinthfall::ops::{Error, Outcome, report};

use crate::explain::read;
use crate::options::{Command, Failure};

const BRIEF: &str = "\
Draws a page from the logs of gateway nodes: response times by route, answers,
refusals and failures by cause, missing shards, sends beyond the first, and when
configurations, nodes and the store changed. Reads standard input if no log is named.

Example:
    jacinthfall report --page day.html node-1.log node-2.log";

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let command =
        Command::new("report [FILE...]", BRIEF).option("page", "HTML file to write", "FILE");
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    let file = arguments.required("page")?;
    let logs = read(arguments.all_operands())?;
    let page = report::page(&logs)
        .map_err(|error| Failure { message: error.to_string(), outcome: Outcome::Failure })?;
    fs::write(&file, page).map_err(|source| Error::File { file: file.into(), source })?;
    Ok(Outcome::Done)
}
