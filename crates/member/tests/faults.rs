//! Every pair of faults at every step of a planned stop, and long random runs.
//! The fleet asserts throughout that nobody goes back to an earlier life and
//! that untouched nodes don't evict each other; here all have to meet again.

mod support;

use std::time::Duration;

use jacinthfall_member::Event;
use jacinthfall_wire::member::State;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::Fleet;
use support::fault::{FAULTS, Fault};

/// Time within which all nodes know each other after all faults have ended.
const HEAL_BOUND: Duration = Duration::from_secs(25);

/// The node that is stopped in order.
const LEAVER: usize = 7;

/// Moment of a planned stop at which the faults begin.
#[derive(Clone, Copy, Debug)]
enum Step {
    Before,
    /// The first frames are on their way.
    During,
    After,
}

fn joined(seed: u64) -> Fleet {
    let mut fleet = Fleet::open(8, 3, seed);
    assert!(fleet.until(Duration::from_secs(10), Fleet::all_alive).is_some(), "nodes meet");
    fleet.run(Duration::from_secs(3));
    fleet.untouched = (0..8).collect();
    fleet.untouched.remove(&LEAVER);
    fleet
}

fn begin(fleet: &mut Fleet, faults: &[Fault]) {
    faults.iter().for_each(|fault| fault.begin(fleet));
}

/// Stops a node among faults; returns whether all then knew it, and the time
/// until all met again after the faults and its next start.
fn stop_with_faults(step: Step, faults: &[Fault], seed: u64) -> (bool, Option<Duration>) {
    let mut fleet = joined(seed);
    match step {
        Step::Before => {
            begin(&mut fleet, faults);
            fleet.run(Duration::from_secs(2));
            fleet.give(LEAVER, Event::Leave);
        }
        Step::During => {
            fleet.give(LEAVER, Event::Leave);
            fleet.run(Duration::from_micros(800));
            begin(&mut fleet, faults);
        }
        Step::After => {
            fleet.give(LEAVER, Event::Leave);
            fleet.run(Duration::from_secs(1));
            begin(&mut fleet, faults);
        }
    }
    fleet.run(Duration::from_secs(12));
    let untouched: Vec<_> = fleet.untouched.iter().copied().collect();
    let knows = |index: &usize| {
        let state = fleet.state(*index, LEAVER);
        matches!(state, None | Some(State::Leaving | State::Suspect))
    };
    let known = untouched.iter().all(knows);
    fleet.kill(LEAVER);
    fleet.run(Duration::from_secs(20));
    faults.iter().rev().for_each(|fault| fault.end(&mut fleet));
    fleet.start(LEAVER);
    (known, fleet.until(HEAL_BOUND, Fleet::all_alive))
}

#[test]
fn every_pair_of_faults_at_every_step_of_a_stop_heals() {
    for (index, first) in FAULTS.into_iter().enumerate() {
        for second in FAULTS.into_iter().skip(index) {
            for step in [Step::Before, Step::During, Step::After] {
                let both = [first, second];
                let faults = if first == second { &both[..1] } else { &both };

                let (known, healed) = stop_with_faults(step, faults, 21);

                assert!(known, "{first:?} with {second:?}, {step:?}: the stop is known");
                assert!(healed.is_some(), "{first:?} with {second:?}, {step:?}: all meet");
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Operation {
    Leave(usize),
    Freeze(usize),
    Resume(usize),
    Kill(usize),
    Start(usize),
    Side(usize, u32),
    Cut(usize, usize),
    List(usize, usize),
    Loss(u8),
    Run(u64),
}

fn operation(nodes: usize) -> impl Strategy<Value = Operation> {
    prop_oneof![
        1 => (0..nodes).prop_map(Operation::Leave),
        2 => (0..nodes).prop_map(Operation::Freeze),
        2 => (0..nodes).prop_map(Operation::Resume),
        2 => (0..nodes).prop_map(Operation::Kill),
        2 => (0..nodes).prop_map(Operation::Start),
        2 => (0..nodes, 0..3_u32).prop_map(|(node, side)| Operation::Side(node, side)),
        1 => (0..nodes, 0..nodes).prop_map(|(from, to)| Operation::Cut(from, to)),
        1 => (0..nodes, 0..nodes).prop_map(|(node, absent)| Operation::List(node, absent)),
        1 => (0..3_u8).prop_map(Operation::Loss),
        8 => (1..9_000_u64).prop_map(Operation::Run),
    ]
}

fn apply(fleet: &mut Fleet, operation: &Operation) {
    match *operation {
        Operation::Leave(node) if fleet.nodes[node].frozen.is_none() => {
            fleet.give(node, Event::Leave);
        }
        Operation::Leave(_) => {}
        Operation::Freeze(node) => fleet.freeze(node),
        Operation::Resume(node) => fleet.resume(node),
        Operation::Kill(node) => fleet.kill(node),
        Operation::Start(node) => fleet.start(node),
        Operation::Side(node, side) => fleet.network.partitions[node] = side,
        Operation::Cut(from, to) => {
            fleet.network.blocked_links.insert((from, to));
        }
        Operation::List(node, absent) => {
            let mut list = fleet.list();
            list.retain(|vm| vm.node != support::name(absent));
            fleet.give(node, Event::Vms(list));
        }
        Operation::Loss(share) => fleet.network.conditions.loss = f64::from(share) * 0.2,
        Operation::Run(millis) => fleet.run(Duration::from_millis(millis)),
    }
}

/// Ends all faults; nodes that left or ended start in a new life.
fn mend(fleet: &mut Fleet) {
    fleet.network.conditions = support::network::Conditions::NORMAL;
    fleet.network.blocked_links.clear();
    for index in 0..fleet.nodes.len() {
        fleet.network.partitions[index] = 0;
        fleet.resume(index);
    }
    for index in 0..fleet.nodes.len() {
        let left = fleet.state(index, index) != Some(State::Alive);
        if left || fleet.nodes[index].retired {
            fleet.start(index);
        }
        let list = fleet.list();
        fleet.give(index, Event::Vms(list));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_faults_heal(
        seed in any::<u32>(),
        operations in prop::collection::vec(operation(8), 1..80),
    ) {
        let mut fleet = joined(u64::from(seed));
        fleet.untouched.clear();

        for operation in &operations {
            apply(&mut fleet, operation);
        }
        mend(&mut fleet);
        let took = fleet.until(HEAL_BOUND, Fleet::all_alive);

        prop_assert!(took.is_some());
    }
}
