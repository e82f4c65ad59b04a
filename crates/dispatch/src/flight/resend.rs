//! Sends of a part: the first one, hedges of late parts and resends of failed ones.
//!
//! Answers leafs that are slow, pause, fail or reject requests. All sends beyond the first
//! draw on the budget that the nodes share, so that they can't become a load of their own.

use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_route::snapshot::Target;

use super::message::Action;
use super::part::{Obstacle, Reason, Send};
use super::placement::found_leaf;
use super::{Context, Flight};
use crate::fleet::{self, Key};
use crate::latency::Latency;

/// Quantile of the route's response times from which the hedge delay is computed.
const HEDGE_QUANTILE: f64 = 0.90;

/// Factor on the response time at [`HEDGE_QUANTILE`].
const HEDGE_QUANTILE_FACTOR: f64 = 1.15;

/// Upper bound on the hedge delay, as a multiple of the route's median response time.
const MAX_HEDGE_MEDIAN_FACTOR: f64 = 2.2;

/// Lower bound on the hedge delay, as a multiple of the expected response time of the
/// chosen leaf.
const MIN_HEDGE_EXPECTED_FACTOR: f64 = 1.3;

/// Share of the parts of a query that must have ended before late ones are hedged early. If fewer
/// have, the usual part is late, so that the cause isn't a single leaf.
const MIN_HEDGE_PROGRESS: f64 = 0.4;

/// Share of the time until the answer is due after which late parts are hedged in any case: a node
/// that is behind has had most of the time to catch up, and the second leafs have some to answer.
const MAX_BEHIND_SHARE: f64 = 0.6;

/// Interval between two attempts to hedge a late part while no leaf can take it or the budget
/// is exhausted.
const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(8);

/// Interval between two checks whether the leafs that got a part are lost.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two searches for a leaf for a part whose sends have all ended.
const RESEND_INTERVAL: Duration = Duration::from_millis(6);

impl Flight {
    /// Returns the time after which a part counts as late and is hedged, while a second leaf still
    /// has the usual time to answer.
    fn hedge_delay(&self, now: Time, latency: &Latency) -> Duration {
        let usual = latency.quantile(0.5);
        let max_delay = usual.mul_f64(MAX_HEDGE_MEDIAN_FACTOR);
        let delay = latency.quantile(HEDGE_QUANTILE).mul_f64(HEDGE_QUANTILE_FACTOR);
        let time_left = self.answer_by.since(now);
        delay.min(max_delay).min(time_left.saturating_sub(usual))
    }

    /// Sends a part to a leaf and schedules its hedge if this is the first send.
    pub(super) fn send_to(
        &mut self,
        now: Time,
        part: usize,
        leaf: Key,
        reason: Reason,
        context: &mut Context<'_>,
    ) -> Action {
        self.dequeue(part, context.fleet);
        let assessment = context.fleet.assess(now, leaf, context.latency.quantile(0.5));
        // A leaf that is known to be slow was still the best choice, so another leaf would not
        // be faster. The hedge waits at least for the expected response time.
        let expected = assessment.expected.mul_f64(MIN_HEDGE_EXPECTED_FACTOR);
        let hedge_delay = self.hedge_delay(now, context.latency).max(expected);
        let state = &mut self.parts[part];
        let is_written = false;
        state.sends.push(Send { leaf, at: now, reason, assessment, is_written, completion: None });
        state.late_at = (state.sends.len() == 1).then(|| now + hedge_delay);
        let usual = context.latency.quantile(0.5);
        state.unanswered_at = self.route.idempotent.then(|| now + fleet::patience(usual));
        Action::Send { part, leaf }
    }

    /// Sends a part to another leaf if one can take it and the budget allows it.
    fn send_extra(
        &mut self,
        now: Time,
        part: usize,
        reason: Reason,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) -> Result<(), Obstacle> {
        let leaf = found_leaf(self.place(now, part, self.need(part), context))?;
        if !context.budget.try_acquire(now, &self.parts[part].service) {
            return Err(Obstacle::Budget);
        }
        actions.push(self.send_to(now, part, leaf, reason, context));
        Ok(())
    }

    /// Hedges a part that has become late, now or, if that is possible later, again after
    /// [`HEDGE_RETRY_INTERVAL`].
    pub(super) fn hedge_late_part(
        &mut self,
        now: Time,
        part: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let result = self.hedge(now, part, context, actions);
        let state = &mut self.parts[part];
        state.late_at = None;
        if let Err(obstacle) = result {
            state.not_resent = Some((now, obstacle));
            let retries = obstacle.may_pass() && now < self.answer_by;
            state.late_at = retries.then(|| now + HEDGE_RETRY_INTERVAL);
        }
    }

    /// Sends a late part to a second leaf without cancelling the first send.
    fn hedge(
        &mut self,
        now: Time,
        part: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) -> Result<(), Obstacle> {
        if !self.route.idempotent {
            return Err(Obstacle::MayHaveRun);
        }
        if context.is_quarantined {
            return Err(Obstacle::Quarantine);
        }
        if !self.has_candidates(part) {
            return Err(Obstacle::Attempts);
        }
        if self.is_behind(now) {
            return Err(Obstacle::NodeBusy);
        }
        self.send_extra(now, part, Reason::Late, context, actions)
    }

    /// Whether most parts of a query are still unanswered, early on. Then it is probably this node
    /// that is behind, for example because it has to connect to all leafs first, and hedges would
    /// only add to its work. If it lasts, many leafs are out of reach, and hedges are needed.
    fn is_behind(&self, now: Time) -> bool {
        if !matches!(self.route.target, Target::Gather(_)) {
            return false;
        }
        let ended = self.parts.iter().filter(|part| !part.is_pending()).count();
        let since = self.admitted_at.unwrap_or(now);
        let patience = self.answer_by.since(since).mul_f64(MAX_BEHIND_SHARE);
        ended as f64 <= MIN_HEDGE_PROGRESS * self.parts.len() as f64 && now.since(since) < patience
    }

    /// Gives a part up if the leafs that got it don't answer and this node has lost its links to
    /// them. Its caller may repeat the request and need not wait for the deadline.
    pub(super) fn check_loss(&mut self, now: Time, part: usize, context: &Context<'_>) {
        let state = &mut self.parts[part];
        if state.has_open_send() && context.fleet.is_lost(&state.service) {
            state.given_up = Some((now, Obstacle::Lost));
        }
        state.unanswered_at = Some(now + LOSS_CHECK_INTERVAL);
    }

    /// Sends a part whose sends have all ended once more, lets it wait for a leaf, or gives it
    /// up. Leafs that reject requests at random, or are full for a moment, often take the part
    /// a little later, so a part that no leaf can take yet isn't given up before `answer_by`.
    pub(super) fn resend(
        &mut self,
        now: Time,
        part: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let state = &self.parts[part];
        let may_repeat = self.route.idempotent || !state.may_have_run;
        let obstacle = if !may_repeat {
            Err(Obstacle::MayHaveRun)
        } else if context.is_quarantined {
            Err(Obstacle::Quarantine)
        } else if !self.has_candidates(part) {
            Err(Obstacle::Attempts)
        } else if state.leaf_count() == 0 {
            self.send_or_wait(now, part, context, actions);
            return;
        } else {
            self.send_extra(now, part, Reason::Failed, context, actions)
        };
        let Err(obstacle) = obstacle else { return };
        let state = &mut self.parts[part];
        let search_at = now + RESEND_INTERVAL;
        if obstacle.may_pass() && search_at < self.answer_by {
            state.search_at = Some(search_at);
        } else {
            state.given_up = Some((now, obstacle));
        }
    }
}
