//! Choice of the parts that a query leaves out at short shards.
//!
//! Answers a load of queries of which some need nearly all shards and others fewer: a part that
//! its query can do without takes no room at a shard that other queries can't do without. A query
//! earns the square of its coverage, so a part is left out if that costs less than the room that
//! it takes is worth to the queries that wait for it.

use std::time::Duration;

use jacinthfall_core::time::Time;

use super::shortage::{MIN_SHORTAGE, Shard};
use super::{OptionalParts, State};

/// Weight of a new observation in the moving average of the price.
const PRICE_WEIGHT: f64 = 0.1;

/// Number of parts beyond the least coverage that are sent in any case, since one of the others
/// may be late.
const RESERVE: usize = 1;

/// Factor between the values of answers of one priority and the next less urgent one.
const PRIORITY_FACTOR: f64 = 0.5;

/// Priority from which on answers aren't worth less.
const MAX_PRIORITY: u32 = 8;

/// Returns the value of a complete answer in time to a request with a priority.
#[must_use]
pub fn value(priority: u32) -> f64 {
    PRIORITY_FACTOR.powf(f64::from(priority.min(MAX_PRIORITY)))
}

/// Value of a second of a slot at short shards: moving average over the queries that couldn't be
/// sent at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Price(Option<f64>);

impl Price {
    fn record(&mut self, sample: f64) {
        self.0 = Some(self.0.map_or(sample, |old| old + PRICE_WEIGHT * (sample - old)));
    }
}

/// A query that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// For each part: its shard, and whether a leaf was found for it.
    pub parts: &'a [(Shard, bool)],
    /// Minimum number of parts that must be sent.
    pub min_parts: usize,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Usual response time of a part.
    pub work: Duration,
}

impl Query<'_> {
    /// Returns the value that is lost if one part more is left out.
    fn loss(&self) -> f64 {
        let total = self.parts.len().max(1) as f64;
        value(self.priority) * (1.0 - ((total - 1.0) / total).powi(2))
    }
}

impl State {
    /// Records that a query couldn't be sent at once for want of room.
    pub fn record_wait(&mut self, now: Time, query: &Query<'_>) {
        if !self.is_measuring() {
            return;
        }
        let short = self.short(now, query).len();
        let lacking = query.parts.iter().filter(|(_, found)| !found).count();
        let spare = query.parts.len().saturating_sub(query.min_parts);
        let needed = short.max(lacking).saturating_sub(spare).max(1);
        let work = query.work.as_secs_f64().max(0.001) * needed as f64;
        self.price.record(value(query.priority) / work);
    }

    /// Returns the short shards of a query: index of the part and shortage, the shortest first.
    /// A shard without a leaf for the part now counts as shorter than any other.
    fn short(&self, now: Time, query: &Query<'_>) -> Vec<(usize, f64)> {
        let shards: Vec<Shard> = query.parts.iter().map(|(shard, _)| *shard).collect();
        let shortages = self.table.shortages(now, &shards);
        let mut short: Vec<(usize, f64)> =
            shortages.into_iter().enumerate().filter(|(_, value)| *value >= MIN_SHORTAGE).collect();
        short.sort_by(|(a, left), (b, right)| {
            let found = |part: usize| query.parts[part].1;
            found(*a).cmp(&found(*b)).then(right.total_cmp(left))
        });
        short
    }

    /// Returns the parts that a query leaves out.
    #[must_use]
    pub fn left_out(&self, now: Time, query: &Query<'_>) -> Vec<usize> {
        if self.settings.optional_parts == OptionalParts::Sent {
            return Vec::new();
        }
        let spare = query.parts.len().saturating_sub(query.min_parts);
        let mut spare = spare.saturating_sub(RESERVE);
        let unfound = query.parts.iter().filter(|(_, found)| !found).count();
        let mut spare_found = spare.saturating_sub(unfound);
        let short = self.short(now, query);
        let own_price = value(query.priority) / query.work.as_secs_f64() / short.len() as f64;
        let price = self.price.0.unwrap_or(own_price);
        let mut left_out = Vec::new();
        for (part, shortage) in short {
            let gain = shortage * price * query.work.as_secs_f64();
            let allowed = if query.parts[part].1 { &mut spare_found } else { &mut spare };
            if gain > query.loss() && *allowed > 0 {
                *allowed -= 1;
                left_out.push(part);
            }
        }
        left_out
    }
}
