//! Reads the counters of stand-in leafs, to compare work done with work needed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jacinthfall_core::id;
use jacinthfall_net::client::Client;
use serde::{Deserialize, Serialize};

/// Sum of the counters of all leafs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed at once because of a leaf's connection limit.
    pub connections_refused: u64,
    /// Parts received, including refused ones.
    pub received: u64,
    /// Parts that started to run.
    pub started: u64,
    /// Parts that ran to completion.
    pub served: u64,
    /// Parts shed for lack of capacity.
    pub overloaded: u64,
    /// Parts refused because of their deadline.
    pub expired: u64,
    /// Parts cancelled while queued.
    pub cancelled_queued: u64,
    /// Parts cancelled while running.
    pub cancelled_running: u64,
}

/// Totals over all leafs: their counters, and the runs of each request that must not run
/// twice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Sum of the counters.
    pub counters: Counters,
    /// Runs of each request over all leafs.
    pub runs: BTreeMap<id::Request, u64>,
}

/// Reply of the control path, reduced to the fields needed here.
#[derive(Debug, Deserialize)]
struct Reply {
    leafs: Vec<Leaf>,
}

#[derive(Debug, Deserialize)]
struct Leaf {
    counters: Counters,
    #[serde(default)]
    runs: BTreeMap<id::Request, u64>,
}

/// Reads the counters of every leaf behind the control addresses.
///
/// # Errors
///
/// A description of what failed.
pub fn read(controls: &[SocketAddr]) -> Result<Count, String> {
    let runtime = jacinthfall_net::runtime(1).map_err(|error| error.to_string())?;
    let mut count = Count::default();
    for &control in controls {
        let reply = runtime.block_on(ask(control)).map_err(|e| format!("{control}: {e}"))?;
        reply.leafs.into_iter().for_each(|leaf| count.add(leaf));
    }
    Ok(count)
}

async fn ask(control: SocketAddr) -> Result<Reply, String> {
    let client = Client::open(control).await.map_err(|error| error.to_string())?;
    let response = client.post("/control", &[], r#"{"counters": true, "runs": true}"#.into());
    let response = response.await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&response.body).map_err(|error| error.to_string())
}

impl Count {
    fn add(&mut self, leaf: Leaf) {
        self.counters = self.counters.combine(&leaf.counters, u64::saturating_add);
        for (request, runs) in leaf.runs {
            *self.runs.entry(request).or_default() += runs;
        }
    }
}

impl Counters {
    /// Returns the difference to an `earlier` reading.
    ///
    /// ```
    /// use jacinthfall::load::leafs::Counters;
    /// let earlier = Counters { received: 2, ..Counters::default() };
    /// let later = Counters { received: 7, ..Counters::default() };
    /// assert_eq!(later.since(&earlier).received, 5);
    /// ```
    #[must_use]
    pub fn since(&self, earlier: &Counters) -> Counters {
        self.combine(earlier, u64::saturating_sub)
    }

    fn combine(&self, other: &Counters, join: fn(u64, u64) -> u64) -> Counters {
        Counters {
            connections: join(self.connections, other.connections),
            connections_refused: join(self.connections_refused, other.connections_refused),
            received: join(self.received, other.received),
            started: join(self.started, other.started),
            served: join(self.served, other.served),
            overloaded: join(self.overloaded, other.overloaded),
            expired: join(self.expired, other.expired),
            cancelled_queued: join(self.cancelled_queued, other.cancelled_queued),
            cancelled_running: join(self.cancelled_running, other.cancelled_running),
        }
    }
}
