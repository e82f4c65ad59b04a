//! Decides which nodes watch the store and which peers each node pushes to.
//! Every node computes the same plan from the same set of live nodes.
//!
//! The watchers are the nodes with the highest rendezvous weights, in different
//! zones if possible. In a large cluster, a fixed hash makes one node in
//! [`FAN_OUT`] a relay, one in [`FAN_OUT`] of these a relay of relays, and so
//! on. Each node has two parents, one on each of two hash rings, in other zones
//! than its own if possible. A node's level and ring positions depend only on
//! its name, so a node that joins or leaves changes the parents of few others.

use std::collections::BTreeMap;

use jacinthfall_core::{hash, id};

use crate::Peer;

/// Number of nodes that watch the store.
pub const WATCHERS: usize = 3;

/// Maximum number of nodes in a cluster whose watchers push to all nodes
/// directly, without relays.
pub const MAX_FLAT_NODES: usize = 64;

/// Mean number of nodes that a relay pushes to on one level. A power of two.
pub const FAN_OUT: u32 = 16;

/// Minimum number of nodes that form a level.
const MIN_LEVEL_NODES: usize = 3;

/// Maximum number of peers to pull from when the parents are out of date.
const MAX_FALLBACKS: usize = 6;

/// Number of parents of a node, one on each ring.
const PARENTS: usize = 2;

const RINGS: [&str; PARENTS] = ["config-ring-0", "config-ring-1"];

/// A live node with the values derived from its name.
#[derive(Clone, Debug)]
struct Node {
    zone: id::Name,
    /// Number of levels on which the node is a relay.
    level: u32,
    ring_positions: [u64; PARENTS],
    watch_weight: u64,
    fallback_weight: u64,
}

impl Node {
    fn new(name: &str, zone: id::Name, own: &str) -> Node {
        let levels = hash::weight("config-level", name).trailing_zeros() / FAN_OUT.ilog2();
        Node {
            zone,
            level: levels,
            ring_positions: RINGS.map(|ring| hash::weight(ring, name)),
            watch_weight: hash::weight("config-watch", name),
            fallback_weight: hash::weight(own, name),
        }
    }
}

/// The live nodes, this one included.
#[derive(Debug)]
pub(crate) struct Nodes {
    nodes: BTreeMap<id::Name, Node>,
}

/// The role of this node in the replication of records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Plan {
    /// Nodes that watch the store.
    pub(crate) watchers: Vec<id::Name>,
    /// Whether this node is a watcher.
    pub(crate) is_watcher: bool,
    /// Peers to pull from. The first one also pushes records to this node.
    pub(crate) parents: Vec<id::Name>,
    /// Peers to push records to.
    pub(crate) push: Vec<id::Name>,
    /// Peers to announce changes to.
    pub(crate) announce: Vec<id::Name>,
    /// Peers to pull from when the parents are out of date, in other zones if
    /// possible.
    pub(crate) fallbacks: Vec<id::Name>,
}

/// Position, name and zone of the relays of one level, in ring order.
type Ring<'a> = Vec<(u64, &'a id::Name, &'a id::Name)>;

/// The watchers and relays of the cluster.
struct Tree<'a> {
    watchers: Vec<id::Name>,
    /// Lowest level whose nodes have watchers as parents.
    top_level: u32,
    /// For each level below `top_level`, the rings of the nodes above it.
    rings: Vec<[Ring<'a>; PARENTS]>,
}

impl Nodes {
    pub(crate) fn open(own: &Peer) -> Nodes {
        let mut nodes = Nodes { nodes: BTreeMap::new() };
        nodes.set_peers(own, Vec::new());
        nodes
    }

    /// Replaces the set of peers. Nodes that stay keep their derived values.
    pub(crate) fn set_peers(&mut self, own: &Peer, peers: Vec<Peer>) {
        let mut previous = std::mem::take(&mut self.nodes);
        for peer in peers.into_iter().chain([own.clone()]) {
            let known = previous.remove(&peer.node).filter(|node| node.zone == peer.zone);
            let node = known.unwrap_or_else(|| Node::new(&peer.node, peer.zone, &own.node));
            self.nodes.insert(peer.node, node);
        }
    }

    /// Returns the number of live nodes, including this one.
    pub(crate) fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the zone of a live node.
    pub(crate) fn zone(&self, node: &str) -> Option<&id::Name> {
        self.nodes.get(node).map(|node| &node.zone)
    }

    /// Returns the peers of `own` by zone.
    pub(crate) fn by_zone(&self, own: &str) -> BTreeMap<id::Name, Vec<id::Name>> {
        let mut zones: BTreeMap<id::Name, Vec<id::Name>> = BTreeMap::new();
        for (name, node) in self.nodes.iter().filter(|(name, _)| &***name != own) {
            zones.entry(node.zone.clone()).or_default().push(name.clone());
        }
        zones
    }

