//! Calls to the store: when they start, and what their results show.

use std::time::Duration;

use jacinthfall_core::time::Time;

use crate::bucket::{Bucket, Call, Want};
use crate::engine::Engine;
use crate::judge::{Verdict, judge};
use crate::pace::jitter;
use crate::run::Stage;
use crate::view::View;
use crate::{Action, Completion, Now, entry, refuse};

/// Most doublings of the delay after conflicts in a row.
const MAX_CONFLICT_DOUBLINGS: u32 = 4;

impl Engine {
    /// Starts every call that is due, the longest due first.
    pub(crate) fn schedule(&mut self, now: Now) {
        let mut due: Vec<(Time, u32)> = self
            .buckets
            .iter()
            .filter_map(|(number, bucket)| Some((self.ready(bucket)?, *number)))
            .collect();
        due.sort_unstable();
        for (waiting, (ready, number)) in due.into_iter().enumerate() {
            if ready <= now.time {
                self.settle(now, number);
                self.start(now, number);
            }
            self.give_up(now, number, waiting);
        }
    }

    /// Asks for a wake at the next deadline or call.
    pub(crate) fn arm(&mut self, now: Now) {
        let calls = self.buckets.values().filter_map(|bucket| self.ready(bucket));
        let Some(next) = calls.chain(self.ledger.next_deadline()).min() else { return };
        let next = next.max(now.time + Duration::from_micros(1));
        if self.armed != Some(next) {
            self.armed = Some(next);
            self.ledger.push(Action::Wake(next));
        }
    }

    /// When the next call of a bucket may start.
    fn ready(&self, bucket: &Bucket) -> Option<Time> {
        if bucket.call.is_some() {
            return None;
        }
        match bucket.want {
            Want::Nothing => None,
            Want::Read(at) => Some(at.max(bucket.not_before).max(self.reads.next())),
            Want::Refresh(at) => {
                Some(at.max(bucket.not_before).max(self.reads.next()).max(self.turn(bucket)))
            }
            Want::Swap(at) => Some(at.max(bucket.not_before).max(self.turn(bucket))),
        }
    }

    /// When the pace of swaps allows the next one of a bucket.
    fn turn(&self, bucket: &Bucket) -> Time {
        if bucket.has_turn { self.swaps.backoff_until() } else { self.swaps.next() }
    }

    fn take_turn(&mut self, now: Now, number: u32) {
        let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
        if !bucket.has_turn {
            self.swaps.started(now.time);
        }
    }

    fn start(&mut self, now: Now, number: u32) {
        let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
        if matches!(bucket.want, Want::Swap(_)) && bucket.is_stale(now.time) {
            bucket.want = Want::Refresh(now.time);
        }
        let bucket = &self.buckets[&number];
        if self.ready(bucket).is_none_or(|ready| ready > now.time) {
            return;
        }
        match bucket.want {
            Want::Nothing => {}
            Want::Read(_) => self.start_read(now, number),
            Want::Refresh(_) => {
                // The swap that follows must not wait, or the bucket is stale again.
                self.take_turn(now, number);
                self.start_read(now, number);
                let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
                bucket.has_turn = true;
            }
            Want::Swap(_) => self.start_swap(now, number),
        }
    }

    fn start_read(&mut self, now: Now, number: u32) {
        self.counters.reads += 1;
        self.reads.started(now.time);
        let call = self.start_call(number, Call::Read);
        let key = self.buckets[&number].key.clone();
        self.ledger.push(Action::Read { call, key });
    }

    fn start_swap(&mut self, now: Now, number: u32) {
        let Some(next) = self.next_view(now, number) else {
            let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
            bucket.not_before = now.time + self.settings.collect;
            return self.settle(now, number);
        };
        self.counters.swaps += 1;
        self.take_turn(now, number);
        let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
        bucket.has_turn = false;
        let expect = next.revision;
        let value = next.encode();
        assert!(value.len() <= self.settings.max_value, "a value stays within the store's limit");
        let call = self.start_call(number, Call::Swap(next));
        let key = self.buckets[&number].key.clone();
        self.ledger.push(Action::Swap { call, key, expect, value });
    }

    fn start_call(&mut self, number: u32, call: Call) -> u64 {
        self.last_call += 1;
        self.calls.insert(self.last_call, number);
        let bucket = self.buckets.get_mut(&number).expect("a scheduled bucket exists");
        let before = bucket.call.replace(call);
        assert!(before.is_none(), "a bucket has one call in flight at most");
        self.last_call
    }

