//! HTTP interface for callers: queries, fates, addresses and health checks.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::bounded;
use http::{Method, StatusCode};
use jacinthfall_claim as claim;
use jacinthfall_core::event::Kind;
use jacinthfall_core::fate::{Fate, Report};
use jacinthfall_core::id;
use jacinthfall_core::query::{self, Outcome};
use jacinthfall_core::refusal::{Cause, Ran, Refusal};
use jacinthfall_core::time::Wall;
use jacinthfall_fate as fate;
use jacinthfall_read as read;
use jacinthfall_wire::member::State;
use metrics::{counter, histogram};
use oxhttp::model::{Body, Request, Response};

use crate::api;
use crate::daemon::asks::{Answer, Pending};
use crate::daemon::context::Context;
use crate::daemon::job::Job;
use crate::daemon::listener;
use crate::daemon::lookups::Found;
use crate::daemon::state::Phase;
use crate::util::lock::lock;

pub mod admit;
pub mod reply;

use admit::{Admitted, admit, body_refusal, unknown_if_repeat};
use reply::{answer_response, refusal_response};

/// Time after its deadline at which an ask without an answer counts as lost in the node.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// Timeout of a lookup of fates.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Retry delay sent by a node that can't serve the request yet, or no longer.
const NOT_READY_DELAY: Duration = Duration::from_secs(1);

/// Serves one HTTP request.
pub fn serve(context: &Arc<Context>, request: &mut Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let mut response = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/query") => serve_query(context, request),
        (&Method::GET, "/v1/addresses") => serve_addresses(context),
        (&Method::GET, "/healthz") => listener::text_response(StatusCode::OK, "alive\n"),
        (&Method::GET, "/readyz") => serve_ready(context),
        (&Method::GET, path) => match path.strip_prefix("/v1/fates/") {
            Some(request) => serve_fates(context, request),
            None => {
                listener::text_response(StatusCode::NOT_FOUND, "no such path; see docs/API.md\n")
            }
        },
        _ => listener::text_response(StatusCode::NOT_FOUND, "no such path; see docs/API.md\n"),
    };
    if context.state.phase() != Phase::Running {
        // Connections are closed when the process ends, so callers must not reuse them.
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    response
}

fn serve_query(context: &Arc<Context>, request: &mut Request<Body>) -> Response<Body> {
    counter!("jacinthfall_requests_total").increment(1);
    let arrived = context.clock.time();
    let arrived_wall = context.clock.wall();
    let Some(_guard) = context.state.begin_request() else {
        let refusal = not_ready("the node is stopping; use another address");
        return refusal_response(context, &"".into(), &refusal);
    };
    let parsed: Result<api::Ask, _> =
        listener::read_json(request, context.settings.limits.body_bytes);
    let message = match parsed {
        Ok(message) => message,
        Err(error) => return refusal_response(context, &"".into(), &body_refusal(context, &error)),
    };
    let ask = Arc::new(query::Ask {
        request: message.request.clone(),
        profile: message.profile.clone(),
        caller: message.caller.clone(),
        issued: message.issued.unwrap_or(arrived_wall),
        query: message.query.clone(),
    });
    let repeat = message.repeat;
    match admit(context, &message, Arc::clone(&ask), arrived, arrived_wall) {
        Ok(admitted) => execute(context, &admitted),
        Err(refusal) => {
            let refusal = unknown_if_repeat(refusal, repeat);
            record_refused(context, &ask, arrived_wall, &refusal);
            refusal_response(context, &ask.request, &refusal)
        }
    }
}

/// Records the fate of a request that was refused before it was passed to a core, if its
/// names are valid.
fn record_refused(context: &Context, ask: &query::Ask, arrived: Wall, refusal: &Refusal) {
    let names = [&ask.request, &ask.profile, &ask.caller];
    if names.iter().any(|name| id::name(name).is_err()) {
        return;
    }
    let outcome = Outcome::Refused(refusal.clone());
    let ended = context.clock.wall();
    let origin = context.origin.clone();
    let fate = Fate::from_outcome(ask, origin, arrived, ended, &outcome, Report::default());
    context.post(Job::Fate(fate::Event::Record(fate)));
}

fn not_ready(message: &str) -> Refusal {
    // An earlier ask with the same id may have run on another node.
    Refusal {
        cause: Cause::NotReady,
        ran: Ran::Unknown,
        retry_after: Some(NOT_READY_DELAY),
        message: format!(
            "{message}; this ask was not run, but an earlier one with the same id may have run"
        ),
    }
}

/// Executes an admitted ask, records its fate and returns the response.
fn execute(context: &Arc<Context>, admitted: &Admitted) -> Response<Body> {
    let ask = &admitted.ask;
    let request = Some(ask.request.clone());
    context.record(request.clone(), Kind::Arrived { profile: ask.profile.clone() });
    // If the node crashes while the request is open, the keepers that have a copy of
    // this fate still know of the request.
    record_fate(context, admitted, None, &outcome_unknown(), Report::default());
    let Answer { outcome, report } = dispatch_and_wait(context, admitted);
    let outcome = match outcome {
        Outcome::Refused(refusal) => Outcome::Refused(unknown_if_repeat(refusal, admitted.repeat)),
        Outcome::Answered(_) => outcome,
    };
    let (ran, refused) = match &outcome {
        Outcome::Answered(_) => (Ran::Ran, None),
        Outcome::Refused(refusal) => (refusal.ran, Some(refusal.cause)),
    };
    context.record(request, Kind::Ended { ran, refused });
    let ended = Some(context.clock.wall());
    record_fate(context, admitted, ended, &outcome, report);
    let elapsed = context.clock.time().since(admitted.arrived);
    histogram!("jacinthfall_request_seconds", "profile" => ask.profile.to_string())
        .record(elapsed.as_secs_f64());
    match outcome {
        Outcome::Answered(answer) => answer_response(context, &ask.request, answer, elapsed),
        Outcome::Refused(refusal) => refusal_response(context, &ask.request, &refusal),
    }
}

