//! Evacuated availability zones: what a node knows of them, and what follows for its sends.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bincode::config::standard;
use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::evacuation::{Error, FORGET_AFTER, MAX_ROWS, MAX_WAIT};
use jacinthfall_dispatch::evacuation::{Row, Statement, Table};
use jacinthfall_dispatch::fleet::{Candidates, Demand, Ending, Fleet, Need, Placement, Turn};
use jacinthfall_dispatch::flight::{Answer, Outcome};
use jacinthfall_dispatch::gossip::Datagram;
use jacinthfall_dispatch::roster::{Node, Roster};
use jacinthfall_route::leaf::Age;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::deployment::node;
use crate::support::{Bench, answer, entry, fleet, gather, sends, shards, single};

const USUAL: Duration = Duration::from_millis(20);

/// Place of a revision in the first era.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn zone(name: &str) -> id::Name {
    name.into()
}

fn zones(names: &[&str]) -> HashSet<id::Name> {
    names.iter().map(|name| zone(name)).collect()
}

fn row(name: &str, at: Position, evacuated: bool) -> Row {
    Row { zone: zone(name), at, evacuated }
}

/// Returns a table that has read a listing with these zones.
fn listed(names: &[&str], upto: Position) -> Table {
    let mut table = Table::default();
    let rows: Vec<(id::Name, Position)> = names.iter().map(|name| (zone(name), upto)).collect();
    table.apply_listing(Time(0), &rows, upto);
    table
}

fn merge(table: &mut Table, rows: Vec<Row>, upto: Position) {
    table.merge(Time(0), &Statement { rows, upto }).expect("a plausible statement");
}

#[test]
fn the_change_at_the_later_place_wins_from_any_source() {
    let mut table = listed(&[], at(5));
    merge(&mut table, vec![row("a", at(9), true)], at(4));

    table.apply(Time(0), &zone("a"), at(8), false);
    assert_eq!(table.evacuated(), zones(&["a"]), "the removal is older");
    table.apply(Time(0), &zone("a"), at(10), false);
    merge(&mut table, vec![row("a", at(9), true)], at(9));

    assert!(table.evacuated().is_empty(), "the tombstone outlasts the older evacuation");
}

#[test]
fn two_zones_are_evacuated_and_end_independently() {
    let mut table = listed(&["a", "b"], at(5));

    let change = table.apply(Time(0), &zone("a"), at(6), false).expect("news");

    assert_eq!((&*change.zone, change.evacuated), ("a", false));
    assert_eq!(table.evacuated(), zones(&["b"]));
}

/// Guards against an evacuation that never ends at a node that was cut off for longer than
/// tombstones live.
#[test]
fn an_evacuation_that_a_later_complete_statement_lacks_has_ended() {
    let mut table = listed(&["a"], at(5));

    merge(&mut table, Vec::new(), at(4));
    assert_eq!(table.evacuated(), zones(&["a"]), "the statement is older");
    merge(&mut table, Vec::new(), at(7));

    assert!(table.evacuated().is_empty());
    merge(&mut table, vec![row("a", at(5), true)], at(5));
    assert!(table.evacuated().is_empty(), "the row is from before the end");
}

#[test]
fn tombstones_are_dropped_after_a_time_without_bringing_an_evacuation_back() {
    let mut table = listed(&["a"], at(5));
    table.apply(Time(0), &zone("a"), at(6), false);
    table.advance(at(5), at(6));

    table.expire(Time(0) + FORGET_AFTER);

    assert!(table.is_empty());
    merge(&mut table, vec![row("a", at(5), true)], at(5));
    assert!(table.evacuated().is_empty());
}

/// Guards against a node that takes over the watch without the changes that it has missed.
#[test]
fn rows_are_complete_only_up_to_the_place_that_was_followed_without_a_gap() {
    let mut table = listed(&[], at(5));

    table.advance(at(8), at(9));
    assert_eq!(table.upto(), at(5), "changes 6 to 8 are missing");
    table.advance(at(5), at(9));

    assert_eq!(table.upto(), at(9));
}

