//! Messages of the path `/control`, which changes leafs at run time.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_core::id;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::leaf::fault::Kind;
use crate::leaf::settings::{ColdStart, Delay, Held, LoadReport};

/// A change of leafs; fields that are left out leave their setting unchanged.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// Name of the leaf to change; every leaf of the process if left out.
    pub leaf: Option<id::Name>,
    /// Versions served from now on.
    pub versions: Option<Vec<id::Version>>,
    /// Shards held, by version.
    pub held: Option<Vec<Held>>,
    /// Whether a query may name the version to serve.
    pub named_versions: Option<bool>,
    /// Whether the leaf is draining.
    pub draining: Option<bool>,
    /// Time from the start of draining until parts are refused, in milliseconds.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "drain_grace_ms")]
    pub drain_grace: Option<Duration>,
    /// Time from now before which no part that starts from now on ends, in milliseconds.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "stall_ms")]
    pub stall: Option<Duration>,
    /// Fault to inject into the next replies.
    pub fault: Option<Kind>,
    /// Number of replies that the fault affects; 1 if left out.
    pub count: Option<u32>,
    /// Delay of late replies, in milliseconds.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "late_ms")]
    pub late: Option<Duration>,
    /// Time to serve a part.
    pub service_time: Option<Delay>,
    /// Sets the slowdown after a cold start, and begins a cold start.
    pub cold_start: Option<ColdStart>,
    /// Number of parts served concurrently.
    pub slots: Option<u32>,
    /// Number of parts that may wait for a slot; the leaf refuses more.
    pub queue: Option<usize>,
    /// How the leaf reports its load.
    pub load: Option<LoadReport>,
    /// Whether the leaf refuses an idempotent part past its deadline.
    pub deadlines: Option<bool>,
    /// Has no effect; names the intent of a request that only reads the counters, which every
    /// reply carries.
    pub counters: bool,
    /// Whether the reply also holds the runs of each request.
    pub runs: bool,
}

/// Reply to a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// State of each leaf that was changed.
    pub leafs: Vec<Leaf>,
}

/// State of one leaf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaf {
    /// Name.
    pub name: id::Name,
    /// Counters.
    pub counters: Counters,
    /// Runs of each request that is not idempotent, if asked for.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub runs: BTreeMap<id::Request, u64>,
}

/// Counters of a leaf since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed at once because of the limit.
    pub connections_refused: u64,
    /// Parts received, including refused ones.
    pub received: u64,
    /// Parts that started to run.
    pub started: u64,
    /// Parts that ran to their end.
    pub served: u64,
    /// Parts shed for lack of capacity.
    pub overloaded: u64,
    /// Parts refused while leaving.
    pub leaving: u64,
    /// Parts refused because their version is not served.
    pub version: u64,
    /// Parts refused because their shard is not held.
    pub shard: u64,
    /// Parts refused because they had expired.
    pub expired: u64,
    /// Parts cancelled while they waited.
    pub cancelled_queued: u64,
    /// Parts cancelled while they ran.
    pub cancelled_running: u64,
    /// Replies that a fault affected.
    pub faults: u64,
    /// Parts received since draining began.
    pub received_draining: u64,
    /// Time from the start of draining to the last part received, in milliseconds.
    pub last_draining_ms: u64,
    /// Slots in use.
    pub busy: u64,
    /// Parts that wait for a slot.
    pub queued: u64,
}
