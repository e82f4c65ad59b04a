use std::time::Duration;

use jacinthfall_dispatch::caller_timeout::{Connection, Estimator};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FIRST_ATTEMPT: Duration = Duration::from_millis(600);

const LOOKUP_AND_CONNECT: Duration = Duration::from_millis(15);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns an estimator for callers that use each connection once.
fn estimator() -> Estimator {
    let mut estimator = Estimator::default();
    (0..100).for_each(|_| _ = spent(&mut estimator, FIRST_ATTEMPT));
    estimator
}

fn spent(estimator: &mut Estimator, timeout: Duration) -> Duration {
    estimator.spent(timeout, Connection::New, &[])
}

fn spent_on_open(estimator: &mut Estimator, timeout: Duration) -> Duration {
    estimator.spent(timeout, Connection::Open, &[])
}

#[test]
fn one_long_timeout_does_not_make_other_requests_count_as_retries() {
    let mut estimator = estimator();

    let long = spent(&mut estimator, Duration::from_secs(60));

    assert_eq!(long, Duration::ZERO);
    assert_eq!(spent(&mut estimator, FIRST_ATTEMPT), Duration::ZERO);
}

#[test]
fn retries_are_detected_while_half_of_the_requests_are_retries() {
    let mut estimator = estimator();
    let retry = Duration::from_millis(350);

    for _ in 0..200 {
        assert_eq!(spent(&mut estimator, FIRST_ATTEMPT), Duration::ZERO);
        assert_eq!(spent(&mut estimator, retry), FIRST_ATTEMPT - retry);
    }
}

#[test]
fn a_shorter_timeout_of_all_callers_is_learnt() {
    let mut estimator = estimator();
    let shorter = Duration::from_millis(400);

    (0..200).for_each(|_| _ = spent(&mut estimator, shorter));

    assert_eq!(spent(&mut estimator, shorter), Duration::ZERO);
}

#[test]
fn one_request_on_an_open_connection_is_enough_to_see_the_time_of_a_connect() {
    let mut estimator = Estimator::default();
    spent_on_open(&mut estimator, FIRST_ATTEMPT);

    let spent = spent(&mut estimator, FIRST_ATTEMPT - LOOKUP_AND_CONNECT);

    assert_eq!(spent, LOOKUP_AND_CONNECT);
}

#[test]
fn callers_with_different_timeouts_are_told_apart() {
    let mut estimator = Estimator::default();
    for _ in 0..50 {
        assert_eq!(spent_on_open(&mut estimator, ms(600)), Duration::ZERO);
        assert_eq!(spent_on_open(&mut estimator, ms(1_500)), Duration::ZERO);
    }

    for first in [ms(600), ms(1_500)] {
        assert_eq!(spent(&mut estimator, first - LOOKUP_AND_CONNECT), LOOKUP_AND_CONNECT);
    }
}

#[test]
fn a_look_up_before_a_request_on_an_open_connection_counts_as_time_spent() {
    let mut estimator = Estimator::default();

    for _ in 0..50 {
        spent_on_open(&mut estimator, FIRST_ATTEMPT);
        let looked_up = spent_on_open(&mut estimator, FIRST_ATTEMPT - LOOKUP_AND_CONNECT);

        assert_eq!(looked_up, LOOKUP_AND_CONNECT);
    }
    assert_eq!(spent(&mut estimator, ms(578)), ms(22));
    assert_eq!(estimator.first_timeouts().collect::<Vec<_>>(), [FIRST_ATTEMPT]);
}

#[test]
fn a_few_callers_with_a_longer_timeout_do_not_make_others_count_as_retries() {
    let mut estimator = Estimator::default();

    for _ in 0..20 {
        (0..19).for_each(|_| _ = spent_on_open(&mut estimator, FIRST_ATTEMPT));
        spent_on_open(&mut estimator, ms(650));
    }

    assert_eq!(spent_on_open(&mut estimator, FIRST_ATTEMPT), Duration::ZERO);
}

#[test]
fn a_caller_that_lowers_its_timeout_is_recognized_within_a_few_requests() {
    let mut estimator = Estimator::default();
    (0..200).for_each(|_| _ = spent_on_open(&mut estimator, ms(1_500)));

    (0..8).for_each(|_| _ = spent_on_open(&mut estimator, ms(1_000)));

    assert_eq!(spent_on_open(&mut estimator, ms(1_000)), Duration::ZERO);
    assert_eq!(spent(&mut estimator, ms(985)), LOOKUP_AND_CONNECT);
}

#[test]
fn the_first_request_of_a_route_counts_as_a_first_attempt() {
    for connection in [Connection::New, Connection::Open] {
        let mut estimator = Estimator::default();

        let spent = estimator.spent(FIRST_ATTEMPT, connection, &[]);

        assert_eq!(spent, Duration::ZERO);
    }
}

/// After an outage a node that has just started gets nothing but retries.
#[test]
fn retries_are_detected_by_what_other_nodes_have_observed() {
    let mut estimator = Estimator::default();

    for retry in (300..580).cycle().step_by(7).take(500).map(ms) {
        let spent = estimator.spent(retry, Connection::New, &[FIRST_ATTEMPT]);

        assert_eq!(spent, FIRST_ATTEMPT - retry);
    }
}

#[test]
fn own_observations_take_precedence_over_those_of_others() {
    let outdated = [ms(1_100)];
    let mut estimator = Estimator::default();
    (0..30).for_each(|_| _ = estimator.spent(ms(1_000), Connection::Open, &outdated));

    let spent = estimator.spent(ms(1_006), Connection::New, &outdated);

    assert_eq!(spent, Duration::ZERO);
}

#[test]
fn senseless_timeouts_of_one_caller_do_not_change_the_estimate_for_others() {
    for seed in 1..=5 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut estimator = Estimator::default();
        spent_on_open(&mut estimator, FIRST_ATTEMPT);

        for _ in 0..1_000 {
            let millis = *[1, 90, 599_000, 86_400_000, rng.random_range(1..10_000_000)]
                .get(rng.random_range(0..5_usize))
                .expect("in range");
            spent_on_open(&mut estimator, ms(millis));
            spent(&mut estimator, ms(millis));

            assert_eq!(spent_on_open(&mut estimator, FIRST_ATTEMPT), Duration::ZERO);
            let timeout = FIRST_ATTEMPT - LOOKUP_AND_CONNECT;
            assert_eq!(spent(&mut estimator, timeout), LOOKUP_AND_CONNECT, "seed {seed}");
        }
    }
}
