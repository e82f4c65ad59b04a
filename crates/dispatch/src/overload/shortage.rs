//! Measure of the shards that are short of room, shared by nodes.
//!
//! A shard's shortage is the share of parts that lately found no leaf of it at once, or were not
//! answered when they were due. A node sees few parts of a shard, so the nodes pool their
//! observations: each sends its own to a few others while any shard is short, and weighs theirs by
//! the number of parts that they rest on. A report counts for at most twice the median weight, and
//! the highest one about a shard isn't counted, so that no single node can make a shard appear short.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::hash;
use jacinthfall_core::time::Time;
use serde::{Deserialize, Serialize};

/// Time after which an observation has lost half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Age at which the report of another node expires.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Maximum number of nodes whose reports are kept; the oldest one is replaced.
const MAX_REPORTS: usize = 32;

/// Maximum number of rows in a report.
pub const MAX_ROWS: usize = 32;

/// Maximum number of shards that observations are kept of.
const MAX_SHARDS: usize = 4_096;

/// Shortage from which on a shard counts as short.
pub const MIN_SHORTAGE: f64 = 0.1;

/// Number of parts that found a leaf which are assumed before any was observed.
const PRIOR: f64 = 2.0;

/// Shortage of 1 in a [`Row`].
const SCALE: f64 = 255.0;

/// Identifies a shard: a digest of the name of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(u32);

impl Shard {
    /// Returns the identifier of the shard that a service holds.
    #[must_use]
    pub fn of(service: &str) -> Shard {
        Shard(hash::digest(service.as_bytes()) as u32)
    }
}

/// Shortage of one shard as seen by one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Shard that is short.
    pub shard: Shard,
    /// Its shortage, in 255ths.
    pub shortage: u8,
}

/// What one node has observed until it sent this.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of parts of each shard that it rests on.
    pub asked: u8,
    /// Shards that are short; all others have room.
    pub rows: Vec<Row>,
}

/// Decaying numbers of parts of a shard.
#[derive(Clone, Copy, Debug)]
struct Count {
    asked: f64,
    unmet: f64,
    at: Time,
}

impl Count {
    fn decayed(self, now: Time) -> Count {
        let weight = weight(now.since(self.at));
        Count { asked: self.asked * weight, unmet: self.unmet * weight, at: now }
    }

    fn shortage(self) -> f64 {
        self.unmet / (self.asked + PRIOR)
    }
}

/// Returns the weight of an observation of the given age.
fn weight(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// A report of another node.
#[derive(Debug)]
struct Received {
    at: Time,
    asked: f64,
    shortages: BTreeMap<Shard, f64>,
}

/// Observations of this node, and reports of others.
#[derive(Debug, Default)]
pub struct Table {
    counts: BTreeMap<Shard, Count>,
    reports: BTreeMap<SocketAddr, Received>,
}

impl Table {
    /// Records whether a part found a leaf of a shard at once, or was answered in time.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::overload::shortage::{Shard, Table};
    /// let shard = Shard::of("index-7");
    /// let mut table = Table::default();
    /// (0..20).for_each(|n| table.observe(Time::from_millis(n), shard, n % 2 == 0));
    /// assert!(table.shortages(Time::from_millis(20), &[shard])[0] > 0.4);
    /// assert!(table.shortages(Time::from_millis(5_000), &[shard])[0] < 0.1);
    /// ```
    pub fn observe(&mut self, now: Time, shard: Shard, is_met: bool) {
        if !self.counts.contains_key(&shard) && self.counts.len() >= MAX_SHARDS {
            self.counts.retain(|_, count| count.decayed(now).asked > 0.01);
            if self.counts.len() >= MAX_SHARDS {
                return;
            }
        }
        let count = self.counts.entry(shard).or_insert(Count { asked: 0.0, unmet: 0.0, at: now });
        *count = count.decayed(now);
        count.asked += 1.0;
        count.unmet += f64::from(u8::from(!is_met));
    }

    /// Records the report of another node. Returns whether it is plausible; others are dropped.
    pub fn merge(&mut self, now: Time, source: SocketAddr, report: &Report) -> bool {
        if report.rows.len() > MAX_ROWS {
            return false;
        }
        self.reports.retain(|_, report| now.since(report.at) < MAX_REPORT_AGE);
        if !self.reports.contains_key(&source) && self.reports.len() >= MAX_REPORTS {
            let oldest = self.reports.iter().min_by_key(|(_, report)| report.at);
            if let Some(oldest) = oldest.map(|(source, _)| *source) {
                self.reports.remove(&oldest);
            }
        }
        let rows = report.rows.iter();
        let shortages = rows.map(|row| (row.shard, f64::from(row.shortage) / SCALE)).collect();
        let asked = f64::from(report.asked);
        self.reports.insert(source, Received { at: now, asked, shortages });
        true
    }

    /// Returns the shortage of each shard, from 0 to 1.
    #[must_use]
    pub fn shortages(&self, now: Time, shards: &[Shard]) -> Vec<f64> {
        let mut reports: Vec<(f64, &Received)> = self
            .fresh(now)
            .map(|report| (report.asked * weight(now.since(report.at)), report))
            .collect();
        let max_weight = 2.0 * median(reports.iter().map(|(weight, _)| *weight).collect());
        reports.iter_mut().for_each(|(weight, _)| *weight = weight.min(max_weight));
        shards.iter().map(|shard| self.shortage(now, *shard, &reports)).collect()
    }

    fn shortage(&self, now: Time, shard: Shard, reports: &[(f64, &Received)]) -> f64 {
        let none = Count { asked: 0.0, unmet: 0.0, at: now };
        let mut count = self.counts.get(&shard).map_or(none, |count| count.decayed(now));
        let stated = |report: &Received| report.shortages.get(&shard).copied().unwrap_or(0.0);
        let highest = reports.iter().map(|(_, report)| stated(report)).fold(0.0, f64::max);
        let mut skipped = false;
        for (weight, report) in reports {
            let shortage = stated(report);
            if !skipped && shortage >= highest && highest > 0.0 {
                skipped = true;
                continue;
            }
            count.asked += weight;
            count.unmet += weight * shortage;
        }
        count.shortage()
    }

    /// Iterates over the reports of other nodes that haven't expired.
    fn fresh(&self, now: Time) -> impl Iterator<Item = &Received> {
        self.reports.values().filter(move |report| now.since(report.at) < MAX_REPORT_AGE)
    }

    /// Returns what this node tells others; `None` while no shard is short here or elsewhere.
    #[must_use]
    pub fn report(&self, now: Time) -> Option<Report> {
        let counts = self.counts.iter().map(|(shard, count)| (*shard, count.decayed(now)));
        let counts: Vec<(Shard, Count)> = counts.collect();
        let asked = counts.iter().map(|(_, count)| count.asked).fold(0.0, f64::max);
        let short = counts.iter().filter(|(_, count)| count.shortage() >= MIN_SHORTAGE / 2.0);
        let mut rows: Vec<Row> = short
            .map(|(shard, count)| {
                let shortage = (count.unmet / count.asked * SCALE).round() as u8;
                Row { shard: *shard, shortage }
            })
            .collect();
        let is_short_elsewhere = self.fresh(now).any(|report| !report.shortages.is_empty());
        if asked < 0.5 || (rows.is_empty() && !is_short_elsewhere) {
            return None;
        }
        rows.sort_by_key(|row| (std::cmp::Reverse(row.shortage), row.shard));
        rows.truncate(MAX_ROWS);
        Some(Report { asked: asked.round().min(255.0) as u8, rows })
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
