//! Parsing of command lines, with the options that several commands share, and output.

use std::env;
use std::fmt::Display;
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use getopts::{Matches, Options};
use jacinthfall::ops::{Error, Node, Outcome};
use jacinthfall_core::id;
use serde::Serialize;

/// Default timeout of each step of a call, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 70_000;

/// Why a command ended early.
#[derive(Debug)]
pub struct Failure {
    /// Message for the user.
    pub message: String,
    /// Outcome of the command.
    pub outcome: Outcome,
}

impl Failure {
    /// Creates a failure for an invalid command line.
    pub fn usage(message: impl Into<String>) -> Failure {
        Failure { message: message.into(), outcome: Outcome::Usage }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        Failure { outcome: error.outcome(), message: error.to_string() }
    }
}

/// Definition of a command's options.
pub struct Command {
    /// Name and operands, as typed.
    usage: &'static str,
    /// Description for the help text.
    brief: &'static str,
    options: Options,
}

/// A parsed command line.
pub struct Arguments {
    usage: &'static str,
    matches: Matches,
}

impl Command {
    /// Creates a command with the options that all commands have.
    pub fn new(usage: &'static str, brief: &'static str) -> Command {
        let mut options = Options::new();
        options.optflag("j", "json", "print JSON for machines, as in docs/API.md");
        options.optopt("", "output", "text or json", "FORMAT");
        options.optopt(
            "",
            "timeout-ms",
            "timeout of each step of a call, in ms (default 70000)",
            "N",
        );
        options.optflag("h", "help", "print this help");
        Command { usage, brief, options }
    }

    /// Adds the option for the address of the callers' listener.
    pub fn callers(mut self) -> Command {
        let text = "callers' address of a node (default from JACINTHFALL_CALLERS)";
        self.options.optopt("c", "callers", text, "IP:PORT");
        self
    }

    /// Adds the options for the address and the token of the operators' listener.
    pub fn operators(mut self) -> Command {
        let text = "operators' address of a node (default from JACINTHFALL_OPERATORS)";
        self.options.optopt("o", "operators", text, "IP:PORT");
        let text = "file with the operators' token (default from JACINTHFALL_TOKEN)";
        self.options.optopt("", "token-file", text, "FILE");
        self
    }

    /// Adds an option with a value.
    pub fn option(mut self, name: &str, text: &str, hint: &str) -> Command {
        self.options.optopt("", name, text, hint);
        self
    }

    /// Adds an option without a value.
    pub fn flag(mut self, name: &str, text: &str) -> Command {
        self.options.optflag("", name, text);
        self
    }

    /// Parses the command line; `None` if help was requested, which is printed.
    pub fn parse(self, arguments: &[String]) -> Result<Option<Arguments>, Failure> {
        let usage = self.usage;
        if arguments.iter().any(|argument| argument == "-h" || argument == "--help") {
            let brief = format!("{}\n\nUsage: jacinthfall {usage} [OPTIONS]", self.brief);
            print!("{}", self.options.usage(&brief));
            return Ok(None);
        }
        let matches = self.options.parse(arguments).map_err(|error| {
            let text = format!("{error}; run `jacinthfall {} --help`", command_of(usage));
            Failure::usage(text)
        })?;
        if let Some(format) = matches.opt_str("output")
            && !matches!(format.as_str(), "text" | "json")
        {
            let text = format!("--output: unknown format `{format}`; use text or json");
            return Err(Failure::usage(text));
        }
        Ok(Some(Arguments { usage, matches }))
    }
}

impl Arguments {
    /// Returns the only operand.
    pub fn operand(&self) -> Result<&str, Failure> {
        match self.matches.free.as_slice() {
            [one] => Ok(one),
            _ => Err(Failure::usage(format!("usage: jacinthfall {}", self.usage))),
        }
    }

    /// Returns the first operand and the remaining ones.
    pub fn operands(&self) -> Result<(&str, &[String]), Failure> {
        match self.matches.free.as_slice() {
            [first, rest @ ..] => Ok((first, rest)),
            [] => Err(Failure::usage(format!("usage: jacinthfall {}", self.usage))),
        }
    }

    /// Returns all operands.
    pub fn all_operands(&self) -> &[String] {
        &self.matches.free
    }

