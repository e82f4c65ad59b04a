//! Callers that wait for a deadline, disconnect early or keep connections open.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use jacinthfall_testkit::gateway::leaf::{Behaviour, Leaf};
use jacinthfall_testkit::gateway::site::{Request, route, serving_leaf, wait_for};

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
