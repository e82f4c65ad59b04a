//! Datagrams of other nodes, and what this node learns from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bincode::config::standard;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::gossip::Datagram;
use jacinthfall_dispatch::overload::shortage;
use jacinthfall_dispatch::roster::{Heartbeat, Node, Phase};
use metrics::counter;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::quotas;
use crate::gateway::evacuation;
use crate::gateway::hub::{Hub, MAX_WATCH_LAG};

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2 * 1024;

/// Pause after the socket has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time after which a node knows about callers what the others know.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Receives datagrams until the future is dropped, and requests an exchange with the sender of a
/// heartbeat that knows later changes.
pub(super) async fn run(
    hub: Arc<Hub>,
    socket: Arc<UdpSocket>,
    exchanges: mpsc::Sender<SocketAddr>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut receiver = Receiver { hub, socket, exchanges, behind_since: None };
    loop {
        let Ok((length, from)) = receiver.socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        match bincode::serde::decode_from_slice::<Datagram, _>(&buffer[..length], standard()) {
            Ok((datagram, _)) => receiver.handle(datagram, from),
            Err(_) => log::warn!("event=heartbeat_unreadable bytes={length}"),
        }
    }
}

/// Handles datagrams.
struct Receiver {
    hub: Arc<Hub>,
    socket: Arc<UdpSocket>,
    /// Requests exchanges.
    exchanges: mpsc::Sender<SocketAddr>,
    /// Since when another node has known changes that this one lacks.
    behind_since: Option<Time>,
}

impl Receiver {
    fn handle(&mut self, datagram: Datagram, from: SocketAddr) {
        let hub = &self.hub;
        match datagram {
            Datagram::Heartbeat(beat) => self.handle_heartbeat(&beat),
            Datagram::Gossip(_) => {}
            Datagram::Quarantine(rows) => hub.merge_quarantine(&rows),
            Datagram::QuotaAsk(ask) => quotas::answer(hub, &self.socket, &ask, from),
            Datagram::QuotaReply(reply) => hub.quotas.receive_reply(&reply),
            Datagram::Evacuation(statement) => evacuation::merge(hub, &statement),
            Datagram::Shortage(report) => merge_shortage(hub, from, &report),
            Datagram::Confirmation(confirmation) => {
                let mut tables = hub.tables();
                let upto = tables.upto;
                tables.knowledge.merge(hub.now(), &confirmation, upto);
            }
        }
    }

    fn handle_heartbeat(&mut self, beat: &Heartbeat) {
        let hub = &self.hub;
        if beat.node.name == hub.own.name {
            return;
        }
        let now = hub.now();
        hub.expect_configuration(beat.configuration);
        if !self.record(now, beat) {
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        let follows = hub.tables().roster.is_follower_of_store(now, &hub.own);
        let watches = follows && hub.store_answers.load(Ordering::Relaxed);
        if !watches || now.since(since) >= MAX_WATCH_LAG {
            self.behind_since = None;
            self.request_exchange(beat);
        }
    }

    /// Records a heartbeat. Returns whether its sender knows changes that this node lacks.
    fn record(&self, now: Time, beat: &Heartbeat) -> bool {
        let hub = &self.hub;
        let mut tables = hub.tables();
        if tables.roster.record_heartbeat(now, beat) {
            log::info!("event=node name={} phase={:?}", beat.node.name, beat.phase);
            if beat.phase == Phase::Starting {
                // It may not know any node yet, so it is sent a heartbeat at once.
                hub.heartbeat_due.notify_one();
            }
        }
        let is_same_era = beat.upto.era == tables.upto.era;
        let verifies = tables.unverified.is_some() && is_same_era && beat.phase == Phase::Serving;
        let is_ahead = beat.upto > tables.upto || verifies;
        if !is_ahead && !tables.quarantine_received && is_settled(&beat.node, &hub.own) {
            self.request_exchange(beat);
        }
        is_ahead
    }

    /// Requests an exchange with the sender of a heartbeat. One at a time is enough: if one is
    /// requested already, the next heartbeat requests another.
    fn request_exchange(&self, beat: &Heartbeat) {
        let _ = self.exchanges.try_send(beat.node.peers);
    }
}

/// Adds what another node observes of short shards, if that node is known.
fn merge_shortage(hub: &Hub, from: SocketAddr, report: &shortage::Report) {
    let mut tables = hub.tables();
    let is_known = tables.roster.members().any(|member| member.node.peers == from);
    if !is_known || !tables.overload.merge(hub.now(), from, report) {
        counter!("jacinthfall_shortage_reports_dropped_total").increment(1);
    }
}

/// Whether a node had been running long enough to know about callers when this one started.
fn is_settled(node: &Node, own: &Node) -> bool {
    let running = Duration::from_millis(own.started.saturating_sub(node.started));
    running >= SETTLING_TIME
}
