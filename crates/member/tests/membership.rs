//! Membership of some nodes over a fake network, fault by fault.

mod support;

use std::time::Duration;

use jacinthfall_member::Event;
use jacinthfall_wire::member::{Message, State};
use support::Fleet;

/// Time within which a silent node is known to be dead.
const DEAD_BOUND: Duration = Duration::from_secs(8);

/// Time within which a leaving node is known to leave.
const LEAVE_BOUND: Duration = Duration::from_millis(250);

/// Time within which nodes that were apart know each other again.
const HEAL_BOUND: Duration = Duration::from_secs(25);

fn joined(count: usize, zones: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::open(count, zones, seed);
    let took = fleet.until(Duration::from_secs(10), Fleet::all_alive);
    assert!(took.is_some(), "{count} nodes meet");
    fleet.run(Duration::from_secs(5));
    fleet
}

#[test]
fn nodes_of_the_list_meet() {
    for count in [1, 2, 3, 8, 40] {
        let fleet = joined(count, 3, 1);

        assert!(fleet.all_alive(), "{count} nodes");
    }
}

#[test]
fn one_dead_node_is_known_by_all() {
    for count in [2, 3, 8, 40] {
        let mut fleet = joined(count, 3, 2);

        fleet.kill(1);
        let took = fleet.until(DEAD_BOUND, |fleet| fleet.all_see(1, None));

        assert!(took.is_some(), "{count} nodes");
    }
}

#[test]
fn a_leaving_node_is_known_at_once_and_dead_when_silent() {
    for count in [2, 8, 40] {
        let mut fleet = joined(count, 3, 3);

        fleet.give(1, Event::Leave);
        let leaving = fleet.until(LEAVE_BOUND, |f| f.all_see(1, Some(State::Leaving)));
        fleet.run(Duration::from_secs(60));
        let still = fleet.all_see(1, Some(State::Leaving));
        fleet.kill(1);
        let dead = fleet.until(DEAD_BOUND, |fleet| fleet.all_see(1, None));

        assert!(leaving.is_some(), "{count} nodes: known");
        assert!(still, "{count} nodes: leaving while it replies");
        assert!(dead.is_some(), "{count} nodes: dead when silent");
    }
}

#[test]
fn a_new_life_replaces_a_dead_one() {
    let mut fleet = joined(8, 3, 4);

    fleet.kill(1);
    fleet.run(DEAD_BOUND);
    fleet.start(1);
    let took = fleet.until(HEAL_BOUND, Fleet::all_alive);

    assert!(took.is_some());
}

/// Nodes of zone 2 of 3, and the others.
fn split(fleet: &Fleet) -> (Vec<usize>, Vec<usize>) {
    (0..fleet.nodes.len()).partition(|index| index % 3 == 2)
}

#[test]
fn a_zone_that_is_cut_off_is_suspect_and_heals() {
    for (count, lasts) in [(8, 300), (40, 100), (120, 60)] {
        let mut fleet = joined(count, 3, 5);
        let (zone, rest) = split(&fleet);
        fleet.untouched = (0..count).collect();

        zone.iter().for_each(|&index| fleet.network.partitions[index] = 1);
        let pairs = || rest.iter().flat_map(|&a| zone.iter().map(move |&b| (a, b)));
        let suspects = |f: &Fleet, a, b| f.state(a, b) == Some(State::Suspect);
        let rest_knows = |f: &Fleet| pairs().all(|(a, b)| suspects(f, a, b));
        let zone_knows = |f: &Fleet| pairs().all(|(a, b)| suspects(f, b, a));
        let rest_took = fleet.until(DEAD_BOUND, rest_knows);
        let zone_took = fleet.until(DEAD_BOUND, zone_knows);
        assert!(rest_took.is_some(), "{count} nodes: the rest knows");
        assert!(zone_took.is_some(), "{count} nodes: the zone knows");
        fleet.run(Duration::from_secs(lasts));
        zone.iter().for_each(|&index| fleet.network.partitions[index] = 0);
        let took = fleet.until(HEAL_BOUND, Fleet::all_alive);

        assert!(took.is_some(), "{count} nodes heal");
    }
}

#[test]
fn a_lost_zone_is_dead_once_the_vm_list_agrees() {
    let mut fleet = joined(8, 3, 6);
    let (zone, rest) = split(&fleet);
    zone.iter().for_each(|&index| fleet.kill(index));
    fleet.run(Duration::from_secs(60));
    let kept = zone.iter().all(|&index| fleet.all_see(index, Some(State::Suspect)));

    let mut list = fleet.list();
    list.retain(|vm| rest.iter().any(|&index| support::name(index) == vm.node));
    rest.iter().for_each(|&index| fleet.give(index, Event::Vms(list.clone())));
    fleet.run(Duration::from_secs(1));

    assert!(kept, "suspect while the list names them");
    assert!(zone.iter().all(|&index| fleet.all_see(index, None)), "dead without the list");
    assert!(fleet.all_alive());
}

