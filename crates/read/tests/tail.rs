//! Hedged requests, the budget of extra attempts, and ejection of failing or slow leafs.

mod support;

use std::time::Duration;

use jacinthfall_core::profile::Profile;
use jacinthfall_core::service::Service;
use jacinthfall_core::{event, id};
use support::{World, all, broken, hedge, key, map, profile, service, warm_up, world};

const MS: Duration = Duration::from_millis(1);

fn two_replicas() -> Service {
    service(1, 2, 8, vec![map(1, 1, 1, 2)])
}

fn six_leafs() -> Service {
    service(2, 3, 8, vec![map(1, 2, 2, 3)])
}

fn count_states(world: &World, state: &str) -> usize {
    let is_state = |event: &&event::Event| match &event.kind {
        event::Kind::State { state: seen, .. } => **seen == *state,
        _ => false,
    };
    world.records.iter().filter(is_state).count()
}

#[test]
fn a_slow_part_is_hedged_once_and_the_slower_attempt_is_cancelled() {
    let mut world = world(service(1, 3, 8, vec![map(1, 1, 1, 3)]));
    warm_up(&mut world);
    let token = world.ask(&profile(true), all());
    hedge(&mut world);
    let attempts = world.attempts_of(token);
    assert_eq!(attempts.len(), 2);
    assert_ne!(world.in_flight[&attempts[0]].leaf, world.in_flight[&attempts[1]].leaf);
    world.advance(20 * MS);
    assert_eq!(world.attempts_of(token).len(), 2, "a part is hedged at most once");
    world.reply(attempts[1]);
    assert!(world.answer_of(token).coverage.is_full());
    assert!(world.in_flight.is_empty(), "the slower attempt is cancelled");
    assert_eq!(world.engine.counters().cancels, 1);
}

#[test]
fn a_non_idempotent_request_is_never_hedged() {
    let mut world = world(two_replicas());
    warm_up(&mut world);
    let token = world.ask(&profile(false), key(1));
    world.advance(90 * MS);
    assert_eq!(world.attempts_of(token).len(), 1);
    assert_eq!(world.engine.counters().hedges, 0);
}

#[test]
fn no_extra_attempts_are_sent_without_extra_load() {
    let mut world = world(two_replicas());
    warm_up(&mut world);
    world.ask(&Profile { extra_load: 0.0, ..profile(true) }, all());
    let requests = 40;
    for _ in 0..requests {
        world.ask(&Profile { extra_load: 0.0, ..profile(true) }, all());
        world.advance(100 * MS);
    }
    let counters = world.engine.counters();
    assert!(
        counters.hedges + counters.retries <= 15,
        "only the budget earned by earlier requests is used"
    );
}

#[test]
fn hedging_stays_within_the_budget_when_the_whole_service_is_slow() {
    let mut world = world(six_leafs());
    warm_up(&mut world);
    let before = *world.engine.counters();
    for _ in 0..500 {
        world.ask(&profile(true), all());
        world.advance(20 * MS);
        world.reply_all();
    }
    let after = *world.engine.counters();
    let first = after.first_sends - before.first_sends;
    let extra = after.hedges + after.retries - before.hedges - before.retries;
    let earned = profile(true).extra_load * first as f64;
    assert!(extra as f64 <= earned + 15.0, "{extra} extra attempts for {first} first attempts");
}

#[test]
fn retries_stay_within_the_budget_when_all_attempts_fail() {
    let mut world = world(six_leafs());
    for _ in 0..500 {
        world.ask(&profile(true), all());
        while let Some((&counter, _)) = world.in_flight.first_key_value() {
            world.end(counter, broken());
        }
    }
    let counters = world.engine.counters();
    let earned = profile(true).extra_load * counters.first_sends as f64;
    assert!(counters.retries as f64 <= earned + 10.0, "{} retries", counters.retries);
    assert_eq!(counters.ejections, 2, "at most a third of the six leafs is ejected");
}

/// Ends all attempts in flight; those at `bad` fail. Returns the number of attempts at
/// `bad`.
fn end_all(world: &mut World, bad: &str) -> usize {
    let mut attempts = 0;
    while let Some((&counter, sent)) = world.in_flight.first_key_value() {
        if &*sent.leaf == bad {
            attempts += 1;
            world.end(counter, broken());
        } else {
            world.reply(counter);
        }
    }
    attempts
}

#[test]
fn a_failing_leaf_is_ejected_probed_and_readmitted() {
    let mut world = world(six_leafs());
    warm_up(&mut world);
    let bad = "leaf-0-1";
    let ask = |world: &mut World, bad: &str| {
        world.ask(&profile(true), all());
        world.advance(MS);
        end_all(world, bad)
    };
    let failed: usize = (0..100).map(|_| ask(&mut world, bad)).sum();
    assert_eq!((failed, count_states(&world, "ejected")), (5, 1));
    world.advance(600 * MS);
    let probed: usize = (0..100).map(|_| ask(&mut world, bad)).sum();
    assert_eq!(probed, 1, "one part is sent as a probe");
    world.advance(1_100 * MS);
    ask(&mut world, "none");
    assert_eq!(count_states(&world, "readmitted"), 1);
    for _ in 0..6 {
        world.ask(&profile(true), all());
    }
    let at_bad = world.in_flight.values().filter(|sent| &*sent.leaf == bad).count();
    assert!(at_bad <= 1, "a readmitted leaf starts with one part at a time");
}

#[test]
fn a_leaf_much_slower_than_its_peers_is_ejected() {
    let mut world = world(service(6, 1, 8, vec![map(1, 6, 6, 1)]));
    warm_up(&mut world);
    let slow = "leaf-4-0";
    for _ in 0..20 {
        world.ask(&profile(true), all());
        for _ in 0..20 {
            world.advance(MS);
            let others = world.in_flight.iter().filter(|(_, sent)| &*sent.leaf != slow);
            let quick: Vec<u64> = others.map(|(&counter, _)| counter).collect();
            quick.into_iter().for_each(|counter| world.reply(counter));
        }
        world.reply_all();
    }
    assert!(count_states(&world, "ejected") >= 1);
    let ejected: Vec<id::Name> = world
        .records
        .iter()
        .filter_map(|event| match &event.kind {
            event::Kind::State { who, .. } => Some(who.clone()),
            _ => None,
        })
        .collect();
    assert!(ejected.iter().all(|who| &**who == slow), "{ejected:?}");
}

#[test]
fn a_shard_whose_only_replica_is_ejected_is_still_queried() {
    let mut world = world(service(3, 1, 8, vec![map(1, 3, 3, 1)]));
    for _ in 0..20 {
        world.ask(&profile(true), all());
        end_all(&mut world, "leaf-0-0");
    }
    let token = world.ask(&profile(true), all());
    world.reply_all();
    assert!(world.answer_of(token).coverage.is_full());
}