#[test]
fn a_restored_store_ends_an_evacuation_only_with_a_listing_that_lacks_it() {
    let mut table = listed(&["a", "b"], at(50));
    let restored = |revision| Position::new(1, revision);

    table.apply(Time(0), &zone("c"), restored(31), true);
    assert_eq!(table.evacuated(), zones(&["a", "b", "c"]));
    table.apply_listing(Time(0), &[(zone("a"), restored(20))], restored(30));

    assert_eq!(table.evacuated(), zones(&["a", "c"]), "`b` is missing, `c` is later");
    merge(&mut table, vec![row("b", at(50), true)], at(60));
    assert_eq!(table.evacuated(), zones(&["a", "c"]), "a row of the old era");
}

#[test]
fn implausible_statements_are_dropped_whole() {
    let mut table = listed(&["a"], at(5));
    let far = Position::new(0, u64::MAX);
    let many = (0..=MAX_ROWS).map(|n| row(&format!("z-{n}"), at(9), true)).collect();
    let long = "z".repeat(1_000);
    let cases = [
        (many, at(9), Error::Rows(MAX_ROWS + 1)),
        (vec![row("a", far, false)], at(9), Error::Position(far)),
        (Vec::new(), far, Error::Position(far)),
        (vec![row("", at(9), true)], at(9), Error::Zone(0)),
        (vec![row("a\nevent=x", at(9), true)], at(9), Error::Zone(9)),
        (vec![row("a", at(9), false), row(&long, at(9), true)], at(9), Error::Zone(1_000)),
    ];
    for (rows, upto, error) in cases {
        let result = table.merge(Time(0), &Statement { rows, upto });

        assert_eq!(result, Err(error));
        assert_eq!(table.evacuated(), zones(&["a"]), "{error}");
    }
}

#[test]
fn whatever_nodes_state_the_rows_stay_few_and_fit_into_a_datagram() {
    let mut table = listed(&["zone-a"], at(5));
    for number in 0..1_000 {
        let name = format!("{number:064}");
        merge(&mut table, vec![row(&name, at(100 + number), number % 2 == 0)], at(4));
    }

    let statement = table.statement();

    assert!(statement.rows.len() <= MAX_ROWS);
    assert!(table.evacuated().contains("zone-a"));
    let bytes = bincode::serde::encode_to_vec(Datagram::Evacuation(statement), standard());
    assert!(bytes.expect("encodes").len() <= 2 * 1024);
}

#[test]
fn a_node_without_knowledge_sends_nothing_until_it_has_met_only_uninformed_nodes_for_a_time() {
    let mut table = Table::default();
    assert!(!table.allows_requests(Time(0) + 2 * MAX_WAIT), "nobody has answered");

    table.record_uninformed(Time(0));

    assert!(!table.allows_requests(Time(0)));
    assert!(table.allows_requests(Time(0) + MAX_WAIT));
    assert!(!table.is_informed(), "it goes on asking");
}

/// A store's changes that nodes learn in any order, with losses, lead to one state.
#[test]
fn nodes_that_exchange_statements_agree() {
    let events = [("a", 3, true), ("b", 4, true), ("a", 6, false), ("c", 7, true), ("b", 8, false)];
    let mut nodes: Vec<Table> = (0..6).map(|_| listed(&[], at(2))).collect();
    for (number, (name, revision, evacuated)) in events.into_iter().enumerate() {
        nodes[number].apply(Time(0), &zone(name), at(revision), evacuated);
    }

    for _ in 0..6 {
        for sender in 0..6 {
            let statement = nodes[sender].statement();
            let receiver = (sender + 1) % 6;
            nodes[receiver].merge(Time(0), &statement).expect("a plausible statement");
        }
    }

    assert!(nodes.iter().all(|node| node.evacuated() == zones(&["c"])));
}

