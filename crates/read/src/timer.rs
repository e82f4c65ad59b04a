//! Timers in order of due time. The engine arms one wake-up at a time, for the first
//! timer.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use jacinthfall_core::time::Time;

use crate::query::Serial;

/// What a timer is for. It is stale once its query or attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Deadline of a query.
    Deadline(Serial),
    /// Earliest time for an early answer.
    Early(Serial),
    /// Time after which an attempt, given by its counter, is hedged.
    Hedge(u64),
}

/// Queue of timers.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    heap: BinaryHeap<Reverse<(Time, Timer)>>,
    armed: Option<Time>,
}

impl Queue {
    pub(crate) fn set(&mut self, due: Time, timer: Timer) {
        self.heap.push(Reverse((due, timer)));
    }

    /// Removes and returns the first timer that is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        let &Reverse((due, _)) = self.heap.peek()?;
        if due > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    /// Drops stale timers from the front, so that no wake-up is spent on them.
    pub(crate) fn drop_stale(&mut self, is_stale: impl Fn(Timer) -> bool) {
        while let Some(&Reverse((_, timer))) = self.heap.peek() {
            if !is_stale(timer) {
                return;
            }
            self.heap.pop();
        }
    }

    /// Returns the wake-up to arm, or `None` if the armed one is early enough.
    pub(crate) fn arm(&mut self, now: Time) -> Option<Time> {
        if self.armed.is_some_and(|armed| armed <= now) {
            self.armed = None;
        }
        let &Reverse((due, _)) = self.heap.peek()?;
        if self.armed.is_some_and(|armed| armed <= due) {
            return None;
        }
        self.armed = Some(due);
        self.armed
    }
}
