//! What a request is told and what it decides.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use jacinthfall_core::time::Time;

use crate::fleet::Key;

/// A leaf's response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers that concern the whole way.
    pub headers: HeaderMap,
    /// Proof that the leaf ran the request.
    pub receipt: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
}

/// How a send ended.
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
    /// No usable response came; the request may have run.
    Unknown,
}

/// What has to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the request to a leaf.
    Send {
        /// Number of the part.
        part: usize,
        /// The leaf.
        leaf: Key,
    },
    /// Answer the caller; sends that are still open no longer matter.
    Finish(Answer),
}

/// The answer to a caller.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A leaf's response as it is.
    Forward(Reply),
    /// Merged records of several shards.
    Merged {
        /// Receipts of the parts that are in.
        receipts: Vec<HeaderValue>,
        /// Shards that are left out.
        missing: usize,
        /// Records.
        body: Bytes,
    },
    /// The request has not run and never will.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
    /// The request may have run and has no answer.
    Failed(StatusCode),
}

/// How long a caller waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// When it stops waiting.
    pub deadline: Time,
    /// Time that it had spent on earlier attempts when this one arrived.
    pub spent: Duration,
}