fn place(fleet: &mut Fleet, service: &str) -> Placement {
    let candidates = Candidates::AllBut(Vec::new());
    let demand = Demand {
        usual: USUAL,
        respond_by: Time::from_millis(1_000),
        candidates: &candidates,
        queued: false,
        turn: Turn::default(),
        need: Need::Required,
    };
    fleet.place(Time(0), service, &demand)
}

#[test]
fn nothing_is_sent_to_an_evacuated_zone_until_the_evacuation_ends() {
    let mut fleet = fleet(&["a".into()], 2);
    let keys = fleet.leafs("a").to_vec();
    fleet.set_evacuated(zones(&["zone-0"]));

    assert_eq!(place(&mut fleet, "a"), Placement::Leaf(keys[1]));
    assert!(!fleet.accepts_requests(Time(0), keys[0]), "checked before a write");
    assert!(fleet.accepts_requests(Time(0), keys[1]));
    assert_eq!(fleet.evacuated_leafs(), [keys[0]]);
    fleet.set_evacuated(zones(&["zone-0", "zone-1"]));
    assert_eq!(place(&mut fleet, "a"), Placement::NoLeaf);
    fleet.set_evacuated(HashSet::new());
    assert!(matches!(place(&mut fleet, "a"), Placement::Leaf(_)));
}

#[test]
fn nothing_is_sent_before_the_evacuated_zones_are_known() {
    let mut fleet = fleet(&["a".into()], 2);
    fleet.close_all_zones();

    assert_eq!(place(&mut fleet, "a"), Placement::NoLeaf);
    assert!(fleet.leafs("a").iter().all(|key| fleet.is_evacuated(*key)));
    fleet.set_evacuated(zones(&["zone-0"]));
    assert_eq!(place(&mut fleet, "a"), Placement::Leaf(fleet.leafs("a")[1]));
}

/// Guards against health checks of, and relays because of, leafs that nothing may be sent to.
#[test]
fn leafs_of_an_evacuated_zone_are_not_lost_and_get_no_health_checks() {
    let services = shards(2);
    let mut fleet = fleet(&services, 3);
    let start = Time::from_millis(1_000);
    for service in &services {
        for key in fleet.leafs(service).to_vec() {
            fleet.record_send(start, key, USUAL);
        }
    }
    fleet.update_reach(Time::from_millis(3_000));
    assert!(fleet.is_lost(&services[0]));

    fleet.set_evacuated(zones(&["zone-0"]));
    fleet.update_reach(Time::from_millis(3_000));
    for _ in 0..50 {
        let probed = fleet.choose_lost_leafs();
        assert!(!probed.is_empty());
        assert!(probed.iter().all(|key| !fleet.is_evacuated(*key)));
    }
    fleet.set_evacuated(zones(&["zone-0", "zone-1", "zone-2"]));
    fleet.update_reach(Time::from_millis(3_000));

    assert!(!fleet.is_lost(&services[0]));
    assert_eq!(fleet.lost_services().count(), 0);
    assert!(fleet.choose_lost_leafs().is_empty());
    let census = fleet.census(Time::from_millis(3_000));
    assert_eq!((census.silent_leafs, census.is_cut_off), (0, false));
}

#[test]
fn a_request_whose_leafs_are_all_evacuated_is_refused_at_once() {
    let mut bench = Bench::open(single("a", true).into(), &["a".into()], 2);
    bench.fleet.set_evacuated(zones(&["zone-0", "zone-1"]));

    let actions = bench.decide(|flight, context| flight.start(Time(0), context));

    let Some(Answer::Refused { retry_after }) = answer(actions) else { panic!("a refusal") };
    assert!(!retry_after.is_zero());
}

