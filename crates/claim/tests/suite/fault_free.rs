//! A run without faults, event by event.

use std::time::Duration;

use jacinthfall_claim::{Action, Completion, Engine, Event, Now, Settings};
use jacinthfall_core::coverage::Coverage;
use jacinthfall_core::id::{Incarnation, Token, Version};
use jacinthfall_core::query::{Answer, Outcome};
use jacinthfall_core::time::{Time, Wall};

const START: Wall = Wall(1_000_000_000);

fn now(millis: u64) -> Now {
    Now { time: Time::from_millis(millis), wall: START + Duration::from_millis(millis) }
}

fn engine(node: &str) -> Engine {
    Engine::open(Incarnation { node: node.into(), started: 1 }, Settings::default())
}

fn ask(token: u64) -> Event {
    ask_until(token, 500)
}

fn ask_until(token: u64, deadline: u64) -> Event {
    Event::Ask {
        token: Token(token),
        request: "invoice-7".into(),
        digest: 9,
        issued: START,
        deadline: Time::from_millis(deadline),
    }
}

fn answer() -> Outcome {
    let coverage = Coverage { total: 1, answered: 1, missed: Vec::new() };
    Outcome::Answered(Answer { version: Version(3), rows: Vec::new(), coverage })
}

fn call_id(actions: &[Action]) -> u64 {
    let call = actions.iter().find_map(|action| match action {
        Action::Read { call, .. } | Action::Swap { call, .. } => Some(*call),
        _ => None,
    });
    call.expect("a call to the store")
}

fn swapped_value(actions: &[Action]) -> Vec<u8> {
    let value = actions.iter().find_map(|action| match action {
        Action::Swap { value, .. } => Some(value.clone()),
        _ => None,
    });
    value.expect("a swap")
}

fn find_answer(actions: &[Action]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        Action::Answer { outcome, .. } => Some(outcome.clone()),
        _ => None,
    })
}

#[test]
fn a_run_is_claimed_then_dispatched_then_answered_then_recorded() {
    let mut engine = engine("kbely-1");

    let read = engine.handle(now(0), ask(1));
    let empty = Completion::Value { revision: 0, value: None };
    let swap = engine.handle(now(5), Event::CallEnded { call: call_id(&read), result: empty });
    let swapped = Completion::Swapped { revision: 1 };
    let dispatch =
        engine.handle(now(10), Event::CallEnded { call: call_id(&swap), result: swapped });
    let run_ended = Event::RunEnded { token: Token(1), dispatched: true, outcome: answer() };
    let after_run = engine.handle(now(30), run_ended);
    let read = engine.handle(now(2_000), Event::Wake);
    let claimed = Completion::Value { revision: 1, value: Some(swapped_value(&swap)) };
    let record =
        engine.handle(now(2_005), Event::CallEnded { call: call_id(&read), result: claimed });
    let swapped = Completion::Swapped { revision: 2 };
    engine.handle(now(2_010), Event::CallEnded { call: call_id(&record), result: swapped });

    let expires = START + Duration::from_millis(500);
    assert!(dispatch.iter().any(|action| matches!(
        action,
        Action::Dispatch { token: Token(1), expires: e } if *e == expires
    )));
    assert_eq!(find_answer(&after_run), Some(answer()));
    assert!(engine.is_idle());

    let mut other = self::engine("kbely-2");
    let read = other.handle(now(2_020), ask_until(2, 2_500));
    let value = Some(swapped_value(&record));
    let found = Completion::Value { revision: 2, value };
    let reply = other.handle(now(2_025), Event::CallEnded { call: call_id(&read), result: found });
    assert_eq!(find_answer(&reply), Some(answer()), "another node returns the recorded answer");
}

#[test]
fn nothing_is_dispatched_when_either_clock_is_past_the_deadline() {
    for late in [Now { wall: now(500).wall, ..now(10) }, Now { time: now(500).time, ..now(10) }] {
        let mut engine = engine("kbely-1");
        let read = engine.handle(now(0), ask(1));
        let empty = Completion::Value { revision: 0, value: None };
        let swap = engine.handle(now(5), Event::CallEnded { call: call_id(&read), result: empty });
        let swapped = Completion::Swapped { revision: 1 };

        let actions =
            engine.handle(late, Event::CallEnded { call: call_id(&swap), result: swapped });

        assert!(!actions.iter().any(|action| matches!(action, Action::Dispatch { .. })));
        assert!(find_answer(&actions).is_some());
    }
}
