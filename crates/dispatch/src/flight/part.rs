//! State of one part of a request: the leafs it was sent to, and how each send ended.
//!
//! A part is the sub-request for one shard; a request to a single service has one part.
//! Each send of a part that may have reached a leaf is an attempt.

use jacinthfall_core::id;
use jacinthfall_core::time::Time;

use super::message::{Outcome, Reply};
use crate::fleet::{Assessment, Key};

/// Why a part was sent to a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is the first send of the part.
    First,
    /// The previous leaf was late (hedged send).
    Late,
    /// The previous leaf failed, rejected the part or broke off its response.
    Failed,
}

impl Reason {
    /// Returns the name that is written to the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Reason::First => "first",
            Reason::Late => "late",
            Reason::Failed => "failed",
        }
    }
}

/// Why a part was not sent to another leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The request may have run and must not run twice.
    MayHaveRun,
    /// The route's attempts are used up.
    Attempts,
    /// There is no leaf that could take it in time.
    NoLeaf,
    /// The leafs that could take it are all in use or paused for now.
    LeafsBusy,
    /// The leafs that could take it have reached the rate limits that they state.
    RateLimit,
    /// The budget of extra sends is exhausted.
    Budget,
    /// The request is in quarantine, because it crashes leafs.
    Quarantine,
    /// Most parts of the query are late, so this node is behind rather than the leaf.
    NodeBusy,
    /// This node has lost its links to the leafs, and those that got the part don't answer.
    Lost,
    /// Its shard is short of room that other queries need more.
    Shortage,
    /// No leaf has lately answered within the time that the caller has left.
    Deadline,
}

impl Obstacle {
    /// Whether the part may be sent once some time has passed.
    #[must_use]
    pub const fn may_pass(self) -> bool {
        match self {
            Obstacle::LeafsBusy | Obstacle::RateLimit | Obstacle::Budget | Obstacle::NodeBusy => {
                true
            }
            Obstacle::MayHaveRun
            | Obstacle::Attempts
            | Obstacle::NoLeaf
            | Obstacle::Quarantine
            | Obstacle::Lost
            | Obstacle::Shortage
            | Obstacle::Deadline => false,
        }
    }

    /// Returns the name that is written to the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Obstacle::MayHaveRun => "may_have_run",
            Obstacle::Attempts => "attempts",
            Obstacle::NoLeaf => "no_leaf",
            Obstacle::LeafsBusy => "leafs_busy",
            Obstacle::RateLimit => "rate_limit",
            Obstacle::Budget => "budget",
            Obstacle::Quarantine => "quarantine",
            Obstacle::NodeBusy => "node_busy",
            Obstacle::Lost => "lost",
            Obstacle::Shortage => "shortage",
            Obstacle::Deadline => "deadline",
        }
    }
}

/// How a send ended: its [`Outcome`] without the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The leaf answered with success.
    Success,
    /// The leaf ran the request and failed.
    Failure,
    /// The leaf did not run the request.
    NotRun,
    /// Nothing reached the leaf.
    Unsent,
    /// No usable response arrived; the request may have run.
    Unknown,
}

impl Completion {
    /// Returns the name that is written to the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Completion::Success => "success",
            Completion::Failure => "failure",
            Completion::NotRun => "not_run",
            Completion::Unsent => "unsent",
            Completion::Unknown => "unknown",
        }
    }
}

impl From<&Outcome> for Completion {
    fn from(outcome: &Outcome) -> Completion {
        match outcome {
            Outcome::Success(_) => Completion::Success,
            Outcome::Failure(_) => Completion::Failure,
            Outcome::NotRun => Completion::NotRun,
            Outcome::Unsent => Completion::Unsent,
            Outcome::Unknown => Completion::Unknown,
        }
    }
}

/// One send of a part to a leaf.
#[derive(Debug)]
pub(super) struct Send {
    pub(super) leaf: Key,
    pub(super) at: Time,
    pub(super) reason: Reason,
    /// Assessment of the leaf when it was chosen.
    pub(super) assessment: Assessment,
    /// Whether anything of it may have been written to the connection.
    pub(super) is_written: bool,
    /// When and how it ended; `None` while it is in flight.
    pub(super) completion: Option<(Time, Completion)>,
}

impl Send {
    pub(super) fn is_open(&self) -> bool {
        self.completion.is_none()
    }

    /// Whether the leaf stated that it didn't run the part.
    fn is_rejected(&self) -> bool {
        matches!(self.completion, Some((_, Completion::NotRun)))
    }

