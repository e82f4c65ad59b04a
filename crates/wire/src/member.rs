//! Messages of the membership protocol: probes, gossip and anti-entropy.

use jacinthfall_core::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a node in the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The node replies to probes.
    Alive,
    /// The node missed probes. It can still refute the suspicion.
    Suspect,
    /// The node is stopping and accepts no new callers.
    Leaving,
    /// The node has failed or stopped.
    Dead,
}

/// Membership information about one node, which nodes gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// Incarnation of the node that the rumor is about.
    pub node: id::Incarnation,
    /// Sequence number that the node increments to refute a suspicion of this incarnation.
    pub sequence: u32,
    /// State of the node.
    pub state: State,
    /// Availability zone that the node runs in.
    pub zone: id::Name,
    /// Address on which the node accepts peers.
    pub peer_address: SocketAddr,
    /// Address on which the node accepts callers.
    pub caller_address: SocketAddr,
}

/// A rumor, with the age of the state that it reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Rumor about the node.
    pub rumor: Rumor,
    /// Time since the node entered the state, as far as the sender knows, in milliseconds.
    pub age_ms: u64,
}

/// A message of the membership protocol. Variants and fields are encoded by position; where
/// `serde` has another name, it is that of earlier releases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Probes whether the receiver is alive.
    Ping {
        /// Id of the probe, echoed in the reply.
        probe: u64,
        /// Rumors piggybacked on the message.
        rumors: Vec<Rumor>,
    },
    /// Replies to a ping.
    Ack {
        /// Id of the probe.
        probe: u64,
        /// Rumors piggybacked on the message.
        rumors: Vec<Rumor>,
    },
    /// Asks the receiver to ping a third node, which did not reply to the sender.
    #[serde(rename = "Indirect")]
    IndirectPing {
        /// Id of the probe, echoed in the reply.
        probe: u64,
        /// Name of the third node.
        node: id::Name,
        /// Address on which the third node accepts peers.
        address: SocketAddr,
    },
    /// Replies to [`Message::IndirectPing`]: the third node is alive.
    #[serde(rename = "Reached")]
    IndirectAck {
        /// Id of the probe.
        probe: u64,
        /// Name of the third node.
        node: id::Name,
    },
    /// Sends rumors; it needs no reply.
    Gossip {
        /// Rumors to merge.
        rumors: Vec<Rumor>,
    },
    /// Sends a digest of the sender's membership. The receiver replies with
    /// [`Message::Diff`] if its own digest differs, and does not reply otherwise.
    Digest {
        /// Hash of each bucket of the sender's membership.
        buckets: Vec<u64>,
    },
    /// Replies to [`Message::Digest`] with the buckets that differ.
    #[serde(rename = "Differ")]
    Diff {
        /// Number of buckets in the digest.
        count: u32,
        /// Indexes of the buckets that differ.
        buckets: Vec<u32>,
        /// The sender's rumors about the nodes in these buckets.
        #[serde(rename = "known")]
        observations: Vec<Observation>,
    },
    /// Replies to [`Message::Diff`].
    Sync {
        /// The sender's rumors about the nodes in the buckets that differ.
        #[serde(rename = "known")]
        observations: Vec<Observation>,
    },
}
