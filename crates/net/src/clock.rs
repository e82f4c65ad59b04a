//! The clocks of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use jacinthfall_core::time::{Time, Wall};

/// Monotonic and wall clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the monotonic clock at zero.
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

    /// Monotonic time since the start of the process.
    #[must_use]
    pub fn time(&self) -> Time {
        Time::default() + self.start.elapsed()
    }

    /// The instant of a monotonic time.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time.since(Time(0))
    }

    /// Wall clock time; the Unix epoch if the clock is set before it.
    #[must_use]
    pub fn wall(&self) -> Wall {
        Wall::default() + SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}
