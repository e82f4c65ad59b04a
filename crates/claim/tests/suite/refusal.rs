//! Refusals of asks, and what they say about whether the request ran.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_claim::{Action, Completion, Engine, Event, Now, Settings};
use jacinthfall_core::id::{Incarnation, Token};
use jacinthfall_core::query::{Answer, Outcome, Row};
use jacinthfall_core::refusal::{Cause, Ran, Refusal};
use jacinthfall_core::time::{Time, Wall};

use crate::support::store::{Op, Store};
use crate::support::{SKEW, START, WINDOW, outcome, settings};

/// One engine, its store, and a leaf that runs every request that it receives.
struct Harness {
    engine: Engine,
    store: Store,
    is_store_down: bool,
    reply: Outcome,
    time: Time,
    last_answered: Time,
    deadline: Duration,
    ask_count: u64,
    answers: BTreeMap<Token, Outcome>,
    runs: usize,
}

impl Harness {
    fn open(settings: Settings) -> Harness {
        let origin = Incarnation { node: "mosnov-1".into(), started: 1 };
        Harness {
            engine: Engine::open(origin, settings),
            store: Store::default(),
            is_store_down: false,
            reply: outcome("x"),
            time: Time(0),
            last_answered: Time(0),
            deadline: Duration::from_millis(500),
            ask_count: 0,
            answers: BTreeMap::new(),
            runs: 0,
        }
    }

    fn now(&self) -> Now {
        Now { time: self.time, wall: START + self.time.since(Time(0)) }
    }

    /// Submits an ask and processes events until nothing remains to be done, which
    /// includes the answer and its recording.
    fn ask(&mut self, request: &str, digest: u64, issued: Wall) -> Outcome {
        self.ask_count += 1;
        let token = Token(self.ask_count);
        let deadline = self.time + self.deadline;
        self.process(Event::Ask { token, request: request.into(), digest, issued, deadline });
        self.answers.remove(&token).expect("an ask is answered")
    }

    fn refused(&mut self, request: &str, digest: u64, issued: Wall) -> Refusal {
        match self.ask(request, digest, issued) {
            Outcome::Refused(refusal) => refusal,
            Outcome::Answered(_) => panic!("{request} was answered"),
        }
    }

    fn process(&mut self, event: Event) {
        let mut events = vec![event];
        let mut wake = None;
        loop {
            let event = match (events.pop(), wake.take()) {
                (Some(event), later) => {
                    wake = later;
                    event
                }
                (None, Some(time)) => {
                    self.time = time;
                    Event::Wake
                }
                (None, None) => return,
            };
            for action in self.engine.handle(self.now(), event) {
                match action {
                    Action::Wake(time) => wake = Some(time),
                    action => events.extend(self.carry_out(action)),
                }
            }
        }
    }

    fn carry_out(&mut self, action: Action) -> Option<Event> {
        let (call, op) = match action {
            Action::Read { call, key } => (call, Op::Read { key }),
            Action::Swap { call, key, expect, value } => (call, Op::Swap { key, expect, value }),
            Action::Dispatch { token, .. } => {
                self.runs += 1;
                let outcome = self.reply.clone();
                return Some(Event::RunEnded { token, dispatched: true, outcome });
            }
            Action::Answer { token, outcome } => {
                self.last_answered = self.time;
                self.answers.insert(token, outcome);
                return None;
            }
            Action::Record(_) | Action::Wake(_) => return None,
        };
        let result = if self.is_store_down { Completion::Refused } else { self.store.call(op) };
        Some(Event::CallEnded { call, result })
    }
}

/// A caller that reuses an id for another request must not get the outcome of the
/// first one.
#[test]
fn a_known_id_with_another_query_or_issue_time_is_refused() {
    let mut harness = Harness::open(settings());
    harness.ask("x", 1, START);

    let other_query = harness.refused("x", 2, START);
    let other_time = harness.refused("x", 1, START + Duration::from_millis(1));

    assert_eq!((other_query.cause, other_query.ran), (Cause::IdReused, Ran::Unknown));
    assert_eq!((other_time.cause, other_time.ran), (Cause::IdReused, Ran::Unknown));
    assert_eq!(harness.runs, 1);
}

#[test]
fn an_issue_time_before_the_window_or_beyond_the_skew_is_refused() {
    let mut harness = Harness::open(settings());

    let future = harness.refused("x", 1, START + SKEW + Duration::from_millis(1));
    let past = harness.refused("y", 1, START - WINDOW);
    let skewed = harness.ask("z", 1, START + SKEW);

    assert_eq!((future.cause, future.ran), (Cause::BadRequest, Ran::Unknown));
    assert_eq!((past.cause, past.ran), (Cause::Expired, Ran::Unknown));
    assert_eq!(past.retry_after, None);
    assert_eq!(skewed, outcome("x"));
    assert_eq!(harness.runs, 1);
}

