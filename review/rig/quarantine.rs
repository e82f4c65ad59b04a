//! CONFIG: a query that many consumers ask is refused for minutes, since three shards crashed one
//! after the other while it ran there.

#[path = "common.rs"]
mod common;
#[path = "leafs.rs"]
mod leafs;

use common::*;
use leafs::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 6] =
    ["kl-hall-a", "kl-hall-a", "kl-hall-a", "cyberjaya-hall", "shah-alam-hall", "shah-alam-hall"];
const SHARDS: usize = 10;
const LEAFS: usize = 3;
/// `srv_crash`, `how = "all"`: all leafs of a shard, for 4.5 s.
const DOWN_MS: u64 = 4_500;
/// Time between the crashes of one shard and the next.
const APART_MS: u64 = 1_200;
/// How often three shards crash.
const ROUNDS: u64 = 2;
const CONTACT_MS: u64 = 4_000;
const STEADY_MS: u64 = 30_000;

/// One request: route, when it was sent, status.
type Sample = (usize, u64, u16, String);

fn main() {
    let (root, case, _) = arguments();
    let record = Arc::new(Record::open(&case));
    let work = Folder::open();
    let store = Store::spawn();
    let runs = Arc::new(Runs::default());
    let plan = Plan { slots: 3, queue: 18, work_ms: (6.7, 0.35), body_bytes: 96 };
    let mut leafs: Vec<Leaf> = Vec::new();
    for shard in 0..SHARDS {
        for n in 0..LEAFS {
            let zone = ["kl-hall-a", "cyberjaya-hall", "shah-alam-hall"][n];
            let (id, service) = (format!("i-{shard:02x}{n:02x}"), format!("console{shard}"));
            let seed = (shard * 10 + n + 7) as u64;
            leafs.push(Leaf::spawn(&store, &id, &service, zone, &plan, &runs, &record, seed));
        }
    }
    let names: Vec<String> = (0..SHARDS).map(|n| format!("\"console{n}\"")).collect();
    let route = |name: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\
             \"route-type\":\"safe\",\"timeout-ms\":600,\"target-latency-ms\":60,\"priority\":2,\
             \"gather\":[{}],\"attempts\":2,\"top-k\":5,\"min-coverage\":0.75}}",
            names.join(",")
        )
    };
    let services: Vec<String> = (0..SHARDS)
        .map(|n| {
            format!(
                "{{\"name\":\"console{n}\",\"health-path\":\"/healthz\",\"max-connections\":30,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    let config = |version: u64, routes: &[String]| {
        format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{LIMITS}}}",
            routes.join(","),
            services.join(",")
        )
    };
    store.put("op/config", &config(7, &[route("first")]));
    let bounds = Bounds {
        retry_ratio: "0.2",
        retry_min: "52",
        window_s: "10",
        cores: "0.25",
        link_mbps: "1000.0",
        grace_s: "6",
        quota: None,
    };
    let nodes = start_nodes(&root, &work.0, store.address, &ZONES, &bounds);
    record.say("nodes are ready");
    store.put("op/config", &config(9, &[route("first"), route("later")]));
    record.line("version 9 adds the route r-later");
    sleep_ms(4_000);

    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let samples: Arc<Mutex<Vec<Sample>>> = Arc::default();
    let consumers: Vec<_> = (0..72u64)
        .map(|n| {
            let (stop, number) = (Arc::clone(&stop), Arc::clone(&number));
            let (samples, record) = (Arc::clone(&samples), Arc::clone(&record));
            let address = nodes[n as usize % nodes.len()].callers;
            // Twelve consumers ask a query of its own each time, on the first route; all others ask
            // the same query, on the later one.
            let route = usize::from(n >= 12);
            thread::spawn(move || {
                let mut rng = Rng::new(n + 100);
                let mut open: Option<Connection> = None;
                while !stop.load(Ordering::Relaxed) {
                    sleep_ms(60 + (rng.unit() * 120.0) as u64);
                    let count = number.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", 0x9c41_0000 + count);
                    let path =
                        if route == 0 { format!("/first/{count}") } else { "/later/2f".to_owned() };
                    let headers = [
                        ("Host", "shop.example".to_owned()),
                        ("X-Request-Id", id.clone()),
                        ("X-Deadline-Ms", "600".to_owned()),
                    ];
                    let bytes = request("GET", &path, &headers, b"");
                    let Some(mut connection) =
                        open.take().or_else(|| Connection::open(address).ok())
                    else {
                        continue;
                    };
                    let sent = now_ms();
                    record.line(&format!("consumer {n} sends {id}, GET {path}"));
                    let (status, wait) = match connection.ask(&bytes, Duration::from_secs(2)) {
                        Ok(answer) => {
                            let wait = answer.header("retry-after").unwrap_or("").to_owned();
                            if answer.header("connection") != Some("close") {
                                open = Some(connection);
                            }
                            (answer.status(), wait)
                        }
                        Err(_) => (0, String::new()),
                    };
                    record.line(&format!("consumer {n} gets {status} {wait} for {id}"));
                    samples.lock().unwrap().push((route, sent, status, wait));
                }
            })
        })
        .collect();
    sleep_ms(4_000);

    let mut starts = 0;
    for round in 0..ROUNDS {
        if !trouble() {
            sleep_ms(2 * APART_MS + DOWN_MS + 4_000);
            continue;
        }
        let began = now_ms();
        let shards = [2, 3, 4].map(|shard| (shard + 3 * round as usize) % SHARDS);
        for (index, shard) in shards.into_iter().enumerate() {
            sleep_ms((began + index as u64 * APART_MS).saturating_sub(now_ms()));
            record.line(&format!("all leafs of console{shard} crash"));
            leafs[shard * LEAFS..][..LEAFS].iter().for_each(Leaf::crash);
        }
        for (index, shard) in shards.into_iter().enumerate() {
            sleep_ms((began + index as u64 * APART_MS + DOWN_MS).saturating_sub(now_ms()));
            for leaf in &mut leafs[shard * LEAFS..][..LEAFS] {
                starts += 1;
                leaf.restart(&store, &format!("i-{:04x}", 0x1000 + starts));
            }
        }
        sleep_ms(4_000);
    }
    sleep_ms(CONTACT_MS + 1_000);
    let from = now_ms();
    record.line("steady state begins");
    sleep_ms(STEADY_MS);
    let to = now_ms();
    record.line("steady state ends");
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }

    let samples = samples.lock().unwrap();
    let steady = |route: usize| {
        let of = samples.iter().filter(move |s| s.0 == route && (from..to).contains(&s.1));
        let (all, served) =
            of.fold((0, 0), |(all, served), s| (all + 1, served + usize::from(s.2 == 200)));
        (all, served)
    };
    let (first, later) = (steady(0), steady(1));
    let share = |(all, served): (usize, usize)| served as f64 / all.max(1) as f64;
    let wait = samples.iter().rev().find(|s| s.0 == 1 && s.2 == 503).map(|s| s.3.clone());
    record.say(&format!(
        "steady state of {} s: first route {} of {} served, later route {} of {} served; \
         Retry-After of the last refusal there: {:?}",
        STEADY_MS / 1_000,
        first.1,
        first.0,
        later.1,
        later.0,
        wait
    ));
    for node in &nodes {
        let log = node.log_text();
        let lines = log.lines().filter(|line| line.contains("event=quarantine"));
        lines.take(2).for_each(|line| record.line(&format!("{}: {line}", node.name)));
    }
    drop(nodes);
    drop(work);
    let broken = later.0 >= 20 && share(later) < 0.25 * share(first);
    std::process::exit(if broken { BROKEN } else { HELD });
}
