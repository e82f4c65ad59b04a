//! Replication of configuration records over a simulated network and store, with
//! one fault per test.

mod support;

use std::time::Duration;

use jacinthfall_config::{Action, Engine, Event, Peer};
use jacinthfall_core::time::Time;
use jacinthfall_wire::configuration::Message;
use support::Fleet;

/// Time within which a change must be in force on all nodes of a small cluster.
const SMALL_CLUSTER_LIMIT: Duration = Duration::from_millis(250);

/// Time within which a change must be in force on all nodes of a large cluster.
const LARGE_CLUSTER_LIMIT: Duration = Duration::from_secs(3);

/// Returns a fleet whose nodes are all current and have been idle for a while.
fn settled_fleet(count: usize, zones: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::open(count, zones, seed);
    let elapsed = fleet.run_until(Duration::from_secs(10), Fleet::all_current);
    assert!(elapsed.is_some(), "{count} nodes did not start");
    fleet.run(Duration::from_secs(10));
    fleet
}

#[test]
fn a_change_reaches_every_node_within_the_limit() {
    for (count, limit) in [
        (1, SMALL_CLUSTER_LIMIT),
        (2, SMALL_CLUSTER_LIMIT),
        (8, SMALL_CLUSTER_LIMIT),
        (200, LARGE_CLUSTER_LIMIT),
    ] {
        let mut fleet = settled_fleet(count, 3, 1);

        fleet.write("desk");
        let elapsed = fleet.run_until(limit, Fleet::all_current);

        assert!(elapsed.is_some(), "{count} nodes");
    }
}

#[test]
fn a_change_through_a_node_spreads_without_a_watch() {
    let mut fleet = settled_fleet(8, 3, 2);
    fleet.stop_store();

    fleet.write_through(5, "desk");
    let elapsed = fleet.run_until(SMALL_CLUSTER_LIMIT, Fleet::all_current);

    assert!(elapsed.is_some());
}

#[test]
fn a_frozen_watcher_delays_no_other_node() {
    for (count, limit) in [(8, SMALL_CLUSTER_LIMIT), (200, LARGE_CLUSTER_LIMIT)] {
        for watcher in watchers(&settled_fleet(count, 3, 3)) {
            let mut fleet = settled_fleet(count, 3, 3);

            fleet.freeze(watcher);
            fleet.write("desk");
            let elapsed = fleet.run_until(limit, Fleet::all_current);

            assert!(elapsed.is_some(), "{count} nodes, node {watcher} frozen");
        }
    }
}

#[test]
fn a_few_watchers_confirm_the_records_of_all_nodes() {
    // Maximum age: two watches, one pull per level and one second of margin.
    // Calls to start: three watchers, one call every 3 s, for the 20 s that the
    // start may take. Calls per minute: three watchers, one call every 3 s.
    for (count, max_age_s) in [(8, 11), (200, 19)] {
        let mut fleet = settled_fleet(count, 3, 4);
        assert!(fleet.store.calls <= 21, "{} calls to start {count} nodes", fleet.store.calls);
        let calls_before = fleet.store.calls;

        for _ in 0..600 {
            fleet.run(Duration::from_millis(100));
            let unconfirmed = fleet.running().map(|i| fleet.status(i).unwrap().unconfirmed).max();
            assert!(unconfirmed < Some(Duration::from_secs(max_age_s)), "{count}: {unconfirmed:?}");
        }

        let calls = fleet.store.calls - calls_before;
        assert!(calls <= 63, "{calls} calls per minute by {count} nodes");
    }
}

#[test]
fn nodes_without_the_store_keep_their_records_report_their_age_and_call_rarely() {
    for count in [8, 100] {
        let mut fleet = settled_fleet(count, 3, 5);
        fleet.stop_store();
        fleet.run(Duration::from_secs(60));
        let calls_before = fleet.store.calls;

        fleet.run(Duration::from_secs(60));

        let calls = fleet.store.calls - calls_before;
        assert!(calls <= 100, "{calls} calls per minute by {count} nodes");
        for index in 0..count {
            let status = fleet.status(index).unwrap();
            assert!(
                status.ready && status.revisions.len() == 1,
                "node {index} lost its configuration"
            );
            assert!(
                status.unconfirmed >= Duration::from_secs(115),
                "node {index} does not report the age of its configuration"
            );
        }
        fleet.store.up = true;
        let confirmed = |fleet: &Fleet| {
            let limit = jacinthfall_config::WARN_AFTER;
            fleet.running().all(|index| fleet.status(index).unwrap().unconfirmed < limit)
        };
        assert!(
            fleet.run_until(Duration::from_secs(40), confirmed).is_some(),
            "{count} nodes did not recover"
        );
    }
}

