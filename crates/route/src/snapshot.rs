//! Snapshot of the configuration: limits, services, routes and organisations.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::id;

use crate::organisation::Directory;

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first to the last byte of a request head.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// A service that routes send requests to; its instances are leafs.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: id::Name,
    /// Maximum number of connections that each of its leafs accepts from all nodes together.
    pub max_connections: usize,
    /// Path at which its leafs answer health checks.
    pub health_path: String,
    /// Number of requests per second that a cold leaf accepts from all nodes together; `None` if
    /// there is no limit.
    pub warmup_limit: Option<f64>,
}

/// One service of a [`Target::Split`].
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Service that receives the share.
    pub service: id::Name,
    /// Weight relative to the other shares; greater than 0.
    pub weight: f64,
}

/// Scatter-gather query: sent to one leaf of each shard, and the replies merged into the
/// greatest records.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// Services that hold one shard each, without duplicates.
    pub shards: Vec<id::Name>,
    /// Number of records in an answer.
    pub top: usize,
    /// Minimum share of the shards that must reply for an answer, from 0 to 1.
    pub min_coverage: f64,
}

impl Gather {
    /// Returns the minimum number of shards that must reply for an answer.
    ///
    /// ```
    /// use jacinthfall_route::snapshot::Gather;
    /// let shards = (0..10).map(|n| n.to_string().into()).collect();
    /// let gather = Gather { shards, top: 5, min_coverage: 0.89 };
    /// assert_eq!(gather.min_shards(), 9);
    /// ```
    #[must_use]
    pub fn min_shards(&self) -> usize {
        let total = self.shards.len();
        (1..total).find(|&n| n as f64 >= self.min_coverage * total as f64).unwrap_or(total)
    }
}

/// Destination of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One leaf of a service.
    Service(id::Name),
    /// One leaf of one of several services, chosen in proportion to their weights.
    Split(Vec<Share>),
    /// One leaf of each shard.
    Gather(Gather),
}

/// Rules for the requests under one path prefix of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: id::Name,
    /// Host, in lower case.
    pub host: id::Name,
    /// Path prefix.
    pub prefix: id::Name,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// Latency objective: later answers are of less value to callers.
    pub objective: Duration,
    /// Maximum number of leafs that a request may be sent to, for each shard.
    pub attempts: usize,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether callers need no key of an organisation.
    pub allows_anonymous: bool,
    /// Destination of the requests.
    pub target: Target,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Version number; a higher one is newer.
    pub version: u64,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// Services by name.
    pub services: HashMap<id::Name, Service>,
    /// Organisations that requests must come from; empty if the deployment has none.
    pub organisations: Directory,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<id::Name, Vec<Arc<Route>>>,
}

impl Snapshot {
    /// Creates a snapshot.
    #[must_use]
    pub fn open(
        version: u64,
        limits: Limits,
        services: impl IntoIterator<Item = Service>,
        routes: impl IntoIterator<Item = Route>,
    ) -> Snapshot {
        let services = services.into_iter().map(|s| (Arc::clone(&s.name), s)).collect();
        let mut hosts: HashMap<id::Name, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(Arc::clone(&route.host)).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let organisations = Directory::default();
        Snapshot { version, limits, services, organisations, hosts }
    }

    /// Sets the organisations that requests must come from.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Directory) -> Snapshot {
        self.organisations = organisations;
        self
    }

    /// Returns the route of a host with the longest prefix that `path` starts with.
    ///
    /// `host` is the value that callers send: upper or lower case, with or without a port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&*name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Iterates over all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
