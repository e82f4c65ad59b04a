//! Messages between a node and a leaf, carried as JSON over HTTP/2.

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use std::sync::Arc;
use std::time::Duration;

use crate::query::Row;
use crate::{id, query};

/// One attempt of a part: the sub-request for one shard, as sent to one leaf.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Id of the attempt, echoed in the reply.
    pub attempt: id::Attempt,
    /// Id of the caller's request.
    pub request: id::Request,
    /// Service that the shard belongs to.
    pub service: id::Name,
    /// Shard to query.
    pub shard: id::Shard,
    /// Index version to serve; `None` lets the leaf choose one and report it.
    pub version: Option<id::Version>,
    /// Time left until the deadline when the part was sent, in microseconds in JSON.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "budget_us")]
    pub budget: Duration,
    /// Wall clock time after which the leaf must not run the part.
    pub expires: crate::time::Wall,
    /// Whether the leaf may run the part more than once.
    pub idempotent: bool,
    /// Query of the caller.
    pub query: query::Query,
}

/// Load that a leaf reports about itself. It may be out of date or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of slots in use.
    pub busy: u32,
    /// Number of parts that wait for a slot.
    pub queued: u32,
}

/// Reply of a leaf: the rows of one shard in one index version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Attempt that this is the reply to.
    pub attempt: id::Attempt,
    /// Request that this is the reply to.
    pub request: id::Request,
    /// Shard that the rows come from.
    pub shard: id::Shard,
    /// Index version that the rows come from.
    pub version: id::Version,
    /// Number of rows, used to detect truncation.
    pub count: u32,
    /// The rows.
    pub rows: Vec<Row>,
    /// Current load of the leaf.
    #[serde(default)]
    pub load: Load,
    /// Whether the leaf is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Refusal by a leaf, which did not run the part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The leaf shed the part because it is overloaded.
    Overloaded,
    /// The leaf is leaving or draining.
    Leaving,
    /// The leaf can't serve the requested index version.
    Version {
        /// Versions that the leaf can serve, in ascending order.
        available: Vec<id::Version>,
    },
    /// The leaf does not hold the shard in the requested version.
    Shard,
    /// The part arrived after it had expired.
    Expired,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The leaf replied.
    Replied(Reply),
    /// The leaf refused the part and did not run it.
    Refused(Refusal),
    /// No connection was available; nothing was sent.
    Unsent {
        /// Description of the error, for the log.
        message: Arc<str>,
    },
    /// The connection or stream failed after the part was sent; it may have run.
    Broken {
        /// Description of the error, for the log.
        message: Arc<str>,
    },
    /// The reply was truncated or malformed; the part may have run.
    Malformed {
        /// Description of the error, for the log.
        message: Arc<str>,
    },
}
