//! Transfer of the configuration from a node that has a later one in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_dispatch::transfer::{Download, Piece, Progress, Rank};
use metrics::counter;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::Peer;
use crate::gateway::document::Document;
use crate::gateway::hub::{Hub, MAX_WATCH_LAG};

/// HTTP path of a request for a piece of the configuration.
pub(super) const PATH: &str = "/configuration";

/// Bounds of the pause after all sources were busy or failed, in milliseconds.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 50..150;

/// Asks for a piece of a configuration that is later than the one in force.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Query {
    /// Name of the node that asks.
    node: id::Name,
    /// Rank of the latest configuration that it has examined.
    rank: Rank,
    /// How far it is with a later one.
    progress: Option<Progress>,
}

/// Reply to a [`Query`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Reply {
    /// The next piece.
    Piece(Piece),
    /// Too many nodes are being sent the configuration; another node may have room.
    Busy,
    /// This node has nothing that is later.
    Nothing,
}

/// Returns the reply to a query.
pub(super) fn reply(hub: &Hub, query: &Query) -> Reply {
    let now = hub.now();
    let mut tables = hub.tables();
    let Some(known) = &tables.configuration else { return Reply::Nothing };
    let (edition, packed) = (known.edition, known.packed.clone());
    let begun = query.progress.map(|progress| progress.edition.rank).unwrap_or_default();
    if edition.rank <= query.rank || edition.rank < begun {
        return Reply::Nothing;
    }
    if !tables.slots.admit(now, &query.node) {
        return Reply::Busy;
    }
    let progress = query.progress.filter(|progress| progress.edition == edition);
    let piece = Piece::cut(edition, &packed, progress.map_or(0, |progress| progress.offset));
    if piece.is_last() {
        tables.slots.release(&query.node);
    }
    Reply::Piece(piece)
}

/// How an attempt to fetch the configuration from one node ended.
enum Outcome {
    /// It is complete.
    Complete(Document),
    /// The node has no room, or nothing that is later.
    Unavailable(&'static str),
}

/// Fetches each later configuration that another node has in force.
pub(super) async fn follow(hub: Arc<Hub>) {
    let mut rng = ChaCha8Rng::seed_from_u64(hub.own.started);
    let mut download = Download::default();
    let mut failed: Vec<SocketAddr> = Vec::new();
    loop {
        let sources = sources(&hub, &mut download);
        if sources.is_empty() {
            failed.clear();
            hub.configuration_expected.notified().await;
            continue;
        }
        if let Some(pause) = time_for_watch(&hub) {
            tokio::time::sleep(pause).await;
            continue;
        }
        let untried: Vec<SocketAddr> =
            sources.into_iter().filter(|source| !failed.contains(source)).collect();
        let Some(source) = untried.choose(&mut rng).copied() else {
            failed.clear();
            let pause = Duration::from_millis(rng.random_range(RETRY_PAUSE_MS));
            tokio::time::sleep(pause).await;
            continue;
        };
        let outcome = fetch(&hub, source, &mut download).await;
        let name = match &outcome {
            Ok(Outcome::Complete(_)) => "ok",
            Ok(Outcome::Unavailable(reason)) => reason,
            Err(_) => "failed",
        };
        counter!("jacinthfall_configuration_transfers_total", "outcome" => name).increment(1);
        match outcome {
            Ok(Outcome::Complete(document)) => {
                failed.clear();
                hub.configure_from_peer(&document);
            }
            Ok(Outcome::Unavailable(_)) => failed.push(source),
            Err(error) => {
                let arrived = download.progress().map_or(0, |progress| progress.offset);
                log::info!(
                    "event=transfer_failed peer={source} arrived_bytes={arrived} \
                     reason=\"{error}\""
                );
                failed.push(source);
            }
        }
    }
}

/// Returns the addresses of nodes that can send a later configuration. Drops a download that none
/// of them can continue.
fn sources(hub: &Hub, download: &mut Download) -> Vec<SocketAddr> {
    let tables = hub.tables();
    let sources = tables.roster.configuration_sources(hub.now(), &hub.own, tables.ranks.examined());
    if let Some(progress) = download.progress()
        && !sources.iter().any(|member| member.configuration >= progress.edition.rank)
    {
        download.clear();
    }
    sources.into_iter().map(|member| member.node.peers).collect()
}

/// Returns how long to wait for the store, if this node watches it and so will probably read the
/// configuration there.
fn time_for_watch(hub: &Hub) -> Option<Duration> {
    if !hub.store_answers.load(Ordering::Relaxed) {
        return None;
    }
    let now = hub.now();
    let tables = hub.tables();
    if !tables.roster.is_follower_of_store(now, &hub.own) {
        return None;
    }
    let left = MAX_WATCH_LAG.saturating_sub(tables.ranks.time_behind(now));
    (!left.is_zero()).then_some(left)
}

/// Fetches pieces from one node until the configuration is complete.
async fn fetch(
    hub: &Hub,
    source: SocketAddr,
    download: &mut Download,
) -> Result<Outcome, Box<dyn std::error::Error + Send + Sync>> {
    let peer = Peer::open(source).await?;
    loop {
        let query = Query {
            node: hub.own.name.clone(),
            rank: hub.tables().ranks.examined(),
            progress: download.progress(),
        };
        let piece = match peer.ask(PATH, &query).await? {
            Reply::Piece(piece) => piece,
            Reply::Busy => return Ok(Outcome::Unavailable("busy")),
            Reply::Nothing => return Ok(Outcome::Unavailable("nothing")),
        };
        if let Some((edition, packed)) = download.accept(&piece)? {
            return Ok(Outcome::Complete(Document::unpack(edition, packed)?));
        }
    }
}
