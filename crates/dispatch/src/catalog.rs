//! Catalog of the leafs that are registered in the store.
//!
//! Every change carries the place of the leaf's key in the store's history. The latest place
//! wins, whether it comes from a watch, a listing or another node.
//!
//! A store that returns from an older copy begins a new era, in which everything has a later
//! place but may be older. What a leaf has said of itself is therefore kept against its earlier
//! entries ([`Age`]), and a leaf that the copy lacks is used until it has had time to write again.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use jacinthfall_core::history::Position;
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

/// Latest known entry of one leaf, with its place in the store's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Place of the latest change of the leaf's key.
    pub at: Position,
    /// Entry of the leaf; `None` if it was removed or can't be decoded.
    pub entry: Option<Entry>,
    /// Highest age in the leaf's entries, as far as known. It outlives the entry.
    pub age: Age,
}

impl Record {
    /// Returns the record of an entry that was read from the store.
    #[must_use]
    pub fn of(at: Position, entry: Option<Entry>) -> Record {
        let age = entry.as_ref().map(|entry| entry.age).unwrap_or_default();
        Record { at, entry, age }
    }

    /// Whether the leaf is past what `entry` says: the entry comes from an older copy of the
    /// store, since the leaf has left or drains, or has written a later one.
    fn outdates(&self, entry: &Entry) -> bool {
        match &self.entry {
            None => entry.age <= self.age,
            Some(known) if known.state == State::Draining => entry.age <= self.age,
            Some(_) => entry.age < self.age,
        }
    }
}

/// Changes after a place, for another node.
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
    /// Whether the latest entry in the store was older than `record`, and so was ignored.
    is_ahead: bool,
    /// Set after a removal that may be an expiry during a store outage: when it takes effect,
    /// and the entry that is used until then.
    lapsing: Option<(Time, Entry)>,
    /// When the entry was removed or became undecodable.
    removed_at: Option<Time>,
}

impl Known {
    /// Whether a record of the same place knows more of the leaf. This node may have taken an
    /// entry of an older copy for the latest one.
    fn is_behind(&self, record: &Record) -> bool {
        let rank = |record: &Record| match &record.entry {
            Some(entry) if entry.state == State::Ready => 0,
            Some(_) => 1,
            None => 2,
        };
        (record.age, rank(record)) > (self.record.age, rank(&self.record))
    }
}

/// All known leafs.
#[derive(Debug, Default)]
pub struct Catalog {
    leafs: HashMap<id::Name, Known>,
    /// When the store last became reachable again, or returned from an older copy.
    store_regained_at: Option<Time>,
    /// Place of the latest listing or dropped tombstone. Leafs that were removed before it
    /// aren't in `leafs`.
    listed: Position,
    /// Latest era of the store that a record or listing was of.
    era: u64,
}

impl Catalog {
    /// Records that the store is reachable again after an outage.
    pub fn store_regained(&mut self, now: Time) {
        self.store_regained_at = Some(now);
    }

    /// Records that something of an era of the store is known. What is missing in a new era
    /// may be written again soon.
    fn enter_era(&mut self, now: Time, era: u64) {
        if era > self.era {
            self.era = era;
            self.store_regained_at = Some(now);
        }
    }

    /// Applies a record of a leaf. Returns `true` if this changes the set of usable leafs or
    /// an entry.
    pub fn apply(&mut self, now: Time, id: &id::Name, record: Record) -> bool {
        self.enter_era(now, record.at.era);
        let store_regained_at = self.store_regained_at;
        let Some(known) = self.leafs.get_mut(id) else {
            if record.at <= self.listed {
                // The listing shows that the leaf was removed.
                return false;
            }
            let changed = record.entry.is_some();
            let removed_at = (!changed).then_some(now);
            self.leafs
                .insert(id.clone(), Known { record, is_ahead: false, lapsing: None, removed_at });
            return changed;
        };
        let is_tie = record.at == known.record.at;
        if record.at < known.record.at || is_tie && !known.is_behind(&record) {
            return false;
        }
        let may_be_copy = record.at.era > known.record.at.era;
        let is_outdated = record.entry.as_ref().is_some_and(|entry| {
            is_obsolete(entry.age, known.record.age) || may_be_copy && known.record.outdates(entry)
        });
        known.is_ahead = is_outdated;
        known.record.at = record.at;
        known.record.age = known.record.age.max(record.age);
        match record.entry {
            Some(_) if is_outdated => false,
            Some(entry) => {
                known.record.age = entry.age;
                known.lapsing = None;
                known.removed_at = None;
                let changed = known.record.entry.as_ref() != Some(&entry);
                known.record.entry = Some(entry);
                changed
            }
            None => {
                let Some(entry) = known.record.entry.take() else { return false };
                known.removed_at = Some(now);
                let is_recent = store_regained_at.is_some_and(|at| now.since(at) < LAPSE_WINDOW);
                // A node that read the same copy of the store knows that the leaf had left before.
                let may_be_lapse = is_recent && !is_tie;
                if may_be_lapse && entry.state == State::Ready {
                    let until = store_regained_at.unwrap_or(now) + LAPSE_GRACE;
                    known.lapsing = Some((until, entry));
                }
                true
            }
        }
    }

    /// Applies a complete listing at a place. Leafs that aren't in it are removed, unless
    /// a later record of them is known. Returns the changed leafs.
    pub fn apply_listing(
        &mut self,
        now: Time,
        listed: Vec<(id::Name, Record)>,
        at: Position,
    ) -> Vec<id::Name> {
        self.enter_era(now, at.era);
        let named: HashSet<&id::Name> = listed.iter().map(|(id, _)| id).collect();
        let missing: Vec<id::Name> = self
            .leafs
            .iter()
            .filter(|(id, known)| known.record.at < at && !named.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        let missing = missing.into_iter().map(|id| (id, Record::of(at, None)));
        let changed = self.apply_all(now, missing.chain(listed));
        self.listed = self.listed.max(at);
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
        let listed = &mut self.listed;
        self.leafs.retain(|_, known| {
            let forget = known.removed_at.is_some_and(|at| now.since(at) >= FORGET_AFTER);
            if forget {
                // Nodes that haven't seen this removal now need a complete delta.
                *listed = (*listed).max(known.record.at);
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

    /// Returns the changes after a place, for another node. Removals before the latest
    /// listing aren't known individually, so the delta is complete for an earlier place.
    #[must_use]
    pub fn changes_since(&self, after: Position) -> Delta {
        let complete = after < self.listed;
        let later = self.leafs.iter().filter(|(_, known)| complete || known.record.at > after);
        let records = later.map(|(id, known)| (id.clone(), known.record.clone()));
        Delta { records: records.collect(), complete }
    }

    /// Merges a delta from another node that has seen all changes up to a place. Returns
    /// the changed leafs.
    pub fn merge(&mut self, now: Time, delta: Delta, upto: Position) -> Vec<id::Name> {
        if delta.complete {
            return self.apply_listing(now, delta.records, upto);
        }
        self.apply_all(now, delta.records)
    }

    /// Returns the number of leafs that are used although the store lacks them.
    #[must_use]
    pub fn lapsing(&self) -> usize {
        self.leafs.values().filter(|known| known.lapsing.is_some()).count()
    }

    /// Returns the number of leafs of which this node knows more than the store said last.
    #[must_use]
    pub fn outdated(&self) -> usize {
        self.leafs.values().filter(|known| known.is_ahead).count()
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
