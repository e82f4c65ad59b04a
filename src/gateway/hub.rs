//! State that the tasks of a gateway node share.
//!
//! [`Hub`] holds it all; [`Tables`], behind its lock, are what decisions depend on. Two parts
//! have locks of their own: the pool for connections to leafs, and the audit for its counts and
//! retained lines. Of these, only the lock of the pool may be taken while the tables are locked.
//! [`maintenance`](super::maintenance) removes expired entries in the background.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use jacinthfall_core::hash;
use jacinthfall_core::history::Position;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::budget::Budget;
use jacinthfall_dispatch::catalog::Catalog;
use jacinthfall_dispatch::configuration::Ranks;
use jacinthfall_dispatch::evacuation;
use jacinthfall_dispatch::fleet::{Fleet, Key};
use jacinthfall_dispatch::latency::Latency;
use jacinthfall_dispatch::quarantine::{self, Fingerprint};
use jacinthfall_dispatch::roster::{Demand, Node, Phase, Roster};
use jacinthfall_dispatch::transfer::Slots;
use jacinthfall_dispatch::{overload, relay, round_trip, watch};
use jacinthfall_net::clock::Clock;
use jacinthfall_route::snapshot::Snapshot;
use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;

use super::audit::Audit;
use super::connection::{Received, Sender};
use super::peers::relay::Links;
use super::pool::Pool;
use super::quotas::Gate;
use super::settings::Settings;
use super::tables::{INITIAL_LAG, Meter, Shared, Tables};

/// Lower bound of the assumed number of active nodes, or the number of known nodes if that is
/// lower.
pub(super) const MIN_ASSUMED_NODES: usize = 8;

/// Time for which a node that watches the store itself waits for changes that a peer already
/// has, before it asks the peer.
pub const MAX_WATCH_LAG: Duration = Duration::from_millis(400);

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
    /// Connections to nodes that serve requests on behalf of this one.
    pub relays: Links,
    /// Quotas of organisations.
    pub quotas: Gate,
    /// Latest version of the configuration under which a request of this node was served, here or
    /// by another node.
    pub(super) latest_served: AtomicU64,
    /// Number of requests that this node serves on behalf of others.
    pub served_for_others: AtomicUsize,
    /// Size of the responses of leafs that are being received.
    pub received: Received,
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
    /// Notified when the store has answered a call.
    pub store_answered: Notify,
    /// Notified when this node's lease is to be renewed at once, to find out whether the store
    /// answers.
    pub renewal_due: Arc<Notify>,
    /// Notified when a later configuration than the one in force is known to exist.
    pub configuration_expected: Notify,
    /// Notified when this node's state has changed, so that a heartbeat is sent at once.
    pub heartbeat_due: Notify,
    /// Set to `true` when the connections of callers must be closed.
    pub closing: tokio::sync::watch::Sender<bool>,
    /// State that decisions depend on, behind its lock.
    pub tables: Shared,
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
        let seed = hash::digest(format!("{}@{started}", own.name).as_bytes());
        let nodes = MIN_ASSUMED_NODES;
        let mut fleet = Fleet::open(settings.zone.clone(), seed);
        fleet.set_order(settings.overload.queue);
        fleet.set_share(Time(0), 1.0 / nodes as f64);
        fleet.close_all_zones();
        let tables = Tables {
            configuration: None,
            ranks: Ranks::default(),
            slots: Slots::open(settings.capacity.link_mbps),
            catalog: Catalog::default(),
            evacuations: evacuation::Table::default(),
            upto: Position::START,
            unverified: None,
            knowledge: watch::Knowledge::default(),
            fleet,
            budget: Budget::open(settings.budget(), nodes),
            overload: overload::State::open(settings.overload),
            routes: HashMap::new(),
            quarantine_received: false,
            quarantine: quarantine::Table::open(hash::unit_interval(seed)),
            relays: relay::Selector::default(),
            relay_trial: relay::Trial::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            round_trips: round_trip::Estimator::default(),
            lag: Latency::open(INITIAL_LAG),
            roster: Roster::default(),
            nodes,
            parts: Meter::default(),
            demand: Meter::default(),
            stated_demand: Demand::default(),
            phase: Phase::Starting,
        };
        Hub {
            quotas: Gate::open(settings.quotas.as_ref(), &own.name, started),
            settings,
            own,
            pool: Pool::default(),
            relays: Links::default(),
            latest_served: AtomicU64::new(0),
            served_for_others: AtomicUsize::new(0),
            received: Received::default(),
            metrics,
            audit: Audit::default(),
            in_flight: AtomicUsize::new(0),
            store_answers: AtomicBool::new(false),
            store_has_answered: AtomicBool::new(false),
            store_changed: Notify::new(),
            store_answered: Notify::new(),
            renewal_due: Arc::default(),
            configuration_expected: Notify::new(),
            heartbeat_due: Notify::new(),
            closing: tokio::sync::watch::Sender::new(false),
            tables: Shared::open(tables),
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

    /// Locks the tables; see [`Shared::lock`] for the order of locks.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.tables().configuration.as_ref().map(|known| Arc::clone(&known.snapshot))
    }

    /// Logs and counts that the store has returned from an older copy, once this node has
    /// applied what the store, or another node, says since. `before` is the place up to which it
    /// knew all changes before.
    pub fn record_restore(&self, before: Position, source: &str) {
        let tables = self.tables();
        let upto = tables.upto;
        if before == Position::START || upto.era <= before.era {
            return;
        }
        counter!("jacinthfall_store_restores_total").increment(1);
        log::warn!(
            "event=store_restored era={} before={before} now={upto} source={source} leafs={} \
             leafs_missing={} leafs_outdated={} version={}",
            upto.era,
            tables.catalog.len(),
            tables.catalog.lapsing(),
            tables.catalog.outdated(),
            tables.version()
        );
    }

    /// Adds what another node knows of requests that were present at crashes of leafs.
    pub fn merge_quarantine(&self, rows: &[quarantine::Row]) {
        let now = self.now();
        let news: Vec<(Fingerprint, Duration)> = {
            let mut tables = self.tables();
            rows.iter().filter_map(|row| tables.quarantine.merge(now, row)).collect()
        };
        for (request, quarantine) in news {
            self.audit.log_quarantine(now, request, quarantine, "peer");
        }
    }

    /// Returns a connection to the pool, for `idle` at most.
    pub fn release(&self, key: Key, sender: Sender, now: Time, idle: Duration) {
        self.tables().fleet.record_idle(now, key, now + idle);
        self.pool.put_idle(key, sender, now, idle);
    }

    /// Closes the idle connections to a leaf.
    pub fn close_idle(&self, key: Key) {
        self.tables().fleet.record_closed(key);
        self.pool.close(key);
    }

    /// Starts to serve once enough is known, and triggers a heartbeat.
    pub fn serve_if_ready(&self) {
        let now = self.now();
        let mut tables = self.tables();
        if tables.phase == Phase::Starting && tables.is_ready(now) {
            tables.phase = Phase::Serving;
            log::info!(
                "event=serving leafs={} version={} upto={} verified={}",
                tables.catalog.len(),
                tables.version(),
                tables.upto,
                tables.unverified.is_none()
            );
        }
        drop(tables);
        self.heartbeat_due.notify_one();
    }
}
