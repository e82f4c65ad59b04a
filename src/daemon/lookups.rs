//! Questions to the keeper of fates that wait for their answer.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use jacinthfall_core::fate::Fate;
use jacinthfall_core::id;

use crate::util::lock::lock;

/// Fates found under an id.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// The fates, oldest first.
    pub fates: Vec<Fate>,
    /// Whether every keeper of the id replied.
    pub complete: bool,
    /// How far back the records of those that replied reach without a gap.
    pub reach: Duration,
}

/// Open questions by token, and whether the hand-over has ended.
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
    /// Opens a question and returns where its answer will come.
    pub fn open(&self, token: id::Token) -> Receiver<Found> {
        let (sender, receiver) = bounded(1);
        lock(&self.open).insert(token, sender);
        receiver
    }

    /// Answers a question; nothing happens if it was closed.
    pub fn answer(&self, token: id::Token, found: Found) {
        if let Some(sender) = lock(&self.open).remove(&token) {
            let _ = sender.send(found);
        }
    }

    /// Closes a question that got no answer in time.
    pub fn close(&self, token: id::Token) {
        lock(&self.open).remove(&token);
    }

    /// Notes that every fate was handed over.
    pub fn notify_handed_over(&self) {
        let _ = self.handed_over.0.try_send(());
    }

    /// Where the end of the hand-over is reported.
    pub fn hand_over_receiver(&self) -> &Receiver<()> {
        &self.handed_over.1
    }
}
