//! Chooses the node of each availability zone that watches the store on behalf of the others.
//!
//! Answers the rate limits of the store, and its price for each call: one node of a zone watches,
//! and few try while the store answers none.

use jacinthfall_core::time::Time;

use super::{Member, Node, Phase, Roster};

/// Number of nodes in a zone that try to watch the store while it answers none of them. A second
/// one covers a first one that the store turns away. The others notice by their renewals when the
/// store answers them.
const MAX_PROBERS: usize = 2;

impl Roster {
    /// Whether this node follows the changes in the store for its zone. The follower is the
    /// first by name of the serving nodes in the zone that send heartbeats and are answered by
    /// the store.
    #[must_use]
    pub fn is_follower_of_store(&self, now: Time, own: &Node) -> bool {
        !self.predecessors(now, own).any(|member| member.store_answers)
    }

    /// Whether this node tries to watch the store although the store doesn't answer it.
    #[must_use]
    pub fn is_prober_of_store(&self, now: Time, own: &Node) -> bool {
        self.is_follower_of_store(now, own) && self.predecessors(now, own).count() < MAX_PROBERS
    }

    /// Returns the number of serving nodes of the zone that come before this one by name, and that
    /// of all of them, this one included.
    #[must_use]
    pub fn turn_in_zone(&self, now: Time, own: &Node) -> (usize, usize) {
        (self.predecessors(now, own).count(), self.neighbours(now, own).count() + 1)
    }

    /// Iterates over the serving nodes of the zone that come before this one by name.
    fn predecessors(&self, now: Time, own: &Node) -> impl Iterator<Item = &Member> {
        self.neighbours(now, own).filter(|member| member.node.name < own.name)
    }

    /// Iterates over the other serving nodes of the zone.
    fn neighbours(&self, now: Time, own: &Node) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| {
            member.node.zone == own.zone && member.phase == Phase::Serving && member.is_heard(now)
        })
    }
}
