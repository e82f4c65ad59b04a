//! Load shedding: which requests and parts give way while leafs are short of room.
//!
//! Answers a load that exceeds the capacity of some shards for seconds. Nodes measure which shards
//! are short and tell each other ([`shortage`]); queries leave out [`optional`] parts there. Each
//! mechanism is switched on by itself in the [`Settings`], and none is by default.

pub mod optional;
pub mod shortage;
pub mod threshold;

use std::net::SocketAddr;

use jacinthfall_core::time::Time;
use serde::Deserialize;

use optional::Price;
use shortage::{Report, Shard, Table};
use threshold::{Claim, Thresholds};

/// Which requests are refused while shards are short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Those for which this node finds no leafs.
    #[default]
    Local,
    /// Also those that rank below the threshold of a shard that they need.
    Threshold,
}

/// How long the request of a caller that returned after a refusal waits for leafs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Returns {
    /// For a share of the time until its deadline.
    #[default]
    Deadline,
    /// As long as the answer can be within the objective counted from the return.
    Objective,
}

/// What happens to a part at a short shard without which its query can be answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OptionalParts {
    /// It is sent like any other part.
    #[default]
    Sent,
    /// It is left out if other queries need the room more.
    LeftOut,
}

/// Which mechanisms are in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Which requests are refused.
    pub policy: Policy,
    /// How long the requests of returned callers wait.
    pub returns: Returns,
    /// What happens to optional parts at short shards.
    pub optional_parts: OptionalParts,
}

/// What a node knows of the shortage of shards.
#[derive(Debug, Default)]
pub struct State {
    /// Mechanisms that are in use.
    pub settings: Settings,
    /// Shortage of shards, as seen by this node and others.
    pub table: Table,
    /// Value of the room at short shards.
    pub price: Price,
    /// Thresholds of short shards.
    pub thresholds: Thresholds,
}

impl State {
    /// Creates the state of a node that has observed nothing yet.
    #[must_use]
    pub fn open(settings: Settings) -> State {
        State { settings, ..State::default() }
    }

    /// Whether the shortage of shards is measured and shared with other nodes.
    #[must_use]
    pub fn is_measuring(&self) -> bool {
        self.settings.optional_parts == OptionalParts::LeftOut
            || self.settings.policy == Policy::Threshold
    }

    /// Records whether a part that a query needed found a leaf at once.
    pub fn observe(&mut self, now: Time, service: &str, is_met: bool) {
        if self.is_measuring() {
            self.table.observe(now, Shard::of(service), is_met);
        }
    }

    /// Returns the shards, by index, whose threshold is above the rank of a request.
    pub fn low(&mut self, now: Time, shards: &[Shard], claim: Claim) -> Vec<usize> {
        let rank = self.thresholds.rank(claim);
        let shortages = self.table.shortages(now, shards);
        let all = shards.iter().zip(shortages).enumerate();
        let low = all.filter(|(_, (shard, shortage))| {
            self.thresholds.update(now, **shard, *shortage) > rank
        });
        low.map(|(index, _)| index).collect()
    }

    /// Records the report of another node, identified by the address that it came from. Returns
    /// whether it is plausible.
    pub fn merge(&mut self, now: Time, source: SocketAddr, report: &Report) -> bool {
        !self.is_measuring() || self.table.merge(now, source, report)
    }

    /// Returns what other nodes are told, if there is anything.
    #[must_use]
    pub fn report(&self, now: Time) -> Option<Report> {
        self.table.report(now)
    }
}
