//! HTTP responses to queries: answers and refusals.

use std::time::Duration;

use http::StatusCode;
use jacinthfall_core::id;
use jacinthfall_core::query;
use jacinthfall_core::refusal::{Cause, Ran, Refusal};
use metrics::counter;
use oxhttp::model::{Body, Response};

use crate::api;
use crate::daemon::context::Context;
use crate::daemon::listener;

/// Builds the response for an answer.
pub(super) fn answer_response(
    context: &Context,
    request: &id::Request,
    answer: query::Answer,
    elapsed: Duration,
) -> Response<Body> {
    assert!(answer.coverage.is_consistent(), "answered and missed shards must add up to the total");
    counter!("jacinthfall_answers_total").increment(1);
    if !answer.coverage.is_full() {
        counter!("jacinthfall_answers_partial_total").increment(1);
    }
    let body = api::Answer {
        request: request.clone(),
        node: context.origin.node.clone(),
        ran: Ran::Ran,
        version: answer.version,
        coverage: answer.coverage,
        rows: answer.rows,
        took: elapsed,
    };
    listener::json_response(StatusCode::OK, &body)
}

/// Builds the response for a refusal.
pub(super) fn refusal_response(
    context: &Context,
    request: &id::Request,
    refusal: &Refusal,
) -> Response<Body> {
    let cause = format!("{:?}", refusal.cause);
    counter!("jacinthfall_refusals_total", "cause" => cause).increment(1);
    let body = api::Refusal {
        request: request.clone(),
        node: context.origin.node.clone(),
        cause: refusal.cause,
        ran: refusal.ran,
        retry_after: refusal.retry_after,
        message: refusal.message.clone(),
    };
    let mut response = listener::json_response(status_code(refusal.cause), &body);
    if let Some(delay) = refusal.retry_after {
        listener::set_retry_after(&mut response, delay);
    }
    response
}

/// Returns the HTTP status code of a refusal.
#[must_use]
pub fn status_code(cause: Cause) -> StatusCode {
    match cause {
        Cause::BadRequest | Cause::BadDeadline => StatusCode::BAD_REQUEST,
        Cause::UnknownProfile => StatusCode::NOT_FOUND,
        Cause::IdReused | Cause::OutcomeUnknown => StatusCode::CONFLICT,
        Cause::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Cause::Expired => StatusCode::GONE,
        Cause::CallerLimit => StatusCode::TOO_MANY_REQUESTS,
        Cause::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Cause::Overloaded
        | Cause::LowCoverage
        | Cause::Unavailable
        | Cause::StoreUnavailable
        | Cause::Cancelled
        | Cause::NotReady => StatusCode::SERVICE_UNAVAILABLE,
    }
}
