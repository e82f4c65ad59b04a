//! One of two nodes loses the path to the leafs of one shard for some seconds, so that the other one
//! serves its queries, and some callers leave early. Afterwards that node is taken away as planned,
//! and the other one, which was never disturbed, is asked for queries over all shards.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::rig::*;

const NODES: usize = 2;
const SHARDS: usize = 10;
const COPIES: usize = 3;

/// Number of shards whose leafs a node loses the path to.
const CUT_SHARDS: usize = 1;

/// Length of one cut, and the pause before the next one, in seconds.
const CUT_S: f64 = 5.0;
const PAUSE_S: f64 = 1.0;

/// Number of cuts.
const CUTS: usize = 2;

/// Queries per second, over both nodes.
const RATE: f64 = 45.0;

/// Share of a core that each node has.
const CORE_SHARE: f64 = 0.28;

/// Share of the callers that leave early, and time within which they do.
const LEAVING: f64 = 0.3;
const LEAVE_WITHIN_MS: f64 = 50.0;

/// Bound of the pages: `recover-s`.
const RECOVER_S: f64 = 15.0;

/// Number of queries for each route and node at the end.
const QUERIES: usize = 40;

/// A generator of numbers from 0 to 1; the same ones in each run.
fn random(state: &mut u64) -> f64 {
    *state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
    (*state >> 33) as f64 / (1u64 << 31) as f64
}

/// Sends a query and returns the status of its answer; 0 without one.
fn query(address: SocketAddr, id: &str, target: &str) -> u16 {
    let headers = "Connection: close\r\n";
    let request = Ask { method: "GET", target, id, deadline_ms: 2_500, headers, body: b"" };
    let answer = TcpStream::connect(address).and_then(|mut stream| ask(&mut stream, &request));
    answer.map_or(0, |answer| answer.status())
}

/// Sends a query and leaves before the answer.
fn leave(address: SocketAddr, id: &str, after: Duration) {
    let headers = "Connection: close\r\n";
    let request = Ask { method: "GET", target: "/g/1", id, deadline_ms: 2_500, headers, body: b"" };
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = stream.write_all(&request.bytes());
    thread::sleep(after);
}

fn shard_leaf(id: &str, service: &str, shard: u8, seed: u64) -> Arc<Leaf> {
    let state = Mutex::new(seed);
    Leaf::spawn(
        id,
        service,
        Box::new(move |leaf, stream, request| {
            let work = 10.0 + 10.0 * random(&mut state.lock().unwrap());
            thread::sleep(Duration::from_secs_f64(work / 1_000.0));
            stream.write_all(&success(leaf, request, &[b'a' + shard; 160])).is_ok()
        }),
    )
}

