//! Formats times, durations, counts, shards, coverage and causes for people.

use std::time::Duration;

use jacinthfall_core::coverage::{self, Coverage};
use jacinthfall_core::id::Shard;
use jacinthfall_core::refusal::{Cause, Ran};
use jacinthfall_core::time::Wall;

const MILLIS_PER_DAY: u64 = 86_400_000;

/// Formats a wall clock time in UTC, with milliseconds.
///
/// ```
/// use jacinthfall::ops::text;
/// use jacinthfall_core::time::Wall;
/// assert_eq!(text::time(Wall(1_764_795_600_123)), "2025-12-03 21:00:00.123 UTC");
/// ```
#[must_use]
pub fn time(wall: Wall) -> String {
    let (year, month, day) = date(wall.0 / MILLIS_PER_DAY);
    format!("{year:04}-{month:02}-{day:02} {} UTC", clock(wall))
}

/// Formats the time of day in UTC, with milliseconds.
///
/// ```
/// use jacinthfall::ops::text;
/// use jacinthfall_core::time::Wall;
/// assert_eq!(text::clock(Wall(61_001)), "00:01:01.001");
/// ```
#[must_use]
pub fn clock(wall: Wall) -> String {
    let millis = wall.0 % MILLIS_PER_DAY;
    let seconds = millis / 1_000;
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{hour:02}:{minute:02}:{second:02}.{:03}", millis % 1_000)
}

/// Converts days since the Unix epoch to year, month and day in the Gregorian calendar.
///
/// The calculation lets years begin in March, so that a leap day is the last day of its year.
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    (year_of_era + era * 400 + u64::from(month <= 2), month, day)
}

/// Formats a duration, in milliseconds below 10 s and in seconds from there on.
///
/// ```
/// use jacinthfall::ops::text;
/// use std::time::Duration;
/// assert_eq!(text::duration(Duration::from_micros(212)), "0.2 ms");
/// assert_eq!(text::duration(Duration::from_secs(90)), "90.0 s");
/// ```
#[must_use]
pub fn duration(duration: Duration) -> String {
    if duration < Duration::from_secs(10) {
        return format!("{:.1} ms", duration.as_secs_f64() * 1_000.0);
    }
    format!("{:.1} s", duration.as_secs_f64())
}

/// Formats a count with its noun, in the plural unless the count is 1.
///
/// ```
/// assert_eq!(jacinthfall::ops::text::count(2, "shard"), "2 shards");
/// ```
#[must_use]
pub fn count(count: usize, noun: &str) -> String {
    let ending = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{ending}")
}

/// Formats shards, which must be sorted, as ranges.
///
/// ```
/// use jacinthfall_core::id::Shard;
/// let shards = [Shard(0), Shard(1), Shard(2), Shard(9)];
/// assert_eq!(jacinthfall::ops::text::shards(&shards), "0-2, 9");
/// ```
#[must_use]
pub fn shards(shards: &[Shard]) -> String {
    let runs = shards.chunk_by(|left, right| left.0.checked_add(1) == Some(right.0));
    let runs = runs.map(|run| match run {
        [one] => one.to_string(),
        [first, .., last] => format!("{first}-{last}"),
        [] => String::new(),
    });
    runs.collect::<Vec<String>>().join(", ")
}

/// Formats coverage: a summary line, and one line for each cause of missed shards.
#[must_use]
pub fn coverage(coverage: &Coverage) -> Vec<String> {
    if coverage.is_full() {
        return vec![format!(
            "The answer is complete: {} of {0} shards are in it.",
            coverage.total
        )];
    }
    let percent = 100.0 * coverage.share();
    let missed = count(coverage.missed.len(), "shard");
    let mut lines = vec![format!(
        "The answer is partial: {} of {} shards are in it ({percent:.1}%), {missed} missing:",
        coverage.answered, coverage.total
    )];
    let mut causes: Vec<coverage::Cause> = coverage.missed.iter().map(|m| m.cause).collect();
    causes.sort_unstable();
    causes.dedup();
    for cause in causes {
        let of_cause = coverage.missed.iter().filter(|missed| missed.cause == cause);
        let list: Vec<Shard> = of_cause.map(|missed| missed.shard).collect();
        let noun = if list.len() == 1 { "shard" } else { "shards" };
        lines.push(format!("  {noun} {}: {}.", shards(&list), missed_because(cause)));
    }
    lines
}

