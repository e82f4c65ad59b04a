//! State that the tasks of a gateway node share.
//!
//! [`Hub`] holds it all; [`Tables`], behind its lock, is what decisions depend on. Two parts
//! have locks of their own: the pool for connections to leafs, and the audit for its counts and
//! retained lines. Of these, only the lock of the pool may be taken while the tables are locked.
//! [`maintain`] removes expired entries in the background.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::budget::Budget;
use jacinthfall_dispatch::caller_timeout::Estimator;
use jacinthfall_dispatch::catalog::Catalog;
use jacinthfall_dispatch::fleet::{Fleet, Key, connections_per_node};
use jacinthfall_dispatch::flight::Context;
use jacinthfall_dispatch::latency::Latency;
use jacinthfall_dispatch::roster::{Node, Phase, Roster};
use jacinthfall_dispatch::split::Selector;
use jacinthfall_dispatch::transfer::{Edition, Slots};
use jacinthfall_net::clock::Clock;
use jacinthfall_route::snapshot::{Route, Snapshot};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::Notify;

use super::audit::Audit;
use super::document::Document;
use super::pool::{self, DEFAULT_IDLE_TIMEOUT, Pool};
use super::settings::Settings;
use crate::util::lock::lock;

/// Interval between two runs of [`maintain`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of maintenance intervals over which [`Meter`] counts parts.
const METER_TICKS: usize = 6;

/// Minimum parts per second at which the node counts as used by callers. Probes cause fewer.
const MIN_ACTIVE_PARTS_PER_SECOND: f64 = 4.0;

/// Expected response time before any was measured, as a share of the route's latency objective.
const INITIAL_LATENCY_SHARE: f64 = 0.2;

/// Lower bound of the assumed number of active nodes, or the number of known nodes if that is
/// lower.
const MIN_ASSUMED_NODES: usize = 8;

/// Time for which the number of active nodes is held after it has dropped. For as long after the
/// start, [`MIN_ASSUMED_NODES`] applies even if fewer nodes are known.
const NODE_COUNT_HOLD: Duration = Duration::from_secs(10);

/// Time for which a node that watches the store itself waits for changes that a peer already
/// has, before it asks the peer.
pub const MAX_WATCH_LAG: Duration = Duration::from_millis(400);

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Revision of the document and the form in which it is sent to other nodes.
    pub edition: Edition,
    /// The document in that form.
    pub packed: Bytes,
    /// The decoded document.
    pub snapshot: Arc<Snapshot>,
}

/// A later configuration than the one in force, which another node knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Its store revision.
    pub revision: u64,
    /// Since when this node has been behind.
    pub since: Time,
}

/// Measures the rate of parts over the latest `METER_TICKS` maintenance intervals.
#[derive(Debug, Default)]
pub struct Meter {
    /// Number of parts in each of the latest intervals, newest first.
    ticks: [u32; METER_TICKS],
}

impl Meter {
    /// Counts a part.
    pub fn add(&mut self) {
        self.ticks[0] += 1;
    }

    /// Starts the next interval.
    fn tick(&mut self) {
        self.ticks.rotate_right(1);
        self.ticks[0] = 0;
    }

    /// Returns the number of parts per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let parts: u32 = self.ticks.iter().sum();
        f64::from(parts) / (MAINTENANCE_INTERVAL.as_secs_f64() * METER_TICKS as f64)
    }
}

/// Statistics of a route's past requests, which decisions on later ones use.
#[derive(Debug)]
pub struct Statistics {
    /// Response times of leafs.
    pub latency: Latency,
    /// Distributes the requests of a split route over its services.
    pub selector: Selector,
    /// Estimates the timeouts of callers.
    pub caller_timeout: Estimator,
}

impl Statistics {
    fn open(route: &Route) -> Statistics {
        let latency = Latency::open(route.objective.mul_f64(INITIAL_LATENCY_SHARE));
        Statistics { latency, selector: Selector::default(), caller_timeout: Estimator::default() }
    }
}

/// Returns the statistics of a route; creates them if there are none yet.
fn statistics<'a>(
    routes: &'a mut HashMap<id::Name, Statistics>,
    route: &Route,
) -> &'a mut Statistics {
    routes.entry(route.name.clone()).or_insert_with(|| Statistics::open(route))
}

