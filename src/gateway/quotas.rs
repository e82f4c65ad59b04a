//! Admits requests of organisations that have a quota over all nodes.
//!
//! [`Gate`] holds the state of this node, behind a lock of its own that is held only for the
//! length of a call. The task in `peers::quotas` exchanges messages with the other nodes.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::quota::{
    Ask, Decision, HALF, MAX_WAIT, OrganisationId, Outbox, Quotas, Reply,
};
use jacinthfall_net::clock::Clock;
use jacinthfall_route::organisation::{Organisation, Quota};
use jacinthfall_route::snapshot::Snapshot;
use metrics::{counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::settings;
use crate::util::lock::lock;

/// Minimum time over which the retries of refused callers are spread.
const MIN_SPREAD: Duration = Duration::from_secs(1);

/// Time over which the retries of callers are spread that were refused since no node has granted
/// anything in time.
const UNANSWERED_SPREAD: Duration = Duration::from_millis(100);

/// Maximum time over which the retries of refused callers are spread.
const MAX_SPREAD: Duration = Duration::from_secs(10);

/// Last part of [`MAX_WAIT`], left for grants that have arrived to be read.
const READ_TIME: Duration = Duration::from_millis(1);

/// Interval at which messages are sent, and at which they are while requests wait for a grant.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAITING_INTERVAL: Duration = Duration::from_millis(4);

/// Minimum time between two lines about refusals of one organisation.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// State behind the lock.
#[derive(Debug)]
struct State {
    quotas: Quotas,
    /// Spreads the retries of callers.
    rng: ChaCha8Rng,
    /// Number of requests that wait for a grant.
    waiting: usize,
    /// Version of the configuration whose quotas are in force.
    version: Option<u64>,
    /// Groups that this node grants on behalf of most nodes.
    granting: Vec<bool>,
    /// Refusals by organisation since the latest line about it, and when that was written.
    refusals: HashMap<OrganisationId, (u64, Option<Time>)>,
}

impl State {
    /// Counts a refusal. Returns the number to be logged if a line about the organisation is due.
    fn count_refusal(&mut self, now: Time, key: OrganisationId) -> Option<u64> {
        let (count, logged) = self.refusals.entry(key).or_default();
        *count += 1;
        if logged.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return None;
        }
        *logged = Some(now);
        Some(std::mem::take(count))
    }
}

/// State of this node with regard to quotas. Admits everything if the settings have none.
#[derive(Debug)]
pub struct Gate {
    node: id::Name,
    state: Option<Mutex<State>>,
    clock: Clock,
    /// Notified when a request waits for a grant.
    due: Notify,
    /// Notified when a grant has arrived.
    granted: Notify,
}

/// Counts a request as waiting until it is dropped.
struct Waiting<'a> {
    gate: &'a Gate,
    state: &'a Mutex<State>,
    key: OrganisationId,
    arrived: Time,
    is_decided: bool,
}

impl Waiting<'_> {
    fn retry(&mut self) -> Decision {
        let now = self.gate.clock.time();
        let decision = lock(self.state).quotas.retry(now, self.key, self.arrived);
        self.is_decided = decision != Decision::Wait;
        decision
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = lock(self.state);
        state.waiting -= 1;
        if !self.is_decided {
            state.quotas.cancel(self.key);
        }
    }
}

impl Gate {
    /// Creates the state of a node that has just started, at `started` milliseconds since the
    /// Unix epoch.
    #[must_use]
    pub fn open(settings: Option<&settings::Quotas>, node: &id::Name, started: u64) -> Gate {
        let state = settings.map(|settings| {
            Mutex::new(State {
                quotas: Quotas::open(settings.rule(), node.clone(), started),
                rng: ChaCha8Rng::seed_from_u64(started),
                waiting: 0,
                version: None,
                granting: Vec::new(),
                refusals: HashMap::new(),
            })
        });
        Gate {
            node: node.clone(),
            state,
            clock: Clock::open(),
            due: Notify::new(),
            granted: Notify::new(),
        }
    }

