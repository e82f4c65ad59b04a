//! Search for the leaf of a service that can answer a request soonest.

use std::time::Duration;

use jacinthfall_core::time::Time;

use super::Key;
use super::queue::Turn;
use super::rate_limit::Need;

/// Factor by which the expected response time of a leaf may exceed the remaining time.
pub(crate) const OVERRUN_FACTOR: f64 = 1.5;

/// Time after which a leaf without free capacity is checked again.
pub(super) const CAPACITY_POLL: Duration = Duration::from_millis(6);

/// Result of the search for a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The request can be sent to this leaf.
    Leaf(Key),
    /// No leaf is available yet; one is expected to be at this time, early enough for the
    /// request.
    Queue(Time),
    /// No leaf is available before this time, which is probably too late for the request.
    Later(Time),
    /// No leaf is available before this time, when the first one is below its rate limit again.
    RateLimited(Time),
    /// There is no leaf that could take the request.
    NoLeaf,
}

/// The leafs of a service that a request may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Candidates {
    /// All leafs but these.
    AllBut(Vec<Key>),
    /// No leafs but these.
    Only(Vec<Key>),
}

impl Candidates {
    /// Returns an empty set.
    #[must_use]
    pub const fn none() -> Candidates {
        Candidates::Only(Vec::new())
    }

    /// Whether there can't be any.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        matches!(self, Candidates::Only(leafs) if leafs.is_empty())
    }

    /// Whether a leaf is among them.
    #[must_use]
    pub fn contains(&self, leaf: Key) -> bool {
        match self {
            Candidates::AllBut(leafs) => !leafs.contains(&leaf),
            Candidates::Only(leafs) => leafs.contains(&leaf),
        }
    }
}

/// A request that needs a leaf.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Its usual response time.
    pub usual: Duration,
    /// When its response is needed.
    pub respond_by: Time,
    /// Leafs that it may be sent to.
    pub candidates: &'a Candidates,
    /// Whether it is already in the queue of its service.
    pub queued: bool,
    /// Its turn among the requests that wait for a leaf of the service.
    pub turn: Turn,
    /// Whether it can be answered without this send.
    pub need: Need,
}

/// Accumulates the state of all leafs of a service.
#[derive(Debug, Default)]
pub(super) struct Search {
    /// Lowest cost, in seconds, and the leaf that has it.
    best: Option<(f64, Key)>,
    /// Number of requests that the leafs can take now.
    free: usize,
    /// Number of requests that the loaded leafs complete per second.
    rate: f64,
    /// Shortest expected response time of the loaded leafs, in seconds.
    response: Option<f64>,
    /// When the first leaf that is unavailable now may be tried again.
    available_at: Option<Time>,
    /// When the first leaf that has reached its rate limit may be sent a request.
    below_limit_at: Option<Time>,
}

impl Search {
    /// Adds a leaf that can take `free` more requests.
    pub(super) fn add_available(&mut self, key: Key, cost: f64, free: usize) {
        self.free += free;
        if self.best.is_none_or(|(lowest, _)| cost < lowest) {
            self.best = Some((cost, key));
        }
    }

    /// Adds a leaf with `requests` in flight that each take `response` seconds.
    pub(super) fn add_loaded(&mut self, requests: usize, response: f64) {
        self.rate += requests as f64 / response;
        self.response = Some(self.response.map_or(response, |lowest| lowest.min(response)));
    }

    /// Adds a leaf that can't take a request before `at`.
    pub(super) fn add_unavailable(&mut self, at: Time) {
        self.available_at = Some(self.available_at.map_or(at, |first| first.min(at)));
    }

    /// Adds a leaf that has reached its rate limit until `at`.
    pub(super) fn add_rate_limited(&mut self, at: Time) {
        self.below_limit_at = Some(self.below_limit_at.map_or(at, |first| first.min(at)));
    }

    /// Returns the placement of a request that has `ahead` others queued before it and may
    /// take `max_response` seconds, [`OVERRUN_FACTOR`] included.
    pub(super) fn result(self, now: Time, ahead: usize, max_response: f64) -> Placement {
        if let Some((_, key)) = self.best
            && self.free > ahead
        {
            return Placement::Leaf(key);
        }
        if let Some(response) = self.response {
            let before = (ahead + 1).saturating_sub(self.free);
            let wait = before as f64 / self.rate;
            let at = now + Duration::from_secs_f64(wait);
            let in_time = wait + response <= max_response / OVERRUN_FACTOR;
            return if in_time { Placement::Queue(at) } else { Placement::Later(at) };
        }
        if self.best.is_some() {
            return Placement::Later(now + CAPACITY_POLL);
        }
        match (self.below_limit_at, self.available_at) {
            (Some(limited), Some(other)) if other < limited => Placement::Later(other),
            (Some(limited), _) => Placement::RateLimited(limited),
            (None, Some(at)) => Placement::Later(at),
            (None, None) => Placement::NoLeaf,
        }
    }
}
