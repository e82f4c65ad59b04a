//! Choice of the node that grants the requests of one group of organisations.

use std::collections::HashMap;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;

use super::{LEASE, Reply, Vote, Want};

/// Number of electors that are asked for grants; further ones only by themselves.
const MAX_CANDIDATES: usize = 8;

/// Time without a response after which a node counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(250);

/// Minimum number of messages without a response after which a node counts as silent.
const MIN_UNANSWERED: u32 = 3;

/// Interval at which a silent node is asked whether it answers again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a node that is about to be silent is asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Interval at which an elector renews its vote.
const VOTE_INTERVAL: Duration = Duration::from_millis(150);

/// Coverage, in thousandths, below which the next candidate is asked too.
const MIN_COVERAGE: u16 = 900;

/// Number of sent messages that are remembered for each node.
const MAX_SENT: usize = 16;

/// What a node has stated of its clock.
#[derive(Clone, Copy, Debug)]
struct Clock {
    started: u64,
    clock: u64,
    received: Time,
}

/// A node that may grant requests.
#[derive(Debug, Default)]
struct Contact {
    clock: Option<Clock>,
    coverage: u16,
    /// Number of the latest message.
    number: u64,
    /// Messages without a response, with the times at which they were sent.
    sent: Vec<(u64, Time)>,
    last_sent: Option<Time>,
    /// When the first message without any later response was sent, and the number of them.
    unanswered: Option<(Time, u32)>,
    is_silent: bool,
    /// Number of the message that ended this node's vote.
    released: Option<u64>,
}

impl Contact {
    fn is_due(&self, now: Time, interval: Duration) -> bool {
        self.last_sent.is_none_or(|at| now.since(at) >= interval)
    }

    fn record_send(&mut self, now: Time) -> u64 {
        self.number += 1;
        if self.sent.len() >= MAX_SENT {
            self.sent.remove(0);
        }
        self.sent.push((self.number, now));
        self.last_sent = Some(now);
        let (since, count) = self.unanswered.unwrap_or((now, 0));
        self.unanswered = Some((since, count + 1));
        self.number
    }

    /// Returns when a vote that is sent now is lent from: no longer than the node answers, so that
    /// the vote of one that has crashed soon ends.
    fn lent_at(&self, now: Time) -> Time {
        self.unanswered.map_or(now, |(since, _)| since.min(now))
    }

    fn check(&mut self, now: Time) {
        self.is_silent |= self.unanswered.is_some_and(|(since, count)| {
            now.since(since) >= SILENT_AFTER && count >= MIN_UNANSWERED
        });
    }
}

/// Message that is due: receiver, number, vote and wants.
type Due = (id::Name, u64, Option<Vote>, Vec<Want>);

/// Nodes that may grant the requests of one group of organisations.
#[derive(Debug, Default)]
pub struct Contacts {
    /// Candidates, first one first.
    order: Vec<id::Name>,
    contacts: HashMap<id::Name, Contact>,
    /// Whether this node has a vote.
    is_elector: bool,
    /// The node that has this node's vote, and until when.
    voted: Option<(id::Name, Time)>,
}

impl Contacts {
    /// Sets the electors, first candidate first. `own` is the name of this node.
    pub fn set_candidates(&mut self, own: &id::Name, electors: &[id::Name]) {
        self.is_elector = electors.contains(own);
        self.order = electors.iter().take(MAX_CANDIDATES).cloned().collect();
        if self.is_elector && !self.order.contains(own) {
            self.order.push(own.clone());
        }
        for name in &self.order {
            self.contacts.entry(name.clone()).or_default();
        }
        let (order, voted) = (&self.order, &self.voted);
        self.contacts.retain(|name, _| {
            order.contains(name) || voted.as_ref().is_some_and(|(voted, _)| voted == name)
        });
    }

    /// Returns the messages that are due. Wants go to the first candidate that answers, and to the
    /// next one too while the first has few votes.
    pub fn poll(&mut self, now: Time, own: &id::Name, wants: Vec<Want>) -> Vec<Due> {
        let is_idle = wants.is_empty() && !self.is_elector && self.voted.is_none();
        let is_settled = |contact: &Contact| contact.unanswered.is_none() || contact.is_silent;
        if is_idle && self.contacts.values().all(is_settled) {
            return Vec::new();
        }
        self.contacts.values_mut().for_each(|contact| contact.check(now));
        let answering: Vec<id::Name> = self.answering();
        let mut due = Vec::new();
        if self.voted.as_ref().is_some_and(|(_, until)| now >= *until) {
            self.voted = None;
        }
        let first = answering.first();
        self.release(now, first, &mut due);
        let Some(first) = first else { return self.probe(now, own, due) };
        let vote = self.vote(now, first);
        let contact = &self.contacts[first];
        let is_first_vote = vote.is_some() && self.voted.is_none();
        let is_vote_due = self.is_elector && (is_first_vote || contact.is_due(now, VOTE_INTERVAL));
        let is_check_due = contact.unanswered.is_some() && contact.is_due(now, CHECK_INTERVAL);
        if !wants.is_empty() || is_vote_due || is_check_due {
            self.send(now, first, vote, wants.clone(), &mut due);
        }
        let coverage = self.contacts[first].coverage;
        if !wants.is_empty() && coverage < MIN_COVERAGE {
            let holder = answering.iter().skip(1).max_by_key(|name| self.contacts[*name].coverage);
            if let Some(next) = holder.cloned() {
                let vote = self.renewal(now, &next);
                self.send(now, &next, vote, wants, &mut due);
            }
        }
        self.probe(now, own, due)
    }