#[test]
fn others_take_over_from_watchers_that_dont_reach_the_store() {
    for count in [8, 100] {
        let mut fleet = settled_fleet(count, 3, 6);
        for watcher in watchers(&fleet) {
            fleet.nodes[watcher].reaches_store = false;
        }

        fleet.write("desk");
        let elapsed = fleet.run_until(Duration::from_secs(60), Fleet::all_current);

        assert!(elapsed.is_some(), "{count} nodes");
    }
}

#[test]
fn nodes_without_store_and_peers_are_not_ready() {
    let mut fleet = settled_fleet(8, 3, 7);
    fleet.stop_store();
    (0..8).for_each(|index| fleet.kill(index));
    (0..8).for_each(|index| fleet.start(index));

    fleet.run(Duration::from_secs(60));
    let ready = (0..8).filter(|&index| fleet.status(index).unwrap().ready).count();
    fleet.store.up = true;
    let elapsed = fleet.run_until(Duration::from_secs(30), Fleet::all_current);

    assert_eq!(ready, 0);
    assert!(elapsed.is_some());
}

/// Guards against a node that becomes ready with the records of a single outdated
/// zone. Zone 1 misses a change while it reaches neither the store nor its peers.
/// Then the store goes down, and a node starts when zone 1 has just reconnected.
#[test]
fn a_node_that_starts_without_the_store_asks_more_than_one_zone() {
    for seed in 0..40 {
        let mut fleet = settled_fleet(9, 3, seed);
        let stale = [1, 4, 7];
        fleet.kill(2);
        stale.iter().for_each(|&index| fleet.nodes[index].reaches_store = false);
        stale.iter().for_each(|&index| fleet.move_to_partition(index, 1));
        fleet.run(Duration::from_secs(6));
        fleet.write("desk");
        fleet.run(Duration::from_secs(6));
        fleet.stop_store();

        stale.iter().for_each(|&index| fleet.network.partitions[index] = 0);
        fleet.start(2);
        let ready = |fleet: &Fleet| fleet.status(2).unwrap().ready;
        let elapsed = fleet.run_until(Duration::from_secs(10), ready);

        assert!(elapsed.is_some(), "seed {seed}: not ready");
        assert!(fleet.is_current(2), "seed {seed}: ready with an old revision");
    }
}

#[test]
fn a_rolling_restart_without_the_store_keeps_the_newest_records() {
    let mut fleet = settled_fleet(8, 3, 8);
    fleet.write("desk");
    fleet.run(Duration::from_millis(250));
    fleet.stop_store();

    for index in 0..8 {
        fleet.kill(index);
        fleet.run(Duration::from_secs(6));
        fleet.start(index);
        let elapsed = fleet.run_until(Duration::from_secs(6), |fleet| fleet.is_current(index));
        assert!(elapsed.is_some(), "node {index}");
    }

    assert!(fleet.all_current());
}

fn watchers(fleet: &Fleet) -> Vec<usize> {
    fleet.running().filter(|&index| fleet.status(index).unwrap().watching).collect()
}

/// Returns the id of the first pull of a new engine.
fn first_pull(engine: &mut Engine) -> u64 {
    let peer = Peer { node: "node-0".into(), zone: "zone-0".into() };
    let mut actions = engine.handle(Time(0), Event::Peers(vec![peer]));
    actions.extend(engine.handle(Time::from_millis(600), Event::Wake));
    let pull = actions.iter().find_map(|action| match action {
        Action::Send { message: Message::Pull { id: pull, .. }, .. } => Some(*pull),
        _ => None,
    });
    pull.expect("a starting node sends a pull")
}

#[test]
fn a_reply_to_an_earlier_incarnation_confirms_nothing() {
    let own = Peer { node: "node-1".into(), zone: "zone-1".into() };
    let mut earlier = Engine::open(own.clone(), 1);
    let mut current = Engine::open(own, 2);
    let pull = first_pull(&mut earlier);
    first_pull(&mut current);

    let message =
        Message::PullReply { id: pull, ready: true, age_ms: Some(0), entries: Vec::new() };
    current.handle(Time::from_millis(700), Event::Frame { from: "node-0".into(), message });

    assert!(!current.status(Time::from_millis(700)).ready);
}
