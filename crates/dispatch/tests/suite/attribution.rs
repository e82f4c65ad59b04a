//! Which request a response belongs to, and connections that must not carry a request twice.

use jacinthfall_core::time::Time;
use jacinthfall_dispatch::attribution::{Attribution, Carried, Id};

const DEADLINE: Time = Time::from_millis(800);

fn id(number: usize) -> Id {
    Id::of(format!("r-{number}").as_bytes())
}

/// Returns the record of a connection that has carried requests `0..count`.
fn carried(count: usize) -> Carried {
    let mut carried = Carried::default();
    for number in 0..count {
        carried.record(Time(0), id(number), DEADLINE);
    }
    carried
}

#[test]
fn a_connection_carries_no_request_twice_before_its_deadline() {
    let carried = carried(3);

    for number in 0..3 {
        assert!(!carried.allows(Time::from_millis(799), id(number)), "request {number}");
    }
    assert!(carried.allows(Time(0), id(3)));
    assert!(carried.allows(DEADLINE, id(0)));
}

#[test]
fn requests_past_their_deadline_are_forgotten_one_by_one() {
    let mut carried = Carried::default();
    carried.record(Time(0), id(0), Time::from_millis(900));
    carried.record(Time(0), id(1), Time::from_millis(100));

    carried.record(Time::from_millis(500), id(2), Time::from_millis(1_000));

    let now = Time::from_millis(600);
    let allowed = [0, 1, 2].map(|number| carried.allows(now, id(number)));
    assert_eq!(allowed, [false, true, false]);
}

#[test]
fn a_connection_that_can_remember_no_more_requests_carries_none() {
    let carried = carried(1_024);

    assert!(!carried.allows(Time(0), id(5_000)));
    assert!(carried.allows(DEADLINE, id(5_000)), "it does once they can't be sent again");
}

#[test]
#[should_panic(expected = "once at most")]
fn the_second_send_of_a_request_over_a_connection_is_a_bug() {
    carried(1).record(Time(0), id(0), DEADLINE);
}

#[test]
fn a_response_counts_only_for_the_one_request_that_it_names() {
    let cases: [(&[&str], Attribution); 6] = [
        (&["r-1"], Attribution::Own),
        (&["r-1", "r-1"], Attribution::Own),
        (&["r-1", "r-2"], Attribution::Foreign),
        (&["r-1, r-2"], Attribution::Foreign),
        (&[""], Attribution::Foreign),
        (&[], Attribution::Missing),
    ];

    for (echoed, expected) in cases {
        let attribution = Attribution::of(b"r-1", echoed.iter().map(|id| id.as_bytes()));

        assert_eq!(attribution, expected, "{echoed:?}");
    }
}
