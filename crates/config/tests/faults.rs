//! Recovery from every pair of faults at every step of a change, and from random
//! sequences of faults. The fleet asserts throughout that no revision decreases and
//! that no node claims a confirmation more recent than its records. These tests
//! assert that all nodes become current again in time.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::Fleet;
use support::fault::{Active, FAULTS, Fault};

/// Time within which every node must be current after all faults have ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);

/// Point of a change at which the faults begin.
#[derive(Clone, Copy, Debug)]
enum Step {
    Before,
    /// The first frames are in flight.
    During,
    After,
}

/// Returns a fleet of eight nodes that are all current.
fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::open(8, 3, seed);
    assert!(
        fleet.run_until(Duration::from_secs(10), Fleet::all_current).is_some(),
        "the nodes did not start"
    );
    fleet.run(Duration::from_secs(6));
    fleet
}

/// Writes a new revision of a profile if the store is up.
fn write(fleet: &mut Fleet, key: &str) {
    if fleet.store.up {
        fleet.write(key);
    }
}

/// Changes profiles during two faults. Returns the time after the faults until all
/// nodes are current, or `None` if it exceeds [`RECOVERY_LIMIT`].
fn change_with_faults(step: Step, first: Fault, second: Fault, seed: u64) -> Option<Duration> {
    let mut fleet = settled_fleet(seed);
    let begin = |fleet: &mut Fleet| -> Vec<Active> {
        let active = first.begin(fleet);
        if first == second { vec![active] } else { vec![active, second.begin(fleet)] }
    };
    let active = match step {
        Step::Before => {
            let active = begin(&mut fleet);
            write(&mut fleet, "desk");
            active
        }
        Step::During => {
            fleet.write("desk");
            fleet.run(Duration::from_micros(4_600));
            begin(&mut fleet)
        }
        Step::After => {
            fleet.write("desk");
            fleet.run(Duration::from_secs(1));
            begin(&mut fleet)
        }
    };
    fleet.run(Duration::from_secs(12));
    write(&mut fleet, "bot");
    fleet.run(Duration::from_secs(28));
    write(&mut fleet, "desk");
    for fault in active.into_iter().rev() {
        fault.end(&mut fleet);
    }
    fleet.run_until(RECOVERY_LIMIT, Fleet::all_current)
}

#[test]
fn nodes_recover_from_every_pair_of_faults_at_every_step_without_reverting() {
    for (index, first) in FAULTS.into_iter().enumerate() {
        for second in FAULTS.into_iter().skip(index) {
            for step in [Step::Before, Step::During, Step::After] {
                let elapsed = change_with_faults(step, first, second, 11);

                assert!(elapsed.is_some(), "{first:?} with {second:?}, {step:?}: no recovery");
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Operation {
    Write(bool),
    WriteThrough(usize),
    Freeze(usize),
    Resume(usize),
    Restart(usize),
    Partition(usize, u32),
    Store(bool),
    StoreReachable(usize, bool),
    Conditions(u8),
    Run(u64),
}

fn operation(nodes: usize) -> impl Strategy<Value = Operation> {
    prop_oneof![
        3 => any::<bool>().prop_map(Operation::Write),
        2 => (0..nodes).prop_map(Operation::WriteThrough),
        2 => (0..nodes).prop_map(Operation::Freeze),
        2 => (0..nodes).prop_map(Operation::Resume),
        3 => (0..nodes).prop_map(Operation::Restart),
        2 => (0..nodes, 0..3_u32)
            .prop_map(|(node, partition)| Operation::Partition(node, partition)),
        2 => any::<bool>().prop_map(Operation::Store),
        1 => (0..nodes, any::<bool>())
            .prop_map(|(node, reachable)| Operation::StoreReachable(node, reachable)),
        1 => (0..3_u8).prop_map(Operation::Conditions),
        8 => (1..12_000_u64).prop_map(Operation::Run),
    ]
}

fn apply(fleet: &mut Fleet, operation: &Operation) {
    match *operation {
        Operation::Write(desk) => write(fleet, if desk { "desk" } else { "bot" }),
        Operation::WriteThrough(node) => {
            if fleet.store.up && fleet.nodes[node].frozen.is_none() {
                fleet.write_through(node, "desk");
            }
        }
        Operation::Freeze(node) => fleet.freeze(node),
        Operation::Resume(node) => fleet.resume(node),
        Operation::Restart(node) => {
            fleet.kill(node);
            fleet.start(node);
        }
        Operation::Partition(node, partition) => fleet.move_to_partition(node, partition),
        Operation::Store(true) => fleet.store.up = true,
        Operation::Store(false) => fleet.stop_store(),
        Operation::StoreReachable(node, reachable) => fleet.nodes[node].reaches_store = reachable,
        Operation::Conditions(level) => {
            fleet.network.conditions.loss = f64::from(level) * 0.2;
            fleet.network.conditions.duplicates = f64::from(level) * 0.1;
            fleet.network.conditions.max_delay = 2_000 + u64::from(level) * 300_000;
        }
        Operation::Run(millis) => fleet.run(Duration::from_millis(millis)),
    }
}

/// Ends all faults.
fn end_all_faults(fleet: &mut Fleet) {
    fleet.store.up = true;
    fleet.network.conditions = support::network::Conditions::NORMAL;
    for index in 0..fleet.nodes.len() {
        fleet.resume(index);
        fleet.nodes[index].reaches_store = true;
        fleet.move_to_partition(index, 0);
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
    fn nodes_recover_from_random_faults_without_reverting(
        seed in any::<u32>(),
        operations in prop::collection::vec(operation(8), 1..80),
    ) {
        let mut fleet = settled_fleet(u64::from(seed));

        for operation in &operations {
            apply(&mut fleet, operation);
        }
        end_all_faults(&mut fleet);
        let elapsed = fleet.run_until(RECOVERY_LIMIT, Fleet::all_current);

        prop_assert!(elapsed.is_some());
    }
}
