//! Fault matrix: each outcome of an attempt at each step of a query.

mod support;

use std::time::Duration;

use jacinthfall_core::leaf::{Outcome, Refusal, Reply};
use jacinthfall_core::refusal::{self, Ran};
use jacinthfall_core::{event, id, query};
use jacinthfall_read::Event;
use support::{Sent, World, all, broken, key, malformed, map, profile, service, unsent, world};

const V1: id::Version = id::Version(1);

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    OtherAttempt,
    OtherRequest,
    OtherShard,
    OtherVersion,
    Truncated,
    DuplicateRow,
    StrayRow,
    Overloaded,
    Leaving,
    Version,
    Shard,
    Expired,
    Unsent,
    Broken,
    Malformed,
}

const FAULTS: [Fault; 16] = [
    Fault::None,
    Fault::OtherAttempt,
    Fault::OtherRequest,
    Fault::OtherShard,
    Fault::OtherVersion,
    Fault::Truncated,
    Fault::DuplicateRow,
    Fault::StrayRow,
    Fault::Overloaded,
    Fault::Leaving,
    Fault::Version,
    Fault::Shard,
    Fault::Expired,
    Fault::Unsent,
    Fault::Broken,
    Fault::Malformed,
];

/// Progress of a query when the outcome arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    First,
    AfterRetry,
    AfterMove,
    /// The first attempt ends after a hedged request was sent.
    FirstOfHedged,
    /// The hedged request ends before the first attempt.
    SecondOfHedged,
    AfterReply,
    AfterDeadline,
    AfterAbandoned,
}

const STEPS: [Step; 8] = [
    Step::First,
    Step::AfterRetry,
    Step::AfterMove,
    Step::FirstOfHedged,
    Step::SecondOfHedged,
    Step::AfterReply,
    Step::AfterDeadline,
    Step::AfterAbandoned,
];

fn altered(world: &World, sent: &Sent, modify: impl Fn(&mut Reply)) -> Outcome {
    let mut reply = world.reply_to(sent);
    modify(&mut reply);
    Outcome::Replied(reply)
}

fn outcome(world: &World, sent: &Sent, fault: Fault) -> Outcome {
    let refused = |refusal| Outcome::Refused(refusal);
    match fault {
        Fault::None => altered(world, sent, |_| {}),
        Fault::OtherAttempt => altered(world, sent, |reply| reply.attempt.counter += 1_000),
        Fault::OtherRequest => altered(world, sent, |reply| reply.request = "r-other".into()),
        Fault::OtherShard => altered(world, sent, |reply| reply.shard.0 += 1),
        Fault::OtherVersion => altered(world, sent, |reply| reply.version.0 += 1),
        Fault::Truncated => altered(world, sent, |reply| reply.count += 1),
        Fault::DuplicateRow => altered(world, sent, |reply| {
            reply.rows.push(reply.rows[0].clone());
            reply.count += 1;
        }),
        Fault::StrayRow => altered(world, sent, |reply| {
            let map = &world.maps[&reply.version];
            let stray = (0..).map(|number| support::row(reply.version, number));
            let stray = stray.filter(|row| map.shard_of(&row.key) != Some(reply.shard));
            reply.rows.extend(stray.take(1));
            reply.count += 1;
        }),
        Fault::Overloaded => refused(Refusal::Overloaded),
        Fault::Leaving => refused(Refusal::Leaving),
        Fault::Version => refused(Refusal::Version { available: vec![V1] }),
        Fault::Shard => refused(Refusal::Shard),
        Fault::Expired => refused(Refusal::Expired),
        Fault::Unsent => unsent(),
        Fault::Broken => broken(),
        Fault::Malformed => malformed(),
    }
}

fn note_leaving(world: &mut World, sent: &Sent, fault: Fault) {
    if fault == Fault::Leaving {
        world.leaving.insert(sent.leaf.clone());
    }
}

