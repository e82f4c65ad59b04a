//! Requests of callers that one node serves on behalf of another, which has lost its links to the
//! leafs concerned.
//!
//! A request goes to one other node at most and never further. Nodes keep the connections for it
//! open, one to each node that they use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bincode::config::standard;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use jacinthfall_core::id;
use jacinthfall_dispatch::round_trip::Connection;
use jacinthfall_net::client::Client;
use jacinthfall_net::server;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout, timeout_at};

use super::Error;
use crate::gateway::callers;
use crate::gateway::hub::Hub;
use crate::util::lock::lock;

/// HTTP path of a request that is served on behalf of another node.
pub(super) const PATH: &str = "/relay";

/// Header of a relayed request whose organisation the node that relays it has determined. Builds
/// without organisations don't send it, and pass on what the caller sent as `X-Tenant`; callers
/// can't set it, because their headers are in the body.
const IDENTIFIED: &str = "jacinthfall-identified";

/// Maximum time to connect to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A header of a request or response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Field {
    name: String,
    value: Bytes,
}

/// Encodes headers.
#[must_use]
pub fn encode_headers(headers: &HeaderMap) -> Vec<Field> {
    let fields = headers.iter();
    fields
        .map(|(name, value)| Field {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Decodes headers; `None` if one of them is malformed.
#[must_use]
pub fn decode_headers(fields: &[Field]) -> Option<HeaderMap> {
    let decode = |field: &Field| {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(&field.value).ok()?))
    };
    let mut headers = HeaderMap::new();
    for field in fields {
        let (name, value) = decode(field)?;
        headers.append(name, value);
    }
    Some(headers)
}

/// A request of a caller that another node is asked to serve.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// Name of the node that the caller sent it to.
    pub node: id::Name,
    /// Version of the configuration that must be in force, or a later one: that of the latest
    /// request of the node that asks.
    pub version: u64,
    /// Version in force at the node that asks, which knows a route for the request.
    pub known_version: u64,
    /// Service that was chosen for a route that splits its requests over several.
    pub service: Option<id::Name>,
    /// Host that selects the route.
    pub host: String,
    /// HTTP method.
    pub method: String,
    /// Path and query string.
    pub target: String,
    /// End-to-end headers.
    pub headers: Vec<Field>,
    /// Body.
    pub body: Bytes,
    /// Time until the answer must be back.
    pub left: Duration,
    /// Time since a node got the request from the caller.
    pub elapsed: Duration,
    /// Time that a message takes to the caller and back, the way between the nodes not included.
    pub round_trip: Duration,
    /// Whether the request was the first one on the caller's connection.
    pub connection: Connection,
}

/// Why a node turns a request away. No leaf was given it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Its configuration is older than the one that the query names.
    Behind,
    /// It doesn't reach leafs of a service either.
    Lost,
    /// It serves too many requests of other nodes.
    Busy,
    /// The query can't be understood.
    Malformed,
}

impl Refusal {
    /// Returns the name that is written to the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Refusal::Behind => "behind",
            Refusal::Lost => "lost",
            Refusal::Busy => "busy",
            Refusal::Malformed => "malformed",
        }
    }
}

/// The answer to a caller's request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Version of the configuration in force at the node that served it.
    pub version: u64,
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Field>,
    /// Body.
    pub body: Bytes,
}

/// Reply to a [`Query`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The request was served, refused or failed.
    Answer(Answer),
    /// It wasn't and won't be given to any leaf by this node.
    Refused(Refusal),
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No leaf was given the request.
    #[error("not sent: {0}; another node may serve the request")]
    NotRun(String),
    /// The node may have served it.
    #[error("the answer is lost: {0}; the request may have run")]
    Unknown(String),
}

/// State of the connection to one node.
#[derive(Debug, Default)]
enum State {
    /// None was opened yet.
    #[default]
    Closed,
    /// It is open, unless the other side has closed it.
    Open(Client),
    /// It could not be opened at this time.
    Failed(Instant),
}

