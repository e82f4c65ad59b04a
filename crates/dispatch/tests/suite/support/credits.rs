//! Credits for the parts that a shard takes at a time, granted by a node that is responsible for it.
//!
//! A design that load shedding is compared with: the responsible node bounds the parts of a shard that
//! are in flight from all nodes. The bound grows with each part that is answered in time, and shrinks
//! while parts are late.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_core::time::Time;

use jacinthfall_dispatch::overload::shortage::Shard;

/// Bound on the parts in flight before any was observed.
const INITIAL_LIMIT: f64 = 12.0;

/// Highest and lowest bound.
const MAX_LIMIT: f64 = 64.0;
const MIN_LIMIT: f64 = 1.0;

/// Factor on the bound when a part is late.
const DECREASE: f64 = 0.9;

/// Minimum time between two decreases, so that parts that were in flight together count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a credit that wasn't returned expires.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Credits of one shard.
#[derive(Debug)]
struct Account {
    limit: f64,
    /// When each credit that is in use expires, oldest first.
    granted: Vec<Time>,
    decreased: Time,
}

/// Credits of the shards that a node is responsible for.
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<Shard, Account>,
}

impl Ledger {
    fn account(&mut self, now: Time, shard: Shard) -> &mut Account {
        let open = || Account { limit: INITIAL_LIMIT, granted: Vec::new(), decreased: Time(0) };
        let account = self.accounts.entry(shard).or_insert_with(open);
        account.granted.retain(|expires| *expires > now);
        account
    }

    /// Grants credits for a query that needs `min_parts` of some shards. Returns `None`, and grants
    /// none, if too few are left, else the shards without a credit.
    pub fn grant(&mut self, now: Time, shards: &[Shard], min_parts: usize) -> Option<Vec<Shard>> {
        let is_full = |shard: &&Shard| {
            let account = self.account(now, **shard);
            account.granted.len() as f64 >= account.limit
        };
        let lacking: Vec<Shard> = shards.iter().filter(is_full).copied().collect();
        if shards.len() - lacking.len() < min_parts {
            return None;
        }
        for shard in shards.iter().filter(|shard| !lacking.contains(shard)) {
            self.account(now, *shard).granted.push(now + MAX_AGE);
        }
        Some(lacking)
    }

    /// Takes a credit back after the part was answered.
    pub fn take_back(&mut self, now: Time, shard: Shard, in_time: bool) {
        let account = self.account(now, shard);
        if !account.granted.is_empty() {
            account.granted.remove(0);
        }
        if in_time {
            account.limit = (account.limit + 1.0 / account.limit).min(MAX_LIMIT);
        } else if now.since(account.decreased) >= DECREASE_INTERVAL {
            account.limit = (account.limit * DECREASE).max(MIN_LIMIT);
            account.decreased = now;
        }
    }
}
