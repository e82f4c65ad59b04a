//! Cold leafs, and the limit that their service states for them.
//!
//! Answers leafs that have just started, or have lost what they had in memory, and crash well above
//! a number of requests per second from all nodes together. A leaf's entry in the store says how
//! long it stays cold, as of that entry, and so do its responses to health checks. All sends count.
//!
//! The limit holds in every single second, so a node's share of it saves up less than that of a
//! limit which a leaf states, and a higher share counts only once the other nodes know of the demand
//! that it follows.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::leaf::{Age, Entry};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::rate_limit::{Limiter, MIN_RATE, Need};
use super::{Fleet, Key, Leaf};

/// Share of the limit that nodes use. The rest is for the coincidence of sends of many nodes that
/// each may send less than one request per second.
const USABLE_LIMIT_SHARE: f64 = 0.8;

/// Unused tokens of all nodes together, as a share of one second's limit. They may be used in the
/// same second as those that are earned in it.
const SAVED_LIMIT_SHARE: f64 = 0.25;

/// Unused tokens of all nodes together in addition, so that nodes with small shares of a low limit
/// have a token when a request arrives.
const SAVED_TOKENS: f64 = 1.5;

/// Number of latest calls of [`Fleet::set_share`], each a maintenance interval of 250 ms after the
/// other, whose mean share counts. A single value varies much where a node gets few requests.
const SHARE_MEMORY: usize = 8;

/// Number of highest ones among them that don't count. When demand begins, a node's share is too high
/// until heartbeats have told it of the demand at the others.
const SHARE_PEAKS: usize = 3;

/// Maximum time for which a leaf counts as cold after a statement. A wrong value would slow it down
/// for as long.
const MAX_WARMUP: Duration = Duration::from_secs(60 * 60);

/// Time for which the entry of a leaf that isn't used any more is remembered, so that its warm-up
/// doesn't begin again when the same entry is read once more.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Returns the time for which a token may be used, at a usable limit in requests per second.
fn token_lifetime(limit: f64) -> Duration {
    let limit = limit.max(MIN_RATE);
    let saved = SAVED_LIMIT_SHARE * limit / USABLE_LIMIT_SHARE + SAVED_TOKENS;
    Duration::try_from_secs_f64(saved / limit).unwrap_or_default()
}

/// Warm-up of one leaf.
#[derive(Clone, Debug, Default)]
pub(super) struct Warmup {
    /// When it ends, by the entry that the leaf was opened with.
    first_until: Time,
    /// When it ends, by the leaf's latest entry.
    entry_until: Time,
    /// When it ends, by the leaf's latest response that says so.
    response_until: Time,
    /// This node's share of the limit on a cold leaf, if there is one.
    limiter: Option<Limiter>,
    /// Whether it was cold at the last call of [`Fleet::take_cold_changes`].
    was_cold: bool,
}

impl Warmup {
    /// Creates the warm-up of a leaf with an entry.
    pub(super) fn open(now: Time, entry: &Entry) -> Warmup {
        Warmup { first_until: now + entry.warmup, ..Warmup::default() }
    }

    /// Returns when it ends.
    fn until(&self) -> Time {
        self.entry_until.max(self.response_until)
    }

    /// Whether the leaf is cold.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        now < self.until()
    }

    /// Whether the leaf is expected to be slow. A service without a limit gets by with the entry that
    /// the leaf was opened with.
    pub(super) fn is_slow(&self, now: Time) -> bool {
        now < self.first_until || self.limiter(now).is_some()
    }

    /// Returns the limiter that applies now.
    fn limiter(&self, now: Time) -> Option<Limiter> {
        self.limiter.filter(|_| self.is_cold(now))
    }

    /// Records that a request was sent.
    pub(super) fn record_send(&mut self, now: Time) {
        if self.is_cold(now)
            && let Some(limiter) = &mut self.limiter
        {
            limiter.record_send(now);
        }
    }
}

/// What the latest entry of a leaf said of its warm-up.
#[derive(Clone, Copy, Debug)]
struct Seen {
    age: Age,
    warmup: Duration,
    /// When the warm-up ends, counted from when the entry was first seen.
    until: Time,
    /// When the leaf was last in use.
    used_at: Time,
}

impl Seen {
    /// Whether an entry is a later one. Entries without an age are told apart by what they say.
    fn is_before(&self, entry: &Entry) -> bool {
        entry.age > self.age || entry.age == Age::default() && entry.warmup != self.warmup
    }
}

/// What the fleet knows of warm-ups.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    /// Requests per second that a cold leaf accepts from all nodes together, by service.
    limits: HashMap<id::Name, f64>,
    seen: HashMap<id::Name, Seen>,
    /// Latest shares of this node, newest first.
    shares: VecDeque<f64>,
}

impl Tracker {
    /// Returns when the warm-up ends by the entry of a leaf.
    fn entry_until(&mut self, now: Time, id: &id::Name, entry: &Entry) -> Time {
        let warmup = entry.warmup;
        let until = now + warmup.min(MAX_WARMUP);
        let first = Seen { age: entry.age, warmup, until, used_at: now };
        let seen = self.seen.entry(id.clone()).or_insert(first);
        if seen.is_before(entry) {
            *seen = first;
        }
        seen.used_at = now;
        seen.until
    }

    /// Returns this node's share of the limits.
    fn share(&self) -> f64 {
        if self.shares.is_empty() {
            return 1.0;
        }
        let mut shares: Vec<f64> = self.shares.iter().copied().collect();
        shares.sort_unstable_by(f64::total_cmp);
        shares.truncate(shares.len().saturating_sub(SHARE_PEAKS).max(1));
        shares.iter().sum::<f64>() / shares.len() as f64
    }

