//! State that decisions depend on: what this node knows of the configuration, leafs and nodes.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::budget::Budget;
use jacinthfall_dispatch::catalog::Catalog;
use jacinthfall_dispatch::configuration::Ranks;
use jacinthfall_dispatch::evacuation;
use jacinthfall_dispatch::fleet::{Fleet, Key, connections_per_node};
use jacinthfall_dispatch::flight::{Context, Timing};
use jacinthfall_dispatch::latency::Latency;
use jacinthfall_dispatch::overload;
use jacinthfall_dispatch::quarantine;
use jacinthfall_dispatch::relay;
use jacinthfall_dispatch::roster::{Demand, Node, Phase, Roster};
use jacinthfall_dispatch::round_trip;
use jacinthfall_dispatch::split::Selector;
use jacinthfall_dispatch::transfer::{Edition, Slots};
use jacinthfall_dispatch::watch;
use jacinthfall_route::snapshot::{Route, Snapshot};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::callers::Caller;
use super::document::Document;
use crate::util::lock::lock;

/// Interval at which [`Meter::tick`] is called.
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time that a starting node which read a restored store waits for another node to say
/// what it knows.
pub const MAX_PEER_WAIT: Duration = Duration::from_millis(100);

/// Maximum time that a starting node waits for a later configuration, which others have in force.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_secs(2);

/// Number of maintenance intervals over which [`Meter`] counts parts.
const METER_TICKS: usize = 6;

/// Minimum parts per second at which the node counts as used by callers. Probes cause fewer.
const MIN_ACTIVE_PARTS_PER_SECOND: f64 = 4.0;

/// Quantile of the delays of this node's timers that answers allow for.
const LAG_QUANTILE: f64 = 0.9;

/// Delay of this node's timers before any was measured.
pub const INITIAL_LAG: Duration = Duration::from_millis(2);

/// Expected response time before any was measured, as a share of the route's latency objective. An
/// operator sets an objective that leafs can meet; the first responses replace this.
const INITIAL_LATENCY_SHARE: f64 = 0.2;

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Rank of the document and the form in which it is sent to other nodes.
    pub edition: Edition,
    /// The document in that form.
    pub packed: Bytes,
    /// The decoded document.
    pub snapshot: Arc<Snapshot>,
}

/// Measures the rate of parts over the latest `METER_TICKS` maintenance intervals.
#[derive(Debug, Default)]
pub struct Meter {
    /// Number of parts in each of the latest intervals, newest first.
    ticks: [u32; METER_TICKS],
}

impl Meter {
    /// Counts parts.
    pub fn add(&mut self, parts: usize) {
        let parts = u32::try_from(parts).unwrap_or(u32::MAX);
        self.ticks[0] = self.ticks[0].saturating_add(parts);
    }

    /// Starts the next interval.
    pub fn tick(&mut self) {
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
}

impl Statistics {
    fn open(route: &Route) -> Statistics {
        let latency = Latency::open(route.objective.mul_f64(INITIAL_LATENCY_SHARE));
        Statistics { latency, selector: Selector::default() }
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
    /// Ranks of the configuration in force and of later ones.
    pub ranks: Ranks,
    /// Nodes that the configuration in force is being sent to.
    pub slots: Slots,
    /// Registrations of leafs.
    pub catalog: Catalog,
    /// Evacuated availability zones.
    pub evacuations: evacuation::Table,
    /// Place in the store's history up to which all changes are known, but for a configuration
    /// that is expected; the start if nothing is known yet.
    pub upto: Position,
    /// Set after this node has read a store that was restored once, until another node has said
    /// what it knows: since when.
    pub unverified: Option<Time>,
    /// As of when all changes are known, and whether the store answers.
    pub knowledge: watch::Knowledge,
    /// Leafs that requests are sent to.
    pub fleet: Fleet,
    /// Budget of retries and hedged sends.
    pub budget: Budget,
    /// Shortage of shards, and what gives way to it.
    pub overload: overload::State,
    /// Statistics by route.
    pub routes: HashMap<id::Name, Statistics>,
    /// Whether another node has sent all that it knows of requests that crash leafs.
    pub quarantine_received: bool,
    /// Requests that were present at crashes of leafs.
    pub quarantine: quarantine::Table,
    /// Nodes that serve requests on behalf of this one.
    pub relays: relay::Selector,
    /// Whether other nodes answer queries whole of which this one has lost some shards.
    pub relay_trial: relay::Trial,
    /// Random numbers for the choice among nodes and leafs.
    pub rng: ChaCha8Rng,
    /// Round trips to callers.
    pub round_trips: round_trip::Estimator,
    /// Time by which timers of requests were handled late.
    pub lag: Latency,
    /// The other nodes.
    pub roster: Roster,
    /// Number of nodes that share the connections of leafs and the retry budget.
    pub nodes: usize,
    /// Rate of parts sent to leafs.
    pub parts: Meter,
    /// Rate of parts that callers ask for.
    pub demand: Meter,
    /// What other nodes are told of the demand. This node's share of rate limits follows the same
    /// figures, so that the shares of all nodes add up.
    pub stated_demand: Demand,
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
        let Tables { routes, fleet, budget, overload, rng, .. } = self;
        let latency = &statistics(routes, route).latency;
        Context {
            fleet,
            budget,
            latency,
            overload,
            priority: route.priority,
            lot: 0.5,
            jitter: rng.random(),
            is_quarantined: false,
        }
    }

