//! This node's view of the service's leafs.
//!
//! [`Leaf`] holds the queue of one leaf, its concurrency limit, its latency estimate
//! and whether it is leaving or ejected. [`Table`] holds all leafs and applies service
//! descriptions.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::service::Service;
use jacinthfall_core::time::Time;

use crate::flight::Kind;
use crate::health::{Change, Health, MAX_EJECTED_DIVISOR};
use crate::query::Serial;

/// Amount added to a leaf's in-flight limit per success, divided by the limit.
const LIMIT_INCREASE: f64 = 0.1;

/// Service time assumed before the first reply of a leaf.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);

/// Divisor of a new sample's weight in the moving average of the latency.
const SAMPLE_WEIGHT_DIVISOR: u64 = 8;

/// A sample is capped at this many times the average, so that a single straggler
/// does not make the leaf look slow.
const MAX_SAMPLE_FACTOR: u64 = 4;

/// Half-life of a latency estimate without new samples, so that a leaf that was slow
/// once is tried again.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(1);

/// How long a leaf that lacks a version is the last choice for that version.
const MISSING_VERSION_TTL: Duration = Duration::from_secs(1);

/// How long the leaving state of a leaf that is not listed yet is remembered.
const UNLISTED_LEAVING_TTL: Duration = Duration::from_secs(600);

/// Epoch of the first service description. Leafs added by later ones start with an
/// in-flight limit of one.
const FIRST_EPOCH: u64 = 1;

/// Position of a leaf in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Index(usize);

/// Position of a part in a leaf's queue, ordered by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ticket {
    deadline: Time,
    sequence: u64,
}

/// A part in a leaf's queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Queued {
    pub(crate) query: Serial,
    pub(crate) part: usize,
    pub(crate) kind: Kind,
}

/// A leaf, which is a backend server that holds shards, with its queue and estimates.
#[derive(Debug)]
pub(crate) struct Leaf {
    pub(crate) name: id::Name,
    /// Whether the current service description lists it.
    listed: bool,
    /// Whether the current service description marks it as leaving.
    described_leaving: bool,
    /// Whether the leaf itself or another node reported that it is leaving.
    reported_leaving: bool,
    /// Number of attempts in flight.
    pub(crate) in_flight: u32,
    /// Maximum number of attempts in flight; varies between 1 and `slots`.
    limit: f64,
    slots: u32,
    queue: BTreeMap<Ticket, Queued>,
    average_latency: Duration,
    sampled_at: Time,
    has_sample: bool,
    /// Version of its last reply.
    pub(crate) version: Option<id::Version>,
    /// A version that it could not serve, and until when the leaf is the last choice
    /// for it.
    missing_version: Option<(id::Version, Time)>,
    /// Ejection state.
    pub(crate) health: Health,
    /// Epoch of the last service description that unlisted it.
    unlisted_epoch: u64,
}

impl Leaf {
    fn new(name: id::Name, slots: u32, now: Time) -> Leaf {
        Leaf {
            name,
            listed: true,
            described_leaving: false,
            reported_leaving: false,
            in_flight: 0,
            limit: f64::from(slots),
            slots,
            queue: BTreeMap::new(),
            average_latency: INITIAL_SERVICE_TIME,
            sampled_at: now,
            has_sample: false,
            version: None,
            missing_version: None,
            health: Health::new(),
            unlisted_epoch: 0,
        }
    }

