//! Pings to neighbours, indirect probes through other nodes, and pings that try to
//! contact lost nodes again.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_wire::member::{Message, Rumor, State};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::{Engine, Relays, ring};

/// Time after which a node that did not reply to a ping is probed indirectly.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time from the ping until a node that no probe reached is suspected.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of nodes that are asked to probe a node indirectly.
const INDIRECT_PROBES: usize = 3;

/// Number of ticks between two pings to lost nodes. A node without live peers pings
/// one in every tick.
const LOST_PING_TICKS: u64 = 4;

/// A ping that has no reply yet.
#[derive(Debug)]
struct Probe {
    sent: Time,
    /// Whether indirect probes were requested.
    indirect: bool,
}

/// A probe made on behalf of another node, `origin`.
#[derive(Debug)]
pub(crate) struct Relay {
    origin: id::Name,
    probe: u64,
    sent: Time,
}

/// Pings that have no reply yet.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    open: BTreeMap<id::Name, Probe>,
    relays: Relays,
    last_id: u64,
    neighbour_index: usize,
}

impl Probes {
    /// Returns a state without open probes whose probe ids continue those of
    /// `earlier`.
    pub(crate) fn reset(earlier: &Probes) -> Probes {
        Probes {
            last_id: earlier.last_id,
            neighbour_index: earlier.neighbour_index,
            ..Probes::default()
        }
    }

    /// Returns a new probe id.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

impl Engine {
    /// Pings the next neighbour in turn.
    pub(crate) fn ping_neighbour(&mut self, now: Time) {
        let count = self.neighbours.len();
        if count == 0 {
            return;
        }
        self.probes.neighbour_index = (self.probes.neighbour_index + 1) % count;
        let node = self.neighbours[self.probes.neighbour_index].clone();
        self.ping(&node, now);
    }

    /// Pings a node and waits for its reply.
    pub(crate) fn ping(&mut self, node: &id::Name, now: Time) {
        self.probes.open.entry(node.clone()).or_insert(Probe { sent: now, indirect: false });
        let probe = self.probes.next_id();
        let rumors = self.piggybacked();
        self.send(node, Message::Ping { probe, rumors });
    }

    /// Pings a random lost node, so that network partitions merge again.
    pub(crate) fn ping_lost_periodically(&mut self) {
        let is_alone = self.table.counts().alive == 1;
        if !is_alone && !self.ticks.is_multiple_of(LOST_PING_TICKS) {
            return;
        }
        self.ping_lost_nodes(1);
    }

    /// Pings up to `count` random lost nodes: those that are suspect, or dead but still
    /// in the VM list.
    pub(crate) fn ping_lost_nodes(&mut self, count: usize) {
        let lost = self.table.iter().filter(|(_, entry)| match entry.rumor.state {
            State::Suspect => true,
            State::Dead => entry.listed,
            State::Alive | State::Leaving => false,
        });
        let lost = lost.map(|(name, _)| name.clone()).choose_multiple(&mut self.rng, count);
        for node in lost {
            self.ping_with_rumors(&node);
        }
    }

    /// Pings a node with the rumor about this node, so that the receiver can reply,
    /// and any rumor about the receiver that it should refute.
    fn ping_with_rumors(&mut self, node: &id::Name) {
        let mut rumors = vec![self.own_rumor()];
        rumors.extend(self.rumor_to_refute(node));
        let probe = self.probes.next_id();
        self.send(node, Message::Ping { probe, rumors });
    }

    /// Returns the announced rumor that a node has to refute, if there is one.
    pub(crate) fn rumor_to_refute(&self, node: &id::Name) -> Option<Rumor> {
        let entry = self.table.get(node)?;
        let is_refutable = matches!(entry.rumor.state, State::Suspect | State::Dead);
        (is_refutable && entry.rumor.node.started > 0 && !entry.unannounced)
            .then(|| entry.rumor.clone())
    }

    /// Requests indirect probes for pings that have no reply after [`PING_TIMEOUT`],
    /// and suspects nodes that no probe reached within [`PROBE_TIMEOUT`].
    pub(crate) fn expire_probes(&mut self, now: Time) {
        self.probes.relays.retain(|_, relay| now.since(relay.sent) < PROBE_TIMEOUT);
        let timed_out = |probe: &Probe| now.since(probe.sent) >= PROBE_TIMEOUT;
        let silent = self.probes.open.iter().filter(|(_, probe)| timed_out(probe));
        let silent: Vec<_> = silent.map(|(node, _)| node.clone()).collect();
        for node in silent {
            self.probes.open.remove(&node);
            self.suspect(&node, now);
        }
        let late = |probe: &Probe| !probe.indirect && now.since(probe.sent) >= PING_TIMEOUT;
        let mut unanswered = Vec::new();
        for (node, probe) in self.probes.open.iter_mut().filter(|(_, probe)| late(probe)) {
            probe.indirect = true;
            unanswered.push(node.clone());
        }
        for node in unanswered {
            self.probe_indirectly(&node);
        }
    }

    /// Asks some neighbours to ping a node.
    fn probe_indirectly(&mut self, node: &id::Name) {
        let Some(address) = self.table.get(node).map(|entry| entry.rumor.peer_address) else {
            return;
        };
        let others = self.neighbours.iter().filter(|other| *other != node);
        let relays = others.cloned().choose_multiple(&mut self.rng, INDIRECT_PROBES);
        for relay in relays {
            let probe = self.probes.next_id();
            self.send(&relay, Message::IndirectPing { probe, node: node.clone(), address });
        }
    }

    /// Pings `node` on behalf of `origin`.
    pub(crate) fn relay_probe(
        &mut self,
        origin: &id::Name,
        probe: u64,
        node: &id::Name,
        now: Time,
    ) {
        if self.table.get(node).is_none() || *node == self.own.node {
            return;
        }
        let ping_id = self.probes.next_id();
        let relay = Relay { origin: origin.clone(), probe, sent: now };
        if self.probes.relays.len() < ring::MAX_NEIGHBOURS * ring::MAX_NEIGHBOURS {
            self.probes.relays.insert(ping_id, relay);
        }
        self.send(node, Message::Ping { probe: ping_id, rumors: Vec::new() });
    }

    /// Forwards the reply to a relayed ping to the node that requested it.
    pub(crate) fn handle_ack(&mut self, node: &id::Name, probe: u64) {
        if let Some(relay) = self.probes.relays.remove(&probe) {
            let message = Message::IndirectAck { probe: relay.probe, node: node.clone() };
            self.send(&relay.origin, message);
        }
    }

    /// Closes the probe of a node that proved to be alive.
    pub(crate) fn close_probe(&mut self, node: &id::Name) {
        self.probes.open.remove(node);
    }

    /// Returns a random node that takes part in gossip, other than this one.
    pub(crate) fn random_peer(&mut self) -> Option<id::Name> {
        let own = &self.own.node;
        let peers = self.table.iter().filter(|(name, entry)| entry.is_active() && *name != own);
        peers.map(|(name, _)| name.clone()).choose(&mut self.rng)
    }

    /// Returns true with a probability of one in `n`.
    pub(crate) fn one_in(&mut self, n: u32) -> bool {
        self.rng.random_ratio(1, n)
    }
}
