//! Recovery from every pair of faults at every step of a planned stop, and from
//! random sequences of faults. The fleet asserts throughout that no node goes back to
//! an earlier incarnation of any node, and that unaffected nodes don't declare each
//! other dead. These tests assert that all nodes are alive in all views in the end.

mod support;

use std::time::Duration;

use jacinthfall_member::Event;
use jacinthfall_wire::member::State;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::Fleet;
use support::fault::{FAULTS, Fault};

/// Time within which all nodes must know each other after all faults have ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(25);

/// The node that is stopped gracefully.
const LEAVING_NODE: usize = 7;

/// Point of a planned stop at which the faults begin.
#[derive(Clone, Copy, Debug)]
enum Step {
    Before,
    /// The first frames are in flight.
    During,
    After,
}

/// Returns a fleet of eight nodes that know each other.
fn joined_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::open(8, 3, seed);
    assert!(
        fleet.run_until(Duration::from_secs(10), Fleet::all_alive).is_some(),
        "the nodes did not join"
    );
    fleet.run(Duration::from_secs(3));
    fleet.unaffected = (0..8).collect();
    fleet.unaffected.remove(&LEAVING_NODE);
    fleet
}

fn begin(fleet: &mut Fleet, faults: &[Fault]) {
    faults.iter().for_each(|fault| fault.begin(fleet));
}

/// Stops a node during faults. Returns whether all unaffected nodes knew of the stop,
/// and the time until all nodes knew each other again after the faults ended and the
/// node was restarted.
fn stop_with_faults(step: Step, faults: &[Fault], seed: u64) -> (bool, Option<Duration>) {
    let mut fleet = joined_fleet(seed);
    match step {
        Step::Before => {
            begin(&mut fleet, faults);
            fleet.run(Duration::from_secs(2));
            fleet.handle(LEAVING_NODE, Event::Leave);
        }
        Step::During => {
            fleet.handle(LEAVING_NODE, Event::Leave);
            fleet.run(Duration::from_micros(800));
            begin(&mut fleet, faults);
        }
        Step::After => {
            fleet.handle(LEAVING_NODE, Event::Leave);
            fleet.run(Duration::from_secs(1));
            begin(&mut fleet, faults);
        }
    }
    fleet.run(Duration::from_secs(12));
    let unaffected: Vec<_> = fleet.unaffected.iter().copied().collect();
    let knows = |index: &usize| {
        let state = fleet.state(*index, LEAVING_NODE);
        matches!(state, None | Some(State::Leaving | State::Suspect))
    };
    let known = unaffected.iter().all(knows);
    fleet.kill(LEAVING_NODE);
    fleet.run(Duration::from_secs(20));
    faults.iter().rev().for_each(|fault| fault.end(&mut fleet));
    fleet.start(LEAVING_NODE);
    (known, fleet.run_until(RECOVERY_LIMIT, Fleet::all_alive))
}

#[test]
fn nodes_recover_from_every_pair_of_faults_at_every_step_of_a_stop() {
    for (index, first) in FAULTS.into_iter().enumerate() {
        for second in FAULTS.into_iter().skip(index) {
            for step in [Step::Before, Step::During, Step::After] {
                let both = [first, second];
                let faults = if first == second { &both[..1] } else { &both };

                let (known, healed) = stop_with_faults(step, faults, 21);

                assert!(known, "{first:?} with {second:?}, {step:?}: the stop is not known to all");
                assert!(healed.is_some(), "{first:?} with {second:?}, {step:?}: no recovery");
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
    Partition(usize, u32),
    BlockLink(usize, usize),
    VmList(usize, usize),
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
        2 => (0..nodes, 0..3_u32)
            .prop_map(|(node, partition)| Operation::Partition(node, partition)),
        1 => (0..nodes, 0..nodes).prop_map(|(from, to)| Operation::BlockLink(from, to)),
        1 => (0..nodes, 0..nodes).prop_map(|(node, omitted)| Operation::VmList(node, omitted)),
        1 => (0..3_u8).prop_map(Operation::Loss),
        8 => (1..9_000_u64).prop_map(Operation::Run),
    ]
}

fn apply(fleet: &mut Fleet, operation: &Operation) {
    match *operation {
        Operation::Leave(node) if fleet.nodes[node].frozen.is_none() => {
            fleet.handle(node, Event::Leave);
        }
        Operation::Leave(_) => {}
        Operation::Freeze(node) => fleet.freeze(node),
        Operation::Resume(node) => fleet.resume(node),
        Operation::Kill(node) => fleet.kill(node),
        Operation::Start(node) => fleet.start(node),
        Operation::Partition(node, partition) => fleet.network.partitions[node] = partition,
        Operation::BlockLink(from, to) => {
            fleet.network.blocked_links.insert((from, to));
        }
        Operation::VmList(node, omitted) => {
            let mut list = fleet.vm_list();
            list.retain(|vm| vm.node != support::name(omitted));
            fleet.handle(node, Event::Vms(list));
        }
        Operation::Loss(level) => fleet.network.conditions.loss = f64::from(level) * 0.2,
        Operation::Run(millis) => fleet.run(Duration::from_millis(millis)),
    }
}

/// Ends all faults. Nodes that left or were killed start in a new incarnation.
fn end_all_faults(fleet: &mut Fleet) {
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
        let list = fleet.vm_list();
        fleet.handle(index, Event::Vms(list));
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
    fn nodes_recover_from_random_faults(
        seed in any::<u32>(),
        operations in prop::collection::vec(operation(8), 1..80),
    ) {
        let mut fleet = joined_fleet(u64::from(seed));
        fleet.unaffected.clear();

        for operation in &operations {
            apply(&mut fleet, operation);
        }
        end_all_faults(&mut fleet);
        let elapsed = fleet.run_until(RECOVERY_LIMIT, Fleet::all_alive);

        prop_assert!(elapsed.is_some());
    }
}
