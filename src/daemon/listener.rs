//! HTTP/1.1 listener for callers and operators, with helpers for requests and responses.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderValue, StatusCode, header};
use oxhttp::Server;
use oxhttp::model::{Body, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpSocket;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Time after which an idle or stalled connection is closed.
    pub stall: Duration,
}

/// Binds a listener and serves it on its own threads until the process ends.
///
/// The HTTP library does not report the port that it bound. Therefore a socket that
/// does not listen reserves a free port first. The operating system assigns the reserved
/// port to nobody who asks for any free port, but the library can bind it by number
/// because both sockets set `SO_REUSEADDR`.
///
/// # Errors
///
/// Returns the operating system's error if the address can't be bound.
pub fn bind(
    listen: SocketAddr,
    limits: Limits,
    serve: impl Fn(&mut Request<Body>) -> Response<Body> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let reserved = reserve_port(listen)?;
    let address = reserved.local_addr()?;
    Server::new(serve)
        .with_global_timeout(limits.stall)
        .with_max_concurrent_connections(limits.connections)
        .bind(address)
        .spawn()?;
    Ok(address)
}

fn reserve_port(listen: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    Ok(socket)
}

/// Why the body of a request was rejected.
#[derive(Debug)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body could not be read to its end.
    Read(io::Error),
    /// The body is not valid JSON or does not match the expected type; holds a message
    /// that names the key.
    Json(String),
}

/// Reads and parses a JSON body of at most `limit` bytes.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body can't be read or parsed.
pub fn read_json<T: DeserializeOwned>(
    request: &mut Request<Body>,
    limit: usize,
) -> Result<T, BodyError> {
    let declared = request.headers().get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|length| length.to_str().ok()?.parse::<u64>().ok());
    let limit_bytes = limit as u64;
    if declared.is_some_and(|declared| declared > limit_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut bytes = Vec::new();
    let body = request.body_mut();
    body.take(limit_bytes + 1).read_to_end(&mut bytes).map_err(BodyError::Read)?;
    if bytes.len() > limit {
        return Err(BodyError::TooLarge);
    }
    let mut json = serde_json::Deserializer::from_slice(&bytes);
    let value = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| BodyError::Json(format!("key `{}`: {}", error.path(), error.inner())))?;
    json.end().map_err(|error| BodyError::Json(error.to_string()))?;
    Ok(value)
}

/// Builds a JSON response.
pub fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(body).expect("API messages have string keys only");
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Builds a plain text response.
pub fn text_response(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(Body::from(body.into()));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Sets the `Retry-After` header, rounded up to whole seconds because HTTP allows no
/// fractions (RFC 9110, 10.2.3).
pub fn set_retry_after(response: &mut Response<Body>, delay: Duration) {
    let seconds = delay.as_millis().div_ceil(1_000).max(1);
    if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Returns the first value of `key` in the query string of the request's URI, without
/// percent-decoding.
pub fn query_parameter(request: &Request<Body>, key: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values.find(|(name, _)| *name == key).map(|(_, value)| value.to_owned())
}
