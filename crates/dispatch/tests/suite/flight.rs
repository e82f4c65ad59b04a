use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::Ending;
use jacinthfall_dispatch::flight::{Answer, Flight, Outcome};

use crate::support::{Bench, answer, gather, reply, sends, shards, single, timing};

/// Usual response time of the leafs in these tests.
const USUAL: Duration = Duration::from_millis(20);

fn services() -> Vec<id::Name> {
    vec!["a".into()]
}

fn success(receipt: &str, body: &[u8]) -> Outcome {
    Outcome::Success(reply(StatusCode::OK, receipt, body))
}

fn failure(status: u16) -> Outcome {
    let status = StatusCode::from_u16(status).expect("a status");
    Outcome::Failure(reply(status, "f", b""))
}

#[test]
fn a_leafs_response_is_forwarded_unchanged() {
    let mut bench = Bench::open(Arc::new(single("a", false)), &services(), 3);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    let (part, leaf) = sent[0];

    let actions = bench
        .decide(|f, context| f.send_ended(Time(9), part, leaf, success("r", b"body"), context));

    let Some(Answer::Forward(reply)) = answer(actions) else { panic!("no response") };
    assert_eq!((&reply.body[..], reply.receipt.unwrap().as_bytes()), (&b"body"[..], &b"r"[..]));
}

#[test]
fn a_request_that_may_have_run_is_resent_only_if_it_is_idempotent() {
    for idempotent in [false, true] {
        let route = Arc::new(single("a", idempotent));
        let mut bench = Bench::open(route, &services(), 3);
        let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
        let (part, leaf) = sent[0];

        let actions =
            bench.decide(|f, context| f.send_ended(Time(9), part, leaf, Outcome::Unknown, context));

        assert_eq!(sends(&actions).len(), usize::from(idempotent));
        if !idempotent {
            assert!(matches!(answer(actions), Some(Answer::Failed(StatusCode::BAD_GATEWAY))));
        }
    }
}

#[test]
fn a_request_that_is_not_idempotent_is_never_hedged() {
    let mut bench = Bench::open(Arc::new(single("a", false)), &services(), 3);
    bench.decide(|flight, context| flight.start(Time(0), context));

    let actions = bench.decide(|flight, context| flight.wake(Time::from_millis(140), context));

    assert!(sends(&actions).is_empty());
}

#[test]
fn a_request_that_a_leaf_did_not_run_is_sent_to_another_leaf() {
    let mut bench = Bench::open(Arc::new(single("a", false)), &services(), 3);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    let (part, first) = sent[0];

    let actions =
        bench.decide(|f, context| f.send_ended(Time(9), part, first, Outcome::NotRun, context));

    let resent = sends(&actions);
    assert_eq!(resent.len(), 1);
    assert_ne!(resent[0].1, first);
}

#[test]
fn a_part_returns_to_a_leaf_that_rejected_it_rather_than_to_one_leaf_too_many() {
    let mut bench = Bench::open(Arc::new(single("a", false)), &services(), 4);
    let mut open = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    let mut leafs = Vec::new();

    for _ in 0..4 {
        let (part, leaf) = open[0];
        leafs.push(leaf);
        let outcome = Outcome::NotRun;
        let actions =
            bench.decide(|f, context| f.send_ended(Time(9), part, leaf, outcome, context));
        open = sends(&actions);
    }

    leafs.sort_unstable();
    leafs.dedup();
    assert_eq!(leafs.len(), 2, "the route allows two attempts");
}

#[test]
fn a_part_that_was_rejected_waits_for_a_leaf_that_is_busy() {
    let mut bench = Bench::open(Arc::new(single("a", false)), &services(), 2);
    let (part, first) = sends(&bench.decide(|flight, context| flight.start(Time(0), context)))[0];
    let other = *bench.fleet.leafs("a").iter().find(|leaf| **leaf != first).expect("a leaf");
    for leaf in [first, other] {
        bench.fleet.record_send(Time(0), leaf, USUAL);
        bench.fleet.record_end(Time(0), leaf, Time(0), Ending::Unreachable);
    }
    let rejected =
        bench.decide(|f, context| f.send_ended(Time(1_000), part, first, Outcome::NotRun, context));
    for leaf in [first, other] {
        bench.fleet.record_send(Time(2_000), leaf, USUAL);
        let answered = Ending::Success { took: USUAL, usual: USUAL };
        bench.fleet.record_end(Time(2_000), leaf, Time(2_000), answered);
    }

    let woken = bench.decide(|flight, context| flight.wake(Time::from_millis(8), context));

    assert!(rejected.is_empty(), "{rejected:?}");
    assert_eq!(sends(&woken).len(), 1);
}

