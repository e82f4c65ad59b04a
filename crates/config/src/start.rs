//! Startup: a node becomes ready after it has read the store, or after peers in
//! more than one zone have replied. A single zone may be out of date, for example
//! after it was cut off.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use rand::seq::IndexedRandom;

use crate::Engine;

/// Number of zones that must reply before the node is ready. If fewer zones have
/// live peers, all of those must.
const REQUIRED_ZONES: usize = 2;

/// Maximum number of zones to pull from at a time.
const MAX_ASKED_ZONES: usize = 4;

/// Time after the start during which only replies of ready nodes count. Later,
/// the reply of a node that isn't ready counts too: it shows that its zone has
/// nothing newer.
const READY_REPLIES_ONLY_PERIOD: Duration = Duration::from_secs(5);

/// Replies received before this node was ready.
#[derive(Debug, Default)]
pub(crate) struct Start {
    /// Zones with a reply from a ready node.
    ready: BTreeSet<id::Name>,
    /// Zones with any reply.
    replied: BTreeSet<id::Name>,
}

impl Engine {
    /// Pulls from one random peer in each of up to [`MAX_ASKED_ZONES`] zones, unless
    /// this node is ready.
    pub(crate) fn pull_until_ready(&mut self, now: Time) {
        if self.ready {
            return;
        }
        let zones: Vec<_> = self.nodes.by_zone(&self.own.node).into_values().collect();
        let chosen: Vec<_> = zones.choose_multiple(&mut self.rng, MAX_ASKED_ZONES).collect();
        let peers: Vec<_> = chosen.into_iter().filter_map(|z| z.choose(&mut self.rng)).collect();
        for peer in peers {
            self.pull(peer, now);
        }
    }

    /// Counts the reply of `peer`, after this node has all records that the peer
    /// had, and becomes ready if enough zones have replied.
    pub(crate) fn count_reply(&mut self, peer: &id::Name, ready: bool, now: Time) {
        let Some(zone) = self.nodes.zone(peer).filter(|_| !self.ready).cloned() else { return };
        if ready {
            self.start.ready.insert(zone.clone());
        }
        self.start.replied.insert(zone);
        let live_zones = self.nodes.by_zone(&self.own.node);
        let needed = live_zones.len().min(REQUIRED_ZONES);
        let only_ready = self.time_since_start(now) < READY_REPLIES_ONLY_PERIOD;
        let counted = if only_ready { &self.start.ready } else { &self.start.replied };
        let replies = counted.iter().filter(|zone| live_zones.contains_key(*zone)).count();
        if replies >= needed && !self.start.ready.is_empty() {
            self.become_ready();
        }
    }

    /// Marks this node as ready.
    pub(crate) fn become_ready(&mut self) {
        assert!(
            self.confirmed.is_some(),
            "invariant: a ready node knows a time at which its records were current"
        );
        self.ready = true;
        self.start = Start::default();
    }

    fn time_since_start(&self, now: Time) -> Duration {
        now.since(self.started.unwrap_or(now))
    }
}
