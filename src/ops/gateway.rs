//! Requests to the metrics address of a gateway node.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;

use super::Error;
use super::explain::Logs;
use super::metrics::Scrape;
use super::node::{Listener, Node, Reply};
use crate::gateway::addresses::{METRICS, TRACE};

/// Reads a node's metrics.
///
/// # Errors
///
/// Any [`Error`].
pub fn scrape(address: SocketAddr, timeout: Duration) -> Result<Scrape, Error> {
    let reply = get(address, timeout, METRICS)?;
    if reply.status != StatusCode::OK {
        return Err(reply.unexpected());
    }
    Ok(Scrape::parse(&String::from_utf8_lossy(&reply.body)))
}

/// Reads the log lines that a node keeps in memory about a request; empty if it has none.
///
/// # Errors
///
/// Any [`Error`]. Status 404 means that the node has no lines and is not an error.
pub fn trace(address: SocketAddr, timeout: Duration, id: &str) -> Result<Logs, Error> {
    let reply = get(address, timeout, &format!("{TRACE}?id={id}"))?;
    let mut logs = Logs::default();
    match reply.status {
        StatusCode::OK => logs
            .read(&address.to_string(), reply.body.as_slice())
            .map_err(|source| Error::Broken { address, source })?,
        StatusCode::NOT_FOUND => {}
        _ => return Err(reply.unexpected()),
    }
    Ok(logs)
}

fn get(address: SocketAddr, timeout: Duration, path: &str) -> Result<Reply, Error> {
    let node = Node { callers: Some(address), timeout: Some(timeout), ..Node::default() };
    node.get(Listener::Callers, path)
}
