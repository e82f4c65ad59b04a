//! Which services a node reaches, by how its sends end.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Ending, Fleet, Key};
use jacinthfall_dispatch::quarantine::Service;
use jacinthfall_dispatch::reach::Loss;

use crate::support::{fleet, shards};

const USUAL: Duration = Duration::from_millis(20);

/// When the sends of a test begin.
const START: Time = Time::from_millis(1_000);

/// A time at which sends that began at [`START`] are overdue.
const LATER: Time = Time::from_millis(2_000);

const ANSWER: Ending = Ending::Success { took: USUAL, usual: USUAL };

fn services() -> Vec<id::Name> {
    shards(2)
}

/// Returns the leafs of one of the [`services`].
fn leafs(fleet: &Fleet, service: usize) -> Vec<Key> {
    fleet.leafs(&services()[service]).to_vec()
}

/// Sends a request to each of these leafs at [`START`]; none responds.
fn send(fleet: &mut Fleet, leafs: &[Key]) {
    leafs.iter().for_each(|leaf| fleet.record_send(START, *leaf, USUAL));
}

#[test]
fn a_service_of_which_no_leaf_responds_is_lost() {
    let mut fleet = fleet(&services(), 3);
    let silent = leafs(&fleet, 0);
    send(&mut fleet, &silent);

    let changed = fleet.update_reach(LATER);

    assert!(changed);
    assert_eq!(fleet.loss(), Loss::of([Service::of(&services()[0])]));
    assert!(fleet.is_lost(&services()[0]) && !fleet.is_lost(&services()[1]));
}

#[test]
fn a_service_of_which_one_leaf_responds_is_not_lost() {
    let mut fleet = fleet(&services(), 3);
    let all = leafs(&fleet, 0);
    send(&mut fleet, &all);
    fleet.record_end(LATER, all[0], START, ANSWER);

    fleet.update_reach(LATER);

    assert_eq!(fleet.loss(), Loss::Nothing);
}

#[test]
fn a_node_that_no_leaf_of_several_services_responds_to_is_cut_off() {
    let mut fleet = fleet(&services(), 3);
    let silent = [leafs(&fleet, 0)[0], leafs(&fleet, 0)[1], leafs(&fleet, 1)[0]];
    send(&mut fleet, &silent);

    fleet.update_reach(LATER);

    assert!(fleet.loss().is_cut_off());
    assert!(services().iter().all(|service| fleet.is_lost(service)));
}

#[test]
fn sends_that_are_slower_than_usual_are_not_overdue() {
    let mut fleet = fleet(&services(), 3);
    let slow = [leafs(&fleet, 0), leafs(&fleet, 1)].concat();
    send(&mut fleet, &slow);

    let changed = fleet.update_reach(START + USUAL * 10);

    assert!(!changed);
}

#[test]
fn connections_that_fail_count_as_silence_and_other_endings_do_not() {
    for (ending, is_lost) in [
        (Ending::Unreachable, true),
        (Ending::Crowded, true),
        (Ending::Silent, true),
        (Ending::Broken, false),
        (Ending::Busy, false),
        (Ending::Cancelled, false),
    ] {
        let mut fleet = fleet(&services(), 3);
        let all = leafs(&fleet, 0);
        send(&mut fleet, &all);
        let soon = START + USUAL;
        for leaf in all {
            fleet.record_end(soon, leaf, START, ending);
        }

        fleet.update_reach(soon);

        assert_eq!(fleet.is_lost(&services()[0]), is_lost, "{ending:?}");
    }
}

#[test]
fn a_send_that_is_cancelled_when_it_is_overdue_still_counts() {
    let mut fleet = fleet(&services(), 3);
    let all = leafs(&fleet, 0);
    send(&mut fleet, &all);
    for leaf in all {
        fleet.record_end(LATER, leaf, START, Ending::Cancelled);
    }

    fleet.update_reach(LATER);

    assert!(fleet.is_lost(&services()[0]));
}

#[test]
fn one_response_ends_the_loss() {
    let mut fleet = fleet(&services(), 3);
    let silent = [leafs(&fleet, 0), leafs(&fleet, 1)].concat();
    send(&mut fleet, &silent);
    fleet.update_reach(LATER);

    fleet.record_heard(LATER, silent[0]);

    assert!(!fleet.loss().is_cut_off());
    assert!(!fleet.is_lost(&services()[0]));
}

#[test]
fn a_service_without_leafs_is_not_lost() {
    let mut fleet = fleet(&services(), 3);
    let silent = [leafs(&fleet, 0), leafs(&fleet, 1)].concat();
    send(&mut fleet, &silent);
    fleet.update_reach(LATER);

    fleet.update(LATER, std::iter::empty());

    assert!(!fleet.is_lost(&services()[0]), "no other node reaches a leaf of it either");
}

#[test]
fn a_statement_about_very_many_services_is_bounded() {
    let many = shards(1_000);

    let loss = Loss::of(many.iter().map(|service| Service::of(service)));

    assert!(loss.is_cut_off());
}

/// Lets a second connection to each of these leafs fail while the first one answers.
fn refuse_new_connections(fleet: &mut Fleet, leafs: &[Key]) {
    let soon = START + USUAL;
    for leaf in leafs {
        fleet.record_send(START, *leaf, USUAL);
        fleet.record_send(soon, *leaf, USUAL);
        fleet.record_end(soon, *leaf, soon, Ending::Unreachable);
        fleet.record_end(soon + USUAL, *leaf, START, ANSWER);
    }
}

#[test]
fn a_node_whose_new_connections_fail_says_so_although_open_ones_live_on() {
    let mut fleet = fleet(&services(), 3);
    let refusing = [leafs(&fleet, 0)[0], leafs(&fleet, 0)[1], leafs(&fleet, 1)[0]];
    refuse_new_connections(&mut fleet, &refusing);

    fleet.update_reach(LATER);

    assert!(fleet.is_restricted());
    assert!(fleet.loss().is_cut_off(), "callers are better served by other nodes");
    assert!(services().iter().all(|service| !fleet.is_lost(service)));
    assert!(fleet.choose_lost_leafs().iter().all(|leaf| refusing.contains(leaf)));
}

#[test]
fn one_new_connection_ends_the_restriction() {
    let mut fleet = fleet(&services(), 3);
    let refusing = [leafs(&fleet, 0), leafs(&fleet, 1)].concat();
    refuse_new_connections(&mut fleet, &refusing);
    fleet.update_reach(LATER);

    fleet.record_connect(refusing[0], USUAL);
    fleet.update_reach(LATER);

    assert!(!fleet.is_restricted());
    assert_eq!(fleet.loss(), Loss::Nothing);
}

#[test]
fn leafs_of_one_service_that_refuse_connections_restrict_no_node() {
    let mut fleet = fleet(&services(), 3);
    let refusing = leafs(&fleet, 0);
    refuse_new_connections(&mut fleet, &refusing);

    fleet.update_reach(LATER);

    assert!(!fleet.is_restricted());
}
