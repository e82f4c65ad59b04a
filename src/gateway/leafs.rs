//! Edge towards leafs: kept HTTP/1.1 connections, one request at a time on each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jacinthfall_adapter::header;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Ending, Key, Report};
use jacinthfall_dispatch::flight::{Outcome, Reply};
use jacinthfall_net::stream;
use metrics::counter;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use super::hub::Hub;
use crate::util::lock::lock;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that a request waits for a connection.
const CONNECTION_WAIT: Duration = Duration::from_millis(15);

/// Idle time of connections to leafs that don't state theirs.
const DEFAULT_IDLE: Duration = Duration::from_millis(1_000);

/// Time before a leaf's idle timeout at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// Time after which a further idle connection to the same leaf is closed. Leafs limit
/// the connections of all nodes together, those of nodes that lost power included.
const SURPLUS_IDLE: Duration = Duration::from_millis(1_000);

/// Time after connecting in which a leaf that has too many connections resets it.
const SETTLE: Duration = Duration::from_millis(4);

/// Largest response that is taken from a leaf, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

type Sender = http1::SendRequest<Full<Bytes>>;

/// A caller's request as it is passed on.
#[derive(Debug)]
pub struct Outbound {
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: Uri,
    /// Headers that concern the whole way.
    pub headers: HeaderMap,
    /// Id of the caller's attempt.
    pub id: HeaderValue,
    /// Body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Time that the caller had spent on earlier attempts.
    pub spent: Duration,
    /// Usual response time of such requests.
    pub usual: Duration,
}

/// Removes the headers that concern one connection only.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// A connection that no request uses.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    /// When it was last used.
    used: Time,
    /// When it is no longer used.
    until: Time,
}

#[derive(Debug, Default)]
struct Lane {
    idle: Vec<Idle>,
    /// Connections, idle ones included.
    open: usize,
    freed: Arc<Notify>,
}

/// Connections to all leafs.
#[derive(Debug, Default)]
pub struct Pool {
    lanes: Arc<Mutex<HashMap<Key, Lane>>>,
}

/// Counts a connection for as long as it lives.
#[derive(Debug)]
struct Slot {
    lanes: Arc<Mutex<HashMap<Key, Lane>>>,
    key: Key,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut lanes = lock(&self.lanes);
        if let Some(lane) = lanes.get_mut(&self.key) {
            lane.open = lane.open.saturating_sub(1);
            lane.freed.notify_one();
            if lane.open == 0 && lane.idle.is_empty() {
                lanes.remove(&self.key);
            }
        }
    }
}

impl Pool {
    /// Whether there is any connection to a leaf.
    #[must_use]
    pub fn is_open(&self, key: Key) -> bool {
        lock(&self.lanes).get(&key).is_some_and(|lane| lane.open > 0)
    }

    /// Closes the idle connections to a leaf that is no longer used.
    pub fn close(&self, key: Key) {
        let mut lanes = lock(&self.lanes);
        let idle = lanes.get_mut(&key).map(|lane| std::mem::take(&mut lane.idle));
        if lanes.get(&key).is_some_and(|lane| lane.open == 0) {
            lanes.remove(&key);
        }
        drop(lanes);
        drop(idle);
    }

    /// Closes connections that were idle for too long.
    pub fn expire(&self, now: Time) {
        let mut expired = Vec::new();
        for lane in lock(&self.lanes).values_mut() {
            let newest = lane.idle.len().saturating_sub(1);
            let mut kept = Vec::with_capacity(lane.idle.len());
            for (position, idle) in std::mem::take(&mut lane.idle).into_iter().enumerate() {
                let surplus = position < newest && now.since(idle.used) > SURPLUS_IDLE;
                if surplus || idle.until <= now || idle.sender.is_closed() {
                    expired.push(idle);
                } else {
                    kept.push(idle);
                }
            }
            lane.idle = kept;
        }
        drop(expired);
    }

