//! Each answer reflects one index version, while versions change and data is
//! repartitioned.

mod support;

use jacinthfall_core::coverage::Cause;
use jacinthfall_core::leaf::{Outcome, Refusal};
use jacinthfall_core::profile::Profile;
use jacinthfall_core::query;
use jacinthfall_core::service::Service;
use jacinthfall_core::{event, id};
use support::{World, all, map, profile, service, world};

const V1: id::Version = id::Version(1);
const V2: id::Version = id::Version(2);

fn refuse_version(versions: &[id::Version]) -> Outcome {
    Outcome::Refused(Refusal::Version { available: versions.to_vec() })
}

/// Ends all attempts in flight as leafs that hold only the version `held` do.
fn serve_only(world: &mut World, held: id::Version) {
    while let Some((&counter, sent)) = world.in_flight.first_key_value() {
        let outcome = match sent.part.version {
            Some(version) if version != held => refuse_version(&[held]),
            _ => world.outcome(&sent.clone(), held),
        };
        world.end(counter, outcome);
    }
}

/// Ends all attempts in flight with replies in the version of each leaf.
fn reply_in_own_version(world: &mut World, version_of: impl Fn(&str) -> id::Version) {
    while let Some((&counter, sent)) = world.in_flight.first_key_value() {
        let outcome = world.outcome(&sent.clone(), version_of(&sent.leaf));
        world.end(counter, outcome);
    }
}

fn count_moves(world: &World) -> usize {
    let is_move = |event: &&event::Event| matches!(event.kind, event::Kind::Moved { .. });
    world.records.iter().filter(is_move).count()
}

fn reporting_service(maps: Vec<jacinthfall_core::service::Map>) -> Service {
    Service { named_versions: false, ..service(2, 3, 3, maps) }
}

#[test]
fn a_part_is_retried_at_a_replica_that_has_the_version() {
    let mut world = world(service(1, 2, 3, vec![map(1, 1, 1, 2), map(2, 1, 1, 2)]));
    let token = world.ask(&profile(true), all());
    let first = world.attempts_of(token)[0];
    world.end(first, refuse_version(&[V1]));
    world.reply_all();
    assert_eq!(world.answer_of(token).version, V2);
    assert_eq!(count_moves(&world), 0);
}

#[test]
fn a_query_moves_all_its_parts_when_its_version_is_gone() {
    let mut world = world(service(2, 2, 3, vec![map(1, 4, 2, 2)]));
    let token = world.ask(&profile(true), all());
    let first = world.attempts_of(token)[0];
    world.reply(first);
    world.describe(service(2, 2, 3, vec![map(1, 4, 2, 2), map(2, 6, 2, 2)]));
    serve_only(&mut world, V2);
    let answer = world.answer_of(token);
    assert_eq!((answer.version, answer.coverage.total), (V2, 6));
    assert!(answer.coverage.is_full());
    assert_eq!(count_moves(&world), 1);
}

#[test]
fn a_query_moves_at_most_once() {
    let maps = vec![map(1, 2, 1, 2), map(2, 3, 1, 2), map(3, 4, 1, 2)];
    let mut world = world(service(1, 2, 3, maps));
    let token = world.ask(&profile(true), all());
    while let Some((&counter, sent)) = world.in_flight.first_key_value() {
        let other = if sent.part.version == Some(V2) { V1 } else { V2 };
        world.end(counter, refuse_version(&[other]));
    }
    assert_eq!(count_moves(&world), 1);
    assert!(world.refusal_of(token).message.contains("VersionUnavailable: 0;"));
}

#[test]
fn after_a_move_new_queries_are_pinned_to_the_version_that_leafs_serve() {
    let mut world = world(service(2, 2, 3, vec![map(1, 4, 2, 2), map(2, 6, 2, 2)]));
    world.ask(&profile(true), all());
    serve_only(&mut world, V1);
    let token = world.ask(&profile(true), all());
    world.reply_all();
    assert_eq!(world.answer_of(token).version, V1);
    assert_eq!(count_moves(&world), 1);
}

