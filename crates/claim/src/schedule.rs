//! Calls to the store: schedules and starts them, and handles their results.

use std::time::Duration;

use jacinthfall_core::time::Time;

use crate::bucket::{Bucket, Call, Plan};
use crate::decision::{Decision, decide};
use crate::engine::Engine;
use crate::pacer::jitter;
use crate::run::Stage;
use crate::view::View;
use crate::{Action, Completion, Now, entry, refuse};

/// Maximum number of times that the delay doubles after consecutive conflicts.
const MAX_CONFLICT_DOUBLINGS: u32 = 4;

impl Engine {
    /// Starts every call that is due, in the order in which they became due.
    pub(crate) fn schedule(&mut self, now: Now) {
        let mut due: Vec<(Time, u32)> = self
            .buckets
            .iter()
            .filter_map(|(number, bucket)| Some((self.ready_at(bucket)?, *number)))
            .collect();
        due.sort_unstable();
        for (waiting, (ready, number)) in due.into_iter().enumerate() {
            if ready <= now.time {
                self.advance_bucket(now, number);
                self.start(now, number);
            }
            self.refuse_unservable(now, number, waiting);
        }
    }

    /// Requests a wake at the next deadline or call, whichever is earlier.
    pub(crate) fn set_wake(&mut self, now: Now) {
        let calls = self.buckets.values().filter_map(|bucket| self.ready_at(bucket));
        let Some(next) = calls.chain(self.ledger.next_deadline()).min() else { return };
        let next = next.max(now.time + Duration::from_micros(1));
        if self.next_wake != Some(next) {
            self.next_wake = Some(next);
            self.ledger.push_action(Action::Wake(next));
        }
    }

    /// Returns when the next call of a bucket may start, or `None` if a call is in
    /// flight or none is needed.
    fn ready_at(&self, bucket: &Bucket) -> Option<Time> {
        if bucket.call.is_some() {
            return None;
        }
        match bucket.plan {
            Plan::Nothing => None,
            Plan::Read(at) => Some(at.max(bucket.not_before).max(self.read_pacer.next_start())),
            Plan::Refresh(at) => Some(
                at.max(bucket.not_before)
                    .max(self.read_pacer.next_start())
                    .max(self.swap_slot(bucket)),
            ),
            Plan::Swap(at) => Some(at.max(bucket.not_before).max(self.swap_slot(bucket))),
        }
    }

    /// Returns when the pacing of swaps allows the next one of a bucket.
    fn swap_slot(&self, bucket: &Bucket) -> Time {
        if bucket.has_swap_slot {
            self.swap_pacer.backoff_until()
        } else {
            self.swap_pacer.next_start()
        }
    }

    fn take_swap_slot(&mut self, now: Now, number: u32) {
        let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
        if !bucket.has_swap_slot {
            self.swap_pacer.started(now.time);
        }
    }

    fn start(&mut self, now: Now, number: u32) {
        let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
        if matches!(bucket.plan, Plan::Swap(_)) && bucket.is_stale(now.time) {
            bucket.plan = Plan::Refresh(now.time);
        }
        let bucket = &self.buckets[&number];
        if self.ready_at(bucket).is_none_or(|ready| ready > now.time) {
            return;
        }
        match bucket.plan {
            Plan::Nothing => {}
            Plan::Read(_) => self.start_read(now, number),
            Plan::Refresh(_) => {
                // The swap that follows must not wait for another slot, because the view
                // would become stale again.
                self.take_swap_slot(now, number);
                self.start_read(now, number);
                let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
                bucket.has_swap_slot = true;
            }
            Plan::Swap(_) => self.start_swap(now, number),
        }
    }

    fn start_read(&mut self, now: Now, number: u32) {
        self.counters.reads += 1;
        self.read_pacer.started(now.time);
        let call = self.start_call(number, Call::Read);
        let key = self.buckets[&number].key.clone();
        self.ledger.push_action(Action::Read { call, key });
    }

