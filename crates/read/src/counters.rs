//! Counters of an engine.

/// Totals since the engine was created; they never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received.
    pub asks: u64,
    /// Requests answered, fully or partially.
    pub answered: u64,
    /// Requests refused.
    pub refused: u64,
    /// Parts sent for the first time.
    pub first_sends: u64,
    /// Hedged requests sent.
    pub hedges: u64,
    /// Retries sent after a failed attempt.
    pub retries: u64,
    /// Attempts cancelled.
    pub cancels: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Queries that moved to another index version.
    pub moves: u64,
    /// Outcomes that match no attempt in flight: late, duplicate or from another
    /// incarnation.
    pub late: u64,
    /// Outcomes whose leaf, request, shard or attempt differs from the one sent.
    pub mismatched: u64,
    /// Replies that were malformed: undecodable, truncated, with duplicate rows or with
    /// rows of another shard.
    pub malformed: u64,
    /// Replies in another version than the explicitly requested one.
    pub wrong_version: u64,
    /// Ejections of leafs.
    pub ejections: u64,
    /// Parts given up because the remaining time was shorter than the expected time.
    pub deadline_drops: u64,
}
