//! Timeline of the events of all nodes, ordered by hybrid logical clocks.
//!
//! Every node keeps a bounded [`Ring`] of its newest events. It stamps each event and
//! each frame that it sends, and advances its clock past the stamps of frames that it
//! receives. An event is therefore stamped later than the events that caused it, also
//! across nodes, as long as the wall clocks differ by no more than
//! [`clock::MAX_DRIFT`]. A stamp that is further ahead is counted as rejected and
//! otherwise ignored: the order relative to the node with the wrong clock is lost, the
//! order among the other nodes is kept.

use std::collections::VecDeque;

use jacinthfall_core::event::Event;
use jacinthfall_core::id;
use jacinthfall_core::time::Wall;
use jacinthfall_wire::Stamp;
use jacinthfall_wire::timeline::{Entry, Filter};

pub mod clock;

/// Maximum number of events that [`Ring::find`] returns, so that a reply fits into a
/// frame.
pub const MAX_FOUND: usize = 10_000;

/// Counters of a ring since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Events recorded.
    pub recorded: u64,
    /// Events evicted by newer ones.
    pub evicted: u64,
    /// Stamps of peers that were too far ahead of the local wall clock.
    pub rejected: u64,
}

/// Ring buffer of the newest events of one node, with the node's clock.
#[derive(Debug)]
pub struct Ring {
    origin: id::Incarnation,
    capacity: usize,
    clock: clock::Clock,
    entries: VecDeque<Entry>,
    last_stamp: Stamp,
    counters: Counters,
}

impl Ring {
    /// Opens a ring that keeps the newest `capacity` events.
    ///
    /// ```
    /// use jacinthfall_core::event::{Event, Kind};
    /// use jacinthfall_core::id::Incarnation;
    /// use jacinthfall_core::time::Wall;
    /// use jacinthfall_timeline::Ring;
    /// use jacinthfall_wire::timeline::Filter;
    /// let mut ring = Ring::open(Incarnation { node: "n".into(), started: 1 }, 2);
    /// for at in 1..=3 {
    ///     ring.record(Wall(at), Event { request: None, kind: Kind::Claimed });
    /// }
    /// let found = ring.find(&Filter { limit: 10, ..Filter::default() });
    /// assert_eq!(found.len(), 2);
    /// assert_eq!(found[0].stamp.wall(), Wall(2));
    /// ```
    #[must_use]
    pub fn open(origin: id::Incarnation, capacity: usize) -> Ring {
        Ring {
            clock: clock::Clock::open(&origin),
            origin,
            capacity,
            entries: VecDeque::new(),
            last_stamp: Stamp::default(),
            counters: Counters::default(),
        }
    }

    /// Creates a stamp for an outgoing frame.
    pub fn stamp(&mut self, now: Wall) -> Stamp {
        let stamp = self.clock.stamp(now);
        assert!(stamp > self.last_stamp, "invariant: stamps of one clock increase");
        self.last_stamp = stamp;
        stamp
    }

    /// Advances the clock past the stamp of an incoming frame.
    ///
    /// A stamp that is more than [`clock::MAX_DRIFT`] ahead of `now` is counted as
    /// rejected and otherwise ignored.
    pub fn observe(&mut self, now: Wall, stamp: Stamp) {
        if !self.clock.observe(now, stamp) {
            self.counters.rejected += 1;
        }
    }

    /// Records an event and returns its stamp.
    pub fn record(&mut self, now: Wall, event: Event) -> Stamp {
        let stamp = self.stamp(now);
        self.counters.recorded += 1;
        self.entries.push_back(Entry { stamp, node: self.origin.clone(), event });
        if self.entries.len() > self.capacity {
            self.entries.pop_front();
            self.counters.evicted += 1;
        }
        stamp
    }

    /// Returns the newest events that match the filter, in order of their stamps.
    ///
    /// At most `filter.limit` and at most [`MAX_FOUND`] events are returned.
    #[must_use]
    pub fn find(&self, filter: &Filter) -> Vec<Entry> {
        let limit = (filter.limit as usize).min(MAX_FOUND);
        let newest_first = self.entries.iter().rev();
        let mut found: Vec<Entry> =
            newest_first.filter(|entry| matches(entry, filter)).take(limit).cloned().collect();
        found.reverse();
        found
    }

    /// Returns the stamp of the oldest event in the ring, or `None` if it is empty.
    #[must_use]
    pub fn oldest(&self) -> Option<Stamp> {
        self.entries.front().map(|entry| entry.stamp)
    }

    /// Returns the counters since the ring was opened.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }
}

fn matches(entry: &Entry, filter: &Filter) -> bool {
    let time = entry.stamp.wall().0;
    filter.request.as_ref().is_none_or(|request| entry.event.request.as_ref() == Some(request))
        && filter.node.as_ref().is_none_or(|node| entry.node.node == *node)
        && filter.after.is_none_or(|after| time >= after)
        && filter.before.is_none_or(|before| time < before)
}

/// Merges the events of several nodes, ordered by stamp and without duplicates.
///
/// ```
/// use jacinthfall_core::event::{Event, Kind};
/// use jacinthfall_core::id::Incarnation;
/// use jacinthfall_core::time::Wall;
/// use jacinthfall_timeline::{Ring, merge};
/// use jacinthfall_wire::timeline::Filter;
/// let mut a = Ring::open(Incarnation { node: "a".into(), started: 1 }, 8);
/// let mut b = Ring::open(Incarnation { node: "b".into(), started: 1 }, 8);
/// b.record(Wall(2), Event { request: None, kind: Kind::Claimed });
/// a.record(Wall(1), Event { request: None, kind: Kind::Claimed });
/// let all = Filter { limit: 8, ..Filter::default() };
/// let merged = merge(vec![b.find(&all), a.find(&all)]);
/// assert_eq!(&*merged[0].node.node, "a");
/// ```
#[must_use]
pub fn merge(lists: Vec<Vec<Entry>>) -> Vec<Entry> {
    let mut entries: Vec<Entry> = lists.into_iter().flatten().collect();
    entries.sort_by(|a, b| a.stamp.cmp(&b.stamp).then_with(|| a.node.cmp(&b.node)));
    entries.dedup();
    entries
}
