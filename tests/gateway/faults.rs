//! Connections that break, and processes that are slowed down, signalled or killed while they
//! serve requests.

use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_testkit::gateway::leaf::{Behaviour, Leaf};
use jacinthfall_testkit::gateway::proxy::{Fault, Proxy};
use jacinthfall_testkit::gateway::site::{Request, Site, route, serving_leaf, wait_for};
use serde_json::Value;

use crate::support::{open, serving};

/// Longest time until an accepted configuration must be in force at every node.
const MAX_APPLY_TIME: Duration = Duration::from_secs(3);

/// Time that a proxy needs to reset its open connections.
const RESET_TIME: Duration = Duration::from_millis(15);

/// Latency objective (`target-latency-ms`) of routes in these tests.
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// A route with [`LATENCY_OBJECTIVE`].
fn route_with_objective(kind: &str) -> Value {
    let mut route = route(kind);
    route["target-latency-ms"] = (LATENCY_OBJECTIVE.as_secs() * 1_000).into();
    route
}

/// Starts a site with one node and two leafs, each behind its own proxy.
fn behind_proxies(route: &Value, leafs: [&Leaf; 2]) -> (Site, [Proxy; 2]) {
    let proxies = leafs.map(|leaf| Proxy::spawn(leaf.address).expect("a free port"));
    let mut site = open();
    for (number, proxy) in proxies.iter().enumerate() {
        let mut through = leafs[number].clone();
        through.address = proxy.address;
        site.register(&format!("i-{number}"), "a", &through, 1, "ready");
    }
    site.configure(std::slice::from_ref(route));
    site.start();
    site.wait_ready(0);
    (site, proxies)
}

fn ask(site: &Site, node: usize, id: &str) -> u16 {
    site.ask(node, &Request { id, ..Request::default() }).status
}

/// A route that a later version of the configuration adds.
fn moved_route() -> Value {
    let mut moved = route("safe");
    moved["prefix"] = "/moved/".into();
    moved
}

/// Asks a node on [`moved_route`].
fn status_of_moved(site: &Site, node: usize) -> u16 {
    site.ask(node, &Request { target: "/moved/1", ..Request::default() }).status
}

/// Resets all connections, then lets new ones through.
fn reset(proxies: &[Proxy]) {
    proxies.iter().for_each(|proxy| proxy.set_fault(Fault::Reset));
    thread::sleep(RESET_TIME);
    proxies.iter().for_each(|proxy| proxy.set_fault(Fault::None));
}

fn runs_of(leafs: [&Leaf; 2], id: &str) -> usize {
    let runs = leafs.into_iter().flat_map(Leaf::runs);
    runs.filter(|run| run.header("x-request-id").as_deref() == Some(id)).count()
}

fn last_run(leaf: &Leaf) -> Option<Instant> {
    leaf.runs().last().and_then(|run| run.at)
}

#[test]
fn idempotent_requests_survive_resets_of_idle_connections() {
    let (one, two) = (serving_leaf("i-0", b"ok"), serving_leaf("i-1", b"ok"));
    let (site, proxies) = behind_proxies(&route_with_objective("safe"), [&one, &two]);
    for round in 0..10 {
        assert_eq!(ask(&site, 0, &format!("r-{round}-before")), 200);

        reset(&proxies);

        assert_eq!(ask(&site, 0, &format!("r-{round}-after")), 200, "round {round}");
    }
}

#[test]
fn a_reset_in_flight_never_reruns_a_non_idempotent_request() {
    let slow_echo = Behaviour::Echo(Duration::from_millis(200));
    let (one, two) = (Leaf::spawn("i-0", slow_echo.clone()), Leaf::spawn("i-1", slow_echo));
    let (site, proxies) = behind_proxies(&route_with_objective("unsafe"), [&one, &two]);
    for round in 0..10 {
        let id = format!("r-{round}");
        let status = thread::scope(|scope| {
            let sent = scope.spawn(|| ask(&site, 0, &id));
            wait_for("the run", || runs_of([&one, &two], &id) == 1);
            let running = usize::from(last_run(&two) > last_run(&one));
            reset(&proxies[running..=running]);
            sent.join().expect("an answer")
        });

        let runs = runs_of([&one, &two], &id);
        assert!(runs <= 1, "round {round}: {runs} runs");
        assert!(
            status != 503 || runs == 0,
            "round {round}: the request ran, but status {status} claims that it did not"
        );
    }
}

#[test]
fn a_leaf_behind_a_lossy_link_does_not_push_latency_past_the_objective() {
    let (one, two) = (serving_leaf("i-0", b"ok"), serving_leaf("i-1", b"ok"));
    let (site, proxies) = behind_proxies(&route_with_objective("safe"), [&one, &two]);
    for number in 0..10 {
        assert_eq!(ask(&site, 0, &format!("r-{number}-before")), 200);
        // The leaf that served the last request is the likely choice for the next one.
        let last = usize::from(last_run(&two) > last_run(&one));
        // TCP retransmits lost packets after a multiple of the usual round trip time.
        proxies[last].set_fault(Fault::Delay(LATENCY_OBJECTIVE));
        let sent = Instant::now();

        assert_eq!(ask(&site, 0, &format!("r-{number}")), 200);

        assert!(sent.elapsed() < LATENCY_OBJECTIVE, "request {number}: {:?}", sent.elapsed());
        proxies[last].set_fault(Fault::None);
    }
}

