//! Communication with other nodes: heartbeats over UDP, and requests over HTTP/2.
//!
//! A heartbeat (sent in `heartbeats`, handled in `receiver`) states how far its sender knows the changes in the store, and
//! which configuration it has in force. A node that is behind asks the sender for the changes that
//! it lacks, in an exchange (`exchange`). A configuration may be large, so it is transferred
//! separately (`configuration`) and never delays changes of leafs. A node that has lost its links
//! to leafs has requests of its callers served by others ([`relay`]).

mod configuration;
mod exchange;
mod heartbeats;
mod quotas;
mod receiver;
pub mod relay;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bincode::config::standard;
use http::StatusCode;
use jacinthfall_dispatch::transfer;
use jacinthfall_net::client::Client;
use jacinthfall_net::progress::Limits;
use jacinthfall_net::server::{Handler, Request, Response, Server};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::hub::Hub;

/// Maximum number of connections from other nodes.
const MAX_CONNECTIONS: usize = 256;

/// Number of attempts to find a port that is free for both UDP and TCP.
const PORT_ATTEMPTS: usize = 16;

/// Maximum time to connect to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Limits on the wait for another node's response. A response that keeps arriving is not cut,
/// since what has arrived would have to be sent again.
const LIMITS: Limits =
    Limits { silence: Duration::from_millis(700), total: Duration::from_secs(10) };

/// Why a request to another node failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// No connection was established in time.
    #[error("not connected after {CONNECT_TIMEOUT:?}; check that the node is running")]
    Connect,
    /// The request or the response was lost.
    #[error(transparent)]
    Net(#[from] jacinthfall_net::Error),
    /// The other node rejected the request.
    #[error("the node answered {0}; check that it runs the same release")]
    Rejected(StatusCode),
    /// The request can't be encoded.
    #[error("the request can't be encoded: {0}; report this as a defect")]
    Encode(#[from] bincode::error::EncodeError),
    /// The response can't be decoded.
    #[error("the response can't be decoded: {0}; check that the node runs the same release")]
    Decode(#[from] bincode::error::DecodeError),
    /// A piece of a configuration can't be used.
    #[error(transparent)]
    Piece(#[from] transfer::Error),
    /// A configuration can't be decompressed.
    #[error(
        "the configuration can't be decompressed: {0}; check that the node runs the same release"
    )]
    Unpack(#[from] io::Error),
}

/// Connection to another node.
struct Peer(Client);

impl Peer {
    /// Connects to a node.
    async fn open(address: SocketAddr) -> Result<Peer, Error> {
        let opened = timeout(CONNECT_TIMEOUT, Client::open(address)).await;
        Ok(Peer(opened.map_err(|_| Error::Connect)??))
    }

    /// Sends a request and waits for the response.
    async fn ask<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &impl Serialize,
    ) -> Result<T, Error> {
        let body = bincode::serde::encode_to_vec(query, standard())?;
        let response = self.0.post_within(path, &[], body.into(), LIMITS).await?;
        if response.status != StatusCode::OK {
            return Err(Error::Rejected(response.status));
        }
        let (decoded, _) = bincode::serde::decode_from_slice(&response.body, standard())?;
        Ok(decoded)
    }
}

/// Answers the requests of other nodes once the hub is set.
struct Responder(Arc<OnceLock<Arc<Hub>>>);

impl Handler for Responder {
    async fn handle(&self, request: Request) -> Option<Response> {
        let hub = self.0.get()?;
        let response = match request.path.as_str() {
            exchange::PATH => respond(&request, |query| exchange::collect_updates(hub, &query)),
            exchange::EVACUATIONS_PATH => respond(&request, |()| exchange::state_evacuations(hub)),
            configuration::PATH => respond(&request, |query| configuration::reply(hub, &query)),
            relay::PATH => relay::respond(hub, &request).await,
            _ => Response::new(StatusCode::NOT_FOUND, "there is nothing at this path"),
        };
        Some(response)
    }
}

/// Decodes a request, and encodes the response to it.
fn respond<Q: DeserializeOwned, R: Serialize>(
    request: &Request,
    answer: impl FnOnce(Q) -> R,
) -> Response {
    let Ok((query, _)) = bincode::serde::decode_from_slice(&request.body, standard()) else {
        return Response::new(StatusCode::BAD_REQUEST, "the body of the request can't be decoded");
    };
    match bincode::serde::encode_to_vec(answer(query), standard()) {
        Ok(body) => Response::new(StatusCode::OK, body),
        Err(error) => {
            log::error!("event=response_failed path={} reason=\"{error}\"", request.path);
            Response::new(StatusCode::INTERNAL_SERVER_ERROR, "the response can't be encoded")
        }
    }
}

/// Sockets for other nodes: UDP and TCP on the same port.
pub struct Sockets {
    /// Answers requests until it is dropped.
    server: Server,
    datagrams: UdpSocket,
    /// Set by [`Sockets::spawn`]; requests are answered from then on.
    hub: Arc<OnceLock<Arc<Hub>>>,
}

impl Sockets {
    /// Binds the sockets; port 0 selects a port that is free for both.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub async fn bind(address: SocketAddr) -> io::Result<Sockets> {
        let mut attempts = if address.port() == 0 { PORT_ATTEMPTS } else { 1 };
        loop {
            attempts -= 1;
            let hub = Arc::new(OnceLock::new());
            let datagrams = UdpSocket::bind(address).await?;
            let responder = Responder(Arc::clone(&hub));
            match Server::bind(datagrams.local_addr()?, MAX_CONNECTIONS, responder).await {
                Ok(server) => return Ok(Sockets { server, datagrams, hub }),
                Err(error) if attempts == 0 => return Err(error),
                Err(_) => {}
            }
        }
    }

    /// Returns the address that the sockets are bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts to answer requests, to send and receive heartbeats, and to fetch what this node
    /// lacks. Requests are answered until the returned server is dropped.
    #[must_use]
    pub fn spawn(self, hub: Arc<Hub>) -> Server {
        let _ = self.hub.set(Arc::clone(&hub));
        let socket = Arc::new(self.datagrams);
        let (exchanges, requested) = mpsc::channel(1);
        tokio::spawn(heartbeats::send(Arc::clone(&hub), Arc::clone(&socket)));
        tokio::spawn(quotas::run(Arc::clone(&hub), Arc::clone(&socket)));
        tokio::spawn(receiver::run(Arc::clone(&hub), socket, exchanges));
        tokio::spawn(configuration::follow(Arc::clone(&hub)));
        tokio::spawn(exchange::catch_up(hub, requested));
        self.server
    }
}
