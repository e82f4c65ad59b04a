//! Decision core of at-most-once runs.
//!
//! [`Engine`] decides when a non-idempotent request may be dispatched. Before
//! that, the id of the request is reserved by a claim, an [`entry::Entry`] in
//! the platform's store. Request ids hash to buckets, and the claims of a bucket
//! share one key, which is written by compare-and-swap. Only that makes runs
//! at-most-once; leases and bucket ownership merely select the node that usually
//! does the work. The daemon carries out the [`Action`]s and reports results
//! as [`Event`]s.
//!
//! An ask is one submission of a request by a caller. A retry is another ask
//! with the same id and the same issue time.
//!
//! The value of a bucket is UTF-8 text, one JSON array per line. The design is
//! explained in `docs/design/at-most-once.md`.

use std::time::Duration;

use jacinthfall_core::event;
use jacinthfall_core::hash;
use jacinthfall_core::id;
use jacinthfall_core::query::Outcome;
use jacinthfall_core::time::{Time, Wall};

mod advance;
mod bucket;
mod counters;
mod decision;
mod engine;
pub mod entry;
mod ledger;
mod pacer;
mod refuse;
mod run;
mod schedule;
mod view;

pub use counters::Counters;
pub use engine::Engine;

/// Readings of both clocks at an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time of the process.
    pub time: Time,
    /// Wall clock time. It differs from any other wall clock by at most
    /// [`Settings::skew`].
    pub wall: Wall,
}

/// Result of a call to the store, which is a read or a swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The read returned the value, or `None` if the key is absent.
    Value {
        /// Store revision of the key, 0 if absent.
        revision: u64,
        /// Value of the key.
        value: Option<Vec<u8>>,
    },
    /// The swap took effect.
    Swapped {
        /// Store revision that the swap created.
        revision: u64,
    },
    /// The key did not have the expected revision; nothing was written.
    Conflict {
        /// Current store revision of the key.
        revision: u64,
    },
    /// No reply arrived. A swap may have taken effect, or may still do so.
    Unknown,
    /// The store refused the call without doing anything (rate limit or outage).
    Refused,
}

/// Input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a request. Each ask gets exactly one [`Action::Answer`].
    Ask {
        /// Identifies the ask in [`Action::Answer`] and [`Action::Dispatch`].
        token: id::Token,
        /// Id of the request.
        request: id::Request,
        /// Digest of the query, to detect a reused id.
        digest: u64,
        /// When the caller first issued the request.
        issued: Wall,
        /// Deadline of the answer.
        deadline: Time,
    },
    /// A call to the store ended.
    CallEnded {
        /// Call id from the [`Action::Read`] or [`Action::Swap`].
        call: u64,
        /// Result of the call.
        result: Completion,
    },
    /// A dispatched run ended. Every [`Action::Dispatch`] must be followed by
    /// exactly one.
    ///
    /// A refused run counts as not run if no part was passed to a connection, or
    /// if the refusal says [`Ran::NotRun`](jacinthfall_core::refusal::Ran), which
    /// means that the only leaf that received the request refused it.
    RunEnded {
        /// The ask whose run was dispatched.
        token: id::Token,
        /// Whether a part was passed to a connection.
        dispatched: bool,
        /// Outcome of the run.
        outcome: Outcome,
    },
    /// The time of the latest [`Action::Wake`] was reached.
    Wake,
    /// The node is stopping: open asks are finished, new ones are refused.
    Stop,
}

/// Output of the engine, carried out by the daemon.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read a key of the store, then report [`Event::CallEnded`].
    Read {
        /// Call id, unique for the engine.
        call: u64,
        /// Key in the store.
        key: id::Name,
    },
    /// Write a key of the store by compare-and-swap, then report
    /// [`Event::CallEnded`].
    Swap {
        /// Call id, unique for the engine.
        call: u64,
        /// Key in the store.
        key: id::Name,
        /// Store revision that the key must have, 0 if it must be absent.
        expect: u64,
        /// New value of the key.
        value: Vec<u8>,
    },
    /// Run the request once, at one leaf, then report [`Event::RunEnded`].
    Dispatch {
        /// The ask whose request is run.
        token: id::Token,
        /// Wall clock time after which no leaf may run the request.
        expires: Wall,
    },
    /// Answer an ask.
    Answer {
        /// The ask to answer.
        token: id::Token,
        /// Outcome to return to the caller.
        outcome: Outcome,
    },
    /// Record an event on the timeline.
    Record(event::Event),
    /// Report [`Event::Wake`] at this time. Replaces earlier wakes.
    Wake(Time),
}

/// Limits and delays of the claim path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of buckets that request ids hash to.
    pub buckets: u32,
    /// How long claims are collected so that one swap writes them together.
    pub claim_delay: Duration,
    /// Minimum time that outcomes are collected so that one swap writes them
    /// together. Their callers have already been answered.
    pub record_delay: Duration,
    /// How long a request id is remembered after its issue time.
    pub window: Duration,
    /// Largest difference between any two wall clocks.
    pub skew: Duration,
    /// Largest value written to the store, in bytes.
    pub max_value_bytes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            buckets: 1_024,
            claim_delay: Duration::from_millis(4),
            record_delay: Duration::from_millis(500),
            window: Duration::from_secs(15 * 60),
            skew: Duration::from_secs(5),
            max_value_bytes: 900_000,
        }
    }
}

impl Settings {
    /// Age of a view up to which a bucket that other nodes also write to is
    /// swapped without being read again.
    pub(crate) const MAX_SHARED_VIEW_AGE: Duration = Duration::from_millis(10);

    /// Returns the number of the bucket that a request id hashes to.
    ///
    /// ```
    /// use jacinthfall_claim::Settings;
    /// let settings = Settings { buckets: 1, ..Settings::default() };
    /// assert_eq!(settings.bucket("invoice-7"), 0);
    /// ```
    #[must_use]
    pub fn bucket(&self, request: &str) -> u32 {
        let number = hash::digest(request.as_bytes()) % u64::from(self.buckets.max(1));
        u32::try_from(number).expect("the remainder is less than the number of buckets")
    }

    /// Whether request ids issued at `issued` are still accepted at `wall`.
    ///
    /// ```
    /// use jacinthfall_claim::Settings;
    /// use jacinthfall_core::time::Wall;
    /// let settings = Settings::default();
    /// assert!(settings.is_remembered(Wall(5), Wall(5)));
    /// assert!(!settings.is_remembered(Wall(5), Wall(5) + settings.window));
    /// ```
    #[must_use]
    pub fn is_remembered(&self, issued: Wall, wall: Wall) -> bool {
        wall < issued + self.window
    }

    /// Returns the issue time before which entries may be removed, because no node
    /// accepts their ids any more, whatever its clock skew.
    pub(crate) fn oldest_retained(&self, wall: Wall) -> Wall {
        wall - (self.window + self.skew * 2)
    }
}
