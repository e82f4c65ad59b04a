//! Serves the platform's stand-in over HTTP.

use std::borrow::Cow;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use jacinthfall_adapter::header::STORE_ERA;
use jacinthfall_adapter::message::{self, MAX_VALUE_BYTES};
use jacinthfall_core::time::Time;
use jacinthfall_net::acceptor::Acceptor;
use jacinthfall_net::clock::Clock;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;

use crate::platform::Settings;
use crate::platform::control::{Change, Counters};
use crate::platform::rate::Limit;
use crate::platform::store::{Item, Put, Rejection, Store, Transaction};

/// HTTP path of requests that change the faults and return the counters.
const CONTROL: &str = "/control";

/// Maximum number of open connections of a listener with a view.
const VIEW_CONNECTIONS: usize = 256;

/// State that waiting watches depend on; any change of it wakes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Signal {
    era: u64,
    revision: u64,
    outage: bool,
    silent: bool,
}

/// State shared by all calls.
#[derive(Debug)]
struct State {
    store: Store,
    /// Number of times that the store returned to a copy.
    era: u64,
    /// The latest copy of the store.
    copy: Store,
    reads: Limit,
    writes: Limit,
    latency: Duration,
    outage: bool,
    silent: bool,
    extra_latency: Duration,
    lose_replies: u32,
    lose_requests: u32,
    late_writes: u32,
    late_delay: Duration,
    counters: Counters,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
    signal: watch::Sender<Signal>,
}

/// Kind of a call, which determines the rate limit that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Read,
    Write,
}

/// Why a call gets no ordinary response.
#[derive(Clone, Debug, Error)]
enum Failure {
    /// The response has this status and no other content.
    #[error("status {0}")]
    Status(StatusCode),
    /// There is no response; the connection is closed.
    #[error("the response is lost")]
    Lost,
}

type Reply = Result<Response<Full<Bytes>>, Failure>;

/// Addresses that stand for others in the values that are read over one listener, so that some
/// nodes reach leafs by other ways than the rest.
#[derive(Clone, Debug, Default)]
pub struct View(Vec<(String, String)>);

impl View {
    /// Creates a view in which each first address is replaced by the second one.
    #[must_use]
    pub fn open(addresses: &[(SocketAddr, SocketAddr)]) -> View {
        let quoted = |address: &SocketAddr| format!("\"{address}\"");
        View(addresses.iter().map(|(from, to)| (quoted(from), quoted(to))).collect())
    }

    fn apply(&self, value: &Bytes) -> Bytes {
        let Ok(text) = std::str::from_utf8(value) else { return value.clone() };
        let replace = |text: String, (from, to): &(String, String)| text.replace(from, to);
        self.0.iter().fold(text.to_owned(), replace).into()
    }
}

/// A running stand-in; dropping it stops the stand-in.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accepting: JoinHandle<()>,
    shared: Arc<Shared>,
}

