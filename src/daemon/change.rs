//! Changes of profiles: validated, then written to the platform's store by
//! compare-and-swap.
//!
//! If the reply to a write is lost, the record is read again. The change was accepted if
//! the history of the record contains its id. Otherwise it is written again on the
//! condition that the revision is unchanged, so that it can take effect only once.

use std::sync::Arc;

use http::StatusCode;
use jacinthfall_adapter::store::{Condition, Item, Put as Write};
use jacinthfall_config as config;
use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::record::{self, Body as RecordBody, Change, Document};
use oxhttp::model::{Body, Request, Response};

use super::context::Context;
use super::job::Job;
use super::listener::{self, BodyError};
use crate::api::{History, Put, Verdict};

/// Number of attempts to write a change before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 3;

/// Serves `PUT /v1/profiles/{name}`.
pub fn put(context: &Arc<Context>, name: &str, request: &mut Request<Body>) -> Response<Body> {
    let parsed: Result<Put, _> = listener::read_json(request, context.settings.limits.body_bytes);
    let put = match parsed {
        Ok(put) => put,
        Err(error) => return verdict_response(&invalid("body", body_error_message(&error))),
    };
    if let Err(verdict) = check(context, name, &put) {
        return verdict_response(&verdict);
    }
    let change = Change {
        id: put.change.id,
        author: put.change.author,
        time: context.clock.wall(),
        cause: put.change.cause,
    };
    verdict_response(&write_change(context, Arc::new(put.profile), put.expect_revision, &change))
}

fn body_error_message(error: &BodyError) -> String {
    match error {
        BodyError::TooLarge => {
            "the body exceeds `limits.body_bytes` of the node's settings; send a smaller one".into()
        }
        BodyError::Read(error) => format!("the body could not be read: {error}; send it again"),
        BodyError::Json(error) => {
            format!("{error}; see docs/API.md for the allowed keys and values")
        }
    }
}

fn invalid(field: &str, message: String) -> Verdict {
    Verdict::Invalid { field: field.into(), message }
}

/// Checks a change before it is written; the verdict names the invalid field.
fn check(context: &Context, name: &str, put: &Put) -> Result<(), Verdict> {
    let profile: &Profile = &put.profile;
    if *profile.name != *name {
        let text = format!(
            "the path names `{name}`, but the profile is named `{}`; use the same name in both",
            profile.name
        );
        return Err(invalid("profile.name", text));
    }
    if let Err(error) = profile.check() {
        return Err(invalid(&format!("profile.{}", error.field), error.to_string()));
    }
    if let Err(error) = id::name(&put.change.id) {
        return Err(invalid("change.id", error.to_string()));
    }
    if put.change.author.is_empty() || put.change.cause.is_empty() {
        let text = "`author` and `cause` must not be empty; state who makes the change and why";
        return Err(invalid("change", text.into()));
    }
    if !context.configuration().services.contains_key(&profile.service) {
        let text =
            format!("service `{}` is not configured; use a configured service", profile.service);
        return Err(invalid("profile.service", text));
    }
    Ok(())
}

/// Result of comparing a change with the stored record.
enum Stored {
    /// The store contains the change, with this revision.
    Accepted(id::Revision),
    /// The store contains this revision instead of the expected one.
    Conflict(id::Revision),
    /// The store contains something else than a document, for this reason.
    Unreadable(serde_json::Error),
    /// The change can replace this document, or be the first if there is none.
    Writable(Option<Document>),
}

