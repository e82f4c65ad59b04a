//! Admission: adaptive limits, priority, fair shares of callers.

mod support;

use std::time::Duration;

use jacinthfall_core::profile::Profile;
use jacinthfall_core::refusal::{self, Cause, Ran};
use jacinthfall_core::time::Time;
use jacinthfall_read::admission::Controller;
use support::{all, map, name, profile, service, world};

const MS: Duration = Duration::from_millis(1);

fn limited(concurrency: u32, priority: u8) -> Profile {
    let named = format!("desk-{priority}").into();
    Profile { concurrency, priority, name: named, ..profile(true) }
}

/// Requests that `profile` gets in at once after 40 that waited `queued`.
fn admitted_after(controller: &mut Controller, profile: &Profile, queued: Duration) -> usize {
    let caller = name("widget");
    let mut now = Time::from_millis(1_000);
    for _ in 0..40 {
        now = now + 10 * MS;
        controller.admit(now, profile, &caller).expect("admitted");
        controller.release(now, profile, &caller, queued, 20 * MS);
    }
    (0..1_000).filter(|_| controller.admit(now, profile, &caller).is_ok()).count()
}

#[test]
fn waiting_for_slots_lowers_the_limit_and_low_priority_gives_way_first() {
    let mut controller = Controller::default();
    assert_eq!(admitted_after(&mut controller, &limited(64, 5), Duration::ZERO), 64);
    assert_eq!(admitted_after(&mut controller, &limited(64, 9), 12 * MS), 64);
    assert_eq!(admitted_after(&mut controller, &limited(64, 0), 12 * MS), 1);
}

#[test]
fn one_heavy_caller_leaves_room_for_another() {
    let mut controller = Controller::default();
    let profile = limited(16, 5);
    let now = Time::from_millis(1_000);
    let (heavy, light) = (name("heavy"), name("light"));
    controller.admit(now, &profile, &light).expect("admitted");
    while controller.admit(now, &profile, &heavy).is_ok() {}
    let refused = controller.admit(now, &profile, &heavy).expect_err("more than its share");
    assert_eq!(refused.cause, Cause::CallerLimit);
    assert!(refused.retry_after > Duration::ZERO);
    for _ in 0..3 {
        controller.admit(now, &profile, &light).expect("its share is kept free");
    }
}

#[test]
fn what_is_not_admitted_did_not_run() {
    let mut world = world(service(1, 2, 3, vec![map(1, 1, 1, 2)]));
    let profile = limited(2, 5);
    let tokens: Vec<_> = (0..3).map(|_| world.ask(&profile, all())).collect();
    let refusal = world.refusal_of(tokens[2]);
    assert_eq!((refusal.cause, refusal.ran), (refusal::Cause::Overloaded, Ran::NotRun));
    assert!(refusal.retry_after.is_some());
    world.reply_all();
    let token = world.ask(&profile, all());
    world.reply_all();
    assert!(world.answer_of(token).coverage.is_full(), "places are given back");
}
