//! Quarantine of requests that crash the leafs that run them.
//!
//! Answers a request that ends each leaf that begins to run it and comes again and again, at any
//! node. When a leaf crashes, all requests that it runs are suspects, and most are innocent. Three
//! things tell the one that isn't:
//!
//! - It has been present at `MIN_CRASHES` crashes that came one after the other: each time it was
//!   sent after the crash before. Crashes at the same moment, as when an availability zone is lost,
//!   count once.
//! - No leaf of the service has answered it since. One answer clears a request.
//! - The leafs have crashed, which [`Crash`] states: connections that break or fall silent are none.
//!
//! Nodes tell each other of crashes and answers. A request in quarantine is sent to no leaf until
//! the quarantine ends, since a new release may have mended the leafs. Then one is sent; a further
//! crash begins a longer quarantine.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use jacinthfall_core::hash;
use jacinthfall_core::time::Time;
use serde::{Deserialize, Serialize};

/// Number of crashes, one after the other, after which a request is put in quarantine.
const MIN_CRASHES: usize = 3;

/// Length of the first quarantine of a request.
const FIRST_QUARANTINE: Duration = Duration::from_secs(120);

/// Factor by which each further quarantine is longer than the one before.
const QUARANTINE_FACTOR: u32 = 4;

/// Maximum length of a quarantine, without its random part.
const MAX_QUARANTINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Time for which a request that is tried after its quarantine is not sent again by this node.
const TRIAL_TIME: Duration = Duration::from_secs(10);

/// Time after the end of the quarantine, or after the last crash, at which a request is forgotten.
const MEMORY: Duration = Duration::from_secs(600);

/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 4_096;

/// Maximum number of crashes that are remembered of one request.
const MAX_CRASHES: usize = 12;

/// Number of messages in which this node spreads a row.
const ROUNDS: u8 = 4;

/// Maximum number of rows in one message.
const MAX_MESSAGE_ROWS: usize = 32;

/// Maximum number of rows that wait to be sent to other nodes.
const MAX_PENDING_ROWS: usize = 1_024;

/// Maximum number of rows that a node is told when it starts.
const MAX_ALL_ROWS: usize = 2_000;

/// Time before the start of this process from which the table counts; above all times that matter.
const ORIGIN: Duration = Duration::from_secs(10 * 24 * 60 * 60);

/// Identifies what a caller asks for, whatever id an attempt has: a digest of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request that consists of `parts`. It is the same on all nodes.
    ///
    /// ```
    /// use jacinthfall_dispatch::quarantine::Fingerprint;
    /// assert_eq!(Fingerprint::of(&[b"GET", b"/a"]), Fingerprint::of(&[b"GET", b"/a"]));
    /// assert_ne!(Fingerprint::of(&[b"GET", b"/a"]), Fingerprint::of(&[b"GET/", b"a"]));
    /// ```
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let digests = parts.iter().flat_map(|part| hash::digest(part).to_le_bytes());
        Fingerprint(hash::digest(&digests.collect::<Vec<u8>>()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a service among the nodes: a digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Service(u64);

impl Service {
    /// Returns the identifier of the service with a name.
    #[must_use]
    pub fn of(name: &str) -> Service {
        Service(hash::digest(name.as_bytes()))
    }
}

/// Identifies one process of a leaf among the nodes: a digest of its id and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Returns the identifier of the process with an id that started at `born`, in milliseconds
    /// since the Unix epoch.
    #[must_use]
    pub fn of(id: &str, born: u64) -> Incarnation {
        Incarnation(hash::digest(format!("{born}@{id}").as_bytes()))
    }
}

/// A leaf's crash while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Service of the leaf.
    pub service: Service,
    /// The leaf's process.
    pub leaf: Incarnation,
    /// When the request was sent to the leaf.
    pub sent: Time,
    /// When the leaf crashed.
    pub crashed: Time,
}

/// What nodes tell each other about a request. Ages are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Row {
    /// A leaf crashed while it ran the request.
    Crashed {
        /// The request.
        request: Fingerprint,
        /// Service of the leaf.
        service: Service,
        /// The leaf's process.
        leaf: Incarnation,
        /// Time since the request was sent to the leaf.
        sent_age: u64,
        /// Time since the leaf crashed.
        crashed_age: u64,
    },
    /// A leaf answered the request after it had run it.
    Answered {
        /// The request.
        request: Fingerprint,
        /// Service of the leaf.
        service: Service,
        /// Time since the answer.
        age: u64,
    },
}

/// What is known of one request.
#[derive(Debug, Default)]
struct Record {
    /// Crashes that came one after the other, oldest first.
    crashes: Vec<Crash>,
    /// When a leaf of each service last answered the request.
    answered: Vec<(Service, Time)>,
    /// Until when a trial after the quarantine excludes further ones.
    trial_until: Time,
}

