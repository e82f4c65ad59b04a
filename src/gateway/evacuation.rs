//! Applies what the store and other nodes say of evacuated availability zones.

use std::sync::Arc;

use jacinthfall_adapter::evacuation::decode_key;
use jacinthfall_adapter::store::Item;
use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::evacuation::{Change, Statement, Table};
use jacinthfall_dispatch::fleet::Key;
use metrics::counter;

use super::hub::Hub;
use super::tables::Tables;

/// Applies a change of a key that a watch returned. Returns `false` if the key is another one.
pub fn apply_item(hub: &Hub, item: &Item) -> bool {
    let Some(zone) = decode_key(&item.key) else { return false };
    let evacuated = item.value.is_some();
    update(hub, "store", |table, now| {
        table.apply(now, &zone.into(), item.at, evacuated).into_iter().collect()
    });
    if evacuated {
        warn_if_ignored(hub, zone, item.at);
    }
    true
}

/// Logs that a zone isn't evacuated although the store has its key.
fn warn_if_ignored(hub: &Hub, zone: &str, at: Position) {
    if !hub.tables().evacuations.evacuated().contains(zone) {
        log::warn!(
            "event=evacuation_ignored zone={zone:?} at={at} reason=\"a later change is known, the \
             name isn't valid, or too many zones are evacuated; remove other op/evacuate/ keys or \
             write the key again\""
        );
    }
}

/// Applies a listing that holds all keys of evacuations, as of a place.
pub fn apply_listing(hub: &Hub, items: &[Item], upto: Position) {
    let items = items.iter().filter(|item| item.value.is_some());
    let listed: Vec<(id::Name, Position)> =
        items.filter_map(|item| Some((decode_key(&item.key)?.into(), item.at))).collect();
    update(hub, "store", |table, now| table.apply_listing(now, &listed, upto));
    listed.iter().for_each(|(zone, at)| warn_if_ignored(hub, zone, *at));
}

/// Merges what another node states; drops what is implausible.
pub fn merge(hub: &Hub, statement: &Statement) {
    update(hub, "peer", |table, now| match table.merge(now, statement) {
        Ok(changes) => changes,
        Err(error) => {
            counter!("jacinthfall_evacuation_statements_dropped_total").increment(1);
            log::debug!("a peer's statement of evacuations was dropped: {error}");
            Vec::new()
        }
    });
}

/// Records that another node can't say which zones are evacuated, as nodes of older builds.
pub fn record_uninformed(hub: &Hub) {
    update(hub, "peer", |table, now| {
        table.record_uninformed(now);
        Vec::new()
    });
}

/// Drops old tombstones, and lets requests be sent once that is allowed.
pub fn expire(hub: &Hub) {
    update(hub, "time", |table, now| {
        table.expire(now);
        Vec::new()
    });
}

/// Changes the known evacuations, and stops or resumes to send to the leafs of the zones.
fn update(hub: &Hub, source: &str, change: impl FnOnce(&mut Table, Time) -> Vec<Change>) {
    let now = hub.now();
    let (changes, closed) = {
        let mut tables = hub.tables();
        let changes = change(&mut tables.evacuations, now);
        let is_due = !changes.is_empty() || tables.fleet.is_closed();
        let closed = if is_due { put_in_force(&mut tables, now) } else { Vec::new() };
        (changes, closed)
    };
    for Change { zone, at, evacuated } in &changes {
        let state = if *evacuated { "begun" } else { "ended" };
        log::info!("event=evacuation zone={zone:?} state={state} at={at} source={source}");
    }
    if changes.is_empty() {
        return;
    }
    closed.into_iter().for_each(|key| hub.close_idle(key));
    // The other nodes are told with the next heartbeat.
    hub.heartbeat_due.notify_one();
}

/// Lets the fleet know which zones are evacuated. Returns the leafs there.
fn put_in_force(tables: &mut Tables, now: Time) -> Vec<Key> {
    if !tables.evacuations.allows_requests(now) {
        return Vec::new();
    }
    tables.fleet.set_evacuated(tables.evacuations.evacuated());
    tables.fleet.evacuated_leafs()
}

/// Returns what this node tells the others, and whether there is news; `None` if there is nothing
/// to tell.
pub fn next_statement(hub: &Arc<Hub>) -> Option<(Statement, bool)> {
    let mut tables = hub.tables();
    let is_news = tables.evacuations.take_news();
    let table = &tables.evacuations;
    (!table.is_empty()).then(|| (table.statement(), is_news))
}
