use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::reach::Loss;
use jacinthfall_dispatch::roster::{
    Change, Demand, FORGET_AFTER, Heartbeat, Node, Own, Phase, Roster, SUSPECT_AFTER,
};
use jacinthfall_dispatch::transfer::Rank;

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

fn rank(version: u64) -> Rank {
    Rank { version, at: Position::START }
}

fn beat(name: &str, phase: Phase) -> Heartbeat {
    Heartbeat {
        node: node(name, 1),
        phase,
        upto: Position::new(0, 1),
        configuration: Rank::default(),
        store_answers: true,
        active: true,
        load: 0,
        demand: Demand::default(),
        loss: Loss::Nothing,
    }
}

#[test]
fn callers_are_given_only_serving_nodes_with_recent_heartbeats() {
    let mut roster = Roster::default();
    roster.record_heartbeat(Time(0), &beat("a", Phase::Serving));
    roster.record_heartbeat(Time(0), &beat("b", Phase::Starting));

    assert_eq!(roster.caller_addresses(Time(0), None, "z").len(), 1);
    assert!(
        roster.caller_addresses(Time(0) + SUSPECT_AFTER, None, "z").is_empty(),
        "a silent node isn't used"
    );
}

#[test]
fn a_leaving_node_is_not_given_to_callers() {
    let mut roster = Roster::default();
    roster.record_heartbeat(Time(0), &beat("a", Phase::Serving));

    let changed = roster.record_heartbeat(Time(1), &beat("a", Phase::Leaving));

    assert!(changed);
    assert!(roster.caller_addresses(Time(1), None, "z").is_empty());
}

#[test]
fn a_node_with_recent_heartbeats_is_used_without_a_registration() {
    let mut roster = Roster::default();
    roster.record_registration(Time(0), node("a", 1));
    roster.record_heartbeat(Time(0), &beat("a", Phase::Serving));

    roster.remove_registration("a");

    assert_eq!(roster.caller_addresses(Time(0), None, "z").len(), 1);
}

#[test]
fn silent_nodes_without_registration_are_removed() {
    let mut roster = Roster::default();
    roster.record_heartbeat(Time(0), &beat("a", Phase::Serving));
    roster.record_registration(Time(0), node("b", 1));

    roster.expire(Time(0) + FORGET_AFTER, &node("own", 1));

    let names: Vec<_> = roster.members().map(|member| member.node.name.to_string()).collect();
    assert_eq!(names, ["b"]);
}

#[test]
fn a_restarted_node_is_recognised_even_if_its_clock_was_set_back() {
    let mut roster = Roster::default();
    let later = Heartbeat { node: node("a", 2_000), ..beat("a", Phase::Serving) };
    roster.record_heartbeat(Time(0), &later);

    roster.record_heartbeat(Time(1), &beat("a", Phase::Starting));

    assert!(roster.caller_addresses(Time(1), None, "z").is_empty());
}

#[test]
fn the_number_of_active_nodes_is_reduced_only_after_the_hold_time() {
    let hold = Duration::from_secs(10);
    let mut roster = Roster::default();
    roster.record_heartbeat(Time(0), &beat("a", Phase::Serving));
    assert_eq!(roster.active_nodes(Time(0), hold), 2);
    roster.expire(Time(0) + FORGET_AFTER, &node("own", 1));

    assert_eq!(roster.active_nodes(Time(0) + hold, hold), 2);
    assert_eq!(roster.active_nodes(Time(1) + hold, hold), 1);
}

/// Returns the heartbeat of one node of a large deployment, with high or low capacity.
fn large_deployment_heartbeat(number: usize, zone: &str, strong: bool, load: u16) -> Heartbeat {
    let name = format!("{zone}-{number:02}");
    let port = u16::try_from(1_000 + number).expect("few");
    let callers = SocketAddr::from(([10, 0, zone.len() as u8, 1], port));
    let capacity = if strong { 8_000 } else { 1_000 };
    let node = Node { zone: zone.into(), callers, peers: callers, capacity, ..node(&name, 1) };
    Heartbeat { node, load, ..beat(&name, Phase::Serving) }
}