/// Connection to one node; the lock is held while it is opened, so that one is enough.
type Link = Arc<tokio::sync::Mutex<State>>;

/// Connections to the nodes that serve requests on behalf of this one.
///
/// Lock: the one of the map is held only to find or drop a link.
#[derive(Debug, Default)]
pub struct Links(Mutex<HashMap<SocketAddr, Link>>);

impl Links {
    /// Returns the connection to a node; opens one if there is none.
    async fn client(&self, address: SocketAddr) -> Result<Client, Error> {
        let link = Arc::clone(lock(&self.0).entry(address).or_default());
        let mut state = link.lock().await;
        match &*state {
            State::Open(client) if !client.is_closed() => return Ok(client.clone()),
            // Others have waited for the attempt that failed, and don't repeat it one by one.
            State::Failed(at) if at.elapsed() < CONNECT_TIMEOUT => return Err(Error::Connect),
            State::Open(_) | State::Failed(_) | State::Closed => {}
        }
        let opened = timeout(CONNECT_TIMEOUT, Client::open(address)).await;
        let opened = opened.map_err(|_| Error::Connect).and_then(|opened| Ok(opened?));
        *state = match &opened {
            Ok(client) => State::Open(client.clone()),
            Err(_) => State::Failed(Instant::now()),
        };
        opened
    }

    /// Drops the connection to a node. Requests in flight on it go on.
    pub fn close(&self, address: SocketAddr) {
        lock(&self.0).remove(&address);
    }

    /// Drops the connections to nodes that `is_known` doesn't hold for.
    pub fn retain(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        lock(&self.0).retain(|address, _| is_known(address));
    }

    /// Sends a request to a node and waits for the reply until `deadline`. Dropping the future
    /// cancels the request there. `is_identified` states that this node has determined the
    /// organisation of the request, and named it in its headers.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    pub async fn ask(
        &self,
        address: SocketAddr,
        query: &Query,
        is_identified: bool,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        let body = bincode::serde::encode_to_vec(query, standard())
            .map_err(|error| Failure::NotRun(error.to_string()))?;
        let client =
            self.client(address).await.map_err(|error| Failure::NotRun(error.to_string()))?;
        let identified = [(IDENTIFIED, HeaderValue::from_static("1"))];
        let headers = if is_identified { &identified[..] } else { &[] };
        let response = match timeout_at(deadline, client.post(PATH, headers, body.into())).await {
            Err(_) => return Err(Failure::Unknown("no answer before the deadline".to_owned())),
            Ok(Err(error @ jacinthfall_net::Error::Unsent(_))) => {
                return Err(Failure::NotRun(error.to_string()));
            }
            Ok(Err(error)) => return Err(Failure::Unknown(error.to_string())),
            Ok(Ok(response)) => response,
        };
        if response.status != StatusCode::OK {
            return Err(Failure::NotRun(Error::Rejected(response.status).to_string()));
        }
        let decoded = bincode::serde::decode_from_slice(&response.body, standard());
        decoded.map(|(reply, _)| reply).map_err(|error| Failure::Unknown(error.to_string()))
    }
}

/// Serves a request of a caller on behalf of another node.
pub(super) async fn respond(hub: &Arc<Hub>, request: &server::Request) -> server::Response {
    let decoded = bincode::serde::decode_from_slice::<Query, _>(&request.body, standard());
    let is_identified = request.headers.contains_key(IDENTIFIED);
    let reply = match decoded {
        Ok((query, _)) => callers::serve_relayed(hub, query, is_identified).await,
        Err(_) => Reply::Refused(Refusal::Malformed),
    };
    match bincode::serde::encode_to_vec(&reply, standard()) {
        Ok(body) => server::Response::new(StatusCode::OK, body),
        Err(error) => {
            log::error!("event=response_failed path={PATH} reason=\"{error}\"");
            // The request may have run, which the status of a refusal would deny.
            server::Response::new(StatusCode::OK, Bytes::new())
        }
    }
}
