//! Driver of the membership engine: sends gossip and publishes the view of the
//! nodes to the other engines.

use std::sync::{Arc, PoisonError};

use jacinthfall_config as config;
use jacinthfall_fate as fate;
use jacinthfall_member as member;
use jacinthfall_read as read;
use jacinthfall_wire::Frame;
use jacinthfall_wire::member::{Rumor, State};
use metrics::gauge;

use crate::daemon::context::Context;
use crate::daemon::job::Job;
use crate::daemon::peers;
use crate::daemon::state::Phase;
use crate::daemon::timer::Core;
use crate::util::lock::lock;

/// Passes an event to the membership engine and carries out the actions.
pub fn handle(context: &Arc<Context>, event: member::Event) {
    let mut engine = lock(&context.cores.member);
    let mut view_changed = false;
    for action in engine.handle(context.clock.time(), event) {
        match action {
            member::Action::Send { to, address, message } => {
                context.peers.set_address(&to, address);
                peers::send(context, &to, Frame::Member(message));
            }
            member::Action::ViewChanged => view_changed = true,
            member::Action::Retire => {
                if context.state.advance(Phase::Leaving) {
                    log::info!(
                        "the store entry of this node is marked as leaving; starting a planned stop"
                    );
                }
            }
            member::Action::Wake(time) => context.timer.set(Core::Member, time),
        }
    }
    if view_changed {
        let view = engine.view();
        publish_peers(context, &view);
        *context.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }
}

/// Passes the peers that are not dead to the peer connections, those that are alive to the config
/// and fate engines, and the number of nodes that are not dead to the read engines.
fn publish_peers(context: &Arc<Context>, view: &[Rumor]) {
    let live_nodes = view.iter().filter(|rumor| rumor.state != State::Dead);
    let others: Vec<_> =
        live_nodes.filter(|rumor| rumor.node.node != context.origin.node).collect();
    for rumor in &others {
        context.peers.set_address(&rumor.node.node, rumor.peer_address);
    }
    gauge!("jacinthfall_peers").set(u32::try_from(others.len()).unwrap_or(u32::MAX));
    context.peers.retain(|node| others.iter().any(|rumor| rumor.node.node == *node));
    let config_peers = others
        .iter()
        .filter(|rumor| rumor.state == State::Alive)
        .map(|rumor| config::Peer { node: rumor.node.node.clone(), zone: rumor.zone.clone() })
        .collect();
    context.post(Job::Config(config::Event::Peers(config_peers)));
    let fate_peers = others
        .iter()
        .filter(|rumor| rumor.state == State::Alive)
        .map(|rumor| fate::Peer {
            node: rumor.node.node.clone(),
            started: rumor.node.started,
            zone: rumor.zone.clone(),
        })
        .collect();
    context.post(Job::Fate(fate::Event::Peers(fate_peers)));
    let count = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
    let engines = context.cores.read_engines.read().unwrap_or_else(PoisonError::into_inner);
    for service in engines.keys() {
        let event = read::Event::Peers { count };
        context.post(Job::Read { service: service.clone(), event });
    }
}
