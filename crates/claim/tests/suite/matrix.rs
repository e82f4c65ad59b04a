//! Fault injection at every step of the claim path: each fault alone, and each
//! pair of faults, including the same fault twice.
//!
//! A case is a simulation with a plan of faults. After it, the invariants of
//! at-most-once runs are checked.

use std::env;
use std::thread;
use std::time::Duration;

use crate::support::{Fault, SKEW, START, WINDOW, World, outcome};
use jacinthfall_core::query::Outcome;
use jacinthfall_core::refusal::Cause;
use jacinthfall_core::time::{Time, Wall};

/// Number of threads that run cases.
const THREADS: usize = 4;

/// Node and time in milliseconds of each ask for the same id.
const ASKS: [(usize, u64); 5] = [(0, 0), (1, 1_200), (2, 2_600), (1, 12_000), (2, 30_000)];

/// Time by which, without faults, the outcome of the first ask is recorded.
const FIRST_RECORDED: Time = Time::from_millis(600);

/// Time after which no faults are injected, and time of the last retry.
const FAULTS_END: Time = Time::from_millis(40_000);
const LAST_RETRY: Time = Time::from_millis(45_000);

/// Time of an ask after the window, and of one after the id is forgotten and may be
/// issued again.
const AFTER_WINDOW: Duration = WINDOW.saturating_add(Duration::from_secs(1));
const AFTER_FORGOTTEN: Duration = WINDOW.saturating_add(SKEW.saturating_mul(3));

const END: Time = Time::from_millis(200_000);

type Plan = Vec<(usize, Fault)>;

/// Prints the plan of the running case if a check fails.
struct Case<'a>(&'a Plan);

impl Drop for Case<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("failed: {:?}", self.0);
        }
    }
}

/// Totals over cases.
#[derive(Debug, Default)]
struct Totals {
    cases: usize,
    fully_injected: usize,
    ran: usize,
    steps: usize,
}

fn open(plan: Plan) -> World {
    let mut world = World::open(plan);
    for (node, millis) in ASKS {
        world.ask(Time::from_millis(millis), node, "x", START);
    }
    world
}

fn run_plan(plan: Plan) -> World {
    let mut world = open(plan);
    world.run_until(FAULTS_END);
    world.stop_faults();
    world.ask(LAST_RETRY, 2, "x", START);
    world.ask(Time(0) + AFTER_WINDOW, 2, "x", START);
    world.ask(Time(0) + AFTER_FORGOTTEN, 1, "x", START + AFTER_FORGOTTEN);
    world.run_until(END);
    world
}

fn check(plan: &Plan, world: &World) {
    world.check_finished();
    if plan.iter().all(|(_, fault)| !fault.freezes()) {
        world.history.check_in_time();
    }
    if plan.iter().all(|(_, fault)| !fault.loses_outcome()) {
        let answers = world.history.answers("x", START);
        let [.., last, expired] = &answers[..] else { panic!("the last asks are missing") };
        assert_eq!(
            **last,
            outcome("x"),
            "a late retry gets the answer, from a first run or from the store"
        );
        assert_eq!(cause(expired), Some(Cause::Expired), "after the window the id is refused");
        assert!(
            world.history.has_run("x", START + AFTER_FORGOTTEN),
            "a forgotten id can be issued again"
        );
    }
}

fn cause(outcome: &Outcome) -> Option<Cause> {
    match outcome {
        Outcome::Refused(refusal) => Some(refusal.cause),
        Outcome::Answered(_) => None,
    }
}

fn run_cases(plans: &[Plan]) -> Totals {
    let mut totals = Totals::default();
    for plan in plans {
        let _case = Case(plan);
        let world = run_plan(plan.clone());
        check(plan, &world);
        totals.cases += 1;
        totals.fully_injected += usize::from(world.faults_injected >= plan.len());
        totals.ran += usize::from(world.history.has_run("x", START));
        totals.steps += world.steps;
    }
    totals
}

/// Runs all cases on a few threads.
fn run_matrix(plans: &[Plan]) -> Totals {
    let share = plans.len().div_ceil(THREADS).max(1);
    thread::scope(|scope| {
        let threads: Vec<_> =
            plans.chunks(share).map(|plans| scope.spawn(move || run_cases(plans))).collect();
        threads.into_iter().map(|thread| thread.join().expect("no case fails")).fold(
            Totals::default(),
            |a, b| Totals {
                cases: a.cases + b.cases,
                fully_injected: a.fully_injected + b.fully_injected,
                ran: a.ran + b.ran,
                steps: a.steps + b.steps,
            },
        )
    })
}

/// Counts the steps up to a time in a simulation without faults.
fn steps(end: Time) -> usize {
    let mut world = open(Vec::new());
    world.run_until(end);
    world.steps
}

/// Returns every fault at every step.
fn singles(steps: usize) -> Vec<(usize, Fault)> {
    (0..steps).flat_map(|step| Fault::ALL.map(|fault| (step, fault))).collect()
}

/// Returns every pair of faults, including the same one twice.
fn pairs(singles: &[(usize, Fault)]) -> Vec<Plan> {
    let rest = |index: usize| singles[index..].iter();
    (0..singles.len()).flat_map(|i| rest(i).map(move |other| vec![singles[i], *other])).collect()
}

#[test]
fn without_faults_the_first_ask_runs_and_retries_get_its_outcome() {
    let world = run_plan(Vec::new());

    check(&Vec::new(), &world);

    let answers = world.history.answers("x", Wall(START.0));
    assert!(answers[..answers.len() - 1].iter().all(|answer| **answer == outcome("x")));
}

/// Guards against a request that runs twice, or a false "not run", because of a
/// single fault at any step.
#[test]
fn invariants_hold_with_any_fault_at_any_step() {
    let steps = steps(FAULTS_END);
    let singles = singles(steps);
    let plans: Vec<Plan> = singles.iter().map(|single| vec![*single]).collect();

    let totals = run_matrix(&plans);

    assert_eq!(totals.cases, steps * Fault::ALL.len());
    println!("{steps} steps x {} faults: {totals:?}", Fault::ALL.len());
}

/// Guards against a request that runs twice, or a false "not run", because of two
/// faults. The environment variable `CLAIM_MATRIX=all` also covers the steps of
/// retries.
#[test]
fn invariants_hold_with_any_two_faults_during_the_first_ask() {
    let all = env::var("CLAIM_MATRIX").is_ok_and(|steps| steps == "all");
    let steps = steps(if all { FAULTS_END } else { FIRST_RECORDED });
    let singles = singles(steps);
    let plans = pairs(&singles);

    let totals = run_matrix(&plans);

    assert_eq!(totals.cases, singles.len() * (singles.len() + 1) / 2);
    println!("pairs over {steps} steps x {} faults: {totals:?}", Fault::ALL.len());
}
