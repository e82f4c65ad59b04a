//! Start, command line and end of the stand-ins' programs.

use std::process::ExitCode;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Error that ends a program.
pub type Error = Box<dyn std::error::Error>;

/// Runs a program with its arguments and prints the error if it fails.
#[must_use]
pub fn run(program: impl FnOnce(&[String]) -> Result<(), Error>) -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match program(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Parses the command line; `None` if it asked for help, which has then been printed.
///
/// # Errors
///
/// An invalid command line.
pub fn parse(
    usage: &str,
    mut options: getopts::Options,
    arguments: &[String],
) -> Result<Option<getopts::Matches>, Error> {
    options.optopt("", "settings", "settings in JSON with comments", "FILE");
    options.optflag("h", "help", "print this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        print!("{}", options.usage(usage));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// Any error of the operating system.
pub fn wait_for_signal() -> Result<(), Error> {
    Signals::new([SIGINT, SIGTERM])?.forever().next();
    Ok(())
}
