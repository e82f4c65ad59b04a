//! A leaf's registration in the store.

use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::id;
use serde::{Deserialize, Serialize};

/// Whether a leaf accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The leaf accepts new requests.
    Ready,
    /// The leaf completes its requests and accepts no new ones.
    Draining,
}

/// Position of an entry in the history of its leaf; later entries compare greater.
///
/// A leaf that restarts keeps its id, takes a new `born` and restarts `sequence`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Age {
    /// Start of the leaf process, in milliseconds since the Unix epoch; 0 if not reported.
    pub born: u64,
    /// Number of the leaf's report since that start.
    pub sequence: u64,
}

/// Registration that a leaf writes to the store.
///
/// A leaf is a backend server that serves one shard, as an instance of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Service that the leaf is an instance of.
    pub service: id::Name,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Time for which it is still slow after its start, as of this entry.
    pub warmup: Duration,
    /// Position in the leaf's history.
    pub age: Age,
}
