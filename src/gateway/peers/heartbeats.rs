//! Datagrams to other nodes: what this node tells them about itself, the store and callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bincode::config::standard;
use jacinthfall_dispatch::gossip::Datagram;
use jacinthfall_dispatch::roster::{Heartbeat, Phase};
use jacinthfall_dispatch::watch::Confirmation;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::evacuation;
use crate::gateway::hub::Hub;

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Number of nodes that what is new about callers is sent to, at each interval.
const GOSSIP_TARGETS: usize = 6;

/// Number of nodes that are told which zones are evacuated at each interval, without news. Each node
/// is told by as many others, so that it is rarely missed twice in a row.
const EVACUATION_TARGETS: usize = 3;

/// Number of nodes that observations of short shards are sent to, at each interval.
const SHORTAGE_TARGETS: usize = 4;

/// Sends heartbeats periodically, and at once when the state of this node has changed.
pub(super) async fn send(hub: Arc<Hub>, socket: Arc<UdpSocket>) {
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
        send_to_all(&socket, &Datagram::Heartbeat(beat), &targets);
        if let Some(confirmation) = confirmation(&hub) {
            send_to_all(&socket, &Datagram::Confirmation(confirmation), &targets);
        }
        if let Some((news, targets)) = quarantine(&hub, &mut rng) {
            send_to_all(&socket, &news, &targets);
        }
        send_evacuations(&hub, &socket, &mut rng);
        if let Some((report, targets)) = shortage(&hub, &mut rng) {
            send_to_all(&socket, &report, &targets);
        }
    }
}

/// Tells other nodes which zones are evacuated: as many as get a heartbeat if there is news, else a
/// few random ones.
fn send_evacuations(hub: &Arc<Hub>, socket: &UdpSocket, rng: &mut ChaCha8Rng) {
    let Some((statement, is_news)) = evacuation::next_statement(hub) else { return };
    let targets = if is_news {
        targets(hub, rng, false)
    } else {
        let tables = hub.tables();
        let members = tables.roster.members().map(|member| member.node.peers);
        members.choose_multiple(rng, EVACUATION_TARGETS)
    };
    send_to_all(socket, &Datagram::Evacuation(statement), &targets);
}

fn send_to_all(socket: &UdpSocket, datagram: &Datagram, targets: &[SocketAddr]) {
    let Ok(bytes) = bincode::serde::encode_to_vec(datagram, standard()) else { return };
    for target in targets {
        // Errors are ignored: later datagrams make up for a lost one.
        let _ = socket.try_send_to(&bytes, *target);
    }
}

/// Returns what is new about requests that crash leafs, and the nodes that it is sent to.
fn quarantine(hub: &Hub, rng: &mut ChaCha8Rng) -> Option<(Datagram, Vec<SocketAddr>)> {
    let mut tables = hub.tables();
    let rows = tables.quarantine.next_message(hub.now());
    if rows.is_empty() {
        return None;
    }
    let members = tables.roster.members().map(|member| member.node.peers);
    Some((Datagram::Quarantine(rows), members.choose_multiple(rng, GOSSIP_TARGETS)))
}

/// Returns what this node observes of short shards, and the nodes that it is sent to: some of
/// those that callers use.
fn shortage(hub: &Hub, rng: &mut ChaCha8Rng) -> Option<(Datagram, Vec<SocketAddr>)> {
    let tables = hub.tables();
    let report = tables.overload.report(hub.now())?;
    let active = tables.roster.members().filter(|member| member.active);
    let targets = active.map(|member| member.node.peers).choose_multiple(rng, SHORTAGE_TARGETS);
    Some((Datagram::Shortage(report), targets))
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

/// Returns what is new about how far this node knows the changes in the store.
fn confirmation(hub: &Hub) -> Option<Confirmation> {
    let mut tables = hub.tables();
    let (upto, passes_on) = (tables.upto, !tables.roster.is_small());
    tables.knowledge.next_statement(hub.now(), &hub.settings.schedule(), upto, passes_on)
}

fn heartbeat(hub: &Hub) -> Heartbeat {
    let tables = hub.tables();
    let load = 1_000.0 * tables.parts.rate() / f64::from(hub.own.capacity.max(1));
    Heartbeat {
        node: hub.own.clone(),
        phase: tables.phase,
        upto: tables.upto,
        configuration: tables.ranks.in_force(),
        store_answers: hub.store_answers.load(Ordering::Relaxed),
        active: tables.is_active(),
        load: load.min(f64::from(u16::MAX)) as u16,
        demand: tables.stated_demand,
        loss: tables.fleet.loss(),
    }
}
