//! State of a node that grants requests: votes of electors, and a token bucket for each
//! organisation.

use std::collections::HashMap;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::organisation::Quota;

use super::history::History;
use super::{Ask, CREDIT_TIME, Grant, HALF, LEASE, Limit, MAX_ROWS, OrganisationId, Rule, Want};

/// Time between two calls of [`Allocator::advance`] from which on this process counts as having been
/// paused. Tokens from before may have been granted by another node meanwhile.
const MAX_GAP: Duration = Duration::from_millis(500);

/// Maximum number of tokens beyond the rate.
const MAX_SPREAD: f64 = 2.0;

/// Time after which a node that no longer asks is forgotten. Delayed messages are outdated by then.
const MAX_ASKER_AGE: Duration = Duration::from_secs(60);

/// Maximum number of nodes and of organisations that are tracked.
const MAX_TRACKED: usize = 4_096;

/// A node that has asked.
#[derive(Debug)]
struct Asker {
    /// Start of its process.
    started: u64,
    /// Number of its latest message.
    number: u64,
    /// When its vote ends.
    vote_ends: Time,
    /// When its latest message arrived.
    heard: Time,
    /// When its latest message arrived that wanted something.
    wanted: Option<Time>,
    /// Until when it may make requests on credit.
    credit_ends: Time,
}

/// Token bucket of one organisation.
#[derive(Debug)]
struct Bucket {
    /// Limit of this node's configuration.
    own: Option<Quota>,
    /// Lower limit that another node has stated, and until when it applies.
    stated: Option<(Limit, Time)>,
    tokens: f64,
    /// Tokens beyond the rate, by which a burst may be spread over every window.
    spread: f64,
    /// Requests granted lately.
    history: History,
    /// [`Allocator::earned`] when the tokens were updated.
    earned: f64,
}

impl Bucket {
    fn open(earned: f64, tokens: f64) -> Bucket {
        let (spread, history) = (0.0, History::default());
        Bucket { own: None, stated: None, tokens, spread, history, earned }
    }

    /// Returns the limit in force.
    fn quota(&self, now: Time) -> Option<Quota> {
        let stated = self.stated.filter(|(_, until)| now < *until).map(|(limit, _)| Quota {
            rate_per_s: f64::from(limit.rate) / 1_000.0,
            burst: f64::from(limit.burst) / 1_000.0,
        });
        match (self.own, stated) {
            (Some(own), Some(stated)) => Some(Quota {
                rate_per_s: own.rate_per_s.min(stated.rate_per_s),
                burst: own.burst.min(stated.burst),
            }),
            (own, stated) => own.or(stated),
        }
    }

    /// Adds what the bucket has earned.
    fn update(&mut self, now: Time, rule: &Rule, earned: f64, coverage: f64) {
        let time = earned - std::mem::replace(&mut self.earned, earned);
        let Some(quota) = self.quota(now) else { return };
        self.tokens += quota.rate_per_s * time;
        // A bucket that holds less than one whole token could never grant.
        let capacity = (coverage * rule.capacity(&quota)).max(1.0);
        self.tokens = self.tokens.min(capacity);
        self.spread += quota.burst / rule.window.as_secs_f64() * time;
        self.spread = self.spread.min(MAX_SPREAD);
    }

    /// Takes up to `wanted` whole tokens, and returns how many. `most` is the number of requests
    /// that may be granted in a window; `None` if other nodes may have granted some in this one.
    fn take(&mut self, now: Time, rule: &Rule, wanted: u16, most: Option<f64>) -> u16 {
        let granted = self.tokens.floor().clamp(0.0, f64::from(wanted));
        self.tokens -= granted;
        let left = most.map_or(0.0, |most| most - self.history.count(now, rule.window) - granted);
        let extra = self.spread.min(left).floor().clamp(0.0, f64::from(wanted) - granted);
        self.spread -= extra;
        let taken = granted + extra;
        self.history.record(now, rule.window, taken);
        taken as u16
    }

    /// Records the limit that another node has stated.
    fn state(&mut self, now: Time, rule: &Rule, limit: Limit) {
        let own = self.own.as_ref().map(Limit::of);
        let is_lower = own.is_none_or(|own| limit.rate < own.rate || limit.burst < own.burst);
        if !is_lower {
            return;
        }
        let valid = self.stated.filter(|(_, until)| now < *until);
        let limit = valid.map_or(limit, |(stated, _)| Limit {
            rate: stated.rate.min(limit.rate),
            burst: stated.burst.min(limit.burst),
        });
        self.stated = Some((limit, now + rule.window));
    }
}

