//! Long random simulations of three engines with faults, with a fixed seed.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use crate::support::{Fault, SKEW, Tally, WINDOW, World};
use jacinthfall_core::time::Wall;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Number of random cases.
const CASES: u32 = 400;

/// Totals over all cases.
static TOTAL: Mutex<Tally> = Mutex::new(Tally::ZERO);

/// A step of the environment.
#[derive(Clone, Debug)]
enum Step {
    /// A caller submits an id at a node, with the issue time of its first ask.
    Ask { node: usize, id: u8 },
    /// A caller submits an id with a new issue time.
    Reissue { node: usize, id: u8 },
    /// A fault is injected, at `node` if it affects a node.
    Inject { node: usize, fault: Fault },
    /// Time passes.
    Advance { millis: u64 },
}

/// Reference model without state: any step may follow any other.
struct Environment;

impl ReferenceStateMachine for Environment {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let node = 0..3_usize;
        let fault = prop::sample::select(&Fault::ALL[..]);
        prop_oneof![
            8 => (node.clone(), 0..4_u8).prop_map(|(node, id)| Step::Ask { node, id }),
            1 => (node.clone(), 0..4_u8).prop_map(|(node, id)| Step::Reissue { node, id }),
            4 => (node, fault).prop_map(|(node, fault)| Step::Inject { node, fault }),
            6 => (0..20_u64).prop_map(|millis| Step::Advance { millis }),
            3 => (20..2_000_u64).prop_map(|millis| Step::Advance { millis }),
            1 => (2_000..70_000_u64).prop_map(|millis| Step::Advance { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The simulated system, with the issue times that its callers remember.
struct Callers {
    world: World,
    issued: BTreeMap<u8, Wall>,
}

impl Callers {
    fn ask(&mut self, node: usize, id: u8) {
        let wall = self.world.wall();
        let issued = *self.issued.entry(id).or_insert(wall);
        self.world.ask(self.world.time, node, &format!("x{id}"), issued);
        self.world.run_until(self.world.time);
    }
}

impl StateMachineTest for Callers {
    type SystemUnderTest = Callers;
    type Reference = Environment;

    fn init_test((): &()) -> Callers {
        Callers { world: World::open(Vec::new()), issued: BTreeMap::new() }
    }

    fn apply(mut callers: Callers, (): &(), step: Step) -> Callers {
        match step {
            Step::Ask { node, id } => callers.ask(node, id),
            Step::Reissue { node, id } => {
                callers.issued.remove(&id);
                callers.ask(node, id);
            }
            Step::Inject { node, fault } => callers.world.inject(node, fault),
            Step::Advance { millis } => {
                callers.world.run_until(callers.world.time + Duration::from_millis(millis));
            }
        }
        callers
    }

    fn teardown(mut callers: Callers, (): ()) {
        callers.world.stop_faults();
        callers.world.run_until(callers.world.time + (WINDOW + SKEW * 8) * 3);
        callers.world.check_finished();
        let total = TOTAL.lock().map(|mut total| {
            total.add(&callers.world.history.tally());
            *total
        });
        let total = total.expect("no other case failed");
        if total.cases == CASES {
            println!("{total:?}");
            assert!(total.runs > 0 && total.not_run > 0 && total.runs_after_not_run > 0);
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_request_runs_twice_and_not_run_is_never_contradicted(sequential 50..300 => Callers);
}
