//! Quotas of organisations over all nodes: the rule in every window, and what must be admitted.

use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_route::organisation::Quota;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::support::quotas::{Customer, Network, WINDOW, World};

/// Time after which all nodes know each other and the buckets hold what they may.
const WARM: Time = Time::from_millis(10_000);

/// Rates and bursts of the organisations.
const QUOTAS: [(&str, f64, f64); 7] = [
    ("rare", 0.2, 0.0),
    ("one", 1.0, 0.0),
    ("two", 2.0, 5.0),
    ("twenty", 20.0, 0.0),
    ("bursty", 20.0, 40.0),
    ("fifty", 50.0, 0.0),
    ("fifty-bursty", 50.0, 100.0),
];

fn customers(demand: f64) -> Vec<Customer> {
    let customer = |(name, rate_per_s, burst): (&'static str, f64, f64)| Customer {
        name,
        quota: Quota { rate_per_s, burst },
        demand: rate_per_s * demand,
    };
    QUOTAS.into_iter().map(customer).collect()
}

fn at(seconds: f64) -> Time {
    Time(0) + Duration::from_secs_f64(seconds)
}

/// Guards against refusals below the limit, by numbers of nodes and of those that callers use.
#[test]
fn no_request_below_the_limit_is_refused_in_calm() {
    for (nodes, callers, seconds) in
        [(1, 1, 60.0), (3, 3, 60.0), (8, 8, 60.0), (76, 8, 60.0), (300, 30, 25.0)]
    {
        let mut world = World::open(nodes, callers, &customers(0.5), nodes as u64);

        world.run(at(seconds));

        world.assert_rule("in calm");
        for (index, customer) in world.customers.iter().enumerate() {
            let (admitted, refused) = world.counts(index, WARM);
            assert_eq!(refused, 0, "{nodes} nodes: {admitted} admitted of {customer:?}");
        }
        let ended = world.ended.iter().flatten().filter(|ended| ended.at >= WARM);
        let waits = ended.map(|ended| ended.waited);
        assert!(waits.max() < Some(Duration::from_millis(15)), "{nodes} nodes");
    }
}

/// Guards against quotas that are used up only in part by organisations that ask for more.
#[test]
fn an_organisation_that_asks_for_more_gets_its_limit() {
    for (nodes, callers, seconds) in [(3, 3, 60.0), (8, 8, 60.0), (76, 8, 60.0), (300, 30, 30.0)] {
        for demand in [1.0, 2.0, 8.0] {
            let mut world = World::open(nodes, callers, &customers(demand), nodes as u64);

            world.run(at(seconds));

            world.assert_rule("with too much demand");
            for (index, customer) in world.customers.iter().enumerate() {
                let (admitted, _) = world.counts(index, WARM);
                let limit = customer.quota.rate_per_s * (seconds - WARM.0 as f64 / 1e6);
                let share = admitted as f64 / limit;
                let least = match customer.quota.rate_per_s {
                    rate if rate >= 20.0 => 0.95,
                    rate if rate >= 1.0 => 0.8,
                    _ => 0.0,
                };
                let least = if demand > 1.0 { least } else { least - 0.15 };
                assert!(share >= least, "{nodes} nodes, {demand}: {share} of {customer:?}");
            }
        }
    }
}

/// Guards against one organisation's excess that costs others their quota.
#[test]
fn the_excess_of_some_organisations_costs_others_nothing() {
    let mut customers = customers(0.5);
    for index in [1, 3, 5] {
        customers[index].demand = 8.0 * customers[index].quota.rate_per_s;
    }
    let mut world = World::open(76, 8, &customers, 1);

    world.run(at(40.0));

    world.assert_rule("with excess");
    for index in [0, 2, 4, 6] {
        let (admitted, refused) = world.counts(index, WARM);
        assert_eq!(refused, 0, "{admitted} admitted of {:?}", world.customers[index]);
    }
}

/// Does something to a random node.
fn disturb(world: &mut World) {
    let index = world.rng.random_range(0..world.len());
    let time = Duration::from_millis(world.rng.random_range(100..5_000));
    match world.rng.random_range(0..5) {
        0 if world.is_running(index) => world.kill(index),
        1 if !world.is_running(index) => world.start(index),
        2 => world.pause(index, time),
        3 => world.set_cut_off(index, true),
        _ => world.set_cut_off(index, false),
    }
}

