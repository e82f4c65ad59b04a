//! Membership over a simulated network, with one fault per test.

mod support;

use std::time::Duration;

use jacinthfall_member::Event;
use jacinthfall_wire::member::{Message, State};
use support::Fleet;

/// Time within which all nodes must know that a killed node is dead.
const DEATH_LIMIT: Duration = Duration::from_secs(8);

/// Time within which all nodes must know that a node is leaving.
const LEAVING_LIMIT: Duration = Duration::from_millis(250);

/// Time within which separated nodes must know each other again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(25);

/// Returns a fleet whose nodes know each other.
fn joined_fleet(count: usize, zones: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::open(count, zones, seed);
    let elapsed = fleet.run_until(Duration::from_secs(10), Fleet::all_alive);
    assert!(elapsed.is_some(), "{count} nodes did not join");
    fleet.run(Duration::from_secs(5));
    fleet
}

#[test]
fn nodes_in_the_vm_list_join() {
    for count in [1, 2, 3, 8, 40] {
        let fleet = joined_fleet(count, 3, 1);

        assert!(fleet.all_alive(), "{count} nodes");
    }
}

#[test]
fn a_killed_node_is_declared_dead_by_all() {
    for count in [2, 3, 8, 40] {
        let mut fleet = joined_fleet(count, 3, 2);

        fleet.kill(1);
        let elapsed = fleet.run_until(DEATH_LIMIT, |fleet| fleet.all_see(1, None));

        assert!(elapsed.is_some(), "{count} nodes");
    }
}

#[test]
fn a_leaving_node_is_known_at_once_and_dead_after_it_stops() {
    for count in [2, 8, 40] {
        let mut fleet = joined_fleet(count, 3, 3);

        fleet.handle(1, Event::Leave);
        let leaving = fleet.run_until(LEAVING_LIMIT, |f| f.all_see(1, Some(State::Leaving)));
        fleet.run(Duration::from_secs(60));
        let stays_leaving = fleet.all_see(1, Some(State::Leaving));
        fleet.kill(1);
        let dead = fleet.run_until(DEATH_LIMIT, |fleet| fleet.all_see(1, None));

        assert!(leaving.is_some(), "{count} nodes: not known as leaving");
        assert!(stays_leaving, "{count} nodes: not leaving while it replies");
        assert!(dead.is_some(), "{count} nodes: not dead after it was killed");
    }
}

#[test]
fn a_new_incarnation_replaces_a_dead_one() {
    let mut fleet = joined_fleet(8, 3, 4);

    fleet.kill(1);
    fleet.run(DEATH_LIMIT);
    fleet.start(1);
    let elapsed = fleet.run_until(RECOVERY_LIMIT, Fleet::all_alive);

    assert!(elapsed.is_some());
}

/// Returns the nodes of zone 2 of 3, and the others.
fn split(fleet: &Fleet) -> (Vec<usize>, Vec<usize>) {
    (0..fleet.nodes.len()).partition(|index| index % 3 == 2)
}

#[test]
fn a_partitioned_zone_is_suspect_and_recovers() {
    for (count, partition_s) in [(8, 300), (40, 100), (120, 60)] {
        let mut fleet = joined_fleet(count, 3, 5);
        let (zone, others) = split(&fleet);
        fleet.unaffected = (0..count).collect();

        zone.iter().for_each(|&index| fleet.network.partitions[index] = 1);
        let pairs = || others.iter().flat_map(|&a| zone.iter().map(move |&b| (a, b)));
        let suspects = |f: &Fleet, a, b| f.state(a, b) == Some(State::Suspect);
        let others_suspect = |f: &Fleet| pairs().all(|(a, b)| suspects(f, a, b));
        let zone_suspects = |f: &Fleet| pairs().all(|(a, b)| suspects(f, b, a));
        let others_elapsed = fleet.run_until(DEATH_LIMIT, others_suspect);
        let zone_elapsed = fleet.run_until(DEATH_LIMIT, zone_suspects);
        assert!(others_elapsed.is_some(), "{count} nodes: the others don't suspect the zone");
        assert!(zone_elapsed.is_some(), "{count} nodes: the zone doesn't suspect the others");
        fleet.run(Duration::from_secs(partition_s));
        zone.iter().for_each(|&index| fleet.network.partitions[index] = 0);
        let elapsed = fleet.run_until(RECOVERY_LIMIT, Fleet::all_alive);

        assert!(elapsed.is_some(), "{count} nodes: no recovery");
    }
}

#[test]
fn a_lost_zone_is_dead_once_the_vm_list_omits_it() {
    let mut fleet = joined_fleet(8, 3, 6);
    let (zone, others) = split(&fleet);
    zone.iter().for_each(|&index| fleet.kill(index));
    fleet.run(Duration::from_secs(60));
    let kept = zone.iter().all(|&index| fleet.all_see(index, Some(State::Suspect)));

    let mut list = fleet.vm_list();
    list.retain(|vm| others.iter().any(|&index| support::name(index) == vm.node));
    others.iter().for_each(|&index| fleet.handle(index, Event::Vms(list.clone())));
    fleet.run(Duration::from_secs(1));

    assert!(kept, "not suspect while they are in the list");
    assert!(
        zone.iter().all(|&index| fleet.all_see(index, None)),
        "not dead after they left the list"
    );
    assert!(fleet.all_alive());
}

