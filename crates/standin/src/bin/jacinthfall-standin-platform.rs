//! Program that stands in for the platform.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use jacinthfall_standin::platform::{Settings, server};
use jacinthfall_standin::{process, settings};

/// Number of threads that serve sockets.
const THREADS: usize = 2;

fn main() -> ExitCode {
    process::run(run)
}

fn run(arguments: &[String]) -> Result<(), process::Error> {
    let mut options = getopts::Options::new();
    options.optopt("", "listen", "address to serve, port 0 for any", "ADDRESS");
    let usage = "Usage: jacinthfall-standin-platform [options]";
    let Some(matches) = process::parse(usage, options, arguments)? else { return Ok(()) };
    let listen = matches.opt_str("listen").unwrap_or_else(|| "127.0.0.1:0".into());
    let listen: SocketAddr = listen.parse()?;
    let settings: Settings = match matches.opt_str("settings") {
        Some(path) => settings::read(Path::new(&path))?,
        None => Settings::default(),
    };
    let runtime = jacinthfall_net::runtime(THREADS)?;
    let server = runtime.block_on(server::bind(listen, &settings))?;
    let mut stdout = io::stdout();
    writeln!(stdout, "listening {}", server.address())?;
    stdout.flush()?;
    process::wait_for_signal()
}
