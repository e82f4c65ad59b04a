//! How long a query waits for a leaf, and what its caller is told if it is refused.

use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::Ending;
use jacinthfall_dispatch::flight::{Answer, Flight};
use jacinthfall_dispatch::latency::Latency;
use jacinthfall_route::snapshot::Route;

use crate::support::{Bench, answer, gather, latency, sends, shards, timing};

/// Number of requests that a leaf gets at most.
const LIMIT: usize = 4;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A query to one shard.
#[derive(Clone, Copy)]
struct Query {
    objective: Duration,
    timeout: Duration,
    /// Response time of the latest requests.
    usual: Duration,
    /// Number of leafs of the shard.
    leafs: usize,
    /// Number of requests that each of them runs.
    running: usize,
}

/// A query to a shard whose only leaf can take no more.
const QUERY: Query =
    Query { objective: ms(150), timeout: ms(1_500), usual: ms(20), leafs: 1, running: LIMIT };

impl Query {
    /// Lets the query arrive at time 0.
    fn arrive(self) -> Bench {
        let names = shards(1);
        let route = Route { objective: self.objective, ..(*gather(names.clone(), 1.0)).clone() };
        let route = Arc::new(route);
        let mut bench = Bench::open(Arc::clone(&route), &names, self.leafs);
        bench.latency = latency(self.usual);
        bench.flight = Flight::open(route, None, Time(0), timing(Time(0) + self.timeout));
        for leaf in bench.fleet.leafs("shard-0").to_vec() {
            (0..self.running).for_each(|_| bench.fleet.record_send(Time(0), leaf, self.usual));
        }
        bench
    }

    /// Lets the query be refused. Returns after what time it is, and the delay that its caller is
    /// told.
    fn refuse(self, jitter: f64) -> (Duration, Duration) {
        let mut bench = self.arrive();
        let mut now = Time(0);
        let mut actions = bench.decide(|flight, context| {
            context.jitter = jitter;
            flight.start(now, context)
        });
        while actions.is_empty() {
            now = bench.flight.next_wake();
            actions = bench.decide(|flight, context| {
                context.jitter = jitter;
                flight.wake(now, context)
            });
        }
        let Some(Answer::Refused { retry_after }) = answer(actions) else { panic!("no refusal") };
        (now.since(Time(0)), retry_after)
    }

    /// Returns how long the query waits until it is refused.
    fn wait_for_refusal(self) -> Duration {
        self.refuse(0.5).0
    }

    /// Returns whether the query is sent at once.
    fn is_sent(self) -> bool {
        let mut bench = self.arrive();
        let actions = bench.decide(|flight, context| flight.start(Time(0), context));
        !sends(&actions).is_empty()
    }
}

#[test]
fn a_query_without_capacity_is_refused_once_no_answer_is_expected_in_time() {
    let waited = QUERY.wait_for_refusal();

    assert!(waited <= QUERY.objective - QUERY.usual, "{waited:?}");
}

/// The wait depends on the time that is left for the work, whatever the caller's objective, its
/// timeout and the work are.
#[test]
fn a_query_waits_for_capacity_while_the_work_fits_in_the_time_left() {
    for (objective, timeout, usual) in
        [(150, 1_500, 20), (150, 1_500, 80), (600, 1_500, 20), (600, 6_000, 320), (2_000, 300, 40)]
    {
        let (objective, timeout, usual) = (ms(objective), ms(timeout), ms(usual));
        let waited = Query { objective, timeout, usual, ..QUERY }.wait_for_refusal();

        let fitting = objective.min(timeout) - usual;
        assert!(waited <= fitting, "{objective:?} {timeout:?} {usual:?}: {waited:?}");
        assert!(waited >= fitting * 3 / 4, "{objective:?} {timeout:?} {usual:?}: {waited:?}");
    }
}

#[test]
fn a_query_whose_work_does_not_fit_in_the_time_left_is_refused_at_once() {
    let too_long = Query { usual: QUERY.objective, ..QUERY };
    let too_late = Query { objective: ms(2_000), timeout: ms(40), usual: ms(50), ..QUERY };

    assert_eq!(too_long.wait_for_refusal(), Duration::ZERO);
    assert_eq!(too_late.wait_for_refusal(), Duration::ZERO);
}

/// Guards against a guess at the response time that is longer than the time left.
#[test]
fn a_query_waits_for_a_busy_leaf_while_no_response_times_are_known() {
    let mut bench = QUERY.arrive();
    bench.latency = Latency::open(ms(800));

    let actions = bench.decide(|flight, context| flight.start(Time(0), context));

    assert!(actions.is_empty(), "{actions:?}");
}

/// Without a load, a leaf is tried whatever time is left.
#[test]
fn a_part_without_time_goes_only_to_leafs_that_are_not_slowed_by_their_load() {
    for usual in [ms(20), ms(60)] {
        let late = Query { objective: ms(12), usual, running: 0, ..QUERY };

        assert!(late.is_sent(), "{usual:?}");
        assert!(!Query { running: 3, ..late }.is_sent(), "{usual:?}");
        assert!(Query { running: 1, objective: ms(1_500), ..late }.is_sent(), "{usual:?}");
    }
}

#[test]
fn a_query_with_less_time_than_any_leaf_takes_is_refused_at_once() {
    let idle = Query { usual: ms(40), running: 0, ..QUERY };

    assert!(!Query { timeout: ms(39), ..idle }.is_sent());
    assert!(Query { timeout: ms(41), ..idle }.is_sent());
}

#[test]
fn callers_come_back_when_a_busy_leaf_has_answered_a_request() {
    for usual in [ms(5), ms(20), ms(80)] {
        let query = Query { usual, ..QUERY };
        let (first, last) = (query.refuse(0.0).1, query.refuse(1.0).1);

        assert!(first >= usual, "{usual:?}: {first:?}");
        assert!(last > first && last <= 2 * first, "{usual:?}: {first:?} {last:?}");
    }
}

#[test]
fn callers_of_a_service_without_a_leaf_come_back_late_in_the_time_that_they_wait_at_most() {
    for timeout in [ms(300), ms(1_500), ms(6_000)] {
        let query = Query { timeout, leafs: 0, ..QUERY };
        let (waited, first) = query.refuse(0.0);
        let (_, last) = query.refuse(1.0);

        let left = timeout - waited;
        assert_eq!((first, last), (left / 6, left / 3));
    }
}

#[test]
fn callers_that_are_refused_at_once_do_not_come_back_together() {
    let delays: Vec<Duration> = (0..10_u8).map(|n| QUERY.refuse(f64::from(n) / 10.0).1).collect();

    assert!(delays.windows(2).all(|pair| pair[0] < pair[1]), "{delays:?}");
}

/// Guards against a known end of a pause that callers aren't told, or much later, while no response
/// times are known.
#[test]
fn callers_come_back_soon_after_the_pause_of_the_only_leaf() {
    let mut bench = Query { timeout: ms(6_000), running: 0, ..QUERY }.arrive();
    bench.latency = Latency::open(ms(20));
    let leaf = bench.fleet.leafs("shard-0")[0];
    (0..3).for_each(|_| {
        bench.fleet.record_send(Time(1), leaf, ms(20));
        bench.fleet.record_end(Time(1), leaf, Time(1), Ending::Unreachable);
    });

    let actions = bench.decide(|flight, context| {
        context.jitter = 1.0;
        flight.start(Time(1), context)
    });

    let Some(Answer::Refused { retry_after }) = answer(actions) else { panic!("no refusal") };
    assert!((ms(240)..=ms(280)).contains(&retry_after), "{retry_after:?}");
}
