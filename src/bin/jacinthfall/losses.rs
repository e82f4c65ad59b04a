//! `jacinthfall losses`.

use std::fs::File;
use std::io::{self, BufReader};

use jacinthfall::ops::explain::for_each_line;
use jacinthfall::ops::losses::{Losses, render};
use jacinthfall::ops::{Error, Outcome};

use crate::options::{Command, Failure};

const BRIEF: &str = "\
Tells from the logs of any number of gateway nodes where service was lost: for each
stretch of time and route the requests that were late, refused, failed or lack shards,
by cause, and the shards that were missing most often. Reads standard input if no
file is given. Nodes log a sample of such requests; COUNTED and LOST hold all of them,
NO LINE those without a line of their own. Unreadable lines are skipped and counted.

Example:
    jacinthfall losses node-1.log node-2.log --stretch-s 10";

/// Default length of a stretch of time, in seconds. Nodes count requests over as long.
const DEFAULT_STRETCH_S: u32 = 5;

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let text = "length of a stretch of time, in s (default 5)";
    let command = Command::new("losses [FILE...]", BRIEF).option("stretch-s", text, "N");
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    let stretch: u32 = arguments.number("stretch-s")?.unwrap_or(DEFAULT_STRETCH_S);
    let mut losses = Losses::open(i64::from(stretch) * 1_000);
    let unreadable = read(arguments.all_operands(), &mut losses)?;
    let report = losses.report(unreadable);
    arguments.print(&report, || render(&report));
    Ok(Outcome::Done)
}

/// Reads the given logs, or standard input if there are none. Returns the number of lines that
/// could not be parsed.
fn read(files: &[String], losses: &mut Losses) -> Result<u64, Failure> {
    if files.is_empty() {
        let failed = |source| Error::File { file: "standard input".into(), source };
        let log = io::stdin().lock();
        let add = |node: &str, line| losses.add(node, line);
        return Ok(for_each_line("standard input", log, add).map_err(failed)?);
    }
    let mut unreadable = 0;
    for file in files {
        let failed = |source| Error::File { file: file.into(), source };
        let log = BufReader::new(File::open(file).map_err(failed)?);
        unreadable +=
            for_each_line(file, log, |node, line| losses.add(node, line)).map_err(failed)?;
    }
    Ok(unreadable)
}
