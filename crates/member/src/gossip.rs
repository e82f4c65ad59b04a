//! Gossip: handles frames, adopts rumors about the state of nodes, and passes them
//! on to the neighbours.

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_wire::member::{Message, Rumor, State};

use crate::suspicion::STALE_AFTER;
use crate::table::{Entry, supersedes};
use crate::{BROADCAST_INTERVAL, Engine};

impl Engine {
    /// Handles a frame.
    pub(crate) fn handle_frame(&mut self, from: &id::Incarnation, message: Message, now: Time) {
        if from.node == self.own.node {
            return;
        }
        let newest = self.table.get(&from.node).map_or(0, |entry| entry.rumor.node.started);
        if from.started < newest {
            return self.notify_replaced(&from.node);
        }
        self.last_heard = now;
        self.close_probe(&from.node);
        let was_active = self.is_active_peer(&from.node);
        let includes_sender = self.adopt_rumors(from, &message, now);
        self.clear_suspicion(from, now);
        self.reply(&from.node, includes_sender, message, now);
        if self.knows_incarnation(from) && !was_active && self.is_active_peer(&from.node) {
            self.sync_on_contact(&from.node, now);
        }
        if !self.knows_incarnation(from) {
            self.sync_with_unknown(&from.node, now);
        }
    }

    /// Returns whether this node knows this incarnation of `node` or a later one.
    fn knows_incarnation(&self, node: &id::Incarnation) -> bool {
        self.table.get(&node.node).is_some_and(|entry| entry.rumor.node.started >= node.started)
    }

    fn is_active_peer(&self, node: &id::Name) -> bool {
        self.table.get(node).is_some_and(Entry::is_active)
    }

    /// Notifies an earlier incarnation, which still sends frames, that it was
    /// replaced.
    fn notify_replaced(&mut self, node: &id::Name) {
        let Some(entry) = self.table.get(node) else { return };
        let rumors = vec![entry.rumor.clone()];
        self.send(node, Message::Gossip { rumors });
    }

    /// Adopts the rumors of a frame. Returns whether the frame included a rumor about
    /// its sender.
    fn adopt_rumors(&mut self, from: &id::Incarnation, message: &Message, now: Time) -> bool {
        let rumors = match message {
            Message::Ping { rumors, .. }
            | Message::Ack { rumors, .. }
            | Message::Gossip { rumors } => rumors,
            Message::Diff { observations, .. } | Message::Sync { observations } => {
                self.merge(observations, &from.node, now);
                return false;
            }
            Message::IndirectPing { .. } | Message::IndirectAck { .. } | Message::Digest { .. } => {
                return false;
            }
        };
        for rumor in rumors {
            self.adopt(rumor.clone(), &from.node, now);
        }
        rumors.iter().any(|rumor| rumor.node == *from)
    }

    /// Replies to a frame.
    fn reply(&mut self, from: &id::Name, includes_sender: bool, message: Message, now: Time) {
        match message {
            Message::Ping { probe, .. } => {
                let mut rumors = self.piggybacked();
                rumors.extend(includes_sender.then(|| self.own_rumor()));
                rumors.extend(self.rumor_to_refute(from));
                self.send(from, Message::Ack { probe, rumors });
            }
            Message::Ack { probe, .. } => self.handle_ack(from, probe),
            Message::IndirectPing { probe, node, .. } => self.relay_probe(from, probe, &node, now),
            Message::IndirectAck { node, .. } => self.close_probe(&node),
            Message::Gossip { .. } | Message::Sync { .. } => {}
            Message::Digest { buckets } => self.answer_digest(from, &buckets, now),
            Message::Diff { count, buckets, .. } => self.finish_sync(from, count, &buckets, now),
        }
    }

    /// Clears a suspicion of the sender of a frame if it was never announced or
    /// is stale, since the frame proves that the sender is alive. A recent announced
    /// suspicion must be refuted by the node itself, as other nodes hold it too.
    fn clear_suspicion(&mut self, from: &id::Incarnation, now: Time) {
        let Some(entry) = self.table.get(&from.node) else { return };
        if entry.rumor.node != *from || entry.rumor.state != State::Suspect {
            return;
        }
        if entry.unannounced || now.since(entry.since) >= STALE_AFTER {
            let alive = Rumor { state: State::Alive, ..entry.rumor.clone() };
            self.table.insert(alive, now);
            self.changed = true;
        }
    }

    /// Adopts a rumor if it supersedes the current one about the same node.
    pub(crate) fn adopt(&mut self, rumor: Rumor, from: &id::Name, now: Time) {
        if rumor.node.started == 0 {
            return;
        }
        if rumor.node.node == self.own.node {
            return self.handle_own_rumor(&rumor, now);
        }
        match self.table.get(&rumor.node.node) {
            Some(entry) if !supersedes(&rumor, &entry.rumor) => {}
            None if rumor.state == State::Dead => {}
            _ => self.accept(rumor, Some(from), now),
        }
    }

