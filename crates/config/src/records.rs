//! The records in force. The revision of a record never decreases.

use std::collections::BTreeMap;
use std::sync::Arc;

use jacinthfall_core::record::Record;
use jacinthfall_core::{hash, id};
use jacinthfall_wire::configuration::Entry;

/// Records by key. Deleted records stay as tombstones, so that an older revision
/// can't restore them.
#[derive(Debug, Default)]
pub(crate) struct Records {
    records: BTreeMap<id::Name, Arc<Record>>,
    digest: u64,
}

impl Records {
    /// Puts a record into force if its revision is higher than the current one.
    /// Returns whether it did.
    pub(crate) fn apply(&mut self, record: Arc<Record>) -> bool {
        let before = self.revision(&record.key);
        if record.revision <= before {
            return false;
        }
        let added = record_hash(&record.key, record.revision);
        let removed = record_hash(&record.key, before);
        self.digest = self.digest.wrapping_add(added).wrapping_sub(removed);
        let replaced = self.records.insert(record.key.clone(), record.clone());
        let lower = replaced.is_none_or(|old| old.revision < record.revision);
        assert!(lower, "invariant: a revision in force never decreases (key {})", record.key);
        true
    }

    /// Returns the revision in force, or 0 if there is none.
    pub(crate) fn revision(&self, key: &str) -> id::Revision {
        self.records.get(key).map_or(id::Revision(0), |record| record.revision)
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Arc<Record>> {
        self.records.get(key)
    }

    /// Returns a hash of all keys and revisions in force.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the key and revision of each record in force.
    pub(crate) fn held(&self) -> Vec<Entry> {
        let records = self.records.values();
        records.map(|r| Entry { key: r.key.clone(), revision: r.revision }).collect()
    }

    /// Returns the entries of `held` that are newer than the records in force.
    pub(crate) fn missing(&self, held: Vec<Entry>) -> Vec<Entry> {
        held.into_iter().filter(|entry| self.is_missing(entry)).collect()
    }

    /// Returns whether `entry` is newer than the record in force.
    pub(crate) fn is_missing(&self, entry: &Entry) -> bool {
        entry.revision > self.revision(&entry.key)
    }

    /// Returns the records in force that are newer than those in `held`.
    pub(crate) fn newer_than(&self, held: &[Entry]) -> Vec<Arc<Record>> {
        let theirs: BTreeMap<_, _> = held.iter().map(|h| (&h.key, h.revision)).collect();
        let newer = |record: &&Arc<Record>| {
            theirs.get(&record.key).is_none_or(|&revision| record.revision > revision)
        };
        self.records.values().filter(newer).cloned().collect()
    }

    pub(crate) fn revisions(&self) -> BTreeMap<id::Name, id::Revision> {
        let records = self.records.iter();
        records.map(|(key, record)| (key.clone(), record.revision)).collect()
    }
}

/// Returns the share of one record in the digest, 0 for revision 0.
fn record_hash(key: &str, revision: id::Revision) -> u64 {
    if revision.0 == 0 {
        return 0;
    }
    let mut bytes = Vec::with_capacity(key.len() + 9);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&revision.0.to_le_bytes());
    hash::digest(&bytes)
}
