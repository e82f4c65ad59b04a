//! Sends requests to nodes over HTTP/1.1.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use oxhttp::model::{Body, Method, Request, Response};
use serde::de::DeserializeOwned;

use crate::api::{Addresses, Answer, Ask, Refusal};

/// Timeout of each step of a request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Reply of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer, possibly partial.
    Answered(Answer),
    /// A refusal.
    Refused(Refusal),
}

/// Why a request got no usable reply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be established.
    #[error("no connection: {0}; check that the node runs")]
    Connect(io::Error),
    /// The connection failed.
    #[error("connection failed: {0}; the request may have run")]
    Broken(io::Error),
    /// The response violates the contract.
    #[error("response with status {status} violates the contract: {message}; see docs/API.md")]
    Contract {
        /// Status code.
        status: u16,
        /// What is wrong with the body.
        message: String,
    },
}

/// Sends a request to the node at `address`.
///
/// # Errors
///
/// Any [`Error`].
pub fn ask(address: SocketAddr, ask: &Ask) -> Result<Outcome, Error> {
    let body = serde_json::to_vec(ask).expect("an ask has string keys only");
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/v1/query"))
        .header(CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .expect("a request built from valid parts is well formed");
    let response = send(request)?;
    match response.status().as_u16() {
        200 => parse(response).map(Outcome::Answered),
        _ => parse(response).map(Outcome::Refused),
    }
}

/// Fetches the addresses to use from the node at `address`.
///
/// # Errors
///
/// Any [`Error`].
pub fn addresses(address: SocketAddr) -> Result<Addresses, Error> {
    let request = Request::builder()
        .uri(format!("http://{address}/v1/addresses"))
        .body(Body::empty())
        .expect("a request built from valid parts is well formed");
    parse(send(request)?)
}

fn send(request: Request<Body>) -> Result<Response<Body>, Error> {
    let client = oxhttp::Client::new().with_global_timeout(TIMEOUT);
    client.request(request).map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => Error::Connect(error),
        _ => Error::Broken(error),
    })
}

fn parse<T: DeserializeOwned>(response: Response<Body>) -> Result<T, Error> {
    let status = response.status().as_u16();
    let body = response.into_body().to_vec().map_err(Error::Broken)?;
    serde_json::from_slice(&body)
        .map_err(|error| Error::Contract { status, message: error.to_string() })
}
