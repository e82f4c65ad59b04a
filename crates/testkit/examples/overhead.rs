//! Measures the overhead of a node per query: leafs answer at once, so that all time
//! between arrival and answer is spent in the node, on loopback and in the
//! stand-ins.
//!
//! `cargo run --release -p jacinthfall-testkit --example overhead [QUERIES [SHARDS...]]`

use std::path::Path;
use std::time::{Duration, Instant};

use jacinthfall_core::profile::Profile;
use jacinthfall_standin::deployment::Deployment;
use jacinthfall_testkit::call;
use jacinthfall_testkit::site::{Plan, Site};
use serde_json::json;

/// Default numbers of shards to measure, each shard on a leaf of its own.
const SHARDS: [u32; 3] = [30, 300, 1_400];

/// Number of queries before the measurement, which open connections and warm caches.
const WARM_UP: usize = 50;

fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|number| number.parse().ok());
    let queries = numbers.next().unwrap_or(500);
    let mut shards: Vec<u32> = numbers.filter_map(|n| u32::try_from(n).ok()).collect();
    if shards.is_empty() {
        shards = SHARDS.to_vec();
    }
    println!("shards  p50 us  p99 us  p50 us/part  node CPU us/part  node RSS MB");
    for shards in shards {
        measure(shards, queries);
    }
}

fn measure(shards: u32, queries: usize) {
    let site = Site::open(plan(shards));
    let node = &site.nodes[0];
    let ask = |index: usize| {
        let ask = json!({
            "request": format!("q-{index}"),
            "profile": "measured",
            "query": {"scope": "all", "text": "x", "limit": 100_000},
        });
        let response = call::post(node.callers, "/v1/query", &ask);
        assert_eq!(response.body["coverage"]["answered"], shards, "{:?}", response.body);
        response.body["took_us"].as_u64().expect("the time it took")
    };
    for index in 0..WARM_UP {
        ask(index);
    }
    let before = node.process.cpu_time();
    let start = Instant::now();
    let mut times: Vec<u64> = (WARM_UP..WARM_UP + queries).map(ask).collect();
    let elapsed = start.elapsed();
    let cpu = node.process.cpu_time() - before;
    times.sort_unstable();
    let (p50, p99) = (times[queries / 2], times[queries * 99 / 100]);
    let parts = u64::from(shards) * queries as u64;
    println!(
        "{shards:>6}  {p50:>6}  {p99:>6}  {:>11.2}  {:>16.2}  {:>11.1}   ({queries} queries in {elapsed:.1?})",
        p50 as f64 / f64::from(shards),
        cpu.as_micros() as f64 / parts as f64,
        node.process.resident_bytes() as f64 / 1e6,
    );
}

fn plan(shards: u32) -> Plan {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings/klang-valley");
    let mut deployment = Deployment::open(&folder).expect("the example settings are valid");
    let mut fleet = deployment.leafs.fleets[0].clone();
    fleet.groups = shards;
    fleet.replicas = 1;
    fleet.keys = shards * 4;
    fleet.slots = 64;
    fleet.versions[0].shards = shards;
    fleet.service_time = serde_json::from_value(json!({"base_us": 0})).expect("a valid delay");
    deployment.leafs.fleets = vec![fleet];
    let profile = json!({
        "name": "measured",
        "service": "agent-console",
        "deadline_ms": 20_000,
        "idempotent": true,
    });
    let profile: Profile = serde_json::from_value(profile).expect("a valid profile");
    deployment.profiles = vec![profile];
    let program = std::env::current_exe().expect("a running program");
    let programs = program.parent().and_then(Path::parent).expect("examples lie beside programs");
    Plan {
        programs: programs.into(),
        deployment,
        services: vec!["agent-console".into()],
        leaf_processes: false,
        nodes: 1,
        hold: Duration::from_secs(1),
    }
}
