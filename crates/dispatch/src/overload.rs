//! Load shedding: which requests and parts give way while leafs are short of room.
//!
//! Answers a load that exceeds the capacity of some shards for seconds. Nodes measure which shards
//! are short and tell each other ([`shortage`]); queries leave out [`optional`] parts there. Each
//! mechanism is switched on by itself in the [`Settings`], and none is by default.

pub mod optional;
pub mod shortage;

use std::net::SocketAddr;

use jacinthfall_core::time::Time;
use serde::Deserialize;

use optional::Price;
use shortage::{Report, Shard, Table};

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
        self.settings != Settings::default()
    }

    /// Records whether a part that a query needed found a leaf at once.
    pub fn observe(&mut self, now: Time, service: &str, is_met: bool) {
        if self.is_measuring() {
            self.table.observe(now, Shard::of(service), is_met);
        }
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
