//! `jacinthfall profile`.

use std::env;
use std::path::Path;
use std::process;
use std::time::Duration;

use jacinthfall::api::{InForce, Put, Reason, Verdict};
use jacinthfall::ops::{Error, Node, Outcome, profile};
use jacinthfall_core::id;
use serde::Serialize;

use crate::options::{self, Arguments, Command, Failure};

/// Default time to wait for a change to be in force on every node, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 30_000;

const PUT: &str = "\
Changes a profile. FILE contains one profile as JSON with comments, as printed by
`profile show`. It is checked before anything is sent.

An accepted change is in the store, will be in force on every node and never reverts.
Of two concurrent changes one is refused (exit code 3). With
--expect-revision, a change is refused unless that revision is still in force.";

/// What `profile put --json` prints.
#[derive(Serialize)]
struct Changed<'a> {
    change_id: &'a str,
    #[serde(flatten)]
    verdict: &'a Verdict,
    in_force: Option<&'a InForce>,
}

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let usage = "usage: jacinthfall profile list|show NAME|put FILE|history NAME";
    let Some((command, rest)) = arguments.split_first() else {
        return Err(Failure::usage(usage));
    };
    match command.as_str() {
        "list" => list(rest),
        "show" => show(rest),
        "put" => put(rest),
        "history" => history(rest),
        "-h" | "--help" => {
            println!("{usage}\n\nRun `jacinthfall profile COMMAND --help` for the options.");
            Ok(Outcome::Done)
        }
        other => Err(Failure::usage(format!("unknown command `{other}`; {usage}"))),
    }
}

fn list(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("profile list", "Lists the profiles in force.").operators();
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    arguments.no_operand()?;
    let found = profile::list(&arguments.node()?)?;
    arguments.print(&found, || profile::render_list(&found));
    Ok(Outcome::Done)
}

fn show(arguments: &[String]) -> Result<Outcome, Failure> {
    let brief = "Shows a profile, as JSON with comments that `profile put` takes.";
    let command = Command::new("profile show NAME", brief).operators();
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    let name = options::name("NAME", arguments.operand()?)?;
    let found = profile::show(&arguments.node()?, &name)?;
    arguments.print(&found, || profile::render_record(&found));
    Ok(Outcome::Done)
}

fn history(arguments: &[String]) -> Result<Outcome, Failure> {
    let brief = "Lists the changes of a profile, oldest first.";
    let command = Command::new("profile history NAME", brief).operators();
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    let name = options::name("NAME", arguments.operand()?)?;
    let found = profile::history(&arguments.node()?, &name)?;
    arguments.print(&found, || profile::render_history(&found));
    Ok(Outcome::Done)
}

fn put(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("profile put FILE", PUT)
        .operators()
        .option("cause", "why it is changed", "TEXT")
        .option("author", "who changes it (default from USER)", "NAME")
        .option("expect-revision", "revision that the change replaces", "N")
        .option(
            "change-id",
            "id of the change; reuse it to put the change again (default generated)",
            "ID",
        )
        .flag("wait", "wait until it is in force on every live node")
        .option("wait-ms", "timeout of --wait, in ms (default 30000)", "N");
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    let new = profile::open(Path::new(arguments.operand()?))?;
    let change = reason(&arguments)?;
    let expect_revision = arguments.number("expect-revision")?.map(id::Revision);
    let node = arguments.node()?;
    let put = Put { profile: new, expect_revision, change };
    let verdict = profile::put(&node, &put).map_err(|error| failure(&put, &error))?;
    let json = arguments.has("json");
    if !json {
        arguments
            .print(&(), || profile::render_verdict(&put.profile.name, &put.change.id, &verdict));
    }
    let (outcome, in_force) = match verdict {
        Verdict::Accepted { revision } if arguments.has("wait") => {
            wait(&arguments, &node, &put.profile.name, revision)?
        }
        _ => (profile::outcome(&verdict), None),
    };
    if json {
        let change_id = &*put.change.id;
        let changed = Changed { change_id, verdict: &verdict, in_force: in_force.as_ref() };
        options::print_json(&changed);
    }
    Ok(outcome)
}

fn reason(arguments: &Arguments) -> Result<Reason, Failure> {
    let author = arguments.text("author").or_else(|| env::var("USER").ok());
    let author = author.filter(|author| !author.is_empty());
    let generated = || id::Name::from(format!("change-{}-{}", options::now_ms(), process::id()));
    Ok(Reason {
        id: arguments.name("change-id")?.unwrap_or_else(generated),
        author: author.ok_or_else(|| Failure::usage("--author is missing; add it"))?.into(),
        cause: arguments.required("cause")?.into(),
    })
}

fn wait(
    arguments: &Arguments,
    node: &Node,
    name: &str,
    revision: id::Revision,
) -> Result<(Outcome, Option<InForce>), Failure> {
    let limit = Duration::from_millis(arguments.number("wait-ms")?.unwrap_or(DEFAULT_WAIT_MS));
    let progress = |state: &InForce| eprintln!("{}", profile::render_progress(state, revision));
    let state = profile::wait(node, name, revision, limit, progress).map_err(|error| {
        let text = "the change is accepted, but the nodes can't be checked for it";
        Failure { message: format!("{text}: {error}"), outcome: Outcome::Partial }
    })?;
    if profile::is_everywhere(&state, revision) {
        return Ok((Outcome::Done, Some(state)));
    }
    eprintln!("jacinthfall: the change is accepted, but not yet in force on every node");
    Ok((Outcome::Partial, Some(state)))
}

fn failure(put: &Put, error: &Error) -> Failure {
    let outcome = error.outcome_with_effects();
    let mut message = error.to_string();
    if outcome == Outcome::Unknown {
        message += &format!("; put it again with --change-id {}", put.change.id);
    }
    Failure { message, outcome }
}
