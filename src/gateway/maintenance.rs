//! Periodic work of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::time::Time;
use jacinthfall_dispatch::roster::Phase;

use super::evacuation;
use super::hub::{Hub, MIN_ASSUMED_NODES};
use super::probes;
use super::tables::MAINTENANCE_INTERVAL;

/// Time for which the number of active nodes is held after it has dropped. For as long after the
/// start, [`MIN_ASSUMED_NODES`] applies even if fewer nodes are known.
const NODE_COUNT_HOLD: Duration = Duration::from_secs(10);

/// Time between two maintenance ticks from which on this process counts as having been paused.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Periodically removes expired nodes, leafs and connections, updates the number of active
/// nodes, and logs summaries.
pub async fn run(hub: Arc<Hub>) {
    let mut interval = tokio::time::interval(MAINTENANCE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_tick = hub.now();
    loop {
        interval.tick().await;
        let now = hub.now();
        let (node_changes, expired) = {
            let mut tables = hub.tables();
            let node_changes = tables.roster.expire(now, &hub.own);
            tables.parts.tick();
            tables.demand.tick();
            let active = tables.roster.active_nodes(now, NODE_COUNT_HOLD);
            let known_nodes = tables.roster.len() + 1;
            let settled = now.since(Time(0)) > NODE_COUNT_HOLD;
            let min_nodes =
                if settled { known_nodes.min(MIN_ASSUMED_NODES) } else { MIN_ASSUMED_NODES };
            let nodes = active.max(min_nodes);
            if nodes != tables.nodes {
                tables.set_nodes(nodes);
            }
            let max_share = if settled { 1.0 } else { 1.0 / nodes as f64 };
            tables.update_share(now, &hub.own, max_share);
            tables.quarantine.expire(now);
            let is_known = |address: &SocketAddr| {
                tables.roster.members().any(|member| member.node.peers == *address)
            };
            hub.relays.retain(is_known);
            (node_changes, tables.catalog.expire(now))
        };
        for (name, change) in node_changes {
            log::info!("event=node name={name} phase={change:?}");
        }
        if !expired.is_empty() {
            hub.apply_leaf_changes(&expired, "lapse");
        }
        // After a pause of this process, responses are waiting to be read.
        if now.since(last_tick) < MAX_TICK_GAP {
            hub.update_reach(now);
        }
        evacuation::expire(&hub);
        probes::spawn(&hub);
        last_tick = now;
        if hub.tables().phase == Phase::Starting {
            hub.serve_if_ready();
        }
        hub.audit.log_warmups(now, &hub.tables);
        hub.pool.expire(now);
        hub.audit.flush_if_due(now, &hub.tables);
        hub.metrics.run_upkeep();
    }
}
