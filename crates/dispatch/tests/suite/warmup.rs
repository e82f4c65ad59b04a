//! Limits on requests to cold leafs, kept in every second by many nodes that know each other only
//! by heartbeats.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Candidates, Demand, Fleet, Need, Placement, Turn};
use jacinthfall_route::leaf::{Age, Entry};

use crate::support::deployment::{Deployment, SETTLING_TIME, cold};
use crate::support::{entry, fleet};

const SECOND: Duration = Duration::from_secs(1);

/// A time that is longer than any test.
const LONG: Duration = Duration::from_secs(3_000);

/// Returns the number of requests that a cold leaf may get in one second.
fn allowed(limit: f64) -> f64 {
    1.5 * limit + 5.0
}

/// Returns the weights of nodes, of which callers use the strong ones or all, the number of zones
/// and the limits to play; a deployment of 300 nodes takes seconds for each.
fn deployments() -> Vec<(&'static str, Vec<f64>, usize, &'static [f64])> {
    let uneven = |count: usize| (0..count).map(|n| 1.0 / (1.0 + (n % 40) as f64)).collect();
    let few = |count: usize, zones: usize| {
        (0..count).map(|n| if (n / zones).is_multiple_of(8) { 1.0 } else { 0.0 }).collect()
    };
    vec![
        ("8 even", vec![1.0; 8], 3, &[2.0, 10.0, 40.0]),
        ("8 uneven", uneven(8), 3, &[2.0, 10.0, 40.0]),
        ("8, all at one", vec![1.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0], 3, &[2.0, 10.0, 40.0]),
        ("76 uneven", uneven(76), 3, &[4.0, 40.0]),
        ("76, few in use", few(76, 3), 3, &[4.0, 40.0]),
        ("300 uneven", uneven(300), 5, &[20.0]),
        ("300, few in use", few(300, 5), 5, &[6.0]),
    ]
}

#[track_caller]
fn assert_kept(deployment: &Deployment, since: Time, limit: f64, case: &str) {
    let most = deployment.busiest(since, SECOND);
    assert!(most as f64 <= allowed(limit), "{case}: {most} of {}", allowed(limit));
}

/// Guards against nodes whose unused tokens add up, against shares of less than one request per
/// second that fall into one second, and against shares that add up to more than one for a while.
#[test]
fn nodes_keep_the_limit_of_a_leaf_that_becomes_cold_again_suddenly() {
    for (case, weights, zones, limits) in deployments() {
        for &limit in limits {
            let case = format!("{case}, limit {limit}");
            let mut deployment = Deployment::open(&weights, zones, 7);
            deployment.set_warmup_limit(limit);
            deployment.run(SETTLING_TIME + 2 * SECOND, 3.0 * limit, &[]);
            let before = deployment.now;
            assert!(deployment.rate_since(Time(0)) > 2.5 * limit, "{case}: no limit while warm");

            deployment.register(&cold(LONG, 2));
            deployment.run(10 * SECOND, 3.0 * limit, &[]);

            assert_kept(&deployment, before, limit, &case);
            let rate = deployment.rate_since(before);
            assert!(rate > 0.0, "{case}: some requests are sent");
        }
    }
}

#[test]
fn nodes_keep_the_limit_when_demand_begins_ends_and_moves() {
    for (case, weights, zones, limits) in deployments() {
        for &limit in limits {
            let case = format!("{case}, limit {limit}");
            let mut deployment = Deployment::open(&weights, zones, 11);
            deployment.set_warmup_limit(limit);
            deployment.register(&cold(LONG, 2));
            deployment.run(SETTLING_TIME + SECOND, 0.0, &[]);
            let mut moved = weights.clone();
            moved.rotate_right(weights.len() / 2);
            for (weights, factor) in [(&weights, 10.0), (&weights, 0.1), (&moved, 5.0)] {
                deployment.set_weights(weights);
                deployment.run(4 * SECOND, factor * limit, &[]);
            }

            assert_kept(&deployment, Time(0), limit, &case);
        }
    }
}

/// Guards against caution that leaves the leafs of a whole zone idle.
#[test]
fn nodes_with_a_few_requests_per_second_use_most_of_the_limit() {
    let mut deployment = Deployment::open(&[1.0; 8], 3, 3);
    deployment.set_warmup_limit(40.0);
    deployment.register(&cold(LONG, 2));
    deployment.run(SETTLING_TIME, 200.0, &[]);
    let before = deployment.now;

    deployment.run(20 * SECOND, 200.0, &[]);

    let rate = deployment.rate_since(before);
    assert!(rate > 20.0, "{rate} of 40");
}

