//! Which nodes ask the store for changes, whatever nodes it leaves without an answer.

use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::watch::{Confirmation, Knowledge};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::followers::{Followers, Mode};

/// Lets a node that knows all changes up to `upto` hear of a proof that is 10 ms old, at 1 s.
fn hear(knowledge: &mut Knowledge, place: Position, upto: Position) {
    let confirmation = Confirmation { upto: place, age_ms: 10 };
    knowledge.merge(Time::from_millis(1_000), &confirmation, upto);
}

#[test]
fn a_proof_counts_once_the_changes_that_it_covers_are_known() {
    let mut knowledge = Knowledge::default();
    let (early, late) = (Position::new(1, 5), Position::new(1, 9));
    hear(&mut knowledge, late, early);
    assert_eq!(knowledge.confirmed(), Time(0));

    knowledge.advance(late);

    assert_eq!(knowledge.confirmed(), Time::from_millis(990));
}

#[test]
fn a_proof_of_known_changes_counts_while_later_changes_are_awaited() {
    let mut knowledge = Knowledge::default();
    let (early, late) = (Position::new(1, 5), Position::new(1, 9));
    hear(&mut knowledge, late, early);

    hear(&mut knowledge, early, early);

    assert_eq!(knowledge.confirmed(), Time::from_millis(990));
}

/// Guards against a proof from before the store returned from an older copy.
#[test]
fn a_proof_of_an_earlier_era_counts_for_nothing() {
    let mut knowledge = Knowledge::default();

    hear(&mut knowledge, Position::new(0, 20), Position::new(1, 5));

    assert_eq!(knowledge.confirmed(), Time(0));
}

/// A deployment: its size, the bound within which changes must be known, and the calls per second
/// that the store accepts.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    nodes: usize,
    zones: usize,
    bound: Duration,
    calls_per_second: usize,
}

const DEPLOYMENTS: [Deployment; 6] = [
    Deployment { nodes: 2, zones: 2, bound: Duration::from_secs(3), calls_per_second: 2_000 },
    Deployment { nodes: 3, zones: 1, bound: Duration::from_secs(3), calls_per_second: 2_000 },
    Deployment { nodes: 8, zones: 3, bound: Duration::from_secs(3), calls_per_second: 2_000 },
    Deployment { nodes: 9, zones: 3, bound: Duration::from_secs(3), calls_per_second: 2_000 },
    Deployment { nodes: 60, zones: 4, bound: Duration::from_secs(5), calls_per_second: 6_000 },
    Deployment { nodes: 295, zones: 5, bound: Duration::from_secs(6), calls_per_second: 16_000 },
];

/// Part of the bound that is left for what the model has none of: slow nodes, and the transfer of
/// a large configuration.
const MARGIN_SHARE: f64 = 1.0 / 6.0;

/// Time after which a node without disturbance counts as in touch, and knows what the others do.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Which nodes the store leaves without an answer.
#[derive(Clone, Copy, Debug)]
enum Choice {
    /// The first ones of each zone by name: those that watch the store and would be next.
    First(f64),
    /// Any.
    Share(f64),
    /// All but one.
    AllButOne,
}

impl Choice {
    fn random(rng: &mut ChaCha8Rng) -> Choice {
        match rng.random_range(0..5) {
            0 | 1 => Choice::First(rng.random_range(0.0..0.9)),
            2 | 3 => Choice::Share(rng.random_range(0.1..0.9)),
            _ => Choice::AllButOne,
        }
    }

    fn nodes(self, followers: &Followers, rng: &mut ChaCha8Rng) -> Vec<usize> {
        let all: Vec<usize> = (0..followers.modes.len()).collect();
        let mut chosen: Vec<usize> = match self {
            Choice::First(share) => {
                let first = |zone: Vec<usize>| {
                    let count = 1 + (zone.len() as f64 * share) as usize;
                    zone.into_iter().take(count).collect::<Vec<usize>>()
                };
                followers.zones().into_iter().flat_map(first).collect()
            }
            Choice::Share(share) => all
                .choose_multiple(rng, (all.len() as f64 * share).ceil() as usize)
                .copied()
                .collect(),
            Choice::AllButOne => all.choose_multiple(rng, all.len() - 1).copied().collect(),
        };
        if chosen.len() == all.len() {
            chosen.pop();
        }
        chosen
    }
}

