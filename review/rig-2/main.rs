//! Program of the scripts of the second review: `review-rig-2 CASE RECORD`.
//!
//! It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod leave;
mod rig;
mod silent;

use std::panic::catch_unwind;
use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file] = &arguments[..] else {
        eprintln!("usage: review-rig-2 CASE RECORD");
        std::process::exit(rig::CANT_RUN);
    };
    let run = match case.as_str() {
        "leave" => leave::run,
        "silent" => silent::run,
        _ => {
            eprintln!("review-rig-2: there is no case {case}");
            std::process::exit(rig::CANT_RUN);
        }
    };
    rig::now();
    // All processes that the case has started end when it returns or panics.
    let code = catch_unwind(run).unwrap_or(rig::CANT_RUN);
    rig::record(format!("exit code {code}"));
    rig::write_record(Path::new(file));
    std::process::exit(code);
}
