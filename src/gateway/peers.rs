//! Edge towards other nodes: heartbeats as datagrams, exchanges of what is known
//! over HTTP/2.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bincode::config::standard;
use http::StatusCode;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::catalog::Delta;
use jacinthfall_dispatch::roster::{Heartbeat, Node, Phase};
use jacinthfall_net::client::Client;
use jacinthfall_net::server::{Handler, Request, Response, Server};
use metrics::counter;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::hub::Hub;

/// Time between two heartbeats.
const INTERVAL: Duration = Duration::from_millis(250);

/// Largest datagram.
const DATAGRAM_BYTES: usize = 2 * 1024;

/// Connections of other nodes.
const CONNECTIONS: usize = 256;

/// Ports that are tried where any free one will do.
const PORT_ATTEMPTS: usize = 16;

/// Longest exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Shortest time between two exchanges.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(150);

/// Time for which a node that watches the store waits for what a peer already has.
const LAG: Duration = Duration::from_millis(400);

/// Path of an exchange.
const EXCHANGE: &str = "/exchange";

/// Asks a node for what it knows.
#[derive(Debug, Serialize, Deserialize)]
struct Question {
    /// Store revision up to which the asker knows all changes.
    upto: u64,
}

/// What a node knows that the asker may not.
#[derive(Debug, Serialize, Deserialize)]
struct Knowledge {
    /// Store revision and document of the configuration in force, if it is later.
    configuration: Option<(u64, Vec<u8>)>,
    /// What became known of leafs later.
    leafs: Delta,
    /// Store revision up to which the sender knows all changes.
    upto: u64,
    /// Nodes, the sender included, for an asker that knows nothing.
    nodes: Vec<Node>,
}

/// Serves exchanges once there is anything to tell.
struct Exchange(Arc<OnceLock<Arc<Hub>>>);

impl Handler for Exchange {
    async fn handle(&self, request: Request) -> Option<Response> {
        let hub = self.0.get()?;
        let question = bincode::serde::decode_from_slice::<Question, _>(&request.body, standard());
        let Ok((question, _)) = question else {
            return Some(Response::new(StatusCode::BAD_REQUEST, "unreadable question"));
        };
        let knowledge = knowledge(hub, question.upto);
        match bincode::serde::encode_to_vec(&knowledge, standard()) {
            Ok(body) => Some(Response::new(StatusCode::OK, body)),
            Err(error) => {
                log::error!("event=exchange_failed reason=\"{error}\"");
                None
            }
        }
    }
}

/// What this node knows after a revision.
fn knowledge(hub: &Hub, after: u64) -> Knowledge {
    let tables = hub.tables();
    let later = tables.configuration.as_ref().filter(|known| known.revision > after);
    let others = tables.roster.members().map(|member| member.node.clone());
    Knowledge {
        configuration: later.map(|known| (known.revision, known.document.to_vec())),
        leafs: tables.catalog.changes_since(after),
        upto: tables.upto,
        nodes: if after == 0 { others.chain([hub.own.clone()]).collect() } else { Vec::new() },
    }
}

/// Sockets for other nodes: one port for datagrams and connections.
pub struct Sockets {
    /// Serves exchanges until it is dropped.
    server: Server,
    datagrams: UdpSocket,
    hub: Arc<OnceLock<Arc<Hub>>>,
}

impl Sockets {
    /// Binds the sockets; port 0 takes one that is free for both.
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
            match Server::bind(datagrams.local_addr()?, CONNECTIONS, exchange).await {
                Ok(server) => return Ok(Sockets { server, datagrams, hub }),
                Err(error) if attempts == 0 => return Err(error),
                Err(_) => {}
            }
        }
    }

    /// Address that other nodes reach.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts to serve other nodes and to send heartbeats.
    #[must_use]
    pub fn spawn(self, hub: Arc<Hub>) -> Server {
        let _ = self.hub.set(Arc::clone(&hub));
        let socket = Arc::new(self.datagrams);
        let (behind, wanted) = mpsc::channel(1);
        tokio::spawn(send(Arc::clone(&hub), Arc::clone(&socket)));
        tokio::spawn(receive(Arc::clone(&hub), socket, behind));
        tokio::spawn(catch_up(hub, wanted));
        self.server
    }
}

