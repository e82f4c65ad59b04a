use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{
    Candidates, Change, Demand, Ending, Fleet, Key, Need, Order, Placement, Report, Turn,
};
use jacinthfall_route::leaf::Age;

use crate::support::{entry, fleet};

const USUAL: Duration = Duration::from_millis(20);
const FAR_DEADLINE: Time = Time::from_millis(10_000);

fn service() -> id::Name {
    "a".into()
}

fn demand(respond_by: Time, candidates: &Candidates) -> Demand<'_> {
    Demand {
        usual: USUAL,
        respond_by,
        candidates,
        queued: false,
        turn: Turn::default(),
        need: Need::Required,
    }
}

/// Returns all leafs but those that were tried.
fn untried(tried: &[Key]) -> Candidates {
    Candidates::AllBut(tried.to_vec())
}

fn place(fleet: &mut Fleet, now: Time, tried: &[Key]) -> Option<Key> {
    match fleet.place(now, "a", &demand(FAR_DEADLINE, &untried(tried))) {
        Placement::Leaf(key) => Some(key),
        Placement::Queue(_)
        | Placement::Later(_)
        | Placement::RateLimited(_)
        | Placement::NoLeaf => None,
    }
}

fn zone(fleet: &Fleet, key: Key) -> String {
    fleet.leaf(key).expect("a leaf").entry.zone.to_string()
}

#[test]
fn a_request_is_placed_only_on_its_candidates() {
    let mut fleet = fleet(&[service()], 3);
    let nearest = place(&mut fleet, Time(0), &[]).expect("a leaf");
    let other = place(&mut fleet, Time(0), &[nearest]).expect("a leaf");
    let only = Candidates::Only(vec![other]);

    let placement = fleet.place(Time(0), "a", &demand(FAR_DEADLINE, &only));

    assert_eq!(placement, Placement::Leaf(other));
    assert!(Candidates::Only(Vec::new()).is_empty());
}

#[test]
fn a_leaf_that_answers_on_open_connections_is_not_paused_when_a_new_one_fails() {
    let mut fleet = fleet(&[service()], 1);
    let leaf = place(&mut fleet, Time(0), &[]).expect("a leaf");
    let answered = Ending::Success { took: USUAL, usual: USUAL };
    for at in [Time(0), Time(1)] {
        fleet.record_send(at, leaf, USUAL);
    }

    let change = fleet.record_end(Time(2), leaf, Time(1), Ending::Unreachable);
    fleet.record_end(Time::from_millis(20), leaf, Time(0), answered);
    fleet.record_idle(Time::from_millis(20), leaf, FAR_DEADLINE);

    assert_eq!(change, Some(Change::Limited(1)));
    assert_eq!(place(&mut fleet, Time::from_millis(20), &[]), Some(leaf), "it has a connection");
}

#[test]
fn an_idle_leaf_in_the_own_zone_is_preferred() {
    let mut fleet = fleet(&[service()], 3);

    let key = place(&mut fleet, Time(0), &[]).expect("a leaf");

    assert_eq!(zone(&fleet, key), "zone-0");
}

#[test]
fn a_leaf_with_a_long_reported_queue_is_avoided() {
    let mut fleet = fleet(&[service()], 3);
    let near = place(&mut fleet, Time(0), &[]).expect("a leaf");
    fleet.record_report(near, Report { requests: 12, at: Time(0) });

    let key = place(&mut fleet, Time(0), &[]).expect("a leaf");

    assert_ne!(key, near);
}

#[test]
fn a_slow_leaf_is_avoided_and_tried_again_later() {
    let mut fleet = fleet(&[service()], 3);
    let near = place(&mut fleet, Time(0), &[]).expect("a leaf");
    for _ in 0..4 {
        fleet.record_send(Time(0), near, USUAL);
        let slow = Ending::Success { took: USUAL * 8, usual: USUAL };
        fleet.record_end(Time(1_000), near, Time(0), slow);
    }

    assert_ne!(place(&mut fleet, Time(1_000), &[]), Some(near));
    assert_eq!(place(&mut fleet, Time::from_millis(20_000), &[]), Some(near));
}

#[test]
fn a_stalled_leaf_is_avoided_before_its_request_times_out() {
    let mut fleet = fleet(&[service()], 3);
    let near = place(&mut fleet, Time(0), &[]).expect("a leaf");
    fleet.record_send(Time(0), near, USUAL);

    let key = place(&mut fleet, Time::from_millis(60), &[]);

    assert_ne!(key, Some(near));
}

