//! Results for callers of several nodes when some shards are short of room.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Ending, Order};
use jacinthfall_dispatch::flight::Flight;
use jacinthfall_dispatch::overload::{Limit, Parts, Policy, Settings};

use jacinthfall_route::snapshot::Route;

use crate::support::cluster::{Kind, Plan, Results, Run, query};
use crate::support::{Bench, sends, single, timing};

/// Number of shards that become short.
const SHORT: usize = 5;

/// Two leafs of each of five shards are eight times slower for eight seconds, and the third one 2.5
/// times.
fn few_short(shard: usize, leaf: usize, now: Time) -> f64 {
    let is_slow =
        shard < SHORT && (Time::from_millis(3_000)..Time::from_millis(11_000)).contains(&now);
    match (is_slow, leaf) {
        (false, _) => 1.0,
        (true, 0) => 2.5,
        (true, _) => 8.0,
    }
}

/// As [`few_short`], and each tenth leaf of the others is 2.5 times slower.
fn uneven(shard: usize, leaf: usize, now: Time) -> f64 {
    let noise = if (shard * 3 + leaf) % 10 == 9 { 2.5 } else { 1.0 };
    few_short(shard, leaf, now).max(noise)
}

fn burst(now: Time) -> f64 {
    if (Time::from_millis(5_000)..Time::from_millis(8_000)).contains(&now) { 2.2 } else { 1.0 }
}

fn plan(settings: Settings, seed: u64) -> Plan {
    let single = Route {
        objective: Duration::from_millis(500),
        timeout: Duration::from_secs(3),
        priority: 0,
        ..single("single", true)
    };
    let kind = |route, work: f64, rate| Kind { route, work: Duration::from_secs_f64(work), rate };
    Plan {
        kinds: vec![
            kind(query("wide", 200, 0.95, 1), 0.020, 79.0),
            kind(query("quick", 60, 0.85, 2), 0.0067, 26.0),
            kind(Arc::new(single), 0.160, 30.0),
        ],
        slowness: uneven,
        burst,
        duration: Duration::from_secs(12),
        settings,
        credits: false,
        seed,
    }
}

/// Returns the sums of the results of each kind over some seeds.
fn total(settings: Settings, seeds: RangeInclusive<u64>) -> Vec<Results> {
    sum(seeds.map(|seed| plan(settings, seed)))
}

fn sum(plans: impl Iterator<Item = Plan>) -> Vec<Results> {
    let runs = plans.map(|plan| std::thread::spawn(move || Run::simulate(plan)));
    let mut sum = vec![Results::default(); 3];
    for run in runs.collect::<Vec<_>>() {
        let results = run.join().expect("a finished run");
        sum.iter_mut().zip(&results).for_each(|(sum, results)| sum.add(results));
    }
    sum
}

fn print(name: &str, results: &[Results]) {
    println!("{name}: {:.4} of the requests on time", share_on_time(results));
    for r in results {
        println!("    {r:?}");
    }
}

/// Returns the settings without any mechanism.
fn today() -> Settings {
    Settings::default()
}

/// Returns the share of the requests that were answered within their objective.
fn share_on_time(results: &[Results]) -> f64 {
    let requests: usize = results.iter().map(|results| results.requests).sum();
    let on_time: usize = results.iter().map(Results::on_time).sum();
    on_time as f64 / requests as f64
}

/// A caller whose request can't be answered in time any more is told so, also when it has come back.
#[test]
fn no_caller_waits_for_a_refusal_longer_than_for_an_answer_in_time() {
    let results = total(today(), 1..=2);

    assert!(results[0].refusals > 0, "{results:?}");
    assert!(results.iter().all(|results| results.refused_late == 0), "{results:?}");
}

/// Fills a leaf with its four requests, and lets one more wait to be admitted. The time is 4 us then.
fn full_bench(order: Order) -> Bench {
    let services = ["single".into()];
    let mut bench = Bench::open(Arc::new(single("single", true)), &services, 1);
    bench.fleet.set_order(order);
    let leaf = bench.fleet.leafs("single")[0];
    let usual = Duration::from_millis(20);
    (0..4).for_each(|n| bench.fleet.record_send(Time(n), leaf, usual));
    assert!(bench.decide(|flight, context| flight.start(Time(4), context)).is_empty());
    bench
}

