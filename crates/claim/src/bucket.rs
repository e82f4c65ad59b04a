//! State of one bucket: its last known value, the call in flight, and the runs
//! whose request ids hash to it.

use std::collections::BTreeMap;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;

use crate::Settings;
use crate::run::Run;
use crate::view::View;

/// Key prefix of buckets in the store.
pub const KEY_PREFIX: &str = "claim/";

/// Consecutive replies without another node's write after which the bucket counts
/// as written by this node alone.
const MIN_UNCHANGED_REPLIES: u32 = 3;

/// A call to the store that is in flight.
#[derive(Debug)]
pub enum Call {
    /// A read.
    Read,
    /// A swap that writes this view. Until it ends, the view has the revision that
    /// the swap expects.
    Swap(View),
}

/// The next call that a bucket needs, and the earliest time at which it may start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plan {
    /// No call is needed.
    #[default]
    Nothing,
    /// A read.
    Read(Time),
    /// A read that is immediately followed by a swap.
    Refresh(Time),
    /// A swap.
    Swap(Time),
}

/// One bucket.
#[derive(Debug)]
pub struct Bucket {
    /// Key in the store.
    pub key: id::Name,
    /// Last known content; `None` if the bucket is known to have changed since.
    pub view: Option<View>,
    /// Outdated content, kept to decode the next reply faster.
    pub outdated_view: Option<View>,
    /// Highest revision ever observed.
    pub highest_revision: u64,
    /// Expected revision of a swap that got no reply. The swap may still take effect
    /// while the bucket has this revision.
    pub unanswered_swap: Option<u64>,
    /// Consecutive replies that came late enough to show a write of another node,
    /// but showed none.
    pub unchanged_replies: u32,
    /// Conflicts since the last successful swap.
    pub conflicts: u32,
    /// No call starts before this time.
    pub not_before: Time,
    /// Whether the refresh already took the pacing slot of the swap that follows
    /// it.
    pub has_swap_slot: bool,
    /// The call in flight.
    pub call: Option<Call>,
    /// The call to start next.
    pub plan: Plan,
    /// Runs by request id.
    pub runs: BTreeMap<id::Request, Run>,
}

impl Bucket {
    /// Opens bucket `number`, whose content is not known yet.
    pub fn open(number: u32) -> Bucket {
        Bucket {
            key: format!("{KEY_PREFIX}{number}").into(),
            view: None,
            outdated_view: None,
            highest_revision: 0,
            unanswered_swap: None,
            unchanged_replies: 0,
            conflicts: 0,
            not_before: Time(0),
            has_swap_slot: false,
            call: None,
            plan: Plan::Nothing,
            runs: BTreeMap::new(),
        }
    }

    /// Returns the expected revision of a swap of this node that may still take
    /// effect: the one in flight, or one that got no reply.
    pub fn pending_swap(&self) -> Option<u64> {
        match &self.call {
            Some(Call::Swap(next)) => Some(next.revision),
            Some(Call::Read) | None => self.unanswered_swap,
        }
    }

    /// Whether the view is so old that another node may have written since.
    fn is_view_old(&self, now: Time) -> bool {
        self.view.as_ref().is_none_or(|view| now.since(view.seen) > Settings::MAX_SHARED_VIEW_AGE)
    }

    /// Whether a swap based on the current view would probably conflict.
    pub fn is_stale(&self, now: Time) -> bool {
        self.view.is_none()
            || self.unchanged_replies < MIN_UNCHANGED_REPLIES && self.is_view_old(now)
    }

    /// Takes over the view from a reply. Returns false and changes nothing if its
    /// revision is older than one observed before, which means that the store lost
    /// writes.
    pub fn observe(&mut self, view: View) -> bool {
        if view.revision < self.highest_revision {
            return false;
        }
        if view.revision != self.highest_revision {
            self.unchanged_replies = 0;
        } else if self.is_view_old(view.seen) {
            self.unchanged_replies += 1;
        }
        self.highest_revision = view.revision;
        if self.unanswered_swap.is_some_and(|revision| revision < view.revision) {
            self.unanswered_swap = None;
        }
        self.view = Some(view);
        self.outdated_view = None;
        true
    }

    /// Discards the view because the bucket is known, or must be assumed, to have
    /// changed.
    pub fn invalidate(&mut self) {
        self.outdated_view = self.view.take().or(self.outdated_view.take());
    }
}