/// Sends heartbeats at intervals, and at once when there are news.
async fn send(hub: Arc<Hub>, socket: Arc<UdpSocket>) {
    let mut pause = interval(INTERVAL);
    pause.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut rng = ChaCha8Rng::seed_from_u64(hub.own.started);
    let mut phase = Phase::Starting;
    loop {
        tokio::select! {
            _ = pause.tick() => {}
            () = hub.news.notified() => {}
        }
        let beat = heartbeat(&hub);
        let targets = targets(&hub, &mut rng, beat.phase != phase);
        phase = beat.phase;
        let Ok(datagram) = bincode::serde::encode_to_vec(&beat, standard()) else { continue };
        for target in targets {
            // A lost heartbeat is followed by the next one.
            let _ = socket.try_send_to(&datagram, target);
        }
    }
}

/// Nodes that a heartbeat goes to; all of them when this node's phase has changed, and
/// the seeds too until the node serves.
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

/// Takes in heartbeats; passes on who knows more than this node.
async fn receive(hub: Arc<Hub>, socket: Arc<UdpSocket>, behind: mpsc::Sender<SocketAddr>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut lagging: Option<Time> = None;
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(INTERVAL).await;
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
                    // It may know nobody yet.
                    hub.news.notify_one();
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
        let since = *lagging.get_or_insert(now);
        let watches = follows && hub.store_answers.load(Ordering::Relaxed);
        if !watches || now.since(since) >= LAG {
            lagging = None;
            // One exchange at a time is enough; the next heartbeat asks again.
            let _ = behind.try_send(beat.node.peers);
        }
    }
}

/// Asks nodes that know more for what they know.
async fn catch_up(hub: Arc<Hub>, mut wanted: mpsc::Receiver<SocketAddr>) {
    while let Some(peer) = wanted.recv().await {
        let asked = timeout(EXCHANGE_TIMEOUT, ask(&hub, peer)).await;
        let result = asked.unwrap_or_else(|_| Err(format!("timeout after {EXCHANGE_TIMEOUT:?}")));
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        counter!("jacinthfall_exchanges_total", "outcome" => outcome).increment(1);
        match result {
            Ok(knowledge) => take_in(&hub, knowledge, peer),
            Err(error) => log::info!("event=exchange_failed peer={peer} reason=\"{error}\""),
        }
        tokio::time::sleep(EXCHANGE_PAUSE).await;
    }
}

async fn ask(hub: &Hub, peer: SocketAddr) -> Result<Knowledge, String> {
    let question = Question { upto: hub.tables().upto };
    let body = bincode::serde::encode_to_vec(&question, standard());
    let body = body.map_err(|error| error.to_string())?;
    let client = Client::open(peer).await.map_err(|error| error.to_string())?;
    let response = client.post(EXCHANGE, &[], body.into()).await;
    let response = response.map_err(|error| error.to_string())?;
    let decoded = bincode::serde::decode_from_slice(&response.body, standard());
    decoded.map(|(knowledge, _)| knowledge).map_err(|error| error.to_string())
}

fn take_in(hub: &Arc<Hub>, knowledge: Knowledge, peer: SocketAddr) {
    if let Some((revision, document)) = knowledge.configuration {
        hub.configure(revision, &document.into(), "peer");
    }
    let now = hub.now();
    let (changed, first) = {
        let mut tables = hub.tables();
        let changed = tables.catalog.merge(now, knowledge.leafs, knowledge.upto);
        let first = tables.upto == 0 && knowledge.upto > 0;
        tables.upto = tables.upto.max(knowledge.upto);
        for node in knowledge.nodes.into_iter().filter(|node| node.name != hub.own.name) {
            if !tables.roster.members().any(|member| member.node.name == node.name) {
                tables.roster.add_known(now, node);
            }
        }
        (changed, first)
    };
    if first || !changed.is_empty() {
        log::info!("event=leafs_from_peer peer={peer} upto={}", knowledge.upto);
        hub.leafs_changed(&changed, "peer");
    }
}