fn count_dropped(world: &World) -> usize {
    let is_drop = |event: &&event::Event| matches!(event.kind, event::Kind::Dropped { .. });
    world.records.iter().filter(is_drop).count()
}

/// Expected increments of the counters of mismatched, malformed and wrong-version
/// replies.
fn expected_counts(fault: Fault) -> (u64, u64, u64) {
    match fault {
        Fault::OtherAttempt | Fault::OtherRequest | Fault::OtherShard => (1, 0, 0),
        Fault::Truncated | Fault::DuplicateRow | Fault::StrayRow | Fault::Malformed => (0, 1, 0),
        Fault::OtherVersion => (0, 0, 1),
        _ => (0, 0, 0),
    }
}

/// Advances a query to `step`. Returns the attempt that the outcome is for.
fn advance_to(world: &mut World, token: id::Token, step: Step) -> Sent {
    let first = world.attempts_of(token)[0];
    let sent = world.in_flight[&first].clone();
    match step {
        Step::First => return sent,
        Step::AfterRetry => world.end(first, broken()),
        Step::AfterMove => {
            let version_missing = Outcome::Refused(Refusal::Version { available: vec![V1] });
            while world.engine.counters().moves == 0 {
                let shard = sent.part.shard;
                let same = world.in_flight.iter().find(|(_, other)| other.part.shard == shard);
                let counter = *same.expect("an attempt at another replica").0;
                world.end(counter, version_missing.clone());
            }
        }
        Step::FirstOfHedged => {
            support::hedge(world);
            return sent;
        }
        Step::SecondOfHedged => support::hedge(world),
        Step::AfterReply => {
            world.reply(first);
            return sent;
        }
        Step::AfterDeadline => {
            world.advance(Duration::from_millis(100));
            return sent;
        }
        Step::AfterAbandoned => {
            world.feed(Event::Abandoned { token });
            return sent;
        }
    }
    let newest = *world.attempts_of(token).last().expect("the part is sent again");
    world.in_flight[&newest].clone()
}

fn check_step_and_fault(step: Step, fault: Fault) {
    let mut world = world(service(2, 3, 3, vec![map(1, 4, 2, 3), map(2, 4, 2, 3)]));
    support::warm_up(&mut world);
    let token = world.ask(&profile(true), all());
    let sent = advance_to(&mut world, token, step);
    let ending = outcome(&world, &sent, fault);
    let counter = sent.part.attempt.counter;
    if world.in_flight.contains_key(&counter) {
        note_leaving(&mut world, &sent, fault);
        world.end(counter, ending);
        world.reply_all();
        assert!(world.answer_of(token).coverage.is_full(), "{step:?} {fault:?}");
        let counters = world.engine.counters();
        let seen = (counters.mismatched, counters.malformed, counters.wrong_version);
        assert_eq!(seen, expected_counts(fault), "{step:?} {fault:?}");
        return;
    }
    let before = count_dropped(&world);
    let (attempt, leaf) = (sent.part.attempt.clone(), sent.leaf.clone());
    world.feed(Event::Ended { attempt, leaf, outcome: ending });
    assert_eq!(count_dropped(&world), before + 1, "{step:?} {fault:?}");
    assert_eq!(world.engine.counters().late, 1, "{step:?} {fault:?}");
    world.reply_all();
    let is_answered = matches!(world.outcome_of(token), query::Outcome::Answered(_));
    assert_eq!(is_answered, step == Step::AfterReply, "{step:?} {fault:?}");
}

#[test]
fn every_outcome_at_every_step_ends_in_a_correct_answer_or_is_dropped() {
    for step in STEPS {
        for fault in FAULTS {
            check_step_and_fault(step, fault);
        }
    }
}

