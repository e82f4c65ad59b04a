//! Inputs and outputs of the decisions on a request.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use jacinthfall_core::time::Time;

use crate::fleet::Key;

/// A leaf's response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Proof that the leaf ran the request, from the leaf's response header.
    pub receipt: Option<HeaderValue>,
    /// Response body.
    pub body: Bytes,
}

/// How a send of a part ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The leaf answered with success.
    Success(Reply),
    /// The leaf ran the request and failed.
    Failure(Reply),
    /// The leaf did not run the request.
    NotRun,
    /// Nothing reached the leaf.
    Unsent,
    /// No usable response arrived; the request may have run.
    Unknown,
}

/// An action that the caller of [`Flight`](super::Flight) has to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a part to a leaf.
    Send {
        /// Index of the part.
        part: usize,
        /// Leaf to send it to.
        leaf: Key,
    },
    /// Answer the caller; sends that are still in flight no longer matter.
    Finish(Answer),
}

/// The answer to a caller.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Forward a leaf's response unchanged.
    Forward(Reply),
    /// Send the merged records of several shards.
    Merged {
        /// Receipts of the answered parts.
        receipts: Vec<HeaderValue>,
        /// Number of shards that are missing from the result.
        missing: usize,
        /// Merged records.
        body: Bytes,
    },
    /// The request hasn't run and won't run. Sends that are still in flight must be cancelled; none
    /// of them has written anything.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The request may have run, but there is no usable response.
    Failed(StatusCode),
}

/// Deadline of a request, and the times that count against its objective besides the processing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Time that another node had the request before it passed it on to this one.
    pub elapsed: Duration,
    /// Time that a message takes to the caller and back.
    pub round_trip: Duration,
    /// Time by which this node may act later than it wants to, because it is busy.
    pub lag: Duration,
}

impl Timing {
    /// Returns the time that is lost between caller and node: for the request and the answer to
    /// arrive, and for this node to take notice of the one and to send the other.
    #[must_use]
    pub fn transport(&self) -> Duration {
        self.round_trip + 2 * self.lag
    }
}
