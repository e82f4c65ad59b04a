//! Pending requests to the fate engine: lookups, and the hand-over of fates at a stop.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use jacinthfall_core::fate::Fate;
use jacinthfall_core::id;

use crate::util::lock::lock;

/// Fates found for a request id.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// The fates, oldest first.
    pub fates: Vec<Fate>,
    /// Whether every node that stores fates of the request replied and none had evicted any.
    pub complete: bool,
    /// Age up to which the records of all nodes that replied are complete.
    pub reach: Duration,
}

/// Channels for the answers of lookups, by token, and for the end of the hand-over.
#[derive(Debug)]
pub struct Lookups {
    open: Mutex<BTreeMap<id::Token, Sender<Found>>>,
    handed_over: (Sender<()>, Receiver<()>),
}

impl Default for Lookups {
    fn default() -> Lookups {
        Lookups { open: Mutex::default(), handed_over: bounded(1) }
    }
}

impl Lookups {
    /// Opens a lookup and returns the receiver of its answer.
    pub fn open(&self, token: id::Token) -> Receiver<Found> {
        let (sender, receiver) = bounded(1);
        lock(&self.open).insert(token, sender);
        receiver
    }

    /// Answers a lookup. Does nothing if it was closed.
    pub fn answer(&self, token: id::Token, found: Found) {
        if let Some(sender) = lock(&self.open).remove(&token) {
            let _ = sender.send(found);
        }
    }

    /// Closes a lookup that may have timed out.
    pub fn close(&self, token: id::Token) {
        lock(&self.open).remove(&token);
    }

    /// Reports that the hand-over has ended.
    pub fn notify_handed_over(&self) {
        let _ = self.handed_over.0.try_send(());
    }

    /// Returns the receiver of a message at the end of the hand-over.
    pub fn hand_over_receiver(&self) -> &Receiver<()> {
        &self.handed_over.1
    }
}
