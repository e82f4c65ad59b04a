//! Membership of nodes by heartbeat, and the nodes that callers may use.
//!
//! Each node sends heartbeats to the others: to all of them in a small deployment, else to
//! a fixed set of its own zone and a random sample. Nodes also register in the store. `addresses`
//! selects the nodes for callers.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::reach::Loss;
use crate::transfer::Rank;

mod addresses;
mod follower;

pub use addresses::Own;

/// Time without a heartbeat after which a node's address isn't given to callers.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(900);

/// Time without a heartbeat after which a node without a registration is removed.
pub const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Maximum number of other nodes for which each node sends its heartbeats to all of them.
const MAX_BROADCAST_NODES: usize = 12;

/// Number of nodes of the own zone that follow this one by name and receive all of its
/// heartbeats without gaps, in a large deployment. Only these report its silence.
const RING_NEIGHBOURS: usize = 28;

/// Number of randomly chosen other nodes of the own zone that receive a heartbeat, in a large
/// deployment.
const SAME_ZONE_TARGETS: usize = 4;

/// Number of randomly chosen nodes of other zones that receive a heartbeat, in a large
/// deployment.
const OTHER_ZONE_TARGETS: usize = 2;

/// Maximum number of strong nodes in a zone, in a large deployment, with which each of them sends
/// its heartbeats to the whole zone. All its nodes must know them to name them to callers.
const MAX_ZONE_BROADCASTERS: usize = 8;

/// Minimum capacity of a strong node, as a share of the highest capacity of any node. Callers
/// are given only strong nodes while those have spare capacity.
const MIN_STRONG_CAPACITY: f64 = 0.5;

/// Minimum demand that a node takes its share for, as a share of the mean demand of all nodes, so
/// that its first requests can be sent.
const MIN_DEMAND: f64 = 0.02;

/// Lifecycle phase of a node, as far as it matters to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The node is starting and can't serve yet.
    Starting,
    /// The node serves callers.
    Serving,
    /// The node is shutting down.
    Leaving,
}

/// A node's description of itself.
///
/// A node is a process of this query tier. All nodes are peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the node.
    pub name: id::Name,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Availability zone.
    pub zone: id::Name,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Number of parts that it can forward per second.
    pub capacity: u32,
}

/// What callers ask of nodes, whether it can be served or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Parts that callers ask of the node, per 1,000 seconds.
    pub node: u32,
    /// Parts that callers ask of all nodes in its availability zone, per 1,000 seconds, as far as
    /// it knows.
    pub zone: u32,
}

/// A heartbeat of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender of the heartbeat.
    pub node: Node,
    /// Its lifecycle phase.
    pub phase: Phase,
    /// Place in the store's history up to which it knows all changes.
    pub upto: Position,
    /// Rank of its configuration in force.
    pub configuration: Rank,
    /// Whether the store answers its requests.
    pub store_answers: bool,
    /// Whether callers send it requests.
    pub active: bool,
    /// Share of its capacity in use, in thousandths.
    pub load: u16,
    /// What callers ask of it and of its zone.
    pub demand: Demand,
    /// Services of which it reaches no leaf.
    pub loss: Loss,
}

/// Another node, as this node knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its description of itself.
    pub node: Node,
    /// Lifecycle phase in its latest heartbeat.
    pub phase: Phase,
    /// When its latest heartbeat arrived. For a node that is known only from another node,
    /// [`SUSPECT_AFTER`] before it became known.
    pub last_heard: Option<Time>,
    /// Whether it is registered in the store.
    pub registered: bool,
    /// Rank of its configuration in force, according to its latest heartbeat.
    pub configuration: Rank,
    /// Whether the store answered its requests, according to its latest heartbeat.
    pub store_answers: bool,
    /// Whether callers sent it requests, according to its latest heartbeat.
    pub active: bool,
    /// Share of its capacity in use, in thousandths, according to its latest heartbeat.
    pub load: u16,
    /// What callers ask of it and of its zone, according to its latest heartbeat.
    pub demand: Demand,
    /// Services of which it reaches no leaf, according to its latest heartbeat.
    pub loss: Loss,
    /// Whether [`Change::Silent`] was already reported for it since its latest heartbeat. Also
    /// `true` for a node that was never heard.
    silence_reported: bool,
}

/// Direction from a node in the order of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Before,
    After,
}

/// Numbers of serving nodes that send heartbeats, by what they say of the leafs that they reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reaching {
    /// They reach leafs of all services.
    pub all: usize,
    /// They reach leafs of most services.
    pub some: usize,
    /// They are cut off.
    pub none: usize,
}

/// Change of a node that sends no heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is suspected to be down: its address isn't given to callers until its next heartbeat.
    Silent,
    /// It was removed from the roster.
    Forgotten,
}

impl Member {
    fn open(node: Node) -> Member {
        Member {
            node,
            phase: Phase::Starting,
            last_heard: None,
            registered: false,
            configuration: Rank::default(),
            store_answers: false,
            active: false,
            load: 0,
            demand: Demand::default(),
            loss: Loss::Nothing,
            silence_reported: true,
        }
    }

