//! What refused callers are told of when to come back.

use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_dispatch::flight::{Answer, Flight};
use jacinthfall_dispatch::latency::Latency;

use crate::support::{Bench, answer, gather, latency, sends, shards, timing};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Lets a query be refused after some waiting, by the only leaf of a shard that is busy or by a
/// shard without one. Returns the time that is left then, and the delay that it is told.
fn refuse(timeout: Duration, usual: Duration, leafs: usize, jitter: f64) -> (Duration, Duration) {
    let names = shards(1);
    let route = gather(names.clone(), 1.0);
    let mut bench = Bench::open(Arc::clone(&route), &names, leafs);
    bench.latency = latency(usual);
    let deadline = Time(0) + timeout;
    bench.flight = Flight::open(route, None, Time(0), timing(deadline));
    for leaf in bench.fleet.leafs("shard-0").to_vec() {
        (0..4).for_each(|_| bench.fleet.record_send(Time(0), leaf, usual));
    }
    let mut now = Time(0);
    loop {
        let actions = bench.decide(|flight, context| {
            context.jitter = jitter;
            if now == Time(0) { flight.start(now, context) } else { flight.wake(now, context) }
        });
        if let Some(Answer::Refused { retry_after }) = answer(actions) {
            return (deadline.since(now), retry_after);
        }
        now = bench.flight.next_wake();
    }
}

#[test]
fn callers_come_back_when_a_busy_leaf_has_answered_a_request() {
    for usual in [ms(5), ms(20), ms(80)] {
        let (_, first) = refuse(ms(1_500), usual, 1, 0.0);
        let (_, last) = refuse(ms(1_500), usual, 1, 1.0);

        assert!(first >= usual, "{usual:?}: {first:?}");
        assert!(last > first && last <= 2 * first, "{usual:?}: {first:?} {last:?}");
    }
}

#[test]
fn callers_of_a_service_without_a_leaf_come_back_late_in_the_time_that_they_wait_at_most() {
    for timeout in [ms(300), ms(1_500), ms(6_000)] {
        let (left, first) = refuse(timeout, ms(20), 0, 0.0);
        let (_, last) = refuse(timeout, ms(20), 0, 1.0);

        assert_eq!((first, last), (left / 6, left / 3));
    }
}

#[test]
fn callers_that_are_refused_at_once_do_not_come_back_together() {
    let delays: Vec<Duration> =
        (0..10_u8).map(|n| refuse(ms(1_500), ms(20), 1, f64::from(n) / 10.0).1).collect();

    assert!(delays.windows(2).all(|pair| pair[0] < pair[1]), "{delays:?}");
}

/// Returns whether a request is sent to an idle leaf, if it comes with `left` until its deadline and
/// leafs lately took 40 ms or more.
fn is_sent(left: Duration) -> bool {
    let names = shards(1);
    let route = gather(names.clone(), 1.0);
    let mut bench = Bench::open(Arc::clone(&route), &names, 1);
    (0..100).for_each(|n| bench.latency.add(ms(40 + n)));
    bench.flight = Flight::open(route, None, Time(0), timing(Time(0) + left));
    let actions = bench.decide(|flight, context| flight.start(Time(0), context));
    !sends(&actions).is_empty()
}

#[test]
fn a_request_with_less_time_than_any_leaf_takes_is_refused_at_once() {
    assert!(!is_sent(ms(39)));
    assert!(is_sent(ms(41)));
}

/// Guards against a guess at the response time that is longer than the time left.
#[test]
fn a_request_waits_for_a_busy_leaf_while_no_response_times_are_known() {
    let names = shards(1);
    let route = gather(names.clone(), 1.0);
    let mut bench = Bench::open(Arc::clone(&route), &names, 1);
    bench.latency = Latency::open(ms(800));
    let leaf = bench.fleet.leafs("shard-0")[0];
    (0..4).for_each(|_| bench.fleet.record_send(Time(0), leaf, ms(20)));

    let actions = bench.decide(|flight, context| flight.start(Time(0), context));

    assert!(actions.is_empty(), "{actions:?}");
}
