//! The store answers none of the calls of three of nine nodes, and a route moves to another
//! service meanwhile. The other six nodes reach the store all the time.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;

use crate::rig::*;

/// Bound of the pages: `config-apply-ms`.
const CONFIG_APPLY_S: f64 = 3.0;

/// Length of the disruption, in seconds.
const SILENCE_S: f64 = 5.0;

/// Interval at which nodes renew their leases in the store, in seconds.
const RENEWAL_S: f64 = 4.0;

/// Interval at which each calm node is asked which service runs the route, in milliseconds.
const ASK_INTERVAL_MS: u64 = 100;

/// Nodes by zone: those of `hangarna-search` and one that was added.
const ZONES: [(&str, usize); 3] = [("kbely-hall", 3), ("mosnov-hall", 3), ("turany-hall", 3)];

fn route(service: &str) -> String {
    format!(
        "{{\"name\":\"r\",\"host\":\"shop.example\",\"prefix\":\"/a/\",\"route-type\":\"safe\",\
         \"timeout-ms\":2000,\"target-latency-ms\":400,\"priority\":1,\"service\":\"{service}\",\
         \"attempts\":2}}"
    )
}

pub fn run() -> i32 {
    let platform = Platform::open();
    let services = ["bay-card", "fleet-sync"];
    let mut leafs = Vec::new();
    for service in services {
        for copy in 1..=3 {
            let id = format!("i-{service}-{copy}");
            let leaf = Leaf::spawn(
                &id,
                service,
                Box::new(|leaf, stream, request| {
                    record(format!(
                        "{} runs {:?}",
                        leaf.id,
                        request.header("x-request-id").unwrap_or("")
                    ));
                    sleep_ms(5);
                    stream.write_all(&success(leaf, request, leaf.service.as_bytes())).is_ok()
                }),
            );
            platform
                .put(&format!("servers/{id}"), Some(&leaf.entry(ZONES[copy - 1].0, 4, "ready", 1)));
            leafs.push(leaf);
        }
    }
    let configure = |version, service| {
        let document = configuration(version, &[route(service)], &services, "");
        platform.put("op/config", Some(&document));
    };
    configure(3, services[0]);
    let names: Vec<(&str, String)> = ZONES
        .iter()
        .flat_map(|(zone, count)| (1..=*count).map(move |n| (*zone, format!("front-{zone}-{n}"))))
        .collect();
    let ports = free_ports(5 * names.len());
    let ways: Vec<Way> = names.iter().map(|_| Way::open(platform.address)).collect();
    let seeds = vec![ports[3], ports[5 + 3], ports[10 + 3]];
    let mut nodes = Vec::new();
    let begun = now();
    for (n, (zone, name)) in names.iter().enumerate() {
        let mut deployment = Deployment::open(ways[n].address);
        deployment.seeds = seeds.clone();
        let node = Node::start(&deployment, name, zone, &ports[5 * n..5 * n + 5]);
        nodes.push((node, deployment));
    }
    nodes.iter().for_each(|(node, _)| node.wait_ready());
    let start = begun + 3.0 * RENEWAL_S + 0.9;
    sleep_until(start - 0.6);
    configure(5, services[0]);
    record("version 5: nothing changes for the route");
    sleep_until(start);
    let turned_away: Vec<bool> = names.iter().map(|(_, name)| name.ends_with("-1")).collect();
    if trouble() {
        for (n, way) in ways.iter().enumerate().filter(|(n, _)| turned_away[*n]) {
            way.silent.store(true, Ordering::SeqCst);
            record(format!("the store answers {} no more", names[n].1));
        }
    }
    sleep_until(start + 0.1);
    configure(8, services[1]);
    let acked = now();
    record("version 8: the route moves from bay-card to fleet-sync; the store has acknowledged it");
    let stale: Arc<Mutex<Vec<f64>>> = Arc::default();
    let asked: Arc<Mutex<usize>> = Arc::default();
    let mut handles = Vec::new();
    for (n, (node, _)) in nodes.iter().enumerate().filter(|(n, _)| !turned_away[*n]) {
        let (stale, asked) = (Arc::clone(&stale), Arc::clone(&asked));
        let (address, name) = (node.callers, names[n].1.clone());
        handles.push(thread::spawn(move || {
            let mut number = 0;
            while now() < acked + SILENCE_S + 1.0 {
                let sent = now();
                number += 1;
                let id = format!("{n}-{number}");
                let headers = "Connection: close\r\n";
                let ask_for = Ask {
                    method: "GET",
                    target: "/a/1",
                    id: &id,
                    deadline_ms: 2000,
                    headers,
                    body: b"",
                };
                let answer =
                    TcpStream::connect(address).and_then(|mut stream| ask(&mut stream, &ask_for));
                let ran = match &answer {
                    Ok(answer) => {
                        format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body))
                    }
                    Err(error) => error.to_string(),
                };
                let late = sent - acked;
                record(format!("{name}: {id}, sent {late:.3} s after the ack: {}", ran.trim()));
                *asked.lock().unwrap() += 1;
                if late > CONFIG_APPLY_S && ran.contains("bay-card") {
                    stale.lock().unwrap().push(late);
                }
                sleep_ms(ASK_INTERVAL_MS);
            }
        }));
    }
    sleep_until(start + SILENCE_S);
    ways.iter().for_each(|way| way.silent.store(false, Ordering::SeqCst));
    record("the store answers all nodes again");
    handles.into_iter().for_each(|handle| handle.join().unwrap());
    let stale = stale.lock().unwrap();
    let latest = stale.iter().copied().fold(0.0, f64::max);
    record(format!(
        "{} of {} requests ran by the old service though sent over {CONFIG_APPLY_S} s after the \
         ack, the latest {latest:.3} s after it",
        stale.len(),
        asked.lock().unwrap()
    ));
    if stale.is_empty() { HELD } else { BROKEN }
}
