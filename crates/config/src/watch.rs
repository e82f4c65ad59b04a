//! The watch of the store. The watchers of the plan always keep one open. Other
//! nodes take over at a low rate when they have had no confirmation for some time.

use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::record::Record;
use jacinthfall_core::time::Time;
use rand::Rng;

use crate::{Action, Engine, TICK_INTERVAL};

/// Time without confirmation after which any node may watch the store.
pub(crate) const TAKEOVER_AFTER: Duration = Duration::from_secs(25);

/// Time for which a node that took over keeps watching.
const TAKEOVER_DURATION: Duration = Duration::from_secs(600);

/// Mean time between takeovers by all nodes of the cluster together.
const TAKEOVER_INTERVAL: Duration = Duration::from_secs(1);

/// Time between becoming a watcher and the first watch, so that short-lived
/// changes of the peers cause no watch.
pub(crate) const NEW_WATCHER_DELAY: Duration = Duration::from_millis(300);

/// Time after the start before the first watch. A node without any peer is a
/// watcher from the start and watches after this time.
pub(crate) const SINGLE_NODE_DELAY: Duration = Duration::from_secs(1);

/// Minimum delay between a failure of the store and the next attempt.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum delay between a failure of the store and the next attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Waiting { since: Time },
}

/// State of the watch of this node.
#[derive(Debug)]
pub(crate) struct Watch {
    state: State,
    /// Place in the store's history up to which all changes were received.
    upto: Position,
    /// Earliest time of the next attempt.
    next_attempt: Time,
    backoff: Duration,
    /// End of the time for which this node watches without being a watcher of the
    /// plan.
    takeover_until: Option<Time>,
    /// Whether this node should watch the store.
    wanted: bool,
}

impl Default for Watch {
    fn default() -> Watch {
        Watch {
            state: State::Idle,
            upto: Position::START,
            next_attempt: Time::default(),
            backoff: MIN_BACKOFF,
            takeover_until: None,
            wanted: false,
        }
    }
}

impl Watch {
    /// Delays the next attempt until membership is more stable, so that nodes
    /// starting at the same time don't all consider themselves watchers.
    pub(crate) fn delay_until(&mut self, next_attempt: Time) {
        self.next_attempt = self.next_attempt.max(next_attempt);
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting { .. })
    }

    /// Returns the time of the next attempt if this node should watch and no
    /// watch is open.
    pub(crate) fn next_due(&self) -> Option<Time> {
        (self.wanted && !self.is_waiting()).then_some(self.next_attempt)
    }
}

impl Engine {
    /// Starts a watch if this node should watch and no watch is open.
    pub(crate) fn watch_if_due(&mut self, now: Time) {
        let took_over = self.watch.takeover_until.is_some_and(|until| now < until);
        self.watch.wanted = self.plan.is_watcher || took_over;
        if self.watch.next_due().is_none_or(|due| due > now) {
            return;
        }
        self.watch.state = State::Waiting { since: now };
        self.actions.push(Action::Watch { after: self.watch.upto });
    }

    /// Takes over the watch with a low probability if this node is no watcher and
    /// has had no confirmation for [`TAKEOVER_AFTER`]. The rate of takeovers in the
    /// cluster does not depend on the number of nodes.
    pub(crate) fn take_over_if_stale(&mut self, now: Time) {
        let unneeded = self.unconfirmed(now) < TAKEOVER_AFTER || self.plan.is_watcher;
        if unneeded || self.watch.is_waiting() || self.watch.takeover_until.is_some_and(|u| now < u)
        {
            return;
        }
        let probability = TICK_INTERVAL.as_secs_f64()
            / TAKEOVER_INTERVAL.as_secs_f64()
            / self.nodes.count() as f64;
        if self.rng.random_bool(probability.min(1.0)) {
            self.watch.takeover_until = Some(now + TAKEOVER_DURATION);
        }
    }

    /// Applies the records that the watch returned. They are at least as recent as
    /// the start of the watch, which therefore counts as the time of confirmation.
    pub(crate) fn handle_stored(&mut self, records: Vec<Record>, upto: Position, now: Time) {
        for record in records {
            self.apply(Arc::new(record), None);
        }
        self.propagate();
        let State::Waiting { since } = self.watch.state else { return };
        self.watch.state = State::Idle;
        self.watch.backoff = MIN_BACKOFF;
        if upto < self.watch.upto {
            log::warn!(
                "store revision went back from {} to {upto}; reading all records again",
                self.watch.upto
            );
            self.watch.upto = Position::START;
            return;
        }
        if upto.era > self.watch.upto.era && self.watch.upto > Position::START {
            log::warn!(
                "the store returned from an older copy, at {upto} after {}; changes that it lost \
                 stay in force, put them again",
                self.watch.upto
            );
        }
        self.watch.upto = upto;
        self.confirm(since, now);
        self.become_ready();
    }

    pub(crate) fn handle_store_failure(&mut self, now: Time) {
        if !self.watch.is_waiting() {
            return;
        }
        self.watch.state = State::Idle;
        self.watch.takeover_until = None;
        let jitter = self.rng.random_range(0.75..1.25);
        self.watch.next_attempt = now + self.watch.backoff.mul_f64(jitter);
        self.watch.backoff = (self.watch.backoff * 2).min(MAX_BACKOFF);
    }
}
