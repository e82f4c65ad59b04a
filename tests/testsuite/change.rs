//! Accepted changes of profiles take effect on every node and are never reverted.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use jacinthfall_testkit::call::{self, Response};
use jacinthfall_testkit::site::{Node, OPERATOR_TOKEN, Site};
use serde_json::{Value, json};

use crate::support;

/// Name of the profile that the tests change.
const PROFILE: &str = "patient-bot-engine";

/// Returns the body of a change that sets the deadline.
fn change(id: &str, deadline_ms: u64, expect_revision: Option<u64>) -> Value {
    let mut body = json!({
        "profile": {
            "name": PROFILE,
            "service": "bot-engine",
            "deadline_ms": deadline_ms,
            "least_coverage": 0.5,
            "idempotent": true,
        },
        "change": {"id": id, "author": "test", "cause": "to see it hold"},
    });
    if let Some(revision) = expect_revision {
        body["expect_revision"] = revision.into();
    }
    body
}

fn put(node: &Node, body: &Value) -> Response {
    let path = format!("/v1/profiles/{PROFILE}");
    let body = body.to_string();
    call::send("PUT", node.operators, &path, Some(OPERATOR_TOKEN), Some(body.as_bytes()))
        .expect("a response")
}

fn get(node: &Node, path: &str) -> Response {
    call::send("GET", node.operators, path, Some(OPERATOR_TOKEN), None).expect("a response")
}

/// Revision of the profile that is in force at a node; 0 if none is.
fn revision(site: &Site, node: &Node) -> u64 {
    site.status(node)["revisions"][format!("config/profile/{PROFILE}")].as_u64().unwrap_or(0)
}

fn wait_in_force(site: &Site, wanted: u64) {
    site.wait_for("the change to be in force everywhere", || {
        site.nodes.iter().all(|node| revision(site, node) >= wanted)
    });
}

/// Returns the value of a key in the store, in base64.
fn stored_value(site: &Site, key: &str) -> String {
    let path = format!("/api/kv-key?key={key}");
    let stored = call::send("GET", site.platform_address, &path, None, None).expect("a response");
    stored.body["value"].as_str().expect("a value").to_owned()
}

#[test]
fn of_two_concurrent_changes_one_is_accepted_and_the_other_refused() {
    let site = support::site(&["bot-engine"]);

    let first = put(&site.nodes[0], &change("c-1", 5_000, Some(1)));
    let second = put(&site.nodes[1], &change("c-2", 6_000, Some(1)));

    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.body["result"], "accepted");
    assert_eq!(first.body["revision"], 2);
    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(second.body["result"], "refused");
    assert_eq!(second.body["revision"], 2);
    wait_in_force(&site, 2);
    let in_force = get(&site.nodes[2], &format!("/v1/profiles/{PROFILE}/in-force"));
    let nodes = in_force.body["nodes"].as_array().expect("nodes are listed").clone();
    assert_eq!(nodes.len(), 3);
    assert!(nodes.iter().all(|node| node["revision"] == 2), "{nodes:?}");
    let history = get(&site.nodes[2], &format!("/v1/profiles/{PROFILE}/history"));
    let changes = history.body["changes"].as_array().expect("changes are listed").clone();
    assert_eq!(changes.len(), 2);
    assert_eq!(changes[1]["change"]["id"], "c-1");
    assert_eq!(changes[1]["change"]["author"], "test");
}

#[test]
fn lost_store_reply_is_resolved_by_reading_the_record_back() {
    let site = support::site(&["bot-engine"]);
    let _ = call::control(site.platform_address, &json!({"lose_replies": 1}));

    let first = put(&site.nodes[0], &change("c-1", 5_000, None));
    let again = put(&site.nodes[1], &change("c-1", 5_000, None));

    assert_eq!(first.body, json!({"result": "accepted", "revision": 2}), "{first:?}");
    assert_eq!(again.body, json!({"result": "accepted", "revision": 2}), "{again:?}");
}

