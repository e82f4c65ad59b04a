//! A leaf's second answer arrives late, where the answer to another send is expected.
//!
//! TWICE (without a variant): the copy of a rejection is taken for the answer to the next send of
//! the same request, which runs. MIXED (variant `bare-copy`): a copy without an id is taken for
//! the answer to another request.

#[path = "common.rs"]
mod common;
#[path = "leafs.rs"]
mod leafs;

use common::*;
use leafs::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["lv-riga-a", "lv-riga-b", "lv-jelgava"];
const LEAFS: usize = 15;
const CONSUMERS: u64 = 110;
/// Number of disruptions, for TWICE and for MIXED.
const WINDOWS: [u64; 2] = [14, 5];
/// `garble`, `extra late`: share 0.6, x 0.03, 5 s at a time.
const GARBLE_LEAFS: f64 = 0.6;
const GARBLE_PPM: u64 = 30_000;
const GARBLE_MS: u64 = 5_000;
const PAUSE_MS: u64 = 1_600;
/// `srv_grey`, `shed`: share 0.8, x 0.6, 9 s at a time.
const SHED_LEAFS: f64 = 0.8;
const SHED_PPM: u64 = 600_000;

fn main() {
    let (root, case, variant) = arguments();
    let is_bare = variant == "bare-copy";
    let record = Arc::new(Record::open(&case));
    let work = Folder::open();
    let store = Store::spawn();
    let runs = Arc::new(Runs::default());
    let plan = Plan { slots: 3, queue: 12, work_ms: (120.0, 0.5), body_bytes: 6_000 };
    let leafs: Vec<Leaf> = (0..LEAFS)
        .map(|n| {
            let zone = ZONES[n % 3];
            let id = format!("i-{n:04x}");
            Leaf::spawn(&store, &id, "sorting-hall", zone, &plan, &runs, &record, n as u64 + 11)
        })
        .collect();
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-bale\",\"host\":\"bale.example\",\
         \"prefix\":\"/bale/\",\"route-type\":\"{}\",\"timeout-ms\":3000,\
         \"target-latency-ms\":500,\"priority\":2,\"service\":\"sorting-hall\",\"attempts\":{}}}],\
         \"services\":[{{\"name\":\"sorting-hall\",\"health-path\":\"/healthz\",\
         \"max-connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{LIMITS}}}",
        if is_bare { "safe" } else { "unsafe" },
        if is_bare { 2 } else { 1 }
    );
    store.put("op/config", &config);
    let bounds = Bounds {
        retry_ratio: "0.2",
        retry_min: "52",
        window_s: "10",
        cores: "0.25",
        link_mbps: "1000.0",
        grace_s: "6",
        quota: None,
    };
    for leaf in &leafs {
        leaf.faults.bare_copy.store(is_bare, Ordering::Relaxed);
    }
    let zones = [0, 0, 1, 1, 1, 2].map(|zone| ZONES[zone]);
    let nodes = start_nodes(&root, &work.0, store.address, &zones, &bounds);
    record.say("nodes are ready");

    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    // Successes that are those of another request.
    let mixed = Arc::new(AtomicU64::new(0));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|n| {
            let (stop, number) = (Arc::clone(&stop), Arc::clone(&number));
            let (answers, record) = (Arc::clone(&answers), Arc::clone(&record));
            let mixed = Arc::clone(&mixed);
            let address = nodes[n as usize % nodes.len()].callers;
            thread::spawn(move || {
                let mut rng = Rng::new(n + 100);
                let mut open: Option<Connection> = None;
                while !stop.load(Ordering::Relaxed) {
                    sleep_ms(200 + (rng.unit() * 400.0) as u64);
                    let id =
                        format!("{:016x}", 0x9c41_0000 + number.fetch_add(1, Ordering::Relaxed));
                    let headers = [
                        ("Host", "bale.example".to_owned()),
                        ("X-Request-Id", id.clone()),
                        ("X-Deadline-Ms", "3000".to_owned()),
                    ];
                    let bytes = request("POST", "/bale/2f", &headers, &[b'q'; 300]);
                    let mut connection = match open.take() {
                        Some(connection) => connection,
                        None => match Connection::open(address) {
                            Ok(connection) => connection,
                            Err(_) => continue,
                        },
                    };
                    record.line(&format!("consumer {n} sends {id}, POST"));
                    let status = match connection.ask(&bytes, Duration::from_secs(8)) {
                        Ok(answer) => {
                            if answer.header("connection") != Some("close") {
                                open = Some(connection);
                            }
                            let receipt = answer.header("x-response-stamp").unwrap_or("");
                            let is_own = receipt.ends_with(&format!(".{id}"))
                                && answer.body.starts_with(id.as_bytes());
                            if answer.status() == 200 && !is_own {
                                mixed.fetch_add(1, Ordering::Relaxed);
                                let body: Vec<u8> = answer.body.iter().take(16).copied().collect();
                                record.say(&format!(
                                    "MIXED: {id} gets 200 with the receipt {receipt} and a body \
                                     that begins with {}",
                                    String::from_utf8_lossy(&body)
                                ));
                            }
                            answer.status()
                        }
                        Err(_) => 0,
                    };
                    record.line(&format!("consumer {n} gets {status} for {id}"));
                    answers.lock().unwrap().insert(id, status);
                }
            })
        })
        .collect();

    sleep_ms(3_000);
    let set = |share: f64, ppm: u64, of: fn(&Faults) -> &AtomicU64| {
        let count = (share * leafs.len() as f64).floor() as usize;
        leafs.iter().take(count).for_each(|leaf| of(&leaf.faults).store(ppm, Ordering::Relaxed));
    };
    for _ in 0..WINDOWS[usize::from(is_bare)] {
        if trouble() {
            record.line("garble (extra late) begins");
            set(GARBLE_LEAFS, GARBLE_PPM, |faults| &faults.extra_late);
        }
        if trouble() && !is_bare {
            set(SHED_LEAFS, SHED_PPM, |faults| &faults.shed);
        }
        sleep_ms(GARBLE_MS);
        set(1.0, 0, |faults| &faults.extra_late);
        set(1.0, 0, |faults| &faults.shed);
        record.line("disruptions end");
        sleep_ms(PAUSE_MS);
    }
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    sleep_ms(1_500);

    let (runs, answers) = (runs.0.lock().unwrap(), answers.lock().unwrap());
    let mut twice = 0;
    let mut refused = 0;
    let count = |status: u16| answers.values().filter(|other| **other == status).count();
    for (id, runs) in runs.iter() {
        let status = answers.get(id).copied().unwrap_or(0);
        if runs.len() > 1 && !is_bare {
            twice += 1;
            let at: Vec<String> =
                runs.iter().map(|run| format!("{} at {} ms", run.leaf, run.at_ms)).collect();
            record.say(&format!(
                "TWICE: {id} ran {} times: {}; answered {status}",
                runs.len(),
                at.join(", ")
            ));
        }
        if matches!(status, 503 | 429 | 408 | 421) && !is_bare {
            refused += 1;
            record.say(&format!("REFUSED: {id} was answered {status} and has run"));
        }
    }
    let mixed = mixed.load(Ordering::Relaxed);
    record.say(&format!(
        "{} requests: 200 {}, 502 {}, 503 {}, 504 {}, none {}; ran more than once: {twice}; \
         refused and run: {refused}; answers of other requests: {mixed}",
        answers.len(),
        count(200),
        count(502),
        count(503),
        count(504),
        count(0)
    ));
    drop(nodes);
    drop(work);
    let is_broken = if is_bare { mixed > 0 } else { twice > 0 };
    std::process::exit(if is_broken { BROKEN } else { HELD });
}