    /// The connection that was used last, if one is free.
    fn take(&self, key: Key, now: Time) -> Option<Sender> {
        let mut lanes = lock(&self.lanes);
        let lane = lanes.get_mut(&key)?;
        while let Some(idle) = lane.idle.pop() {
            if idle.until > now && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }

    /// Reserves a place for a new connection.
    fn reserve(&self, key: Key, limit: usize) -> Option<Slot> {
        let mut lanes = lock(&self.lanes);
        let lane = lanes.entry(key).or_default();
        if lane.open >= limit {
            return None;
        }
        lane.open += 1;
        Some(Slot { lanes: Arc::clone(&self.lanes), key })
    }

    fn put(&self, key: Key, sender: Sender, now: Time, idle: Duration) {
        let mut lanes = lock(&self.lanes);
        if let Some(lane) = lanes.get_mut(&key) {
            lane.idle.push(Idle { sender, used: now, until: now + idle });
            lane.freed.notify_one();
        }
    }

    fn freed(&self, key: Key) -> Arc<Notify> {
        Arc::clone(&lock(&self.lanes).entry(key).or_default().freed)
    }
}

/// Opens a first connection to a leaf, so that no request waits for it.
pub async fn warm(hub: Arc<Hub>, key: Key, address: SocketAddr) {
    if let Some(slot) = hub.pool.reserve(key, 1)
        && let Ok(sender) = dial(address, slot).await
    {
        hub.pool.put(key, sender, hub.now(), DEFAULT_IDLE);
    }
}

/// Opens a connection, or tells why the leaf took none.
async fn dial(address: SocketAddr, slot: Slot) -> Result<Sender, Ending> {
    let sender = connect(address, slot).await.map_err(|error| {
        log::debug!("can't connect to the leaf at {address}: {error}");
        Ending::Unreachable
    })?;
    tokio::time::sleep(SETTLE).await;
    if sender.is_closed() { Err(Ending::Crowded) } else { Ok(sender) }
}

async fn connect(
    address: SocketAddr,
    slot: Slot,
) -> Result<Sender, Box<dyn std::error::Error + Send + Sync>> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, stream::connect(address)).await??;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to a leaf ended: {error}");
        }
        drop(slot);
    });
    sender.ready().await?;
    Ok(sender)
}

/// A free connection to a leaf, kept or new, or why there is none.
async fn connection(
    hub: &Hub,
    key: Key,
    address: SocketAddr,
    limit: usize,
) -> Result<Sender, Ending> {
    let give_up = hub.instant(hub.now() + CONNECTION_WAIT);
    loop {
        if let Some(sender) = hub.pool.take(key, hub.now()) {
            return Ok(sender);
        }
        if let Some(slot) = hub.pool.reserve(key, limit) {
            return dial(address, slot).await;
        }
        let freed = hub.pool.freed(key);
        timeout_at(give_up, freed.notified()).await.map_err(|_| Ending::Busy)?;
    }
}

/// Notes the end of a send, also where its future is dropped.
struct Watch<'a> {
    hub: &'a Hub,
    key: Key,
    sent: Time,
    ending: Ending,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        let now = self.hub.now();
        counter!("jacinthfall_sends_total", "outcome" => self.ending.name()).increment(1);
        let change = self.hub.tables().fleet.record_end(now, self.key, self.sent, self.ending);
        if let Some(change) = change {
            self.hub.audit.leaf_changed(self.hub, self.key, self.ending, change);
        }
    }
}

/// Sends a request to a leaf that was chosen at `sent` and waits for its response.
pub async fn send(hub: &Hub, key: Key, outbound: &Outbound, sent: Time) -> Outcome {
    let mut watch = Watch { hub, key, sent, ending: Ending::Cancelled };
    let Some((id, address, limit)) = ({
        let tables = hub.tables();
        tables.fleet.leaf(key).map(|leaf| {
            let limit = tables.fleet.concurrency_limit(&leaf.entry.service);
            (leaf.id.clone(), leaf.entry.address, limit)
        })
    }) else {
        return Outcome::Unsent;
    };
    let mut sender = match connection(hub, key, address, limit).await {
        Ok(sender) => sender,
        Err(ending) => {
            watch.ending = ending;
            return Outcome::Unsent;
        }
    };
    let now = hub.now();
    if !hub.tables().fleet.is_usable(key) || now >= outbound.deadline {
        hub.pool.put(key, sender, now, DEFAULT_IDLE);
        return Outcome::Unsent;
    }
    let Some(request) = request(outbound, &id, now) else {
        return Outcome::Unsent;
    };
    let exchange = exchange(&mut sender, request);
    match timeout_at(hub.instant(outbound.deadline), exchange).await {
        Err(_) => {
            watch.ending = Ending::Silent;
            hub.pool.close(key);
            Outcome::Unknown
        }
        Ok(Err(Broken::Unsent)) => Outcome::Unsent,
        Ok(Err(Broken::Sent(reason))) => {
            log::debug!("leaf {id} broke off: {reason}");
            watch.ending = Ending::Failure;
            Outcome::Unknown
        }
        Ok(Ok(response)) => judge(&mut watch, outbound, sender, response),
    }
}

