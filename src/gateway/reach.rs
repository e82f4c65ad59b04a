//! What this node reaches, and the nodes that serve requests which it can't.

use std::sync::atomic::Ordering;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::Key;
use jacinthfall_dispatch::quarantine::Service;
use jacinthfall_dispatch::roster::Node;

use super::hub::Hub;
use super::tables::Tables;

impl Hub {
    /// Returns a node that can serve a request that needs services which this node has lost, except
    /// for those that were tried.
    pub fn choose_relay(&self, lost: &[Service], tried: &[id::Name]) -> Option<Node> {
        let now = self.now();
        let mut tables = self.tables();
        let Tables { relays, roster, rng, .. } = &mut *tables;
        relays.choose(now, roster, &self.own, lost, tried, rng)
    }

    /// Returns the latest version under which a request was served. Another node must have it in
    /// force, or a later one, to serve a request on behalf of this one.
    #[must_use]
    pub fn served_version(&self) -> u64 {
        self.latest_served.load(Ordering::Relaxed)
    }

    /// Records the version under which a request is served, here or by another node.
    pub fn record_served_version(&self, version: u64) {
        self.latest_served.fetch_max(version, Ordering::Relaxed);
    }

    /// Updates which leafs and services this node reaches, and tells the others if that has changed.
    pub fn update_reach(&self, now: Time) {
        if self.tables().fleet.update_reach(now) {
            self.audit.log_reach(now, &self.tables);
            self.heartbeat_due.notify_one();
        }
    }

    /// Records that a lost leaf has responded.
    pub fn record_heard(&self, leaf: Key) {
        let now = self.now();
        self.tables().fleet.record_heard(now, leaf);
        self.update_reach(now);
    }
}
