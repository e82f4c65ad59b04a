//! A gateway node, called at its address for metrics.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;

use super::Error;
use super::explain::Logs;
use super::metrics::Scrape;
use super::node::{Node, Reply, Side};
use crate::gateway::addresses::{METRICS, TRACE};

/// Reads the metrics of a node.
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

/// Asks a node for the lines that it keeps about a request.
///
/// # Errors
///
/// Any [`Error`]; that there are none is not one.
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
    node.get(Side::Callers, path)
}
