//! Order of stamps across nodes whose wall clocks differ.

use std::time::Duration;

use jacinthfall_core::event::{Event, Kind};
use jacinthfall_core::id::Incarnation;
use jacinthfall_core::time::Wall;
use jacinthfall_timeline::clock::MAX_DRIFT;
use jacinthfall_timeline::{Ring, merge};
use jacinthfall_wire::Stamp;
use jacinthfall_wire::timeline::{Entry, Filter};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Wall clock time at the start of each test.
const START: Wall = Wall(1_750_000_000_000);

/// A node with a wall clock that is `skew` milliseconds ahead.
struct Node {
    ring: Ring,
    skew: i64,
}

impl Node {
    fn now(&self, elapsed: u64) -> Wall {
        Wall((START.0 + elapsed).checked_add_signed(self.skew).unwrap())
    }
}

/// Step of a random run.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Lets milliseconds pass.
    Elapse(u64),
    /// Records an event on a node.
    Local(usize),
    /// Sends a frame from one node to another, which records its arrival.
    Send(usize, usize),
}

fn node(name: &str, skew: i64) -> Node {
    Node { ring: Ring::open(Incarnation { node: name.into(), started: 1 }, 4_096), skew }
}

fn event(step: usize) -> Event {
    let state = step.to_string().into();
    Event { request: None, kind: Kind::State { who: "test".into(), state } }
}

fn unfiltered() -> Filter {
    Filter { limit: u32::MAX, ..Filter::default() }
}

fn step(nodes: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..40_u64).prop_map(Step::Elapse),
        (0..nodes).prop_map(Step::Local),
        (0..nodes, 0..nodes).prop_map(|(from, to)| Step::Send(from, to)),
    ]
}

/// Runs the steps. Returns pairs of stamps, of which the first event caused the second.
fn run(nodes: &mut [Node], steps: &[Step]) -> Vec<(Stamp, Stamp)> {
    let mut elapsed = 0;
    let mut causal_pairs = Vec::new();
    let mut last_stamps: Vec<Option<Stamp>> = nodes.iter().map(|_| None).collect();
    for (index, step) in steps.iter().enumerate() {
        let (from, to) = match *step {
            Step::Elapse(millis) => {
                elapsed += millis;
                continue;
            }
            Step::Local(at) => (None, at),
            Step::Send(from, to) => (Some(from), to),
        };
        if let Some(from) = from {
            let now = nodes[from].now(elapsed);
            let sent = nodes[from].ring.stamp(now);
            causal_pairs.extend(last_stamps[from].map(|before| (before, sent)));
            last_stamps[from] = Some(sent);
            let now = nodes[to].now(elapsed);
            nodes[to].ring.observe(now, sent);
            let received = nodes[to].ring.record(now, event(index));
            causal_pairs.push((sent, received));
            last_stamps[to] = Some(received);
            continue;
        }
        let now = nodes[to].now(elapsed);
        let stamp = nodes[to].ring.record(now, event(index));
        causal_pairs.extend(last_stamps[to].map(|before| (before, stamp)));
        last_stamps[to] = Some(stamp);
    }
    causal_pairs
}

fn config(seed: u64) -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn causes_are_stamped_before_effects_within_the_max_drift(
        skews in prop::collection::vec(-500..=500_i64, 5),
        steps in prop::collection::vec(step(5), 1..200),
    ) {
        let mut nodes: Vec<Node> =
            skews.iter().enumerate().map(|(n, &skew)| node(&format!("node-{n}"), skew)).collect();

        let causal_pairs = run(&mut nodes, &steps);

        for (cause, effect) in causal_pairs {
            prop_assert!(cause < effect, "{cause:?} caused {effect:?}");
        }
        let lists: Vec<Vec<Entry>> = nodes.iter().map(|node| node.ring.find(&unfiltered())).collect();
        let recorded: usize = lists.iter().map(Vec::len).sum();
        let merged = merge(lists);
        prop_assert_eq!(merged.len(), recorded);
        prop_assert!(merged.windows(2).all(|pair| pair[0].stamp < pair[1].stamp));
        prop_assert!(nodes.iter().all(|node| node.ring.counters().rejected == 0));
    }

    #[test]
    fn wrong_clock_advances_others_by_at_most_the_max_drift(
        skew in 600_000..10_000_000_i64,
        steps in prop::collection::vec(step(4), 1..200),
    ) {
        let mut nodes = vec![node("wrong", skew), node("a", 0), node("b", 0), node("c", 0)];

        let causal_pairs = run(&mut nodes, &steps);

        let furthest = nodes[1].now(60_000) + MAX_DRIFT + Duration::from_millis(1);
        for node in &nodes[1..] {
            let stamps = node.ring.find(&unfiltered()).into_iter().map(|entry| entry.stamp.wall());
            prop_assert!(stamps.into_iter().all(|wall| wall <= furthest));
        }
        let is_bounded = |stamp: Stamp| stamp.wall() <= furthest;
        for (cause, effect) in causal_pairs {
            prop_assert!(!is_bounded(cause) || cause < effect, "{cause:?} caused {effect:?}");
        }
    }
}

#[test]
fn stamp_too_far_ahead_is_counted_and_ignored() {
    let mut ring = Ring::open(Incarnation { node: "n".into(), started: 1 }, 8);
    let mut ahead = Ring::open(Incarnation { node: "ahead".into(), started: 1 }, 8);
    let far_ahead = ahead.stamp(START + MAX_DRIFT + Duration::from_millis(1));

    ring.observe(START, far_ahead);
    let stamp = ring.record(START, event(0));

    assert_eq!(ring.counters().rejected, 1);
    assert_eq!(stamp.wall(), START);
}

#[test]
fn stamps_increase_when_the_wall_clock_is_set_back() {
    let mut ring = Ring::open(Incarnation { node: "n".into(), started: 1 }, 8);
    let before = ring.record(START, event(0));

    let after = ring.record(Wall(START.0 - 3_600_000), event(1));

    assert!(after > before);
}

#[test]
fn filter_narrows_by_request_node_time_and_count() {
    let mut ring = Ring::open(Incarnation { node: "n".into(), started: 1 }, 8);
    for at in 0..6 {
        let request = Some(if at % 2 == 0 { "even".into() } else { "odd".into() });
        ring.record(Wall(START.0 + at), Event { request, kind: Kind::Claimed });
    }
    let times = |filter: &Filter| -> Vec<u64> {
        ring.find(filter).iter().map(|entry| entry.stamp.wall().0 - START.0).collect()
    };

    assert_eq!(times(&Filter { request: Some("odd".into()), ..unfiltered() }), [1, 3, 5]);
    assert_eq!(times(&Filter { node: Some("other".into()), ..unfiltered() }), [] as [u64; 0]);
    let (after, before) = (Some(START.0 + 2), Some(START.0 + 4));
    assert_eq!(times(&Filter { after, before, ..unfiltered() }), [2, 3]);
    assert_eq!(times(&Filter { limit: 2, ..unfiltered() }), [4, 5]);
}