    /// Whether its latest heartbeat is recent and says that it serves callers.
    #[must_use]
    pub fn is_serving(&self, now: Time) -> bool {
        self.phase == Phase::Serving && self.is_heard(now)
    }

    /// Whether a recent heartbeat says that it is cut off from leafs. Nothing is known of a node
    /// that was heard long ago.
    #[must_use]
    pub fn is_cut_off(&self, now: Time) -> bool {
        self.loss.is_cut_off() && self.is_heard(now)
    }

    /// Whether its latest heartbeat is recent.
    #[must_use]
    pub fn is_heard(&self, now: Time) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) < SUSPECT_AFTER)
    }
}

/// Demand on the nodes of one zone, in the unit of [`Demand`].
#[derive(Debug, Default)]
struct ZoneDemand {
    /// Sum over the nodes, by the latest heartbeat of each.
    nodes: f64,
    /// Total that the latest heartbeat from the zone states.
    stated: f64,
    /// When that heartbeat arrived.
    stated_at: Option<Time>,
}

/// All other nodes that this node knows.
#[derive(Debug, Default)]
pub struct Roster {
    members: HashMap<id::Name, Member>,
    /// Highest recent number of active nodes, and when it was last reached.
    peak_active: (usize, Time),
}

impl Roster {
    /// Records a heartbeat. Returns `true` if the sender is new, its phase or description has
    /// changed, or it was silent.
    pub fn record_heartbeat(&mut self, now: Time, beat: &Heartbeat) -> bool {
        let name = &beat.node.name;
        let before = self.members.get(name);
        let changed = before
            .is_none_or(|m| m.phase != beat.phase || m.node != beat.node || m.silence_reported);
        let registered = before.is_some_and(|m| m.registered && m.node == beat.node);
        let member = Member {
            node: beat.node.clone(),
            phase: beat.phase,
            last_heard: Some(now),
            registered,
            configuration: beat.configuration,
            store_answers: beat.store_answers,
            active: beat.active,
            load: beat.load,
            demand: beat.demand,
            loss: beat.loss.clone(),
            silence_reported: false,
        };
        self.members.insert(name.clone(), member);
        changed
    }

    /// Records a node's registration in the store. Recent heartbeats of the node take
    /// precedence over it.
    pub fn record_registration(&mut self, now: Time, node: Node) {
        match self.members.get_mut(&node.name) {
            Some(member) if member.node == node => member.registered = true,
            Some(member) if member.is_heard(now) => {}
            _ => {
                let member = Member { registered: true, ..Member::open(node) };
                self.members.insert(member.node.name.clone(), member);
            }
        }
    }

    /// Adds a node that another node knows, unless it is known already.
    pub fn add_known(&mut self, now: Time, node: Node) {
        let member = Member { last_heard: Some(now - SUSPECT_AFTER), ..Member::open(node) };
        self.members.entry(member.node.name.clone()).or_insert(member);
    }

