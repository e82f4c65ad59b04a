//! Serves requests through another node while this one has lost its links to leafs that they
//! need, and requests of other nodes that have lost theirs.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use jacinthfall_adapter::header;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::flight::{Flight, Timing};
use jacinthfall_dispatch::quarantine::Service;
use jacinthfall_dispatch::relay::{Ending, Lack};
use jacinthfall_dispatch::roster::Node;
use jacinthfall_route::snapshot::{Route, Target};
use metrics::{counter, histogram};

use super::InFlight;
use super::driver::Driver;
use super::identity::Identity;
use super::request::{Rejection, fingerprint};
use super::response::{respond, text};
use crate::gateway::audit::{self, Relayed};
use crate::gateway::hub::Hub;
use crate::gateway::leafs::Outbound;
use crate::gateway::peers::relay::{
    Answer, Failure, Query, Refusal, Reply, decode_headers, encode_headers,
};

/// Maximum number of nodes that are asked to serve one request. Only one of them may get it
/// to leafs.
const MAX_NODES: usize = 2;

/// Time before the caller's deadline at which the answer of the other node must be there.
const RETURN_MARGIN: Duration = Duration::from_millis(10);

/// Interval between two checks whether a node that was asked still sends heartbeats.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of requests that this node serves on behalf of others at the same time.
const MAX_SERVED: usize = 256;

/// A caller's request at the node that the caller sent it to.
pub(super) struct Inbound<'a> {
    pub(super) hub: &'a Arc<Hub>,
    pub(super) route: &'a Route,
    /// Service that was chosen for a route that splits its requests over several.
    pub(super) service: Option<&'a id::Name>,
    pub(super) outbound: &'a Outbound,
    /// When it was received completely.
    pub(super) arrived: Time,
}

impl Inbound<'_> {
    /// Serves the request through another node if this one has lost services that it requires, or
    /// shards without which its answer would not be whole; `None` if it hasn't or that is not
    /// possible, and no leaf was given the request.
    pub(super) async fn relay_if_lost(&self) -> Option<Response<Full<Bytes>>> {
        match self.lack() {
            Lack::Nothing => None,
            Lack::Required(lost) => self.relay(&lost).await,
            Lack::Optional(lost) => self.relay_for_whole(&lost).await,
        }
    }

    /// Serves a request that this node has refused through another one if this one has lost
    /// services that it requires or gets no new connections; `None` as above.
    pub(super) async fn relay_after_refusal(&self) -> Option<Response<Full<Bytes>>> {
        let is_restricted = self.hub.tables().fleet.is_restricted();
        match self.lack() {
            Lack::Required(lost) => self.relay(&lost).await,
            Lack::Optional(lost) if is_restricted => self.relay(&lost).await,
            Lack::Nothing if is_restricted => self.relay(&[]).await,
            Lack::Nothing | Lack::Optional(_) => None,
        }
    }

    /// Returns what the request lacks at this node.
    fn lack(&self) -> Lack {
        Lack::of(&self.hub.tables().fleet, &self.route.target, self.service)
    }

    /// Serves a query through another node if that one may reach the shards that this one has lost.
    async fn relay_for_whole(&self, lost: &[Service]) -> Option<Response<Full<Bytes>>> {
        if !self.hub.tables().relay_trial.start(self.hub.now()) {
            return None;
        }
        let mut trial = TrialGuard { hub: self.hub, is_whole: None };
        let response = self.relay(lost).await;
        trial.is_whole = response.as_ref().map(is_whole);
        response
    }

    async fn relay(&self, lost: &[Service]) -> Option<Response<Full<Bytes>>> {
        let mut tried = Vec::new();
        while tried.len() < MAX_NODES {
            let node = self.hub.choose_relay(lost, &tried)?;
            let query = self.query()?;
            tried.push(node.name.clone());
            if let Some(response) = self.ask(&node, &query).await {
                return Some(response);
            }
        }
        None
    }

    /// Returns the request as another node gets it; `None` if no time is left for that.
    fn query(&self) -> Option<Query> {
        let Inbound { hub, outbound, service, arrived, .. } = self;
        let (now, timing) = (hub.now(), outbound.timing);
        let left = timing.deadline.since(now).checked_sub(RETURN_MARGIN)?;
        Some(Query {
            node: hub.own.name.clone(),
            version: hub.served_version(),
            known_version: hub.tables().version(),
            service: service.cloned(),
            host: outbound.host.clone(),
            method: outbound.method.to_string(),
            target: outbound.target.to_string(),
            headers: encode_headers(&outbound.headers),
            body: outbound.body.clone(),
            left,
            elapsed: timing.elapsed + now.since(*arrived),
            round_trip: timing.round_trip,
            connection: outbound.connection,
        })
    }

    /// Asks one node to serve the request; `None` if it has given it to no leaf.
    async fn ask(&self, node: &Node, query: &Query) -> Option<Response<Full<Bytes>>> {
        let hub = self.hub;
        let sent = hub.now();
        let mut guard = Guard::open(hub, node);
        let deadline = hub.instant(self.outbound.timing.deadline);
        let is_identified = self.outbound.is_identified;
        let reply = tokio::select! {
            reply = hub.relays.ask(node.peers, query, is_identified, deadline) => reply,
            () = self.silence(node) => {
                Err(Failure::Unknown("the node sends no heartbeats any more".to_owned()))
            }
        };
        let (ending, outcome, response) = match reply {
            Ok(Reply::Answer(answer)) => {
                hub.record_served_version(answer.version);
                (Ending::Answered, "answered", Some(decode(answer)))
            }
            Ok(Reply::Refused(Refusal::Behind)) => {
                (Ending::Cancelled, Refusal::Behind.name(), None)
            }
            Ok(Reply::Refused(refusal)) => (Ending::Declined, refusal.name(), None),
            Err(Failure::NotRun(reason)) => {
                log::debug!("node {} can't serve a request: {reason}", node.name);
                (Ending::Failed, "not_sent", None)
            }
            Err(Failure::Unknown(reason)) => {
                log::debug!("the answer of node {} is lost: {reason}", node.name);
                (Ending::Failed, "unknown", Some(self.failure()))
            }
        };
        guard.end(ending);
        histogram!("jacinthfall_relay_seconds", "outcome" => outcome).record(hub.now().since(sent));
        hub.audit.record_relayed(
            hub.now(),
            &Relayed {
                id: &self.outbound.id,
                fingerprint: self.outbound.fingerprint,
                route: &self.route.name,
                node: &node.name,
                outcome,
                status: response.as_ref().map_or(0, |response| response.status().as_u16()),
                took: hub.now().since(self.arrived),
                version: query.version,
            },
        );
        response
    }

    /// Waits until a node that was asked sends no heartbeats any more. A request that must not
    /// repeat waits for its answer all the same.
    async fn silence(&self, node: &Node) {
        let is_heard = || {
            let tables = self.hub.tables();
            tables.roster.member(&node.name).is_some_and(|known| known.is_heard(self.hub.now()))
        };
        while !self.route.idempotent || is_heard() {
            tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
        }
    }

    /// Returns the answer to a request that may have run at another node.
    fn failure(&self) -> Response<Full<Bytes>> {
        let is_late = self.hub.now() >= self.outbound.timing.deadline;
        let status = if is_late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        text(status, "the answer of another node was lost\n")
    }
}

