//! `jacinthfall report`.

use std::fs;

use jacinthfall::ops::{Error, Outcome, report};

use crate::explain::read;
use crate::options::{Command, Failure};

const BRIEF: &str = "\
Plots the logs of gateway nodes as an HTML page: response times by route, answers,
refusals and failures by cause, missing shards, retries and hedged requests, and when
configurations, nodes and the store changed. Reads standard input if no file is given.

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
