//! Nodes that lose their links to leafs while callers, the store and the other nodes reach them.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_testkit::gateway::leaf::Leaf;
use jacinthfall_testkit::gateway::proxy::{Fault, Proxy};
use jacinthfall_testkit::gateway::site::{
    Request, Site, gather, metric, route, serving_leaf, wait_for,
};
use serde_json::Value;

use crate::support::program;

/// Time after the start of a cut until callers of the node must be served again.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Time for which callers are observed from then on.
const OBSERVATION: Duration = Duration::from_secs(3);

/// Pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// A site of nodes of which the first one reaches the leafs through proxies.
struct Cut {
    site: Site,
    leafs: Vec<Leaf>,
    proxies: Vec<Proxy>,
}

impl Cut {
    /// Starts leafs of these services, a node that reaches them through proxies, and `others` nodes
    /// that reach them directly.
    fn open(routes: &[Value], services: &[&str], others: usize) -> Cut {
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
        let view: Vec<(SocketAddr, SocketAddr)> =
            leafs.iter().zip(&proxies).map(|(leaf, proxy)| (leaf.address, proxy.address)).collect();
        site.start_with_view(&view);
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
        Cut { site, leafs, proxies }
    }

    fn set_fault(&self, fault: Fault) {
        self.proxies.iter().for_each(|proxy| proxy.set_fault(fault));
    }

    /// Returns the number of requests that the leafs have run.
    fn runs(&self) -> usize {
        self.leafs.iter().map(|leaf| leaf.runs().len()).sum()
    }

    /// Sends requests to each node for a time, and returns the share that each of them served.
    fn shares_served(&self, target: &str, duration: Duration) -> Vec<f64> {
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

fn queries() -> Vec<Value> {
    vec![route("safe"), gather(0.6)]
}

const SERVICES: [&str; 8] = ["a", "a", "s-0", "s-0", "s-1", "s-1", "s-2", "s-2"];

#[test]
fn callers_of_a_node_whose_links_to_leafs_fall_silent_are_served() {
    let cut = Cut::open(&queries(), &SERVICES, 2);
    assert!(cut.shares_served("/g/1", Duration::from_secs(1)).iter().all(|share| *share > 0.9));

    cut.set_fault(Fault::Blackhole);

    cut.shares_served("/g/1", CONTACT_TIME);
    cut.assert_served_alike("/g/1", "queries over shards");
    cut.assert_served_alike("/a/1", "requests to one leaf");
}

#[test]
fn callers_of_a_node_whose_links_to_leafs_are_reset_are_served() {
    let cut = Cut::open(&queries(), &SERVICES, 2);
    assert!(cut.shares_served("/g/1", Duration::from_secs(1)).iter().all(|share| *share > 0.9));

    cut.set_fault(Fault::Reset);

    cut.shares_served("/g/1", CONTACT_TIME);
    cut.assert_served_alike("/g/1", "queries over shards");
    cut.assert_served_alike("/a/1", "requests to one leaf");
}
