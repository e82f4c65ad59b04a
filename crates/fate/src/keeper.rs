//! The [`Keeper`]: stores, copies and finds fates on one node.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use jacinthfall_core::fate::Fate;
use jacinthfall_core::id;
use jacinthfall_core::refusal::Ran;
use jacinthfall_core::time::Time;
use jacinthfall_wire::fate::{self as wire, Copy, Message};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::outbox::Outbox;
use crate::search::Search;
use crate::table::{Inserted, Serial, Table};
use crate::view::View;
use crate::{Action, Counters, Event, Peer, Settings};

mod delivery;
mod repair;

use repair::Repair;
pub use repair::{HAND_OVER_TIMEOUT, RECOPY_MAX_AGE};

/// Number of nodes up to which a search asks all of them.
pub const ASK_ALL_MAX_NODES: usize = 16;

/// Time after a change of the live nodes during which a search that doesn't ask all
/// of them is reported as incomplete.
pub const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Maximum number of searches in progress. Further ones are answered only from the
/// fates that this node stores.
pub const MAX_SEARCHES: usize = 1_024;

/// Maximum length of the message stored with a fate, in bytes.
const MAX_MESSAGE_BYTES: usize = 1_024;

/// State machine that stores, copies and finds fates on one node.
#[derive(Debug)]
pub struct Keeper {
    /// This node.
    local: Peer,
    settings: Settings,
    /// Time of the first event. Nothing was recorded before it.
    opened_at: Option<Time>,
    table: Table,
    peers: Vec<Peer>,
    view: View,
    peers_changed_at: Time,
    /// Repair after the last change of the live nodes, while it is in progress.
    repair: Option<Repair>,
    outboxes: BTreeMap<id::Name, Outbox>,
    /// Fates of requests in progress, with the time at which they are copied.
    in_progress: VecDeque<(Time, Serial)>,
    /// Searches in progress, by the number used as the token of their messages.
    searches: BTreeMap<u64, Search>,
    /// Last number given to a batch or a search.
    last_number: u64,
    /// When ready batches are sent next.
    flush_at: Option<Time>,
    /// Set once the hand-over has started.
    hand_over_deadline: Option<Time>,
    handed_over: bool,
    /// Time requested by the last [`Action::Wake`], if it is still to come.
    scheduled_wake: Option<Time>,
    counters: Counters,
}