/// State that decisions depend on.
#[derive(Debug)]
pub struct Tables {
    /// The configuration in force.
    pub configuration: Option<Configuration>,
    /// The latest configuration that exists, if it isn't in force yet.
    pub expected: Option<Expected>,
    /// Store revision of the latest document that was put in force or can't be; 0 if there was
    /// none yet.
    pub examined: u64,
    /// Nodes that the configuration in force is being sent to.
    pub slots: Slots,
    /// Registrations of leafs.
    pub catalog: Catalog,
    /// Store revision up to which all changes are known, but for a configuration that is
    /// expected; 0 if nothing is known yet.
    pub upto: u64,
    /// When the store, or a node whose calls the store answers, last confirmed that there are no
    /// later changes.
    pub confirmed: Time,
    /// Leafs that requests are sent to.
    pub fleet: Fleet,
    /// Budget of retries and hedged sends.
    pub budget: Budget,
    /// Statistics by route.
    pub routes: HashMap<id::Name, Statistics>,
    /// The other nodes.
    pub roster: Roster,
    /// Number of nodes that share the connections of leafs and the retry budget.
    pub nodes: usize,
    /// Rate of parts sent to leafs.
    pub parts: Meter,
    /// Lifecycle phase of this node.
    pub phase: Phase,
}

impl Tables {
    /// Returns the state that decisions on a request of a route depend on.
    pub fn context(&mut self, route: &Route) -> Context<'_> {
        // A node that callers don't use isn't one of the nodes that `nodes` counts.
        let sharing =
            if self.is_active() { self.nodes } else { self.nodes.max(self.roster.len() + 1) };
        self.budget.set_nodes(sharing);
        let Tables { routes, fleet, budget, .. } = self;
        Context { fleet, budget, latency: &statistics(routes, route).latency }
    }

    /// Returns the version of the configuration in force; 0 if there is none yet.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |known| known.snapshot.version)
    }

    /// Returns the store revision of the configuration in force; 0 if there is none yet.
    #[must_use]
    pub fn configuration_revision(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |known| known.edition.revision)
    }

    /// Returns the store revision of the latest configuration that is known to exist; 0 if there
    /// is none.
    #[must_use]
    pub fn latest_configuration(&self) -> u64 {
        self.expected.map_or(self.examined, |expected| expected.revision)
    }

    /// Records that a configuration of a store revision exists. Returns `true` if it is later
    /// than all that this node knew of.
    fn expect_configuration(&mut self, now: Time, revision: u64) -> bool {
        if revision <= self.latest_configuration() {
            return false;
        }
        let since = self.expected.map_or(now, |expected| expected.since);
        self.expected = Some(Expected { revision, since });
        true
    }

    /// Whether callers send requests to this node.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.parts.rate() >= MIN_ACTIVE_PARTS_PER_SECOND
    }

    /// Returns the statistics of a route.
    pub fn statistics(&mut self, route: &Route) -> &mut Statistics {
        statistics(&mut self.routes, route)
    }

    /// Records that the document of a revision was received. Returns `false` if it, or a later
    /// one, was before.
    fn examine(&mut self, revision: u64) -> bool {
        if revision <= self.examined {
            return false;
        }
        self.examined = revision;
        self.expected = self.expected.filter(|expected| expected.revision > revision);
        true
    }

    /// Returns for how long a later configuration than the one in force has been known to exist.
    #[must_use]
    pub fn time_behind(&self, now: Time) -> Duration {
        self.expected.map_or(Duration::ZERO, |expected| now.since(expected.since))
    }

    /// Replaces the configuration in force.
    fn put_in_force(&mut self, document: &Document, snapshot: Arc<Snapshot>) {
        let Document { edition, packed, .. } = document;
        let packed = packed.clone();
        self.configuration = Some(Configuration { edition: *edition, packed, snapshot });
        self.set_nodes(self.nodes);
        self.remove_stale_routes();
    }

    /// Removes the statistics of routes that are no longer configured.
    fn remove_stale_routes(&mut self) {
        let Some(known) = &self.configuration else { return };
        let names: HashSet<&id::Name> = known.snapshot.routes().map(|route| &route.name).collect();
        self.routes.retain(|name, _| names.contains(name));
    }

    /// Sets the number of nodes that share the connections of leafs and the retry budget.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
        self.budget.set_nodes(nodes);
        let Some(known) = &self.configuration else { return };
        let services = known.snapshot.services.values();
        let limits =
            services.map(|s| (s.name.clone(), connections_per_node(s.max_connections, nodes)));
        self.fleet.set_concurrency_limits(limits.collect());
    }

    /// Updates the fleet after a change of the catalog. Returns the keys that are no longer used.
    pub fn update_fleet(&mut self, now: Time) -> Vec<Key> {
        self.fleet.update(now, self.catalog.usable())
    }
}

