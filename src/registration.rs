//! Keeps a node's entry in the platform's store, under a lease that it renews.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jacinthfall_adapter::store::{Client, Error, Lease, Put};
use jacinthfall_core::id;
use rand::Rng;
use tokio::sync::Notify;

/// Time after the last renewal at which the lease expires and the entry is removed.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// Interval between two renewals; two fit into `LEASE_TTL`.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(4_000);

/// Maximum pause before a node registers again after the store has lost its entry, so that the
/// nodes don't all do so at once.
const RESTORE_SPREAD: Duration = Duration::from_secs(2);

/// Mean pause after the first failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Maximum mean pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Exponential backoff with jitter, so that nodes don't all retry at the same time.
#[derive(Debug)]
pub struct Backoff(Duration);

impl Backoff {
    /// Creates a backoff in the state before any failure.
    #[must_use]
    pub fn open() -> Backoff {
        Backoff(FIRST_PAUSE)
    }

    /// Waits after a failure, and doubles the next pause up to `MAX_PAUSE`.
    pub async fn pause(&mut self) {
        let pause = self.0.mul_f64(rand::rng().random_range(0.7..1.3));
        self.0 = (self.0 * 2).min(MAX_PAUSE);
        tokio::time::sleep(pause).await;
    }

    /// Resets the pause after a success.
    pub fn reset(&mut self) {
        self.0 = FIRST_PAUSE;
    }
}

/// An entry that a node writes to the store.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Key of the entry.
    pub key: id::Name,
    /// Value of the entry.
    pub value: Bytes,
}

/// Keeps an entry in the store until the future is dropped. The lease is renewed at once when `due`
/// is notified. `on_result` receives the name and the result of each call.
pub async fn keep(
    client: Client,
    entry: Entry,
    due: Arc<Notify>,
    mut on_result: impl FnMut(&'static str, &Result<(), Error>),
) {
    let mut backoff = Backoff::open();
    let mut lease = None;
    loop {
        let (call, result) = match lease {
            None => {
                let registered = register(&client, &entry).await;
                ("enroll", registered.map(|granted| lease = Some(granted)))
            }
            Some(lease) => ("renew", client.renew(lease).await),
        };
        on_result(call, &result);
        match result {
            Ok(()) => {
                backoff.reset();
                let _ = tokio::time::timeout(RENEWAL_INTERVAL, due.notified()).await;
            }
            Err(Error::LeaseEnded) => {
                log::info!("event=registration_ended key={} reason=lease", entry.key);
                lease = None;
            }
            Err(Error::Restored) => {
                log::info!("event=registration_ended key={} reason=restore", entry.key);
                lease = None;
                let pause = RESTORE_SPREAD.mul_f64(rand::rng().random());
                tokio::time::sleep(pause).await;
            }
            Err(_) => {
                client.reset();
                backoff.pause().await;
            }
        }
    }
}

/// Obtains a lease, writes the entry under it and returns the lease.
async fn register(client: &Client, entry: &Entry) -> Result<Lease, Error> {
    let lease = client.grant(LEASE_TTL).await?;
    let put = Put { key: entry.key.clone(), value: entry.value.clone(), lease: lease.number };
    let written = client.commit(&[], &[put], &[]).await?;
    // After a restore, the number may stand for the lease of another node.
    if written.era == lease.era { Ok(lease) } else { Err(Error::Restored) }
}
