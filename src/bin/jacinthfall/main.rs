//! The operators' command.
//!
//! Exit codes are those of [`Outcome`]: 0 success, 1 failure, 2 invalid command line or
//! file, 3 refused and not run, 4 outcome unknown, 5 partial.

use std::env;
use std::process::ExitCode;

use jacinthfall::ops::Outcome;

use crate::options::Failure;

mod addresses;
mod completion;
mod explain;
mod losses;
mod options;
mod profile;
mod query;
mod report;
mod status;
mod timeline;
mod top;
mod trace;

const HELP: &str = "\
Queries and operates jacinthfall.

Usage: jacinthfall COMMAND [OPTIONS]

Commands:
    query              send a query as a caller does
    trace ID           show what happened to a request
    explain ID [FILE...]
                       explain from logs why a request ended as it did
    losses [FILE...]   tell from logs where service was lost, and why
    top IP:PORT...     show current rates of gateway nodes
    report [FILE...]   plot the logs of gateway nodes as a page
    addresses          list the addresses that callers should use
    status             show the state of a node
    timeline           show events of all nodes in causal order
    profile list       list the profiles in force
    profile show NAME  show a profile
    profile put FILE   change a profile
    profile history NAME
                       list the changes of a profile
    completion SHELL   print a script that completes commands

Run `jacinthfall COMMAND --help` for the options of a command.

Exit codes: 0 success, 1 failure, 2 invalid command line or file, 3 refused and
not run, 4 outcome unknown: it may have run, 5 partial: shards or nodes are missing.
";

/// A subcommand.
struct Entry {
    name: &'static str,
    run: fn(&[String]) -> Result<Outcome, Failure>,
    /// Words that may follow, for completion.
    words: &'static [&'static str],
}

/// All subcommands.
const COMMANDS: [Entry; 11] = [
    Entry { name: "query", run: query::run, words: &[] },
    Entry { name: "trace", run: trace::run, words: &[] },
    Entry { name: "explain", run: explain::run, words: &[] },
    Entry { name: "losses", run: losses::run, words: &[] },
    Entry { name: "top", run: top::run, words: &[] },
    Entry { name: "report", run: report::run, words: &[] },
    Entry { name: "addresses", run: addresses::run, words: &[] },
    Entry { name: "status", run: status::run, words: &[] },
    Entry { name: "timeline", run: timeline::run, words: &[] },
    Entry { name: "profile", run: profile::run, words: &["list", "show", "put", "history"] },
    Entry { name: "completion", run: completion::run, words: &["bash", "zsh", "fish"] },
];

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = env::args().skip(1).collect();
    let outcome = run(&arguments).unwrap_or_else(|failure| {
        eprintln!("jacinthfall: {}", failure.message);
        failure.outcome
    });
    ExitCode::from(outcome as u8)
}

fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(Failure::usage("no command given; run `jacinthfall --help` for a list"));
    };
    match command.as_str() {
        "-h" | "--help" | "help" => {
            print!("{HELP}");
            Ok(Outcome::Done)
        }
        "-V" | "--version" => {
            println!("jacinthfall {}", env!("CARGO_PKG_VERSION"));
            Ok(Outcome::Done)
        }
        name => match COMMANDS.iter().find(|command| command.name == name) {
            Some(command) => (command.run)(rest),
            None => {
                let text = format!("unknown command `{name}`; run `jacinthfall --help` for a list");
                Err(Failure::usage(text))
            }
        },
    }
}
