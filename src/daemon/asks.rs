//! Table of pending asks, from their admission until they are answered.
//!
//! The thread that serves the caller inserts an ask and waits on a channel. An
//! idempotent ask is answered by the read engine under its own token. Any other ask
//! goes to the claim engine, which may dispatch one run of it to the read engine
//! under a second token, and which gives the answer.

use std::collections::BTreeMap;
use std::sync::Arc;

use crossbeam::channel::Sender;
use jacinthfall_core::fate::Report;
use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::query;
use jacinthfall_core::time::{Time, Wall};

/// The answer to an ask, with details for its fate.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The outcome that is sent to the caller.
    pub outcome: query::Outcome,
    /// Details that are stored in the fate only.
    pub report: Report,
}

/// An ask without an answer, and the channel to the thread that serves its caller.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The ask.
    pub ask: Arc<query::Ask>,
    /// Its profile, as in effect when it arrived.
    pub profile: Arc<Profile>,
    /// Deadline of the answer.
    pub deadline: Time,
    /// The deadline by the wall clock.
    pub expires: Wall,
    /// Channel to the thread that serves the caller.
    pub reply: Sender<Answer>,
    /// Report of its run, once a run was dispatched and has ended.
    pub report: Report,
}

/// Pending asks by token, and the runs dispatched for claimed ones.
#[derive(Debug, Default)]
pub struct Asks {
    pending: BTreeMap<id::Token, Pending>,
    runs: BTreeMap<id::Token, id::Token>,
}

impl Asks {
    /// Adds an ask.
    pub fn insert(&mut self, token: id::Token, pending: Pending) {
        let previous = self.pending.insert(token, pending);
        assert!(previous.is_none(), "no two asks share a token");
    }

    /// Returns the ask of a token if it is still pending.
    #[must_use]
    pub fn get(&self, token: id::Token) -> Option<&Pending> {
        self.pending.get(&token)
    }

    /// Adds the run with token `run`, dispatched for the claimed ask `claimed`.
    pub fn insert_run(&mut self, run: id::Token, claimed: id::Token) {
        let previous = self.runs.insert(run, claimed);
        assert!(previous.is_none(), "no two runs share a token");
    }

    /// Removes a run that ended, and keeps its report for the answer. Returns the token of
    /// the claimed ask, or `None` if `run` is not the token of a run.
    pub fn finish_run(&mut self, run: id::Token, report: Report) -> Option<id::Token> {
        let claimed = self.runs.remove(&run)?;
        if let Some(pending) = self.pending.get_mut(&claimed) {
            pending.report = report;
        }
        Some(claimed)
    }

    /// Answers an ask and removes it. Does nothing if it is no longer pending.
    pub fn answer(&mut self, token: id::Token, outcome: query::Outcome, report: Option<Report>) {
        let Some(pending) = self.pending.remove(&token) else { return };
        let report = report.unwrap_or(pending.report);
        // The thread that serves the caller may have stopped waiting. It records the
        // fate in that case as well.
        let _ = pending.reply.send(Answer { outcome, report });
    }

    /// Removes an ask whose thread stopped waiting for the answer.
    pub fn remove(&mut self, token: id::Token) {
        self.pending.remove(&token);
    }
}