/// State of a node that grants requests of one group of organisations.
#[derive(Debug)]
pub struct Allocator {
    rule: Rule,
    electors: Vec<id::Name>,
    min_electors: usize,
    askers: HashMap<id::Name, Asker>,
    buckets: HashMap<OrganisationId, Bucket>,
    /// Seconds, each multiplied by the coverage at that time.
    earned: f64,
    /// When `earned` was updated.
    advanced: Time,
    /// Whether this node had votes then.
    had_votes: bool,
    /// Whether it has granted on behalf of most nodes since the process started.
    has_begun: bool,
    /// Since when it has done so without a break.
    most_since: Option<Time>,
}

impl Allocator {
    /// Creates the state of a node without votes.
    #[must_use]
    pub fn open(rule: Rule) -> Allocator {
        Allocator {
            rule,
            electors: Vec::new(),
            min_electors: 0,
            askers: HashMap::new(),
            buckets: HashMap::new(),
            earned: 0.0,
            advanced: Time(0),
            had_votes: false,
            has_begun: false,
            most_since: None,
        }
    }

    /// Sets the nodes that have votes.
    pub fn set_electors(&mut self, now: Time, electors: Vec<id::Name>) {
        self.advance(now);
        self.electors = electors;
    }

    /// Sets the minimum number of electors to assume.
    pub fn set_min_electors(&mut self, now: Time, min_electors: usize) {
        self.advance(now);
        self.min_electors = min_electors;
        self.askers.retain(|_, asker| now.since(asker.heard) < MAX_ASKER_AGE);
    }

    /// Sets the quotas of the configuration in force at this node.
    pub fn set_quotas(&mut self, now: Time, quotas: HashMap<OrganisationId, Quota>) {
        self.advance(now);
        let (earned, coverage) = (self.earned, self.coverage(now));
        let tokens = if coverage > HALF { self.rule.initial_requests() } else { 0.0 };
        self.buckets.retain(|organisation, _| quotas.contains_key(organisation));
        for (organisation, quota) in quotas {
            let bucket =
                self.buckets.entry(organisation).or_insert_with(|| Bucket::open(earned, tokens));
            bucket.update(now, &self.rule, earned, coverage);
            bucket.own = Some(quota);
            bucket.update(now, &self.rule, earned, coverage);
        }
    }

    /// Returns the share of all votes that this node has, from 0 to 1.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::quota::{Allocator, Rule};
    /// let rule = Rule { window: std::time::Duration::from_secs(5), overage: 0.1, slack: 20.0 };
    /// let mut allocator = Allocator::open(rule);
    /// allocator.set_electors(Time(0), vec!["a".into(), "b".into()]);
    /// assert_eq!(allocator.coverage(Time(0)), 0.0, "no elector has voted yet");
    /// ```
    #[must_use]
    pub fn coverage(&self, now: Time) -> f64 {
        let votes = self.electors.iter().filter_map(|name| self.askers.get(name));
        let votes = votes.filter(|asker| asker.vote_ends > now).count();
        votes as f64 / self.electors.len().max(self.min_electors).max(1) as f64
    }

    /// Lets time pass. Discards all tokens if this process was paused.
    pub fn advance(&mut self, now: Time) {
        let passed = now.since(self.advanced);
        if passed.is_zero() {
            return;
        }
        self.advanced = now;
        let coverage = self.coverage(now);
        let had_votes = std::mem::replace(&mut self.had_votes, coverage > 0.0);
        if coverage <= HALF || passed > MAX_GAP {
            self.most_since = None;
        } else {
            self.most_since.get_or_insert(now);
        }
        // Without votes, another node grants, and may have granted all that this one has earned.
        if passed > MAX_GAP || !self.had_votes {
            if had_votes {
                self.discard_tokens();
            }
            return;
        }
        self.earned += passed.as_secs_f64() * coverage;
        if coverage > HALF && !std::mem::replace(&mut self.has_begun, true) {
            let tokens = self.rule.initial_requests();
            for bucket in self.buckets.values_mut() {
                bucket.tokens = bucket.tokens.max(tokens);
            }
        }
    }

    fn discard_tokens(&mut self) {
        let earned = self.earned;
        for bucket in self.buckets.values_mut() {
            (bucket.tokens, bucket.spread, bucket.earned) = (0.0, 0.0, earned);
        }
    }

