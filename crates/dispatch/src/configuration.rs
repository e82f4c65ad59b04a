//! Which configuration a node has in force, and which it should have.
//!
//! The version that the operator gave a document decides, not its place in the store's history:
//! a store that returned from an older copy holds an older version at a later place, and what was
//! in force stays in force.

use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::time::Time;

use crate::transfer::Rank;

/// A later configuration than the one in force, which another node knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Expected {
    rank: Rank,
    /// Since when this node has been behind.
    since: Time,
}

/// Ranks of the configurations that a node knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ranks {
    in_force: Rank,
    /// Highest rank of a document that was put in force or can't be.
    examined: Rank,
    /// Place of the latest document that was read from the store.
    read: Position,
    /// The latest configuration that exists, if it was not examined yet.
    expected: Option<Expected>,
}

impl Ranks {
    /// Returns the rank of the configuration in force; the default if there is none yet.
    #[must_use]
    pub fn in_force(&self) -> Rank {
        self.in_force
    }

    /// Returns the highest rank of a document that was put in force or can't be.
    #[must_use]
    pub fn examined(&self) -> Rank {
        self.examined
    }

    /// Returns the rank of the latest configuration that is known to exist.
    #[must_use]
    pub fn latest(&self) -> Rank {
        self.expected.map_or(self.examined, |expected| expected.rank)
    }

    /// Records that a configuration exists.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::configuration::Ranks;
    /// use jacinthfall_dispatch::transfer::Rank;
    /// let mut ranks = Ranks::default();
    /// let rank = Rank { version: 3, ..Rank::default() };
    /// ranks.expect(Time(0), rank);
    /// assert!(ranks.is_behind());
    /// assert!(ranks.examine(rank));
    /// assert!(!ranks.is_behind());
    /// ```
    pub fn expect(&mut self, now: Time, rank: Rank) {
        if rank <= self.latest() {
            return;
        }
        let since = self.expected.map_or(now, |expected| expected.since);
        self.expected = Some(Expected { rank, since });
    }

    /// Records that a document was read from the store. Returns `false` if it, or a later one, was
    /// read before.
    pub fn record_read(&mut self, at: Position) -> bool {
        let is_new = at > self.read;
        self.read = self.read.max(at);
        is_new
    }

    /// Records that the document of a rank was received. Returns `false` if it, or a later one,
    /// was before.
    pub fn examine(&mut self, rank: Rank) -> bool {
        if rank <= self.examined {
            return false;
        }
        self.examined = rank;
        self.expected = self.expected.filter(|expected| expected.rank > rank);
        true
    }

    /// Records that the document of a rank, which was examined, is in force.
    ///
    /// # Panics
    ///
    /// If its version is older than the one in force.
    pub fn put_in_force(&mut self, rank: Rank) {
        assert!(rank >= self.in_force, "a configuration in force is only replaced by a later one");
        self.in_force = rank;
    }

    /// Returns for how long a later configuration than the one in force has been known to exist.
    #[must_use]
    pub fn time_behind(&self, now: Time) -> Duration {
        self.expected.map_or(Duration::ZERO, |expected| now.since(expected.since))
    }

    /// Whether a later configuration than the one in force is known to exist.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.expected.is_some()
    }

    /// Whether a watch of the store after `upto` doesn't return the configuration that is
    /// expected, although it is there.
    #[must_use]
    pub fn is_passed_over(&self, upto: Position) -> bool {
        self.expected.is_some_and(|expected| {
            let at = expected.rank.at;
            at.era == upto.era && at <= upto
        })
    }
}
