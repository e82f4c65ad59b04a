//! A store that returns from an older copy of itself, while nodes serve requests.

use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_standin::platform::control::{Change, Put};
use jacinthfall_testkit::call;
use jacinthfall_testkit::gateway::leaf::{Behaviour, Leaf};
use jacinthfall_testkit::gateway::site::{Request, Site, metric, route, serving_leaf, wait_for};
use serde_json::Value;

use crate::explain::{command, stdout, stop_and_read_log_of};
use crate::support::{serving, status};

/// Time for which a state is watched that must not change.
const HOLD: Duration = Duration::from_millis(800);

/// Where the store's revision stands when the nodes reach it again, compared to before.
#[derive(Clone, Copy, Debug)]
enum Counter {
    Below,
    At,
    Above,
}

fn moved(prefix: &str) -> Value {
    let mut route = route("safe");
    route["prefix"] = prefix.into();
    route
}

fn body(site: &Site, node: usize) -> Vec<u8> {
    site.ask(node, &Request::default()).body
}

fn copy(site: &Site) {
    site.change(&Change { copy: true, ..Change::default() });
}

/// Lets the store return to its copy while no node reaches it, and `write` something before
/// they do.
fn restore(site: &mut Site, counter: Counter, write: impl FnOnce(&mut Site)) {
    let before = site.revision();
    site.change(&Change { outage: Some(true), restore: true, ..Change::default() });
    write(site);
    let target = match counter {
        Counter::Below => 0,
        Counter::At => before,
        Counter::Above => before + 20,
    };
    for number in site.revision()..target {
        let put = vec![Put { key: format!("other/{number}").into(), value: Some("-".into()) }];
        site.change(&Change { put, ..Change::default() });
    }
    site.change(&Change { outage: Some(false), ..Change::default() });
}

/// Starts two nodes with one leaf.
fn two_nodes(leaf: &Leaf) -> Site {
    let mut site = serving(&[route("safe")], &[("i-1", "a", leaf)]);
    site.start();
    site.wait_ready(1);
    site
}

/// Starts two nodes with a leaf that is replaced by another one after a copy was taken.
fn replaced_after_copy(first: &Leaf, late: &Leaf) -> Site {
    let site = two_nodes(first);
    copy(&site);
    site.register("i-2", "a", late, 1, "ready");
    site.put("servers/i-1", None);
    wait_for("the change", || (0..2).all(|node| body(&site, node) == b"late"));
    wait_for_leafs(&site, 1);
    site
}

/// Waits until both nodes use this number of leafs. A leaf that is removed soon after the start of
/// a node is used for a while, since its entry may have lapsed.
fn wait_for_leafs(site: &Site, leafs: usize) {
    let usable = |node: usize| metric(&site.nodes[node], "jacinthfall_leafs_usable");
    wait_for("the leafs", || (0..2).all(|node| usable(node) == Some(leafs as f64)));
}

/// Writes keys that no node needs, so that the revision rises.
fn write_others(site: &Site, count: usize) {
    for number in 0..count {
        site.put(&format!("other/before-{number}"), Some("-".into()));
    }
}

