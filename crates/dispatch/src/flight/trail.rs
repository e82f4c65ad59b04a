//! What was decided on a request, for its log lines.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;

use super::Flight;
use super::part::{Ended, Obstacle, Part, Reason};
use crate::fleet::{Key, Outlook};

/// What happened to a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// It was given to a leaf.
    Sent {
        /// The leaf.
        leaf: Key,
        /// Why.
        reason: Reason,
        /// What the choice rested on.
        outlook: Outlook,
    },
    /// A send of it ended.
    Ended {
        /// The leaf.
        leaf: Key,
        /// How.
        ended: Ended,
    },
    /// It was late and was not sent again.
    Held(Obstacle),
    /// It was given up.
    GivenUp(Obstacle),
}

/// One step of a request's way.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Time,
    /// Service that the part is for.
    pub service: id::Name,
    /// What happened.
    pub event: Event,
}

impl Flight {
    /// Steps of the parts that decided the answer, in the order of time: those without
    /// an answer, those that were sent again or could not be, and the slowest one.
    #[must_use]
    pub fn trail(&self) -> Vec<Step> {
        let slowest = self.parts.iter().filter_map(Part::answered).max();
        let notable = self.parts.iter().filter(|part| {
            let repeated = part.sends.len() > 1 || part.held.is_some();
            part.answered().is_none() || repeated || part.answered() == slowest
        });
        let mut steps: Vec<Step> = notable.flat_map(steps).collect();
        steps.sort_by_key(|step| step.at);
        steps
    }

    /// How long the request waited until enough of its parts had a leaf.
    #[must_use]
    pub fn waited(&self) -> Duration {
        self.admitted.map_or(Duration::ZERO, |at| at.since(self.opened))
    }
}

fn steps(part: &Part) -> impl Iterator<Item = Step> {
    let sent = part.sends.iter().map(|send| {
        let event = Event::Sent { leaf: send.leaf, reason: send.reason, outlook: send.outlook };
        (send.at, event)
    });
    let ended = part.sends.iter().filter_map(|send| {
        let (at, ended) = send.ended?;
        Some((at, Event::Ended { leaf: send.leaf, ended }))
    });
    let held = part.held.map(|(at, obstacle)| (at, Event::Held(obstacle)));
    let dead = part.dead.map(|(at, obstacle)| (at, Event::GivenUp(obstacle)));
    let events = sent.chain(ended).chain(held).chain(dead);
    events.map(|(at, event)| Step { at, service: part.service.clone(), event })
}
