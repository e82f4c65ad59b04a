//! Case 11: a planned stop cuts answers that are still on their way to callers.

mod rig;

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::*;

/// Size of an answer.
const ANSWER_BYTES: usize = 3_500_000;

/// Size of the answer before.
const FIRST_BYTES: usize = 3_000;

/// What a caller's link carries: 1.75 MB a second, 14 Mbit/s.
const BYTES_EACH_10_MS: usize = 17_500;

/// Time between SIGTERM and the requests.
const SENT_AFTER: Duration = Duration::from_millis(2_500);

/// Time that a caller waits, and the route's timeout.
const BUDGET: Duration = Duration::from_millis(6_000);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| stop("name the case's folder"));
    let record = Record::open(&Path::new(&folder).join("record.txt"));
    std::process::exit(run(&record));
}

fn run(record: &Record) -> i32 {
    let trouble = has_trouble();
    let folder = Folder::open("jacinthfall-review-3-11");
    let store = Store::start();
    let work = |request: &Received| {
        let is_first = request.path.starts_with("/fetch/first");
        let bytes = if is_first { FIRST_BYTES } else { ANSWER_BYTES };
        Work { takes: Duration::from_millis(100), bytes }
    };
    let leafs: Vec<Leaf> = (0..2)
        .map(|n| Leaf::start(&format!("i-{n}"), "archive", "zone-a", record.clone(), work))
        .collect();
    leafs.iter().for_each(|leaf| store.register(leaf, 1, "ready"));
    store.put("op/config", Some(&configuration(7, "safe", "archive")));
    let plans = [Plan::new("front-a-1", "zone-a"), Plan::new("front-a-2", "zone-a")];
    let seeds: Vec<_> = plans.iter().map(|plan| plan.peers).collect();
    let mut nodes: Vec<Node> =
        plans.iter().map(|plan| plan.start(&folder, store.address, &seeds, BOUND_MS)).collect();
    nodes.iter().for_each(Node::wait_ready);
    thread::sleep(Duration::from_secs(1));

    // Callers with kept connections; each has had an answer over its link before.
    let lost = Arc::new(Mutex::new(Vec::new()));
    let node = nodes[0].callers;
    let started = Instant::now() + Duration::from_secs(4);
    let callers: Vec<_> = (0..3)
        .map(|caller| {
            let (record, lost) = (record.clone(), Arc::clone(&lost));
            thread::spawn(move || {
                let Ok(mut stream) = connect_narrow(node, 16 * 1024, 1_400) else {
                    stop("a caller can't connect")
                };
                ask(&mut stream, &record, &format!("first-{caller}"))
                    .unwrap_or_else(|lack| stop(&format!("before the stop: {lack:?}")));
                thread::sleep((started + SENT_AFTER).saturating_duration_since(Instant::now()));
                if let Err(lack) = ask(&mut stream, &record, &format!("second-{caller}")) {
                    lost.lock().unwrap().push(lack);
                }
            })
        })
        .collect();
    thread::sleep(started.saturating_duration_since(Instant::now()));
    if trouble {
        record.line("SIGTERM to front-a-1; grace-s is 6");
        nodes[0].process.signal(signal::TERM);
    }
    while trouble && !nodes[0].process.has_ended() {
        if started.elapsed() > Duration::from_secs(7) {
            record.line("front-a-1 has not ended 7 s after SIGTERM");
            nodes[0].process.signal(signal::KILL);
        }
        thread::sleep(Duration::from_millis(2));
    }
    if trouble {
        let after = started.elapsed().as_millis();
        record.line(&format!("front-a-1 has ended by itself {after} ms after SIGTERM"));
    }
    for caller in callers {
        if caller.join().is_err() {
            stop("a caller failed");
        }
    }
    let lost = lost.lock().unwrap().len();
    record.line(&format!("{lost} of 3 requests that leafs had run got no complete answer"));
    if lost > 0 { EXIT_BROKEN } else { EXIT_HELD }
}

fn ask(stream: &mut std::net::TcpStream, record: &Record, id: &str) -> Result<(), Lack> {
    let sent = Instant::now();
    let request = format!(
        "GET /fetch/{id} HTTP/1.1\r\nHost: front.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\n\r\n",
        BUDGET.as_millis()
    );
    stream.write_all(request.as_bytes()).map_err(|error| Lack::Unsent(error.to_string()))?;
    record.line(&format!("caller sends {id}"));
    let answer = read_answer(stream, BUDGET, Some(BYTES_EACH_10_MS));
    let took = sent.elapsed().as_millis();
    match answer {
        Ok(answer)
            if answer.status == 200 && matches!(answer.body.len(), FIRST_BYTES | ANSWER_BYTES) =>
        {
            record.line(&format!("caller has the whole answer to {id} after {took} ms"));
            Ok(())
        }
        Ok(answer) => {
            record.line(&format!("caller gets {} to {id} after {took} ms", answer.status));
            Ok(())
        }
        Err(lack) => {
            record
                .line(&format!("caller has no complete answer to {id} after {took} ms: {lack:?}"));
            Err(lack)
        }
    }
}
