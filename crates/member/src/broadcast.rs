//! Queue of changed nodes whose rumors this node has to pass on, with a bounded
//! number of retransmissions.

use std::collections::BTreeMap;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;

use crate::{BROADCAST_INTERVAL, ring};

/// Maximum number of rumors in one broadcast.
pub(crate) const MAX_RUMORS_PER_FRAME: usize = 32;

/// Maximum number of rumors piggybacked on one ping or reply.
const MAX_PIGGYBACKED_RUMORS: usize = 6;

/// Nodes whose rumors have to be passed on. Each rumor is broadcast to all
/// neighbours at once and then piggybacked on a few pings, in case a frame is lost.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// Not broadcast yet, with the peer that sent the rumor and needs no copy.
    pending: BTreeMap<id::Name, Option<id::Name>>,
    /// Broadcast, with the number of piggybacked sends left.
    sent: BTreeMap<id::Name, usize>,
    /// Earliest time of the next broadcast.
    next: Time,
}

impl Queue {
    /// Queues the rumor about a node. `from` is the peer that sent it, if any.
    pub(crate) fn add(&mut self, node: id::Name, from: Option<id::Name>) {
        self.sent.remove(&node);
        self.pending.insert(node, from);
    }

    /// Allows the next broadcast at once.
    pub(crate) fn expedite(&mut self, now: Time) {
        self.next = now;
    }

    /// Returns the time of the next broadcast, if one is pending.
    pub(crate) fn next_due(&self) -> Option<Time> {
        (!self.pending.is_empty()).then_some(self.next)
    }

    /// Removes and returns the nodes to broadcast now, with the peer that sent each
    /// rumor.
    pub(crate) fn take_pending(&mut self, now: Time) -> Vec<(id::Name, Option<id::Name>)> {
        if self.pending.is_empty() || now < self.next {
            return Vec::new();
        }
        self.next = now + BROADCAST_INTERVAL;
        let mut taken = Vec::new();
        while taken.len() < MAX_RUMORS_PER_FRAME {
            let Some((node, from)) = self.pending.pop_first() else { break };
            self.sent.insert(node.clone(), ring::MAX_NEIGHBOURS);
            taken.push((node, from));
        }
        taken
    }

    /// Returns nodes whose rumors are piggybacked on a ping or reply, and counts the
    /// send.
    pub(crate) fn take_piggybacked(&mut self) -> Vec<id::Name> {
        let piggybacked: Vec<_> = self.sent.keys().take(MAX_PIGGYBACKED_RUMORS).cloned().collect();
        for node in &piggybacked {
            let left = self.sent.remove(node).unwrap_or_default();
            if left > 1 {
                self.sent.insert(node.clone(), left - 1);
            }
        }
        piggybacked
    }
}
