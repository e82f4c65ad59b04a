//! Decision core of at-most-once runs.
//!
//! [`Engine`] decides when a non-idempotent request may be dispatched. The
//! arbiter is compare-and-swap in the platform's store; leases and ownership
//! only choose who usually does the work. The daemon carries out the
//! [`Action`]s and reports back with [`Event`]s.
//!
//! Values are UTF-8 text, one JSON array per line. The design is explained in
//! `docs/design/at-most-once.md`.

use std::time::Duration;

use jacinthfall_core::event;
use jacinthfall_core::hash;
use jacinthfall_core::id;
use jacinthfall_core::query::Outcome;
use jacinthfall_core::time::{Time, Wall};

mod bucket;
mod counters;
mod engine;
pub mod entry;
mod judge;
mod ledger;
mod pace;
mod refuse;
mod run;
mod schedule;
mod settle;
mod view;

pub use counters::Counters;
pub use engine::Engine;

/// Both clocks at the moment of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time of the process.
    pub time: Time,
    /// Wall clock, off by at most the configured skew.
    pub wall: Wall,
}

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The value and its store revision; `None` if the key is absent (revision 0).
    Value {
        /// Store revision of the key, 0 if absent.
        revision: u64,
        /// The value.
        value: Option<Vec<u8>>,
    },
    /// The swap took effect and made this store revision.
    Swapped {
        /// Store revision of the key.
        revision: u64,
    },
    /// The swap lost; nothing was written. The key has this revision now.
    Conflict {
        /// Store revision of the key.
        revision: u64,
    },
    /// No reply: a swap may or may not have taken effect.
    Unknown,
    /// The store refused before doing anything (rate limit or outage).
    Refused,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks for a run. Ends in exactly one [`Action::Answer`].
    Ask {
        /// Recognises the answer.
        token: id::Token,
        /// Id of the request.
        request: id::Request,
        /// Digest of the query, to detect a reused id.
        digest: u64,
        /// When the caller issued the request first.
        issued: Wall,
        /// When the answer is due.
        deadline: Time,
    },
    /// A call to the store ended.
    CallEnded {
        /// The call, as named in the action.
        call: u64,
        /// Its result.
        result: Completion,
    },
    /// A dispatched run ended.
    ///
    /// It counts as not run if nothing was handed to a connection, or if the
    /// outcome is a refusal that says [`Ran::NotRun`](jacinthfall_core::refusal::Ran)
    /// because the one leaf that was given it refused it. Every
    /// [`Action::Dispatch`] has to end in one.
    RunEnded {
        /// The ask whose run was dispatched.
        token: id::Token,
        /// Whether a part was handed to a connection.
        dispatched: bool,
        /// How it ended.
        outcome: Outcome,
    },
    /// The moment named by the last [`Action::Wake`] came.
    Wake,
    /// The node is stopping: finish what is open, accept nothing new.
    Stop,
}

/// What the daemon has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read a key of the store, then report [`Event::CallEnded`].
    Read {
        /// Names the call.
        call: u64,
        /// Key.
        key: id::Name,
    },
    /// Swap a key of the store, then report [`Event::CallEnded`].
    Swap {
        /// Names the call.
        call: u64,
        /// Key.
        key: id::Name,
        /// Store revision that the key must have; 0 if it must be absent.
        expect: u64,
        /// The new value.
        value: Vec<u8>,
    },
    /// Run the request once, at one leaf, then report [`Event::RunEnded`].
    Dispatch {
        /// The ask.
        token: id::Token,
        /// Wall clock time after which no leaf may run it.
        expires: Wall,
    },
    /// Answer an ask.
    Answer {
        /// The ask.
        token: id::Token,
        /// What the caller is told.
        outcome: Outcome,
    },
    /// Record an event on the time line.
    Record(event::Event),
    /// Call with [`Event::Wake`] at this time; replaces earlier wakes.
    Wake(Time),
}

/// Limits and times of the claim path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Buckets that request ids hash to.
    pub buckets: u32,
    /// How long claims are collected before a swap.
    pub collect: Duration,
    /// How long outcomes are collected at least before a swap; their callers have
    /// been answered by then.
    pub record: Duration,
    /// How long an id is remembered after its issue time.
    pub window: Duration,
    /// Largest difference between any two wall clocks.
    pub skew: Duration,
    /// Largest value written to the store, in bytes.
    pub max_value: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            buckets: 1_024,
            collect: Duration::from_millis(4),
            record: Duration::from_millis(500),
            window: Duration::from_secs(15 * 60),
            skew: Duration::from_secs(5),
            max_value: 900_000,
        }
    }
}

impl Settings {
    /// Age up to which a bucket that other nodes write to is swapped without
    /// being read again.
    pub(crate) const FRESH: Duration = Duration::from_millis(10);

    /// Bucket that a request id hashes to.
    ///
    /// ```
    /// use jacinthfall_claim::Settings;
    /// let settings = Settings { buckets: 1, ..Settings::default() };
    /// assert_eq!(settings.bucket("invoice-7"), 0);
    /// ```
    #[must_use]
    pub fn bucket(&self, request: &str) -> u32 {
        let number = hash::of(request.as_bytes()) % u64::from(self.buckets.max(1));
        u32::try_from(number).expect("it is less than a u32")
    }

    /// Whether ids issued at `issued` are still accepted at `wall`.
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

    /// Entries issued before this can't be asked for any more at any node.
    pub(crate) fn oldest(&self, wall: Wall) -> Wall {
        wall - (self.window + self.skew * 2)
    }
}
