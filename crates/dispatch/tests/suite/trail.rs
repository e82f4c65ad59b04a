use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Change, Ending};
use jacinthfall_dispatch::flight::{Ended, Event, Obstacle, Outcome, Reason};

use crate::support::{Bench, fleet, gather, reply, sends, shards, single};

fn services() -> Vec<id::Name> {
    vec!["a".into()]
}

fn success() -> Outcome {
    Outcome::Success(reply(StatusCode::OK, "r", b""))
}

#[test]
fn a_late_part_that_is_sent_again_is_told_with_its_reason_and_the_load_it_rests_on() {
    let mut bench = Bench::open(Arc::new(single("a", true)), &services(), 3);
    let sent = sends(&bench.decide(|flight, world| flight.start(Time(0), world)));
    let late = bench.flight.next_wake();
    let again = sends(&bench.decide(|flight, world| flight.wake(late, world)));
    let (part, second) = again[0];

    bench.decide(|f, world| {
        f.ended(late + Duration::from_millis(5), part, second, success(), world)
    });

    let events: Vec<Event> = bench.flight.trail().into_iter().map(|step| step.event).collect();
    let [Event::Sent { leaf: first, reason: Reason::First, outlook }, rest @ ..] = &events[..]
    else {
        panic!("{events:?}")
    };
    assert_eq!(*first, sent[0].1);
    assert!(outlook.expected > Duration::ZERO);
    assert!(matches!(rest[0], Event::Sent { leaf, reason: Reason::Late, .. } if leaf == second));
    assert_eq!(rest[1], Event::Ended { leaf: second, ended: Ended::Success });
}

#[test]
fn what_stood_against_a_further_send_is_told() {
    let cases = [
        (single("a", false), 1_000.0, 3, Obstacle::MayHaveRun),
        (single("a", true), 0.0, 3, Obstacle::Budget),
        (single("a", true), 1_000.0, 1, Obstacle::NoLeaf),
    ];
    for (route, floor, leafs, obstacle) in cases {
        let mut bench = Bench::with_floor(Arc::new(route), &services(), leafs, floor);
        bench.decide(|flight, world| flight.start(Time(0), world));
        let late = bench.flight.next_wake();

        bench.decide(|flight, world| flight.wake(late, world));

        let steps = bench.flight.trail();
        assert_eq!(steps.last().map(|step| step.event), Some(Event::Held(obstacle)));
    }
}

#[test]
fn only_parts_that_decided_the_answer_are_told() {
    let names = shards(10);
    let mut bench = Bench::open(gather(names.clone(), 1.0), &names, 3);
    let sent = sends(&bench.decide(|flight, world| flight.start(Time(0), world)));

    for (number, (part, leaf)) in sent.iter().enumerate() {
        let at = Time::from_millis(number as u64 + 1);
        bench.decide(|f, world| f.ended(at, *part, *leaf, success(), world));
    }

    let steps = bench.flight.trail();
    assert!(steps.iter().all(|step| step.service == names[9]), "{steps:?}");
    assert_eq!(bench.flight.tally().done, 10);
    assert_eq!(bench.flight.missing().count(), 0);
}

#[test]
fn endings_that_change_a_leafs_state_say_so() {
    let mut fleet = fleet(&services(), 1);
    let key = fleet.leafs("a")[0];
    let success =
        Ending::Success { took: Duration::from_millis(20), usual: Duration::from_millis(20) };
    let endings = [Ending::Unreachable, Ending::Unreachable, success, Ending::Crowded];

    let changes = endings.map(|ending| {
        fleet.sent(Time(0), key, Duration::from_millis(20));
        fleet.ended(Time(1), key, Time(0), ending)
    });

    assert!(matches!(changes[0], Some(Change::Paused(_))), "{changes:?}");
    assert_eq!(changes[1], None, "it is passed over already");
    assert_eq!(changes[2], Some(Change::Back));
    assert_eq!(changes[3], Some(Change::Limited(0)));
}
