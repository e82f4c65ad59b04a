//! `jacinthfall query`.

use std::process;
use std::time::Duration;

use jacinthfall::api::Ask;
use jacinthfall::ops::query::{self, Reply};
use jacinthfall::ops::{Error, Outcome};
use jacinthfall_core::id;
use jacinthfall_core::query::{Query, Scope};
use jacinthfall_core::time::Wall;

use crate::options::{self, Arguments, Command, Failure};

/// Default maximum number of rows.
const DEFAULT_LIMIT: u32 = 1_000;

const BRIEF: &str = "\
Sends a query as a caller does. Prints rows as KEY<TAB>VALUE, then the index
version and the coverage; or why it was refused and whether it ran.

To safely repeat a request that may have run, use the same --request and
--issued-ms, and add --repeat.";

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("query", BRIEF)
        .callers()
        .option("profile", "profile to use", "NAME")
        .option("text", "query text for the leafs", "TEXT")
        .option("key", "query only the shard that holds this key (default all shards)", "KEY")
        .option("limit", "maximum number of rows (default 1000)", "N")
        .option("request", "id of the request (default generated)", "ID")
        .option("issued-ms", "when the request was first issued, ms since the Unix epoch", "MS")
        .flag("repeat", "the request was sent before with this id")
        .option("caller", "name of the caller (default jacinthfall)", "NAME")
        .option("deadline-ms", "deadline of the request, in ms (default from the profile)", "N");
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    arguments.no_operand()?;
    let node = arguments.node()?;
    let ask = ask(&arguments)?;
    let reply = query::ask(&node, &ask).map_err(|error| failure(&ask, &error))?;
    match &reply {
        Reply::Answered(answer) => arguments.print(answer, || query::render(&reply)),
        Reply::Refused(refusal) => arguments.print(refusal, || query::render(&reply)),
    }
    Ok(query::outcome(&reply))
}

fn ask(arguments: &Arguments) -> Result<Ask, Failure> {
    let now = options::now_ms();
    let scope = match arguments.text("key") {
        Some(key) => Scope::Key(key.into()),
        None => Scope::All,
    };
    let query = Query {
        scope,
        text: arguments.required("text")?.into(),
        limit: arguments.number("limit")?.unwrap_or(DEFAULT_LIMIT),
    };
    let generated = || id::Name::from(format!("jacinthfall-{now}-{}", process::id()));
    Ok(Ask {
        request: arguments.name("request")?.unwrap_or_else(generated),
        profile: options::name("--profile", &arguments.required("profile")?)?,
        caller: arguments.name("caller")?.unwrap_or_else(|| "jacinthfall".into()),
        issued: Some(Wall(arguments.number("issued-ms")?.unwrap_or(now))),
        repeat: arguments.has("repeat"),
        deadline: arguments.number("deadline-ms")?.map(Duration::from_millis),
        query,
    })
}

fn failure(ask: &Ask, error: &Error) -> Failure {
    let outcome = error.outcome_with_effects();
    let mut message = error.to_string();
    if outcome == Outcome::Unknown {
        let issued = ask.issued.unwrap_or_default().0;
        let id = &ask.request;
        message += &format!(
            "; run `jacinthfall trace {id}`, or repeat it with \
             --request {id} --issued-ms {issued} --repeat"
        );
    }
    Failure { message, outcome }
}
