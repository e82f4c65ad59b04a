//! One request from its arrival to its answer.
//!
//! A request goes to one leaf, or to one leaf of each shard. A part that is late or
//! failed is sent to another leaf where the request may run twice, the route allows
//! another attempt and the budget has room. A query over shards is answered once
//! every shard has answered, or with what there is when its objective is about to
//! pass and enough shards are in.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::snapshot::{Route, Target};

use crate::budget::Budget;
use crate::fleet::{Demand, Fleet, Key, Place};
use crate::latency::Latency;
use crate::merge;

mod message;
mod part;
mod trail;

pub use message::{Action, Answer, Outcome, Patience, Reply};
pub use part::{Ended, Obstacle, Reason};
pub use trail::{Event, Step};

use part::{Part, Send};

/// Share of the objective that is kept for the way between caller and node.
const TRANSPORT_SHARE: f64 = 0.04;

/// Time kept for the way between caller and node.
const TRANSPORT: Duration = Duration::from_millis(9);

/// Share of response times after which a part counts as late.
const LATE_QUANTILE: f64 = 0.90;

/// Factor on that response time.
const LATE_FACTOR: f64 = 1.15;

/// Share of the objective for which a request waits for leafs that can take it.
const WAIT_SHARE: f64 = 0.1;

/// Share of the time left for which a request waits that its caller sends again: it
/// is late already or will be, and its caller has been told to come back.
const RETURN_WAIT_SHARE: f64 = 0.25;

/// Share of the objective after which a request counts as one that came back.
const RETURN_SHARE: f64 = 0.15;

/// Shortest time until room is looked for again.
const LOOK: Duration = Duration::from_millis(3);

/// Longest time until room is looked for again by a part that waits for it.
const MAX_LOOK: Duration = Duration::from_millis(12);

/// Shortest time after which a refused caller should come back.
const MIN_COME_BACK: Duration = Duration::from_millis(30);

/// Usual response times after which a part counts as late, at the latest.
const LATE_MEDIANS: f64 = 2.2;

/// Share of the objective within which a part of a query that is late already is due:
/// it doesn't fill leafs that others need in time.
const LATE_DUE: f64 = 0.4;

/// Expected response times of its leaf after which a part counts as late, at the
/// earliest.
const LATE_EXPECTED: f64 = 1.3;

/// Share of the time left after which one part of several counts as late, at the latest.
const LATE_SHARE_OF_PART: f64 = 0.4;

/// Share of the time left after which a request to one leaf counts as late, at the latest.
const LATE_SHARE: f64 = 0.6;

/// Sends of one part that the leaf did not get, beyond the route's attempts.
const MAX_UNSENT: usize = 3;

/// When a caller whose request no leaf can take at the moment should come back.
const COME_BACK: Duration = Duration::from_millis(500);

/// What decisions on a request draw on.
#[derive(Debug)]
pub struct World<'a> {
    /// Leafs.
    pub fleet: &'a mut Fleet,
    /// Bound on extra sends.
    pub budget: &'a mut Budget,
    /// Response times of the route.
    pub latency: &'a Latency,
}

/// When enough leafs may be tried again for a caller to come back.
fn come_back(now: Time, places: &[Place]) -> Duration {
    let later = places.iter().filter_map(|place| match place {
        Place::Later(at) => Some(at.since(now)),
        Place::Leaf(_) | Place::Queue(_) | Place::Nowhere => None,
    });
    later.max().unwrap_or(COME_BACK).max(MIN_COME_BACK)
}

/// Counts of what a request needed, for its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Parts that are in.
    pub done: usize,
    /// Parts that no leaf can answer any more.
    pub dead: usize,
    /// Sends beyond the first of each part.
    pub extra: usize,
}

/// One request.
#[derive(Debug)]
pub struct Flight {
    route: Arc<Route>,
    parts: Vec<Part>,
    least: usize,
    answer_by: Time,
    /// Until when the request may wait for enough leafs that can take it.
    admit_by: Time,
    /// Until when a part may wait for a leaf that can take it.
    place_by: Time,
    /// When leafs are looked for again, while there are too few.
    queued: Option<Time>,
    deadline: Time,
    opened: Time,
    /// When its parts were first given to leafs, or it was refused.
    admitted: Option<Time>,
    finished: bool,
}

