//! Measures the replication of configuration records over a simulated network and
//! store in one process.
//!
//! `cargo run --release -p jacinthfall-config --example spread [nodes...]`

use std::time::{Duration, Instant};

#[path = "../tests/support/mod.rs"]
mod support;

use support::{Fleet, Traffic};

/// Simulated time over which the traffic without changes is counted.
const IDLE_TIME: Duration = Duration::from_secs(20);

fn main() {
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let counts = if counts.is_empty() { vec![8, 32, 128, 512] } else { counts };
    println!("nodes  in_force_ms  frames/s  bytes/s  cpu_us/s  store_calls/min  oldest_ms");
    for count in counts {
        measure(count);
    }
}

/// Prints one line of results. Frames and bytes are those sent without changes,
/// per node and second. CPU time is that of the whole process, per node and
/// simulated second.
fn measure(count: usize) {
    let mut fleet = Fleet::open(count, 18, 1);
    fleet.measure = true;
    fleet.run(Duration::from_secs(30));
    fleet.traffic = Traffic::default();
    let calls = fleet.store.calls;
    let start = Instant::now();
    fleet.run(IDLE_TIME);
    let elapsed = start.elapsed();
    let traffic = fleet.traffic;
    let calls = (fleet.store.calls - calls) * 60 / IDLE_TIME.as_secs();
    let oldest = fleet.running().filter_map(|index| fleet.status(index)).map(|s| s.unconfirmed);
    let oldest = oldest.max().unwrap_or_default().as_millis();
    fleet.write("desk");
    let propagation = fleet.run_until(IDLE_TIME, Fleet::all_current);
    let node_seconds = count as u64 * IDLE_TIME.as_secs();
    println!(
        "{count}  {}  {}  {}  {}  {calls}  {oldest}",
        propagation.map_or(-1, |time| time.as_millis() as i64),
        traffic.frames / node_seconds,
        traffic.bytes / node_seconds,
        elapsed.as_micros() as u64 / node_seconds
    );
}
