//! Phase of a node's life (running, leaving or stopping) and number of open requests.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Phase of a node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serves requests and is listed in answers to `GET /v1/addresses`.
    Running,
    /// Serves requests, but is no longer listed.
    Leaving,
    /// Refuses new requests.
    Stopping,
}

impl Phase {
    /// Returns the name of the phase in status replies.
    ///
    /// ```
    /// assert_eq!(jacinthfall::daemon::state::Phase::Leaving.name(), "leaving");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Phase::Running => "running",
            Phase::Leaving => "leaving",
            Phase::Stopping => "stopping",
        }
    }
}

/// Phase and number of open requests of a node.
#[derive(Debug)]
pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug)]
struct Inner {
    phase: Phase,
    open_requests: usize,
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct Guard<'a> {
    state: &'a State,
}

impl State {
    /// Creates the state of a running node without open requests.
    #[must_use]
    pub fn open() -> State {
        State {
            inner: Mutex::new(Inner { phase: Phase::Running, open_requests: 0 }),
            changed: Condvar::new(),
        }
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Enters `phase` if it is later than the current one. Returns whether it was entered.
    pub fn advance(&self, phase: Phase) -> bool {
        let mut inner = self.lock();
        let advances = phase > inner.phase;
        if advances {
            inner.phase = phase;
            self.changed.notify_all();
        }
        advances
    }

    /// Counts a request as open, or returns `None` if the node is stopping.
    ///
    /// The check and the count are atomic: once a stopping node has no open request,
    /// no further one can be admitted.
    #[must_use]
    pub fn begin_request(&self) -> Option<Guard<'_>> {
        let mut inner = self.lock();
        if inner.phase == Phase::Stopping {
            return None;
        }
        inner.open_requests += 1;
        Some(Guard { state: self })
    }

    /// Waits until the node is leaving.
    pub fn wait_leaving(&self) {
        let mut inner = self.lock();
        while inner.phase == Phase::Running {
            inner = self.changed.wait(inner).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Waits until no request is open. Returns `false` if that takes longer than
    /// `timeout`.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut inner = self.lock();
        while inner.open_requests > 0 {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let waited = self.changed.wait_timeout(inner, remaining);
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let mut inner = self.state.lock();
        assert!(inner.open_requests > 0, "a request ended that was not counted as open");
        inner.open_requests -= 1;
        if inner.open_requests == 0 {
            self.state.changed.notify_all();
        }
    }
}
