//! Sites of several nodes: starts, planned stops, crashes and outages of the store.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_standin::platform::control::Change;
use jacinthfall_testkit::call;
use serde_json::json;

use jacinthfall_testkit::gateway::leaf::{Behaviour, Leaf};
use jacinthfall_testkit::gateway::site::{
    Request, Site, exchange, ready, route, serving_leaf, wait_for,
};

use crate::support::{open, serving, silent_store};

/// Addresses of callers' listeners that a node resolves the host to.
fn addresses(site: &Site, node: usize) -> Vec<SocketAddr> {
    let path = "/api/resolve?name=shop.example&region=r&zone=z";
    let Some(response) = call::send("GET", site.nodes[node].addresses, path, None, None) else {
        return Vec::new();
    };
    let listed = response.body["addrs"].as_array().cloned().unwrap_or_default();
    listed.iter().filter_map(|address| address.as_str()?.parse().ok()).collect()
}

#[test]
fn a_node_without_configuration_is_not_ready_and_refuses_requests() {
    let mut site = open();
    site.start();

    let response = site.ask(0, &Request::default());

    assert_eq!(response.status, 503, "a route that the node doesn't know yet may exist");
    assert!(response.header("retry-after").is_some());
    assert!(!ready(&site.nodes[0]));
    assert!(addresses(&site, 0).is_empty());
}

#[test]
fn every_node_lists_all_serving_nodes_and_no_leaving_node() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    site.start();
    site.start();
    wait_for("three nodes everywhere", || (0..3).all(|node| addresses(&site, node).len() == 3));

    site.nodes[1].process.terminate();

    let leaving = site.nodes[1].callers;
    wait_for("the leaving node to be dropped", || {
        [0, 2].iter().all(|node| !addresses(&site, *node).contains(&leaving))
    });
}

#[test]
fn a_registration_under_the_key_of_another_node_gives_callers_no_address() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    let foreign: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let node = json!({"name": "node-0", "started": 1, "zone": "z", "callers": foreign,
        "peers": foreign, "capacity": 1_000});
    site.put("jacinthfall/nodes/another", Some(node.to_string()));
    site.put("jacinthfall/nodes/&+#% ", Some("{\"name\":7}".to_owned()));

    site.start();

    wait_for("both nodes", || (0..2).all(|node| addresses(&site, node).len() >= 2));
    let callers: HashSet<SocketAddr> = site.nodes.iter().map(|node| node.callers).collect();
    for node in 0..2 {
        let listed: HashSet<SocketAddr> = addresses(&site, node).into_iter().collect();
        assert_eq!(listed, callers, "node {node}");
    }
}

#[test]
fn a_planned_stop_answers_requests_in_flight_and_exits_with_zero() {
    let leaf = Leaf::spawn("i-1", Behaviour::Silent);
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    let callers = site.nodes[0].callers;
    let pending = thread::spawn(move || {
        let request = Request { deadline_ms: 1_500, ..Request::default() };
        exchange(callers, request.text().as_bytes())
    });
    wait_for("the leaf to run the request", || leaf.runs().len() == 1);

    site.nodes[0].process.terminate();
    wait_for("the node to report that it is not ready", || !ready(&site.nodes[0]));
    leaf.set_behaviour(Behaviour::Serve(b"ok".to_vec()));
    let during = site.ask(0, &Request { id: "r-2", ..Request::default() });
    let status = site.nodes[0].process.wait();

    assert_eq!(during.status, 200, "requests that arrive during the stop are served");
    assert_eq!(during.header("connection"), Some("close"));
    let answered = pending.join().expect("a caller");
    assert!(answered.starts_with(b"HTTP/1.1 504"), "{}", String::from_utf8_lossy(&answered));
    assert!(status.success(), "{status}");
}

#[test]
fn a_node_that_cannot_reach_the_store_gets_changes_from_its_peers() {
    let (old, new) = (serving_leaf("i-1", b"old"), serving_leaf("i-2", b"new"));
    let mut site = serving(&[route("safe")], &[("i-1", "a", &old)]);
    let silent = silent_store();
    site.start_with(silent.local_addr().expect("an address"));
    site.wait_ready(1);
    let body = |site: &Site, id: &str| site.ask(1, &Request { id, ..Request::default() }).body;
    assert_eq!(body(&site, "r-1"), b"old");

    site.register("i-2", "a", &new, 1, "ready");
    site.register("i-1", "a", &old, 2, "draining");

    wait_for("the change of leafs", || body(&site, "r-2") == b"new");
    let mut moved = route("safe");
    moved["prefix"] = "/moved/".into();
    site.configure(&[moved]);
    wait_for("the change of routes", || {
        site.ask(1, &Request { id: "r-3", ..Request::default() }).status == 404
    });
}

#[test]
fn nodes_start_and_serve_while_the_store_is_down() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    site.change(&Change { outage: Some(true), ..Change::default() });

    site.start();
    site.wait_ready(1);

    for node in [0, 1] {
        assert_eq!(site.ask(node, &Request::default()).status, 200, "node {node}");
    }
}

/// Longest time after the store's return until a change must be in force: the time until
/// a node counts as connected to the store again (4 s) plus the time that a change may take
/// (3 s).
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(4 + 3);

#[test]
fn a_change_right_after_a_hung_store_recovers_takes_effect_in_time() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    for silence_ms in [300, 4_000] {
        site.change(&Change { silent: Some(true), ..Change::default() });
        thread::sleep(Duration::from_millis(silence_ms));
        site.change(&Change { silent: Some(false), ..Change::default() });
        let start = Instant::now();
        let mut moved = route("safe");
        let target = format!("/moved-{silence_ms}/");
        moved["prefix"] = target.clone().into();

        site.configure(&[moved]);

        wait_for("the change", || {
            let request = Request { target: &target, ..Request::default() };
            site.ask(0, &request).status == 200
        });
        assert!(
            start.elapsed() < MAX_RECOVERY_TIME,
            "after {silence_ms} ms without answers: {:?}",
            start.elapsed()
        );
    }
}

#[test]
fn a_killed_node_is_removed_from_the_listed_addresses() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    site.start();
    wait_for("two nodes", || addresses(&site, 0).len() == 2);

    site.nodes[1].process.kill();

    wait_for("the dead node to be dropped", || addresses(&site, 0).len() == 1);
    thread::sleep(Duration::from_millis(1));
    assert_eq!(site.ask(0, &Request::default()).status, 200);
}
