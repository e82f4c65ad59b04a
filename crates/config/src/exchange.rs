//! Exchange of records with peers by push, announcement and pull.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::record::{Body, Record};
use jacinthfall_core::time::Time;
use jacinthfall_wire::configuration::{Entry, Message};
use rand::seq::IndexedRandom;
use rand::{Rng, RngCore};

use crate::{Action, Engine, plan};

/// Time between two periodic pulls.
const PULL_INTERVAL: Duration = Duration::from_secs(4);

/// Time after which an incomplete pull is abandoned.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after an announcement during which its records may still arrive by push,
/// before they are pulled.
const ANNOUNCEMENT_GRACE: Duration = Duration::from_millis(100);

/// Time since the configuration was last confirmed to be current after which every
/// periodic pull also goes to a fallback peer.
const FALLBACK_UNCONFIRMED_AFTER: Duration = Duration::from_secs(15);

/// One periodic pull in this many also goes to a fallback peer, preferably in
/// another zone.
const PULLS_PER_FALLBACK: u64 = 4;

/// Maximum number of profiles in one frame. Service descriptions are sent in
/// frames of their own because they are large.
const MAX_PROFILES_PER_FRAME: usize = 32;

/// A pull that is not complete yet.
#[derive(Debug)]
struct Pull {
    peer: id::Name,
    sent: Time,
    reply: Option<Reply>,
}

/// The reply to a pull, kept until all missing records have arrived.
#[derive(Debug)]
struct Reply {
    ready: bool,
    age: Option<Duration>,
    /// Revisions that must be in force before the pull is complete.
    awaited: Vec<Entry>,
}

/// An announced change. If the records have not arrived by the time `check`,
/// they are pulled.
#[derive(Debug)]
struct Announcement {
    peer: id::Name,
    digest: u64,
    check: Time,
}

/// Incomplete pulls, and the state that schedules the next ones.
#[derive(Debug, Default)]
pub(crate) struct Pulls {
    open: BTreeMap<u64, Pull>,
    last_id: u64,
    /// Number of periodic pulls so far.
    round: u64,
    next: Time,
    announcement: Option<Announcement>,
    /// Records applied while handling the current event, with the peer that sent
    /// them.
    applied: Vec<(Arc<Record>, Option<id::Name>)>,
}

impl Pulls {
    /// Schedules the first periodic pull. Pull ids start at a random number, so that
    /// they don't match replies to an earlier incarnation of this node.
    pub(crate) fn schedule(&mut self, now: Time, rng: &mut impl RngCore) {
        let offset = rng.random_range(0..PULL_INTERVAL.as_micros() as u64);
        self.next = now + Duration::from_micros(offset);
        self.last_id = rng.next_u64() / 2;
    }

    /// Abandons pulls that timed out.
    pub(crate) fn expire(&mut self, now: Time) {
        self.open.retain(|_, pull| now.since(pull.sent) < PULL_TIMEOUT);
    }

    /// Returns the time at which [`Engine::pull_if_due`] has work to do.
    pub(crate) fn next_due(&self) -> Option<Time> {
        let check = self.announcement.as_ref().map(|announcement| announcement.check);
        check.into_iter().chain([self.next]).min()
    }
}

impl Engine {
    /// Handles a frame.
    pub(crate) fn handle_frame(&mut self, from: &id::Name, message: Message, now: Time) {
        match message {
            Message::Push { records } => self.handle_push(from, records, now),
            Message::Announce { digest } => self.handle_announcement(from, digest, now),
            Message::Pull { id: pull, digest } => self.answer_pull(from, pull, digest, now),
            Message::PullReply { id: pull, ready, age_ms, entries: held } => {
                let age = age_ms.map(Duration::from_millis);
                self.handle_pull_reply(from, pull, Reply { ready, age, awaited: held }, now);
            }
            Message::Fetch { keys } => {
                let records = keys.iter().filter_map(|key| self.records.get(key)).cloned();
                let records = records.collect();
                self.push(from, records);
            }
        }
    }

    /// Applies a record if its revision is higher than the one in force.
    pub(crate) fn apply(&mut self, record: Arc<Record>, from: Option<&id::Name>) {
        if self.records.apply(record.clone()) {
            self.actions.push(Action::Apply(record.clone()));
            self.pulls.applied.push((record, from.cloned()));
        }
    }

    /// Pushes and announces the records that the current event applied.
    pub(crate) fn propagate(&mut self) {
        let applied = std::mem::take(&mut self.pulls.applied);
        if applied.is_empty() {
            return;
        }
        for peer in self.plan.push.clone() {
            let others = applied.iter().filter(|(_, from)| from.as_ref() != Some(&peer));
            let records = others.map(|(record, _)| record.clone()).collect();
            self.push(&peer, records);
        }
        let digest = self.records.digest();
        for peer in self.plan.announce.clone() {
            self.send(&peer, Message::Announce { digest });
        }
    }

    /// Applies a record that this node wrote to the store. Pushes it to all peers
    /// of a small cluster, or to the watchers of a large one, which pass it on.
    pub(crate) fn handle_accepted(&mut self, record: Record) {
        let record = Arc::new(record);
        self.apply(record.clone(), None);
        let is_flat = self.nodes.count() <= plan::MAX_FLAT_NODES;
        let targets =
            if is_flat { self.nodes.peers(&self.own.node) } else { self.plan.watchers.clone() };
        for peer in targets {
            if peer != self.own.node && !self.plan.push.contains(&peer) {
                self.push(&peer, vec![record.clone()]);
            }
        }
        self.propagate();
    }

