//! Listening TCP sockets.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Binds a listener with `SO_REUSEADDR`, so that a restarted process can bind its address
/// at once.
///
/// # Errors
///
/// Any error of the operating system.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
