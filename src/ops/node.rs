//! HTTP/1.1 client for the callers' and operators' listeners of a node.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode, header};
use oxhttp::Client;
use oxhttp::model::{Body, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Error;

/// Listener of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// The listener for callers.
    Callers,
    /// The listener for operators, which requires a token.
    Operators,
}

/// Reply of a node.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Vec<u8>,
}

/// Addresses and token for calls to a node.
#[derive(Clone, Debug, Default)]
pub struct Node {
    /// Address of the listener for callers.
    pub callers: Option<SocketAddr>,
    /// Address of the listener for operators.
    pub operators: Option<SocketAddr>,
    /// Token for the operators' listener.
    pub token: Option<String>,
    /// Timeout of each step of a call; unlimited if absent.
    pub timeout: Option<Duration>,
}

impl Node {
    /// Sends a `GET` request.
    ///
    /// # Errors
    ///
    /// The address or the token is not set, or no complete reply arrived.
    pub fn get(&self, listener: Listener, path: &str) -> Result<Reply, Error> {
        self.send(listener, Method::GET, path, Body::empty())
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    ///
    /// The address or the token is not set, or no complete reply arrived.
    ///
    /// # Panics
    ///
    /// Never: all messages of the API serialize to JSON.
    pub fn send_json(
        &self,
        listener: Listener,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Reply, Error> {
        let body = serde_json::to_vec(body).expect("API messages have string keys only");
        self.send(listener, method, path, Body::from(body))
    }

    fn send(
        &self,
        listener: Listener,
        method: Method,
        path: &str,
        body: Body,
    ) -> Result<Reply, Error> {
        let (address, token) = self.endpoint(listener)?;
        let uri = format!("http://{address}{path}");
        let mut request = Request::builder().method(method).uri(uri);
        if let Some(token) = token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.header(header::CONTENT_TYPE, "application/json").body(body);
        let request = request.map_err(|error| {
            classify(address, io::Error::new(io::ErrorKind::InvalidInput, error))
        })?;
        let client = self
            .timeout
            .map_or_else(Client::new, |timeout| Client::new().with_global_timeout(timeout));
        let response = client.request(request).map_err(|source| classify(address, source))?;
        let status = response.status();
        let body = response.into_body().to_vec();
        let body = body.map_err(|source| Error::Broken { address, source })?;
        if listener == Listener::Operators && status == StatusCode::UNAUTHORIZED {
            return Err(Error::Token);
        }
        Ok(Reply { status, body })
    }

    fn endpoint(&self, listener: Listener) -> Result<(SocketAddr, Option<&str>), Error> {
        match listener {
            Listener::Callers => Ok((self.callers.ok_or(Error::NoCallers)?, None)),
            Listener::Operators => {
                let address = self.operators.ok_or(Error::NoOperators)?;
                let token = self.token.as_deref().ok_or(Error::NoToken)?;
                Ok((address, Some(token)))
            }
        }
    }
}

impl Reply {
    /// Parses the body of a reply with status 200.
    ///
    /// # Errors
    ///
    /// [`Error::Status`] or [`Error::Body`].
    pub fn ok<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if self.status != StatusCode::OK {
            return Err(self.unexpected());
        }
        self.json()
    }

    /// Parses the body, regardless of the status.
    ///
    /// # Errors
    ///
    /// [`Error::Body`].
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns an error with the status and the body of the reply.
    #[must_use]
    pub fn unexpected(&self) -> Error {
        let text = String::from_utf8_lossy(&self.body).trim().to_owned();
        Error::Status { status: self.status, text }
    }
}

/// Classifies an error by whether the request can have been sent.
fn classify(address: SocketAddr, source: io::Error) -> Error {
    match source.kind() {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable
        | io::ErrorKind::AddrNotAvailable
        | io::ErrorKind::InvalidInput => Error::Unreachable { address, source },
        _ => Error::Broken { address, source },
    }
}
