//! Queries of callers, and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::coverage::Coverage;
use crate::refusal::Refusal;
use crate::time::Wall;
use crate::{hash, id};

/// Which shards a query addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Every shard of the service.
    All,
    /// Only the shard that holds the key.
    Key(Arc<str>),
}

/// Query of a caller, which nodes hand to the leafs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// Shards that the query addresses.
    pub scope: Scope,
    /// Text of the query, passed to the leafs unchanged.
    pub text: Arc<str>,
    /// Maximum number of rows to return.
    #[serde(default = "default_limit")]
    pub limit: u32,
}

fn default_limit() -> u32 {
    1_000
}

impl Query {
    /// Returns a digest of the query and the profile, to detect that a request id is reused
    /// for another query.
    ///
    /// ```
    /// use jacinthfall_core::query::{Query, Scope};
    /// let query = Query { scope: Scope::All, text: "a".into(), limit: 1 };
    /// let other = Query { limit: 2, ..query.clone() };
    /// assert_ne!(query.digest("p"), other.digest("p"));
    /// ```
    #[must_use]
    pub fn digest(&self, profile: &str) -> u64 {
        let scope = match &self.scope {
            Scope::All => "all\0",
            Scope::Key(key) => &format!("key\0{key}"),
        };
        hash::digest(format!("{profile}\0{scope}\0{}\0{}", self.text, self.limit).as_bytes())
    }
}

/// One request of a caller, as admitted by a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Id of the request, chosen by the caller.
    pub request: id::Request,
    /// Name of the profile.
    pub profile: id::Name,
    /// Name of the caller. Some limits apply per caller.
    pub caller: id::Name,
    /// When the caller first issued the request; the same in every repeat.
    pub issued: Wall,
    /// Query to run.
    pub query: Query,
}

/// A row of an answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Key, unique within one index version.
    pub key: Arc<str>,
    /// Value of the row.
    pub value: Arc<str>,
}

/// An answer merged from the replies of leafs. All rows come from one index version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Index version that all rows come from.
    pub version: id::Version,
    /// Rows, in ascending order of their keys.
    pub rows: Vec<Row>,
    /// Which shards the rows come from, and which are missing.
    pub coverage: Coverage,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request got an answer, possibly a partial one.
    Answered(Answer),
    /// The request was refused.
    Refused(Refusal),
}
