//! Outcomes of attempts: matches them to attempts in flight, then uses or drops them.

use jacinthfall_core::coverage::Cause;
use jacinthfall_core::leaf::{Outcome, Refusal, Reply};
use jacinthfall_core::query::Row;
use jacinthfall_core::{event, id};

use super::Engine;
use crate::Action;
use crate::flight::{Flight, Kind};
use crate::query::{Group, Query, State};
use crate::verify::{self, Fault};

/// How a failed attempt is handled.
#[derive(Clone, Copy, Debug)]
struct Failure {
    cause: Cause,
    /// Whether the attempt provably did not run.
    not_run: bool,
    /// Whether a retry takes no budget, because it adds no load to the leafs.
    is_retry_free: bool,
}

impl Failure {
    fn from_refusal(refusal: &Refusal) -> Failure {
        let (cause, is_retry_free) = match refusal {
            Refusal::Overloaded => (Cause::Overloaded, false),
            Refusal::Leaving => (Cause::Leaving, true),
            Refusal::Version { .. } | Refusal::Shard => (Cause::VersionUnavailable, true),
            Refusal::Expired => (Cause::Timeout, false),
        };
        Failure { cause, not_run: true, is_retry_free }
    }

    const UNSENT: Failure =
        Failure { cause: Cause::Unreachable, not_run: true, is_retry_free: true };
    const BROKEN: Failure =
        Failure { cause: Cause::Unreachable, not_run: false, is_retry_free: false };
    const BAD_REPLY: Failure =
        Failure { cause: Cause::BadReply, not_run: false, is_retry_free: false };
    const OTHER_VERSION: Failure =
        Failure { cause: Cause::VersionUnavailable, not_run: false, is_retry_free: true };
}

impl Engine {
    pub(super) fn on_outcome(&mut self, attempt: &id::Attempt, leaf: &id::Name, outcome: Outcome) {
        let is_own = attempt.origin == self.origin;
        let flight = self.flights.get(attempt.counter).copied().filter(|_| is_own);
        let Some(flight) = flight else {
            self.counters.late += 1;
            return self.record_dropped(None, leaf);
        };
        if self.leafs.leaf(flight.leaf).name != *leaf {
            self.counters.mismatched += 1;
            return self.record_dropped(None, leaf);
        }
        self.flights.remove(attempt.counter);
        self.release_slot(flight.leaf);
        let mut query = self.take_query(flight.query).expect("an attempt in flight has a query");
        query.parts[flight.part].attempts.retain(|&counter| counter != attempt.counter);
        self.apply_outcome(&mut query, &flight, attempt, outcome);
        self.settle(query);
    }

    fn apply_outcome(
        &mut self,
        query: &mut Query,
        flight: &Flight,
        attempt: &id::Attempt,
        outcome: Outcome,
    ) {
        let failure = match outcome {
            Outcome::Replied(reply) => match self.apply_reply(query, flight, attempt, reply) {
                Ok(()) => return,
                Err(failure) => failure,
            },
            Outcome::Refused(refusal) => {
                self.observe_refusal(query, flight, &refusal);
                Failure::from_refusal(&refusal)
            }
            Outcome::Unsent { .. } => {
                query.unsent += 1;
                Failure::UNSENT
            }
            Outcome::Broken { .. } => Failure::BROKEN,
            Outcome::Malformed { .. } => {
                self.counters.malformed += 1;
                Failure::BAD_REPLY
            }
        };
        query.not_run += u64::from(failure.not_run);
        if matches!(failure.cause, Cause::Unreachable | Cause::BadReply) {
            self.observe_failure(flight);
        }
        self.retry_or_miss(query, flight, attempt.counter, failure);
    }

    fn apply_reply(
        &mut self,
        query: &mut Query,
        flight: &Flight,
        attempt: &id::Attempt,
        reply: Reply,
    ) -> Result<(), Failure> {
        let checked = verify::check_identity(&reply, attempt, &query.ask.request, flight.shard);
        checked.map_err(|fault| self.drop_reply(query, flight, fault))?;
        self.observe_reply(flight, &reply);
        let is_single_run = !query.profile.idempotent && !self.names_versions();
        if is_single_run && self.is_from_owner(query, &reply) {
            query.reported_version = Some(reply.version);
        } else if reply.version != query.layout.version {
            return Err(self.keep_other_version(query, flight, reply));
        }
        let version = reply.version;
        let rows =
            verify::sort_rows(reply.rows, &query.layout, flight.shard, query.profile.idempotent);
        let rows = rows.map_err(|fault| self.drop_reply(query, flight, fault))?;
        self.finish_part(query, flight, attempt.counter, version, rows);
        Ok(())
    }

