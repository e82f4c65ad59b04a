//! Counters of an engine, for metrics.

/// Counters since the engine was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Asks received.
    pub asks: u64,
    /// Reads started.
    pub reads: u64,
    /// Swaps started.
    pub swaps: u64,
    /// Claims, outcomes and releases in started swaps, plus fences.
    pub entries_written: u64,
    /// Swaps that ended in a conflict.
    pub conflicts: u64,
    /// Calls refused by the store.
    pub refused: u64,
    /// Calls without a reply.
    pub unanswered: u64,
    /// Replies to reads that were malformed or older than an observed revision.
    pub malformed: u64,
    /// Own claims seen in the store.
    pub claims_confirmed: u64,
    /// Asks refused because another attempt holds the claim.
    pub claimed_elsewhere: u64,
    /// Runs dispatched.
    pub dispatched: u64,
    /// Dispatched runs that ended as not run.
    pub not_run: u64,
    /// Asks refused because a bucket was full.
    pub bucket_full: u64,
    /// Entries removed because their ids expired.
    pub pruned: u64,
    /// Results of unknown calls or runs.
    pub unexpected_results: u64,
}
