//! Limits on the wait for something that arrives piece by piece.

use std::time::{Duration, Instant};

use tokio::time::timeout;

/// Limits on a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time between two pieces.
    pub silence: Duration,
    /// Maximum time until all have arrived.
    pub total: Duration,
}

/// A limit was exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "no complete response after {after:?}: {received} bytes arrived, the latest {silent:?} ago; \
     check the load of the peer and of the link to it"
)]
pub struct Timeout {
    /// Bytes that had arrived.
    pub received: usize,
    /// Time since the latest of them.
    pub silent: Duration,
    /// Time since the wait began.
    pub after: Duration,
}

/// How far a response has arrived.
#[derive(Debug)]
pub struct Progress {
    /// Bytes that have arrived.
    pub received: usize,
    limits: Limits,
    started: Instant,
    /// When the latest piece arrived, or the wait began.
    last: Instant,
}

impl Progress {
    /// Begins a wait.
    #[must_use]
    pub fn open(limits: Limits) -> Progress {
        let now = Instant::now();
        Progress { received: 0, limits, started: now, last: now }
    }

    /// Waits for the next piece, as far as the limits allow.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_net::progress::{Limits, Progress};
    /// let second = Duration::from_secs(1);
    /// let mut progress = Progress::open(Limits { silence: second, total: second });
    /// let runtime = jacinthfall_net::runtime(1).unwrap();
    /// assert_eq!(runtime.block_on(progress.wait(async { 7 })), Ok(7));
    /// ```
    ///
    /// # Errors
    ///
    /// [`Timeout`] if a limit is exceeded.
    pub async fn wait<F: Future>(&mut self, piece: F) -> Result<F::Output, Timeout> {
        let left = self.limits.total.saturating_sub(self.started.elapsed());
        let Ok(piece) = timeout(left.min(self.limits.silence), piece).await else {
            let (after, silent) = (self.started.elapsed(), self.last.elapsed());
            return Err(Timeout { received: self.received, silent, after });
        };
        self.last = Instant::now();
        Ok(piece)
    }
}
