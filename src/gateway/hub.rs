//! What the parts of a gateway node share.

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
use jacinthfall_net::clock::Clock;
use jacinthfall_route::snapshot::{Route, Snapshot};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::Notify;

use super::audit::Audit;
use super::leafs::Pool;
use super::settings::Settings;
use crate::util::lock::lock;

/// Time between two looks at what has run out.
const TEND_INTERVAL: Duration = Duration::from_millis(250);

/// Ticks over which parts are counted.
const METER_TICKS: usize = 6;

/// Parts in a second from which callers count as using the node; probes make fewer.
const ACTIVE_RATE: f64 = 4.0;

/// Share of a route's objective that a response is expected to take before any came.
const INITIAL_SHARE: f64 = 0.2;

/// Active nodes that are assumed at least, where there are as many.
const INITIAL_NODES: usize = 8;

/// Time for which a larger number of nodes is still assumed.
const SHRINK_AFTER: Duration = Duration::from_secs(10);

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Store revision.
    pub revision: u64,
    /// The document as it stands in the store.
    pub document: Bytes,
    /// What it says.
    pub snapshot: Arc<Snapshot>,
}

/// Counts parts over the last second or two.
#[derive(Debug, Default)]
pub struct Meter {
    /// Counts of the latest ticks, newest first.
    ticks: [u32; METER_TICKS],
}

impl Meter {
    /// Counts a part.
    pub fn add(&mut self) {
        self.ticks[0] += 1;
    }

    fn tick(&mut self) {
        self.ticks.rotate_right(1);
        self.ticks[0] = 0;
    }

    /// Parts in a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let parts: u32 = self.ticks.iter().sum();
        f64::from(parts) / (TEND_INTERVAL.as_secs_f64() * METER_TICKS as f64)
    }
}

/// What was learnt of a route.
#[derive(Debug)]
pub struct Lessons {
    /// Response times of leafs.
    pub latency: Latency,
    /// Deals requests out where the route is split.
    pub dealer: Selector,
    /// How long callers wait.
    pub patience: Estimator,
}

impl Lessons {
    fn open(route: &Route) -> Lessons {
        let latency = Latency::open(route.objective.mul_f64(INITIAL_SHARE));
        Lessons { latency, dealer: Selector::default(), patience: Estimator::default() }
    }
}

/// What was learnt of a route, opened if there is nothing yet.
fn lessons<'a>(routes: &'a mut HashMap<id::Name, Lessons>, route: &Route) -> &'a mut Lessons {
    routes.entry(route.name.clone()).or_insert_with(|| Lessons::open(route))
}

/// Everything that decisions draw on.
#[derive(Debug)]
pub struct Tables {
    /// The configuration in force.
    pub configuration: Option<Configuration>,
    /// What is known of leafs.
    pub catalog: Catalog,
    /// Store revision up to which all changes are known; 0 before anything is.
    pub upto: u64,
    /// When the store, or a node that it answers, last showed that nothing later is known.
    pub confirmed: Time,
    /// Leafs that requests are placed on.
    pub fleet: Fleet,
    /// Bound on extra sends.
    pub budget: Budget,
    /// What was learnt of routes.
    pub routes: HashMap<id::Name, Lessons>,
    /// The other nodes.
    pub roster: Roster,
    /// Nodes that share leafs' connections and the bound on extra sends.
    pub nodes: usize,
    /// Parts given to leafs of late.
    pub parts: Meter,
    /// What this node does for callers.
    pub phase: Phase,
}

impl Tables {
    /// What decisions on a request of a route draw on.
    pub fn world(&mut self, route: &Route) -> Context<'_> {
        let Tables { routes, fleet, budget, .. } = self;
        Context { fleet, budget, latency: &lessons(routes, route).latency }
    }

    /// Version of the configuration in force; 0 before any is.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |known| known.snapshot.version)
    }

    /// Whether callers use this node.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.parts.rate() >= ACTIVE_RATE
    }

    /// What was learnt of a route.
    pub fn lessons(&mut self, route: &Route) -> &mut Lessons {
        lessons(&mut self.routes, route)
    }

    /// Forgets what was learnt of routes that are no longer there.
    fn forget_routes(&mut self) {
        let Some(known) = &self.configuration else { return };
        let names: HashSet<&id::Name> = known.snapshot.routes().map(|route| &route.name).collect();
        self.routes.retain(|name, _| names.contains(name));
    }

    /// Takes over how many nodes share the leafs' connections and the extra sends.
    pub fn share(&mut self, nodes: usize) {
        self.nodes = nodes;
        self.budget.set_nodes(nodes);
        let Some(known) = &self.configuration else { return };
        let services = known.snapshot.services.values();
        let limits =
            services.map(|s| (s.name.clone(), connections_per_node(s.max_connections, nodes)));
        self.fleet.set_concurrency_limits(limits.collect());
    }

    /// Takes over a change of the catalog into the fleet.
    pub fn refresh(&mut self, now: Time) -> Vec<Key> {
        self.fleet.update(now, self.catalog.usable())
    }
}

/// Addresses that a node tells others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other nodes reach it.
    pub peers: SocketAddr,
}

/// What the parts of a gateway node share.
#[derive(Debug)]
pub struct Hub {
    /// Settings.
    pub settings: Settings,
    /// This node, as it tells others.
    pub own: Node,
    /// Connections to leafs.
    pub pool: Pool,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// Lines and counts about requests.
    pub audit: Audit,
    /// Requests in hand.
    pub in_hand: AtomicUsize,
    /// Whether the store answered the latest call.
    pub store_answers: AtomicBool,
    /// Whether the store has answered any call.
    pub store_seen: AtomicBool,
    /// Woken when the store stopped answering or answers again.
    pub store_turned: Notify,
    /// Woken when this node's own state changed and others should hear of it.
    pub news: Notify,
    /// Woken when connections of callers have to end.
    pub closing: tokio::sync::watch::Sender<bool>,
    tables: Mutex<Tables>,
    clock: Clock,
}

