//! Communication with other nodes: heartbeats over UDP, and exchanges over HTTP/2.
//!
//! A heartbeat states the store revision up to which its sender knows all changes. A node
//! that is behind asks the sender, in an exchange, for the changes that it lacks.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bincode::config::standard;
use http::StatusCode;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::catalog::Delta;
use jacinthfall_dispatch::roster::{Heartbeat, Node, Phase};
use jacinthfall_net::client::{Client, Limits};
use jacinthfall_net::server::{Handler, Request, Response, Server};
use metrics::{counter, histogram};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::hub::Hub;

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2 * 1024;

/// Maximum number of connections from other nodes.
const MAX_CONNECTIONS: usize = 256;

/// Number of attempts to find a port that is free for both UDP and TCP.
const PORT_ATTEMPTS: usize = 16;

/// Maximum duration of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Limits on the wait for the response of an exchange.
const EXCHANGE_LIMITS: Limits = Limits { silence: EXCHANGE_TIMEOUT, total: EXCHANGE_TIMEOUT };

/// Pause between two exchanges.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(150);

/// Time for which a node that watches the store itself waits for changes that a peer already
/// has, before it asks the peer.
const MAX_WATCH_LAG: Duration = Duration::from_millis(400);

/// HTTP path of an exchange.
const EXCHANGE_PATH: &str = "/exchange";

/// Request of an exchange: asks a node for changes after a revision.
#[derive(Debug, Serialize, Deserialize)]
struct Query {
    /// Store revision up to which the sender of the query knows all changes.
    upto: u64,
}

/// Response of an exchange: the changes after the revision of the query.
#[derive(Debug, Serialize, Deserialize)]
struct Updates {
    /// Store revision and document of the configuration in force, if it is newer than the query.
    configuration: Option<(u64, Vec<u8>)>,
    /// Changed registrations of leafs.
    leafs: Delta,
    /// Store revision up to which the responding node knows all changes.
    upto: u64,
    /// All nodes, the responding one included, if the query's revision is 0; else empty.
    nodes: Vec<Node>,
}

/// Serves exchanges once the hub is set.
struct Exchange(Arc<OnceLock<Arc<Hub>>>);

impl Handler for Exchange {
    async fn handle(&self, request: Request) -> Option<Response> {
        let hub = self.0.get()?;
        let query = bincode::serde::decode_from_slice::<Query, _>(&request.body, standard());
        let Ok((query, _)) = query else {
            return Some(Response::new(
                StatusCode::BAD_REQUEST,
                "the body of the request can't be decoded",
            ));
        };
        let updates = collect_updates(hub, query.upto);
        match bincode::serde::encode_to_vec(&updates, standard()) {
            Ok(body) => Some(Response::new(StatusCode::OK, body)),
            Err(error) => {
                log::error!("event=exchange_failed reason=\"{error}\"");
                None
            }
        }
    }
}

/// Returns the changes after a revision, as far as this node knows them.
fn collect_updates(hub: &Hub, after: u64) -> Updates {
    let tables = hub.tables();
    let newer = tables.configuration.as_ref().filter(|known| known.revision > after);
    let others = tables.roster.members().map(|member| member.node.clone());
    Updates {
        configuration: newer.map(|known| (known.revision, known.document.to_vec())),
        leafs: tables.catalog.changes_since(after),
        upto: tables.upto,
        nodes: if after == 0 { others.chain([hub.own.clone()]).collect() } else { Vec::new() },
    }
}

/// Sockets for other nodes: UDP and TCP on the same port.
pub struct Sockets {
    /// Serves exchanges until it is dropped.
    server: Server,
    datagrams: UdpSocket,
    /// Set by [`Sockets::spawn`]; exchanges are served from then on.
    hub: Arc<OnceLock<Arc<Hub>>>,
}

impl Sockets {
    /// Binds the sockets; port 0 selects a port that is free for both.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub async fn bind(address: SocketAddr) -> io::Result<Sockets> {
        let mut attempts = if address.port() == 0 { PORT_ATTEMPTS } else { 1 };
        loop {
            attempts -= 1;
            let hub = Arc::new(OnceLock::new());
            let datagrams = UdpSocket::bind(address).await?;
            let exchange = Exchange(Arc::clone(&hub));
            match Server::bind(datagrams.local_addr()?, MAX_CONNECTIONS, exchange).await {
                Ok(server) => return Ok(Sockets { server, datagrams, hub }),
                Err(error) if attempts == 0 => return Err(error),
                Err(_) => {}
            }
        }
    }

    /// Returns the address that the sockets are bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts to serve exchanges and to send and receive heartbeats. Exchanges are served until
    /// the returned server is dropped.
    #[must_use]
    pub fn spawn(self, hub: Arc<Hub>) -> Server {
        let _ = self.hub.set(Arc::clone(&hub));
        let socket = Arc::new(self.datagrams);
        let (exchanges, requested) = mpsc::channel(1);
        tokio::spawn(send(Arc::clone(&hub), Arc::clone(&socket)));
        tokio::spawn(receive(Arc::clone(&hub), socket, exchanges));
        tokio::spawn(catch_up(hub, requested));
        self.server
    }
}

/// Sends heartbeats periodically, and at once when the state of this node has changed.
async fn send(hub: Arc<Hub>, socket: Arc<UdpSocket>) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut rng = ChaCha8Rng::seed_from_u64(hub.own.started);
    let mut phase = Phase::Starting;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = hub.heartbeat_due.notified() => {}
        }
        let beat = heartbeat(&hub);
        let targets = targets(&hub, &mut rng, beat.phase != phase);
        phase = beat.phase;
        let Ok(datagram) = bincode::serde::encode_to_vec(&beat, standard()) else { continue };
        for target in targets {
            // Errors are ignored: the next heartbeat makes up for a lost one.
            let _ = socket.try_send_to(&datagram, target);
        }
    }
}

