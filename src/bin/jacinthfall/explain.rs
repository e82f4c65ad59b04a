//! `jacinthfall explain`.

use std::fs::File;
use std::io::{self, BufReader};

use jacinthfall::ops::{Error, Outcome, explain};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::options::{self, Arguments, Command, Failure};

const BRIEF: &str = "\
Tells from the logs of any number of nodes why a request ended as it did: what was
known and how old it was, what was decided and why, how it ended. Reads standard
input if no file is named. Lines that can't be read are counted and passed over.

Examples:
    jacinthfall explain 9c41d07be2a35f68 node-1.log node-2.log
    zcat logs/*.gz | jacinthfall explain 9c41d07be2a35f68 --json

Exits with 1 if there is no line about the request.";

/// What `--json` prints.
#[derive(Serialize)]
struct Explanation {
    request: String,
    stories: Vec<Told>,
    unreadable: u64,
}

/// A request at one node: its lines.
#[derive(Serialize)]
struct Told {
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
    Ok(tell(&arguments, &id, &read(files)?))
}

/// Prints what logs say of a request.
pub fn tell(arguments: &Arguments, id: &str, logs: &explain::Logs) -> Outcome {
    let stories = explain::find(logs, id);
    let told = Explanation {
        request: id.to_string(),
        stories: stories.iter().map(told).collect(),
        unreadable: logs.unreadable,
    };
    arguments.print(&told, || explain::render(id, &stories, logs.unreadable));
    if stories.is_empty() { Outcome::Failure } else { Outcome::Done }
}

/// Reads the logs that are named, or standard input.
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

fn told(story: &explain::History<'_>) -> Told {
    Told {
        node: story.node.to_owned(),
        steps: story.steps.iter().map(|line| fields(line)).collect(),
        end: story.end.map(fields),
        configuration: story.configuration.map(fields),
        store: story.store.map(fields),
        leafs: story.leafs.iter().map(|line| fields(line)).collect(),
    }
}

fn fields(line: &explain::Line) -> Map<String, Value> {
    let own = [("time", line.time.as_str()), ("event", line.event.as_str())];
    let fields = own.into_iter().chain(line.fields());
    fields.map(|(name, value)| (name.to_owned(), Value::from(value))).collect()
}
