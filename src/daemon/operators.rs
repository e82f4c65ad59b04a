//! HTTP interface for operators: profiles, status, timeline and metrics.

use std::sync::Arc;

use http::{Method, StatusCode, header};
use jacinthfall_core::id;
use jacinthfall_core::record::{self, Body as RecordBody};
use jacinthfall_wire::{Frame, status, timeline};
use metrics_exporter_prometheus::PrometheusHandle;
use oxhttp::model::{Body, Request, Response};

use super::change;
use super::context::Context;
use super::listener;
use super::peers;
use crate::api;
use crate::util::lock::lock;

/// Maximum number of events in an answer.
const MAX_EVENTS: u32 = 10_000;

/// Maximum number of events in an answer if the request sets no `limit`.
const DEFAULT_EVENTS: u32 = 1_000;

/// Serves one HTTP request.
pub fn serve(
    context: &Arc<Context>,
    metrics: &PrometheusHandle,
    request: &mut Request<Body>,
) -> Response<Body> {
    if !authorized(context, request) {
        metrics::counter!("jacinthfall_operators_rejected_total").increment(1);
        let text = "a bearer token is required; use `operators.token` of the node's settings\n";
        return listener::text_response(StatusCode::UNAUTHORIZED, text);
    }
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), segments.as_slice()) {
        (&Method::GET, ["metrics"]) => listener::text_response(StatusCode::OK, metrics.render()),
        (&Method::GET, ["v1", "status"]) => node_status(context),
        (&Method::GET, ["v1", "timeline"]) => timeline_events(context, request),
        (&Method::GET, ["v1", "profiles"]) => profiles(context),
        (&Method::GET, ["v1", "profiles", name]) => profile(context, name),
        (&Method::GET, ["v1", "profiles", name, "in-force"]) => node_revisions(context, name),
        (&Method::GET, ["v1", "profiles", name, "history"]) => change::history(context, name),
        (&Method::PUT, ["v1", "profiles", name]) => change::put(context, name, request),
        _ => listener::text_response(StatusCode::NOT_FOUND, "no such path; see docs/API.md\n"),
    }
}

fn authorized(context: &Context, request: &Request<Body>) -> bool {
    let value = request.headers().get(header::AUTHORIZATION);
    let token = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    token.is_some_and(|token| {
        peers::constant_time_eq(token, context.settings.operators.token.as_bytes())
    })
}

fn profiles(context: &Context) -> Response<Body> {
    let configuration = context.configuration();
    let records = configuration.records.values();
    let profiles = records.filter(|record| matches!(record.body, RecordBody::Profile(_)));
    let profiles = profiles.map(|record| (**record).clone()).collect();
    listener::json_response(StatusCode::OK, &api::Profiles { profiles })
}

fn profile(context: &Context, name: &str) -> Response<Body> {
    let configuration = context.configuration();
    match configuration.records.get(&record::profile_key(name)) {
        Some(record) => listener::json_response(StatusCode::OK, &**record),
        None => {
            let text =
                format!("profile `{name}` is not in force; GET /v1/profiles lists all profiles\n");
            listener::text_response(StatusCode::NOT_FOUND, text)
        }
    }
}

fn node_status(context: &Context) -> Response<Body> {
    let status = lock(&context.cores.config).status(context.clock.time());
    let members = context.view().iter().map(to_member).collect();
    let body = api::Status {
        node: context.origin.node.clone(),
        incarnation: context.origin.clone(),
        zone: context.settings.zone.clone(),
        state: context.state.phase().name().into(),
        ready: status.ready,
        unconfirmed: status.unconfirmed,
        watching: status.watching,
        revisions: status.revisions,
        members,
    };
    listener::json_response(StatusCode::OK, &body)
}

fn to_member(rumor: &jacinthfall_wire::member::Rumor) -> api::Member {
    api::Member {
        node: rumor.node.node.clone(),
        state: format!("{:?}", rumor.state).to_lowercase(),
        zone: rumor.zone.clone(),
    }
}

/// Asks every live node which revision of a profile is in effect there.
fn node_revisions(context: &Context, name: &str) -> Response<Body> {
    let key = record::profile_key(name);
    let own_status = lock(&context.cores.config).status(context.clock.time());
    let revision = own_status.revisions.get(&key).copied();
    let others = context.others();
    let token = context.token();
    let receiver = context.broadcasts.open(token);
    for node in &others {
        let find = status::Message::Find { token, key: key.clone() };
        peers::send(context, node, Frame::Status(find));
    }
    let collected = context.broadcasts.wait(token, &receiver, others);
    let mut nodes = vec![api::NodeRevision {
        node: context.origin.node.clone(),
        revision,
        unconfirmed: Some(own_status.unconfirmed),
    }];
    nodes.extend(collected.replies.into_iter().filter_map(|reply| match reply.frame {
        Frame::Status(status::Message::Found { revision, unconfirmed, .. }) => {
            let unconfirmed = Some(std::time::Duration::from_millis(unconfirmed));
            Some(api::NodeRevision { node: reply.from, revision, unconfirmed })
        }
        _ => None,
    }));
    let missing = collected.missing.into_iter();
    nodes.extend(missing.map(|node| api::NodeRevision { node, revision: None, unconfirmed: None }));
    nodes.sort_by(|left, right| left.node.cmp(&right.node));
    listener::json_response(StatusCode::OK, &api::InForce { revision, nodes })
}

/// Collects the matching timeline events of all nodes.
fn timeline_events(context: &Context, request: &Request<Body>) -> Response<Body> {
    let filter = match parse_filter(request) {
        Ok(filter) => filter,
        Err(message) => return listener::text_response(StatusCode::BAD_REQUEST, message),
    };
    let others = context.others();
    let token = context.token();
    let receiver = context.broadcasts.open(token);
    for node in &others {
        let find = timeline::Message::Find { token, filter: filter.clone() };
        peers::send(context, node, Frame::Timeline(find));
    }
    let own_entries = lock(&context.timeline).find(&filter);
    let collected = context.broadcasts.wait(token, &receiver, others);
    let mut lists = vec![own_entries];
    lists.extend(collected.replies.into_iter().filter_map(|reply| match reply.frame {
        Frame::Timeline(timeline::Message::Found { entries, .. }) => Some(entries),
        _ => None,
    }));
    let mut entries = jacinthfall_timeline::merge(lists);
    let surplus = entries.len().saturating_sub(filter.limit as usize);
    entries.drain(..surplus);
    listener::json_response(StatusCode::OK, &api::Timeline { entries, missing: collected.missing })
}

fn parse_filter(request: &Request<Body>) -> Result<timeline::Filter, String> {
    let name = |key: &str| -> Result<Option<id::Name>, String> {
        let value = listener::query_parameter(request, key);
        value.map(|value| id::name(&value).map_err(|e| format!("`{key}`: {e}\n"))).transpose()
    };
    let number = |key: &str| -> Result<Option<u64>, String> {
        let value = listener::query_parameter(request, key);
        let parse = |value: String| {
            value
                .parse()
                .map_err(|_| format!("`{key}`: `{value}` is not a number; use decimal digits\n"))
        };
        value.map(parse).transpose()
    };
    let limit = number("limit")?.unwrap_or(u64::from(DEFAULT_EVENTS));
    let limit = u32::try_from(limit).unwrap_or(u32::MAX).min(MAX_EVENTS);
    Ok(timeline::Filter {
        request: name("request")?,
        node: name("node")?,
        after: number("after")?,
        before: number("before")?,
        limit,
    })
}
