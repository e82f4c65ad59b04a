//! Messages that synchronize configuration records between nodes.

use std::sync::Arc;

use jacinthfall_core::id;
use jacinthfall_core::record::Record;
use serde::{Deserialize, Serialize};

/// Key and revision of a record that a node holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the record.
    pub key: id::Name,
    /// Revision of the record.
    pub revision: id::Revision,
}

/// A message between the configuration subsystems of nodes. Variants and fields are encoded by
/// position; where `serde` has another name, it is that of earlier releases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sends records that the receiver may not have.
    Push {
        /// Records to apply.
        records: Vec<Arc<Record>>,
    },
    /// Announces that the sender's records changed, without sending them.
    Announce {
        /// Digest of the sender's keys and revisions.
        digest: u64,
    },
    /// Asks the receiver to compare its records with those of the sender.
    Pull {
        /// Id of the pull, echoed in the reply.
        #[serde(rename = "pull")]
        id: u64,
        /// Digest of the sender's keys and revisions.
        digest: u64,
    },
    /// Replies to [`Message::Pull`].
    #[serde(rename = "Pulled")]
    PullReply {
        /// Id of the pull.
        #[serde(rename = "pull")]
        id: u64,
        /// Whether the sender has received its initial configuration.
        ready: bool,
        /// Time since the sender's records were last confirmed to be current, in
        /// milliseconds, rounded up; `None` if they never were.
        age_ms: Option<u64>,
        /// Records that the sender holds; empty if the digests match.
        #[serde(rename = "held")]
        entries: Vec<Entry>,
    },
    /// Asks for records, which the receiver sends as [`Message::Push`].
    Fetch {
        /// Keys of the records.
        keys: Vec<id::Name>,
    },
}
