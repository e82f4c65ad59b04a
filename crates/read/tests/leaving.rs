//! A leaf that is leaving gets no new parts, whichever source reports it.

mod support;

use jacinthfall_core::id;
use jacinthfall_core::leaf::{Outcome, Refusal};
use jacinthfall_core::refusal::{self, Ran};
use jacinthfall_core::service::Service;
use jacinthfall_read::Event;
use support::{World, all, map, profile, service, world};

const REQUESTS: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Peer,
    Reply,
    Refusal,
    Description,
}

const SOURCES: [Source; 4] = [Source::Peer, Source::Reply, Source::Refusal, Source::Description];

fn two_leafs() -> Service {
    service(1, 2, 2, vec![map(1, 2, 1, 2)])
}

/// Reports through `source` that the leaf of an attempt in flight is leaving.
fn report_leaving(world: &mut World, source: Source) -> id::Name {
    let (&counter, sent) = world.in_flight.first_key_value().expect("an attempt");
    let sent = sent.clone();
    world.leaving.insert(sent.leaf.clone());
    match source {
        Source::Peer => {
            world.feed(Event::Leaving { leaf: sent.leaf.clone(), leaving: true });
        }
        Source::Reply => {
            let mut reply = world.reply_to(&sent);
            reply.leaving = true;
            world.end(counter, Outcome::Replied(reply));
        }
        Source::Refusal => world.end(counter, Outcome::Refused(Refusal::Leaving)),
        Source::Description => {
            let mut described = world.service.clone();
            let leafs = described.leafs.iter_mut();
            leafs.filter(|leaf| leaf.name == sent.leaf).for_each(|leaf| leaf.leaving = true);
            world.describe(described);
        }
    }
    sent.leaf
}

/// Reports the same in the reply to the leaf's other attempt in flight.
fn report_leaving_again(world: &mut World, leaf: &str) {
    let other = world.in_flight.iter().find(|(_, sent)| *sent.leaf == *leaf);
    let (&counter, sent) = other.expect("the leaf has two slots");
    let mut reply = world.reply_to(sent);
    reply.leaving = true;
    world.end(counter, Outcome::Replied(reply));
}

#[test]
fn a_leaving_leaf_gets_no_parts_and_is_announced_once() {
    for source in SOURCES {
        let mut world = world(two_leafs());
        let tokens: Vec<_> = (0..REQUESTS).map(|_| world.ask(&profile(true), all())).collect();
        assert_eq!(world.in_flight.len(), 4, "all slots are taken and the other parts are queued");
        let leaf = report_leaving(&mut world, source);
        if source == Source::Reply {
            report_leaving_again(&mut world, &leaf);
        }
        // Replies without the flag may be older than the report and must not clear it.
        world.reply_all();
        for token in tokens {
            assert!(world.answer_of(token).coverage.is_full(), "{source:?}");
        }
        let announcements = usize::from(matches!(source, Source::Reply | Source::Refusal));
        assert_eq!(
            world.announced,
            vec![(leaf, true); announcements],
            "{source:?}: announced once if first-hand"
        );
    }
}

#[test]
fn a_query_is_refused_at_once_if_all_leafs_are_leaving() {
    let mut world = world(two_leafs());
    for leaf in ["leaf-0-0", "leaf-0-1"] {
        world.leaving.insert(leaf.into());
        world.feed(Event::Leaving { leaf: leaf.into(), leaving: true });
    }
    let token = world.ask(&profile(true), all());
    let refusal = world.refusal_of(token);
    assert_eq!((refusal.cause, refusal.ran), (refusal::Cause::Unavailable, Ran::NotRun));
    assert!(refusal.message.contains("Leaving"), "{}", refusal.message);
}

#[test]
fn a_leaving_report_before_the_leaf_is_listed_is_kept() {
    let mut world = world(service(1, 1, 2, vec![map(1, 2, 1, 1)]));
    world.leaving.insert("leaf-0-1".into());
    world.feed(Event::Leaving { leaf: "leaf-0-1".into(), leaving: true });
    world.describe(two_leafs());
    for _ in 0..REQUESTS {
        world.ask(&profile(true), all());
    }
    world.reply_all();
    assert!(world.asks.values().all(|tracked| tracked.answer.is_some()));
}

#[test]
fn a_leaf_that_stops_leaving_is_used_again() {
    let mut world = world(two_leafs());
    let leaf: id::Name = "leaf-0-0".into();
    for leaving in [true, false] {
        world.feed(Event::Leaving { leaf: leaf.clone(), leaving });
    }
    for _ in 0..REQUESTS {
        world.ask(&profile(true), all());
    }
    assert!(world.in_flight.values().any(|sent| sent.leaf == leaf));
}