#[test]
fn the_vm_list_does_not_override_gossip() {
    let mut fleet = joined_fleet(8, 3, 7);
    fleet.unaffected = (0..8).collect();
    let mut list = fleet.vm_list();
    list.retain(|vm| vm.node != support::name(1));

    (0..8).for_each(|index| fleet.handle(index, Event::Vms(list.clone())));
    fleet.run(Duration::from_secs(30));
    fleet.unaffected.remove(&2);
    fleet.kill(2);
    fleet.run(DEATH_LIMIT);
    (0..8).for_each(|index| fleet.handle(index, Event::Vms(list.clone())));

    assert!(fleet.all_see(1, Some(State::Alive)), "not alive though it replies");
    assert!(fleet.all_see(2, None), "not dead though it was killed");
}

#[test]
fn a_node_listed_as_leaving_retires_and_is_known_as_leaving() {
    let mut fleet = joined_fleet(8, 3, 8);
    let mut list = fleet.vm_list();
    list[1].leaving = true;

    fleet.handle(5, Event::Vms(list));
    let elapsed = fleet.run_until(LEAVING_LIMIT, |fleet| fleet.all_see(1, Some(State::Leaving)));

    assert!(elapsed.is_some());
    assert!(fleet.nodes[1].retired);
}

#[test]
fn a_replaced_incarnation_retires_and_its_rumors_are_ignored() {
    let mut fleet = joined_fleet(8, 3, 9);
    let earlier = fleet.nodes[1].own.clone();
    let mut later = earlier.clone();
    later.node.started += 1;

    let message = Message::Gossip { rumors: vec![later.clone()] };
    fleet.handle(0, Event::Frame { from: later.node.clone(), message: message.clone() });
    fleet.run(Duration::from_secs(1));
    let message = Message::Gossip { rumors: vec![earlier.clone()] };
    fleet.handle(0, Event::Frame { from: earlier.node, message });

    let view = fleet.nodes[0].engine.as_ref().unwrap().view();
    assert!(
        view.iter().any(|rumor| rumor.node == later.node),
        "the later incarnation is not known"
    );
    assert!(fleet.nodes[1].retired, "the earlier incarnation did not retire");
}

#[test]
fn a_node_that_was_frozen_refutes_and_declares_no_node_dead() {
    for count in [2, 3, 8, 40] {
        let mut fleet = joined_fleet(count, 3, 10);
        let others = (1..count).collect();

        fleet.freeze(0);
        fleet.run(Duration::from_secs(40));
        assert!(fleet.all_see(0, None), "{count} nodes: not dead while frozen");
        fleet.unaffected = others;
        fleet.resume(0);
        let elapsed = fleet.run_until(RECOVERY_LIMIT, Fleet::all_alive);

        assert!(elapsed.is_some(), "{count} nodes");
        assert!(!fleet.nodes[0].retired, "{count} nodes: the frozen node retired");
    }
}

#[test]
fn a_node_that_receives_nothing_does_not_make_others_suspect() {
    let mut fleet = joined_fleet(40, 3, 11);
    let others = 0..40;
    fleet.unaffected = (1..40).collect();

    fleet.network.blocked_links.extend(others.map(|other| (other, 0)));
    for _ in 0..300 {
        fleet.run(Duration::from_millis(100));
        let suspect = |&index: &usize| fleet.state(1, index) == Some(State::Suspect);
        let suspects = (1..40).filter(suspect).count();
        assert!(suspects <= 8, "{suspects} nodes are suspect in the view of node 1");
    }
    let considered_dead = fleet.all_see(0, None);
    fleet.network.blocked_links.clear();
    let elapsed = fleet.run_until(RECOVERY_LIMIT, Fleet::all_alive);

    assert!(considered_dead, "node 0 is not considered dead");
    assert!(elapsed.is_some());
}

#[test]
fn two_nodes_that_cannot_reach_each_other_stay_alive() {
    let mut fleet = joined_fleet(8, 3, 12);
    fleet.network.blocked_links.extend([(0, 7), (7, 0)]);

    for _ in 0..600 {
        fleet.run(Duration::from_millis(100));
        assert!(fleet.all_alive(), "a node is not alive although others reach it");
    }
}

#[test]
fn lost_updates_are_repaired_by_anti_entropy() {
    let mut fleet = joined_fleet(40, 3, 13);
    fleet.network.conditions.loss = 1.0;
    fleet.handle(1, Event::Leave);
    fleet.run(Duration::from_millis(400));
    fleet.network.conditions.loss = 0.0;

    let elapsed = fleet.run_until(RECOVERY_LIMIT, |fleet| fleet.all_see(1, Some(State::Leaving)));

    assert!(elapsed.is_some());
}

/// Guards against a node that suspects its peers after a short freeze. The replies that
/// arrive during the freeze are lost with their connections.
#[test]
fn a_node_frozen_for_a_moment_suspects_no_node() {
    let mut fleet = joined_fleet(8, 3, 14);
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
