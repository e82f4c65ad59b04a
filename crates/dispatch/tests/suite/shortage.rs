//! Measure of short shards, and the choice of the parts that are left out there.

use std::net::SocketAddr;
use std::time::Duration;

use bincode::config::standard;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::gossip::Datagram;
use jacinthfall_dispatch::overload::optional::Query;
use jacinthfall_dispatch::overload::shortage::{MAX_ROWS, Report, Row, Shard, Table};
use jacinthfall_dispatch::overload::{OptionalParts, Settings, State};

const NOW: Time = Time::from_millis(1_000);

fn shard(number: usize) -> Shard {
    Shard::of(&name(number))
}

fn name(number: usize) -> String {
    format!("shard-{number}")
}

fn source(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 80))
}

fn report(asked: u8, shortage: u8) -> Report {
    Report { asked, rows: vec![Row { shard: shard(0), shortage }] }
}

fn state(optional_parts: OptionalParts) -> State {
    State::open(Settings { optional_parts, ..Settings::default() })
}

/// Returns a state that has observed 20 parts of each of 36 shards. Half of those of the first
/// `short` shards found no leaf.
fn observed(optional_parts: OptionalParts, short: usize) -> State {
    let mut state = state(optional_parts);
    for number in 0..36 {
        for n in 0..20 {
            state.observe(NOW, &name(number), number >= short || n % 2 == 0);
        }
    }
    state
}

/// Returns the parts of a query over 36 shards, for all of which a leaf was found.
fn parts() -> Vec<(Shard, bool)> {
    (0..36).map(|number| (shard(number), true)).collect()
}

fn query(parts: &[(Shard, bool)], min_parts: usize) -> Query<'_> {
    Query { parts, min_parts, priority: 1, work: Duration::from_millis(20) }
}

#[test]
fn a_query_leaves_out_parts_at_short_shards_as_far_as_its_coverage_allows() {
    let state = observed(OptionalParts::LeftOut, 3);
    let parts = parts();

    let left_out = |min_parts| {
        let mut parts = state.left_out(NOW, &query(&parts, min_parts));
        parts.sort_unstable();
        parts
    };

    // One part more than the least coverage is kept, since another part may be late.
    assert_eq!(left_out(36), [0; 0]);
    assert_eq!(left_out(35), [0; 0]);
    assert_eq!(left_out(34).len(), 1);
    assert_eq!(left_out(31), [0, 1, 2]);
}

#[test]
fn no_part_is_left_out_where_all_shards_are_short() {
    // The room of one part helps no other query, which would need room at all shards.
    let state = observed(OptionalParts::LeftOut, 36);

    let left_out = state.left_out(NOW, &query(&parts(), 31));

    assert_eq!(left_out, [0; 0]);
}

#[test]
fn no_part_is_left_out_while_leafs_have_room_or_by_default() {
    let calm = observed(OptionalParts::LeftOut, 0);
    let default = observed(OptionalParts::Sent, 3);

    assert_eq!(calm.left_out(NOW, &query(&parts(), 31)), [0; 0]);
    assert_eq!(default.left_out(NOW, &query(&parts(), 31)), [0; 0]);
}

#[test]
fn the_least_coverage_counts_parts_without_a_leaf() {
    let state = observed(OptionalParts::LeftOut, 3);
    let mut parts = parts();
    parts[9].1 = false;

    let left_out = state.left_out(NOW, &query(&parts, 35));

    assert!(left_out.is_empty() || left_out == [9], "{left_out:?}");
}

#[test]
fn one_node_alone_can_not_make_a_shard_appear_short_or_ample() {
    let mut table = Table::default();
    (0..20).for_each(|_| table.observe(NOW, shard(0), true));
    (1..=4).for_each(|n| assert!(table.merge(NOW, source(n), &report(10, 0))));
    table.merge(NOW, source(5), &report(255, 255));
    let appears_short = table.shortages(NOW, &[shard(0)])[0];

    (1..=4).for_each(|n| assert!(table.merge(NOW, source(n), &report(10, 200))));
    table.merge(NOW, source(5), &report(255, 0));
    let appears_ample = table.shortages(NOW, &[shard(0)])[0];

    assert!(appears_short < 0.01, "{appears_short}");
    assert!(appears_ample > 0.2, "{appears_ample}");
}

#[test]
fn reports_expire_and_implausible_ones_are_dropped() {
    let mut table = Table::default();
    (1..=4).for_each(|n| assert!(table.merge(NOW, source(n), &report(10, 200))));
    let rows = vec![Row { shard: shard(0), shortage: 200 }; MAX_ROWS + 1];

    let is_plausible = table.merge(NOW, source(5), &Report { asked: 10, rows });

    assert!(!is_plausible);
    assert!(table.shortages(NOW, &[shard(0)])[0] > 0.5);
    assert!(table.shortages(NOW + Duration::from_secs(2), &[shard(0)])[0] < 0.01);
}

#[test]
fn a_report_is_sent_only_while_shards_are_short_and_fits_into_a_datagram() {
    let calm = observed(OptionalParts::LeftOut, 0);
    let short = observed(OptionalParts::LeftOut, 36);

    let report = short.report(NOW).expect("a report");
    let bytes = bincode::serde::encode_to_vec(Datagram::Shortage(report.clone()), standard());

    assert_eq!(calm.report(NOW), None);
    assert_eq!(report.rows.len(), MAX_ROWS);
    assert!(bytes.expect("encodable").len() <= 256);
}