    fn start_swap(&mut self, now: Now, number: u32) {
        let Some(next) = self.next_view(now, number) else {
            let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
            bucket.not_before = now.time + self.settings.claim_delay;
            return self.advance_bucket(now, number);
        };
        self.counters.swaps += 1;
        self.take_swap_slot(now, number);
        let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
        bucket.has_swap_slot = false;
        let expect = next.revision;
        let value = next.encode();
        assert!(
            value.len() <= self.settings.max_value_bytes,
            "a value does not exceed the size limit of the store"
        );
        let call = self.start_call(number, Call::Swap(next));
        let key = self.buckets[&number].key.clone();
        self.ledger.push_action(Action::Swap { call, key, expect, value });
    }

    fn start_call(&mut self, number: u32, call: Call) -> u64 {
        self.last_call += 1;
        self.calls.insert(self.last_call, number);
        let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
        let before = bucket.call.replace(call);
        assert!(before.is_none(), "a bucket has at most one call in flight");
        self.last_call
    }

    /// Returns the bucket with all entries that its runs have to write, or `None`
    /// if there are none. Outcomes and releases are written before claims; claims that
    /// don't fit are refused.
    fn next_view(&mut self, now: Now, number: u32) -> Option<View> {
        let bucket = self.buckets.get_mut(&number)?;
        let view = bucket.view.as_ref()?;
        let mut next = view.clone();
        self.counters.pruned += next.prune(self.settings.oldest_retained(now.wall)) as u64;
        let mut written = 0;
        let mut claims = Vec::new();
        for run in bucket.runs.values() {
            match decide(run, Some(view), bucket.pending_swap(), now, &self.settings) {
                Decision::Write(entry) if matches!(run.stage, Stage::Claiming) => {
                    claims.push(entry);
                }
                Decision::Write(entry) => {
                    written +=
                        u64::from(put_shortened(&mut next, entry, self.settings.max_value_bytes));
                }
                Decision::Fence => written += 1,
                _ => {}
            }
        }
        for claim in claims {
            let request = claim.request.clone();
            let run = bucket.runs.get_mut(&request).expect("the run was just decided on");
            if next.put(claim, self.settings.max_value_bytes).is_ok_and(|fits| fits) {
                run.swap_started = true;
                written += 1;
                continue;
            }
            for waiter in run.waiters.drain(..) {
                self.counters.bucket_full += 1;
                self.ledger.answer(waiter.token, refuse::bucket_full(self.settings.claim_delay));
            }
        }
        self.counters.entries_written += written;
        (written > 0).then_some(next)
    }

    /// Refuses the asks whose claim can't be attempted before their deadline, or all
    /// asks if the store is unavailable. `waiting` buckets are ahead in the queue.
    fn refuse_unservable(&mut self, now: Now, number: u32, waiting: usize) {
        let bucket = &self.buckets[&number];
        let Some(ready) = self.ready_at(bucket) else { return };
        let is_unavailable = match bucket.plan {
            Plan::Swap(_) => self.swap_pacer.is_unavailable(),
            Plan::Nothing | Plan::Read(_) | Plan::Refresh(_) => self.read_pacer.is_unavailable(),
        };
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let ready = ready + self.swap_pacer.gap().saturating_mul(waiting);
        let tokens: Vec<_> = bucket
            .runs
            .values()
            .filter(|run| !matches!(run.stage, Stage::Running(_)))
            .flat_map(|run| &run.waiters)
            .filter(|waiter| is_unavailable || waiter.deadline <= ready)
            .map(|waiter| waiter.token)
            .collect();
        if tokens.is_empty() {
            return;
        }
        let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
        for run in bucket.runs.values_mut() {
            run.waiters.retain(|waiter| !tokens.contains(&waiter.token));
        }
        for token in tokens {
            let wait = ready.since(now.time);
            self.ledger.answer(token, refuse::store_unavailable(wait));
        }
        self.advance_bucket(now, number);
    }

