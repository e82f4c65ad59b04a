//! Queues of leafs: order, in-flight limits, and parts that cannot meet their deadline.

mod support;

use std::time::Duration;

use jacinthfall_core::leaf::{Outcome, Refusal};
use jacinthfall_core::profile::Profile;
use jacinthfall_core::refusal::{self, Ran};
use support::{World, all, map, profile, service, warm_up, world};

fn with_deadline(millis: u64) -> Profile {
    Profile { deadline: Duration::from_millis(millis), ..profile(true) }
}

fn one_leaf(slots: u32) -> World {
    world(service(1, 1, slots, vec![map(1, 1, 1, 1)]))
}

#[test]
fn the_part_with_the_earliest_deadline_is_sent_first() {
    let mut world = one_leaf(1);
    let first = world.ask(&with_deadline(50), all());
    let late = world.ask(&with_deadline(90), all());
    let soon = world.ask(&with_deadline(60), all());
    assert_eq!((world.attempts_of(first).len(), world.in_flight.len()), (1, 1));
    world.reply(world.attempts_of(first)[0]);
    assert_eq!((world.attempts_of(soon).len(), world.attempts_of(late).len()), (1, 0));
}

#[test]
fn a_part_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut world = one_leaf(1);
    for _ in 0..20 {
        world.ask(&with_deadline(100), all());
        world.advance(Duration::from_millis(8));
        world.reply_all();
    }
    let started = world.now;
    let tokens: Vec<_> = (0..10).map(|_| world.ask(&with_deadline(30), all())).collect();
    assert_eq!(world.now, started);
    let refused = tokens.iter().filter(|&&token| world.is_answered(token)).count();
    assert_eq!(refused, 7, "three parts of 8 ms fit into 30 ms");
    let refusal = world.refusal_of(tokens[9]);
    assert_eq!((refusal.cause, refusal.ran), (refusal::Cause::Overloaded, Ran::NotRun));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_queued_part_that_can_no_longer_meet_its_deadline_is_not_sent() {
    let mut world = one_leaf(1);
    for _ in 0..20 {
        world.ask(&with_deadline(100), all());
        world.advance(Duration::from_millis(8));
        world.reply_all();
    }
    let first = world.ask(&with_deadline(100), all());
    let second = world.ask(&with_deadline(20), all());
    world.advance(Duration::from_millis(15));
    world.reply(world.attempts_of(first)[0]);
    assert_eq!(world.refusal_of(second).ran, Ran::NotRun);
    assert_eq!(world.engine.counters().deadline_drops, 1);
}

#[test]
fn the_in_flight_limit_falls_with_overload_refusals_and_recovers() {
    let mut world = one_leaf(4);
    let count_in_flight = |world: &mut World| {
        for _ in 0..8 {
            world.ask(&with_deadline(100), all());
        }
        let in_flight = world.in_flight.len();
        world.reply_all();
        in_flight
    };
    assert_eq!(count_in_flight(&mut world), 4);
    for _ in 0..2 {
        world.ask(&with_deadline(100), all());
        let counter = *world.in_flight.first_key_value().expect("an attempt").0;
        world.end(counter, Outcome::Refused(Refusal::Overloaded));
    }
    assert_eq!(count_in_flight(&mut world), 1);
    for _ in 0..12 {
        count_in_flight(&mut world);
    }
    assert_eq!(count_in_flight(&mut world), 4);
}

#[test]
fn parts_go_to_the_replica_with_the_lowest_expected_latency() {
    let mut world = world(service(1, 2, 8, vec![map(1, 1, 1, 2)]));
    warm_up(&mut world);
    let slow = "leaf-0-0";
    for _ in 0..40 {
        world.ask(&profile(true), all());
        let is_slow = world.in_flight.values().any(|sent| &*sent.leaf == slow);
        world.advance(Duration::from_micros(if is_slow { 2_500 } else { 1_000 }));
        world.reply_all();
    }
    let sent = (0..20).filter(|_| {
        world.ask(&profile(true), all());
        let is_slow = world.in_flight.values().any(|sent| &*sent.leaf == slow);
        world.reply_all();
        is_slow
    });
    assert_eq!(sent.count(), 0, "the slower replica gets no parts while the other one is idle");
}
