//! Placement of parts on leafs: where a part may be sent, and how long it waits for a leaf.
//!
//! Answers short peaks: a part that no leaf can take yet is queued at the node instead of in a
//! leaf, as long as its answer can still be in time.

use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_route::snapshot::Target;

use super::message::Action;
use super::part::{Obstacle, Part, Reason};
use super::{Context, Flight};
use crate::fleet::{Candidates, Demand, Fleet, Key, Need, Placement, Turn};

/// Minimum time between two searches for a leaf that can take a part.
pub(super) const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(3);

/// Maximum time between two searches for a leaf by a queued part.
pub(super) const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(12);

/// Number of sends that reached no leaf up to which a part may be sent again. Such sends
/// don't count toward the maximum number of attempts of the route.
const MAX_UNSENT: usize = 3;

/// Number of rejections after which a part isn't sent again to a leaf that rejected it.
const MAX_REJECTIONS: usize = 6;

/// Returns the leaf that a search found, or why there is none now.
pub(super) fn found_leaf(placement: Placement) -> Result<Key, Obstacle> {
    match placement {
        Placement::Leaf(leaf) => Ok(leaf),
        Placement::Queue(_) | Placement::Later(_) => Err(Obstacle::LeafsBusy),
        Placement::RateLimited(_) => Err(Obstacle::RateLimit),
        Placement::NoLeaf => Err(Obstacle::NoLeaf),
    }
}

impl Flight {
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
    pub(super) fn has_candidates(&self, part: usize) -> bool {
        !self.new_candidates(part).is_empty() || !self.repeat_candidates(part).is_empty()
    }

    /// Finds a leaf for a part: one that hasn't got it yet, else one that rejected it.
    pub(super) fn place(
        &self,
        now: Time,
        part: usize,
        need: Need,
        context: &mut Context<'_>,
    ) -> Placement {
        let placement = self.place_among(now, part, &self.new_candidates(part), need, context);
        let repeat = self.repeat_candidates(part);
        if matches!(placement, Placement::Leaf(_)) || repeat.is_empty() {
            return placement;
        }
        match self.place_among(now, part, &repeat, need, context) {
            Placement::Leaf(leaf) => Placement::Leaf(leaf),
            Placement::Queue(_)
            | Placement::Later(_)
            | Placement::RateLimited(_)
            | Placement::NoLeaf => placement,
        }
    }

    fn place_among(
        &self,
        now: Time,
        part: usize,
        candidates: &Candidates,
        need: Need,
        context: &mut Context<'_>,
    ) -> Placement {
        let usual = context.latency.quantile(0.5);
        let respond_by = match self.route.target {
            Target::Gather(_) => {
                // A part that can't be in time any more goes to a leaf that is as fast as usual. With
                // the time until the deadline, late parts would fill leafs that others need in
                // order to be in time.
                let late = now + usual;
                context.overload.settings.parts.respond_by(now, self.answer_by.max(late))
            }
            Target::Service(_) | Target::Split(_) => self.respond_by(now, context),
        };
        let part = &self.parts[part];
        let demand =
            Demand { usual, respond_by, candidates, queued: part.queued, turn: self.turn(), need };
        context.fleet.place(now, &part.service, &demand)
    }

    /// Returns whether a further send of a part is required for an answer.
    pub(super) fn need(&self, part: usize) -> Need {
        let is_covered = |part: &Part| part.reply.is_some() || part.has_open_send();
        let covered = self.parts.iter().filter(|part| is_covered(part)).count();
        if is_covered(&self.parts[part]) || covered >= self.min_answers.max(1) {
            Need::Optional
        } else {
            Need::Required
        }
    }

    /// Sends a part to a leaf, lets it wait for one, or gives it up.
    pub(super) fn send_or_wait(
        &mut self,
        now: Time,
        part: usize,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let placement = self.place(now, part, self.need(part), context);
        self.apply_placement(now, part, placement, context, actions);
    }

    /// Acts on the result of the search for a leaf: sends the part, lets it wait or gives it up.
    pub(super) fn apply_placement(
        &mut self,
        now: Time,
        part: usize,
        placement: Placement,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        let place_by = self.answer_by;
        match placement {
            Placement::Leaf(leaf) => {
                actions.push(self.send_to(now, part, leaf, Reason::First, context));
            }
            Placement::Queue(at) if at < place_by => {
                let wait =
                    at.since(now).mul_f64(0.5).clamp(MIN_SEARCH_INTERVAL, MAX_SEARCH_INTERVAL);
                self.parts[part].search_at = Some(now + wait);
                self.enqueue(part, context);
            }
            Placement::Later(at) | Placement::RateLimited(at) if at < place_by => {
                self.parts[part].search_at = Some(at.max(now + MIN_SEARCH_INTERVAL));
            }
            Placement::RateLimited(_) => {
                self.parts[part].given_up = Some((now, Obstacle::RateLimit));
                self.dequeue(part, context.fleet);
            }
            Placement::Queue(_) | Placement::Later(_) | Placement::NoLeaf => {
                self.parts[part].given_up = Some((now, Obstacle::NoLeaf));
                self.dequeue(part, context.fleet);
            }
        }
    }

    /// Returns the turn of the request among those that wait for the same leafs.
    fn turn(&self) -> Turn {
        Turn { priority: self.priority, arrived: self.arrived }
    }

    /// Adds a part to the queue of its service unless it is queued.
    pub(super) fn enqueue(&mut self, part: usize, context: &mut Context<'_>) {
        let turn = self.turn();
        let state = &mut self.parts[part];
        if !std::mem::replace(&mut state.queued, true) {
            context.fleet.enqueue(&state.service, turn, self.answer_by);
        }
    }

    /// Removes a part from the queue of its service if it is queued.
    pub(super) fn dequeue(&mut self, part: usize, fleet: &mut Fleet) {
        let turn = self.turn();
        let state = &mut self.parts[part];
        if std::mem::take(&mut state.queued) {
            fleet.dequeue(&state.service, turn, self.answer_by);
        }
    }
}
