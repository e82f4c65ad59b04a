//! Events of the claim path.

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
use crate::pace::Pace;
use crate::run::{Run, Stage, Waiter};
use crate::{Action, Event, Now, Settings, refuse};

/// Turns at the store that an outcome waits for others to be written with.
const RECORD_GAPS: u32 = 32;

/// Claim path of one node.
#[derive(Debug)]
pub struct Engine {
    pub(crate) origin: id::Incarnation,
    pub(crate) settings: Settings,
    pub(crate) rng: ChaCha8Rng,
    /// Every bucket that was used.
    pub(crate) buckets: BTreeMap<u32, Bucket>,
    /// Bucket of each call in flight.
    pub(crate) calls: BTreeMap<u64, u32>,
    pub(crate) last_call: u64,
    pub(crate) last_attempt: u64,
    pub(crate) reads: Pace,
    pub(crate) swaps: Pace,
    pub(crate) ledger: Ledger,
    pub(crate) counters: Counters,
    pub(crate) armed: Option<Time>,
    pub(crate) stopping: bool,
}

/// An ask as it came in.
struct Ask {
    token: id::Token,
    request: id::Request,
    digest: u64,
    issued: Wall,
    deadline: Time,
}

impl Engine {
    /// Opens the engine. Its random delays are seeded by `origin`.
    ///
    /// ```
    /// use jacinthfall_claim::{Engine, Settings};
    /// use jacinthfall_core::id::Incarnation;
    /// let origin = Incarnation { node: "kbely-1".into(), started: 1 };
    /// assert!(Engine::open(origin, Settings::default()).is_idle());
    /// ```
    #[must_use]
    pub fn open(origin: id::Incarnation, settings: Settings) -> Engine {
        let seed = hash::of(origin.to_string().as_bytes());
        Engine {
            origin,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            buckets: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            last_attempt: 0,
            reads: Pace::default(),
            swaps: Pace::default(),
            ledger: Ledger::default(),
            counters: Counters::default(),
            armed: None,
            stopping: false,
        }
    }

    /// Whether no ask is open and nothing is left to be written, so that the
    /// process may end without leaving a claim open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.buckets.values().all(|bucket| bucket.runs.is_empty())
    }

    /// What the engine did so far.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Handles one event and returns what has to be done, in order.
    ///
    /// # Panics
    ///
    /// If an invariant of the claim path is broken or a token is used twice.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.expire(now);
        match event {
            Event::Ask { token, request, digest, issued, deadline } => {
                self.ask(now, Ask { token, request, digest, issued, deadline });
            }
            Event::CallEnded { call, result } => self.stored(now, call, result),
            Event::RunEnded { token, dispatched, outcome } => {
                self.ran(now, token, dispatched, outcome);
            }
            Event::Wake => self.armed = None,
            Event::Stop => self.stop(now),
        }
        self.schedule(now);
        self.arm(now);
        self.ledger.take()
    }

    /// Refuses an ask at once or adds it to the run of its id.
    fn ask(&mut self, now: Now, ask: Ask) {
        self.counters.asks += 1;
        self.ledger.open(ask.token, ask.request.clone(), ask.deadline);
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
                    run.due = run.due.min(now.time);
                }
                run.waiters.push(waiter);
            }
            None => {
                let attempt = self.next_attempt();
                let run = self.new_run(now, &ask, attempt, waiter);
                let bucket = self.buckets.get_mut(&number).expect("it was just opened");
                bucket.runs.insert(ask.request, run);
            }
        }
        self.settle(now, number);
    }

    /// Refuses new asks from now on and records outcomes without delay.
    fn stop(&mut self, now: Now) {
        self.stopping = true;
        self.settings.record = Duration::ZERO;
        let numbers: Vec<u32> = self.buckets.keys().copied().collect();
        for number in numbers {
            let bucket = self.buckets.get_mut(&number).expect("it was just listed");
            for run in bucket.runs.values_mut() {
                run.due = run.due.min(now.time);
            }
            self.settle(now, number);
        }
    }

    fn new_run(&self, now: Now, ask: &Ask, attempt: id::Attempt, waiter: Waiter) -> Run {
        Run {
            request: ask.request.clone(),
            digest: ask.digest,
            issued: ask.issued,
            attempt,
            written: false,
            stage: Stage::Claiming,
            since: now.time,
            due: now.time + self.settings.collect,
            waiters: vec![waiter],
        }
    }

    /// Names an attempt that no engine named before.
    pub(crate) fn next_attempt(&mut self) -> id::Attempt {
        self.last_attempt += 1;
        id::Attempt { origin: self.origin.clone(), counter: self.last_attempt }
    }

    /// Takes the result of a dispatched run.
    fn ran(&mut self, now: Now, token: id::Token, dispatched: bool, outcome: Outcome) {
        let Some(request) = self.ledger.ran(token) else {
            self.counters.strays += 1;
            return;
        };
        let number = self.settings.bucket(&request);
        let bucket = self.buckets.get_mut(&number).expect("a bucket stays once it was used");
        let run = bucket.runs.get_mut(&request).expect("a dispatched run stays until it ended");
        assert!(
            matches!(run.stage, Stage::Running(running) if running == token),
            "one attempt is dispatched once, for one ask"
        );
        let waiters = std::mem::take(&mut run.waiters);
        let told = if is_not_run(dispatched, &outcome) {
            // Not in this call: the release comes after the answer went out.
            run.release(now.time + self.settings.collect.max(Duration::from_micros(1)));
            self.counters.not_run += 1;
            if self.settings.is_remembered(run.issued, now.wall) {
                refuse::not_run(&outcome, self.settings.skew)
            } else {
                refuse::expired()
            }
        } else {
            run.stage = Stage::Recording(outcome.clone());
            run.due = now.time + self.settings.record.max(self.swaps.gap() * RECORD_GAPS);
            outcome
        };
        for waiter in waiters {
            self.ledger.answer(waiter.token, told.clone());
        }
        self.settle(now, number);
    }

    /// Answers every ask whose deadline has come.
    fn expire(&mut self, now: Now) {
        while let Some((token, request)) = self.ledger.due(now.time) {
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
            self.settle(now, number);
        }
    }
}

fn waiter(now: Now, ask: &Ask, bucket: &Bucket) -> Waiter {
    let releasing =
        bucket.runs.get(&ask.request).filter(|run| matches!(run.stage, Stage::Releasing));
    let ended_before = match (releasing, &bucket.view) {
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
        ended_before,
    }
}

/// Whether it is certain that no leaf ran it: nothing was handed to a leaf, or
/// the one leaf that got it refused.
fn is_not_run(dispatched: bool, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered(_) => false,
        Outcome::Refused(refusal) => !dispatched || refusal.ran == Ran::NotRun,
    }
}

/// An event of the time line about a request.
pub(crate) fn record(request: &id::Request, kind: event::Kind) -> Action {
    Action::Record(event::Event { request: Some(request.clone()), kind })
}