#[test]
fn a_late_part_is_hedged_once_another_leaf_is_available() {
    let mut bench = Bench::open(Arc::new(single("a", true)), &services(), 2);
    let (_, first) = sends(&bench.decide(|flight, context| flight.start(Time(0), context)))[0];
    let other = *bench.fleet.leafs("a").iter().find(|leaf| **leaf != first).expect("a leaf");
    bench.fleet.record_send(Time(0), other, USUAL);
    bench.fleet.record_end(Time(0), other, Time(0), Ending::Unreachable);
    let late = bench.flight.next_wake();
    let hedged = bench.decide(|flight, context| flight.wake(late, context));
    bench.fleet.record_send(late, other, USUAL);
    let answered = Ending::Success { took: USUAL, usual: USUAL };
    bench.fleet.record_end(late, other, late, answered);
    let retry = bench.flight.next_wake();

    let retried = bench.decide(|flight, context| flight.wake(retry, context));

    assert!(sends(&hedged).is_empty());
    assert_eq!(sends(&retried), [(0, other)]);
}

#[test]
fn a_request_that_no_leaf_ran_is_refused() {
    let mut bench = Bench::open(Arc::new(single("a", false)), &services(), 2);
    let mut actions = bench.decide(|flight, context| flight.start(Time(0), context));

    while let Some((part, leaf)) = sends(&actions).first().copied() {
        actions =
            bench.decide(|f, context| f.send_ended(Time(9), part, leaf, Outcome::NotRun, context));
    }

    assert!(matches!(answer(actions), Some(Answer::Refused { .. })));
}

/// Ends a query over three shards, two of which no leaf can be reached of, while the part of the
/// third is still open.
fn end_with_an_open_send(is_written: bool) -> Option<Answer> {
    let names = shards(3);
    let mut bench = Bench::open(gather(names.clone(), 1.0), &names, 1);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    let (part, leaf) = sent[2];
    if is_written {
        bench.flight.record_written(part, leaf);
    }
    for (part, leaf) in &sent[..2] {
        bench.fleet.record_send(Time(0), *leaf, USUAL);
        bench.fleet.record_end(Time(9), *leaf, Time(0), Ending::Unreachable);
        let unsent = Outcome::Unsent;
        let actions =
            bench.decide(|f, context| f.send_ended(Time(9), *part, *leaf, unsent, context));
        if let Some(answer) = answer(actions) {
            return Some(answer);
        }
    }
    None
}

#[test]
fn a_request_whose_open_sends_are_not_written_yet_is_refused_and_not_failed() {
    assert!(matches!(end_with_an_open_send(false), Some(Answer::Refused { .. })));
}

#[test]
fn a_request_with_an_open_send_that_is_written_fails_and_is_not_refused() {
    let answer = end_with_an_open_send(true);

    assert!(matches!(answer, Some(Answer::Failed(StatusCode::BAD_GATEWAY))), "{answer:?}");
}

/// Sends a request to a service whose leafs then fall silent. Returns when it is answered, and how;
/// `None` if it isn't before its deadline.
fn send_into_silence(idempotent: bool) -> Option<(Time, Answer)> {
    let mut bench = Bench::open(Arc::new(single("a", idempotent)), &services(), 2);
    let mut actions = bench.decide(|flight, context| flight.start(Time(0), context));
    let mut now = Time(0);
    loop {
        for (part, leaf) in sends(&actions) {
            bench.fleet.record_send(now, leaf, USUAL);
            bench.flight.record_written(part, leaf);
        }
        if let Some(answer) = answer(actions) {
            return (now < Time::from_millis(1_500)).then_some((now, answer));
        }
        now = bench.flight.next_wake();
        bench.fleet.update_reach(now);
        actions = bench.decide(|flight, context| flight.wake(now, context));
    }
}

#[test]
fn an_idempotent_request_to_leafs_that_are_lost_fails_long_before_its_deadline() {
    let (at, answer) = send_into_silence(true).expect("an answer before the deadline");

    assert!(at < Time::from_millis(1_000), "{at:?}");
    assert!(matches!(answer, Answer::Failed(StatusCode::BAD_GATEWAY)), "{answer:?}");
}

#[test]
fn callers_of_a_node_that_has_lost_a_service_are_asked_to_wait_for_a_while() {
    let mut bench = Bench::open(Arc::new(single("a", true)), &services(), 3);
    let leafs = bench.fleet.leafs("a").to_vec();
    leafs.iter().for_each(|leaf| bench.fleet.record_send(Time(0), *leaf, USUAL));
    let mut now = Time::from_millis(1_000);
    bench.fleet.update_reach(now);
    let timing = timing(now + Duration::from_millis(1_500));
    bench.flight = Flight::open(Arc::new(single("a", true)), None, now, timing);

    let mut actions = bench.decide(|flight, context| flight.start(now, context));
    while actions.is_empty() {
        now = bench.flight.next_wake();
        actions = bench.decide(|flight, context| flight.wake(now, context));
    }

    let Some(Answer::Refused { retry_after }) = answer(actions) else { panic!("no refusal") };
    assert!(retry_after >= Duration::from_millis(300), "{retry_after:?}");
}

