//! Dispatches the frames of other nodes to the modules that handle them.

use jacinthfall_config as config;
use jacinthfall_core::id;
use jacinthfall_fate as fate;
use jacinthfall_member as member;
use jacinthfall_read as read;
use jacinthfall_wire::{Envelope, Frame, leaf, status, timeline};
use metrics::counter;

use super::broadcasts::Reply;
use super::context::Context;
use super::job::Job;
use super::peers;
use crate::util::lock::lock;

/// Handles one envelope: advances the clock of the timeline and dispatches the frame.
pub fn handle(context: &Context, envelope: Envelope) {
    counter!("jacinthfall_peer_frames_received_total").increment(1);
    lock(&context.timeline).observe(context.clock.wall(), envelope.stamp);
    let from = envelope.from;
    match envelope.frame {
        Frame::Member(message) => {
            context.post(Job::Member(member::Event::Frame { from, message }));
        }
        Frame::Config(message) => {
            context.post(Job::Config(config::Event::Frame { from: from.node, message }));
        }
        Frame::Fate(message) => {
            context.post(Job::Fate(fate::Event::Frame { from: from.node, message }));
        }
        Frame::Timeline(message) => handle_timeline(context, from.node, message),
        Frame::Status(message) => handle_status(context, from.node, message),
        Frame::Leaf(message) => handle_leaf(context, message),
    }
}

fn handle_timeline(context: &Context, from: id::Name, message: timeline::Message) {
    match message {
        timeline::Message::Find { token, filter } => {
            let entries = lock(&context.timeline).find(&filter);
            let found = timeline::Message::Found { token, entries };
            peers::send(context, &from, Frame::Timeline(found));
        }
        timeline::Message::Found { token, .. } => {
            context.broadcasts.add_reply(token, Reply { from, frame: Frame::Timeline(message) });
        }
    }
}

fn handle_status(context: &Context, from: id::Name, message: status::Message) {
    match message {
        status::Message::Find { token, key } => {
            let status = lock(&context.cores.config).status(context.clock.time());
            let found = status::Message::Found {
                token,
                revision: status.revisions.get(&key).copied(),
                unconfirmed: u64::try_from(status.unconfirmed.as_millis()).unwrap_or(u64::MAX),
            };
            peers::send(context, &from, Frame::Status(found));
        }
        status::Message::Found { token, .. } => {
            context.broadcasts.add_reply(token, Reply { from, frame: Frame::Status(message) });
        }
    }
}

fn handle_leaf(context: &Context, message: leaf::Message) {
    let event = read::Event::Leaving { leaf: message.leaf, leaving: message.leaving };
    context.post(Job::Read { service: message.service, event });
}
