//! State machine of one request, from its arrival to its answer.
//!
//! A request is sent to one leaf, or to one leaf of each shard; what one shard
//! receives is a part. A part that is late or failed is sent to another leaf if
//! the request may run twice, the route allows another attempt and the retry budget
//! isn't exhausted. A query over shards is answered once every shard has answered, or
//! with a partial result if enough shards have answered when its latency objective is
//! about to expire.
//!
//! `message` defines the inputs and outputs of the state machine, `part` the state of one part,
//! and `trail` the steps that are written to the log. The decisions are in `admission`,
//! `placement`, `resend`, `retry`, `shedding` and `ending`.

use std::sync::Arc;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::snapshot::{Route, Target};

use crate::budget::Budget;
use crate::fleet::{Fleet, Key};
use crate::latency::Latency;
use crate::overload;

mod admission;
mod ending;
mod message;
mod part;
mod placement;
mod resend;
mod retry;
mod shedding;
mod trail;

pub use message::{Action, Answer, Outcome, Reply, Timing};
pub use part::{Completion, Obstacle, Reason};
pub use trail::{Event, Step};

use part::Part;
use retry::Room;

/// State outside of the request that its decisions depend on.
#[derive(Debug)]
pub struct Context<'a> {
    /// Leafs that requests are placed on.
    pub fleet: &'a mut Fleet,
    /// Budget of retries and hedged sends.
    pub budget: &'a mut Budget,
    /// Response times of the route.
    pub latency: &'a Latency,
    /// Shortage of shards, and what gives way to it.
    pub overload: &'a mut overload::State,
    /// Priority of the request, 0 being the most urgent: its organisation's, else its route's.
    pub priority: u32,
    /// Random number from 0 to 1 that is the same for a caller's request at each node.
    pub lot: f64,
    /// Random number from 0 to 1 that spreads the times at which refused callers come back.
    pub jitter: f64,
    /// Whether the request must not be sent to a further leaf, because it crashes them.
    pub is_quarantined: bool,
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
    /// Minimum number of parts that must have an available leaf at the same time to be sent.
    min_placed: usize,
    /// When an answer must leave to be useful: to arrive within the objective, and before the caller
    /// stops waiting. A partial answer is sent then if enough parts are answered.
    answer_by: Time,
    /// Priority; 0 is the most urgent.
    priority: u32,
    /// Whether the request is refused at once unless leafs for all its parts are available.
    is_impatient: bool,
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
        let deadline = timing.deadline;
        let (services, min_answers) = match (&route.target, service) {
            (Target::Gather(gather), _) => (gather.shards.clone(), gather.min_shards()),
            (_, Some(service)) => (vec![service], 1),
            (Target::Service(service), None) => (vec![service.clone()], 1),
            (Target::Split(shares), None) => {
                (shares.iter().take(1).map(|share| share.service.clone()).collect(), 1)
            }
        };
        let useful_until = (now + route.objective.saturating_sub(timing.elapsed)).min(deadline);
        let answer_by = now + useful_until.since(now).saturating_sub(timing.transport());
        Flight {
            parts: services.into_iter().map(Part::open).collect(),
            min_answers,
            min_placed: min_answers.max(1),
            answer_by,
            priority: route.priority,
            is_impatient: false,
            next_admission: None,
            deadline,
            arrived: now,
            admitted_at: None,
            finished: false,
            route,
        }
    }

    /// Lets the request be refused unless leafs for all its parts are available when it starts.
    pub fn admit_only_whole(&mut self) {
        self.min_placed = self.parts.len();
        self.is_impatient = true;
    }

    /// Returns when [`Flight::wake`] must be called next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        if let Some(at) = self.next_admission {
            return at;
        }
        let pending = self.parts.iter().filter(|part| part.is_pending());
        let times =
            pending.flat_map(|part| [part.late_at, part.search_at, part.unanswered_at]).flatten();
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
        self.priority = context.priority;
        if self.is_hopeless(now, context.latency) {
            self.parts.iter_mut().for_each(|part| part.given_up = Some((now, Obstacle::Deadline)));
            return self
                .refuse(now, retry::delay(now, self.deadline, Room::Unknown, context.jitter));
        }
        if let Some(retry_after) = self.ranks_too_low(now, context) {
            return self.refuse(now, retry_after);
        }
        self.admit(now, context)
    }

    /// Records that a send of a part has begun to write to its connection, so that the leaf may
    /// get the request. It must be called before the next decision.
    pub fn record_written(&mut self, part: usize, leaf: Key) {
        self.parts[part].record_written(leaf);
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
            let state = &self.parts[part];
            if state.is_pending() && state.late_at.is_some_and(|at| at <= now) {
                self.hedge_late_part(now, part, context, &mut actions);
            }
            let state = &self.parts[part];
            if state.is_pending() && state.unanswered_at.is_some_and(|at| at <= now) {
                self.check_loss(now, part, context);
            }
        }
        self.finish_if_decided(now, context, &mut actions);
        actions
    }

    /// Gives up the request's turns at leafs, when its caller has left before there was an answer.
    pub fn abandon(&mut self, fleet: &mut Fleet) {
        self.finished = true;
        self.leave_queues(fleet);
    }

    fn answered_count(&self) -> usize {
        self.parts.iter().filter(|part| part.reply.is_some()).count()
    }

    /// Whether enough parts are answered for a partial answer.
    fn is_answerable_early(&self) -> bool {
        matches!(self.route.target, Target::Gather(_))
            && self.answered_count() >= self.min_answers.max(1)
    }
}
