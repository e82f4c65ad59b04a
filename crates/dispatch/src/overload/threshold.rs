//! Ranks of requests, and the threshold of each shard below which they are refused.
//!
//! Answers a load that a shard can't serve in time: it is better to refuse some requests at once
//! than to answer all of them late. The threshold of a shard rises while many of the parts that were
//! admitted there are late, and falls while few are. The nodes pool what they observe, and
//! the rank of a caller's request is the same at each node, so they refuse the same requests.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_core::hash;
use jacinthfall_core::time::Time;

use super::shortage::Shard;
use crate::quarantine::Fingerprint;

/// Shortage at which a threshold neither rises nor falls.
const TARGET_SHORTAGE: f64 = 0.5;

/// Rise of a threshold per second and shortage above [`TARGET_SHORTAGE`].
const GAIN_PER_SECOND: f64 = 0.5;

/// Time after which a threshold that isn't updated any more no longer changes.
const MAX_STEP: Duration = Duration::from_millis(250);

/// Maximum number of shards with a threshold.
const MAX_SHARDS: usize = 4_096;

/// Priority from which on requests rank alike.
const MAX_PRIORITY: u32 = 8;

/// Weight of a new request in the moving average of the work.
const WORK_WEIGHT: f64 = 0.02;

/// Returns the random number of a caller's request, from 0 to 1. It is the same on all nodes.
///
/// ```
/// use jacinthfall_dispatch::overload::threshold::lot;
/// use jacinthfall_dispatch::quarantine::Fingerprint;
/// assert_eq!(lot(Fingerprint::of(&[b"/a"])), lot(Fingerprint::of(&[b"/a"])));
/// ```
#[must_use]
pub fn lot(fingerprint: Fingerprint) -> f64 {
    hash::unit_interval(hash::digest(fingerprint.to_string().as_bytes()))
}

/// What the rank of a request depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Usual response time of a part.
    pub work: Duration,
    /// Random number from 0 to 1 that is fixed for a caller's request.
    pub lot: f64,
}

/// Thresholds of shards.
#[derive(Debug, Default)]
pub struct Thresholds {
    /// Threshold from 0 to 1, and when it was last updated, by shard.
    shards: BTreeMap<Shard, (f64, Time)>,
    /// Moving average of the work of a part, in seconds.
    work: Option<f64>,
}

impl Thresholds {
    /// Returns the rank of a request, from 0 to 1. Requests of one priority rank in a range of
    /// their own, and in it higher the less work they are compared with the others.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_dispatch::overload::threshold::{Claim, Thresholds};
    /// let work = Duration::from_millis(20);
    /// let claim = Claim { priority: 1, work, lot: 0.6 };
    /// let mut thresholds = Thresholds::default();
    /// assert!((0.25..0.5).contains(&thresholds.rank(claim)));
    /// assert!(thresholds.rank(Claim { priority: 0, lot: 0.1, ..claim }) >= 0.5);
    /// ```
    pub fn rank(&mut self, claim: Claim) -> f64 {
        let seconds = claim.work.as_secs_f64().max(0.000_1);
        let mean = self.work.map_or(seconds, |mean| mean + WORK_WEIGHT * (seconds - mean));
        self.work = Some(mean);
        let position = claim.lot.clamp(0.0, 1.0).powf(seconds / mean);
        let distance = 1.0 - position;
        let top = 0.5_f64.powf(f64::from(claim.priority.min(MAX_PRIORITY)));
        top * (1.0 - 0.5 * distance)
    }

    /// Updates the threshold of a shard by its shortage, and returns it.
    pub fn update(&mut self, now: Time, shard: Shard, shortage: f64) -> f64 {
        if !self.shards.contains_key(&shard) {
            if shortage <= TARGET_SHORTAGE || self.shards.len() >= MAX_SHARDS {
                return 0.0;
            }
            self.shards.insert(shard, (0.0, now));
        }
        let Some((threshold, at)) = self.shards.get_mut(&shard) else { return 0.0 };
        let step = now.since(*at).min(MAX_STEP).as_secs_f64();
        *at = now;
        *threshold += GAIN_PER_SECOND * step * (shortage - TARGET_SHORTAGE);
        *threshold = threshold.clamp(0.0, 1.0);
        let value = *threshold;
        if value <= 0.0 && shortage <= TARGET_SHORTAGE {
            self.shards.remove(&shard);
        }
        value
    }
}
