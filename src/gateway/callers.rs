//! Edge towards callers: their requests, from the first byte to the answer.

use std::convert::Infallible;
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
use jacinthfall_route::snapshot::{Limits, Route, Snapshot, Target};
use metrics::histogram;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::audit;
use super::hub::Hub;
use super::leafs::{self, Outbound};
use super::listener;

/// When a caller should come back to a node that doesn't know any route yet.
const STARTING: Duration = Duration::from_millis(300);

/// Limits before any configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 256 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Serves callers until the future is dropped.
pub async fn serve(hub: Arc<Hub>, listener: TcpListener) {
    loop {
        let stream = listener::accept(&listener).await;
        tokio::spawn(connection(Arc::clone(&hub), stream));
    }
}

async fn connection(hub: Arc<Hub>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("connection of a caller ended: {error}");
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
    // The library counts idle time as part of reading a head.
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
        log::debug!("connection of a caller ended: {error}");
    }
}

/// Counts a request for as long as it is in hand.
struct InHand<'a>(&'a Hub);

impl<'a> InHand<'a> {
    fn open(hub: &'a Hub) -> InHand<'a> {
        hub.in_hand.fetch_add(1, Ordering::Relaxed);
        InHand(hub)
    }
}

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        self.0.in_hand.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn answer(hub: &Arc<Hub>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let _in_hand = InHand::open(hub);
    let asked = Asked::of(&request);
    let result = match asked.route(hub) {
        Ok((snapshot, route)) => handle(hub, &snapshot, &route, request).await,
        Err(rejection) => Err(rejection),
    };
    let mut response = result.unwrap_or_else(|rejection| {
        let response = rejection.response();
        asked.rejected(hub, rejection, response.status());
        response
    });
    if hub.tables().phase == jacinthfall_dispatch::roster::Phase::Leaving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Why a request isn't passed on.
#[derive(Clone, Copy, Debug)]
enum Rejection {
    /// No configuration is known yet.
    Starting,
    /// No route fits.
    NotFound,
    /// The request has no usable id.
    NoId,
    /// The body is too large.
    TooLarge,
    /// The body was not complete in time, or broke off.
    Incomplete,
}

impl Rejection {
    const fn name(self) -> &'static str {
        match self {
            Rejection::Starting => "starting",
            Rejection::NotFound => "no_route",
            Rejection::NoId => "no_id",
            Rejection::TooLarge => "too_large",
            Rejection::Incomplete => "incomplete",
        }
    }

    fn response(self) -> Response<Full<Bytes>> {
        match self {
            Rejection::Starting => refusal(STARTING),
            Rejection::NotFound => text(StatusCode::NOT_FOUND, "no route for this host and path\n"),
            Rejection::NoId => text(StatusCode::BAD_REQUEST, "the request has no id\n"),
            Rejection::TooLarge => text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
            Rejection::Incomplete => {
                text(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")
            }
        }
    }
}

/// What decides where a request goes, also for its log line if it goes nowhere.
struct Asked {
    id: Option<HeaderValue>,
    host: Option<HeaderValue>,
    target: Uri,
}

impl Asked {
    fn of(request: &Request<Incoming>) -> Asked {
        Asked {
            id: request.headers().get(header::REQUEST_ID).cloned(),
            host: request.headers().get(HOST).cloned(),
            target: request.uri().clone(),
        }
    }

    /// Host, from the target if that names one.
    fn host(&self) -> &str {
        let named = self.target.authority().map(Authority::as_str);
        named.or_else(|| self.host.as_ref()?.to_str().ok()).unwrap_or_default()
    }

    fn route(&self, hub: &Hub) -> Result<(Arc<Snapshot>, Arc<Route>), Rejection> {
        let snapshot = hub.snapshot().ok_or(Rejection::Starting)?;
        let route = snapshot.route(self.host(), self.target.path());
        let route = Arc::clone(route.ok_or(Rejection::NotFound)?);
        Ok((snapshot, route))
    }

    fn rejected(&self, hub: &Hub, rejection: Rejection, status: StatusCode) {
        let rejected = audit::Rejected {
            id: self.id.as_ref(),
            status,
            reason: rejection.name(),
            host: self.host(),
            path: self.target.path(),
        };
        hub.audit.rejected(hub, &rejected);
    }
}

async fn handle(
    hub: &Arc<Hub>,
    snapshot: &Snapshot,
    route: &Arc<Route>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Rejection> {
    let now = hub.now();
    let outbound = outbound(hub, snapshot, route, request, now).await?;
    let service = match &route.target {
        Target::Split(shares) => hub.tables().lessons(route).dealer.next(shares),
        Target::Service(_) | Target::Gather(_) => None,
    };
    let patience = Timing { deadline: outbound.deadline, spent: outbound.spent };
    let flight = Flight::open(Arc::clone(route), service, now, patience);
    let answer = Run::open(hub, route, snapshot.version, flight, outbound).finish().await;
    Ok(respond(answer))
}

/// Reads a request completely, as it is passed on.
async fn outbound(
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
    let stated = headers.get(header::DEADLINE_MS).and_then(|value| value.to_str().ok());
    let stated = stated.and_then(|value| value.trim().parse::<u64>().ok());
    let stated = stated.map(Duration::from_millis);
    let spent = stated.map(|stated| hub.tables().lessons(route).patience.spent(stated));
    let deadline = now + stated.unwrap_or(route.timeout).min(route.timeout);
    leafs::strip(&mut headers);
    let body = Limited::new(body, limit).collect();
    let body = match tokio::time::timeout_at(hub.instant(deadline), body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Rejection::TooLarge);
        }
        Ok(Err(_)) | Err(_) => return Err(Rejection::Incomplete),
    };
    let target = head.uri.path_and_query().map(|target| Uri::from(target.clone()));
    let usual = hub.tables().world(route).latency.quantile(0.5);
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

/// How a send of a part ended.
struct Ended {
    part: usize,
    leaf: Key,
    outcome: Outcome,
}

/// Sends that are aborted when the caller leaves.
#[derive(Default)]
struct Sends {
    handles: Vec<AbortHandle>,
    keep: bool,
}

impl Drop for Sends {
    fn drop(&mut self) {
        if !self.keep {
            self.handles.iter().for_each(AbortHandle::abort);
        }
    }
}

/// Drives one request: carries actions out and feeds back how they ended.
struct Run<'a> {
    hub: &'a Arc<Hub>,
    route: &'a Arc<Route>,
    flight: Flight,
    outbound: Arc<Outbound>,
    /// Version of the configuration that the request began with.
    version: u64,
    arrived: Time,
    /// Whether the end of the request is noted.
    noted: bool,
    sends: Sends,
    ended: (mpsc::UnboundedSender<Ended>, mpsc::UnboundedReceiver<Ended>),
}

impl<'a> Run<'a> {
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
        Run { hub, route, flight, outbound, version, arrived, noted: false, sends, ended }
    }