#[test]
fn an_unreachable_leaf_gets_one_request_at_a_time_after_its_pause() {
    let mut fleet = fleet(&[service()], 1);
    let key = place(&mut fleet, Time(0), &[]).expect("a leaf");
    fleet.record_send(Time(0), key, USUAL);
    fleet.record_end(Time(0), key, Time(0), Ending::Unreachable);
    assert_eq!(place(&mut fleet, Time(1), &[]), None);

    let later = Time::from_millis(300);
    assert_eq!(place(&mut fleet, later, &[]), Some(key));
    fleet.record_send(later, key, USUAL);

    assert_eq!(place(&mut fleet, later, &[]), None, "its first request is a probe");
}

#[test]
fn a_leaf_whose_address_belongs_to_another_leaf_is_not_used() {
    let mut fleet = fleet(&[service()], 1);
    let key = place(&mut fleet, Time(0), &[]).expect("a leaf");
    fleet.record_send(Time(0), key, USUAL);
    fleet.record_end(Time(0), key, Time(0), Ending::Misdirected);

    assert_eq!(fleet.place(Time(0), "a", &demand(FAR_DEADLINE, &untried(&[]))), Placement::NoLeaf);
}

#[test]
fn requests_beyond_the_concurrency_limit_are_queued() {
    let mut fleet = fleet(&[service()], 1);
    for _ in 0..4 {
        let key = place(&mut fleet, Time(0), &[]).expect("a leaf");
        fleet.record_send(Time(0), key, USUAL);
    }

    assert!(matches!(
        fleet.place(Time(0), "a", &demand(FAR_DEADLINE, &untried(&[]))),
        Placement::Queue(_)
    ));
}

#[test]
fn a_queued_request_comes_before_a_new_one() {
    let mut fleet = fleet(&[service()], 1);
    let key = place(&mut fleet, Time(0), &[]).expect("a leaf");
    for _ in 0..3 {
        fleet.record_send(Time(0), key, USUAL);
    }
    fleet.enqueue(&service(), Turn::default(), FAR_DEADLINE);

    let all = untried(&[]);
    let queued = Demand { queued: true, ..demand(FAR_DEADLINE, &all) };

    assert!(matches!(
        fleet.place(Time(0), "a", &demand(FAR_DEADLINE, &untried(&[]))),
        Placement::Queue(_)
    ));
    assert_eq!(fleet.place(Time(0), "a", &queued), Placement::Leaf(key));
}

#[test]
fn a_busy_leaf_gets_no_request_that_it_cannot_answer_in_time() {
    let mut fleet = fleet(&[service()], 1);
    let key = place(&mut fleet, Time(0), &[]).expect("a leaf");
    fleet.record_send(Time(0), key, USUAL);
    fleet.record_report(key, Report { requests: 30, at: Time(0) });

    let respond_by = Time::from_millis(100);

    assert!(matches!(
        fleet.place(Time(0), "a", &demand(respond_by, &untried(&[]))),
        Placement::Later(_)
    ));
}

#[test]
fn a_restarted_leaf_does_not_inherit_requests_in_flight() {
    let mut fleet = fleet(&[service()], 1);
    let old = place(&mut fleet, Time(0), &[]).expect("a leaf");
    fleet.record_send(Time(0), old, USUAL);
    let id: id::Name = "a-0".into();
    let restarted = entry("a", "zone-0", Age { born: 9, sequence: 1 });

    let unused = fleet.update(Time(0), [(&id, &restarted)].into_iter());

    assert_eq!(unused, [old]);
    let new = place(&mut fleet, Time(0), &[]).expect("a leaf");
    assert_ne!(new, old);
    assert_eq!(fleet.leaf(new).expect("a leaf").in_flight(), 0);
}

#[test]
fn of_leafs_that_are_alike_one_with_an_idle_connection_is_preferred() {
    let mut fleet = fleet(&[service()], 3);
    let near = place(&mut fleet, Time(0), &[]).expect("a leaf");
    let connected = fleet.leafs("a").iter().copied().find(|key| *key != near).expect("a leaf");
    fleet.record_idle(Time(0), connected, FAR_DEADLINE);

    for _ in 0..50 {
        assert_eq!(place(&mut fleet, Time(1), &[near]), Some(connected));
    }
}

