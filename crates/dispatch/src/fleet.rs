//! Tracks the load of leafs and chooses a leaf for each send.
//!
//! A leaf's load is estimated from this node's sends in flight to it, the queue length
//! that it reported with its latest answer while that is recent, how slow its recent
//! answers were, and how long it has been silent with requests in flight. `leaf` keeps
//! this state for one leaf, `notice` what leafs say of themselves in responses, `rate_limit` a
//! node's share of what a leaf accepts, `reach` tells which services this node has lost, `search`
//! compares the leafs of a service, `warmup` limits the requests to cold leafs, and `zones` tells to
//! which availability zones nothing is sent.

use std::collections::HashMap;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::leaf::Entry;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod leaf;
mod notice;
mod queue;
mod rate_limit;
mod reach;
mod search;
mod warmup;
mod zones;

pub use leaf::{Assessment, Change, Ending, Leaf, Report};
pub use queue::{Order, Turn};
pub use rate_limit::{Limiter, Need, Statement};
pub use reach::Census;
pub(crate) use reach::patience;
pub(crate) use search::OVERRUN_FACTOR;
pub use search::{Candidates, Demand, Placement};
pub use warmup::WarmupChange;

use leaf::InFlight;
use queue::Queue;
use reach::Tracker;
use search::{CAPACITY_POLL, Search};
use zones::Closed;

/// Share of a leaf's connections that nodes use. The rest is reserved for nodes that replace
/// others.
const USABLE_CONNECTION_SHARE: f64 = 0.95;

/// Time to connect to a leaf that is assumed before any was measured.
const INITIAL_CONNECT_TIME: Duration = Duration::from_millis(5);

/// Weight of a new measurement in the moving average of the time to connect.
const CONNECT_TIME_WEIGHT: f64 = 0.1;

