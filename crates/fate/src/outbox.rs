//! Queue of copies to one peer, with batching and resending.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthfall_core::time::Time;

use crate::table::Serial;

/// Maximum number of fates in one batch.
pub const MAX_BATCH_FATES: usize = 256;

/// Size at which a batch takes no further fate, in bytes of packed fates.
pub const MAX_BATCH_BYTES: usize = 256 << 10;

/// Maximum number of fates queued for one peer. The oldest are dropped first.
pub const MAX_QUEUED_FATES: usize = 65_536;

/// Time after which an unacknowledged batch is resent for the first time.
pub const INITIAL_RESEND_DELAY: Duration = Duration::from_millis(300);

/// Maximum time between two sends of a batch.
pub const MAX_RESEND_DELAY: Duration = Duration::from_secs(5);

/// A batch that was sent and is not acknowledged yet.
#[derive(Clone, Debug)]
struct Batch {
    number: u64,
    serials: Vec<Serial>,
    resend_at: Time,
    /// Delay before the next resend.
    backoff: Duration,
}

/// Bounded queue of copies for one incarnation of a peer, with at most one batch in
/// flight.
///
/// A batch is resent with exponential backoff for as long as the peer is live.
#[derive(Clone, Debug)]
pub struct Outbox {
    /// Start of the peer's incarnation that the copies are sent to.
    pub started: u64,
    queue: BTreeSet<Serial>,
    in_flight: Option<Batch>,
}

impl Outbox {
    /// Opens an empty outbox for the incarnation of a peer that began at `started`.
    #[must_use]
    pub fn open(started: u64) -> Outbox {
        Outbox { started, queue: BTreeSet::new(), in_flight: None }
    }

    /// Queues a copy. Returns whether the oldest one was dropped because the queue was
    /// full.
    pub fn push(&mut self, serial: Serial) -> bool {
        self.queue.insert(serial);
        if self.queue.len() <= MAX_QUEUED_FATES {
            return false;
        }
        self.queue.pop_first();
        true
    }

    /// Returns whether a full batch can be sent now.
    #[must_use]
    pub fn has_full_batch(&self) -> bool {
        self.in_flight.is_none() && self.queue.len() >= MAX_BATCH_FATES
    }

    /// Returns whether copies are queued and no batch is in flight.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.in_flight.is_none() && !self.queue.is_empty()
    }

    /// Returns the number of copies that are not acknowledged.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queue.len() + self.in_flight.as_ref().map_or(0, |batch| batch.serials.len())
    }

    /// Returns whether every copy was acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_none() && self.queue.is_empty()
    }

    /// Takes the next batch from the queue, oldest first, unless one is in flight.
    ///
    /// `size` returns the packed size of a fate, in bytes.
    pub fn start_batch(
        &mut self,
        now: Time,
        number: u64,
        size: impl Fn(Serial) -> usize,
    ) -> Option<&[Serial]> {
        if !self.is_ready() {
            return None;
        }
        let mut serials = Vec::new();
        let mut bytes = 0;
        while serials.len() < MAX_BATCH_FATES && bytes < MAX_BATCH_BYTES {
            let Some(serial) = self.queue.pop_first() else { break };
            serials.push(serial);
            bytes += size(serial);
        }
        let batch = Batch {
            number,
            serials,
            resend_at: now + INITIAL_RESEND_DELAY,
            backoff: INITIAL_RESEND_DELAY,
        };
        Some(&self.in_flight.insert(batch).serials)
    }

    /// Returns the number and the content of the batch in flight if it has to be
    /// resent now, and schedules the next resend.
    pub fn take_resend(&mut self, now: Time) -> Option<(u64, &[Serial])> {
        let batch = self.in_flight.as_mut().filter(|batch| batch.resend_at <= now)?;
        batch.backoff = (batch.backoff * 2).min(MAX_RESEND_DELAY);
        batch.resend_at = now + batch.backoff;
        Some((batch.number, &batch.serials))
    }

    /// Returns when the batch in flight has to be resent.
    #[must_use]
    pub fn resend_at(&self) -> Option<Time> {
        self.in_flight.as_ref().map(|batch| batch.resend_at)
    }

    /// Handles an acknowledgement. Returns whether it was for the batch in flight.
    pub fn acknowledge(&mut self, number: u64) -> bool {
        let expected = self.in_flight.as_ref().is_some_and(|batch| batch.number == number);
        if expected {
            self.in_flight = None;
        }
        expected
    }
}