    /// Whether a reply comes from the shard that holds the query's key in the reply's
    /// version.
    fn is_from_owner(&self, query: &Query, reply: &Reply) -> bool {
        let Some(layout) = self.layout(reply.version) else { return false };
        let targets = layout.targets(&query.ask.query.scope);
        targets.iter().any(|&position| layout.entries[position].shard == reply.shard)
    }

    fn finish_part(
        &mut self,
        query: &mut Query,
        flight: &Flight,
        attempt: u64,
        version: id::Version,
        rows: Vec<Row>,
    ) {
        let leaf = self.leafs.leaf(flight.leaf).name.clone();
        query.note_reply_used(self.now);
        query.note_slowest(&leaf, flight.shard, flight.sent, self.now);
        self.cancel_part(query, flight.part);
        query.answer_part(flight.part, rows);
        self.record(query, event::Kind::Replied { attempt, leaf, shard: flight.shard, version });
    }

    /// Counts and records a rejected reply.
    fn drop_reply(&mut self, query: &Query, flight: &Flight, fault: Fault) -> Failure {
        match fault {
            Fault::Mismatched => self.counters.mismatched += 1,
            Fault::Malformed => self.counters.malformed += 1,
        }
        let leaf = self.leafs.leaf(flight.leaf).name.clone();
        self.record_dropped(Some(query.ask.request.clone()), &leaf);
        Failure::BAD_REPLY
    }

    /// Stores the rows of a reply in another version, if leafs only report versions.
    fn keep_other_version(&mut self, query: &mut Query, flight: &Flight, reply: Reply) -> Failure {
        if self.names_versions() {
            self.counters.wrong_version += 1;
            return Failure::BAD_REPLY;
        }
        query.replies += 1;
        let known = query.other_versions.get(&reply.version).map(|group| group.layout.clone());
        let Some(layout) = known.or_else(|| self.layout(reply.version).cloned()) else {
            return Failure::OTHER_VERSION;
        };
        let scope = &query.ask.query.scope;
        let position = layout.position(reply.shard);
        let Some(position) = position.filter(|at| layout.targets(scope).contains(at)) else {
            return Failure::OTHER_VERSION;
        };
        let rows = match verify::sort_rows(reply.rows, &layout, reply.shard, true) {
            Ok(rows) => rows,
            Err(fault) => return self.drop_reply(query, flight, fault),
        };
        query.epoch = query.epoch.min(layout.epoch);
        let group = query
            .other_versions
            .entry(reply.version)
            .or_insert_with(|| Group { layout, rows: Default::default() });
        group.rows.insert(position, rows);
        Failure::OTHER_VERSION
    }

    fn observe_reply(&mut self, flight: &Flight, reply: &Reply) {
        self.leafs.note_version(flight.leaf, reply.version);
        self.leafs.leaf_mut(flight.leaf).raise_limit();
        self.observe_latency(flight, true);
        if reply.leaving {
            self.observe_leaving(flight.leaf);
        }
    }

    fn observe_refusal(&mut self, query: &mut Query, flight: &Flight, refusal: &Refusal) {
        match refusal {
            Refusal::Overloaded => self.leafs.leaf_mut(flight.leaf).lower_limit(),
            Refusal::Leaving => self.observe_leaving(flight.leaf),
            Refusal::Version { available } => {
                let version = query.layout.version;
                self.leafs.leaf_mut(flight.leaf).note_missing_version(self.now, version);
                for &version in available {
                    *query.offered_versions.entry(version).or_default() += 1;
                }
            }
            Refusal::Shard | Refusal::Expired => {}
        }
    }

    /// Retries a part whose attempt failed, or gives it up. Does nothing while another
    /// attempt of the part is in flight.
    fn retry_or_miss(
        &mut self,
        query: &mut Query,
        flight: &Flight,
        attempt: u64,
        failure: Failure,
    ) {
        let leaf = self.leafs.leaf(flight.leaf).name.clone();
        let (shard, cause) = (flight.shard, failure.cause);
        self.counters.failures += 1;
        self.record(query, event::Kind::Failed { attempt, leaf, shard, cause });
        if !query.parts[flight.part].attempts.is_empty() {
            return;
        }
        query.parts[flight.part].state = State::Unplaced;
        if !query.profile.idempotent && !failure.not_run {
            return query.miss_part(flight.part, cause);
        }
        match self.choose_replica(query, flight.part, Kind::Retry) {
            Some(index) if failure.is_retry_free || self.budget.try_take_retry() => {
                self.place_on(query, flight.part, Kind::Retry, index);
            }
            _ => query.miss_part(flight.part, cause),
        }
    }

    fn record_dropped(&mut self, request: Option<id::Request>, leaf: &id::Name) {
        let kind = event::Kind::Dropped { leaf: leaf.clone() };
        self.actions.push(Action::Record(event::Event { request, kind }));
    }
}
