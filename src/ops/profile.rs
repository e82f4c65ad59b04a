//! `profile`: reads profile files, lists and changes profiles, and waits for a change to
//! be in force.

use std::fs;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use jacinthfall_core::id;
use jacinthfall_core::profile::{self, Profile};
use jacinthfall_core::record::{Body, Record};
use serde_json::{Map, Value};
use thiserror::Error as ThisError;

use super::node::{Listener, Node};
use super::{Error as CallError, Outcome, text};
use crate::api::{History, InForce, Profiles, Put, Verdict};
use crate::util::jsonc;

/// Keys of a profile in JSON.
pub const KEYS: [&str; 11] = [
    "name",
    "service",
    "deadline_ms",
    "least_coverage",
    "wait",
    "early_after_ms",
    "idempotent",
    "extra_load",
    "hedge_quantile",
    "priority",
    "concurrency",
];

/// Unit suffixes that [`remedy_of_key`] ignores when it looks for a similar key.
const UNITS: [&str; 9] =
    ["", "_ms", "_s", "_us", "_sec", "_seconds", "_millis", "_milliseconds", "_percent"];

/// Maximum number of times that a change with an unknown result is sent. All attempts use
/// the same change id.
const MAX_ATTEMPTS: u32 = 5;

/// Delay before a change is sent again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval between two requests for the revision that each node has in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Why a profile file is invalid. Nothing was sent.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The file is not JSON with comments.
    #[error("{file}: {message}; write one profile as a JSON object, comments are allowed")]
    Json {
        /// The file.
        file: PathBuf,
        /// What is wrong, with line and column.
        message: String,
    },
    /// A key is unknown.
    #[error("{file}: unknown key `{key}`; {remedy}")]
    Key {
        /// The file.
        file: PathBuf,
        /// The key.
        key: String,
        /// What to write instead.
        remedy: String,
    },
    /// A value has the wrong type.
    #[error("{file}: key `{key}`: {message}; {remedy}")]
    Value {
        /// The file.
        file: PathBuf,
        /// The key.
        key: String,
        /// What is wrong.
        message: String,
        /// What to write instead.
        remedy: &'static str,
    },
    /// A value is out of range.
    #[error("{file}: {source}")]
    Bound {
        /// The file.
        file: PathBuf,
        /// The key and its allowed range.
        source: profile::Error,
    },
}

/// Reads and checks a profile in JSON with comments.
///
/// # Errors
///
/// [`super::Error::File`] or [`super::Error::Profile`].
pub fn open(file: &Path) -> Result<Profile, CallError> {
    let text = fs::read_to_string(file);
    let text = text.map_err(|source| CallError::File { file: file.into(), source })?;
    Ok(parse(file, &text)?)
}

/// Parses and checks the text of a profile; `file` only appears in error messages.
///
/// # Errors
///
/// Any [`Error`].
///
/// ```
/// use jacinthfall::ops::profile;
/// let text = r#"{"name": "p", "service": "s", "deadline_s": 2, "idempotent": true}"#;
/// let error = profile::parse("p.jsonc".as_ref(), text).unwrap_err();
/// assert!(error.to_string().ends_with("write it as `deadline_ms`"));
/// ```
pub fn parse(file: &Path, text: &str) -> Result<Profile, Error> {
    let object: Map<String, Value> = jsonc::parse(text)
        .map_err(|fault| Error::Json { file: file.into(), message: fault.message })?;
    if let Some(key) = object.keys().find(|key| !KEYS.contains(&key.as_str())) {
        let remedy = remedy_of_key(key);
        return Err(Error::Key { file: file.into(), key: key.clone(), remedy });
    }
    let parsed: Result<Profile, _> = serde_path_to_error::deserialize(Value::Object(object));
    let profile = parsed.map_err(|error| {
        let key = error.path().to_string();
        let remedy = remedy_of_value(&key);
        Error::Value { file: file.into(), key, message: error.inner().to_string(), remedy }
    })?;
    profile.check().map_err(|source| Error::Bound { file: file.into(), source })?;
    Ok(profile)
}

