//! Injects random faults into a site under load and checks invariants throughout.
//!
//! `cargo run --release -p jacinthfall-testkit --example trial [SECONDS [SEED]]`
//!
//! Exits with 1 and prints the seed if an invariant was violated.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use jacinthfall_testkit::trial::{self, Settings};

/// Default duration, in seconds.
const SECONDS: u64 = 60;

/// Default seed.
const SEED: u64 = 1;

fn main() -> ExitCode {
    let mut numbers = std::env::args().skip(1).filter_map(|number| number.parse().ok());
    let seconds = numbers.next().unwrap_or(SECONDS);
    let seed = numbers.next().unwrap_or(SEED);
    let program = std::env::current_exe().expect("a running program");
    let programs = program.parent().and_then(Path::parent).expect("examples lie beside programs");
    let duration = Duration::from_secs(seconds);
    let report = trial::run(&Settings { programs: programs.into(), seed, duration });
    println!("{:#?}", report.tally);
    println!("{:#?}", report.faults);
    if report.violations.is_empty() {
        println!("no violation in {seconds} s with seed {seed}");
        return ExitCode::SUCCESS;
    }
    println!("seed {seed}: {:#?}", report.violations);
    ExitCode::FAILURE
}
