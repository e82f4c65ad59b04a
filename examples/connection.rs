//! Measures the cost of a new connection per request at a callers' listener.
//!
//! The HTTP library's client closes its connection after each request, and its server starts
//! a thread per connection. The example sends the same request to a no-op handler in three
//! ways, one after the other: with the library's client, over a new plain socket per request,
//! and over a persistent plain socket.
//!
//! Usage: `cargo run --release --example connection`

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::StatusCode;
use jacinthfall::daemon::listener::{self, Limits};
use oxhttp::model::{Body, Request};

/// Measured requests per way.
const REQUESTS: u32 = 5_000;

/// Unmeasured warm-up requests per way.
const WARM_UP_REQUESTS: u32 = 500;

/// Last bytes of every response.
const RESPONSE_END: &[u8] = b"that is all";

/// Size of a read buffer, in bytes.
const BUFFER_BYTES: usize = 4_096;

fn main() -> io::Result<()> {
    let limits = Limits { connections: 64, stall: Duration::from_secs(10) };
    let reply = |_: &mut Request<Body>| listener::text_response(StatusCode::OK, "that is all");
    let address = listener::bind("127.0.0.1:0".parse().expect("an address"), limits, reply)?;
    measure("library's client", || ask_library(address))?;
    measure("new socket per request", || ask_socket(&mut connect(address)?, address))?;
    let mut persistent = connect(address)?;
    measure("persistent socket", || ask_socket(&mut persistent, address))
}

fn measure(name: &str, mut ask: impl FnMut() -> io::Result<()>) -> io::Result<()> {
    let mut took = Histogram::<u64>::new(3).expect("the digits are in bounds");
    for number in 0..WARM_UP_REQUESTS + REQUESTS {
        let start = Instant::now();
        ask()?;
        if number >= WARM_UP_REQUESTS {
            let ns = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
            took.record(ns).expect("an auto-resizing histogram accepts any value");
        }
    }
    let us = |quantile| took.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{name:<24} p50 {:>7.1} us  p99 {:>7.1} us  mean {:>7.1} us",
        us(0.5),
        us(0.99),
        took.mean() / 1_000.0
    );
    Ok(())
}

fn ask_library(address: SocketAddr) -> io::Result<()> {
    let request = Request::builder().uri(format!("http://{address}/")).body(Body::empty());
    let request = request.expect("a well-formed request");
    let body = oxhttp::Client::new().request(request)?.into_body().to_vec()?;
    assert_eq!(body, RESPONSE_END);
    Ok(())
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn ask_socket(stream: &mut TcpStream, address: SocketAddr) -> io::Result<()> {
    stream.write_all(format!("GET / HTTP/1.1\r\nhost: {address}\r\n\r\n").as_bytes())?;
    let mut response = Vec::new();
    let mut buffer = [0; BUFFER_BYTES];
    while !response.ends_with(RESPONSE_END) {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        response.extend_from_slice(&buffer[..count]);
    }
    Ok(())
}