    /// Handles the result of a call to the store.
    pub(crate) fn handle_call_ended(&mut self, now: Now, call: u64, result: Completion) {
        let Some(number) = self.calls.remove(&call) else {
            self.counters.unexpected_results += 1;
            return;
        };
        let bucket = self.buckets.get_mut(&number).expect("a bucket with a call in flight exists");
        let call = bucket.call.take().expect("the bucket of a call in flight holds the call");
        match (call, result) {
            (Call::Read, Completion::Value { revision, value }) => {
                self.handle_read(now, number, revision, &value.unwrap_or_default());
            }
            (Call::Swap(next), Completion::Swapped { revision }) if revision > next.revision => {
                self.handle_swapped(now, number, next.with_revision(revision, now.time));
            }
            (Call::Swap(_), Completion::Conflict { .. }) => self.handle_conflict(now, number),
            (Call::Read, Completion::Refused) => {
                self.counters.refused += 1;
                self.read_pacer.refused(now.time, &mut self.rng);
            }
            (Call::Swap(_), Completion::Refused) => {
                self.counters.refused += 1;
                self.swap_pacer.refused(now.time, &mut self.rng);
            }
            (Call::Read, _) => {
                self.counters.unanswered += 1;
                self.read_pacer.failed(now.time, &mut self.rng);
            }
            (Call::Swap(next), _) => {
                self.counters.unanswered += 1;
                self.swap_pacer.failed(now.time, &mut self.rng);
                bucket.unanswered_swap = Some(next.revision);
                bucket.invalidate();
            }
        }
        self.advance_bucket(now, number);
    }

    fn handle_read(&mut self, now: Now, number: u32, revision: u64, value: &[u8]) {
        let bucket = self.buckets.get_mut(&number).expect("a bucket with a call in flight exists");
        let before = bucket.view.as_ref().or(bucket.outdated_view.as_ref());
        let view = View::decode(revision, now.time, value, before);
        if view.is_ok_and(|view| bucket.observe(view)) {
            self.read_pacer.succeeded();
        } else {
            self.counters.malformed += 1;
            self.read_pacer.failed(now.time, &mut self.rng);
        }
    }

    fn handle_swapped(&mut self, now: Now, number: u32, view: View) {
        let bucket = self.buckets.get_mut(&number).expect("a bucket with a call in flight exists");
        self.swap_pacer.succeeded();
        bucket.conflicts = 0;
        assert!(
            view.revision > bucket.highest_revision,
            "a successful swap increases the revision of its bucket"
        );
        bucket.highest_revision = view.revision;
        let seen = bucket.observe(view);
        assert!(seen, "a value that this node wrote is not older than the last observed one");
        bucket.not_before = now.time;
    }

    fn handle_conflict(&mut self, now: Now, number: u32) {
        self.counters.conflicts += 1;
        self.swap_pacer.succeeded();
        let bucket = self.buckets.get_mut(&number).expect("a bucket with a call in flight exists");
        let delay = self.settings.claim_delay * (1 << bucket.conflicts.min(MAX_CONFLICT_DOUBLINGS));
        bucket.conflicts += 1;
        bucket.unchanged_replies = 0;
        bucket.invalidate();
        bucket.not_before = now.time + jitter(delay / 2, &mut self.rng);
    }
}

/// Writes an outcome or release. An outcome is summarized, which drops its rows, if
/// the bucket is at least half full or the full outcome doesn't fit. Returns whether
/// the entry was written.
fn put_shortened(view: &mut View, entry: entry::Entry, limit: usize) -> bool {
    let is_under_half_full = view.size_bytes() < limit / 2;
    if is_under_half_full && view.put(entry.clone(), limit).is_ok_and(|fits| fits) {
        return true;
    }
    let state = match &entry.state {
        entry::State::Done(outcome) => entry::State::Done(entry::summarize(outcome)),
        other => other.clone(),
    };
    view.put(entry::Entry { state, ..entry }, limit).is_ok_and(|fits| fits)
}
