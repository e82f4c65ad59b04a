//! Open-loop load generator for nodes.
//!
//! Exit codes: 0 if no answer of the run violates a rule, 1 if one does, 2 if the
//! command line is invalid or the run failed.

use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use getopts::{Matches, Options};
use jacinthfall::load::mix::Mix;
use jacinthfall::load::plot;
use jacinthfall::load::report::Report;
use jacinthfall::load::run::{self, Plan};
use jacinthfall::load::table::Table;

/// Exit code after a violated rule.
const VIOLATION: u8 = 1;

/// Exit code for an invalid command line or a failed run.
const USAGE: u8 = 2;

/// Default maximum number of requests in flight.
const DEFAULT_WORKERS: usize = 256;

fn main() -> ExitCode {
    env_logger::init();
    match run_command() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(VIOLATION),
        Err(message) => {
            eprintln!("jacinthfall-load: {message}");
            ExitCode::from(USAGE)
        }
    }
}

/// Runs the command line. Returns `false` if a rule was violated.
fn run_command() -> Result<bool, String> {
    let options = options();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let help = "run `jacinthfall-load --help` for the options";
    let matches = options.parse(arguments).map_err(|error| format!("{error}; {help}"))?;
    if matches.opt_present("help") {
        let brief = "Generates load on nodes, or plots the results of earlier runs.\n\n\
            Usage: jacinthfall-load --mix FILE --node ADDRESS --rate N [options]\n       \
            jacinthfall-load --plot FILE RESULT...";
        print!("{}", options.usage(brief));
        return Ok(true);
    }
    let mut reports = matches.free.iter().map(|file| read(file)).collect::<Result<Vec<_>, _>>()?;
    let mut is_valid = true;
    if matches.opt_present("mix") {
        let report = run::run(&plan(&matches)?)?;
        print(&matches, &report)?;
        is_valid = report.violations.count == 0;
        reports.push(report);
    } else if reports.is_empty() {
        return Err(format!("neither --mix nor results to plot given; {help}"));
    }
    if let Some(file) = matches.opt_str("plot") {
        plot::draw(Path::new(&file), &reports)?;
    }
    Ok(is_valid)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("m", "mix", "mix of requests, JSON with comments", "FILE");
    options.optmulti("n", "node", "node to ask for addresses; may be repeated", "ADDRESS");
    options.optopt("r", "rate", "requests a second (100)", "N");
    options.optopt("d", "duration", "length of the schedule, in seconds (10)", "SECONDS");
    options.optopt("s", "seed", "seed of the schedule (1)", "N");
    options.optopt("w", "workers", "maximum number of requests in flight (256)", "N");
    options.optopt("", "ids", "prefix of every request id (`load` and the seed)", "TEXT");
    options.optopt("", "name", "label of the run in tables and plots", "TEXT");
    options.optmulti("", "leafs", "control address of stand-in leafs; may be repeated", "ADDRESS");
    options.optflag(
        "",
        "echo",
        "check that rows repeat version, key and text, as those of stand-ins do",
    );
    options.optopt("", "json", "write the result as JSON, `-` for standard output", "FILE");
    options.optopt("", "plot", "plot this run and the given results as SVG", "FILE");
    options.optflag("h", "help", "print this help");
    options
}

fn plan(matches: &Matches) -> Result<Plan, String> {
    let mix = matches.opt_str("mix").unwrap_or_default();
    let mix = Mix::open(Path::new(&mix)).map_err(|error| error.to_string())?;
    let seed = number(matches, "seed", 1)?;
    let rate: f64 = number(matches, "rate", 100.0)?;
    let seconds: f64 = number(matches, "duration", 10.0)?;
    let workers = number(matches, "workers", DEFAULT_WORKERS)?;
    let nodes = addresses(matches, "node")?;
    let bounds = [
        (rate > 0.0 && rate <= 1e6, "--rate must be more than 0 and at most 1000000"),
        (
            seconds > 0.0 && seconds <= 86_400.0,
            "--duration must be more than 0 and at most a day (86400)",
        ),
        (workers > 0, "--workers must be at least 1"),
        (!nodes.is_empty(), "no node given; add --node ADDRESS"),
    ];
    if let Some((_, message)) = bounds.iter().find(|(holds, _)| !holds) {
        return Err((*message).to_owned());
    }
    let ids = matches.opt_str("ids").unwrap_or_else(|| format!("load-{seed}"));
    Ok(Plan {
        name: matches.opt_str("name").unwrap_or_else(|| ids.clone()),
        mix,
        rate,
        duration: Duration::from_secs_f64(seconds),
        seed,
        ids,
        workers,
        nodes,
        leafs: addresses(matches, "leafs")?,
        echo: matches.opt_present("echo"),
    })
}

fn number<T: std::str::FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, String> {
    let Some(text) = matches.opt_str(name) else { return Ok(default) };
    text.parse().map_err(|_| format!("--{name} needs a number, not `{text}`"))
}

fn addresses(matches: &Matches, name: &str) -> Result<Vec<std::net::SocketAddr>, String> {
    let texts = matches.opt_strs(name).into_iter();
    let wrong = |text| format!("--{name} needs IP:PORT, not `{text}`");
    texts.map(|text| text.parse().map_err(|_| wrong(text))).collect()
}

fn read(file: &str) -> Result<Report, String> {
    let text = fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
    serde_json::from_str(&text)
        .map_err(|error| format!("{file}: {error}; pass a result file of an earlier run"))
}

/// Prints the table, and writes the JSON if requested.
fn print(matches: &Matches, report: &Report) -> Result<(), String> {
    let json = || serde_json::to_string_pretty(report).map_err(|error| error.to_string());
    match matches.opt_str("json").as_deref() {
        Some("-") => println!("{}", json()?),
        Some(file) => {
            fs::write(file, json()? + "\n").map_err(|error| format!("{file}: {error}"))?;
            print!("{}", Table(report));
        }
        None => print!("{}", Table(report)),
    }
    Ok(())
}
