//! Tests of a leaf's state machine, with the time passed in.

mod support;

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use jacinthfall_core::id::{Shard, Version};
use jacinthfall_core::leaf::{Load, Query, Refusal, Reply};
use jacinthfall_core::time::Wall;
use jacinthfall_standin::deployment::{self, Deployment};
use jacinthfall_standin::leaf::control::Change;
use jacinthfall_standin::leaf::delay::Input;
use jacinthfall_standin::leaf::fault::{Kind, Sending};
use jacinthfall_standin::leaf::settings::{ColdStart, Delay, Leaf, LoadReport};
use jacinthfall_standin::leaf::slots::Ticket;
use jacinthfall_standin::leaf::state::{Arrival, Run, State, Wake};
use jacinthfall_standin::rows;
use support::{KEYS, at, invoice, leaf, part, query};

fn open(settings: Leaf) -> State {
    State::new(1, settings, at(0))
}

fn started(state: &mut State, millis: u64, part: &Query) -> Run {
    match state.arrive(at(millis), part) {
        Arrival::Started(run) => run,
        other => panic!("the part did not start: {other:?}"),
    }
}

fn queued(state: &mut State, millis: u64, part: &Query) -> Ticket {
    match state.arrive(at(millis), part) {
        Arrival::Queued(ticket) => ticket,
        other => panic!("the part was not queued: {other:?}"),
    }
}

/// Admits a part and finishes it at the same time.
fn run(state: &mut State, millis: u64, part: &Query) -> Sending {
    let run = started(state, millis, part);
    state.finish(at(millis), &run, part).0
}

fn reply(sending: Sending) -> Reply {
    match sending {
        Sending::Whole(reply) => reply,
        other => panic!("not a complete reply: {other:?}"),
    }
}

fn change(state: &mut State, millis: u64, change: Change) {
    state.change(at(millis), &change).unwrap();
}

#[test]
fn parts_beyond_slots_and_queue_are_refused_as_overloaded() {
    let mut state = open(leaf());
    let first = started(&mut state, 0, &part(1));
    let second = queued(&mut state, 0, &part(2));

    let third = state.arrive(at(0), &part(3));
    let (_, wakes) = state.finish(at(5), &first, &part(1));

    assert_eq!(third, Arrival::Refused(Refusal::Overloaded));
    assert!(matches!(&wakes[..], [Wake { ticket, result: Ok(_) }] if *ticket == second));
    assert_eq!(state.load(at(5)), Load { busy: 1, queued: 0 });
    assert_eq!(state.report(false).counters.overloaded, 1);
}

#[test]
fn a_cancelled_part_frees_its_slot_or_queue_entry() {
    let mut state = open(leaf());
    let running = started(&mut state, 0, &part(1));
    let waiting = queued(&mut state, 0, &part(2));

    let wakes_of_queued = state.cancel(at(1), waiting);
    let next = queued(&mut state, 2, &part(3));
    let wakes_of_running = state.cancel(at(3), running.ticket);

    assert_eq!(wakes_of_queued, []);
    assert!(matches!(&wakes_of_running[..], [Wake { ticket, result: Ok(_) }] if *ticket == next));
    let counters = state.report(false).counters;
    assert_eq!((counters.cancelled_queued, counters.cancelled_running), (1, 1));
}

#[test]
fn a_part_that_waits_past_its_deadline_is_refused() {
    let mut state = open(leaf());
    let first = started(&mut state, 0, &part(1));
    let second = queued(&mut state, 0, &part(2));

    let (_, wakes) = state.finish(at(100), &first, &part(1));

    assert_eq!(wakes, [Wake { ticket: second, result: Err(Refusal::Expired) }]);
    assert_eq!(state.load(at(100)), Load::default());
}

#[test]
fn an_invoice_never_starts_after_it_expired() {
    for deadlines in [true, false] {
        let mut state = open(Leaf { deadlines, ..leaf() });
        let blocking = started(&mut state, 0, &invoice(1, Wall(10)));
        let waiting = queued(&mut state, 0, &invoice(2, Wall(10)));

        let (_, wakes) = state.finish(at(11), &blocking, &invoice(1, Wall(10)));
        let late = state.arrive(at(11), &invoice(3, Wall(10)));

        assert_eq!(wakes, [Wake { ticket: waiting, result: Err(Refusal::Expired) }]);
        assert_eq!(late, Arrival::Refused(Refusal::Expired));
        let runs = state.report(true).runs;
        assert_eq!(runs.into_iter().collect::<Vec<_>>(), [("r-1".into(), 1)]);
    }
}

