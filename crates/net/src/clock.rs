//! Monotonic and wall clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use jacinthfall_core::time::{Time, Wall};

/// Monotonic clock, with its zero at [`Clock::open`], and wall clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Zero of the monotonic clock.
    start: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero.
    ///
    /// ```
    /// use jacinthfall_net::clock::Clock;
    /// let clock = Clock::open();
    /// assert!(clock.time() <= clock.time());
    /// ```
    #[must_use]
    pub fn open() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the monotonic time since the clock was opened.
    #[must_use]
    pub fn time(&self) -> Time {
        Time::default() + self.start.elapsed()
    }

    /// Converts a monotonic time to an [`Instant`].
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time(0))
    }

    /// Returns the wall clock time, or the Unix epoch if the system clock is before it.
    #[must_use]
    pub fn wall(&self) -> Wall {
        Wall::default() + SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}
