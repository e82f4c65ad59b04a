//! Follows the changes in the platform's store and keeps this node registered there.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jacinthfall_adapter::store::{Changes, Client, Error, Item};
use jacinthfall_adapter::{configuration, evacuation as evacuation_keys};
use jacinthfall_core::history::Position;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::roster::Node;
use jacinthfall_dispatch::watch::Role;
use metrics::{counter, histogram};

use super::evacuation;
use super::hub::Hub;
use super::registrations;
use super::tables::MAX_PEER_WAIT;
use crate::registration::{self, Backoff, Entry};

/// Prefix of the keys of the nodes' registrations.
const NODE_PREFIX: &str = "jacinthfall/nodes/";

/// Prefix of the keys that a node follows: all keys.
const ALL_KEYS: &str = "";

/// Interval between two decisions whether this node watches the store.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time after the start in which a node doesn't watch the store: it can't know yet whether
/// another node of its zone does.
const MIN_WATCH_UPTIME: Duration = Duration::from_millis(600);

/// Maximum time that a starting node waits for data from other nodes, before it reads the
/// store. Running nodes answer its first heartbeat at once.
const MAX_PEERS_WAIT: Duration = Duration::from_millis(25);

/// Interval between two checks whether data from other nodes has arrived.
const PEERS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Pause after a watch that returned changes, so that the next call returns the changes that
/// follow together.
const WATCH_BATCH_PAUSE: Duration = Duration::from_millis(400);

/// Minimum time between two reads of the evacuations alone by a node that has read them before.
const EVACUATION_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Starts to follow the store and to keep this node registered in it.
pub fn spawn(hub: &Arc<Hub>) {
    let client = Client::open(hub.settings.store.address);
    tokio::spawn(follow(Arc::clone(hub), client.clone()));
    let value = serde_json::to_vec(&hub.own).expect("a node has string keys only").into();
    let entry = Entry { key: format!("{NODE_PREFIX}{}", hub.own.name).into(), value };
    let (recorder, due) = (Arc::clone(hub), Arc::clone(&hub.renewal_due));
    tokio::spawn(registration::keep(client, entry, due, move |call, result| {
        record_result(&recorder, call, result)
    }));
}

/// Makes a call to the store, and records its duration and result.
async fn measure<T>(
    hub: &Hub,
    kind: &'static str,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let started = hub.now();
    let result = call.await;
    let took = hub.now().since(started);
    histogram!("jacinthfall_store_call_seconds", "call" => kind).record(took);
    record_result(hub, kind, &result);
    result
}

/// Records the result of a call to the store, and logs whether the store became reachable or
/// unreachable.
fn record_result<T>(hub: &Hub, call: &'static str, result: &Result<T, Error>) {
    let outcome = match result {
        Ok(_) => "ok",
        Err(Error::Compacted | Error::Restored | Error::LeaseEnded | Error::Conflict(_)) => {
            "rejected"
        }
        Err(Error::Refused(_)) => "refused",
        Err(Error::Unknown(_) | Error::Era(_)) => "unknown",
    };
    hub.audit.count_store_call(call);
    counter!("jacinthfall_store_calls_total", "call" => call, "outcome" => outcome).increment(1);
    let answers = matches!(outcome, "ok" | "rejected");
    let before = hub.store_answers.swap(answers, Ordering::Relaxed);
    if answers {
        hub.tables().knowledge.record_answer(hub.now());
        hub.store_answered.notify_one();
    }
    if before == answers {
        return;
    }
    // The other nodes must know who can watch the store.
    hub.heartbeat_due.notify_one();
    if answers {
        let first = !hub.store_has_answered.swap(true, Ordering::Relaxed);
        let event = if first { "store_reached" } else { "store_regained" };
        log::info!("event={event} call={call}");
        let now = hub.now();
        hub.tables().catalog.store_regained(now);
        hub.store_changed.notify_waiters();
    } else if let Err(error) = result {
        log::warn!("event=store_lost call={call} reason=\"{error}\"");
        hub.store_changed.notify_waiters();
    }
}

