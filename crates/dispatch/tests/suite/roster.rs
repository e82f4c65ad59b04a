use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_dispatch::roster::{Change, FORGET, Heartbeat, Node, Phase, Roster, SUSPECT};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn node(name: &str, started: u64) -> Node {
    Node {
        name: name.into(),
        started,
        zone: "z".into(),
        callers: SocketAddr::from(([10, 0, 0, 1], 80)),
        peers: SocketAddr::from(([10, 0, 0, 1], 81)),
        capacity: 1_000,
    }
}

fn beat(name: &str, phase: Phase) -> Heartbeat {
    Heartbeat { node: node(name, 1), phase, upto: 1, store_answers: true, active: true, load: 0 }
}

#[test]
fn callers_are_told_of_nodes_that_serve_and_are_heard() {
    let mut roster = Roster::default();
    roster.heartbeat(Time(0), &beat("a", Phase::Serving));
    roster.heartbeat(Time(0), &beat("b", Phase::Starting));

    assert_eq!(roster.serving(Time(0), None, "z").len(), 1);
    assert!(roster.serving(Time(0) + SUSPECT, None, "z").is_empty(), "a silent node isn't named");
}

#[test]
fn a_leaving_node_is_not_named() {
    let mut roster = Roster::default();
    roster.heartbeat(Time(0), &beat("a", Phase::Serving));

    let news = roster.heartbeat(Time(1), &beat("a", Phase::Leaving));

    assert!(news);
    assert!(roster.serving(Time(1), None, "z").is_empty());
}

#[test]
fn a_registration_that_lapsed_does_not_hide_a_node_that_is_heard() {
    let mut roster = Roster::default();
    roster.registered(Time(0), node("a", 1));
    roster.heartbeat(Time(0), &beat("a", Phase::Serving));

    roster.unregistered("a");

    assert_eq!(roster.serving(Time(0), None, "z").len(), 1);
}

#[test]
fn silent_nodes_without_registration_are_forgotten() {
    let mut roster = Roster::default();
    roster.heartbeat(Time(0), &beat("a", Phase::Serving));
    roster.registered(Time(0), node("b", 1));

    roster.expire(Time(0) + FORGET, &node("own", 1));

    let names: Vec<_> = roster.members().map(|member| member.node.name.to_string()).collect();
    assert_eq!(names, ["b"]);
}

#[test]
fn a_clock_that_was_set_back_does_not_hide_a_new_life() {
    let mut roster = Roster::default();
    let later = Heartbeat { node: node("a", 2_000), ..beat("a", Phase::Serving) };
    roster.heartbeat(Time(0), &later);

    roster.heartbeat(Time(1), &beat("a", Phase::Starting));

    assert!(roster.serving(Time(1), None, "z").is_empty());
}

#[test]
fn a_smaller_number_of_active_nodes_counts_only_after_a_while() {
    let hold = Duration::from_secs(10);
    let mut roster = Roster::default();
    roster.heartbeat(Time(0), &beat("a", Phase::Serving));
    assert_eq!(roster.active(Time(0), hold), 2);
    roster.expire(Time(0) + FORGET, &node("own", 1));

    assert_eq!(roster.active(Time(0) + hold, hold), 2);
    assert_eq!(roster.active(Time(1) + hold, hold), 1);
}

/// A heartbeat of one of many nodes, some strong and the rest weak.
fn one_of_many(number: usize, zone: &str, strong: bool, load: u16) -> Heartbeat {
    let name = format!("{zone}-{number:02}");
    let port = u16::try_from(1_000 + number).expect("few");
    let callers = SocketAddr::from(([10, 0, zone.len() as u8, 1], port));
    let capacity = if strong { 8_000 } else { 1_000 };
    let node = Node { zone: zone.into(), callers, capacity, ..node(&name, 1) };
    Heartbeat { node, load, ..beat(&name, Phase::Serving) }
}

fn many(load: u16) -> Roster {
    let mut roster = Roster::default();
    for number in 0..10 {
        roster.heartbeat(Time(0), &one_of_many(number, "z", number < 2, load));
        roster.heartbeat(Time(0), &one_of_many(number, "other", number < 2, load));
    }
    roster
}

#[test]
fn callers_are_sent_to_the_strong_nodes_of_their_zone_while_these_have_room() {
    let named = many(100).serving(Time(0), None, "z");

    assert_eq!(named.iter().map(SocketAddr::port).collect::<Vec<_>>(), [1_000, 1_001]);
}

#[test]
fn busy_strong_nodes_share_callers_with_the_weak_ones() {
    assert_eq!(many(900).serving(Time(0), None, "z").len(), 10);
}

