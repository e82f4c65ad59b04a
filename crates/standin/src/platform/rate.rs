//! Limits the number of calls per second.

use std::time::Duration;

use jacinthfall_core::time::Time;

/// Length of the burst: the bucket holds the calls that the rate allows in this time.
const BURST: Duration = Duration::from_millis(250);

/// Microseconds in a second, and tokens that one call costs.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Token bucket; one token is a millionth of a call.
#[derive(Clone, Debug)]
pub struct Limit {
    per_second: u64,
    tokens: u64,
    refilled: Time,
}

impl Limit {
    /// Builds a full bucket.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_standin::platform::rate::Limit;
    /// let mut limit = Limit::new(4);
    /// assert!(limit.admit(Time(0)));
    /// assert!(!limit.admit(Time(0)));
    /// assert!(limit.admit(Time(250_000)));
    /// ```
    #[must_use]
    pub fn new(per_second: u32) -> Limit {
        let per_second = u64::from(per_second);
        Limit { per_second, tokens: capacity(per_second), refilled: Time::default() }
    }

    /// Takes the tokens of one call out of the bucket; `false` if the rate is exceeded.
    pub fn admit(&mut self, now: Time) -> bool {
        let elapsed = now.since(self.refilled).as_micros();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let gained = elapsed.saturating_mul(self.per_second);
        self.tokens = self.tokens.saturating_add(gained).min(capacity(self.per_second));
        self.refilled = now;
        if self.tokens < MICROS_PER_SECOND {
            return false;
        }
        self.tokens -= MICROS_PER_SECOND;
        true
    }
}

/// Capacity of the bucket in tokens, at least one call.
fn capacity(per_second: u64) -> u64 {
    let burst_us = u64::try_from(BURST.as_micros()).unwrap_or(u64::MAX);
    burst_us.saturating_mul(per_second).max(MICROS_PER_SECOND)
}