/// Reads all keys unless peers have sent the data, then follows the changes until the future
/// is dropped. One node of each zone watches the store; the others get the changes from it while
/// it proves that the store answers.
async fn follow(hub: Arc<Hub>, client: Client) {
    let mut backoff = Backoff::open();
    let mut evacuations = Evacuations::default();
    wait_for_peers(&hub).await;
    loop {
        if hub.tables().upto == Position::START && list(&hub, &client).await.is_err() {
            backoff.pause().await;
            continue;
        }
        if evacuations.is_due(&hub) && evacuations.refresh(&hub, &client).await.is_err() {
            backoff.pause().await;
            continue;
        }
        match role(&hub) {
            Role::Watch(wait) => match follow_once(&hub, &client, wait).await {
                Ok(()) => backoff.reset(),
                Err(_) => backoff.pause().await,
            },
            Role::Check => check(&hub).await,
            Role::Rely(left) => tokio::time::sleep(left.min(ROLE_POLL_INTERVAL)).await,
        }
    }
}

/// Returns what this node does now about changes in the store.
fn role(hub: &Hub) -> Role {
    let now = hub.now();
    if now.since(Time(0)) < MIN_WATCH_UPTIME {
        return Role::Rely(ROLE_POLL_INTERVAL);
    }
    let mut tables = hub.tables();
    let upto = tables.upto;
    tables.knowledge.advance(upto);
    let answers = hub.store_answers.load(Ordering::Relaxed);
    tables.knowledge.role(now, &hub.settings.schedule(), &tables.roster, &hub.own, answers)
}

/// Finds out whether the store answers this node: has its lease renewed, which costs less than a
/// watch.
async fn check(hub: &Hub) {
    counter!("jacinthfall_store_checks_total").increment(1);
    hub.renewal_due.notify_one();
    // Without an answer, the renewal itself is repeated, with a backoff.
    let _ = tokio::time::timeout(ROLE_POLL_INTERVAL, hub.store_answered.notified()).await;
}

/// Reads of the evacuations alone, by a node that got the registrations of leafs from nodes that
/// couldn't tell the evacuations, such as those of an older build.
#[derive(Debug, Default)]
struct Evacuations {
    /// When the latest read began.
    read_at: Option<Time>,
}

impl Evacuations {
    /// Whether the evacuations are to be read.
    fn is_due(&self, hub: &Hub) -> bool {
        let tables = hub.tables();
        let is_recent = |at: Time| hub.now().since(at) < EVACUATION_READ_INTERVAL;
        let known = tables.evacuations.upto();
        known < tables.upto && (known == Position::START || !self.read_at.is_some_and(is_recent))
    }

    async fn refresh(&mut self, hub: &Arc<Hub>, client: &Client) -> Result<(), Error> {
        self.read_at = Some(hub.now());
        let listing = measure(hub, "list", client.list(evacuation_keys::PREFIX)).await?;
        evacuation::apply_listing(hub, &listing.items, listing.at);
        hub.serve_if_ready();
        Ok(())
    }
}

/// Makes one watch call, after reading a configuration that the watch would pass over.
async fn follow_once(hub: &Arc<Hub>, client: &Client, wait: Duration) -> Result<(), Error> {
    let passed_over = {
        let tables = hub.tables();
        tables.ranks.is_passed_over(tables.upto)
    };
    if passed_over && let Some(item) = measure(hub, "get", client.get(configuration::KEY)).await? {
        apply_configuration(hub, &item);
    }
    watch(hub, client, wait).await
}

/// Waits up to [`MAX_PEERS_WAIT`] for data from other nodes. Nodes that are seeds themselves
/// don't wait.
async fn wait_for_peers(hub: &Hub) {
    let seeds = hub.settings.seeds();
    if seeds.is_empty() || seeds.contains(&hub.own.peers) {
        return;
    }
    let end = hub.instant(hub.now() + MAX_PEERS_WAIT);
    while hub.tables().upto == Position::START && tokio::time::Instant::now() < end {
        tokio::time::sleep(PEERS_POLL_INTERVAL).await;
    }
}

