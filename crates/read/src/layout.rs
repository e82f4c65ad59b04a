//! Partition maps with their leafs resolved to indices into the leaf table.

use std::sync::Arc;

use jacinthfall_core::query::Scope;
use jacinthfall_core::service::{Map, Service};
use jacinthfall_core::{hash, id};

use crate::leafs::{Index, Table};

/// One shard of a layout.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) shard: id::Shard,
    pub(crate) replicas: Vec<Index>,
}

/// Resolved partition map of one index version.
#[derive(Debug)]
pub(crate) struct Layout {
    pub(crate) version: id::Version,
    pub(crate) entries: Vec<Entry>,
    /// Epoch of the service description that it was resolved from.
    pub(crate) epoch: u64,
}

impl Layout {
    fn resolve(map: &Map, table: &Table, epoch: u64) -> Layout {
        let entries = map
            .shards
            .iter()
            .map(|shard| Entry {
                shard: shard.shard,
                replicas: shard.replicas.iter().filter_map(|leaf| table.find(leaf)).collect(),
            })
            .collect();
        Layout { version: map.version, entries, epoch }
    }

    /// Returns the positions of the entries that `scope` covers.
    pub(crate) fn targets(&self, scope: &Scope) -> Vec<usize> {
        match scope {
            Scope::All => (0..self.entries.len()).collect(),
            Scope::Key(key) => self.position_of(key).into_iter().collect(),
        }
    }

    /// Returns the position of the entry that holds `key`; must agree with
    /// `Map::shard_of`.
    pub(crate) fn position_of(&self, key: &str) -> Option<usize> {
        let count = self.entries.len() as u64;
        if count == 0 {
            return None;
        }
        usize::try_from(hash::digest(key.as_bytes()) % count).ok()
    }

    /// Returns the position of the entry of `shard`.
    pub(crate) fn position(&self, shard: id::Shard) -> Option<usize> {
        self.entries.binary_search_by_key(&shard, |entry| entry.shard).ok()
    }
}

/// Returns the layouts of all versions that can be queried, oldest first.
pub(crate) fn resolve(service: &Service, table: &Table, epoch: u64) -> Vec<Arc<Layout>> {
    service.maps.iter().map(|map| Arc::new(Layout::resolve(map, table, epoch))).collect()
}
