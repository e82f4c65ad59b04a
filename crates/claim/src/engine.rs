//! The engine of the claim path: handles events about asks, runs and deadlines.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_core::query::Outcome;
use jacinthfall_core::refusal::Ran;
use jacinthfall_core::time::{Time, Wall};
use jacinthfall_core::{event, hash, id};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::bucket::Bucket;
use crate::counters::Counters;
use crate::entry::State;
use crate::ledger::Ledger;
use crate::pacer::Pacer;
use crate::run::{Run, Stage, Waiter};
use crate::{Action, Event, Now, Settings, refuse};

/// Minimum number of gaps between swaps that an outcome waits, so that under load
/// more outcomes are written by one swap.
const MIN_RECORD_GAPS: u32 = 32;

/// Claim path of one node.
#[derive(Debug)]
pub struct Engine {
    pub(crate) origin: id::Incarnation,
    pub(crate) settings: Settings,
    pub(crate) rng: ChaCha8Rng,
    /// Every bucket used so far, by number.
    pub(crate) buckets: BTreeMap<u32, Bucket>,
    /// Bucket of each call in flight.
    pub(crate) calls: BTreeMap<u64, u32>,
    pub(crate) last_call: u64,
    pub(crate) last_attempt: u64,
    pub(crate) read_pacer: Pacer,
    pub(crate) swap_pacer: Pacer,
    pub(crate) ledger: Ledger,
    pub(crate) counters: Counters,
    pub(crate) next_wake: Option<Time>,
    pub(crate) stopping: bool,
}

/// Fields of an [`Event::Ask`].
struct Ask {
    token: id::Token,
    request: id::Request,
    digest: u64,
    issued: Wall,
    deadline: Time,
}

impl Engine {
    /// Opens the engine. Its random delays are seeded from `origin`.
    ///
    /// ```
    /// use jacinthfall_claim::{Engine, Settings};
    /// use jacinthfall_core::id::Incarnation;
    /// let origin = Incarnation { node: "kbely-1".into(), started: 1 };
    /// assert!(Engine::open(origin, Settings::default()).is_idle());
    /// ```
    #[must_use]
    pub fn open(origin: id::Incarnation, settings: Settings) -> Engine {
        let seed = hash::digest(origin.to_string().as_bytes());
        Engine {
            origin,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            buckets: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            last_attempt: 0,
            read_pacer: Pacer::default(),
            swap_pacer: Pacer::default(),
            ledger: Ledger::default(),
            counters: Counters::default(),
            next_wake: None,
            stopping: false,
        }
    }

