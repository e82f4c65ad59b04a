//! Spread of changes between nodes over narrow links.

use std::net::{SocketAddr, TcpListener};
use std::thread;

use jacinthfall_dispatch::roster::SUSPECT_AFTER;
use jacinthfall_testkit::gateway::leaf::Leaf;
use jacinthfall_testkit::gateway::link::Links;
use jacinthfall_testkit::gateway::site::{Request, Site, metric, route, serving_leaf, wait_for};
use rand::SeedableRng;
use rand::distr::{Alphanumeric, SampleString};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::support::{serving, silent_store, status};

/// Number of routes that make a document of about one megabyte, the largest that the store takes.
const MANY_ROUTES: usize = 4_600;

/// Returns many routes with random names, and the route of the fixtures at `prefix`.
pub fn many_routes(prefix: &str) -> Vec<Value> {
    let mut rng = ChaCha8Rng::seed_from_u64(24);
    let mut word = |length| Alphanumeric.sample_string(&mut rng, length).to_lowercase();
    let mut routes: Vec<Value> = (0..MANY_ROUTES)
        .map(|_| {
            json!({
                "name": format!("r-{}", word(8)), "host": format!("{}.example", word(7)),
                "prefix": format!("/{}/", word(8)), "route-type": "safe", "timeout-ms": 10_000,
                "target-latency-ms": 4_000, "priority": 1, "service": "a", "attempts": 2,
            })
        })
        .collect();
    let mut moved = route("safe");
    moved["prefix"] = prefix.into();
    routes.push(moved);
    routes
}

/// Starts nodes of which only the first reaches the store. The others reach each other and the
/// first one by links of `bytes_per_second`.
pub fn linked(nodes: usize, bytes_per_second: u32, leaf: &Leaf) -> (Site, Links, TcpListener) {
    let mut site = serving(&[route("safe")], &[("i-1", "a", leaf)]);
    let links = Links::open().expect("a runtime");
    let first = links.add(site.nodes[0].peers, bytes_per_second).expect("a free port");
    let silent = silent_store();
    let store: SocketAddr = silent.local_addr().expect("an address");
    for node in 1..nodes {
        site.start_with_seeds(store, &[first]);
        links.add(site.nodes[node].peers, bytes_per_second).expect("a free port");
    }
    (1..nodes).for_each(|node| site.wait_ready(node));
    (site, links, silent)
}

#[test]
fn a_large_configuration_reaches_all_nodes_behind_narrow_links() {
    let leaf = serving_leaf("i-1", b"ok");
    let (mut site, _links, _silent) = linked(6, 500_000, &leaf);

    site.configure(&many_routes("/moved/"));

    wait_for("the change at all nodes", || {
        (0..6).all(|node| status(&site, node, "/moved/1") == 200)
    });
}

#[test]
fn changes_of_leafs_arrive_while_a_large_configuration_is_on_its_way() {
    let (old, new) = (serving_leaf("i-1", b"old"), serving_leaf("i-2", b"new"));
    let (mut site, _links, _silent) = linked(2, 20_000, &old);
    site.configure(&many_routes("/moved/"));
    wait_for("the configuration at the first node", || status(&site, 0, "/moved/1") == 200);

    site.register("i-2", "a", &new, 1, "ready");
    site.register("i-1", "a", &old, 2, "draining");

    let body = || site.ask(1, &Request::default()).body;
    wait_for("the change of leafs at the second node", || body() == b"new");
    assert_eq!(status(&site, 1, "/moved/1"), 404, "the configuration takes far longer");
}

#[test]
fn a_transfer_goes_on_after_its_only_source_was_silent() {
    let leaf = serving_leaf("i-1", b"ok");
    let (mut site, _links, _silent) = linked(2, 100_000, &leaf);
    site.configure(&many_routes("/moved/"));
    let behind = "jacinthfall_configuration_behind_seconds";
    wait_for("the transfer to begin", || metric(&site.nodes[1], behind) > Some(0.0));

    site.nodes[0].process.freeze();
    thread::sleep(2 * SUSPECT_AFTER);
    site.nodes[0].process.resume();

    wait_for("the change at the second node", || status(&site, 1, "/moved/1") == 200);
}
