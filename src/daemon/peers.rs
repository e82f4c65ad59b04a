//! Connections to other nodes: one long-lived HTTP/2 stream of frames to each.
//!
//! Frames to one node keep their order. They are lost when its queue is full or
//! its connection breaks; every protocol between nodes must tolerate that.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use jacinthfall_core::id;
use jacinthfall_net::client::Client;
use jacinthfall_net::server::{Handler, Request, Response};
use jacinthfall_wire::Envelope;
use metrics::counter;
use tokio::runtime::Handle;
use tokio::sync::{OnceCell, mpsc};

use super::context::Context;
use super::receive;
use crate::util::lock::lock;

/// HTTP path of the stream of frames.
const FRAMES_PATH: &str = "/frames";

/// Header for the token that all nodes share.
const TOKEN_HEADER: &str = "x-jacinthfall-token";

/// Maximum number of frames queued for one node; further ones are dropped.
const QUEUE_CAPACITY: usize = 1_024;

/// Delay before reconnecting after a connection failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Streams to all other nodes.
#[derive(Debug)]
pub struct Peers {
    runtime: Handle,
    token: HeaderValue,
    links: Mutex<BTreeMap<id::Name, Link>>,
}

/// Address of a node and queue of the frames to it.
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Bytes>,
}

impl Peers {
    /// Creates the table without any connection.
    #[must_use]
    pub fn open(runtime: Handle, token: HeaderValue) -> Peers {
        Peers { runtime, token, links: Mutex::default() }
    }

    /// Sets the address of a node. Opens a new stream if the node is new or its address
    /// changed.
    pub fn set_address(&self, node: &id::Name, address: SocketAddr) {
        let mut links = lock(&self.links);
        if links.get(node).is_some_and(|link| link.address == address) {
            return;
        }
        let (queue, frames) = mpsc::channel(QUEUE_CAPACITY);
        links.insert(node.clone(), Link { address, queue });
        self.runtime.spawn(run_stream(address, self.token.clone(), frames));
    }

    /// Removes every node for which `is_live` is false and closes its stream.
    pub fn retain(&self, is_live: impl Fn(&id::Name) -> bool) {
        lock(&self.links).retain(|node, _| is_live(node));
    }

    /// Queues an encoded envelope for a node. Drops it if the node is unknown or its
    /// queue is full.
    pub fn send(&self, node: &id::Name, frame: Bytes) {
        let links = lock(&self.links);
        let queued = links.get(node).is_some_and(|link| link.queue.try_send(frame).is_ok());
        if queued {
            counter!("jacinthfall_peer_frames_sent_total").increment(1);
        } else {
            counter!("jacinthfall_peer_frames_dropped_total").increment(1);
        }
    }
}

/// Sends the queued frames of a node, reconnecting when the connection fails, until the
/// queue is closed.
async fn run_stream(address: SocketAddr, token: HeaderValue, mut frames: mpsc::Receiver<Bytes>) {
    let headers = [(TOKEN_HEADER, token)];
    loop {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, Client::open(address)).await;
        if let Ok(Ok(client)) = opened
            && client.stream(FRAMES_PATH, &headers, &mut frames).await.is_ok()
        {
            return;
        }
        if frames.is_closed() && frames.is_empty() {
            return;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Handler of the streams of frames from other nodes.
#[derive(Debug)]
pub struct Frames {
    /// Context of the node, once it is open. Streams that arrive earlier are closed.
    pub context: Arc<OnceCell<Arc<Context>>>,
}

impl Handler for Frames {
    async fn handle(&self, _request: Request) -> Option<Response> {
        Some(Response::new(
            http::StatusCode::NOT_FOUND,
            "this listener serves only streams of frames",
        ))
    }

    fn is_stream(&self, path: &str) -> bool {
        path == FRAMES_PATH
    }

    async fn stream(&self, request: Request, mut chunks: mpsc::Receiver<Bytes>) {
        let Some(context) = self.context.get() else { return };
        let expected = context.settings.peers.token.as_bytes();
        let token = request.headers.get(TOKEN_HEADER).map(HeaderValue::as_bytes);
        if !token.is_some_and(|token| constant_time_eq(token, expected)) {
            counter!("jacinthfall_peer_rejected_total").increment(1);
            return;
        }
        let mut buffer = Vec::new();
        while let Some(chunk) = chunks.recv().await {
            buffer.extend_from_slice(&chunk);
            if !handle_envelopes(context, &mut buffer) {
                return;
            }
        }
    }
}

/// Handles and removes every complete envelope in `buffer`. Returns `false` if the stream
/// is malformed.
fn handle_envelopes(context: &Context, buffer: &mut Vec<u8>) -> bool {
    loop {
        match jacinthfall_wire::split_first(buffer) {
            Ok(Some(envelope)) => receive::handle(context, envelope),
            Ok(None) => return true,
            Err(error) => {
                counter!("jacinthfall_peer_frames_malformed_total").increment(1);
                log::warn!("closing a malformed stream of frames: {error}");
                return false;
            }
        }
    }
}

/// Compares secrets of equal length in constant time, so that response times don't reveal
/// where they differ.
#[must_use]
pub fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let difference = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    difference == 0
}

/// Encodes a frame of this node and queues it for `to`.
pub fn send(context: &Context, to: &id::Name, frame: jacinthfall_wire::Frame) {
    let stamp = lock(&context.timeline).stamp(context.clock.wall());
    let envelope = Envelope { from: context.origin.clone(), stamp, frame };
    match jacinthfall_wire::encode(&envelope) {
        Ok(bytes) => context.peers.send(to, bytes.into()),
        Err(error) => {
            counter!("jacinthfall_peer_frames_dropped_total").increment(1);
            log::error!("dropping a frame to {to} that can't be encoded: {error}");
        }
    }
}
