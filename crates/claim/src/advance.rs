//! Advances the runs of a bucket as far as its last known content allows, and
//! plans the next call to the store.

use std::mem;

use jacinthfall_core::event::Kind;
use jacinthfall_core::id;
use jacinthfall_core::query::Outcome;
use jacinthfall_core::time::{Time, Wall};

use crate::bucket::{Bucket, Plan};
use crate::decision::{Decision, decide, first_arrived_after};
use crate::engine::{Engine, timeline_event};
use crate::run::{Run, Stage};
use crate::{Now, refuse};

/// Earliest times at which the runs of one bucket need each kind of call.
#[derive(Debug, Default)]
struct Needs {
    read: Option<Time>,
    refresh: Option<Time>,
    swap: Option<Time>,
}

impl Needs {
    /// Returns the earliest call. If several are needed at the same time, a plain read
    /// goes first, because asks can be answered from its reply.
    fn plan(&self) -> Plan {
        let read = self.read.map(|at| (at, 0, Plan::Read(at)));
        let refresh = self.refresh.map(|at| (at, 1, Plan::Refresh(at)));
        let swap = self.swap.map(|at| (at, 2, Plan::Swap(at)));
        let first = [read, refresh, swap].into_iter().flatten().min_by_key(|need| (need.0, need.1));
        first.map_or(Plan::Nothing, |(_, _, plan)| plan)
    }
}

impl Engine {
    /// Advances every run of a bucket and plans the call that it needs next.
    pub(crate) fn advance_bucket(&mut self, now: Now, number: u32) {
        let mut bucket = self.buckets.remove(&number).expect("only buckets in use are advanced");
        let mut needs = Needs::default();
        let mut runs = mem::take(&mut bucket.runs);
        runs.retain(|_, run| self.advance_run(now, &bucket, run, &mut needs));
        bucket.runs = runs;
        bucket.plan = needs.plan();
        bucket.has_swap_slot &= bucket.plan != Plan::Nothing;
        self.buckets.insert(number, bucket);
    }

    /// Advances one run as far as possible. Returns whether to keep it.
    fn advance_run(&mut self, now: Now, bucket: &Bucket, run: &mut Run, needs: &mut Needs) -> bool {
        loop {
            if run.waiters.is_empty() && matches!(run.stage, Stage::Claiming) {
                if !run.swap_started {
                    return false;
                }
                run.release(now.time + self.settings.record_delay);
            }
            match decide(run, bucket.view.as_ref(), bucket.pending_swap(), now, &self.settings) {
                Decision::Wait => return true,
                Decision::Read => {
                    set_earliest(&mut needs.read, read_time(run, now));
                    return true;
                }
                Decision::Write(_) | Decision::Fence => {
                    if bucket.is_stale(now.time) && matches!(run.stage, Stage::Claiming) {
                        set_earliest(&mut needs.refresh, now.time);
                    }
                    set_earliest(&mut needs.swap, run.write_due);
                    return true;
                }
                Decision::Dispatch => self.dispatch(now, run),
                Decision::RefuseEarlier { attempt, ended } => {
                    self.refuse_earlier(now, run, &attempt, ended);
                }
                Decision::ClaimedElsewhere(attempt) => {
                    self.counters.claimed_elsewhere += run.waiters.len() as u64;
                    self.ledger.push_action(timeline_event(&run.request, Kind::ClaimLost));
                    self.answer_all(run, &refuse::claimed_elsewhere(&attempt));
                }
                Decision::Answer(outcome) => self.answer_all(run, &outcome),
                Decision::Remove if run.waiters.is_empty() => return false,
                Decision::Remove => {
                    let attempt = self.next_attempt();
                    run.restart(attempt, now.time);
                }
            }
        }
    }

    /// Dispatches a run whose own claim was seen in the store, if any of its asks is
    /// still within its deadline.
    fn dispatch(&mut self, now: Now, run: &mut Run) {
        self.counters.claims_confirmed += 1;
        self.ledger.push_action(timeline_event(&run.request, Kind::Claimed));
        assert!(
            self.settings.is_remembered(run.issued, now.wall),
            "nothing is dispatched after its id has expired"
        );
        let (open, overdue): (Vec<_>, Vec<_>) = mem::take(&mut run.waiters)
            .into_iter()
            .partition(|waiter| now.time < waiter.deadline && now.wall < waiter.deadline_wall);
        for waiter in overdue {
            self.ledger.answer(waiter.token, refuse::deadline_passed());
        }
        run.waiters = open;
        let Some(first) = run.waiters.first() else {
            return run.release(now.time + self.settings.record_delay);
        };
        let expires = first.deadline_wall.min(run.issued + self.settings.window);
        run.stage = Stage::Running(first.token);
        self.counters.dispatched += 1;
        self.ledger.dispatch(first.token, expires);
    }

    /// Refuses the asks that may have arrived before `attempt` ended, and keeps those that
    /// certainly arrived later. Clocks differ, so timestamps show the order only if they
    /// are further apart than the skew.
    fn refuse_earlier(&mut self, now: Now, run: &mut Run, attempt: &id::Attempt, ended: Wall) {
        let first_later = first_arrived_after(&run.waiters, attempt, ended, &self.settings);
        let later = run.waiters.split_off(first_later.unwrap_or(run.waiters.len()));
        let wait = (ended + self.settings.skew * 2).since(now.wall);
        self.answer_all(run, &refuse::order_unknown(wait));
        run.waiters = later;
    }

    fn answer_all(&mut self, run: &mut Run, outcome: &Outcome) {
        for waiter in mem::take(&mut run.waiters) {
            self.ledger.answer(waiter.token, outcome.clone());
        }
    }
}

fn set_earliest(need: &mut Option<Time>, at: Time) {
    *need = Some(need.map_or(at, |before| before.min(at)));
}

/// Returns when a bucket whose content is unknown or outdated must be read for
/// `run`.
fn read_time(run: &Run, now: Now) -> Time {
    match run.stage {
        Stage::Claiming => now.time,
        Stage::Running(_) | Stage::Recording(_) | Stage::Releasing => run.write_due,
    }
}
