//! State of one request id that the engine works on.

use jacinthfall_core::id;
use jacinthfall_core::query::Outcome;
use jacinthfall_core::time::{Time, Wall};

use crate::entry::{Entry, State};

/// An ask that waits for its answer.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Identifies the ask.
    pub token: id::Token,
    /// When it arrived, by the wall clock.
    pub arrived: Wall,
    /// Deadline of its answer, by the monotonic clock.
    pub deadline: Time,
    /// Deadline of its answer, by the wall clock.
    pub deadline_wall: Wall,
    /// An attempt that is known to have ended without a run before the ask
    /// arrived.
    pub ended_attempt: Option<id::Attempt>,
}

/// Progress of a run at this node.
#[derive(Clone, Debug)]
pub enum Stage {
    /// The claim has not been seen in the store yet.
    Claiming,
    /// The request was dispatched for this ask and has no result yet.
    Running(id::Token),
    /// The result is known and must be recorded in the store.
    Recording(Outcome),
    /// The attempt will never dispatch and its asks have been answered. Its
    /// claim, if any, must be released.
    Releasing,
}

/// A request id that this node works on.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request: id::Request,
    /// Digest of the query.
    pub digest: u64,
    /// When the caller first issued the request.
    pub issued: Wall,
    /// This node's current attempt.
    pub attempt: id::Attempt,
    /// Whether a swap that contains this attempt's claim was ever started.
    pub swap_started: bool,
    /// Progress of the attempt.
    pub stage: Stage,
    /// When the attempt started.
    pub started: Time,
    /// When its next entry should be written to the store.
    pub write_due: Time,
    /// Unanswered asks, in order of arrival. Those present while the attempt is
    /// being released arrived after its end and wait for the next attempt.
    pub waiters: Vec<Waiter>,
}

impl Run {
    /// Returns the entry of this run in the given state.
    #[must_use]
    pub fn entry(&self, state: State) -> Entry {
        Entry {
            request: self.request.clone(),
            digest: self.digest,
            issued: self.issued,
            attempt: self.attempt.clone(),
            state,
        }
    }

    /// Ends the attempt without a run: it will never dispatch.
    pub fn release(&mut self, write_due: Time) {
        assert!(
            !matches!(self.stage, Stage::Recording(_)),
            "an attempt that may have run is never released as not run"
        );
        self.stage = Stage::Releasing;
        self.write_due = write_due;
    }

    /// Starts the next attempt, for the asks that arrived after the previous one
    /// ended.
    pub fn restart(&mut self, attempt: id::Attempt, now: Time) {
        assert!(
            matches!(self.stage, Stage::Releasing),
            "a new attempt only starts after the previous one was released"
        );
        self.attempt = attempt;
        self.swap_started = false;
        self.stage = Stage::Claiming;
        self.started = now;
        self.write_due = now;
    }
}
