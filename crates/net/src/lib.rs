//! HTTP/2 client and server edges on a small tokio runtime, and the clocks of a process.
//!
//! [`client::Client`] is one connection that carries many requests at a time;
//! dropping a request's future resets its stream and leaves the connection
//! open. [`server::Server`] accepts connections and hands requests to a
//! [`server::Handler`]. The runtime serves sockets only: handlers that compute
//! pass the work on to threads of their own.

use std::io;

use thiserror::Error;
use tokio::runtime::{Builder, Runtime};

pub mod client;
pub mod clock;
pub mod server;
pub mod stream;

/// Largest body that is accepted in either direction, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Opens a runtime with `threads` threads for sockets.
///
/// # Errors
///
/// Any error of the operating system while starting threads.
///
/// ```
/// let runtime = jacinthfall_net::runtime(1).unwrap();
/// assert_eq!(runtime.block_on(async { 7 }), 7);
/// ```
pub fn runtime(threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).thread_name("net").enable_all().build()
}

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection could be had, or the peer proved that it ignored the request.
    #[error("request was not sent: {0}; check that the peer runs and its address is right")]
    Unsent(String),
    /// The stream or connection broke after the request was sent.
    #[error("connection broke after sending: {0}; the peer may have acted on the request")]
    Broken(String),
    /// The response is larger than allowed.
    #[error("response exceeds {MAX_BODY_BYTES} bytes; ask for less")]
    TooLarge,
}
