//! Copying fates to nodes that become their keepers because nodes joined or left, or
//! because this node is stopping.

use std::time::Duration;

use jacinthfall_core::time::Time;

use super::Keeper;
use crate::outbox::Outbox;
use crate::table::Serial;
use crate::view::View;
use crate::{Action, Peer};

/// Maximum age at which the fates of a lost node are copied to all their keepers
/// again. The node may have been lost before its own copies arrived.
pub const RECOPY_MAX_AGE: Duration = Duration::from_secs(10);

/// Maximum duration of a hand-over.
pub const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of entries checked per batch interval after the live nodes changed.
const REPAIR_CHUNK_ENTRIES: usize = 2_000;

/// Progress of copying fates to the nodes that became their keepers.
#[derive(Debug)]
pub(super) struct Repair {
    /// The live nodes before the change.
    pub(super) old_view: View,
    /// First entry that is not checked yet.
    next: Serial,
    /// First entry that was inserted after the change and needs no check.
    end: Serial,
}

impl Keeper {
    /// Replaces the live peers and starts to copy fates to their new keepers.
    pub(super) fn update_peers(&mut self, now: Time, peers: Vec<Peer>) {
        self.finish_repair(now);
        self.peers = peers;
        let local = self.hand_over_deadline.is_none().then(|| self.local.clone());
        let view = View::new(self.peers.iter().cloned().chain(local), self.settings.cells);
        let old_view = std::mem::replace(&mut self.view, view);
        let view = &self.view;
        self.outboxes.retain(|node, outbox| {
            view.node(node).is_some_and(|peer| peer.started == outbox.started)
        });
        let is_live = |node: &str| view.node(node).is_some();
        self.searches.values_mut().for_each(|search| search.retain_live(is_live));
        self.peers_changed_at = now;
        self.repair = Some(Repair { old_view, next: 0, end: self.table.next_serial() });
        self.schedule_flush(now);
    }

    /// Starts the hand-over: removes this node from the view, queues copies for the
    /// nodes that become keepers, and queues copies of requests in progress.
    pub(super) fn hand_over(&mut self, now: Time) {
        if self.hand_over_deadline.is_some() {
            return;
        }
        self.hand_over_deadline = Some(now + HAND_OVER_TIMEOUT);
        self.update_peers(now, self.peers.clone());
        self.finish_repair(now);
        let in_progress = std::mem::take(&mut self.in_progress);
        in_progress.into_iter().for_each(|(_, serial)| self.enqueue_in_progress(now, serial));
    }

    /// Checks all remaining entries of the repair.
    pub(super) fn finish_repair(&mut self, now: Time) {
        while self.repair.is_some() {
            self.repair_chunk(now);
        }
    }

    /// Checks the next chunk of entries, and queues copies for the nodes that became
    /// their keepers.
    pub(super) fn repair_chunk(&mut self, now: Time) {
        let Some(mut repair) = self.repair.take() else { return };
        let entries =
            self.table.iter_from(repair.next).take_while(|(serial, _)| *serial < repair.end);
        let chunk: Vec<Serial> =
            entries.take(REPAIR_CHUNK_ENTRIES).map(|(serial, _)| serial).collect();
        for &serial in &chunk {
            for keeper in self.new_keepers(now, &repair.old_view, serial) {
                self.queue_copy(now, &keeper, serial);
            }
        }
        if chunk.len() == REPAIR_CHUNK_ENTRIES {
            repair.next = chunk[REPAIR_CHUNK_ENTRIES - 1] + 1;
            self.repair = Some(repair);
        }
    }

    /// Returns the keepers of an entry that need a copy of it: those that were not its
    /// keepers in `old_view`, or all if the serving node was just lost.
    pub(super) fn new_keepers(&self, now: Time, old_view: &View, serial: Serial) -> Vec<Peer> {
        let Some(entry) = self.table.get(serial) else { return Vec::new() };
        let was_live = old_view.live_incarnation(&entry.node).is_some();
        let is_live = self.view.live_incarnation(&entry.node).is_some();
        let needs_recopy = was_live && !is_live && now.since(entry.recorded) <= RECOPY_MAX_AGE;
        let old_keepers = old_view.keepers(&entry.request, &entry.node);
        let mut keepers = self.view.keepers(&entry.request, &entry.node);
        keepers.retain(|peer| needs_recopy || !old_keepers.contains(peer));
        keepers.into_iter().cloned().collect()
    }

    /// Ends the hand-over if every copy is acknowledged or its deadline has passed.
    pub(super) fn advance_hand_over(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(deadline) = self.hand_over_deadline.filter(|_| !self.handed_over) else { return };
        let unacknowledged: usize = self.outboxes.values().map(Outbox::len).sum();
        if (unacknowledged > 0 || self.repair.is_some()) && now < deadline {
            return;
        }
        self.handed_over = true;
        self.counters.copies_abandoned += unacknowledged as u64;
        actions.push(Action::HandedOver);
    }
}
