//! Admission control: adaptive limits, priorities and fair shares of callers.

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

/// Number of concurrent requests that are admitted for `profile` after 40 requests that
/// each waited `queued` for slots.
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
fn waiting_for_slots_lowers_the_limit_of_low_priorities_first() {
    let mut controller = Controller::default();
    assert_eq!(admitted_after(&mut controller, &limited(64, 5), Duration::ZERO), 64);
    assert_eq!(admitted_after(&mut controller, &limited(64, 9), 12 * MS), 64);
    assert_eq!(admitted_after(&mut controller, &limited(64, 0), 12 * MS), 1);
}

#[test]
fn a_caller_over_its_share_is_rejected_while_others_are_admitted() {
    let mut controller = Controller::default();
    let profile = limited(16, 5);
    let now = Time::from_millis(1_000);
    let (heavy, light) = (name("heavy"), name("light"));
    controller.admit(now, &profile, &light).expect("admitted");
    while controller.admit(now, &profile, &heavy).is_ok() {}
    let rejection =
        controller.admit(now, &profile, &heavy).expect_err("the caller exceeds its share");
    assert_eq!(rejection.cause, Cause::CallerLimit);
    assert!(rejection.retry_after > Duration::ZERO);
    for _ in 0..3 {
        controller.admit(now, &profile, &light).expect("the share of the light caller stays free");
    }
}

#[test]
fn a_request_that_is_not_admitted_did_not_run() {
    let mut world = world(service(1, 2, 3, vec![map(1, 1, 1, 2)]));
    let profile = limited(2, 5);
    let tokens: Vec<_> = (0..3).map(|_| world.ask(&profile, all())).collect();
    let refusal = world.refusal_of(tokens[2]);
    assert_eq!((refusal.cause, refusal.ran), (refusal::Cause::Overloaded, Ran::NotRun));
    assert!(refusal.retry_after.is_some());
    world.reply_all();
    let token = world.ask(&profile, all());
    world.reply_all();
    assert!(
        world.answer_of(token).coverage.is_full(),
        "ended requests free their place under the limit"
    );
}
