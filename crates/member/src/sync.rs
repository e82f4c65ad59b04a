//! Anti-entropy: periodic comparison of memberships, which repairs lost updates.
//!
//! A node sends a digest. If the receiver differs, it replies with what it knows of
//! the differing buckets, and the sender replies with the same.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_wire::member::{Message, Observation, Rumor, State};

use crate::Engine;
use crate::table::{retracts_suspicion, supersedes};

/// Number of ticks between two comparisons.
const SYNC_TICKS: u64 = 40;

/// On average, one comparison in this many is with a random node instead of a
/// neighbour.
const SYNCS_PER_RANDOM_PEER: u32 = 6;

/// Minimum time after a comparison before one with a newly contacted or unknown node.
const CONTACT_SYNC_INTERVAL: Duration = Duration::from_secs(1);

impl Engine {
    /// Starts the periodic comparison.
    pub(crate) fn sync_periodically(&mut self, now: Time) {
        if !self.ticks.is_multiple_of(SYNC_TICKS) {
            return;
        }
        let round = usize::try_from(self.ticks / SYNC_TICKS).unwrap_or_default();
        let peer = match self.neighbours.len() {
            0 => None,
            _ if self.one_in(SYNCS_PER_RANDOM_PEER) => self.random_peer(),
            count => Some(self.neighbours[round % count].clone()),
        };
        if let Some(peer) = peer {
            self.sync(&peer, now);
        }
    }

    /// Starts a comparison with a node that was lost or unknown until now.
    pub(crate) fn sync_on_contact(&mut self, peer: &id::Name, now: Time) {
        if now >= self.next_sync {
            self.new_contact = Some(peer.clone());
            self.sync(peer, now);
        }
    }

    /// Starts a comparison with a node that sends frames without a rumor about
    /// itself. The rate is limited, so that two nodes can't reply to each other
    /// endlessly.
    pub(crate) fn sync_with_unknown(&mut self, peer: &id::Name, now: Time) {
        if now >= self.next_sync {
            self.sync(peer, now);
        }
    }

    /// Starts a comparison by sending the digest.
    fn sync(&mut self, peer: &id::Name, now: Time) {
        self.next_sync = now + CONTACT_SYNC_INTERVAL;
        let buckets = self.table.digest();
        self.send(peer, Message::Digest { buckets });
    }

    /// Replies to a digest if the memberships differ.
    pub(crate) fn answer_digest(&mut self, peer: &id::Name, digest: &[u64], now: Time) {
        let buckets = self.table.differing_buckets(digest);
        let Ok(count) = u32::try_from(digest.len()) else { return };
        if buckets.is_empty() {
            return;
        }
        let observations = self.table.in_buckets(count, &buckets, now);
        self.send(peer, Message::Diff { count, buckets, observations });
    }

    /// Replies with the nodes in the differing buckets, which completes a comparison.
    pub(crate) fn finish_sync(&mut self, peer: &id::Name, count: u32, buckets: &[u32], now: Time) {
        let observations = self.table.in_buckets(count, buckets, now);
        self.send(peer, Message::Sync { observations });
    }

    /// Adopts the entries of a peer that are newer than those of this node.
    ///
    /// After lost updates or a network partition, a node may be alive on one side
    /// and suspect on the other, in the same incarnation and sequence. Then the later
    /// evidence counts. A newly contacted peer has evidence from its side of the
    /// partition, so the nodes that it considers alive count as alive from now.
    pub(crate) fn merge(&mut self, observations: &[Observation], from: &id::Name, now: Time) {
        let is_new_contact = self.new_contact.take_if(|peer| peer == from).is_some();
        for Observation { rumor, age_ms } in observations {
            let alive_now = is_new_contact && rumor.state == State::Alive;
            let age = if alive_now { Duration::ZERO } else { Duration::from_millis(*age_ms) };
            self.merge_one(rumor, age, from, now);
        }
    }

    /// Adopts one entry of a peer. `age` is the age of its evidence.
    fn merge_one(&mut self, rumor: &Rumor, age: Duration, from: &id::Name, now: Time) {
        let Some(entry) = self.table.get(&rumor.node.node) else {
            return self.adopt(rumor.clone(), from, now);
        };
        let evidence = now - age;
        let later = evidence > entry.since;
        let adds_suspicion = retracts_suspicion(&entry.rumor, rumor);
        if retracts_suspicion(rumor, &entry.rumor) && later {
            self.table.insert(rumor.clone(), evidence);
            self.changed = true;
        } else if supersedes(rumor, &entry.rumor) && (later || !adds_suspicion) {
            self.adopt(rumor.clone(), from, now);
            self.table.backdate(&rumor.node.node, evidence);
        }
    }
}
