//! Coverage of an answer: which shards it includes, and which are missing and why.

use serde::{Deserialize, Serialize};

use crate::id;

/// Reason why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// No replica replied before the deadline.
    Timeout,
    /// Every replica refused the connection or closed it.
    Unreachable,
    /// Every replica shed the load or had no free slot in time.
    Overloaded,
    /// Every replica is leaving or draining.
    Leaving,
    /// No replica can serve the index version of the answer.
    VersionUnavailable,
    /// The replies were truncated or malformed.
    BadReply,
    /// The partition map lists no replica of the shard.
    NoReplica,
    /// The profile allows early answers, and the answer was sent before the shard replied.
    AnsweredEarly,
    /// The caller cancelled the request.
    Cancelled,
    /// The node that relayed the part for the shard was lost.
    RelayLost,
    /// The request was refused before the shard replied, because too many other shards
    /// were missing.
    GivenUp,
}

/// A shard that is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Missed {
    /// Number of the shard.
    pub shard: id::Shard,
    /// Reason why it is missing.
    pub cause: Cause,
}

/// Coverage of an answer, relative to the partition map of its index version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of shards that the query addresses.
    pub total: u32,
    /// Number of shards whose rows are in the answer.
    pub answered: u32,
    /// The other addressed shards, in ascending order.
    pub missed: Vec<Missed>,
}

impl Coverage {
    /// Returns whether no shard is missing.
    ///
    /// ```
    /// use jacinthfall_core::coverage::Coverage;
    /// let coverage = Coverage { total: 2, answered: 2, missed: Vec::new() };
    /// assert!(coverage.is_full());
    /// ```
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.answered == self.total
    }

    /// Returns the share of the addressed shards that answered, from 0 to 1.
    ///
    /// ```
    /// use jacinthfall_core::coverage::Coverage;
    /// let coverage = Coverage { total: 4, answered: 3, missed: Vec::new() };
    /// assert_eq!(coverage.share(), 0.75);
    /// ```
    #[must_use]
    pub fn share(&self) -> f64 {
        if self.total == 0 {
            return 1.0;
        }
        f64::from(self.answered) / f64::from(self.total)
    }

    /// Returns whether the numbers of answered and missed shards add up to the total.
    ///
    /// ```
    /// use jacinthfall_core::coverage::Coverage;
    /// let coverage = Coverage { total: 4, answered: 3, missed: Vec::new() };
    /// assert!(!coverage.is_consistent());
    /// ```
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        self.missed.len() as u64 + u64::from(self.answered) == u64::from(self.total)
    }
}
