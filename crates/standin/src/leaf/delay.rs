//! Draws service times.
//!
//! A time is determined by the seed, the leaf, the request and the shard alone, so
//! that neither the order of arrival nor a retry changes it, and two runs with the same
//! seed have the same stragglers.

use std::time::Duration;

use jacinthfall_core::hash;
use jacinthfall_core::id;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::leaf::settings::{ColdStart, Delay};

/// Values that determine a service time, besides the distribution.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Seed of the process.
    pub seed: u64,
    /// Name of the leaf.
    pub leaf: &'a str,
    /// Id of the request.
    pub request: &'a str,
    /// Shard.
    pub shard: id::Shard,
}

impl Delay {
    /// Draws the service time of one part.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_core::id::Shard;
    /// use jacinthfall_standin::leaf::delay::Input;
    /// use jacinthfall_standin::leaf::settings::Delay;
    /// let delay = Delay { base: Duration::from_millis(2), ..Delay::default() };
    /// let input = Input { seed: 1, leaf: "bay-card-0", request: "r-1", shard: Shard(0) };
    /// assert_eq!(delay.draw(input), Duration::from_millis(2));
    /// ```
    #[must_use]
    pub fn draw(&self, input: Input<'_>) -> Duration {
        let text = format!("{}\0{}\0{}\0{}", input.seed, input.leaf, input.request, input.shard);
        let mut rng = ChaCha8Rng::seed_from_u64(hash::digest(text.as_bytes()));
        // 1 - x lies in (0, 1], whose logarithm is finite.
        let exponential = self.exponential.mul_f64(-(1.0 - rng.random::<f64>()).ln());
        let time = self.base + exponential;
        if rng.random::<f64>() < self.straggler {
            return time.mul_f64(self.straggler_factor.max(1.0));
        }
        time
    }
}

impl ColdStart {
    /// Factor by which a part takes longer when the leaf has this age.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_standin::leaf::settings::ColdStart;
    /// let cold = ColdStart { period: Duration::from_secs(2), factor: 5.0 };
    /// assert_eq!(cold.factor_at(Duration::from_secs(1)), 3.0);
    /// assert_eq!(cold.factor_at(Duration::from_secs(2)), 1.0);
    /// ```
    #[must_use]
    pub fn factor_at(&self, age: Duration) -> f64 {
        if age >= self.period {
            return 1.0;
        }
        let remaining = 1.0 - age.as_secs_f64() / self.period.as_secs_f64();
        1.0 + (self.factor.max(1.0) - 1.0) * remaining
    }
}