impl Record {
    /// Adds a crash; `false` if it adds nothing to what is known.
    fn add(&mut self, crash: Crash) -> bool {
        let is_answered =
            |(service, at): &(Service, Time)| *service == crash.service && *at >= crash.crashed;
        let is_known = |known: &Crash| known.leaf == crash.leaf;
        if self.answered.iter().any(is_answered) || self.crashes.iter().any(is_known) {
            return false;
        }
        let follows = |one: &Crash, other: &Crash| other.sent >= one.crashed;
        let position = self.crashes.partition_point(|known| follows(known, &crash));
        if self.crashes.get(position).is_some_and(|next| !follows(&crash, next)) {
            return false;
        }
        self.crashes.insert(position, crash);
        if self.crashes.len() <= MAX_CRASHES {
            return true;
        }
        // The latest crash decides when the quarantine ends, so the oldest one is forgotten.
        self.crashes.remove(0);
        position > 0
    }

    /// Returns the length of the quarantine that the crashes call for, without its random part.
    fn quarantine(&self) -> Option<Duration> {
        let beyond = self.crashes.len().checked_sub(MIN_CRASHES)?;
        let factor = QUARANTINE_FACTOR.saturating_pow(u32::try_from(beyond).unwrap_or(u32::MAX));
        Some(FIRST_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE))
    }

    /// Returns when the quarantine ends; `None` if there is none. `offset`, from 0 to 1, differs
    /// between nodes, so that they don't all try the request at the same moment.
    fn quarantined_until(&self, offset: f64) -> Option<Time> {
        let quarantine = self.quarantine()?;
        let last = self.crashes.last()?.crashed;
        Some((last + quarantine + quarantine.mul_f64(offset)).max(self.trial_until))
    }

    fn last_change(&self) -> Time {
        let answered = self.answered.iter().map(|(_, at)| *at);
        answered.chain(self.crashes.iter().map(|crash| crash.crashed)).max().unwrap_or(Time(0))
    }

    /// Returns when the record may be forgotten.
    fn expires(&self, offset: f64) -> Time {
        self.quarantined_until(offset).unwrap_or_default().max(self.last_change()) + MEMORY
    }
}

/// The requests that were present at crashes, as this node knows them.
#[derive(Debug)]
pub struct Table {
    records: HashMap<Fingerprint, Record>,
    /// Rows that are to be spread, with the remaining number of messages. They hold times of this
    /// node until they are sent.
    pending: VecDeque<(Fingerprint, Change, u8)>,
    /// Distinguishes this node from others, from 0 to 1.
    offset: f64,
}

/// News about a request.
#[derive(Clone, Copy, Debug)]
enum Change {
    Crashed(Crash),
    Answered(Service, Time),
}

impl Table {
    /// Creates an empty table. `offset`, from 0 to 1, should differ between nodes: by it, their
    /// quarantines of the same request end at different times.
    #[must_use]
    pub fn open(offset: f64) -> Table {
        Table { records: HashMap::new(), pending: VecDeque::new(), offset }
    }

    /// Whether nothing is known of any request, so that no fingerprint is needed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of requests in quarantine.
    #[must_use]
    pub fn quarantined(&self, now: Time) -> usize {
        let now = since_origin(now);
        let until = self.records.values().filter_map(|r| r.quarantined_until(self.offset));
        until.filter(|until| *until > now).count()
    }

    /// Returns how long a request must not be sent; `None` if it may be.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::quarantine::{Crash, Fingerprint, Incarnation, Service, Table};
    /// let (request, service) = (Fingerprint::of(&[b"/a"]), Service::of("a"));
    /// let mut table = Table::open(0.0);
    /// for second in 0..3 {
    ///     assert_eq!(table.remaining(Time::from_millis(2_000), request), None);
    ///     let (sent, crashed) = (second * 1_000, second * 1_000 + 100);
    ///     let (sent, crashed) = (Time::from_millis(sent), Time::from_millis(crashed));
    ///     let leaf = Incarnation::of("i-1", second);
    ///     table.record_crash(request, Crash { service, leaf, sent, crashed });
    /// }
    /// assert!(table.remaining(Time::from_millis(2_200), request).is_some());
    /// ```
    #[must_use]
    pub fn remaining(&self, now: Time, request: Fingerprint) -> Option<Duration> {
        let now = since_origin(now);
        let until = self.records.get(&request)?.quarantined_until(self.offset)?;
        (until > now).then(|| until.since(now))
    }

    /// Decides on a request that has arrived: returns how long it must not be sent; `None` if it
    /// may be. After its quarantine a request is tried once.
    pub fn admit(&mut self, now: Time, request: Fingerprint) -> Option<Duration> {
        let remaining = self.remaining(now, request);
        if remaining.is_none()
            && let Some(record) = self.records.get_mut(&request)
            && record.quarantine().is_some()
        {
            record.trial_until = since_origin(now) + TRIAL_TIME;
        }
        remaining
    }

    /// Records that a leaf crashed while it ran a request. Returns the length of the quarantine if
    /// the request is in one by this.
    pub fn record_crash(&mut self, request: Fingerprint, crash: Crash) -> Option<Duration> {
        let (sent, crashed) = (since_origin(crash.sent), since_origin(crash.crashed));
        self.add_crash(request, Crash { sent, crashed, ..crash })
    }