#[test]
fn of_a_stated_limit_and_a_warm_up_limit_the_lower_one_is_kept() {
    for (stated, warmup) in [(4.0, 40.0), (40.0, 4.0)] {
        let mut deployment = Deployment::open(&[1.0; 8], 3, 5);
        deployment.set_warmup_limit(warmup);
        deployment.run(SETTLING_TIME, 100.0, &[]);
        let before = deployment.now;

        deployment.register(&cold(LONG, 2));
        deployment.state_limit(stated);
        deployment.run(20 * SECOND, 100.0, &[]);

        let most = deployment.busiest(before, 4 * SECOND);
        assert!(most as f64 <= 1.5 * 4.0 * 4.0 + 5.0, "stated {stated}: {most} in 4 s");
        if warmup < stated {
            assert_kept(&deployment, before, warmup, "the lower limit is that of cold leafs");
        }
        assert!(most > 0);
    }
}

#[test]
fn nodes_keep_the_limit_while_one_is_paused_and_when_it_resumes() {
    for seed in 1..=3 {
        let mut deployment = Deployment::open(&[1.0; 8], 3, seed);
        deployment.set_warmup_limit(20.0);
        deployment.register(&cold(LONG, 2));
        deployment.run(SETTLING_TIME, 150.0, &[]);
        deployment.run(5 * SECOND, 150.0, &[2, 5]);
        deployment.run(5 * SECOND, 150.0, &[]);

        assert_kept(&deployment, Time(0), 20.0, &format!("seed {seed}"));
    }
}

/// Guards against a herd of nodes that find the idle leafs of a zone at the same moment.
#[test]
fn a_zone_that_returns_cold_gets_what_its_leafs_tolerate() {
    for (weights, zones) in [(vec![1.0; 8], 3), (vec![1.0; 76], 3)] {
        let mut deployment = Deployment::open(&weights, zones, 9);
        deployment.set_warmup_limit(10.0);
        deployment.evacuate(&["zone-0"]);
        deployment.run(SETTLING_TIME, 300.0, &[]);
        assert!(deployment.sends.is_empty(), "the zone is evacuated");

        deployment.register(&cold(LONG, 2));
        deployment.evacuate(&[]);
        deployment.run(5 * SECOND, 300.0, &[]);

        assert!(!deployment.sends.is_empty());
        assert_kept(&deployment, Time(0), 10.0, &format!("{} nodes", weights.len()));
    }
}

/// Returns a fleet of one leaf with this entry and a limit of one request per second while cold.
fn limited(entry: &Entry) -> Fleet {
    let mut fleet = Fleet::open("zone-0".into(), 1);
    fleet.set_concurrency_limits([("a".into(), 4)].into());
    fleet.set_warmup_limits(Time(0), [("a".into(), 1.0)].into());
    update(&mut fleet, Time(0), entry);
    fleet
}

fn update(fleet: &mut Fleet, now: Time, entry: &Entry) {
    let id: id::Name = "a-0".into();
    fleet.update(now, [(&id, entry)].into_iter());
}

fn is_cold(fleet: &Fleet, seconds: u64) -> bool {
    fleet.cold_leafs(Time::from_millis(1_000 * seconds)) == 1
}

/// Guards against a warm-up that never ends because the leaf writes no later entry.
#[test]
fn an_entry_that_is_read_again_does_not_restart_the_warm_up() {
    let entry = cold(10 * SECOND, 4);
    let mut fleet = limited(&entry);

    for second in [3, 6, 9, 12] {
        update(&mut fleet, Time::from_millis(1_000 * second), &entry);
    }
    assert!(is_cold(&fleet, 9) && !is_cold(&fleet, 11));
    // The leaf's entry is removed and read once more.
    fleet.update(Time::from_millis(13_000), std::iter::empty());
    update(&mut fleet, Time::from_millis(14_000), &entry);

    assert!(!is_cold(&fleet, 14));
}

#[test]
fn a_later_entry_restarts_or_ends_the_warm_up() {
    let mut fleet = limited(&cold(Duration::ZERO, 4));
    assert!(!is_cold(&fleet, 0));

    update(&mut fleet, Time::from_millis(5_000), &cold(10 * SECOND, 5));
    assert!(is_cold(&fleet, 14) && !is_cold(&fleet, 16), "without a new start of the process");
    update(&mut fleet, Time::from_millis(6_000), &cold(Duration::ZERO, 6));

    assert!(!is_cold(&fleet, 7));
}