/// Returns the nodes that a heartbeat is sent to: all of them with `to_all`, and the seeds
/// too while this node is starting or knows no other node.
fn targets(hub: &Hub, rng: &mut ChaCha8Rng, to_all: bool) -> Vec<SocketAddr> {
    let tables = hub.tables();
    let mut targets: Vec<SocketAddr> = if to_all {
        tables.roster.members().map(|member| member.node.peers).collect()
    } else {
        tables.roster.heartbeat_targets(&hub.own, rng)
    };
    if tables.phase == Phase::Starting || tables.roster.is_empty() {
        let seeds = hub.settings.seeds().into_iter().filter(|seed| *seed != hub.own.peers);
        targets.extend(seeds);
    }
    targets.sort_unstable();
    targets.dedup();
    targets
}

fn heartbeat(hub: &Hub) -> Heartbeat {
    let tables = hub.tables();
    let load = 1_000.0 * tables.parts.rate() / f64::from(hub.own.capacity.max(1));
    Heartbeat {
        node: hub.own.clone(),
        phase: tables.phase,
        upto: tables.upto,
        store_answers: hub.store_answers.load(Ordering::Relaxed),
        active: tables.is_active(),
        load: load.min(f64::from(u16::MAX)) as u16,
    }
}

/// Receives heartbeats, and requests an exchange with a sender that knows later changes.
async fn receive(hub: Arc<Hub>, socket: Arc<UdpSocket>, exchanges: mpsc::Sender<SocketAddr>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut behind_since: Option<Time> = None;
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            continue;
        };
        let decoded =
            bincode::serde::decode_from_slice::<Heartbeat, _>(&buffer[..length], standard());
        let Ok((beat, _)) = decoded else {
            log::warn!("event=heartbeat_unreadable bytes={length}");
            continue;
        };
        if beat.node.name == hub.own.name {
            continue;
        }
        let now = hub.now();
        let (ahead, follows) = {
            let mut tables = hub.tables();
            if tables.roster.record_heartbeat(now, &beat) {
                log::info!("event=node name={} phase={:?}", beat.node.name, beat.phase);
                if beat.phase == Phase::Starting {
                    // It may not know any node yet, so it is sent a heartbeat at once.
                    hub.heartbeat_due.notify_one();
                }
            }
            if beat.store_answers && beat.upto <= tables.upto {
                tables.confirmed = now;
            }
            let ahead = beat.upto > tables.upto;
            (ahead, ahead && tables.roster.is_follower_of_store(now, &hub.own))
        };
        if !ahead {
            continue;
        }
        let since = *behind_since.get_or_insert(now);
        let watches = follows && hub.store_answers.load(Ordering::Relaxed);
        if !watches || now.since(since) >= MAX_WATCH_LAG {
            behind_since = None;
            // One exchange at a time is enough; the next heartbeat triggers another one.
            let _ = exchanges.try_send(beat.node.peers);
        }
    }
}

/// Carries out the requested exchanges, one at a time.
async fn catch_up(hub: Arc<Hub>, mut requested: mpsc::Receiver<SocketAddr>) {
    while let Some(peer) = requested.recv().await {
        let started = Instant::now();
        let result = fetch_updates(&hub, peer).await;
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        counter!("jacinthfall_exchanges_total", "outcome" => outcome).increment(1);
        histogram!("jacinthfall_exchange_seconds", "outcome" => outcome).record(started.elapsed());
        match result {
            Ok(updates) => merge_updates(&hub, updates, peer),
            Err(error) => {
                let (upto, version) = {
                    let tables = hub.tables();
                    (tables.upto, tables.version())
                };
                log::info!(
                    "event=exchange_failed peer={peer} upto={upto} version={version} \
                     reason=\"{error}\""
                );
            }
        }
        tokio::time::sleep(EXCHANGE_PAUSE).await;
    }
}

async fn fetch_updates(hub: &Hub, peer: SocketAddr) -> Result<Updates, String> {
    let query = Query { upto: hub.tables().upto };
    let body = bincode::serde::encode_to_vec(&query, standard());
    let body = body.map_err(|error| error.to_string())?;
    let opened = timeout(EXCHANGE_LIMITS.total, Client::open(peer)).await;
    let opened = opened.map_err(|_| format!("not connected after {:?}", EXCHANGE_LIMITS.total))?;
    let client = opened.map_err(|error| error.to_string())?;
    let response = client.post_within(EXCHANGE_PATH, &[], body.into(), EXCHANGE_LIMITS).await;
    let response = response.map_err(|error| error.to_string())?;
    let decoded = bincode::serde::decode_from_slice(&response.body, standard());
    decoded.map(|(updates, _)| updates).map_err(|error| error.to_string())
}

fn merge_updates(hub: &Arc<Hub>, updates: Updates, peer: SocketAddr) {
    if let Some((revision, document)) = updates.configuration {
        hub.configure(revision, &document.into(), "peer");
    }
    let now = hub.now();
    let (changed, first) = {
        let mut tables = hub.tables();
        let changed = tables.catalog.merge(now, updates.leafs, updates.upto);
        let first = tables.upto == 0 && updates.upto > 0;
        tables.upto = tables.upto.max(updates.upto);
        for node in updates.nodes.into_iter().filter(|node| node.name != hub.own.name) {
            if !tables.roster.members().any(|member| member.node.name == node.name) {
                tables.roster.add_known(now, node);
            }
        }
        (changed, first)
    };
    if first || !changed.is_empty() {
        log::info!("event=leafs_from_peer peer={peer} upto={}", updates.upto);
        hub.apply_leaf_changes(&changed, "peer");
    }
}
