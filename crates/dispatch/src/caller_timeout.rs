//! Estimates how long a caller has been retrying, from the timeout of its request.
//!
//! A request carries the time that its caller will still wait, not the time at which the
//! first attempt began. Most requests are first attempts, except under load, and a retry
//! carries a shorter timeout because earlier attempts used up a part of it. An upper
//! quantile of the recent timeouts is therefore taken as the timeout of a first attempt,
//! and the difference to a shorter timeout as the time spent on earlier attempts.

use std::time::Duration;

use crate::latency::Latency;

/// Quantile of the timeouts that is taken as the timeout of a first attempt. Under load
/// up to three in four requests may be retries, which carry shorter timeouts.
const FIRST_ATTEMPT_QUANTILE: f64 = 0.75;

/// Tracks the timeouts of the requests of one route.
#[derive(Clone, Debug)]
pub struct Estimator {
    timeouts: Latency,
}

impl Default for Estimator {
    fn default() -> Estimator {
        Estimator { timeouts: Latency::open(Duration::ZERO) }
    }
}

impl Estimator {
    /// Records the timeout of a request, and returns the estimated time that its caller has
    /// spent on earlier attempts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_dispatch::caller_timeout::Estimator;
    /// let mut estimator = Estimator::default();
    /// for _ in 0..20 {
    ///     assert_eq!(estimator.spent(Duration::from_millis(1_500)), Duration::ZERO);
    /// }
    /// assert_eq!(estimator.spent(Duration::from_millis(1_100)), Duration::from_millis(400));
    /// ```
    pub fn spent(&mut self, timeout: Duration) -> Duration {
        self.timeouts.add(timeout);
        self.timeouts.quantile(FIRST_ATTEMPT_QUANTILE).saturating_sub(timeout)
    }
}
