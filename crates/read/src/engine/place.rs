//! Choice of a replica for a part, queueing, sending and cancellation.

use std::time::Duration;

use jacinthfall_core::coverage::Cause;
use jacinthfall_core::event;
use jacinthfall_core::{id, leaf};
use rand::Rng;

use super::Engine;
use crate::Action;
use crate::flight::{Flight, Kind};
use crate::leafs::{Index, Queued};
use crate::query::{Query, State};

/// Sort key of a replica, lowest first: whether it lacks the version, its tier and
/// its expected latency.
type Rank = (bool, Tier, Duration);

/// Preference of a replica by its ejection state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Ejected and due for a probe. Sorts first so that the probe is sent.
    Probe,
    /// Not ejected.
    Healthy,
    /// Ejected and not due for a probe.
    Ejected,
}

impl Engine {
    /// Sends a part to the best replica or queues it there. Gives it up if no replica
    /// is usable.
    pub(super) fn place(&mut self, query: &mut Query, part: usize, kind: Kind) {
        let Some(index) = self.choose_replica(query, part, kind) else {
            let cause = self.no_replica_cause(query, part);
            query.miss_part(part, cause);
            return;
        };
        self.place_on(query, part, kind, index);
    }

    /// Sends a part to a replica or queues it there. Gives it up if the replica is not
    /// expected to reply before the deadline.
    pub(super) fn place_on(&mut self, query: &mut Query, part: usize, kind: Kind, index: Index) {
        if query.deadline.since(self.now) < self.leafs.leaf(index).min_time(self.now) {
            self.counters.deadline_drops += 1;
            query.miss_part(part, Cause::Overloaded);
            return;
        }
        let leaf = self.leafs.leaf(index);
        if leaf.has_capacity() && !leaf.has_queued() {
            self.send(query, part, kind, index);
            return;
        }
        let ticket = self.leafs.next_ticket(query.deadline);
        let queued = Queued { query: query.serial, part, kind };
        self.leafs.leaf_mut(index).enqueue(ticket, queued);
        query.parts[part].state = State::Queued(index, ticket);
    }

    /// Returns the best usable replica that the part has not been sent to. Ties are
    /// broken at random.
    pub(super) fn choose_replica(
        &mut self,
        query: &Query,
        part: usize,
        kind: Kind,
    ) -> Option<Index> {
        let may_probe = query.profile.idempotent && kind == Kind::First;
        let part = &query.parts[part];
        let replicas = &query.layout.entries[part.position].replicas;
        if replicas.is_empty() {
            return None;
        }
        let start = self.rng.random_range(0..replicas.len());
        let (before, after) = replicas.split_at(start);
        let candidates = after.iter().chain(before).copied();
        candidates
            .filter(|index| self.leafs.leaf(*index).is_usable() && !part.tried.contains(index))
            .min_by_key(|&index| self.rank(index, query.layout.version, may_probe))
    }

    /// Returns the sort key of a replica. Leafs without the version come last, ejected
    /// leafs before them unless due for a probe; the rest is ordered by expected
    /// latency.
    fn rank(&self, index: Index, version: id::Version, may_probe: bool) -> Rank {
        let leaf = self.leafs.leaf(index);
        let lacks_version = match self.names_versions() {
            true => leaf.lacks_version(self.now, version),
            false => leaf.version.is_some_and(|reported| reported != version),
        };
        let tier = match leaf.health.is_ejected() {
            true if may_probe && leaf.is_due_for_probe(self.now) => Tier::Probe,
            true => Tier::Ejected,
            false => Tier::Healthy,
        };
        (lacks_version, tier, leaf.expected_latency(self.now))
    }

    fn no_replica_cause(&self, query: &Query, part: usize) -> Cause {
        let replicas = &query.layout.entries[query.parts[part].position].replicas;
        if replicas.iter().any(|&index| self.leafs.leaf(index).is_leaving()) {
            return Cause::Leaving;
        }
        Cause::NoReplica
    }

