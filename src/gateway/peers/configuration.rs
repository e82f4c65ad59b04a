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

use super::{Error, Peer};
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

/// Fetches each later configuration that another node has in force.
pub(super) async fn follow(hub: Arc<Hub>) {
    let rng = ChaCha8Rng::seed_from_u64(hub.own.started);
    let mut fetcher = Fetcher { hub, rng, download: Download::default(), failed: Vec::new() };
    loop {
        fetcher.step().await;
    }
}

/// How an attempt to fetch the configuration from one node ended.
enum Outcome {
    /// It is complete.
    Complete(Document),
    /// The node has no room for this one.
    Busy,
    /// The node has nothing that is later.
    Nothing,
}

impl Outcome {
    fn name(&self) -> &'static str {
        match self {
            Outcome::Complete(_) => "ok",
            Outcome::Busy => "busy",
            Outcome::Nothing => "nothing",
        }
    }
}

/// State of the fetching of configurations.
struct Fetcher {
    hub: Arc<Hub>,
    rng: ChaCha8Rng,
    /// What has arrived so far.
    download: Download,
    /// Addresses of the nodes that were busy or failed since the latest pause.
    failed: Vec<SocketAddr>,
}

impl Fetcher {
    /// Makes one attempt, or waits until there is reason for one.
    async fn step(&mut self) {
        let sources = self.sources();
        if sources.is_empty() {
            self.failed.clear();
            self.hub.configuration_expected.notified().await;
            return;
        }
        if let Some(pause) = self.time_for_watch() {
            tokio::time::sleep(pause).await;
            return;
        }
        let is_untried = |source: &&SocketAddr| !self.failed.contains(source);
        let untried: Vec<SocketAddr> = sources.iter().filter(is_untried).copied().collect();
        match untried.choose(&mut self.rng).copied() {
            Some(source) => self.attempt(source).await,
            None => {
                self.failed.clear();
                let pause = Duration::from_millis(self.rng.random_range(RETRY_PAUSE_MS));
                tokio::time::sleep(pause).await;
            }
        }
    }

    /// Returns the addresses of nodes that can send a later configuration. Drops a download that
    /// none of them can continue.
    fn sources(&mut self) -> Vec<SocketAddr> {
        let tables = self.hub.tables();
        let (now, rank) = (self.hub.now(), tables.ranks.examined());
        let sources = tables.roster.configuration_sources(now, &self.hub.own, rank);
        if let Some(progress) = self.download.progress()
            && !sources.iter().any(|member| member.configuration >= progress.edition.rank)
        {
            self.download.clear();
        }
        sources.into_iter().map(|member| member.node.peers).collect()
    }

    /// Returns how long to wait for the store, if this node watches it and so will probably read
    /// the configuration there.
    fn time_for_watch(&self) -> Option<Duration> {
        if !self.hub.store_answers.load(Ordering::Relaxed) {
            return None;
        }
        let now = self.hub.now();
        let tables = self.hub.tables();
        if !tables.roster.is_follower_of_store(now, &self.hub.own) {
            return None;
        }
        let left = MAX_WATCH_LAG.saturating_sub(tables.ranks.time_behind(now));
        (!left.is_zero()).then_some(left)
    }

    /// Tries to fetch the configuration from one node.
    async fn attempt(&mut self, source: SocketAddr) {
        let result = self.fetch(source).await;
        let name = result.as_ref().map_or("failed", Outcome::name);
        counter!("jacinthfall_configuration_transfers_total", "outcome" => name).increment(1);
        match result {
            Ok(Outcome::Complete(document)) => {
                self.failed.clear();
                self.hub.configure_from_peer(&document);
            }
            Ok(Outcome::Busy | Outcome::Nothing) => self.failed.push(source),
            Err(error) => {
                let arrived = self.download.progress().map_or(0, |progress| progress.offset);
                log::info!(
                    "event=transfer_failed peer={source} arrived_bytes={arrived} \
                     reason=\"{error}\""
                );
                self.failed.push(source);
            }
        }
    }

    /// Fetches pieces from one node until the configuration is complete.
    async fn fetch(&mut self, source: SocketAddr) -> Result<Outcome, Error> {
        let peer = Peer::open(source).await?;
        loop {
            let query = Query {
                node: self.hub.own.name.clone(),
                rank: self.hub.tables().ranks.examined(),
                progress: self.download.progress(),
            };
            let piece = match peer.ask(PATH, &query).await? {
                Reply::Piece(piece) => piece,
                Reply::Busy => return Ok(Outcome::Busy),
                Reply::Nothing => return Ok(Outcome::Nothing),
            };
            if let Some((edition, packed)) = self.download.accept(&piece)? {
                return Ok(Outcome::Complete(Document::unpack(edition, packed)?));
            }
        }
    }
}
