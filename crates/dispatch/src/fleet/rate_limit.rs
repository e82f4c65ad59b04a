//! Rate limits that leafs state in their responses, and how a node keeps to its share of one.
//!
//! Answers leafs in need that accept fewer requests than all nodes together would send. Every
//! send counts: first ones, hedges, retries, and those that are abandoned later. A node's share
//! follows the demand of its callers, see [`crate::roster::Roster::demand_share`].
//!
//! A share earns tokens, one for each request. Unused tokens expire after [`TOKEN_LIFETIME`], so
//! that many nodes with a share below one request a second can't save up for a burst together.

use std::time::Duration;

use jacinthfall_core::time::Time;

/// Time for which a token may be used.
const TOKEN_LIFETIME: Duration = Duration::from_secs(1);

/// Rate at which all nodes together try a leaf that accepts fewer requests, or none, in requests
/// per second. Only a response tells that its limit has changed.
pub(super) const MIN_RATE: f64 = 0.25;

/// Maximum time until a request may be sent that is reported.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What a response says about the number of requests that its leaf accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The leaf has no limit.
    Unlimited,
    /// It accepts this many requests per second from all nodes together.
    PerSecond(f64),
}

/// How urgently a request needs a token of a leaf with a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// It can be answered only if this send gets a token.
    Required,
    /// It can be answered without this send, which leaves some tokens for other requests.
    Optional,
}

/// Rate limit of one leaf, and this node's share of it.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    /// Requests per second that the leaf accepts from all nodes together.
    pub limit: f64,
    /// When a response last stated the limit.
    pub stated_at: Time,
    /// Tokens that were left at `updated_at`.
    tokens: f64,
    updated_at: Time,
    /// This node's share of the limit, from 0 to 1.
    share: f64,
    /// Time for which a token may be used.
    lifetime: Duration,
    /// Number of requests that this node has sent since the last [`Limiter::take_sends`].
    sends: u32,
}

impl Limiter {
    /// Creates the limiter of a leaf whose limit has just become known. `tokens` should be a random
    /// number below 1, so that nodes with small shares don't take turns at the same moment.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::fleet::{Limiter, Need};
    /// let mut limiter = Limiter::open(Time(0), 8.0, 0.25, 0.0);
    /// let next = limiter.available_at(Time(0), Need::Required);
    /// assert_eq!(next.since(Time(0)).as_millis(), 500, "two requests a second");
    /// limiter.record_send(next);
    /// assert!(limiter.available_at(next, Need::Required) > next);
    /// ```
    #[must_use]
    pub fn open(now: Time, limit: f64, share: f64, tokens: f64) -> Limiter {
        let lifetime = TOKEN_LIFETIME;
        Limiter { limit, stated_at: now, tokens, updated_at: now, share, lifetime, sends: 0 }
    }

    /// Changes the time for which a token may be used, and so how many can be saved up.
    #[must_use]
    pub fn with_token_lifetime(self, lifetime: Duration) -> Limiter {
        Limiter { lifetime, ..self }
    }

    /// Returns the number of requests per second that this node may send.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.limit.max(MIN_RATE) * self.share
    }

    /// Changes the limit that applies from now on.
    pub fn set_limit(&mut self, now: Time, limit: f64) {
        self.update(now);
        self.limit = limit;
        self.stated_at = now;
    }

    /// Changes this node's share from now on.
    pub fn set_share(&mut self, now: Time, share: f64) {
        self.update(now);
        self.share = share;
    }

    /// Records that a request was sent.
    pub fn record_send(&mut self, now: Time) {
        self.update(now);
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.sends += 1;
    }

    /// Returns when a request may be sent, as far as is known now.
    #[must_use]
    pub fn available_at(&self, now: Time, need: Need) -> Time {
        let reserve = match need {
            Need::Required => 0.0,
            Need::Optional => ((self.capacity() - 1.0) / 2.0).floor(),
        };
        let missing = 1.0 + reserve - self.tokens_at(now);
        if missing <= 0.0 {
            return now;
        }
        // A share of nearly nothing would give a time that can't be represented.
        let wait = Duration::try_from_secs_f64(missing / self.rate()).unwrap_or(Duration::MAX);
        // Times are in whole microseconds; a token must be complete by then.
        now + wait.min(MAX_WAIT) + Duration::from_micros(1)
    }

    /// Returns the number of requests that may be sent at once.
    #[must_use]
    pub fn free(&self, now: Time) -> usize {
        self.tokens_at(now) as usize
    }

    /// Returns the number of requests that were sent since the last call.
    pub fn take_sends(&mut self) -> u32 {
        std::mem::take(&mut self.sends)
    }

    /// Returns the maximum number of tokens.
    fn capacity(&self) -> f64 {
        (self.rate() * self.lifetime.as_secs_f64()).max(1.0)
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let earned = self.rate() * now.since(self.updated_at).as_secs_f64();
        let tokens = self.tokens + earned;
        let per_lifetime = self.rate() * self.lifetime.as_secs_f64();
        if per_lifetime >= 1.0 {
            return tokens.min(per_lifetime);
        }
        // What has been earned since the token was complete tells its age.
        if tokens > 1.0 + per_lifetime { tokens - (tokens - per_lifetime).floor() } else { tokens }
    }

    fn update(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
    }
}