impl Server {
    /// Address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Binds a further listener on the same store, over which values are read through a view.
    ///
    /// # Errors
    ///
    /// Any error of the operating system while binding.
    pub async fn bind_view(&self, address: SocketAddr, view: View) -> io::Result<Server> {
        listen(address, Arc::clone(&self.shared), view, VIEW_CONNECTIONS).await
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Binds the stand-in to `address` and starts to serve.
///
/// # Errors
///
/// Any error of the operating system while binding.
pub async fn bind(address: SocketAddr, settings: &Settings) -> io::Result<Server> {
    let state = State {
        store: Store::default(),
        era: 0,
        copy: Store::default(),
        reads: Limit::new(settings.reads_per_second),
        writes: Limit::new(settings.writes_per_second),
        latency: settings.latency,
        outage: false,
        silent: false,
        extra_latency: Duration::ZERO,
        lose_replies: 0,
        lose_requests: 0,
        late_writes: 0,
        late_delay: Duration::ZERO,
        counters: Counters::default(),
    };
    let (signal, _) = watch::channel(Signal { era: 0, revision: 0, outage: false, silent: false });
    let shared = Arc::new(Shared { clock: Clock::open(), state: Mutex::new(state), signal });
    listen(address, shared, View::default(), settings.connections).await
}

async fn listen(
    address: SocketAddr,
    shared: Arc<Shared>,
    view: View,
    connections: usize,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let accepting =
        tokio::spawn(accept(listener, Arc::clone(&shared), Arc::new(view), connections));
    Ok(Server { address, accepting, shared })
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, view: Arc<View>, connections: usize) {
    let permits = Arc::new(Semaphore::new(connections));
    let mut acceptor = Acceptor::open(listener);
    loop {
        let (stream, _) = acceptor.accept().await;
        // A connection beyond the limit is closed at once.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
        let (shared, view) = (Arc::clone(&shared), Arc::clone(&view));
        tokio::spawn(async move {
            serve(stream, shared, view).await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>, view: Arc<View>) {
    let service = service_fn(move |request| {
        let (shared, view) = (Arc::clone(&shared), Arc::clone(&view));
        async move {
            let mut response = match respond(&shared, &view, request).await {
                Err(Failure::Status(status)) => refusal(status),
                Err(Failure::Lost) => return Err(Failure::Lost),
                Ok(response) => response,
            };
            let era = shared.lock().era;
            response.headers_mut().insert(STORE_ERA, era.into());
            Ok(response)
        }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("connection ended: {error}");
    }
}

async fn respond(shared: &Arc<Shared>, view: &View, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Failure::Lost)?.to_bytes();
    let path = head.uri.path();
    let query = Query(head.uri.query().unwrap_or_default());
    match path {
        CONTROL => control(shared, &body),
        message::KEY => get(shared, view, &query).await,
        message::RANGE => range(shared, view, &query).await,
        message::WATCH => watch(shared, view, &query).await,
        message::TRANSACTION => commit(shared, &body).await,
        message::LEASE => grant(shared, &body).await,
        _ => match (path.strip_prefix(message::RENEWAL), path.strip_prefix(message::LEASE_END)) {
            (Some(lease), _) => renew(shared, number(lease)?).await,
            (_, Some(lease)) if head.method == Method::DELETE => {
                revoke(shared, number(lease)?).await
            }
            _ => Err(Failure::Status(StatusCode::NOT_FOUND)),
        },
    }
}

/// Query string of a URL.
struct Query<'a>(&'a str);

impl Query<'_> {
    /// Decoded value of a parameter; empty if it is absent.
    fn text(&self, name: &str) -> Cow<'_, str> {
        let mut pairs = form_urlencoded::parse(self.0.as_bytes());
        pairs.find(|(key, _)| key == name).map(|(_, value)| value).unwrap_or_default()
    }
}

fn number(text: &str) -> Result<u64, Failure> {
    text.parse().map_err(|_| Failure::Status(StatusCode::BAD_REQUEST))
}

async fn get(shared: &Shared, view: &View, query: &Query<'_>) -> Reply {
    admit(shared, Call::Read).await?;
    let state = shared.lock();
    match state.store.get(&query.text("key")) {
        Some(item) => Ok(json(&encode(item, view))),
        None => Err(Failure::Status(StatusCode::NOT_FOUND)),
    }
}

async fn range(shared: &Shared, view: &View, query: &Query<'_>) -> Reply {
    admit(shared, Call::Read).await?;
    let state = shared.lock();
    let (items, has_more) = state.store.range(&query.text("prefix"), &query.text("after"));
    let items = items.iter().map(|item| encode(item, view)).collect();
    Ok(json(&message::Page { items, has_more, as_of: state.store.revision() }))
}

async fn watch(shared: &Shared, view: &View, query: &Query<'_>) -> Reply {
    let after = number(&query.text("after"))?;
    let wait = Duration::from_millis(number(&query.text("wait-ms"))?);
    admit(shared, Call::Read).await?;
    let _waiting = Waiting::open(shared);
    let prefix = query.text("prefix");
    let changes = changes(shared, &prefix, after);
    let events = match tokio::time::timeout(wait, changes).await {
        Ok(events) => events?,
        Err(_) if shared.lock().silent => std::future::pending().await,
        Err(_) => Vec::new(),
    };
    let as_of = shared.lock().store.revision();
    let revision = events.last().map_or(as_of, |last: &Item| last.revision);
    let events = events.iter().map(|item| encode(item, view)).collect();
    Ok(json(&message::Changes { events, as_of: revision }))
}

/// Waits until there are changes after revision `after` of keys with `prefix`.
async fn changes(shared: &Shared, prefix: &str, after: u64) -> Result<Vec<Item>, Failure> {
    let mut signal = shared.signal.subscribe();
    let started = signal.borrow().era;
    loop {
        let Signal { era, outage, silent, .. } = *signal.borrow_and_update();
        if era != started {
            return Err(Failure::Lost);
        }
        if silent {
            std::future::pending::<()>().await;
        }
        if outage {
            return Err(Failure::Status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let changes = shared.lock().store.changes(prefix, after);
        let changes = changes.map_err(|_| Failure::Status(StatusCode::GONE))?;
        if !changes.is_empty() {
            return Ok(changes);
        }
        signal.changed().await.map_err(|_| Failure::Lost)?;
    }
}

async fn commit(shared: &Arc<Shared>, body: &Bytes) -> Reply {
    let transaction = decode(&parse::<message::Transaction>(body)?)?;
    admit(shared, Call::Write).await?;
    let committed = {
        let mut state = shared.lock();
        if decrement(&mut state.lose_requests) {
            state.counters.lost += 1;
            return Err(Failure::Lost);
        }
        if decrement(&mut state.late_writes) {
            state.counters.lost += 1;
            tokio::spawn(commit_late(Arc::clone(shared), transaction, state.late_delay));
            return Err(Failure::Lost);
        }
        let committed = state.store.commit(&transaction);
        if decrement(&mut state.lose_replies) {
            state.counters.lost += 1;
            drop(state);
            shared.wake();
            return Err(Failure::Lost);
        }
        committed
    };
    shared.wake();
    match committed {
        Ok(revision) => Ok(json(&message::Written { revision })),
        Err(Rejection::NoLease) => Err(Failure::Status(StatusCode::NOT_FOUND)),
        Err(Rejection::Conflict(items)) => {
            let items = items.iter().map(|item| encode(item, &View::default())).collect();
            let conflict = message::Conflict { items };
            let mut response = json(&conflict);
            *response.status_mut() = StatusCode::PRECONDITION_FAILED;
            Ok(response)
        }
    }
}

/// Commits, after a delay, a transaction that got no response, if its conditions then hold.
async fn commit_late(shared: Arc<Shared>, transaction: Transaction, delay: Duration) {
    tokio::time::sleep(delay).await;
    // The outcome is not reported to anyone.
    let _ = shared.lock().store.commit(&transaction);
    shared.wake();
}

async fn grant(shared: &Arc<Shared>, body: &Bytes) -> Reply {
    let message::Ttl { ttl_ms } = parse(body)?;
    admit(shared, Call::Write).await?;
    let ttl = Duration::from_millis(ttl_ms);
    let lease = shared.lock().store.grant(shared.clock.time(), ttl);
    shared.expire_leases_after(ttl);
    Ok(json(&message::Lease { lease, ttl_ms }))
}

async fn renew(shared: &Arc<Shared>, lease: u64) -> Reply {
    admit(shared, Call::Read).await?;
    let renewed = shared.lock().store.renew(shared.clock.time(), lease);
    let ttl = renewed.ok_or(Failure::Status(StatusCode::NOT_FOUND))?;
    shared.expire_leases_after(ttl);
    let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
    Ok(json(&message::Ttl { ttl_ms }))
}

async fn revoke(shared: &Shared, lease: u64) -> Reply {
    admit(shared, Call::Write).await?;
    let ended = shared.lock().store.revoke(lease);
    shared.wake();
    if ended { Ok(json(&())) } else { Err(Failure::Status(StatusCode::NOT_FOUND)) }
}

/// Applies the rate limit, waits for the configured latency, then expires leases. Fails during an
/// outage; never returns while the stand-in is silent.
async fn admit(shared: &Shared, call: Call) -> Result<(), Failure> {
    if shared.lock().silent {
        std::future::pending::<()>().await;
    }
    let latency = {
        let now = shared.clock.time();
        let mut state = shared.lock();
        state.admit(now, call)?;
        state.latency + state.extra_latency
    };
    if !latency.is_zero() {
        tokio::time::sleep(latency).await;
    }
    shared.expire_leases();
    if shared.lock().outage {
        return Err(Failure::Status(StatusCode::SERVICE_UNAVAILABLE));
    }
    Ok(())
}

fn control(shared: &Shared, body: &Bytes) -> Reply {
    let change: Change = parse(body)?;
    let counters = {
        let mut state = shared.lock();
        state.change(change);
        state.counters.revision = state.store.revision();
        state.counters.clone()
    };
    shared.wake();
    Ok(json(&counters))
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes waiting watches if the state that they depend on has changed.
    fn wake(&self) {
        let state = self.lock();
        let signal = Signal {
            era: state.era,
            revision: state.store.revision(),
            outage: state.outage,
            silent: state.silent,
        };
        drop(state);
        self.signal.send_if_modified(|before| {
            let changed = *before != signal;
            *before = signal;
            changed
        });
    }

    fn expire_leases(&self) {
        let now = self.clock.time();
        self.lock().store.expire_leases(now);
        self.wake();
    }

    /// Expires leases once `ttl` has passed.
    fn expire_leases_after(self: &Arc<Self>, ttl: Duration) {
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(ttl).await;
            shared.expire_leases();
        });
    }
}

impl State {
    fn admit(&mut self, now: Time, call: Call) -> Result<(), Failure> {
        if self.outage {
            self.counters.outage_refused += 1;
            return Err(Failure::Status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let admitted = match call {
            Call::Read => self.reads.admit(now),
            Call::Write => self.writes.admit(now),
        };
        if !admitted {
            self.counters.refused += 1;
            return Err(Failure::Status(StatusCode::TOO_MANY_REQUESTS));
        }
        match call {
            Call::Read => self.counters.reads += 1,
            Call::Write => self.counters.writes += 1,
        }
        Ok(())
    }

    fn change(&mut self, change: Change) {
        self.outage = change.outage.unwrap_or(self.outage);
        self.silent = change.silent.unwrap_or(self.silent);
        self.extra_latency = change.slow_ms.map_or(self.extra_latency, Duration::from_millis);
        self.lose_replies = change.lose_replies.unwrap_or(self.lose_replies);
        self.lose_requests = change.lose_requests.unwrap_or(self.lose_requests);
        self.late_writes = change.late_writes.unwrap_or(self.late_writes);
        self.late_delay = change.late_ms.map_or(self.late_delay, Duration::from_millis);
        if let Some(rate) = change.writes_per_second {
            self.writes = Limit::new(rate);
        }
        if let Some(rate) = change.reads_per_second {
            self.reads = Limit::new(rate);
        }
        if change.copy {
            self.copy = self.store.clone();
        }
        if change.restore {
            self.store = self.copy.clone();
            self.era += 1;
        }
        for put in change.put {
            self.store.put(&put.key, put.value.map(Bytes::from));
        }
        if change.compact {
            self.store.compact();
        }
    }
}

/// Guard that counts a watch as waiting until it is dropped, even if its caller disconnects.
struct Waiting<'a> {
    shared: &'a Shared,
}

impl Waiting<'_> {
    fn open(shared: &Shared) -> Waiting<'_> {
        shared.lock().counters.watches_waiting += 1;
        Waiting { shared }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.shared.lock().counters.watches_waiting -= 1;
    }
}

/// Decrements a counter; `false` if it was already 0.
fn decrement(count: &mut u32) -> bool {
    let is_positive = *count > 0;
    *count = count.saturating_sub(1);
    is_positive
}

fn encode(item: &Item, view: &View) -> message::Item {
    message::Item {
        key: item.key.to_string(),
        value: item.value.as_ref().map(|value| BASE64.encode(view.apply(value))),
        revision: item.revision,
        create_revision: item.created,
        lease: item.lease,
        tombstone: item.value.is_none(),
    }
}

fn decode(transaction: &message::Transaction) -> Result<Transaction, Failure> {
    let put = |put: &message::Put| {
        let value = BASE64.decode(&put.value);
        let value = value.map_err(|_| Failure::Status(StatusCode::BAD_REQUEST))?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(Failure::Status(StatusCode::PAYLOAD_TOO_LARGE));
        }
        Ok(Put { key: put.key.clone(), value: value.into(), lease: put.lease })
    };
    Ok(Transaction {
        conditions: transaction.precondition.clone(),
        puts: transaction.puts.iter().map(put).collect::<Result<_, _>>()?,
        remove: transaction.remove.clone(),
    })
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|_| Failure::Status(StatusCode::BAD_REQUEST))
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(body.into())),
        Err(error) => {
            log::error!("a response can't be encoded: {error}");
            refusal(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn refusal(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(status.to_string())));
    *response.status_mut() = status;
    response
}