    /// Sends a part to a leaf.
    pub(super) fn send(&mut self, query: &mut Query, part: usize, kind: Kind, index: Index) {
        let leaf = self.leafs.leaf(index);
        assert!(leaf.is_usable(), "invariant: a leaf that is leaving gets no new part");
        assert!(
            leaf.has_capacity(),
            "invariant: a leaf gets no more parts than its in-flight limit"
        );
        assert!(
            query.profile.idempotent || query.sends == query.not_run,
            "invariant: a non-idempotent request is sent again only if it provably did not run",
        );
        let shard = query.shard(part);
        let flight = Flight { query: query.serial, part, leaf: index, shard, sent: self.now };
        let counter = self.flights.add(flight);
        self.leafs.leaf_mut(index).in_flight += 1;
        query.note_sent(self.now);
        let sent_part = &mut query.parts[part];
        sent_part.state = State::Sent;
        sent_part.attempts.push(counter);
        sent_part.tried.push(index);
        sent_part.hedged |= kind == Kind::Hedge;
        self.count_send(query, kind, counter, index, shard);
        self.push_send(query, counter, index, shard);
        self.schedule_hedge(query, part, counter);
    }

    fn count_send(
        &mut self,
        query: &mut Query,
        kind: Kind,
        attempt: u64,
        index: Index,
        shard: id::Shard,
    ) {
        let leaf = self.leafs.leaf(index).name.clone();
        let kind = match kind {
            Kind::First => {
                self.counters.first_sends += 1;
                query.note_first_send(self.now);
                self.budget.deposit(query.profile.extra_load);
                event::Kind::Sent { attempt, leaf, shard }
            }
            Kind::Hedge => {
                self.counters.hedges += 1;
                query.hedges += 1;
                event::Kind::Hedged { attempt, leaf, shard }
            }
            Kind::Retry => {
                self.counters.retries += 1;
                query.retries += 1;
                event::Kind::Retried { attempt, leaf, shard }
            }
        };
        self.record(query, kind);
    }

    fn push_send(&mut self, query: &Query, counter: u64, index: Index, shard: id::Shard) {
        let part = leaf::Query {
            attempt: id::Attempt { origin: self.origin.clone(), counter },
            request: query.ask.request.clone(),
            service: self.service.clone(),
            shard,
            version: self.names_versions().then_some(query.layout.version),
            budget: query.deadline.since(self.now),
            expires: query.expires,
            idempotent: query.profile.idempotent,
            query: query.ask.query.clone(),
        };
        let leaf = self.leafs.leaf(index).name.clone();
        self.actions.push(Action::Send { leaf, part: Box::new(part) });
    }

    /// Cancels the attempts of a part and removes it from its queue.
    pub(super) fn cancel_part(&mut self, query: &mut Query, part: usize) {
        for counter in std::mem::take(&mut query.parts[part].attempts) {
            self.cancel_attempt(query, counter);
        }
        if let State::Queued(index, ticket) = query.parts[part].state {
            let queued = self.leafs.leaf_mut(index).remove_queued(ticket);
            assert!(queued.is_some(), "invariant: a queued part is in the queue");
            query.parts[part].state = State::Unplaced;
        }
    }

    fn cancel_attempt(&mut self, query: &mut Query, counter: u64) {
        let flight = self.flights.remove(counter).expect("an attempt of a part is in flight");
        self.release_slot(flight.leaf);
        self.counters.cancels += 1;
        let leaf = self.leafs.leaf(flight.leaf).name.clone();
        query.note_slowest(&leaf, flight.shard, flight.sent, self.now);
        self.observe_cancelled(&flight);
        let attempt = id::Attempt { origin: self.origin.clone(), counter };
        self.actions.push(Action::Cancel { attempt, leaf });
        self.record(query, event::Kind::Cancelled { attempt: counter });
    }

    /// Frees the slot of an attempt that is no longer in flight.
    pub(super) fn release_slot(&mut self, index: Index) {
        let leaf = self.leafs.leaf_mut(index);
        assert!(leaf.in_flight > 0, "invariant: an attempt that ends was in flight");
        leaf.in_flight -= 1;
        self.freed_leafs.push(index);
    }

    /// Sends queued parts to leafs that have capacity again.
    pub(super) fn send_all_queued(&mut self) {
        while let Some(index) = self.freed_leafs.pop() {
            while self.leafs.leaf(index).has_capacity() {
                let Some(queued) = self.leafs.leaf_mut(index).dequeue() else { break };
                let mut query = self.take_query(queued.query).expect("a queued part has a query");
                self.send_queued(&mut query, queued, index);
                self.settle(query);
            }
        }
    }

    fn send_queued(&mut self, query: &mut Query, queued: Queued, index: Index) {
        if query.deadline.since(self.now) < self.leafs.leaf(index).service_time(self.now) {
            self.counters.deadline_drops += 1;
            query.miss_part(queued.part, Cause::Overloaded);
            return;
        }
        self.send(query, queued.part, queued.kind, index);
    }
}
