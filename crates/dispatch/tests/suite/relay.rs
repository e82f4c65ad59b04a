//! Choice of the nodes that serve requests on behalf of one that has lost its leafs.

use std::collections::HashMap;

use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::quarantine::Service;
use jacinthfall_dispatch::reach::Loss;
use jacinthfall_dispatch::relay::{Ending, Selector};
use jacinthfall_dispatch::roster::{Demand, Heartbeat, Node, Phase, Roster, SUSPECT_AFTER};
use jacinthfall_dispatch::transfer::Rank;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Returns node `number` in a zone.
fn node(number: u16, zone: &str) -> Node {
    Node {
        name: format!("node-{number:04}").into(),
        started: 1,
        zone: zone.into(),
        callers: ([10, 0, 0, 1], 1_000 + number).into(),
        peers: ([10, 0, 0, 1], 20_000 + number).into(),
        capacity: 1_000,
    }
}

fn beat(node: Node, load: u16, loss: Loss) -> Heartbeat {
    Heartbeat {
        node,
        phase: Phase::Serving,
        upto: Position::new(0, 1),
        configuration: Rank::default(),
        store_answers: true,
        active: true,
        load,
        demand: Demand::default(),
        loss,
    }
}

/// A node that has lost `shard`, and what it knows of the others.
struct Cut {
    own: Node,
    roster: Roster,
    selector: Selector,
    rng: ChaCha8Rng,
}

impl Cut {
    fn open(others: impl IntoIterator<Item = Heartbeat>) -> Cut {
        let mut roster = Roster::default();
        others.into_iter().for_each(|beat| _ = roster.record_heartbeat(Time(0), &beat));
        let (own, selector) = (node(0, "z"), Selector::default());
        Cut { own, roster, selector, rng: ChaCha8Rng::seed_from_u64(36) }
    }

    fn choose(&mut self, now: Time, tried: &[id::Name]) -> Option<Node> {
        let Cut { own, roster, selector, rng } = self;
        selector.choose(now, roster, own, &[shard()], tried, rng)
    }

    /// Chooses a node and sends it a request.
    fn send(&mut self, now: Time) -> Option<id::Name> {
        let node = self.choose(now, &[])?;
        self.selector.record_send(&node);
        Some(node.name)
    }
}

fn shard() -> Service {
    Service::of("shard")
}

#[test]
fn only_nodes_that_reach_the_lost_services_are_chosen() {
    let other = Loss::of([Service::of("other")]);
    let mut cut = Cut::open([
        beat(node(1, "z"), 0, Loss::Most),
        beat(node(2, "z"), 0, Loss::of([shard()])),
        beat(node(3, "y"), 900, other),
    ]);

    let chosen = cut.choose(Time(0), &[]);

    assert_eq!(chosen.map(|node| node.name), Some("node-0003".into()));
}

#[test]
fn no_node_is_chosen_if_none_reaches_the_leafs_or_all_are_silent() {
    let mut cut = Cut::open([beat(node(1, "z"), 0, Loss::Most), beat(node(2, "z"), 0, Loss::Most)]);
    assert!(cut.choose(Time(0), &[]).is_none());

    let mut cut = Cut::open([beat(node(1, "z"), 0, Loss::Nothing)]);
    assert!(cut.choose(Time(0) + SUSPECT_AFTER, &[]).is_none());
}

#[test]
fn a_near_node_with_spare_capacity_is_preferred_and_a_busy_one_is_not() {
    for (near_load, expected) in [(100, "node-0001"), (900, "node-0002")] {
        let mut cut = Cut::open([
            beat(node(1, "z"), near_load, Loss::Nothing),
            beat(node(2, "y"), 100, Loss::Nothing),
        ]);

        let chosen = cut.choose(Time(0), &[]);

        assert_eq!(chosen.map(|node| node.name), Some(expected.into()), "load {near_load}");
    }
}

#[test]
fn a_node_that_fails_is_left_out_for_longer_each_time_and_used_again_after() {
    let mut cut = Cut::open([beat(node(1, "z"), 0, Loss::Nothing)]);
    let mut now = Time(0);
    let mut pauses = Vec::new();
    for _ in 0..3 {
        let name = cut.send(now).expect("a node");
        let pause = cut.selector.record_end(now, &name, Ending::Failed).expect("a pause");
        assert!(cut.choose(now, &[]).is_none(), "it is left out");
        pauses.push(pause);
        now = now + pause;
        cut.roster.record_heartbeat(now, &beat(node(1, "z"), 0, Loss::Nothing));
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");

    let name = cut.send(now).expect("a node");
    cut.selector.record_end(now, &name, Ending::Answered);
    assert!(cut.choose(now, &[]).is_some());
}

#[test]
fn a_request_is_not_offered_to_the_same_node_twice() {
    let nodes = [beat(node(1, "z"), 0, Loss::Nothing), beat(node(2, "z"), 0, Loss::Nothing)];
    let mut cut = Cut::open(nodes);
    let first = cut.choose(Time(0), &[]).expect("a node").name;

    let second = cut.choose(Time(0), std::slice::from_ref(&first)).expect("another node").name;

    assert_ne!(first, second);
    assert!(cut.choose(Time(0), &[first, second]).is_none());
}

/// The load of a cut of most nodes: each of them sends on 200 requests, which are all in flight.
#[test]
fn the_requests_of_many_cut_nodes_spread_over_the_others_by_few_connections() {
    const NODES: u16 = 300;
    const CUT: u16 = 180;
    const REQUESTS: usize = 200;
    let beats = |own: u16| {
        let others = (0..NODES).filter(move |number| *number != own);
        others.map(|number| {
            let loss = if number < CUT { Loss::Most } else { Loss::Nothing };
            beat(node(number, "z"), 300, loss)
        })
    };
    let mut requests: HashMap<id::Name, usize> = HashMap::new();
    let mut connections: HashMap<id::Name, usize> = HashMap::new();

    for own in 0..CUT {
        let mut cut = Cut::open(beats(own));
        cut.own = node(own, "z");
        cut.rng = ChaCha8Rng::seed_from_u64(own.into());
        let mut used: HashMap<id::Name, usize> = HashMap::new();
        for _ in 0..REQUESTS {
            *used.entry(cut.send(Time(0)).expect("a node")).or_default() += 1;
        }
        for (name, count) in used {
            *requests.entry(name.clone()).or_default() += count;
            *connections.entry(name).or_default() += 1;
        }
    }

    let mean = usize::from(CUT) * REQUESTS / usize::from(NODES - CUT);
    let most = requests.values().max().copied().unwrap_or_default();
    assert!(most < 4 * mean, "one node gets {most} requests, the mean is {mean}");
    let most = connections.values().max().copied().unwrap_or_default();
    assert!(most < 20, "one node gets {most} connections");
}
