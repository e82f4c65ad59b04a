//! Estimates how long a message takes to a caller and back.
//!
//! The timeout of a request is shorter than usual by the time that its caller has spent before it
//! sent the request. Without a connection that is the time of a connect, which takes a round
//! trip, often after a look-up, which takes one or two. On an open connection it is the time of a
//! look-up alone. The shortest of these times, or of their differences, is close to a round trip.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::caller_timeout::Connection;
use crate::latency::Latency;

/// Round trip that is assumed before any was observed.
const INITIAL: Duration = Duration::from_millis(9);

/// Round trips that a caller needs at most to look up a node and to connect to it.
pub const SETUP_ROUND_TRIPS: u32 = 3;

/// Number of observations of a caller from which on those of others no longer matter.
const MIN_OBSERVATIONS: u32 = 4;

/// Number of observations after which older ones are dropped.
const WINDOW: u32 = 8;

/// Maximum number of callers that are tracked.
const MAX_CALLERS: usize = 4_096;

/// Shortest time in the current and the previous window.
#[derive(Clone, Copy, Debug)]
struct Shortest {
    previous: Duration,
    current: Duration,
    /// Number of observations in the current window.
    count: u32,
}

impl Default for Shortest {
    fn default() -> Shortest {
        Shortest { previous: Duration::MAX, current: Duration::MAX, count: 0 }
    }
}

impl Shortest {
    fn add(&mut self, time: Duration) {
        if self.count == WINDOW {
            *self = Shortest { previous: self.current, ..Shortest::default() };
        }
        self.current = self.current.min(time);
        self.count += 1;
    }

    /// Returns the shortest time; [`Duration::MAX`] if there is none.
    fn get(&self) -> Duration {
        self.previous.min(self.current)
    }
}

/// Times that one caller had spent.
#[derive(Clone, Copy, Debug, Default)]
struct Caller {
    /// Before the first requests of connections.
    new: Shortest,
    /// Before requests on open connections, where it had spent any.
    open: Shortest,
    observations: u32,
}

impl Caller {
    fn add(&mut self, spent: Duration, connection: Connection) {
        self.observations += 1;
        match connection {
            Connection::New => self.new.add(spent),
            Connection::Open => self.open.add(spent),
        }
    }

    fn round_trip(&self) -> Duration {
        let (new, open) = (self.new.get(), self.open.get());
        let shortest = new.min(open);
        if new == Duration::MAX || new <= open { shortest } else { shortest.min(new - open) }
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
        Estimator { callers: HashMap::new(), all: Latency::open(INITIAL) }
    }
}

impl Estimator {
    /// Records the time that a caller had spent before it sent a request. Callers that don't
    /// count that time say nothing about it.
    pub fn record(&mut self, address: IpAddr, spent: Duration, connection: Connection) {
        if spent.is_zero() {
            return;
        }
        if self.callers.len() == MAX_CALLERS && !self.callers.contains_key(&address) {
            self.callers.clear();
        }
        let caller = self.callers.entry(address).or_default();
        caller.add(spent, connection);
        self.all.add(caller.round_trip());
    }

    /// Returns the estimated round trip to a caller.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_dispatch::caller_timeout::Connection;
    /// use jacinthfall_dispatch::round_trip::Estimator;
    /// let caller = [10, 0, 0, 1].into();
    /// let mut estimator = Estimator::default();
    /// estimator.record(caller, Duration::from_millis(22), Connection::New);
    /// estimator.record(caller, Duration::from_millis(15), Connection::Open);
    /// assert_eq!(estimator.round_trip(caller), Duration::from_millis(7));
    /// ```
    #[must_use]
    pub fn round_trip(&self, address: IpAddr) -> Duration {
        let typical = self.all.quantile(0.5);
        match self.callers.get(&address) {
            Some(caller) if caller.observations >= MIN_OBSERVATIONS => caller.round_trip(),
            Some(caller) => {
                let longest = caller.round_trip();
                typical.clamp(longest / SETUP_ROUND_TRIPS, longest)
            }
            None => typical,
        }
    }
}
