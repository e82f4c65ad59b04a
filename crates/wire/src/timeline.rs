//! Messages that collect the timeline from all nodes.

use jacinthfall_core::event::Event;
use jacinthfall_core::id;
use serde::{Deserialize, Serialize};

use crate::Stamp;

/// An event, with the node that recorded it and the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When the event was recorded, in causal order across all nodes.
    pub stamp: Stamp,
    /// Node that recorded the event.
    pub node: id::Incarnation,
    /// The recorded event.
    pub event: Event,
}

/// Selects events of the timeline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Only events of this request.
    pub request: Option<id::Request>,
    /// Only events of this node.
    pub node: Option<id::Name>,
    /// Only events at or after this wall clock time, in milliseconds since the Unix epoch.
    pub after: Option<u64>,
    /// Only events before this wall clock time, in milliseconds since the Unix epoch.
    pub before: Option<u64>,
    /// Maximum number of events to return; the newest ones are selected.
    pub limit: u32,
}

/// A message between the timeline subsystems of nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for events.
    Find {
        /// Token of the question, echoed in the reply.
        token: id::Token,
        /// Which events to return.
        filter: Filter,
    },
    /// Replies to [`Message::Find`].
    Found {
        /// Token of the question.
        token: id::Token,
        /// Matching events, in order of their timestamps.
        entries: Vec<Entry>,
    },
}