    /// Returns the candidates that answer, or may do so, first one first.
    fn answering(&self) -> Vec<id::Name> {
        let is_silent = |name: &&id::Name| self.contacts[*name].is_silent;
        self.order.iter().filter(|name| !is_silent(name)).cloned().collect()
    }

    /// Ends the vote for a node that is no longer the first candidate.
    fn release(&mut self, now: Time, first: Option<&id::Name>, due: &mut Vec<Due>) {
        let Some((voted, _)) = self.voted.clone() else { return };
        if first == Some(&voted) {
            return;
        }
        // The new candidate must have answered, so that the vote isn't lost meanwhile.
        let is_ready = first.is_none_or(|first| self.contacts[first].clock.is_some());
        let Some(contact) = self.contacts.get(&voted) else { return };
        if contact.is_silent || !contact.is_due(now, CHECK_INTERVAL) {
            return;
        }
        let vote = if is_ready { None } else { self.renewal(now, &voted) };
        self.send(now, &voted, vote, Vec::new(), due);
    }

    /// Returns the vote for a node, if this node has one to give.
    fn vote(&self, now: Time, name: &id::Name) -> Option<Vote> {
        let is_settled = now.since(Time(0)) >= LEASE || self.has_started_since(now, name);
        let is_free = is_settled && self.voted.as_ref().is_none_or(|(voted, _)| voted == name);
        if self.is_elector && is_free { self.statement(now, name) } else { None }
    }

    /// Whether the process of another node has started since, or shortly before, this one did. The
    /// vote of an earlier process of this node may last for [`LEASE`], but was not lent to that
    /// one, as after a loss of all nodes.
    fn has_started_since(&self, now: Time, name: &id::Name) -> bool {
        let Some(clock) = self.contacts[name].clock else { return false };
        let age = Duration::from_micros(clock.clock) + now.since(clock.received);
        age <= now.since(Time(0)) + LEASE
    }

    /// Returns the vote for a node that has it already and is to keep it.
    fn renewal(&self, now: Time, name: &id::Name) -> Option<Vote> {
        let (voted, _) = self.voted.as_ref()?;
        let is_kept = voted == name && self.contacts[name].released.is_none();
        if is_kept { self.statement(now, name) } else { None }
    }

    fn statement(&self, now: Time, name: &id::Name) -> Option<Vote> {
        let contact = &self.contacts[name];
        let clock = contact.clock?;
        let held = contact.lent_at(now).since(clock.received).as_micros() as u64;
        Some(Vote { started: clock.started, clock: clock.clock + held })
    }

    /// Asks silent candidates whether they answer again, and all others while the first one is
    /// about to be silent.
    fn probe(&mut self, now: Time, own: &id::Name, mut due: Vec<Due>) -> Vec<Due> {
        let first_silent = self.order.first().is_some_and(|name| self.contacts[name].is_silent);
        let names = self.order.clone();
        let current = self.answering().into_iter().next();
        for name in &names {
            let contact = &self.contacts[name];
            let is_due = if contact.is_silent {
                name != own && contact.is_due(now, PROBE_INTERVAL)
            } else {
                let is_unknown = contact.clock.is_none() || contact.unanswered.is_some();
                first_silent && is_unknown && contact.is_due(now, CHECK_INTERVAL)
            };
            if is_due && current.as_ref() != Some(name) {
                let vote = if contact.is_silent { None } else { self.renewal(now, name) };
                self.send(now, name, vote, Vec::new(), &mut due);
            }
        }
        due
    }

    /// Records a message that is about to be sent. Without a vote it ends the one that the
    /// receiver has.
    fn send(
        &mut self,
        now: Time,
        name: &id::Name,
        vote: Option<Vote>,
        wants: Vec<Want>,
        due: &mut Vec<Due>,
    ) {
        let contact = self.contacts.entry(name.clone()).or_default();
        let number = contact.record_send(now);
        if vote.is_some() {
            contact.released = None;
            self.voted = Some((name.clone(), contact.lent_at(now) + LEASE));
        } else if self.voted.as_ref().is_some_and(|(voted, _)| voted == name) {
            contact.released.get_or_insert(number);
        }
        due.push((name.clone(), number, vote, wants));
    }

    /// Records a response. Returns when the message that it answers was sent; `None` if it was
    /// answered already or is unknown.
    pub fn receive(&mut self, now: Time, reply: &Reply) -> Option<Time> {
        let contact = self.contacts.get_mut(&reply.node)?;
        let index = contact.sent.iter().position(|(number, _)| *number == reply.number)?;
        let (_, sent) = contact.sent.remove(index);
        let clock = Clock { started: reply.started, clock: reply.clock, received: now };
        // A process that has started later may state an earlier start if its clock was set back.
        let is_later = contact.clock.is_none_or(|known| {
            (known.started, known.clock) < (clock.started, clock.clock)
                || known.started != clock.started && now.since(known.received) >= LEASE
        });
        if is_later {
            contact.clock = Some(clock);
            contact.coverage = reply.coverage;
        }
        contact.unanswered = None;
        contact.is_silent = false;
        // The node has no vote any more, and ignores earlier messages that are still on their way.
        if contact.released.is_some_and(|number| reply.number >= number) {
            contact.released = None;
            if self.voted.as_ref().is_some_and(|(voted, _)| *voted == reply.node) {
                self.voted = None;
            }
        }
        Some(sent)
    }
}
