//! Refusals: why a request got no answer, whether it ran, and when to retry it.

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// Whether a request ran on any leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No leaf received the request, and none will, even if the request is repeated with the
    /// same id.
    NotRun,
    /// A leaf ran the request and replied.
    Ran,
    /// A leaf may have run the request, but no reply shows whether it did.
    Unknown,
}

/// Machine-readable reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request is malformed.
    BadRequest,
    /// The profile does not exist.
    UnknownProfile,
    /// The request id was already used for another query.
    IdReused,
    /// The body of the request exceeds the size limit.
    TooLarge,
    /// The deadline is in the past, too short or too long.
    BadDeadline,
    /// The node sheds load: it currently admits no more requests of the profile.
    Overloaded,
    /// The caller reached its limit on the node.
    CallerLimit,
    /// The deadline has passed or can no longer be met.
    DeadlineExceeded,
    /// Coverage stayed below the minimum of the profile.
    LowCoverage,
    /// No leaf that could serve the request is reachable.
    Unavailable,
    /// The platform's store is unreachable, so an earlier run of the request can't be ruled
    /// out.
    StoreUnavailable,
    /// The request was issued too long ago to check whether its id was already used.
    Expired,
    /// A request with the same id is in progress, or ran without a known outcome.
    OutcomeUnknown,
    /// The caller cancelled the request.
    Cancelled,
    /// The node has no configuration yet, or it is stopping.
    NotReady,
}

/// Final response to a request that gets no answer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub cause: Cause,
    /// Whether the request ran.
    pub ran: Ran,
    /// Time after which the caller may retry, in milliseconds in JSON; `None` if a retry is
    /// pointless.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Option<Duration>,
    /// Human-readable explanation that ends with the remedy.
    pub message: String,
}
