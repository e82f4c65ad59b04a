//! HTTP/1.1 client for leafs: one request at a time on each connection, and the classification
//! of responses. `pool` holds the connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use jacinthfall_adapter::header;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::attribution::{Attribution, Id};
use jacinthfall_dispatch::fleet::{Ending, Key};
use jacinthfall_dispatch::flight::{Outcome, Reply, Timing};
use jacinthfall_dispatch::quarantine::Fingerprint;
use jacinthfall_dispatch::round_trip::Connection;
use jacinthfall_route::organisation::Organisation;
use metrics::counter;
use tokio::time::timeout_at;

use super::connection::{self, Sender};
use super::crashes::{self, Break};
use super::hub::Hub;
use super::notices;
use super::pool::{self, DEFAULT_IDLE_TIMEOUT, DialError};

/// Maximum time that a request waits for a connection.
const MAX_CONNECTION_WAIT: Duration = Duration::from_millis(15);

/// Time before a leaf's idle timeout from which on a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// Headers that apply to a single connection (hop-by-hop) and aren't forwarded.
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

/// A caller's request in the form in which it is forwarded.
#[derive(Debug)]
pub struct Outbound {
    /// HTTP method.
    pub method: Method,
    /// Path and query string, as the caller sent them.
    pub target: Uri,
    /// Host that selects the route.
    pub host: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Request id from the caller; leafs echo it.
    pub id: HeaderValue,
    /// Request body.
    pub body: Bytes,
    /// When the caller stops waiting, and what else is known of its time.
    pub timing: Timing,
    /// Whether the request was the first one on its connection.
    pub connection: Connection,
    /// Median response time of the route when the request arrived.
    pub usual: Duration,
    /// What identifies the request when its caller sends it again, at any node.
    pub fingerprint: Fingerprint,
    /// Organisation of the caller; `None` if the caller is anonymous or the configuration has no
    /// organisations.
    pub organisation: Option<Arc<Organisation>>,
    /// Whether this node or the one that relayed the request has determined the organisation, so
    /// that `headers` have no key and name the organisation.
    pub is_identified: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

/// Removes the hop-by-hop headers, those named by `Connection` included, and
/// `Content-Length`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
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

/// Returns an idle or new connection to a leaf that may carry a request, or why there is none.
async fn acquire(
    hub: &Hub,
    key: Key,
    address: SocketAddr,
    limit: usize,
    id: Id,
) -> Result<Sender, Ending> {
    let give_up_at = hub.instant(hub.now() + MAX_CONNECTION_WAIT);
    loop {
        if let Some(sender) = hub.pool.pop_idle(key, hub.now(), id) {
            return Ok(sender);
        }
        if let Some(permit) = hub.pool.reserve(key, limit) {
            let started = hub.now();
            let dialled = pool::dial(address, permit).await;
            if dialled.is_ok() {
                let took = hub.now().since(started);
                hub.tables().fleet.record_connect(key, took);
            }
            return dialled.map_err(DialError::ending);
        }
        let released = hub.pool.released(key);
        // Idle connections that must not carry the request make room for one that may.
        hub.pool.close_oldest(key);
        timeout_at(give_up_at, released.notified()).await.map_err(|_| Ending::Busy)?;
    }
}

/// A send that counts as in flight to its leaf until this is dropped, whether or not it has begun:
/// a task that is aborted before it is first polled drops only what it owns.
#[derive(Debug)]
pub struct InFlight {
    hub: Arc<Hub>,
    key: Key,
    /// When the leaf was chosen.
    sent: Time,
    ending: Ending,
}

impl InFlight {
    /// Counts a send of a request that usually takes `usual` as in flight to a leaf.
    #[must_use]
    pub fn open(hub: &Arc<Hub>, key: Key, usual: Duration) -> InFlight {
        let sent = hub.now();
        let mut tables = hub.tables();
        tables.fleet.record_send(sent, key, usual);
        tables.parts.add(1);
        InFlight { hub: Arc::clone(hub), key, sent, ending: Ending::Cancelled }
    }

