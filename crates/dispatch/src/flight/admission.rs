//! Admission of requests, and the time after which refused callers should retry.
//!
//! Answers a load that exceeds the capacity of some shards: a query that can't be answered
//! takes no capacity from those that can, and its caller is told so at once. A request waits for
//! leafs only while its answer can still be useful: the usual response times tell when it must be sent
//! at the latest. That bounds the queue at this node by what the leafs can serve in time, so that an
//! overload doesn't make all requests late.

use std::time::Duration;

use jacinthfall_core::time::Time;

use super::message::{Action, Answer};
use super::placement::{MIN_SEARCH_INTERVAL, found_leaf};
use super::retry::{self, Room};
use super::{Context, Flight};
use crate::fleet::{Need, Placement};
use crate::latency::Latency;

/// Returns when the leafs that are unavailable for now can be tried again.
fn later(placement: &Placement) -> Option<Time> {
    match placement {
        Placement::Later(at) | Placement::RateLimited(at) => Some(*at),
        Placement::Leaf(_) | Placement::Queue(_) | Placement::NoLeaf => None,
    }
}

/// Whether a part may get a leaf by the given time.
fn may_get_leaf(placement: &Placement, by: Time) -> bool {
    match placement {
        Placement::Leaf(_) => true,
        Placement::Queue(at) | Placement::Later(at) | Placement::RateLimited(at) => *at < by,
        Placement::NoLeaf => false,
    }
}

/// Returns the number of parts that a leaf was found for.
fn placed(placements: &[Placement]) -> usize {
    placements.iter().filter(|placement| matches!(placement, Placement::Leaf(_))).count()
}

impl Flight {
    /// Returns when the request must be sent for its answer to be expected in time, given the usual
    /// response times of its parts. While none were observed, it may be sent to the last.
    fn send_by(&self, latency: &Latency) -> Time {
        if self.is_impatient {
            return self.arrived;
        }
        let response = latency.observed(self.expected_rank()).unwrap_or_default();
        self.arrived + self.answer_by.since(self.arrived).saturating_sub(response)
    }

    /// Returns the quantile of the response times within which the required parts are expected to be
    /// answered: the mean rank of the last of `k` among `n` is `k / (n + 1)`.
    fn expected_rank(&self) -> f64 {
        self.min_placed as f64 / (self.parts.len() + 1) as f64
    }

    /// Whether no leaf has lately answered within the time until the deadline.
    pub(super) fn is_hopeless(&self, now: Time, latency: &Latency) -> bool {
        let left = self.deadline.since(now);
        latency.observed(0.0).is_some_and(|shortest| shortest > left)
    }

    /// Refuses the request before anything of it was sent.
    pub(super) fn refuse(&mut self, now: Time, retry_after: Duration) -> Vec<Action> {
        self.admitted_at = Some(now);
        self.finish(Answer::Refused { retry_after })
    }

    /// Sends the request once enough parts have an available leaf at the same time, and
    /// refuses it once that isn't expected in time any more. A query that can't be answered
    /// thus takes no capacity from those that can.
    pub(super) fn admit(&mut self, now: Time, context: &mut Context<'_>) -> Vec<Action> {
        let placements = self.place_all(now, context);
        self.observe_room(now, &placements, context);
        if placed(&placements) < self.min_placed {
            let send_by = self.send_by(context.latency);
            let candidates =
                placements.iter().filter(|placement| may_get_leaf(placement, send_by)).count();
            if candidates < self.min_placed || now >= send_by {
                self.give_up_unplaced(now, &placements);
                self.leave_queues(context.fleet);
                let retry_after = self.retry_delay(now, &placements, context);
                return self.refuse(now, retry_after);
            }
            let next = placements
                .iter()
                .filter_map(later)
                .min()
                .unwrap_or(send_by)
                .max(now + MIN_SEARCH_INTERVAL);
            self.wait_in_turn(&placements, context);
            let next = self.next_search(now, next, context);
            self.next_admission = Some(next.min(send_by));
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

    /// Returns the delay after which the caller should retry: by then enough parts are expected to
    /// have a leaf. If too few services are left without those that this node has lost, it isn't
    /// known when that will be.
    fn retry_delay(
        &self,
        now: Time,
        placements: &[Placement],
        context: &mut Context<'_>,
    ) -> Duration {
        let lost = self.parts.iter().filter(|part| context.fleet.is_lost(&part.service)).count();
        if self.parts.len() - lost < self.min_placed {
            return retry::delay(now, self.deadline, Room::Unknown, context.jitter);
        }
        let response = context.latency.quantile(0.5);
        let mut rooms = Vec::new();
        for (part, placement) in self.parts.iter().zip(placements) {
            match placement {
                // A leaf that is busy has room once it has answered a request.
                Placement::Queue(at) | Placement::Later(at) => {
                    let at = (*at).max(now + response);
                    rooms.push(Room::Expected { at, response });
                }
                Placement::RateLimited(at) => {
                    let turn = context.fleet.schedule_return(now, &part.service, *at);
                    rooms.push(Room::Reserved(turn));
                }
                Placement::Leaf(_) | Placement::NoLeaf => {}
            }
        }
        let missing = self.min_placed.saturating_sub(placed(placements));
        let room = Room::of_parts(rooms, missing);
        retry::delay(now, self.deadline, room, context.jitter)
    }

    /// Records which parts had no leaf when the request was refused.
    fn give_up_unplaced(&mut self, now: Time, placements: &[Placement]) {
        for (part, placement) in self.parts.iter_mut().zip(placements) {
            part.given_up = found_leaf(*placement).err().map(|obstacle| (now, obstacle));
        }
    }
}