fn large_deployment(load: u16) -> Roster {
    let mut roster = Roster::default();
    for number in 0..10 {
        roster
            .record_heartbeat(Time(0), &large_deployment_heartbeat(number, "z", number < 2, load));
        roster.record_heartbeat(
            Time(0),
            &large_deployment_heartbeat(number, "other", number < 2, load),
        );
    }
    roster
}

#[test]
fn callers_are_given_the_strong_nodes_of_their_zone_while_these_have_capacity() {
    let addresses = large_deployment(100).caller_addresses(Time(0), None, "z");

    assert_eq!(addresses.iter().map(SocketAddr::port).collect::<Vec<_>>(), [1_000, 1_001]);
}

#[test]
fn callers_are_given_weak_nodes_too_while_the_strong_ones_are_busy() {
    assert_eq!(large_deployment(900).caller_addresses(Time(0), None, "z").len(), 10);
}

#[test]
fn callers_are_given_weak_nodes_too_if_only_one_strong_node_serves() {
    let mut roster = large_deployment(100);
    let leaving =
        Heartbeat { phase: Phase::Leaving, ..large_deployment_heartbeat(1, "z", true, 100) };

    roster.record_heartbeat(Time(0), &leaving);

    assert_eq!(roster.caller_addresses(Time(0), None, "z").len(), 9);
}

/// 61 nodes of a zone, three of them strong, exchange heartbeats. Each of them may be asked.
#[test]
fn every_node_of_a_large_zone_names_its_strong_nodes_to_callers() {
    for seed in 1..=3 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let beats: Vec<Heartbeat> = (0..61)
            .map(|number| large_deployment_heartbeat(number, "z", number % 25 == 3, 100))
            .collect();
        let mut rosters: Vec<Roster> = beats.iter().map(|_| Roster::default()).collect();
        for (own, roster) in rosters.iter_mut().enumerate() {
            let others = beats.iter().enumerate().filter(|(number, _)| *number != own);
            others.for_each(|(_, beat)| _ = roster.record_heartbeat(Time(0), beat));
        }

        let mut now = Time(0);
        for _ in 0..40 {
            now = now + Duration::from_millis(250);
            for own in 0..beats.len() {
                let targets = rosters[own].heartbeat_targets(&beats[own].node, &mut rng);
                for (number, roster) in rosters.iter_mut().enumerate() {
                    if targets.contains(&beats[number].node.peers) {
                        roster.record_heartbeat(now, &beats[own]);
                    }
                }
            }
        }

        for (beat, roster) in beats.iter().zip(&rosters) {
            let own = Some(Own { node: &beat.node, is_cut_off: false });
            let ports = roster.caller_addresses(now, own, "z");
            let ports: Vec<u16> = ports.iter().map(SocketAddr::port).collect();
            assert_eq!(ports, [1_003, 1_028, 1_053], "asked {}", beat.node.name);
        }
    }
}

#[test]
fn callers_in_a_zone_with_few_nodes_are_given_nodes_of_other_zones() {
    let mut roster = large_deployment(100);
    roster.record_heartbeat(Time(0), &large_deployment_heartbeat(0, "small", true, 0));

    let addresses = roster.caller_addresses(Time(0), None, "small");

    assert_eq!(addresses.len(), 5, "the strong nodes of all zones");
    assert_eq!(addresses[0], SocketAddr::from(([10, 0, 5, 1], 1_000)), "its own comes first");
}