#[test]
fn queries_in_progress_keep_their_partition_map() {
    let mut world = world(service(2, 2, 3, vec![map(1, 4, 2, 2)]));
    let before = world.ask(&profile(true), all());
    world.describe(service(2, 2, 3, vec![map(2, 6, 2, 2)]));
    let after = world.ask(&profile(true), all());
    world.reply_all();
    assert_eq!(world.answer_of(before).coverage.total, 4);
    assert_eq!(world.answer_of(after).coverage.total, 6);
}

#[test]
fn a_reply_in_another_version_than_requested_is_not_merged() {
    let mut world = world(service(1, 2, 3, vec![map(1, 2, 1, 2), map(2, 2, 1, 2)]));
    let token = world.ask(&profile(true), all());
    let first = world.attempts_of(token)[0];
    let other_version = world.outcome(&world.in_flight[&first], V1);
    world.end(first, other_version);
    world.reply_all();
    assert_eq!(world.answer_of(token).version, V2);
    assert_eq!(world.engine.counters().wrong_version, 1);
}

#[test]
fn a_reply_in_another_version_than_most_is_retried_at_another_replica() {
    let mut world = world(reporting_service(vec![map(1, 4, 2, 3), map(2, 4, 2, 3)]));
    let warm_up = world.ask(&profile(true), all());
    reply_in_own_version(&mut world, |_| V1);
    assert_eq!(world.answer_of(warm_up).version, V1);
    let token = world.ask(&profile(true), all());
    reply_in_own_version(&mut world, |leaf| if leaf == "leaf-0-0" { V2 } else { V1 });
    assert_eq!(world.answer_of(token).version, V1);
    assert!(world.answer_of(token).coverage.is_full());
    assert_eq!(count_moves(&world), 1, "only the first query has to discover the version");
}

#[test]
fn a_query_moves_when_all_leafs_report_a_new_version() {
    let mut world = world(reporting_service(vec![map(1, 4, 2, 3), map(2, 7, 2, 3)]));
    world.ask(&profile(true), all());
    reply_in_own_version(&mut world, |_| V1);
    let token = world.ask(&profile(true), all());
    reply_in_own_version(&mut world, |_| V2);
    let answer = world.answer_of(token);
    assert_eq!((answer.version, answer.coverage.total), (V2, 7));
    assert!(answer.coverage.is_full());
}

#[test]
fn mixed_versions_are_answered_in_the_version_with_the_highest_coverage() {
    let mut world = world(reporting_service(vec![map(1, 4, 2, 3), map(2, 4, 2, 3)]));
    let lenient = Profile { least_coverage: 0.5, ..profile(true) };
    world.ask(&lenient, all());
    reply_in_own_version(&mut world, |_| V1);
    let token = world.ask(&lenient, all());
    reply_in_own_version(&mut world, |leaf| if leaf.starts_with("leaf-0") { V2 } else { V1 });
    let answer = world.answer_of(token);
    assert_eq!((answer.coverage.answered, answer.coverage.total), (2, 4));
    assert_eq!(answer.coverage.missed[0].cause, Cause::VersionUnavailable);
}

#[test]
fn at_the_deadline_after_a_move_the_version_with_more_coverage_is_answered() {
    let mut world = world(service(4, 1, 3, vec![map(1, 4, 4, 1), map(2, 4, 4, 1)]));
    let lenient = Profile { least_coverage: 0.5, ..profile(true) };
    let token = world.ask(&lenient, all());
    let attempts = world.attempts_of(token);
    for &counter in &attempts[1..] {
        world.reply(counter);
    }
    world.end(attempts[0], refuse_version(&[V1]));
    assert_eq!(count_moves(&world), 1);
    world.advance(lenient.deadline);
    let query::Outcome::Answered(answer) = world.outcome_of(token) else { panic!("refused") };
    assert_eq!((answer.version, answer.coverage.answered), (V2, 3));
}
