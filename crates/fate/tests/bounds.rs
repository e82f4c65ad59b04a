//! Bounds on age, memory and number of fates, and how searches report them.

mod support;

use std::time::Duration;

use jacinthfall_core::coverage::Coverage;
use jacinthfall_core::refusal::{Cause, Ran};
use jacinthfall_core::time::Wall;
use jacinthfall_fate::{Event, Settings};
use support::{Network, cluster, fate};

#[test]
fn fate_expires_after_the_retention_time() {
    let settings = Settings { keep: Duration::from_secs(60), ..Settings::default() };
    let mut cluster = cluster(3, 3, settings, 1);
    cluster.record(0, "old", 1_000, Some(10));

    cluster.run(Duration::from_secs(50));
    let before = cluster.find(1, "old");
    cluster.run(Duration::from_secs(20));
    let after = cluster.find(1, "old");

    assert_eq!(before.fates.len(), 1);
    assert!(after.fates.is_empty());
    assert_eq!(after.reach, Duration::from_secs(60));
}

#[test]
fn eviction_shortens_the_reach_of_a_search() {
    let settings = Settings { budget_bytes: 20_000, ..Settings::default() };
    let mut cluster = cluster(3, 3, settings, 1);
    cluster.record(0, "first", 1_000, Some(10));
    cluster.run(Duration::from_secs(10));
    for number in 0..200 {
        cluster.record(0, &format!("later-{number}"), 11_000, Some(10));
    }
    cluster.run(Duration::from_secs(1));

    let answer = cluster.find(2, "first");

    assert!(answer.fates.is_empty());
    assert!(answer.reach < Duration::from_secs(10), "reach {:?} hides the eviction", answer.reach);
    for node in &cluster.nodes {
        let keeper = node.keeper.as_ref().unwrap();
        assert!(keeper.bytes() <= 20_000);
        assert!(keeper.counters().evicted > 0);
    }
}

#[test]
fn ordinary_fates_are_evicted_before_refusals() {
    let settings = Settings { budget_bytes: 40_000, ..Settings::default() };
    let mut cluster = cluster(3, 3, settings, 1);
    cluster.record(0, "refused", 1_000, Some(10));
    cluster.run(Duration::from_secs(1));
    for number in 0..400 {
        let mut ordinary =
            fate(&format!("ordinary-{number}"), &cluster.nodes[0].peer, 2_000, Some(10));
        ordinary.coverage = Some(Coverage { total: 30, answered: 30, missed: Vec::new() });
        cluster.handle(0, Event::Record(ordinary));
    }
    cluster.run(Duration::from_secs(1));

    assert_eq!(cluster.find(1, "refused").fates.len(), 1);
    assert!(cluster.find(1, "ordinary-0").fates.is_empty());
    assert_eq!(cluster.find(1, "ordinary-399").fates.len(), 1);
    assert!(cluster.nodes[1].keeper.as_ref().unwrap().bytes() <= 40_000);
}

#[test]
fn restarted_keeper_shortens_the_reach() {
    let mut cluster = cluster(3, 3, Settings::default(), 1);
    cluster.run(Duration::from_secs(100));
    let before = cluster.find(0, "unknown");

    cluster.restart(1);
    cluster.run(Duration::from_secs(5));
    let after = cluster.find(0, "unknown");

    assert!(before.complete && before.reach > Duration::from_secs(100));
    assert!(after.complete && after.reach < Duration::from_secs(6));
}

#[test]
fn unreachable_keeper_makes_a_search_incomplete() {
    let mut cluster = cluster(3, 3, Settings::default(), 1);
    cluster.record(0, "request", 1_000, Some(10));
    cluster.run(Duration::from_secs(1));
    cluster.isolated.insert(2);

    let answer = cluster.find(1, "request");

    assert_eq!(answer.fates.len(), 1);
    assert!(!answer.complete);
}

#[test]
fn unanswered_search_is_retried() {
    let mut cluster = cluster(3, 3, Settings::default(), 1);
    cluster.network = Network::DISCONNECTED;
    let find = Event::Find { token: jacinthfall_core::id::Token(1), request: "r".into() };
    cluster.handle(0, find);
    cluster.network = Network::RELIABLE;

    cluster.run(Duration::from_millis(400));
    let answer = cluster.find(0, "r");

    assert!(answer.complete);
    assert_eq!(cluster.nodes[0].keeper.as_ref().unwrap().counters().searches, 2);
}

