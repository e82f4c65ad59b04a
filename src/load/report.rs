//! The result of a run, which is written as JSON.

use std::collections::BTreeMap;

use jacinthfall_core::id;
use serde::{Deserialize, Serialize};

use crate::load::leafs::Counters;

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Label of the run.
    pub name: String,
    /// Intended requests per second.
    pub rate: f64,
    /// Length of the schedule, in seconds.
    pub duration_s: f64,
    /// Seed of the schedule.
    pub seed: u64,
    /// Requests sent more than 1 ms after their intended time, because no worker was free.
    pub sent_late: u64,
    /// All requests together.
    pub total: Row,
    /// Requests by profile, in the order of the mix.
    pub profiles: Vec<Row>,
    /// Work of the leafs, if their counters were read.
    pub leafs: Option<Leafs>,
    /// Violated rules.
    pub violations: Violations,
}

/// Result of one profile or of all profiles.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the profile, or `total`.
    pub name: id::Name,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Answers that cover every shard.
    pub full: u64,
    /// Answers within the deadline, per second.
    pub goodput: f64,
    /// Mean share of the shards that answers cover.
    pub coverage: f64,
    /// Smallest share of the shards that an answer covers.
    pub least_coverage: f64,
    /// Latency of answers.
    pub latency: Latency,
    /// Latency of refusals.
    pub refusal_latency: Latency,
    /// Refusals by cause and by whether the request ran.
    pub refused: BTreeMap<String, u64>,
    /// Requests without a usable reply.
    pub failed: u64,
}

/// Latency from the intended start, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
    /// Points of the distribution, for plots.
    pub curve: Vec<Point>,
}

/// One point of a latency distribution.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Quantile, from 0 to 1.
    pub quantile: f64,
    /// Latency, in microseconds.
    pub us: u64,
}

/// Work of the leafs during a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leafs {
    /// Sum of their counters.
    pub counters: Counters,
    /// Parts that the answers needed: one per addressed shard.
    pub needed: u64,
    /// Parts received beyond those needed, as a share of those needed.
    pub extra: f64,
}

/// Violated rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Number of violations.
    pub count: u64,
    /// Descriptions of the first violations.
    pub first: Vec<String>,
}

impl Leafs {
    /// Compares the work done with the work needed.
    ///
    /// ```
    /// use jacinthfall::load::{leafs::Counters, report::Leafs};
    /// let counters = Counters { received: 103, ..Counters::default() };
    /// assert!((Leafs::new(counters, 100).extra - 0.03).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn new(counters: Counters, needed: u64) -> Leafs {
        let extra = match needed {
            0 => 0.0,
            _ => counters.received as f64 / needed as f64 - 1.0,
        };
        Leafs { counters, needed, extra }
    }
}
