//! Admission control, which rejects requests before any work is sent to leafs.
//!
//! Each profile has an adaptive concurrency limit. It rises while requests find free
//! slots and falls when they wait for slots longer than a share of their deadline.
//! That share grows with the priority, so that under overload the limits of
//! low-priority profiles fall first. When a profile's limit is nearly reached, a
//! caller with more than an equal share of it is rejected.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::refusal::Cause;
use jacinthfall_core::time::Time;

/// Tolerated wait for slots at priority 0, as a fraction of the deadline.
const BASE_WAIT_SHARE: f64 = 0.04;

/// Fraction of the deadline that each step of priority adds to the tolerated wait.
const WAIT_SHARE_PER_PRIORITY: f64 = 0.02;

/// Factor by which a limit is lowered.
const DECREASE_FACTOR: f64 = 0.8;

/// Minimum time between two decreases of a limit.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(10);

/// Fraction of a limit in use above which callers are held to equal shares.
const FAIR_SHARE_THRESHOLD: f64 = 0.75;

/// How long a caller without requests in progress still counts as active.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum `retry_after` of a rejection.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Rejection of a request that was not sent to any leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// [`Cause::Overloaded`] or [`Cause::CallerLimit`].
    pub cause: Cause,
    /// How long the caller should wait before a retry.
    pub retry_after: Duration,
}

/// Requests of one caller under one profile.
#[derive(Debug)]
struct Caller {
    in_progress: u32,
    seen_at: Time,
}

/// Concurrency limit of one profile.
#[derive(Debug)]
struct Limiter {
    limit: f64,
    in_progress: u32,
    lowered_at: Time,
    average_time: Duration,
    callers: BTreeMap<id::Name, Caller>,
    swept_at: Time,
}

/// Admission control of one engine.
#[derive(Debug, Default)]
pub struct Controller {
    limiters: BTreeMap<id::Name, Limiter>,
}

impl Controller {
    /// Admits or rejects a request. Each admitted request must be ended by
    /// [`Controller::release`].
    ///
    /// # Errors
    ///
    /// [`Rejection`] if the profile's limit is reached or the caller exceeds its share.
    pub fn admit(
        &mut self,
        now: Time,
        profile: &Profile,
        caller: &id::Name,
    ) -> Result<(), Rejection> {
        let limiter =
            self.limiters.entry(profile.name.clone()).or_insert_with(|| Limiter::new(profile));
        limiter.limit = limiter.limit.min(f64::from(profile.concurrency));
        limiter.remove_idle_callers(now);
        let active = Caller { in_progress: 0, seen_at: now };
        let held = limiter.callers.entry(caller.clone()).or_insert(active);
        held.seen_at = now;
        let held = f64::from(held.in_progress);
        let share = (limiter.limit / limiter.callers.len() as f64).max(1.0);
        let used = f64::from(limiter.in_progress);
        if used + 1.0 > limiter.limit {
            return Err(limiter.reject(Cause::Overloaded));
        }
        if used >= limiter.limit * FAIR_SHARE_THRESHOLD && held >= share {
            return Err(limiter.reject(Cause::CallerLimit));
        }
        limiter.in_progress += 1;
        limiter.callers.entry(caller.clone()).and_modify(|caller| caller.in_progress += 1);
        Ok(())
    }

    /// Ends an admitted request that waited `queued` for slots and took `took` in total.
    ///
    /// # Panics
    ///
    /// If no such request was admitted.
    pub fn release(
        &mut self,
        now: Time,
        profile: &Profile,
        caller: &id::Name,
        queued: Duration,
        took: Duration,
    ) {
        let limiter = self
            .limiters
            .get_mut(&profile.name)
            .expect("invariant: a released request was admitted");
        let held =
            limiter.callers.get_mut(caller).expect("invariant: a released request was admitted");
        held.in_progress -= 1;
        held.seen_at = now;
        let was_half_used = f64::from(limiter.in_progress) >= limiter.limit / 2.0;
        limiter.in_progress -= 1;
        limiter.average_time = (limiter.average_time * 7 + took) / 8;
        let share = BASE_WAIT_SHARE + WAIT_SHARE_PER_PRIORITY * f64::from(profile.priority);
        if queued > profile.deadline.mul_f64(share) {
            limiter.lower(now);
        } else if was_half_used {
            let max_limit = f64::from(profile.concurrency);
            limiter.limit = (limiter.limit + 1.0 / limiter.limit).min(max_limit);
        }
    }
}

impl Limiter {
    fn new(profile: &Profile) -> Limiter {
        Limiter {
            limit: f64::from(profile.concurrency),
            in_progress: 0,
            lowered_at: Time::default(),
            average_time: Duration::ZERO,
            callers: BTreeMap::new(),
            swept_at: Time::default(),
        }
    }

    fn lower(&mut self, now: Time) {
        if now.since(self.lowered_at) >= MIN_DECREASE_INTERVAL {
            self.lowered_at = now;
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        }
    }

    fn reject(&self, cause: Cause) -> Rejection {
        Rejection { cause, retry_after: (self.average_time * 2).max(MIN_RETRY_AFTER) }
    }

    fn remove_idle_callers(&mut self, now: Time) {
        if now.since(self.swept_at) < CALLER_IDLE_TIMEOUT {
            return;
        }
        self.swept_at = now;
        let is_active = |caller: &Caller| now.since(caller.seen_at) < CALLER_IDLE_TIMEOUT;
        self.callers.retain(|_, caller| caller.in_progress > 0 || is_active(caller));
    }
}
