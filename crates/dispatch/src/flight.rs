//! State machine of one request, from its arrival to its answer.
//!
//! A request is sent to one leaf, or to one leaf of each shard; what one shard
//! receives is a part. A part that is late or failed is sent to another leaf if
//! the request may run twice, the route allows another attempt and the retry budget
//! isn't exhausted. A query over shards is answered once every shard has answered, or
//! with a partial result if enough shards have answered when its latency objective is
//! about to expire.
//!
//! `message` defines the inputs and outputs of the state machine, `part` the
//! state of one part, and `trail` the steps that are written to the log.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::snapshot::{Route, Target};

use crate::budget::Budget;
use crate::fleet::{Candidates, Demand, Fleet, Key, Placement};
use crate::latency::Latency;
use crate::merge;

mod message;
mod part;
mod trail;

pub use message::{Action, Answer, Outcome, Reply, Timing};
pub use part::{Completion, Obstacle, Reason};
pub use trail::{Event, Step};

use part::{Part, Send};

/// Share of the objective that is reserved for transport between caller and node.
const TRANSPORT_SHARE: f64 = 0.04;

/// Time that is reserved for transport between caller and node, in addition to
/// [`TRANSPORT_SHARE`].
const TRANSPORT_TIME: Duration = Duration::from_millis(9);

/// Quantile of the route's response times from which the hedge delay is computed.
const HEDGE_QUANTILE: f64 = 0.90;

/// Factor on the response time at [`HEDGE_QUANTILE`].
const HEDGE_QUANTILE_FACTOR: f64 = 1.15;

/// Share of the objective for which a request waits to be admitted, that is, until enough
/// of its parts have an available leaf. It is refused after that.
const ADMISSION_SHARE: f64 = 0.1;

/// Share of the time until the deadline for which a request that its caller has retried
/// waits to be admitted. Such a request is or will be late in any case, and its caller was
/// asked to retry.
const RETRY_ADMISSION_SHARE: f64 = 0.25;

/// Share of the objective that the caller must have spent on earlier attempts for a
/// request to count as a retry by the caller.
const RETRY_SPENT_SHARE: f64 = 0.15;

/// Minimum time between two searches for a leaf that can take a part.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(3);

/// Maximum time between two searches for a leaf by a queued part.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(12);

/// Interval between two attempts to hedge a late part while no leaf can take it or the budget
/// is exhausted.
const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(8);

/// Interval between two searches for a leaf for a part whose sends have all ended.
const RESEND_INTERVAL: Duration = Duration::from_millis(6);

/// Number of rejections after which a part isn't sent again to a leaf that rejected it.
const MAX_REJECTIONS: usize = 6;

/// Minimum retry delay that is sent to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(30);

/// Upper bound on the hedge delay, as a multiple of the route's median response time.
const MAX_HEDGE_MEDIAN_FACTOR: f64 = 2.2;

/// Time within which a leaf must be able to answer a part of a query that is late or has
/// less time left than this, as a share of the objective. Late queries don't get the whole
/// time until the deadline, because they would fill leafs that others need in order to be on
/// time.
const OVERDUE_SHARE: f64 = 0.4;

/// Lower bound on the hedge delay, as a multiple of the expected response time of the
/// chosen leaf.
const MIN_HEDGE_EXPECTED_FACTOR: f64 = 1.3;

/// Upper bound on the hedge delay of one part of a query over shards, as a share of the
/// time left.
const MAX_HEDGE_SHARE_GATHER: f64 = 0.4;

/// Upper bound on the hedge delay of a request to one leaf, as a share of the time left.
const MAX_HEDGE_SHARE_SINGLE: f64 = 0.6;

/// Number of sends that reached no leaf up to which a part may be sent again. Such sends
/// don't count toward the maximum number of attempts of the route.
const MAX_UNSENT: usize = 3;

/// Retry delay for a refused caller if it isn't known when a leaf will be available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State outside of the request that its decisions depend on.
#[derive(Debug)]
pub struct Context<'a> {
    /// Leafs that requests are placed on.
    pub fleet: &'a mut Fleet,
    /// Budget of retries and hedged sends.
    pub budget: &'a mut Budget,
    /// Response times of the route.
    pub latency: &'a Latency,
}

