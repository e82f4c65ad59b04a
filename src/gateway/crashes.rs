//! Finds out whether a leaf has crashed when a connection to it breaks under a request, and tells
//! the quarantine.
//!
//! A reset connection, a link that fails and a leaf that is gone look alike to the request. Only a
//! leaf that has crashed refuses a new connection: its VM answers, but nothing listens.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::Key;
use jacinthfall_dispatch::quarantine::{Crash, Fingerprint, Incarnation, Service};
use metrics::counter;

use super::hub::Hub;
use super::leafs::Outbound;
use super::pool::{self, DEFAULT_IDLE_TIMEOUT};

/// An attempt whose connection broke before the leaf's response was complete.
#[derive(Clone, Debug)]
pub struct Break {
    /// What identifies the request, whatever the attempt's id.
    pub request: Fingerprint,
    /// Id of the attempt.
    pub id: HeaderValue,
    /// Leaf that ran the request.
    pub leaf: Key,
    /// When the request was sent.
    pub sent: Time,
    /// When the connection broke.
    pub broken: Time,
}

impl Break {
    /// Creates the description of an attempt that was sent at `sent` and has just broken.
    #[must_use]
    pub fn open(hub: &Hub, outbound: &Outbound, leaf: Key, sent: Time) -> Break {
        let (request, id) = (outbound.fingerprint, outbound.id.clone());
        Break { request, id, leaf, sent, broken: hub.now() }
    }

    /// Returns how long the request took until the connection broke.
    #[must_use]
    pub fn took(&self) -> Duration {
        self.broken.since(self.sent)
    }
}

/// Connects to the leaf in the background, and records that it has crashed if it refuses.
pub fn check(hub: &Arc<Hub>, broken: Break) {
    let address = {
        let tables = hub.tables();
        let Some(leaf) = tables.fleet.leaf(broken.leaf) else { return };
        leaf.entry.address
    };
    // The connection that broke may still count toward the limit.
    let Some(permit) = hub.pool.reserve(broken.leaf, usize::MAX) else { return };
    let hub = Arc::clone(hub);
    tokio::spawn(async move {
        match pool::dial(address, permit).await {
            Ok(sender) => hub.release(broken.leaf, sender, hub.now(), DEFAULT_IDLE_TIMEOUT),
            Err(pool::DialError::Refused) => record_crash(&hub, &broken),
            Err(pool::DialError::Unreachable | pool::DialError::Crowded) => {}
        }
    });
}

fn record_crash(hub: &Hub, broken: &Break) {
    counter!("jacinthfall_leaf_crashes_total").increment(1);
    let now = hub.now();
    hub.audit.log_crash(now, &hub.tables, broken);
    let quarantine = {
        let mut tables = hub.tables();
        let Some(leaf) = tables.fleet.leaf(broken.leaf) else { return };
        let crash = Crash {
            service: Service::of(&leaf.entry.service),
            leaf: Incarnation::of(&leaf.id, leaf.entry.age.born),
            sent: broken.sent,
            crashed: broken.broken,
        };
        tables.quarantine.record_crash(broken.request, crash)
    };
    if let Some(quarantine) = quarantine {
        hub.audit.log_quarantine(now, broken.request, quarantine, "here");
    }
    // The others are told at once.
    hub.heartbeat_due.notify_one();
}

/// Records that a leaf has answered a request after it had run it.
pub fn record_answer(hub: &Hub, leaf: Key, request: Fingerprint) {
    let mut tables = hub.tables();
    if tables.quarantine.is_empty() {
        return;
    }
    let Some(service) = tables.fleet.leaf(leaf).map(|leaf| Service::of(&leaf.entry.service)) else {
        return;
    };
    if tables.quarantine.record_answer(hub.now(), request, service) {
        log::debug!("request {request} is cleared of the crash of a leaf");
    }
}