    /// Whether any source reports that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.described_leaving || self.reported_leaving
    }

    /// Whether it may be sent new parts.
    pub(crate) fn is_usable(&self) -> bool {
        self.listed && !self.is_leaving()
    }

    /// Whether a part can be sent without exceeding the in-flight limit.
    pub(crate) fn has_capacity(&self) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.limit
    }

    /// Whether it is ejected, due for a probe and idle.
    pub(crate) fn is_due_for_probe(&self, now: Time) -> bool {
        self.health.is_probe_due(now) && self.in_flight == 0 && self.queue.is_empty()
    }

    /// Restarts after an ejection with one part at a time and the latency of the probe.
    fn readmit(&mut self, latency: Duration) {
        self.limit = 1.0;
        self.average_latency = latency;
    }

    /// Sets the leaving state reported by the leaf or by another node. Returns whether
    /// it changed.
    pub(crate) fn set_reported_leaving(&mut self, leaving: bool) -> bool {
        let is_change = self.reported_leaving != leaving;
        self.reported_leaving = leaving;
        if is_change && !leaving {
            self.limit = 1.0;
        }
        is_change
    }

    /// Applies a service description that lists the leaf. If it no longer marks the
    /// leaf as leaving, it also overrides earlier reports.
    fn apply_description(&mut self, leaving: bool, slots: u32) {
        if self.described_leaving && !leaving {
            self.set_reported_leaving(false);
        }
        self.listed = true;
        self.described_leaving = leaving;
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Records that it could not serve `version`.
    pub(crate) fn note_missing_version(&mut self, now: Time, version: id::Version) {
        self.missing_version = Some((version, now + MISSING_VERSION_TTL));
    }

    /// Whether it recently could not serve `version`.
    pub(crate) fn lacks_version(&self, now: Time, version: id::Version) -> bool {
        self.missing_version.is_some_and(|(lacking, until)| lacking == version && now < until)
    }

    /// Expected service time, from the latencies measured by this node.
    pub(crate) fn service_time(&self, now: Time) -> Duration {
        let idle = now.since(self.sampled_at).as_micros() / ESTIMATE_HALF_LIFE.as_micros();
        let halvings = u32::try_from(idle).unwrap_or(u32::MAX).min(31);
        self.average_latency / (1 << halvings)
    }

    /// Expected time until the reply to one more part, including the wait in the queue.
    pub(crate) fn expected_latency(&self, now: Time) -> Duration {
        let service = self.service_time(now);
        let ahead = f64::from(self.in_flight) + self.queue.len() as f64;
        let rounds = ((ahead + 1.0 - self.limit) / self.limit).max(0.0);
        service + service.mul_f64(rounds) + service.mul_f64(ahead / 64.0)
    }

    /// Minimum time that a new part needs; zero until the first latency is measured.
    pub(crate) fn min_time(&self, now: Time) -> Duration {
        if self.has_sample { self.expected_latency(now) } else { Duration::ZERO }
    }

    /// Adds a latency sample to the moving average.
    fn add_sample(&mut self, now: Time, latency: Duration) {
        let average = micros(self.average_latency);
        let sample = micros(latency).min(average * MAX_SAMPLE_FACTOR);
        let moved = average - average / SAMPLE_WEIGHT_DIVISOR + sample / SAMPLE_WEIGHT_DIVISOR;
        self.average_latency = Duration::from_micros(moved.max(1));
        self.sampled_at = now;
        self.has_sample = true;
    }

    /// Raises the in-flight limit after a success.
    pub(crate) fn raise_limit(&mut self) {
        self.limit = (self.limit + LIMIT_INCREASE / self.limit).min(f64::from(self.slots));
    }

    /// Halves the in-flight limit after the leaf rejected a part as overloaded.
    pub(crate) fn lower_limit(&mut self) {
        self.limit = (self.limit / 2.0).max(1.0);
    }

    /// Queues a part.
    pub(crate) fn enqueue(&mut self, ticket: Ticket, queued: Queued) {
        self.queue.insert(ticket, queued);
    }

    /// Removes the part with the earliest deadline from the queue.
    pub(crate) fn dequeue(&mut self) -> Option<Queued> {
        self.queue.pop_first().map(|(_, queued)| queued)
    }

    /// Removes a part from the queue.
    pub(crate) fn remove_queued(&mut self, ticket: Ticket) -> Option<Queued> {
        self.queue.remove(&ticket)
    }

    pub(crate) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }
}

/// All leafs that are listed or that a query in progress may still refer to.
#[derive(Debug, Default)]
pub(crate) struct Table {
    leafs: Vec<Leaf>,
    by_name: BTreeMap<id::Name, Index>,
    free: Vec<Index>,
    sequence: u64,
    /// Leafs reported as leaving before a service description listed them, with the
    /// time of the report.
    unlisted_leaving: BTreeMap<id::Name, Time>,
    /// Number of leafs that are ejected.
    ejected: usize,
    /// Number of leafs by the version of their last reply.
    versions: BTreeMap<id::Version, usize>,
}

impl Table {
    /// Records the version of a leaf's reply.
    pub(crate) fn note_version(&mut self, index: Index, version: id::Version) {
        let before = self.leafs[index.0].version.replace(version);
        if before == Some(version) {
            return;
        }
        *self.versions.entry(version).or_default() += 1;
        if let Some(before) = before {
            decrement(&mut self.versions, before);
        }
    }

    /// Records a failed attempt. Returns the change if it ejects the leaf.
    pub(crate) fn note_failure(&mut self, now: Time, index: Index) -> Option<Change> {
        let may_eject = self.may_eject();
        let change = self.leafs[index.0].health.note_failure(now, may_eject);
        self.count_ejected(change);
        change
    }

    /// Records how long an attempt took, compared with the median of the service. If
    /// it was cancelled without a reply, `latency` is a lower bound.
    pub(crate) fn note_latency(
        &mut self,
        now: Time,
        index: Index,
        latency: Duration,
        median: Option<Duration>,
        replied: bool,
    ) -> Option<Change> {
        let may_eject = self.may_eject();
        let leaf = &mut self.leafs[index.0];
        leaf.add_sample(now, latency);
        let change = match replied {
            true => leaf.health.note_reply(now, latency, median, may_eject),
            false => leaf.health.note_cancelled(now, latency, median, may_eject),
        };
        if change == Some(Change::Readmitted) {
            leaf.readmit(latency);
        }
        self.count_ejected(change);
        change
    }

