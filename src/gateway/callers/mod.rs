//! HTTP server for callers: receives their requests, drives the sends to leafs and answers.
//!
//! `Head` finds the route of a request, `Rejection` lists why a request isn't forwarded, and
//! `Driver` carries out the decisions of a [`Flight`] until there is an answer.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::uri::Authority;
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jacinthfall_adapter::header;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::Key;
use jacinthfall_dispatch::flight::{Action, Answer, Flight, Outcome, Timing};
use jacinthfall_net::acceptor::Acceptor;
use jacinthfall_route::snapshot::{Limits, Route, Snapshot, Target};
use metrics::histogram;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::audit;
use super::hub::Hub;
use super::leafs::{self, Outbound};

/// Retry delay for callers of a node that has no configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Limits that apply until a configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 256 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Maximum length of a request's id, in bytes.
const MAX_ID_BYTES: usize = 256;

/// Maximum time that a caller may state that it waits.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Minimum buffer size that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Serves callers until the future is dropped.
pub async fn serve(hub: Arc<Hub>, listener: TcpListener) {
    let mut acceptor = Acceptor::open(listener);
    loop {
        let (stream, _) = acceptor.accept().await;
        tokio::spawn(connection(Arc::clone(&hub), stream));
    }
}

async fn connection(hub: Arc<Hub>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("can't set TCP_NODELAY on a caller's connection: {error}");
        return;
    }
    let limits = hub.snapshot().map_or(DEFAULT_LIMITS, |snapshot| snapshot.limits);
    let mut closing = hub.closing.subscribe();
    let service = {
        let hub = Arc::clone(&hub);
        service_fn(move |request| {
            let hub = Arc::clone(&hub);
            async move { Ok::<_, Infallible>(answer(&hub, request).await) }
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

async fn answer(hub: &Arc<Hub>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let _in_flight = InFlight::open(hub);
    let head = Head::read(&request);
    let route = Head::check(&request).and_then(|()| head.route(hub));
    let result = match route {
        Ok((snapshot, route)) => handle(hub, &snapshot, &route, request).await,
        Err(rejection) => Err(rejection),
    };
    let mut response = result.unwrap_or_else(|rejection| {
        let response = rejection.response();
        head.record_rejection(hub, rejection, response.status());
        response
    });
    if hub.tables().phase == jacinthfall_dispatch::roster::Phase::Leaving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Why a request is malformed.
#[derive(Clone, Copy, Debug)]
enum Defect {
    /// It names no host, or several.
    Host,
    /// It has several ids, or one that isn't printable or too long.
    Id,
    /// Its deadline isn't a number of milliseconds up to [`MAX_DEADLINE`].
    Deadline,
    /// The framing of its body is broken.
    Body,
}

impl Defect {
    const fn name(self) -> &'static str {
        match self {
            Defect::Host => "bad_host",
            Defect::Id => "bad_id",
            Defect::Deadline => "bad_deadline",
            Defect::Body => "bad_body",
        }
    }

    const fn reason(self) -> &'static str {
        match self {
            Defect::Host => "the request must name one Host\n",
            Defect::Id => "the request must have one id, of 1 to 256 printable characters\n",
            Defect::Deadline => "the deadline must be one number of milliseconds, up to a day\n",
            Defect::Body => "the body is not framed properly\n",
        }
    }
}

/// Why a request isn't forwarded to a leaf.
#[derive(Clone, Copy, Debug)]
enum Rejection {
    /// The request is malformed.
    Malformed(Defect),
    /// The node has no configuration yet.
    Starting,
    /// No route matches the host and path.
    NotFound,
    /// The request has no id header.
    NoId,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body was not complete before the deadline, or its connection failed.
    Incomplete,
}

impl Rejection {
    const fn name(self) -> &'static str {
        match self {
            Rejection::Malformed(defect) => defect.name(),
            Rejection::Starting => "starting",
            Rejection::NotFound => "no_route",
            Rejection::NoId => "no_id",
            Rejection::TooLarge => "too_large",
            Rejection::Incomplete => "incomplete",
        }
    }

    fn response(self) -> Response<Full<Bytes>> {
        match self {
            Rejection::Malformed(defect) => text(StatusCode::BAD_REQUEST, defect.reason()),
            Rejection::Starting => refusal(STARTING_RETRY_AFTER),
            Rejection::NotFound => text(StatusCode::NOT_FOUND, "no route for this host and path\n"),
            Rejection::NoId => text(StatusCode::BAD_REQUEST, "the request has no id\n"),
            Rejection::TooLarge => text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
            Rejection::Incomplete => {
                text(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")
            }
        }
    }
}

/// The parts of a request's head that select its route, also for the log line if it is
/// rejected.
struct Head {
    id: Option<HeaderValue>,
    host: Option<HeaderValue>,
    target: Uri,
}

impl Head {
    fn read(request: &Request<Incoming>) -> Head {
        Head {
            id: request.headers().get(header::REQUEST_ID).cloned(),
            host: request.headers().get(HOST).cloned(),
            target: request.uri().clone(),
        }
    }

    /// Returns the host: that of the request target if there is one, else the `Host` header.
    fn host(&self) -> &str {
        let named = self.target.authority().map(Authority::as_str);
        named.or_else(|| self.host.as_ref()?.to_str().ok()).unwrap_or_default()
    }

    /// Checks the headers that every request must have once, and in a proper form.
    fn check(request: &Request<Incoming>) -> Result<(), Rejection> {
        let headers = request.headers();
        let hosts = headers.get_all(HOST).iter().count();
        if hosts > 1 || hosts == 0 && request.uri().authority().is_none() {
            return Err(Rejection::Malformed(Defect::Host));
        }
        let mut ids = headers.get_all(header::REQUEST_ID).iter();
        let is_proper = ids.next().is_none_or(is_proper_id);
        if !is_proper || ids.next().is_some() {
            return Err(Rejection::Malformed(Defect::Id));
        }
        let mut deadlines = headers.get_all(header::DEADLINE_MS).iter();
        let is_proper = deadlines.next().is_none_or(|value| decode_deadline(value).is_some());
        if !is_proper || deadlines.next().is_some() {
            return Err(Rejection::Malformed(Defect::Deadline));
        }
        Ok(())
    }

    fn route(&self, hub: &Hub) -> Result<(Arc<Snapshot>, Arc<Route>), Rejection> {
        let snapshot = hub.snapshot().ok_or(Rejection::Starting)?;
        let route = snapshot.route(self.host(), self.target.path());
        let route = Arc::clone(route.ok_or(Rejection::NotFound)?);
        Ok((snapshot, route))
    }

    fn record_rejection(&self, hub: &Hub, rejection: Rejection, status: StatusCode) {
        let rejected = audit::Rejection {
            id: self.id.as_ref(),
            status,
            reason: rejection.name(),
            host: self.host(),
            path: self.target.path(),
        };
        hub.audit.record_rejection(hub.now(), &hub.tables, &rejected);
    }
}

/// Whether an id can be logged and passed on as it is.
fn is_proper_id(id: &HeaderValue) -> bool {
    let bytes = id.as_bytes();
    (1..=MAX_ID_BYTES).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_graphic)
}

/// Decodes the time that a caller waits.
fn decode_deadline(value: &HeaderValue) -> Option<Duration> {
    let millis: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let deadline = Duration::try_from_secs_f64(millis / 1_000.0).ok()?;
    (deadline <= MAX_DEADLINE).then_some(deadline)
}

/// Whether reading a body failed because of its framing, not of its connection.
fn is_misframed(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut source = Some(error);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData
            );
        }
        source = error.source();
    }
    false
}