#[test]
fn a_node_with_little_processor_time_answers_every_request() {
    let leaf = serving_leaf("i-0", b"ok");
    let site = serving(&[route_with_objective("safe")], &[("i-0", "a", &leaf)]);
    let process = &site.nodes[0].process;

    thread::scope(|scope| {
        let sent = scope.spawn(|| {
            let statuses = (0..20).map(|number| ask(&site, 0, &format!("r-{number}")));
            statuses.collect::<Vec<u16>>()
        });
        // The process runs for a fifth of the time.
        while !sent.is_finished() {
            process.freeze();
            thread::sleep(Duration::from_millis(40));
            process.resume();
            thread::sleep(Duration::from_millis(10));
        }
        assert_eq!(sent.join().expect("answers"), vec![200; 20]);
    });
}

#[test]
fn sighup_is_logged_and_interrupts_no_request() {
    let leaf = Leaf::spawn("i-0", Behaviour::Echo(Duration::from_millis(50)));
    let mut site = serving(&[route("unsafe")], &[("i-0", "a", &leaf)]);
    for number in 0..5 {
        let id = format!("r-{number}");
        let status = thread::scope(|scope| {
            let sent = scope.spawn(|| ask(&site, 0, &id));
            thread::sleep(Duration::from_millis(10));
            site.nodes[0].process.hang_up();
            sent.join().expect("an answer")
        });
        assert_eq!(status, 200, "request {number}");
    }

    site.nodes[0].process.terminate();
    assert!(site.nodes[0].process.wait().success());

    let lines = site.nodes[0].process.remaining_lines();
    assert!(lines.iter().any(|line| line.contains("event=reload")), "{lines:?}");
}

#[test]
fn a_version_in_force_at_a_killed_node_soon_takes_effect_at_the_others() {
    let leaf = serving_leaf("i-0", b"ok");
    let mut site = serving(&[route("safe")], &[("i-0", "a", &leaf)]);
    site.start();
    site.wait_ready(1);

    site.configure(&[moved_route()]);
    wait_for("the version at the first node", || status_of_moved(&site, 0) == 200);
    site.nodes[0].process.kill();
    let killed = Instant::now();

    wait_for("the version at the other node", || status_of_moved(&site, 1) == 200);
    assert!(killed.elapsed() < MAX_APPLY_TIME, "{:?}", killed.elapsed());
    for _ in 0..50 {
        assert_eq!(status_of_moved(&site, 1), 200, "a version in force must never be reverted");
    }
}

/// Starts a site of `nodes` nodes of which each reaches the store through a proxy of its own.
fn behind_proxies_to_store(leaf: &Leaf, nodes: usize) -> (Site, Vec<Proxy>) {
    let mut site = open();
    site.register("i-0", "a", leaf, 1, "ready");
    site.configure(&[route("safe")]);
    let mut proxies = Vec::new();
    for node in 0..nodes {
        let proxy = Proxy::spawn(site.store).expect("a free port");
        site.start_with(proxy.address);
        site.wait_ready(node);
        proxies.push(proxy);
    }
    (site, proxies)
}

/// Lets the store fall silent for the first node, which watches it for the others, just after a watch
/// has begun, so that its answer is due late.
fn silence_watching_node(site: &Site, proxies: &[Proxy]) {
    // A change lets the watch begin anew.
    site.put("servers/none", Some("{}".to_owned()));
    thread::sleep(Duration::from_millis(700));
    proxies[0].set_fault(Fault::Blackhole);
}

/// Regression test: the node that watches the store for its zone got no answer any more, and the
/// others, which the store answers, kept to an old version for up to 4 s.
#[test]
fn a_store_that_falls_silent_for_the_watching_node_delays_no_version_at_the_others() {
    let leaf = serving_leaf("i-0", b"ok");
    let (mut site, proxies) = behind_proxies_to_store(&leaf, 3);
    silence_watching_node(&site, &proxies);

    site.configure(&[moved_route()]);
    let acknowledged = Instant::now();

    for node in [1, 2] {
        wait_for("the version", || status_of_moved(&site, node) == 200);
        let took = acknowledged.elapsed();
        assert!(took < MAX_APPLY_TIME, "node {node}: {took:?}");
    }
}

/// The same failure, of a leaf that drains.
#[test]
fn a_store_that_falls_silent_for_the_watching_node_delays_no_drain_at_the_others() {
    let (old, new) = (serving_leaf("i-0", b"old"), serving_leaf("i-1", b"new"));
    let (site, proxies) = behind_proxies_to_store(&old, 3);
    site.register("i-1", "a", &new, 1, "ready");
    wait_for("connections to the new leaf", || new.connections() >= 3);
    silence_watching_node(&site, &proxies);

    site.register("i-0", "a", &old, 2, "draining");
    let acknowledged = Instant::now();

    let mut number = 0;
    while acknowledged.elapsed() < MAX_APPLY_TIME + Duration::from_secs(1) {
        for node in [1, 2] {
            number += 1;
            ask(&site, node, &format!("r-{number}"));
        }
    }
    let late = last_run(&old).map(|at| at.saturating_duration_since(acknowledged));
    assert!(late < Some(MAX_APPLY_TIME), "a draining leaf ran a request {late:?} later");
}
