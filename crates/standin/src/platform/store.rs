//! Key-value store with transactions, leases and a history that can be compacted.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use jacinthfall_adapter::message::Condition;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;

/// Largest number of keys in one page.
pub const MAX_PAGE_KEYS: usize = 500;

/// Largest number of changes in the history.
const MAX_HISTORY: usize = 50_000;

/// Current state of a key, or a tombstone for its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: id::Name,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision at which the key was created.
    pub created: u64,
    /// Lease whose end removes the key; 0 for none.
    pub lease: u64,
}

/// A key to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Key.
    pub key: id::Name,
    /// Value.
    pub value: Bytes,
    /// Lease whose end removes the key; 0 for none.
    pub lease: u64,
}

/// Writes and removals that take effect atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub remove: Vec<id::Name>,
}

/// Why a transaction had no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// A condition does not hold; holds the present items of the keys of all conditions.
    Conflict(Vec<Item>),
    /// A lease does not exist or has ended.
    NoLease,
}

/// Error: the history after the given revision was compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted;

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires: Time,
}

/// The store. Its revision counts all changes.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: u64,
    items: BTreeMap<id::Name, Item>,
    history: VecDeque<Item>,
    /// Last revision whose change is no longer in the history.
    compacted_through: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl Store {
    /// Revision of the last change, 0 before the first.
    ///
    /// ```
    /// assert_eq!(jacinthfall_standin::platform::store::Store::default().revision(), 0);
    /// ```
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads one key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns a page of the keys with `prefix` that sort after `after`, and whether more follow.
    #[must_use]
    pub fn range(&self, prefix: &str, after: &str) -> (Vec<Item>, bool) {
        let matches = |(key, _): &(&id::Name, &Item)| key.starts_with(prefix) && &***key > after;
        let mut items: Vec<Item> = self
            .items
            .iter()
            .filter(matches)
            .take(MAX_PAGE_KEYS + 1)
            .map(|(_, i)| i.clone())
            .collect();
        let more = items.len() > MAX_PAGE_KEYS;
        items.truncate(MAX_PAGE_KEYS);
        (items, more)
    }

    /// Returns the changes after revision `after` of keys with `prefix`.
    ///
    /// # Errors
    ///
    /// [`Compacted`] if some of them are no longer in the history, or if the store has not reached
    /// that revision.
    pub fn changes(&self, prefix: &str, after: u64) -> Result<Vec<Item>, Compacted> {
        if after < self.compacted_through || after > self.revision {
            return Err(Compacted);
        }
        let later = self.history.iter().filter(|item| item.revision > after);
        Ok(later.filter(|item| item.key.starts_with(prefix)).cloned().collect())
    }

    /// Applies a transaction if all its conditions hold, and returns the new revision.
    ///
    /// # Errors
    ///
    /// Any [`Rejection`]; the store is then unchanged.
    ///
    /// ```
    /// use jacinthfall_adapter::message::Condition;
    /// use jacinthfall_standin::platform::store::{Put, Store, Transaction};
    /// let mut store = Store::default();
    /// let transaction = Transaction {
    ///     conditions: vec![Condition { key: "k".into(), revision: 0 }],
    ///     puts: vec![Put { key: "k".into(), value: "v".into(), lease: 0 }],
    ///     remove: Vec::new(),
    /// };
    /// assert_eq!(store.commit(&transaction), Ok(1));
    /// assert!(store.commit(&transaction).is_err(), "the key is no longer absent");
    /// ```
    pub fn commit(&mut self, transaction: &Transaction) -> Result<u64, Rejection> {
        let revision = |key: &id::Name| self.items.get(key).map_or(0, |item| item.revision);
        let conditions = &transaction.conditions;
        if conditions.iter().any(|condition| revision(&condition.key) != condition.revision) {
            let present = conditions.iter().filter_map(|c| self.items.get(&c.key).cloned());
            return Err(Rejection::Conflict(present.collect()));
        }
        let ended = |put: &Put| put.lease != 0 && !self.leases.contains_key(&put.lease);
        if transaction.puts.iter().any(ended) {
            return Err(Rejection::NoLease);
        }
        self.revision += 1;
        for put in &transaction.puts {
            self.write(&put.key, Some(put.value.clone()), put.lease);
        }
        for key in &transaction.remove {
            self.remove(key);
        }
        Ok(self.revision)
    }

    /// Writes or removes a key unconditionally.
    pub fn put(&mut self, key: &id::Name, value: Option<Bytes>) {
        self.revision += 1;
        match value {
            Some(value) => self.write(key, Some(value), 0),
            None => self.remove(key),
        }
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, now: Time, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires: now + ttl });
        self.last_lease
    }

    /// Renews a lease and returns its time to live; `None` if it has ended.
    pub fn renew(&mut self, now: Time, lease: u64) -> Option<Duration> {
        let lease = self.leases.get_mut(&lease)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and removes its keys; `false` if it had already ended.
    pub fn revoke(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let leased = self.items.values().filter(|item| item.lease == lease);
        let keys: Vec<id::Name> = leased.map(|item| item.key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }

    /// Ends the leases that have expired at `now`.
    pub fn expire_leases(&mut self, now: Time) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        for lease in expired.map(|(lease, _)| *lease).collect::<Vec<_>>() {
            self.revoke(lease);
        }
    }

    /// Drops the whole history.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_through = self.revision;
    }

    fn remove(&mut self, key: &id::Name) {
        if self.items.contains_key(key) {
            self.write(key, None, 0);
        }
    }

    /// Applies a change and appends it to the history, at the current revision.
    fn write(&mut self, key: &id::Name, value: Option<Bytes>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { key: key.clone(), value, revision, created, lease };
        if item.value.is_some() {
            self.items.insert(key.clone(), item.clone());
        } else {
            self.items.remove(key);
        }
        self.history.push_back(item);
        if self.history.len() > MAX_HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_through = oldest.revision;
        }
    }
}
