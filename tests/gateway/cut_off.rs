//! Nodes that lose their links to leafs while callers, the store and the other nodes reach them.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_testkit::gateway::leaf::{Behaviour, Leaf};
use jacinthfall_testkit::gateway::proxy::{Fault, Proxy};
use jacinthfall_testkit::gateway::site::{
    Request, Response, Site, exchange, gather, metric, route, serving_leaf, wait_for,
};
use serde_json::Value;

use crate::explain::{command, stdout, stop_and_read_log_of};
use crate::support::program;

/// Time after the start of a cut until callers of the node must be served again.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Time for which callers are observed from then on.
const OBSERVATION: Duration = Duration::from_secs(3);

/// Pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// A site of nodes of which the first one reaches the leafs through proxies.
pub struct Cut {
    pub site: Site,
    pub leafs: Vec<Leaf>,
    /// The service of each leaf.
    services: Vec<String>,
    proxies: Vec<Proxy>,
}

impl Cut {
    /// Starts leafs of these services, a node that reaches them through proxies, and `others` nodes
    /// that reach them directly.
    pub fn open(routes: &[Value], services: &[&str], others: usize) -> Cut {
        Cut::open_with(routes, services, others, Fault::None)
    }

    /// Does the same, but the first node is cut off from the start.
    pub fn open_cut_off(routes: &[Value], services: &[&str], others: usize) -> Cut {
        Cut::open_with(routes, services, others, Fault::Blackhole)
    }

    fn open_with(routes: &[Value], services: &[&str], others: usize, fault: Fault) -> Cut {
        let mut site = Site::open(program());
        let mut leafs = Vec::new();
        for (number, service) in services.iter().enumerate() {
            let id = format!("i-{number}");
            let leaf = serving_leaf(&id, b"ok");
            site.register(&id, service, &leaf, 1, "ready");
            leafs.push(leaf);
        }
        site.configure(routes);
        let proxies: Vec<Proxy> =
            leafs.iter().map(|leaf| Proxy::spawn(leaf.address).expect("a free port")).collect();
        proxies.iter().for_each(|proxy| proxy.set_fault(fault));
        let view: Vec<(SocketAddr, SocketAddr)> =
            leafs.iter().zip(&proxies).map(|(leaf, proxy)| (leaf.address, proxy.address)).collect();
        let store = site.open_view(&view);
        site.start_with_seeds(store, &[]);
        site.wait_ready(0);
        for node in 1..=others {
            site.start_with_seeds(site.store, &[]);
            site.wait_ready(node);
        }
        for node in &site.nodes {
            wait_for("all nodes to know each other", || {
                metric(node, "jacinthfall_nodes_known") == Some((others + 1) as f64)
            });
        }
        let services = services.iter().map(|service| (*service).to_owned()).collect();
        Cut { site, leafs, services, proxies }
    }

    /// Sets the fault of the links between the first node and the leafs.
    pub fn set_fault(&self, fault: Fault) {
        self.proxies.iter().for_each(|proxy| proxy.set_fault(fault));
    }

    /// Returns how often the leafs have run the request with an id.
    fn runs(&self, id: &str) -> usize {
        let runs = self.leafs.iter().flat_map(|leaf| leaf.runs());
        runs.filter(|run| run.header("x-request-id").as_deref() == Some(id)).count()
    }

    /// Cuts the first node off from the leafs of a service and waits until it knows.
    pub fn cut_off_service(&self, service: &str) {
        let proxies = self.proxies.iter().zip(&self.services);
        let lost = proxies.filter(|(_, other)| *other == service);
        lost.for_each(|(proxy, _)| proxy.set_fault(Fault::Blackhole));
        wait_for("the first node to know what it has lost", || {
            self.shares_served("/g/1", Duration::from_millis(100));
            metric(&self.site.nodes[0], "jacinthfall_services_lost") == Some(1.0)
        });
    }

    /// Cuts the first node off and waits until it knows.
    pub fn cut_off(&self) {
        self.set_fault(Fault::Blackhole);
        wait_for("the first node to know that it is cut off", || {
            self.shares_served("/g/1", Duration::from_millis(100));
            metric(&self.site.nodes[0], "jacinthfall_cut_off") == Some(1.0)
        });
    }