    /// Whether the part reached the leaf, or may have.
    fn may_have_arrived(&self) -> bool {
        !matches!(self.completion, Some((_, Completion::Unsent)))
    }
}

/// One part of a request.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) service: id::Name,
    pub(super) sends: Vec<Send>,
    /// Number of sends that reached no leaf.
    pub(super) unsent: usize,
    /// When the part counts as late and is hedged.
    pub(super) late_at: Option<Time>,
    /// When its latest send counts as unanswered, and it is checked whether the leafs are lost.
    pub(super) unanswered_at: Option<Time>,
    /// When the search for a leaf is repeated, while none can take the part.
    pub(super) search_at: Option<Time>,
    /// Whether it is in the fleet's queue for its service.
    pub(super) queued: bool,
    /// First successful response.
    pub(super) reply: Option<Reply>,
    /// Latest response that reports a failure.
    pub(super) failure: Option<Reply>,
    pub(super) may_have_run: bool,
    /// When and why it was not sent again although it was late.
    pub(super) not_resent: Option<(Time, Obstacle)>,
    /// When and why it was given up.
    pub(super) given_up: Option<(Time, Obstacle)>,
}

impl Part {
    pub(super) fn open(service: id::Name) -> Part {
        Part {
            service,
            sends: Vec::new(),
            unsent: 0,
            late_at: None,
            unanswered_at: None,
            search_at: None,
            queued: false,
            reply: None,
            failure: None,
            may_have_run: false,
            not_resent: None,
            given_up: None,
        }
    }

    pub(super) fn is_pending(&self) -> bool {
        self.reply.is_none() && self.given_up.is_none()
    }

    pub(super) fn is_given_up(&self) -> bool {
        self.given_up.is_some()
    }

    pub(super) fn has_open_send(&self) -> bool {
        self.sends.iter().any(Send::is_open)
    }

    /// Whether it has a send in flight that the leaf may get.
    pub(super) fn has_written_send(&self) -> bool {
        self.sends.iter().any(|send| send.is_open() && send.is_written)
    }

    /// Records that the open send to a leaf has begun to write to its connection.
    pub(super) fn record_written(&mut self, leaf: Key) {
        let sends = self.sends.iter_mut();
        if let Some(send) = sends.filter(|send| send.is_open()).find(|send| send.leaf == leaf) {
            send.is_written = true;
        }
    }

    /// Returns the number of leafs that the part reached or may have reached.
    pub(super) fn leaf_count(&self) -> usize {
        let arrived = self.sends.iter().filter(|send| send.may_have_arrived());
        let mut leafs: Vec<Key> = arrived.map(|send| send.leaf).collect();
        leafs.sort_unstable();
        leafs.dedup();
        leafs.len()
    }

    /// Returns the number of times that a leaf rejected the part without running it.
    pub(super) fn rejections(&self) -> usize {
        self.sends.iter().filter(|send| send.is_rejected()).count()
    }

    /// Returns the leafs that only ever rejected the part.
    pub(super) fn rejecting_leafs(&self) -> Vec<Key> {
        let others = || self.sends.iter().filter(|send| !send.is_rejected());
        let rejected = self.sends.iter().filter(|send| send.is_rejected()).map(|send| send.leaf);
        rejected.filter(|leaf| others().all(|other| other.leaf != *leaf)).collect()
    }

    /// Records how the send to a leaf ended.
    pub(super) fn record_outcome(&mut self, now: Time, leaf: Key, outcome: Outcome) {
        let completion = Completion::from(&outcome);
        let sends = self.sends.iter_mut();
        if let Some(send) = sends.filter(|send| send.is_open()).find(|send| send.leaf == leaf) {
            send.completion = Some((now, completion));
        }
        match outcome {
            Outcome::Success(reply) => {
                self.may_have_run = true;
                self.given_up = None;
                self.reply.get_or_insert(reply);
            }
            Outcome::Failure(reply) => {
                self.may_have_run = true;
                self.failure = Some(reply);
            }
            Outcome::Unknown => self.may_have_run = true,
            Outcome::NotRun => {}
            Outcome::Unsent => self.unsent += 1,
        }
    }

    /// Returns when the first successful response arrived.
    pub(super) fn answered_at(&self) -> Option<Time> {
        let successes = self.sends.iter().filter_map(|send| match send.completion {
            Some((at, Completion::Success)) => Some(at),
            _ => None,
        });
        successes.min()
    }
}