#[test]
fn a_reply_from_another_leaf_or_incarnation_is_dropped() {
    let mut world = world(service(2, 3, 3, vec![map(1, 4, 2, 3)]));
    let token = world.ask(&profile(true), all());
    let sent = world.in_flight[&world.attempts_of(token)[0]].clone();
    let ending = outcome(&world, &sent, Fault::None);
    let attempt = sent.part.attempt.clone();
    let elsewhere = Event::Ended { attempt, leaf: "leaf-x".into(), outcome: ending.clone() };
    world.feed(elsewhere);
    let origin = id::Incarnation { started: 6, ..support::origin() };
    let attempt = id::Attempt { origin, counter: sent.part.attempt.counter };
    world.feed(Event::Ended { attempt, leaf: sent.leaf.clone(), outcome: ending });
    assert_eq!(world.engine.counters().mismatched, 1);
    assert_eq!(world.engine.counters().late, 1);
    assert_eq!(world.attempts_of(token).len(), 4, "the attempt is still in flight");
    world.reply_all();
    assert!(world.answer_of(token).coverage.is_full());
}

#[test]
fn engines_of_two_services_use_different_attempt_counters() {
    let world_of = |name: &str| {
        support::world(jacinthfall_core::service::Service {
            name: name.into(),
            ..service(1, 1, 1, vec![map(1, 1, 1, 1)])
        })
    };
    let (mut chat, mut bays) = (world_of("chat-archive"), world_of("bay-card"));
    chat.ask(&profile(true), all());
    bays.ask(&profile(true), all());
    assert_ne!(
        chat.in_flight.first_key_value().unwrap().0,
        bays.in_flight.first_key_value().unwrap().0
    );
}

/// Expected result of a non-idempotent request after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Answered,
    Retried,
    Unknown,
}

fn expected_result(fault: Fault) -> Expected {
    match fault {
        Fault::None => Expected::Answered,
        Fault::Overloaded | Fault::Leaving | Fault::Version | Fault::Shard => Expected::Retried,
        Fault::Expired | Fault::Unsent => Expected::Retried,
        _ => Expected::Unknown,
    }
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_did_not_run() {
    for fault in FAULTS {
        if fault == Fault::StrayRow {
            continue; // A receipt need not belong to the shard of its request.
        }
        let mut world = world(service(2, 3, 3, vec![map(1, 4, 2, 3)]));
        let token = world.ask(&profile(false), key(1));
        let sent = world.in_flight[&world.attempts_of(token)[0]].clone();
        let ending = outcome(&world, &sent, fault);
        note_leaving(&mut world, &sent, fault);
        world.end(sent.part.attempt.counter, ending);
        match expected_result(fault) {
            Expected::Answered => assert!(world.answer_of(token).coverage.is_full()),
            Expected::Retried => assert_eq!(world.attempts_of(token).len(), 1, "{fault:?}"),
            Expected::Unknown => {
                let refusal = world.refusal_of(token);
                assert_eq!(refusal.cause, refusal::Cause::OutcomeUnknown, "{fault:?}");
                assert_eq!(refusal.ran, Ran::Unknown, "{fault:?}");
            }
        }
    }
}

#[test]
fn an_abandoned_non_idempotent_request_that_may_have_run_is_not_cancelled() {
    let mut world = world(service(2, 3, 3, vec![map(1, 4, 2, 3)]));
    let token = world.ask(&profile(false), key(1));
    world.feed(Event::Abandoned { token });
    assert!(!world.is_answered(token));
    world.reply_all();
    assert!(world.answer_of(token).coverage.is_full());
}

#[test]
fn a_non_idempotent_request_without_reply_at_the_deadline_may_have_run() {
    let mut world = world(service(2, 3, 3, vec![map(1, 4, 2, 3)]));
    let token = world.ask(&profile(false), key(1));
    world.advance(Duration::from_millis(100));
    assert_eq!(world.refusal_of(token).ran, Ran::Unknown);
}

#[test]
fn a_non_idempotent_request_without_key_is_refused() {
    let mut world = world(service(2, 3, 3, vec![map(1, 4, 2, 3)]));
    let token = world.ask(&profile(false), all());
    let refusal = world.refusal_of(token);
    assert_eq!((refusal.cause, refusal.ran), (refusal::Cause::BadRequest, Ran::NotRun));
}
