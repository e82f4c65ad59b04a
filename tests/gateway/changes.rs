//! Changes of the configuration and of the registered leafs while nodes serve requests.

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use jacinthfall_standin::platform::control::{Change, Put};
use jacinthfall_testkit::gateway::leaf::Leaf;
use jacinthfall_testkit::gateway::site::{Request, Site, metric, route, serving_leaf, wait_for};

use crate::explain::stop_and_read_log_of;
use crate::support::serving;

fn body(site: &Site, id: &str) -> Vec<u8> {
    site.ask(0, &Request { id, ..Request::default() }).body
}

fn route_to(service: &str) -> Value {
    let mut route = route("safe");
    route["service"] = service.into();
    route
}

fn two_services() -> (Leaf, Leaf, Site) {
    let (a, b) = (serving_leaf("i-1", b"of a"), serving_leaf("i-2", b"of b"));
    let site = serving(&[route_to("a")], &[("i-1", "a", &a), ("i-2", "b", &b)]);
    (a, b, site)
}

#[test]
fn a_new_configuration_version_takes_effect_and_is_not_reverted() {
    let (_a, _b, mut site) = two_services();
    assert_eq!(body(&site, "r-1"), b"of a");

    site.configure(&[route_to("b")]);

    wait_for("the new version", || body(&site, "r-2") == b"of b");
    for number in 0..50 {
        assert_eq!(body(&site, &format!("r-3-{number}")), b"of b");
    }
}