/// Returns the outcome that is recorded while a request is in progress.
fn outcome_unknown() -> Outcome {
    Outcome::Refused(Refusal {
        cause: Cause::OutcomeUnknown,
        ran: Ran::Unknown,
        retry_after: None,
        message: "the request was in progress when this was recorded".into(),
    })
}

fn record_fate(
    context: &Context,
    admitted: &Admitted,
    ended: Option<Wall>,
    outcome: &Outcome,
    report: Report,
) {
    let arrived = admitted.arrived_wall;
    let origin = context.origin.clone();
    let at = ended.unwrap_or(arrived);
    let mut fate = Fate::from_outcome(&admitted.ask, origin, arrived, at, outcome, report);
    fate.ended = ended;
    let event = match (ended, admitted.profile.idempotent) {
        (None, false) => fate::Event::RecordAndFlush(fate),
        _ => fate::Event::Record(fate),
    };
    context.post(Job::Fate(event));
}

/// Passes an ask to the read engine, or to the claim engine if it is not idempotent, and
/// waits for the answer.
fn dispatch_and_wait(context: &Arc<Context>, admitted: &Admitted) -> Answer {
    let (reply, answer) = bounded(1);
    let token = context.token();
    let deadline = admitted.arrived + admitted.deadline;
    let expires = admitted.arrived_wall + admitted.deadline;
    let ask = &admitted.ask;
    let profile = &admitted.profile;
    if context.read_engine(&profile.service).is_none() {
        return service_unavailable(&profile.service);
    }
    let pending = Pending {
        ask: Arc::clone(ask),
        profile: Arc::clone(profile),
        deadline,
        expires,
        reply,
        report: Report::default(),
    };
    lock(&context.asks).insert(token, pending);
    if profile.idempotent {
        let (ask, profile) = (Arc::clone(ask), Arc::clone(profile));
        let service = profile.service.clone();
        let event = read::Event::Ask { token, ask, profile, deadline, expires };
        context.post(Job::Read { service, event });
    } else {
        let request = ask.request.clone();
        let digest = ask.query.digest(&ask.profile);
        let event = claim::Event::Ask { token, request, digest, issued: ask.issued, deadline };
        context.post(Job::Claim(event));
    }
    let give_up_at = context.clock.instant(deadline) + ANSWER_GRACE;
    answer.recv_deadline(give_up_at).unwrap_or_else(|_| {
        lock(&context.asks).remove(token);
        counter!("jacinthfall_requests_lost_total").increment(1);
        log::error!(
            "request {} got no answer from the decision cores in time; its outcome is unknown",
            ask.request
        );
        Answer { outcome: outcome_unknown(), report: Report::default() }
    })
}

fn service_unavailable(service: &str) -> Answer {
    let refusal = Refusal {
        cause: Cause::Unavailable,
        ran: Ran::Unknown,
        retry_after: Some(NOT_READY_DELAY),
        message: format!(
            "service `{service}` is not configured; this ask was not run, but an earlier one \
             with the same id may have run"
        ),
    };
    Answer { outcome: Outcome::Refused(refusal), report: Report::default() }
}

fn serve_fates(context: &Context, request: &str) -> Response<Body> {
    let request = match id::name(request) {
        Ok(request) => request,
        Err(error) => {
            return listener::text_response(StatusCode::BAD_REQUEST, format!("{error}\n"));
        }
    };
    let token = context.token();
    let answer = context.lookups.open(token);
    let event = fate::Event::Find { token, request: request.clone() };
    context.post(Job::Fate(event));
    let found = answer.recv_timeout(LOOKUP_TIMEOUT);
    context.lookups.close(token);
    let Found { fates, complete, reach } = found.unwrap_or_default();
    let status = match (fates.is_empty(), complete) {
        (false, _) => StatusCode::OK,
        (true, true) => StatusCode::NOT_FOUND,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    listener::json_response(status, &api::Fates { request, fates, complete, reach })
}

fn serve_addresses(context: &Context) -> Response<Body> {
    let own_zone = &context.settings.zone;
    let view = context.view();
    let running = context.state.phase() == Phase::Running;
    let mut addresses: Vec<api::Address> = view
        .iter()
        .filter(|rumor| rumor.state == State::Alive)
        .filter(|rumor| running || rumor.node.node != context.origin.node)
        .map(|rumor| api::Address {
            node: rumor.node.node.clone(),
            zone: rumor.zone.clone(),
            address: rumor.caller_address,
        })
        .collect();
    // Nodes in this zone come first. Within a zone, every answer has another order, which
    // spreads the callers evenly.
    let seed = context.token().0;
    addresses.sort_by_cached_key(|address| {
        let weight = jacinthfall_core::hash::weight(&seed.to_string(), &address.node);
        (address.zone != *own_zone, weight)
    });
    let body = api::Addresses { hold: context.settings.callers.hold, addresses };
    listener::json_response(StatusCode::OK, &body)
}

fn serve_ready(context: &Context) -> Response<Body> {
    let status = lock(&context.cores.config).status(context.clock.time());
    let phase = context.state.phase();
    if status.ready && phase != Phase::Stopping {
        return listener::text_response(StatusCode::OK, "ready\n");
    }
    let message = if status.ready {
        "not ready: the node is stopping; use another address\n"
    } else {
        "not ready: got no configuration from the store or other nodes; check the platform\n"
    };
    listener::text_response(StatusCode::SERVICE_UNAVAILABLE, message)
}
