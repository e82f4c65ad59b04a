//! The daemon of a node.
//!
//! Exit codes: 0 after a planned stop, 1 if the node could not start or did
//! not stop cleanly, 2 if the command line or the settings are invalid.

use std::env;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use getopts::Options;
use jacinthfall::daemon::settings::Settings;
use jacinthfall::daemon::stop::End;
use jacinthfall::daemon::{Daemon, VERSION};
use jacinthfall::gateway;
use jacinthfall::util::output;
use jacinthfall::util::settings::Error;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for an invalid command line or invalid settings.
const USAGE: u8 = 2;

/// Maximum time to wait at the end for the last log lines to be written.
const LOG_DRAIN_LIMIT: Duration = Duration::from_millis(100);

/// Action selected by the command line.
enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Gateway { file: PathBuf, check_only: bool },
    Print(String),
}

fn main() -> ExitCode {
    abort_on_panic();
    let command = match parse() {
        Ok(command) => command,
        Err(message) => return fail(&message, USAGE),
    };
    let (file, check_only) = match command {
        Command::Print(text) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Command::Gateway { file, check_only } => return gateway(&file, check_only),
        Command::Check(file) => (file, true),
        Command::Run(file) => (file, false),
    };
    let settings = match load(&file, Settings::open(&file), check_only) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(settings) {
        Ok(End::Clean) => ExitCode::SUCCESS,
        Ok(end) => fail(&format!("the stop was not clean: {end:?}"), 1),
        Err(message) => fail(&message, 1),
    }
}

/// Returns the settings, or the exit code of the process if they are invalid or `check_only`
/// is set.
fn load<T>(file: &Path, opened: Result<T, Error>, check_only: bool) -> Result<T, ExitCode> {
    let settings = opened.map_err(|error| fail(&error.to_string(), USAGE))?;
    if check_only {
        println!("{}: settings are sound", file.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// Checks the settings of a gateway node and runs it.
fn gateway(file: &Path, check_only: bool) -> ExitCode {
    let settings = match load(file, gateway::settings::Settings::open(file), check_only) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if let Err(error) = output::init() {
        return fail(&format!("can't start the log writer: {error}; free memory or threads"), 1);
    }
    let result = gateway::run(settings);
    output::drain(LOG_DRAIN_LIMIT);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(
            &format!("can't start: {error}; check that the node's addresses are not in use"),
            1,
        ),
    }
}

/// Aborts the process when any thread panics. After a violated invariant the node's replies
/// can't be relied on, and the other nodes take over.
fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
}

fn fail(message: &str, code: u8) -> ExitCode {
    eprintln!("jacinthfalld: {message}");
    ExitCode::from(code)
}

fn parse() -> Result<Command, String> {
    let mut options = Options::new();
    options.reqopt("s", "settings", "settings of the node, JSON with comments", "FILE");
    options.optflag("g", "gateway", "serve routed requests on the users' platform");
    options.optflag("c", "check", "only check the settings");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let arguments: Vec<String> = env::args().skip(1).collect();
    if arguments.iter().any(|argument| argument == "-h" || argument == "--help") {
        let brief = "Runs a node of jacinthfall.\n\nUsage: jacinthfalld --settings FILE [--check]";
        return Ok(Command::Print(options.usage(brief)));
    }
    if arguments.iter().any(|argument| argument == "-V" || argument == "--version") {
        return Ok(Command::Print(format!("jacinthfalld {VERSION}\n")));
    }
    let matches = options
        .parse(arguments)
        .map_err(|error| format!("{error}; run `jacinthfalld --help` for the options"))?;
    let file = matches.opt_str("settings").unwrap_or_default().into();
    if matches.opt_present("gateway") {
        return Ok(Command::Gateway { file, check_only: matches.opt_present("check") });
    }
    if matches.opt_present("check") {
        return Ok(Command::Check(file));
    }
    Ok(Command::Run(file))
}

fn run(settings: Settings) -> Result<End, String> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let metrics: PrometheusHandle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|error| error.to_string())?;
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| format!("can't listen for signals: {error}; free file descriptors"))?;
    let (callers, peers) = (settings.callers.listen, settings.peers.listen);
    let daemon = Daemon::spawn(settings, metrics).map_err(|error| {
        format!("can't start: {error}; check that {callers}, {peers} and the operators' address are not in use")
    })?;
    announce(&daemon);
    let context = daemon.context().clone();
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            context.state.advance(jacinthfall::daemon::state::Phase::Leaving);
        }
    });
    Ok(daemon.wait())
}

/// Prints the bound addresses on one line, for the parent process.
fn announce(daemon: &Daemon) {
    let addresses = daemon.addresses();
    println!(
        "listening callers={} operators={} peers={}",
        addresses.callers, addresses.operators, addresses.peers
    );
    let _ = std::io::stdout().flush();
}