/// Addresses of this node that are announced to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoints {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
}

/// State that the tasks of a gateway node share.
#[derive(Debug)]
pub struct Hub {
    /// Settings of the node.
    pub settings: Settings,
    /// Description of this node that other nodes receive.
    pub own: Node,
    /// Connections to leafs.
    pub pool: Pool,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// Log lines and counts about requests.
    pub audit: Audit,
    /// Number of requests of callers without an answer yet.
    pub in_flight: AtomicUsize,
    /// Whether the store answered the latest call.
    pub store_answers: AtomicBool,
    /// Whether the store has answered any call.
    pub store_has_answered: AtomicBool,
    /// Notified when the store stops answering or answers again.
    pub store_changed: Notify,
    /// Notified when a later configuration than the one in force is known to exist.
    pub configuration_expected: Notify,
    /// Notified when this node's state has changed, so that a heartbeat is sent at once.
    pub heartbeat_due: Notify,
    /// Set to `true` when the connections of callers must be closed.
    pub closing: tokio::sync::watch::Sender<bool>,
    tables: Mutex<Tables>,
    clock: Clock,
}

impl Hub {
    /// Creates the shared state of a node that has just started.
    #[must_use]
    pub fn open(settings: Settings, endpoints: Endpoints, metrics: PrometheusHandle) -> Hub {
        let clock = Clock::open();
        let started = clock.wall().0;
        let own = Node {
            name: settings.node.clone(),
            started,
            zone: settings.zone.clone(),
            callers: endpoints.callers,
            peers: endpoints.peers,
            capacity: settings.capacity.parts(),
        };
        let seed = jacinthfall_core::hash::digest(format!("{}@{started}", own.name).as_bytes());
        let nodes = MIN_ASSUMED_NODES;
        let tables = Tables {
            configuration: None,
            expected: None,
            examined: 0,
            slots: Slots::open(settings.capacity.link_mbps),
            catalog: Catalog::default(),
            upto: 0,
            confirmed: Time(0),
            fleet: Fleet::open(settings.zone.clone(), seed),
            budget: Budget::open(settings.budget(), nodes),
            routes: HashMap::new(),
            roster: Roster::default(),
            nodes,
            parts: Meter::default(),
            phase: Phase::Starting,
        };
        Hub {
            settings,
            own,
            pool: Pool::default(),
            metrics,
            audit: Audit::default(),
            in_flight: AtomicUsize::new(0),
            store_answers: AtomicBool::new(false),
            store_has_answered: AtomicBool::new(false),
            store_changed: Notify::new(),
            configuration_expected: Notify::new(),
            heartbeat_due: Notify::new(),
            closing: tokio::sync::watch::Sender::new(false),
            tables: Mutex::new(tables),
            clock,
        }
    }

