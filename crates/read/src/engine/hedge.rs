//! Hedged requests, latency measurement and ejection of leafs.

use std::time::Duration;

use super::Engine;
use crate::flight::{Flight, Kind};
use crate::health::Change;
use crate::leafs::Index;
use crate::query::Query;
use crate::timer::Timer;

/// Share of the extra load that hedged requests may use; the rest is left for
/// retries.
const HEDGE_BUDGET_SHARE: f64 = 0.8;

impl Engine {
    /// Sets the timer after which an attempt is hedged, if the part may be hedged.
    pub(super) fn schedule_hedge(&mut self, query: &Query, part: usize, counter: u64) {
        let replicas = query.layout.entries[query.parts[part].position].replicas.len();
        let may_hedge = query.profile.idempotent && !query.parts[part].hedged && replicas > 1;
        if !may_hedge {
            return;
        }
        if let Some(delay) = self.hedge_delay(query) {
            self.set_hedge_timer(query, counter, delay);
        }
    }

    fn set_hedge_timer(&mut self, query: &Query, counter: u64, delay: Duration) {
        let due = self.now + delay;
        if due < query.deadline {
            self.timers.set(due, Timer::Hedge(counter));
        }
    }

    /// Latency at the profile's hedge quantile, or at a higher quantile if the budget
    /// cannot cover that many hedged requests.
    fn hedge_delay(&mut self, query: &Query) -> Option<Duration> {
        let affordable = 1.0 - query.profile.extra_load * HEDGE_BUDGET_SHARE;
        self.latency.quantile(query.profile.hedge_quantile.max(affordable))
    }

    /// Hedges a slow attempt, or sets the timer again if the replica has no capacity or
    /// the budget is exhausted.
    pub(super) fn handle_hedge_timer(&mut self, counter: u64) {
        let Some(&flight) = self.flights.get(counter) else { return };
        let mut query = self.take_query(flight.query).expect("an attempt in flight has a query");
        if !query.parts[flight.part].hedged {
            self.try_hedge(&mut query, &flight, counter);
        }
        self.settle(query);
    }

    fn try_hedge(&mut self, query: &mut Query, flight: &Flight, counter: u64) {
        let Some(index) = self.choose_replica(query, flight.part, Kind::Hedge) else { return };
        if self.may_hedge_at(query, index) && self.budget.try_take_hedge() {
            self.send(query, flight.part, Kind::Hedge, index);
            return;
        }
        if let Some(delay) = self.hedge_delay(query) {
            self.set_hedge_timer(query, counter, delay / 2);
        }
    }

    fn may_hedge_at(&self, query: &Query, index: Index) -> bool {
        let leaf = self.leafs.leaf(index);
        let in_time = leaf.service_time(self.now) <= query.deadline.since(self.now);
        in_time && leaf.has_capacity() && !leaf.has_queued() && !leaf.health.is_ejected()
    }

    /// Records how long an attempt took. Without a reply, this is a lower bound.
    pub(super) fn observe_latency(&mut self, flight: &Flight, replied: bool) {
        let latency = self.now.since(flight.sent);
        let median = self.latency.quantile(0.5);
        self.latency.record(latency);
        let change = self.leafs.note_latency(self.now, flight.leaf, latency, median, replied);
        self.record_change(flight.leaf, change);
    }

    /// Records the elapsed time of a cancelled attempt as a lower bound of its latency.
    /// Ignores an attempt that was cancelled within the usual service time, which says
    /// nothing about the leaf.
    pub(super) fn observe_cancelled(&mut self, flight: &Flight) {
        let elapsed = self.now.since(flight.sent);
        if elapsed > self.leafs.leaf(flight.leaf).service_time(self.now) {
            self.observe_latency(flight, false);
        }
    }

    pub(super) fn observe_failure(&mut self, flight: &Flight) {
        let change = self.leafs.note_failure(self.now, flight.leaf);
        self.record_change(flight.leaf, change);
    }

    fn record_change(&mut self, index: Index, change: Option<Change>) {
        match change {
            Some(Change::Ejected) => {
                self.counters.ejections += 1;
                self.record_state(index, "ejected");
            }
            Some(Change::Readmitted) => self.record_state(index, "readmitted"),
            None => {}
        }
    }
}
