//! Asks that wait for their answer, from arrival to the reply to the caller.

use std::collections::BTreeMap;
use std::sync::Arc;

use crossbeam::channel::Sender;
use jacinthfall_core::fate::Report;
use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::query;
use jacinthfall_core::time::{Time, Wall};

/// The answer to an ask, with what is kept besides.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What the caller is told.
    pub outcome: query::Outcome,
    /// What the fate says besides.
    pub report: Report,
}

/// An ask and the way back to its caller.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The request.
    pub ask: Arc<query::Ask>,
    /// Its profile as in force at arrival.
    pub profile: Arc<Profile>,
    /// When the answer is due.
    pub deadline: Time,
    /// The same moment by the wall clock.
    pub expires: Wall,
    /// Where the answer goes.
    pub reply: Sender<Answer>,
    /// Report of a run that was dispatched and has ended.
    pub report: Report,
}

/// Table of asks.
#[derive(Debug, Default)]
pub struct Asks {
    pending: BTreeMap<id::Token, Pending>,
    runs: BTreeMap<id::Token, id::Token>,
}

impl Asks {
    /// Enters an ask.
    pub fn insert(&mut self, token: id::Token, pending: Pending) {
        let previous = self.pending.insert(token, pending);
        assert!(previous.is_none(), "no two asks share a token");
    }

    /// The ask behind a token, if it still waits.
    #[must_use]
    pub fn get(&self, token: id::Token) -> Option<&Pending> {
        self.pending.get(&token)
    }

    /// Notes that the run `run` was dispatched for the claimed ask `claimed`.
    pub fn insert_run(&mut self, run: id::Token, claimed: id::Token) {
        let previous = self.runs.insert(run, claimed);
        assert!(previous.is_none(), "a claim dispatches one run");
    }

    /// The claimed ask behind a run that ended; keeps its report for the answer.
    pub fn finish_run(&mut self, run: id::Token, report: Report) -> Option<id::Token> {
        let claimed = self.runs.remove(&run)?;
        if let Some(pending) = self.pending.get_mut(&claimed) {
            pending.report = report;
        }
        Some(claimed)
    }

    /// Answers an ask and removes it; a second answer finds nothing.
    pub fn answer(&mut self, token: id::Token, outcome: query::Outcome, report: Option<Report>) {
        let Some(pending) = self.pending.remove(&token) else { return };
        let report = report.unwrap_or(pending.report);
        // The caller's thread may have given up; the fate is recorded there too.
        let _ = pending.reply.send(Answer { outcome, report });
    }

    /// Removes an ask whose caller's thread gave up.
    pub fn remove(&mut self, token: id::Token) {
        self.pending.remove(&token);
    }
}
