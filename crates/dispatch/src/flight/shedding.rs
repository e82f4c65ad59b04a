//! What a request tells of the room at its shards, and the requests that give way there.

use std::time::Duration;

use jacinthfall_core::time::Time;

use super::part::{Obstacle, Part};
use super::placement::MAX_SEARCH_INTERVAL;
use super::retry::{self, Room};
use super::{Context, Flight};
use crate::fleet::{Fleet, Order, Placement};
use crate::overload::shortage::Shard;
use crate::overload::threshold::Claim;
use crate::overload::{Limit, Parts, Policy};

impl Flight {
    /// Returns when the response to a request to a single service is needed.
    pub(super) fn respond_by(&self, now: Time, context: &Context<'_>) -> Time {
        match context.overload.settings.singles {
            Limit::Deadline => self.deadline,
            Limit::Objective => Parts::InTime.respond_by(now, self.answer_by),
        }
    }

    /// Lets a request that waits to be admitted have its turn at the services without a leaf for it.
    pub(super) fn wait_in_turn(&mut self, placements: &[Placement], context: &mut Context<'_>) {
        if context.fleet.order() == Order::Unordered || !self.has_turn() {
            return;
        }
        for (part, placement) in placements.iter().enumerate() {
            if !matches!(placement, Placement::Leaf(_)) {
                self.enqueue(part, context);
            }
        }
    }

    /// Whether the request has a turn while it waits to be admitted. A query would keep room at
    /// some shards free for itself while it waits for others.
    fn has_turn(&self) -> bool {
        self.parts.len() == 1
    }

    /// Returns when admission is tried again. A request with a turn is asked for often, since a
    /// leaf is free for others only once it has been tried.
    pub(super) fn next_search(&self, now: Time, next: Time, context: &Context<'_>) -> Time {
        match context.fleet.order() {
            Order::Unordered => next,
            Order::Urgency => next.min(now + MAX_SEARCH_INTERVAL),
        }
    }

    /// Gives up the request's turns at all services.
    pub(super) fn leave_queues(&mut self, fleet: &mut Fleet) {
        for part in 0..self.parts.len() {
            self.dequeue(part, fleet);
        }
    }

    /// Returns after which time the caller should retry if the request ranks below the thresholds
    /// of more shards than it can do without.
    pub(super) fn ranks_too_low(
        &mut self,
        now: Time,
        context: &mut Context<'_>,
    ) -> Option<Duration> {
        if context.overload.settings.policy != Policy::Threshold {
            return None;
        }
        let claim = Claim {
            priority: self.priority,
            work: context.latency.quantile(0.5),
            lot: context.lot,
        };
        let shards: Vec<Shard> = self.parts.iter().map(|part| Shard::of(&part.service)).collect();
        let low = context.overload.low(now, &shards, claim);
        if self.parts.len() - low.len() >= self.min_placed {
            return None;
        }
        for part in low {
            self.parts[part].given_up = Some((now, Obstacle::Shortage));
        }
        Some(retry::delay(now, self.deadline, Room::Unknown, context.jitter))
    }

    /// Records which shards had no leaf for a part when the request was first placed.
    pub(super) fn observe_room(
        &self,
        now: Time,
        placements: &[Placement],
        context: &mut Context<'_>,
    ) {
        if self.next_admission.is_some() || !context.overload.is_measuring() {
            return;
        }
        for (part, placement) in self.parts.iter().zip(placements) {
            let is_met = matches!(placement, Placement::Leaf(_));
            context.overload.observe(now, &part.service, is_met);
        }
    }

    /// Records which parts were answered when the answer was due.
    pub(super) fn observe_late(&self, now: Time, context: &mut Context<'_>) {
        if !context.overload.is_measuring() {
            return;
        }
        let is_left_out = |part: &Part| matches!(part.given_up, Some((_, Obstacle::Shortage)));
        for part in self.parts.iter().filter(|part| !is_left_out(part)) {
            let is_met = part.answered_at().is_some_and(|at| at <= self.answer_by);
            context.overload.observe(now, &part.service, is_met);
        }
    }
}
