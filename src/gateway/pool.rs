//! Pool of connections to leafs, and how they are opened.
//!
//! Lock: the pool has one, for the connections of all leafs. It is held only to take out or put
//! back a connection, never while one is opened or closed.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_dispatch::attribution::Id;
use jacinthfall_dispatch::fleet::{Ending, Key};
use jacinthfall_net::stream;
use tokio::sync::Notify;

use super::connection::Sender;
use crate::util::lock::lock;

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle timeout of connections to leafs that don't state one.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Idle time after which a connection is closed if there is another idle one to the same
/// leaf. Leafs limit the connections of all nodes together, including those of nodes that
/// lost power.
const MAX_SURPLUS_IDLE: Duration = Duration::from_millis(1_000);

/// Time after connecting within which a leaf that has too many connections resets a new one.
const RESET_WINDOW: Duration = Duration::from_millis(4);

/// A connection that isn't in use.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    /// When it was last used.
    last_used: Time,
    /// When it must no longer be used.
    expires: Time,
}

impl Idle {
    fn is_usable(&self, now: Time) -> bool {
        self.expires > now && self.sender.is_ready()
    }
}

/// Connections to one leaf.
#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Idle>,
    /// Number of connections, idle ones included.
    open: usize,
    /// Notified when a connection becomes idle or is closed.
    released: Arc<Notify>,
}

/// Pool of the connections to all leafs.
#[derive(Debug, Default)]
pub struct Pool {
    leafs: Arc<Mutex<HashMap<Key, Connections>>>,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct Permit {
    leafs: Arc<Mutex<HashMap<Key, Connections>>>,
    key: Key,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut leafs = lock(&self.leafs);
        if let Some(connections) = leafs.get_mut(&self.key) {
            connections.open = connections.open.saturating_sub(1);
            connections.released.notify_one();
            if connections.open == 0 && connections.idle.is_empty() {
                leafs.remove(&self.key);
            }
        }
    }
}

impl Pool {
    /// Returns the number of connections to all leafs that are open or being opened.
    #[must_use]
    pub fn connections(&self) -> usize {
        lock(&self.leafs).values().map(|connections| connections.open).sum()
    }

    /// Whether there is any connection to a leaf.
    #[must_use]
    pub fn is_open(&self, key: Key) -> bool {
        lock(&self.leafs).get(&key).is_some_and(|connections| connections.open > 0)
    }

    /// Closes the idle connections to a leaf.
    pub fn close(&self, key: Key) {
        let mut leafs = lock(&self.leafs);
        let idle = leafs.get_mut(&key).map(|connections| std::mem::take(&mut connections.idle));
        if leafs.get(&key).is_some_and(|connections| connections.open == 0) {
            leafs.remove(&key);
        }
        drop(leafs);
        drop(idle);
    }

    /// Closes the idle connections that have expired, are surplus or were closed by the leaf.
    pub fn expire(&self, now: Time) {
        let mut expired = Vec::new();
        for connections in lock(&self.leafs).values_mut() {
            let newest = connections.idle.len().saturating_sub(1);
            let mut kept = Vec::with_capacity(connections.idle.len());
            for (position, idle) in std::mem::take(&mut connections.idle).into_iter().enumerate() {
                let surplus = position < newest && now.since(idle.last_used) > MAX_SURPLUS_IDLE;
                if surplus || idle.expires <= now || idle.sender.is_closed() {
                    expired.push(idle);
                } else {
                    kept.push(idle);
                }
            }
            connections.idle = kept;
        }
        drop(expired);
    }

    /// Takes the most recently used idle connection to a leaf that may carry a request, if there
    /// is one.
    pub fn pop_idle(&self, key: Key, now: Time, id: Id) -> Option<Sender> {
        let mut leafs = lock(&self.leafs);
        let idle = &mut leafs.get_mut(&key)?.idle;
        for position in (0..idle.len()).rev() {
            if !idle[position].is_usable(now) {
                idle.remove(position);
            } else if idle[position].sender.may_carry(now, id) {
                return Some(idle.remove(position).sender);
            }
        }
        None
    }

    /// Closes the idle connection to a leaf that was used longest ago, so that another one can be
    /// opened.
    pub fn close_oldest(&self, key: Key) {
        let mut leafs = lock(&self.leafs);
        let Some(connections) = leafs.get_mut(&key) else { return };
        if !connections.idle.is_empty() {
            connections.idle.remove(0);
        }
    }

    /// Reserves a new connection to a leaf, unless `limit` connections to it are open.
    pub fn reserve(&self, key: Key, limit: usize) -> Option<Permit> {
        let mut leafs = lock(&self.leafs);
        let connections = leafs.entry(key).or_default();
        if connections.open >= limit {
            return None;
        }
        connections.open += 1;
        Some(Permit { leafs: Arc::clone(&self.leafs), key })
    }

    /// Returns a connection to the pool, for `idle` at most.
    pub fn put_idle(&self, key: Key, sender: Sender, now: Time, idle: Duration) {
        let mut leafs = lock(&self.leafs);
        if let Some(connections) = leafs.get_mut(&key) {
            connections.idle.push(Idle { sender, last_used: now, expires: now + idle });
            connections.released.notify_one();
        }
    }

    /// Returns what is notified when a connection to a leaf becomes idle or is closed.
    pub fn released(&self, key: Key) -> Arc<Notify> {
        Arc::clone(&lock(&self.leafs).entry(key).or_default().released)
    }
}

/// Why a leaf didn't accept a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// Nothing listens at its address, though the VM answers.
    Refused,
    /// It could not be reached.
    Unreachable,
    /// It accepts no more connections.
    Crowded,
}

impl DialError {
    /// Returns how a send ends that needed the connection.
    #[must_use]
    pub const fn ending(self) -> Ending {
        match self {
            DialError::Refused | DialError::Unreachable => Ending::Unreachable,
            DialError::Crowded => Ending::Crowded,
        }
    }
}

/// Opens a connection, or returns why the leaf didn't accept one.
pub async fn dial(address: SocketAddr, permit: Permit) -> Result<Sender, DialError> {
    let sender = connect(address, permit).await.map_err(|error| {
        log::debug!("can't connect to the leaf at {address}: {error}");
        let error = error.downcast_ref::<io::Error>();
        match error.map(io::Error::kind) {
            Some(io::ErrorKind::ConnectionRefused) => DialError::Refused,
            _ => DialError::Unreachable,
        }
    })?;
    tokio::time::sleep(RESET_WINDOW).await;
    if sender.is_closed() { Err(DialError::Crowded) } else { Ok(sender) }
}

async fn connect(
    address: SocketAddr,
    permit: Permit,
) -> Result<Sender, Box<dyn std::error::Error + Send + Sync>> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, stream::connect(address)).await??;
    Ok(Sender::open(stream, permit).await?)
}
