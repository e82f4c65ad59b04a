//! Validation of a query against its profile, before it is passed to a decision core.

use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::query::{self, Scope};
use jacinthfall_core::refusal::{Cause, Ran, Refusal};
use jacinthfall_core::time::{Time, Wall};

use super::not_ready;
use crate::api;
use crate::daemon::context::Context;
use crate::daemon::listener::BodyError;
use crate::daemon::recent::Reuse;
use crate::util::lock::lock;

/// Maximum number of rows that a query may request.
const MAX_ROWS: u32 = 100_000;

/// Maximum length of the text of a query, in bytes.
const MAX_TEXT_BYTES: usize = 16 * 1024;

/// An ask that passed all checks.
pub(super) struct Admitted {
    pub(super) ask: Arc<query::Ask>,
    pub(super) profile: Arc<Profile>,
    /// Whether an earlier ask with the same id may have run.
    pub(super) repeat: bool,
    pub(super) arrived: Time,
    pub(super) arrived_wall: Wall,
    pub(super) deadline: Duration,
}

/// Replaces `NotRun` in a refusal by `Unknown` if the ask is a repeat: an earlier ask with
/// the same id may have run.
pub(super) fn unknown_if_repeat(refusal: Refusal, repeat: bool) -> Refusal {
    if refusal.ran != Ran::NotRun || !repeat {
        return refusal;
    }
    let message = format!(
        "{}; this ask was not run, but an earlier one with the same id may have run",
        refusal.message
    );
    Refusal { ran: Ran::Unknown, message, ..refusal }
}

/// Returns the refusal of a request whose body was rejected.
pub(super) fn body_refusal(context: &Context, error: &BodyError) -> Refusal {
    let limit = context.settings.limits.body_bytes;
    let (cause, message) = match error {
        BodyError::TooLarge => {
            (Cause::TooLarge, format!("the body exceeds {limit} bytes; send a smaller query"))
        }
        BodyError::Read(error) => {
            (Cause::BadRequest, format!("the body could not be read: {error}; send it again"))
        }
        BodyError::Json(error) => {
            (Cause::BadRequest, format!("the body is not a valid query: {error}; see docs/API.md"))
        }
    };
    rejection(cause, message)
}

/// Returns a refusal which says that this ask was not and will not be sent to any leaf.
/// If another query with the same id exists, the cause says so.
fn rejection(cause: Cause, message: impl Into<String>) -> Refusal {
    Refusal { cause, ran: Ran::NotRun, retry_after: None, message: message.into() }
}

/// Checks a message against its profile in effect.
pub(super) fn admit(
    context: &Context,
    message: &api::Ask,
    ask: Arc<query::Ask>,
    arrived: Time,
    arrived_wall: Wall,
) -> Result<Admitted, Refusal> {
    check_names(message)?;
    let configuration = context.configuration();
    if configuration.records.is_empty() {
        return Err(not_ready("the node has no configuration yet; use another address"));
    }
    let Some(profile) = configuration.profiles.get(&message.profile).cloned() else {
        let text = format!(
            "profile `{}` is not in force; check its name or ask an operator to add it",
            message.profile
        );
        // The profile may have been one for requests that are not idempotent, so that
        // it can't be ruled out that an earlier ask ran.
        return Err(unknown_if_repeat(rejection(Cause::UnknownProfile, text), true));
    };
    drop(configuration);
    if !profile.idempotent && message.issued.is_none() {
        let text = "key `issued_ms` is missing; a request that must not run twice needs the time \
                    when it was first issued, the same in every repeat";
        return Err(unknown_if_repeat(rejection(Cause::BadRequest, text), true));
    }
    // For a request that is not idempotent, only the claim engine can rule out that an
    // earlier ask ran.
    let qualify = |refusal| unknown_if_repeat(refusal, !profile.idempotent);
    check_query(&message.query, &profile).map_err(qualify)?;
    let deadline = check_deadline(message.deadline, &profile).map_err(qualify)?;
    let repeat = message.repeat | check_reuse(context, message, &profile)?;
    Ok(Admitted { ask, profile, repeat, arrived, arrived_wall, deadline })
}

/// Returns whether this node recently received the same query with the same id. Requests
/// that are not idempotent are checked by the claim engine instead.
fn check_reuse(context: &Context, message: &api::Ask, profile: &Profile) -> Result<bool, Refusal> {
    if !profile.idempotent {
        return Ok(false);
    }
    let digest = message.query.digest(&message.profile);
    match lock(&context.recent_ids).check(&message.request, digest) {
        Reuse::New => Ok(false),
        Reuse::SameQuery => Ok(true),
        Reuse::OtherQuery => {
            let text = "the id was already used for another query; use a unique id for every query";
            Err(Refusal { ran: Ran::Unknown, ..rejection(Cause::IdReused, text) })
        }
    }
}

fn check_names(message: &api::Ask) -> Result<(), Refusal> {
    let names =
        [("request", &message.request), ("profile", &message.profile), ("caller", &message.caller)];
    for (key, name) in names {
        if let Err(error) = id::name(name) {
            return Err(rejection(Cause::BadRequest, format!("key `{key}`: {error}")));
        }
    }
    Ok(())
}

fn check_query(query: &query::Query, profile: &Profile) -> Result<(), Refusal> {
    if query.limit == 0 || query.limit > MAX_ROWS {
        let text = format!("key `query.limit` must be 1 to {MAX_ROWS}, but it is {}", query.limit);
        return Err(rejection(Cause::BadRequest, text));
    }
    if query.text.len() > MAX_TEXT_BYTES {
        let text =
            format!("key `query.text` must be at most {MAX_TEXT_BYTES} bytes long; shorten it");
        return Err(rejection(Cause::BadRequest, text));
    }
    if !profile.idempotent && query.scope == Scope::All {
        let text = "a request that is not idempotent must address one key; set `query.scope.key`";
        return Err(rejection(Cause::BadRequest, text));
    }
    Ok(())
}

fn check_deadline(asked: Option<Duration>, profile: &Profile) -> Result<Duration, Refusal> {
    let deadline = asked.unwrap_or(profile.deadline);
    if deadline.is_zero() || deadline > profile.deadline {
        let max_ms = profile.deadline.as_millis();
        let text = format!(
            "key `deadline_ms` must be 1 to {max_ms}, the deadline of the profile; correct it"
        );
        return Err(rejection(Cause::BadDeadline, text));
    }
    Ok(deadline)
}