impl Flight {
    /// Opens a request that arrived at `now`.
    ///
    /// `service` is the target where the route names several alternatives.
    #[must_use]
    pub fn open(
        route: Arc<Route>,
        service: Option<id::Name>,
        now: Time,
        patience: Patience,
    ) -> Flight {
        let Patience { deadline, spent } = patience;
        let (services, least) = match (&route.target, service) {
            (Target::Gather(gather), _) => (gather.shards.clone(), gather.least()),
            (_, Some(service)) => (vec![service], 1),
            (Target::Service(service), None) => (vec![service.clone()], 1),
            (Target::Split(shares), None) => {
                (shares.iter().take(1).map(|share| share.service.clone()).collect(), 1)
            }
        };
        let transport = TRANSPORT + route.objective.mul_f64(TRANSPORT_SHARE);
        let came_back = spent > TRANSPORT + route.objective.mul_f64(RETURN_SHARE);
        let answer_by = now + route.objective.saturating_sub(transport + spent);
        let admit_by = if came_back {
            now + deadline.since(now).mul_f64(RETURN_WAIT_SHARE)
        } else {
            now + route.objective.mul_f64(WAIT_SHARE)
        };
        let place_by = match route.target {
            Target::Gather(_) => answer_by.max(admit_by),
            Target::Service(_) | Target::Split(_) => admit_by,
        };
        Flight {
            parts: services.into_iter().map(Part::open).collect(),
            least,
            answer_by: answer_by.min(deadline),
            admit_by: admit_by.min(deadline),
            place_by: place_by.min(deadline),
            queued: None,
            deadline,
            opened: now,
            admitted: None,
            finished: false,
            route,
        }
    }