/// Writes a change by compare-and-swap and returns the verdict.
fn write_change(
    context: &Context,
    profile: Arc<Profile>,
    expect: Option<id::Revision>,
    change: &Change,
) -> Verdict {
    let key = record::profile_key(&profile.name);
    // If no expected revision is given, the change replaces the revision read first.
    let mut expect = expect;
    for _ in 0..MAX_ATTEMPTS {
        let Ok(item) = context.runtime.block_on(context.platform.get(&key)) else { continue };
        let previous = match compare_stored(item.as_ref(), expect, change) {
            Stored::Accepted(revision) => return Verdict::Accepted { revision },
            Stored::Conflict(revision) => return conflict(revision),
            Stored::Unreadable(reason) => return unreadable(&key, &reason),
            Stored::Writable(previous) => previous,
        };
        expect = Some(previous.as_ref().map_or(id::Revision(0), |p| p.record.revision));
        let body = RecordBody::Profile(Arc::clone(&profile));
        let in_force = context.configuration().records.get(&key).map(|record| record.revision);
        let in_force = in_force.unwrap_or(id::Revision(0));
        let document =
            Document::next(previous.as_ref(), in_force, key.clone(), change.clone(), body);
        let value = serde_json::to_vec(&document).expect("the keys of a document are strings");
        let at = item.map_or(Position::START, |item| item.at);
        let condition = Condition { key: key.clone(), at };
        let write = Write { key: key.clone(), value: value.into(), lease: 0 };
        let (conditions, writes) = ([condition], [write]);
        let commit = context.platform.commit(&conditions, &writes, &[]);
        // After an error, the next iteration reads whether another change was written
        // first or this one took effect.
        if context.runtime.block_on(commit).is_ok() {
            let revision = document.record.revision;
            context.post(Job::Config(config::Event::Accepted(document.record)));
            return Verdict::Accepted { revision };
        }
    }
    Verdict::Unknown {
        change_id: change.id.clone(),
        message:
            "the store did not confirm the change; send the same change again with the same id"
                .into(),
    }
}

/// Parses the document in an item. Returns `None` if there is none.
fn parse_document(item: Option<&Item>) -> Result<Option<Document>, serde_json::Error> {
    let value = item.and_then(|item| item.value.as_ref());
    value.map(|value| serde_json::from_slice(value)).transpose()
}

/// Compares a change and the expected revision with the stored record.
fn compare_stored(item: Option<&Item>, expect: Option<id::Revision>, change: &Change) -> Stored {
    let document = match parse_document(item) {
        Ok(Some(document)) => document,
        Ok(None) => {
            return match expect {
                None | Some(id::Revision(0)) => Stored::Writable(None),
                Some(_) => Stored::Conflict(id::Revision(0)),
            };
        }
        Err(reason) => return Stored::Unreadable(reason),
    };
    if let Some(entry) = document.history.iter().find(|entry| entry.change.id == change.id) {
        return Stored::Accepted(entry.revision);
    }
    let revision = document.record.revision;
    if expect.is_some_and(|expect| expect != revision) {
        return Stored::Conflict(revision);
    }
    Stored::Writable(Some(document))
}

fn unreadable(key: &id::Name, reason: &serde_json::Error) -> Verdict {
    log::warn!("the stored value of {key} is not a document ({reason}); a change is refused");
    let message = format!(
        "the stored value of `{key}` is not a document: {reason}; it is kept, correct or remove it \
         in the store and send the change again"
    );
    Verdict::Unreadable { key: key.clone(), message }
}

fn conflict(revision: id::Revision) -> Verdict {
    let message = format!(
        "revision {revision} is in force; read it, and if the change is still needed, send it \
         again with `expect_revision` {revision}"
    );
    Verdict::Refused { revision, message }
}

fn verdict_response(verdict: &Verdict) -> Response<Body> {
    let status = match verdict {
        Verdict::Accepted { .. } => StatusCode::OK,
        Verdict::Refused { .. } | Verdict::Unreadable { .. } => StatusCode::CONFLICT,
        Verdict::Unknown { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Verdict::Invalid { .. } => StatusCode::BAD_REQUEST,
    };
    listener::json_response(status, verdict)
}

/// Serves `GET /v1/profiles/{name}/history`.
pub fn history(context: &Context, name: &str) -> Response<Body> {
    let key = record::profile_key(name);
    let item = match context.runtime.block_on(context.platform.get(&key)) {
        Ok(item) => item,
        Err(error) => {
            let text = format!("the store can't be read: {error}; try again later\n");
            return listener::text_response(StatusCode::SERVICE_UNAVAILABLE, text);
        }
    };
    match parse_document(item.as_ref()) {
        Err(reason) => {
            let text = format!(
                "the stored value of `{key}` is not a document: {reason}; correct or remove it\n"
            );
            listener::text_response(StatusCode::CONFLICT, text)
        }
        Ok(Some(document)) => {
            listener::json_response(StatusCode::OK, &History { changes: document.history })
        }
        Ok(None) => {
            let text = format!(
                "profile `{name}` is not in the store; GET /v1/profiles lists all profiles\n"
            );
            listener::text_response(StatusCode::NOT_FOUND, text)
        }
    }
}
