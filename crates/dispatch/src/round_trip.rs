//! Estimates how long a message takes to a caller and back.
//!
//! A caller that uses a connection again sends its next request after it has received the answer to
//! the one before. The shortest time between the two is therefore close to a round trip, if the
//! caller is busy. It counts once several times are close to it: those of a caller that is idle most
//! of the time are spread, and say nothing about the distance.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::latency::Latency;

/// Number of observations of a caller below which its shortest time may be far from a round trip.
const MIN_OBSERVATIONS: u32 = 32;

/// Number of shortest times that must be close to each other.
const MIN_CLOSE: usize = 4;

/// Factor up to which they are close.
const CLOSE_FACTOR: f64 = 1.5;

/// Difference up to which they are close, whatever the factor; the clocks of timers are not finer.
const CLOSE_DIFFERENCE: Duration = Duration::from_millis(1);

/// Number of observations after which older ones are dropped.
const WINDOW: u32 = 256;

/// Maximum number of callers that are tracked.
const MAX_CALLERS: usize = 4_096;

/// Whether a request is the first one on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Connection {
    /// It is.
    New,
    /// There were others before it.
    Open,
}

impl Connection {
    /// Returns the name that is written to the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Connection::New => "new",
            Connection::Open => "open",
        }
    }
}

/// Shortest times between an answer to one caller and its next request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    /// Shortest times in the current window, in ascending order.
    shortest: [Duration; MIN_CLOSE],
    /// Number of observations in the current window.
    count: u32,
    /// Estimate of the previous window.
    previous: Option<Duration>,
}

impl Default for Caller {
    fn default() -> Caller {
        Caller { shortest: [Duration::MAX; MIN_CLOSE], count: 0, previous: None }
    }
}

impl Caller {
    fn add(&mut self, time: Duration) {
        if self.count == WINDOW {
            *self = Caller { previous: self.current(), ..Caller::default() };
        }
        self.count += 1;
        let [.., longest] = &mut self.shortest;
        *longest = time.min(*longest);
        self.shortest.sort_unstable();
    }

    /// Returns the estimate of the current window.
    fn current(&self) -> Option<Duration> {
        let [shortest, .., longest] = self.shortest;
        if self.count < MIN_OBSERVATIONS {
            return None;
        }
        let limit = shortest.mul_f64(CLOSE_FACTOR).max(shortest + CLOSE_DIFFERENCE);
        (longest <= limit).then_some(shortest)
    }

    fn round_trip(&self) -> Option<Duration> {
        self.current().or(self.previous)
    }
}

/// Tracks the round trips of callers.
#[derive(Debug)]
pub struct Estimator {
    callers: HashMap<IpAddr, Caller>,
    /// Estimates for all callers, one for each observation.
    all: Latency,
}

impl Default for Estimator {
    fn default() -> Estimator {
        Estimator { callers: HashMap::new(), all: Latency::open(Duration::ZERO) }
    }
}

impl Estimator {
    /// Records the time between an answer to a caller and its next request on the same connection.
    pub fn record(&mut self, address: IpAddr, time: Duration) {
        if self.callers.len() == MAX_CALLERS && !self.callers.contains_key(&address) {
            self.callers.clear();
        }
        let caller = self.callers.entry(address).or_default();
        caller.add(time);
        if let Some(round_trip) = caller.round_trip() {
            self.all.add(round_trip);
        }
    }

    /// Returns the estimated round trip to a caller: that of the median caller if this one hasn't
    /// shown its own, and `unknown` if none has.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_dispatch::round_trip::Estimator;
    /// let (ms, caller) = (Duration::from_millis, [10, 0, 0, 1].into());
    /// let mut estimator = Estimator::default();
    /// assert_eq!(estimator.round_trip(caller, ms(5)), ms(5));
    /// (0..32).for_each(|n| estimator.record(caller, ms(7 + n / 4)));
    /// assert_eq!(estimator.round_trip(caller, ms(5)), ms(7));
    /// ```
    #[must_use]
    pub fn round_trip(&self, address: IpAddr, unknown: Duration) -> Duration {
        let own = self.callers.get(&address).and_then(Caller::round_trip);
        own.or_else(|| self.all.observed(0.5)).unwrap_or(unknown)
    }
}