    /// Returns the time since the process started, on the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.time()
    }

    /// Converts a time to the clock of the async runtime.
    #[must_use]
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.clock.instant(time))
    }

    /// Locks the tables.
    ///
    /// Lock order: the lock of the connection pool is the only one that may be taken while
    /// this one is held, and never the other way round.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        lock(&self.tables)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.tables().configuration.as_ref().map(|known| Arc::clone(&known.snapshot))
    }

    /// Records that a configuration of a store revision exists, so that it is fetched.
    pub fn expect_configuration(&self, revision: u64) {
        let now = self.now();
        if self.tables().expect_configuration(now, revision) {
            self.configuration_expected.notify_one();
        }
    }

    /// Puts a configuration in force unless a later one already is. `source` is logged.
    pub fn configure(&self, document: &Document, source: &str) {
        let revision = document.edition.revision;
        let started = self.now();
        let behind = {
            let mut tables = self.tables();
            let behind = tables.time_behind(started);
            if !tables.examine(revision) {
                return;
            }
            behind
        };
        // The document may be large, so it is decoded while the tables aren't locked.
        let snapshot = match jacinthfall_adapter::configuration::decode(&document.text) {
            Ok(snapshot) => Arc::new(snapshot),
            Err(error) => {
                log::warn!("event=configuration_unreadable revision={revision} reason=\"{error}\"");
                return;
            }
        };
        let decoding = self.now().since(started);
        {
            let mut tables = self.tables();
            let in_force = tables.version();
            if in_force > snapshot.version {
                let version = snapshot.version;
                log::warn!(
                    "event=configuration_older version={version} in_force={in_force} \
                     revision={revision}"
                );
                return;
            }
            log_configuration(document, &snapshot, source, decoding, behind);
            tables.put_in_force(document, snapshot);
        }
        self.serve_if_ready();
    }

    /// Updates the fleet and the connections after registrations of leafs have changed. `source`
    /// is logged.
    pub fn apply_leaf_changes(self: &Arc<Self>, changed: &[id::Name], source: &str) {
        self.audit.log_registration_changes(self, changed, source);
        let now = self.now();
        let (unused, unconnected) = {
            let mut tables = self.tables();
            let unused = tables.update_fleet(now);
            // In a large deployment, a node that callers don't use opens no connections in
            // advance, so that the limited connections of leafs remain for other nodes.
            let few = tables.roster.len() < MIN_ASSUMED_NODES;
            let unconnected = if few || tables.is_active() {
                self.unconnected_leafs(&tables)
            } else {
                Vec::new()
            };
            (unused, unconnected)
        };
        for key in unused {
            self.pool.close(key);
        }
        for (key, address) in unconnected {
            tokio::spawn(preconnect(Arc::clone(self), key, address));
        }
        self.serve_if_ready();
    }

    /// Returns the leafs of configured services that this node has no connection to.
    fn unconnected_leafs(&self, tables: &Tables) -> Vec<(Key, SocketAddr)> {
        let Some(known) = &tables.configuration else { return Vec::new() };
        let keys = known.snapshot.services.keys().flat_map(|name| tables.fleet.leafs(name));
        let unconnected = keys.filter(|key| !self.pool.is_open(**key));
        unconnected.filter_map(|key| Some((*key, tables.fleet.leaf(*key)?.entry.address))).collect()
    }

    /// Starts to serve once routes and leafs are known, and triggers a heartbeat.
    fn serve_if_ready(&self) {
        let mut tables = self.tables();
        let ready = tables.configuration.is_some() && tables.upto > 0;
        if tables.phase == Phase::Starting && ready {
            tables.phase = Phase::Serving;
            log::info!("event=serving leafs={}", tables.catalog.len());
        }
        drop(tables);
        self.heartbeat_due.notify_one();
    }
}

fn log_configuration(
    document: &Document,
    snapshot: &Snapshot,
    source: &str,
    decoding: Duration,
    behind: Duration,
) {
    let non_idempotent = snapshot.routes().filter(|route| !route.idempotent);
    let non_idempotent: Vec<&str> = non_idempotent.map(|route| &*route.name).collect();
    log::info!(
        "event=configuration version={} revision={} source={source} bytes={} packed_bytes={} \
         decode_ms={} behind_ms={} routes={} services={} unrepeatable=[{}]",
        snapshot.version,
        document.edition.revision,
        document.text.len(),
        document.packed.len(),
        decoding.as_millis(),
        behind.as_millis(),
        snapshot.routes().count(),
        snapshot.services.len(),
        non_idempotent.join(" ")
    );
}

/// Opens the first connection to a leaf, so that no request has to wait for it.
async fn preconnect(hub: Arc<Hub>, key: Key, address: SocketAddr) {
    if let Some(permit) = hub.pool.reserve(key, 1)
        && let Ok(sender) = pool::dial(address, permit).await
    {
        hub.pool.put_idle(key, sender, hub.now(), DEFAULT_IDLE_TIMEOUT);
    }
}

/// Periodically removes expired nodes, leafs and connections, updates the number of active
/// nodes, and logs summaries.
pub async fn maintain(hub: Arc<Hub>) {
    let mut interval = tokio::time::interval(MAINTENANCE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = hub.now();
        let (node_changes, expired) = {
            let mut tables = hub.tables();
            let node_changes = tables.roster.expire(now, &hub.own);
            tables.parts.tick();
            let active = tables.roster.active_nodes(now, NODE_COUNT_HOLD);
            let known_nodes = tables.roster.len() + 1;
            let settled = now.since(Time(0)) > NODE_COUNT_HOLD;
            let min_nodes =
                if settled { known_nodes.min(MIN_ASSUMED_NODES) } else { MIN_ASSUMED_NODES };
            let nodes = active.max(min_nodes);
            if nodes != tables.nodes {
                tables.set_nodes(nodes);
            }
            (node_changes, tables.catalog.expire(now))
        };
        for (name, change) in node_changes {
            log::info!("event=node name={name} phase={change:?}");
        }
        if !expired.is_empty() {
            hub.apply_leaf_changes(&expired, "lapse");
        }
        hub.pool.expire(now);
        hub.audit.flush_if_due(&hub);
        hub.metrics.run_upkeep();
    }
}
