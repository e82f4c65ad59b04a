//! Log lines about leafs: whether they can be used, what they say of themselves, and which of them
//! this node reaches.

use std::time::Duration;

use http::HeaderValue;
use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::attribution::Attribution;
use jacinthfall_dispatch::fleet::{Change, Key, Statement, WarmupChange};
use jacinthfall_dispatch::quarantine::Fingerprint;
use jacinthfall_route::leaf::State;
use metrics::counter;

use super::Audit;
use super::lines::header_text;
use crate::gateway::crashes::Break;
use crate::gateway::tables::Shared;
use crate::util::lock::lock;

/// Maximum number of services in a line about what this node reaches.
const MAX_LOST_SERVICES: usize = 16;

impl Audit {
    /// Logs that a leaf's availability for further requests changed. `after` says what showed it.
    pub fn log_leaf_change(
        &self,
        now: Time,
        tables: &Shared,
        key: Key,
        after: &str,
        change: Change,
    ) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        let (id, service, in_flight) = {
            let tables = tables.lock();
            let Some(leaf) = tables.fleet.leaf(key) else { return };
            (leaf.id.clone(), leaf.entry.service.clone(), leaf.in_flight())
        };
        let (state, amount) = match change {
            Change::Paused(pause) => ("paused", pause.as_millis() as usize),
            Change::Recovered => ("back", 0),
            Change::Limited(requests) => ("limited", requests),
            Change::Dropped => ("dropped", 0),
            Change::BackedOff(backoff) => ("backed_off", backoff.as_millis() as usize),
            Change::Leaving => ("leaving", 0),
        };
        log::info!(
            "event=leaf_state id={id} service={service} state={state} amount={amount} \
             after={after} in_flight={in_flight} passed_over={passed_over}"
        );
    }

    /// Logs that a leaf has crashed while it ran a request, which isn't necessarily the cause.
    pub fn log_crash(&self, now: Time, tables: &Shared, broken: &Break) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        let tables = tables.lock();
        let Some(leaf) = tables.fleet.leaf(broken.leaf) else { return };
        log::info!(
            "event=leaf_crashed id={} service={} request={} attempt={:?} after_ms={} \
             passed_over={passed_over}",
            leaf.id,
            leaf.entry.service,
            broken.request,
            header_text(&broken.id),
            broken.took().as_millis()
        );
    }

    /// Logs that a request is put in quarantine, by a crash that this node (`here`) or another one
    /// (`peer`) has seen.
    pub fn log_quarantine(
        &self,
        now: Time,
        request: Fingerprint,
        quarantine: Duration,
        source: &str,
    ) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        log::warn!(
            "event=request_quarantined request={request} for_ms={} source={source} \
             passed_over={passed_over}",
            quarantine.as_millis()
        );
    }

    /// Logs that a leaf states another rate limit than before.
    pub fn log_rate_limit(&self, now: Time, tables: &Shared, key: Key, statement: Statement) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        let tables = tables.lock();
        let Some(leaf) = tables.fleet.leaf(key) else { return };
        let limit = match statement {
            Statement::Unlimited => "none".to_owned(),
            Statement::PerSecond(limit) => limit.to_string(),
        };
        log::info!(
            "event=leaf_rate_limit id={} service={} per_second={limit} passed_over={passed_over}",
            leaf.id,
            leaf.entry.service
        );
    }

    /// Logs which leafs with a limit on requests while they are cold became cold or warm.
    pub fn log_warmups(&self, now: Time, tables: &Shared) {
        let changes = tables.lock().fleet.take_cold_changes(now);
        for WarmupChange { key, left, limit } in changes {
            let Some(passed_over) = lock(&self.0).states.admit(now) else { continue };
            let tables = tables.lock();
            let Some(leaf) = tables.fleet.leaf(key) else { continue };
            log::info!(
                "event=leaf_warmup id={} service={} left_ms={} per_second={limit} \
                 passed_over={passed_over}",
                leaf.id,
                leaf.entry.service,
                left.as_millis()
            );
        }
    }

    /// Logs and counts that a leaf sent a response which doesn't name the request that was sent.
    pub fn log_unattributed(
        &self,
        now: Time,
        tables: &Shared,
        key: Key,
        request: &HeaderValue,
        attribution: Attribution,
    ) {
        let named = attribution.name();
        counter!("jacinthfall_unattributed_responses_total", "named" => named).increment(1);
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        let tables = tables.lock();
        let Some(leaf) = tables.fleet.leaf(key) else { return };
        log::warn!(
            "event=response_unattributed id={} service={} attempt={:?} named={named} \
             passed_over={passed_over}",
            leaf.id,
            leaf.entry.service,
            header_text(request)
        );
    }

    /// Logs that a leaf's rate limit can't be decoded, so that it is ignored.
    pub fn log_malformed_rate_limit(
        &self,
        now: Time,
        tables: &Shared,
        key: Key,
        value: Option<&HeaderValue>,
    ) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        let tables = tables.lock();
        let Some(leaf) = tables.fleet.leaf(key) else { return };
        let value = value.map(header_text).unwrap_or_default();
        log::warn!(
            "event=leaf_rate_limit_malformed id={} service={} value={value:?} \
             passed_over={passed_over}",
            leaf.id,
            leaf.entry.service
        );
    }

    /// Logs the changed registrations of leafs, and the source that the changes came from.
    pub fn log_registration_changes(
        &self,
        now: Time,
        tables: &Shared,
        changed: &[id::Name],
        source: &str,
    ) {
        for id in changed {
            let Some(passed_over) = lock(&self.0).states.admit(now) else { continue };
            let (state, at) = {
                let tables = tables.lock();
                let record = tables.catalog.record(id);
                let entry = record.and_then(|record| record.entry.as_ref());
                let state = entry.map_or("gone", |entry| match entry.state {
                    State::Ready => "ready",
                    State::Draining => "draining",
                });
                (state, record.map_or(Position::START, |record| record.at))
            };
            log::info!(
                "event=leaf id={id} state={state} at={at} source={source} \
                 passed_over={passed_over}"
            );
        }
    }

    /// Logs that an entry among the registrations of leafs names no leaf to use.
    pub fn log_ignored_registration(&self, now: Time, key: &str, at: Position) {
        let Some(passed_over) = lock(&self.0).states.admit(now) else { return };
        log::warn!(
            "event=registration_ignored key={key:?} at={at} passed_over={passed_over} \
             reason=\"its id or a field is missing or malformed; correct or remove it\""
        );
    }

    /// Logs which leafs and services this node reaches, and what the other nodes say of theirs.
    pub fn log_reach(&self, now: Time, tables: &Shared) {
        let tables = tables.lock();
        let (census, peers) = (tables.fleet.census(now), tables.roster.reaching(now));
        let lost: Vec<&str> =
            tables.fleet.lost_services().take(MAX_LOST_SERVICES).map(|name| &**name).collect();
        log::info!(
            "event=reach loss={} leafs={} silent={} unconnectable={} services={} lost={} \
             lost_services=[{}] peers_all={} peers_some={} peers_none={}",
            tables.fleet.loss().name(),
            census.leafs,
            census.silent_leafs,
            census.unconnectable_leafs,
            census.services,
            census.lost_services,
            lost.join(" "),
            peers.all,
            peers.some,
            peers.none
        );
    }
}
