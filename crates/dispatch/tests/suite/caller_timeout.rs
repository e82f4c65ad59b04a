use std::time::Duration;

use jacinthfall_dispatch::caller_timeout::Estimator;

const FIRST_ATTEMPT: Duration = Duration::from_millis(600);

fn estimator() -> Estimator {
    let mut estimator = Estimator::default();
    (0..100).for_each(|_| _ = estimator.spent(FIRST_ATTEMPT));
    estimator
}

#[test]
fn one_long_timeout_does_not_make_other_requests_count_as_retries() {
    let mut estimator = estimator();

    let long = estimator.spent(Duration::from_secs(60));

    assert_eq!(long, Duration::ZERO);
    assert_eq!(estimator.spent(FIRST_ATTEMPT), Duration::ZERO);
}

#[test]
fn retries_are_detected_while_half_of_the_requests_are_retries() {
    let mut estimator = estimator();
    let retry = Duration::from_millis(350);

    for _ in 0..200 {
        assert_eq!(estimator.spent(FIRST_ATTEMPT), Duration::ZERO);
        assert_eq!(estimator.spent(retry), FIRST_ATTEMPT - retry);
    }
}

#[test]
fn a_shorter_timeout_of_all_callers_is_learnt() {
    let mut estimator = estimator();
    let shorter = Duration::from_millis(400);

    (0..200).for_each(|_| _ = estimator.spent(shorter));

    assert_eq!(estimator.spent(shorter), Duration::ZERO);
}