#[test]
fn a_query_that_is_admitted_only_whole_is_refused_at_once_if_one_shard_is_full() {
    let names = shards(3);
    let mut bench = Bench::open(gather(names.clone(), 0.6), &names, 1);
    let busy = bench.fleet.leafs("shard-1")[0];
    for _ in 0..4 {
        bench.fleet.record_send(Time(0), busy, USUAL);
    }
    bench.flight.admit_only_whole();

    let actions = bench.decide(|flight, context| flight.start(Time(0), context));

    assert!(sends(&actions).is_empty());
    assert!(matches!(answer(actions), Some(Answer::Refused { .. })));
}

#[test]
fn a_request_that_must_not_repeat_waits_for_the_answer_of_a_lost_leaf() {
    assert!(send_into_silence(false).is_none(), "the link may heal, and its caller can't retry");
}

#[test]
fn a_request_is_not_refused_if_an_earlier_send_may_have_run() {
    let mut bench = Bench::open(Arc::new(single("a", true)), &services(), 2);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    let (part, first) = sent[0];
    let resent = sends(
        &bench.decide(|f, context| f.send_ended(Time(9), part, first, Outcome::Unknown, context)),
    );

    let mut actions = bench
        .decide(|f, context| f.send_ended(Time(10), part, resent[0].1, Outcome::NotRun, context));
    while let Some((part, leaf)) = sends(&actions).first().copied() {
        actions =
            bench.decide(|f, context| f.send_ended(Time(10), part, leaf, Outcome::NotRun, context));
    }

    assert!(matches!(answer(actions), Some(Answer::Failed(_))));
}

#[test]
fn a_leafs_failure_is_forwarded_if_the_request_must_not_be_resent() {
    let mut bench = Bench::open(Arc::new(single("a", false)), &services(), 3);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    let (part, leaf) = sent[0];

    let actions =
        bench.decide(|f, context| f.send_ended(Time(9), part, leaf, failure(500), context));

    let Some(Answer::Forward(reply)) = answer(actions) else { panic!("no response") };
    assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
}

#[test]
fn no_part_is_sent_to_more_leafs_than_the_route_allows() {
    let names = shards(10);
    let mut bench = Bench::open(gather(names.clone(), 0.5), &names, 4);
    let mut open = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    let mut count = vec![0; names.len()];
    let mut now = Time(0);

    while let Some((part, leaf)) = open.pop() {
        count[part] += 1;
        now = now + Duration::from_millis(1);
        let actions =
            bench.decide(|f, context| f.send_ended(now, part, leaf, failure(500), context));
        open.extend(sends(&actions));
        open.extend(sends(&bench.decide(|flight, context| flight.wake(now, context))));
    }

    assert!(count.iter().all(|sends| *sends <= 2), "{count:?}");
}

#[test]
fn late_parts_are_hedged_only_within_the_budget() {
    for (floor, expected) in [(0.0, 0), (1_000.0, 5)] {
        let names = shards(10);
        let mut bench = Bench::with_floor(gather(names.clone(), 0.89), &names, 3, floor);
        let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
        for (part, leaf) in sent.into_iter().take(5) {
            bench.decide(|f, c| f.send_ended(Time(9), part, leaf, success("r", b""), c));
        }

        let actions = bench.decide(|flight, context| flight.wake(Time::from_millis(60), context));

        assert_eq!(sends(&actions).len(), expected);
    }
}

#[test]
fn a_query_that_is_late_as_a_whole_is_not_doubled_early() {
    let names = shards(10);
    let mut bench = Bench::open(gather(names.clone(), 0.89), &names, 3);
    bench.decide(|flight, context| flight.start(Time(0), context));

    let actions = bench.decide(|flight, context| flight.wake(Time::from_millis(60), context));

    assert!(sends(&actions).is_empty());
}

#[test]
fn all_parts_are_hedged_in_time_while_no_leaf_answers() {
    for floor in [0.0, 1_000.0] {
        let names = shards(10);
        let mut bench = Bench::with_floor(gather(names.clone(), 0.89), &names, 3, floor);
        bench.decide(|flight, context| flight.start(Time(0), context));
        let mut hedged = 0;

        while bench.flight.next_wake() < Time::from_millis(100) {
            let now = bench.flight.next_wake();
            let actions = bench.decide(|flight, context| flight.wake(now, context));
            hedged += sends(&actions).len();
        }

        assert_eq!(hedged, if floor > 0.0 { 10 } else { 0 });
    }
}

