//! Events of the timeline, which combines the events of all nodes.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::coverage;
use crate::id;
use crate::refusal::{Cause, Ran};

/// Kind of an event, with its details.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A request arrived at the node.
    Arrived {
        /// Profile of the request.
        profile: id::Name,
    },
    /// The first attempt of a part was sent to a leaf.
    Sent {
        /// Number of the attempt; see [`id::Attempt::counter`].
        attempt: u64,
        /// Name of the leaf.
        leaf: id::Name,
        /// Number of the shard.
        shard: id::Shard,
    },
    /// A hedged request was sent.
    Hedged {
        /// Number of the attempt; see [`id::Attempt::counter`].
        attempt: u64,
        /// Name of the leaf.
        leaf: id::Name,
        /// Number of the shard.
        shard: id::Shard,
    },
    /// A part was retried after a failed attempt.
    Retried {
        /// Number of the attempt; see [`id::Attempt::counter`].
        attempt: u64,
        /// Name of the leaf.
        leaf: id::Name,
        /// Number of the shard.
        shard: id::Shard,
    },
    /// An attempt was cancelled.
    Cancelled {
        /// Number of the attempt; see [`id::Attempt::counter`].
        attempt: u64,
    },
    /// The reply of a leaf was accepted.
    Replied {
        /// Number of the attempt; see [`id::Attempt::counter`].
        attempt: u64,
        /// Name of the leaf.
        leaf: id::Name,
        /// Number of the shard.
        shard: id::Shard,
        /// Index version of the reply.
        version: id::Version,
    },
    /// An attempt failed.
    Failed {
        /// Number of the attempt; see [`id::Attempt::counter`].
        attempt: u64,
        /// Name of the leaf.
        leaf: id::Name,
        /// Number of the shard.
        shard: id::Shard,
        /// Reason for the failure.
        cause: coverage::Cause,
    },
    /// A reply was dropped because it matches no attempt in flight.
    Dropped {
        /// Name of the leaf.
        leaf: id::Name,
    },
    /// The query switched to another index version.
    Moved {
        /// Previous version.
        from: id::Version,
        /// New version.
        to: id::Version,
    },
    /// The claim of the request was written to the store and then seen there, so that the
    /// request may be sent.
    Claimed,
    /// The store holds a claim of the request by another attempt.
    ClaimLost,
    /// The request ended.
    Ended {
        /// Whether the request ran.
        ran: Ran,
        /// Reason for the refusal, if it was refused.
        refused: Option<Cause>,
    },
    /// A configuration record took effect.
    Applied {
        /// Key of the record.
        key: id::Name,
        /// Revision of the record.
        revision: id::Revision,
    },
    /// A peer or leaf changed its state.
    State {
        /// Name of the peer or leaf.
        who: id::Name,
        /// New state.
        state: Arc<str>,
    },
}

/// An event of the timeline, without its timestamp.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Request that the event belongs to, if any.
    pub request: Option<id::Request>,
    /// Kind of the event.
    pub kind: Kind,
}
