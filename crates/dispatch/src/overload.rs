//! Load shedding: which requests and parts give way while leafs are short of room.
//!
//! Answers a load that exceeds the capacity of some shards for seconds. Nodes measure which shards
//! are short and tell each other ([`shortage`]); requests that rank below the [`threshold`] of a shard
//! are refused. Each mechanism is switched on by itself in the [`Settings`], and none is by default.

pub mod shortage;
pub mod threshold;

use std::net::SocketAddr;

use jacinthfall_core::time::Time;
use serde::Deserialize;

use crate::fleet::{OVERRUN_FACTOR, Order};

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

/// When the answer to a request is needed, as far as the room at leafs is concerned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// At the deadline, although it is late then.
    #[default]
    Deadline,
    /// Within the objective, counted from the arrival. A request is refused if that isn't possible.
    Objective,
}

/// How long a leaf may be expected to take for a part of a query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Parts {
    /// By a factor longer than the time left, since estimates are uncertain.
    #[default]
    Overrun,
    /// No longer than the time left.
    InTime,
}

impl Parts {
    /// Returns when the response is to be requested of a leaf so that it arrives by `at`. Leafs are
    /// taken whose expected response time exceeds the time left by a factor.
    #[must_use]
    pub fn respond_by(self, now: Time, at: Time) -> Time {
        match self {
            Parts::Overrun => at,
            Parts::InTime => now + at.since(now).div_f64(OVERRUN_FACTOR),
        }
    }
}

/// Which mechanisms are in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Which requests are refused.
    pub policy: Policy,
    /// Limit on the response time of a leaf that a request to a single service is sent to.
    pub singles: Limit,
    /// Limit on the expected response time of a leaf that a part of a query is sent to.
    pub parts: Parts,
    /// Order in which waiting requests get a leaf.
    pub queue: Order,
}

/// What a node knows of the shortage of shards.
#[derive(Debug, Default)]
pub struct State {
    /// Mechanisms that are in use.
    pub settings: Settings,
    /// Shortage of shards, as seen by this node and others.
    pub table: Table,
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
        self.settings.policy == Policy::Threshold
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