#[test]
fn the_vm_list_overrules_no_live_proof() {
    let mut fleet = joined(8, 3, 7);
    fleet.untouched = (0..8).collect();
    let mut list = fleet.list();
    list.retain(|vm| vm.node != support::name(1));

    (0..8).for_each(|index| fleet.give(index, Event::Vms(list.clone())));
    fleet.run(Duration::from_secs(30));
    fleet.untouched.remove(&2);
    fleet.kill(2);
    fleet.run(DEAD_BOUND);
    (0..8).for_each(|index| fleet.give(index, Event::Vms(list.clone())));

    assert!(fleet.all_see(1, Some(State::Alive)), "alive though not listed");
    assert!(fleet.all_see(2, None), "dead though listed");
}

#[test]
fn a_node_listed_as_leaving_retires_and_is_known_to_leave() {
    let mut fleet = joined(8, 3, 8);
    let mut list = fleet.list();
    list[1].leaving = true;

    fleet.give(5, Event::Vms(list));
    let took = fleet.until(LEAVE_BOUND, |fleet| fleet.all_see(1, Some(State::Leaving)));

    assert!(took.is_some());
    assert!(fleet.nodes[1].retired);
}

#[test]
fn a_replaced_life_retires_and_is_not_heard() {
    let mut fleet = joined(8, 3, 9);
    let earlier = fleet.nodes[1].own.clone();
    let mut later = earlier.clone();
    later.node.started += 1;

    let message = Message::Gossip { rumors: vec![later.clone()] };
    fleet.give(0, Event::Frame { from: later.node.clone(), message: message.clone() });
    fleet.run(Duration::from_secs(1));
    let message = Message::Gossip { rumors: vec![earlier.clone()] };
    fleet.give(0, Event::Frame { from: earlier.node, message });

    let view = fleet.nodes[0].engine.as_ref().unwrap().view();
    assert!(view.iter().any(|rumor| rumor.node == later.node), "the later life is known");
    assert!(fleet.nodes[1].retired, "the earlier life stops");
}

#[test]
fn a_frozen_node_refutes_and_evicts_nobody() {
    for count in [2, 3, 8, 40] {
        let mut fleet = joined(count, 3, 10);
        let others = (1..count).collect();

        fleet.freeze(0);
        fleet.run(Duration::from_secs(40));
        assert!(fleet.all_see(0, None), "{count} nodes: dead while frozen");
        fleet.untouched = others;
        fleet.resume(0);
        let took = fleet.until(HEAL_BOUND, Fleet::all_alive);

        assert!(took.is_some(), "{count} nodes");
        assert!(!fleet.nodes[0].retired, "{count} nodes: it goes on");
    }
}

#[test]
fn a_node_that_hears_nothing_does_not_make_others_suspect() {
    let mut fleet = joined(40, 3, 11);
    let others = 0..40;
    fleet.untouched = (1..40).collect();

    fleet.network.blocked_links.extend(others.map(|other| (other, 0)));
    for _ in 0..300 {
        fleet.run(Duration::from_millis(100));
        let suspect = |&index: &usize| fleet.state(1, index) == Some(State::Suspect);
        let suspects = (1..40).filter(suspect).count();
        assert!(suspects <= 8, "{suspects} nodes are suspect to others");
    }
    let doubted = fleet.all_see(0, None);
    fleet.network.blocked_links.clear();
    let took = fleet.until(HEAL_BOUND, Fleet::all_alive);

    assert!(doubted, "it counts as dead itself");
    assert!(took.is_some());
}

#[test]
fn two_nodes_that_dont_reach_each_other_stay_alive() {
    let mut fleet = joined(8, 3, 12);
    fleet.network.blocked_links.extend([(0, 7), (7, 0)]);

    for _ in 0..600 {
        fleet.run(Duration::from_millis(100));
        assert!(fleet.all_alive(), "others vouch for them");
    }
}

#[test]
fn lost_news_are_repaired_by_comparison() {
    let mut fleet = joined(40, 3, 13);
    fleet.network.conditions.loss = 1.0;
    fleet.give(1, Event::Leave);
    fleet.run(Duration::from_millis(400));
    fleet.network.conditions.loss = 0.0;

    let took = fleet.until(HEAL_BOUND, |fleet| fleet.all_see(1, Some(State::Leaving)));

    assert!(took.is_some());
}

/// The replies that came during the freeze are lost with their connections.
#[test]
fn a_node_frozen_for_a_moment_suspects_nobody() {
    let mut fleet = joined(8, 3, 14);
    fleet.network.conditions.min_delay = 200_000;
    fleet.network.conditions.max_delay = 200_000;
    fleet.run(Duration::from_secs(2));

    fleet.freeze(0);
    fleet.run(Duration::from_millis(2_500));
    let held = fleet.nodes[0].frozen.as_mut().unwrap();
    held.retain(|item| matches!(item, support::Item::Wake(_)));
    fleet.resume(0);

    for other in 1..8 {
        assert_eq!(fleet.state(0, other), Some(State::Alive), "node {other}");
    }
}
