//! Callers that wait for a deadline, disconnect early or keep connections open.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_testkit::gateway::leaf::{Behaviour, Leaf};
use jacinthfall_testkit::gateway::site::{
    Request, Site, exchange, route, serving_leaf, try_exchange, wait_for,
};

use crate::support::serving;

#[test]
fn a_request_without_response_times_out_at_its_deadline() {
    let leaf = Leaf::spawn("i-1", Behaviour::Silent);
    let site = serving(&[route("unsafe")], &[("i-1", "a", &leaf)]);
    let start = Instant::now();

    let response = site.ask(0, &Request { deadline_ms: 300, ..Request::default() });

    assert_eq!(response.status, 504);
    assert!(start.elapsed() >= Duration::from_millis(250), "timed out before the deadline");
}

#[test]
fn a_request_is_cancelled_at_the_leaf_when_its_caller_disconnects() {
    let leaf = Leaf::spawn("i-1", Behaviour::Silent);
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    let mut stream = TcpStream::connect(site.nodes[0].callers).expect("the node listens");
    stream.write_all(Request::default().text().as_bytes()).expect("the node reads");
    wait_for("the leaf to run the request", || leaf.runs().len() == 1);

    drop(stream);

    wait_for("the node to close its connection to the leaf", || leaf.closed_connections() == 1);
}

#[test]
fn a_keep_alive_connection_serves_several_requests() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    let mut stream = TcpStream::connect(site.nodes[0].callers).expect("the node listens");

    for number in 0..5 {
        let text = format!(
            "GET /a/{number} HTTP/1.1\r\nHost: shop.example:80\r\nX-Request-Id: r-{number}\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).expect("the node reads");
        let mut response = Vec::new();
        let mut byte = [0];
        while !response.ends_with(b"\r\n\r\nok") {
            stream.read_exact(&mut byte).expect("a response");
            response.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&response).into_owned();
        assert!(text.contains(&format!("x-request-id: r-{number}\r\n")), "{text}");
    }
}

/// Sends two requests with the same timeout over one connection.
fn ask_twice(site: &Site, node: usize, deadline_ms: u64) {
    let first = format!(
        "GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r-first\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n\r\n"
    );
    let second = Request { id: "r-second", deadline_ms, ..Request::default() }.text();
    let responses = exchange(site.nodes[node].callers, (first + &second).as_bytes());
    assert!(String::from_utf8_lossy(&responses).contains("r-second"), "two responses");
}

/// Returns the time that a node takes its caller to have spent before a request.
fn spent_ms(site: &Site, node: usize, id: &str, deadline_ms: u64) -> Option<u64> {
    site.ask(node, &Request { id, deadline_ms, ..Request::default() });
    let request = format!("GET /trace?id={id} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let lines = try_exchange(site.nodes[node].addresses, request.as_bytes()).ok()?;
    let lines = String::from_utf8_lossy(&lines).into_owned();
    let spent = lines.split_once("spent_ms=")?.1.split_whitespace().next()?;
    spent.parse().ok()
}

#[test]
fn a_node_learns_from_another_one_what_callers_have_spent() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    site.start();
    site.wait_ready(1);
    assert_eq!(spent_ms(&site, 1, "r-before", 585), Some(0), "nothing is known of the route yet");

    ask_twice(&site, 0, 600);

    let mut attempt = 0;
    wait_for("the other node to know", || {
        attempt += 1;
        spent_ms(&site, 1, &format!("r-{attempt}"), 585) == Some(15)
    });
}

#[test]
fn a_node_that_starts_is_told_what_callers_have_spent_before() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    ask_twice(&site, 0, 600);
    // By then the node no longer spreads what it has observed.
    thread::sleep(Duration::from_secs(6));

    site.start();
    site.wait_ready(1);

    let mut attempt = 0;
    wait_for("the new node to know", || {
        attempt += 1;
        spent_ms(&site, 1, &format!("r-{attempt}"), 585) == Some(15)
    });
}