#[test]
fn a_query_is_answered_without_the_shards_that_have_no_other_zone_if_its_route_allows_that() {
    let services = shards(3);
    for (min_coverage, is_served) in [(0.6, true), (0.7, false)] {
        let mut bench = Bench::open(gather(services.clone(), min_coverage), &services, 2);
        // The first shard has leafs in one zone only.
        let names: Vec<id::Name> = services.clone();
        let rows: Vec<(id::Name, jacinthfall_route::leaf::Entry)> = names
            .iter()
            .enumerate()
            .flat_map(|(number, name)| {
                [0, 1].map(|leaf| {
                    let zone = if number == 0 { "zone-0".into() } else { format!("zone-{leaf}") };
                    let age = Age { born: 2, sequence: 1 };
                    (format!("{name}-{leaf}").into(), entry(name, &zone, age))
                })
            })
            .collect();
        bench.fleet.update(Time(0), rows.iter().map(|(id, entry)| (id, entry)));
        bench.fleet.set_evacuated(zones(&["zone-0"]));

        let actions = bench.decide(|flight, context| flight.start(Time(0), context));

        let parts: Vec<usize> = sends(&actions).into_iter().map(|(part, _)| part).collect();
        if is_served {
            assert_eq!(parts, [1, 2]);
        } else {
            assert!(parts.is_empty());
            assert!(matches!(answer(actions), Some(Answer::Refused { .. })));
        }
    }
}

/// Guards against a part that was placed in a zone before its evacuation and is written after it.
#[test]
fn a_part_that_was_placed_but_not_written_goes_to_another_zone() {
    let mut bench = Bench::open(single("a", false).into(), &["a".into()], 2);
    let actions = bench.decide(|flight, context| flight.start(Time(0), context));
    let [(part, first)] = sends(&actions)[..] else { panic!("one send") };
    bench.fleet.record_send(Time(0), first, USUAL);
    let zone = bench.fleet.leaf(first).expect("a leaf").entry.zone.clone();

    bench.fleet.set_evacuated([zone.clone()].into());
    assert!(!bench.fleet.accepts_requests(Time(1), first), "it isn't written");
    bench.fleet.record_end(Time(1), first, Time(0), Ending::Cancelled);
    let actions = bench.decide(|flight, context| {
        flight.send_ended(Time(1), part, first, Outcome::Unsent, context)
    });

    let [(_, second)] = sends(&actions)[..] else { panic!("one send") };
    assert_ne!(bench.fleet.leaf(second).expect("a leaf").entry.zone, zone);
}

/// Guards against an evacuation that spreads too slowly, or costs too much, where a heartbeat reaches
/// only a few of the nodes. A fifth of the datagrams is lost.
#[test]
fn one_node_that_reads_the_store_informs_three_hundred_within_a_second() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut nodes: Vec<(Node, Roster, Table)> = (0..300)
        .map(|number| {
            let mut roster = Roster::default();
            let others = (0..300).filter(|other| *other != number);
            others.for_each(|other| roster.record_registration(Time(0), node(other, 5)));
            (node(number, 5), roster, listed(&[], at(2)))
        })
        .collect();
    let numbers: HashMap<SocketAddr, usize> =
        nodes.iter().enumerate().map(|(number, (own, ..))| (own.peers, number)).collect();
    nodes[7].2.apply(Time(0), &zone("a"), at(5), true);

    // News is sent on at once, a round each; the interval is 250 ms.
    for round in 0..4 {
        let mut sent = Vec::new();
        for (own, roster, table) in &mut nodes {
            let targets = if table.take_news() {
                roster.heartbeat_targets(own, &mut rng)
            } else if table.is_empty() {
                Vec::new()
            } else {
                let peers = roster.members().map(|member| member.node.peers);
                peers.choose_multiple(&mut rng, 3)
            };
            assert!(targets.len() <= 64, "round {round}: {} targets", targets.len());
            sent.extend(targets.into_iter().map(|target| (target, table.statement())));
        }
        for (target, statement) in sent {
            if rng.random::<f64>() < 0.8 {
                let table = &mut nodes[numbers[&target]].2;
                table.merge(Time(0), &statement).expect("a plausible statement");
            }
        }
    }

    let uninformed = nodes.iter().filter(|(.., table)| table.evacuated().is_empty()).count();
    assert_eq!(uninformed, 0);
}
