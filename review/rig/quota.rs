//! QUOTA: while the node that grants an organisation's quota is slow, the other nodes let its
//! requests through on credit again and again, and few of these are deducted.

#[path = "common.rs"]
mod common;
#[path = "leafs.rs"]
mod leafs;

use common::*;
use leafs::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 10] = [
    "neweng-a", "neweng-b", "neweng-c", "neweng-d", "neweng-a", "neweng-b", "neweng-c", "neweng-d",
    "neweng-a", "neweng-b",
];
const TENANT: &str = "kami770";
const KEY: &str = "6dnvhz6prvnzqjynjcfv";

/// What the tenant sends, and its first limit: 1.6 times that (`quota_x` of the site file).
const USUAL_PER_S: f64 = 30.0;
const FIRST_LIMIT: (f64, f64) = (48.0, 48.0);
/// Its limit after `config_change`, `quota down`: rate and burst.
const LOWER_LIMIT: (f64, f64) = (2.0, 2.0);
/// `config-apply-ms`.
const APPLY_MS: u64 = 5_000;
/// `node_slow`: 5 times slower, for 5 s, one machine of ten (share 0.1).
const SLOW_X: f64 = 5.0;
const SLOW_MS: u64 = 5_000;
/// Period of the stops by which a machine is slowed.
const PERIOD_MS: f64 = 100.0;
const ROUNDS: u64 = 5;
const CALM_MS: u64 = 6_500;

/// `quota-window-s`, `quota-overage` and `quota-slack`.
const WINDOW_MS: u64 = 5_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Groups of organisations that a node grants, by its log.
fn granting(node: &Node) -> Vec<usize> {
    let log = node.log_text();
    let is_granting = |group: &usize| {
        let event = format!("event=quota_granting group={group} ");
        log.lines()
            .rev()
            .find(|l| l.contains(&event))
            .is_some_and(|l| l.contains("is_granting=true"))
    };
    (0..4).filter(is_granting).collect()
}

