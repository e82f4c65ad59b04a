//! Requests of callers: whether they are proper, their route, and the form in which they are
//! forwarded.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, HOST};
use http::uri::Authority;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use jacinthfall_adapter::header;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::quarantine::Fingerprint;
use jacinthfall_dispatch::roster::Phase;
use jacinthfall_route::snapshot::{Route, Snapshot};

use super::Caller;
use super::identity::Identity;
use super::response::{over_quota, refusal, text, unauthorized};
use crate::gateway::audit;
use crate::gateway::hub::Hub;
use crate::gateway::leafs::{self, Outbound};

/// Retry delay for callers of a node that has no configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum length of a request's id, in bytes.
const MAX_ID_BYTES: usize = 256;

/// Maximum time that a caller may state that it waits.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Why a request is malformed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Defect {
    /// It names no host, or several.
    Host,
    /// It has several ids, or one that isn't printable or too long.
    Id,
    /// Its deadline isn't a number of milliseconds up to [`MAX_DEADLINE`].
    Deadline,
    /// The framing of its body is broken.
    Body,
    /// It has several keys, or one that is empty or not text.
    Key,
}

impl Defect {
    const fn name(self) -> &'static str {
        match self {
            Defect::Host => "bad_host",
            Defect::Id => "bad_id",
            Defect::Deadline => "bad_deadline",
            Defect::Body => "bad_body",
            Defect::Key => "bad_key",
        }
    }

    const fn reason(self) -> &'static str {
        match self {
            Defect::Host => "the request must name one Host\n",
            Defect::Id => "the request must have one id, of 1 to 256 printable characters\n",
            Defect::Deadline => "the deadline must be one number of milliseconds, up to a day\n",
            Defect::Body => "the body is not framed properly\n",
            Defect::Key => "the request must have one X-Api-Key, which is text and not empty\n",
        }
    }
}

/// Why a request isn't forwarded to a leaf.
#[derive(Clone, Copy, Debug)]
pub(super) enum Rejection {
    /// The request is malformed.
    Malformed(Defect),
    /// The node has no configuration yet, or doesn't know whether it has the latest keys.
    Starting,
    /// No route matches the host and path.
    NotFound,
    /// The request has no key of an organisation, and its route needs one.
    NoKey,
    /// No organisation has the request's key, and its route needs one.
    UnknownKey,
    /// The request has no id header.
    NoId,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body was not complete before the deadline, or its connection failed.
    Incomplete,
    /// The request has crashed leafs, and may be tried again after this time.
    Quarantined(Duration),
    /// The caller's organisation has used up its quota, and may try again after this time.
    OverQuota(Duration),
}

impl Rejection {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Rejection::Malformed(defect) => defect.name(),
            Rejection::Starting => "starting",
            Rejection::NotFound => "no_route",
            Rejection::NoKey => "no_key",
            Rejection::UnknownKey => "unknown_key",
            Rejection::NoId => "no_id",
            Rejection::TooLarge => "too_large",
            Rejection::Incomplete => "incomplete",
            Rejection::Quarantined(_) => "quarantined",
            Rejection::OverQuota(_) => "over_quota",
        }
    }

    pub(super) fn response(self) -> Response<Full<Bytes>> {
        match self {
            Rejection::Malformed(defect) => text(StatusCode::BAD_REQUEST, defect.reason()),
            Rejection::Starting => refusal(STARTING_RETRY_AFTER),
            Rejection::NotFound => text(StatusCode::NOT_FOUND, "no route for this host and path\n"),
            Rejection::NoKey => unauthorized("the request has no X-Api-Key\n"),
            Rejection::UnknownKey => unauthorized("no organisation has this X-Api-Key\n"),
            Rejection::NoId => text(StatusCode::BAD_REQUEST, "the request has no id\n"),
            Rejection::TooLarge => text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
            Rejection::Quarantined(remaining) => refusal(remaining),
            Rejection::OverQuota(retry_after) => over_quota(retry_after),
            Rejection::Incomplete => {
                text(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")
            }
        }
    }
}

