//! Program that stands in for one or more leafs.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use jacinthfall_standin::leaf::server::Process;
use jacinthfall_standin::leaf::settings::Settings;
use jacinthfall_standin::{deployment, process, settings};

/// Number of threads that serve sockets.
const THREADS: usize = 2;

fn main() -> ExitCode {
    process::run(run)
}

fn run(arguments: &[String]) -> Result<(), process::Error> {
    let mut options = getopts::Options::new();
    options.optopt("", "platform", "stand-in of the platform to register fleets at", "ADDRESS");
    let usage = "Usage: jacinthfall-standin-leaf --settings FILE [options]";
    let Some(matches) = process::parse(usage, options, arguments)? else { return Ok(()) };
    let path = matches.opt_str("settings").ok_or("no settings; give --settings FILE")?;
    let platform = matches.opt_get::<SocketAddr>("platform")?;
    let settings: Settings = settings::read(Path::new(&path))?;
    settings.check()?;
    let runtime = jacinthfall_net::runtime(THREADS)?;
    let leafs = runtime.block_on(Process::bind(&settings))?;
    if let Some(platform) = platform {
        let services = deployment::services(&settings, &leafs.addresses());
        let records = services.into_iter().map(deployment::record).collect();
        runtime.block_on(deployment::register(platform, records))?;
    }
    print_addresses(&leafs)?;
    process::wait_for_signal()
}

fn print_addresses(process: &Process) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    for (name, address) in process.addresses() {
        writeln!(stdout, "listening {name} {address}")?;
    }
    if let Some(address) = process.control() {
        writeln!(stdout, "control {address}")?;
    }
    writeln!(stdout, "ready")?;
    stdout.flush()
}
