//! Decision core of the read path.
//!
//! [`Engine`] serves one service on one node. For each query it pins an index
//! version, chooses the leaf for each part, decides when to hedge, retry or give
//! up a part, and builds the answer. It does no I/O and reads no clock: the daemon
//! passes it [`Event`]s with the current time and carries out its [`Action`]s.
//!
//! The engine records the events of a request's parts ([`Action::Record`]). The
//! daemon records the arrival and the end of the request itself, because it also
//! sees requests that never reach an engine.

use std::sync::Arc;

use jacinthfall_core::event;
use jacinthfall_core::fate::Report;
use jacinthfall_core::id;
use jacinthfall_core::leaf;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::query::{Ask, Outcome};
use jacinthfall_core::service::Service;
use jacinthfall_core::time::{Time, Wall};

pub mod admission;
mod budget;
mod counters;
mod engine;
mod flight;
mod health;
mod latency;
mod layout;
mod leafs;
mod merge;
mod query;
mod refusal;
pub mod share;
mod timer;
mod verify;

pub use counters::Counters;
pub use engine::Engine;

/// Input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new service description took effect.
    Service(Arc<Service>),
    /// The number of live nodes that may connect to the service's leafs changed.
    Peers {
        /// Number of nodes, including this one; an upper bound if uncertain.
        count: u32,
    },
    /// A caller sent a request. Each one ends in exactly one [`Action::Answer`].
    Ask {
        /// Identifies the request in [`Action::Answer`].
        token: id::Token,
        /// The request.
        ask: Arc<Ask>,
        /// The profile in effect when the request arrived.
        profile: Arc<Profile>,
        /// Deadline of the answer; no later than the profile's deadline.
        deadline: Time,
        /// The same deadline as wall-clock time, passed on to leafs.
        expires: Wall,
    },
    /// The caller disconnected before the answer.
    Abandoned {
        /// The request.
        token: id::Token,
    },
    /// An attempt ended.
    Ended {
        /// The attempt, as sent in [`Action::Send`].
        attempt: id::Attempt,
        /// The leaf it was sent to.
        leaf: id::Name,
        /// How it ended.
        outcome: leaf::Outcome,
    },
    /// Another node reports that a leaf started or stopped leaving.
    Leaving {
        /// The leaf.
        leaf: id::Name,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// The time of the last [`Action::Wake`] was reached.
    Wake,
}

/// Output of the engine, carried out by the daemon.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a part to a leaf, then report [`Event::Ended`] exactly once.
    Send {
        /// The leaf.
        leaf: id::Name,
        /// The sub-request for one shard.
        part: Box<leaf::Query>,
    },
    /// Reset the stream of an attempt. [`Event::Ended`] is optional from then on.
    Cancel {
        /// The attempt.
        attempt: id::Attempt,
        /// The leaf it was sent to.
        leaf: id::Name,
    },
    /// Answer a request.
    Answer {
        /// The request.
        token: id::Token,
        /// The answer or refusal for the caller.
        outcome: Outcome,
        /// Details for the audit record.
        report: Report,
    },
    /// Record an event on the timeline.
    Record(event::Event),
    /// Tell the other nodes that a leaf started or stopped leaving.
    Announce {
        /// The leaf.
        leaf: id::Name,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Send [`Event::Wake`] at this time; replaces an earlier wake-up.
    Wake(Time),
}
