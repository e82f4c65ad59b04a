//! Follows the platform's store and keeps this node registered there.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jacinthfall_adapter::store::{Changes, Client, Error, Item};
use jacinthfall_adapter::{configuration, registry};
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::catalog::Record;
use jacinthfall_dispatch::roster::Node;
use metrics::{counter, histogram};

use super::hub::Hub;
use crate::registration::{self, Backoff, Entry};

/// Prefix of the nodes' registrations.
const NODES: &str = "jacinthfall/nodes/";

/// Prefix of all keys that a node follows.
const EVERYTHING: &str = "";

/// Longest wait of one watch. A store that was silent for a moment may never answer a
/// watch that waits; a change must be known in time all the same.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// Time between two looks whether this node is the one of its zone that watches.
const ROLE_LOOK: Duration = Duration::from_millis(200);

/// Time after the start in which a node leaves watching to others: it can't know yet
/// whether another one of its zone does.
const ROLE_SETTLE: Duration = Duration::from_millis(600);

/// Time for which a node that starts waits for what other nodes know. Those that run
/// answer its first heartbeat at once.
const PEERS_WAIT: Duration = Duration::from_millis(60);

/// Time between two looks whether other nodes have told what they know.
const PEERS_LOOK: Duration = Duration::from_millis(5);

/// Pause after changes: those that follow come together, with one call.
const WATCH_PAUSE: Duration = Duration::from_millis(400);

/// Starts to follow the store.
pub fn spawn(hub: &Arc<Hub>) {
    let client = Client::open(hub.settings.store.address);
    tokio::spawn(follow(Arc::clone(hub), client.clone()));
    let value = serde_json::to_vec(&hub.own).expect("a node has string keys only").into();
    let entry = Entry { key: format!("{NODES}{}", hub.own.name).into(), value };
    let noting = Arc::clone(hub);
    tokio::spawn(registration::keep(client, entry, move |call, result| {
        note(&noting, call, result)
    }));
}

/// Makes a call to the store, measures it and notes how it ended.
async fn measure<T>(
    hub: &Hub,
    kind: &'static str,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let started = hub.now();
    let result = call.await;
    let took = hub.now().since(started);
    histogram!("jacinthfall_store_call_seconds", "call" => kind).record(took);
    note(hub, kind, &result);
    result
}

/// Notes how a call to the store ended.
fn note<T>(hub: &Hub, call: &'static str, result: &Result<T, Error>) {
    let outcome = match result {
        Ok(_) => "ok",
        Err(Error::Compacted | Error::LeaseEnded | Error::Conflict(_)) => "rejected",
        Err(Error::Refused(_)) => "refused",
        Err(Error::Unknown(_)) => "unknown",
    };
    hub.audit.store_call(call);
    counter!("jacinthfall_store_calls_total", "call" => call, "outcome" => outcome).increment(1);
    let answers = matches!(outcome, "ok" | "rejected");
    let before = hub.store_answers.swap(answers, Ordering::Relaxed);
    if before == answers {
        return;
    }
    if answers {
        let first = !hub.store_seen.swap(true, Ordering::Relaxed);
        let event = if first { "store_reached" } else { "store_regained" };
        log::info!("event={event} call={call}");
        let now = hub.now();
        hub.tables().catalog.store_regained(now);
        hub.store_turned.notify_waiters();
    } else if let Err(error) = result {
        log::warn!("event=store_lost call={call} reason=\"{error}\"");
        hub.store_turned.notify_waiters();
    }
}

/// Learns everything, then follows changes, for as long as the process runs. One node of
/// each zone watches the store; the others learn from it.
async fn follow(hub: Arc<Hub>, client: Client) {
    let mut backoff = Backoff::open();
    wait_for_peers(&hub).await;
    loop {
        if hub.tables().upto == 0 && list(&hub, &client).await.is_err() {
            backoff.pause().await;
            continue;
        }
        let is_new = hub.now().since(Time(0)) < ROLE_SETTLE;
        if is_new || !hub.tables().roster.is_follower_of_store(hub.now(), &hub.own) {
            tokio::time::sleep(ROLE_LOOK).await;
            continue;
        }
        if watch(&hub, &client).await.is_err() {
            backoff.pause().await;
        } else {
            backoff.reset();
        }
    }
}

