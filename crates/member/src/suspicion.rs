//! Decides when a suspected node is declared dead.
//!
//! A single node that does not respond is declared dead after a short time. When
//! many nodes stop responding at once (a mass loss), a rack, zone or region is lost
//! or this node itself is isolated. Then the nodes stay suspect, which keeps work
//! away from them, until the VM list drops them or they have not responded for
//! [`MASS_LOSS_TIMEOUT`].

use std::time::Duration;

use jacinthfall_core::time::Time;
use std::collections::VecDeque;

use crate::table::Counts;

/// Time that a suspected node has to refute before it is declared dead.
pub const TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which any frame from the suspected node clears the suspicion.
pub const STALE_AFTER: Duration = Duration::from_secs(10);

/// Time for which nodes that were lost together stay suspect.
pub const MASS_LOSS_TIMEOUT: Duration = Duration::from_secs(600);

/// Time within which deaths count as simultaneous.
const MASS_LOSS_WINDOW: Duration = Duration::from_secs(60);

/// Time after a mass loss during which no node is declared dead, so that nodes that
/// were cut off together have time to reconnect.
pub const MASS_LOSS_GRACE: Duration = Duration::from_secs(30);

/// One node in this many may be lost at a time without counting as a mass loss.
const NODES_PER_LOSS: usize = 32;

/// Times of recent deaths, which distinguish a mass loss from single failures.
#[derive(Debug, Default)]
pub(crate) struct Deaths {
    times: VecDeque<Time>,
    last_mass_loss: Option<Time>,
}

impl Deaths {
    /// Records a death.
    pub(crate) fn record(&mut self, now: Time) {
        self.times.push_back(now);
    }

    /// Returns the number of deaths within [`MASS_LOSS_WINDOW`].
    fn recent(&mut self, now: Time) -> usize {
        while self.times.front().is_some_and(|&time| now.since(time) > MASS_LOSS_WINDOW) {
            self.times.pop_front();
        }
        self.times.len()
    }

    /// Returns how long a node must be suspect before it is declared dead. `None`
    /// means that it must not be declared dead: this node may be the isolated one,
    /// or a mass loss was less than [`MASS_LOSS_GRACE`] ago.
    pub(crate) fn timeout(&mut self, counts: Counts, now: Time) -> Option<Duration> {
        let lost = counts.suspect + self.recent(now);
        let known = counts.alive + lost;
        if lost > (known / NODES_PER_LOSS).max(1) {
            self.last_mass_loss = Some(now);
            return (2 * counts.alive > known).then_some(MASS_LOSS_TIMEOUT);
        }
        let in_grace = self.last_mass_loss.is_some_and(|time| now.since(time) < MASS_LOSS_GRACE);
        (!in_grace).then_some(TIMEOUT)
    }
}
