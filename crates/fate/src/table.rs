//! Table of fates, bounded in age, memory and number per request.
//!
//! Beyond the memory budget the oldest fates are evicted first. As long as ordinary
//! fates (a complete answer without retries) use more than half of the budget, they
//! are evicted before the others, because searches are mostly for requests that were
//! refused, late or partial.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthfall_core::coverage::Coverage;
use jacinthfall_core::fate::Fate;
use jacinthfall_core::id;
use jacinthfall_core::refusal::Ran;
use jacinthfall_core::time::{Time, Wall};
use jacinthfall_wire::fate::{self as wire, Packed};

/// Estimated memory of an entry besides its packed fate and request id, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// Maximum number of fates stored for one request id.
pub const MAX_FATES_PER_REQUEST: usize = 16;

/// Serial number of an entry, in order of insertion.
pub type Serial = u64;

/// A stored fate.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request.
    pub request: id::Request,
    /// The node that served it.
    pub node: id::Incarnation,
    /// When it arrived there.
    pub arrived: Wall,
    /// When it ended; `None` while in progress.
    pub ended: Option<Wall>,
    /// Whether it ran.
    pub ran: Ran,
    /// The fate in its compact form.
    pub packed: Packed,
    /// When the fate was first recorded, on the monotonic clock of this process.
    pub recorded: Time,
    /// Whether it ended in a complete answer without retries.
    pub ordinary: bool,
}

/// Result of an insertion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inserted {
    /// The fate was not stored before.
    New(Serial),
    /// The fate replaced an earlier state of it.
    Updated(Serial),
    /// The same or a later state is already stored.
    Stale,
}

/// The entries of one request id.
#[derive(Debug, Default)]
struct Slot {
    serials: Vec<Serial>,
    /// Whether entries were evicted because there were too many.
    trimmed: bool,
}

/// Entries of one eviction class by age, and their memory in bytes.
#[derive(Debug, Default)]
struct Class {
    by_age: BTreeSet<(Time, Serial)>,
    bytes: usize,
}

impl Class {
    fn add(&mut self, serial: Serial, entry: &Entry) {
        self.by_age.insert((entry.recorded, serial));
        self.bytes += entry_bytes(entry);
    }

    fn remove(&mut self, serial: Serial, entry: &Entry) {
        self.by_age.remove(&(entry.recorded, serial));
        self.bytes -= entry_bytes(entry);
    }
}

/// The fates that a node stores, bounded by a retention time and a memory budget.
#[derive(Debug)]
pub struct Table {
    keep: Duration,
    budget: usize,
    ordinary: Class,
    other: Class,
    next_serial: Serial,
    entries: BTreeMap<Serial, Entry>,
    by_request: BTreeMap<id::Request, Slot>,
    /// Latest recording time of a fate that was evicted because of the budget.
    newest_evicted: Option<Time>,
    evicted: u64,
}

impl Table {
    /// Opens an empty table with a retention time and a memory budget in bytes.
    #[must_use]
    pub fn open(keep: Duration, budget: usize) -> Table {
        Table {
            keep,
            budget,
            ordinary: Class::default(),
            other: Class::default(),
            next_serial: 0,
            entries: BTreeMap::new(),
            by_request: BTreeMap::new(),
            newest_evicted: None,
            evicted: 0,
        }
    }

    /// Stores a fate unless the same or a later state of it is already stored.
    ///
    /// Two states belong to the same fate if request, node and arrival are equal. The
    /// later one is the one that has ended, or has ended later.
    pub fn insert(&mut self, recorded: Time, fate: &Fate, packed: Packed) -> Inserted {
        let entry = Entry {
            request: fate.request.clone(),
            node: fate.node.clone(),
            arrived: fate.arrived,
            ended: fate.ended,
            ran: fate.ran,
            packed,
            recorded,
            ordinary: is_ordinary(fate),
        };
        let inserted = match self.find_same(fate) {
            Some(serial) => self.replace(serial, entry),
            None => self.push(entry),
        };
        self.enforce_budget();
        inserted
    }

    /// Returns the entry with that serial number, if it is still stored.
    #[must_use]
    pub fn get(&self, serial: Serial) -> Option<&Entry> {
        self.entries.get(&serial)
    }

    /// Returns the entries from `first` on, in order of insertion.
    pub fn iter_from(&self, first: Serial) -> impl Iterator<Item = (Serial, &Entry)> {
        self.entries.range(first..).map(|(&serial, entry)| (serial, entry))
    }

    /// Returns the serial number of the next new entry.
    #[must_use]
    pub const fn next_serial(&self) -> Serial {
        self.next_serial
    }

    /// Returns every fate stored for a request id.
    ///
    /// # Panics
    ///
    /// Never: only fates that can be unpacked are stored.
    #[must_use]
    pub fn find(&self, request: &str) -> Vec<Fate> {
        let slot = self.by_request.get(request);
        let serials = slot.into_iter().flat_map(|slot| &slot.serials);
        let entries = serials.filter_map(|serial| self.entries.get(serial));
        entries
            .map(|entry| wire::unpack(&entry.packed).expect("a stored fate can be unpacked"))
            .collect()
    }