fn holds(mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + HOLD;
    while Instant::now() < end {
        if !condition() {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

fn changes_after_a_restore_take_effect(counter: Counter) {
    let (old, new) = (serving_leaf("i-1", b"old"), serving_leaf("i-2", b"new"));
    let mut site = two_nodes(&old);
    copy(&site);
    write_others(&site, 30);
    wait_for("both nodes", || (0..2).all(|node| status(&site, node, "/a/1") == 200));
    thread::sleep(HOLD);

    restore(&mut site, counter, |site| {
        site.register("i-2", "a", &new, 1, "ready");
        site.register("i-1", "a", &old, 2, "draining");
        site.configure(&[route("safe"), moved("/moved/")]);
    });

    for node in 0..2 {
        wait_for("the change of leafs", || body(&site, node) == b"new");
        wait_for("the change of routes", || status(&site, node, "/moved/1") == 200);
    }
}

#[test]
fn changes_after_a_restore_take_effect_while_revisions_are_below_the_known_one() {
    changes_after_a_restore_take_effect(Counter::Below);
}

#[test]
fn changes_after_a_restore_take_effect_if_revisions_have_reached_the_known_one() {
    changes_after_a_restore_take_effect(Counter::At);
}

#[test]
fn changes_after_a_restore_take_effect_if_revisions_have_passed_the_known_one() {
    changes_after_a_restore_take_effect(Counter::Above);
}

#[test]
fn a_configuration_that_the_copy_lacks_stays_in_force_also_on_nodes_that_start() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = two_nodes(&leaf);
    copy(&site);
    site.configure(&[moved("/moved/")]);
    wait_for("the change", || (0..2).all(|node| status(&site, node, "/moved/1") == 200));

    restore(&mut site, Counter::Below, |_| {});
    site.start();
    site.wait_ready(2);

    assert!(holds(|| (0..3).all(|node| status(&site, node, "/moved/1") == 200)));
    assert!(holds(|| (0..3).all(|node| status(&site, node, "/a/1") == 404)));
}

#[test]
fn a_leaf_that_the_copy_lacks_is_used_until_it_has_written_again() {
    let (first, late) = (serving_leaf("i-1", b"first"), serving_leaf("i-2", b"late"));
    let mut site = replaced_after_copy(&first, &late);
    let runs = first.runs().len();

    restore(&mut site, Counter::Above, |_| {});

    assert!(
        holds(|| (0..2).all(|node| body(&site, node) == b"late")),
        "the leaf of the copy has left, and the other one is alive"
    );
    site.register("i-2", "a", &late, 2, "ready");
    thread::sleep(Duration::from_secs(2));
    assert!(holds(|| (0..2).all(|node| body(&site, node) == b"late")));
    assert_eq!(first.runs().len(), runs, "a leaf that has left gets nothing");
}

#[test]
fn a_leaf_that_drained_before_a_restore_gets_no_new_requests() {
    let (old, new) = (serving_leaf("i-1", b"old"), serving_leaf("i-2", b"new"));
    let mut site = two_nodes(&old);
    site.register("i-2", "a", &new, 1, "ready");
    copy(&site);
    site.register("i-1", "a", &old, 2, "draining");
    wait_for("the change", || (0..2).all(|node| holds(|| body(&site, node) == b"new")));

    restore(&mut site, Counter::Above, |_| {});

    assert!(holds(|| (0..2).all(|node| body(&site, node) == b"new")));
}

#[test]
fn an_address_that_was_used_again_goes_to_its_present_leaf() {
    let (old, new) = (serving_leaf("i-1", b"old"), serving_leaf("i-2", b"new"));
    let mut site = two_nodes(&old);
    let mut second = moved("/b/");
    second["name"] = "r-b".into();
    second["service"] = "b".into();
    site.configure(&[route("safe"), second]);
    site.register("i-3", "a", &new, 1, "ready");
    copy(&site);
    site.put("servers/i-3", None);
    site.register("i-2", "b", &new, 1, "ready");
    wait_for("the change", || (0..2).all(|node| status(&site, node, "/b/1") == 200));
    wait_for_leafs(&site, 2);
    let runs = new.runs().iter().filter(|run| run.head.starts_with("GET /a/")).count();

    restore(&mut site, Counter::Above, |_| {});

    assert!(holds(|| (0..2).all(|node| status(&site, node, "/b/1") == 200)));
    assert!(holds(|| (0..2).all(|node| body(&site, node) == b"old")));
    let late = new.runs().iter().filter(|run| run.head.starts_with("GET /a/")).count();
    assert_eq!(late, runs, "the leaf that had left gets nothing at its former address");
}

#[test]
fn nodes_register_again_after_a_restore() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    copy(&site);
    site.start();
    site.wait_ready(1);
    let is_registered = |site: &Site| {
        let path = "/api/kv-key?key=jacinthfall/nodes/node-1";
        call::send("GET", site.store, path, None, None).is_some_and(|r| r.status == 200)
    };
    wait_for("the registration", || is_registered(&site));

    restore(&mut site, Counter::Below, |_| {});

    wait_for("the registration after the restore", || is_registered(&site));
}

#[test]
fn a_request_after_a_restore_is_explained() {
    let (first, late) = (serving_leaf("i-1", b"first"), serving_leaf("i-2", b"late"));
    let mut site = replaced_after_copy(&first, &late);
    restore(&mut site, Counter::Below, |_| {});
    wait_for("the restore to be known", || {
        metric(&site.nodes[0], "jacinthfall_store_era") >= Some(1.0)
    });
    late.set_behaviour(Behaviour::Drop);

    let _ = site.ask(0, &Request { id: "r-7", ..Request::default() });
    let log = stop_and_read_log_of(&mut site, 0);
    let text = stdout(&command(&["explain", "r-7"], &log));

    assert!(text.contains("it lacked 1 leaf"), "{text}");
    assert!(text.contains("and was out of date about 1 leaf"), "{text}");
}