/// Makes one watch call, from the place up to which all changes are known.
async fn watch(hub: &Arc<Hub>, client: &Client, wait: Duration) -> Result<(), Error> {
    let upto = hub.tables().upto;
    let changed = hub.store_changed.notified();
    let result = tokio::select! {
        result = measure(hub, "watch", client.watch(ALL_KEYS, upto, wait)) => result,
        // A watch that was waiting when the store became unresponsive may never be answered.
        () = changed => return Err(Error::Unknown("the store's reachability changed".to_owned())),
    };
    match result {
        Ok(changes) => {
            let is_change = !changes.events.is_empty();
            apply(hub, upto, changes);
            if is_change {
                tokio::time::sleep(WATCH_BATCH_PAUSE).await;
            }
            Ok(())
        }
        Err(error @ (Error::Compacted | Error::Restored)) => {
            let restored = matches!(error, Error::Restored);
            log::info!("event=history_dropped upto={upto} restored={restored}");
            list(hub, client).await
        }
        Err(error) => Err(error),
    }
}

/// Reads all keys.
async fn list(hub: &Arc<Hub>, client: &Client) -> Result<(), Error> {
    let started = hub.now();
    let listing = measure(hub, "list", client.list(ALL_KEYS)).await?;
    let mut leafs = Vec::new();
    let mut nodes = HashSet::new();
    for item in &listing.items {
        if let Some(name) = item.key.strip_prefix(NODE_PREFIX) {
            nodes.insert(name.into());
            apply_node(hub, item);
        } else if let Some(leaf) = registrations::decode(hub, item) {
            leafs.push(leaf);
        } else {
            apply_configuration(hub, item);
        }
    }
    evacuation::apply_listing(hub, &listing.items, listing.at);
    let now = hub.now();
    let (before, changed) = {
        let mut tables = hub.tables();
        let before = tables.upto;
        if before == Position::START && listing.at.era > 0 {
            tables.unverified = Some(now);
            tokio::spawn(serve_later(Arc::clone(hub)));
        }
        if listing.at >= before {
            tables.roster.retain_registrations(&nodes);
            tables.knowledge.record_read(started);
        }
        tables.upto = before.max(listing.at);
        (before, tables.catalog.apply_listing(now, leafs, listing.at))
    };
    hub.record_restore(before, "store");
    hub.apply_leaf_changes(&changed, "store");
    Ok(())
}

/// Starts to serve when other nodes have not answered in time.
async fn serve_later(hub: Arc<Hub>) {
    tokio::time::sleep(MAX_PEER_WAIT).await;
    hub.serve_if_ready();
}

/// Applies the changes after a place that a watch returned.
fn apply(hub: &Arc<Hub>, after: Position, changes: Changes) {
    let mut changed = Vec::new();
    let now = hub.now();
    for item in &changes.events {
        if &*item.key == configuration::KEY {
            apply_configuration(hub, item);
        } else if evacuation::apply_item(hub, item) {
            // Nothing else depends on it.
        } else if let Some((id, record)) = registrations::decode(hub, item) {
            if hub.tables().catalog.apply(now, &id, record) {
                changed.push(id);
            }
        } else if item.key.starts_with(NODE_PREFIX) {
            apply_node(hub, item);
        }
    }
    {
        let mut tables = hub.tables();
        tables.upto = tables.upto.max(changes.at);
        tables.evacuations.advance(after, changes.at);
        tables.knowledge.record_read(now);
    }
    if !changed.is_empty() {
        hub.apply_leaf_changes(&changed, "store");
    }
    hub.heartbeat_due.notify_one();
}

fn apply_configuration(hub: &Arc<Hub>, item: &Item) {
    if &*item.key == configuration::KEY
        && let Some(text) = &item.value
    {
        hub.configure_from_store(item.at, text);
    }
}

fn apply_node(hub: &Hub, item: &Item) {
    let Some(name) = item.key.strip_prefix(NODE_PREFIX) else { return };
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
