//! What is refused, and what is told of the run then.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_claim::{Action, Completion, Engine, Event, Now, Settings};
use jacinthfall_core::id::{Incarnation, Token};
use jacinthfall_core::query::{Answer, Outcome, Row};
use jacinthfall_core::refusal::{Cause, Ran, Refusal};
use jacinthfall_core::time::{Time, Wall};

use crate::support::store::{Op, Store};
use crate::support::{SKEW, START, WINDOW, outcome, settings};

/// One engine, its store and a leaf that runs whatever it is given.
struct Site {
    engine: Engine,
    store: Store,
    is_out: bool,
    reply: Outcome,
    time: Time,
    answered: Time,
    deadline: Duration,
    asked: u64,
    told: BTreeMap<Token, Outcome>,
    runs: usize,
}

impl Site {
    fn open(settings: Settings) -> Site {
        let origin = Incarnation { node: "mosnov-1".into(), started: 1 };
        Site {
            engine: Engine::open(origin, settings),
            store: Store::default(),
            is_out: false,
            reply: outcome("x"),
            time: Time(0),
            answered: Time(0),
            deadline: Duration::from_millis(500),
            asked: 0,
            told: BTreeMap::new(),
            runs: 0,
        }
    }

    fn now(&self) -> Now {
        Now { time: self.time, wall: START + self.time.since(Time(0)) }
    }

    /// Asks and plays on until the ask is answered and all is recorded.
    fn ask(&mut self, request: &str, digest: u64, issued: Wall) -> Outcome {
        self.asked += 1;
        let token = Token(self.asked);
        let deadline = self.time + self.deadline;
        self.play(Event::Ask { token, request: request.into(), digest, issued, deadline });
        self.told.remove(&token).expect("an ask is answered")
    }

    fn refused(&mut self, request: &str, digest: u64, issued: Wall) -> Refusal {
        match self.ask(request, digest, issued) {
            Outcome::Refused(refusal) => refusal,
            Outcome::Answered(_) => panic!("{request} was answered"),
        }
    }

    fn play(&mut self, event: Event) {
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
                self.answered = self.time;
                self.told.insert(token, outcome);
                return None;
            }
            Action::Record(_) | Action::Wake(_) => return None,
        };
        let result = if self.is_out { Completion::Refused } else { self.store.call(op) };
        Some(Event::CallEnded { call, result })
    }
}

#[test]
fn an_id_stands_for_one_query_and_one_issue_time() {
    let mut site = Site::open(settings());
    site.ask("x", 1, START);

    let other_query = site.refused("x", 2, START);
    let other_time = site.refused("x", 1, START + Duration::from_millis(1));

    assert_eq!((other_query.cause, other_query.ran), (Cause::IdReused, Ran::Unknown));
    assert_eq!((other_time.cause, other_time.ran), (Cause::IdReused, Ran::Unknown));
    assert_eq!(site.runs, 1);
}

#[test]
fn an_issue_time_must_lie_within_the_window_and_the_skew() {
    let mut site = Site::open(settings());

    let future = site.refused("x", 1, START + SKEW + Duration::from_millis(1));
    let past = site.refused("y", 1, START - WINDOW);
    let skewed = site.ask("z", 1, START + SKEW);

    assert_eq!((future.cause, future.ran), (Cause::BadRequest, Ran::Unknown));
    assert_eq!((past.cause, past.ran), (Cause::Expired, Ran::Unknown));
    assert_eq!(past.retry_after, None);
    assert_eq!(skewed, outcome("x"));
    assert_eq!(site.runs, 1);
}

#[test]
fn without_the_store_nothing_is_dispatched_and_the_answer_comes_early() {
    let mut site = Site::open(settings());
    site.is_out = true;

    let refusals: Vec<_> = (0..20).map(|_| site.refused("x", 1, START)).collect();

    assert!(refusals.iter().all(|refusal| refusal.cause == Cause::StoreUnavailable));
    assert!(refusals.iter().all(|refusal| refusal.ran == Ran::Unknown));
    assert!(refusals.iter().all(|refusal| refusal.retry_after.is_some()));
    assert!(site.time < Time::from_millis(500 * 20), "no ask is held back to its deadline");
    assert_eq!(site.runs, 0);
}