/// Asks must not wait for their deadline while the store refuses all calls.
#[test]
fn without_the_store_nothing_is_dispatched_and_asks_are_refused_early() {
    let mut harness = Harness::open(settings());
    harness.is_store_down = true;

    let refusals: Vec<_> = (0..20).map(|_| harness.refused("x", 1, START)).collect();

    assert!(refusals.iter().all(|refusal| refusal.cause == Cause::StoreUnavailable));
    assert!(refusals.iter().all(|refusal| refusal.ran == Ran::Unknown));
    assert!(refusals.iter().all(|refusal| refusal.retry_after.is_some()));
    assert!(harness.time < Time::from_millis(500 * 20), "asks do not wait until their deadline");
    assert_eq!(harness.runs, 0);
}

/// During an outage, an ask with a late deadline is refused soon, so that its caller
/// can retry.
#[test]
fn an_ask_with_a_late_deadline_is_refused_soon_in_an_outage() {
    let mut harness = Harness::open(settings());
    harness.deadline = Duration::from_secs(20);
    harness.is_store_down = true;

    let refusal = harness.refused("x", 1, START);

    assert_eq!((refusal.cause, refusal.ran), (Cause::StoreUnavailable, Ran::Unknown));
    assert!(refusal.retry_after.is_some());
    assert!(
        harness.last_answered < Time::from_millis(1_000),
        "answered only at {:?}",
        harness.last_answered
    );

    harness.is_store_down = false;
    assert_eq!(harness.ask("x", 1, START), outcome("x"));
    assert_eq!(harness.runs, 1);
}

#[test]
fn a_stopping_engine_finishes_open_asks_and_refuses_new_ones() {
    let mut harness = Harness::open(settings());
    let ask = |token: u64| Event::Ask {
        token: Token(token),
        request: "x".into(),
        digest: 1,
        issued: START,
        deadline: Time::from_millis(500),
    };
    let open = harness.engine.handle(harness.now(), ask(100));
    harness.engine.handle(harness.now(), Event::Stop);
    harness.process(ask(101));
    let read = open.into_iter().find_map(|action| harness.carry_out(action));
    harness.process(read.expect("the bucket is read"));

    let refused = harness.answers.get(&Token(101));

    assert!(matches!(refused, Some(Outcome::Refused(refusal))
        if refusal.cause == Cause::NotReady && refusal.ran == Ran::Unknown));
    assert_eq!(harness.answers.get(&Token(100)), Some(&outcome("x")));
    assert!(harness.engine.is_idle());
}

/// Open claims reserve bytes for their outcomes, so a full bucket can still record
/// what ran.
#[test]
fn a_full_bucket_still_records_outcomes_but_refuses_claims() {
    let mut harness = Harness::open(Settings { max_value_bytes: 4_000, ..settings() });

    let answers: Vec<_> = (0..40).map(|n| harness.ask(&format!("x{n}"), 1, START)).collect();

    let full =
        answers.iter().position(|answer| *answer != outcome("x")).expect("the bucket fills up");
    let Outcome::Refused(refusal) = &answers[full] else { panic!("the ask is refused") };
    assert_eq!((refusal.cause, refusal.ran), (Cause::Overloaded, Ran::Unknown));
    assert_eq!(harness.runs, full, "refused asks do not run");
    assert_eq!(harness.ask("x0", 1, START), outcome("x"), "the outcome of a run stays recorded");
}

#[test]
fn a_large_answer_is_recorded_without_its_rows() {
    let mut harness = Harness::open(settings());
    let Outcome::Answered(answer) = outcome("x") else { unreachable!() };
    let row = Row { key: "x".into(), value: "v".repeat(10_000).into() };
    harness.reply = Outcome::Answered(Answer { rows: vec![row], ..answer });

    let first = harness.ask("x", 1, START);
    let retry = harness.refused("x", 1, START);

    assert_eq!(first, harness.reply);
    assert_eq!((retry.cause, retry.ran), (Cause::TooLarge, Ran::Ran));
    assert_eq!(harness.runs, 1);
}

#[test]
fn asks_for_the_same_id_at_one_node_share_a_run() {
    let mut harness = Harness::open(settings());
    let ask = |token: u64| Event::Ask {
        token: Token(token),
        request: "x".into(),
        digest: 1,
        issued: START,
        deadline: Time::from_millis(500),
    };
    let open = harness.engine.handle(harness.now(), ask(100));
    harness.engine.handle(harness.now(), ask(101));
    let read = open.into_iter().find_map(|action| harness.carry_out(action));

    harness.process(read.expect("the bucket is read"));

    assert_eq!(harness.answers.len(), 2);
    assert!(harness.answers.values().all(|answer| *answer == outcome("x")));
    assert_eq!(harness.runs, 1);
}

/// A store that went back to an older revision may have lost claims, so absent
/// entries in it don't allow a dispatch.
#[test]
fn nothing_is_dispatched_after_the_store_lost_its_content() {
    let mut harness = Harness::open(settings());
    harness.ask("x", 1, START);
    harness.store = Store::default();

    let lost = harness.refused("y", 1, START);

    assert_eq!((lost.cause, lost.ran), (Cause::StoreUnavailable, Ran::Unknown));
    assert_eq!(harness.runs, 1);
}