    /// Runs the request to its answer.
    async fn finish(mut self) -> Answer {
        let mut actions = self.decide(|flight, now, world| flight.start(now, world));
        loop {
            if let Some(answer) = self.carry_out(actions) {
                self.note(Some(&answer));
                // What is still under way only teaches how long leafs take.
                self.sends.keep = true;
                return answer;
            }
            let wake = self.hub.instant(self.flight.next_wake());
            actions = tokio::select! {
                biased;
                Some(ended) = self.ended.1.recv() => self.take(ended),
                () = tokio::time::sleep_until(wake) => {
                    self.decide(|flight, now, world| flight.wake(now, world))
                }
            };
        }
    }

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
        let mut world = tables.world(self.route);
        decision(&mut self.flight, now, &mut world)
    }

    fn take(&mut self, ended: Ended) -> Vec<Action> {
        let Ended { part, leaf, outcome } = ended;
        self.decide(|flight, now, world| flight.send_ended(now, part, leaf, outcome, world))
    }

    /// Starts sends; returns the answer if there is one.
    fn carry_out(&mut self, actions: Vec<Action>) -> Option<Answer> {
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
                learn(&hub, &route, hub.now().since(sent));
            }
            // Nobody listens any more once the caller has its answer.
            let _ = ended.send(Ended { part, leaf, outcome });
        });
        self.sends.handles.push(task.abort_handle());
    }

    /// Notes the answer, or that the caller left before there was one.
    fn note(&mut self, answer: Option<&Answer>) {
        self.noted = true;
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
        self.hub.audit.answered(self.hub, &request, answer);
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if !self.noted {
            self.note(None);
        }
    }
}

fn learn(hub: &Hub, route: &id::Name, took: Duration) {
    histogram!("jacinthfall_response_seconds", "route" => route.clone()).record(took);
    if let Some(lessons) = hub.tables().routes.get_mut(route) {
        lessons.latency.add(took);
    }
}

fn respond(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Forward(reply) => {
            // These statuses promise that nothing has run, which only a leaf's own
            // word could prove.
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