/// Lets the first request of the leaf end. Returns whether another one, which arrives then, gets
/// its place.
fn is_next_taken(bench: &mut Bench, now: Time, priority: u32) -> bool {
    let leaf = bench.fleet.leafs("single")[0];
    bench.fleet.record_end(now, leaf, Time(0), Ending::Cancelled);
    let route = Route { priority, ..single("single", true) };
    let timing = timing(Time::from_millis(1_500));
    let mut next = Flight::open(Arc::new(route), None, now, timing);
    let actions = bench.decide(|_, context| {
        context.priority = priority;
        next.start(now, context)
    });
    !sends(&actions).is_empty()
}

/// Returns whether a second request gets the place at a full leaf that a first one waits for, and
/// whether the first one does.
fn second_and_first(order: Order, priority: u32) -> (bool, bool) {
    let mut bench = full_bench(order);
    let now = Time::from_millis(6);
    let taken = is_next_taken(&mut bench, now, priority);
    let due = bench.flight.next_wake().max(now);
    let first = !sends(&bench.decide(|flight, context| flight.wake(due, context))).is_empty();
    (taken, first)
}

/// Guards against turns of callers that have left, behind which others wait in vain.
#[test]
fn a_request_whose_caller_has_left_keeps_no_turn() {
    let mut bench = full_bench(Order::Urgency);
    assert_eq!(bench.fleet.queued(), 1);

    bench.flight.abandon(&mut bench.fleet);

    assert_eq!(bench.fleet.queued(), 0);
    assert!(is_next_taken(&mut bench, Time::from_millis(6), 1));
    assert!(bench.decide(|flight, context| flight.wake(Time::from_millis(7), context)).is_empty());
}

#[test]
fn a_request_that_waits_to_be_admitted_is_not_overtaken_by_a_later_or_less_urgent_one() {
    // The first request has priority 1. Without turns it is overtaken.
    assert!(second_and_first(Order::Unordered, 1).0);
    assert_eq!(second_and_first(Order::Urgency, 1), (false, true));
    assert_eq!(second_and_first(Order::Urgency, 2), (false, true));
}

#[test]
fn an_urgent_request_goes_before_less_urgent_ones_that_wait_to_be_admitted() {
    let (second, _) = second_and_first(Order::Urgency, 0);

    assert!(second);
}

#[test]
fn leafs_that_answer_in_time_leave_more_answers_in_time() {
    let in_time = Settings { singles: Limit::Objective, parts: Parts::InTime, ..today() };

    let (before, after) = (total(today(), 1..=2), total(in_time, 1..=2));

    assert!(share_on_time(&after) > share_on_time(&before), "{before:?} {after:?}");
    assert!(after[0].on_time() > before[0].on_time(), "{before:?} {after:?}");
    assert!(after[2].on_time() > before[2].on_time(), "{before:?} {after:?}");
}

/// Seeds of the figures. Those in docs/POLICY.md are of seeds 1 to 6.
const FIGURE_SEEDS: std::ops::RangeInclusive<u64> = 1..=1;

/// Prints the figures of docs/POLICY.md for the first seed, and guards against settings that are
/// worse together than today's behaviour.
#[test]
fn the_mechanisms_in_use_leave_more_answers_on_time_together_than_none() {
    let threshold = Policy::Threshold;
    let best = Settings {
        singles: Limit::Objective,
        parts: Parts::InTime,
        queue: Order::Urgency,
        ..today()
    };
    let variants = [
        ("today", today()),
        ("singles", Settings { singles: Limit::Objective, ..today() }),
        ("parts", Settings { parts: Parts::InTime, ..today() }),
        ("queue", Settings { queue: Order::Urgency, ..today() }),
        ("threshold", Settings { policy: threshold, ..today() }),
        ("singles, parts, queue", best),
        ("these without singles", Settings { singles: Limit::Deadline, ..best }),
        ("these without parts", Settings { parts: Parts::Overrun, ..best }),
        ("these without queue", Settings { queue: Order::Unordered, ..best }),
        ("these and threshold", Settings { policy: threshold, ..best }),
    ];
    for (name, settings) in variants {
        print(name, &total(settings, FIGURE_SEEDS));
    }
    for (name, settings) in [("credits", today()), ("these and credits", best)] {
        let plans = FIGURE_SEEDS.map(|seed| Plan { credits: true, ..plan(settings, seed) });
        print(name, &sum(plans));
    }

    let (none, all) = (total(today(), FIGURE_SEEDS), total(best, FIGURE_SEEDS));

    assert!(share_on_time(&all) > share_on_time(&none), "{none:?} {all:?}");
}
