//! The whole request path: a caller's query that a node fans out over leaf processes.

use std::collections::BTreeSet;

use jacinthfall_testkit::call;
use serde_json::Value;

use crate::support;

/// Keys of an answer's rows, in the order of the answer.
fn keys(body: &Value) -> Vec<String> {
    let rows = body["rows"].as_array().expect("an answer has rows");
    rows.iter().map(|row| row["key"].as_str().expect("a row has a key").to_owned()).collect()
}

#[test]
fn query_over_30_leafs_is_merged_and_survives_the_loss_of_leafs() {
    let mut site = support::site(&["agent-console"]);

    let complete = call::post(
        site.nodes[0].callers,
        "/v1/query",
        &support::ask("q-1", "patient-agent-console"),
    );

    assert_eq!(complete.status, 200, "{complete:?}");
    assert_eq!(complete.body["coverage"]["total"], 30);
    assert_eq!(complete.body["coverage"]["answered"], 30, "{:?}", complete.body["coverage"]);
    let complete_keys = keys(&complete.body);
    assert_eq!(complete_keys.len(), 120);
    assert_eq!(complete_keys.iter().collect::<BTreeSet<_>>().len(), 120);

    // One replica of three is killed: the others serve its shards.
    site.leafs.get_mut("agent-console-0-0").expect("a leaf").kill();
    let ask = support::ask("q-2", "patient-agent-console");
    let rerouted = call::post(site.nodes[1].callers, "/v1/query", &ask);

    assert_eq!(rerouted.status, 200, "{rerouted:?}");
    assert_eq!(rerouted.body["coverage"]["answered"], 30, "{:?}", rerouted.body["coverage"]);
    assert_eq!(keys(&rerouted.body), complete_keys);

    // All replicas of a group are killed: its shards are listed as missing.
    site.leafs.get_mut("agent-console-0-1").expect("a leaf").kill();
    site.leafs.get_mut("agent-console-0-2").expect("a leaf").kill();
    let ask = support::ask("q-3", "patient-agent-console");
    let partial = call::post(site.nodes[2].callers, "/v1/query", &ask);

    assert_eq!(partial.status, 200, "{partial:?}");
    let coverage = &partial.body["coverage"];
    let missed = coverage["missed"].as_array().expect("missed shards are listed");
    let shards: Vec<u64> = missed.iter().filter_map(|missed| missed["shard"].as_u64()).collect();
    assert_eq!(coverage["answered"], 27, "{coverage}");
    assert_eq!(shards, [0, 10, 20]);
    assert!(missed.iter().all(|missed| missed["cause"] == "unreachable"), "{coverage}");
    assert!(keys(&partial.body).len() < 120);
}
