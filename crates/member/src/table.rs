//! Table of the known nodes, and the order in which rumors supersede each other.

use std::collections::BTreeMap;
use std::sync::Arc;

use jacinthfall_core::time::Time;
use jacinthfall_core::{hash, id};
use jacinthfall_wire::member::{Observation, Rumor, State};

use crate::ring;

/// Targeted number of nodes per bucket of a digest.
const BUCKET_NODES: usize = 16;

/// Maximum number of buckets of a digest.
const MAX_BUCKETS: usize = 256;

/// An entry of the table: the state of one node.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The current rumor about the node. `started` is 0 while the node is known
    /// only from the VM list.
    pub(crate) rumor: Rumor,
    /// Whether the last VM list contains the node.
    pub(crate) listed: bool,
    /// Time at which the state began.
    pub(crate) since: Time,
    /// Whether the state was not broadcast, because this node was isolated.
    pub(crate) unannounced: bool,
    /// Positions on the rings that determine the neighbours.
    pub(crate) ring_positions: [u64; ring::COUNT],
    /// Hash of the name, which determines the bucket.
    name_hash: u64,
    /// Hash of the fields that digests compare, or 0 if digests leave the node out.
    digest_hash: u64,
}

impl Entry {
    fn new(rumor: Rumor, listed: bool, now: Time) -> Entry {
        let ring_positions = ring::positions(&rumor.node.node);
        let name_hash = hash::digest(rumor.node.node.as_bytes());
        let digest_hash = digest_hash(&rumor);
        Entry {
            rumor,
            listed,
            since: now,
            unannounced: false,
            ring_positions,
            name_hash,
            digest_hash,
        }
    }

    /// Returns whether the node takes part in gossip: it is alive or leaving, and was
    /// contacted.
    pub(crate) fn is_active(&self) -> bool {
        self.rumor.node.started > 0 && matches!(self.rumor.state, State::Alive | State::Leaving)
    }

    fn observation(&self, now: Time) -> Observation {
        let age = now.since(self.since).as_millis();
        Observation { rumor: self.rumor.clone(), age_ms: u64::try_from(age).unwrap_or(u64::MAX) }
    }

    fn bucket(&self, count: usize) -> usize {
        usize::try_from(self.name_hash % count as u64).unwrap_or_default()
    }
}

/// Number of contacted nodes by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    /// Nodes that are alive or leaving, including this one.
    pub(crate) alive: usize,
    /// Nodes that are suspect.
    pub(crate) suspect: usize,
}

/// The known nodes, by name.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<id::Name, Entry>,
    counts: Counts,
}

impl Table {
    pub(crate) fn get(&self, node: &str) -> Option<&Entry> {
        self.entries.get(node)
    }

    pub(crate) fn get_mut(&mut self, node: &str) -> Option<&mut Entry> {
        self.entries.get_mut(node)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&id::Name, &Entry)> {
        self.entries.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&id::Name, &mut Entry)> {
        self.entries.iter_mut()
    }

    pub(crate) fn counts(&self) -> Counts {
        self.counts
    }

    /// Stores a rumor that supersedes the current one or retracts its suspicion.
    pub(crate) fn insert(&mut self, rumor: Rumor, now: Time) {
        let node = rumor.node.node.clone();
        self.adjust_count(&rumor, 1);
        match self.entries.get_mut(&node) {
            Some(entry) => {
                let before = entry.rumor.clone();
                assert!(
                    supersedes(&rumor, &before) || retracts_suspicion(&rumor, &before),
                    "invariant: a rumor is never replaced by an older one ({before:?} by {rumor:?})"
                );
                entry.digest_hash = digest_hash(&rumor);
                entry.rumor = rumor;
                entry.since = now;
                entry.unannounced = false;
                self.adjust_count(&before, -1);
            }
            None => {
                self.entries.insert(node, Entry::new(rumor, false, now));
            }
        }
    }

