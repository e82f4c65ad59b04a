use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Change, Ending};
use jacinthfall_dispatch::flight::{Completion, Event, Obstacle, Outcome, Reason};

use crate::support::{Bench, fleet, gather, reply, sends, shards, single};

fn services() -> Vec<id::Name> {
    vec!["a".into()]
}

fn success() -> Outcome {
    Outcome::Success(reply(StatusCode::OK, "r", b""))
}

#[test]
fn the_trail_of_a_hedged_part_holds_reasons_and_assessments() {
    let mut bench = Bench::open(Arc::new(single("a", true)), &services(), 3);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    let late = bench.flight.next_wake();
    let resent = sends(&bench.decide(|flight, context| flight.wake(late, context)));
    let (part, second) = resent[0];

    bench.decide(|f, context| {
        f.send_ended(late + Duration::from_millis(5), part, second, success(), context)
    });

    let events: Vec<Event> = bench.flight.trail().into_iter().map(|step| step.event).collect();
    let [Event::Sent { leaf: first, reason: Reason::First, assessment }, rest @ ..] = &events[..]
    else {
        panic!("{events:?}")
    };
    assert_eq!(*first, sent[0].1);
    assert!(assessment.expected > Duration::ZERO);
    assert!(matches!(rest[0], Event::Sent { leaf, reason: Reason::Late, .. } if leaf == second));
    assert_eq!(rest[1], Event::Ended { leaf: second, completion: Completion::Success });
}

#[test]
fn the_trail_holds_the_obstacle_to_hedging_a_late_part() {
    let cases = [
        (single("a", false), 1_000.0, 3, Obstacle::MayHaveRun),
        (single("a", true), 0.0, 3, Obstacle::Budget),
        (single("a", true), 1_000.0, 1, Obstacle::NoLeaf),
    ];
    for (route, floor, leafs, obstacle) in cases {
        let mut bench = Bench::with_floor(Arc::new(route), &services(), leafs, floor);
        bench.decide(|flight, context| flight.start(Time(0), context));
        let late = bench.flight.next_wake();

        bench.decide(|flight, context| flight.wake(late, context));

        let steps = bench.flight.trail();
        assert_eq!(steps.last().map(|step| step.event), Some(Event::NotResent(obstacle)));
    }
}

#[test]
fn the_trail_holds_only_parts_that_determined_the_answer() {
    let names = shards(10);
    let mut bench = Bench::open(gather(names.clone(), 1.0), &names, 3);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));

    for (number, (part, leaf)) in sent.iter().enumerate() {
        let at = Time::from_millis(number as u64 + 1);
        bench.decide(|f, context| f.send_ended(at, *part, *leaf, success(), context));
    }

    let steps = bench.flight.trail();
    assert!(steps.iter().all(|step| step.service == names[9]), "{steps:?}");
    assert_eq!(bench.flight.tally().answered, 10);
    assert_eq!(bench.flight.unanswered_parts().count(), 0);
}

#[test]
fn an_ending_that_changes_the_use_of_a_leaf_returns_the_change() {
    let mut fleet = fleet(&services(), 1);
    let key = fleet.leafs("a")[0];
    let success =
        Ending::Success { took: Duration::from_millis(20), usual: Duration::from_millis(20) };
    let endings = [Ending::Unreachable, Ending::Unreachable, success, Ending::Crowded];

    let changes = endings.map(|ending| {
        fleet.record_send(Time(0), key, Duration::from_millis(20));
        fleet.record_end(Time(1), key, Time(0), ending)
    });

    assert!(matches!(changes[0], Some(Change::Paused(_))), "{changes:?}");
    assert_eq!(changes[1], None, "it is already paused");
    assert_eq!(changes[2], Some(Change::Recovered));
    assert_eq!(changes[3], Some(Change::Limited(0)));
}
