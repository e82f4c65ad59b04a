//! Bound on sends beyond the first of each request.
//!
//! All nodes together may send a service, in any window, a share of its requests
//! more than once, plus a constant. A node counts its own requests and takes an
//! equal part of the constant.

use std::collections::HashMap;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;

/// Length of a counting interval.
const INTERVAL: Duration = Duration::from_millis(500);

/// Bound for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Extra sends for each request.
    pub ratio: f64,
    /// Extra sends in a window without any request.
    pub floor: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Extra sends of one node to each service.
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    /// Nodes that share the constant.
    nodes: usize,
    services: HashMap<id::Name, Window>,
}

impl Budget {
    /// Opens a budget that assumes `nodes` nodes.
    #[must_use]
    pub fn open(limit: Limit, nodes: usize) -> Budget {
        Budget { limit, nodes: nodes.max(1), services: HashMap::new() }
    }

    /// Sets the number of nodes that share the constant.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Time, service: &id::Name) {
        self.window(now, service).requests[0] += 1;
    }

    /// Takes one extra send to a service, if the bound allows it.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::budget::{Budget, Limit};
    /// let limit =
    ///     Limit { ratio: 0.2, floor: 4.0, window: std::time::Duration::from_secs(10) };
    /// let mut budget = Budget::open(limit, 2);
    /// assert!(budget.try_acquire(Time(0), &"a".into()));
    /// assert!(!budget.try_acquire(Time(0), &"a".into()), "half of the share is kept for a restart");
    /// ```
    pub fn try_acquire(&mut self, now: Time, service: &id::Name) -> bool {
        let remaining = self.remaining(now, service);
        if remaining < 1.0 {
            return false;
        }
        self.window(now, service).extras[0] += 1;
        true
    }

    /// Extra sends that the bound still allows.
    pub fn remaining(&mut self, now: Time, service: &id::Name) -> f64 {
        // A node that starts again has forgotten what it sent: keep half for that.
        let constant = self.limit.floor / (2 * self.nodes) as f64;
        let ratio = self.limit.ratio;
        let window = self.window(now, service);
        let requests: u32 = window.requests.iter().sum();
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

/// Counts of the latest intervals, newest first.
#[derive(Debug)]
struct Window {
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
