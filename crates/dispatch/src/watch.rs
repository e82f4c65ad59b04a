//! Decides which nodes ask the platform's store for changes, and when.
//!
//! Answers the rate limits of the store and its price for each call, and a store that leaves any
//! set of nodes without an answer: a change must be known to all others in time. One node of each
//! availability zone watches the store, and the others rely on what the watching nodes prove. A
//! watch that is waiting proves nothing, since the store may have stopped answering it; one that has
//! returned proves that the node knew all changes then. Nodes tell each other how old their latest
//! proof is. Once it is too old, nodes find out one after the other whether the store answers them,
//! ever more of them at a time, and those that it answers watch it themselves.
//!
//! [`Schedule`] derives all times from the bound within which a change must be known, and the order
//! of the nodes from their number. docs/design/watch.md has what was weighed.

use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::roster::{Node, Roster};

/// Shortest wait of a watch. The store answers it at once.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Parts of the bound that a watch waits, after which a proof is too old, and over which the nodes
/// spread their checks from then on. The rest is left for the calls, for the transfer of what has
/// changed and for slow nodes.
const WAIT_SHARE: f64 = 1.0 / 3.0;
const MAX_AGE_SHARE: f64 = 1.0 / 2.0;
const SPREAD_SHARE: f64 = 1.0 / 6.0;

/// Part of a watch's wait by which the proof must be newer than the last one that was passed on.
const MIN_NEWS_SHARE: f64 = 0.5;

/// Times that follow from the bound within which a change must be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Time that a watch waits for changes.
    pub wait: Duration,
    /// Age from which on a proof counts no more.
    pub max_age: Duration,
    /// Time over which the nodes of a zone spread their checks from then on.
    pub spread: Duration,
}

impl Schedule {
    /// Returns the schedule for a bound.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_dispatch::watch::Schedule;
    /// let schedule = Schedule::of(Duration::from_secs(3));
    /// assert_eq!(schedule.wait, Duration::from_secs(1));
    /// assert!(schedule.max_age + schedule.spread <= Duration::from_secs(2));
    /// ```
    #[must_use]
    pub fn of(bound: Duration) -> Schedule {
        Schedule {
            wait: bound.mul_f64(WAIT_SHARE),
            max_age: bound.mul_f64(MAX_AGE_SHARE),
            spread: bound.mul_f64(SPREAD_SHARE),
        }
    }

    /// Returns how long after its proof has become too old the node that comes after `before` others
    /// of its zone checks the store. The number of nodes that have checked grows exponentially, so
    /// that few do if the store answers most, and all have at the end of the spread.
    fn delay(&self, before: usize, nodes: usize) -> Duration {
        let turn = (before as f64 + 1.0).ln() / (nodes as f64 + 1.0).ln();
        self.spread.mul_f64(turn)
    }
}

/// Tells other nodes as of when the sender knew all changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Place up to which the sender knows all changes.
    pub upto: Position,
    /// Time since the store confirmed that there were no later ones, in milliseconds.
    pub age_ms: u32,
}

/// What a node does about changes in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It watches the store; a watch waits for this long.
    Watch(Duration),
    /// It finds out by a cheap call whether the store answers it.
    Check,
    /// It relies on other nodes, for this long at most.
    Rely(Duration),
}

/// What a node knows of the changes in the store, and of the store's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Knowledge {
    /// As of when this node knows all changes.
    confirmed: Time,
    /// As of when a call of this node has proved it.
    read: Time,
    /// When the store last answered any call of this node.
    answered: Time,
    /// Proof of a node that knows later changes than this one: their place, and its time.
    ahead: Option<(Position, Time)>,
    /// The proof that other nodes were last told of.
    stated: Time,
}

impl Knowledge {
    /// Returns as of when this node knows all changes.
    #[must_use]
    pub fn confirmed(&self) -> Time {
        self.confirmed
    }

    /// Records that the store has answered a call.
    pub fn record_answer(&mut self, now: Time) {
        self.answered = self.answered.max(now);
    }

    /// Records that a call has returned all changes as of `at`.
    pub fn record_read(&mut self, at: Time) {
        self.read = self.read.max(at);
        self.confirmed = self.confirmed.max(at);
    }

    /// Records what another node states, at a node that knows all changes up to `upto`.
    ///
    /// ```
    /// use jacinthfall_core::history::Position;
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::watch::{Confirmation, Knowledge};
    /// let (behind, caught_up) = (Position::new(0, 6), Position::new(0, 7));
    /// let mut knowledge = Knowledge::default();
    /// let confirmation = Confirmation { upto: caught_up, age_ms: 20 };
    /// knowledge.merge(Time::from_millis(100), &confirmation, behind);
    /// assert_eq!(knowledge.confirmed(), Time(0));
    /// knowledge.advance(caught_up);
    /// assert_eq!(knowledge.confirmed(), Time::from_millis(80));
    /// ```
    pub fn merge(&mut self, now: Time, confirmation: &Confirmation, upto: Position) {
        let place = confirmation.upto;
        let at = now - Duration::from_millis(confirmation.age_ms.into());
        if place <= upto {
            self.confirm(place, at, upto);
        } else if self.ahead.is_none_or(|(_, known)| known < at) {
            self.ahead = Some((place, at));
        }
    }

    /// Records that this node knows all changes up to a place.
    pub fn advance(&mut self, upto: Position) {
        if let Some((place, at)) = self.ahead.take_if(|(place, _)| *place <= upto) {
            self.confirm(place, at, upto);
        }
    }

    /// Records the proof of a node that knew all changes up to `place`.
    fn confirm(&mut self, place: Position, at: Time, upto: Position) {
        // A place in an earlier era says nothing of what came after the store's return from a copy.
        if place.era == upto.era {
            self.confirmed = self.confirmed.max(at);
        }
    }

    /// Returns what other nodes are to be told, if there is news: of a proof of this node's own, or
    /// of any with `passes_on`, in a deployment whose nodes don't all hear each other.
    pub fn next_statement(
        &mut self,
        now: Time,
        schedule: &Schedule,
        upto: Position,
        passes_on: bool,
    ) -> Option<Confirmation> {
        let is_own = self.confirmed == self.read && self.read > self.stated;
        let min_news = schedule.wait.mul_f64(MIN_NEWS_SHARE);
        let is_news = passes_on && self.confirmed.since(self.stated) >= min_news;
        if !is_own && !is_news {
            return None;
        }
        self.stated = self.confirmed;
        let age_ms = u32::try_from(now.since(self.confirmed).as_millis()).unwrap_or(u32::MAX);
        Some(Confirmation { upto, age_ms })
    }

    /// Returns what a node does now. `store_answers` tells whether the store answered its latest
    /// call.
    #[must_use]
    pub fn role(
        &self,
        now: Time,
        schedule: &Schedule,
        roster: &Roster,
        own: &Node,
        store_answers: bool,
    ) -> Role {
        if store_answers && roster.is_follower_of_store(now, own) {
            let wait = schedule.wait.saturating_sub(now.since(self.read));
            return Role::Watch(wait.max(MIN_WAIT));
        }
        if !store_answers && roster.is_prober_of_store(now, own) {
            return Role::Watch(MIN_WAIT);
        }
        let too_old_at = self.confirmed + schedule.max_age;
        let (before, nodes) = roster.turn_in_zone(now, own);
        let check_at = too_old_at + schedule.delay(before, nodes);
        if now < check_at {
            Role::Rely(check_at.since(now))
        } else if store_answers && self.answered >= too_old_at {
            Role::Watch(MIN_WAIT)
        } else {
            Role::Check
        }
    }
}