    /// The bucket with all that its runs have to write; `None` if that is
    /// nothing. Claims come last and are refused if they don't fit.
    fn next_view(&mut self, now: Now, number: u32) -> Option<View> {
        let bucket = self.buckets.get_mut(&number)?;
        let view = bucket.view.as_ref()?;
        let mut next = view.clone();
        self.counters.pruned += next.prune(self.settings.oldest(now.wall)) as u64;
        let mut written = 0;
        let mut claims = Vec::new();
        for run in bucket.runs.values() {
            match judge(run, Some(view), bucket.open_swap(), now, &self.settings) {
                Verdict::Write(entry) if matches!(run.stage, Stage::Claiming) => claims.push(entry),
                Verdict::Write(entry) => {
                    written += u64::from(put_shortened(&mut next, entry, self.settings.max_value));
                }
                Verdict::Fence => written += 1,
                _ => {}
            }
        }
        for claim in claims {
            let request = claim.request.clone();
            let run = bucket.runs.get_mut(&request).expect("it was just judged");
            if next.put(claim, self.settings.max_value).is_ok_and(|fits| fits) {
                run.written = true;
                written += 1;
                continue;
            }
            for waiter in run.waiters.drain(..) {
                self.counters.full += 1;
                self.ledger.answer(waiter.token, refuse::bucket_full(self.settings.collect));
            }
        }
        self.counters.written += written;
        (written > 0).then_some(next)
    }

    /// Answers the asks whose claim can't be tried before their deadline, and all
    /// that wait for a store that is unavailable; `waiting` buckets come first.
    fn give_up(&mut self, now: Now, number: u32, waiting: usize) {
        let bucket = &self.buckets[&number];
        let Some(ready) = self.ready(bucket) else { return };
        let is_unavailable = match bucket.want {
            Want::Swap(_) => self.swaps.is_unavailable(),
            Want::Nothing | Want::Read(_) | Want::Refresh(_) => self.reads.is_unavailable(),
        };
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let ready = ready + self.swaps.gap().saturating_mul(waiting);
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
        self.settle(now, number);
    }

    /// Takes the result of a call to the store.
    pub(crate) fn stored(&mut self, now: Now, call: u64, result: Completion) {
        let Some(number) = self.calls.remove(&call) else {
            self.counters.strays += 1;
            return;
        };
        let bucket = self.buckets.get_mut(&number).expect("a called bucket exists");
        let call = bucket.call.take().expect("a call in flight is known to its bucket");
        match (call, result) {
            (Call::Read, Completion::Value { revision, value }) => {
                self.read(now, number, revision, &value.unwrap_or_default());
            }
            (Call::Swap(next), Completion::Swapped { revision }) if revision > next.revision => {
                self.swapped(now, number, next.written(revision, now.time));
            }
            (Call::Swap(_), Completion::Conflict { .. }) => self.lost_swap(now, number),
            (Call::Read, Completion::Refused) => {
                self.counters.refused += 1;
                self.reads.refused(now.time, &mut self.rng);
            }
            (Call::Swap(_), Completion::Refused) => {
                self.counters.refused += 1;
                self.swaps.refused(now.time, &mut self.rng);
            }
            (Call::Read, _) => {
                self.counters.unknown += 1;
                self.reads.lost(now.time, &mut self.rng);
            }
            (Call::Swap(next), _) => {
                self.counters.unknown += 1;
                self.swaps.lost(now.time, &mut self.rng);
                bucket.unsure = Some(next.revision);
                bucket.outdate();
            }
        }
        self.settle(now, number);
    }

    fn read(&mut self, now: Now, number: u32, revision: u64, value: &[u8]) {
        let bucket = self.buckets.get_mut(&number).expect("a called bucket exists");
        let before = bucket.view.as_ref().or(bucket.before.as_ref());
        let view = View::decode(revision, now.time, value, before);
        if view.is_ok_and(|view| bucket.see(view)) {
            self.reads.succeeded();
        } else {
            self.counters.malformed += 1;
            self.reads.lost(now.time, &mut self.rng);
        }
    }

    fn swapped(&mut self, now: Now, number: u32, view: View) {
        let bucket = self.buckets.get_mut(&number).expect("a called bucket exists");
        self.swaps.succeeded();
        bucket.conflicts = 0;
        assert!(view.revision > bucket.highest, "a swap raises the revision of its bucket");
        bucket.highest = view.revision;
        let seen = bucket.see(view);
        assert!(seen, "what this node wrote is not older than what it saw");
        bucket.not_before = now.time;
    }

    fn lost_swap(&mut self, now: Now, number: u32) {
        self.counters.conflicts += 1;
        self.swaps.succeeded();
        let bucket = self.buckets.get_mut(&number).expect("a called bucket exists");
        let delay = self.settings.collect * (1 << bucket.conflicts.min(MAX_CONFLICT_DOUBLINGS));
        bucket.conflicts += 1;
        bucket.quiet = 0;
        bucket.outdate();
        bucket.not_before = now.time + jitter(delay / 2, &mut self.rng);
    }
}

/// Writes an outcome or release; in a bucket that is half full an outcome loses
/// its rows.
fn put_shortened(view: &mut View, entry: entry::Entry, limit: usize) -> bool {
    let is_roomy = view.bytes() < limit / 2;
    if is_roomy && view.put(entry.clone(), limit).is_ok_and(|fits| fits) {
        return true;
    }
    let state = match &entry.state {
        entry::State::Done(outcome) => entry::State::Done(entry::summary(outcome)),
        other => other.clone(),
    };
    view.put(entry::Entry { state, ..entry }, limit).is_ok_and(|fits| fits)
}
