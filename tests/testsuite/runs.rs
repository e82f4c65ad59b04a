//! Requests that are not idempotent run at most once, also over several nodes.

use std::net::SocketAddr;
use std::thread;

use jacinthfall_testkit::call::{self, Response};
use jacinthfall_testkit::site::Site;
use serde_json::{Value, json};

use crate::support;

/// Returns the body of a request to issue an invoice, which must not run twice.
fn invoice(request: &str) -> Value {
    json!({
        "request": request,
        "profile": "patient-invoice",
        "issued_ms": support::wall_ms(),
        "query": {"scope": {"key": "k7"}, "text": "issue invoice 7", "limit": 10},
    })
}

/// Number of runs of a request, summed over the counts of all leafs.
fn runs(site: &Site, request: &str) -> u64 {
    let report = site.control_leaf("invoicer", &json!({"runs": true}));
    let leafs = report["leafs"].as_array().expect("leafs are reported");
    leafs.iter().filter_map(|leaf| leaf["runs"][request].as_u64()).sum()
}

fn issue(node: SocketAddr, body: &Value) -> Response {
    call::post(node, "/v1/query", body)
}

/// Asks again until the outcome is recorded, which may happen after the answer was sent.
/// Until then the outcome is unknown, and the answer has a `Retry-After`.
fn repeat(site: &Site, node: SocketAddr, body: &Value) -> Response {
    let last = std::cell::RefCell::new(None);
    site.wait_for("the recorded outcome", || {
        let response = issue(node, body);
        if response.status != 200 {
            assert_eq!(response.body["cause"], "outcome_unknown", "{response:?}");
            assert_eq!(response.body["ran"], "unknown", "{response:?}");
            assert!(response.retry_after.is_some(), "{response:?}");
        }
        let done = response.status == 200;
        last.replace(Some(response));
        done
    });
    last.into_inner().expect("a response")
}

#[test]
fn repeated_and_concurrent_duplicates_run_once() {
    let site = support::invoicer();
    let body = invoice("inv-1");

    let asks: Vec<_> = (0..9)
        .map(|index| {
            let node = site.nodes[index % site.nodes.len()].callers;
            let body = body.clone();
            thread::spawn(move || issue(node, &body))
        })
        .collect();
    let first: Vec<Response> = asks.into_iter().map(|ask| ask.join().expect("an ask")).collect();
    let repeats: Vec<Response> =
        site.nodes.iter().map(|node| repeat(&site, node.callers, &body)).collect();

    assert_eq!(runs(&site, "inv-1"), 1);
    assert!(first.iter().any(|response| response.status == 200), "{first:?}");
    for response in first.iter().chain(&repeats) {
        assert_ne!(response.body["ran"], "not_run", "{response:?}");
    }
    for response in &repeats {
        assert_eq!(response.status, 200, "a repeat gets the recorded answer: {response:?}");
        assert_eq!(response.body["rows"], repeats[0].body["rows"]);
    }
}

#[test]
fn reused_id_is_refused_and_its_query_does_not_run() {
    let site = support::invoicer();
    let body = invoice("inv-2");
    let mut other = body.clone();
    other["query"]["text"] = "issue invoice 8".into();

    let first = issue(site.nodes[0].callers, &body);
    let second = issue(site.nodes[1].callers, &other);

    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(second.body["cause"], "id_reused");
    assert_eq!(runs(&site, "inv-2"), 1);
}

#[test]
fn lost_reply_of_a_compare_and_swap_is_read_back_and_the_request_runs_once() {
    let site = support::invoicer();
    let body = invoice("inv-3");
    let _ = call::control(site.platform_address, &json!({"lose_replies": 1}));

    let first = issue(site.nodes[0].callers, &body);
    let repeat = repeat(&site, site.nodes[1].callers, &body);

    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(repeat.body["rows"], first.body["rows"]);
    assert_eq!(runs(&site, "inv-3"), 1);
}

#[test]
fn request_during_a_store_outage_is_refused_with_unknown_outcome() {
    let site = support::invoicer();
    let body = invoice("inv-4");
    let _ = call::control(site.platform_address, &json!({"outage": true}));

    let refused = issue(site.nodes[0].callers, &body);

    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.body["cause"], "store_unavailable");
    assert_eq!(refused.body["ran"], "unknown");
    assert!(refused.retry_after.is_some());
    assert_eq!(runs(&site, "inv-4"), 0);

    let _ = call::control(site.platform_address, &json!({"outage": false}));
    let repeat = issue(site.nodes[1].callers, &body);

    assert_eq!(repeat.status, 200, "{repeat:?}");
    assert_eq!(runs(&site, "inv-4"), 1);
}

#[test]
fn killed_node_leaves_at_most_one_run_and_a_fate_at_other_nodes() {
    let mut site = support::invoicer();
    let body = invoice("inv-5");
    // The run takes longer than the time until the node is killed.
    let _ = site.control_leaf("invoicer", &json!({"stall_ms": 2_000}));
    let node = site.nodes[0].callers;
    let asked = {
        let body = body.to_string();
        thread::spawn(move || call::send("POST", node, "/v1/query", None, Some(body.as_bytes())))
    };
    let fate = "/v1/fates/inv-5";
    site.wait_for("a copy of the fate at another node", || {
        call::get(site.nodes[1].callers, fate).status == 200
    });
    site.nodes[0].process.kill();
    assert!(asked.join().expect("an ask").is_none(), "the node died before it could answer");

    let repeat = issue(site.nodes[1].callers, &body);
    let fates = call::get(site.nodes[2].callers, fate);

    assert!(runs(&site, "inv-5") <= 1);
    assert_ne!(repeat.body["ran"], "not_run", "{repeat:?}");
    assert_eq!(fates.status, 200, "{fates:?}");
    assert_eq!(fates.body["fates"][0]["node"]["node"], "node-0");
}

#[test]
fn a_restored_store_runs_no_request_twice() {
    let site = support::invoicer();
    let platform = site.platform_address;
    let body = invoice("inv-8");
    let _ = call::control(platform, &json!({"copy": true}));
    let first = repeat(&site, site.nodes[0].callers, &body);

    let _ = call::control(platform, &json!({"restore": true}));
    let repeats: Vec<Response> = site.nodes.iter().map(|node| issue(node.callers, &body)).collect();

    assert_eq!(first.status, 200);
    assert_eq!(runs(&site, "inv-8"), 1);
    for response in &repeats {
        assert_ne!(response.body["ran"], "not_run", "{response:?}");
    }
}
