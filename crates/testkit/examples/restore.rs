//! Counts the calls of gateway nodes to the store in the ten seconds around its return from an
//! older copy.
//!
//! Arguments: path of `jacinthfalld`, number of nodes.

use std::path::PathBuf;
use std::time::Duration;
use std::{env, thread};

use jacinthfall_standin::platform::control::{Change, Counters};
use jacinthfall_testkit::gateway::site::{Site, route, serving_leaf};

/// Time over which calls are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Time until the nodes have nothing to do but what recurs.
const SETTLE: Duration = Duration::from_secs(15);

fn main() {
    let mut arguments = env::args().skip(1);
    let program = PathBuf::from(arguments.next().expect("the path of jacinthfalld"));
    let nodes: usize = arguments.next().expect("a number of nodes").parse().expect("a number");
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = Site::serving(&program, &[route("safe")], &[("i-1", "a", &leaf)]);
    (1..nodes).for_each(|_| site.start());
    (1..nodes).for_each(|node| site.wait_ready(node));
    thread::sleep(SETTLE);

    let start = site.change(&Change { copy: true, ..Change::default() });
    site.put("other", Some("-".into()));
    thread::sleep(WINDOW);
    let before = site.change(&Change { restore: true, ..Change::default() });
    thread::sleep(WINDOW);
    let after = site.change(&Change::default());

    println!("{nodes} nodes, calls per node in {WINDOW:?}: reads (renewals too), writes");
    report("before the restore", &start, &before, nodes);
    report("after the restore", &before, &after, nodes);
}

fn report(name: &str, from: &Counters, to: &Counters, nodes: usize) {
    let per_node = |count: u64| count as f64 / nodes as f64;
    println!(
        "{name}: {:.2} {:.2}, refused {}",
        per_node(to.reads - from.reads),
        per_node(to.writes - from.writes),
        to.refused - from.refused
    );
}