#[test]
fn each_run_of_an_invoice_is_counted_even_if_its_reply_is_dropped() {
    let mut state = open(leaf());
    change(&mut state, 0, Change { fault: Some(Kind::Drop), ..Change::default() });

    let dropped = run(&mut state, 0, &invoice(1, Wall(10)));
    let repeated = reply(run(&mut state, 1, &invoice(1, Wall(10))));

    assert_eq!(dropped, Sending::Reset);
    assert_eq!(repeated.rows, [rows::receipt("r-1", Version(1), 2, "issue invoice 7")]);
    assert_eq!(state.report(true).runs["r-1"], 2);
}

#[test]
fn a_draining_leaf_reports_it_and_refuses_parts_after_its_grace_time() {
    let mut state = open(leaf());
    let before = reply(run(&mut state, 0, &part(1)));
    change(&mut state, 100, Change { draining: Some(true), ..Change::default() });

    let during_grace = reply(run(&mut state, 1_099, &part(2)));
    let refused = state.arrive(at(1_100), &part(3));

    assert_eq!((before.leaving, during_grace.leaving), (false, true));
    assert_eq!(refused, Arrival::Refused(Refusal::Leaving));
    let counters = state.report(false).counters;
    assert_eq!((counters.received_draining, counters.last_draining_ms), (2, 1_000));
}

#[test]
fn a_refusal_of_a_version_lists_the_available_versions() {
    let mut state = open(leaf());
    let versions = Some(vec![Version(2)]);
    change(&mut state, 0, Change { versions, ..Change::default() });

    let refused = state.arrive(at(0), &part(1));
    change(&mut state, 0, Change { named_versions: Some(false), ..Change::default() });
    let reported = reply(run(&mut state, 0, &part(2)));

    assert_eq!(refused, Arrival::Refused(Refusal::Version { available: vec![Version(2)] }));
    assert_eq!(reported.version, Version(2));
}

#[test]
fn a_shard_that_is_not_held_is_refused() {
    let mut state = open(leaf());
    let beyond = Query { shard: Shard(25), version: Some(Version(2)), ..part(1) };
    let foreign = Query { service: "bay-card".into(), ..part(2) };

    let arrivals = [beyond, foreign].map(|part| state.arrive(at(0), &part));

    assert_eq!(arrivals, [Arrival::Refused(Refusal::Shard), Arrival::Refused(Refusal::Shard)]);
}

#[test]
fn repartitioning_moves_rows_and_loses_none() {
    let mut state = open(leaf());
    for (version, shards) in [(Version(1), 30), (Version(2), 20)] {
        let parts = (0..shards).map(|shard| Query {
            shard: Shard(shard),
            version: Some(version),
            ..part(u64::from(shard))
        });

        let mut found: Vec<_> =
            parts.flat_map(|part| reply(run(&mut state, 0, &part)).rows).collect();

        found.sort();
        assert_eq!(found, rows::truth(version, KEYS, &query("free bays")));
    }
}

