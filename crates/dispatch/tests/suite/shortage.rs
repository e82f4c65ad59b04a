//! Measure of short shards.

use std::net::SocketAddr;
use std::time::Duration;

use bincode::config::standard;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::gossip::Datagram;
use jacinthfall_dispatch::overload::shortage::{MAX_ROWS, Report, Row, Shard, Table};
use jacinthfall_dispatch::overload::{Policy, Settings, State};

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

fn state() -> State {
    State::open(Settings { policy: Policy::Threshold, ..Settings::default() })
}

/// Returns a state that has observed 20 parts of each of 36 shards. Half of those of the first
/// `short` shards found no leaf.
fn observed(short: usize) -> State {
    let mut state = state();
    for number in 0..36 {
        for n in 0..20 {
            state.observe(NOW, &name(number), number >= short || n % 2 == 0);
        }
    }
    state
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
    let calm = observed(0);
    let short = observed(36);

    let report = short.report(NOW).expect("a report");
    let bytes = bincode::serde::encode_to_vec(Datagram::Shortage(report.clone()), standard());

    assert_eq!(calm.report(NOW), None);
    assert_eq!(report.rows.len(), MAX_ROWS);
    assert!(bytes.expect("encodable").len() <= 256);
}
