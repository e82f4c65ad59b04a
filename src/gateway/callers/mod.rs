//! HTTP server for callers: receives their requests, drives the sends to leafs and answers.
//!
//! `request` checks a request, finds its route and reads it, `identity` determines the caller's
//! organisation; `driver` carries out the decisions
//! of a [`Flight`] until there is an answer, and `response` puts the answer into HTTP. `relay`
//! serves requests through other nodes, and theirs.

mod driver;
mod identity;
mod relay;
mod request;
mod response;

use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::flight::{Answer, Flight};
use jacinthfall_dispatch::roster::Phase;
use jacinthfall_dispatch::round_trip::Connection;
use jacinthfall_net::acceptor::Acceptor;
use jacinthfall_route::snapshot::{Limits, Route, Snapshot, Target};
use tokio::net::{TcpListener, TcpStream};

use super::hub::Hub;
use super::leafs::Outbound;
use crate::util::lock::lock;
pub use relay::serve_relayed;

use driver::Driver;
use relay::Inbound;
use request::{Head, Rejection};

/// Limits that apply until a configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 256 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Minimum buffer size that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Where a request comes from.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Address of the caller.
    pub address: IpAddr,
    /// Whether the request is the first one on its connection.
    pub connection: Connection,
}

/// Serves callers until the future is dropped.
pub async fn serve(hub: Arc<Hub>, listener: TcpListener) {
    let mut acceptor = Acceptor::open(listener);
    loop {
        let (stream, peer) = acceptor.accept().await;
        tokio::spawn(connection(Arc::clone(&hub), stream, peer.ip()));
    }
}

async fn connection(hub: Arc<Hub>, stream: TcpStream, address: IpAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("can't set TCP_NODELAY on a caller's connection: {error}");
        return;
    }
    let limits = hub.snapshot().map_or(DEFAULT_LIMITS, |snapshot| snapshot.limits);
    let mut closing = hub.closing.subscribe();
    let service = {
        let hub = Arc::clone(&hub);
        let answered = Arc::new(Mutex::new(None));
        service_fn(move |request| {
            let (hub, answered) = (Arc::clone(&hub), Arc::clone(&answered));
            let connection = observe_connection(&hub, address, *lock(&answered));
            let caller = Caller { address, connection };
            async move {
                let response = answer(&hub, request, caller).await;
                *lock(&answered) = Some(hub.now());
                Ok::<_, Infallible>(response)
            }
        })
    };
    // hyper counts the idle time before a request as part of reading its head.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let closed = async move { closing.wait_for(|closing| *closing).await.is_ok() };
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = closed => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection of a caller failed: {error}");
    }
}

/// Records how long after the latest answer on its connection a request has come.
fn observe_connection(hub: &Hub, address: IpAddr, answered: Option<Time>) -> Connection {
    let Some(answered) = answered else { return Connection::New };
    hub.tables().round_trips.record(address, hub.now().since(answered));
    Connection::Open
}

/// Counts a request as in flight until it is dropped.
struct InFlight<'a>(&'a Hub);

impl<'a> InFlight<'a> {
    fn open(hub: &'a Hub) -> InFlight<'a> {
        hub.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(hub)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn answer(
    hub: &Arc<Hub>,
    request: Request<Incoming>,
    caller: Caller,
) -> Response<Full<Bytes>> {
    let _in_flight = InFlight::open(hub);
    let head = Head::read(&request);
    let route = Head::check(&request).and_then(|()| head.route(hub));
    let result = match route {
        Ok((snapshot, route)) => handle(hub, &snapshot, &route, request, caller).await,
        Err(rejection) => Err(rejection),
    };
    let mut response = result.unwrap_or_else(|rejection| {
        let response = rejection.response();
        head.record_rejection(hub, rejection, response.status());
        response
    });
    if hub.tables().phase == Phase::Leaving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Turns a request away that is in quarantine or over its organisation's quota.
async fn admit(hub: &Hub, outbound: &Outbound) -> Result<(), Rejection> {
    let fingerprint = outbound.fingerprint;
    if let Some(remaining) = hub.tables().quarantine.remaining(hub.now(), fingerprint) {
        return Err(Rejection::Quarantined(remaining));
    }
    if let Some(organisation) = &outbound.organisation {
        hub.quotas.admit(organisation).await.map_err(Rejection::OverQuota)?;
    }
    // Only a request that goes on to leafs may be the one that tells whether it still crashes them.
    match hub.tables().quarantine.admit(hub.now(), fingerprint) {
        Some(remaining) => Err(Rejection::Quarantined(remaining)),
        None => Ok(()),
    }
}

async fn handle(
    hub: &Arc<Hub>,
    snapshot: &Snapshot,
    route: &Arc<Route>,
    request: Request<Incoming>,
    caller: Caller,
) -> Result<Response<Full<Bytes>>, Rejection> {
    let now = hub.now();
    let outbound = request::read_outbound(hub, snapshot, route, request, caller, now).await?;
    let arrived = hub.now();
    admit(hub, &outbound).await?;
    let service = match &route.target {
        Target::Split(shares) => hub.tables().statistics(route).selector.next(shares),
        Target::Service(_) | Target::Gather(_) => None,
    };
    let timing = outbound.timing;
    let open = |at| Flight::open(Arc::clone(route), service.clone(), at, timing);
    let mut driver = Driver::open(hub, route, snapshot.version, open(now), outbound);
    let outbound = driver.outbound();
    let inbound = Inbound { hub, route, service: service.as_ref(), outbound: &outbound, arrived };
    if let Some(response) = inbound.relay_if_lost().await {
        driver.set_relayed();
        return Ok(response);
    }
    hub.record_served_version(snapshot.version);
    // Without new connections this node waits for none of its leafs while other nodes can serve.
    let is_restricted = hub.tables().fleet.is_restricted();
    if is_restricted {
        let mut flight = open(now);
        flight.admit_only_whole();
        driver.restart(flight);
    }
    let mut answer = driver.run().await;
    if matches!(answer, Answer::Refused { .. }) {
        // Nothing has run, and a loss of leafs may only have shown meanwhile.
        if let Some(response) = inbound.relay_after_refusal().await {
            driver.set_relayed();
            return Ok(response);
        }
        if is_restricted {
            driver.restart(open(hub.now()));
            answer = driver.run().await;
        }
    }
    driver.record(Some(&answer));
    Ok(response::respond(answer))
}