#[test]
fn entries_without_an_age_restart_the_warm_up_only_if_they_differ() {
    let ageless = |warmup| Entry { age: Age::default(), ..cold(warmup, 0) };
    let mut fleet = limited(&ageless(10 * SECOND));
    update(&mut fleet, Time::from_millis(9_000), &ageless(10 * SECOND));
    assert!(!is_cold(&fleet, 11));

    update(&mut fleet, Time::from_millis(20_000), &ageless(5 * SECOND));

    assert!(is_cold(&fleet, 24));
}

/// Guards against an entry from before the response that ends a warm-up which the response states.
#[test]
fn a_response_restarts_the_warm_up_and_outlasts_an_entry_without_one() {
    let mut fleet = limited(&cold(Duration::ZERO, 4));
    let key = fleet.leafs("a")[0];

    fleet.record_warmup(Time::from_millis(1_000), key, 5 * SECOND);
    update(&mut fleet, Time::from_millis(2_000), &cold(Duration::ZERO, 5));

    assert!(is_cold(&fleet, 5) && !is_cold(&fleet, 7));
    let changes = fleet.take_cold_changes(Time::from_millis(2_000));
    assert_eq!(changes.iter().map(|change| change.limit).collect::<Vec<_>>(), [1.0]);
    assert!(fleet.take_cold_changes(Time::from_millis(3_000)).is_empty());
    let changes = fleet.take_cold_changes(Time::from_millis(7_000));
    assert!(changes.iter().all(|change| change.left.is_zero()) && changes.len() == 1);
}

/// Guards against a wrong statement that slows a leaf down for ever.
#[test]
fn a_statement_of_an_endless_warm_up_ends() {
    let mut fleet = limited(&cold(Duration::from_millis(u64::MAX / 2_000), 4));

    assert!(is_cold(&fleet, 3_599) && !is_cold(&fleet, 3_601));
    let key = fleet.leafs("a")[0];
    fleet.record_warmup(Time::from_millis(4_000_000), key, Duration::MAX);
    assert!(!is_cold(&fleet, 7_601));
}

#[test]
fn what_a_cold_leaf_does_not_tolerate_goes_to_another_one_and_no_limit_means_none() {
    let mut fleet = fleet(&["a".into()], 2);
    let entries = [cold(LONG, 2), entry("a", "zone-1", Age { born: 1, sequence: 1 })];
    let ids: [id::Name; 2] = ["a-0".into(), "a-1".into()];
    fleet.update(Time(0), ids.iter().zip(&entries));
    let [cold, warm] = [fleet.leafs("a")[0], fleet.leafs("a")[1]];
    let only = Candidates::Only(vec![cold]);
    let all = Candidates::AllBut(Vec::new());
    let demand = |candidates| Demand {
        usual: Duration::from_millis(20),
        respond_by: Time::from_millis(10_000),
        candidates,
        queued: false,
        turn: Turn::default(),
        need: Need::Required,
    };
    assert_eq!(fleet.place(Time(2), "a", &demand(&only)), Placement::Leaf(cold));

    fleet.set_share(Time(1), 0.1);
    fleet.set_warmup_limits(Time(1), [("a".into(), 1.0)].into());

    assert_eq!(fleet.place(Time(2), "a", &demand(&all)), Placement::Leaf(warm));
    let Placement::RateLimited(at) = fleet.place(Time(2), "a", &demand(&only)) else {
        panic!("the cold leaf can't take a request before there is a token")
    };
    assert_eq!(fleet.place(at, "a", &demand(&only)), Placement::Leaf(cold));
}

/// Guards against tokens that are saved up for as long as a very low limit takes to earn one.
#[test]
fn a_very_low_limit_allows_no_burst_after_an_idle_time() {
    for limit in [0.001, 0.1, 0.5] {
        let mut fleet = Fleet::open("zone-0".into(), 1);
        fleet.set_concurrency_limits([("a".into(), 100)].into());
        fleet.set_share(Time(0), 1.0);
        fleet.set_warmup_limits(Time(0), [("a".into(), limit)].into());
        update(&mut fleet, Time(0), &cold(LONG, 1));
        let (now, all) = (Time::from_millis(1_000_000), Candidates::AllBut(Vec::new()));
        let usual = Duration::from_millis(20);
        let demand = Demand {
            usual,
            respond_by: now + 10 * SECOND,
            candidates: &all,
            queued: false,
            turn: Turn::default(),
            need: Need::Required,
        };

        let mut sends = 0;
        while let Placement::Leaf(key) = fleet.place(now, "a", &demand) {
            fleet.record_send(now, key, usual);
            sends += 1;
        }

        assert!((1..=2).contains(&sends), "limit {limit}: {sends} at once");
    }
}