    fn add_crash(&mut self, request: Fingerprint, crash: Crash) -> Option<Duration> {
        self.make_room(crash.crashed, request);
        let record = self.records.entry(request).or_default();
        if !record.add(crash) {
            return None;
        }
        let quarantine = record.quarantine();
        self.spread(request, Change::Crashed(crash));
        quarantine
    }

    /// Records that a leaf answered a request after it had run it. Returns `true` if that clears the
    /// request of a crash.
    pub fn record_answer(&mut self, now: Time, request: Fingerprint, service: Service) -> bool {
        self.add_answer(since_origin(now), request, service)
    }

    fn add_answer(&mut self, now: Time, request: Fingerprint, service: Service) -> bool {
        let Some(record) = self.records.get_mut(&request) else { return false };
        let before = record.crashes.len();
        record.crashes.retain(|crash| crash.service != service || crash.crashed > now);
        if record.crashes.len() == before {
            return false;
        }
        record.answered.retain(|(other, _)| *other != service);
        record.answered.push((service, now));
        record.trial_until = Time(0);
        self.spread(request, Change::Answered(service, now));
        true
    }

    /// Adds what another node has sent. It is sent on only if it is news here. Returns the request
    /// and the length of its quarantine if it is in one by this.
    pub fn merge(&mut self, now: Time, row: &Row) -> Option<(Fingerprint, Duration)> {
        let before = |age: u64| since_origin(now) - Duration::from_millis(age);
        match *row {
            Row::Crashed { request, service, leaf, sent_age, crashed_age } => {
                let (sent, crashed) = (before(sent_age), before(crashed_age));
                let quarantine = self.add_crash(request, Crash { service, leaf, sent, crashed })?;
                Some((request, quarantine))
            }
            Row::Answered { request, service, age } => {
                self.add_answer(before(age), request, service);
                None
            }
        }
    }

    /// Returns the rows of the next message to other nodes.
    pub fn next_message(&mut self, now: Time) -> Vec<Row> {
        let mut rows = Vec::new();
        for _ in 0..self.pending.len().min(MAX_MESSAGE_ROWS) {
            let Some((request, change, rounds)) = self.pending.pop_front() else { break };
            rows.push(row(now, request, change));
            if rounds > 1 {
                self.pending.push_back((request, change, rounds - 1));
            }
        }
        rows
    }

    /// Returns the crashes of all requests, for a node that starts: at most `MAX_ALL_ROWS`, those
    /// of the requests with the most crashes first.
    #[must_use]
    pub fn all(&self, now: Time) -> Vec<Row> {
        let mut records: Vec<(&Fingerprint, &Record)> = self.records.iter().collect();
        records.sort_unstable_by_key(|(_, record)| Reverse(record.crashes.len()));
        let rows = records.into_iter().flat_map(|(request, record)| {
            record.crashes.iter().map(|crash| row(now, *request, Change::Crashed(*crash)))
        });
        rows.take(MAX_ALL_ROWS).collect()
    }

    /// Removes what is too old to matter.
    pub fn expire(&mut self, now: Time) {
        self.remove_expired(since_origin(now));
    }

    fn remove_expired(&mut self, now: Time) {
        let offset = self.offset;
        self.records.retain(|_, record| record.expires(offset) > now);
    }

    /// Makes room for a request: if there are too many, half of those with the fewest crashes are
    /// forgotten, of these the ones that changed first.
    fn make_room(&mut self, now: Time, request: Fingerprint) {
        if self.records.len() < MAX_REQUESTS || self.records.contains_key(&request) {
            return;
        }
        self.remove_expired(now);
        if self.records.len() < MAX_REQUESTS {
            return;
        }
        let rank = |record: &Record| (record.crashes.len(), record.last_change());
        let mut ranks: Vec<_> = self.records.values().map(rank).collect();
        let (_, median, _) = ranks.select_nth_unstable(MAX_REQUESTS / 2);
        let median = *median;
        self.records.retain(|_, record| rank(record) > median);
    }

    /// Queues a change to be sent to other nodes. If too many are queued, the oldest one is dropped.
    fn spread(&mut self, request: Fingerprint, change: Change) {
        if self.pending.len() >= MAX_PENDING_ROWS {
            self.pending.pop_front();
        }
        self.pending.push_back((request, change, ROUNDS));
    }
}

/// Converts a time to the table's own count, which can hold times before this process started.
fn since_origin(at: Time) -> Time {
    at + ORIGIN
}

fn row(now: Time, request: Fingerprint, change: Change) -> Row {
    let now = since_origin(now);
    let age = |at: Time| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
    match change {
        Change::Crashed(crash) => Row::Crashed {
            request,
            service: crash.service,
            leaf: crash.leaf,
            sent_age: age(crash.sent),
            crashed_age: age(crash.crashed),
        },
        Change::Answered(service, at) => Row::Answered { request, service, age: age(at) },
    }
}