#[test]
fn an_unreadable_configuration_is_ignored() {
    let (_a, _b, mut site) = two_services();
    site.put("op/config", Some("{\"version\":".into()));

    assert_eq!(body(&site, "r-1"), b"of a");

    site.configure(&[route_to("b")]);
    wait_for("the next version", || body(&site, "r-2") == b"of b");
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_used() {
    let (a, b) = (serving_leaf("i-1", b"of a"), serving_leaf("i-2", b"of b"));
    let mut longer = route_to("b");
    longer["prefix"] = json!("/a/b/");
    let entries = [("i-1", "a", &a), ("i-2", "b", &b)];
    let site = serving(&[route_to("a"), longer], &entries);

    let at = |target: &str| site.ask(0, &Request { target, ..Request::default() }).body;

    assert_eq!((at("/a/b/c"), at("/a/b")), (b"of b".to_vec(), b"of a".to_vec()));
}

#[test]
fn requests_are_split_between_services_by_weight() {
    let (a, b) = (serving_leaf("i-1", b"of a"), serving_leaf("i-2", b"of b"));
    let mut split = route("safe");
    split.as_object_mut().expect("a route").remove("service");
    split["split"] = json!([{"service": "a", "weight": 3}, {"service": "b", "weight": 1}]);
    let site = serving(&[split], &[("i-1", "a", &a), ("i-2", "b", &b)]);

    let count = (0..40).filter(|n| body(&site, &format!("r-{n}")) == b"of b").count();

    assert_eq!(count, 10);
}

#[test]
fn a_draining_leaf_gets_no_new_requests() {
    let (old, new) = (serving_leaf("i-1", b"old"), serving_leaf("i-2", b"new"));
    let site = serving(&[route("safe")], &[("i-1", "a", &old)]);
    assert_eq!(body(&site, "r-1"), b"old");

    site.register("i-2", "a", &new, 1, "ready");
    site.register("i-1", "a", &old, 2, "draining");

    wait_for("the change to reach the node", || body(&site, "r-2") == b"new");
    let runs = old.runs().len();
    for number in 0..20 {
        assert_eq!(body(&site, &format!("r-3-{number}")), b"new");
    }
    assert_eq!(old.runs().len(), runs);
}

#[test]
fn unreadable_leaf_entries_do_not_affect_other_leafs() {
    let (a, b) = (serving_leaf("i-1", b"of a"), serving_leaf("i-2", b"of b"));
    let mut site = serving(&[route("safe")], &[("i-1", "a", &a)]);
    site.put("servers/i-3", Some("{\"service\":7}".into()));
    site.put("servers/i-4", Some("\u{1}\u{2}".into()));
    site.register("i-5", "a", &b, 1, "sleeping");
    let entry = json!({"service": "a", "address": b.address, "zone": "z", "slots": 3,
        "state": "ready", "sequence": 1});
    site.put("servers/i-6", Some(entry.to_string()));
    let last = serving_leaf("i-7", b"of b");
    site.register("i-7", "b", &last, 1, "ready");
    wait_for("the changes to reach the node", || last.connections() > 0);

    for number in 0..20 {
        assert_eq!(body(&site, &format!("r-{number}")), b"of a");
    }
    assert_eq!((b.connections(), b.runs().len()), (0, 0));
    let ignored = metric(&site.nodes[0], "jacinthfall_registrations_ignored_total");
    assert_eq!(ignored, Some(4.0));
    let log = stop_and_read_log_of(&mut site, 0);
    for id in ["i-3", "i-4", "i-5", "i-6"] {
        let line = format!("event=registration_ignored key=\"servers/{id}\"");
        assert!(log.contains(&line), "{line}: {log}");
    }
}

/// Regression test: requests were chosen for such a leaf and then couldn't be sent to it.
#[test]
fn a_leaf_whose_id_no_header_can_hold_is_not_used() {
    let (good, odd) = (serving_leaf("i-1", b"of a"), serving_leaf("i-\u{e4}", b"of a"));
    let site = serving(&[route("safe")], &[("i-1", "a", &good), ("i-\u{e4}", "a", &odd)]);

    for number in 0..20 {
        assert_eq!(body(&site, &format!("r-{number}")), b"of a");
    }
    assert_eq!(odd.connections(), 0);
}

/// Entries of another writer, with a name that has characters which are reserved in a URL. They fill
/// more than a page of a listing, so that some page ends with one of them.
fn write_odd_entries(site: &Site) {
    let key = |number| format!("servers/a& +#%{number:04}").into();
    let value = Some("{\"service\":7}".to_owned());
    let put = (0..600).map(|number| Put { key: key(number), value: value.clone() });
    site.change(&Change { put: put.collect(), ..Change::default() });
}

/// Regression test: nodes that started while such an entry stood at the end of a page never read
/// the list of leafs to its end, and refused all requests.
#[test]
fn odd_names_of_entries_do_not_stop_nodes_that_start() {
    let leaf = serving_leaf("i-1", b"of a");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    write_odd_entries(&site);
    site.nodes.clear();

    site.start();
    site.start();

    for node in 0..2 {
        site.wait_ready(node);
        let response = site.ask(node, &Request::default());
        assert_eq!((response.status, &response.body[..]), (200, &b"of a"[..]), "node {node}");
    }
}

#[test]
fn a_watch_behind_the_compacted_history_catches_up() {
    let (_a, _b, mut site) = two_services();
    let change = Change { compact: true, ..Change::default() };
    site.change(&change);

    site.configure(&[route_to("b")]);
    site.change(&change);

    wait_for("the new version", || body(&site, "r-2") == b"of b");
}

/// A node closes connections that nobody uses. Changes of other leafs are no reason to open them
/// again: in a large deployment some leaf changes all the time.
#[test]
fn a_change_of_one_leaf_opens_no_connection_to_the_others() {
    let (unchanged, changed) = (serving_leaf("i-1", b"ok"), serving_leaf("i-2", b"ok"));
    let entries = [("i-1", "a", &unchanged), ("i-2", "a", &changed)];
    let site = serving(&[route_to("a")], &entries);
    wait_for("connections to both", || unchanged.connections() > 0 && changed.connections() > 0);
    thread::sleep(Duration::from_millis(2_500));
    let before = unchanged.connections();

    for sequence in 2..6 {
        site.register("i-2", "a", &changed, sequence, "ready");
        thread::sleep(Duration::from_millis(500));
    }
    let added = serving_leaf("i-3", b"ok");
    site.register("i-3", "a", &added, 1, "ready");

    wait_for("a connection to the new leaf", || added.connections() > 0);
    assert_eq!(unchanged.connections(), before);
}
