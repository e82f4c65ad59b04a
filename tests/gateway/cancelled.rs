//! Requests that are cancelled at any moment: what they held in a node is free afterwards.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_net::client::Client;
use jacinthfall_testkit::gateway::leaf::{Behaviour, Leaf};
use jacinthfall_testkit::gateway::site::{
    Node, Request, Site, gather, held, metric, route, wait_for,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::relay::{encode, query};
use crate::support::open;

/// Time that leafs take to answer.
const RESPONSE_TIME: Duration = Duration::from_millis(15);

/// Time that callers wait, which is also the longest life of a request.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Time after the last request from which on it holds nothing: callers have left by then, and nodes
/// learn of it within this time.
const NOTICE: Duration = Duration::from_secs(2);

/// Rate of the requests that are cancelled, per second.
const RATE: f64 = 600.0;

/// Starts leafs of three shards and of a single service, and `nodes` nodes.
fn site(nodes: usize) -> (Site, Vec<Leaf>) {
    let mut site = open();
    let mut leafs = Vec::new();
    for (number, service) in ["a", "a", "s-0", "s-0", "s-1", "s-1", "s-2", "s-2"].iter().enumerate()
    {
        let id = format!("i-{number}");
        let leaf = Leaf::spawn(&id, Behaviour::Echo(RESPONSE_TIME));
        site.register(&id, service, &leaf, 1, "ready");
        leafs.push(leaf);
    }
    site.configure(&[route("safe"), gather(0.6)]);
    for node in 0..nodes {
        site.start();
        site.wait_ready(node);
    }
    (site, leafs)
}

/// Checks that no request holds anything at a node, and that it serves its callers.
fn assert_free(site: &Site, node: usize) {
    thread::sleep(NOTICE);
    assert_eq!(held(&site.nodes[node]), [], "node {node} holds this for requests that have ended");
    for target in ["/a/1", "/g/1"] {
        let response = site.ask(node, &Request { target, ..Request::default() });
        assert_eq!(response.status, 200, "node {node}, {target}");
    }
}

/// Asks a node to serve requests on behalf of another one, and cancels them before it has begun:
/// it gets each request and its cancellation in the same moment.
fn cancel_relayed(node: &Node, version: u64, count: usize) {
    let body = encode(&jacinthfall::gateway::peers::relay::Query {
        target: "/g/1".to_owned(),
        ..query(version)
    });
    let runtime = jacinthfall_net::runtime(1).expect("a runtime");
    runtime.block_on(async {
        let client = Client::open(node.peers).await.expect("the node listens");
        node.process.freeze();
        let posts = (0..count).map(|_| {
            let (client, body) = (client.clone(), body.clone());
            tokio::spawn(async move { client.post("/relay", &[], body.into()).await })
        });
        let posts: Vec<_> = posts.collect();
        tokio::time::sleep(Duration::from_millis(20)).await;
        posts.iter().for_each(tokio::task::JoinHandle::abort);
        tokio::time::sleep(Duration::from_millis(20)).await;
        node.process.resume();
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
}

/// Guards against sends that count as in flight for good: their leafs count as stalled then, and the
/// node ends by refusing all queries.
#[test]
fn requests_of_another_node_that_are_cancelled_as_they_begin_leave_no_send_in_flight() {
    let (site, _leafs) = site(1);

    for _ in 0..10 {
        cancel_relayed(&site.nodes[0], site.version(), 10);
    }

    assert_free(&site, 0);
}

/// Sends requests to the nodes at [`RATE`] for a time; each caller leaves within 50 ms.
fn leave_early(nodes: &[SocketAddr], duration: Duration, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let started = Instant::now();
    thread::scope(|scope| {
        for number in 0_u32.. {
            let at = Duration::from_secs_f64(f64::from(number) / RATE);
            if at >= duration {
                break;
            }
            thread::sleep((started + at).saturating_duration_since(Instant::now()));
            let node = nodes[number as usize % nodes.len()];
            let target = if rng.random() { "/g/1" } else { "/a/1" };
            let patience = Duration::from_micros(rng.random_range(0..50_000));
            scope.spawn(move || leave(node, target, &format!("r-{number}"), patience));
        }
    });
}

/// Sends a request and closes the connection after a time.
fn leave(node: SocketAddr, target: &str, id: &str, patience: Duration) {
    let deadline_ms = DEADLINE.as_millis() as u64;
    let request = Request { target, id, deadline_ms, ..Request::default() };
    // A node that has too many connections to accept is as good as one that a caller has left.
    let Ok(mut stream) = TcpStream::connect(node) else { return };
    let _ = stream.write_all(request.text().as_bytes());
    thread::sleep(patience);
}

fn assert_free_after_callers_left(duration: Duration, seed: u64) {
    let (site, _leafs) = site(2);
    let nodes: Vec<SocketAddr> = site.nodes.iter().map(|node| node.callers).collect();

    leave_early(&nodes, duration, seed);

    (0..nodes.len()).for_each(|node| assert_free(&site, node));
}

#[test]
fn callers_that_leave_early_leave_nothing_in_use() {
    for seed in [1, 2] {
        assert_free_after_callers_left(Duration::from_secs(4), seed);
    }
}

/// The same for longer; started by hand: `cargo test --test gateway -- --ignored callers`.
#[test]
#[ignore = "takes a minute"]
fn callers_that_leave_early_for_long_leave_nothing_in_use() {
    assert_free_after_callers_left(Duration::from_secs(40), 3);
}

/// Guards against a waiting request that keeps its turn after its caller has left: later ones wait
/// behind it although a leaf is free.
#[test]
fn a_caller_that_leaves_while_it_waits_for_a_leaf_gives_up_its_turn() {
    let leaf = Leaf::spawn("i-1", Behaviour::Silent);
    let mut site = open();
    site.overload = json!({"queue": "urgency"});
    site.register("i-1", "a", &leaf, 1, "ready");
    site.configure(&[route("safe")]);
    site.start();
    site.wait_ready(0);
    let node = &site.nodes[0];
    let queued = || metric(node, "jacinthfall_requests_queued");
    let callers: Vec<TcpStream> = (0..30)
        .map(|number| {
            let id = format!("r-{number}");
            let request = Request { id: &id, ..Request::default() };
            let mut stream = TcpStream::connect(node.callers).expect("the node listens");
            stream.write_all(request.text().as_bytes()).expect("the node reads");
            stream
        })
        .collect();
    wait_for("requests that wait for the leaf", || queued() > Some(0.0));

    drop(callers);

    wait_for("the node to notice", || metric(node, "jacinthfall_requests_in_hand") == Some(0.0));
    assert_eq!(held(node), [], "for requests that have ended");
}
