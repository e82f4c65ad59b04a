//! Attempts in flight.

use std::collections::BTreeMap;

use jacinthfall_core::time::Time;
use jacinthfall_core::{hash, id};

use crate::leafs::Index;
use crate::query::Serial;

/// Why a part is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// First attempt.
    First,
    /// Hedged request while an earlier attempt is slow.
    Hedge,
    /// Retry after a failed attempt.
    Retry,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flight {
    pub(crate) query: Serial,
    pub(crate) part: usize,
    pub(crate) leaf: Index,
    pub(crate) shard: id::Shard,
    pub(crate) sent: Time,
}

/// All attempts in flight, by counter.
#[derive(Debug)]
pub(crate) struct Flights {
    open: BTreeMap<u64, Flight>,
    next: u64,
}

impl Flights {
    /// Creates an empty table. The engines of all services on a node share one origin,
    /// so each service counts from a base derived from its name to keep attempt ids
    /// distinct.
    pub(crate) fn new(service: &str) -> Flights {
        Flights { open: BTreeMap::new(), next: hash::digest(service.as_bytes()) >> 1 }
    }

    /// Adds an attempt and returns its counter, which is unique in this table.
    pub(crate) fn add(&mut self, flight: Flight) -> u64 {
        self.next += 1;
        self.open.insert(self.next, flight);
        self.next
    }

    pub(crate) fn get(&self, counter: u64) -> Option<&Flight> {
        self.open.get(&counter)
    }

    pub(crate) fn contains(&self, counter: u64) -> bool {
        self.open.contains_key(&counter)
    }

    pub(crate) fn remove(&mut self, counter: u64) -> Option<Flight> {
        self.open.remove(&counter)
    }
}
