use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_dispatch::gossip::{Route, Row, Table};
use rand::seq::index;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TIMEOUT: Duration = Duration::from_millis(600);

/// Number of nodes that a node sends its messages to.
const TARGETS: usize = 6;

fn row(name: &str, timeout_ms: u32, age: Duration) -> Row {
    Row { route: Route::of(name), timeout_ms, age_s: age.as_secs() as u32 }
}

/// Sends the next messages of all nodes to random others; one in ten is lost. Returns the number
/// of bytes sent.
fn exchange(now: Time, nodes: &mut [Table], rng: &mut ChaCha8Rng) -> usize {
    let mut bytes = 0;
    for sender in 0..nodes.len() {
        let rows = nodes[sender].next_message(now);
        if rows.is_empty() {
            continue;
        }
        let size = bincode::serde::encode_to_vec(&rows, bincode::config::standard());
        for target in index::sample(rng, nodes.len(), TARGETS) {
            bytes += size.as_ref().expect("encodable").len() + 28;
            if !rng.random_bool(0.1) {
                rows.iter().for_each(|row| nodes[target].merge(now, row));
            }
        }
    }
    bytes
}

#[test]
fn a_row_reaches_3_200_nodes_within_two_seconds() {
    for seed in 1..=3 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut nodes: Vec<Table> = (0..3_200).map(|_| Table::default()).collect();
        let route = Route::of("search");
        nodes[0].observe(Time(0), route, TIMEOUT);

        for round in 0..8 {
            exchange(Time::from_millis(250 * round), &mut nodes, &mut rng);
        }

        let informed = nodes.iter().filter(|node| !node.timeouts(Time(0), route).is_empty());
        assert_eq!(informed.count(), 3_200, "seed {seed}");
    }
}

/// All routes are called all the time, each by callers at a few nodes.
#[test]
fn ten_thousand_routes_cost_a_node_less_than_a_fifth_of_its_control_traffic() {
    const NODES: usize = 12;
    const ROUTES: u64 = 10_000;
    const BUDGET_PER_SECOND: f64 = 17_000.0 / 5.0;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut nodes: Vec<Table> = (0..NODES).map(|_| Table::default()).collect();
    let names: Vec<Route> = (0..ROUTES).map(|n| Route::of(&format!("route-{n}"))).collect();
    let (start, length) = (1_800, 3_600);
    let mut bytes = 0;

    for second in 0..start + length {
        let now = Time::from_millis(1_000 * second);
        for _ in 0..20 {
            let node = rng.random_range(0..NODES);
            nodes[node].observe(now, names[rng.random_range(0..names.len())], TIMEOUT);
        }
        let sent = exchange(now, &mut nodes, &mut rng);
        bytes += if second < start { 0 } else { sent };
    }

    let per_second = bytes as f64 / (length as f64 * NODES as f64);
    assert!(per_second < BUDGET_PER_SECOND, "{per_second} bytes a second and node");
}

#[test]
fn an_old_row_does_not_become_younger_on_a_node_that_has_just_started() {
    let just_started = Time::from_millis(50);
    let (mut node, mut next) = (Table::default(), Table::default());
    node.merge(just_started, &row("search", 600, Duration::from_secs(3_000)));

    node.next_message(just_started).iter().for_each(|row| next.merge(just_started, row));

    let route = Route::of("search");
    assert_eq!(next.timeouts(just_started, route), [TIMEOUT]);
    assert!(next.timeouts(just_started + Duration::from_secs(601), route).is_empty());
}

#[test]
fn a_row_that_nobody_confirms_expires_everywhere() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut nodes: Vec<Table> = (0..20).map(|_| Table::default()).collect();
    let route = Route::of("search");
    nodes[0].observe(Time(0), route, TIMEOUT);

    for minute in 0..61 {
        exchange(Time::from_millis(60_000 * minute), &mut nodes, &mut rng);
        let restarted = rng.random_range(0..nodes.len());
        let rows = nodes[0].all(Time::from_millis(60_000 * minute));
        nodes[restarted] = Table::default();
        rows.iter().for_each(|row| nodes[restarted].merge(Time::from_millis(60_000 * minute), row));
    }

    let late = Time::from_millis(3_600_000 + 61_000);
    assert!(nodes.iter().all(|node| node.timeouts(late, route).is_empty()));
}

#[test]
fn many_timeouts_of_one_route_leave_the_rows_of_others_alone() {
    let mut node = Table::default();
    node.observe(Time(0), Route::of("search"), TIMEOUT);

    for timeout_ms in (10..100_000).step_by(10) {
        node.merge(Time(0), &row("flooded", timeout_ms, Duration::ZERO));
    }

    assert_eq!(node.timeouts(Time(0), Route::of("search")), [TIMEOUT]);
    assert!(node.timeouts(Time(0), Route::of("flooded")).len() <= 4);
}

#[test]
fn timeouts_that_differ_by_rounding_are_one_row() {
    let mut node = Table::default();
    node.observe(Time(0), Route::of("search"), TIMEOUT);

    node.merge(Time(0), &row("search", 599, Duration::ZERO));

    assert_eq!(node.timeouts(Time(0), Route::of("search")), [TIMEOUT]);
}