#[test]
fn each_fault_affects_exactly_the_intended_reply() {
    let faults = [Kind::Truncate, Kind::Short, Kind::Cross, Kind::Double, Kind::Late, Kind::Drop];
    for kind in faults {
        let mut state = open(leaf());
        let first = reply(run(&mut state, 0, &part(1)));
        let delay = Duration::from_millis(7);
        let fault = Change { fault: Some(kind), late: Some(delay), ..Change::default() };
        change(&mut state, 0, fault);

        let faulty = run(&mut state, 0, &part(2));
        let next = reply(run(&mut state, 0, &part(3)));

        let own = Reply { request: "r-2".into(), attempt: part(2).attempt, ..first.clone() };
        let clean = Reply { request: "r-3".into(), attempt: part(3).attempt, ..first.clone() };
        match kind {
            Kind::Truncate => assert_eq!(faulty, Sending::Half(own.clone())),
            Kind::Short => {
                let short = reply(faulty);
                assert_ne!(short.count as usize, short.rows.len());
            }
            Kind::Cross => assert_eq!(reply(faulty), first),
            Kind::Double => assert_eq!(reply(faulty), own),
            Kind::Late => assert_eq!(faulty, Sending::Delayed(own.clone(), delay)),
            Kind::Drop => assert_eq!(faulty, Sending::Reset),
            Kind::None => unreachable!("not in the list"),
        }
        assert_eq!(next, if kind == Kind::Double { own } else { clean }, "{kind:?}");
        assert_eq!(state.report(false).counters.faults, 1);
    }
}

#[test]
fn service_times_depend_on_the_seed_and_not_on_the_order() {
    let delay = Delay {
        base: Duration::from_millis(2),
        exponential: Duration::from_millis(1),
        straggler: 0.01,
        straggler_factor: 10.0,
    };
    let draw = |seed, request: u32| {
        let request = &request.to_string();
        delay.draw(Input { seed, leaf: "slot-finder-0-0", request, shard: Shard(0) })
    };

    let times: Vec<_> = (0..10_000).map(|request| draw(1, request)).collect();
    let mut again: Vec<_> = (0..10_000).rev().map(|request| draw(1, request)).collect();
    again.reverse();

    assert_eq!(times, again);
    assert_ne!(draw(1, 0), draw(2, 0));
    let stragglers = times.iter().filter(|time| **time >= Duration::from_millis(20)).count();
    assert!((70..130).contains(&stragglers), "{stragglers} of 10000 at 1 %");
}

#[test]
fn a_cold_start_and_a_stall_lengthen_service_times() {
    let service_time = Delay { base: Duration::from_millis(2), ..Delay::default() };
    let cold_start = ColdStart { period: Duration::from_secs(1), factor: 5.0 };
    let mut state = open(Leaf { service_time, cold_start, slots: 4, ..leaf() });

    let cold = started(&mut state, 0, &part(1));
    let warm = started(&mut state, 1_000, &part(2));
    let stall = Some(Duration::from_millis(300));
    change(&mut state, 1_000, Change { stall, ..Change::default() });
    let stalled = started(&mut state, 1_100, &part(3));

    let delays = [cold, warm, stalled].map(|run| run.delay.as_millis());
    assert_eq!(delays, [10, 2, 200]);
}

#[test]
fn reported_load_can_be_stale_or_fixed() {
    let lag = LoadReport::Lag { lag: Duration::from_millis(50) };
    let mut lagging = open(Leaf { load: lag, ..leaf() });
    let fixed_load = Load { busy: 9, queued: 9 };
    let mut fixed = open(Leaf { load: LoadReport::Fixed(fixed_load), ..leaf() });

    lagging.load(at(0));
    started(&mut lagging, 1, &part(1));
    let seen = [10, 49, 60, 110].map(|millis| lagging.load(at(millis)).busy);

    assert_eq!(seen, [0, 0, 1, 1]);
    assert_eq!(fixed.load(at(0)), fixed_load);
}

#[test]
fn example_deployments_are_valid_and_spread_first_replicas_over_all_leafs() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    for (folder, leafs) in [("klang-valley", 90), ("cz-central", 99)] {
        let deployment = Deployment::open(&examples.join(folder)).unwrap();
        let address = "127.0.0.1:1".parse().unwrap();
        let all = deployment.leafs.leafs();
        let addresses = all.iter().map(|leaf| (leaf.name.clone(), address)).collect();

        let services = deployment::services(&deployment.leafs, &addresses);

        assert_eq!(all.len(), leafs, "{folder}");
        for service in &services {
            service.check().unwrap();
            let firsts = service.maps[0].shards.iter().map(|shard| &shard.replicas[0]);
            let distinct: BTreeSet<_> = firsts.collect();
            assert_eq!(distinct.len(), service.leafs.len(), "{}", service.name);
            assert!(deployment.profiles.iter().any(|profile| profile.service == service.name));
        }
    }
}