#[test]
fn the_first_node_of_a_zone_that_reaches_the_store_follows_it() {
    let own = Node { zone: "z".into(), ..node("z-05", 1) };
    let mut roster = Roster::default();
    assert!(roster.is_follower_of_store(Time(0), &own));

    roster.record_heartbeat(Time(0), &large_deployment_heartbeat(1, "z", false, 0));
    assert!(!roster.is_follower_of_store(Time(0), &own));
    assert!(
        roster.is_follower_of_store(Time(0) + SUSPECT_AFTER, &own),
        "a silent node doesn't count"
    );

    let cut_off =
        Heartbeat { store_answers: false, ..large_deployment_heartbeat(1, "z", false, 0) };
    roster.record_heartbeat(Time(0), &cut_off);
    assert!(roster.is_follower_of_store(Time(0), &own));

    roster.record_heartbeat(Time(0), &large_deployment_heartbeat(1, "other", false, 0));
    assert!(roster.is_follower_of_store(Time(0), &own), "each zone has a follower of its own");
}

#[test]
fn few_nodes_of_a_zone_try_a_store_that_answers_none() {
    // Each node of a zone watched on its own while the store was down: 700 calls in 6 s.
    let names: Vec<Node> = (0..19).map(|number| node(&format!("z-{number:02}"), 1)).collect();
    let zone = |node: &Node| Node { zone: "z".into(), ..node.clone() };
    let probers = |answered: Option<usize>| {
        let probes = |own: &&Node| {
            let mut roster = Roster::default();
            for (number, other) in names.iter().enumerate().filter(|(_, n)| n.name != own.name) {
                let beat = beat(&other.name, Phase::Serving);
                let store_answers = answered == Some(number);
                let beat = Heartbeat { node: zone(other), store_answers, ..beat };
                roster.record_heartbeat(Time(0), &beat);
            }
            roster.is_prober_of_store(Time(0), &zone(own))
        };
        names.iter().filter(probes).count()
    };

    assert_eq!(probers(None), 2);
    assert_eq!(probers(Some(0)), 1, "the first one is answered, the others leave it to that one");
    assert_eq!(probers(Some(18)), 2, "until the nodes before it are answered too");
}

#[test]
fn the_number_of_heartbeat_targets_is_bounded_in_a_large_deployment() {
    let own = Node { zone: "z".into(), ..node("z-50", 1) };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut roster = Roster::default();
    for number in 0..100 {
        roster.record_heartbeat(Time(0), &large_deployment_heartbeat(number, "z", false, 0));
        roster.record_heartbeat(Time(0), &large_deployment_heartbeat(number, "other", false, 0));
    }

    let targets = roster.heartbeat_targets(&own, &mut rng).len();

    assert_eq!(targets, 34);
}

#[test]
fn the_silence_of_a_node_is_reported_once_and_its_next_heartbeat_is_a_change() {
    let mut roster = Roster::default();
    let beat = beat("n-2", Phase::Serving);
    roster.record_heartbeat(Time(0), &beat);

    let silent = roster.expire(Time(0) + SUSPECT_AFTER, &node("own", 1));
    let repeated = roster.expire(Time(1) + SUSPECT_AFTER, &node("own", 1));
    let changed = roster.record_heartbeat(Time(2) + SUSPECT_AFTER, &beat);

    assert_eq!(silent, [("n-2".into(), Change::Silent)]);
    assert!(repeated.is_empty());
    assert!(changed);
}

#[test]
fn every_heartbeat_in_a_large_zone_reaches_the_same_ring_neighbours() {
    let mut roster = Roster::default();
    for number in 0..178_u16 {
        let mut beat = beat(&format!("n-{number:03}"), Phase::Serving);
        beat.node.peers.set_port(number + 1);
        roster.record_heartbeat(Time(0), &beat);
    }
    let own = node("n-170a", 1);
    let mut rng = ChaCha8Rng::seed_from_u64(1);

    let rounds: Vec<Vec<u16>> = (0..100)
        .map(|_| roster.heartbeat_targets(&own, &mut rng).iter().map(SocketAddr::port).collect())
        .collect();

    let always = |port: &u16| rounds.iter().all(|round| round.contains(port));
    let constant: Vec<u16> = (1..=178).filter(always).collect();
    let expected: Vec<u16> = (1..=21).chain(172..=178).collect();
    assert_eq!(constant, expected, "the next 28 by name, in circular order");
    let heard: HashSet<&u16> = rounds.iter().flatten().collect();
    assert!(heard.len() > 150, "the random sample reaches most of the others");
}