    /// Moves the start of the state of a node back to the time of its evidence.
    pub(crate) fn backdate(&mut self, node: &str, evidence: Time) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.since = entry.since.min(evidence);
        }
    }

    pub(crate) fn remove(&mut self, node: &str) {
        if let Some(entry) = self.entries.remove(node) {
            self.adjust_count(&entry.rumor, -1);
        }
    }

    fn adjust_count(&mut self, rumor: &Rumor, change: isize) {
        if rumor.node.started == 0 {
            return;
        }
        let counter = match rumor.state {
            State::Alive | State::Leaving => &mut self.counts.alive,
            State::Suspect => &mut self.counts.suspect,
            State::Dead => return,
        };
        let counted = counter.checked_add_signed(change);
        *counter = counted.expect("invariant: the number of nodes in a state is not negative");
    }

    /// Returns every node that is not dead.
    pub(crate) fn view(&self) -> Arc<[Rumor]> {
        let not_dead = self.entries.values().filter(|entry| entry.rumor.state != State::Dead);
        not_dead.map(|entry| entry.rumor.clone()).collect()
    }

    /// Returns the digest of the membership: one hash per bucket.
    pub(crate) fn digest(&self) -> Vec<u64> {
        let count = (self.entries.len() / BUCKET_NODES).next_power_of_two().min(MAX_BUCKETS);
        self.buckets(count)
    }

    fn buckets(&self, count: usize) -> Vec<u64> {
        let mut buckets = vec![0_u64; count];
        for entry in self.entries.values() {
            let bucket = entry.bucket(count);
            buckets[bucket] = buckets[bucket].wrapping_add(entry.digest_hash);
        }
        buckets
    }

    /// Returns the buckets in which this membership differs from a digest.
    pub(crate) fn differing_buckets(&self, digest: &[u64]) -> Vec<u32> {
        if digest.is_empty() || digest.len() > MAX_BUCKETS {
            return Vec::new();
        }
        let own = self.buckets(digest.len());
        let pairs = (0_u32..).zip(own.iter().zip(digest));
        pairs.filter(|(_, (own, other))| own != other).map(|(bucket, _)| bucket).collect()
    }

    /// Returns the contacted nodes in `buckets`, out of `count` buckets.
    pub(crate) fn in_buckets(&self, count: u32, buckets: &[u32], now: Time) -> Vec<Observation> {
        let count = (count as usize).clamp(1, MAX_BUCKETS);
        let mut wanted = vec![false; count];
        for &bucket in buckets {
            if let Some(slot) = wanted.get_mut(bucket as usize) {
                *slot = true;
            }
        }
        let contacted = self.entries.values().filter(|entry| entry.rumor.node.started > 0);
        contacted
            .filter(|entry| wanted[entry.bucket(count)])
            .map(|entry| entry.observation(now))
            .collect()
    }

    /// Marks a node as contained in the VM list, and adds it if it was unknown.
    /// Returns whether it was unknown.
    pub(crate) fn add_listed(&mut self, seed_rumor: Rumor, now: Time) -> bool {
        if let Some(entry) = self.entries.get_mut(&seed_rumor.node.node) {
            entry.listed = true;
            return false;
        }
        self.entries.insert(seed_rumor.node.node.clone(), Entry::new(seed_rumor, true, now));
        true
    }
}

/// Returns whether `new` supersedes `old`, a rumor about the same node. Rumors are
/// ordered by incarnation, then sequence, then state.
pub(crate) fn supersedes(new: &Rumor, old: &Rumor) -> bool {
    precedence(new) > precedence(old)
}

/// Returns whether `new` equals `old` without its suspicion.
pub(crate) fn retracts_suspicion(new: &Rumor, old: &Rumor) -> bool {
    (new.node.started, new.sequence) == (old.node.started, old.sequence)
        && (new.state, old.state) == (State::Alive, State::Suspect)
}

fn precedence(rumor: &Rumor) -> (u64, u32, State) {
    (rumor.node.started, rumor.sequence, rumor.state)
}

/// Returns the share of a node in the digest. Digests leave out nodes that were
/// never contacted, since VM lists differ, and dead nodes, since nodes forget them
/// at different times.
fn digest_hash(rumor: &Rumor) -> u64 {
    if rumor.node.started == 0 || rumor.state == State::Dead {
        return 0;
    }
    let mut bytes = Vec::with_capacity(64);
    bytes.extend_from_slice(rumor.node.node.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&rumor.node.started.to_le_bytes());
    bytes.extend_from_slice(&rumor.sequence.to_le_bytes());
    bytes.push(rumor.state as u8);
    hash::digest(&bytes)
}
