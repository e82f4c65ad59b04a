//! Judges how long a caller has tried already, from how long it still waits.
//!
//! Callers state how long they wait, not when they began. Most requests are first
//! attempts, so what most callers state is taken for the patience of a first attempt,
//! and what is below it for the rest of an earlier one.

use std::time::Duration;

use crate::latency::Latency;

/// Share of the stated times that the patience of a first attempt is not below. Under
/// load up to three in four requests may be repeats.
const FIRST_ATTEMPT_QUANTILE: f64 = 0.75;

/// Patience of the callers of one route.
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
    /// Time that a caller who still waits for `stated` has spent on earlier attempts.
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