pub fn run() -> i32 {
    let platform = Platform::open();
    let mut services: Vec<String> = (0..SHARDS).map(|n| format!("refund-desk-{n}")).collect();
    let cut = Arc::new(AtomicBool::new(false));
    // The addresses over which the first node reaches the leafs of these shards.
    let mut view = Vec::new();
    let mut leafs = Vec::new();
    for (shard, service) in services.iter().enumerate() {
        for copy in 0..COPIES {
            let id = format!("i-{shard}-{copy}");
            let leaf = shard_leaf(&id, service, shard as u8, (shard * COPIES + copy) as u64);
            platform.put(&format!("servers/{id}"), Some(&leaf.entry("kochi-a", 4, "ready", 1)));
            if shard < CUT_SHARDS {
                view.push((leaf.address, open_path(leaf.address, Arc::clone(&cut))));
            }
            leafs.push(leaf);
        }
    }
    let single = shard_leaf("i-verify-1", "customs-verify", 0, 77);
    platform.put("servers/i-verify-1", Some(&single.entry("kochi-a", 4, "ready", 1)));
    let gather: Vec<String> = services.iter().map(|name| quote(name)).collect();
    services.push("customs-verify".into());
    let names: Vec<&str> = services.iter().map(String::as_str).collect();
    let first = "{\"name\":\"shop-fetch\",\"host\":\"shop.example\",\"prefix\":\"/a/\",\
        \"route-type\":\"safe\",\"timeout-ms\":2500,\"target-latency-ms\":600,\"priority\":1,\
        \"service\":\"customs-verify\",\"attempts\":2}"
        .to_owned();
    let later = format!(
        "{{\"name\":\"invoice-sweep\",\"host\":\"shop.example\",\"prefix\":\"/g/\",\
         \"route-type\":\"safe\",\"timeout-ms\":2500,\"target-latency-ms\":200,\"priority\":1,\
         \"gather\":[{}],\"attempts\":2,\"top-k\":50,\"min-coverage\":0.95}}",
        gather.join(",")
    );
    platform.put("op/config", Some(&configuration(3, &[first.clone()], &names, "")));
    let ports = free_ports(5 * NODES);
    let mut nodes = Vec::new();
    for (n, view) in [view, Vec::new()].into_iter().enumerate() {
        let mut deployment = Deployment::open(open_view(platform.address, view));
        deployment.floor = 156;
        let ports = &ports[5 * n..5 * n + 5];
        let node = Node::start(&deployment, &format!("front-{n}"), "kochi-a", ports);
        // Each node reads the list of leafs over its own way, before it knows the other one.
        node.wait_ready();
        throttle(node.process.0.id(), CORE_SHARE);
        nodes.push((node, deployment));
    }
    sleep_ms(3_000);
    platform.put("op/config", Some(&configuration(5, &[first, later], &names, "")));
    record("version 5 adds the route /g/, over all shards");
    sleep_ms(3_000);
    let addresses: Vec<SocketAddr> = nodes.iter().map(|(node, _)| node.callers).collect();
    let (first, later) = measure(addresses[1], "before");
    if first < QUERIES / 2 || later < QUERIES / 2 {
        record("the queries aren't served before the disruption");
        return CANT_RUN;
    }
    let begun = now();
    let end = begun + CUTS as f64 * (CUT_S + PAUSE_S);
    let load = spawn_load(&addresses, end);
    for n in 0..CUTS {
        sleep_until(begun + n as f64 * (CUT_S + PAUSE_S));
        if trouble() {
            record(format!("front-0 loses the path to the leafs of {CUT_SHARDS} shard"));
            cut.store(true, Ordering::SeqCst);
        }
        sleep_until(begun + n as f64 * (CUT_S + PAUSE_S) + CUT_S);
        cut.store(false, Ordering::SeqCst);
        record("front-0 reaches all leafs");
    }
    let statuses = load.join().expect("the load ends");
    record(format!("answers under load: {statuses:?}; callers that left early aren't counted"));
    record("SIGTERM to front-0: it is taken away");
    nodes[0].0.process.signal("TERM");
    sleep_until(end + RECOVER_S);
    let (first, later) = measure(addresses[1], "after");
    let runs: u64 = leafs.iter().map(|leaf| leaf.runs.load(Ordering::SeqCst)).sum();
    record(format!("the leafs of the shards ran {runs} requests in all"));
    if 4 * later < first { BROKEN } else { HELD }
}

/// Asks the second node on the first and on the later route, and returns how many were served.
fn measure(address: SocketAddr, when: &str) -> (usize, usize) {
    let (mut first, mut later) = (0, 0);
    for number in 0..QUERIES {
        let id = format!("{when}-{number}");
        let status = query(address, &format!("{id}-a"), "/a/1");
        let over_shards = query(address, &format!("{id}-g"), "/g/1");
        record(format!("front-1, {id}: first route {status}, later route {over_shards}"));
        first += usize::from(status == 200);
        later += usize::from(over_shards == 200);
        sleep_ms(50);
    }
    record(format!("front-1 {when}: of {QUERIES} each, first route {first}, later route {later}"));
    (first, later)
}

/// Puts load on the nodes until a time; returns the number of answers by status.
fn spawn_load(addresses: &[SocketAddr], end: f64) -> thread::JoinHandle<HashMap<u16, u64>> {
    let addresses = addresses.to_vec();
    thread::spawn(move || {
        let statuses: Arc<Mutex<HashMap<u16, u64>>> = Arc::default();
        let running = Arc::new(AtomicU64::new(0));
        let (mut state, mut number, begun) = (1, 0u64, now());
        while now() < end {
            number += 1;
            sleep_until(begun + number as f64 / RATE);
            let address = addresses[number as usize % addresses.len()];
            let leaves = trouble() && random(&mut state) < LEAVING;
            let after = random(&mut state) * LEAVE_WITHIN_MS / 1_000.0;
            let (statuses, running) = (Arc::clone(&statuses), Arc::clone(&running));
            running.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                let id = format!("q-{number}");
                if leaves {
                    leave(address, &id, Duration::from_secs_f64(after));
                } else {
                    let status = query(address, &id, "/g/1");
                    *statuses.lock().unwrap().entry(status).or_default() += 1;
                }
                running.fetch_sub(1, Ordering::SeqCst);
            });
        }
        while running.load(Ordering::SeqCst) > 0 {
            sleep_ms(10);
        }
        let statuses = statuses.lock().unwrap();
        statuses.clone()
    })
}
