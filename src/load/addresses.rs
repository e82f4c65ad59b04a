//! Fetches the addresses of nodes and caches them for the time that the node's reply allows.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::load::client;

/// Delay before the next attempt if no node returned addresses.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Cache of node addresses that expire.
#[derive(Debug)]
pub struct Cache {
    seeds: Vec<SocketAddr>,
    entry: Mutex<Entry>,
}

#[derive(Debug)]
struct Entry {
    addresses: Vec<SocketAddr>,
    expires: Instant,
}

impl Cache {
    /// Creates a cache that fetches the first addresses from the `seeds` nodes.
    ///
    /// ```
    /// use jacinthfall::load::addresses::Cache;
    /// let cache = Cache::new(vec!["127.0.0.1:1".parse().unwrap()]);
    /// assert_eq!(cache.seeds().len(), 1);
    /// ```
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Cache {
        let entry = Mutex::new(Entry { addresses: seeds.clone(), expires: Instant::now() });
        Cache { seeds, entry }
    }

    /// Returns the nodes that the cache was created with.
    #[must_use]
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Returns the addresses for a request, in the order to try them.
    ///
    /// The order rotates with the number of the request, because the tool simulates many
    /// callers that each have an order of their own.
    #[must_use]
    pub fn order(&self, number: usize) -> Vec<SocketAddr> {
        let mut addresses = self.current();
        let middle = number % addresses.len();
        addresses.rotate_left(middle);
        addresses
    }

    /// Returns the current addresses. The first thread that finds them expired fetches new
    /// ones.
    fn current(&self) -> Vec<SocketAddr> {
        let known = {
            let mut entry = self.entry.lock().unwrap_or_else(PoisonError::into_inner);
            if entry.expires > Instant::now() {
                return entry.addresses.clone();
            }
            // Other threads use the old addresses while this one fetches new ones.
            entry.expires = Instant::now() + RETRY_DELAY;
            entry.addresses.clone()
        };
        let Some(fresh) = self.fetch(&known) else { return known };
        let addresses = fresh.addresses.clone();
        *self.entry.lock().unwrap_or_else(PoisonError::into_inner) = fresh;
        addresses
    }

    fn fetch(&self, known: &[SocketAddr]) -> Option<Entry> {
        let asked = Instant::now();
        let answers = known.iter().chain(&self.seeds).map(|&node| client::addresses(node));
        let answer = answers.flatten().find(|answer| !answer.addresses.is_empty())?;
        let addresses = answer.addresses.iter().map(|node| node.address).collect();
        Some(Entry { addresses, expires: asked + answer.hold })
    }
}