    /// When [`Flight::wake`] has to be called next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        if let Some(look) = self.queued {
            return look;
        }
        let pending = self.parts.iter().filter(|part| part.is_pending());
        let looks = pending.flat_map(|part| [part.late, part.waits]).flatten();
        let first = looks.min().unwrap_or(self.deadline).min(self.deadline);
        if self.is_answerable_early() { first.min(self.answer_by) } else { first }
    }

    /// What the request needed so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        Tally {
            done: self.parts.iter().filter(|part| part.answered().is_some()).count(),
            dead: self.parts.iter().filter(|part| part.is_dead()).count(),
            extra: self.parts.iter().map(|part| part.sends.len().saturating_sub(1)).sum(),
        }
    }

    /// Parts without an answer: service and the leafs that were given the part.
    pub fn missing(&self) -> impl Iterator<Item = (&id::Name, Vec<Key>)> {
        let missing = self.parts.iter().filter(|part| part.answered().is_none());
        missing.map(|part| (&part.service, part.sends.iter().map(|send| send.leaf).collect()))
    }

    /// Number of parts.
    #[must_use]
    pub fn parts(&self) -> usize {
        self.parts.len()
    }

    /// Sends the request, or refuses it if too few shards have a leaf.
    pub fn start(&mut self, now: Time, world: &mut World<'_>) -> Vec<Action> {
        for part in &self.parts {
            world.budget.request(now, &part.service);
        }
        self.admit(now, world)
    }

    /// Sends the request once enough parts have a leaf at the same time, and refuses it
    /// if that doesn't come about soon. A query that can't be answered takes nothing
    /// from those that can.
    fn admit(&mut self, now: Time, world: &mut World<'_>) -> Vec<Action> {
        let places: Vec<Place> = (0..self.parts.len()).map(|n| self.place(now, n, world)).collect();
        let placed = places.iter().filter(|place| matches!(place, Place::Leaf(_))).count();
        if placed < self.least.max(1) {
            let hopeful = places.iter().filter(|place| self.is_hopeful(place)).count();
            if hopeful < self.least.max(1) || now >= self.admit_by {
                self.admitted = Some(now);
                return self.finish(Answer::Refused { retry_after: come_back(now, &places) });
            }
            let looks = places.iter().filter_map(|place| match place {
                Place::Later(at) => Some(*at),
                Place::Leaf(_) | Place::Queue(_) | Place::Nowhere => None,
            });
            let look = looks.min().unwrap_or(self.admit_by).max(now + LOOK);
            self.queued = Some(look.min(self.admit_by));
            return Vec::new();
        }
        self.queued = None;
        self.admitted = Some(now);
        let mut actions = Vec::with_capacity(self.parts.len());
        for (part, place) in places.into_iter().enumerate() {
            self.follow(now, part, place, world, &mut actions);
        }
        self.settle(now, world, &mut actions);
        actions
    }

    /// Whether a part may still get a leaf in time.
    fn is_hopeful(&self, place: &Place) -> bool {
        match place {
            Place::Leaf(_) | Place::Queue(_) => true,
            Place::Later(at) => *at < self.admit_by,
            Place::Nowhere => false,
        }
    }

    /// Takes in how a send of a part ended.
    pub fn ended(
        &mut self,
        now: Time,
        part: usize,
        leaf: Key,
        outcome: Outcome,
        world: &mut World<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.parts[part].ended(now, leaf, outcome);
        if self.finished {
            return actions;
        }
        if self.parts[part].is_pending() && !self.parts[part].has_open_send() {
            self.resend(now, part, world, &mut actions);
        }
        self.settle(now, world, &mut actions);
        actions
    }

    /// Acts on the time: sends late parts again, answers with what there is.
    pub fn wake(&mut self, now: Time, world: &mut World<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        if self.queued.is_some() {
            return self.admit(now, world);
        }
        for part in 0..self.parts.len() {
            let state = &mut self.parts[part];
            if state.is_pending() && state.waits.is_some_and(|at| at <= now) {
                state.waits = None;
                self.resend(now, part, world, &mut actions);
            }
            let state = &mut self.parts[part];
            if state.is_pending() && state.late.is_some_and(|late| late <= now) {
                state.late = None;
                if let Err(obstacle) = self.hedge(now, part, world, &mut actions) {
                    self.parts[part].held = Some((now, obstacle));
                }
            }
        }
        self.settle(now, world, &mut actions);
        actions
    }

    fn done(&self) -> usize {
        self.parts.iter().filter(|part| part.reply.is_some()).count()
    }

    /// Whether enough parts are in for an answer that lacks some.
    fn is_answerable_early(&self) -> bool {
        matches!(self.route.target, Target::Gather(_)) && self.done() >= self.least.max(1)
    }

    fn has_attempt(&self, part: usize) -> bool {
        let part = &self.parts[part];
        part.attempts < self.route.attempts && part.unsent <= MAX_UNSENT
    }

    /// Finds a leaf that has not had a part yet.
    fn place(&self, now: Time, part: usize, world: &mut World<'_>) -> Place {
        let usual = world.latency.quantile(0.5);
        let due = match self.route.target {
            Target::Gather(_) => self.answer_by.max(now + self.route.objective.mul_f64(LATE_DUE)),
            Target::Service(_) | Target::Split(_) => self.deadline,
        };
        let part = &self.parts[part];
        let tried: Vec<Key> = part.sends.iter().map(|send| send.leaf).collect();
        let demand = Demand { usual, due, except: &tried, queued: part.queued };
        world.fleet.place(now, &part.service, &demand)
    }

    /// Time after which a part counts as late.
    fn lateness(&self, now: Time, latency: &Latency) -> Duration {
        let usual = latency.quantile(0.5).mul_f64(LATE_MEDIANS);
        let slow = latency.quantile(LATE_QUANTILE).mul_f64(LATE_FACTOR);
        let share = match self.route.target {
            Target::Gather(_) => LATE_SHARE_OF_PART,
            Target::Service(_) | Target::Split(_) => LATE_SHARE,
        };
        slow.min(usual).min(self.answer_by.since(now).mul_f64(share))
    }

    fn give(
        &mut self,
        now: Time,
        part: usize,
        leaf: Key,
        reason: Reason,
        world: &mut World<'_>,
    ) -> Action {
        self.dequeue(part, world);
        let outlook = world.fleet.outlook(now, leaf, world.latency.quantile(0.5));
        // A leaf that is known to be slow was the best choice: another is no quicker.
        let expected = outlook.expected.mul_f64(LATE_EXPECTED);
        let late = self.lateness(now, world.latency).max(expected);
        let state = &mut self.parts[part];
        state.sends.push(Send { leaf, at: now, reason, outlook, ended: None });
        state.attempts += 1;
        state.late = (state.sends.len() == 1).then(|| now + late);
        Action::Send { part, leaf }
    }

    /// Gives a part to a leaf, lets it wait for one, or gives it up.
    fn send(&mut self, now: Time, part: usize, world: &mut World<'_>, actions: &mut Vec<Action>) {
        let place = self.place(now, part, world);
        self.follow(now, part, place, world, actions);
    }

    fn follow(
        &mut self,
        now: Time,
        part: usize,
        place: Place,
        world: &mut World<'_>,
        actions: &mut Vec<Action>,
    ) {
        let place_by = self.place_by;
        match place {
            Place::Leaf(leaf) => {
                actions.push(self.give(now, part, leaf, Reason::First, world));
            }
            Place::Queue(at) if at < place_by => {
                let state = &mut self.parts[part];
                let wait = at.since(now).mul_f64(0.5).clamp(LOOK, MAX_LOOK);
                state.waits = Some(now + wait);
                if !state.queued {
                    state.queued = true;
                    world.fleet.enqueue(&state.service, place_by);
                }
            }
            Place::Later(at) if at < place_by => {
                self.parts[part].waits = Some(at.max(now + LOOK));
            }
            Place::Queue(_) | Place::Later(_) | Place::Nowhere => {
                self.parts[part].dead = Some((now, Obstacle::NoLeaf));
                self.dequeue(part, world);
            }
        }
    }

    /// Ends the wait of a part for room.
    fn dequeue(&mut self, part: usize, world: &mut World<'_>) {
        let state = &mut self.parts[part];
        if std::mem::take(&mut state.queued) {
            world.fleet.dequeue(&state.service, self.place_by);
        }
    }

    /// Gives a part to a further leaf if one can take it and the budget has room.
    fn send_extra(
        &mut self,
        now: Time,
        part: usize,
        reason: Reason,
        world: &mut World<'_>,
        actions: &mut Vec<Action>,
    ) -> Result<(), Obstacle> {
        let Place::Leaf(leaf) = self.place(now, part, world) else {
            return Err(Obstacle::NoLeaf);
        };
        if !world.budget.take(now, &self.parts[part].service) {
            return Err(Obstacle::Budget);
        }
        actions.push(self.give(now, part, leaf, reason, world));
        Ok(())
    }

    /// Gives a late part to a further leaf too.
    fn hedge(
        &mut self,
        now: Time,
        part: usize,
        world: &mut World<'_>,
        actions: &mut Vec<Action>,
    ) -> Result<(), Obstacle> {
        if !self.route.idempotent {
            return Err(Obstacle::MayHaveRun);
        }
        if !self.has_attempt(part) {
            return Err(Obstacle::Attempts);
        }
        self.send_extra(now, part, Reason::Late, world, actions)
    }

    /// Gives a part whose sends have all ended to another leaf, or gives it up.
    fn resend(&mut self, now: Time, part: usize, world: &mut World<'_>, actions: &mut Vec<Action>) {
        let state = &self.parts[part];
        let may_repeat = self.route.idempotent || !state.may_have_run;
        let obstacle = if !may_repeat {
            Err(Obstacle::MayHaveRun)
        } else if !self.has_attempt(part) {
            Err(Obstacle::Attempts)
        } else if state.attempts == 0 {
            self.send(now, part, world, actions);
            return;
        } else {
            self.send_extra(now, part, Reason::Failed, world, actions)
        };
        self.parts[part].dead = obstacle.err().map(|obstacle| (now, obstacle));
    }

    /// Answers if the answer is known.
    fn settle(&mut self, now: Time, world: &mut World<'_>, actions: &mut Vec<Action>) {
        if self.finished {
            return;
        }
        let dead = self.parts.iter().filter(|part| part.is_dead()).count();
        let done = self.done();
        let total = self.parts.len();
        let complete = done + dead == total && done >= self.least.max(1);
        let enough = self.is_answerable_early() && now >= self.answer_by;
        let hopeless = total - dead < self.least.max(1);
        let answer = if complete || enough {
            self.success()
        } else if now >= self.deadline {
            self.timeout()
        } else if hopeless {
            self.failure(now, world)
        } else {
            return;
        };
        for part in 0..self.parts.len() {
            self.dequeue(part, world);
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

    fn failure(&mut self, now: Time, world: &World<'_>) -> Answer {
        if !self.parts.iter().any(|part| part.may_have_run || part.has_open_send()) {
            let returns = self.parts.iter().filter(|part| part.is_dead());
            let returns = returns.filter_map(|part| world.fleet.returns(now, &part.service)).max();
            let retry_after = returns.map_or(COME_BACK, |at| at.since(now));
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
