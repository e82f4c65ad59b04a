//! Chooses the nodes that serve requests on behalf of this one, which has lost its links to their
//! leafs.
//!
//! Answers the load of a node that callers still reach, but which reaches no leafs: it is spread
//! over a few nodes that do, near ones with spare capacity first. Each node uses few others, so
//! that the connections between them stay bounded in a large deployment. A node that fails or
//! turns a request away is left out for a while, whatever its heartbeats say.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::snapshot::Target;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::fleet::Fleet;
use crate::quarantine::Service;
use crate::roster::{Member, Node, Roster};

mod trial;

pub use trial::Trial;

/// Number of nodes that requests are spread over.
const MAX_RELAYS: usize = 3;

/// First pause of a node that failed or turned a request away; the pause doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause of such a node.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Load of a node by which one in the same availability zone may exceed it and still be preferred.
const SAME_ZONE_ADVANTAGE: f64 = 0.25;

/// Load that a request in flight to a node adds to what the node states.
const IN_FLIGHT_LOAD: f64 = 0.02;

/// Minimum spare capacity of a node, as a share, for the random choice.
const MIN_SPARE: f64 = 0.05;

/// How a request to another node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was answered.
    Answered,
    /// The node turned it away without running it.
    Declined,
    /// The node could not be reached, or its answer was lost.
    Failed,
    /// This node cancelled it, or the node turned it away for a reason that soon passes.
    Cancelled,
}

/// A node that requests are sent to, or were until it failed.
#[derive(Clone, Debug)]
struct Relay {
    name: id::Name,
    /// Start of its process.
    started: u64,
    in_flight: usize,
    paused_until: Time,
    next_pause: Duration,
}

impl Relay {
    fn open(node: &Node) -> Relay {
        Relay {
            name: node.name.clone(),
            started: node.started,
            in_flight: 0,
            paused_until: Time(0),
            next_pause: FIRST_PAUSE,
        }
    }
}

/// Chooses among the nodes that reach the leafs of a request.
#[derive(Debug, Default)]
pub struct Selector {
    /// Nodes in use, and those that are paused.
    relays: Vec<Relay>,
}

impl Selector {
    /// Returns a node that serves callers and says that it reaches leafs of these services, except
    /// for those in `tried`; `None` if there is none.
    pub fn choose(
        &mut self,
        now: Time,
        roster: &Roster,
        own: &Node,
        lost: &[Service],
        tried: &[id::Name],
        rng: &mut impl Rng,
    ) -> Option<Node> {
        self.relays.retain(|relay| {
            let known = roster.member(&relay.name);
            let is_same = known.is_some_and(|member| member.node.started == relay.started);
            is_same
                && (relay.paused_until > now || relay.in_flight > 0 || is_able(known, now, lost))
        });
        let is_candidate = |member: &&Member| {
            is_able(Some(member), now, lost)
                && !tried.contains(&member.node.name)
                && !self.is_paused(now, member)
        };
        let used = self.relays.iter().filter_map(|relay| roster.member(&relay.name));
        let mut candidates: Vec<&Member> = used.filter(is_candidate).collect();
        let missing = MAX_RELAYS.saturating_sub(candidates.len());
        if missing > 0 {
            let is_unused = |member: &&Member| self.relay(&member.node.name).is_none();
            let others: Vec<&Member> =
                roster.members().filter(is_unused).filter(is_candidate).collect();
            let weight = |member: &&Member| spare_capacity(member);
            if let Ok(chosen) = others.choose_multiple_weighted(rng, missing, weight) {
                candidates.extend(chosen.copied());
            }
        }
        let cost = |member: &&Member| self.cost(member, own);
        let best = candidates.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(best.node.clone())
    }

