//! JSON messages of the HTTP interfaces for callers and operators.
//!
//! The daemon serves them, and the operators' command and the load generator send them.
//! `docs/API.md` is the contract for other clients.

use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::coverage::Coverage;
use jacinthfall_core::fate::Fate;
use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::query::{Query, Row};
use jacinthfall_core::record::{Edit, Record};
use jacinthfall_core::refusal::{Cause, Ran};
use jacinthfall_core::time::Wall;
use jacinthfall_wire::timeline::Entry;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

/// Body of `POST /v1/query`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// Id of the request; repeats use the same id.
    pub request: id::Request,
    /// Name of the profile.
    pub profile: id::Name,
    /// Name of the caller; limits apply per caller.
    #[serde(default = "anonymous")]
    pub caller: id::Name,
    /// When the caller first issued the request; the time of arrival if absent.
    #[serde(rename = "issued_ms", default, skip_serializing_if = "Option::is_none")]
    pub issued: Option<Wall>,
    /// Whether the caller has sent a request with this id before, to any node. If false, a
    /// refusal of an idempotent request with `ran` "not run" may cover this message only, not
    /// earlier ones with the same id.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub repeat: bool,
    /// Time limit of the request; the profile's deadline if absent.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "deadline_ms", default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Duration>,
    /// The query.
    pub query: Query,
}

fn anonymous() -> id::Name {
    "anonymous".into()
}

/// Body of a successful reply to `POST /v1/query`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the request.
    pub request: id::Request,
    /// Node that served the request.
    pub node: id::Name,
    /// Whether the request ran.
    pub ran: Ran,
    /// Version of the index that every row reflects.
    pub version: id::Version,
    /// The number of shards in the answer, and the missing shards.
    pub coverage: Coverage,
    /// Rows in ascending order of key.
    pub rows: Vec<Row>,
    /// Time from arrival to answer, in microseconds.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "took_us")]
    pub took: Duration,
}

/// Body of every refusal.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Id of the request, empty if none could be read.
    pub request: id::Request,
    /// Node that refused the request.
    pub node: id::Name,
    /// Cause of the refusal.
    pub cause: Cause,
    /// Whether the request ran.
    pub ran: Ran,
    /// Delay after which to retry; `None` if a retry can't succeed.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms")]
    pub retry_after: Option<Duration>,
    /// Explanation for a person, which ends with the remedy.
    pub message: String,
}

/// Body of `GET /v1/fates/{id}`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fates {
    /// The request.
    pub request: id::Request,
    /// All known fates with that request id, oldest first.
    pub fates: Vec<Fate>,
    /// Whether every node that keeps fates of this id replied and none had dropped any.
    pub complete: bool,
    /// How far back the fates of the nodes that replied reach without a gap.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "reach_ms", default)]
    pub reach: Duration,
}

/// An address that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Node at this address.
    pub node: id::Name,
    /// Availability zone.
    pub zone: id::Name,
    /// Address of the callers' listener.
    pub address: SocketAddr,
}

/// Body of `GET /v1/addresses`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// How long the addresses may be used before they must be fetched again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms")]
    pub hold: Duration,
    /// Addresses, nearest availability zone first.
    pub addresses: Vec<Address>,
}

/// Body of `GET /v1/profiles`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Profiles {
    /// Records of all profiles in force at the node.
    pub profiles: Vec<Record>,
}

/// Who changes a profile and why, as an operator states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reason {
    /// Id of the change; repeats use the same id.
    pub id: id::Name,
    /// Author of the change.
    pub author: id::Name,
    /// Reason for the change.
    pub cause: id::Name,
}

/// Body of `PUT /v1/profiles/{name}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// The new profile.
    pub profile: Profile,
    /// Revision that the change must replace; the current one if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect_revision: Option<id::Revision>,
    /// Who changes it and why.
    pub change: Reason,
}

/// Reply to `PUT /v1/profiles/{name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Verdict {
    /// The change is in the store and will be in force on every node.
    Accepted {
        /// Revision of the change.
        revision: id::Revision,
    },
    /// A concurrent change was applied instead of this one.
    Refused {
        /// Revision of the change that was applied.
        revision: id::Revision,
        /// What to do.
        message: String,
    },
    /// The stored value can't be read, so the change would lose it and its history.
    Unreadable {
        /// Key of the value in the store.
        key: id::Name,
        /// What to do.
        message: String,
    },
    /// The store did not reply; the change may have been applied.
    Unknown {
        /// Id of the change, with which to send it again.
        change_id: id::Name,
        /// What to do.
        message: String,
    },
    /// The change is invalid and was not sent to the store.
    Invalid {
        /// The invalid field.
        field: String,
        /// What is allowed and what to do.
        message: String,
    },
}

/// Body of `GET /v1/profiles/{name}/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Changes, oldest first.
    pub changes: Vec<Edit>,
}

/// Revision that one node has in force.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRevision {
    /// The node.
    pub node: id::Name,
    /// Revision in force there; `None` if it has none or did not reply.
    pub revision: Option<id::Revision>,
    /// Time since the node last confirmed that this revision is current.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "unconfirmed_ms")]
    pub unconfirmed: Option<Duration>,
}

/// Body of `GET /v1/profiles/{name}/in-force`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Revision in force at the node that was asked.
    pub revision: Option<id::Revision>,
    /// Revisions of all live nodes.
    pub nodes: Vec<NodeRevision>,
}

/// A member of the cluster, as seen by one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub node: id::Name,
    /// State of the member.
    pub state: String,
    /// Availability zone.
    pub zone: id::Name,
}

/// Body of `GET /v1/status`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node.
    pub node: id::Name,
    /// Current incarnation of the node.
    pub incarnation: id::Incarnation,
    /// Availability zone.
    pub zone: id::Name,
    /// `running`, `leaving` or `stopping`.
    pub state: String,
    /// Whether a configuration is in force.
    pub ready: bool,
    /// Time since the configuration was last confirmed to be current.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "unconfirmed_ms")]
    pub unconfirmed: Duration,
    /// Whether this node watches the store.
    pub watching: bool,
    /// Revisions in force, by key.
    pub revisions: std::collections::BTreeMap<id::Name, id::Revision>,
    /// Members of the cluster, as seen by this node.
    pub members: Vec<Member>,
}

/// Body of `GET /v1/timeline`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeline {
    /// Events in causal order.
    pub entries: Vec<Entry>,
    /// Nodes that did not reply.
    pub missing: Vec<id::Name>,
}
