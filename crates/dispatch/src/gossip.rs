//! Datagrams that nodes exchange.
//!
//! Nodes of earlier builds, which run beside this one in an upgrade, know the kinds by their order, so
//! new ones come last and old ones keep their place.

use jacinthfall_core::hash;
use serde::{Deserialize, Serialize};

use crate::evacuation;
use crate::overload::shortage;
use crate::quarantine;
use crate::quota;
use crate::roster::Heartbeat;
use crate::watch;

/// Identifies a route: a digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Route(u64);

impl Route {
    /// Returns the identifier of the route with a name.
    #[must_use]
    pub fn of(name: &str) -> Route {
        Route(hash::digest(name.as_bytes()))
    }
}

/// A timeout that first attempts of a route carry. Only earlier builds send rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Route that was called.
    pub route: Route,
    /// Timeout of first attempts, in milliseconds.
    pub timeout_ms: u32,
    /// Time since a node observed it, in seconds.
    pub age_s: u32,
}

/// A datagram to another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// State of the sender.
    Heartbeat(Heartbeat),
    /// Timeouts of callers; sent by earlier builds and ignored.
    Gossip(Vec<Row>),
    /// Crashes of leafs, and answers, that are new to the sender.
    Quarantine(Vec<quarantine::Row>),
    /// What the sender wants of organisations' quotas.
    QuotaAsk(quota::Ask),
    /// What the sender grants.
    QuotaReply(quota::Reply),
    /// Evacuated zones.
    Evacuation(evacuation::Statement),
    /// Shards that are short of room, as seen by the sender.
    Shortage(shortage::Report),
    /// As of when the sender knew all changes in the store.
    Confirmation(watch::Confirmation),
}