/// Records whether an answer of another node was whole when it is dropped, even if the caller has
/// left.
struct TrialGuard<'a> {
    hub: &'a Hub,
    /// `None` if there is no answer.
    is_whole: Option<bool>,
}

impl Drop for TrialGuard<'_> {
    fn drop(&mut self) {
        self.hub.tables().relay_trial.end(self.hub.now(), self.is_whole);
    }
}

/// Records the end of a request to another node when it is dropped, even if the caller has left.
struct Guard<'a> {
    hub: &'a Hub,
    node: &'a Node,
    ending: Ending,
}

impl<'a> Guard<'a> {
    fn open(hub: &'a Hub, node: &'a Node) -> Guard<'a> {
        hub.tables().relays.record_send(node);
        Guard { hub, node, ending: Ending::Cancelled }
    }

    fn end(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let Guard { hub, node, ending } = self;
        if *ending == Ending::Failed {
            hub.relays.close(node.peers);
        }
        let pause = hub.tables().relays.record_end(hub.now(), &node.name, *ending);
        if let Some(pause) = pause {
            log::info!("event=relay_paused node={} for_ms={}", node.name, pause.as_millis());
        }
    }
}

/// Whether a response is a success that lacks no shard.
fn is_whole(response: &Response<Full<Bytes>>) -> bool {
    let missing = response.headers().get(header::MISSING_PARTS);
    response.status().is_success() && missing.is_none_or(|missing| missing == "0")
}

fn decode(answer: Answer) -> Response<Full<Bytes>> {
    let decoded = StatusCode::from_u16(answer.status).ok().zip(decode_headers(&answer.headers));
    let Some((status, headers)) = decoded else {
        return text(StatusCode::BAD_GATEWAY, "the answer of another node can't be read\n");
    };
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Counts a request of another node as being served until it is dropped.
struct Served<'a>(&'a AtomicUsize);