#[test]
fn repeated_refusals_do_not_evict_the_fate_that_ran() {
    let mut cluster = cluster(3, 3, Settings::default(), 1);
    cluster.record(0, "invoice", 1_000, Some(10));
    for number in 0..40 {
        let mut refusal = fate("invoice", &cluster.nodes[0].peer, 2_000 + number, Some(1));
        refusal.ran = Ran::NotRun;
        refusal.refused = Some(Cause::Overloaded);
        cluster.handle(0, Event::Record(refusal));
    }
    cluster.run(Duration::from_secs(1));

    let answer = cluster.find(1, "invoice");

    assert!(answer.fates.iter().any(|fate| fate.ran == Ran::Ran));
    assert!(answer.fates.len() <= 17);
    assert!(!answer.complete, "a search after an eviction must be incomplete");
}

#[test]
fn earlier_state_does_not_replace_a_later_one() {
    let mut cluster = cluster(3, 3, Settings::default(), 1);
    cluster.network = Network { duplication: 1.0, ..Network::LOSSY };
    cluster.record_and_flush(0, "request", 1_000);
    cluster.record(0, "request", 1_000, Some(7));
    cluster.record(0, "request", 1_000, None);

    cluster.run(Duration::from_secs(20));
    cluster.network = Network::RELIABLE;

    for node in 0..3 {
        let fates = cluster.find(node, "request").fates;
        assert_eq!(fates.len(), 1);
        assert_eq!(fates[0].ended, Some(Wall(1_007)));
    }
}

#[test]
fn requests_in_progress_are_found_after_their_node_is_killed() {
    let mut cluster = cluster(8, 3, Settings::default(), 1);
    cluster.record_and_flush(0, "invoice", 1_000);
    cluster.run(Duration::from_millis(10));
    cluster.kill(0);
    cluster.record(1, "slow-read", 1_000, None);
    cluster.run(Duration::from_millis(400));
    cluster.kill(1);
    cluster.run(Duration::from_secs(3));

    for (request, server) in [("invoice", "node-0"), ("slow-read", "node-1")] {
        let fates = cluster.find(2, request).fates;
        assert_eq!(fates.len(), 1, "{request}");
        assert_eq!(fates[0].ended, None);
        assert_eq!(fates[0].ran, Ran::Unknown, "the node may have sent it to a leaf");
        assert_eq!(&*fates[0].node.node, server);
    }
}

#[test]
fn request_that_ends_early_is_copied_once_per_keeper() {
    let mut cluster = cluster(8, 3, Settings::default(), 1);
    for number in 0..100 {
        let request = format!("read-{number}");
        cluster.record(0, &request, 1_000, None);
        cluster.run(Duration::from_millis(20));
        cluster.record(0, &request, 1_000, Some(20));
    }
    cluster.run(Duration::from_secs(2));

    assert_eq!(cluster.nodes[0].keeper.as_ref().unwrap().counters().copies_sent, 200);
}

#[test]
fn single_node_hands_over_immediately() {
    let mut cluster = cluster(1, 1, Settings::default(), 1);
    cluster.record(0, "request", 1_000, Some(10));

    cluster.stop(0);

    assert_eq!(cluster.nodes[0].handed_over, 1);
}

#[test]
fn hand_over_ends_at_its_deadline_if_peers_are_unreachable() {
    let mut cluster = cluster(3, 3, Settings::default(), 1);
    cluster.isolated.insert(0);
    cluster.record(0, "request", 1_000, Some(10));
    cluster.stop(0);

    cluster.run(Duration::from_secs(29));
    let before = cluster.nodes[0].handed_over;
    cluster.run(Duration::from_secs(2));

    assert_eq!((before, cluster.nodes[0].handed_over), (0, 1));
    assert!(cluster.nodes[0].keeper.as_ref().unwrap().counters().copies_abandoned > 0);
}

#[test]
fn copies_that_a_killed_server_could_not_send_are_recopied() {
    let mut cluster = cluster(12, 4, Settings::default(), 1);
    let requests: Vec<String> = (0..40).map(|number| format!("request-{number}")).collect();
    cluster.isolated.insert(1);
    requests.iter().for_each(|request| cluster.record(0, request, 1_000, Some(10)));
    cluster.run(Duration::from_millis(200));

    cluster.kill(0);
    cluster.run(Duration::from_millis(50));
    cluster.isolated.clear();
    cluster.run(Duration::from_secs(12));

    for request in &requests {
        assert!(cluster.zones_storing(request, Some(Wall(1_010))) >= 2, "{request}");
    }
}

#[test]
fn stopping_keeper_hands_over_its_copies() {
    let mut cluster = cluster(8, 4, Settings::default(), 1);
    cluster.record(0, "request", 1_000, Some(10));
    cluster.run(Duration::from_secs(1));
    let keeper = cluster.keepers("request", 0)[0];

    cluster.handle(keeper, Event::HandOver);
    cluster.run(Duration::from_secs(1));

    assert_eq!(cluster.nodes[keeper].handed_over, 1);
    cluster.nodes[keeper].keeper = None;
    assert_eq!(cluster.zones_storing("request", Some(Wall(1_010))), 3);
}