#[test]
fn a_merged_answer_holds_the_receipts_of_its_parts_and_the_number_of_missing_ones() {
    let names = shards(10);
    let mut bench = Bench::open(gather(names.clone(), 0.89), &names, 1);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    for (part, leaf) in sent.iter().take(9) {
        let outcome = success(&format!("r{part}"), &[u8::try_from(*part).unwrap(); 16]);
        bench.decide(|f, context| f.send_ended(Time(9), *part, *leaf, outcome, context));
    }
    let (part, leaf) = sent[9];

    let actions =
        bench.decide(|f, context| f.send_ended(Time(9), part, leaf, failure(500), context));

    let Some(Answer::Merged { receipts, missing, body }) = answer(actions) else {
        panic!("no merged answer")
    };
    assert_eq!((receipts.len(), missing), (9, 1));
    let expected: Vec<u8> = [8, 7, 6, 5, 4].iter().flat_map(|n| [*n; 16]).collect();
    assert_eq!(&body[..], &expected[..]);
}

#[test]
fn a_partial_answer_is_sent_when_the_objective_is_about_to_expire_and_not_before() {
    let names = shards(10);
    let mut bench = Bench::open(gather(names.clone(), 0.89), &names, 3);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    let mut actions_so_far = Vec::new();
    for (part, leaf) in sent.iter().take(9) {
        let outcome = success(&part.to_string(), b"");
        actions_so_far.extend(
            bench.decide(|f, context| f.send_ended(Time(9), *part, *leaf, outcome, context)),
        );
    }
    assert!(answer(actions_so_far).is_none(), "the last part may still be answered");

    let answer_by = bench.flight.next_wake().max(Time::from_millis(140));
    let actions = bench.decide(|flight, context| flight.wake(answer_by, context));

    assert!(matches!(answer(actions), Some(Answer::Merged { missing: 1, .. })));
}

#[test]
fn a_query_with_too_few_answered_parts_times_out_at_its_deadline() {
    let names = shards(10);
    let mut bench = Bench::open(gather(names.clone(), 0.89), &names, 3);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    for (part, leaf) in sent.iter().take(8) {
        let outcome = success(&part.to_string(), b"");
        bench.decide(|f, context| f.send_ended(Time(9), *part, *leaf, outcome, context));
    }
    let late = bench.decide(|flight, context| flight.wake(Time::from_millis(1_499), context));
    assert!(answer(late).is_none());

    let actions = bench.decide(|flight, context| flight.wake(Time::from_millis(1_500), context));

    assert!(matches!(answer(actions), Some(Answer::Failed(StatusCode::GATEWAY_TIMEOUT))));
}

#[test]
fn a_query_is_refused_before_anything_is_sent_if_too_few_shards_have_a_leaf() {
    let names = shards(10);
    let mut bench = Bench::open(gather(names.clone(), 0.89), &names[..8], 3);

    let actions = bench.decide(|flight, context| flight.start(Time(0), context));

    assert!(sends(&actions).is_empty());
    assert!(matches!(answer(actions), Some(Answer::Refused { .. })));
}

#[test]
fn a_query_waits_until_all_its_shards_have_capacity_and_sends_all_parts_together() {
    let names = shards(2);
    let mut bench = Bench::open(gather(names.clone(), 1.0), &names, 1);
    let busy = bench.fleet.leafs("shard-1")[0];
    for _ in 0..4 {
        bench.fleet.record_send(Time(0), busy, USUAL);
    }
    let actions = bench.decide(|flight, context| flight.start(Time(0), context));
    assert!(actions.is_empty(), "nothing is sent while one shard is full");

    for _ in 0..4 {
        bench.fleet.record_end(Time(1), busy, Time(0), Ending::Cancelled);
    }
    let retry_at = bench.flight.next_wake();
    let actions = bench.decide(|flight, context| flight.wake(retry_at, context));

    assert_eq!(sends(&actions).len(), 2);
}

#[test]
fn a_resend_after_a_send_that_reached_no_leaf_needs_no_budget() {
    let mut bench = Bench::with_floor(Arc::new(single("a", false)), &services(), 3, 0.0);
    let sent = sends(&bench.decide(|flight, context| flight.start(Time(0), context)));
    let (part, leaf) = sent[0];

    let actions =
        bench.decide(|f, context| f.send_ended(Time(9), part, leaf, Outcome::Unsent, context));

    assert_eq!(
        sends(&actions).len(),
        1,
        "a send that reached no leaf takes nothing from the budget"
    );
}
