//! HTTP server for everything but routed requests: the address lookup of callers, the
//! readiness check of the platform, metrics, and the log lines of single requests.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jacinthfall_adapter::lookup;
use jacinthfall_dispatch::roster::{Own, Phase};
use jacinthfall_net::acceptor::Acceptor;
use tokio::net::TcpListener;

use super::audit::Named;
use super::hub::Hub;
use super::metrics;
use super::tables::Tables;

/// Maximum time to receive a request head, the idle time before it included.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Path of the metrics, which are in the Prometheus text format.
pub const METRICS: &str = "/metrics";

/// Path of the recent log lines about one request; the query string is `id=ID`.
pub const TRACE: &str = "/trace";

/// Serves address lookups, readiness checks, metrics and traces until the future is dropped.
pub async fn serve(hub: Arc<Hub>, listener: TcpListener) {
    let mut acceptor = Acceptor::open(listener);
    loop {
        let (stream, _) = acceptor.accept().await;
        let hub = Arc::clone(&hub);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = respond(&hub, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection to the address lookup failed: {error}");
            }
        });
    }
}

fn respond(hub: &Hub, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        lookup::READY => {
            let serving = hub.tables().phase == Phase::Serving;
            status(if serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        TRACE => trace(hub, request.uri().query().unwrap_or_default()),
        METRICS => Response::new(Full::new(metrics::render(hub).into())),
        lookup::ADDRESSES => addresses(hub, request.uri().query().unwrap_or_default()),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn addresses(hub: &Hub, query: &str) -> Response<Full<Bytes>> {
    let query = lookup::decode_query(query);
    let (addresses, cut_off) = {
        let tables = hub.tables();
        let is_cut_off = tables.fleet.loss().is_cut_off();
        let own = Own { node: &hub.own, is_cut_off };
        let own = (tables.phase == Phase::Serving).then_some(own);
        let addresses = tables.roster.caller_addresses(hub.now(), own, &query.zone);
        let cut_off = cut_off_nodes(hub, &tables, &addresses);
        (addresses, cut_off)
    };
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let addresses = &addresses[..addresses.len().min(lookup::MAX_ADDRESSES)];
    hub.audit.count_lookup(Named { addresses: addresses.len(), cut_off });
    let text = lookup::encode_answer(addresses, hub.settings.addresses.hold.as_secs_f64());
    let mut response = Response::new(Full::new(text.into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns how many of the addresses are of nodes that are cut off from leafs.
fn cut_off_nodes(hub: &Hub, tables: &Tables, addresses: &[SocketAddr]) -> usize {
    let now = hub.now();
    let others = tables.roster.members().filter(|member| member.is_cut_off(now));
    let others = others.filter(|member| addresses.contains(&member.node.callers)).count();
    let own = tables.fleet.loss().is_cut_off() && addresses.contains(&hub.own.callers);
    others + usize::from(own)
}

/// Returns the retained log lines about a request, or status 404 if there are none.
fn trace(hub: &Hub, query: &str) -> Response<Full<Bytes>> {
    let lines = hub.audit.trace(lookup::field(query, "id").unwrap_or_default());
    if lines.is_empty() {
        return status(StatusCode::NOT_FOUND);
    }
    Response::new(Full::new(lines.into()))
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