    /// Returns when the leaf was chosen.
    #[must_use]
    pub fn sent(&self) -> Time {
        self.sent
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let hub = &self.hub;
        let now = hub.now();
        counter!("jacinthfall_sends_total", "outcome" => self.ending.name()).increment(1);
        let change = hub.tables().fleet.record_end(now, self.key, self.sent, self.ending);
        if let Some(change) = change {
            let after = self.ending.name();
            hub.audit.log_leaf_change(hub.now(), &hub.tables, self.key, after, change);
        }
    }
}

/// Sends a request to the leaf of `in_flight` and waits for its response. Calls `before_write`
/// before anything is written to the connection.
pub async fn send(
    mut in_flight: InFlight,
    outbound: &Outbound,
    before_write: impl FnOnce(),
) -> Outcome {
    let hub = &Arc::clone(&in_flight.hub);
    let key = in_flight.key;
    let Some((leaf, address, limit)) = ({
        let tables = hub.tables();
        tables.fleet.leaf(key).map(|leaf| {
            let limit = tables.fleet.concurrency_limit(&leaf.entry.service);
            (leaf.id.clone(), leaf.entry.address, limit)
        })
    }) else {
        return Outcome::Unsent;
    };
    let request_id = Id::of(outbound.id.as_bytes());
    let mut sender = match acquire(hub, key, address, limit, request_id).await {
        Ok(sender) => sender,
        Err(ending) => {
            in_flight.ending = ending;
            return Outcome::Unsent;
        }
    };
    let now = hub.now();
    if !hub.tables().fleet.accepts_requests(now, key) || now >= outbound.timing.deadline {
        hub.release(key, sender, now, DEFAULT_IDLE_TIMEOUT);
        return Outcome::Unsent;
    }
    let Some(request) = build_request(outbound, &leaf, now) else {
        return Outcome::Unsent;
    };
    sender.record_carried(now, request_id, outbound.timing.deadline);
    before_write();
    let exchange = sender.exchange(request, &hub.received);
    match timeout_at(hub.instant(outbound.timing.deadline), exchange).await {
        Err(_) => {
            in_flight.ending = Ending::Silent;
            hub.close_idle(key);
            Outcome::Unknown
        }
        Ok(Err(connection::Error::Unsent)) => Outcome::Unsent,
        Ok(Err(reason)) => {
            log::debug!("exchange with leaf {leaf} failed after the request was sent: {reason}");
            in_flight.ending = Ending::Broken;
            crashes::check(hub, Break::open(hub, outbound, key, now));
            Outcome::Unknown
        }
        Ok(Ok(response)) => classify_response(&mut in_flight, outbound, sender, response),
    }
}

fn build_request(outbound: &Outbound, leaf: &str, now: Time) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = outbound.target.clone();
    *request.headers_mut() = outbound.headers.clone();
    let left = outbound.timing.deadline.since(now).as_millis().max(1);
    let headers = request.headers_mut();
    headers.insert(header::DEADLINE_MS, HeaderValue::from_str(&left.to_string()).ok()?);
    headers.insert(header::EXPECTED_LEAF, HeaderValue::from_str(leaf).ok()?);
    Some(request)
}

/// Determines the outcome of a send from a complete response, records what the leaf says of itself,
/// and returns the connection to the pool.
fn classify_response(
    in_flight: &mut InFlight,
    outbound: &Outbound,
    sender: Sender,
    response: Response<Bytes>,
) -> Outcome {
    let hub = &Arc::clone(&in_flight.hub);
    let key = in_flight.key;
    let now = hub.now();
    let (head, body) = response.into_parts();
    let mut headers = head.headers;
    let echoed = headers.get_all(header::REQUEST_ID).iter().map(HeaderValue::as_bytes);
    let attribution = Attribution::of(outbound.id.as_bytes(), echoed);
    if attribution != Attribution::Own {
        // The connection may be out of sync and must not be reused.
        in_flight.ending = Ending::Unattributed;
        hub.audit.log_unattributed(now, &hub.tables, key, &outbound.id, attribution);
        return Outcome::Unknown;
    }
    notices::record(hub, key, in_flight.sent, &head.status, &headers);
    if let Some(idle) = idle_time(&headers)
        && !header::is_leaving(&headers)
    {
        hub.release(key, sender, now, idle);
    }
    let not_run = headers.contains_key(header::NOT_RUN);
    let receipt = headers.get(header::RECEIPT).cloned();
    let encoded = headers.contains_key(CONTENT_ENCODING);
    strip_hop_by_hop(&mut headers);
    let reply = Reply { status: head.status, headers, receipt, body };
    if reply.receipt.is_some() && !not_run {
        crashes::record_answer(hub, key, outbound.fingerprint);
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        in_flight.ending = Ending::Misdirected;
        return Outcome::NotRun;
    }
    if not_run {
        in_flight.ending = Ending::Rejected;
        return Outcome::NotRun;
    }
    if head.status.is_success() && !encoded && reply.receipt.is_some() {
        let took = now.since(in_flight.sent);
        in_flight.ending = Ending::Success { took, usual: outbound.usual };
        return Outcome::Success(reply);
    }
    in_flight.ending = Ending::Failure;
    if head.status.is_success() || reply.receipt.is_none() {
        return Outcome::Unknown;
    }
    Outcome::Failure(reply)
}

/// Returns how long the connection of a response may stay idle; `None` if it must be closed.
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
    let idle = stated.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
    Some(idle.saturating_sub(IDLE_MARGIN))
}