    /// Gives a cold leaf a limiter if its service has a limit, else takes it away.
    fn update_limiter(&self, now: Time, leaf: &mut Leaf, rng: &mut ChaCha8Rng) {
        let limit = self.limits.get(&leaf.entry.service);
        let limit = limit.filter(|_| leaf.warmup.is_cold(now));
        let limit = limit.map(|limit| limit * USABLE_LIMIT_SHARE);
        match (limit, &mut leaf.warmup.limiter) {
            (Some(limit), Some(limiter)) if limiter.limit == limit => {}
            (Some(limit), Some(limiter)) => {
                limiter.set_limit(now, limit);
                *limiter = limiter.with_token_lifetime(token_lifetime(limit));
            }
            (Some(limit), none) => {
                // A random start, so that nodes with small shares don't send together.
                let limiter = Limiter::open(now, limit, self.share(), rng.random());
                *none = Some(limiter.with_token_lifetime(token_lifetime(limit)));
            }
            (None, limiter) => *limiter = None,
        }
    }
}

/// Change of a leaf with a limit while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupChange {
    /// The leaf.
    pub key: Key,
    /// Time for which it stays cold; zero if its warm-up has ended.
    pub left: Duration,
    /// Requests per second that it accepts from all nodes together while it is cold.
    pub limit: f64,
}

impl Leaf {
    /// Returns until when its limits allow this node no request.
    pub(super) fn rate_limit_until(&self, now: Time, need: Need) -> Time {
        let limiters = [self.rate_limiter, self.warmup.limiter(now)].into_iter().flatten();
        limiters.map(|limiter| limiter.available_at(now, need)).max().unwrap_or(Time(0))
    }

    /// Returns the number of requests that its limits allow this node at once.
    pub(super) fn rate_limit_free(&self, now: Time) -> usize {
        let limiters = [self.rate_limiter, self.warmup.limiter(now)].into_iter().flatten();
        limiters.map(|limiter| limiter.free(now)).min().unwrap_or(usize::MAX / 2)
    }

    /// Returns the number of requests per second that its limits allow this node; `None` if it has
    /// no limit now.
    pub(super) fn limited_rate(&self, now: Time) -> Option<f64> {
        let limiters = [self.rate_limiter, self.warmup.limiter(now)].into_iter().flatten();
        limiters.map(|limiter| limiter.rate()).reduce(f64::min)
    }
}

impl Fleet {
    /// Sets the number of requests per second that a cold leaf accepts from all nodes together, by
    /// service. Services that aren't named have no limit.
    pub fn set_warmup_limits(&mut self, now: Time, limits: HashMap<id::Name, f64>) {
        self.warmups.limits = limits;
        self.update_limiters(now);
    }

    /// Updates the warm-ups of the usable leafs after a change of their entries.
    pub(super) fn update_warmups(&mut self, now: Time) {
        let Fleet { services, leafs, warmups, .. } = self;
        for key in services.values().flatten() {
            let Some(leaf) = leafs.get_mut(key) else { continue };
            leaf.warmup.entry_until = warmups.entry_until(now, &leaf.id, &leaf.entry);
        }
        warmups.seen.retain(|_, seen| now.since(seen.used_at) < FORGET_AFTER);
        self.update_limiters(now);
    }

    /// Records that a response of a leaf states for how long it stays cold.
    pub fn record_warmup(&mut self, now: Time, key: Key, left: Duration) {
        let Fleet { leafs, warmups, rng, .. } = self;
        if let Some(leaf) = leafs.get_mut(&key)
            && !left.is_zero()
        {
            leaf.warmup.response_until = now + left.min(MAX_WARMUP);
            warmups.update_limiter(now, leaf, rng);
        }
    }

    /// Gives each cold leaf a limiter if its service has a limit, and takes it from the others.
    fn update_limiters(&mut self, now: Time) {
        let Fleet { leafs, warmups, rng, .. } = self;
        leafs.values_mut().for_each(|leaf| warmups.update_limiter(now, leaf, rng));
    }

    /// Updates this node's share of the limits on cold leafs.
    pub(super) fn update_warmup_share(&mut self, now: Time, share: f64) {
        self.warmups.shares.push_front(share);
        self.warmups.shares.truncate(SHARE_MEMORY);
        let share = self.warmups.share();
        let limiters = self.leafs.values_mut().filter_map(|leaf| leaf.warmup.limiter.as_mut());
        limiters.for_each(|limiter| limiter.set_share(now, share));
    }

    /// Returns the usable leafs with a limit that became cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now: Time) -> Vec<WarmupChange> {
        let Fleet { services, leafs, warmups, .. } = self;
        let mut changes = Vec::new();
        for (service, key) in
            services.iter().flat_map(|(name, keys)| keys.iter().map(move |key| (name, key)))
        {
            let (Some(limit), Some(leaf)) = (warmups.limits.get(service), leafs.get_mut(key))
            else {
                continue;
            };
            let is_cold = leaf.warmup.is_cold(now);
            if std::mem::replace(&mut leaf.warmup.was_cold, is_cold) != is_cold {
                let left = leaf.warmup.until().since(now);
                changes.push(WarmupChange { key: *key, left, limit: *limit });
            }
        }
        changes
    }

    /// Returns the number of usable leafs that are cold.
    #[must_use]
    pub fn cold_leafs(&self, now: Time) -> usize {
        let usable: HashSet<&Key> = self.services.values().flatten().collect();
        usable.into_iter().filter(|key| self.leafs[*key].warmup.is_cold(now)).count()
    }
}
