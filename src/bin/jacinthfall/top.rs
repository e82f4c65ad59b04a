//! `jacinthfall top`.

use std::io::{IsTerminal, stdout};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall::ops::metrics::Scrape;
use jacinthfall::ops::{Outcome, gateway, top};

use crate::options::{self, Arguments, Command, Failure};

const BRIEF: &str = "\
Shows what gateway nodes do at the moment, over all that are named: requests,
refusals, failures, missing shards and response times by route, and the state of
each node. Addresses are those for metrics.

Examples:
    jacinthfall top 10.0.0.1:9464 10.0.0.2:9464
    jacinthfall top --once --output json 10.0.0.1:9464

Exits with 5 if some of the nodes did not reply, 1 if none did.";

/// Time between two readings unless another is given, in milliseconds.
const DEFAULT_INTERVAL_MS: u64 = 2_000;

/// Clears a terminal and moves to its upper left corner.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// Runs the command until it is interrupted, or once.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("top IP:PORT...", BRIEF)
        .option("interval-ms", "time between two readings (2000)", "N")
        .flag("once", "show one view and end");
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    let addresses = addresses(&arguments)?;
    let interval = arguments.number("interval-ms")?.unwrap_or(DEFAULT_INTERVAL_MS).max(1);
    let interval = Duration::from_millis(interval);
    let timeout = arguments.timeout()?;
    let mut read = Instant::now();
    let mut before = scrape(&addresses, timeout);
    loop {
        thread::sleep(interval);
        let after = scrape(&addresses, timeout);
        let view = top::view(&before, &after, read.elapsed());
        read = Instant::now();
        if stdout().is_terminal() && !arguments.has("once") {
            print!("{CLEAR}");
        }
        arguments.print(&view, || top::render(&view));
        if arguments.has("once") {
            return Ok(match after.len() {
                0 => Outcome::Failure,
                read if read < addresses.len() => Outcome::Partial,
                _ => Outcome::Done,
            });
        }
        before = after;
    }
}

fn addresses(arguments: &Arguments) -> Result<Vec<SocketAddr>, Failure> {
    let (first, rest) = arguments.operands()?;
    let texts = [first].into_iter().chain(rest.iter().map(String::as_str));
    texts.map(|text| options::address("IP:PORT", text)).collect()
}

/// Reads all nodes; those that don't reply are told and left out.
fn scrape(addresses: &[SocketAddr], timeout: Duration) -> Vec<(String, Scrape)> {
    let read = addresses.iter().filter_map(|address| {
        let scrape = gateway::scrape(*address, timeout)
            .inspect_err(|error| eprintln!("jacinthfall: {address} is left out: {error}"));
        Some((address.to_string(), scrape.ok()?))
    });
    read.collect()
}
