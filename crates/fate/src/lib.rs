//! Replicates and finds fates, the audit records of requests.
//!
//! For every request there is a [`Fate`]. The node that served the request stores
//! it and copies it, in batches, to two nodes in other zones ([`view`]). Any node
//! can find it by request id ([`search`]). Stored fates are bounded in age and
//! memory ([`table`]). A batch is resent until it is acknowledged or its receiver
//! is no longer live ([`outbox`]). When nodes join or leave, every node that stores
//! a fate copies it to the nodes that are its keepers now ([`keeper`]).
//!
//! The crate does no I/O and reads no clock: [`Keeper`] takes an [`Event`] and a
//! time, and returns the [`Action`]s to carry out.

use std::time::Duration;

use jacinthfall_core::fate::Fate;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_wire::fate::Message;

pub mod keeper;
pub mod outbox;
pub mod search;
pub mod settings;
pub mod table;
pub mod view;

pub use keeper::Keeper;
pub use settings::Settings;

/// A live node that accepts copies. A node that is leaving is not listed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the node.
    pub node: id::Name,
    /// Start of its current incarnation, in milliseconds since the Unix epoch. The
    /// fates that it stored in earlier incarnations are lost.
    pub started: u64,
    /// Its availability zone.
    pub zone: id::Name,
}

/// Input of a [`Keeper`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The set of live peers changed. This node isn't included.
    Peers(Vec<Peer>),
    /// A request on this node ended, or began if `ended` is `None`. The fate of a
    /// request that began is stored as "may have run", and is copied only if the
    /// request is still in progress after `slow_after`.
    Record(Fate),
    /// Like [`Event::Record`], but the fate is copied without delay. For the start of
    /// requests that are not idempotent, so that a record of them survives the loss
    /// of the node.
    RecordAndFlush(Fate),
    /// A frame arrived from a peer.
    Frame {
        /// The sender.
        from: id::Name,
        /// The message.
        message: Message,
    },
    /// Starts a search for the fates of a request. It ends in exactly one
    /// [`Action::Answer`].
    Find {
        /// Echoed in the answer.
        token: id::Token,
        /// The request.
        request: id::Request,
    },
    /// The node is stopping. Copies its fates to the nodes that become their keepers.
    HandOver,
    /// The time given by the last [`Action::Wake`] has come.
    Wake,
}

/// Output of a [`Keeper`], to be carried out by the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a frame to a peer.
    Send {
        /// The receiver.
        to: id::Name,
        /// The message.
        message: Message,
    },
    /// Answer a search.
    ///
    /// A caller may be told "no such request" only if `fates` is empty, `complete`
    /// is true and the request is younger than `reach`.
    Answer {
        /// Token of the [`Event::Find`].
        token: id::Token,
        /// Every fate found for the request id, oldest first.
        fates: Vec<Fate>,
        /// Whether every keeper of the request replied and none had evicted fates of
        /// it.
        complete: bool,
        /// Age up to which the records of all nodes that replied have no gap.
        reach: Duration,
    },
    /// The hand-over ended: every copy was acknowledged, or the time limit was
    /// reached.
    HandedOver,
    /// Call [`Keeper::handle`] with [`Event::Wake`] at this time. Replaces the
    /// previous wake time.
    Wake(Time),
}

/// Counters of a keeper since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// States of requests served by this node that were recorded.
    pub recorded: u64,
    /// States ignored because the same or a later one was already stored.
    pub stale: u64,
    /// Copies sent, including those in resent batches.
    pub copies_sent: u64,
    /// Batches resent because no acknowledgement arrived in time.
    pub batches_resent: u64,
    /// Copies received.
    pub copies_received: u64,
    /// Copies that could not be decoded.
    pub copies_rejected: u64,
    /// Copies dropped because the queue for their peer was full.
    pub copies_dropped: u64,
    /// Copies still unacknowledged when the hand-over ended.
    pub copies_abandoned: u64,
    /// Fates dropped before their retention time because of a bound on memory or
    /// number.
    pub evicted: u64,
    /// Searches answered.
    pub searches: u64,
    /// Searches answered with an incomplete result.
    pub searches_incomplete: u64,
}
