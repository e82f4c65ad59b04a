//! Injects random faults into a site of gateway nodes and checks invariants.
//!
//!     cargo run --release -p jacinthfall-testkit --example soak -- SECONDS SEED [NODES] [RUNS]
//!
//! Each run uses the next seed. The daemon must have been built in the same profile.

use std::env;
use std::process::ExitCode;
use std::time::Duration;

use jacinthfall_testkit::gateway::soak::{Plan, run};

fn main() -> ExitCode {
    let numbers: Vec<u64> = env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let number = |position: usize, default| numbers.get(position).copied().unwrap_or(default);
    let folder = env::current_exe().expect("a program").parent().expect("a folder").join("..");
    let program = folder.join("jacinthfalld");
    let mut violations = 0;
    for seed in number(1, 1)..number(1, 1) + number(3, 1) {
        let nodes = usize::try_from(number(2, 3)).expect("few");
        let plan = Plan { seed, duration: Duration::from_secs(number(0, 20)), nodes };
        let report = run(&program, plan);
        println!("seed {seed}: {:?} {:?}", report.statuses, report.faults);
        for violation in &report.violations {
            println!("  {violation}");
        }
        violations += report.violations.len();
    }
    if violations > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
