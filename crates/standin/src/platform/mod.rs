//! Stand-in of the platform: key-value store, leases and their faults.
//!
//! [`store`] and [`rate`] are state machines that take the time as an argument;
//! [`server`] serves them over HTTP with the messages of [`jacinthfall_adapter::message`] and
//! switches faults on and off as [`control`] messages ask.

pub mod control;
pub mod rate;
pub mod server;
pub mod store;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};

/// Settings of the platform's stand-in.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Largest number of writes per second.
    pub writes_per_second: u32,
    /// Largest number of reads per second; a watch counts as one read.
    pub reads_per_second: u32,
    /// Time to serve a call, in microseconds.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "latency_us")]
    pub latency: Duration,
    /// Largest number of open connections.
    pub connections: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            writes_per_second: 300,
            reads_per_second: 2_000,
            latency: Duration::from_millis(1),
            connections: 4_096,
        }
    }
}
