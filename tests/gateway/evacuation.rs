//! Availability zones that an operator evacuates.

use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_standin::platform::control::Change;
use jacinthfall_testkit::gateway::leaf::Leaf;
use jacinthfall_testkit::gateway::site::{
    Request, Site, gather, metric, ready, route, serving_leaf, wait_for,
};
use serde_json::{Value, json};

use crate::support::{open, silent_store};

/// Zone whose leafs come first in the tests.
const ZONE: &str = "zone-a";

/// Writes or removes the key of a zone's evacuation.
fn set_evacuated(site: &Site, zone: &str, evacuated: bool) {
    site.put(&format!("op/evacuate/{zone}"), evacuated.then(|| "{}".to_owned()));
}

/// Waits until a node knows this number of evacuated zones.
fn wait_for_zones(site: &Site, node: usize, zones: usize) {
    wait_for("the evacuated zones", || {
        metric(&site.nodes[node], "jacinthfall_zones_evacuated") == Some(zones as f64)
    });
}

/// Sends requests to a node, one after the other, and returns their statuses.
fn ask(site: &Site, node: usize, target: &str, name: &str) -> Vec<u16> {
    let ids = (0..20).map(|number| format!("{name}-{node}-{number}"));
    ids.map(|id| site.ask(node, &Request { id: &id, target, ..Request::default() }).status)
        .collect()
}

/// Starts a store with a configuration and leafs of service `a`, one each in [`ZONE`] and `zone-b`.
fn two_zones(routes: &[Value]) -> (Site, [Leaf; 2]) {
    let leafs = [serving_leaf("i-0", b"ok"), serving_leaf("i-1", b"ok")];
    let mut site = open();
    for (number, (leaf, zone)) in leafs.iter().zip([ZONE, "zone-b"]).enumerate() {
        site.register_with(&format!("i-{number}"), "a", leaf, &json!({ "zone": zone }));
    }
    site.configure(routes);
    (site, leafs)
}

fn start(site: &mut Site) {
    site.start();
    site.wait_ready(site.nodes.len() - 1);
}

/// Asserts that a node serves requests without the leafs of [`ZONE`].
fn assert_evacuated(site: &Site, leafs: &[Leaf; 2], node: usize, name: &str) {
    let before = leafs[0].runs().len();
    let statuses = ask(site, node, "/a/1", name);
    assert!(statuses.iter().all(|status| *status == 200), "{name}, node {node}: {statuses:?}");
    assert_eq!(leafs[0].runs().len(), before, "{name}, node {node}: nothing may be sent there");
}

/// Guards against nodes that learn of an evacuation, or of its end, from the store only.
#[test]
fn an_evacuation_takes_effect_and_ends_at_nodes_with_and_without_the_store() {
    let (mut site, leafs) = two_zones(&[route("safe")]);
    start(&mut site);
    let silent = silent_store();
    site.start_with(silent.local_addr().expect("an address"));
    site.wait_ready(1);

    set_evacuated(&site, ZONE, true);

    for node in 0..2 {
        wait_for_zones(&site, node, 1);
        assert_evacuated(&site, &leafs, node, "evacuated");
    }

    set_evacuated(&site, ZONE, false);
    (0..2).for_each(|node| wait_for_zones(&site, node, 0));
    // Only the zone that returns is left then, so that the choice among idle leafs doesn't matter.
    set_evacuated(&site, "zone-b", true);

    for node in 0..2 {
        wait_for_zones(&site, node, 1);
        let before = leafs.each_ref().map(|leaf| leaf.runs().len());
        let statuses = ask(&site, node, "/a/1", "returned");
        let after = leafs.each_ref().map(|leaf| leaf.runs().len());
        assert!(statuses.iter().all(|status| *status == 200), "node {node}: {statuses:?}");
        assert_eq!(after, [before[0] + 20, before[1]], "node {node}: only the first zone is left");
    }
}

/// Guards against a node that sends requests before it knows which zones are evacuated.
#[test]
fn a_node_that_starts_knows_an_evacuation_from_the_store_or_from_another_node() {
    let (mut site, leafs) = two_zones(&[route("safe")]);
    set_evacuated(&site, ZONE, true);

    start(&mut site);
    assert_evacuated(&site, &leafs, 0, "from-the-store");

    site.change(&Change { outage: Some(true), ..Change::default() });
    start(&mut site);
    assert_evacuated(&site, &leafs, 1, "from-another-node");
    let silent = silent_store();
    site.start_with(silent.local_addr().expect("an address"));
    site.wait_ready(2);
    assert_evacuated(&site, &leafs, 2, "without-the-store");
}