#[test]
fn an_outage_does_not_hold_an_ask_back_until_a_late_deadline() {
    let mut site = Site::open(settings());
    site.deadline = Duration::from_secs(20);
    site.is_out = true;

    let refusal = site.refused("x", 1, START);

    assert_eq!((refusal.cause, refusal.ran), (Cause::StoreUnavailable, Ran::Unknown));
    assert!(refusal.retry_after.is_some());
    assert!(site.answered < Time::from_millis(1_000), "answered only at {:?}", site.answered);

    site.is_out = false;
    assert_eq!(site.ask("x", 1, START), outcome("x"));
    assert_eq!(site.runs, 1);
}

#[test]
fn a_stopping_engine_ends_what_is_open_and_refuses_new_asks() {
    let mut site = Site::open(settings());
    let ask = |token: u64| Event::Ask {
        token: Token(token),
        request: "x".into(),
        digest: 1,
        issued: START,
        deadline: Time::from_millis(500),
    };
    let open = site.engine.handle(site.now(), ask(100));
    site.engine.handle(site.now(), Event::Stop);
    site.play(ask(101));
    let read = open.into_iter().find_map(|action| site.carry_out(action));
    site.play(read.expect("the bucket is read"));

    let refused = site.told.get(&Token(101));

    assert!(matches!(refused, Some(Outcome::Refused(refusal))
        if refusal.cause == Cause::NotReady && refusal.ran == Ran::Unknown));
    assert_eq!(site.told.get(&Token(100)), Some(&outcome("x")));
    assert!(site.engine.is_idle());
}

#[test]
fn a_full_bucket_takes_outcomes_but_no_more_claims() {
    let mut site = Site::open(Settings { max_value_bytes: 4_000, ..settings() });

    let told: Vec<_> = (0..40).map(|n| site.ask(&format!("x{n}"), 1, START)).collect();

    let full = told.iter().position(|told| *told != outcome("x")).expect("it fills");
    let Outcome::Refused(refusal) = &told[full] else { panic!("it is refused") };
    assert_eq!((refusal.cause, refusal.ran), (Cause::Overloaded, Ran::Unknown));
    assert_eq!(site.runs, full, "what is refused does not run");
    assert_eq!(site.ask("x0", 1, START), outcome("x"), "what ran stays recorded");
}

#[test]
fn a_large_answer_is_recorded_without_its_rows() {
    let mut site = Site::open(settings());
    let Outcome::Answered(answer) = outcome("x") else { unreachable!() };
    let row = Row { key: "x".into(), value: "v".repeat(10_000).into() };
    site.reply = Outcome::Answered(Answer { rows: vec![row], ..answer });

    let first = site.ask("x", 1, START);
    let retry = site.refused("x", 1, START);

    assert_eq!(first, site.reply);
    assert_eq!((retry.cause, retry.ran), (Cause::TooLarge, Ran::Ran));
    assert_eq!(site.runs, 1);
}

#[test]
fn asks_for_the_same_id_at_one_node_share_a_run() {
    let mut site = Site::open(settings());
    let ask = |token: u64| Event::Ask {
        token: Token(token),
        request: "x".into(),
        digest: 1,
        issued: START,
        deadline: Time::from_millis(500),
    };
    let open = site.engine.handle(site.now(), ask(100));
    site.engine.handle(site.now(), ask(101));
    let read = open.into_iter().find_map(|action| site.carry_out(action));

    site.play(read.expect("the bucket is read"));

    assert_eq!(site.told.len(), 2);
    assert!(site.told.values().all(|told| *told == outcome("x")));
    assert_eq!(site.runs, 1);
}

#[test]
fn a_store_that_lost_its_content_is_not_believed() {
    let mut site = Site::open(settings());
    site.ask("x", 1, START);
    site.store = Store::default();

    let lost = site.refused("y", 1, START);

    assert_eq!((lost.cause, lost.ran), (Cause::StoreUnavailable, Ran::Unknown));
    assert_eq!(site.runs, 1);
}
