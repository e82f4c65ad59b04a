//! Selects the nodes whose addresses are given to callers.

use std::net::SocketAddr;

use jacinthfall_core::time::Time;

use super::{MAX_BROADCAST_NODES, Node, Phase, Roster, is_strong};

/// Number of nodes in a zone from which on its callers aren't given nodes of other zones.
const MIN_ZONE_NODES: usize = 4;

/// Mean load of the strong nodes above which callers are given the other nodes too.
const MAX_STRONG_LOAD: f64 = 0.6;

/// Minimum number of strong nodes; with fewer, callers are given all nodes.
const MIN_STRONG_NODES: usize = 2;

/// This node, as far as it matters to the callers that it names addresses to.
#[derive(Clone, Copy, Debug)]
pub struct Own<'a> {
    /// Its description.
    pub node: &'a Node,
    /// Whether it is cut off from leafs.
    pub is_cut_off: bool,
}

impl Roster {
    /// Returns the addresses for callers in a zone, those in the zone first. Nodes of other
    /// zones are left out if the zone has enough nodes, weak nodes while the strong ones have
    /// spare capacity, and nodes that are cut off from leafs unless all are. `own` describes this
    /// node if it serves callers.
    #[must_use]
    pub fn caller_addresses(&self, now: Time, own: Option<Own<'_>>, zone: &str) -> Vec<SocketAddr> {
        let small = self.members.len() <= MAX_BROADCAST_NODES;
        let members = self.members.values().filter(|member| {
            // In a large deployment, nodes of other zones send heartbeats to this one only now
            // and then, so their registration is enough.
            let registered = !small && *member.node.zone != *zone && member.registered;
            member.phase == Phase::Serving && (member.is_heard(now) || registered)
        });
        let members = members
            .map(|member| (&member.node, f64::from(member.load) / 1_000.0, member.is_cut_off(now)));
        let own = own.map(|own| (own.node, 0.0, own.is_cut_off));
        let (cut_off, reaching): (Vec<_>, Vec<_>) =
            members.chain(own).partition(|(_, _, is_cut_off)| *is_cut_off);
        let nodes = if reaching.is_empty() { cut_off } else { reaching };
        let mut nodes: Vec<(&Node, f64)> =
            nodes.into_iter().map(|(node, load, _)| (node, load)).collect();
        nodes.sort_unstable_by_key(|(node, _)| (*node.zone != *zone, node.callers));
        let near = nodes.iter().filter(|(node, _)| *node.zone == *zone).count();
        if near >= MIN_ZONE_NODES {
            nodes.truncate(near);
        }
        strong_nodes(&nodes).into_iter().map(|node| node.callers).collect()
    }
}

/// Returns the nodes with high capacity, or all nodes if those are too few or too busy.
fn strong_nodes<'a>(nodes: &[(&'a Node, f64)]) -> Vec<&'a Node> {
    let most = nodes.iter().map(|(node, _)| node.capacity).max().unwrap_or_default();
    let chosen: Vec<_> = nodes.iter().filter(|(node, _)| is_strong(node.capacity, most)).collect();
    let load = chosen.iter().map(|(_, load)| load).sum::<f64>() / chosen.len().max(1) as f64;
    if chosen.len() < MIN_STRONG_NODES || load > MAX_STRONG_LOAD {
        return nodes.iter().map(|(node, _)| *node).collect();
    }
    chosen.into_iter().map(|(node, _)| *node).collect()
}