/// Identifies one incarnation of a leaf within this process: a leaf that restarts, moves to
/// another address or changes its service gets a new key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// The leafs that may be sent requests, and removed leafs that still have some in flight.
///
/// A leaf is a backend server that holds one shard of a service.
#[derive(Debug)]
pub struct Fleet {
    zone: id::Name,
    leafs: HashMap<Key, Leaf>,
    services: HashMap<id::Name, Vec<Key>>,
    /// Requests that wait for a leaf with free capacity, by service.
    queues: HashMap<id::Name, Queue>,
    /// Order in which they get one.
    order: Order,
    /// Maximum number of requests that this node may have in flight to a leaf, by service.
    limits: HashMap<id::Name, usize>,
    /// This node's share of the rate limits of leafs, from 0 to 1.
    share: f64,
    /// Latest time at which a caller was asked to come back, by service whose leafs all have a
    /// rate limit.
    returns: HashMap<id::Name, Time>,
    /// Time that it usually takes to connect to a leaf.
    connect_time: Duration,
    /// Time that it usually takes to connect to a leaf, by the leaf's zone.
    connect_times: HashMap<id::Name, Duration>,
    /// Which services this node reaches.
    reach: Tracker,
    /// Zones that nothing may be sent to.
    closed: Closed,
    /// Warm-ups of leafs, and their limits.
    warmups: warmup::Tracker,
    /// Number of the next key.
    next_key: u64,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Creates an empty fleet for a node in an availability zone; `seed` is for the choice
    /// among leafs with nearly equal cost.
    #[must_use]
    pub fn open(zone: id::Name, seed: u64) -> Fleet {
        Fleet {
            zone,
            leafs: HashMap::new(),
            services: HashMap::new(),
            queues: HashMap::new(),
            order: Order::default(),
            limits: HashMap::new(),
            share: 1.0,
            returns: HashMap::new(),
            connect_time: INITIAL_CONNECT_TIME,
            connect_times: HashMap::new(),
            reach: Tracker::default(),
            closed: Closed::default(),
            warmups: warmup::Tracker::default(),
            next_key: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the set of leafs that may be used. Returns the keys that are no longer used.
    pub fn update<'a>(
        &mut self,
        now: Time,
        usable: impl Iterator<Item = (&'a id::Name, &'a Entry)>,
    ) -> Vec<Key> {
        let mut current: HashMap<id::Name, Key> = HashMap::new();
        for keys in self.services.values() {
            current.extend(keys.iter().map(|key| (self.leafs[key].id.clone(), *key)));
        }
        let mut services: HashMap<id::Name, Vec<Key>> = HashMap::new();
        for (id, entry) in usable {
            let existing = current.get(id).copied().filter(|key| {
                let known = &self.leafs[key].entry;
                known.address == entry.address
                    && known.age.born == entry.age.born
                    && known.service == entry.service
            });
            let key = match existing {
                Some(key) => {
                    current.remove(id);
                    let leaf = self.leafs.get_mut(&key).expect("listed above");
                    if leaf.entry.age.sequence != entry.age.sequence {
                        leaf.misdirected = false;
                    }
                    leaf.entry = entry.clone();
                    key
                }
                None => {
                    let key = Key(self.next_key);
                    self.next_key += 1;
                    self.leafs.insert(key, Leaf::open(now, id.clone(), entry.clone()));
                    key
                }
            };
            services.entry(entry.service.clone()).or_default().push(key);
        }
        for keys in services.values_mut() {
            keys.sort_unstable();
        }
        self.services = services;
        self.update_warmups(now);
        let unused: Vec<Key> = current.into_values().collect();
        for key in &unused {
            if self.leafs.get(key).is_some_and(|leaf| leaf.sends.is_empty()) {
                self.leafs.remove(key);
            }
        }
        unused
    }

    /// Returns the leaf with a key.
    #[must_use]
    pub fn leaf(&self, key: Key) -> Option<&Leaf> {
        self.leafs.get(&key)
    }

    /// Returns the number of requests from this node that are in flight to leafs, including those
    /// that may no longer be used.
    #[must_use]
    pub fn sends_in_flight(&self) -> usize {
        self.leafs.values().map(Leaf::in_flight).sum()
    }

    /// Returns the number of entries in the queues of all services.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Assesses a leaf for a request that usually takes `usual`.
    #[must_use]
    pub fn assess(&self, now: Time, key: Key, usual: Duration) -> Assessment {
        let Some(leaf) = self.leafs.get(&key) else { return Assessment::default() };
        let seconds = self.cost(now, leaf, usual);
        Assessment {
            expected: Duration::try_from_secs_f64(seconds).unwrap_or(usual),
            in_flight: leaf.sends.len(),
            report: leaf.report.map(|report| (report.requests, now.since(report.at))),
        }
    }

    /// Returns the cost of sending a leaf a request that usually takes `usual`, in seconds.
    fn cost(&self, now: Time, leaf: &Leaf, usual: Duration) -> f64 {
        let connect = if leaf.is_connected(now) { Duration::ZERO } else { self.connect_time };
        let way = self.distance(&leaf.entry.zone) + connect;
        leaf.estimate(now, usual) + way.as_secs_f64()
    }

    /// Returns by how much a round trip to a zone takes longer than within this node's zone, as far
    /// as connects have shown it.
    fn distance(&self, zone: &str) -> Duration {
        let there = self.connect_times.get(zone);
        let here = self.connect_times.get(&self.zone);
        there.zip(here).map_or(Duration::ZERO, |(there, here)| there.saturating_sub(*here))
    }

    /// Returns the time that it usually takes to connect to a leaf.
    #[must_use]
    pub fn connect_time(&self) -> Duration {
        self.connect_time
    }

    /// Returns the leafs of a service that may be sent requests.
    #[must_use]
    pub fn leafs(&self, service: &str) -> &[Key] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a leaf may be sent requests.
    #[must_use]
    pub fn is_usable(&self, key: Key) -> bool {
        self.leafs.get(&key).is_some_and(|leaf| self.leafs(&leaf.entry.service).contains(&key))
    }

    /// Whether a request that was placed on a leaf may still be sent to it.
    #[must_use]
    pub fn accepts_requests(&self, now: Time, key: Key) -> bool {
        let accepts =
            |leaf: &Leaf| !leaf.leaving && leaf.backoff_until <= now && !self.closed.contains(leaf);
        self.is_usable(key) && self.leafs.get(&key).is_some_and(accepts)
    }

    /// Sets the maximum number of requests in flight from this node to one leaf, by service.
    pub fn set_concurrency_limits(&mut self, limits: HashMap<id::Name, usize>) {
        self.limits = limits;
    }

    /// Returns the maximum number of requests in flight from this node to one leaf of a service.
    #[must_use]
    pub fn concurrency_limit(&self, service: &str) -> usize {
        self.limits.get(service).copied().unwrap_or(1)
    }

    /// Chooses a leaf of a service for a request.
    ///
    /// A leaf that could not be reached gets no requests during its pause, and after
    /// that one at a time until it answers. A leaf that has requests of this node in flight
    /// gets another one only if it can answer it in time. Queued requests come before new
    /// ones.
    pub fn place(&mut self, now: Time, service: &str, demand: &Demand<'_>) -> Placement {
        let limit = self.concurrency_limit(service);
        let Some(keys) = self.services.get(service) else { return Placement::NoLeaf };
        let max_response = OVERRUN_FACTOR * demand.respond_by.since(now).as_secs_f64();
        let mut search = Search::default();
        for key in keys.iter().filter(|key| demand.candidates.contains(**key)) {
            let leaf = &self.leafs[key];
            if leaf.misdirected || leaf.leaving || self.closed.contains(leaf) {
                continue;
            }
            let cost = self.cost(now, leaf, demand.usual);
            let limit = leaf.limit(now, limit);
            let connection_limit =
                leaf.connection_limit.filter(|(limit, until)| *limit == 0 && *until > now);
            let available_at = connection_limit
                .map_or(leaf.paused_until, |(_, until)| until.max(leaf.paused_until));
            let available_at = available_at.max(leaf.backoff_until);
            let below_limit_at = leaf.rate_limit_until(now, demand.need);
            let limit = limit.min(leaf.sends.len() + leaf.rate_limit_free(now));
            let per_request = demand.usual.as_secs_f64() * leaf.slowness(now)
                / f64::from(leaf.entry.slots.max(1));
            let fitting = self.order.fitting(max_response - cost, per_request);
            if available_at > now {
                search.add_unavailable(available_at.max(below_limit_at));
            } else if below_limit_at > now {
                search.add_rate_limited(below_limit_at);
            } else if leaf.sends.is_empty() {
                let free = limit.min(fitting);
                search.add_available(*key, cost * (1.0 + 0.05 * self.rng.random::<f64>()), free);
            } else if leaf.suspect || cost > max_response {
                search.add_unavailable(now + CAPACITY_POLL);
            } else if leaf.sends.len() >= limit {
                search.add_loaded(limit, cost);
            } else {
                let free = (limit - leaf.sends.len()).min(fitting);
                search.add_loaded(leaf.sends.len(), cost);
                search.add_available(*key, cost * (1.0 + 0.05 * self.rng.random::<f64>()), free);
            }
        }
        let queue = self.queues.get_mut(service);
        let ahead =
            queue.map_or(0, |queue| queue.ahead(now, self.order, demand.turn, demand.queued));
        search.result(now, ahead, max_response)
    }

    /// Sets the order in which waiting requests get a leaf.
    pub fn set_order(&mut self, order: Order) {
        self.order = order;
    }

    /// Returns the order in which waiting requests get a leaf.
    #[must_use]
    pub fn order(&self) -> Order {
        self.order
    }

    /// Adds a request to the queue of a service; the entry expires at `until`.
    pub fn enqueue(&mut self, service: &id::Name, turn: Turn, until: Time) {
        self.queues.entry(service.clone()).or_default().push(turn, until);
    }

    /// Removes a request that was queued until `until` from the queue of a service.
    pub fn dequeue(&mut self, service: &str, turn: Turn, until: Time) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(turn, until);
        }
    }

    /// Returns when the first leaf of a service may be tried again; `None` if one may be
    /// tried now or there is none.
    #[must_use]
    pub fn available_at(&self, now: Time, service: &str) -> Option<Time> {
        let leafs = self.open_leafs(service);
        let used = leafs.filter(|leaf| !leaf.misdirected && !leaf.leaving);
        let first = used.map(|leaf| leaf.paused_until.max(leaf.backoff_until)).min()?;
        (first > now).then_some(first)
    }

    /// Records that a request that usually takes `usual` was sent to a leaf.
    pub fn record_send(&mut self, now: Time, key: Key, usual: Duration) {
        if let Some(leaf) = self.leafs.get_mut(&key) {
            let queueing = leaf.queueing_factor(now, usual.as_secs_f64() * leaf.slowness(now));
            leaf.sends.push(InFlight { at: now, queueing, patience: reach::patience(usual) });
            leaf.idle.pop();
            if let Some(limiter) = &mut leaf.rate_limiter {
                limiter.record_send(now);
            }
            leaf.warmup.record_send(now);
        }
    }

    /// Records that a connection to a leaf is idle and may be used until the given time.
    pub fn record_idle(&mut self, now: Time, key: Key, until: Time) {
        if let Some(leaf) = self.leafs.get_mut(&key) {
            leaf.idle.retain(|until| *until > now);
            leaf.idle.push(until);
        }
    }

    /// Records that the idle connections to a leaf were closed.
    pub fn record_closed(&mut self, key: Key) {
        if let Some(leaf) = self.leafs.get_mut(&key) {
            leaf.idle.clear();
        }
    }

    /// Records that a connection to a leaf was opened, and how long that took. If this node got no
    /// new connections until now, all leafs are tried again.
    pub fn record_connect(&mut self, key: Key, took: Duration) {
        self.record_connected(key);
        self.connect_time = average(self.connect_time, took);
        let Some(leaf) = self.leafs.get(&key) else { return };
        let in_zone = self.connect_times.entry(leaf.entry.zone.clone()).or_insert(took);
        *in_zone = average(*in_zone, took);
    }

    /// Records the queue length that a leaf reported.
    pub fn record_report(&mut self, key: Key, report: Report) {
        if let Some(leaf) = self.leafs.get_mut(&key) {
            leaf.report = Some(report);
        }
    }

    /// Records how the request that was sent to a leaf at `sent` ended. Returns how this changes
    /// the use of the leaf.
    pub fn record_end(
        &mut self,
        now: Time,
        key: Key,
        sent: Time,
        ending: Ending,
    ) -> Option<Change> {
        self.record_reach(now, key, sent, ending);
        let usable = self.is_usable(key);
        let leaf = self.leafs.get_mut(&key)?;
        let position = leaf.sends.iter().position(|other| other.at == sent);
        let queueing = position.map_or(1.0, |position| leaf.sends.remove(position).queueing);
        if !usable && leaf.sends.is_empty() {
            self.leafs.remove(&key);
            return None;
        }
        leaf.record_end(now, queueing, ending)
    }
}

/// Adds a connect to the moving average of their times.
fn average(mean: Duration, took: Duration) -> Duration {
    mean.mul_f64(1.0 - CONNECT_TIME_WEIGHT) + took.mul_f64(CONNECT_TIME_WEIGHT)
}

/// Returns the number of connections that one of `nodes` nodes may open to a leaf that
/// accepts `accepted` from all of them.
///
/// ```
/// use jacinthfall_dispatch::fleet::connections_per_node;
/// assert_eq!(connections_per_node(30, 6), 4);
/// assert_eq!(connections_per_node(3, 8), 1);
/// ```
#[must_use]
pub fn connections_per_node(accepted: usize, nodes: usize) -> usize {
    let usable = (accepted as f64 * USABLE_CONNECTION_SHARE) as usize;
    (usable / nodes.max(1)).max(1)
}
