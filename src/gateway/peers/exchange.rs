//! Exchanges: the changes of leafs that another node knows and this one lacks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use jacinthfall_core::history::Position;
use jacinthfall_dispatch::catalog::Delta;
use jacinthfall_dispatch::evacuation::Statement;
use jacinthfall_dispatch::gossip;
use jacinthfall_dispatch::quarantine;
use jacinthfall_dispatch::roster::{Node, Phase};
use jacinthfall_dispatch::transfer::Rank;
use metrics::{counter, histogram};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::{Error, Peer};
use crate::gateway::evacuation;
use crate::gateway::hub::Hub;

/// HTTP path of an exchange.
pub(super) const PATH: &str = "/exchange";

/// HTTP path of what a node knows of evacuated zones. Older builds answer it with 404.
pub(super) const EVACUATIONS_PATH: &str = "/evacuations";

/// Pause between two exchanges.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(150);

/// Request of an exchange: asks a node for changes after a place.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Query {
    /// Place in the store's history up to which the sender of the query knows all changes.
    upto: Position,
    /// Whether no other node has told the sender yet what is known of requests that crash leafs.
    lacks_quarantine: bool,
}

/// Response of an exchange: the changes after the place in the query.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Updates {
    /// Rank of the latest configuration that is known to exist.
    configuration: Rank,
    /// Changed registrations of leafs.
    leafs: Delta,
    /// Place in the store's history up to which the responding node knows all changes.
    upto: Position,
    /// All nodes, the responding one included, if the node that asks knows nothing yet; else
    /// empty.
    nodes: Vec<Node>,
    /// Timeouts of callers; sent by earlier builds and ignored.
    timeouts: Vec<gossip::Row>,
    /// What is known of requests that crash leafs, if the node that asks lacks it; else empty.
    quarantine: Vec<quarantine::Row>,
}

/// Returns the changes after the place in a query, as far as this node knows them.
pub(super) fn collect_updates(hub: &Hub, query: &Query) -> Updates {
    let tables = hub.tables();
    let others = tables.roster.members().map(|member| member.node.clone());
    let nodes = if query.upto == Position::START {
        others.chain([hub.own.clone()]).collect()
    } else {
        Vec::new()
    };
    Updates {
        configuration: tables.ranks.latest(),
        leafs: tables.catalog.changes_since(query.upto),
        upto: tables.upto,
        nodes,
        timeouts: Vec::new(),
        quarantine: if query.lacks_quarantine {
            tables.quarantine.all(hub.now())
        } else {
            Vec::new()
        },
    }
}

/// Carries out the requested exchanges, one at a time.
pub(super) async fn catch_up(hub: Arc<Hub>, mut requested: mpsc::Receiver<SocketAddr>) {
    while let Some(peer) = requested.recv().await {
        let started = Instant::now();
        let result = fetch_updates(&hub, peer).await;
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        counter!("jacinthfall_exchanges_total", "outcome" => outcome).increment(1);
        histogram!("jacinthfall_exchange_seconds", "outcome" => outcome).record(started.elapsed());
        match result {
            Ok((updates, statement)) => {
                // No request may go to a leaf before it is known whether its zone is evacuated.
                match statement {
                    Some(statement) => evacuation::merge(&hub, &statement),
                    None => evacuation::record_uninformed(&hub),
                }
                merge_updates(&hub, updates, peer);
            }
            Err(error) => {
                let upto = hub.tables().upto;
                log::info!("event=exchange_failed peer={peer} upto={upto} reason=\"{error}\"");
            }
        }
        tokio::time::sleep(EXCHANGE_PAUSE).await;
    }
}

/// Returns what this node knows of evacuated zones.
pub(super) fn state_evacuations(hub: &Hub) -> Statement {
    hub.tables().evacuations.statement()
}

/// Asks a node for its updates, and then for the evacuated zones, which it knows up to a place that
/// isn't before that of the updates. There is no statement from a node of an older build.
async fn fetch_updates(hub: &Hub, peer: SocketAddr) -> Result<(Updates, Option<Statement>), Error> {
    let query = {
        let tables = hub.tables();
        let upto = if tables.unverified.is_some() { Position::START } else { tables.upto };
        Query { upto, lacks_quarantine: !tables.quarantine_received }
    };
    let peer = Peer::open(peer).await?;
    let updates = peer.ask(PATH, &query).await?;
    match peer.ask(EVACUATIONS_PATH, &()).await {
        Ok(statement) => Ok((updates, Some(statement))),
        Err(Error::Rejected(StatusCode::NOT_FOUND)) => Ok((updates, None)),
        Err(error) => Err(error),
    }
}

fn merge_updates(hub: &Arc<Hub>, updates: Updates, peer: SocketAddr) {
    hub.expect_configuration(updates.configuration);
    hub.merge_quarantine(&updates.quarantine);
    let now = hub.now();
    let (before, changed, first) = {
        let mut tables = hub.tables();
        let before = tables.upto;
        tables.quarantine_received |=
            tables.phase == Phase::Serving || !updates.quarantine.is_empty();
        if updates.upto.era >= before.era {
            tables.unverified = None;
        }
        let changed = tables.catalog.merge(now, updates.leafs, updates.upto);
        let first = tables.upto == Position::START && updates.upto > Position::START;
        tables.upto = tables.upto.max(updates.upto);
        for node in updates.nodes.into_iter().filter(|node| node.name != hub.own.name) {
            if !tables.roster.members().any(|member| member.node.name == node.name) {
                tables.roster.add_known(now, node);
            }
        }
        (before, changed, first)
    };
    hub.record_restore(before, "peer");
    if first || !changed.is_empty() {
        log::info!("event=leafs_from_peer peer={peer} upto={}", updates.upto);
        hub.apply_leaf_changes(&changed, "peer");
    } else {
        hub.serve_if_ready();
    }
}