/// Lets the store leave some nodes without an answer and changes something meanwhile. Returns the
/// longest time until a node that it answers knows the change, and what was done.
fn longest_delay(deployment: Deployment, seed: u64) -> (Duration, String) {
    let Deployment { nodes, zones, bound, calls_per_second } = deployment;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut followers = Followers::open(nodes, zones, bound, seed);
    followers.run(SETTLING_TIME + bound.mul_f64(rng.random()));
    if rng.random() {
        followers.change(Duration::from_secs(1).mul_f64(rng.random()));
    }
    let choice = Choice::random(&mut rng);
    let chosen = choice.nodes(&followers, &mut rng);
    let modes = [Mode::Silent, Mode::Refuses];
    let mode = *modes.choose(&mut rng).expect("two modes");
    let is_mixed = rng.random_bool(0.3);
    for number in &chosen {
        let other = *modes.choose(&mut rng).expect("two modes");
        followers.modes[*number] = if is_mixed { other } else { mode };
    }
    let disturbed = followers.now;
    followers.run(bound.mul_f64(rng.random::<f64>() * 1.5));
    let calm: Vec<bool> = followers.modes.iter().map(|mode| *mode == Mode::Serves).collect();

    let delays = followers.change(bound + Duration::from_secs(1));

    let calm = delays.iter().zip(calm).filter(|(_, calm)| *calm).map(|(delay, _)| *delay);
    let longest = calm.map(|delay| delay.unwrap_or(Duration::MAX)).max().expect("a calm node");
    assert!(followers.most_calls(disturbed) <= calls_per_second);
    (longest, format!("{deployment:?}, seed {seed}: {choice:?}, {mode:?}, mixed: {is_mixed}"))
}

/// Regression test: the nodes that watched the store got no answer, and the others relied on them
/// for longer than the bound.
#[test]
fn a_change_is_known_in_time_to_all_nodes_that_the_store_answers() {
    for deployment in DEPLOYMENTS {
        let seeds = [(9, 100), (60, 20), (295, 5)];
        let seeds = seeds.iter().find(|(nodes, _)| deployment.nodes <= *nodes).expect("a size").1;
        let bound = deployment.bound.mul_f64(1.0 - MARGIN_SHARE);
        let mut worst = Duration::ZERO;
        for seed in 0..seeds {
            let (longest, what) = longest_delay(deployment, seed);
            assert!(longest <= bound, "known after {longest:?}, {bound:?} allowed: {what}");
            worst = worst.max(longest);
        }
        println!("{deployment:?}: known after {worst:?} at the latest, of {seeds} seeds");
    }
}

/// Prints the figures of docs/design/watch.md, and guards against nodes that all ask the store.
#[test]
fn in_calm_one_node_of_each_zone_asks_the_store() {
    for deployment in DEPLOYMENTS {
        let Deployment { nodes, zones, bound, .. } = deployment;
        let mut followers = Followers::open(nodes, zones, bound, 1);
        followers.run(SETTLING_TIME);
        let since: Time = followers.now;

        followers.run(Duration::from_secs(24));

        let (watches, renewals) = followers.call_rates(since);
        println!("{deployment:?}: {watches:.2} watches and {renewals:.2} renewals a second");
        let needed = zones as f64 * 3.0 / bound.as_secs_f64();
        assert!(watches <= 1.1 * needed, "{watches} watches a second: {deployment:?}");
        assert!(renewals <= 1.1 * nodes as f64 / 4.0, "{renewals} a second: {deployment:?}");
    }
}

/// Returns the highest rate of watches in an outage of some seconds: two nodes of each zone try, with
/// pauses of 0.1, 0.2, 0.4 and then 0.8 s that are shorter by a third at most, and each of the
/// others may have to find out once that the store doesn't answer it.
fn most_watches(nodes: usize, zones: usize, seconds: f64) -> f64 {
    let tries_of_one = 4.0 + seconds / (0.7 * 0.8);
    (2.0 * zones as f64 * tries_of_one + nodes as f64) / seconds
}

/// Guards against a load of calls on a store that answers none.
#[test]
fn a_store_that_answers_no_node_gets_few_calls() {
    let seconds = 10.0;
    for deployment in DEPLOYMENTS {
        for mode in [Mode::Silent, Mode::Refuses] {
            let Deployment { nodes, zones, bound, calls_per_second } = deployment;
            let mut followers = Followers::open(nodes, zones, bound, 1);
            followers.run(SETTLING_TIME);
            followers.modes.fill(mode);
            let since = followers.now;

            followers.run(Duration::from_secs_f64(seconds));

            let (watches, renewals) = followers.call_rates(since);
            println!(
                "{deployment:?}, {mode:?}: {watches:.2} watches and {renewals:.2} renewals a second"
            );
            assert!(followers.most_calls(since) <= calls_per_second, "{deployment:?}, {mode:?}");
            let most = most_watches(nodes, zones, seconds);
            assert!(watches <= most, "{watches} a second: {deployment:?}, {mode:?}");
        }
    }
}