/// The parts of a request's head that select its route, also for the log line if it is
/// rejected.
pub(super) struct Head {
    id: Option<HeaderValue>,
    host: Option<HeaderValue>,
    target: Uri,
}

impl Head {
    pub(super) fn read(request: &Request<Incoming>) -> Head {
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
    pub(super) fn check(request: &Request<Incoming>) -> Result<(), Rejection> {
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

    pub(super) fn route(&self, hub: &Hub) -> Result<(Arc<Snapshot>, Arc<Route>), Rejection> {
        let snapshot = hub.snapshot().ok_or(Rejection::Starting)?;
        // A starting node may have read an older copy of the store, with keys that were withdrawn.
        if !snapshot.organisations.is_empty() && hub.tables().phase == Phase::Starting {
            return Err(Rejection::Starting);
        }
        let route = snapshot.route(self.host(), self.target.path());
        let route = Arc::clone(route.ok_or(Rejection::NotFound)?);
        Ok((snapshot, route))
    }

    pub(super) fn record_rejection(&self, hub: &Hub, rejection: Rejection, status: StatusCode) {
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

/// Reads a request completely and prepares the form in which it is forwarded.
pub(super) async fn read_outbound(
    hub: &Hub,
    snapshot: &Snapshot,
    route: &Route,
    request: Request<Incoming>,
    caller: Caller,
    now: Time,
) -> Result<Outbound, Rejection> {
    let (head, body) = request.into_parts();
    let mut headers = head.headers;
    let identity = Identity::of_caller(snapshot, route, &headers)?;
    let id = headers.get(header::REQUEST_ID).cloned().ok_or(Rejection::NoId)?;
    let limit = snapshot.limits.body_bytes;
    let length = headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok());
    if length.and_then(|length| length.parse::<usize>().ok()).is_some_and(|l| l > limit) {
        return Err(Rejection::TooLarge);
    }
    let stated = headers.get(header::DEADLINE_MS).and_then(decode_deadline);
    let timing = hub.tables().timing(now, route, stated, caller);
    leafs::strip_hop_by_hop(&mut headers);
    identity.replace_headers(&mut headers);
    let body = Limited::new(body, limit).collect();
    let body = match tokio::time::timeout_at(hub.instant(timing.deadline), body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Rejection::TooLarge);
        }
        Ok(Err(error)) if is_misframed(&*error) => {
            return Err(Rejection::Malformed(Defect::Body));
        }
        Ok(Err(_)) | Err(_) => return Err(Rejection::Incomplete),
    };
    let named = head.uri.authority().map(Authority::as_str);
    let host = named.or_else(|| headers.get(HOST)?.to_str().ok()).unwrap_or_default().to_owned();
    let target = head.uri.path_and_query().map(|target| Uri::from(target.clone()));
    let fingerprint = fingerprint(&head.method, &head.uri, &headers, &identity, &body);
    let usual = hub.tables().context(route).latency.quantile(0.5);
    Ok(Outbound {
        method: head.method,
        target: target.unwrap_or_default(),
        host,
        headers,
        id,
        body,
        timing,
        connection: caller.connection,
        usual,
        fingerprint,
        priority: identity.priority(route),
        is_identified: identity.is_determined(),
        organisation: identity.into_organisation(),
    })
}

/// Returns what identifies a request when its caller sends it again, at any node.
pub(super) fn fingerprint(
    method: &Method,
    target: &Uri,
    headers: &HeaderMap,
    identity: &Identity,
    body: &[u8],
) -> Fingerprint {
    let header = |name: HeaderName| headers.get(name).map_or(&b""[..], HeaderValue::as_bytes);
    let target = target.path_and_query().map_or("", |target| target.as_str());
    Fingerprint::of(&[
        method.as_str().as_bytes(),
        header(HOST),
        target.as_bytes(),
        header(AUTHORIZATION),
        header(identity.header()),
        body,
    ])
}