    /// Records a message, and returns what is granted; `None` if the message is outdated.
    pub fn receive(&mut self, now: Time, started: u64, ask: &Ask) -> Option<Vec<Grant>> {
        self.advance(now);
        self.record_asker(now, started, ask)?;
        let coverage = self.coverage(now);
        let wants = ask.wants.iter().take(MAX_ROWS);
        let wants = wants.filter(|want| want.organisation.group() == ask.group);
        Some(wants.filter_map(|want| self.grant(now, coverage, want)).collect())
    }

    fn record_asker(&mut self, now: Time, started: u64, ask: &Ask) -> Option<()> {
        if self.askers.len() >= MAX_TRACKED && !self.askers.contains_key(&ask.node) {
            self.askers.retain(|_, asker| now.since(asker.heard) < 10 * LEASE);
            if self.askers.len() >= MAX_TRACKED {
                return None;
            }
        }
        let asker = self.askers.entry(ask.node.clone()).or_insert(Asker {
            started: 0,
            number: 0,
            vote_ends: Time(0),
            heard: now,
            wanted: None,
            credit_ends: Time(0),
        });
        // A process that has started later may state an earlier start if its clock was set back.
        let is_new_process = ask.started > asker.started
            || ask.started != asker.started && now.since(asker.heard) >= LEASE;
        if !is_new_process && (ask.started, ask.number) <= (asker.started, asker.number) {
            return None;
        }
        // The vote of the same node's earlier process goes on: it may not have voted elsewhere.
        (asker.started, asker.number, asker.heard) = (ask.started, ask.number, now);
        asker.vote_ends = match ask.vote {
            // A clock that is ahead of this one is that of an earlier process, or invalid.
            Some(vote) if vote.started == started && vote.clock <= now.0 => {
                asker.vote_ends.max(Time(vote.clock) + LEASE)
            }
            Some(_) => asker.vote_ends,
            None => Time(0),
        };
        if !ask.wants.is_empty() {
            asker.wanted = Some(now);
        }
        self.renew_credit(now, &ask.node);
        Some(())
    }

    /// Lets a node make requests on credit if not too many others may. Nodes without requests may
    /// only if there are few nodes.
    fn renew_credit(&mut self, now: Time, node: &id::Name) {
        let max = self.rule.max_credit_nodes();
        let others =
            self.askers.iter().filter(|(name, asker)| *name != node && asker.credit_ends > now);
        let is_free = others.count() < max;
        let is_few = self.askers.len() <= max;
        let Some(asker) = self.askers.get_mut(node) else { return };
        let is_active = asker.wanted.is_some_and(|at| now.since(at) < self.rule.window);
        if is_free && (is_active || is_few) {
            asker.credit_ends = now + CREDIT_TIME;
        }
    }

    /// Whether a node may make requests on credit.
    #[must_use]
    pub fn has_credit(&self, now: Time, node: &id::Name) -> bool {
        let is_granting = self.coverage(now) > HALF;
        is_granting && self.askers.get(node).is_some_and(|asker| asker.credit_ends > now)
    }

    fn grant(&mut self, now: Time, coverage: f64, want: &Want) -> Option<Grant> {
        let is_tracked = self.buckets.contains_key(&want.organisation);
        // The unreported of a node is left with it until another one grants.
        if coverage == 0.0
            || want.limit.rate == 0
            || !is_tracked && self.buckets.len() >= MAX_TRACKED
        {
            return None;
        }
        let (earned, rule) = (self.earned, self.rule);
        let is_steady = self.most_since.is_some_and(|since| now.since(since) >= rule.window);
        let bucket =
            self.buckets.entry(want.organisation).or_insert_with(|| Bucket::open(earned, 0.0));
        bucket.state(now, &rule, want.limit);
        bucket.update(now, &rule, earned, coverage);
        if want.has_unreported {
            // Statements of the same request may arrive more than once.
            let least = -(rule.max_credit_nodes() as f64);
            bucket.tokens = (bucket.tokens - 1.0).max(least.min(bucket.tokens));
        }
        let quota = bucket.quota(now);
        let most = quota.filter(|_| is_steady).map(|quota| coverage * rule.most(&quota));
        let requests = bucket.take(now, &rule, want.requests, most);
        let rate = bucket.quota(now).map_or(0.0, |quota| quota.rate_per_s) * coverage;
        let is_short = requests < want.requests;
        let missing = if is_short { 1.0 - bucket.tokens } else { 0.0 };
        let wait_ms = (1_000.0 * missing / rate.max(0.001)).clamp(0.0, 60_000.0).ceil() as u16;
        Some(Grant { organisation: want.organisation, requests, wait_ms })
    }
}
