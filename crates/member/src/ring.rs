//! Choice of the few neighbours that a node pings and broadcasts to.
//!
//! Each node has a position on several hash rings, derived from its name. Its
//! neighbours are the next node in each direction on each ring. If node A is a
//! neighbour of node B, then B is also a neighbour of A. Positions don't depend on the
//! zone, so the neighbours are spread over the zones. Each ring alone connects all
//! nodes, and the loss of a node changes the neighbours of few others.

use std::collections::BTreeSet;

use jacinthfall_core::{hash, id};

use crate::table::Table;

/// Number of rings.
pub(crate) const COUNT: usize = 4;

/// Maximum number of neighbours of a node: two on each ring.
pub(crate) const MAX_NEIGHBOURS: usize = 2 * COUNT;

const RINGS: [&str; COUNT] = ["ring-0", "ring-1", "ring-2", "ring-3"];

/// Returns the positions of a node on the rings.
pub(crate) fn positions(node: &str) -> [u64; COUNT] {
    RINGS.map(|ring| hash::weight(ring, node))
}

/// Returns the neighbours of `own` among the nodes that take part in gossip, ordered
/// by name.
pub(crate) fn neighbours(own: &str, table: &Table) -> Vec<id::Name> {
    let others = table.iter().filter(|(name, entry)| entry.is_active() && &***name != own);
    let others: Vec<_> = others.map(|(name, entry)| (name, &entry.ring_positions)).collect();
    if others.len() <= MAX_NEIGHBOURS {
        return others.into_iter().map(|(name, _)| name.clone()).collect();
    }
    let own_positions = positions(own);
    let mut chosen = BTreeSet::new();
    for ring in 0..COUNT {
        let distance_after =
            |positions: &[u64; COUNT]| positions[ring].wrapping_sub(own_positions[ring]);
        let distance_before =
            |positions: &[u64; COUNT]| own_positions[ring].wrapping_sub(positions[ring]);
        chosen.extend(others.iter().min_by_key(|(_, positions)| distance_after(positions)));
        chosen.extend(others.iter().min_by_key(|(_, positions)| distance_before(positions)));
    }
    chosen.into_iter().map(|(name, _)| name.clone()).collect()
}
