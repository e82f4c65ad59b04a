//! Full, partial and refused answers.

mod support;

use std::time::Duration;

use jacinthfall_core::coverage::Cause;
use jacinthfall_core::id;
use jacinthfall_core::profile::{Profile, Wait};
use jacinthfall_core::refusal::{self, Ran};
use support::{all, broken, key, map, profile, service, unsent, world};

const DEADLINE: Duration = Duration::from_millis(100);

#[test]
fn rows_of_all_shards_are_merged_up_to_the_limit() {
    let mut world = world(service(5, 3, 3, vec![map(1, 15, 5, 3)]));
    let token = world.ask_with(&profile(true), all(), 7);
    world.reply_all();
    let answer = world.answer_of(token);
    assert_eq!(answer.rows.len(), 7);
    assert!(answer.coverage.is_full());
}

#[test]
fn a_key_query_is_sent_only_to_the_shard_of_the_key() {
    let mut world = world(service(5, 3, 3, vec![map(1, 15, 5, 3)]));
    let token = world.ask(&profile(true), key(7));
    assert_eq!(world.attempts_of(token).len(), 1);
    world.reply_all();
    assert_eq!(world.answer_of(token).rows.len(), 1);
}

#[test]
fn a_failed_part_is_retried_at_another_replica() {
    let mut world = world(service(1, 2, 3, vec![map(1, 1, 1, 2)]));
    let token = world.ask(&profile(true), all());
    let first = world.attempts_of(token)[0];
    let leaf = world.in_flight[&first].leaf.clone();
    world.end(first, broken());
    let second = world.attempts_of(token)[0];
    assert_ne!(world.in_flight[&second].leaf, leaf);
    world.reply(second);
    assert!(world.answer_of(token).coverage.is_full());
}

#[test]
fn a_partial_answer_at_the_deadline_names_the_missing_shard() {
    let mut world = world(service(4, 1, 3, vec![map(1, 4, 4, 1)]));
    let lenient = Profile { least_coverage: 0.5, ..profile(true) };
    let token = world.ask(&lenient, all());
    for counter in world.attempts_of(token).into_iter().skip(1) {
        world.reply(counter);
    }
    world.advance(DEADLINE);
    let coverage = &world.answer_of(token).coverage;
    assert_eq!((coverage.answered, coverage.total), (3, 4));
    assert_eq!(coverage.missed[0].cause, Cause::Timeout);
}

#[test]
fn a_query_below_its_minimum_coverage_at_the_deadline_is_refused() {
    let mut world = world(service(4, 1, 3, vec![map(1, 4, 4, 1)]));
    let token = world.ask(&profile(true), all());
    let first = world.attempts_of(token)[0];
    world.reply(first);
    world.advance(DEADLINE);
    let refusal = world.refusal_of(token);
    assert_eq!((refusal.cause, refusal.ran), (refusal::Cause::LowCoverage, Ran::Ran));
    assert!(refusal.message.contains("Timeout: 1-3"), "{}", refusal.message);
}

#[test]
fn a_query_that_cannot_reach_its_coverage_is_refused_before_the_deadline() {
    let mut world = world(service(4, 2, 3, vec![map(1, 4, 4, 2)]));
    let token = world.ask(&profile(true), all());
    let first = world.attempts_of(token)[0];
    let shard = world.in_flight[&first].part.shard;
    world.end(first, unsent());
    let same_shard = |world: &support::World| {
        let attempts = world.attempts_of(token);
        attempts.into_iter().find(|counter| world.in_flight[counter].part.shard == shard)
    };
    let second = same_shard(&world).expect("a retry");
    world.end(second, unsent());
    let refusal = world.refusal_of(token);
    assert_eq!(refusal.ran, Ran::Unknown, "parts were sent to other shards");
    assert!(refusal.retry_after.is_some());
    assert!(world.in_flight.is_empty());
}

#[test]
fn a_request_whose_sends_all_failed_did_not_run() {
    let mut world = world(service(1, 2, 3, vec![map(1, 1, 1, 2)]));
    let token = world.ask(&profile(true), all());
    while let Some(&counter) = world.attempts_of(token).first() {
        world.end(counter, unsent());
    }
    let refusal = world.refusal_of(token);
    assert_eq!((refusal.cause, refusal.ran), (refusal::Cause::Unavailable, Ran::NotRun));
}

#[test]
fn an_early_answer_waits_for_its_delay_and_minimum_coverage() {
    let mut world = world(service(4, 1, 3, vec![map(1, 4, 4, 1)]));
    let early = Profile {
        least_coverage: 0.75,
        wait: Wait::Early,
        early_after: Duration::from_millis(20),
        ..profile(true)
    };
    let token = world.ask(&early, all());
    for counter in world.attempts_of(token).into_iter().skip(1) {
        world.reply(counter);
    }
    assert!(!world.is_answered(token), "the delay has not passed");
    world.advance(Duration::from_millis(20));
    assert_eq!(world.answer_of(token).coverage.missed[0].cause, Cause::AnsweredEarly);
}

#[test]
fn a_service_without_partition_map_is_refused() {
    let mut world = world(service(1, 1, 1, Vec::new()));
    let token = world.ask(&profile(true), all());
    assert_eq!(world.refusal_of(token).ran, Ran::NotRun);
}

#[test]
fn a_query_is_pinned_to_the_newest_version() {
    let mut world = world(service(2, 1, 3, vec![map(1, 2, 2, 1), map(2, 3, 2, 1)]));
    let token = world.ask(&profile(true), all());
    world.reply_all();
    let answer = world.answer_of(token);
    assert_eq!((answer.version, answer.coverage.total), (id::Version(2), 3));
}