impl Hub {
    /// Opens the shared state of a node that knows nothing yet.
    #[must_use]
    pub fn open(settings: Settings, bound: Bound, metrics: PrometheusHandle) -> Hub {
        let clock = Clock::open();
        let started = clock.wall().0;
        let own = Node {
            name: settings.node.clone(),
            started,
            zone: settings.zone.clone(),
            callers: bound.callers,
            peers: bound.peers,
            capacity: settings.capacity.parts(),
        };
        let seed = jacinthfall_core::hash::of(format!("{}@{started}", own.name).as_bytes());
        let nodes = INITIAL_NODES;
        let tables = Tables {
            configuration: None,
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
            in_hand: AtomicUsize::new(0),
            store_answers: AtomicBool::new(false),
            store_seen: AtomicBool::new(false),
            store_turned: Notify::new(),
            news: Notify::new(),
            closing: tokio::sync::watch::Sender::new(false),
            tables: Mutex::new(tables),
            clock,
        }
    }

    /// Time since the process started, on the steady clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.time()
    }

    /// The point on the runtime's clock that a time stands for.
    #[must_use]
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.clock.instant(time))
    }

    /// Locks the tables. Of the other locks only that of the connections to leafs is
    /// taken while they are held, never the other way round.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        lock(&self.tables)
    }

    /// The configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.tables().configuration.as_ref().map(|known| Arc::clone(&known.snapshot))
    }

    /// Takes over a configuration document unless a newer one is in force.
    pub fn configure(&self, revision: u64, document: &Bytes, source: &str) {
        let mut tables = self.tables();
        if tables.configuration.as_ref().is_some_and(|known| known.revision >= revision) {
            return;
        }
        let snapshot = match jacinthfall_adapter::configuration::decode(document) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log::warn!("event=configuration_unreadable revision={revision} reason=\"{error}\"");
                return;
            }
        };
        let known = tables.configuration.as_ref();
        if known.is_some_and(|known| known.snapshot.version > snapshot.version) {
            return;
        }
        let unrepeatable = snapshot.routes().filter(|route| !route.idempotent);
        let unrepeatable: Vec<&str> = unrepeatable.map(|route| &*route.name).collect();
        log::info!(
            "event=configuration version={} revision={revision} source={source} routes={} \
             services={} unrepeatable=[{}]",
            snapshot.version,
            snapshot.routes().count(),
            snapshot.services.len(),
            unrepeatable.join(" ")
        );
        let snapshot = Arc::new(snapshot);
        tables.configuration =
            Some(Configuration { revision, document: document.clone(), snapshot });
        let nodes = tables.nodes;
        tables.share(nodes);
        tables.forget_routes();
        drop(tables);
        self.advance();
    }

    /// Takes over a change of what is known of leafs, which came from `source`.
    pub fn leafs_changed(self: &Arc<Self>, changed: &[id::Name], source: &str) {
        self.audit.leafs_changed(self, changed, source);
        let now = self.now();
        let (unused, warm) = {
            let mut tables = self.tables();
            let unused = tables.refresh(now);
            // A node that callers don't use leaves the leafs' connections to the others.
            let few = tables.roster.len() < INITIAL_NODES;
            let warm =
                if few || tables.is_active() { self.cold_leafs(&tables) } else { Vec::new() };
            (unused, warm)
        };
        for key in unused {
            self.pool.close(key);
        }
        for (key, address) in warm {
            tokio::spawn(super::leafs::warm(Arc::clone(self), key, address));
        }
        self.advance();
    }

    /// Leafs of configured services without any connection.
    fn cold_leafs(&self, tables: &Tables) -> Vec<(Key, SocketAddr)> {
        let Some(known) = &tables.configuration else { return Vec::new() };
        let keys = known.snapshot.services.keys().flat_map(|name| tables.fleet.leafs(name));
        let cold = keys.filter(|key| !self.pool.is_open(**key));
        cold.filter_map(|key| Some((*key, tables.fleet.leaf(*key)?.entry.address))).collect()
    }

    /// Begins to serve once routes and leafs are known.
    fn advance(&self) {
        let mut tables = self.tables();
        let ready = tables.configuration.is_some() && tables.upto > 0;
        if tables.phase == Phase::Starting && ready {
            tables.phase = Phase::Serving;
            log::info!("event=serving leafs={}", tables.catalog.len());
        }
        drop(tables);
        self.news.notify_one();
    }
}

/// Drops what has run out, again and again.
pub async fn tend(hub: Arc<Hub>) {
    let mut pause = tokio::time::interval(TEND_INTERVAL);
    pause.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        pause.tick().await;
        let now = hub.now();
        let (silent, lapsed) = {
            let mut tables = hub.tables();
            let silent = tables.roster.expire(now, &hub.own);
            tables.parts.tick();
            let active = tables.roster.active_nodes(now, SHRINK_AFTER);
            let known = tables.roster.len() + 1;
            let settled = now.since(Time(0)) > SHRINK_AFTER;
            let least = if settled { known.min(INITIAL_NODES) } else { INITIAL_NODES };
            let nodes = active.max(least);
            if nodes != tables.nodes {
                tables.share(nodes);
            }
            (silent, tables.catalog.expire(now))
        };
        for (name, change) in silent {
            log::info!("event=node name={name} phase={change:?}");
        }
        if !lapsed.is_empty() {
            hub.leafs_changed(&lapsed, "lapse");
        }
        hub.pool.expire(now);
        hub.audit.summarize(&hub);
        hub.metrics.run_upkeep();
    }
}
