//! Estimates how long a caller has been waiting, from the timeout of its request.
//!
//! A request carries the time that its caller will still wait, not the time at which the caller
//! began. Callers of a route use few different timeouts, and most requests on an open connection
//! are first attempts, many of which carry the whole timeout. The values that recur there are
//! therefore taken as the timeouts of first attempts, but for those shortly below another one:
//! their callers have looked up a node before. A shorter value means that the caller has already
//! spent the difference to the next higher one: on a look-up, on connecting, or on earlier
//! attempts.
//!
//! A node with few requests takes what it lacks from the other nodes (see [`crate::gossip`]),
//! until it has seen enough requests itself. Where no caller uses a connection twice, an upper
//! quantile of all timeouts is taken as the timeout of first attempts.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of different values that are kept; those seen least are replaced.
const MAX_VALUES: usize = 16;

/// Difference up to which two timeouts count as the same, for the rounding by callers.
const TOLERANCE: Duration = Duration::from_millis(2);

/// Minimum share that a value must have of the requests with comparable timeouts.
const MIN_SHARE: f64 = 0.1;

/// Minimum share of a value that other nodes are told.
const MIN_SHARED_SHARE: f64 = 0.25;

/// Factor between a timeout and a lower value up to which the difference is taken for the time
/// of a look-up.
const LOOKUP_FACTOR: f64 = 1.125;

/// Factor between two timeouts up to which they are comparable: a caller doesn't start another
/// attempt with less than a third of its timeout left.
const COMPARABLE_FACTOR: u32 = 3;

/// Number of requests after which an observation has lost most of its weight.
const MEMORY: f64 = 64.0;

/// Total weight of the comparable requests on open connections from which on the timeouts that
/// other nodes have observed are ignored.
const ENOUGH_WEIGHT: f64 = 16.0;

/// Quantile of the timeouts that is taken as the timeout of a first attempt where no connection
/// is used twice. Under load up to three in four requests may be retries.
const FIRST_ATTEMPT_QUANTILE: f64 = 0.75;

/// Whether a request is the first one on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Connection {
    /// It is. Its caller has spent the time to connect, and perhaps earlier attempts.
    New,
    /// There were others before it.
    Open,
}

impl Connection {
    /// Returns the name that is written to the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Connection::New => "new",
            Connection::Open => "open",
        }
    }
}

/// A timeout, and how many recent requests carried it.
#[derive(Clone, Copy, Debug)]
struct Value {
    timeout: Duration,
    weight: f64,
}

/// Counts how often timeouts occur.
#[derive(Clone, Debug, Default)]
struct Values(Vec<Value>);

impl Values {
    fn add(&mut self, timeout: Duration) {
        self.0.iter_mut().for_each(|value| value.weight *= 1.0 - 1.0 / MEMORY);
        if let Some(value) = self.0.iter_mut().find(|value| is_same(value.timeout, timeout)) {
            value.timeout = value.timeout.max(timeout);
            value.weight += 1.0;
            return;
        }
        if self.0.len() == MAX_VALUES {
            let least =
                (0..MAX_VALUES).min_by(|a, b| self.0[*a].weight.total_cmp(&self.0[*b].weight));
            least.map(|position| self.0.swap_remove(position));
        }
        self.0.push(Value { timeout, weight: 1.0 });
    }

    /// Returns the total weight of the values that are comparable with a timeout.
    fn comparable_weight(&self, timeout: Duration) -> f64 {
        let comparable = self.0.iter().filter(|value| is_comparable(value.timeout, timeout));
        comparable.map(|value| value.weight).sum()
    }

    /// Returns the timeout that a `share` of the values that are comparable with one don't exceed.
    fn quantile(&self, timeout: Duration, share: f64) -> Option<Duration> {
        let comparable = self.0.iter().filter(|value| is_comparable(value.timeout, timeout));
        let mut sorted: Vec<&Value> = comparable.collect();
        sorted.sort_unstable_by_key(|value| value.timeout);
        let mut left = share * self.comparable_weight(timeout);
        let reached = sorted.into_iter().find(|value| {
            left -= value.weight;
            left <= 0.0
        });
        reached.map(|value| value.timeout)
    }

    /// Iterates over the values that at least a `share` of the comparable requests carry.
    fn recurring(&self, share: f64) -> impl Iterator<Item = Duration> {
        let recurs =
            move |value: &&Value| value.weight >= share * self.comparable_weight(value.timeout);
        self.0.iter().filter(recurs).map(|value| value.timeout)
    }
}

/// Tracks the timeouts of the requests of one route.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Timeouts of requests on connections that were in use before.
    open: Values,
    /// Timeouts of first requests of connections.
    new: Values,
}

impl Estimator {
    /// Records the timeout of a request, and returns the estimated time that its caller has
    /// spent before. `shared` are the timeouts of first attempts that other nodes have observed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_dispatch::caller_timeout::{Connection, Estimator};
    /// let ms = Duration::from_millis;
    /// let mut estimator = Estimator::default();
    /// assert_eq!(estimator.spent(ms(1_500), Connection::Open, &[]), Duration::ZERO);
    /// assert_eq!(estimator.spent(ms(1_485), Connection::New, &[]), ms(15));
    /// assert_eq!(estimator.spent(ms(1_100), Connection::New, &[]), ms(400));
    /// ```
    pub fn spent(
        &mut self,
        timeout: Duration,
        connection: Connection,
        shared: &[Duration],
    ) -> Duration {
        match connection {
            Connection::New => self.new.add(timeout),
            Connection::Open => self.open.add(timeout),
        }
        let trusts_others = self.open.comparable_weight(timeout) < ENOUGH_WEIGHT;
        let shared = shared.iter().copied().filter(|_| trusts_others);
        let recurring: Vec<Duration> = self.open.recurring(MIN_SHARE).chain(shared).collect();
        let first = first_timeout(&recurring, timeout);
        let first = first.or_else(|| self.new.quantile(timeout, FIRST_ATTEMPT_QUANTILE));
        first.unwrap_or(timeout).saturating_sub(timeout)
    }

    /// Iterates over the timeouts of first attempts that this node has observed.
    pub fn first_timeouts(&self) -> impl Iterator<Item = Duration> {
        let recurring: Vec<Duration> = self.open.recurring(MIN_SHARED_SHARE).collect();
        let is_first = move |timeout: &Duration| highest_above(&recurring, *timeout) == *timeout;
        self.open.recurring(MIN_SHARED_SHARE).filter(is_first)
    }
}

/// Returns the timeout of first attempts, among those that recur, of which a timeout is the rest.
fn first_timeout(recurring: &[Duration], timeout: Duration) -> Option<Duration> {
    let above = recurring.iter().filter(|first| **first + TOLERANCE >= timeout);
    let nearest = above.filter(|first| is_comparable(**first, timeout)).min()?;
    Some(highest_above(recurring, *nearest))
}

/// Returns the highest of the values that recur from which a look-up may lead to `timeout`.
fn highest_above(recurring: &[Duration], timeout: Duration) -> Duration {
    let limit = timeout.mul_f64(LOOKUP_FACTOR);
    let within = recurring.iter().filter(|first| **first <= limit);
    within.max().map_or(timeout, |highest| timeout.max(*highest))
}

fn is_same(one: Duration, other: Duration) -> bool {
    one.abs_diff(other) <= TOLERANCE
}

fn is_comparable(one: Duration, other: Duration) -> bool {
    one <= other * COMPARABLE_FACTOR && other <= one * COMPARABLE_FACTOR
}