#[test]
fn an_idle_connection_does_not_make_up_for_a_long_queue() {
    let mut fleet = fleet(&[service()], 3);
    let near = place(&mut fleet, Time(0), &[]).expect("a leaf");
    let connected = fleet.leafs("a").iter().copied().find(|key| *key != near).expect("a leaf");
    fleet.record_idle(Time(0), connected, FAR_DEADLINE);
    fleet.record_report(connected, Report { requests: 12, at: Time(0) });

    assert_ne!(place(&mut fleet, Time(1), &[near]), Some(connected));
}

/// Requests that come one after another use few connections, though all leafs are idle.
#[test]
fn requests_of_a_node_return_to_the_leafs_that_it_is_connected_to() {
    let mut fleet = fleet(&[service()], 3);
    let near = place(&mut fleet, Time(0), &[]).expect("a leaf");
    let mut connects = 0;
    let mut now = Time(0);

    for _ in 0..100 {
        let key = place(&mut fleet, now, &[near]).expect("a leaf");
        connects += usize::from(!fleet.leaf(key).expect("a leaf").is_connected(now));
        fleet.record_send(now, key, USUAL);
        let end = now + USUAL;
        fleet.record_end(end, key, now, Ending::Success { took: USUAL, usual: USUAL });
        fleet.record_idle(end, key, end + Duration::from_millis(600));
        now = now + Duration::from_millis(300);
    }

    assert_eq!(connects, 1);
}

#[test]
fn a_leaf_that_leaves_is_used_again_only_as_another_process() {
    let mut fleet = fleet(&[service()], 1);
    let key = fleet.leafs("a")[0];
    let mut entry = fleet.leaf(key).expect("a leaf").entry.clone();
    let id: id::Name = "a-0".into();
    assert!(fleet.record_leaving(key).is_some());

    entry.age.sequence += 1;
    fleet.update(Time(1), [(&id, &entry)].into_iter());
    assert_eq!(place(&mut fleet, Time(1), &[]), None, "its entry may lag behind");
    entry.age.born += 1;
    fleet.update(Time(2), [(&id, &entry)].into_iter());

    assert!(place(&mut fleet, Time(2), &[]).is_some());
}

#[test]
fn a_request_whose_turn_is_later_leaves_the_room_that_fits_in_time_to_those_that_wait() {
    let mut fleet = fleet(&[service()], 1);
    let key = place(&mut fleet, Time(0), &[]).expect("a leaf");
    fleet.record_send(Time(0), key, USUAL);
    let waiting = Turn { priority: 1, arrived: Time(1) };
    fleet.enqueue(&service(), waiting, FAR_DEADLINE);
    let all = untried(&[]);
    // The leaf has three slots, but can answer only one more request in time.
    let demand = |turn| Demand { turn, ..demand(Time::from_millis(20), &all) };
    let later = Turn { priority: 1, arrived: Time(2) };

    let unordered = fleet.place(Time(3), "a", &demand(later));
    fleet.set_order(Order::Urgency);
    let placed = |fleet: &mut Fleet, turn| {
        matches!(fleet.place(Time(3), "a", &demand(turn)), Placement::Leaf(_))
    };

    assert_eq!(unordered, Placement::Leaf(key));
    assert!(!placed(&mut fleet, later));
    assert!(placed(&mut fleet, waiting));
    assert!(placed(&mut fleet, Turn { priority: 0, ..later }));
}

/// Returns how often each of two idle leafs is chosen of 100 times, the second one in another zone, if
/// connects to it take `took`.
fn choices(took: Duration) -> [usize; 2] {
    let mut fleet = fleet(&["a".into()], 2);
    let leafs = fleet.leafs("a").to_vec();
    for _ in 0..50 {
        fleet.record_connect(leafs[0], Duration::from_millis(1));
        fleet.record_connect(leafs[1], took);
    }
    let mut chosen = [0; 2];
    for _ in 0..100 {
        let leaf = place(&mut fleet, Time(0), &[]).expect("an idle leaf");
        chosen[usize::from(leaf == leafs[1])] += 1;
    }
    chosen
}

#[test]
fn leafs_of_another_zone_are_avoided_as_far_as_connects_show_that_it_is_distant() {
    let [_, far] = choices(Duration::from_millis(14));
    let [near, close] = choices(Duration::from_millis(1));

    assert_eq!(far, 0);
    assert!(near >= 30 && close >= 30, "{near} {close}");
}
