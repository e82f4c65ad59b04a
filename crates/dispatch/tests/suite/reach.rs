//! Which services a node reaches, by how its sends end.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Ending, Fleet, Key};
use jacinthfall_dispatch::quarantine::Service;
use jacinthfall_dispatch::reach::Loss;
use jacinthfall_dispatch::relay::{Lack, Trial};

use crate::support::{fleet, gather, shards, single};

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

/// Returns a node with three leafs of each of `count` shards, none of which responds for the first
/// `silent` shards.
fn node_without(silent: usize, count: usize) -> Fleet {
    let services = shards(count);
    let mut fleet = fleet(&services, 3);
    for service in &services {
        let heard = fleet.leafs(service)[0];
        fleet.record_heard(START, heard);
    }
    for (number, service) in services.iter().take(silent).enumerate() {
        let leafs = fleet.leafs(service).to_vec();
        // A leaf of another shard responds later than each send, so the node isn't cut off.
        let sent = START + Duration::from_millis(1 + number as u64);
        leafs.iter().for_each(|leaf| fleet.record_send(sent, *leaf, USUAL));
    }
    let answering = fleet.leafs(&services[count - 1])[0];
    fleet.record_heard(START + Duration::from_millis(500), answering);
    fleet.update_reach(LATER);
    fleet
}

#[test]
fn a_query_that_is_answerable_without_its_lost_shards_requires_no_other_node() {
    // Queries were sent to other nodes while a crashed shard was lost to all of them, and were
    // refused or failed there: with one of 36 shards gone, half of the callers were late.
    let fleet = node_without(1, 36);

    let lack = Lack::of(&fleet, &gather(shards(36), 0.95).target, None);

    assert!(!fleet.loss().is_cut_off());
    assert_eq!(lack, Lack::Optional(vec![Service::of(&shards(36)[0])]));
}

#[test]
fn a_query_that_is_not_answerable_without_its_lost_shards_requires_them() {
    let fleet = node_without(2, 36);

    let lack = Lack::of(&fleet, &gather(shards(36), 0.95).target, None);

    let lost = shards(36)[..2].iter().map(|name| Service::of(name)).collect();
    assert_eq!(lack, Lack::Required(lost));
}

#[test]
fn a_node_that_is_cut_off_requires_another_node_for_every_request() {
    let services = shards(2);
    let mut fleet = fleet(&services, 3);
    let silent = [leafs(&fleet, 0), leafs(&fleet, 1)].concat();
    send(&mut fleet, &silent);
    fleet.update_reach(LATER);

    let query = Lack::of(&fleet, &gather(services.clone(), 0.0).target, None);
    let request = Lack::of(&fleet, &single(&services[0], true).target, None);

    assert!(matches!(query, Lack::Required(lost) if lost.len() == 2));
    assert_eq!(request, Lack::Required(vec![Service::of(&services[0])]));
}

#[test]
fn a_request_to_a_service_that_is_not_lost_lacks_nothing() {
    let fleet = node_without(1, 36);

    let lack = Lack::of(&fleet, &single(&shards(36)[1], true).target, None);

    assert_eq!(lack, Lack::Nothing);
}

#[test]
fn queries_go_to_other_nodes_as_long_as_these_answer_whole() {
    let mut trial = Trial::default();
    assert!(trial.start(START));
    trial.end(START, Some(true));

    let whole = (0..10).filter(|_| trial.start(START)).count();

    assert_eq!(whole, 10);
}

#[test]
fn few_queries_go_to_other_nodes_that_lack_the_shards_too() {
    // One query in flight at a time, 50 ms each, over 10 s.
    let mut trial = Trial::default();
    let mut sent = 0;

    for step in 0..200 {
        let now = START + Duration::from_millis(50) * step;
        if trial.start(now) {
            sent += 1;
            assert!(!trial.start(now), "a second query before the first one has ended");
            trial.end(now + Duration::from_millis(40), Some(false));
        }
    }

    assert!((2..=4).contains(&sent), "{sent} of 200 queries");
}
