//! Admission of requests, and the time after which refused callers should retry.
//!
//! Answers a load that exceeds the capacity of some shards: a query that can't be answered
//! takes no capacity from those that can, and its caller is told so at once.

use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_route::snapshot::Route;

use super::message::{Action, Answer, Timing};
use super::placement::{MIN_SEARCH_INTERVAL, found_leaf};
use super::{Context, Flight};
use crate::fleet::{Need, Placement};
use crate::round_trip::SETUP_ROUND_TRIPS;

/// Share of the objective for which a request waits to be admitted, that is, until enough
/// of its parts have an available leaf. It is refused after that.
const ADMISSION_SHARE: f64 = 0.1;

/// Share of the time until the deadline for which a request that its caller has retried
/// waits to be admitted. Such a request is or will be late in any case, and its caller was
/// asked to retry.
const RETRY_ADMISSION_SHARE: f64 = 0.25;

/// Share of the objective that the caller must have spent, beyond the time to look up a node and
/// to connect, for a request to count as a retry by the caller.
const RETRY_SPENT_SHARE: f64 = 0.15;

/// Minimum retry delay that is sent to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(30);

/// Retry delay for a refused caller if it isn't known when a leaf will be available.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Whether the caller has made an earlier attempt.
pub(super) fn is_return(route: &Route, timing: Timing) -> bool {
    let setup = timing.round_trip * SETUP_ROUND_TRIPS;
    timing.spent > setup + route.objective.mul_f64(RETRY_SPENT_SHARE)
}

/// Returns until when a request may wait to be admitted.
pub(super) fn admit_by(now: Time, route: &Route, timing: Timing) -> Time {
    if is_return(route, timing) {
        now + timing.deadline.since(now).mul_f64(RETRY_ADMISSION_SHARE)
    } else {
        first_admit_by(now, route)
    }
}

/// Returns until when a first request of a caller may wait to be admitted.
pub(super) fn first_admit_by(now: Time, route: &Route) -> Time {
    now + route.objective.mul_f64(ADMISSION_SHARE)
}

/// Returns when the leafs that are unavailable for now can be tried again.
fn later(placement: &Placement) -> Option<Time> {
    match placement {
        Placement::Later(at) | Placement::RateLimited(at) => Some(*at),
        Placement::Leaf(_) | Placement::Queue(_) | Placement::NoLeaf => None,
    }
}

/// Returns the number of parts that a leaf was found for.
fn placed(placements: &[Placement]) -> usize {
    placements.iter().filter(|placement| matches!(placement, Placement::Leaf(_))).count()
}

impl Flight {
    /// Sends the request once enough parts have an available leaf at the same time, and
    /// refuses it if that doesn't happen before `admit_by`. A query that can't be answered
    /// thus takes no capacity from those that can.
    pub(super) fn admit(&mut self, now: Time, context: &mut Context<'_>) -> Vec<Action> {
        let placements = self.place_all(now, context);
        self.observe_room(now, &placements, context);
        if placed(&placements) < self.min_placed {
            let candidates =
                placements.iter().filter(|placement| self.may_get_leaf(placement)).count();
            if candidates < self.min_placed || now >= self.admit_by {
                self.admitted_at = Some(now);
                self.give_up_unplaced(now, &placements);
                self.leave_queues(context);
                let retry_after = self.retry_delay(now, &placements, context);
                return self.finish(Answer::Refused { retry_after });
            }
            let next = placements
                .iter()
                .filter_map(later)
                .min()
                .unwrap_or(self.admit_by)
                .max(now + MIN_SEARCH_INTERVAL);
            self.wait_in_turn(&placements, context);
            let next = self.next_search(now, next, context);
            self.next_admission = Some(next.min(self.admit_by));
            return Vec::new();
        }
        self.next_admission = None;
        self.admitted_at = Some(now);
        let mut actions = Vec::with_capacity(self.parts.len());
        for (part, placement) in placements.into_iter().enumerate() {
            self.apply_placement(now, part, placement, context, &mut actions);
        }
        self.finish_if_decided(now, context, &mut actions);
        actions
    }

    /// Finds leafs for all parts. Leafs with a rate limit are asked for more than the required
    /// parts only while they have tokens to spare, since other queries may require these.
    fn place_all(&self, now: Time, context: &mut Context<'_>) -> Vec<Placement> {
        let parts = 0..self.parts.len();
        let mut placements: Vec<Placement> =
            parts.map(|part| self.place(now, part, Need::Optional, context)).collect();
        for part in 0..placements.len() {
            if placed(&placements) >= self.min_placed {
                break;
            }
            if !matches!(placements[part], Placement::Leaf(_)) {
                placements[part] = self.place(now, part, Need::Required, context);
            }
        }
        placements
    }

    /// Returns the delay after which the caller should retry: by then all leafs that are
    /// unavailable for now can be tried again. If too few services are left without those that
    /// this node has lost, it isn't known when that will be.
    fn retry_delay(
        &self,
        now: Time,
        placements: &[Placement],
        context: &mut Context<'_>,
    ) -> Duration {
        let lost = self.parts.iter().filter(|part| context.fleet.is_lost(&part.service)).count();
        if self.parts.len() - lost < self.min_answers.max(1) {
            return DEFAULT_RETRY_AFTER;
        }
        let times = self.parts.iter().zip(placements).filter_map(|(part, placement)| {
            let at = later(placement)?;
            Some(context.fleet.schedule_return(now, &part.service, at))
        });
        let delay = times.max().map(|at| at.since(now));
        delay.unwrap_or(DEFAULT_RETRY_AFTER).max(MIN_RETRY_AFTER)
    }

    /// Records which parts had no leaf when the request was refused.
    fn give_up_unplaced(&mut self, now: Time, placements: &[Placement]) {
        for (part, placement) in self.parts.iter_mut().zip(placements) {
            part.given_up = found_leaf(*placement).err().map(|obstacle| (now, obstacle));
        }
    }

    /// Whether a part may get a leaf before admission ends.
    fn may_get_leaf(&self, placement: &Placement) -> bool {
        match placement {
            Placement::Leaf(_) | Placement::Queue(_) => true,
            Placement::Later(at) | Placement::RateLimited(at) => *at < self.admit_by,
            Placement::NoLeaf => false,
        }
    }
}