async fn handle(
    hub: &Arc<Hub>,
    snapshot: &Snapshot,
    route: &Arc<Route>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Rejection> {
    let now = hub.now();
    let outbound = read_outbound(hub, snapshot, route, request, now).await?;
    let service = match &route.target {
        Target::Split(shares) => hub.tables().statistics(route).selector.next(shares),
        Target::Service(_) | Target::Gather(_) => None,
    };
    let timing = Timing { deadline: outbound.deadline, spent: outbound.spent };
    let flight = Flight::open(Arc::clone(route), service, now, timing);
    let answer = Driver::open(hub, route, snapshot.version, flight, outbound).run().await;
    Ok(respond(answer))
}

/// Reads a request completely and prepares the form in which it is forwarded.
async fn read_outbound(
    hub: &Hub,
    snapshot: &Snapshot,
    route: &Route,
    request: Request<Incoming>,
    now: Time,
) -> Result<Outbound, Rejection> {
    let (head, body) = request.into_parts();
    let mut headers = head.headers;
    let id = headers.get(header::REQUEST_ID).cloned().ok_or(Rejection::NoId)?;
    let limit = snapshot.limits.body_bytes;
    let length = headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok());
    if length.and_then(|length| length.parse::<usize>().ok()).is_some_and(|l| l > limit) {
        return Err(Rejection::TooLarge);
    }
    let stated = headers.get(header::DEADLINE_MS).and_then(decode_deadline);
    let spent = stated.map(|stated| hub.tables().statistics(route).caller_timeout.spent(stated));
    let deadline = now + stated.unwrap_or(route.timeout).min(route.timeout);
    leafs::strip_hop_by_hop(&mut headers);
    let body = Limited::new(body, limit).collect();
    let body = match tokio::time::timeout_at(hub.instant(deadline), body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Rejection::TooLarge);
        }
        Ok(Err(error)) if is_misframed(&*error) => {
            return Err(Rejection::Malformed(Defect::Body));
        }
        Ok(Err(_)) | Err(_) => return Err(Rejection::Incomplete),
    };
    let target = head.uri.path_and_query().map(|target| Uri::from(target.clone()));
    let usual = hub.tables().context(route).latency.quantile(0.5);
    Ok(Outbound {
        method: head.method,
        target: target.unwrap_or_default(),
        headers,
        id,
        body,
        deadline,
        spent: spent.unwrap_or_default(),
        usual,
    })
}

