//! Formats events of the timeline.

use jacinthfall_core::event::{Event, Kind};
use jacinthfall_core::refusal::Ran;
use jacinthfall_wire::timeline::Entry;

use super::text;

/// Formats an event as one line: time of day, node, request and description.
///
/// If `with_request` is false, the request is omitted, for lists of events of one request.
#[must_use]
pub fn line(entry: &Entry, with_request: bool) -> String {
    let time = text::clock(entry.stamp.wall());
    let request = match &entry.event.request {
        Some(id) if with_request => format!("{id}  "),
        _ => String::new(),
    };
    format!("{time}  {}  {request}{}", entry.node.node, describe(&entry.event))
}

/// Describes an event.
///
/// ```
/// use jacinthfall::ops::event;
/// use jacinthfall_core::event::{Event, Kind};
/// let arrived = Event { request: None, kind: Kind::Arrived { profile: "desk".into() } };
/// assert_eq!(event::describe(&arrived), "arrived, profile desk");
/// ```
#[must_use]
pub fn describe(event: &Event) -> String {
    match &event.kind {
        Kind::Arrived { profile } => format!("arrived, profile {profile}"),
        Kind::Sent { attempt, leaf, shard } => {
            format!("asked leaf {leaf} for shard {shard} (attempt {attempt})")
        }
        Kind::Hedged { attempt, leaf, shard } => {
            format!("slow: also asked leaf {leaf} for shard {shard} (attempt {attempt})")
        }
        Kind::Retried { attempt, leaf, shard } => {
            format!("failed: asked leaf {leaf} for shard {shard} instead (attempt {attempt})")
        }
        Kind::Cancelled { attempt } => format!("cancelled attempt {attempt}, no longer needed"),
        Kind::Replied { attempt, leaf, shard, version } => {
            let from = format!("leaf {leaf} for shard {shard}");
            format!("used the reply of {from} in index version {version} (attempt {attempt})")
        }
        Kind::Failed { attempt, leaf, shard, cause } => {
            let why = text::failed_because(*cause);
            format!("leaf {leaf} failed for shard {shard}: {why} (attempt {attempt})")
        }
        Kind::Dropped { leaf } => {
            format!("dropped a reply of leaf {leaf} that matches no open attempt")
        }
        Kind::Moved { from, to } => format!("moved from index version {from} to {to}"),
        Kind::Claimed => "claimed in the store: only this node may run it".into(),
        Kind::ClaimLost => "another attempt holds the claim in the store".into(),
        Kind::Ended { ran, refused: None } => format!("ended, {}", describe_ran(*ran)),
        Kind::Ended { ran, refused: Some(cause) } => {
            format!("refused, {}: {}", describe_ran(*ran), text::refused_because(*cause))
        }
        Kind::Applied { key, revision } => format!("{key} is in force at revision {revision}"),
        Kind::State { who, state } => format!("{who} is now {state}"),
    }
}

const fn describe_ran(ran: Ran) -> &'static str {
    match ran {
        Ran::NotRun => "not run",
        Ran::Ran => "ran",
        Ran::Unknown => "may have run",
    }
}
