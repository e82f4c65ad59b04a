//! Leafs that tolerate a limited number of requests per second while they are cold.

use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_testkit::gateway::leaf::Leaf;
use jacinthfall_testkit::gateway::site::{Request, Site, metric, route, serving_leaf, wait_for};
use serde_json::json;

use crate::support::open;

/// Requests per second that a cold leaf tolerates.
const LIMIT: f64 = 6.0;

/// Starts two nodes, and two leafs of service `a` that are warm.
fn two_nodes() -> (Site, [Leaf; 2]) {
    let leafs = [serving_leaf("i-0", b"ok"), serving_leaf("i-1", b"ok")];
    let mut site = open();
    for (number, leaf) in leafs.iter().enumerate() {
        site.register(&format!("i-{number}"), "a", leaf, 1, "ready");
    }
    site.configure_with(&[route("safe")], &json!({ "warmup-s": 30, "warmup-per-s": LIMIT }));
    for node in 0..2 {
        site.start();
        site.wait_ready(node);
    }
    (site, leafs)
}

/// Sends requests to both nodes from several callers for a time, and returns their statuses.
fn load(site: &Site, duration: Duration) -> Vec<u16> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|caller| {
                scope.spawn(move || {
                    let (end, mut statuses) = (Instant::now() + duration, Vec::new());
                    while Instant::now() < end {
                        let id = format!("r-{caller}-{}", statuses.len());
                        let request = Request { id: &id, deadline_ms: 500, ..Request::default() };
                        statuses.push(site.ask(caller % 2, &request).status);
                        thread::sleep(Duration::from_millis(10));
                    }
                    statuses
                })
            })
            .collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("statuses")).collect()
    })
}

/// Returns the largest number of runs within any second, from the `from`th run on.
fn busiest_second(leaf: &Leaf, from: usize) -> usize {
    let runs = leaf.runs();
    let times: Vec<Instant> = runs[from..].iter().filter_map(|run| run.at).collect();
    let within = |end: &Instant| {
        let second = Duration::from_secs(1);
        times.iter().filter(|at| **at <= *end && end.duration_since(**at) < second).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Guards against a leaf that becomes cold again without a new start and is sent its usual load.
#[test]
fn a_leaf_that_becomes_cold_again_gets_no_more_than_its_limit_and_the_others_the_rest() {
    let (site, leafs) = two_nodes();
    load(&site, Duration::from_secs(1));
    let fields = json!({ "sequence": 2, "warmup-left-ms": 600_000 });

    site.register_with("i-0", "a", &leafs[0], &fields);
    for node in &site.nodes {
        wait_for("the cold leaf", || metric(node, "jacinthfall_leafs_cold") == Some(1.0));
    }
    let (before, warm) = (leafs[0].runs().len(), leafs[1].runs().len());
    let statuses = load(&site, Duration::from_secs(4));

    let allowed = (1.5 * LIMIT) as usize + 5;
    let most = busiest_second(&leafs[0], before);
    assert!(most <= allowed, "{most} of {allowed} in a second");
    assert!(leafs[1].runs().len() - warm > 100, "the warm leaf gets the rest");
    assert!(statuses.iter().all(|status| *status == 200), "the warm leaf could serve all");
}

#[test]
fn callers_beyond_the_limit_of_cold_leafs_are_refused_and_a_warm_leaf_has_none() {
    let (site, leafs) = two_nodes();
    for (number, leaf) in leafs.iter().enumerate() {
        let fields = json!({ "sequence": 2, "warmup-left-ms": 600_000 });
        site.register_with(&format!("i-{number}"), "a", leaf, &fields);
    }
    for node in &site.nodes {
        wait_for("the cold leafs", || metric(node, "jacinthfall_leafs_cold") == Some(2.0));
    }
    let before = leafs.each_ref().map(|leaf| leaf.runs().len());

    let statuses = load(&site, Duration::from_secs(3));

    let allowed = (1.5 * LIMIT) as usize + 5;
    for (leaf, before) in leafs.iter().zip(before) {
        let most = busiest_second(leaf, before);
        assert!(most <= allowed, "{most} of {allowed} in a second");
    }
    assert!(statuses.contains(&503) && statuses.contains(&200), "{statuses:?}");
    site.register("i-0", "a", &leafs[0], 3, "ready");
    for node in &site.nodes {
        wait_for("the warm leaf", || metric(node, "jacinthfall_leafs_cold") == Some(1.0));
    }
    let statuses = load(&site, Duration::from_secs(1));
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
