//! Planned stops, killed nodes and draining leafs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use jacinthfall_testkit::call;
use jacinthfall_testkit::site::VM_POLL_INTERVAL;
use serde_json::json;

use crate::support;

/// Profile that the queries name.
const PROFILE: &str = "patient-bot-engine";

#[test]
fn planned_stop_under_load_loses_no_request() {
    let mut site = support::site(&["bot-engine"]);
    let entry = site.nodes[1].callers;
    let stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || {
                let mut served = 0;
                while !stopped.load(Ordering::Relaxed) {
                    // Each caller looks the addresses up before each query and uses the first.
                    let addresses = call::get(entry, "/v1/addresses").body;
                    let address = addresses["addresses"][0]["address"].as_str();
                    let address = address.and_then(|address| address.parse().ok());
                    let ask = support::ask(&format!("q-{caller}-{served}"), PROFILE);
                    let response = call::post(address.expect("an address"), "/v1/query", &ask);
                    assert_eq!(response.status, 200, "{response:?}");
                    served += 1;
                }
                served
            })
        })
        .collect();

    site.nodes[0].process.terminate();
    let status = site.nodes[0].process.wait();
    stopped.store(true, Ordering::Relaxed);
    let served: Vec<u32> =
        callers.into_iter().map(|caller| caller.join().expect("no request is lost")).collect();

    assert!(status.success(), "a planned stop exits with 0, not {status}");
    assert!(served.iter().all(|served| *served > 0), "{served:?}");
    let addresses = call::get(entry, "/v1/addresses").body;
    let names = addresses["addresses"].as_array().expect("addresses are listed");
    assert!(names.iter().all(|address| address["node"] != "node-0"), "{addresses}");
}

#[test]
fn a_node_whose_entry_is_marked_as_leaving_stops_in_order() {
    let mut site = support::site(&["bot-engine"]);

    site.mark_leaving("node-2");
    let status = site.nodes[2].process.wait();

    assert!(status.success(), "a planned stop exits with 0, not {status}");
}

#[test]
fn an_entry_under_the_key_of_another_node_stops_no_node() {
    let mut site = support::site(&["bot-engine"]);

    site.mark_leaving_at("jacinthfall/vms/another", "node-2");
    site.mark_leaving("node-1");
    let status = site.nodes[1].process.wait();

    assert!(status.success(), "a planned stop exits with 0, not {status}");
    // By now every node has read the entries.
    thread::sleep(2 * VM_POLL_INTERVAL);
    assert_eq!(call::get(site.nodes[2].callers, "/readyz").status, 200);
}

#[test]
fn fate_survives_the_planned_stop_and_the_loss_of_its_node() {
    let mut site = support::site(&["bot-engine"]);
    let on_stopped_node =
        call::post(site.nodes[0].callers, "/v1/query", &support::ask("q-1", PROFILE));
    assert_eq!(on_stopped_node.status, 200, "{on_stopped_node:?}");
    let on_killed_node =
        call::post(site.nodes[1].callers, "/v1/query", &support::ask("q-2", PROFILE));
    assert_eq!(on_killed_node.status, 200, "{on_killed_node:?}");
    site.wait_for("a copy at another node", || {
        call::get(site.nodes[2].callers, "/v1/fates/q-2").status == 200
    });

    site.nodes[0].process.terminate();
    assert!(site.nodes[0].process.wait().success());
    site.nodes[1].process.kill();

    for request in ["q-1", "q-2"] {
        let path = format!("/v1/fates/{request}");
        let fates = call::get(site.nodes[2].callers, &path);
        assert_eq!(fates.status, 200, "{fates:?}");
        assert_eq!(fates.body["fates"][0]["ran"], "ran", "{fates:?}");
        assert_eq!(fates.body["fates"][0]["coverage"]["answered"], 5, "{fates:?}");
    }
}

#[test]
fn draining_leaf_gets_no_new_requests_from_any_node() {
    let site = support::site(&["agent-console"]);
    let leaf = "agent-console-3-1";
    let _ = site.control_leaf(leaf, &json!({"draining": true, "drain_grace_ms": 0}));
    let ask = |node: usize, id: &str| {
        let ask = support::ask(id, "patient-agent-console");
        call::post(site.nodes[node].callers, "/v1/query", &ask)
    };
    // The first node gets the leaf's refusal and announces it to the others.
    let first = ask(0, "q-0");
    assert_eq!(first.body["coverage"]["answered"], 30, "{first:?}");
    let knows_leaving = |node: usize| {
        let path = "/v1/timeline?limit=10000";
        let token = Some(jacinthfall_testkit::site::OPERATOR_TOKEN);
        let timeline = call::send("GET", site.nodes[node].operators, path, token, None);
        timeline.is_some_and(|timeline| timeline.body.to_string().contains("leaving"))
    };
    site.wait_for("the leaf to be known as leaving", || knows_leaving(0));
    // After a query to each node, the announcement, which was sent earlier, has been handled.
    for node in 0..3 {
        let response = ask(node, &format!("warm-{node}"));
        assert_eq!(response.body["coverage"]["answered"], 30, "{response:?}");
    }
    let received = |report: serde_json::Value| {
        report["leafs"][0]["counters"]["received"].as_u64().expect("a counter")
    };
    let before = received(site.control_leaf(leaf, &json!({"counters": true})));

    for index in 0..30 {
        let response = ask(index % 3, &format!("later-{index}"));
        assert_eq!(response.body["coverage"]["answered"], 30, "{response:?}");
    }

    let after = received(site.control_leaf(leaf, &json!({"counters": true})));
    assert_eq!(after, before, "a draining leaf got new requests");
}