    /// Records that a node's registration was removed from the store.
    pub fn remove_registration(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.registered = false;
        }
    }

    /// Records which nodes are registered in the store, after all registrations were listed.
    pub fn retain_registrations(&mut self, listed: &HashSet<id::Name>) {
        for (name, member) in &mut self.members {
            member.registered &= listed.contains(name);
        }
    }

    /// Removes nodes that are neither registered nor heard from within [`FORGET_AFTER`].
    /// Returns the changes since the last call. [`Change::Silent`] is reported only for nodes
    /// that send every heartbeat to this one.
    pub fn expire(&mut self, now: Time, own: &Node) -> Vec<(id::Name, Change)> {
        let mut changes = Vec::new();
        let small = self.is_small();
        let before = if small { HashSet::new() } else { self.ring(own, Side::Before) };
        self.members.retain(|name, member| {
            let known = member.registered
                || member.last_heard.is_some_and(|at| now.since(at) < FORGET_AFTER);
            if !known {
                changes.push((name.clone(), Change::Forgotten));
            } else if small || before.contains(name) {
                let silent = !member.is_heard(now);
                if silent && !std::mem::replace(&mut member.silence_reported, silent) {
                    changes.push((name.clone(), Change::Silent));
                }
            }
            known
        });
        changes
    }

    /// Counts the serving nodes that send heartbeats by the leafs that they reach.
    #[must_use]
    pub fn reaching(&self, now: Time) -> Reaching {
        let mut reaching = Reaching::default();
        for member in self.members.values().filter(|member| member.is_serving(now)) {
            match member.loss {
                Loss::Nothing => reaching.all += 1,
                Loss::Services(_) => reaching.some += 1,
                Loss::Most => reaching.none += 1,
            }
        }
        reaching
    }

    /// Iterates over the other nodes.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the node with a name, if it is known.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns the number of other nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no other node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the number of nodes that send requests to leafs, this one included. The number
    /// is reduced only once it has been lower for `hold`.
    pub fn active_nodes(&mut self, now: Time, hold: Duration) -> usize {
        let active = self.members.values().filter(|member| member.active).count() + 1;
        if active >= self.peak_active.0 || now.since(self.peak_active.1) > hold {
            self.peak_active = (active, now);
        }
        self.peak_active.0
    }

    /// Returns the demand on all nodes in the zone of this node, in the unit of [`Demand`].
    #[must_use]
    pub fn zone_demand(&self, own: &Node, own_demand: u32) -> u32 {
        let near = self.members.values().filter(|member| member.node.zone == own.zone);
        near.fold(own_demand, |sum, member| sum.saturating_add(member.demand.node))
    }

    /// Returns this node's share, from 0 to 1, of what all nodes together may send to a leaf: its
    /// share of their demand. Nodes that are silent keep theirs until they are removed.
    ///
    /// In a large deployment, heartbeats of most nodes in other zones are old, so the total that
    /// the latest one of each zone states counts if it is higher.
    #[must_use]
    pub fn demand_share(&self, own: &Node, own_demand: u32) -> f64 {
        let mut zones: HashMap<&id::Name, ZoneDemand> = HashMap::new();
        zones.entry(&own.zone).or_default().nodes = own_demand.into();
        for member in self.members.values() {
            let zone = zones.entry(&member.node.zone).or_default();
            zone.nodes += f64::from(member.demand.node);
            if member.node.zone != own.zone && member.last_heard >= zone.stated_at {
                zone.stated_at = member.last_heard;
                zone.stated = member.demand.zone.into();
            }
        }
        let total: f64 = zones.values().map(|zone| zone.nodes.max(zone.stated)).sum();
        let even_share = 1.0 / (self.members.len() + 1) as f64;
        if total == 0.0 {
            return even_share;
        }
        (f64::from(own_demand) / total).max(MIN_DEMAND * even_share)
    }

    /// Returns the nodes that have a configuration of a higher rank in force: those of the own
    /// zone, or of other zones if there are none.
    #[must_use]
    pub fn configuration_sources(&self, now: Time, own: &Node, rank: Rank) -> Vec<&Member> {
        let later = |member: &&Member| member.configuration > rank && member.is_heard(now);
        let sources = self.members.values().filter(later);
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            sources.partition(|member| member.node.zone == own.zone);
        if near.is_empty() { far } else { near }
    }

    /// Whether each node sends its heartbeats to all others.
    #[must_use]
    pub fn is_small(&self) -> bool {
        self.members.len() <= MAX_BROADCAST_NODES
    }

    /// Returns the nodes that the next heartbeat is sent to: all nodes in a small deployment,
    /// else the successors of this node by name in its own zone, and a random sample of the
    /// others.
    pub fn heartbeat_targets(&self, own: &Node, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let peers = |member: &Member| member.node.peers;
        if self.is_small() {
            return self.members.values().map(peers).collect();
        }
        let ring = if self.is_zone_broadcaster(own) {
            self.zone_names(own).into_iter().cloned().collect()
        } else {
            self.ring(own, Side::After)
        };
        let others = self.members.values().filter(|member| !ring.contains(&member.node.name));
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            others.partition(|member| member.node.zone == own.zone);
        let near = near.into_iter().choose_multiple(rng, SAME_ZONE_TARGETS);
        let far = far.into_iter().choose_multiple(rng, OTHER_ZONE_TARGETS);
        let ring = ring.iter().map(|name| &self.members[name]);
        ring.chain(near).chain(far).map(peers).collect()
    }

    /// Whether this node is one of a few strong ones in its zone.
    fn is_zone_broadcaster(&self, own: &Node) -> bool {
        let near = self.members.values().filter(|member| member.node.zone == own.zone);
        let capacities = near.map(|member| member.node.capacity).chain([own.capacity]);
        let capacities: Vec<u32> = capacities.collect();
        let most = capacities.iter().copied().max().unwrap_or_default();
        let strong = capacities.iter().filter(|capacity| is_strong(**capacity, most)).count();
        is_strong(own.capacity, most)
            && strong <= MAX_ZONE_BROADCASTERS
            && strong * 2 <= capacities.len()
    }

    /// Returns the names of the other nodes of the own zone.
    fn zone_names(&self, own: &Node) -> Vec<&id::Name> {
        let near = self.members.values().filter(|member| member.node.zone == own.zone);
        near.map(|member| &member.node.name).collect()
    }

    /// Returns the nodes of the own zone that come next to this one by name, on one side. The
    /// order is circular: the first name follows the last one.
    fn ring(&self, own: &Node, side: Side) -> HashSet<id::Name> {
        let mut names = self.zone_names(own);
        names.sort_unstable();
        let position = names.partition_point(|name| **name < own.name);
        names.rotate_left(position);
        if side == Side::Before {
            names.reverse();
        }
        names.into_iter().take(RING_NEIGHBOURS).cloned().collect()
    }
}

/// Whether a node is strong, given the highest capacity of any node.
fn is_strong(capacity: u32, most: u32) -> bool {
    f64::from(capacity) >= MIN_STRONG_CAPACITY * f64::from(most)
}
