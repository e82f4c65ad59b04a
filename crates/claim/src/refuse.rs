//! Refusals of the claim path. Each says whether the request ran.
//!
//! Only the holder of a claim that never dispatched may report
//! [`Ran::NotRun`]. Every other refusal reports [`Ran::Unknown`], because an ask
//! with the same id may be in progress at another node.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::query::Outcome;
use jacinthfall_core::refusal::{Cause, Ran, Refusal};

/// Delay before a retry for a run that is in progress or has no recorded outcome.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_secs(1);

/// Shortest delay before a retry, at another node or when the store is slow.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

fn unknown(cause: Cause, retry_after: Option<Duration>, message: &str) -> Outcome {
    let message = message.to_owned();
    Outcome::Refused(Refusal { cause, ran: Ran::Unknown, retry_after, message })
}

/// The node is stopping.
pub fn stopping() -> Outcome {
    let message = "this node is stopping and did not dispatch this request, but an earlier \
                   submission may have run; retry with the same id at another node";
    unknown(Cause::NotReady, Some(MIN_RETRY_AFTER), message)
}

/// The issue time is further in the future than clocks may differ.
pub fn issued_in_future() -> Outcome {
    let message = "the issue time is in the future and nothing was dispatched; \
                   correct the clock of the caller";
    unknown(Cause::BadRequest, None, message)
}

/// The id was issued longer ago than ids are remembered.
pub fn expired() -> Outcome {
    let message = "the request id has expired: an earlier submission may have run, and none will \
                   run from now on; check for its effect before issuing a new request";
    unknown(Cause::Expired, None, message)
}

/// The id was already used with another query or issue time.
pub fn id_reused() -> Outcome {
    let message = "the id was already used with another query or issue time, so this request was \
                   not dispatched; choose a new id";
    unknown(Cause::IdReused, None, message)
}

/// Another attempt holds the claim and has recorded no outcome.
pub fn claimed_elsewhere(attempt: &id::Attempt) -> Outcome {
    let message = format!(
        "attempt {attempt} holds the claim of this id without a recorded outcome, and may have \
         run; retry with the same id to get its outcome"
    );
    unknown(Cause::OutcomeUnknown, Some(RETRY_AFTER_UNKNOWN), &message)
}

/// The deadline was reached after the dispatch and before a reply.
pub fn no_reply() -> Outcome {
    let message = "the request was dispatched, but no reply arrived in time, so it may have run; \
                   retry with the same id to get its outcome";
    unknown(Cause::OutcomeUnknown, Some(RETRY_AFTER_UNKNOWN), message)
}

/// The claim was confirmed only after the deadline.
pub fn deadline_passed() -> Outcome {
    let message = "the claim was confirmed after the deadline and nothing was dispatched, but an \
                   earlier submission may have run; retry with the same id";
    unknown(Cause::DeadlineExceeded, Some(MIN_RETRY_AFTER), message)
}

/// The ask may have arrived before an attempt ended without a run.
pub fn order_unknown(wait: Duration) -> Outcome {
    let message = "an attempt with this id ended without a run, possibly after this ask arrived, so \
                   nothing was dispatched; retry with the same id after the stated time";
    unknown(Cause::OutcomeUnknown, Some(wait), message)
}

/// No claim was confirmed by the store in time.
pub fn store_unavailable(wait: Duration) -> Outcome {
    let message = "the store did not confirm a claim in time and nothing was dispatched, but an \
                   earlier submission may have run; retry with the same id after the stated time";
    unknown(Cause::StoreUnavailable, Some(wait.max(MIN_RETRY_AFTER)), message)
}

/// The bucket is too large to take another claim.
pub fn bucket_full(wait: Duration) -> Outcome {
    let message = "the claim bucket of this id is full and nothing was dispatched; \
                   retry with the same id after the stated time";
    unknown(Cause::Overloaded, Some(wait.max(MIN_RETRY_AFTER)), message)
}

/// This node held the claim and never dispatched the request. Every node accepts
/// the id again after twice the `skew`, when the release is in the past by any
/// clock.
pub fn not_run(outcome: &Outcome, skew: Duration) -> Outcome {
    let (cause, reason) = match outcome {
        Outcome::Refused(refusal) => (refusal.cause, &*refusal.message),
        Outcome::Answered(_) => unreachable!("an answer proves that the request ran"),
    };
    let message = format!(
        "{reason}; the request was not run: issue it under a new id immediately, or retry with \
         the same id after the stated time"
    );
    let retry_after = Some(skew * 2 + RETRY_AFTER_UNKNOWN);
    Outcome::Refused(Refusal { cause, ran: Ran::NotRun, retry_after, message })
}