    /// Sends requests to each node for a time, and returns the share that each of them served.
    pub fn shares_served(&self, target: &str, duration: Duration) -> Vec<f64> {
        let serve = |node: usize| {
            let (end, mut served, mut sent) = (Instant::now() + duration, 0, 0);
            while Instant::now() < end {
                let id = format!("r-{node}-{sent}-{}", target.len());
                let request = Request { id: &id, target, deadline_ms: 1_000, ..Request::default() };
                served += usize::from(self.site.ask(node, &request).status == 200);
                sent += 1;
                thread::sleep(REQUEST_PAUSE);
            }
            served as f64 / sent as f64
        };
        thread::scope(|scope| {
            let nodes = 0..self.site.nodes.len();
            let callers: Vec<_> = nodes.map(|node| scope.spawn(move || serve(node))).collect();
            callers.into_iter().map(|caller| caller.join().expect("a share")).collect()
        })
    }

    /// Checks that callers of the first node are served at least two thirds as often as those of
    /// the others.
    fn assert_served_alike(&self, target: &str, what: &str) {
        let shares = self.shares_served(target, OBSERVATION);
        let others = shares[1..].iter().sum::<f64>() / (shares.len() - 1) as f64;
        assert!(others > 0.9, "{what}: the other nodes reach the leafs, but serve {shares:?}");
        assert!(shares[0] >= others * 2.0 / 3.0, "{what}: the nodes serve {shares:?}");
    }
}

pub fn queries() -> Vec<Value> {
    vec![route("safe"), gather(0.6)]
}

pub const SERVICES: [&str; 8] = ["a", "a", "s-0", "s-0", "s-1", "s-1", "s-2", "s-2"];

/// Checks that callers of a node are served while its links to leafs have a fault.
fn assert_served_in_spite_of(fault: Fault) {
    let cut = Cut::open(&queries(), &SERVICES, 2);
    assert!(cut.shares_served("/g/1", Duration::from_secs(1)).iter().all(|share| *share > 0.9));

    cut.set_fault(fault);

    cut.shares_served("/g/1", CONTACT_TIME);
    cut.assert_served_alike("/g/1", "queries over shards");
    cut.assert_served_alike("/a/1", "requests to one leaf");
}

#[test]
fn callers_of_a_node_whose_links_to_leafs_fall_silent_are_served() {
    assert_served_in_spite_of(Fault::Blackhole);
}

#[test]
fn callers_of_a_node_whose_links_to_leafs_are_reset_are_served() {
    assert_served_in_spite_of(Fault::Reset);
}

#[test]
fn callers_of_a_node_that_gets_no_new_connections_to_leafs_are_served() {
    assert_served_in_spite_of(Fault::Refuse);
}

#[test]
fn callers_of_a_node_that_gets_no_responses_of_leafs_are_served() {
    assert_served_in_spite_of(Fault::OneWay);
}

#[test]
fn a_request_through_another_node_keeps_its_id_deadline_headers_and_body() {
    let cut = Cut::open(&queries(), &SERVICES, 1);
    cut.cut_off();

    let request = Request {
        method: "POST",
        target: "/a/2?x=1",
        id: "r-once",
        deadline_ms: 2_000,
        headers: "X-Own: kept\r\nAuthorization: token\r\n",
        body: "the body",
    };
    let response = cut.site.ask(0, &request);

    assert_eq!((response.status, &response.body[..]), (200, &b"ok"[..]));
    assert!(response.header("x-response-stamp").is_some_and(|stamp| stamp.ends_with(".r-once")));
    let runs: Vec<_> = cut.leafs.iter().flat_map(|leaf| leaf.runs()).collect();
    let run = runs.iter().find(|run| run.header("x-request-id").as_deref() == Some("r-once"));
    let run = run.expect("the leaf's run");
    assert_eq!((run.target(), &run.body[..]), ("/a/2?x=1", &b"the body"[..]));
    assert_eq!(run.header("x-own").as_deref(), Some("kept"));
    assert_eq!(run.header("authorization").as_deref(), Some("token"));
    let deadline: u64 = run.header("x-deadline-ms").expect("a deadline").parse().expect("a number");
    assert!((1_000..2_000).contains(&deadline), "{deadline}");
}

