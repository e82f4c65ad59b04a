//! Sending copies in batches until they are acknowledged.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_wire::fate::{Copy, Message};

use super::Keeper;
use crate::outbox::Outbox;
use crate::table::{Serial, Table};
use crate::{Action, Peer};

impl Keeper {
    pub(super) fn acknowledge(&mut self, now: Time, from: &str, batch: u64) {
        let Some(outbox) = self.outboxes.get_mut(from) else { return };
        if !outbox.acknowledge(batch) || !outbox.is_ready() {
            return;
        }
        let delay =
            if self.hand_over_deadline.is_some() { Duration::ZERO } else { self.settings.batch };
        self.schedule_flush(now + delay);
    }

    /// Queues copies of a fate for its keepers.
    pub(super) fn enqueue(&mut self, now: Time, serial: Serial) {
        let Some(entry) = self.table.get(serial) else { return };
        let keepers = self.view.keepers(&entry.request, &entry.node);
        let keepers: Vec<Peer> = keepers.into_iter().cloned().collect();
        keepers.iter().for_each(|keeper| self.queue_copy(now, keeper, serial));
    }

    /// Like [`Keeper::enqueue`], but does nothing if the request has ended.
    pub(super) fn enqueue_in_progress(&mut self, now: Time, serial: Serial) {
        if self.table.get(serial).is_some_and(|entry| entry.ended.is_none()) {
            self.enqueue(now, serial);
        }
    }

    /// Queues a copy of a fate for one keeper.
    pub(super) fn queue_copy(&mut self, now: Time, keeper: &Peer, serial: Serial) {
        if keeper.node == self.local.node {
            return;
        }
        let open_outbox = || Outbox::open(keeper.started);
        let outbox = self.outboxes.entry(keeper.node.clone()).or_insert_with(open_outbox);
        assert!(
            outbox.started == keeper.started,
            "invariant: an outbox is for one incarnation of a peer"
        );
        if outbox.push(serial) {
            self.counters.copies_dropped += 1;
        }
        let delay = if outbox.has_full_batch() { Duration::ZERO } else { self.settings.batch };
        self.schedule_flush(now + delay);
    }

    /// Schedules the sending of ready batches at `at`, or earlier if it already was.
    pub(super) fn schedule_flush(&mut self, at: Time) {
        self.flush_at = Some(self.flush_at.map_or(at, |flush_at| flush_at.min(at)));
    }

    /// Sends the next batch to every peer that has none in flight.
    pub(super) fn send_ready_batches(&mut self, now: Time, actions: &mut Vec<Action>) {
        let ready = self.outboxes.iter().filter(|(_, outbox)| outbox.is_ready());
        let ready: Vec<id::Name> = ready.map(|(node, _)| node.clone()).collect();
        ready.iter().for_each(|to| self.send_batch(now, to, actions));
    }

    /// Sends the next batch to one peer. Batches of which every fate was removed from
    /// the table in the meantime are skipped.
    pub(super) fn send_batch(&mut self, now: Time, to: &id::Name, actions: &mut Vec<Action>) {
        loop {
            let batch = self.next_number();
            let table = &self.table;
            let size = |serial| table.get(serial).map_or(0, |entry| entry.packed.size());
            let outbox = self.outboxes.get_mut(to).expect("the outbox was just listed");
            let Some(serials) = outbox.start_batch(now, batch, size) else { return };
            let copies = build_copies(table, now, serials);
            if !copies.is_empty() {
                self.counters.copies_sent += copies.len() as u64;
                let message = Message::Copies { batch, copies };
                actions.push(Action::Send { to: to.clone(), message });
                return;
            }
            outbox.acknowledge(batch);
        }
    }

    /// Resends the batches that were not acknowledged in time.
    pub(super) fn resend_due_batches(&mut self, now: Time, actions: &mut Vec<Action>) {
        for (to, outbox) in &mut self.outboxes {
            let Some((batch, serials)) = outbox.take_resend(now) else { continue };
            let copies = build_copies(&self.table, now, serials);
            self.counters.batches_resent += 1;
            self.counters.copies_sent += copies.len() as u64;
            let message = Message::Copies { batch, copies };
            actions.push(Action::Send { to: to.clone(), message });
        }
    }
}

/// Builds the copies of a batch, without the fates that were removed from the table.
fn build_copies(table: &Table, now: Time, serials: &[Serial]) -> Vec<Copy> {
    let entries = serials.iter().filter_map(|serial| table.get(*serial));
    let age = |recorded| u64::try_from(now.since(recorded).as_millis()).unwrap_or(u64::MAX);
    entries.map(|entry| Copy { age_ms: age(entry.recorded), fate: entry.packed.clone() }).collect()
}
