//! Messages about the quotas of organisations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bincode::config::standard;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::gossip::Datagram;
use jacinthfall_dispatch::quota::{Ask, Members, Outbox};
use jacinthfall_dispatch::roster::Phase;
use metrics::counter;
use tokio::net::UdpSocket;

use crate::gateway::hub::{Hub, MIN_ASSUMED_NODES};

/// Interval at which the nodes that may grant are determined.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the start of this process in which it may not know all nodes.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Exchanges messages with the other nodes, if the settings have quotas.
pub(super) async fn run(hub: Arc<Hub>, socket: Arc<UdpSocket>) {
    if !hub.quotas.is_enabled() {
        return;
    }
    let (mut updated, mut members) = (None, Members::default());
    loop {
        let now = hub.now();
        if updated.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL) {
            updated = Some(now);
            update(&hub, &mut members, now);
        }
        send(&hub, &socket, hub.quotas.poll());
        hub.quotas.due().await;
    }
}

fn update(hub: &Hub, members: &mut Members, now: Time) {
    let (known, hears_others) = {
        let tables = hub.tables();
        let hears_others = tables.roster.members().any(|member| member.is_heard(now));
        let members = tables.roster.members().filter(|member| member.phase != Phase::Leaving);
        let own = (tables.phase != Phase::Leaving).then(|| hub.own.name.clone());
        let members = members.map(|member| member.node.name.clone()).chain(own);
        (members.collect::<Vec<id::Name>>(), hears_others)
    };
    // A node without news doesn't know of those that have started meanwhile.
    let has_news = hears_others || hub.store_answers.load(Ordering::Relaxed);
    let is_settled = now.since(Time(0)) >= SETTLING_TIME;
    let min_nodes = if is_settled && has_news { 1 } else { MIN_ASSUMED_NODES };
    hub.quotas.update(members.update(now, known), min_nodes, hub.snapshot().as_deref());
}

fn send(hub: &Hub, socket: &UdpSocket, outbox: Outbox) {
    for (name, ask) in outbox {
        let address = hub.tables().roster.member(&name).map(|member| member.node.peers);
        if let Some(address) = address {
            send_to(socket, &Datagram::QuotaAsk(ask), address);
        }
    }
}

/// Answers a message of another node.
pub(super) fn answer(hub: &Hub, socket: &UdpSocket, ask: &Ask, from: SocketAddr) {
    if let Some(reply) = hub.quotas.receive_ask(ask) {
        send_to(socket, &Datagram::QuotaReply(reply), from);
    }
}

fn send_to(socket: &UdpSocket, datagram: &Datagram, address: SocketAddr) {
    let Ok(bytes) = bincode::serde::encode_to_vec(datagram, standard()) else { return };
    counter!("jacinthfall_quota_bytes_sent_total").increment(bytes.len() as u64);
    // Errors are ignored: later messages make up for a lost one.
    let _ = socket.try_send_to(&bytes, address);
}