impl Keeper {
    /// Opens an empty keeper.
    ///
    /// `seed` determines the first number of batches and searches, so that a reply to
    /// an earlier incarnation is not mistaken for a reply to this one.
    ///
    /// ```
    /// use jacinthfall_core::id::Token;
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_fate::{Action, Event, Keeper, Peer, Settings};
    /// let local = Peer { node: "n".into(), started: 1, zone: "z".into() };
    /// let mut keeper = Keeper::open(local, Settings::default(), 7);
    /// let find = Event::Find { token: Token(1), request: "r".into() };
    /// let actions = keeper.handle(Time(0), find);
    /// assert!(matches!(&actions[0], Action::Answer { fates, .. } if fates.is_empty()));
    /// ```
    #[must_use]
    pub fn open(local: Peer, settings: Settings, seed: u64) -> Keeper {
        let view = View::new([local.clone()], settings.cells);
        let last_number = ChaCha8Rng::seed_from_u64(seed).next_u64() >> 1;
        Keeper {
            table: Table::open(settings.keep, settings.budget_bytes),
            local,
            settings,
            opened_at: None,
            peers: Vec::new(),
            view,
            peers_changed_at: Time(0),
            repair: None,
            outboxes: BTreeMap::new(),
            in_progress: VecDeque::new(),
            searches: BTreeMap::new(),
            last_number,
            flush_at: None,
            hand_over_deadline: None,
            handed_over: false,
            scheduled_wake: None,
            counters: Counters::default(),
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.opened_at.get_or_insert(now);
        self.table.expire(now);
        match event {
            Event::Peers(peers) => self.update_peers(now, peers),
            Event::Record(fate) => self.record(now, fate, false, &mut actions),
            Event::RecordAndFlush(fate) => self.record(now, fate, true, &mut actions),
            Event::Frame { from, message } => self.receive(now, &from, message, &mut actions),
            Event::Find { token, request } => self.start_search(now, token, request, &mut actions),
            Event::HandOver => self.hand_over(now),
            Event::Wake => self.scheduled_wake = None,
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Returns the counters since the keeper was opened.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        Counters { evicted: self.table.evicted(), ..self.counters }
    }

    /// Returns the number of stored fates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no fate is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the estimated memory used for fates, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.table.bytes()
    }

    fn record(&mut self, now: Time, mut fate: Fate, flush_now: bool, actions: &mut Vec<Action>) {
        self.counters.recorded += 1;
        truncate_message(&mut fate.message);
        if fate.ended.is_none() {
            fate.ran = Ran::Unknown;
        }
        let packed = wire::pack(&fate);
        match self.table.insert(now, &fate, packed) {
            Inserted::Stale => self.counters.stale += 1,
            Inserted::New(serial) | Inserted::Updated(serial) if flush_now => {
                self.enqueue(now, serial);
                self.send_ready_batches(now, actions);
            }
            Inserted::New(serial) | Inserted::Updated(serial) if fate.ended.is_some() => {
                self.enqueue(now, serial);
            }
            Inserted::New(serial) | Inserted::Updated(serial) => {
                self.in_progress.push_back((now + self.settings.slow_after, serial));
            }
        }
    }

    fn receive(&mut self, now: Time, from: &id::Name, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Copies { batch, copies } => {
                copies.into_iter().for_each(|copy| self.store_copy(now, copy));
                let message = Message::Ack { batch };
                actions.push(Action::Send { to: from.clone(), message });
            }
            Message::Ack { batch } => self.acknowledge(now, from, batch),
            Message::Find { token, request } => {
                let message = Message::Found {
                    token,
                    fates: self.table.find(&request),
                    reach_ms: u64::try_from(self.reach(now).as_millis()).unwrap_or(u64::MAX),
                    trimmed: self.table.is_trimmed(&request),
                };
                actions.push(Action::Send { to: from.clone(), message });
            }
            Message::Found { token, fates, reach_ms, trimmed } => {
                let Some(search) = self.searches.get_mut(&token.0) else { return };
                if search.record_reply(from) {
                    search.merge(fates, Duration::from_millis(reach_ms), trimmed);
                }
            }
        }
    }

    /// Stores a copy received from a peer.
    fn store_copy(&mut self, now: Time, copy: Copy) {
        self.counters.copies_received += 1;
        let age = Duration::from_millis(copy.age_ms);
        if age > self.settings.keep {
            return;
        }
        let Ok(fate) = wire::unpack(&copy.fate) else {
            self.counters.copies_rejected += 1;
            return;
        };
        if self.table.insert(now - age, &fate, copy.fate) == Inserted::Stale {
            self.counters.stale += 1;
        }
    }

    fn start_search(
        &mut self,
        now: Time,
        token: id::Token,
        request: id::Request,
        actions: &mut Vec<Action>,
    ) {
        let mut pending = self.nodes_to_ask(&request);
        pending.remove(&self.local.node);
        let at_limit = self.searches.len() >= MAX_SEARCHES;
        if at_limit {
            pending.clear();
        }
        let mut search = Search::open(now, token, request.clone(), pending.clone());
        let trimmed = self.table.is_trimmed(&request);
        search.merge(self.table.find(&request), self.reach(now), trimmed);
        if at_limit || self.is_unsettled(now) {
            search.mark_incomplete();
        }
        let number = self.next_number();
        for to in pending {
            let message = Message::Find { token: id::Token(number), request: request.clone() };
            actions.push(Action::Send { to, message });
        }
        self.searches.insert(number, search);
    }

