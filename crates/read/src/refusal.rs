//! Construction of refusals, with cause, whether the request ran, retry delay and
//! remedy.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use jacinthfall_core::coverage::{self, Missed};
use jacinthfall_core::refusal::{Cause, Ran, Refusal};

use crate::query::Query;

/// Retry delay after leafs failed or were slow.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refusal of a request that was not sent to any leaf.
pub(crate) fn before_dispatch(
    cause: Cause,
    retry_after: Option<Duration>,
    message: impl Into<String>,
) -> Refusal {
    Refusal { cause, ran: Ran::NotRun, retry_after, message: message.into() }
}

/// Refusal of a query whose coverage is below the profile's minimum.
pub(crate) fn low_coverage(query: &Query) -> Refusal {
    let coverage = query.coverage();
    let cause = refusal_cause(query, &coverage.missed);
    let mut message = format!(
        "{} of {} shards answered, profile `{}` requires a share of {}; missing {}",
        coverage.answered,
        coverage.total,
        query.profile.name,
        query.profile.least_coverage,
        format_missed(&coverage.missed),
    );
    message.push_str(remedy(cause));
    Refusal { cause, ran: query.ran(), retry_after: Some(RETRY_AFTER), message }
}

/// Refusal of a non-idempotent request that may have run but whose outcome is unknown.
pub(crate) fn unknown_outcome(query: &Query) -> Refusal {
    assert!(query.is_dispatched(), "invariant: only a dispatched request has an unknown outcome");
    Refusal {
        cause: Cause::OutcomeUnknown,
        ran: query.ran(),
        retry_after: None,
        message: "the request may have run and was not retried; \
                  check whether it took effect before sending it again"
            .to_owned(),
    }
}

/// Refusal of a query whose caller disconnected.
pub(crate) fn cancelled(query: &Query) -> Refusal {
    Refusal {
        cause: Cause::Cancelled,
        ran: query.ran(),
        retry_after: Some(Duration::ZERO),
        message: "the caller disconnected before the answer; retry".to_owned(),
    }
}

fn refusal_cause(query: &Query, missed: &[Missed]) -> Cause {
    if query.answered > 0 {
        return Cause::LowCoverage;
    }
    let decisive = missed.iter().filter(|miss| miss.cause != coverage::Cause::GivenUp);
    let all_in =
        |causes: &[coverage::Cause]| decisive.clone().all(|miss| causes.contains(&miss.cause));
    if all_in(&[coverage::Cause::Timeout]) {
        return Cause::DeadlineExceeded;
    }
    if all_in(&[coverage::Cause::Overloaded]) {
        return Cause::Overloaded;
    }
    let unavailable = [
        coverage::Cause::Unreachable,
        coverage::Cause::Leaving,
        coverage::Cause::NoReplica,
        coverage::Cause::VersionUnavailable,
    ];
    if all_in(&unavailable) { Cause::Unavailable } else { Cause::LowCoverage }
}

fn remedy(cause: Cause) -> &'static str {
    match cause {
        Cause::Overloaded => "; retry later or send fewer requests",
        Cause::DeadlineExceeded => "; retry later or with a longer deadline",
        Cause::Unavailable => "; retry when the leafs in the partition map are available again",
        _ => "; retry later or lower the minimum coverage in the profile",
    }
}

/// Formats missed shards by cause as ranges, for example `Timeout: 0-3, 7`.
fn format_missed(missed: &[Missed]) -> String {
    let mut by_cause: BTreeMap<coverage::Cause, Vec<u32>> = BTreeMap::new();
    for miss in missed {
        by_cause.entry(miss.cause).or_default().push(miss.shard.0);
    }
    let mut text = String::new();
    for (cause, shards) in by_cause {
        let separator = if text.is_empty() { "" } else { "; " };
        write!(text, "{separator}{cause:?}: {}", format_ranges(&shards))
            .expect("writing to a string cannot fail");
    }
    text
}

fn format_ranges(shards: &[u32]) -> String {
    let mut text = String::new();
    let mut rest = shards;
    while let Some((&first, _)) = rest.split_first() {
        let run = rest.iter().zip(first..).take_while(|(shard, next)| **shard == *next).count();
        let separator = if text.is_empty() { "" } else { ", " };
        let last = rest[run - 1];
        let item = if run == 1 { format!("{first}") } else { format!("{first}-{last}") };
        text.push_str(separator);
        text.push_str(&item);
        rest = &rest[run..];
    }
    text
}