    /// Whether no ask is open and nothing remains to be written, so that the
    /// process can exit without leaving a claim open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.buckets.values().all(|bucket| bucket.runs.is_empty())
    }

    /// Returns the counters of this engine.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Handles one event and returns the actions to carry out, in order.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the claim path is violated or a token is reused.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.answer_overdue(now);
        match event {
            Event::Ask { token, request, digest, issued, deadline } => {
                self.handle_ask(now, Ask { token, request, digest, issued, deadline });
            }
            Event::CallEnded { call, result } => self.handle_call_ended(now, call, result),
            Event::RunEnded { token, dispatched, outcome } => {
                self.handle_run_ended(now, token, dispatched, outcome);
            }
            Event::Wake => self.next_wake = None,
            Event::Stop => self.handle_stop(now),
        }
        self.schedule(now);
        self.set_wake(now);
        self.ledger.take_actions()
    }

    /// Answers an ask immediately, or adds it to the run of its request id.
    fn handle_ask(&mut self, now: Now, ask: Ask) {
        self.counters.asks += 1;
        self.ledger.register(ask.token, ask.request.clone(), ask.deadline);
        let refused = if self.stopping {
            Some(refuse::stopping())
        } else if ask.issued > now.wall + self.settings.skew {
            Some(refuse::issued_in_future())
        } else if !self.settings.is_remembered(ask.issued, now.wall) {
            Some(refuse::expired())
        } else if ask.deadline <= now.time {
            Some(refuse::store_unavailable(Duration::ZERO))
        } else {
            None
        };
        if let Some(outcome) = refused {
            return self.ledger.answer(ask.token, outcome);
        }
        let number = self.settings.bucket(&ask.request);
        let bucket = self.buckets.entry(number).or_insert_with(|| Bucket::open(number));
        let waiter = waiter(now, &ask, bucket);
        match bucket.runs.get_mut(&ask.request) {
            Some(run) if run.digest != ask.digest || run.issued != ask.issued => {
                return self.ledger.answer(ask.token, refuse::id_reused());
            }
            Some(Run { stage: Stage::Recording(outcome), .. }) => {
                return self.ledger.answer(ask.token, outcome.clone());
            }
            Some(run) => {
                if matches!(run.stage, Stage::Releasing) {
                    run.write_due = run.write_due.min(now.time);
                }
                run.waiters.push(waiter);
            }
            None => {
                let attempt = self.next_attempt();
                let run = self.new_run(now, &ask, attempt, waiter);
                let bucket = self.buckets.get_mut(&number).expect("the bucket was just opened");
                bucket.runs.insert(ask.request, run);
            }
        }
        self.advance_bucket(now, number);
    }

    /// Refuses asks from now on and records outcomes without delay.
    fn handle_stop(&mut self, now: Now) {
        self.stopping = true;
        self.settings.record_delay = Duration::ZERO;
        let numbers: Vec<u32> = self.buckets.keys().copied().collect();
        for number in numbers {
            let bucket = self.buckets.get_mut(&number).expect("the bucket was just listed");
            for run in bucket.runs.values_mut() {
                run.write_due = run.write_due.min(now.time);
            }
            self.advance_bucket(now, number);
        }
    }

    fn new_run(&self, now: Now, ask: &Ask, attempt: id::Attempt, waiter: Waiter) -> Run {
        Run {
            request: ask.request.clone(),
            digest: ask.digest,
            issued: ask.issued,
            attempt,
            swap_started: false,
            stage: Stage::Claiming,
            started: now.time,
            write_due: now.time + self.settings.claim_delay,
            waiters: vec![waiter],
        }
    }

    /// Returns an attempt id that no engine has used before.
    pub(crate) fn next_attempt(&mut self) -> id::Attempt {
        self.last_attempt += 1;
        id::Attempt { origin: self.origin.clone(), counter: self.last_attempt }
    }

    /// Handles the end of a dispatched run.
    fn handle_run_ended(&mut self, now: Now, token: id::Token, dispatched: bool, outcome: Outcome) {
        let Some(request) = self.ledger.end_run(token) else {
            self.counters.unexpected_results += 1;
            return;
        };
        let number = self.settings.bucket(&request);
        let bucket = self.buckets.get_mut(&number).expect("buckets are never removed");
        let run = bucket.runs.get_mut(&request).expect("a dispatched run stays until it ends");
        assert!(
            matches!(run.stage, Stage::Running(running) if running == token),
            "an attempt is dispatched once, for one ask"
        );
        let waiters = std::mem::take(&mut run.waiters);
        let answer = if is_not_run(dispatched, &outcome) {
            // Never due in this call, so that the release is written after the answer
            // was sent.
            run.release(now.time + self.settings.claim_delay.max(Duration::from_micros(1)));
            self.counters.not_run += 1;
            if self.settings.is_remembered(run.issued, now.wall) {
                refuse::not_run(&outcome, self.settings.skew)
            } else {
                refuse::expired()
            }
        } else {
            run.stage = Stage::Recording(outcome.clone());
            run.write_due =
                now.time + self.settings.record_delay.max(self.swap_pacer.gap() * MIN_RECORD_GAPS);
            outcome
        };
        for waiter in waiters {
            self.ledger.answer(waiter.token, answer.clone());
        }
        self.advance_bucket(now, number);
    }

    /// Answers every ask whose deadline was reached.
    fn answer_overdue(&mut self, now: Now) {
        while let Some((token, request)) = self.ledger.first_overdue(now.time) {
            let number = self.settings.bucket(&request);
            let bucket = self.buckets.get_mut(&number).expect("an open ask has a bucket");
            let run = bucket.runs.get_mut(&request).expect("an open ask has a run");
            run.waiters.retain(|waiter| waiter.token != token);
            let outcome = match run.stage {
                Stage::Running(_) => refuse::no_reply(),
                Stage::Claiming | Stage::Recording(_) | Stage::Releasing => {
                    refuse::store_unavailable(Duration::ZERO)
                }
            };
            self.ledger.answer(token, outcome);
            self.advance_bucket(now, number);
        }
    }
}

/// Creates the waiter of an ask. It notes the attempt of the same id that is known
/// to have ended without a run.
fn waiter(now: Now, ask: &Ask, bucket: &Bucket) -> Waiter {
    let releasing =
        bucket.runs.get(&ask.request).filter(|run| matches!(run.stage, Stage::Releasing));
    let ended_attempt = match (releasing, &bucket.view) {
        (Some(run), _) => Some(run.attempt.clone()),
        (None, Some(view)) => view
            .get(&ask.request)
            .filter(|entry| matches!(entry.state, State::NotRun { .. }))
            .map(|entry| entry.attempt.clone()),
        (None, None) => None,
    };
    Waiter {
        token: ask.token,
        arrived: now.wall,
        deadline: ask.deadline,
        deadline_wall: now.wall + ask.deadline.since(now.time),
        ended_attempt,
    }
}

/// Whether it is certain that no leaf ran the request: nothing was sent, or the
/// only leaf that received it refused it.
fn is_not_run(dispatched: bool, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered(_) => false,
        Outcome::Refused(refusal) => !dispatched || refusal.ran == Ran::NotRun,
    }
}

/// Returns the action that records a timeline event of a request.
pub(crate) fn timeline_event(request: &id::Request, kind: event::Kind) -> Action {
    Action::Record(event::Event { request: Some(request.clone()), kind })
}