/// The end of a send of a part.
struct Ended {
    part: usize,
    leaf: Key,
    outcome: Outcome,
}

/// Tasks of the sends, which are aborted if the caller disconnects.
#[derive(Default)]
struct Sends {
    handles: Vec<AbortHandle>,
    /// Whether the tasks run on after this is dropped.
    keep_running: bool,
}

impl Drop for Sends {
    fn drop(&mut self) {
        if !self.keep_running {
            self.handles.iter().for_each(AbortHandle::abort);
        }
    }
}

/// Drives one request: executes the actions of its [`Flight`] and reports their results to it.
struct Driver<'a> {
    hub: &'a Arc<Hub>,
    route: &'a Arc<Route>,
    flight: Flight,
    outbound: Arc<Outbound>,
    /// Version of the configuration that was in force when the request arrived.
    version: u64,
    arrived: Time,
    /// Whether the result of the request has been logged.
    recorded: bool,
    sends: Sends,
    ended: (mpsc::UnboundedSender<Ended>, mpsc::UnboundedReceiver<Ended>),
}

impl<'a> Driver<'a> {
    fn open(
        hub: &'a Arc<Hub>,
        route: &'a Arc<Route>,
        version: u64,
        flight: Flight,
        outbound: Outbound,
    ) -> Self {
        let ended = mpsc::unbounded_channel();
        let (outbound, sends) = (Arc::new(outbound), Sends::default());
        let arrived = hub.now();
        Driver { hub, route, flight, outbound, version, arrived, recorded: false, sends, ended }
    }

    /// Runs the request until there is an answer.
    async fn run(mut self) -> Answer {
        let mut actions = self.decide(|flight, now, context| flight.start(now, context));
        loop {
            if let Some(answer) = self.execute(actions) {
                self.record(Some(&answer));
                // Sends that are still in flight run on: they measure the response times of leafs.
                self.sends.keep_running = true;
                return answer;
            }
            let wake = self.hub.instant(self.flight.next_wake());
            actions = tokio::select! {
                biased;
                Some(ended) = self.ended.1.recv() => self.handle_ended(ended),
                () = tokio::time::sleep_until(wake) => {
                    self.decide(|flight, now, context| flight.wake(now, context))
                }
            };
        }
    }