    /// Sends records in frames of bounded size.
    fn push(&mut self, to: &id::Name, records: Vec<Arc<Record>>) {
        let (large, small): (Vec<_>, Vec<_>) =
            records.into_iter().partition(|record| matches!(record.body, Body::Service(_)));
        for records in small.chunks(MAX_PROFILES_PER_FRAME) {
            self.send(to, Message::Push { records: records.to_vec() });
        }
        for record in large {
            self.send(to, Message::Push { records: vec![record] });
        }
    }

    fn handle_push(&mut self, from: &id::Name, records: Vec<Arc<Record>>, now: Time) {
        for record in records {
            self.apply(record, Some(from));
        }
        self.propagate();
        self.close_pulls(now);
    }

    fn handle_announcement(&mut self, from: &id::Name, digest: u64, now: Time) {
        if digest == self.records.digest() {
            return;
        }
        let check = now + ANNOUNCEMENT_GRACE;
        self.pulls.announcement = Some(Announcement { peer: from.clone(), digest, check });
    }

    /// Sends a pull to a peer.
    pub(crate) fn pull(&mut self, peer: &id::Name, now: Time) {
        self.pulls.last_id += 1;
        let pull = self.pulls.last_id;
        self.pulls.open.insert(pull, Pull { peer: peer.clone(), sent: now, reply: None });
        let digest = self.records.digest();
        self.send(peer, Message::Pull { id: pull, digest });
    }

    /// Sends the periodic pull, and pulls announced records that did not arrive.
    pub(crate) fn pull_if_due(&mut self, now: Time) {
        if let Some(announcement) = self.pulls.announcement.take_if(|a| a.check <= now)
            && announcement.digest != self.records.digest()
        {
            self.pull(&announcement.peer, now);
        }
        if now < self.pulls.next {
            return;
        }
        self.pulls.next = now + PULL_INTERVAL;
        self.pulls.round += 1;
        if let Some(peer) = self.next_parent() {
            self.pull(&peer, now);
        }
        let stale = self.unconfirmed(now) > FALLBACK_UNCONFIRMED_AFTER;
        if stale || self.pulls.round.is_multiple_of(PULLS_PER_FALLBACK) {
            let fallback = self.plan.fallbacks.choose(&mut self.rng).cloned();
            fallback.into_iter().for_each(|peer| self.pull(&peer, now));
        }
    }

    /// Returns the parent to pull from in this round.
    fn next_parent(&self) -> Option<id::Name> {
        let parents = &self.plan.parents;
        let round = usize::try_from(self.pulls.round).unwrap_or_default();
        parents.get(round.checked_rem(parents.len())?).cloned()
    }

    /// Replies to a pull. The age of confirmation is rounded up, so that the peer never
    /// takes the records for more recently confirmed than they are.
    fn answer_pull(&mut self, to: &id::Name, pull: u64, digest: u64, now: Time) {
        let agrees = digest == self.records.digest();
        let held = if agrees { Vec::new() } else { self.records.held() };
        let age = self.confirmed.map(|confirmed| now.since(confirmed));
        let age_ms =
            age.map(|age| u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX));
        self.send(to, Message::PullReply { id: pull, ready: self.ready, age_ms, entries: held });
    }

    fn handle_pull_reply(&mut self, from: &id::Name, pull_id: u64, reply: Reply, now: Time) {
        let Some(pull) = self.pulls.open.get_mut(&pull_id).filter(|pull| pull.peer == *from) else {
            return;
        };
        let peer_differs = !reply.awaited.is_empty();
        let newer = self.records.newer_than(&reply.awaited);
        let awaited = self.records.missing(reply.awaited);
        let keys: Vec<_> = awaited.iter().map(|entry| entry.key.clone()).collect();
        pull.reply = Some(Reply { awaited, ..reply });
        if peer_differs && !newer.is_empty() {
            self.push(from, newer);
        }
        if !keys.is_empty() {
            self.send(from, Message::Fetch { keys });
        }
        self.close_pulls(now);
    }

    /// Closes pulls whose records are all in force. This node's records are then
    /// at least as current as the peer's were when it replied. The reply may have
    /// been delayed, so the peer's age of confirmation is subtracted from the time
    /// at which the pull was sent, never from the arrival time of the reply.
    fn close_pulls(&mut self, now: Time) {
        let records = &self.records;
        let complete = |pull: &Pull| {
            let reply = pull.reply.as_ref();
            reply.is_some_and(|reply| !reply.awaited.iter().any(|entry| records.is_missing(entry)))
        };
        let closed = self.pulls.open.iter().filter(|(_, pull)| complete(pull));
        let closed: Vec<u64> = closed.map(|(&pull_id, _)| pull_id).collect();
        for pull_id in closed {
            let Some(pull) = self.pulls.open.remove(&pull_id) else { continue };
            let Some(reply) = pull.reply else { continue };
            if let Some(age) = reply.age {
                self.confirm(pull.sent - age, now);
            }
            self.count_reply(&pull.peer, reply.ready, now);
        }
    }
}
