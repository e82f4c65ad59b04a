//! `jacinthfall top`.

use std::io::{IsTerminal, stdout};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall::ops::metrics::Scrape;
use jacinthfall::ops::{Outcome, gateway, top};

use crate::options::{self, Arguments, Command, Failure};

const BRIEF: &str = "\
Shows current rates of gateway nodes: requests, refusals, failures, missing shards
and response times by route, over all given nodes, and the state of each node.
IP:PORT is the metrics address of a node.

Examples:
    jacinthfall top 10.0.0.1:9464 10.0.0.2:9464
    jacinthfall top --once --output json 10.0.0.1:9464

Exits with 5 if some of the nodes did not reply, 1 if none did.";

/// Default interval between two scrapes, in milliseconds.
const DEFAULT_INTERVAL_MS: u64 = 2_000;

/// Escape sequence that clears the terminal and moves the cursor to its upper left corner.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// Runs the command until it is interrupted, or once with `--once`.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("top IP:PORT...", BRIEF)
        .option("interval-ms", "interval between two scrapes, in ms (default 2000)", "N")
        .flag("once", "print once and exit");
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

/// Scrapes all nodes. Nodes that don't reply are reported on standard error and left out.
fn scrape(addresses: &[SocketAddr], timeout: Duration) -> Vec<(String, Scrape)> {
    let read = addresses.iter().filter_map(|address| {
        let scrape = gateway::scrape(*address, timeout)
            .inspect_err(|error| eprintln!("jacinthfall: {address} is left out: {error}"));
        Some((address.to_string(), scrape.ok()?))
    });
    read.collect()
}
