//! The search for a leaf that can take a request.

use std::time::Duration;

use jacinthfall_core::time::Time;

use super::Key;

/// Factor by which the expected response time may exceed the time that is left.
pub(super) const OVERRUN_FACTOR: f64 = 1.5;

/// Time until a leaf that is full is looked at again.
pub(super) const CAPACITY_POLL: Duration = Duration::from_millis(6);

/// Where a request may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To this leaf.
    Leaf(Key),
    /// To none yet; room is expected at this time, early enough.
    Queue(Time),
    /// To no leaf before this time, and probably too late.
    Later(Time),
    /// To no leaf.
    NoLeaf,
}

/// A request that needs a leaf.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Its usual response time.
    pub usual: Duration,
    /// When its response is due.
    pub respond_by: Time,
    /// Leafs that have had it.
    pub tried: &'a [Key],
    /// Whether it waits for room already.
    pub queued: bool,
}

/// What a look at all leafs of a service has found.
#[derive(Debug, Default)]
pub(super) struct Search {
    /// Least cost, in seconds, and the leaf that has it.
    best: Option<(f64, Key)>,
    /// Requests that leafs can take now.
    free: usize,
    /// Requests that leafs in use end in a second.
    rate: f64,
    /// Least response time of leafs in use, in seconds.
    response: Option<f64>,
    /// When the first leaf that can't take anything now may be tried again.
    available_at: Option<Time>,
}

impl Search {
    pub(super) fn add_available(&mut self, key: Key, cost: f64, free: usize) {
        self.free += free;
        if self.best.is_none_or(|(lowest, _)| cost < lowest) {
            self.best = Some((cost, key));
        }
    }

    pub(super) fn add_loaded(&mut self, requests: usize, response: f64) {
        self.rate += requests as f64 / response;
        self.response = Some(self.response.map_or(response, |lowest| lowest.min(response)));
    }

    pub(super) fn add_unavailable(&mut self, at: Time) {
        self.available_at = Some(self.available_at.map_or(at, |first| first.min(at)));
    }

    /// Where a request goes that has `ahead` others before it and `left` seconds.
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
        match (self.best, self.available_at) {
            (Some(_), _) => Placement::Later(now + CAPACITY_POLL),
            (None, Some(at)) => Placement::Later(at),
            (None, None) => Placement::NoLeaf,
        }
    }
}