#[test]
fn invalid_change_is_refused_without_a_write_and_names_the_field() {
    let site = support::site(&["bot-engine"]);
    let mut unknown_key = change("c-1", 5_000, None);
    unknown_key["profile"]["dead_line"] = 1.into();
    let mut wrong_type = change("c-2", 5_000, None);
    wrong_type["profile"]["deadline_ms"] = "5s".into();
    let mut unknown_service = change("c-3", 5_000, None);
    unknown_service["profile"]["service"] = "nobody".into();
    let cases = [
        (unknown_key, "dead_line"),
        (wrong_type, "deadline_ms"),
        (unknown_service, "service"),
        (change("c-4", 0, None), "deadline_ms"),
    ];

    for (body, field) in cases {
        let response = put(&site.nodes[0], &body);

        assert_eq!(response.status, 400, "{response:?}");
        assert_eq!(response.body["result"], "invalid");
        assert!(response.body.to_string().contains(field), "{response:?}");
    }
    let history = get(&site.nodes[0], &format!("/v1/profiles/{PROFILE}/history"));
    assert_eq!(history.body["changes"].as_array().map(Vec::len), Some(1));
}

#[test]
fn change_survives_a_store_outage_and_reaches_nodes_that_start_during_it() {
    let mut site = support::site(&["bot-engine"]);
    let accepted = put(&site.nodes[0], &change("c-1", 5_000, None));
    assert_eq!(accepted.status, 200, "{accepted:?}");
    wait_in_force(&site, 2);
    let _ = call::control(site.platform_address, &json!({"outage": true}));

    let unknown = put(&site.nodes[1], &change("c-2", 6_000, None));
    assert_eq!(unknown.status, 503, "{unknown:?}");
    assert_eq!(unknown.body["result"], "unknown");
    assert_eq!(unknown.body["change_id"], "c-2");
    site.nodes[0].process.kill();
    site.nodes.remove(0);
    // A node that starts while the store is down gets the newest records from its peers.
    site.start_node("node-3");
    site.wait_for("the new node to be ready", || {
        call::get(site.nodes[2].callers, "/readyz").status == 200
    });

    for node in &site.nodes {
        assert_eq!(revision(&site, node), 2, "a node reverted the profile");
        let served = call::post(node.callers, "/v1/query", &support::ask("q-1", PROFILE));
        assert_eq!(served.status, 200, "{served:?}");
    }
    let _ = call::control(site.platform_address, &json!({"outage": false}));
    let again = put(&site.nodes[1], &change("c-2", 6_000, None));
    assert_eq!(again.body["result"], "accepted", "{again:?}");
    assert_eq!(again.body["revision"], 3, "{again:?}");
    wait_in_force(&site, 3);
}

#[test]
fn a_change_of_an_unreadable_profile_is_refused_and_keeps_the_stored_value() {
    let site = support::site(&["bot-engine"]);
    let key = format!("config/profile/{PROFILE}");
    let put_value = json!({"put": [{"key": key, "value": "{\"not\": \"a profile\"}"}]});
    let _ = call::control(site.platform_address, &put_value);

    let response = put(&site.nodes[0], &change("c-1", 5_000, None));

    assert_eq!(response.status, 409, "{response:?}");
    assert_eq!(response.body["result"], "unreadable");
    assert!(response.body.to_string().contains(&key), "{response:?}");
    assert_eq!(stored_value(&site, &key), "eyJub3QiOiAiYSBwcm9maWxlIn0=");
}

#[test]
fn a_record_under_the_key_of_another_is_not_put_in_force() {
    let site = support::site(&["bot-engine"]);
    let stored = stored_value(&site, &format!("config/profile/{PROFILE}"));
    let stored = BASE64.decode(stored).expect("base64");
    let mut foreign: Value = serde_json::from_slice(&stored).expect("a document");
    foreign["record"]["revision"] = 9.into();
    let odd = json!({"key": "config/&+#% ", "value": foreign.to_string()});
    let _ = call::control(site.platform_address, &json!({"put": [odd]}));

    let accepted = put(&site.nodes[0], &change("c-1", 5_000, None));

    assert_eq!(accepted.body["revision"], 2, "{accepted:?}");
    wait_in_force(&site, 2);
    assert!(site.nodes.iter().all(|node| revision(&site, node) == 2));
}

#[test]
fn a_change_on_a_restored_store_is_in_force_everywhere() {
    let site = support::site(&["bot-engine"]);
    let _ = call::control(site.platform_address, &json!({"copy": true}));
    let lost = put(&site.nodes[0], &change("c-1", 5_000, None));
    assert_eq!(lost.status, 200, "{lost:?}");
    wait_in_force(&site, 2);
    let _ = call::control(site.platform_address, &json!({"restore": true}));

    let accepted = put(&site.nodes[0], &change("c-2", 6_000, None));

    assert_eq!(accepted.status, 200, "{accepted:?}");
    let revision = accepted.body["revision"].as_u64().expect("a revision");
    assert!(revision > 2, "revision {revision} is in force with the change that the store lost");
    wait_in_force(&site, revision);
}
