//! Changes of profiles: checked, then swapped into the platform's store.
//!
//! A swap whose reply was lost is read back: the change is accepted if the
//! record's history names its id, and otherwise swapped again against the same
//! store revision, so that it can take effect only once.

use std::sync::Arc;

use http::StatusCode;
use jacinthfall_adapter::message::Condition;
use jacinthfall_adapter::store::{Item, Put as Write};
use jacinthfall_config as config;
use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::record::{self, Body as RecordBody, Change, Document};
use oxhttp::model::{Body, Request, Response};

use super::context::Context;
use super::job::Job;
use super::listener::{self, BodyError};
use crate::api::{History, Put, Verdict};

/// Swaps of one change before its outcome is called unknown.
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
        BodyError::TooLarge => "the body is too large; send a smaller one".into(),
        BodyError::Read(error) => format!("the body ended early: {error}; send it again"),
        BodyError::Json(error) => format!("{error}; see docs/API.md for what is allowed"),
    }
}

fn invalid(field: &str, message: String) -> Verdict {
    Verdict::Invalid { field: field.into(), message }
}

fn check(context: &Context, name: &str, put: &Put) -> Result<(), Verdict> {
    let profile: &Profile = &put.profile;
    if *profile.name != *name {
        let text = format!("the path names `{name}`; give both the same name");
        return Err(invalid("profile.name", text));
    }
    if let Err(error) = profile.check() {
        return Err(invalid(&format!("profile.{}", error.field), error.to_string()));
    }
    if let Err(error) = id::name(&put.change.id) {
        return Err(invalid("change.id", error.to_string()));
    }
    if put.change.author.is_empty() || put.change.cause.is_empty() {
        let text = "author and cause must not be empty; say who changes it and why";
        return Err(invalid("change", text.into()));
    }
    if !context.configuration().services.contains_key(&profile.service) {
        let text = format!("no service `{}` is configured; correct it", profile.service);
        return Err(invalid("profile.service", text));
    }
    Ok(())
}

/// What a read of the record says of a change.
enum Stored {
    /// The change is in the store, with this revision.
    Accepted(id::Revision),
    /// Another revision than the expected one is in the store.
    Conflict(id::Revision),
    /// The change can be written after this document.
    Writable(Option<Document>),
}

fn write_change(
    context: &Context,
    profile: Arc<Profile>,
    expect: Option<id::Revision>,
    change: &Change,
) -> Verdict {
    let key = record::profile_key(&profile.name);
    // Without a stated revision, the one read first is what the change replaces.
    let mut expect = expect;
    for _ in 0..MAX_ATTEMPTS {
        let Ok(item) = context.runtime.block_on(context.platform.get(&key)) else { continue };
        let previous = match compare_stored(item.as_ref(), expect, change) {
            Stored::Accepted(revision) => return Verdict::Accepted { revision },
            Stored::Conflict(revision) => return conflict(revision),
            Stored::Writable(previous) => previous,
        };
        expect = Some(previous.as_ref().map_or(id::Revision(0), |p| p.record.revision));
        let body = RecordBody::Profile(Arc::clone(&profile));
        let document = Document::next(previous.as_ref(), key.clone(), change.clone(), body);
        let value = serde_json::to_vec(&document).expect("documents have string keys only");
        let revision = item.map_or(0, |item| item.revision);
        let condition = Condition { key: key.clone(), revision };
        let write = Write { key: key.clone(), value: value.into(), lease: 0 };
        let (conditions, writes) = ([condition], [write]);
        let commit = context.platform.commit(&conditions, &writes, &[]);
        // After an error read again: another change won, or this one took effect.
        if context.runtime.block_on(commit).is_ok() {
            let revision = document.record.revision;
            context.post(Job::Config(config::Event::Accepted(document.record)));
            return Verdict::Accepted { revision };
        }
    }
    Verdict::Unknown {
        change_id: change.id.clone(),
        message: "the store did not reply; put the same change again under the same id".into(),
    }
}

/// The document that an item holds.
fn parse_document(item: Option<&Item>) -> Option<Document> {
    serde_json::from_slice(item?.value.as_ref()?).ok()
}

fn compare_stored(item: Option<&Item>, expect: Option<id::Revision>, change: &Change) -> Stored {
    let Some(document) = parse_document(item) else {
        return match expect {
            None | Some(id::Revision(0)) => Stored::Writable(None),
            Some(_) => Stored::Conflict(id::Revision(0)),
        };
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

fn conflict(revision: id::Revision) -> Verdict {
    let message = format!(
        "revision {revision} is in force; read it, and put the change again on top of it if it still holds"
    );
    Verdict::Refused { revision, message }
}

fn verdict_response(verdict: &Verdict) -> Response<Body> {
    let status = match verdict {
        Verdict::Accepted { .. } => StatusCode::OK,
        Verdict::Refused { .. } => StatusCode::CONFLICT,
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
            let text = format!("the store can't be read: {error}; ask again later\n");
            return listener::text_response(StatusCode::SERVICE_UNAVAILABLE, text);
        }
    };
    match parse_document(item.as_ref()) {
        Some(document) => {
            listener::json_response(StatusCode::OK, &History { changes: document.history })
        }
        None => {
            let text = format!("no profile `{name}` is in the store; list them at /v1/profiles\n");
            listener::text_response(StatusCode::NOT_FOUND, text)
        }
    }
}