fn main() {
    let (root, case, _) = arguments();
    let record = Arc::new(Record::open(&case));
    let work = Folder::open();
    let store = Store::spawn();
    let runs = Arc::new(Runs::default());
    let plan = Plan { slots: 4, queue: 24, work_ms: (90.0, 0.5), body_bytes: 3_000 };
    let _leafs: Vec<Leaf> = (0..9)
        .map(|n| {
            let id = format!("i-{n:04x}");
            Leaf::spawn(
                &store,
                &id,
                "recon-batch",
                ZONES[n % 4],
                &plan,
                &runs,
                &record,
                n as u64 + 11,
            )
        })
        .collect();
    let config = |version: u64, (rate, burst): (f64, f64)| {
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-pull\",\
             \"host\":\"pull.example\",\"prefix\":\"/pull/\",\"route-type\":\"safe\",\
             \"timeout-ms\":6000,\"target-latency-ms\":800,\"priority\":2,\
             \"service\":\"recon-batch\",\"attempts\":2,\"allow-anonymous\":false}}],\
             \"services\":[{{\"name\":\"recon-batch\",\"health-path\":\"/healthz\",\
             \"max-connections\":520,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{LIMITS},\"tenants\":[{{\"name\":\"{TENANT}\",\
             \"api-keys\":[\"{KEY}\"],\"priority\":0,\"rate-per-s\":{rate},\
             \"burst\":{burst}}}]}}"
        )
    };
    store.put("op/config", &config(7, FIRST_LIMIT));
    let bounds = Bounds {
        retry_ratio: "0.2",
        retry_min: "192",
        window_s: "10",
        cores: "0.5",
        link_mbps: "200.0",
        grace_s: "6",
        quota: Some(["5", "0.1", "20"]),
    };
    let nodes = start_nodes(&root, &work.0, store.address, &ZONES, &bounds);
    record.say("nodes are ready");
    let callers: Vec<_> = nodes.iter().map(|node| node.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    // First attempts come at the tenant's rate, each to a node picked at random; each is retried
    // once, after the time that the refusal states.
    let traffic = {
        let (stop, callers) = (Arc::clone(&stop), callers.clone());
        let (answers, record) = (Arc::clone(&answers), Arc::clone(&record));
        thread::spawn(move || {
            let mut rng = Rng::new(77);
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                sleep_ms((1_000.0 * (0.5 + rng.unit()) / USUAL_PER_S) as u64);
                number += 1;
                let nodes = [0, 1].map(|_| callers[rng.next() as usize % callers.len()]);
                let (answers, record) = (Arc::clone(&answers), Arc::clone(&record));
                thread::spawn(move || attempts(number, nodes, &answers, &record));
            }
        })
    };
    sleep_ms(4_000);
    store.put("op/config", &config(9, LOWER_LIMIT));
    let binds_from = now_ms() + APPLY_MS + WINDOW_MS;
    record.line("version 9 lowers the quota; the store has acknowledged it");
    sleep_ms(APPLY_MS + WINDOW_MS);
    let grants: Vec<Vec<usize>> = nodes.iter().map(granting).collect();
    for (node, groups) in nodes.iter().zip(&grants) {
        record.line(&format!("{} grants groups {groups:?}", node.name));
    }
    let Some(holder) = (0..nodes.len()).find(|n| grants[*n].contains(&GROUP)) else {
        record.say("no node grants the tenant's quota");
        std::process::exit(COULD_NOT_RUN);
    };
    record.say(&format!("{} holds the quota of {TENANT}", nodes[holder].name));
    for _ in 0..ROUNDS {
        let end = now_ms() + SLOW_MS;
        if trouble() {
            record.line(&format!("node_slow begins at {}", nodes[holder].name));
            let runs_ms = (PERIOD_MS / SLOW_X) as u64;
            while now_ms() < end {
                nodes[holder].signal("STOP");
                sleep_ms(PERIOD_MS as u64 - runs_ms);
                nodes[holder].signal("CONT");
                sleep_ms(runs_ms);
            }
            record.line("node_slow ends");
        } else {
            sleep_ms(SLOW_MS);
        }
        sleep_ms(CALM_MS);
    }
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    sleep_ms(2_500);

    let runs = runs.0.lock().unwrap();
    let mut at: Vec<u64> = runs
        .values()
        .flatten()
        .filter(|run| run.tenant == TENANT && run.at_ms >= binds_from)
        .map(|run| run.at_ms)
        .collect();
    at.sort_unstable();
    let (rate, burst) = LOWER_LIMIT;
    let bound = (rate * WINDOW_MS as f64 / 1_000.0 + burst) * (1.0 + OVERAGE) + SLACK;
    let in_window =
        |from: &u64| at.iter().filter(|t| (*from..*from + WINDOW_MS).contains(*t)).count();
    let most = at.iter().map(|from| (in_window(from), *from)).max().unwrap_or((0, 0));
    let answers = answers.lock().unwrap();
    let count = |status: u16| answers.values().filter(|other| **other == status).count();
    record.say(&format!(
        "{} requests: 200 {}, 429 {}; most that ran within 5 s: {} from {} ms, allowed {bound:.1}",
        answers.len(),
        count(200),
        count(429),
        most.0,
        most.1
    ));
    drop(nodes);
    drop(work);
    std::process::exit(if most.0 as f64 > bound { BROKEN } else { HELD });
}

/// Group of [`TENANT`]: the digest of its name modulo 4, which says in which group of organisations it is.
const GROUP: usize = 2;

fn attempts(
    number: u64,
    nodes: [std::net::SocketAddr; 2],
    answers: &Mutex<HashMap<String, u16>>,
    record: &Record,
) {
    let began = now_ms();
    for (attempt, node) in nodes.into_iter().enumerate() {
        let left = 6_000u64.saturating_sub(now_ms() - began);
        let id = format!("{:016x}", 0x9c41_0000 + number * 16 + attempt as u64);
        let headers = [
            ("Host", "pull.example".to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", left.to_string()),
            ("X-Api-Key", KEY.to_owned()),
        ];
        let bytes = request("GET", &format!("/pull/{number}"), &headers, b"");
        record.line(&format!("consumer sends {id} to {node}"));
        let answer = Connection::open(node)
            .and_then(|mut connection| connection.ask(&bytes, Duration::from_millis(left)));
        let Ok(answer) = answer else { return };
        record.line(&format!("consumer gets {} for {id}", answer.status()));
        answers.lock().unwrap().insert(id, answer.status());
        let wait = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        match wait {
            Some(wait) if answer.status() != 200 && wait * 1_000.0 <= left as f64 / 3.0 => {
                sleep_ms((wait * 1_000.0) as u64);
            }
            _ => return,
        }
    }
}