    /// Returns the nodes that a search asks: all nodes if there are at most
    /// [`ASK_ALL_MAX_NODES`], otherwise the homes of the request. While a repair is in
    /// progress, the homes before the last change of the live nodes are asked too.
    fn nodes_to_ask(&self, request: &str) -> BTreeSet<id::Name> {
        if self.view.len() <= ASK_ALL_MAX_NODES {
            return self.view.nodes().map(|peer| peer.node.clone()).collect();
        }
        let old_homes = self.repair.iter().flat_map(|repair| repair.old_view.homes(request));
        let old_homes = old_homes.filter(|peer| self.view.node(&peer.node).is_some());
        self.view
            .homes(request)
            .into_iter()
            .chain(old_homes)
            .map(|peer| peer.node.clone())
            .collect()
    }

    /// Returns whether homes may still lack copies after a change of the live nodes.
    /// This doesn't matter to searches that ask all nodes.
    fn is_unsettled(&self, now: Time) -> bool {
        self.view.len() > ASK_ALL_MAX_NODES
            && (self.repair.is_some() || now.since(self.peers_changed_at) < SETTLE_TIME)
    }

    /// Returns the age up to which the records of this node have no gap.
    fn reach(&self, now: Time) -> Duration {
        self.table.reach(now, self.opened_at.unwrap_or(now))
    }

    /// Does everything that is due, and schedules the next wake-up.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(&(_, serial)) = self.in_progress.front().filter(|(due, _)| *due <= now) {
            self.in_progress.pop_front();
            self.enqueue_in_progress(now, serial);
        }
        if self.flush_at.is_some_and(|flush_at| flush_at <= now) {
            self.flush_at = None;
            self.repair_chunk(now);
            self.send_ready_batches(now, actions);
            if self.repair.is_some() {
                self.schedule_flush(now + self.settings.batch);
            }
        }
        self.resend_due_batches(now, actions);
        self.advance_searches(now, actions);
        self.advance_hand_over(now, actions);
        let next = self.next_due();
        if next.is_some() && next != self.scheduled_wake {
            actions.extend(next.map(Action::Wake));
        }
        self.scheduled_wake = next;
    }

    fn advance_searches(&mut self, now: Time, actions: &mut Vec<Action>) {
        for (&number, search) in &mut self.searches {
            for to in search.take_retries(now) {
                let request = search.request.clone();
                let message = Message::Find { token: id::Token(number), request };
                actions.push(Action::Send { to, message });
            }
        }
        let finished = self.searches.iter().filter(|(_, search)| search.is_finished(now));
        let finished: Vec<u64> = finished.map(|(number, _)| *number).collect();
        for search in finished.iter().filter_map(|number| self.searches.remove(number)) {
            let token = search.token;
            let outcome = search.finish();
            self.counters.searches += 1;
            self.counters.searches_incomplete += u64::from(!outcome.complete);
            let (fates, complete, reach) = (outcome.fates, outcome.complete, outcome.reach);
            actions.push(Action::Answer { token, fates, complete, reach });
        }
    }

    /// Returns the earliest time at which something is due.
    fn next_due(&self) -> Option<Time> {
        let resends = self.outboxes.values().filter_map(Outbox::resend_at);
        let searches = self.searches.values().map(Search::next_due);
        let in_progress = self.in_progress.front().map(|(due, _)| *due);
        let deadline = self.hand_over_deadline.filter(|_| !self.handed_over);
        resends.chain(searches).chain(in_progress).chain(self.flush_at).chain(deadline).min()
    }

    /// Returns a new number for a batch or a search.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

/// Truncates a message to [`MAX_MESSAGE_BYTES`] and an ellipsis.
fn truncate_message(message: &mut String) {
    if message.len() <= MAX_MESSAGE_BYTES {
        return;
    }
    let end = (0..=MAX_MESSAGE_BYTES).rev().find(|&end| message.is_char_boundary(end));
    message.truncate(end.unwrap_or(0));
    message.push('…');
}
