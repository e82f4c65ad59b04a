//! Measures membership over a simulated network in one process.
//!
//! `cargo run --release -p jacinthfall-member --example membership [nodes...]`

use std::time::{Duration, Instant};

use jacinthfall_member::Event;
use jacinthfall_wire::member::State;

#[path = "../tests/support/mod.rs"]
mod support;

use support::{Fleet, Traffic};

/// Simulated time over which the traffic without changes is counted.
const IDLE_TIME: Duration = Duration::from_secs(20);

fn main() {
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let counts = if counts.is_empty() { vec![8, 32, 128, 512] } else { counts };
    println!("nodes  leaving_ms  dead_ms  frames/s  bytes/s  cpu_us/s");
    for count in counts {
        measure(count);
    }
}

/// Prints one line of results. Frames and bytes are those sent, per node and second.
/// CPU time is that of the whole process without encoding, per node and simulated
/// second.
fn measure(count: usize) {
    let mut fleet = Fleet::open(count, 18, 1);
    fleet.measure = true;
    // After all nodes start at once, their rumors are piggybacked for a while.
    fleet.run(Duration::from_secs(20 + count as u64 / 4));
    fleet.traffic = Traffic::default();
    fleet.run(IDLE_TIME);
    let traffic = fleet.traffic;
    fleet.measure = false;
    let start = Instant::now();
    fleet.run(IDLE_TIME);
    let elapsed = start.elapsed();
    fleet.handle(1, Event::Leave);
    let leaving = fleet.run_until(IDLE_TIME, |fleet| fleet.all_see(1, Some(State::Leaving)));
    fleet.kill(2);
    let dead = fleet.run_until(IDLE_TIME, |fleet| fleet.all_see(2, None));
    let node_seconds = count as u64 * IDLE_TIME.as_secs();
    let millis = |time: Option<Duration>| time.map_or(-1, |time| time.as_millis() as i64);
    println!(
        "{count}  {}  {}  {}  {}  {}",
        millis(leaving),
        millis(dead),
        traffic.frames / node_seconds,
        traffic.bytes / node_seconds,
        elapsed.as_micros() as u64 / node_seconds
    );
}