#[test]
fn a_request_through_another_node_is_explained_by_the_logs_of_both() {
    let mut cut = Cut::open(&queries(), &SERVICES, 1);
    cut.cut_off();
    // The limit on lines about complete answers applies for a second.
    thread::sleep(Duration::from_millis(1_100));
    let request = Request { id: "r-both", ..Request::default() };
    assert_eq!(cut.site.ask(0, &request).status, 200);

    let logs = [0, 1].map(|node| stop_and_read_log_of(&mut cut.site, node));
    let [first, second] = logs.map(|log| stdout(&command(&["explain", "r-both"], &log)));

    assert!(first.contains("node node-1 was asked to serve it and answered 200"), "{first}");
    assert!(first.contains("Cause: this node had lost its links"), "{first}");
    assert!(first.contains("1 other node reached leafs of all"), "{first}");
    assert!(second.contains("The caller had sent it to node node-0"), "{second}");
    assert!(second.contains("answered by a leaf"), "{second}");
}

#[test]
fn a_request_that_must_not_repeat_runs_once_when_the_other_node_dies_under_it() {
    let mut cut = Cut::open(&[gather(0.6), route("unsafe")], &SERVICES, 1);
    cut.cut_off();
    for leaf in &cut.leafs {
        leaf.set_behaviour(Behaviour::Silent);
    }
    let callers = cut.site.nodes[0].callers;
    let request = Request { id: "r-once", deadline_ms: 3_000, ..Request::default() };
    let pending = thread::spawn(move || exchange(callers, request.text().as_bytes()));
    wait_for("a leaf to run the request", || cut.runs("r-once") == 1);

    cut.site.nodes[1].process.kill();

    let answer = Response::parse(&pending.join().expect("a caller"));
    assert_eq!(answer.status, 502, "it has run, so it must not be called refused");
    assert_eq!(cut.runs("r-once"), 1);
}

#[test]
fn a_caller_that_leaves_cancels_its_request_at_the_other_node() {
    let cut = Cut::open(&queries(), &SERVICES, 1);
    cut.cut_off();
    for leaf in &cut.leafs {
        leaf.set_behaviour(Behaviour::Silent);
    }
    let closed = |cut: &Cut| cut.leafs.iter().map(Leaf::closed_connections).sum::<usize>();
    let before = closed(&cut);
    let request = Request { id: "r-left", ..Request::default() };
    let mut stream = TcpStream::connect(cut.site.nodes[0].callers).expect("the node listens");
    stream.write_all(request.text().as_bytes()).expect("the node reads");
    wait_for("a leaf to run the request", || cut.runs("r-left") == 1);

    drop(stream);

    wait_for("the leaf's connection to be closed", || closed(&cut) > before);
}

#[test]
fn nodes_that_are_all_cut_off_refuse_at_once_and_pass_nothing_on() {
    let cut = Cut::open(&queries(), &SERVICES, 1);
    cut.cut_off();
    for leaf in &cut.leafs {
        leaf.crash(Duration::from_secs(60));
    }
    wait_for("the other node to know it too", || {
        cut.shares_served("/g/1", Duration::from_millis(100));
        metric(&cut.site.nodes[1], "jacinthfall_cut_off") == Some(1.0)
    });

    let started = Instant::now();
    let response = cut.site.ask(0, &Request { id: "r-none", ..Request::default() });

    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}

#[test]
fn a_node_serves_its_callers_by_itself_once_it_reaches_leafs_again() {
    let cut = Cut::open(&queries(), &SERVICES, 1);
    cut.cut_off();

    cut.set_fault(Fault::None);

    let started = Instant::now();
    wait_for("the end of the cut to be noticed", || {
        metric(&cut.site.nodes[0], "jacinthfall_cut_off") == Some(0.0)
    });
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    let before = metric(&cut.site.nodes[1], "jacinthfall_served_for_others_total");
    assert_eq!(cut.shares_served("/a/1", Duration::from_secs(1)), [1.0, 1.0]);
    let after = metric(&cut.site.nodes[1], "jacinthfall_served_for_others_total");
    assert_eq!(before, after, "its requests no longer go through the other node");
}
