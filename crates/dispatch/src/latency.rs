//! Quantiles of the most recent response times.

use std::time::Duration;

/// Number of samples that are kept.
const MAX_SAMPLES: usize = 128;

/// Number of samples below which the initial value is used instead of quantiles.
const MIN_SAMPLES: usize = 16;

/// Number of new samples after which the quantiles are recomputed.
const SORT_INTERVAL: usize = 8;

/// Tracks the response times of one kind of request.
#[derive(Clone, Debug)]
pub struct Latency {
    /// Ring buffer of samples, in microseconds.
    ring: Vec<u32>,
    /// Index in `ring` of the next sample.
    next: usize,
    /// Number of samples since `sorted` was computed.
    fresh: usize,
    /// Sorted copy of `ring`; empty until there are [`MIN_SAMPLES`].
    sorted: Vec<u32>,
    initial: Duration,
}

impl Latency {
    /// Creates a tracker that returns `initial` until it has enough samples.
    #[must_use]
    pub fn open(initial: Duration) -> Latency {
        Latency { ring: Vec::new(), next: 0, fresh: 0, sorted: Vec::new(), initial }
    }

    /// Adds a response time.
    pub fn add(&mut self, sample: Duration) {
        let sample = u32::try_from(sample.as_micros()).unwrap_or(u32::MAX);
        if self.ring.len() < MAX_SAMPLES {
            self.ring.push(sample);
        } else {
            self.ring[self.next] = sample;
        }
        self.next = (self.next + 1) % MAX_SAMPLES;
        self.fresh += 1;
        if self.ring.len() >= MIN_SAMPLES && (self.fresh >= SORT_INTERVAL || self.sorted.is_empty())
        {
            self.fresh = 0;
            self.sorted.clone_from(&self.ring);
            self.sorted.sort_unstable();
        }
    }

    /// Returns the response time that a `share` of the samples doesn't exceed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_dispatch::latency::Latency;
    /// let mut latency = Latency::open(Duration::from_millis(50));
    /// assert_eq!(latency.quantile(0.5), Duration::from_millis(50));
    /// for ms in 1..=100 {
    ///     latency.add(Duration::from_millis(ms));
    /// }
    /// assert!(latency.quantile(0.9) >= Duration::from_millis(80));
    /// ```
    #[must_use]
    pub fn quantile(&self, share: f64) -> Duration {
        self.observed(share).unwrap_or(self.initial)
    }

    /// Returns the response time that a `share` of the samples doesn't exceed; `None` while there are
    /// too few samples.
    #[must_use]
    pub fn observed(&self, share: f64) -> Option<Duration> {
        let last = self.sorted.len().checked_sub(1)?;
        let rank = (share * last as f64).round() as usize;
        Some(Duration::from_micros(self.sorted[rank.min(last)].into()))
    }
}
