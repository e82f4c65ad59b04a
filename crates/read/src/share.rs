//! Division of a leaf's connection limit among nodes, and choice of home nodes.
//!
//! Home nodes are the few nodes that may connect to the leafs of a shard group when
//! the limit is too small for all nodes.

use jacinthfall_core::{hash, id};

/// Factor by which the number of nodes can grow during a rolling replacement, when an
/// old node and its replacement run at the same time.
const OVERLAP: u32 = 2;

/// Returns the number of connections to one leaf that each of `nodes` nodes may hold,
/// so that the sum stays within `limit` even while every node overlaps with its
/// replacement. If the number of nodes is uncertain, pass an upper bound. 0 means that
/// only home nodes may connect.
///
/// ```
/// use jacinthfall_read::share;
/// assert_eq!(share::connections_per_node(30, 8), 1);
/// assert_eq!(share::connections_per_node(25, 3_200), 0);
/// ```
#[must_use]
pub fn connections_per_node(limit: u32, nodes: u32) -> u32 {
    let holders = nodes.max(1).saturating_mul(OVERLAP);
    limit / holders
}

/// A candidate for home node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Name of the node.
    pub name: id::Name,
    /// Availability zone of the node.
    pub zone: id::Name,
}

/// Returns the `count` home nodes of a shard group by rendezvous hashing, ordered by
/// preference and spread over as many availability zones as possible. Returns all
/// nodes if there are fewer than `count`.
///
/// ```
/// use jacinthfall_read::share::{self, Node};
/// let node = |name: &str, zone: &str| Node { name: name.into(), zone: zone.into() };
/// let nodes = [node("a", "kl-hall-a"), node("b", "kl-hall-a"), node("c", "cyberjaya-hall")];
/// let homes = share::home_nodes("group-1", &nodes, 2);
/// assert_ne!(homes[0].zone, homes[1].zone);
/// ```
#[must_use]
pub fn home_nodes(group: &str, nodes: &[Node], count: usize) -> Vec<Node> {
    let mut ranked: Vec<_> =
        nodes.iter().map(|node| (hash::weight(group, &node.name), node)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
    let mut in_zone = std::collections::BTreeMap::<&str, usize>::new();
    let mut rounds: Vec<(usize, &Node)> = Vec::with_capacity(ranked.len());
    for (_, node) in ranked {
        let round = in_zone.entry(&node.zone).or_default();
        rounds.push((*round, node));
        *round += 1;
    }
    // The sort is stable: within a round over the zones, the node with the higher hash
    // weight stays first.
    rounds.sort_by_key(|&(round, _)| round);
    rounds.into_iter().take(count).map(|(_, node)| node.clone()).collect()
}
