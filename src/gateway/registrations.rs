//! Registrations of leafs: which entries of the store are some, and what follows from changes of
//! them for the leafs in use and the connections to them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use jacinthfall_adapter::registry;
use jacinthfall_adapter::store::Item;
use jacinthfall_core::id;
use jacinthfall_dispatch::catalog::Record;
use jacinthfall_dispatch::fleet::Key;
use metrics::counter;

use super::hub::{Hub, MIN_ASSUMED_NODES};
use super::pool::{self, DEFAULT_IDLE_TIMEOUT};
use super::tables::Tables;

/// Returns the id and record of a leaf; `None` if the key names no leaf. A record without an entry
/// says that the leaf isn't to be used. Other writers may leave anything among the registrations.
pub fn decode(hub: &Hub, item: &Item) -> Option<(id::Name, Record)> {
    if !item.key.starts_with(registry::PREFIX) {
        return None;
    }
    let id = registry::decode_key(&item.key);
    let entry = item.value.as_ref().and_then(|value| registry::decode(value));
    if item.value.is_some() && (id.is_none() || entry.is_none()) {
        counter!("jacinthfall_registrations_ignored_total").increment(1);
        hub.audit.log_ignored_registration(hub.now(), &item.key, item.at);
    }
    Some((id?.into(), Record::of(item.at, entry)))
}

impl Hub {
    /// Updates the fleet and the connections after registrations of leafs have changed. `source`
    /// is logged.
    pub fn apply_leaf_changes(self: &Arc<Self>, changed: &[id::Name], source: &str) {
        let now = self.now();
        self.audit.log_registration_changes(now, &self.tables, changed, source);
        let (unused, unconnected) = {
            let mut tables = self.tables();
            let unused = tables.update_fleet(now);
            // In a large deployment, a node that callers don't use opens no connections in
            // advance, so that the limited connections of leafs remain for other nodes.
            let few = tables.roster.len() < MIN_ASSUMED_NODES;
            let unconnected = if few || tables.is_active() {
                self.unconnected_leafs(&tables, changed)
            } else {
                Vec::new()
            };
            (unused, unconnected)
        };
        for key in unused {
            self.close_idle(key);
        }
        for (key, address) in unconnected {
            tokio::spawn(preconnect(Arc::clone(self), key, address));
        }
        self.serve_if_ready();
    }

    /// Returns those of the changed leafs that belong to configured services, whose zone isn't
    /// evacuated and that this node has no connection to. Connections to the others have been
    /// closed since they were idle.
    fn unconnected_leafs(&self, tables: &Tables, changed: &[id::Name]) -> Vec<(Key, SocketAddr)> {
        let Some(known) = &tables.configuration else { return Vec::new() };
        let changed: HashSet<&id::Name> = changed.iter().collect();
        let keys = known.snapshot.services.keys().flat_map(|name| tables.fleet.leafs(name));
        let open = keys.filter(|key| !tables.fleet.is_evacuated(**key));
        let leafs = open.filter_map(|key| Some((*key, tables.fleet.leaf(*key)?)));
        let unconnected =
            leafs.filter(|(key, leaf)| changed.contains(&leaf.id) && !self.pool.is_open(*key));
        unconnected.map(|(key, leaf)| (key, leaf.entry.address)).collect()
    }
}

/// Opens the first connection to a leaf, so that no request has to wait for it.
async fn preconnect(hub: Arc<Hub>, key: Key, address: SocketAddr) {
    if let Some(permit) = hub.pool.reserve(key, 1)
        && let Ok(sender) = pool::dial(address, permit).await
    {
        hub.release(key, sender, hub.now(), DEFAULT_IDLE_TIMEOUT);
    }
}