    /// Returns the number of requests that wait for a grant.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.as_ref().map_or(0, |state| lock(state).waiting)
    }

    /// Whether the settings have quotas.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.state.is_some()
    }

    /// Admits a request of an organisation. It may wait for a grant, for [`MAX_WAIT`].
    ///
    /// # Errors
    ///
    /// The time after which the caller should try again if the organisation is over its quota.
    pub async fn admit(&self, organisation: &Organisation) -> Result<(), Duration> {
        let (Some(state), Some(quota)) = (&self.state, &organisation.quota) else {
            return Ok(());
        };
        let (key, arrived) = (OrganisationId::of(&organisation.name), self.clock.time());
        let mut decision = lock(state).quotas.request(arrived, key, quota);
        if decision == Decision::Wait {
            lock(state).waiting += 1;
            let waiting = Waiting { gate: self, state, key, arrived, is_decided: false };
            decision = self.wait(waiting).await;
        }
        let Decision::Refuse(wait) = decision else { return Ok(()) };
        counter!("jacinthfall_over_quota_total", "organisation" => organisation.name.clone())
            .increment(1);
        if let Some(refused) = lock(state).count_refusal(self.clock.time(), key) {
            log::info!(
                "event=over_quota organisation={:?} refused={refused} per_second={} burst={}",
                organisation.name,
                quota.rate_per_s,
                quota.burst
            );
        }
        let spread = Duration::try_from_secs_f64(2.0 / quota.rate_per_s).unwrap_or(MAX_SPREAD);
        let spread = spread.clamp(MIN_SPREAD, MAX_SPREAD);
        let spread = if wait.is_zero() { UNANSWERED_SPREAD } else { spread };
        let share: f64 = lock(state).rng.random();
        Err(wait + spread.mul_f64(share))
    }

    async fn wait(&self, mut waiting: Waiting<'_>) -> Decision {
        self.due.notify_one();
        let deadline = waiting.arrived + MAX_WAIT - READ_TIME;
        loop {
            let granted = self.granted.notified();
            if self.clock.time() >= deadline {
                // This process may have been late, and a grant is waiting to be read.
                sleep(READ_TIME).await;
            }
            let decision = waiting.retry();
            let now = self.clock.time();
            if decision != Decision::Wait {
                histogram!("jacinthfall_quota_wait_seconds").record(now.since(waiting.arrived));
                return decision;
            }
            // Whether a grant arrived or the time is up, `retry` decides; a timer may end early.
            let left = deadline.since(now).max(Duration::from_micros(100));
            let _ = timeout(left, granted).await;
        }
    }

    /// Waits until messages may be due.
    pub async fn due(&self) {
        let is_waiting = self.state.as_ref().is_some_and(|state| lock(state).waiting > 0);
        if is_waiting {
            return sleep(WAITING_INTERVAL).await;
        }
        let _ = timeout(POLL_INTERVAL, self.due.notified()).await;
    }

    /// Returns the messages to other nodes that are due.
    pub fn poll(&self) -> Outbox {
        let Some(state) = &self.state else { return Vec::new() };
        let now = self.clock.time();
        let mut state = lock(state);
        let outbox = state.quotas.poll(now);
        let (own, others): (Outbox, Outbox) =
            outbox.into_iter().partition(|(name, _)| *name == self.node);
        for (_, ask) in &own {
            if let Some(reply) = state.quotas.receive_ask(now, ask) {
                state.quotas.receive_reply(now, &reply);
            }
        }
        if !own.is_empty() {
            self.granted.notify_waiters();
        }
        others
    }

    /// Returns the response to a message of another node, if there is one.
    pub fn receive_ask(&self, ask: &Ask) -> Option<Reply> {
        let state = self.state.as_ref()?;
        let reply = lock(state).quotas.receive_ask(self.clock.time(), ask);
        count("ask", reply.is_some());
        reply
    }

    /// Records the response of another node.
    pub fn receive_reply(&self, reply: &Reply) {
        let Some(state) = &self.state else { return };
        let is_valid = lock(state).quotas.receive_reply(self.clock.time(), reply);
        count("reply", is_valid);
        self.granted.notify_waiters();
    }

    /// Sets the nodes that may grant, this one included, and the minimum number to assume; puts
    /// the quotas of a new configuration in force; and reports which groups this node grants.
    pub fn update(&self, members: Vec<id::Name>, min_nodes: usize, snapshot: Option<&Snapshot>) {
        let Some(state) = &self.state else { return };
        let now = self.clock.time();
        let mut state = lock(state);
        state.quotas.set_members(now, members, min_nodes);
        if let Some(snapshot) = snapshot
            && state.version != Some(snapshot.version)
        {
            state.version = Some(snapshot.version);
            let organisations = snapshot.organisations.iter();
            let quotas = organisations.filter_map(|organisation| {
                Some((OrganisationId::of(&organisation.name), organisation.quota?))
            });
            let quotas: HashMap<OrganisationId, Quota> = quotas.collect();
            state.refusals.retain(|key, _| quotas.contains_key(key));
            state.quotas.set_quotas(now, quotas);
        }
        let coverage = state.quotas.coverage(now);
        state.granting.resize(coverage.len(), false);
        for (group, coverage) in coverage.into_iter().enumerate() {
            gauge!("jacinthfall_quota_coverage", "group" => group.to_string()).set(coverage);
            let is_granting = coverage > HALF;
            if std::mem::replace(&mut state.granting[group], is_granting) != is_granting {
                log::info!("event=quota_granting group={group} is_granting={is_granting}");
            }
        }
    }
}

/// Describes the metrics.
pub fn describe() {
    describe_counter!(
        "jacinthfall_over_quota_total",
        "Requests refused because their organisation has used up its quota"
    );
    describe_histogram!(
        "jacinthfall_quota_wait_seconds",
        "Time that requests waited for a grant of their organisation's quota"
    );
    describe_gauge!(
        "jacinthfall_quota_coverage",
        "Share of the votes of a group of organisations that let this node grant their quotas"
    );
    describe_counter!("jacinthfall_quota_messages_total", "Messages about quotas, by kind");
    describe_counter!("jacinthfall_quota_bytes_sent_total", "Bytes of messages about quotas");
}

fn count(kind: &'static str, is_valid: bool) {
    let outcome = if is_valid { "ok" } else { "dropped" };
    counter!("jacinthfall_quota_messages_total", "kind" => kind, "outcome" => outcome).increment(1);
}
