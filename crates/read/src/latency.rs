//! Streaming histogram of a service's latency.

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of buckets per octave, which is a doubling of the latency.
const BUCKETS_PER_OCTAVE: u64 = 16;

/// Number of octaves covered, from 1 us upwards.
const OCTAVES: u64 = 40;

/// Weight at which all counts are halved, so that old samples lose influence.
const HALVE_AT_WEIGHT: u64 = 20_000;

/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u64 = 100;

/// Number of samples after which a cached quantile is recomputed.
const CACHED_FOR_SAMPLES: u64 = 256;

/// Histogram with logarithmic buckets and decay of old samples.
#[derive(Debug)]
pub(crate) struct Histogram {
    counts: Vec<u64>,
    weight: u64,
    samples: u64,
    /// Cached quantiles by the bits of their rank, with the sample count at which they
    /// were computed.
    cache: BTreeMap<u64, (u64, Duration)>,
}

impl Histogram {
    pub(crate) fn new() -> Histogram {
        let buckets =
            usize::try_from(OCTAVES * BUCKETS_PER_OCTAVE).expect("the number of buckets fits");
        Histogram { counts: vec![0; buckets], weight: 0, samples: 0, cache: BTreeMap::new() }
    }

    pub(crate) fn record(&mut self, latency: Duration) {
        let last = self.counts.len() - 1;
        self.counts[bucket(latency).min(last)] += 1;
        self.weight += 1;
        self.samples += 1;
        if self.weight >= HALVE_AT_WEIGHT {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.weight = self.counts.iter().sum();
        }
    }

    /// Returns the quantile at `rank` (0.5 is the median), or `None` if there are too
    /// few samples. The value may be up to [`CACHED_FOR_SAMPLES`] samples old.
    pub(crate) fn quantile(&mut self, rank: f64) -> Option<Duration> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let key = rank.to_bits();
        if let Some(&(read_at, quantile)) = self.cache.get(&key)
            && self.samples < read_at + CACHED_FOR_SAMPLES
        {
            return Some(quantile);
        }
        let quantile = self.compute(rank);
        self.cache.insert(key, (self.samples, quantile));
        Some(quantile)
    }

    fn compute(&self, rank: f64) -> Duration {
        let target_weight = rank * self.weight as f64;
        let mut cumulative_weight = 0;
        let bucket = self.counts.iter().position(|count| {
            cumulative_weight += count;
            cumulative_weight as f64 >= target_weight
        });
        upper_bound(bucket.unwrap_or(self.counts.len() - 1))
    }
}

/// Returns the bucket of a latency.
fn bucket(latency: Duration) -> usize {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX).max(1);
    let octave = u64::from(micros.ilog2());
    let remainder = u128::from(micros) - (1 << octave);
    let offset = u64::try_from((remainder * u128::from(BUCKETS_PER_OCTAVE)) >> octave).unwrap_or(0);
    usize::try_from(octave * BUCKETS_PER_OCTAVE + offset).unwrap_or(usize::MAX)
}

fn upper_bound(bucket: usize) -> Duration {
    let bucket = bucket as u64;
    let (octave, offset) = (bucket / BUCKETS_PER_OCTAVE, bucket % BUCKETS_PER_OCTAVE);
    Duration::from_micros(((1 << octave) * (BUCKETS_PER_OCTAVE + offset + 1)) / BUCKETS_PER_OCTAVE)
}
