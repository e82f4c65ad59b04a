//! Decisions on a request and their results, for its log lines.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;

use super::Flight;
use super::part::{Completion, Obstacle, Part, Reason};
use crate::fleet::{Assessment, Key};

/// What happened to a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// It was sent to a leaf.
    Sent {
        /// Leaf that it was sent to.
        leaf: Key,
        /// Why it was sent.
        reason: Reason,
        /// Assessment of the leaf when it was chosen.
        assessment: Assessment,
    },
    /// A send of it ended.
    Ended {
        /// Leaf that it was sent to.
        leaf: Key,
        /// How the send ended.
        completion: Completion,
    },
    /// It was late and could not be sent again.
    NotResent(Obstacle),
    /// It was given up.
    GivenUp(Obstacle),
}

/// A timestamped event of one part.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When it happened.
    pub at: Time,
    /// Service that the part is sent to.
    pub service: id::Name,
    /// What happened.
    pub event: Event,
}

impl Flight {
    /// Returns the steps of the parts that explain the answer and its latency, ordered by
    /// time: parts without an answer, parts that were sent more than once or could not be
    /// sent again, and the slowest part.
    #[must_use]
    pub fn trail(&self) -> Vec<Step> {
        let slowest = self.parts.iter().filter_map(Part::answered_at).max();
        let notable = self.parts.iter().filter(|part| {
            let repeated = part.sends.len() > 1 || part.not_resent.is_some();
            part.answered_at().is_none() || repeated || part.answered_at() == slowest
        });
        let mut steps: Vec<Step> = notable.flat_map(steps).collect();
        steps.sort_by_key(|step| step.at);
        steps
    }

    /// Returns how long the request waited until it was admitted, because enough of its parts
    /// had an available leaf, or refused.
    #[must_use]
    pub fn queue_time(&self) -> Duration {
        self.admitted_at.map_or(Duration::ZERO, |at| at.since(self.arrived))
    }
}

fn steps(part: &Part) -> impl Iterator<Item = Step> {
    let sent = part.sends.iter().map(|send| {
        let event =
            Event::Sent { leaf: send.leaf, reason: send.reason, assessment: send.assessment };
        (send.at, event)
    });
    let ended = part.sends.iter().filter_map(|send| {
        let (at, completion) = send.completion?;
        Some((at, Event::Ended { leaf: send.leaf, completion }))
    });
    let not_resent = part.not_resent.map(|(at, obstacle)| (at, Event::NotResent(obstacle)));
    let given_up = part.given_up.map(|(at, obstacle)| (at, Event::GivenUp(obstacle)));
    let events = sent.chain(ended).chain(not_resent).chain(given_up);
    events.map(|(at, event)| Step { at, service: part.service.clone(), event })
}
