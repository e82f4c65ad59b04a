//! Measures what a connection for each request costs at a callers' listener.
//!
//! The HTTP library's client closes its connection after each request, and its
//! server starts a thread for each connection. Three ways to send the same request
//! to a handler that does nothing, one after the other: the library's client, a
//! bare socket for each request, a bare socket that is kept.
//!
//! Usage: `cargo run --release --example connection`

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::StatusCode;
use jacinthfall::daemon::listener::{self, Limits};
use oxhttp::model::{Body, Request};

/// Requests of each way that are measured.
const REQUESTS: u32 = 5_000;

/// Requests of each way before that.
const WARM_UP: u32 = 500;

/// Last bytes of every response.
const END: &[u8] = b"that is all";

/// Size of a read buffer, in bytes.
const BUFFER: usize = 4_096;

fn main() -> io::Result<()> {
    let limits = Limits { connections: 64, stall: Duration::from_secs(10) };
    let reply = |_: &mut Request<Body>| listener::text_response(StatusCode::OK, "that is all");
    let address = listener::bind("127.0.0.1:0".parse().expect("an address"), limits, reply)?;
    measure("library's client", || ask_library(address))?;
    measure("socket for each request", || ask_socket(&mut connect(address)?, address))?;
    let mut kept = connect(address)?;
    measure("socket that is kept", || ask_socket(&mut kept, address))
}

fn measure(name: &str, mut ask: impl FnMut() -> io::Result<()>) -> io::Result<()> {
    let mut took = Histogram::<u64>::new(3).expect("the digits are in bounds");
    for number in 0..WARM_UP + REQUESTS {
        let start = Instant::now();
        ask()?;
        if number >= WARM_UP {
            let ns = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
            took.record(ns).expect("a histogram that resizes takes any value");
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
    assert_eq!(body, END);
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
    let mut buffer = [0; BUFFER];
    while !response.ends_with(END) {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        response.extend_from_slice(&buffer[..count]);
    }
    Ok(())
}
