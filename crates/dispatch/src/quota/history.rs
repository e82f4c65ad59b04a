//! Number of requests granted in the latest window.

use std::collections::VecDeque;
use std::time::Duration;

use jacinthfall_core::time::Time;

/// Number of intervals that a window is divided into.
const INTERVALS: u32 = 20;

/// Requests granted in each of the latest intervals, oldest first.
#[derive(Debug, Default)]
pub(super) struct History(VecDeque<(Time, f64)>);

impl History {
    /// Records granted requests.
    pub(super) fn record(&mut self, now: Time, window: Duration, granted: f64) {
        self.expire(now, window);
        if granted <= 0.0 {
            return;
        }
        match self.0.back_mut() {
            Some((began, count)) if now.since(*began) < window / INTERVALS => *count += granted,
            _ => self.0.push_back((now, granted)),
        }
    }

    /// Returns the number of requests granted in the window that ends now, and up to an interval
    /// before it.
    pub(super) fn count(&mut self, now: Time, window: Duration) -> f64 {
        self.expire(now, window);
        self.0.iter().map(|(_, count)| count).sum()
    }

    fn expire(&mut self, now: Time, window: Duration) {
        let kept = window + window / INTERVALS;
        while self.0.front().is_some_and(|(began, _)| now.since(*began) > kept) {
            self.0.pop_front();
        }
    }
}
