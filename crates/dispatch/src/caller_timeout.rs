//! Estimates how long a caller has been retrying, from the timeout that it states.
//!
//! Callers state how long they will still wait, not when their first attempt began.
//! Most requests are first attempts, so the timeout that most callers state is taken as
//! the timeout of a first attempt. A shorter one is taken as what an earlier attempt left
//! over.

use std::time::Duration;

use crate::latency::Latency;

/// Quantile of the stated timeouts that is taken as the timeout of a first attempt. Under
/// load up to three in four requests may be retries, which state shorter ones.
const FIRST_ATTEMPT_QUANTILE: f64 = 0.75;

/// Tracks the timeouts that the callers of one route state.
#[derive(Clone, Debug)]
pub struct Estimator {
    stated: Latency,
}

impl Default for Estimator {
    fn default() -> Estimator {
        Estimator { stated: Latency::open(Duration::ZERO) }
    }
}

impl Estimator {
    /// Records a stated timeout, and returns the estimated time that its caller has spent on
    /// earlier attempts.
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
    pub fn spent(&mut self, stated: Duration) -> Duration {
        self.stated.add(stated);
        self.stated.quantile(FIRST_ATTEMPT_QUANTILE).saturating_sub(stated)
    }
}
