//! What leafs say of themselves in responses: that they leave, want no requests for a time, or
//! accept a limited number of them.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use rand::Rng;

use super::rate_limit::{Limiter, Statement};
use super::{Change, Fleet, Key, Leaf};

/// Maximum time for which a leaf that asks for it gets no requests. A wrong value would shut it out.
const MAX_BACKOFF: Duration = Duration::from_secs(60 * 60);

/// Maximum time after which a refused caller is asked to come back to leafs with rate limits.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(10);

impl Fleet {
    /// Records that a leaf turned a request away and wants no others from this node for `backoff`.
    /// Returns the change if it is news.
    pub fn record_backoff(&mut self, now: Time, key: Key, backoff: Duration) -> Option<Change> {
        let leaf = self.leafs.get_mut(&key)?;
        let backoff = backoff.min(MAX_BACKOFF);
        let is_longer = now + backoff > leaf.backoff_until;
        leaf.backoff_until = leaf.backoff_until.max(now + backoff);
        is_longer.then_some(Change::BackedOff(backoff))
    }

    /// Records that a leaf has said that it is shutting down. Returns the change if it is news. Only
    /// another process of the leaf is used again.
    pub fn record_leaving(&mut self, key: Key) -> Option<Change> {
        let leaf = self.leafs.get_mut(&key)?;
        (!std::mem::replace(&mut leaf.leaving, true)).then_some(Change::Leaving)
    }

    /// Records what the response to a request that was sent at `sent` says of the leaf's rate
    /// limit. Returns it if it is news.
    ///
    /// Responses may arrive in another order than they were made, so only a response to a request
    /// that was sent after the limit became known ends the limit.
    pub fn record_rate_limit(
        &mut self,
        now: Time,
        key: Key,
        sent: Time,
        statement: Statement,
    ) -> Option<Statement> {
        let limiter = &mut self.leafs.get_mut(&key)?.rate_limiter;
        match (statement, limiter.as_mut()) {
            (Statement::PerSecond(limit), Some(known)) => {
                let changed = known.limit != limit;
                known.set_limit(now, limit);
                changed.then_some(statement)
            }
            (Statement::PerSecond(limit), None) => {
                let tokens = self.rng.random::<f64>();
                *limiter = Some(Limiter::open(now, limit, self.share, tokens));
                Some(statement)
            }
            (Statement::Unlimited, Some(known)) if sent > known.stated_at => {
                *limiter = None;
                Some(statement)
            }
            (Statement::Unlimited, _) => None,
        }
    }

    /// Iterates over the usable leafs that state a rate limit.
    pub fn rate_limited(&self) -> impl Iterator<Item = (&Leaf, &Limiter)> {
        let usable = self.services.values().flatten().map(|key| &self.leafs[key]);
        usable.filter_map(|leaf| Some((leaf, leaf.rate_limiter.as_ref()?)))
    }

    /// Returns the usable leafs that state a rate limit, with the number of requests that this
    /// node has sent to each since the last call.
    pub fn take_rate_limited_sends(&mut self) -> Vec<(Key, u32)> {
        let keys: Vec<Key> = self.services.values().flatten().copied().collect();
        let sends = keys.into_iter().filter_map(|key| {
            let limiter = self.leafs.get_mut(&key)?.rate_limiter.as_mut()?;
            Some((key, limiter.take_sends()))
        });
        sends.collect()
    }

    /// Sets this node's share of the rate limits of leafs, from 0 to 1.
    pub fn set_share(&mut self, now: Time, share: f64) {
        self.share = share;
        let limiters = self.leafs.values_mut().filter_map(|leaf| leaf.rate_limiter.as_mut());
        limiters.for_each(|limiter| limiter.set_share(now, share));
        self.update_warmup_share(now, share);
    }

    /// Returns this node's share of the rate limits of leafs, from 0 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns when a refused caller that waits for a service should come back. `at` is when a leaf
    /// can be tried again.
    ///
    /// If all leafs have a rate limit, each caller gets a time of its own: of callers that come back
    /// at the same time, the limits allow only some to be served.
    pub fn schedule_return(&mut self, now: Time, service: &id::Name, at: Time) -> Time {
        let rates = self.open_leafs(service).map(|leaf| leaf.limited_rate(now));
        let Some(rates) = rates.collect::<Option<Vec<f64>>>() else { return at };
        let interval = Duration::try_from_secs_f64(1.0 / rates.iter().sum::<f64>());
        let interval = interval.unwrap_or(MAX_RETURN_DELAY).min(MAX_RETURN_DELAY);
        let latest = self.returns.get(service).map(|latest| *latest + interval);
        let at = latest.map_or(at, |latest| latest.max(at)).min(now + MAX_RETURN_DELAY);
        self.returns.insert(service.clone(), at);
        at
    }
}
