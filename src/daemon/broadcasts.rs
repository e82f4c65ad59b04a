//! Questions to several nodes at once, answered within a time limit.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use jacinthfall_core::id;
use jacinthfall_wire::Frame;

use crate::util::lock::lock;

/// Time that nodes have to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// A reply with its sender.
#[derive(Debug)]
pub struct Reply {
    /// The node that replied.
    pub from: id::Name,
    /// Its reply.
    pub frame: Frame,
}

/// Replies to one question.
#[derive(Debug)]
pub struct Replies {
    /// Those that came in time.
    pub replies: Vec<Reply>,
    /// Nodes that did not reply.
    pub missing: Vec<id::Name>,
}

/// Open questions by token.
#[derive(Debug, Default)]
pub struct Broadcasts {
    open: Mutex<BTreeMap<id::Token, Sender<Reply>>>,
}

impl Broadcasts {
    /// Opens a question; ask the nodes afterwards, then [`Broadcasts::wait`].
    pub fn open(&self, token: id::Token) -> Receiver<Reply> {
        let (sender, receiver) = unbounded();
        lock(&self.open).insert(token, sender);
        receiver
    }

    /// Hands in a reply; it is dropped if its question was closed.
    pub fn add_reply(&self, token: id::Token, reply: Reply) {
        if let Some(sender) = lock(&self.open).get(&token) {
            let _ = sender.send(reply);
        }
    }

    /// Waits for the replies of `nodes` and closes the question.
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
