//! Outgoing TCP connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Connects to `address` with `TCP_NODELAY` and keepalive probes, which close the
/// connection if the peer no longer responds.
///
/// # Errors
///
/// Any error of the operating system.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}
