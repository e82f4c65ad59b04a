//! Messages of the path `/control`, which switches faults of the store on and off.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A change of the stand-in; fields that are left out leave their setting unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// Whether the store refuses every call with status 503.
    pub outage: Option<bool>,
    /// Whether new calls and waiting watches never get a response.
    pub silent: Option<bool>,
    /// Extra time to serve a call, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Number of next transactions that take effect but get no response.
    pub lose_replies: Option<u32>,
    /// Number of next transactions that are lost before they take effect.
    pub lose_requests: Option<u32>,
    /// Number of next transactions that get no response and take effect after `late_ms`.
    pub late_writes: Option<u32>,
    /// Delay until a late transaction takes effect, in milliseconds.
    pub late_ms: Option<u64>,
    /// Largest number of writes per second.
    pub writes_per_second: Option<u32>,
    /// Largest number of reads per second.
    pub reads_per_second: Option<u32>,
    /// Keys to write unconditionally.
    pub put: Vec<Put>,
    /// Whether to drop the history, so that watches from older revisions fail.
    pub compact: bool,
    /// Whether to take a copy of the store, for `restore`.
    pub copy: bool,
    /// Whether the store returns to its latest copy. The era rises by one, watches that wait are
    /// cut, and the revisions after that of the copy are given out again.
    pub restore: bool,
    /// Has no effect; names the intent of a request that only reads the counters, which every
    /// reply carries.
    pub counters: bool,
}

/// A key to write unconditionally.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// Key.
    pub key: Arc<str>,
    /// Value; `None` deletes the key.
    pub value: Option<String>,
}

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads admitted, including watches.
    pub reads: u64,
    /// Writes admitted, whether or not they took effect.
    pub writes: u64,
    /// Watches that are waiting now.
    pub watches_waiting: u64,
    /// Calls refused because their rate was exceeded.
    pub refused: u64,
    /// Calls refused because of an outage.
    pub outage_refused: u64,
    /// Transactions whose request or response was lost.
    pub lost: u64,
    /// Revision of the store.
    pub revision: u64,
}
