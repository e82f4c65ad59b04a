//! Availability zones to which nothing is sent.

use std::collections::HashSet;

use jacinthfall_core::id;

use super::{Fleet, Key, Leaf};

/// Zones that nothing may be sent to.
#[derive(Debug, Default)]
pub(super) struct Closed {
    zones: HashSet<id::Name>,
    /// Whether it isn't known yet which zones are evacuated.
    all: bool,
}

impl Closed {
    /// Whether nothing may be sent to a leaf because of its zone.
    pub(super) fn contains(&self, leaf: &Leaf) -> bool {
        self.all || self.zones.contains(&leaf.entry.zone)
    }
}

impl Fleet {
    /// Sends nothing to any zone until [`Fleet::set_evacuated`] says which ones are evacuated.
    pub fn close_all_zones(&mut self) {
        self.closed.all = true;
    }

    /// Whether nothing is sent to any zone, since it isn't known which ones are evacuated.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.all
    }

    /// Sets the zones that nothing may be sent to.
    pub fn set_evacuated(&mut self, zones: HashSet<id::Name>) {
        self.closed = Closed { zones, all: false };
    }

    /// Whether a leaf is in a zone that nothing may be sent to.
    #[must_use]
    pub fn is_evacuated(&self, key: Key) -> bool {
        self.leafs.get(&key).is_some_and(|leaf| self.closed.contains(leaf))
    }

    /// Returns the usable leafs in zones that nothing may be sent to.
    #[must_use]
    pub fn evacuated_leafs(&self) -> Vec<Key> {
        let usable = self.services.values().flatten().copied();
        usable.filter(|key| self.is_evacuated(*key)).collect()
    }

    /// Iterates over the usable leafs of a service whose zones aren't evacuated.
    pub(super) fn open_leafs(&self, service: &str) -> impl Iterator<Item = &Leaf> {
        let leafs = self.leafs(service).iter().map(|key| &self.leafs[key]);
        leafs.filter(|leaf| !self.closed.contains(leaf))
    }
}
