//! Nodes as this node sees them, and which of them callers may use.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

/// Silence after which a node isn't named to callers.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(900);

/// Silence after which a node without a registration is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Nodes up to which each one sends its heartbeats to all others.
const MAX_BROADCAST_NODES: usize = 12;

/// Nodes of the own zone that follow by name and that every heartbeat goes to, where
/// there are many: each node is heard by these without gaps.
const RING_NEIGHBOURS: usize = 28;

/// Other nodes of the own zone that a heartbeat goes to, where there are many.
const SAME_ZONE_TARGETS: usize = 4;

/// Nodes of other zones that a heartbeat goes to, where there are many.
const OTHER_ZONE_TARGETS: usize = 2;

/// Nodes of a zone that are enough for its callers.
const MIN_ZONE_NODES: usize = 4;

/// Share of the strongest node's capacity that a node must have to be named to callers
/// while such nodes have room.
const MIN_STRONG_CAPACITY: f64 = 0.5;

/// Load of the strong nodes above which the others are named too.
const MAX_STRONG_LOAD: f64 = 0.6;

/// Strong nodes that are enough for the callers of a zone.
const MIN_STRONG_NODES: usize = 2;

/// What a node does for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It starts and can't serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It ends.
    Leaving,
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Name.
    pub name: id::Name,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Availability zone.
    pub zone: id::Name,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other nodes reach it.
    pub peers: SocketAddr,
    /// Parts that it can pass on in a second.
    pub capacity: u32,
}

/// A heartbeat of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub node: Node,
    /// What it does for callers.
    pub phase: Phase,
    /// Store revision up to which it knows all changes.
    pub upto: u64,
    /// Whether the store answers it.
    pub store_answers: bool,
    /// Whether callers use it.
    pub active: bool,
    /// Share of its capacity in use, in thousandths.
    pub load: u16,
}

/// Another node.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it says of itself.
    pub node: Node,
    /// What it does for callers.
    pub phase: Phase,
    /// Last heartbeat.
    pub last_heard: Option<Time>,
    /// Whether its registration stands in the store.
    pub registered: bool,
    /// Whether the store answered it when it was last heard.
    pub store_answers: bool,
    /// Whether callers used it when it was last heard.
    pub active: bool,
    /// Share of its capacity that was in use, in thousandths.
    pub load: u16,
    /// Whether its silence was told.
    silence_reported: bool,
}

/// Side of a node in the order of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Before,
    After,
}

/// What became of a node that isn't heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It isn't named to callers before it is heard again.
    Silent,
    /// It is no longer known.
    Forgotten,
}

impl Member {
    fn open(node: Node) -> Member {
        Member {
            node,
            phase: Phase::Starting,
            last_heard: None,
            registered: false,
            store_answers: false,
            active: false,
            load: 0,
            silence_reported: true,
        }
    }

    fn is_heard(&self, now: Time) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) < SUSPECT_AFTER)
    }
}

/// The other nodes.
#[derive(Debug, Default)]
pub struct Roster {
    members: HashMap<id::Name, Member>,
    /// Most active nodes seen of late, with the time of that sight.
    peak_active: (usize, Time),
}