    /// Stores a rumor that supersedes the current one, and queues it for broadcast.
    pub(crate) fn accept(&mut self, rumor: Rumor, from: Option<&id::Name>, now: Time) {
        let node = rumor.node.node.clone();
        let before = self.table.get(&node).map(|entry| entry.rumor.state);
        if rumor.state == State::Dead && before != Some(State::Leaving) {
            self.deaths.record(now);
        }
        let is_refutable = matches!(rumor.state, State::Suspect | State::Dead);
        let from_other = from != Some(&node);
        self.table.insert(rumor, now);
        self.changed = true;
        if is_refutable && from_other && self.neighbours.contains(&node) {
            let rumors = self.rumor_to_refute(&node).into_iter().collect();
            self.send(&node, Message::Gossip { rumors });
        }
        self.broadcasts.add(node, from.cloned());
    }

    /// Refutes a rumor about this node, or retires if the node was replaced or the
    /// rumor says that it is leaving.
    fn handle_own_rumor(&mut self, rumor: &Rumor, now: Time) {
        let own = self.own_rumor();
        if rumor.node.started > own.node.started {
            return self.retire();
        }
        if !supersedes(rumor, &own) {
            return;
        }
        if rumor.state == State::Leaving {
            return self.retire();
        }
        let sequence = rumor.sequence.saturating_add(1);
        self.update_own(Rumor { sequence, ..own }, now);
    }

    /// Announces that this node is leaving and takes no new work.
    pub(crate) fn leave(&mut self, now: Time) {
        let own = self.own_rumor();
        if own.state == State::Leaving {
            return;
        }
        let sequence = own.sequence.saturating_add(1);
        self.update_own(Rumor { sequence, state: State::Leaving, ..own }, now);
        self.broadcasts.expedite(now);
    }

    /// Stores a new rumor about this node and queues it for broadcast.
    fn update_own(&mut self, rumor: Rumor, now: Time) {
        assert_eq!(
            rumor.node, self.own,
            "invariant: a node announces only its current incarnation"
        );
        self.table.insert(rumor, now);
        self.changed = true;
        self.broadcasts.add(self.own.node.clone(), None);
    }

    /// Suspects a node that no probe reached. A node that is leaving is declared dead
    /// instead. If this node is isolated, it does not announce the change.
    pub(crate) fn suspect(&mut self, node: &id::Name, now: Time) {
        let Some(entry) = self.table.get(node) else { return };
        let state = match entry.rumor.state {
            State::Alive => State::Suspect,
            State::Leaving => State::Dead,
            State::Suspect | State::Dead => return,
        };
        let rumor = Rumor { state, ..entry.rumor.clone() };
        if !self.is_isolated(now) {
            return self.accept(rumor, None, now);
        }
        self.table.insert(rumor, now);
        self.changed = true;
        if let Some(entry) = self.table.get_mut(node) {
            entry.unannounced = true;
        }
    }

    /// Declares nodes dead that did not refute their suspicion in time.
    pub(crate) fn expire_suspicions(&mut self, now: Time) {
        let counts = self.table.counts();
        if counts.suspect == 0 {
            return;
        }
        let Some(timeout) = self.deaths.timeout(counts, now) else { return };
        let expired = |entry: &Entry| {
            entry.rumor.state == State::Suspect
                && entry.rumor.node.started > 0
                && now.since(entry.since) >= timeout
        };
        let expired = self.table.iter().filter(|(_, entry)| expired(entry));
        let expired: Vec<_> = expired.map(|(_, entry)| entry.rumor.clone()).collect();
        for rumor in expired {
            self.accept(Rumor { state: State::Dead, ..rumor }, None, now);
        }
    }

    /// Sends queued rumors to the neighbours.
    pub(crate) fn broadcast(&mut self, now: Time) {
        if self.neighbours.is_empty() {
            return;
        }
        let updates = self.broadcasts.take_pending(now);
        if updates.is_empty() {
            return;
        }
        for peer in self.neighbours.clone() {
            let others = updates.iter().filter(|(_, from)| from.as_ref() != Some(&peer));
            let entries = others.filter_map(|(node, _)| self.table.get(node));
            let rumors: Vec<_> = entries.map(|entry| entry.rumor.clone()).collect();
            if !rumors.is_empty() {
                self.send(&peer, Message::Gossip { rumors });
            }
        }
    }

    /// Returns the rumors to piggyback on a ping or its reply.
    pub(crate) fn piggybacked(&mut self) -> Vec<Rumor> {
        let piggybacked = self.broadcasts.take_piggybacked();
        let entries = piggybacked.iter().filter_map(|node| self.table.get(node));
        entries.filter(|entry| !entry.unannounced).map(|entry| entry.rumor.clone()).collect()
    }
}

const _: () = assert!(BROADCAST_INTERVAL.as_millis() < STALE_AFTER.as_millis());
