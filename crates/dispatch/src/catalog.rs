//! What is known of leafs, and how old it is.
//!
//! Every change carries the store's revision of the leaf's key. The highest
//! revision wins, whichever way it came: from a watch, a listing or another node.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::leaf::{Age, Entry, State};
use serde::{Deserialize, Serialize};

/// Time after the store's return for which leafs whose entries lapsed while it was
/// away are still used: live ones have written a new entry by then.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// Time after the store's return within which removals count as lapsed entries.
const LAPSE_WINDOW: Duration = Duration::from_millis(2_000);

/// Time for which a leaf that is gone is remembered.
pub const FORGET_AFTER: Duration = Duration::from_secs(600);

/// What is known of one leaf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Store revision of the leaf's key.
    pub revision: u64,
    /// Its entry; `None` if it is removed or can't be read.
    pub entry: Option<Entry>,
}

/// What became known after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Leafs with what is known of them.
    pub records: Vec<(id::Name, Record)>,
    /// Whether these are all leafs: one that isn't named is gone.
    pub complete: bool,
}

#[derive(Clone, Debug)]
struct Known {
    record: Record,
    /// Highest position seen in the leaf's history.
    age: Age,
    /// When a removal that may be a lapse takes effect, with the entry until then.
    lapsing: Option<(Time, Entry)>,
    /// When it was removed or became unreadable.
    removed_at: Option<Time>,
}

/// What is known of all leafs.
#[derive(Debug, Default)]
pub struct Catalog {
    leafs: HashMap<id::Name, Known>,
    store_regained_at: Option<Time>,
    /// Revision of the last listing: leafs that were removed before are not known.
    listed_revision: u64,
}

impl Catalog {
    /// Notes that the store answers again after it was away.
    pub fn store_regained(&mut self, now: Time) {
        self.store_regained_at = Some(now);
    }

    /// Applies what became known of a leaf; `true` if it changes which leafs may be
    /// used or what is known of them.
    pub fn apply(&mut self, now: Time, id: &id::Name, record: Record) -> bool {
        let store_regained_at = self.store_regained_at;
        let Some(known) = self.leafs.get_mut(id) else {
            if record.revision <= self.listed_revision {
                // The listing did not name it.
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

    /// Applies a complete listing that holds for a revision: leafs that it doesn't
    /// name are gone, unless something later is known of them. Returns the leafs that
    /// this changes.
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

    /// Applies several records; returns the leafs that this changes.
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

    /// Drops leafs whose lapse has run out, and returns them. Leafs that went long ago
    /// are forgotten.
    pub fn expire(&mut self, now: Time) -> Vec<id::Name> {
        let listed_revision = &mut self.listed_revision;
        self.leafs.retain(|_, known| {
            let forget = known.removed_at.is_some_and(|at| now.since(at) >= FORGET_AFTER);
            if forget {
                // Nodes that are behind this removal now need everything.
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

    /// What is known of a leaf.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&Record> {
        self.leafs.get(id).map(|known| &known.record)
    }

    /// Leafs that may be given new requests.
    pub fn usable(&self) -> impl Iterator<Item = (&id::Name, &Entry)> {
        self.leafs.iter().filter_map(|(id, known)| {
            let entry = known.record.entry.as_ref();
            let entry = entry.or(known.lapsing.as_ref().map(|(_, entry)| entry))?;
            (entry.state == State::Ready).then_some((id, entry))
        })
    }

    /// What became known after a revision, for another node. Removals before the last
    /// listing are not known one by one, so a node that is behind it gets everything.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Delta {
        let complete = revision < self.listed_revision;
        let later =
            self.leafs.iter().filter(|(_, known)| complete || known.record.revision > revision);
        let records = later.map(|(id, known)| (id.clone(), known.record.clone()));
        Delta { records: records.collect(), complete }
    }

    /// Takes in what another node knows, which saw all changes up to a revision.
    /// Returns the leafs that this changes.
    pub fn merge(&mut self, now: Time, delta: Delta, revision: u64) -> Vec<id::Name> {
        if delta.complete {
            return self.apply_listing(now, delta.records, revision);
        }
        self.apply_all(now, delta.records)
    }

    /// Number of leafs that are known, those that went lately included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leafs.len()
    }

    /// Whether no leaf is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leafs.is_empty()
    }
}

/// Whether an entry of this age was overtaken by what is known. Leafs that don't
/// say when they started can't be compared.
fn is_obsolete(age: Age, known: Age) -> bool {
    age.born != 0 && known.born != 0 && age < known
}
