//! HTTP/1.1 listener that both the callers' and the operators' edge use.

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
    /// Connections; further ones wait to be accepted.
    pub connections: usize,
    /// Time that a connection may be idle or stalled.
    pub stall: Duration,
}

/// Binds a listener and serves it on threads of its own until the process ends.
///
/// The library does not tell which port it got, so a free port is first bound
/// without listening on it. The system gives such a port to no one who does not
/// ask for it by number, and lets the library bind it as both set `SO_REUSEADDR`.
///
/// # Errors
///
/// Any error of the operating system while binding.
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

/// Why a body could not be used.
#[derive(Debug)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It could not be read to its end.
    Read(io::Error),
    /// It is not the JSON that was expected; names the key.
    Json(String),
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
///
/// Any [`BodyError`].
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

/// Adds `Retry-After`, rounded up to whole seconds as HTTP demands (RFC 9110, 10.2.3).
pub fn set_retry_after(response: &mut Response<Body>, delay: Duration) {
    let seconds = delay.as_millis().div_ceil(1_000).max(1);
    if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// The first value of a key in the query part of the request's address.
pub fn query_parameter(request: &Request<Body>, key: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values.find(|(name, _)| *name == key).map(|(_, value)| value.to_owned())
}