impl Roster {
    /// Takes in a heartbeat; `true` if the sender's phase, life or voice is news.
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
            store_answers: beat.store_answers,
            active: beat.active,
            load: beat.load,
            silence_reported: false,
        };
        self.members.insert(name.clone(), member);
        changed
    }

    /// Takes in a node's registration in the store. What the node itself says now
    /// goes before it.
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

    /// Notes a node that another one knows.
    pub fn add_known(&mut self, now: Time, node: Node) {
        let member = Member { last_heard: Some(now - SUSPECT_AFTER), ..Member::open(node) };
        self.members.entry(member.node.name.clone()).or_insert(member);
    }

    /// Notes that a node's registration is gone.
    pub fn remove_registration(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.registered = false;
        }
    }

    /// Forgets nodes that are neither heard nor registered. Returns what became of
    /// nodes since the last call; the silence of nodes that don't send every heartbeat
    /// to this one is not told.
    pub fn expire(&mut self, now: Time, own: &Node) -> Vec<(id::Name, Change)> {
        let mut changes = Vec::new();
        let small = self.members.len() <= MAX_BROADCAST_NODES;
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

    /// The other nodes.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of the other nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no other node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Nodes that send requests to leafs, this one included. A smaller number counts
    /// only once it has held for `hold`.
    pub fn active_nodes(&mut self, now: Time, hold: Duration) -> usize {
        let active = self.members.values().filter(|member| member.active).count() + 1;
        if active >= self.peak_active.0 || now.since(self.peak_active.1) > hold {
            self.peak_active = (active, now);
        }
        self.peak_active.0
    }

    /// Whether this node follows the store for its zone: it is the first by name of
    /// those that are heard and that the store answers.
    #[must_use]
    pub fn is_follower_of_store(&self, now: Time, own: &Node) -> bool {
        !self.members.values().any(|member| {
            member.node.zone == own.zone
                && member.node.name < own.name
                && member.phase == Phase::Serving
                && member.store_answers
                && member.is_heard(now)
        })
    }

    /// Nodes that the next heartbeat goes to: all where they are few, else those of the
    /// own zone that follow this one by name, and some others.
    pub fn heartbeat_targets(&self, own: &Node, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let peers = |member: &Member| member.node.peers;
        if self.members.len() <= MAX_BROADCAST_NODES {
            return self.members.values().map(peers).collect();
        }
        let ring = self.ring(own, Side::After);
        let others = self.members.values().filter(|member| !ring.contains(&member.node.name));
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            others.partition(|member| member.node.zone == own.zone);
        let near = near.into_iter().choose_multiple(rng, SAME_ZONE_TARGETS);
        let far = far.into_iter().choose_multiple(rng, OTHER_ZONE_TARGETS);
        let ring = ring.iter().map(|name| &self.members[name]);
        ring.chain(near).chain(far).map(peers).collect()
    }

    /// The nodes of the own zone that come next to this one by name, the last one being
    /// followed by the first.
    fn ring(&self, own: &Node, side: Side) -> HashSet<id::Name> {
        let near = self.members.values().filter(|member| member.node.zone == own.zone);
        let mut names: Vec<&id::Name> = near.map(|member| &member.node.name).collect();
        names.sort_unstable();
        let position = names.partition_point(|name| **name < own.name);
        names.rotate_left(position);
        if side == Side::Before {
            names.reverse();
        }
        names.into_iter().take(RING_NEIGHBOURS).cloned().collect()
    }

    /// Addresses for callers in a zone, those of the zone first. Where there are many
    /// nodes, only as many as are needed: those of the zone, and of these the strong
    /// ones while they have room.
    #[must_use]
    pub fn caller_addresses(&self, now: Time, own: Option<&Node>, zone: &str) -> Vec<SocketAddr> {
        let small = self.members.len() <= MAX_BROADCAST_NODES;
        let members = self.members.values().filter(|member| {
            // Nodes of other zones are heard seldom where there are many.
            let registered = !small && *member.node.zone != *zone && member.registered;
            member.phase == Phase::Serving && (member.is_heard(now) || registered)
        });
        let members = members.map(|member| (&member.node, f64::from(member.load) / 1_000.0));
        let mut nodes: Vec<(&Node, f64)> = members.chain(own.map(|own| (own, 0.0))).collect();
        nodes.sort_unstable_by_key(|(node, _)| (*node.zone != *zone, node.callers));
        let near = nodes.iter().filter(|(node, _)| *node.zone == *zone).count();
        if near >= MIN_ZONE_NODES {
            nodes.truncate(near);
        }
        strong_nodes(&nodes).into_iter().map(|node| node.callers).collect()
    }
}

/// The nodes with much capacity, or all where these are few or busy.
fn strong_nodes<'a>(nodes: &[(&'a Node, f64)]) -> Vec<&'a Node> {
    let most = nodes.iter().map(|(node, _)| f64::from(node.capacity)).fold(0.0, f64::max);
    let is_strong = |node: &Node| f64::from(node.capacity) >= MIN_STRONG_CAPACITY * most;
    let chosen: Vec<_> = nodes.iter().filter(|(node, _)| is_strong(node)).collect();
    let load = chosen.iter().map(|(_, load)| load).sum::<f64>() / chosen.len().max(1) as f64;
    if chosen.len() < MIN_STRONG_NODES || load > MAX_STRONG_LOAD {
        return nodes.iter().map(|(node, _)| *node).collect();
    }
    chosen.into_iter().map(|(node, _)| *node).collect()
}
