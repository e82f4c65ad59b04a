//! Requests to several nodes at once, whose replies are collected until a timeout.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use jacinthfall_core::id;
use jacinthfall_wire::Frame;

use crate::util::lock::lock;

/// Time after which a node that has not replied counts as missing.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// A reply of one node.
#[derive(Debug)]
pub struct Reply {
    /// The node that replied.
    pub from: id::Name,
    /// The frame that holds the reply.
    pub frame: Frame,
}

/// Replies to one broadcast.
#[derive(Debug)]
pub struct Replies {
    /// Replies that arrived in time, in order of arrival.
    pub replies: Vec<Reply>,
    /// Nodes that did not reply in time.
    pub missing: Vec<id::Name>,
}

/// Channels for the replies to open broadcasts, by token.
#[derive(Debug, Default)]
pub struct Broadcasts {
    open: Mutex<BTreeMap<id::Token, Sender<Reply>>>,
}

impl Broadcasts {
    /// Opens a broadcast. Send the request to the nodes afterwards, then call
    /// [`Broadcasts::wait`].
    pub fn open(&self, token: id::Token) -> Receiver<Reply> {
        let (sender, receiver) = unbounded();
        lock(&self.open).insert(token, sender);
        receiver
    }

    /// Delivers a reply. Drops it if its broadcast was closed.
    pub fn add_reply(&self, token: id::Token, reply: Reply) {
        if let Some(sender) = lock(&self.open).get(&token) {
            let _ = sender.send(reply);
        }
    }

    /// Waits for the replies of `nodes`, at most for the timeout, and closes the
    /// broadcast.
    pub fn wait(
        &self,
        token: id::Token,
        receiver: &Receiver<Reply>,
        nodes: impl IntoIterator<Item = id::Name>,
    ) -> Replies {
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let mut missing: BTreeSet<id::Name> = nodes.into_iter().collect();
        let mut replies = Vec::new();
        while !missing.is_empty() {
            let Ok(reply) = receiver.recv_deadline(deadline) else { break };
            if missing.remove(&reply.from) {
                replies.push(reply);
            }
        }
        lock(&self.open).remove(&token);
        Replies { replies, missing: missing.into_iter().collect() }
    }
}
