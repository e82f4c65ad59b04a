//! Invalid input is refused with a clear status and does not affect the node.

use jacinthfall_testkit::call;
use serde_json::{Value, json};

use crate::support;

/// Returns a query with `key` set to `value`.
fn query_with(key: &str, value: Value) -> Value {
    let mut ask = support::ask("bad-1", "patient-bot-engine");
    ask[key] = value;
    ask
}

#[test]
fn invalid_input_is_refused_and_the_node_keeps_serving() {
    let site = support::site(&["bot-engine"]);
    let node = site.nodes[0].callers;
    let huge = "x".repeat(2_000_000);
    let cases = [
        ("not JSON", "{".to_owned(), 400, "bad_request"),
        ("no body", String::new(), 400, "bad_request"),
        ("unknown key", query_with("nonsense", json!(1)).to_string(), 400, "bad_request"),
        ("empty id", query_with("request", json!("")).to_string(), 400, "bad_request"),
        ("id with a space", query_with("request", json!("a b")).to_string(), 400, "bad_request"),
        (
            "no rows",
            query_with("query", json!({"scope": "all", "text": "x", "limit": 0})).to_string(),
            400,
            "bad_request",
        ),
        (
            "unknown profile",
            query_with("profile", json!("nobody")).to_string(),
            404,
            "unknown_profile",
        ),
        ("no time", query_with("deadline_ms", json!(0)).to_string(), 400, "bad_deadline"),
        (
            "absurd time",
            query_with("deadline_ms", json!(u64::MAX / 4)).to_string(),
            400,
            "bad_deadline",
        ),
        ("negative time", query_with("deadline_ms", json!(-1)).to_string(), 400, "bad_request"),
        ("oversized", query_with("caller", json!(huge)).to_string(), 413, "too_large"),
    ];

    for (name, body, status, cause) in cases {
        let response = call::send("POST", node, "/v1/query", None, Some(body.as_bytes()))
            .unwrap_or_else(|| panic!("{name}: no response"));
        assert_eq!(response.status, status, "{name}: {response:?}");
        assert_eq!(response.body["cause"], cause, "{name}: {response:?}");
        // Without its profile, the node can't tell whether an earlier ask with this id ran.
        let ran = if cause == "unknown_profile" { "unknown" } else { "not_run" };
        assert_eq!(response.body["ran"], ran, "{name}: {response:?}");
        assert!(!response.body["message"].as_str().unwrap_or_default().is_empty(), "{name}");
    }
    let report = site.control_leaf("bot-engine-0", &json!({"counters": true}));
    assert_eq!(report["leafs"][0]["counters"]["received"], 0, "a refused query reached a leaf");

    let good = call::post(node, "/v1/query", &support::ask("good-1", "patient-bot-engine"));
    assert_eq!(good.status, 200, "{good:?}");
}

#[test]
fn id_that_is_reused_for_another_query_is_refused() {
    let site = support::site(&["bot-engine"]);
    let node = site.nodes[0].callers;
    let first = support::ask("twice", "patient-bot-engine");
    let mut second = first.clone();
    second["query"]["text"] = "order 18".into();

    let served = call::post(node, "/v1/query", &first);
    let refused = call::post(node, "/v1/query", &second);
    let repeated = call::post(node, "/v1/query", &first);

    assert_eq!(served.status, 200, "{served:?}");
    assert_eq!(refused.status, 409, "{refused:?}");
    assert_eq!(refused.body["cause"], "id_reused");
    assert_eq!(repeated.status, 200, "{repeated:?}");
}

#[test]
fn operator_calls_without_the_token_are_rejected() {
    let site = support::site(&["bot-engine"]);
    let node = site.nodes[0].operators;

    let without_token = call::send("GET", node, "/v1/status", None, None).expect("a response");
    let wrong_token =
        call::send("GET", node, "/v1/status", Some("guess"), None).expect("a response");
    let at_callers = call::get(site.nodes[0].callers, "/v1/status");

    assert_eq!(without_token.status, 401);
    assert_eq!(wrong_token.status, 401);
    assert_eq!(at_callers.status, 404);
}
