//! Case 13: the directory goes on naming machines that were removed for good.

mod rig;

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use rig::*;

/// Machines of each zone.
const ZONES: [(&str, usize); 2] = [("kochi-a", 12), ("kochi-b", 3)];

/// Machines that the settings name as seeds, one of them in the small zone.
const SEEDS: [usize; 3] = [0, 1, 13];

/// Machines of the large zone that are removed for good.
const REMOVED: std::ops::Range<usize> = 4..8;

/// `contact-ms` of the deployment, and what the rule adds to it.
const CONTACT: Duration = Duration::from_millis(5_000);
const ALLOWANCE: Duration = Duration::from_secs(3);

/// `config-apply-ms` and `drain-ms` of the deployment.
const BOUND_MS: u64 = 5_000;

/// Answers that the rule lets pass.
const ALLOWED: usize = 3;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| stop("name the case's folder"));
    let record = Record::open(&Path::new(&folder).join("record.txt"));
    std::process::exit(run(&record));
}

fn run(record: &Record) -> i32 {
    let folder = Folder::open("jacinthfall-review-3-13");
    let store = Store::start();
    let leaf = Leaf::start("i-0", "verify", "kochi-a", record.clone(), |_| Work {
        takes: Duration::from_millis(20),
        bytes: 1_000,
    });
    store.register(&leaf, 1, "ready");
    store.put("op/config", Some(&configuration(7, "safe", "verify")));
    let plans: Vec<Plan> = ZONES
        .iter()
        .flat_map(|(zone, count)| {
            (1..=*count).map(move |n| Plan::new(&format!("front-{zone}-{n}"), zone))
        })
        .collect();
    // Three seeds, one of them in the zone that is lost.
    let seeds: Vec<SocketAddr> = SEEDS.into_iter().map(|plan: usize| plans[plan].peers).collect();
    let mut nodes: Vec<Node> =
        plans.iter().map(|plan| plan.start(&folder, store.address, &seeds, BOUND_MS)).collect();
    nodes.iter().for_each(Node::wait_ready);
    thread::sleep(Duration::from_secs(3));
    // A planned restart of the seeds, one after the other.
    for n in SEEDS {
        record.line(&format!("planned restart of {}", nodes[n].name));
        nodes[n].process.signal(signal::TERM);
        while !nodes[n].process.has_ended() {
            thread::sleep(Duration::from_millis(20));
        }
        nodes[n] = plans[n].start(&folder, store.address, &seeds, BOUND_MS);
        nodes[n].wait_ready();
        thread::sleep(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(8));
    let mut lost: Vec<Node> = nodes.drain(REMOVED).collect();
    let gone: Vec<SocketAddr> = lost.iter().map(|node| node.callers).collect();
    if has_trouble() {
        for node in &mut lost {
            record.line(&format!("{} is removed for good ({})", node.name, node.callers));
            node.process.signal(signal::KILL);
        }
    }
    let killed = Instant::now();
    thread::sleep(CONTACT + ALLOWANCE);
    let mut wrong = 0;
    while killed.elapsed() < Duration::from_secs(28) {
        for node in &nodes {
            let named = node.resolve("kochi-b");
            let dead = named.iter().filter(|address| gone.contains(address)).count();
            let alive = named.len() - dead;
            if has_trouble() && dead > 0 && alive > 0 {
                wrong += 1;
                record.line(&format!(
                    "{} names {dead} removed machines beside {alive} running ones, {:.1} s after \
                     their end",
                    node.name,
                    killed.elapsed().as_secs_f64()
                ));
            }
        }
        thread::sleep(Duration::from_secs(2));
    }
    record.line(&format!("{wrong} answers name machines that ended over 8 s before"));
    drop(lost);
    if wrong > ALLOWED { EXIT_BROKEN } else { EXIT_HELD }
}