/// Returns the delay after which the caller should retry: by then all leafs that are
/// unavailable for now can be tried again.
fn retry_delay(now: Time, placements: &[Placement]) -> Duration {
    let times = placements.iter().filter_map(|placement| match placement {
        Placement::Later(at) => Some(at.since(now)),
        Placement::Leaf(_) | Placement::Queue(_) | Placement::NoLeaf => None,
    });
    times.max().unwrap_or(DEFAULT_RETRY_AFTER).max(MIN_RETRY_AFTER)
}

/// Counts of the parts and sends of a request, for its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of parts with a successful answer.
    pub answered: usize,
    /// Number of parts that were given up.
    pub given_up: usize,
    /// Number of sends beyond the first of each part.
    pub extra_sends: usize,
}

/// A request in flight: its parts, its time limits and whether it is answered.
///
/// It does no I/O. Each call returns the [`Action`]s that the caller has to carry out.
#[derive(Debug)]
pub struct Flight {
    route: Arc<Route>,
    parts: Vec<Part>,
    /// Minimum number of parts that must be answered.
    min_answers: usize,
    /// When a partial answer is sent if enough parts are answered.
    answer_by: Time,
    /// Until when the request may wait until enough of its parts have an available leaf.
    admit_by: Time,
    /// Until when a single part may wait for a leaf that can take it.
    place_by: Time,
    /// When admission is tried again, while too few parts have an available leaf.
    next_admission: Option<Time>,
    /// When the caller stops waiting.
    deadline: Time,
    arrived: Time,
    /// When its parts were first sent to leafs, or it was refused.
    admitted_at: Option<Time>,
    finished: bool,
}

impl Flight {
    /// Creates the state of a request that arrived at `now`.
    ///
    /// `service` is the service chosen for a route that splits its requests over several.
    #[must_use]
    pub fn open(route: Arc<Route>, service: Option<id::Name>, now: Time, timing: Timing) -> Flight {
        let Timing { deadline, spent } = timing;
        let (services, min_answers) = match (&route.target, service) {
            (Target::Gather(gather), _) => (gather.shards.clone(), gather.min_shards()),
            (_, Some(service)) => (vec![service], 1),
            (Target::Service(service), None) => (vec![service.clone()], 1),
            (Target::Split(shares), None) => {
                (shares.iter().take(1).map(|share| share.service.clone()).collect(), 1)
            }
        };
        let transport = TRANSPORT_TIME + route.objective.mul_f64(TRANSPORT_SHARE);
        let is_retry = spent > TRANSPORT_TIME + route.objective.mul_f64(RETRY_SPENT_SHARE);
        let answer_by = now + route.objective.saturating_sub(transport + spent);
        let admit_by = if is_retry {
            now + deadline.since(now).mul_f64(RETRY_ADMISSION_SHARE)
        } else {
            now + route.objective.mul_f64(ADMISSION_SHARE)
        };
        let place_by = match route.target {
            Target::Gather(_) => answer_by.max(admit_by),
            Target::Service(_) | Target::Split(_) => admit_by,
        };
        Flight {
            parts: services.into_iter().map(Part::open).collect(),
            min_answers,
            answer_by: answer_by.min(deadline),
            admit_by: admit_by.min(deadline),
            place_by: place_by.min(deadline),
            next_admission: None,
            deadline,
            arrived: now,
            admitted_at: None,
            finished: false,
            route,
        }
    }

