//! Pacing of calls to the store. The gap between calls grows when the store
//! refuses one and shrinks when calls succeed; failures also cause an
//! exponential backoff.

use std::time::Duration;

use jacinthfall_core::time::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Backoff after the first failure. It doubles with every further one.
const MIN_BACKOFF: Duration = Duration::from_millis(8);

/// Longest backoff after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Smallest gap between calls that is not zero; a smaller one becomes zero.
const MIN_GAP: Duration = Duration::from_micros(500);

/// Largest gap between calls.
const MAX_GAP: Duration = Duration::from_millis(100);

/// Time without a call after which the gap is halved.
const GAP_HALF_LIFE: Duration = Duration::from_secs(1);

/// Consecutive failures after which the store counts as unavailable. With the
/// backoff between them, that takes about 250 milliseconds.
const UNAVAILABLE_FAILURES: u32 = 5;

/// Paces one node's calls of one kind.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    gap: Duration,
    failures: u32,
    backoff_until: Time,
    last_start: Time,
}

impl Pacer {
    /// Returns the earliest time of the next call.
    #[must_use]
    pub fn next_start(&self) -> Time {
        self.backoff_until.max(self.last_start + self.gap)
    }

    /// Returns the current minimum gap between calls.
    #[must_use]
    pub fn gap(&self) -> Duration {
        self.gap
    }

    /// Returns the end of the backoff after a failure.
    #[must_use]
    pub fn backoff_until(&self) -> Time {
        self.backoff_until
    }

    /// Whether so many consecutive calls failed that asks are refused instead of
    /// waiting for the next call.
    #[must_use]
    pub fn is_unavailable(&self) -> bool {
        self.failures >= UNAVAILABLE_FAILURES
    }

    /// Records the start of a call.
    pub fn started(&mut self, now: Time) {
        let halvings = now.since(self.last_start).as_millis() / GAP_HALF_LIFE.as_millis();
        self.gap /= 1 << halvings.min(16);
        self.last_start = now;
    }

    /// Records that the store processed a call, including a swap that it rejected because
    /// of a conflict.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.gap = self.gap * 15 / 16;
        if self.gap < MIN_GAP {
            self.gap = Duration::ZERO;
        }
    }

    /// Records that the store refused a call, possibly because of a rate limit.
    pub fn refused(&mut self, now: Time, rng: &mut ChaCha8Rng) {
        if now >= self.backoff_until {
            self.gap = (self.gap * 3 / 2).clamp(MIN_GAP, MAX_GAP);
        }
        self.failed(now, rng);
    }

    /// Records that the store did not reply. Failures during a backoff aren't counted,
    /// so calls that fail together count once.
    pub fn failed(&mut self, now: Time, rng: &mut ChaCha8Rng) {
        if now < self.backoff_until {
            return;
        }
        let backoff = MIN_BACKOFF * (1 << self.failures.min(16));
        self.failures += 1;
        self.backoff_until = now + jitter(backoff.min(MAX_BACKOFF), rng);
    }
}

/// Returns a random delay between 0.5 and 1.5 times `delay`.
pub fn jitter(delay: Duration, rng: &mut ChaCha8Rng) -> Duration {
    delay.mul_f64(rng.random_range(0.5..1.5))
}
