//! Spreads the timeouts of callers' first attempts over the nodes.
//!
//! In a large deployment a node gets few requests of a route, so it relies on what the others
//! have observed. A row is sent on to a few random nodes when it is new here, a limited number
//! of times, and all rows to a node that starts. A row that no node confirms any more expires.

use std::collections::btree_map::Range;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthfall_core::hash;
use jacinthfall_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::evacuation;
use crate::overload::shortage;
use crate::quarantine;
use crate::quota;
use crate::roster::Heartbeat;

/// Age from which on a row is observed and spread anew.
const REFRESH_AGE: Duration = Duration::from_secs(30 * 60);

/// Age at which a row expires.
const MAX_AGE: Duration = Duration::from_secs(60 * 60);

/// Number of messages in which this node spreads a row.
const ROUNDS: u8 = 4;

/// Maximum number of rows in one message.
const MAX_MESSAGE_ROWS: usize = 32;

/// Maximum number of rows about one route; the oldest one is replaced.
const MAX_ROUTE_ROWS: usize = 4;

/// Difference up to which two timeouts are taken for the same, for the rounding by callers.
const ROUNDING_MS: u32 = 2;

/// Maximum number of rows.
const MAX_ROWS: usize = 40_000;

/// Identifies a route: a digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Route(u64);

impl Route {
    /// Returns the identifier of the route with a name.
    #[must_use]
    pub fn of(name: &str) -> Route {
        Route(hash::digest(name.as_bytes()))
    }
}

/// A timeout that first attempts of a route carry, in the form that nodes exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Route that was called.
    pub route: Route,
    /// Timeout of first attempts, in milliseconds.
    pub timeout_ms: u32,
    /// Time since a node observed it, in seconds.
    pub age_s: u32,
}

/// A datagram to another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// State of the sender.
    Heartbeat(Heartbeat),
    /// Rows that are new to the sender.
    Gossip(Vec<Row>),
    /// Crashes of leafs, and answers, that are new to the sender.
    Quarantine(Vec<quarantine::Row>),
    /// What the sender wants of organisations' quotas.
    QuotaAsk(quota::Ask),
    /// What the sender grants.
    QuotaReply(quota::Reply),
    /// Evacuated zones.
    Evacuation(evacuation::Statement),
    /// Shards that are short of room, as seen by the sender.
    Shortage(shortage::Report),
}

/// Key of a row: the route and the timeout, in milliseconds.
type Key = (Route, u32);

/// The rows that this node knows.
#[derive(Debug, Default)]
pub struct Table {
    /// When each row expires.
    rows: BTreeMap<Key, Time>,
    /// Rows that are to be spread, with the remaining number of messages.
    pending: VecDeque<(Key, u8)>,
}

impl Table {
    /// Records a timeout that this node has observed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::gossip::{Route, Table};
    /// let (route, timeout) = (Route::of("search"), Duration::from_millis(600));
    /// let (mut here, mut there) = (Table::default(), Table::default());
    /// here.observe(Time(0), route, timeout);
    /// here.next_message(Time(0)).iter().for_each(|row| there.merge(Time(0), row));
    /// assert_eq!(there.timeouts(Time(0), route), [timeout]);
    /// ```
    pub fn observe(&mut self, now: Time, route: Route, timeout: Duration) {
        let Ok(timeout_ms) = u32::try_from(timeout.as_millis()) else { return };
        let key = self.known_key(route, timeout_ms);
        let known = self.rows.get(&key);
        if known.is_none_or(|expires| age(now, *expires) >= REFRESH_AGE) {
            self.insert(now, key, now + MAX_AGE);
        }
    }

    /// Adds a row that another node has sent. It is sent on only if it is news here.
    pub fn merge(&mut self, now: Time, row: &Row) {
        let left = MAX_AGE.saturating_sub(Duration::from_secs(row.age_s.into()));
        if left.is_zero() {
            return;
        }
        let key = self.known_key(row.route, row.timeout_ms);
        let expires = now + left;
        let known = self.rows.get(&key);
        if known.is_none_or(|known| expires.since(*known) >= REFRESH_AGE / 2) {
            self.insert(now, key, expires);
        }
    }

    /// Returns the key of a known row that differs by rounding only, else that of a new one.
    fn known_key(&self, route: Route, timeout_ms: u32) -> Key {
        let low = timeout_ms.saturating_sub(ROUNDING_MS);
        let high = timeout_ms.saturating_add(ROUNDING_MS);
        let known = self.rows.range((route, low)..=(route, high)).next();
        known.map_or((route, timeout_ms), |(key, _)| *key)
    }

    fn insert(&mut self, now: Time, key: Key, expires: Time) {
        if !self.rows.contains_key(&key) {
            if self.rows.len() >= MAX_ROWS {
                self.rows.retain(|_, expires| *expires > now);
            }
            if self.rows.len() >= MAX_ROWS {
                return;
            }
            self.make_room(key.0);
        }
        self.rows.insert(key, expires);
        self.pending.push_back((key, ROUNDS));
    }

    /// Removes the row about a route that expires first if there are [`MAX_ROUTE_ROWS`].
    fn make_room(&mut self, route: Route) {
        let rows = self.route_rows(route);
        if rows.clone().count() >= MAX_ROUTE_ROWS
            && let Some((oldest, _)) = rows.min_by_key(|(_, expires)| **expires)
        {
            let oldest = *oldest;
            self.rows.remove(&oldest);
        }
    }

    fn route_rows(&self, route: Route) -> Range<'_, Key, Time> {
        self.rows.range((route, 0)..=(route, u32::MAX))
    }

    /// Returns the timeouts of first attempts of a route that nodes have observed lately.
    #[must_use]
    pub fn timeouts(&self, now: Time, route: Route) -> Vec<Duration> {
        let recent = self.route_rows(route).filter(|(_, expires)| **expires > now);
        recent.map(|((_, timeout_ms), _)| Duration::from_millis((*timeout_ms).into())).collect()
    }

    /// Returns the rows of the next message to other nodes.
    pub fn next_message(&mut self, now: Time) -> Vec<Row> {
        let mut rows = Vec::new();
        for _ in 0..self.pending.len().min(MAX_MESSAGE_ROWS) {
            let Some((key, rounds)) = self.pending.pop_front() else { break };
            let Some(expires) = self.rows.get(&key) else { continue };
            rows.push(row(now, key, *expires));
            if rounds > 1 {
                self.pending.push_back((key, rounds - 1));
            }
        }
        rows
    }

    /// Returns all rows, for a node that starts.
    #[must_use]
    pub fn all(&self, now: Time) -> Vec<Row> {
        self.rows.iter().map(|(key, expires)| row(now, *key, *expires)).collect()
    }
}

/// Returns the time since a row was observed.
fn age(now: Time, expires: Time) -> Duration {
    MAX_AGE.saturating_sub(expires.since(now))
}

fn row(now: Time, (route, timeout_ms): Key, expires: Time) -> Row {
    let age_s = u32::try_from(age(now, expires).as_secs()).unwrap_or(u32::MAX);
    Row { route, timeout_ms, age_s }
}