/// Suggests the key that differs only in its unit, or else lists all keys.
fn remedy_of_key(key: &str) -> String {
    let stem = |key: &str| {
        let units = UNITS.iter().filter_map(|unit| key.strip_suffix(unit));
        units.min_by_key(|stem| stem.len()).unwrap_or(key).to_owned()
    };
    match KEYS.iter().find(|known| stem(known) == stem(key)) {
        Some(known) => format!("write it as `{known}`"),
        None => format!("take one of {}", KEYS.join(", ")),
    }
}

fn remedy_of_value(key: &str) -> &'static str {
    match key {
        "deadline_ms" | "early_after_ms" => "write whole milliseconds as a plain number",
        "least_coverage" | "extra_load" | "hedge_quantile" => "write a share such as 0.9",
        "priority" | "concurrency" => "write a whole number",
        "idempotent" => "write true or false",
        "wait" => "write \"full\" or \"early\"",
        "." => "add the missing key",
        _ => "correct it",
    }
}

/// Lists all profiles in force at a node.
///
/// # Errors
///
/// Any [`super::Error`].
pub fn list(node: &Node) -> Result<Profiles, CallError> {
    node.get(Listener::Operators, "/v1/profiles")?.ok()
}

/// Returns the record of a profile.
///
/// # Errors
///
/// Any [`super::Error`].
pub fn show(node: &Node, name: &str) -> Result<Record, CallError> {
    node.get(Listener::Operators, &format!("/v1/profiles/{name}"))?.ok()
}

/// Returns the changes of a profile, oldest first.
///
/// # Errors
///
/// Any [`super::Error`].
pub fn history(node: &Node, name: &str) -> Result<History, CallError> {
    node.get(Listener::Operators, &format!("/v1/profiles/{name}/history"))?.ok()
}

/// Puts a profile. If the result is unknown, sends the change again under the same change
/// id, which makes the change idempotent.
///
/// # Errors
///
/// Any [`super::Error`]. A refusal is a [`Verdict`], not an error.
pub fn put(node: &Node, put: &Put) -> Result<Verdict, CallError> {
    let path = format!("/v1/profiles/{}", put.profile.name);
    let mut attempts = 1;
    loop {
        let verdict = put_once(node, &path, put);
        let is_unknown =
            matches!(verdict, Ok(Verdict::Unknown { .. }) | Err(CallError::Broken { .. }));
        if !is_unknown || attempts == MAX_ATTEMPTS {
            return verdict;
        }
        attempts += 1;
        thread::sleep(RETRY_DELAY);
    }
}

fn put_once(node: &Node, path: &str, put: &Put) -> Result<Verdict, CallError> {
    let reply = node.send_json(Listener::Operators, Method::PUT, path, put)?;
    reply.json().map_err(|_| reply.unexpected())
}

/// Returns the outcome of the command.
#[must_use]
pub const fn outcome(verdict: &Verdict) -> Outcome {
    match verdict {
        Verdict::Accepted { .. } => Outcome::Done,
        Verdict::Refused { .. } | Verdict::Unreadable { .. } => Outcome::Refused,
        Verdict::Unknown { .. } => Outcome::Unknown,
        Verdict::Invalid { .. } => Outcome::Usage,
    }
}

