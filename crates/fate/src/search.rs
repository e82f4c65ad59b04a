//! A search for the fates of one request, sent to several keepers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthfall_core::fate::Fate;
use jacinthfall_core::id;
use jacinthfall_core::time::{Time, Wall};

/// Time after which keepers that have not replied are asked once more.
pub const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which a search ends without the missing replies.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Every fate found, oldest first.
    pub fates: Vec<Fate>,
    /// Whether every keeper replied and none had evicted fates of this request.
    pub complete: bool,
    /// Age up to which the records of all nodes that replied have no gap.
    pub reach: Duration,
}

/// A search in progress.
#[derive(Clone, Debug)]
pub struct Search {
    /// Token to answer with.
    pub token: id::Token,
    /// The request searched for.
    pub request: id::Request,
    /// Keepers that have not replied.
    pending: BTreeSet<id::Name>,
    found: BTreeMap<(Wall, id::Incarnation), Fate>,
    complete: bool,
    reach: Duration,
    retry_at: Option<Time>,
    deadline: Time,
}

impl Search {
    /// Opens a search that expects replies from the nodes in `pending`.
    #[must_use]
    pub fn open(
        now: Time,
        token: id::Token,
        request: id::Request,
        pending: BTreeSet<id::Name>,
    ) -> Search {
        Search {
            token,
            request,
            pending,
            found: BTreeMap::new(),
            complete: true,
            reach: Duration::MAX,
            retry_at: Some(now + RETRY_AFTER),
            deadline: now + TIMEOUT,
        }
    }

    /// Adds the fates of one node. Of two states of one fate the later wins.
    ///
    /// `reach` is the age up to which the node's records have no gap, and `trimmed`
    /// tells whether the node evicted fates of this request.
    pub fn merge(&mut self, fates: Vec<Fate>, reach: Duration, trimmed: bool) {
        for fate in fates {
            let key = (fate.arrived, fate.node.clone());
            let known = self.found.get(&key);
            if known.is_none_or(|known| known.ended < fate.ended) {
                self.found.insert(key, fate);
            }
        }
        self.reach = self.reach.min(reach);
        self.complete &= !trimmed;
    }

    /// Marks a keeper as having replied. Returns whether its reply was expected.
    pub fn record_reply(&mut self, node: &str) -> bool {
        self.pending.remove(node)
    }

    /// Stops waiting for keepers that are no longer live, which makes the result
    /// incomplete.
    pub fn retain_live(&mut self, is_live: impl Fn(&str) -> bool) {
        let before = self.pending.len();
        self.pending.retain(|node| is_live(node));
        self.complete &= self.pending.len() == before;
    }

    /// Marks the result as incomplete, as when keepers may lack fates that are still
    /// being copied to them.
    pub fn mark_incomplete(&mut self) {
        self.complete = false;
    }

    /// Returns whether all keepers replied or the deadline has passed.
    #[must_use]
    pub fn is_finished(&self, now: Time) -> bool {
        self.pending.is_empty() || self.deadline <= now
    }

    /// Returns the keepers to ask once more, if the time for that has come.
    pub fn take_retries(&mut self, now: Time) -> Vec<id::Name> {
        if self.retry_at.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.retry_at = None;
        self.pending.iter().cloned().collect()
    }

    /// Returns the time of the next retry, or the deadline if none is left.
    #[must_use]
    pub fn next_due(&self) -> Time {
        self.retry_at.unwrap_or(self.deadline).min(self.deadline)
    }

    /// Ends the search and returns its result.
    #[must_use]
    pub fn finish(self) -> Outcome {
        let complete = self.complete && self.pending.is_empty();
        Outcome { fates: self.found.into_values().collect(), complete, reach: self.reach }
    }
}