impl<'a> Served<'a> {
    /// Returns `None` if this node serves [`MAX_SERVED`] already.
    fn open(count: &'a AtomicUsize) -> Option<Served<'a>> {
        let served = Served(count);
        (count.fetch_add(1, Ordering::Relaxed) < MAX_SERVED).then_some(served)
    }
}

impl Drop for Served<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a request of a caller on behalf of another node, which has determined the organisation
/// if `is_identified`. The request goes to leafs of this node or nowhere.
pub async fn serve_relayed(hub: &Arc<Hub>, query: Query, is_identified: bool) -> Reply {
    let _in_flight = InFlight::open(hub);
    let Some(_served) = Served::open(&hub.served_for_others) else {
        return refuse(Refusal::Busy);
    };
    let Some(snapshot) = hub.snapshot().filter(|known| known.version >= query.version) else {
        return refuse(Refusal::Behind);
    };
    let now = hub.now();
    let Some(decoded) = Decoded::of(&query) else {
        return refuse(Refusal::Malformed);
    };
    let is_behind = snapshot.version < query.known_version;
    let Some(route) = snapshot.route(&query.host, decoded.target.path()).map(Arc::clone) else {
        if is_behind {
            return refuse(Refusal::Behind);
        }
        return answer(snapshot.version, Rejection::NotFound.response()).await;
    };
    let identity = if is_identified {
        Identity::of_relayed(&snapshot, &route, &decoded.headers, is_behind)
    } else {
        Identity::of_caller(&snapshot, &route, &decoded.headers)
    };
    let identity = match identity {
        Ok(identity) => identity,
        Err(_) if is_behind => return refuse(Refusal::Behind),
        Err(rejection) => {
            let response = rejection.response();
            decoded.record_rejection(hub, &query.host, rejection, response.status());
            return answer(snapshot.version, response).await;
        }
    };
    let outbound = decoded.into_outbound(hub, &query, &route, identity, now);
    let service = service(hub, &route, query.service);
    let lack = Lack::of(&hub.tables().fleet, &route.target, service.as_ref());
    if matches!(lack, Lack::Required(_)) {
        return refuse(Refusal::Lost);
    }
    let quarantine = hub.tables().quarantine.admit(now, outbound.fingerprint);
    if let Some(left) = quarantine {
        return answer(snapshot.version, Rejection::Quarantined(left).response()).await;
    }
    counter!("jacinthfall_served_for_others_total").increment(1);
    let flight = Flight::open(Arc::clone(&route), service, now, outbound.timing);
    let mut driver = Driver::open(hub, &route, snapshot.version, flight, outbound);
    driver.set_origin(query.node);
    let found = driver.run().await;
    driver.record(Some(&found));
    answer(snapshot.version, respond(found)).await
}

fn refuse(refusal: Refusal) -> Reply {
    counter!("jacinthfall_refused_to_others_total", "reason" => refusal.name()).increment(1);
    Reply::Refused(refusal)
}

async fn answer(version: u64, response: Response<Full<Bytes>>) -> Reply {
    let (head, body) = response.into_parts();
    // A body in memory can't fail.
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let (status, headers) = (head.status.as_u16(), encode_headers(&head.headers));
    Reply::Answer(Answer { version, status, headers, body })
}

/// Returns the service that the node that asks has chosen if the route still has it, else one of
/// the route's.
fn service(hub: &Hub, route: &Route, chosen: Option<id::Name>) -> Option<id::Name> {
    let Target::Split(shares) = &route.target else { return None };
    let is_shared = |service: &id::Name| shares.iter().any(|share| share.service == *service);
    let chosen = chosen.filter(is_shared);
    chosen.or_else(|| hub.tables().statistics(route).selector.next(shares))
}

/// The decoded parts of a request whose route isn't known yet.
struct Decoded {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    id: HeaderValue,
}

impl Decoded {
    /// Decodes a request; `None` if it is malformed.
    fn of(query: &Query) -> Option<Decoded> {
        let headers = decode_headers(&query.headers)?;
        Some(Decoded {
            method: query.method.parse().ok()?,
            target: query.target.parse().ok()?,
            id: headers.get(header::REQUEST_ID)?.clone(),
            headers,
        })
    }

    fn record_rejection(&self, hub: &Hub, host: &str, rejection: Rejection, status: StatusCode) {
        let rejected = audit::Rejection {
            id: Some(&self.id),
            status,
            reason: rejection.name(),
            host,
            path: self.target.path(),
        };
        hub.audit.record_rejection(hub.now(), &hub.tables, &rejected);
    }

    fn into_outbound(
        self,
        hub: &Hub,
        query: &Query,
        route: &Route,
        identity: Identity,
        now: Time,
    ) -> Outbound {
        let Decoded { method, target, mut headers, id } = self;
        identity.replace_headers(&mut headers);
        let fingerprint = fingerprint(&method, &target, &headers, &identity, &query.body);
        let mut tables = hub.tables();
        Outbound {
            method,
            target,
            host: query.host.clone(),
            headers,
            id,
            body: query.body.clone(),
            timing: Timing {
                deadline: now + query.left,
                elapsed: query.elapsed,
                round_trip: query.round_trip,
                lag: tables.lag(),
            },
            connection: query.connection,
            usual: tables.context(route).latency.quantile(0.5),
            fingerprint,
            priority: identity.priority(route),
            is_identified: identity.is_determined(),
            organisation: identity.into_organisation(),
        }
    }
}
