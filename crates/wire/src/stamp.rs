//! Timestamps of hybrid logical clocks.

use jacinthfall_core::time::Wall;
use serde::{Deserialize, Serialize};

/// Number of bits that hold the fraction of a second in [`Stamp::time`].
const FRACTION_BITS: u32 = 32;

/// Milliseconds per second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// A hybrid logical timestamp. The order of timestamps respects causality.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Time in the 64-bit NTP format: seconds and a binary fraction, whose lowest bits are
    /// the logical counter.
    pub time: u64,
    /// Id of the clock that created the timestamp.
    pub clock: u128,
}

impl Stamp {
    /// Returns the wall clock time of the timestamp, rounded to the nearest millisecond.
    ///
    /// ```
    /// use jacinthfall_core::time::Wall;
    /// use jacinthfall_wire::Stamp;
    /// assert_eq!(Stamp { time: 3 << 32 | 1 << 31, clock: 1 }.wall(), Wall(3_500));
    /// ```
    #[must_use]
    pub const fn wall(self) -> Wall {
        let seconds = self.time >> FRACTION_BITS;
        let fraction = self.time & ((1 << FRACTION_BITS) - 1);
        let rounding = 1 << (FRACTION_BITS - 1);
        Wall(
            seconds * MILLIS_PER_SECOND
                + ((fraction * MILLIS_PER_SECOND + rounding) >> FRACTION_BITS),
        )
    }
}