#[test]
fn a_node_without_store_and_other_nodes_is_not_ready_and_sends_nothing() {
    let (mut site, leafs) = two_zones(&[route("safe")]);
    site.change(&Change { outage: Some(true), ..Change::default() });
    site.start();

    let statuses = ask(&site, 0, "/a/1", "alone");

    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    assert!(!ready(&site.nodes[0]));
    assert!(leafs.iter().all(|leaf| leaf.runs().is_empty()));
}

/// Guards against requests that wait for, or are relayed because of, leafs that nothing may be sent
/// to.
#[test]
fn requests_without_any_other_zone_are_refused_at_once_or_answered_with_the_remaining_shards() {
    let shards = ["s-0", "s-1", "s-2"].map(|service| (service, serving_leaf(service, b"1 1 x\n")));
    let alone = serving_leaf("i-0", b"ok");
    let mut site = open();
    site.register_with("i-0", "a", &alone, &json!({ "zone": ZONE }));
    for (number, (service, leaf)) in shards.iter().enumerate() {
        let zone = if number == 0 { ZONE } else { "zone-b" };
        site.register_with(service, service, leaf, &json!({ "zone": zone }));
    }
    site.configure(&[route("safe"), gather(0.6)]);
    start(&mut site);
    start(&mut site);

    set_evacuated(&site, ZONE, true);

    for node in 0..2 {
        wait_for_zones(&site, node, 1);
        let sent = Instant::now();
        let response = site.ask(node, &Request { id: "single", ..Request::default() });
        assert_eq!(response.status, 503, "node {node}");
        assert!(response.header("retry-after").is_some());
        assert!(sent.elapsed() < Duration::from_millis(500), "it is known that it can't be served");
        let statuses = ask(&site, node, "/g/1", "query");
        assert!(statuses.iter().all(|status| *status == 200), "node {node}: {statuses:?}");
    }
    assert!(alone.runs().is_empty() && shards[0].1.runs().is_empty());
    assert!(!shards[1].1.runs().is_empty());
    for node in &site.nodes {
        assert_eq!(metric(node, "jacinthfall_services_lost"), Some(0.0));
    }
}

/// Guards against an evacuation that outlives the copy which the store returns from, and against one
/// that is forgotten although the copy has it.
#[test]
fn after_a_restore_of_the_store_the_evacuations_of_the_copy_are_in_force() {
    let (mut site, leafs) = two_zones(&[route("safe")]);
    set_evacuated(&site, ZONE, true);
    start(&mut site);
    start(&mut site);
    site.change(&Change { copy: true, ..Change::default() });
    set_evacuated(&site, "zone-c", true);
    (0..2).for_each(|node| wait_for_zones(&site, node, 2));

    site.change(&Change { restore: true, ..Change::default() });

    for node in 0..2 {
        wait_for_zones(&site, node, 1);
        assert_evacuated(&site, &leafs, node, "restored");
    }
}

/// Guards against a node that goes on with what it knew before it was paused.
#[test]
fn a_node_that_was_paused_learns_what_was_evacuated_and_returned_meanwhile() {
    for paused in 0..2 {
        let (mut site, leafs) = two_zones(&[route("safe")]);
        start(&mut site);
        start(&mut site);
        set_evacuated(&site, "zone-c", true);
        (0..2).for_each(|node| wait_for_zones(&site, node, 1));

        site.nodes[paused].process.freeze();
        set_evacuated(&site, "zone-c", false);
        set_evacuated(&site, ZONE, true);
        set_evacuated(&site, "zone-d", true);
        wait_for_zones(&site, 1 - paused, 2);
        thread::sleep(Duration::from_millis(1_500));
        site.nodes[paused].process.resume();

        // With `zone-c` still among them there would be three, or one.
        wait_for_zones(&site, paused, 2);
        assert_evacuated(&site, &leafs, paused, "resumed");
    }
}

#[test]
fn the_last_state_stays_in_force_while_the_store_is_down_and_is_replaced_afterwards() {
    let (mut site, leafs) = two_zones(&[route("safe")]);
    start(&mut site);
    start(&mut site);
    set_evacuated(&site, ZONE, true);
    (0..2).for_each(|node| wait_for_zones(&site, node, 1));

    site.change(&Change { outage: Some(true), ..Change::default() });
    thread::sleep(Duration::from_millis(1_500));
    (0..2).for_each(|node| assert_evacuated(&site, &leafs, node, "outage"));
    site.change(&Change { outage: Some(false), ..Change::default() });
    set_evacuated(&site, ZONE, false);

    (0..2).for_each(|node| wait_for_zones(&site, node, 0));
}