    /// Returns the number of requests that other nodes serve on behalf of this one.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.relays.iter().map(|relay| relay.in_flight).sum()
    }

    /// Records that a request was sent to a node.
    pub fn record_send(&mut self, node: &Node) {
        match self.relays.iter_mut().find(|relay| relay.name == node.name) {
            Some(relay) => relay.in_flight += 1,
            None => self.relays.push(Relay { in_flight: 1, ..Relay::open(node) }),
        }
    }

    /// Records how a request to a node ended. Returns the pause of the node, if it is left out for
    /// a while.
    pub fn record_end(&mut self, now: Time, name: &str, ending: Ending) -> Option<Duration> {
        let relay = self.relays.iter_mut().find(|relay| *relay.name == *name)?;
        relay.in_flight = relay.in_flight.saturating_sub(1);
        match ending {
            Ending::Answered => {
                relay.next_pause = FIRST_PAUSE;
                None
            }
            Ending::Cancelled => None,
            Ending::Declined | Ending::Failed if relay.paused_until > now => None,
            Ending::Declined | Ending::Failed => {
                let pause = relay.next_pause;
                relay.paused_until = now + pause;
                relay.next_pause = (pause * 2).min(MAX_PAUSE);
                Some(pause)
            }
        }
    }

    fn relay(&self, name: &str) -> Option<&Relay> {
        self.relays.iter().find(|relay| *relay.name == *name)
    }

    fn is_paused(&self, now: Time, member: &Member) -> bool {
        self.relay(&member.node.name).is_some_and(|relay| relay.paused_until > now)
    }

    /// Returns the load of a node, with a penalty for its distance.
    fn cost(&self, member: &Member, own: &Node) -> f64 {
        let in_flight = self.relay(&member.node.name).map_or(0, |relay| relay.in_flight);
        let distance = if member.node.zone == own.zone { 0.0 } else { SAME_ZONE_ADVANTAGE };
        stated_load(member) + IN_FLIGHT_LOAD * in_flight as f64 + distance
    }
}

/// What a request lacks at a node that has lost services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lack {
    /// Nothing: no service of the request is lost.
    Nothing,
    /// These shards; the node can answer the query without them.
    Optional(Vec<Service>),
    /// These services, without which the node can't serve the request.
    Required(Vec<Service>),
}

impl Lack {
    /// Returns what a request lacks at the node whose leafs are in `fleet`.
    ///
    /// `chosen` is the service chosen for a route that splits its requests over several. A node
    /// that is cut off requires all services, although its open sends may still be answered.
    #[must_use]
    pub fn of(fleet: &Fleet, target: &Target, chosen: Option<&id::Name>) -> Lack {
        let is_lost = |service: &&id::Name| fleet.is_lost(service);
        let lost: Vec<&id::Name> = match (target, chosen) {
            (Target::Gather(gather), _) => gather.shards.iter().filter(is_lost).collect(),
            (_, Some(service)) | (Target::Service(service), None) => {
                Some(service).into_iter().filter(is_lost).collect()
            }
            (Target::Split(shares), None) => {
                shares.iter().map(|share| &share.service).take(1).filter(is_lost).collect()
            }
        };
        if lost.is_empty() {
            return Lack::Nothing;
        }
        let services = lost.iter().map(|service| Service::of(service)).collect();
        match target {
            Target::Gather(gather)
                if !fleet.loss().is_cut_off()
                    && gather.shards.len() - lost.len() >= gather.min_shards() =>
            {
                Lack::Optional(services)
            }
            Target::Gather(_) | Target::Service(_) | Target::Split(_) => Lack::Required(services),
        }
    }
}

/// Whether a node serves callers and says that it reaches leafs of these services.
fn is_able(member: Option<&Member>, now: Time, lost: &[Service]) -> bool {
    member.is_some_and(|member| {
        let reaches = |service: &Service| !member.loss.includes(*service);
        member.is_serving(now) && !member.loss.is_cut_off() && lost.iter().all(reaches)
    })
}

fn stated_load(member: &Member) -> f64 {
    f64::from(member.load) / 1_000.0
}

fn spare_capacity(member: &Member) -> f64 {
    f64::from(member.node.capacity.max(1)) * (1.0 - stated_load(member)).max(MIN_SPARE)
}