fn request(outbound: &Outbound, leaf: &str, now: Time) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = outbound.target.clone();
    *request.headers_mut() = outbound.headers.clone();
    let left = outbound.deadline.since(now).as_millis().max(1);
    let headers = request.headers_mut();
    headers.insert(header::DEADLINE_MS, HeaderValue::from_str(&left.to_string()).ok()?);
    headers.insert(header::EXPECTED_LEAF, HeaderValue::from_str(leaf).ok()?);
    Some(request)
}

/// Why there is no complete response.
enum Broken {
    /// Nothing was sent.
    Unsent,
    /// The request was sent, at least in part.
    Sent(String),
}

async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, Broken> {
    let response: Response<Incoming> = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => match error.take_message() {
            Some(_) => return Err(Broken::Unsent),
            None => return Err(Broken::Sent(error.error().to_string())),
        },
    };
    let (head, body) = response.into_parts();
    let body = http_body_util::Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|error| Broken::Sent(error.to_string()))?.to_bytes();
    Ok(Response::from_parts(head, body))
}

/// Decides what a complete response stands for, and keeps its connection.
fn judge(
    watch: &mut Watch<'_>,
    outbound: &Outbound,
    sender: Sender,
    response: Response<Bytes>,
) -> Outcome {
    let (hub, key) = (watch.hub, watch.key);
    let now = hub.now();
    let (head, body) = response.into_parts();
    let mut headers = head.headers;
    if headers.get(header::REQUEST_ID).is_some_and(|id| *id != outbound.id) {
        // It belongs to another request: the connection is out of step.
        watch.ending = Ending::Failure;
        return Outcome::Unknown;
    }
    if let Some(load) = headers.get(header::LOAD).and_then(|load| load.to_str().ok())
        && let Some(load) = header::load(load)
    {
        let report = Report { requests: load.running + load.waiting, at: now };
        hub.tables().fleet.record_report(key, report);
    }
    if let Some(idle) = idle_time(&headers) {
        hub.pool.put(key, sender, now, idle);
    }
    let not_run = headers.contains_key(header::NOT_RUN);
    let receipt = headers.get(header::RECEIPT).cloned();
    let encoded = headers.contains_key(CONTENT_ENCODING);
    strip(&mut headers);
    let reply = Reply { status: head.status, headers, receipt, body };
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        watch.ending = Ending::Misdirected;
        return Outcome::NotRun;
    }
    if not_run {
        watch.ending = Ending::Rejected;
        return Outcome::NotRun;
    }
    if head.status.is_success() && !encoded && reply.receipt.is_some() {
        let took = now.since(watch.sent);
        watch.ending = Ending::Success { took, usual: outbound.usual };
        return Outcome::Success(reply);
    }
    watch.ending = Ending::Failure;
    if head.status.is_success() || reply.receipt.is_none() {
        return Outcome::Unknown;
    }
    Outcome::Failure(reply)
}

/// How long the connection of a response may be kept; `None` if not at all.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    if closes.flat_map(|value| value.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close")) {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let stated = stated.and_then(|value| {
        let fields = value.split(',').filter_map(|field| field.trim().split_once('='));
        let mut timeouts = fields.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
        timeouts.next()?.1.trim().parse::<u64>().ok()
    });
    let idle = stated.map_or(DEFAULT_IDLE, Duration::from_secs);
    Some(idle.saturating_sub(IDLE_MARGIN))
}
