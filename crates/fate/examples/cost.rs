//! Measures the cost of storing and copying fates on a node, on one core: memory and time
//! per fate, and time per change of the live nodes, for clusters up to
//! 3,200 nodes, the size to design for.
//!
//! ```sh
//! cargo run --release -p jacinthfall-fate --example cost
//! ```

use std::hint::black_box;
use std::time::Instant;

use jacinthfall_core::coverage::Coverage;
use jacinthfall_core::fate::{Fate, Phase, Slowest, Span};
use jacinthfall_core::id::{Incarnation, Shard, Version};
use jacinthfall_core::refusal::Ran;
use jacinthfall_core::time::{Time, Wall};
use jacinthfall_fate::{Action, Event, Keeper, Peer, Settings};
use jacinthfall_wire::fate::Message;

const ZONES: usize = 18;

fn peer(number: usize) -> Peer {
    let zone = format!("zone-{}", number % ZONES).into();
    Peer { node: format!("node-{number}").into(), started: 1_764_790_000_000, zone }
}

fn fate(number: usize) -> Fate {
    let span = |phase, micros| Span { phase, took: std::time::Duration::from_micros(micros) };
    Fate {
        request: format!("6f1c2a90-4d1b-4e4e-9a53-{number:012}").into(),
        profile: "agent-lookup".into(),
        caller: "widget-backend".into(),
        node: Incarnation { node: "node-0".into(), started: 1_764_790_000_000 },
        arrived: Wall(1_764_795_600_123),
        ended: Some(Wall(1_764_795_600_151)),
        ran: Ran::Ran,
        version: Some(Version(412)),
        coverage: Some(Coverage { total: 1_400, answered: 1_400, missed: Vec::new() }),
        refused: None,
        message: String::new(),
        spans: vec![span(Phase::Queued, 210), span(Phase::Leafs, 27_400), span(Phase::Merge, 330)],
        slowest: Some(Slowest {
            leaf: "agent-console-07-b".into(),
            shard: Shard(7),
            took: std::time::Duration::from_micros(26_900),
        }),
        hedges: 1,
        retries: 0,
    }
}

/// Returns the resident memory of this process, in bytes. Assumes pages of 4 KiB.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}

fn main() {
    measure_memory();
    println!("nodes cells  record+copy us  store copy us  change ms");
    for (nodes, cells) in [(8, 1), (200, 1), (3_200, 1), (3_200, 16)] {
        measure(nodes, cells);
    }
}

fn measure_memory() {
    const FATES: usize = 50_000;
    let settings = Settings { budget_bytes: 256 << 20, ..Settings::default() };
    let mut keeper = Keeper::open(peer(0), settings, 1);
    let before = resident_bytes();
    for number in 0..FATES {
        keeper.handle(Time(number as u64), Event::Record(fate(number)));
    }
    let resident = (resident_bytes() - before) / FATES;
    println!("memory per fate: {resident} bytes resident, {} counted", keeper.bytes() / FATES);
}

fn measure(nodes: usize, cells: u32) {
    const FATES: usize = 50_000;
    let settings = Settings { cells, budget_bytes: 256 << 20, ..Settings::default() };
    let peers: Vec<Peer> = (1..nodes).map(peer).collect();
    let fates: Vec<Fate> = (0..FATES).map(fate).collect();

    let mut server = Keeper::open(peer(0), settings.clone(), 1);
    server.handle(Time(0), Event::Peers(peers.clone()));
    let start = Instant::now();
    let mut copies = Vec::new();
    for (number, fate) in fates.into_iter().enumerate() {
        let now = Time(number as u64 * 6_666);
        copies.extend(server.handle(now, Event::Record(fate)));
        let wakes = server.handle(now, Event::Wake);
        acknowledge(&mut server, now, &wakes);
        copies.extend(wakes);
    }
    let record_us = start.elapsed().as_secs_f64() * 1e6 / FATES as f64;

    let mut keeper = Keeper::open(peer(1), settings, 2);
    let start = Instant::now();
    let mut stored = 0;
    for action in copies {
        if let Action::Send { message: Message::Copies { batch, copies }, .. } = action {
            stored += copies.len();
            let message = Message::Copies { batch, copies };
            black_box(keeper.handle(Time(1), Event::Frame { from: "node-0".into(), message }));
        }
    }
    let store_us = start.elapsed().as_secs_f64() * 1e6 / stored as f64;

    let now = Time(FATES as u64 * 6_666);
    let start = Instant::now();
    server.handle(now, Event::Peers(peers[1..].to_vec()));
    server.handle(now, Event::HandOver);
    let change_ms = start.elapsed().as_secs_f64() * 1e3 / 2.0;
    println!("{nodes:5} {cells:5}  {record_us:14.1}  {store_us:12.1}  {change_ms:9.1}");
}

fn acknowledge(server: &mut Keeper, now: Time, actions: &[Action]) {
    for action in actions {
        if let Action::Send { to, message: Message::Copies { batch, .. } } = action {
            let message = Message::Ack { batch: *batch };
            server.handle(now, Event::Frame { from: to.clone(), message });
        }
    }
}
