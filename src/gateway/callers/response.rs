//! Answers to callers, as HTTP responses.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use jacinthfall_adapter::header;
use jacinthfall_dispatch::flight::Answer;

/// Puts the answer to a request into HTTP.
pub(super) fn respond(answer: Answer) -> Response<Full<Bytes>> {
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

/// Returns the refusal of a request that has not run, with the time to come back.
pub(super) fn refusal(retry_after: Duration) -> Response<Full<Bytes>> {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, "not run; come back later\n", retry_after)
}

/// Returns the refusal of a request whose organisation has used up its quota.
pub(super) fn over_quota(retry_after: Duration) -> Response<Full<Bytes>> {
    let reason = "not run; the organisation's quota is used up\n";
    retry_later(StatusCode::TOO_MANY_REQUESTS, reason, retry_after)
}

fn retry_later(
    status: StatusCode,
    reason: &'static str,
    retry_after: Duration,
) -> Response<Full<Bytes>> {
    let mut response = text(status, reason);
    if let Ok(value) = HeaderValue::from_str(&format_delay(retry_after)) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns a delay in seconds, rounded up to milliseconds: rounded down, a short one would let the
/// caller come back at once.
fn format_delay(delay: Duration) -> String {
    let millis = delay.as_micros().div_ceil(1_000).max(1);
    format!("{}.{:03}", millis / 1_000, millis % 1_000)
}

/// Returns the rejection of a request without a valid key.
pub(super) fn unauthorized(reason: &'static str) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::UNAUTHORIZED, reason);
    // RFC 9110 requires the field with this status; no registered scheme is a key by itself.
    response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("ApiKey"));
    response
}

/// Returns a response with a text of this node.
pub(super) fn text(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