    fn may_eject(&self) -> bool {
        (self.ejected + 1) * MAX_EJECTED_DIVISOR <= self.by_name.len()
    }

    fn count_ejected(&mut self, change: Option<Change>) {
        match change {
            Some(Change::Ejected) => self.ejected += 1,
            Some(Change::Readmitted) => self.ejected -= 1,
            None => {}
        }
        let max_ejected = self.leafs.len() / MAX_EJECTED_DIVISOR;
        assert!(self.ejected <= max_ejected, "invariant: the share of ejected leafs is bounded");
    }

    /// Sets the leaving state of a leaf that no service description lists yet.
    pub(crate) fn set_unlisted_leaving(&mut self, now: Time, name: &id::Name, leaving: bool) {
        if leaving {
            self.unlisted_leaving.insert(name.clone(), now);
        } else {
            self.unlisted_leaving.remove(name);
        }
    }

    /// Number of leafs whose last reply was of `version`.
    pub(crate) fn count_reporting(&self, version: id::Version) -> usize {
        self.versions.get(&version).copied().unwrap_or(0)
    }

    pub(crate) fn find(&self, name: &str) -> Option<Index> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn leaf(&self, index: Index) -> &Leaf {
        &self.leafs[index.0]
    }

    pub(crate) fn leaf_mut(&mut self, index: Index) -> &mut Leaf {
        &mut self.leafs[index.0]
    }

    /// Returns a queue position for a part with this deadline.
    pub(crate) fn next_ticket(&mut self, deadline: Time) -> Ticket {
        self.sequence += 1;
        Ticket { deadline, sequence: self.sequence }
    }

    /// Applies a service description. Returns the leafs that were usable before and
    /// no longer are. Removes leafs that no query of epoch `oldest` or later can refer
    /// to.
    pub(crate) fn apply_description(
        &mut self,
        now: Time,
        service: &Service,
        epoch: u64,
        oldest: u64,
    ) -> Vec<Index> {
        let usable_before: Vec<bool> = self.leafs.iter().map(Leaf::is_usable).collect();
        self.unlist_all(epoch);
        for described in &service.leafs {
            let index = self.find_or_insert(now, &described.name, service.slots, epoch);
            self.leaf_mut(index).apply_description(described.leaving, service.slots);
        }
        self.remove_unused(oldest);
        self.unlisted_leaving
            .retain(|_, reported_at| now.since(*reported_at) < UNLISTED_LEAVING_TTL);
        let indices = (0..usable_before.len()).map(Index);
        indices.filter(|&i| usable_before[i.0] && !self.leaf(i).is_usable()).collect()
    }

    fn unlist_all(&mut self, epoch: u64) {
        for leaf in self.leafs.iter_mut().filter(|leaf| leaf.listed) {
            leaf.listed = false;
            leaf.unlisted_epoch = epoch;
        }
    }

    fn find_or_insert(&mut self, now: Time, name: &id::Name, slots: u32, epoch: u64) -> Index {
        if let Some(index) = self.find(name) {
            return index;
        }
        let mut leaf = Leaf::new(name.clone(), slots, now);
        if epoch > FIRST_EPOCH {
            leaf.limit = 1.0;
        }
        leaf.reported_leaving = self.unlisted_leaving.remove(name).is_some();
        let index = match self.free.pop() {
            Some(index) => {
                self.leafs[index.0] = leaf;
                index
            }
            None => {
                self.leafs.push(leaf);
                Index(self.leafs.len() - 1)
            }
        };
        self.by_name.insert(name.clone(), index);
        index
    }

    fn remove_unused(&mut self, oldest: u64) {
        let leafs = &self.leafs;
        let free = &mut self.free;
        let versions = &mut self.versions;
        let ejected = &mut self.ejected;
        self.by_name.retain(|_, &mut index| {
            let leaf = &leafs[index.0];
            let is_needed = leaf.listed || leaf.unlisted_epoch > oldest || leaf.in_flight > 0;
            if !is_needed {
                free.push(index);
                *ejected -= usize::from(leaf.health.is_ejected());
                leaf.version.inspect(|&version| decrement(versions, version));
            }
            is_needed
        });
    }
}

fn decrement(versions: &mut BTreeMap<id::Version, usize>, version: id::Version) {
    let count = versions.get_mut(&version).expect("a recorded version is counted");
    *count -= 1;
    if *count == 0 {
        versions.remove(&version);
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX / MAX_SAMPLE_FACTOR)
}
