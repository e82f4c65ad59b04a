//! Logs and metrics of a gateway node.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use jacinthfall::util::output::Queue;
use jacinthfall_testkit::call;

use jacinthfall_testkit::gateway::site::{Request, exchange, route, serving_leaf};

use crate::support::serving;

/// A log sink that accepts a line only when the test permits it.
struct Stalled {
    permits: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Stalled {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(io::Error::other)?;
        self.written.send(line.to_vec()).map_err(io::Error::other)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_log_reader_does_not_block_writers() {
    let (permits, permitted) = channel();
    let (written, lines) = channel();
    let mut queue = Queue::spawn(Stalled { permits: permitted, written }).expect("a thread");

    for number in 0..10_000 {
        writeln!(queue, "line {number}").expect("the queue accepts or drops the line");
    }
    for _ in 0..10_000 {
        permits.send(()).expect("the writer thread is running");
    }

    let mut dropped = None;
    while dropped.is_none() {
        let line = lines
            .recv_timeout(Duration::from_secs(30))
            .expect("the queue reports how many lines it dropped");
        let line = String::from_utf8(line).expect("text");
        dropped = line.contains("event=log_lines_dropped").then_some(line);
    }
}

#[test]
fn metrics_count_requests_by_route_and_outcome() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    assert_eq!(site.ask(0, &Request::default()).status, 200);

    let request = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let text = exchange(site.nodes[0].addresses, request.as_bytes());

    let text = String::from_utf8_lossy(&text).into_owned();
    let line = "jacinthfall_requests_total{route=\"r-a\",outcome=\"success\"} 1";
    assert!(text.contains(line), "{text}");
    assert!(text.contains("jacinthfall_request_seconds_bucket"), "{text}");
    assert!(text.contains("# HELP jacinthfall_requests_total"), "{text}");
    assert!(call::send("GET", site.nodes[0].addresses, "/metrics", None, None).is_some());
}

#[test]
fn buffered_log_lines_are_written_before_the_process_exits() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);

    site.nodes[0].process.terminate();
    assert!(site.nodes[0].process.wait().success());

    let lines = site.nodes[0].process.remaining_lines();
    let last = lines.last().expect("lines");
    assert!(last.contains("event=stopped in_hand=0"), "{last}");
}
