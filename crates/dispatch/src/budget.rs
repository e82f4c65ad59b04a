//! Budget of extra sends: retries and hedged sends, beyond the first send of each request.
//!
//! The number of extra sends that all nodes together send to a service in any window
//! is limited to a share of the requests for it, plus a constant. A node counts the
//! requests that it receives itself and takes an equal part of the constant: a node that callers
//! use takes a part for each of these, any other node one for each of all nodes.

use std::collections::HashMap;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;

/// Length of the intervals that a window is divided into.
const INTERVAL: Duration = Duration::from_millis(500);

/// Limit on the extra sends to one service by all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Extra sends allowed for each request.
    pub ratio: f64,
    /// Extra sends allowed in a window without any request.
    pub floor: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts and limits the extra sends of one node to each service.
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    /// Number of nodes that share [`Limit::floor`].
    nodes: usize,
    services: HashMap<id::Name, Window>,
}

impl Budget {
    /// Creates a budget for one of `nodes` nodes.
    #[must_use]
    pub fn open(limit: Limit, nodes: usize) -> Budget {
        Budget { limit, nodes: nodes.max(1), services: HashMap::new() }
    }

    /// Sets the number of nodes that share [`Limit::floor`].
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Time, service: &id::Name) {
        self.window(now, service).requests[0] += 1;
    }

    /// Counts one extra send to a service if the limit allows it; `false` if it doesn't.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::budget::{Budget, Limit};
    /// let limit =
    ///     Limit { ratio: 0.2, floor: 4.0, window: std::time::Duration::from_secs(10) };
    /// let mut budget = Budget::open(limit, 2);
    /// assert!(budget.try_acquire(Time(0), &"a".into()));
    /// assert!(!budget.try_acquire(Time(0), &"a".into()), "half of the share is reserved for a restart");
    /// ```
    pub fn try_acquire(&mut self, now: Time, service: &id::Name) -> bool {
        let remaining = self.remaining(now, service);
        if remaining < 1.0 {
            return false;
        }
        self.window(now, service).extras[0] += 1;
        true
    }

    /// Returns the number of extra sends that the limit still allows.
    pub fn remaining(&mut self, now: Time, service: &id::Name) -> f64 {
        // A node that restarts loses its counts and may spend its share once more within the
        // window, so each process uses only half of the share.
        let constant = self.limit.floor / (2 * self.nodes) as f64;
        let ratio = self.limit.ratio;
        let window = self.window(now, service);
        // The oldest interval lies outside of the window, up to its last moment. Its requests
        // don't count any more, while its extra sends still do.
        let requests: u32 = window.requests.iter().rev().skip(1).sum();
        let extras: u32 = window.extras.iter().sum();
        constant + ratio * f64::from(requests) - f64::from(extras)
    }

    fn window(&mut self, now: Time, service: &id::Name) -> &mut Window {
        let intervals = interval_count(self.limit.window);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Window::open(now, intervals));
        }
        let window = self.services.get_mut(service).expect("inserted above");
        window.advance(now);
        window
    }
}

fn interval_count(window: Duration) -> usize {
    let count = window.as_millis().div_ceil(INTERVAL.as_millis());
    usize::try_from(count).unwrap_or(1) + 1
}

/// Counts of the most recent intervals, newest first.
#[derive(Debug)]
struct Window {
    /// Start of the newest interval.
    newest: Time,
    requests: Vec<u32>,
    extras: Vec<u32>,
}

impl Window {
    fn open(now: Time, intervals: usize) -> Window {
        Window { newest: now, requests: vec![0; intervals], extras: vec![0; intervals] }
    }

    fn advance(&mut self, now: Time) {
        let micros = u64::try_from(INTERVAL.as_micros()).unwrap_or(u64::MAX);
        let steps = now.0.saturating_sub(self.newest.0) / micros;
        if steps == 0 {
            return;
        }
        self.newest = Time(self.newest.0 + steps * micros);
        let steps = usize::try_from(steps).unwrap_or(usize::MAX).min(self.requests.len());
        for counts in [&mut self.requests, &mut self.extras] {
            counts.rotate_right(steps);
            counts[..steps].fill(0);
        }
    }
}
