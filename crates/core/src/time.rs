//! Points in time.
//!
//! The policy crates never read a clock. Their callers pass the current [`Time`]
//! (monotonic, local to one process) or [`Wall`] (comparable between processes up to
//! clock skew) to every call.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Monotonic time of one process, in microseconds since an arbitrary origin.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time that lies `millis` milliseconds after the origin.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// assert_eq!(Time::from_millis(2), Time(2_000));
    /// ```
    #[must_use]
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use std::time::Duration;
    /// assert_eq!(Time(5).since(Time(2)), Duration::from_micros(3));
    /// assert_eq!(Time(2).since(Time(5)), Duration::ZERO);
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(micros(duration)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(micros(duration)))
    }
}

/// Wall clock time, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl Wall {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    ///
    /// ```
    /// use jacinthfall_core::time::Wall;
    /// use std::time::Duration;
    /// assert_eq!(Wall(5).since(Wall(2)), Duration::from_millis(3));
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Wall) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Wall {
    type Output = Wall;

    fn add(self, duration: Duration) -> Wall {
        Wall(self.0.saturating_add(millis(duration)))
    }
}

impl Sub<Duration> for Wall {
    type Output = Wall;

    fn sub(self, duration: Duration) -> Wall {
        Wall(self.0.saturating_sub(millis(duration)))
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
