//! Decision on a query after each change: wait, move to another version, answer or
//! refuse.

use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::coverage::Cause;
use jacinthfall_core::event;
use jacinthfall_core::query::Outcome;
use jacinthfall_core::refusal::{Ran, Refusal};

use super::Engine;
use crate::layout::Layout;
use crate::query::{Query, Serial, State};
use crate::{Action, refusal};

/// How long new queries avoid a version that leafs could not serve.
const VERSION_AVOIDANCE: Duration = Duration::from_secs(1);

/// Decision on a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// Wait for more outcomes.
    Wait,
    /// Answer or refuse it: no part is open.
    Close,
    /// Refuse it: too few shards can still answer.
    GiveUp,
    /// Answer without waiting for slow shards.
    CloseEarly,
}

impl Engine {
    /// Moves the query to another version if needed, then puts it back into the table or
    /// ends it.
    pub(super) fn settle(&mut self, mut query: Box<Query>) {
        while let Some(layout) = self.move_target(&query) {
            self.move_query(&mut query, layout);
        }
        match self.verdict(&query) {
            Verdict::Wait => {
                self.queries.insert(query.serial, query);
            }
            Verdict::Close => self.close(query, None),
            Verdict::GiveUp => self.close(query, Some(Cause::GivenUp)),
            Verdict::CloseEarly => self.close(query, Some(Cause::AnsweredEarly)),
        }
    }

    /// Settles a query again, if it is still in progress.
    pub(super) fn resettle(&mut self, serial: Serial) {
        if let Some(query) = self.take_query(serial) {
            self.settle(query);
        }
    }

    /// Ends a query at its deadline.
    pub(super) fn expire(&mut self, serial: Serial) {
        if let Some(query) = self.take_query(serial) {
            self.close(query, None);
        }
    }

    fn verdict(&self, query: &Query) -> Verdict {
        if query.open_parts() == 0 {
            return Verdict::Close;
        }
        if query.may_answer_early(self.now) {
            return Verdict::CloseEarly;
        }
        let may_still_move = !self.names_versions() && query.version_misses > 0;
        let is_coverage_lost =
            !query.meets_coverage(query.answered + query.open_parts(), query.parts.len());
        if is_coverage_lost && !may_still_move { Verdict::GiveUp } else { Verdict::Wait }
    }

    /// Returns the layout to move to if no leaf serves some shard in the pinned version.
    fn move_target(&self, query: &Query) -> Option<Arc<Layout>> {
        if query.has_moved || query.version_misses == 0 || query.deadline <= self.now {
            return None;
        }
        if self.names_versions() {
            let mut offered = query.offered_versions.keys().rev();
            let target = offered.find_map(|&version| {
                self.layout(version).filter(|_| version != query.layout.version)
            });
            return target.filter(|layout| !layout.entries.is_empty()).cloned();
        }
        if query.open_parts() > 0 {
            return None;
        }
        let best = query.other_versions.values().max_by_key(|group| group.rows.len());
        best.map(|group| Arc::clone(&group.layout))
    }

    fn move_query(&mut self, query: &mut Query, layout: Arc<Layout>) {
        assert!(!query.has_moved, "invariant: a query moves to another version at most once");
        self.cancel_open_parts(query, |_| Cause::VersionUnavailable);
        if self.names_versions() {
            self.avoided = Some((query.layout.version, self.now + VERSION_AVOIDANCE));
        }
        query.has_moved = true;
        self.counters.moves += 1;
        self.switch(query, layout);
        self.place_all(query);
    }

    fn switch(&mut self, query: &mut Query, layout: Arc<Layout>) {
        let (from, to) = (query.layout.version, layout.version);
        query.move_to(layout);
        self.record(query, event::Kind::Moved { from, to });
    }

    /// Cancels all open parts and marks them as missed, with the cause that `cause`
    /// returns for their state.
    fn cancel_open_parts(&mut self, query: &mut Query, cause: impl Fn(&State) -> Cause) {
        for part in 0..query.parts.len() {
            if query.parts[part].is_open() {
                let cause = cause(&query.parts[part].state);
                self.cancel_part(query, part);
                query.miss_part(part, cause);
            }
        }
    }

    /// Ends a query with the version that has the highest coverage.
    fn close(&mut self, mut query: Box<Query>, open_cause: Option<Cause>) {
        self.cancel_open_parts(&mut query, |state| open_cause.unwrap_or(cause_of_open(state)));
        if let Some(layout) = best_other_layout(&query) {
            self.switch(&mut query, layout);
            self.cancel_open_parts(&mut query, |_| Cause::VersionUnavailable);
        }
        let meets_coverage =
            query.answered > 0 && query.meets_coverage(query.answered, query.parts.len());
        let outcome = if meets_coverage {
            Outcome::Answered(query.answer())
        } else if !query.profile.idempotent && query.sends > query.not_run {
            Outcome::Refused(refusal::unknown_outcome(&query))
        } else {
            Outcome::Refused(refusal::low_coverage(&query))
        };
        self.finish(&query, outcome);
    }

    /// Ends a query whose caller disconnected.
    pub(super) fn cancel_query(&mut self, mut query: Box<Query>) {
        self.cancel_open_parts(&mut query, |_| Cause::Cancelled);
        let outcome = Outcome::Refused(refusal::cancelled(&query));
        self.finish(&query, outcome);
    }

    fn finish(&mut self, query: &Query, outcome: Outcome) {
        match &outcome {
            Outcome::Answered(_) => self.counters.answered += 1,
            Outcome::Refused(refusal) => {
                self.counters.refused += 1;
                check_refusal(query, refusal);
            }
        }
        self.tokens.remove(&query.token);
        let (queued, took) = (query.queueing_time(self.now), self.now.since(query.arrived));
        self.admission.release(self.now, &query.profile, &query.ask.caller, queued, took);
        let report = query.report(self.now);
        self.actions.push(Action::Answer { token: query.token, outcome, report });
    }
}

fn check_refusal(query: &Query, refusal: &Refusal) {
    let is_consistent = refusal.ran != Ran::NotRun || !query.is_dispatched();
    assert!(is_consistent, "invariant: a request refused as not run was not sent to any leaf");
}

fn cause_of_open(state: &State) -> Cause {
    match state {
        State::Queued(..) => Cause::Overloaded,
        _ => Cause::Timeout,
    }
}

/// Returns the layout of the other version with the highest coverage, if it is higher
/// than that of the pinned version.
fn best_other_layout(query: &Query) -> Option<Arc<Layout>> {
    let share = |rows: usize, layout: &Layout| {
        let total = layout.targets(&query.ask.query.scope).len();
        if total == 0 { 0.0 } else { rows as f64 / total as f64 }
    };
    let own = share(query.answered, &query.layout);
    let groups = query.other_versions.values();
    let shares = groups.map(|group| (share(group.rows.len(), &group.layout), &group.layout));
    let best = shares.filter(|(share, _)| *share > own);
    best.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, layout)| Arc::clone(layout))
}