    /// Returns whether fates of that request id were evicted because there were too
    /// many.
    #[must_use]
    pub fn is_trimmed(&self, request: &str) -> bool {
        self.by_request.get(request).is_some_and(|slot| slot.trimmed)
    }

    /// Removes entries that are older than the retention time.
    pub fn expire(&mut self, now: Time) {
        loop {
            let oldest = self.ordinary.by_age.first().into_iter().chain(self.other.by_age.first());
            let expired = oldest.copied().find(|(recorded, _)| now.since(*recorded) > self.keep);
            let Some((_, serial)) = expired else { return };
            self.remove(serial);
        }
    }

    /// Returns the age up to which the table has no gap, given that recording began at
    /// `opened`.
    #[must_use]
    pub fn reach(&self, now: Time, opened: Time) -> Duration {
        let reach = now.since(opened.max(self.newest_evicted.unwrap_or(opened)));
        reach.min(self.keep)
    }

    /// Returns the number of stored fates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fate is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the estimated memory of all entries, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.ordinary.bytes + self.other.bytes
    }

    /// Returns the number of fates evicted because of the budget or of their number
    /// under one request id.
    #[must_use]
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns the serial number of the stored state of the same fate.
    fn find_same(&self, fate: &Fate) -> Option<Serial> {
        let slot = self.by_request.get(&fate.request)?;
        let mut serials = slot.serials.iter().copied();
        serials.find(|serial| {
            let entry = &self.entries[serial];
            entry.node == fate.node && entry.arrived == fate.arrived
        })
    }

    fn replace(&mut self, serial: Serial, mut entry: Entry) -> Inserted {
        let old = self.entries.remove(&serial).expect("indexed entries are kept");
        if entry.ended <= old.ended {
            self.entries.insert(serial, old);
            return Inserted::Stale;
        }
        assert!(old.ended < entry.ended, "invariant: only a later state replaces an earlier one");
        entry.recorded = old.recorded;
        self.class(old.ordinary).remove(serial, &old);
        self.class(entry.ordinary).add(serial, &entry);
        self.entries.insert(serial, entry);
        Inserted::Updated(serial)
    }

    fn push(&mut self, entry: Entry) -> Inserted {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.class(entry.ordinary).add(serial, &entry);
        let request = entry.request.clone();
        self.entries.insert(serial, entry);
        self.by_request.entry(request.clone()).or_default().serials.push(serial);
        self.enforce_request_limit(&request);
        Inserted::New(serial)
    }

    fn class(&mut self, ordinary: bool) -> &mut Class {
        if ordinary { &mut self.ordinary } else { &mut self.other }
    }

    /// Limits the number of fates under one request id.
    ///
    /// Refusals that did not run are evicted first: they carry the least information,
    /// and a caller that repeats a request causes many of them.
    fn enforce_request_limit(&mut self, request: &id::Request) {
        let slot = self.by_request.get_mut(request).expect("the slot was just filled");
        if slot.serials.len() <= MAX_FATES_PER_REQUEST {
            return;
        }
        slot.trimmed = true;
        let oldest = slot.serials.iter().copied().min_by_key(|serial| {
            let entry = &self.entries[serial];
            (entry.ran != Ran::NotRun, entry.recorded, *serial)
        });
        self.remove(oldest.expect("the slot is not empty"));
        self.evicted += 1;
    }

    /// Evicts entries until the table is within its budget.
    fn enforce_budget(&mut self) {
        while self.bytes() > self.budget {
            let ordinary = self.ordinary.bytes > self.budget / 2;
            let oldest = self.class(ordinary).by_age.first();
            let &(recorded, serial) = oldest.expect("a class without entries uses no memory");
            self.remove(serial);
            self.evicted += 1;
            self.newest_evicted = self.newest_evicted.max(Some(recorded));
        }
        let by_age = self.ordinary.by_age.len() + self.other.by_age.len();
        assert!(self.bytes() <= self.budget, "invariant: the table stays within its budget");
        assert!(by_age == self.entries.len(), "invariant: every entry is in one class");
    }

    fn remove(&mut self, serial: Serial) {
        let entry = self.entries.remove(&serial).expect("indexed entries are kept");
        self.class(entry.ordinary).remove(serial, &entry);
        let slot = self.by_request.get_mut(&entry.request).expect("every entry has a slot");
        slot.serials.retain(|other| *other != serial);
        if slot.serials.is_empty() {
            self.by_request.remove(&entry.request);
        }
    }
}

fn is_ordinary(fate: &Fate) -> bool {
    let is_full = fate.coverage.as_ref().is_some_and(Coverage::is_full);
    is_full && fate.ended.is_some() && fate.refused.is_none() && fate.retries == 0
}

/// Returns the estimated memory of an entry, in bytes.
fn entry_bytes(entry: &Entry) -> usize {
    entry.packed.size() + entry.request.len() + ENTRY_OVERHEAD_BYTES
}
