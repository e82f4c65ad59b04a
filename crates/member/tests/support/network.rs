//! A simulated network between engines, with delays, loss, duplicates and
//! partitions drawn from a seed. The tests and examples of the `member` and
//! `config` crates use it.

use std::collections::{BTreeMap, BTreeSet};

use jacinthfall_core::time::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An item that arrives at a node.
pub struct Delivery<M> {
    pub to: usize,
    pub item: M,
}

/// Conditions under which frames are sent.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Minimum delay, in microseconds.
    pub min_delay: u64,
    /// Maximum delay, in microseconds.
    pub max_delay: u64,
    /// Share of frames that are lost.
    pub loss: f64,
    /// Share of frames that arrive twice.
    pub duplicates: f64,
}

impl Conditions {
    pub const NORMAL: Conditions =
        Conditions { min_delay: 300, max_delay: 2_000, loss: 0.0, duplicates: 0.0 };
}

/// Frames and timers in flight, in order of arrival.
pub struct Network<M> {
    queue: BTreeMap<(Time, u64), Delivery<M>>,
    counter: u64,
    rng: ChaCha8Rng,
    pub conditions: Conditions,
    /// Partition of each node. Frames reach only nodes of the same partition.
    pub partitions: Vec<u32>,
    /// Blocked links, as pairs of sender and receiver.
    pub blocked_links: BTreeSet<(usize, usize)>,
}

impl<M: Clone> Network<M> {
    pub fn open(nodes: usize, seed: u64) -> Network<M> {
        Network {
            queue: BTreeMap::new(),
            counter: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            conditions: Conditions::NORMAL,
            partitions: vec![0; nodes],
            blocked_links: BTreeSet::new(),
        }
    }

    /// Sends a frame, which may be lost, delayed or duplicated.
    pub fn send(&mut self, now: Time, from: usize, to: usize, item: M) {
        let blocked = self.partitions[from] != self.partitions[to]
            || self.blocked_links.contains(&(from, to));
        if blocked || self.rng.random_bool(self.conditions.loss) {
            return;
        }
        if self.rng.random_bool(self.conditions.duplicates) {
            let at = self.arrival_time(now);
            self.schedule(at, to, item.clone());
        }
        let at = self.arrival_time(now);
        self.schedule(at, to, item);
    }

    /// Schedules the delivery of an item at a given time.
    pub fn schedule(&mut self, at: Time, to: usize, item: M) {
        self.counter += 1;
        self.queue.insert((at, self.counter), Delivery { to, item });
    }

    /// Removes and returns the next item that arrives no later than `end`.
    pub fn next(&mut self, end: Time) -> Option<(Time, Delivery<M>)> {
        let first = self.queue.first_entry()?;
        if first.key().0 > end {
            return None;
        }
        let ((at, _), delivery) = first.remove_entry();
        Some((at, delivery))
    }

    fn arrival_time(&mut self, now: Time) -> Time {
        let delay = self.rng.random_range(self.conditions.min_delay..=self.conditions.max_delay);
        Time(now.0 + delay)
    }
}
