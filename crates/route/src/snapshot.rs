//! One version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::id;

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first to the last byte of a request head.
    pub head_timeout: Duration,
    /// Longest time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: id::Name,
    /// Connections that each of its leafs accepts from all nodes together.
    pub max_connections: usize,
}

/// One alternative of a split.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Service that takes the share.
    pub service: id::Name,
    /// Weight relative to the other shares; above 0.
    pub weight: f64,
}

/// Query to one leaf of each shard, merged to the greatest records.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// Services that hold one shard each, without duplicates.
    pub shards: Vec<id::Name>,
    /// Records in an answer.
    pub top: usize,
    /// Least share of the shards that makes an answer, 0 to 1.
    pub min_coverage: f64,
}

impl Gather {
    /// Least number of shards that makes an answer.
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

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// To one leaf of a service.
    Service(id::Name),
    /// To one leaf of one of several services, in proportion to their weights.
    Split(Vec<Share>),
    /// To one leaf of each shard.
    Gather(Gather),
}

/// How the requests below one path prefix of a host are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: id::Name,
    /// Host, in lower case.
    pub host: id::Name,
    /// Path prefix.
    pub prefix: id::Name,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub objective: Duration,
    /// Leafs that one request may be sent to, for each shard.
    pub attempts: usize,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Where the requests go.
    pub target: Target,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Version; a higher one is newer.
    pub version: u64,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Services by name.
    pub services: HashMap<id::Name, Service>,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<id::Name, Vec<Arc<Route>>>,
}

impl Snapshot {
    /// Builds a snapshot.
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
        Snapshot { version, limits, services, hosts }
    }

    /// The route with the longest prefix that begins `path` at a host.
    ///
    /// `host` is taken as callers send it: letters of either case, with or without
    /// a port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&*name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
