//! Connections stay within the limit of a leaf; home nodes spread over zones and rarely move.

use std::collections::BTreeSet;

use jacinthfall_read::share::{self, Node};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn nodes(count: usize, zones: usize) -> Vec<Node> {
    let node = |n: usize| Node {
        name: format!("node-{n}").into(),
        zone: format!("zone-{}", n % zones).into(),
    };
    (0..count).map(node).collect()
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..Config::default()
    })]

    // Every node may run at the same time as its replacement, so each share counts twice.
    #[test]
    fn connections_stay_within_the_limit_during_a_rolling_replacement(limit in 0..10_000_u32, count in 0..5_000_u32) {
        let share = u64::from(share::connections_per_node(limit, count));
        prop_assert!(share * u64::from(count) * 2 <= u64::from(limit));
    }

    #[test]
    fn home_nodes_spread_over_zones(group in "[a-z]{1,8}", count in 1..30_usize, zones in 1..6_usize, k in 1..6_usize) {
        let nodes = nodes(count, zones);
        let homes = share::home_nodes(&group, &nodes, k);
        prop_assert_eq!(homes.len(), k.min(count));
        let used: BTreeSet<_> = homes.iter().map(|home| home.zone.clone()).collect();
        prop_assert_eq!(used.len(), homes.len().min(zones.min(count)));
    }

    #[test]
    fn removing_other_nodes_moves_no_home_node(group in "[a-z]{1,8}", count in 4..30_usize) {
        let all = nodes(count, 1);
        let homes = share::home_nodes(&group, &all, 3);
        let rest: Vec<_> = all.into_iter().filter(|node| homes.contains(node)).collect();
        prop_assert_eq!(share::home_nodes(&group, &rest, 3), homes);
    }
}