    /// Returns when [`Flight::wake`] must be called next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        if let Some(at) = self.next_admission {
            return at;
        }
        let pending = self.parts.iter().filter(|part| part.is_pending());
        let times = pending.flat_map(|part| [part.late_at, part.search_at]).flatten();
        let first = times.min().unwrap_or(self.deadline).min(self.deadline);
        if self.is_answerable_early() { first.min(self.answer_by) } else { first }
    }

    /// Counts the parts and sends of the request so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        Tally {
            answered: self.parts.iter().filter(|part| part.answered_at().is_some()).count(),
            given_up: self.parts.iter().filter(|part| part.is_given_up()).count(),
            extra_sends: self.parts.iter().map(|part| part.sends.len().saturating_sub(1)).sum(),
        }
    }

    /// Iterates over the parts without an answer: the service and the leafs that the part
    /// was sent to.
    pub fn unanswered_parts(&self) -> impl Iterator<Item = (&id::Name, Vec<Key>)> {
        let missing = self.parts.iter().filter(|part| part.answered_at().is_none());
        missing.map(|part| (&part.service, part.sends.iter().map(|send| send.leaf).collect()))
    }

    /// Returns the number of parts.
    #[must_use]
    pub fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Sends the request, queues it, or refuses it if too few shards have a leaf.
    pub fn start(&mut self, now: Time, context: &mut Context<'_>) -> Vec<Action> {
        for part in &self.parts {
            context.budget.record_request(now, &part.service);
        }
        self.admit(now, context)
    }

    /// Sends the request once enough parts have an available leaf at the same time, and
    /// refuses it if that doesn't happen before `admit_by`. A query that can't be answered
    /// thus takes no capacity from those that can.
    fn admit(&mut self, now: Time, context: &mut Context<'_>) -> Vec<Action> {
        let placements: Vec<Placement> =
            (0..self.parts.len()).map(|n| self.place(now, n, context)).collect();
        let placed =
            placements.iter().filter(|placement| matches!(placement, Placement::Leaf(_))).count();
        if placed < self.min_answers.max(1) {
            let candidates =
                placements.iter().filter(|placement| self.may_get_leaf(placement)).count();
            if candidates < self.min_answers.max(1) || now >= self.admit_by {
                self.admitted_at = Some(now);
                self.give_up_unplaced(now, &placements);
                return self.finish(Answer::Refused { retry_after: retry_delay(now, &placements) });
            }
            let times = placements.iter().filter_map(|placement| match placement {
                Placement::Later(at) => Some(*at),
                Placement::Leaf(_) | Placement::Queue(_) | Placement::NoLeaf => None,
            });
            let next = times.min().unwrap_or(self.admit_by).max(now + MIN_SEARCH_INTERVAL);
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

    /// Records which parts had no leaf when the request was refused.
    fn give_up_unplaced(&mut self, now: Time, placements: &[Placement]) {
        for (part, placement) in self.parts.iter_mut().zip(placements) {
            part.given_up = match placement {
                Placement::Leaf(_) => None,
                Placement::Queue(_) | Placement::Later(_) => Some((now, Obstacle::LeafsBusy)),
                Placement::NoLeaf => Some((now, Obstacle::NoLeaf)),
            };
        }
    }

    /// Whether a part may get a leaf before admission ends.
    fn may_get_leaf(&self, placement: &Placement) -> bool {
        match placement {
            Placement::Leaf(_) | Placement::Queue(_) => true,
            Placement::Later(at) => *at < self.admit_by,
            Placement::NoLeaf => false,
        }
    }

    /// Handles the end of a send of a part.
    pub fn send_ended(
        &mut self,
        now: Time,
        part: usize,
        leaf: Key,
        outcome: Outcome,
        context: &mut Context<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.parts[part].record_outcome(now, leaf, outcome);
        if self.finished {
            return actions;
        }
        if self.parts[part].is_pending() && !self.parts[part].has_open_send() {
            self.resend(now, part, context, &mut actions);
        }
        self.finish_if_decided(now, context, &mut actions);
        actions
    }

    /// Handles the timers that have expired: retries admission, sends late or waiting parts,
    /// and answers with the parts received so far.
    pub fn wake(&mut self, now: Time, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        if self.next_admission.is_some() {
            return self.admit(now, context);
        }
        for part in 0..self.parts.len() {
            let state = &mut self.parts[part];
            if state.is_pending() && state.search_at.is_some_and(|at| at <= now) {
                state.search_at = None;
                self.resend(now, part, context, &mut actions);
            }
            let state = &mut self.parts[part];
            if state.is_pending() && state.late_at.is_some_and(|at| at <= now) {
                state.late_at = None;
                if let Err(obstacle) = self.hedge(now, part, context, &mut actions) {
                    let state = &mut self.parts[part];
                    state.not_resent = Some((now, obstacle));
                    let retries = obstacle.may_pass() && now < self.answer_by;
                    state.late_at = retries.then(|| now + HEDGE_RETRY_INTERVAL);
                }
            }
        }
        self.finish_if_decided(now, context, &mut actions);
        actions
    }

    fn answered_count(&self) -> usize {
        self.parts.iter().filter(|part| part.reply.is_some()).count()
    }

    /// Whether enough parts are answered for a partial answer.
    fn is_answerable_early(&self) -> bool {
        matches!(self.route.target, Target::Gather(_))
            && self.answered_count() >= self.min_answers.max(1)
    }

    /// Returns the leafs that a part may be sent to and that haven't got it yet.
    fn new_candidates(&self, part: usize) -> Candidates {
        let part = &self.parts[part];
        if part.leaf_count() < self.route.attempts && part.unsent <= MAX_UNSENT {
            Candidates::AllBut(part.sends.iter().map(|send| send.leaf).collect())
        } else {
            Candidates::none()
        }
    }

    /// Returns the leafs that a part may be sent to once more, since they rejected it.
    fn repeat_candidates(&self, part: usize) -> Candidates {
        let part = &self.parts[part];
        if part.rejections() < MAX_REJECTIONS {
            Candidates::Only(part.rejecting_leafs())
        } else {
            Candidates::none()
        }
    }

    /// Whether the route, [`MAX_UNSENT`] and [`MAX_REJECTIONS`] allow another send of a part.
    fn has_candidates(&self, part: usize) -> bool {
        !self.new_candidates(part).is_empty() || !self.repeat_candidates(part).is_empty()
    }

    /// Finds a leaf for a part: one that hasn't got it yet, else one that rejected it.
    fn place(&self, now: Time, part: usize, context: &mut Context<'_>) -> Placement {
        let placement = self.place_among(now, part, &self.new_candidates(part), context);
        let repeat = self.repeat_candidates(part);
        if matches!(placement, Placement::Leaf(_)) || repeat.is_empty() {
            return placement;
        }
        match self.place_among(now, part, &repeat, context) {
            Placement::Leaf(leaf) => Placement::Leaf(leaf),
            Placement::Queue(_) | Placement::Later(_) | Placement::NoLeaf => placement,
        }
    }

    fn place_among(
        &self,
        now: Time,
        part: usize,
        candidates: &Candidates,
        context: &mut Context<'_>,
    ) -> Placement {
        let usual = context.latency.quantile(0.5);
        let respond_by = match self.route.target {
            Target::Gather(_) => {
                self.answer_by.max(now + self.route.objective.mul_f64(OVERDUE_SHARE))
            }
            Target::Service(_) | Target::Split(_) => self.deadline,
        };
        let part = &self.parts[part];
        let demand = Demand { usual, respond_by, candidates, queued: part.queued };
        context.fleet.place(now, &part.service, &demand)
    }

    /// Returns the time after which a part counts as late and is hedged.
    fn hedge_delay(&self, now: Time, latency: &Latency) -> Duration {
        let max_delay = latency.quantile(0.5).mul_f64(MAX_HEDGE_MEDIAN_FACTOR);
        let delay = latency.quantile(HEDGE_QUANTILE).mul_f64(HEDGE_QUANTILE_FACTOR);
        let share = match self.route.target {
            Target::Gather(_) => MAX_HEDGE_SHARE_GATHER,
            Target::Service(_) | Target::Split(_) => MAX_HEDGE_SHARE_SINGLE,
        };
        delay.min(max_delay).min(self.answer_by.since(now).mul_f64(share))
    }

    /// Sends a part to a leaf and schedules its hedge if this is the first send.
    fn send_to(
        &mut self,
        now: Time,
        part: usize,
        leaf: Key,
        reason: Reason,
        context: &mut Context<'_>,
    ) -> Action {
        self.dequeue(part, context);
        let assessment = context.fleet.assess(now, leaf, context.latency.quantile(0.5));
        // A leaf that is known to be slow was still the best choice, so another leaf would not
        // be faster. The hedge waits at least for the expected response time.
        let expected = assessment.expected.mul_f64(MIN_HEDGE_EXPECTED_FACTOR);
        let hedge_delay = self.hedge_delay(now, context.latency).max(expected);
        let state = &mut self.parts[part];
        state.sends.push(Send { leaf, at: now, reason, assessment, completion: None });
        state.late_at = (state.sends.len() == 1).then(|| now + hedge_delay);
        Action::Send { part, leaf }
    }

    /// Sends a part to a leaf, lets it wait for one, or gives it up.
    fn send_or_wait(
        &mut self,
        now: Time,
        part: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let placement = self.place(now, part, context);
        self.apply_placement(now, part, placement, context, actions);
    }

    /// Acts on the result of the search for a leaf: sends the part, lets it wait or gives it up.
    fn apply_placement(
        &mut self,
        now: Time,
        part: usize,
        placement: Placement,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let place_by = self.place_by;
        match placement {
            Placement::Leaf(leaf) => {
                actions.push(self.send_to(now, part, leaf, Reason::First, context));
            }
            Placement::Queue(at) if at < place_by => {
                let state = &mut self.parts[part];
                let wait =
                    at.since(now).mul_f64(0.5).clamp(MIN_SEARCH_INTERVAL, MAX_SEARCH_INTERVAL);
                state.search_at = Some(now + wait);
                if !state.queued {
                    state.queued = true;
                    context.fleet.enqueue(&state.service, place_by);
                }
            }
            Placement::Later(at) if at < place_by => {
                self.parts[part].search_at = Some(at.max(now + MIN_SEARCH_INTERVAL));
            }
            Placement::Queue(_) | Placement::Later(_) | Placement::NoLeaf => {
                self.parts[part].given_up = Some((now, Obstacle::NoLeaf));
                self.dequeue(part, context);
            }
        }
    }

    /// Removes a part from the queue of its service if it is queued.
    fn dequeue(&mut self, part: usize, context: &mut Context<'_>) {
        let state = &mut self.parts[part];
        if std::mem::take(&mut state.queued) {
            context.fleet.dequeue(&state.service, self.place_by);
        }
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
        let leaf = match self.place(now, part, context) {
            Placement::Leaf(leaf) => leaf,
            Placement::Queue(_) | Placement::Later(_) => return Err(Obstacle::LeafsBusy),
            Placement::NoLeaf => return Err(Obstacle::NoLeaf),
        };
        if !context.budget.try_acquire(now, &self.parts[part].service) {
            return Err(Obstacle::Budget);
        }
        actions.push(self.send_to(now, part, leaf, reason, context));
        Ok(())
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
        if !self.has_candidates(part) {
            return Err(Obstacle::Attempts);
        }
        self.send_extra(now, part, Reason::Late, context, actions)
    }

    /// Sends a part whose sends have all ended once more, lets it wait for a leaf, or gives it
    /// up. Leafs that reject requests at random, or are full for a moment, often take the part
    /// a little later, so a part that no leaf can take yet isn't given up before `place_by`.
    fn resend(
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
        if obstacle.may_pass() && search_at < self.place_by {
            state.search_at = Some(search_at);
        } else {
            state.given_up = Some((now, obstacle));
        }
    }

    /// Finishes the request if its answer is known: enough parts are answered, the deadline
    /// has passed, or too few parts can still be answered.
    fn finish_if_decided(
        &mut self,
        now: Time,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        if self.finished {
            return;
        }
        let given_up = self.parts.iter().filter(|part| part.is_given_up()).count();
        let answered = self.answered_count();
        let total = self.parts.len();
        let complete = answered + given_up == total && answered >= self.min_answers.max(1);
        let enough = self.is_answerable_early() && now >= self.answer_by;
        let unanswerable = total - given_up < self.min_answers.max(1);
        let answer = if complete || enough {
            self.success()
        } else if now >= self.deadline {
            self.timeout()
        } else if unanswerable {
            self.failure(now, context)
        } else {
            return;
        };
        for part in 0..self.parts.len() {
            self.dequeue(part, context);
        }
        actions.extend(self.finish(answer));
    }

    fn success(&mut self) -> Answer {
        let Target::Gather(gather) = &self.route.target else {
            let reply = self.parts.iter_mut().find_map(|part| part.reply.take());
            return reply.map_or(Answer::Failed(StatusCode::BAD_GATEWAY), Answer::Forward);
        };
        let replies = || self.parts.iter().filter_map(|part| part.reply.as_ref());
        let receipts: Vec<HeaderValue> = replies().filter_map(|r| r.receipt.clone()).collect();
        let body = merge::greatest(replies().map(|reply| &reply.body[..]), gather.top);
        Answer::Merged { missing: self.parts.len() - receipts.len(), receipts, body }
    }

    fn failure(&mut self, now: Time, context: &Context<'_>) -> Answer {
        if !self.parts.iter().any(|part| part.may_have_run || part.has_open_send()) {
            let given_up = self.parts.iter().filter(|part| part.is_given_up());
            let available =
                given_up.filter_map(|part| context.fleet.available_at(now, &part.service)).max();
            let retry_after = available.map_or(DEFAULT_RETRY_AFTER, |at| at.since(now));
            return Answer::Refused { retry_after };
        }
        let is_gather = matches!(self.route.target, Target::Gather(_));
        let failure = self.parts.iter_mut().find_map(|part| part.failure.take());
        match failure {
            Some(reply) if !is_gather => Answer::Forward(reply),
            _ => Answer::Failed(StatusCode::BAD_GATEWAY),
        }
    }

    fn timeout(&mut self) -> Answer {
        if self.is_answerable_early() {
            return self.success();
        }
        Answer::Failed(StatusCode::GATEWAY_TIMEOUT)
    }

    fn finish(&mut self, answer: Answer) -> Vec<Action> {
        self.finished = true;
        vec![Action::Finish(answer)]
    }
}
