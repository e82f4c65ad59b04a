//! Keeps a node's entry in the platform's store, under a lease.

use std::time::Duration;

use bytes::Bytes;
use jacinthfall_adapter::store::{Client, Error, Put};
use jacinthfall_core::id;
use rand::Rng;

/// Time for which an entry lasts without renewal.
const LEASE: Duration = Duration::from_secs(10);

/// Time between two renewals.
const RENEWAL: Duration = Duration::from_millis(4_000);

/// Shortest pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Pauses that grow with each failure in a row, with some randomness so that nodes
/// don't come back together.
#[derive(Debug)]
pub struct Backoff(Duration);

impl Backoff {
    /// Opens a backoff without any failure.
    #[must_use]
    pub fn open() -> Backoff {
        Backoff(FIRST_PAUSE)
    }

    /// Pauses after a failure.
    pub async fn pause(&mut self) {
        let pause = self.0.mul_f64(rand::rng().random_range(0.7..1.3));
        self.0 = (self.0 * 2).min(MAX_PAUSE);
        tokio::time::sleep(pause).await;
    }

    /// Notes a success.
    pub fn reset(&mut self) {
        self.0 = FIRST_PAUSE;
    }
}

/// An entry of this node in the store.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Key.
    pub key: id::Name,
    /// Value.
    pub value: Bytes,
}

/// Keeps an entry in the store, for as long as the future is polled. `note` hears what
/// was called, and how that ended.
pub async fn keep(
    client: Client,
    entry: Entry,
    mut note: impl FnMut(&'static str, &Result<(), Error>),
) {
    let mut backoff = Backoff::open();
    let mut lease = None;
    loop {
        let (call, result) = match lease {
            None => {
                let granted = enroll(&client, &entry).await;
                ("enroll", granted.map(|granted| lease = Some(granted)))
            }
            Some(lease) => ("renew", client.renew(lease).await),
        };
        note(call, &result);
        match result {
            Ok(()) => {
                backoff.reset();
                tokio::time::sleep(RENEWAL).await;
            }
            Err(Error::LeaseEnded) => {
                log::info!("event=registration_ended key={}", entry.key);
                lease = None;
            }
            Err(_) => {
                client.reset();
                backoff.pause().await;
            }
        }
    }
}

/// Takes a lease and writes the entry under it.
async fn enroll(client: &Client, entry: &Entry) -> Result<u64, Error> {
    let lease = client.grant(LEASE).await?;
    let put = Put { key: entry.key.clone(), value: entry.value.clone(), lease };
    client.commit(&[], &[put], &[]).await?;
    Ok(lease)
}