    /// Checks that there are no operands.
    pub fn no_operand(&self) -> Result<(), Failure> {
        match self.matches.free.first() {
            Some(operand) => Err(Failure::usage(format!(
                "unexpected operand `{operand}`; usage: jacinthfall {}",
                self.usage
            ))),
            None => Ok(()),
        }
    }

    /// Returns whether a flag is set.
    pub fn has(&self, flag: &str) -> bool {
        self.matches.opt_present(flag)
    }

    /// Returns the value of an option.
    pub fn text(&self, option: &str) -> Option<String> {
        self.matches.opt_str(option)
    }

    /// Returns the value of a required option.
    pub fn required(&self, option: &str) -> Result<String, Failure> {
        let text = self.matches.opt_str(option).filter(|text| !text.is_empty());
        text.ok_or_else(|| Failure::usage(format!("--{option} is missing; add it")))
    }

    /// Returns the value of an option as a name or request id.
    pub fn name(&self, option: &str) -> Result<Option<id::Name>, Failure> {
        self.text(option).map(|text| name(option, &text)).transpose()
    }

    /// Returns the value of an option as a number.
    pub fn number<T: FromStr>(&self, option: &str) -> Result<Option<T>, Failure> {
        let parse = |text: String| {
            let error =
                || Failure::usage(format!("--{option}: `{text}` is not a number or out of range"));
            text.parse().map_err(|_| error())
        };
        self.text(option).map(parse).transpose()
    }

    /// Returns the node to call. Options that the command does not define are ignored.
    pub fn node(&self) -> Result<Node, Failure> {
        Ok(Node {
            callers: self.address("callers", "JACINTHFALL_CALLERS")?,
            operators: self.address("operators", "JACINTHFALL_OPERATORS")?,
            token: self.token()?,
            timeout: Some(self.timeout()?),
        })
    }

    /// Returns the timeout of each step of a call.
    pub fn timeout(&self) -> Result<Duration, Failure> {
        let timeout = self.number("timeout-ms")?.unwrap_or(DEFAULT_TIMEOUT_MS);
        Ok(Duration::from_millis(timeout.max(1)))
    }

    fn address(&self, option: &str, variable: &str) -> Result<Option<SocketAddr>, Failure> {
        let given = self.defined(option).map(|text| (format!("--{option}"), text));
        let given = given.or_else(|| Some((variable.to_owned(), env::var(variable).ok()?)));
        let Some((source, text)) = given else { return Ok(None) };
        address(&source, &text).map(Some)
    }

    fn token(&self) -> Result<Option<String>, Failure> {
        let Some(file) = self.defined("token-file") else {
            return Ok(env::var("JACINTHFALL_TOKEN").ok());
        };
        let text = fs::read_to_string(&file);
        let text = text.map_err(|source| Error::File { file: file.into(), source })?;
        Ok(Some(text.trim().to_owned()))
    }

    fn defined(&self, option: &str) -> Option<String> {
        self.matches.opt_defined(option).then(|| self.text(option)).flatten()
    }

    /// Prints a reply, as JSON if requested and otherwise as text.
    pub fn print(&self, reply: &impl Serialize, render: impl FnOnce() -> String) {
        if self.has("json") || self.text("output").as_deref() == Some("json") {
            print_json(reply);
            return;
        }
        write(&render());
    }
}

/// Prints a value as JSON.
pub fn print_json(value: &impl Serialize) {
    let json = serde_json::to_string_pretty(value).expect("replies have string keys only");
    write(&(json + "\n"));
}

/// Returns the wall clock time, in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Parses an address; `source` names the option in errors.
pub fn address(source: &str, text: &str) -> Result<SocketAddr, Failure> {
    text.parse()
        .map_err(|_| Failure::usage(format!("{source}: `{text}` is not an address; write IP:PORT")))
}

/// Checks a name or request id; `what` names the option in errors.
pub fn name(what: &str, text: &str) -> Result<id::Name, Failure> {
    id::name(text).map_err(|error| Failure::usage(describe(what, &error)))
}

fn describe(what: &str, error: &dyn Display) -> String {
    format!("{what}: {error}")
}

/// Prints text. Errors are ignored: a reader may close the pipe early.
pub fn write(text: &str) {
    let _ = io::stdout().write_all(text.as_bytes());
}

/// Returns the name of the command, without its operands.
fn command_of(usage: &str) -> String {
    let words = usage.split(' ').take_while(|word| word.chars().all(char::is_lowercase));
    words.collect::<Vec<&str>>().join(" ")
}
