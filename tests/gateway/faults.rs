//! Connections that break, processes that are slow, signalled or killed while they serve.

use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_testkit::gateway::leaf::{Conduct, Leaf};
use jacinthfall_testkit::gateway::proxy::{Fault, Proxy};
use jacinthfall_testkit::gateway::site::{Request, Site, route, serves, wait_for};
use serde_json::Value;

use crate::support::{open, serving};

/// Time in which an accepted configuration has to be in force at every node.
const APPLY: Duration = Duration::from_secs(3);

/// Time in which a proxy resets the connections that it has.
const RESET: Duration = Duration::from_millis(15);

/// Objective of routes in these tests.
const OBJECTIVE: Duration = Duration::from_secs(1);

fn quick(kind: &str) -> Value {
    let mut route = route(kind);
    route["target-latency-ms"] = (OBJECTIVE.as_secs() * 1_000).into();
    route
}

/// A site with one node and two leafs, each behind a proxy.
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

/// Resets all connections, and lets new ones pass again.
fn reset(proxies: &[Proxy]) {
    proxies.iter().for_each(|proxy| proxy.strike(Fault::Reset));
    thread::sleep(RESET);
    proxies.iter().for_each(|proxy| proxy.strike(Fault::None));
}

fn runs_of(leafs: [&Leaf; 2], id: &str) -> usize {
    let runs = leafs.into_iter().flat_map(Leaf::runs);
    runs.filter(|run| run.header("x-request-id").as_deref() == Some(id)).count()
}

fn last_run(leaf: &Leaf) -> Option<Instant> {
    leaf.runs().last().and_then(|run| run.at)
}

#[test]
fn resets_of_idle_connections_cost_no_idempotent_request() {
    let (one, two) = (serves("i-0", b"ok"), serves("i-1", b"ok"));
    let (site, proxies) = behind_proxies(&quick("safe"), [&one, &two]);
    for round in 0..10 {
        assert_eq!(ask(&site, 0, &format!("r-{round}-before")), 200);

        reset(&proxies);

        assert_eq!(ask(&site, 0, &format!("r-{round}-after")), 200, "round {round}");
    }
}

#[test]
fn a_reset_under_way_runs_nothing_twice_that_must_not() {
    let slow = Conduct::Echo(Duration::from_millis(200));
    let (one, two) = (Leaf::spawn("i-0", slow.clone()), Leaf::spawn("i-1", slow));
    let (site, proxies) = behind_proxies(&quick("unsafe"), [&one, &two]);
    for round in 0..10 {
        let id = format!("r-{round}");
        let status = thread::scope(|scope| {
            let asked = scope.spawn(|| ask(&site, 0, &id));
            wait_for("the run", || runs_of([&one, &two], &id) == 1);
            let running = usize::from(last_run(&two) > last_run(&one));
            reset(&proxies[running..=running]);
            asked.join().expect("an answer")
        });

        let runs = runs_of([&one, &two], &id);
        assert!(runs <= 1, "round {round}: {runs} runs");
        assert!(status != 503 || runs == 0, "round {round}: it ran, and {status} says it did not");
    }
}

#[test]
fn a_leaf_over_a_lossy_link_delays_no_request_past_its_objective() {
    let (one, two) = (serves("i-0", b"ok"), serves("i-1", b"ok"));
    let (site, proxies) = behind_proxies(&quick("safe"), [&one, &two]);
    for number in 0..10 {
        assert_eq!(ask(&site, 0, &format!("r-{number}-before")), 200);
        // The leaf that served is the likely choice for the next request.
        let last = usize::from(last_run(&two) > last_run(&one));
        // Lost packets are sent again after a multiple of the usual time.
        proxies[last].strike(Fault::Delay(OBJECTIVE));
        let asked = Instant::now();

        assert_eq!(ask(&site, 0, &format!("r-{number}")), 200);

        assert!(asked.elapsed() < OBJECTIVE, "request {number}: {:?}", asked.elapsed());
        proxies[last].strike(Fault::None);
    }
}

#[test]
fn a_slow_node_answers_and_stays_in_use() {
    let leaf = serves("i-0", b"ok");
    let site = serving(&[quick("safe")], &[("i-0", "a", &leaf)]);
    let process = &site.nodes[0].process;

    thread::scope(|scope| {
        let asked = scope.spawn(|| {
            let statuses = (0..20).map(|number| ask(&site, 0, &format!("r-{number}")));
            statuses.collect::<Vec<u16>>()
        });
        // It runs for a fifth of the time.
        while !asked.is_finished() {
            process.freeze();
            thread::sleep(Duration::from_millis(40));
            process.resume();
            thread::sleep(Duration::from_millis(10));
        }
        assert_eq!(asked.join().expect("answers"), vec![200; 20]);
    });
}

#[test]
fn a_hangup_is_logged_and_cuts_off_nothing() {
    let leaf = Leaf::spawn("i-0", Conduct::Echo(Duration::from_millis(50)));
    let mut site = serving(&[route("unsafe")], &[("i-0", "a", &leaf)]);
    for number in 0..5 {
        let id = format!("r-{number}");
        let status = thread::scope(|scope| {
            let asked = scope.spawn(|| ask(&site, 0, &id));
            thread::sleep(Duration::from_millis(10));
            site.nodes[0].process.hang_up();
            asked.join().expect("an answer")
        });
        assert_eq!(status, 200, "request {number}");
    }

    site.nodes[0].process.terminate();
    assert!(site.nodes[0].process.wait().success());

    let lines = site.nodes[0].process.rest();
    assert!(lines.iter().any(|line| line.contains("event=reload")), "{lines:?}");
}

#[test]
fn a_version_that_a_killed_node_had_in_force_is_soon_in_force_at_the_others() {
    let leaf = serves("i-0", b"ok");
    let mut site = serving(&[route("safe")], &[("i-0", "a", &leaf)]);
    site.start();
    site.wait_ready(1);
    let mut moved = route("safe");
    moved["prefix"] = "/moved/".into();
    let on_moved = |site: &Site, node| {
        let request = Request { target: "/moved/1", ..Request::default() };
        site.ask(node, &request).status
    };

    site.configure(&[moved]);
    wait_for("the version at the first node", || on_moved(&site, 0) == 200);
    site.nodes[0].process.kill();
    let killed = Instant::now();

    wait_for("the version at the other node", || on_moved(&site, 1) == 200);
    assert!(killed.elapsed() < APPLY, "{:?}", killed.elapsed());
    for _ in 0..50 {
        assert_eq!(on_moved(&site, 1), 200, "a version in force never reverts");
    }
}