    /// Returns the version of the configuration in force; 0 if there is none yet.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.ranks.in_force().version
    }

    /// Whether this node knows enough to serve. A node that starts waits for what the others know
    /// of, for a limited time.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        let waits_for_peers = self.unverified.is_some_and(|since| now.since(since) < MAX_PEER_WAIT)
            && !self.roster.is_empty();
        let waits_for_configuration =
            self.ranks.is_behind() && self.ranks.time_behind(now) < MAX_CONFIGURATION_WAIT;
        self.configuration.is_some()
            && self.upto > Position::START
            && self.evacuations.allows_requests(now)
            && !waits_for_peers
            && !waits_for_configuration
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

    /// Returns what is known of a caller's time when a request of a route arrives that states a
    /// timeout.
    #[must_use]
    pub fn timing(
        &self,
        now: Time,
        route: &Route,
        stated: Option<Duration>,
        caller: Caller,
    ) -> Timing {
        Timing {
            deadline: now + stated.unwrap_or(route.timeout).min(route.timeout),
            elapsed: Duration::ZERO,
            round_trip: self.round_trips.round_trip(caller.address, self.fleet.connect_time()),
            lag: self.lag(),
        }
    }

    /// Returns the time by which this node may act later than it wants to.
    #[must_use]
    pub fn lag(&self) -> Duration {
        self.lag.quantile(LAG_QUANTILE)
    }

    /// Replaces the configuration in force.
    pub fn put_in_force(&mut self, now: Time, document: &Document, snapshot: Arc<Snapshot>) {
        let Document { edition, packed, .. } = document;
        let packed = packed.clone();
        self.ranks.put_in_force(edition.rank);
        self.configuration = Some(Configuration { edition: *edition, packed, snapshot });
        self.set_nodes(self.nodes);
        self.set_warmup_limits(now);
        self.remove_stale_routes();
    }

    /// Lets the fleet know the limits of cold leafs that the configuration in force states.
    fn set_warmup_limits(&mut self, now: Time) {
        let Some(known) = &self.configuration else { return };
        let services = known.snapshot.services.values();
        let limits = services.filter_map(|s| Some((s.name.clone(), s.warmup_limit?)));
        self.fleet.set_warmup_limits(now, limits.collect());
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

    /// Updates what this node tells the others of its demand, and its share of rate limits.
    /// `max_share` bounds the share of a node that may not know the others yet.
    pub fn update_share(&mut self, now: Time, own: &Node, max_share: f64) {
        let node = (1_000.0 * self.demand.rate()).round() as u32;
        self.stated_demand = Demand { node, zone: self.roster.zone_demand(own, node) };
        let share = self.roster.demand_share(own, node).min(max_share);
        self.fleet.set_share(now, share);
    }

    /// Updates the fleet after a change of the catalog. Returns the keys that are no longer used.
    pub fn update_fleet(&mut self, now: Time) -> Vec<Key> {
        self.fleet.update(now, self.catalog.usable())
    }
}

/// The tables behind their lock.
#[derive(Debug)]
pub struct Shared(Mutex<Tables>);

impl Shared {
    /// Puts the tables behind a lock.
    #[must_use]
    pub fn open(tables: Tables) -> Shared {
        Shared(Mutex::new(tables))
    }

    /// Locks the tables.
    ///
    /// Lock order: the lock of the connection pool is the only one that may be taken while
    /// this one is held, and never the other way round.
    pub fn lock(&self) -> MutexGuard<'_, Tables> {
        lock(&self.0)
    }
}
