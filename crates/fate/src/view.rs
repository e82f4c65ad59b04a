//! The view of the live nodes, which determines the nodes that store a fate.
//!
//! Nodes are partitioned into cells by a hash of their names, and a fate stays in
//! the cell of the node that served the request. In each cell, rendezvous hashing
//! selects up to [`HOMES_PER_CELL`] home nodes for a request, in distinct zones if
//! there are enough. The serving node copies the fate to its keepers: the first
//! [`COPIES_PER_FATE`] homes, preferring homes outside its own zone. A search asks
//! all homes of all cells.

use std::collections::BTreeMap;

use jacinthfall_core::{hash, id};

use crate::Peer;

/// Maximum number of homes of a request in one cell.
pub const HOMES_PER_CELL: usize = 3;

/// Number of copies of a fate besides the one on the serving node.
pub const COPIES_PER_FATE: usize = 2;

/// The nodes of a cell in one availability zone.
#[derive(Clone, Debug)]
struct Zone {
    /// Hash of the zone's name.
    hash: u64,
    nodes: Vec<Node>,
}

/// A node with the hash of its name.
#[derive(Clone, Debug)]
struct Node {
    hash: u64,
    peer: Peer,
}

/// The nodes of one cell, by zone.
type Cell = BTreeMap<id::Name, Zone>;

/// The live nodes as known to this node, partitioned into cells.
#[derive(Clone, Debug, Default)]
pub struct View {
    cells: Vec<Cell>,
    nodes: BTreeMap<id::Name, Peer>,
}

impl View {
    /// Creates a view of `nodes` with `cells` cells.
    #[must_use]
    pub fn new(nodes: impl IntoIterator<Item = Peer>, cells: u32) -> View {
        let mut view = View { cells: vec![Cell::new(); cells as usize], nodes: BTreeMap::new() };
        for peer in nodes {
            let cell = view.cell_index(&peer.node);
            let zone = view.cells[cell].entry(peer.zone.clone());
            let hash = hash::digest(peer.zone.as_bytes());
            let zone = zone.or_insert_with(|| Zone { hash, nodes: Vec::new() });
            zone.nodes.push(Node { hash: hash::digest(peer.node.as_bytes()), peer: peer.clone() });
            view.nodes.insert(peer.node.clone(), peer);
        }
        view
    }

    /// Returns the node with that name, if it is live.
    #[must_use]
    pub fn node(&self, name: &str) -> Option<&Peer> {
        self.nodes.get(name)
    }

    /// Returns all nodes, ordered by name.
    pub fn nodes(&self) -> impl Iterator<Item = &Peer> {
        self.nodes.values()
    }

    /// Returns the number of nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether no node is live.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the nodes that store copies of a fate besides `server`.
    ///
    /// While that incarnation of `server` is live, homes outside its zone come first.
    /// After it has ended, the first homes in order of rendezvous weight are the
    /// keepers, in distinct zones if there are enough.
    #[must_use]
    pub fn keepers(&self, request: &str, server: &id::Incarnation) -> Vec<&Peer> {
        let mut homes = homes(&self.cells[self.cell_index(&server.node)], request);
        if let Some(server) = self.live_incarnation(server) {
            homes.retain(|home| home.node != server.node);
            homes.sort_by_key(|home| home.zone == server.zone);
        }
        homes.truncate(COPIES_PER_FATE);
        homes
    }

    /// Returns the node if this incarnation of it is live.
    #[must_use]
    pub fn live_incarnation(&self, incarnation: &id::Incarnation) -> Option<&Peer> {
        self.nodes.get(&incarnation.node).filter(|peer| peer.started == incarnation.started)
    }

    /// Returns the homes of a request in all cells: the nodes to ask for its fate if
    /// the serving node isn't known.
    #[must_use]
    pub fn homes(&self, request: &str) -> Vec<&Peer> {
        self.cells.iter().flat_map(|cell| homes(cell, request)).collect()
    }

    fn cell_index(&self, node: &str) -> usize {
        let cells = self.cells.len() as u64;
        usize::try_from(hash::digest(node.as_bytes()) % cells)
            .expect("a cell index fits into usize")
    }
}

/// Returns the homes of a request in one cell: the node with the highest rendezvous
/// weight in each of the zones with the highest weights, then further nodes by weight
/// if there are too few zones.
fn homes<'a>(cell: &'a Cell, request: &str) -> Vec<&'a Peer> {
    let request = hash::digest(request.as_bytes());
    let mut zones: Vec<&Zone> = cell.values().collect();
    zones.sort_by_cached_key(|zone| std::cmp::Reverse(weight(request, zone.hash)));
    let first = zones.iter().take(HOMES_PER_CELL).filter_map(|zone| heaviest(&zone.nodes, request));
    let mut homes: Vec<&Peer> = first.map(|node| &node.peer).collect();
    while homes.len() < HOMES_PER_CELL {
        let nodes = cell.values().flat_map(|zone| &zone.nodes);
        let rest = nodes.filter(|node| !homes.contains(&&node.peer));
        match heaviest(rest, request) {
            Some(node) => homes.push(&node.peer),
            None => break,
        }
    }
    homes
}

/// Returns the node with the highest rendezvous weight.
fn heaviest<'a>(nodes: impl IntoIterator<Item = &'a Node>, request: u64) -> Option<&'a Node> {
    nodes.into_iter().max_by_key(|node| weight(request, node.hash))
}

/// Computes a rendezvous weight from two hashes.
///
/// This is cheaper than hashing both names together for each of several thousand
/// nodes. The mixing steps are the finalizer of `SplitMix64`.
const fn weight(request: u64, candidate: u64) -> u64 {
    let mut mixed = request ^ candidate;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