    /// Returns all peers of `own`.
    pub(crate) fn peers(&self, own: &str) -> Vec<id::Name> {
        self.nodes.keys().filter(|name| &***name != own).cloned().collect()
    }

    /// Computes the role of `own`.
    pub(crate) fn plan(&self, own: &Peer) -> Plan {
        let tree = self.tree();
        let mut plan = Plan {
            is_watcher: tree.watchers.contains(&own.node),
            fallbacks: self.fallbacks(own),
            ..Plan::default()
        };
        for (name, node) in &self.nodes {
            let parents = tree.parents(name, node);
            if *name == own.node {
                plan.parents = parents;
            } else if parents.first() == Some(&own.node) {
                plan.push.push(name.clone());
            } else if parents.contains(&own.node) {
                plan.announce.push(name.clone());
            }
        }
        plan.watchers = tree.watchers;
        plan
    }

    fn tree(&self) -> Tree<'_> {
        let top_level = if self.nodes.len() <= MAX_FLAT_NODES { 0 } else { self.top_level() };
        let rings = (0..top_level).map(|level| [self.ring(level, 0), self.ring(level, 1)]);
        Tree { watchers: self.watchers(), top_level, rings: rings.collect() }
    }

    /// Returns the highest level that has at least [`MIN_LEVEL_NODES`] nodes.
    fn top_level(&self) -> u32 {
        let enough = |&level: &u32| {
            let above = self.nodes.values().filter(|node| node.level >= level);
            above.take(MIN_LEVEL_NODES).count() == MIN_LEVEL_NODES
        };
        (1..u64::BITS).take_while(enough).last().unwrap_or(0)
    }

    /// Returns the nodes above `level` in the order of a ring.
    fn ring(&self, level: u32, ring: usize) -> Ring<'_> {
        let relays = self.nodes.iter().filter(|(_, node)| node.level > level);
        let mut relays: Ring =
            relays.map(|(n, node)| (node.ring_positions[ring], n, &node.zone)).collect();
        relays.sort_unstable();
        relays
    }

    /// Returns the watchers: the nodes of highest weight, first one per zone.
    fn watchers(&self) -> Vec<id::Name> {
        let mut ranked: Vec<_> = self.nodes.iter().collect();
        ranked.sort_unstable_by_key(|(_, node)| std::cmp::Reverse(node.watch_weight));
        let mut chosen: Vec<(&id::Name, &Node)> = Vec::new();
        for (name, node) in &ranked {
            let other_zone = chosen.iter().all(|(_, other)| other.zone != node.zone);
            if chosen.len() < WATCHERS && other_zone {
                chosen.push((name, node));
            }
        }
        for (name, node) in &ranked {
            let other_node = chosen.iter().all(|(other, _)| other != name);
            if chosen.len() < WATCHERS && other_node {
                chosen.push((name, node));
            }
        }
        chosen.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Returns the fallback peers of `own`.
    fn fallbacks(&self, own: &Peer) -> Vec<id::Name> {
        let peers = self.nodes.iter().filter(|(name, _)| **name != own.node);
        let (mut others, near): (Vec<_>, Vec<_>) =
            peers.partition(|(_, node)| node.zone != own.zone);
        if others.is_empty() {
            others = near;
        }
        others.sort_unstable_by_key(|(_, node)| std::cmp::Reverse(node.fallback_weight));
        others.into_iter().take(MAX_FALLBACKS).map(|(name, _)| name.clone()).collect()
    }
}

impl Tree<'_> {
    /// Returns the parents of a node. The first one pushes to it.
    fn parents(&self, name: &id::Name, node: &Node) -> Vec<id::Name> {
        if node.level >= self.top_level || self.watchers.contains(name) {
            return self.watcher_parents(name, node);
        }
        let rings = &self.rings[node.level as usize];
        let mut parents: Vec<id::Name> = Vec::with_capacity(PARENTS);
        for (ring, &position) in rings.iter().zip(&node.ring_positions) {
            let start = ring.partition_point(|&(other, ..)| other < position);
            let order = || ring[start..].iter().chain(&ring[..start]);
            let fits = |relay: &id::Name| !parents.contains(relay);
            let far = order().find(|(_, relay, zone)| fits(relay) && **zone != node.zone);
            let parent = far.or_else(|| order().find(|(_, relay, _)| fits(relay)));
            parents.extend(parent.map(|(_, relay, _)| (*relay).clone()));
        }
        parents
    }

    /// Returns the watchers that are the parents of a node.
    fn watcher_parents(&self, name: &id::Name, node: &Node) -> Vec<id::Name> {
        let others: Vec<_> = self.watchers.iter().filter(|other| *other != name).collect();
        if others.is_empty() {
            return Vec::new();
        }
        let first =
            usize::try_from(node.ring_positions[0] % others.len() as u64).unwrap_or_default();
        let order = others[first..].iter().chain(&others[..first]);
        order.take(PARENTS).map(|name| (*name).clone()).collect()
    }
}
