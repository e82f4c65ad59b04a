//! `jacinthfall explain`.

use std::fs::File;
use std::io::{self, BufReader};

use jacinthfall::ops::{Error, Outcome, explain};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::options::{self, Arguments, Command, Failure};

const BRIEF: &str = "\
Explains from the logs of any number of nodes why a request ended as it did: what
the nodes knew and how old it was, what they decided and why, and how the request
ended. Reads standard input if no file is given. Unreadable lines are skipped and
counted.

Examples:
    jacinthfall explain 9c41d07be2a35f68 node-1.log node-2.log
    zcat logs/*.gz | jacinthfall explain 9c41d07be2a35f68 --json

Exits with 1 if the logs contain no line about the request.";

/// What `--json` prints.
#[derive(Serialize)]
struct Explanation {
    request: String,
    stories: Vec<History>,
    unreadable: u64,
}

/// Log lines about the request at one node.
#[derive(Serialize)]
struct History {
    node: String,
    steps: Vec<Map<String, Value>>,
    end: Option<Map<String, Value>>,
    configuration: Option<Map<String, Value>>,
    store: Option<Map<String, Value>>,
    leafs: Vec<Map<String, Value>>,
}

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("explain ID [FILE...]", BRIEF);
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    let (id, files) = arguments.operands()?;
    let id = options::name("ID", id)?;
    Ok(print(&arguments, &id, &read(files)?))
}

/// Prints what the logs say about a request.
pub fn print(arguments: &Arguments, id: &str, logs: &explain::Logs) -> Outcome {
    let histories = explain::find(logs, id);
    let explanation = Explanation {
        request: id.to_string(),
        stories: histories.iter().map(history).collect(),
        unreadable: logs.unreadable,
    };
    arguments.print(&explanation, || explain::render(id, &histories, logs.unreadable));
    if histories.is_empty() { Outcome::Failure } else { Outcome::Done }
}

/// Reads the given logs, or standard input if there are none.
pub fn read(files: &[String]) -> Result<explain::Logs, Failure> {
    let mut logs = explain::Logs::default();
    if files.is_empty() {
        let failed = |source| Error::File { file: "standard input".into(), source };
        logs.read("standard input", io::stdin().lock()).map_err(failed)?;
    }
    for file in files {
        let failed = |source| Error::File { file: file.into(), source };
        let log = File::open(file).map_err(failed)?;
        logs.read(file, BufReader::new(log)).map_err(failed)?;
    }
    Ok(logs)
}

fn history(history: &explain::History<'_>) -> History {
    History {
        node: history.node.to_owned(),
        steps: history.steps.iter().map(|line| fields(line)).collect(),
        end: history.end.map(fields),
        configuration: history.configuration.map(fields),
        store: history.store.map(fields),
        leafs: history.leafs.iter().map(|line| fields(line)).collect(),
    }
}

fn fields(line: &explain::Line) -> Map<String, Value> {
    let own = [("time", line.time.as_str()), ("event", line.event.as_str())];
    let fields = own.into_iter().chain(line.fields());
    fields.map(|(name, value)| (name.to_owned(), Value::from(value))).collect()
}
