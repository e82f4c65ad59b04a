//! Requests that wait for a leaf of a service, and the order in which they get one.

use jacinthfall_core::time::Time;
use serde::Deserialize;

/// Order in which waiting requests get a leaf of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Those that were admitted go before new ones, and in no order among each other.
    #[default]
    Unordered,
    /// By urgency, then by time of arrival. Those that wait to be admitted have a turn, too.
    Urgency,
}

impl Order {
    /// Returns the number of requests that a leaf can take at most, so that those that have no turn
    /// yet leave the others room, if each adds `per_request` seconds to the response time of the
    /// next one and `spare` seconds are left for the first.
    pub(super) fn fitting(self, spare: f64, per_request: f64) -> usize {
        match self {
            Order::Unordered => usize::MAX,
            Order::Urgency => 1 + (spare.max(0.0) / per_request.max(0.000_1)) as usize,
        }
    }
}

/// Turn of a request; a lower one comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// When the request arrived.
    pub arrived: Time,
}

/// The requests that wait for a leaf of a service.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Turn of each request, and until when it waits.
    entries: Vec<(Turn, Time)>,
}

impl Queue {
    pub(super) fn push(&mut self, turn: Turn, until: Time) {
        self.entries.push((turn, until));
    }

    pub(super) fn remove(&mut self, turn: Turn, until: Time) {
        if let Some(position) = self.entries.iter().position(|entry| *entry == (turn, until)) {
            self.entries.swap_remove(position);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of requests that get a leaf before one with a turn, which may be in the
    /// queue itself.
    pub(super) fn ahead(&mut self, now: Time, order: Order, turn: Turn, queued: bool) -> usize {
        self.entries.retain(|(_, until)| *until > now);
        match order {
            Order::Unordered if queued => 0,
            Order::Unordered => self.entries.len(),
            Order::Urgency => self.entries.iter().filter(|(other, _)| *other < turn).count(),
        }
    }
}
