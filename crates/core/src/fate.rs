//! Fates: audit records of requests, for support engineers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};

use crate::coverage::Coverage;
use crate::refusal::{Cause, Ran};
use crate::time::Wall;
use crate::{id, query};

/// A phase of serving a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waiting for admission and for slots.
    Queued,
    /// Claiming a non-idempotent request in the store.
    Claim,
    /// From the first part sent to the last reply used.
    Leafs,
    /// Merging rows.
    Merge,
}

/// Duration of one phase.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Phase that was measured.
    pub phase: Phase,
    /// Duration of the phase, in microseconds in JSON.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "took_us")]
    pub took: Duration,
}

/// The slowest attempt of a request, among those whose reply was used or that were
/// cancelled.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slowest {
    /// Leaf that the attempt was sent to.
    pub leaf: id::Name,
    /// Shard that was queried.
    pub shard: id::Shard,
    /// Duration of the attempt, in microseconds in JSON.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "took_us")]
    pub took: Duration,
}

/// Fate of a request: the audit record that nodes keep of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fate {
    /// Id of the request.
    pub request: id::Request,
    /// Name of the profile.
    pub profile: id::Name,
    /// Name of the caller.
    pub caller: id::Name,
    /// Incarnation of the node that served the request.
    pub node: id::Incarnation,
    /// When the request arrived at the node.
    pub arrived: Wall,
    /// When the request ended; `None` while it is in progress.
    pub ended: Option<Wall>,
    /// Whether the request ran.
    pub ran: Ran,
    /// Index version of the answer; for a refusal, the one that the query was last pinned to.
    pub version: Option<id::Version>,
    /// Coverage of the answer; for a refusal, the coverage at the end.
    pub coverage: Option<Coverage>,
    /// Reason for the refusal, if the request was refused.
    pub refused: Option<Cause>,
    /// Human-readable explanation of a refusal or delay.
    pub message: String,
    /// Durations of the phases, in order.
    pub spans: Vec<Span>,
    /// The slowest attempt, if any was measured.
    pub slowest: Option<Slowest>,
    /// Number of hedged requests sent.
    pub hedges: u32,
    /// Number of retries sent.
    pub retries: u32,
}

/// Report of the read engine at the end of a request, in addition to the outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Whether any part was passed to a connection to a leaf.
    pub dispatched: bool,
    /// Index version that the query was last pinned to.
    pub version: Option<id::Version>,
    /// Coverage at the end, even if it was too low for an answer.
    pub coverage: Option<Coverage>,
    /// Durations of the phases, in order.
    pub spans: Vec<Span>,
    /// The slowest attempt, if any was measured.
    pub slowest: Option<Slowest>,
    /// Number of hedged requests sent.
    pub hedges: u32,
    /// Number of retries sent.
    pub retries: u32,
}

impl Fate {
    /// Builds the fate of a finished request.
    ///
    /// ```
    /// use jacinthfall_core::fate::{Fate, Report};
    /// use jacinthfall_core::id::Incarnation;
    /// use jacinthfall_core::query::{Answer, Ask, Outcome, Query, Scope};
    /// use jacinthfall_core::refusal::Ran;
    /// use jacinthfall_core::time::Wall;
    /// let query = Query { scope: Scope::All, text: "a".into(), limit: 1 };
    /// let ask = Ask { request: "r".into(), profile: "p".into(), caller: "c".into(),
    ///     issued: Wall(1), query };
    /// let answer = Answer { version: Default::default(), rows: vec![],
    ///     coverage: Default::default() };
    /// let node = Incarnation { node: "n".into(), started: 1 };
    /// let fate = Fate::from_outcome(&ask, node, Wall(1), Wall(2), &Outcome::Answered(answer), Report::default());
    /// assert_eq!(fate.ran, Ran::Ran);
    /// ```
    #[must_use]
    pub fn from_outcome(
        ask: &query::Ask,
        node: id::Incarnation,
        arrived: Wall,
        ended: Wall,
        outcome: &query::Outcome,
        report: Report,
    ) -> Fate {
        let (ran, version, coverage, refused, message) = match outcome {
            query::Outcome::Answered(answer) => {
                (Ran::Ran, Some(answer.version), Some(answer.coverage.clone()), None, String::new())
            }
            query::Outcome::Refused(refusal) => {
                let (version, coverage) = (report.version, report.coverage);
                (refusal.ran, version, coverage, Some(refusal.cause), refusal.message.clone())
            }
        };
        Fate {
            request: ask.request.clone(),
            profile: ask.profile.clone(),
            caller: ask.caller.clone(),
            node,
            arrived,
            ended: Some(ended),
            ran,
            version,
            coverage,
            refused,
            message,
            spans: report.spans,
            slowest: report.slowest,
            hedges: report.hedges,
            retries: report.retries,
        }
    }
}