#[test]
fn only_ring_neighbours_are_reported_silent_in_a_large_zone() {
    let mut roster = Roster::default();
    for number in 0..178 {
        roster.record_heartbeat(Time(0), &beat(&format!("n-{number:03}"), Phase::Serving));
    }

    let changes = roster.expire(Time(0) + SUSPECT_AFTER, &node("n-020a", 1));

    assert_eq!(changes.len(), 28);
    assert!(changes.iter().any(|(name, _)| &**name == "n-020"));
    assert!(changes.iter().any(|(name, _)| &**name == "n-177"));
}

#[test]
fn a_node_is_still_used_after_two_lost_heartbeats_in_a_row() {
    let interval = Duration::from_millis(250);
    let mut roster = Roster::default();
    roster.record_heartbeat(Time(0), &beat("a", Phase::Serving));

    let late = Time(0) + 3 * interval;

    assert_eq!(roster.caller_addresses(late, None, "z").len(), 1);
}

#[test]
fn a_later_configuration_comes_from_the_own_zone_if_a_node_there_has_it() {
    let own = node("own", 1);
    let mut roster = Roster::default();
    let far = Node { zone: "y".into(), ..node("far", 1) };
    roster.record_heartbeat(Time(0), &beat("behind", Phase::Serving));
    roster.record_heartbeat(
        Time(0),
        &Heartbeat { node: far, configuration: rank(9), ..beat("far", Phase::Serving) },
    );
    let names = |roster: &Roster, now: Time| -> Vec<String> {
        let sources = roster.configuration_sources(now, &own, rank(5));
        sources.into_iter().map(|member| member.node.name.to_string()).collect()
    };
    assert_eq!(names(&roster, Time(0)), ["far"]);

    let near = Heartbeat { configuration: rank(8), ..beat("near", Phase::Serving) };
    roster.record_heartbeat(Time(0), &near);

    assert_eq!(names(&roster, Time(0)), ["near"]);
    assert!(names(&roster, Time(0) + SUSPECT_AFTER).is_empty());
}

/// Returns the heartbeat of a node that is cut off from leafs.
fn cut_off(name: &str) -> Heartbeat {
    Heartbeat { loss: Loss::Most, ..beat(name, Phase::Serving) }
}

#[test]
fn callers_are_given_the_addresses_of_cut_nodes_only_if_all_are_cut_off() {
    let mut roster = Roster::default();
    roster.record_heartbeat(Time(0), &cut_off("a"));
    roster.record_heartbeat(Time(0), &beat("b", Phase::Serving));
    let node = node("own", 1);
    let own = Own { node: &node, is_cut_off: true };

    let some = roster.caller_addresses(Time(0), Some(own), "z");
    roster.record_heartbeat(Time(1), &cut_off("b"));
    let all = roster.caller_addresses(Time(1), Some(own), "z");

    assert_eq!(some, [beat("b", Phase::Serving).node.callers]);
    assert_eq!(all.len(), 3, "callers must not be left without an address");
}

#[test]
fn callers_of_a_zone_whose_nodes_are_all_cut_off_are_given_nodes_of_other_zones() {
    let mut roster = Roster::default();
    for name in ["a", "b", "c", "d"] {
        roster.record_heartbeat(Time(0), &cut_off(name));
    }
    let mut far = beat("far", Phase::Serving);
    far.node.zone = "y".into();
    roster.record_heartbeat(Time(0), &far);

    let addresses = roster.caller_addresses(Time(0), None, "z");

    assert_eq!(addresses, [far.node.callers]);
}