#[test]
fn one_strong_node_is_not_enough() {
    let mut roster = many(100);
    let leaving = Heartbeat { phase: Phase::Leaving, ..one_of_many(1, "z", true, 100) };

    roster.heartbeat(Time(0), &leaving);

    assert_eq!(roster.serving(Time(0), None, "z").len(), 9);
}

#[test]
fn a_zone_with_few_nodes_borrows_those_of_others() {
    let mut roster = many(100);
    roster.heartbeat(Time(0), &one_of_many(0, "small", true, 0));

    let named = roster.serving(Time(0), None, "small");

    assert_eq!(named.len(), 5, "the strong ones of all zones");
    assert_eq!(named[0], SocketAddr::from(([10, 0, 5, 1], 1_000)), "its own comes first");
}

#[test]
fn the_first_node_of_a_zone_that_the_store_answers_follows_it() {
    let own = Node { zone: "z".into(), ..node("z-05", 1) };
    let mut roster = Roster::default();
    assert!(roster.is_follower_of_store(Time(0), &own));

    roster.heartbeat(Time(0), &one_of_many(1, "z", false, 0));
    assert!(!roster.is_follower_of_store(Time(0), &own));
    assert!(roster.is_follower_of_store(Time(0) + SUSPECT, &own), "a silent node doesn't count");

    let cut_off = Heartbeat { store_answers: false, ..one_of_many(1, "z", false, 0) };
    roster.heartbeat(Time(0), &cut_off);
    assert!(roster.is_follower_of_store(Time(0), &own));

    roster.heartbeat(Time(0), &one_of_many(1, "other", false, 0));
    assert!(roster.is_follower_of_store(Time(0), &own), "each zone has a follower of its own");
}

#[test]
fn heartbeats_stay_few_where_there_are_many_nodes() {
    let own = Node { zone: "z".into(), ..node("z-50", 1) };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut roster = Roster::default();
    for number in 0..100 {
        roster.heartbeat(Time(0), &one_of_many(number, "z", false, 0));
        roster.heartbeat(Time(0), &one_of_many(number, "other", false, 0));
    }

    let targets = roster.targets(&own, &mut rng).len();

    assert_eq!(targets, 34);
}

#[test]
fn the_silence_of_a_node_is_told_once_and_its_return_is_news() {
    let mut roster = Roster::default();
    let beat = beat("n-2", Phase::Serving);
    roster.heartbeat(Time(0), &beat);

    let silent = roster.expire(Time(0) + SUSPECT, &node("own", 1));
    let again = roster.expire(Time(1) + SUSPECT, &node("own", 1));
    let news = roster.heartbeat(Time(2) + SUSPECT, &beat);

    assert_eq!(silent, [("n-2".into(), Change::Silent)]);
    assert!(again.is_empty());
    assert!(news);
}

#[test]
fn every_heartbeat_in_a_large_zone_reaches_the_same_nodes() {
    let mut roster = Roster::default();
    for number in 0..178_u16 {
        let mut beat = beat(&format!("n-{number:03}"), Phase::Serving);
        beat.node.peers.set_port(number + 1);
        roster.heartbeat(Time(0), &beat);
    }
    let own = node("n-170a", 1);
    let mut rng = ChaCha8Rng::seed_from_u64(1);

    let rounds: Vec<Vec<u16>> = (0..100)
        .map(|_| roster.targets(&own, &mut rng).iter().map(SocketAddr::port).collect())
        .collect();

    let always = |port: &u16| rounds.iter().all(|round| round.contains(port));
    let constant: Vec<u16> = (1..=178).filter(always).collect();
    let expected: Vec<u16> = (1..=21).chain(172..=178).collect();
    assert_eq!(constant, expected, "the next 28 by name, the first after the last");
    let heard: HashSet<&u16> = rounds.iter().flatten().collect();
    assert!(heard.len() > 150, "the others hear it now and then");
}

#[test]
fn only_nodes_that_are_heard_without_gaps_are_told_silent_in_a_large_zone() {
    let mut roster = Roster::default();
    for number in 0..178 {
        roster.heartbeat(Time(0), &beat(&format!("n-{number:03}"), Phase::Serving));
    }

    let changes = roster.expire(Time(0) + SUSPECT, &node("n-020a", 1));

    assert_eq!(changes.len(), 28);
    assert!(changes.iter().any(|(name, _)| &**name == "n-020"));
    assert!(changes.iter().any(|(name, _)| &**name == "n-177"));
}

#[test]
fn two_lost_heartbeats_in_a_row_hide_no_node() {
    let interval = Duration::from_millis(250);
    let mut roster = Roster::default();
    roster.heartbeat(Time(0), &beat("a", Phase::Serving));

    let late = Time(0) + 3 * interval;

    assert_eq!(roster.serving(late, None, "z").len(), 1);
}
