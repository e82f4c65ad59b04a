//! Messages that ask nodes which configuration they have in effect.

use jacinthfall_core::id;
use serde::{Deserialize, Serialize};

/// A question about the configuration of a node, or the reply to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the revision of a record.
    Find {
        /// Token of the question, echoed in the reply.
        token: id::Token,
        /// Key of the record.
        key: id::Name,
    },
    /// Replies to [`Message::Find`].
    Found {
        /// Token of the question.
        token: id::Token,
        /// Revision in effect, if the node has the record.
        revision: Option<id::Revision>,
        /// Time since the configuration was last confirmed to be current, in milliseconds.
        unconfirmed: u64,
    },
}
