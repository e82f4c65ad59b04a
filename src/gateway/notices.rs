//! Records what a leaf says of itself in the headers of a response: its load, and whether and how
//! many requests it accepts.

use http::{HeaderMap, HeaderValue, StatusCode};
use jacinthfall_adapter::header;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::{Change, Key, Report, Statement};

use super::hub::Hub;

/// Records what the response to a request says that was sent to a leaf at `sent`.
pub fn record(hub: &Hub, leaf: Key, sent: Time, status: &StatusCode, headers: &HeaderMap) {
    // Another leaf has the address, and the response is about that one.
    if *status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    record_load(hub, leaf, headers);
    record_warmup(hub, leaf, headers);
    record_rate_limit(hub, leaf, sent, headers);
    if header::is_leaving(headers) && record_leaving(hub, leaf) {
        hub.close_idle(leaf);
    }
    if matches!(*status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        record_backoff(hub, leaf, headers);
    }
}

fn record_load(hub: &Hub, leaf: Key, headers: &HeaderMap) {
    let load = headers.get(header::LOAD).and_then(|load| load.to_str().ok());
    if let Some(load) = load.and_then(header::decode_load) {
        let report = Report { requests: load.running.saturating_add(load.waiting), at: hub.now() };
        hub.tables().fleet.record_report(leaf, report);
    }
}

/// Records what the response to a health check says, if it is of this leaf. The check names no leaf
/// that it is for, so the response has to.
pub fn record_health(hub: &Hub, leaf: Key, headers: &HeaderMap) {
    if headers.contains_key(header::LEAF) {
        record_warmup(hub, leaf, headers);
    }
}

/// Records for how long a leaf stays cold, if the response says so and is of this leaf.
fn record_warmup(hub: &Hub, leaf: Key, headers: &HeaderMap) {
    let Some(left) = header::decode_warmup(headers) else { return };
    let now = hub.now();
    let mut tables = hub.tables();
    let id = headers.get(header::LEAF).map(HeaderValue::as_bytes);
    let is_own = |id: &[u8]| tables.fleet.leaf(leaf).is_some_and(|leaf| leaf.id.as_bytes() == id);
    if id.is_none_or(is_own) {
        tables.fleet.record_warmup(now, leaf, left);
    }
}

fn record_rate_limit(hub: &Hub, leaf: Key, sent: Time, headers: &HeaderMap) {
    let now = hub.now();
    let statement = match header::decode_rate_limit(headers) {
        header::RateLimit::None => Statement::Unlimited,
        header::RateLimit::PerSecond(limit) => Statement::PerSecond(limit),
        header::RateLimit::Malformed => {
            let value = headers.get(header::RATE_LIMIT);
            return hub.audit.log_malformed_rate_limit(now, &hub.tables, leaf, value);
        }
    };
    let news = hub.tables().fleet.record_rate_limit(now, leaf, sent, statement);
    if let Some(statement) = news {
        hub.audit.log_rate_limit(now, &hub.tables, leaf, statement);
    }
}

/// Records that a leaf shuts down, which the store may tell only later. Returns `true` if it is news.
fn record_leaving(hub: &Hub, leaf: Key) -> bool {
    let change = hub.tables().fleet.record_leaving(leaf);
    log_change(hub, leaf, change);
    change.is_some()
}

/// Records for how long a leaf that turned a request away wants no others.
fn record_backoff(hub: &Hub, leaf: Key, headers: &HeaderMap) {
    let Some(backoff) = header::decode_retry_after(headers) else { return };
    let change = hub.tables().fleet.record_backoff(hub.now(), leaf, backoff);
    log_change(hub, leaf, change);
}

fn log_change(hub: &Hub, leaf: Key, change: Option<Change>) {
    if let Some(change) = change {
        hub.audit.log_leaf_change(hub.now(), &hub.tables, leaf, "response", change);
    }
}