/// Polls until every live node has at least `revision` in force or `limit` has passed, and
/// calls `progress` whenever the set of nodes without it changes. Returns the last state.
///
/// # Errors
///
/// The last [`super::Error`], if no reply arrived before `limit`.
pub fn wait(
    node: &Node,
    name: &str,
    revision: id::Revision,
    limit: Duration,
    mut progress: impl FnMut(&InForce),
) -> Result<InForce, CallError> {
    let end = Instant::now() + limit;
    let mut last: Option<InForce> = None;
    loop {
        let reply = node.get(Listener::Operators, &format!("/v1/profiles/{name}/in-force"));
        let state = reply.and_then(|reply| reply.ok::<InForce>());
        let is_over = Instant::now() >= end;
        match state {
            Ok(state) if is_everywhere(&state, revision) => {
                progress(&state);
                return Ok(state);
            }
            Ok(state) => {
                if last
                    .as_ref()
                    .is_none_or(|last| pending(last, revision) != pending(&state, revision))
                {
                    progress(&state);
                }
                last = Some(state);
            }
            Err(error) if is_over && last.is_none() => return Err(error),
            Err(_) => (),
        }
        match last {
            Some(state) if is_over => return Ok(state),
            _ => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Returns whether every live node has at least `revision` in force.
#[must_use]
pub fn is_everywhere(state: &InForce, revision: id::Revision) -> bool {
    !state.nodes.is_empty() && pending(state, revision).is_empty()
}

/// Returns the nodes that have an older revision in force, or did not reply.
fn pending(state: &InForce, revision: id::Revision) -> Vec<&id::Name> {
    let nodes = state.nodes.iter().filter(|node| node.revision < Some(revision));
    nodes.map(|node| &node.node).collect()
}

/// Formats how many nodes have a revision in force, and which ones do not.
#[must_use]
pub fn render_progress(state: &InForce, revision: id::Revision) -> String {
    let pending = pending(state, revision);
    let reached = state.nodes.len() - pending.len();
    let line = format!("revision {revision} in force on {reached} of {} nodes", state.nodes.len());
    if pending.is_empty() {
        return line;
    }
    let names: Vec<&str> = pending.iter().map(|name| &***name).collect();
    format!("{line}, waiting for {}", names.join(", "))
}

/// Formats the result of a put.
#[must_use]
pub fn render_verdict(name: &str, change: &str, verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { revision } => {
            format!("Profile {name}: accepted as revision {revision} (change {change}).\n")
        }
        Verdict::Refused { revision, message } => format!(
            "Profile {name}: refused, nothing changed. Revision {revision} is in force. \
             {message}\n"
        ),
        Verdict::Unreadable { message, .. } => {
            format!("Profile {name}: refused, nothing changed. {message}\n")
        }
        Verdict::Unknown { change_id, message } => format!(
            "Profile {name}: the change may or may not have taken effect. {message}\n\
             Put it again with --change-id {change_id}; it will take effect only once.\n"
        ),
        Verdict::Invalid { field, message } => {
            format!("Profile {name}: invalid, nothing changed. {field}: {message}\n")
        }
    }
}

/// Formats the profiles, one per line.
#[must_use]
pub fn render_list(profiles: &Profiles) -> String {
    let lines = profiles.profiles.iter().filter_map(|record| match &record.body {
        Body::Profile(profile) => Some(format!(
            "{:<24} {:<24} revision {:<5} deadline {:<10} {}",
            profile.name,
            profile.service,
            record.revision,
            text::duration(profile.deadline),
            if profile.idempotent { "idempotent" } else { "runs at most once" }
        )),
        Body::Service(_) | Body::Deleted => None,
    });
    let lines: Vec<String> = lines.collect();
    if lines.is_empty() {
        return "no profiles are in force\n".into();
    }
    lines.join("\n") + "\n"
}

/// Formats a record as JSON below a comment with the change, so that the output can be
/// edited and put again.
///
/// # Panics
///
/// Never: a profile serializes to JSON.
#[must_use]
pub fn render_record(record: &Record) -> String {
    let change = &record.change;
    let head = format!(
        "// revision {}, {} by {}: {}\n",
        record.revision,
        text::time(change.time),
        change.author,
        change.cause.replace('\n', " ")
    );
    match &record.body {
        Body::Profile(profile) => {
            let json = serde_json::to_string_pretty(&**profile);
            format!("{head}{}\n", json.expect("a profile has string keys only"))
        }
        Body::Service(_) => format!("{head}// not a profile\n"),
        Body::Deleted => format!("{head}// deleted\n"),
    }
}

/// Formats the changes, one per line and the oldest first.
#[must_use]
pub fn render_history(history: &History) -> String {
    let lines = history.changes.iter().map(|past| {
        let change = &past.change;
        let time = text::time(change.time);
        format!(
            "revision {:<5} {time}  {}  {} (change {})",
            past.revision, change.author, change.cause, change.id
        )
    });
    let lines: Vec<String> = lines.collect();
    if lines.is_empty() {
        return "no changes are recorded\n".into();
    }
    lines.join("\n") + "\n"
}