/// Disturbs a site at an interval until the end, and checks the rule.
fn check_rule_with_failures(nodes: usize, callers: usize, interval: f64, end: f64, seed: u64) {
    let mut world = World::open(nodes, callers, &customers(8.0), seed);
    let max_delay = Duration::from_secs(2);
    world.network = Network { lost: 0.03, doubled: 0.05, delayed: 0.05, max_delay };
    let mut time = 4.0;
    while time < end {
        world.run(at(time));
        disturb(&mut world);
        time += interval;
    }
    world.assert_rule(&format!("{nodes} nodes, seed {seed}"));
}

/// Guards against grants that are made twice: by two nodes whose views differ, after pauses,
/// by messages that come twice or late.
#[test]
fn the_rule_holds_with_failures_of_8_nodes() {
    (0..12).for_each(|seed| check_rule_with_failures(8, 8, 0.4, 30.0, seed));
}

#[test]
fn the_rule_holds_with_failures_of_76_nodes() {
    (0..2).for_each(|seed| check_rule_with_failures(76, 8, 0.1, 25.0, seed));
}

#[test]
fn the_rule_holds_with_failures_of_300_nodes() {
    check_rule_with_failures(300, 30, 0.05, 15.0, 1);
}

/// Guards against a granting node that is replaced, or half of the nodes that are lost, so that
/// more is granted than before or nothing any more.
#[test]
fn quotas_outlive_half_of_the_nodes() {
    for (nodes, callers, seeds) in [(8, 8, 5), (76, 8, 2), (300, 30, 1)] {
        for seed in 0..seeds {
            let mut world = World::open(nodes, callers, &customers(2.0), seed);
            world.run(WARM);
            let mut rng = world.rng.clone();
            (0..nodes).choose_multiple(&mut rng, nodes / 2).into_iter().for_each(|n| world.kill(n));
            world.callers = (0..nodes).filter(|index| world.is_running(*index)).collect();
            world.callers.truncate(callers);

            world.run(at(30.0));

            world.assert_rule("after the loss of half of the nodes");
            for (index, customer) in world.customers.iter().enumerate() {
                let (early, _) = world.counts(index, at(12.0));
                let (late, _) = world.counts(index, at(20.0));
                let rate = customer.quota.rate_per_s;
                if rate < 1.0 {
                    continue;
                }
                let share = (early - late) as f64 / (rate * 8.0);
                assert!(share >= 0.3, "{nodes} nodes: {share} early of {customer:?}");
                let share = late as f64 / (rate * 10.0);
                assert!(share >= 0.8, "{nodes} nodes: {share} late of {customer:?}");
            }
        }
    }
}

/// Guards against nodes that grant alone while they are cut off, together more than the quota.
#[test]
fn nodes_that_are_all_cut_off_keep_within_the_quota_together() {
    for (nodes, callers) in [(8, 8), (76, 76)] {
        let mut world = World::open(nodes, callers, &customers(8.0), 1);
        world.run(WARM);
        (0..nodes).for_each(|index| world.set_cut_off(index, true));
        world.run(at(25.0));
        (0..nodes).for_each(|index| world.set_cut_off(index, false));
        world.run(at(35.0));

        world.assert_rule("with all nodes cut off");
    }
}

/// Guards against buckets and grants of a higher limit that outlive it.
#[test]
fn a_lower_limit_is_binding_one_window_after_it_is_in_force_everywhere() {
    let nodes = 76;
    let mut world = World::open(nodes, 8, &customers(8.0), 1);
    world.run(WARM);
    for customer in &mut world.customers {
        customer.quota.rate_per_s /= 4.0;
        customer.quota.burst /= 4.0;
    }
    for index in 0..nodes {
        world.configure(index);
        world.run(world.now + Duration::from_millis(30));
    }
    let from = world.now + WINDOW;

    world.run(at(30.0));

    for (index, customer) in world.customers.iter().enumerate() {
        let (most, allowed) = (world.busiest_window(index, from), customer.max_requests());
        assert!(most <= allowed, "{most} of {allowed} requests of {customer:?}");
    }
}

/// Guards against control traffic that small nodes can't carry. A message of few organisations
/// has up to 100 bytes.
#[test]
fn nodes_exchange_few_messages() {
    for (nodes, callers) in [(8, 8), (76, 8), (300, 30)] {
        let mut world = World::open(nodes, callers, &customers(0.5), 1);

        world.run(at(12.0));

        let rate = world.messages as f64 / 12.0 / nodes as f64;
        println!("{nodes} nodes: {rate} messages sent per node and second");
        assert!(rate <= 170.0, "{nodes} nodes: {rate} messages sent per node and second");
    }
}
