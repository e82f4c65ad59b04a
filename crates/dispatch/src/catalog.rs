//! Catalog of the leafs that are registered in the store.
//!
//! Every change carries the store's revision of the leaf's key. The highest revision
//! wins, whether it comes from a watch, a listing or another node.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::leaf::{Age, Entry, State};
use serde::{Deserialize, Serialize};

/// Grace period after the store became reachable again, in which leafs are still used whose
/// entries expired during the outage. Live leafs write a new entry within this time.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// Time after the store became reachable again in which removals are taken for entries that
/// expired during the outage.
const LAPSE_WINDOW: Duration = Duration::from_millis(2_000);

/// Time after which the tombstone of a removed leaf is dropped.
pub const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Latest known entry of one leaf, with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Store revision of the leaf's key.
    pub revision: u64,
    /// Entry of the leaf; `None` if it was removed or can't be decoded.
    pub entry: Option<Entry>,
}

/// Changes after a revision, for another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Changed leafs with their records.
    pub records: Vec<(id::Name, Record)>,
    /// Whether `records` holds all leafs, so that a leaf that isn't in it was removed.
    pub complete: bool,
}

/// State of one leaf, which may be a tombstone.
#[derive(Clone, Debug)]
struct Known {
    record: Record,
    /// Highest age seen in the leaf's entries.
    age: Age,
    /// Set after a removal that may be an expiry during a store outage: when it takes effect,
    /// and the entry that is used until then.
    lapsing: Option<(Time, Entry)>,
    /// When the entry was removed or became undecodable.
    removed_at: Option<Time>,
}

/// All known leafs.
#[derive(Debug, Default)]
pub struct Catalog {
    leafs: HashMap<id::Name, Known>,
    /// When the store last became reachable again.
    store_regained_at: Option<Time>,
    /// Revision of the latest listing or dropped tombstone. Leafs that were removed before it
    /// aren't in `leafs`.
    listed_revision: u64,
}

impl Catalog {
    /// Records that the store is reachable again after an outage.
    pub fn store_regained(&mut self, now: Time) {
        self.store_regained_at = Some(now);
    }

    /// Applies a record of a leaf. Returns `true` if this changes the set of usable leafs or
    /// an entry.
    pub fn apply(&mut self, now: Time, id: &id::Name, record: Record) -> bool {
        let store_regained_at = self.store_regained_at;
        let Some(known) = self.leafs.get_mut(id) else {
            if record.revision <= self.listed_revision {
                // The listing shows that the leaf was removed.
                return false;
            }
            let age = record.entry.as_ref().map(|entry| entry.age).unwrap_or_default();
            let changed = record.entry.is_some();
            let removed_at = (!changed).then_some(now);
            self.leafs.insert(id.clone(), Known { record, age, lapsing: None, removed_at });
            return changed;
        };
        if record.revision <= known.record.revision {
            return false;
        }
        match record.entry {
            Some(entry) if is_obsolete(entry.age, known.age) => {
                known.record.revision = record.revision;
                false
            }
            Some(entry) => {
                known.age = entry.age;
                known.lapsing = None;
                known.removed_at = None;
                let changed = known.record.entry.as_ref() != Some(&entry);
                known.record = Record { revision: record.revision, entry: Some(entry) };
                changed
            }
            None => {
                known.record.revision = record.revision;
                let Some(entry) = known.record.entry.take() else { return false };
                known.removed_at = Some(now);
                let may_be_lapse = store_regained_at.is_some_and(|at| now.since(at) < LAPSE_WINDOW);
                if may_be_lapse && entry.state == State::Ready {
                    let until = store_regained_at.unwrap_or(now) + LAPSE_GRACE;
                    known.lapsing = Some((until, entry));
                }
                true
            }
        }
    }

    /// Applies a complete listing at a revision. Leafs that aren't in it are removed, unless
    /// a later record of them is known. Returns the changed leafs.
    pub fn apply_listing(
        &mut self,
        now: Time,
        listed: Vec<(id::Name, Record)>,
        revision: u64,
    ) -> Vec<id::Name> {
        let named: HashSet<&id::Name> = listed.iter().map(|(id, _)| id).collect();
        let missing: Vec<id::Name> = self
            .leafs
            .iter()
            .filter(|(id, known)| known.record.revision < revision && !named.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        let missing = missing.into_iter().map(|id| (id, Record { revision, entry: None }));
        let changed = self.apply_all(now, missing.chain(listed));
        self.listed_revision = self.listed_revision.max(revision);
        changed
    }

    /// Applies several records. Returns the changed leafs.
    fn apply_all(
        &mut self,
        now: Time,
        records: impl IntoIterator<Item = (id::Name, Record)>,
    ) -> Vec<id::Name> {
        let mut changed = Vec::new();
        for (id, record) in records {
            if self.apply(now, &id, record) {
                changed.push(id);
            }
        }
        changed
    }

    /// Stops using leafs whose grace period has ended, and returns them. Also drops old
    /// tombstones.
    pub fn expire(&mut self, now: Time) -> Vec<id::Name> {
        let listed_revision = &mut self.listed_revision;
        self.leafs.retain(|_, known| {
            let forget = known.removed_at.is_some_and(|at| now.since(at) >= FORGET_AFTER);
            if forget {
                // Nodes that haven't seen this removal now need a complete delta.
                *listed_revision = (*listed_revision).max(known.record.revision);
            }
            !forget
        });
        let mut lapsed = Vec::new();
        for (id, known) in &mut self.leafs {
            if known.lapsing.as_ref().is_some_and(|(until, _)| *until <= now) {
                known.lapsing = None;
                lapsed.push(id.clone());
            }
        }
        lapsed
    }

    /// Returns the record of a leaf.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&Record> {
        self.leafs.get(id).map(|known| &known.record)
    }

    /// Iterates over the leafs that may be sent new requests.
    pub fn usable(&self) -> impl Iterator<Item = (&id::Name, &Entry)> {
        self.leafs.iter().filter_map(|(id, known)| {
            let entry = known.record.entry.as_ref();
            let entry = entry.or(known.lapsing.as_ref().map(|(_, entry)| entry))?;
            (entry.state == State::Ready).then_some((id, entry))
        })
    }

    /// Returns the changes after a revision, for another node. Removals before the latest
    /// listing aren't known individually, so the delta is complete for an earlier revision.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Delta {
        let complete = revision < self.listed_revision;
        let later =
            self.leafs.iter().filter(|(_, known)| complete || known.record.revision > revision);
        let records = later.map(|(id, known)| (id.clone(), known.record.clone()));
        Delta { records: records.collect(), complete }
    }

    /// Merges a delta from another node that has seen all changes up to a revision. Returns
    /// the changed leafs.
    pub fn merge(&mut self, now: Time, delta: Delta, revision: u64) -> Vec<id::Name> {
        if delta.complete {
            return self.apply_listing(now, delta.records, revision);
        }
        self.apply_all(now, delta.records)
    }

    /// Returns the number of known leafs, tombstones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leafs.len()
    }

    /// Whether no leaf is known, not even as a tombstone.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leafs.is_empty()
    }
}

/// Whether an entry of this age is older than the known one. Entries of leafs that don't
/// report their start time can't be compared.
fn is_obsolete(age: Age, known: Age) -> bool {
    age.born != 0 && known.born != 0 && age < known
}
