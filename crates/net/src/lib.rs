//! HTTP/2 client and server on a small tokio runtime, and the clocks of a process.
//!
//! [`client::Client`] is one connection that multiplexes requests. Dropping the future
//! of a request resets its stream and leaves the connection open. [`server::Server`]
//! accepts connections and passes requests to a [`server::Handler`]. The runtime is
//! only for socket I/O: handlers with CPU-bound work pass it to their own threads.

use std::io;

use tokio::runtime::{Builder, Runtime};

pub mod acceptor;
pub mod client;
pub mod clock;
pub mod head;
pub mod progress;
pub mod server;
pub mod stream;

/// Maximum size of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Starts a runtime with `threads` threads for socket I/O.
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

/// Error for a request that got no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was not sent, or the peer guarantees that it did not process it.
    #[error("request was not sent: {0}; check that the peer is running and its address is correct")]
    Unsent(String),
    /// The stream or connection broke after the request was sent.
    #[error("connection broke after sending: {0}; the peer may have processed the request")]
    Broken(String),
    /// The response was not complete in time. The peer may have processed the request.
    #[error(transparent)]
    Timeout(#[from] progress::Timeout),
    /// The body is larger than [`MAX_BODY_BYTES`].
    #[error("response exceeds {MAX_BODY_BYTES} bytes; request less data")]
    TooLarge,
}