/// Describes why a shard is missing.
#[must_use]
pub const fn missed_because(cause: coverage::Cause) -> &'static str {
    match cause {
        coverage::Cause::Timeout => "no replica replied before the deadline",
        coverage::Cause::Unreachable => "every replica refused or closed the connection",
        coverage::Cause::Overloaded => "every replica was overloaded",
        coverage::Cause::Leaving => "every replica was leaving",
        coverage::Cause::VersionUnavailable => "no replica could serve this index version",
        coverage::Cause::BadReply => "the replies were truncated or malformed",
        coverage::Cause::NoReplica => "the partition map names no replica",
        coverage::Cause::AnsweredEarly => {
            "it was too slow: enough other shards had answered and the profile does not wait longer"
        }
        coverage::Cause::Cancelled => "the caller cancelled the request",
        coverage::Cause::RelayLost => "the node that relayed the part was lost",
        coverage::Cause::GivenUp => "the query was refused before the shard replied",
    }
}

/// Describes why one attempt at a leaf failed.
#[must_use]
pub const fn failed_because(cause: coverage::Cause) -> &'static str {
    match cause {
        coverage::Cause::Timeout => "it did not reply in time",
        coverage::Cause::Unreachable => "it refused or closed the connection",
        coverage::Cause::Overloaded => "it was overloaded",
        coverage::Cause::Leaving => "it is leaving",
        coverage::Cause::VersionUnavailable => "it can't serve this index version",
        coverage::Cause::BadReply => "its reply was truncated or malformed",
        coverage::Cause::NoReplica => "it does not hold the shard",
        coverage::Cause::AnsweredEarly => "the answer was given without it",
        coverage::Cause::Cancelled => "it was cancelled",
        coverage::Cause::RelayLost => "the node that relayed the part was lost",
        coverage::Cause::GivenUp => "the query was refused before it replied",
    }
}

/// Describes why a request was refused.
#[must_use]
pub const fn refused_because(cause: Cause) -> &'static str {
    match cause {
        Cause::BadRequest => "the request was malformed",
        Cause::UnknownProfile => "no profile of that name was in force",
        Cause::IdReused => "its id had been used before for another query",
        Cause::TooLarge => "its body was larger than allowed",
        Cause::BadDeadline => "its deadline had passed, or was too short or too long",
        Cause::Overloaded => "the node was at its limit of work for this profile",
        Cause::CallerLimit => "the caller had used up its share of the node",
        Cause::DeadlineExceeded => "its deadline could not be met",
        Cause::LowCoverage => "fewer shards answered than the profile requires",
        Cause::Unavailable => "no leaf that could serve it was reachable",
        Cause::StoreUnavailable => {
            "the platform's store was not reachable, so an earlier run could not be ruled out"
        }
        Cause::Expired => "its id is older than the time for which runs are remembered",
        Cause::OutcomeUnknown => {
            "a request with the same id was in progress, or an earlier run recorded no outcome"
        }
        Cause::Cancelled => "the caller cancelled it",
        Cause::NotReady => "the node had no configuration yet or was stopping",
    }
}

/// Describes whether a request ran.
#[must_use]
pub const fn ran(ran: Ran) -> &'static str {
    match ran {
        Ran::NotRun => "It did not run: no leaf was given it, and none will be.",
        Ran::Ran => "It ran.",
        Ran::Unknown => {
            "It may have run: it may have been given to a leaf, and no reply proves either."
        }
    }
}
