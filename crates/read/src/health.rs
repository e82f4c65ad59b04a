//! Outlier ejection of leafs that fail or are much slower than their peers.
//!
//! An ejected leaf is probed after a pause, which doubles with each failed or slow
//! attempt, and is readmitted after a reply that is not slow.

use std::time::Duration;

use jacinthfall_core::time::Time;

/// Number of consecutive failures that eject a leaf.
const EJECT_AFTER_FAILURES: u32 = 5;

/// Number of consecutive replies, each slower than [`SLOW_FACTOR`] medians, that
/// eject a leaf.
const EJECT_AFTER_SLOW_REPLIES: u32 = 4;

/// A reply is slow if it takes more than this many times the service's median.
const SLOW_FACTOR: u32 = 3;

/// Time from an ejection to the first probe.
const INITIAL_EJECTION_PERIOD: Duration = Duration::from_millis(500);

/// Maximum time from a failed probe to the next one.
const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(30);

/// Divisor of the number of leafs that gives how many may be ejected at a time.
pub(crate) const MAX_EJECTED_DIVISOR: usize = 3;

/// Whether a leaf is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy,
    /// Until this time, chosen only if no healthy replica is usable; after it, sent one
    /// part at a time as a probe.
    Ejected {
        until: Time,
    },
}

/// Change of the ejection state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Ejected,
    Readmitted,
}

/// Failure and latency record of one leaf.
#[derive(Debug)]
pub(crate) struct Health {
    state: State,
    failures: u32,
    slow_replies: u32,
    ejection_period: Duration,
}

impl Health {
    pub(crate) fn new() -> Health {
        Health {
            state: State::Healthy,
            failures: 0,
            slow_replies: 0,
            ejection_period: INITIAL_EJECTION_PERIOD,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.state != State::Healthy
    }

    /// Whether the leaf is ejected and due for a probe.
    pub(crate) fn is_probe_due(&self, now: Time) -> bool {
        matches!(self.state, State::Ejected { until } if until <= now)
    }

    /// Records a failed attempt. `may_eject` allows it to eject the leaf.
    pub(crate) fn note_failure(&mut self, now: Time, may_eject: bool) -> Option<Change> {
        self.failures += 1;
        if self.is_ejected() {
            self.extend_ejection(now);
            return None;
        }
        self.eject_if(now, self.failures >= EJECT_AFTER_FAILURES && may_eject)
    }

    /// Records a reply after `latency`.
    pub(crate) fn note_reply(
        &mut self,
        now: Time,
        latency: Duration,
        median: Option<Duration>,
        may_eject: bool,
    ) -> Option<Change> {
        self.failures = 0;
        let is_slow = is_slow(latency, median);
        self.slow_replies = if is_slow { self.slow_replies + 1 } else { 0 };
        if !self.is_ejected() {
            return self.eject_if(now, self.slow_replies >= EJECT_AFTER_SLOW_REPLIES && may_eject);
        }
        if is_slow {
            self.extend_ejection(now);
            return None;
        }
        *self = Health::new();
        Some(Change::Readmitted)
    }

    /// Records an attempt that was cancelled without a reply after `elapsed`. It counts
    /// as a slow reply if `elapsed` is slow already and is ignored otherwise.
    pub(crate) fn note_cancelled(
        &mut self,
        now: Time,
        elapsed: Duration,
        median: Option<Duration>,
        may_eject: bool,
    ) -> Option<Change> {
        if !is_slow(elapsed, median) {
            return None;
        }
        let failures = self.failures;
        let change = self.note_reply(now, elapsed, median, may_eject);
        self.failures = failures;
        change
    }

    fn eject_if(&mut self, now: Time, is_bad: bool) -> Option<Change> {
        if !is_bad {
            return None;
        }
        self.state = State::Ejected { until: now + self.ejection_period };
        Some(Change::Ejected)
    }

    fn extend_ejection(&mut self, now: Time) {
        self.ejection_period = (self.ejection_period * 2).min(MAX_EJECTION_PERIOD);
        self.state = State::Ejected { until: now + self.ejection_period };
    }
}

fn is_slow(latency: Duration, median: Option<Duration>) -> bool {
    median.is_some_and(|median| latency > median * SLOW_FACTOR)
}