    /// Makes a decision on the request, with the current time and context.
    fn decide(
        &mut self,
        decision: impl FnOnce(
            &mut Flight,
            Time,
            &mut jacinthfall_dispatch::flight::Context<'_>,
        ) -> Vec<Action>,
    ) -> Vec<Action> {
        let now = self.hub.now();
        let mut tables = self.hub.tables();
        let mut context = tables.context(self.route);
        decision(&mut self.flight, now, &mut context)
    }

    fn handle_ended(&mut self, ended: Ended) -> Vec<Action> {
        let Ended { part, leaf, outcome } = ended;
        self.decide(|flight, now, context| flight.send_ended(now, part, leaf, outcome, context))
    }

    /// Starts the sends among the actions; returns the answer if there is one.
    fn execute(&mut self, actions: Vec<Action>) -> Option<Answer> {
        let mut answer = None;
        for action in actions {
            match action {
                Action::Send { part, leaf } => self.send(part, leaf),
                Action::Finish(found) => answer = Some(found),
            }
        }
        answer
    }

    fn send(&mut self, part: usize, leaf: Key) {
        let sent = self.hub.now();
        {
            let mut tables = self.hub.tables();
            tables.fleet.record_send(sent, leaf, self.outbound.usual);
            tables.parts.add();
        }
        let hub = Arc::clone(self.hub);
        let outbound = Arc::clone(&self.outbound);
        let ended = self.ended.0.clone();
        let route = self.route.name.clone();
        let task = tokio::spawn(async move {
            let outcome = leafs::send(&hub, leaf, &outbound, sent).await;
            if matches!(outcome, Outcome::Success(_)) {
                record_response_time(&hub, &route, hub.now().since(sent));
            }
            // The receiver is gone once the caller has its answer.
            let _ = ended.send(Ended { part, leaf, outcome });
        });
        self.sends.handles.push(task.abort_handle());
    }

    /// Logs the answer; `None` if the caller disconnected before there was one.
    fn record(&mut self, answer: Option<&Answer>) {
        self.recorded = true;
        let request = audit::Request {
            id: &self.outbound.id,
            route: self.route,
            flight: &self.flight,
            tally: self.flight.tally(),
            arrived: self.arrived,
            deadline: self.outbound.deadline,
            spent: self.outbound.spent,
            version: self.version,
        };
        self.hub.audit.record_answer(self.hub.now(), &self.hub.tables, &request, answer);
    }
}

impl Drop for Driver<'_> {
    fn drop(&mut self) {
        if !self.recorded {
            self.record(None);
        }
    }
}

fn record_response_time(hub: &Hub, route: &id::Name, took: Duration) {
    histogram!("jacinthfall_response_seconds", "route" => route.clone()).record(took);
    if let Some(statistics) = hub.tables().routes.get_mut(route) {
        statistics.latency.add(took);
    }
}

fn respond(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Forward(reply) => {
            // These statuses tell the caller that nothing has run. Only the leaf's own
            // statement, its "not run" header, would prove that.
            let promise = matches!(reply.status.as_u16(), 408 | 421 | 429 | 503);
            if promise {
                return text(StatusCode::BAD_GATEWAY, "the leaf failed\n");
            }
            let mut response = Response::new(Full::new(reply.body));
            *response.status_mut() = reply.status;
            *response.headers_mut() = reply.headers;
            response
        }
        Answer::Merged { receipts, missing, body } => {
            let mut response = Response::new(Full::new(body));
            let headers = response.headers_mut();
            let octets = HeaderValue::from_static("application/octet-stream");
            headers.insert(CONTENT_TYPE, octets);
            headers.insert(header::MISSING_PARTS, HeaderValue::from(missing));
            let receipts: Vec<&[u8]> = receipts.iter().map(HeaderValue::as_bytes).collect();
            if let Ok(value) = HeaderValue::from_bytes(&receipts.join(&b", "[..])) {
                headers.insert(header::PART_RECEIPTS, value);
            }
            response
        }
        Answer::Refused { retry_after } => refusal(retry_after),
        Answer::Failed(status) => text(status, "no usable response from the leafs\n"),
    }
}

fn refusal(retry_after: Duration) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "not run; come back later\n");
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

fn text(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