/// Gives other nodes the time to tell what they know. Nodes that others are told to
/// ask first don't wait.
async fn wait_for_peers(hub: &Hub) {
    let seeds = hub.settings.seeds();
    if seeds.is_empty() || seeds.contains(&hub.own.peers) {
        return;
    }
    let end = hub.instant(hub.now() + PEERS_WAIT);
    while hub.tables().upto == 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(PEERS_LOOK).await;
    }
}

/// Watches once from the revision up to which everything is known.
async fn watch(hub: &Arc<Hub>, client: &Client) -> Result<(), Error> {
    let upto = hub.tables().upto;
    let turned = hub.store_turned.notified();
    let result = tokio::select! {
        result = measure(hub, "watch", client.watch(EVERYTHING, upto, WATCH_WAIT)) => result,
        // What was asked of a store that fell silent may stay without a response.
        () = turned => return Err(Error::Unknown("the store was lost or regained".to_owned())),
    };
    match result {
        Ok(changes) => {
            let is_change = !changes.events.is_empty();
            apply(hub, changes);
            if is_change {
                tokio::time::sleep(WATCH_PAUSE).await;
            }
            Ok(())
        }
        Err(Error::Compacted) => {
            log::info!("event=history_dropped revision={upto}");
            list(hub, client).await
        }
        Err(error) => Err(error),
    }
}

/// Reads everything.
async fn list(hub: &Arc<Hub>, client: &Client) -> Result<(), Error> {
    let listing = measure(hub, "list", client.list(EVERYTHING)).await?;
    let mut listed = Vec::new();
    for item in &listing.items {
        if item.key.starts_with(NODES) {
            apply_node(hub, item);
        } else if let Some(leaf) = leaf(item) {
            listed.push(leaf);
        } else {
            apply_configuration(hub, item);
        }
    }
    let now = hub.now();
    let changed = {
        let mut tables = hub.tables();
        tables.upto = tables.upto.max(listing.revision);
        tables.confirmed = now;
        tables.catalog.apply_listing(now, listed, listing.revision)
    };
    hub.leafs_changed(&changed, "store");
    Ok(())
}

fn apply(hub: &Arc<Hub>, changes: Changes) {
    let mut changed = Vec::new();
    let now = hub.now();
    for item in &changes.events {
        if &*item.key == configuration::KEY {
            apply_configuration(hub, item);
        } else if let Some((id, record)) = leaf(item) {
            if hub.tables().catalog.apply(now, &id, record) {
                changed.push(id);
            }
        } else if item.key.starts_with(NODES) {
            apply_node(hub, item);
        }
    }
    {
        let mut tables = hub.tables();
        tables.upto = tables.upto.max(changes.revision);
        tables.confirmed = now;
    }
    if !changed.is_empty() {
        hub.leafs_changed(&changed, "store");
    }
    hub.news.notify_one();
}

fn leaf(item: &Item) -> Option<(id::Name, Record)> {
    let id = item.key.strip_prefix(registry::PREFIX)?;
    let entry = item.value.as_ref().and_then(|value| registry::decode(value));
    Some((id.into(), Record { revision: item.revision, entry }))
}

fn apply_configuration(hub: &Arc<Hub>, item: &Item) {
    if &*item.key == configuration::KEY
        && let Some(document) = &item.value
    {
        hub.configure(item.revision, document, "store");
    }
}

fn apply_node(hub: &Hub, item: &Item) {
    let Some(name) = item.key.strip_prefix(NODES) else { return };
    if *name == *hub.own.name {
        return;
    }
    let node = item.value.as_ref().and_then(|value| serde_json::from_slice::<Node>(value).ok());
    let now = hub.now();
    let mut tables = hub.tables();
    match node {
        Some(node) => tables.roster.record_registration(now, node),
        None => tables.roster.remove_registration(name),
    }
}
