//! One leaf as a state machine, which decides whether a part runs, waits or is refused.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::leaf::{Load, Query, Refusal, Reply};
use jacinthfall_core::time::{Time, Wall};

use crate::leaf::control::{self, Change, Counters};
use crate::leaf::delay::Input;
use crate::leaf::fault::{Faults, Sending};
use crate::leaf::settings::{Leaf, LoadReport};
use crate::leaf::slots::{Admission, Slots, Ticket};
use crate::rows;

/// Largest number of loads kept for a lagging report.
const MAX_LOADS: usize = 4_096;

/// The current time by both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time.
    pub time: Time,
    /// Wall clock time.
    pub wall: Wall,
}

/// A part that is running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Number of the part.
    pub ticket: Ticket,
    /// Index version that it reads.
    pub version: id::Version,
    /// How long it takes.
    pub delay: Duration,
    /// Number of runs of its request at this leaf, including this one; 0 if it is idempotent.
    pub count: u64,
}

/// Result of a part's arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The part was refused.
    Refused(Refusal),
    /// The part runs.
    Started(Run),
    /// The part waits for a slot.
    Queued(Ticket),
}

/// A part that no longer waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wake {
    /// Number of the part.
    pub ticket: Ticket,
    /// The run that started, or why the part is refused.
    pub result: Result<Run, Refusal>,
}

/// Data that a leaf keeps of a part that runs or waits.
#[derive(Clone, Debug)]
struct Job {
    request: id::Request,
    shard: id::Shard,
    version: id::Version,
    idempotent: bool,
    deadline: Time,
    expires: Wall,
}

/// Keys held, by version and shard.
type Index = BTreeMap<(id::Version, id::Shard), Vec<Arc<str>>>;

/// A simulated leaf.
#[derive(Clone, Debug)]
pub struct State {
    seed: u64,
    settings: Leaf,
    index: Index,
    slots: Slots<Job>,
    cold_since: Time,
    stalled_until: Time,
    draining_since: Option<Time>,
    faults: Faults,
    loads: VecDeque<(Time, Load)>,
    counters: Counters,
    runs: BTreeMap<id::Request, u64>,
}

impl State {
    /// Builds a leaf whose cold start begins at `now`.
    #[must_use]
    pub fn new(seed: u64, settings: Leaf, now: Now) -> State {
        State {
            seed,
            index: index(&settings),
            slots: Slots::new(settings.slots, settings.queue),
            settings,
            cold_since: now.time,
            stalled_until: Time::default(),
            draining_since: None,
            faults: Faults::default(),
            loads: VecDeque::new(),
            counters: Counters::default(),
            runs: BTreeMap::new(),
        }
    }

    /// Current settings.
    #[must_use]
    pub fn settings(&self) -> &Leaf {
        &self.settings
    }

    /// Counts a new connection.
    pub fn count_connection(&mut self) {
        self.counters.connections += 1;
    }

    /// Counts a connection that was closed because of the limit.
    pub fn count_refused_connection(&mut self) {
        self.counters.connections_refused += 1;
    }

    /// Admits a part that arrived: runs it, enqueues it or refuses it.
    pub fn arrive(&mut self, now: Now, query: &Query) -> Arrival {
        self.count_received(now);
        let version = match self.admit(now, query) {
            Ok(version) => version,
            Err(refusal) => return Arrival::Refused(self.refuse(refusal)),
        };
        let job = Job {
            request: query.request.clone(),
            shard: query.shard,
            version,
            idempotent: query.idempotent,
            deadline: now.time + query.budget,
            expires: query.expires,
        };
        match self.slots.arrive(job.clone()) {
            Admission::Slot(ticket) => Arrival::Started(self.start(now, ticket, &job)),
            Admission::Queue(ticket) => Arrival::Queued(ticket),
            Admission::Full => Arrival::Refused(self.refuse(Refusal::Overloaded)),
        }
    }

    /// Ends a part that ran, and builds what is sent for it.
    pub fn finish(&mut self, now: Now, run: &Run, query: &Query) -> (Sending, Vec<Wake>) {
        let job = self.slots.remove(run.ticket);
        assert!(job.is_some(), "a finished part had a slot");
        self.counters.served += 1;
        let wakes = self.promote(now);
        let reply = self.reply(now, run, query);
        let remaining = self.faults.remaining();
        let sending = self.faults.apply(reply);
        self.counters.faults += u64::from(remaining - self.faults.remaining());
        (sending, wakes)
    }

    /// Removes a cancelled part from its slot or from the queue.
    pub fn cancel(&mut self, now: Now, ticket: Ticket) -> Vec<Wake> {
        let queued = self.slots.queued();
        if self.slots.remove(ticket).is_none() {
            return Vec::new();
        }
        match self.slots.queued() < queued {
            true => self.counters.cancelled_queued += 1,
            false => self.counters.cancelled_running += 1,
        }
        self.promote(now)
    }

    /// Applies a change, and returns the parts that got a slot by it.
    ///
    /// # Errors
    ///
    /// A message that names the violated rule; the leaf is then unchanged.
    pub fn change(&mut self, now: Now, change: &Change) -> Result<Vec<Wake>, String> {
        let settings = changed(&self.settings, change);
        settings.check().map_err(|error| error.to_string())?;
        if settings.held != self.settings.held {
            self.index = index(&settings);
        }
        self.settings = settings;
        self.slots.resize(self.settings.slots, self.settings.queue);
        if let Some(draining) = change.draining {
            let since = self.draining_since.unwrap_or(now.time);
            self.draining_since = draining.then_some(since);
        }
        if let Some(stall) = change.stall {
            self.stalled_until = now.time + stall;
        }
        if change.cold_start.is_some() {
            self.cold_since = now.time;
        }
        if let Some(kind) = change.fault {
            self.faults.set(kind, change.count.unwrap_or(1), change.late.unwrap_or_default());
        }
        Ok(self.promote(now))
    }

    /// Returns the counters, and the runs of each request if `runs` is set.
    #[must_use]
    pub fn report(&self, runs: bool) -> control::Leaf {
        let mut counters = self.counters.clone();
        counters.busy = self.slots.busy() as u64;
        counters.queued = self.slots.queued() as u64;
        let runs = if runs { self.runs.clone() } else { BTreeMap::new() };
        control::Leaf { name: self.settings.name.clone(), counters, runs }
    }

    /// Returns the load that the leaf reports, which its settings may make stale or wrong.
    pub fn load(&mut self, now: Now) -> Load {
        let load = Load {
            busy: u32::try_from(self.slots.busy()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.slots.queued()).unwrap_or(u32::MAX),
        };
        match self.settings.load {
            LoadReport::True => load,
            LoadReport::Fixed(load) => load,
            LoadReport::Lag { lag } => {
                self.loads.push_back((now.time, load));
                // While the second entry is old enough to be reported, the first is obsolete.
                while self.loads.len() > MAX_LOADS
                    || self.loads.get(1).is_some_and(|(at, _)| *at + lag <= now.time)
                {
                    self.loads.pop_front();
                }
                let reported = self.loads.front().filter(|(at, _)| *at + lag <= now.time);
                reported.map(|(_, load)| *load).unwrap_or_default()
            }
        }
    }

    /// Whether the leaf reports that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Checks everything except capacity and returns the version to serve.
    fn admit(&self, now: Now, query: &Query) -> Result<id::Version, Refusal> {
        let refuses_since = self.draining_since.map(|since| since + self.settings.drain_grace);
        if refuses_since.is_some_and(|since| since <= now.time) {
            return Err(Refusal::Leaving);
        }
        let version = self.version(query.version)?;
        let held = self.index.contains_key(&(version, query.shard));
        if !held || query.service != self.settings.service {
            return Err(Refusal::Shard);
        }
        let deadline = now.time + query.budget;
        match self.is_expired(now, deadline, query.expires, query.idempotent) {
            true => Err(Refusal::Expired),
            false => Ok(version),
        }
    }

    /// Returns the version to serve for the one that a query names.
    fn version(&self, named: Option<id::Version>) -> Result<id::Version, Refusal> {
        let newest = self.settings.versions.iter().max().copied();
        let served = match named {
            Some(version) if self.settings.named_versions => {
                self.settings.versions.contains(&version).then_some(version)
            }
            _ => newest,
        };
        served.ok_or_else(|| {
            let mut available = self.settings.versions.clone();
            available.sort();
            Refusal::Version { available }
        })
    }

    /// Whether a part must no longer run.
    fn is_expired(&self, now: Now, deadline: Time, expires: Wall, idempotent: bool) -> bool {
        if !idempotent {
            return now.wall > expires;
        }
        self.settings.deadlines && (now.wall > expires || now.time >= deadline)
    }

    /// Moves waiting parts to free slots, as far as there are any.
    fn promote(&mut self, now: Now) -> Vec<Wake> {
        let mut wakes = Vec::new();
        while let Some((ticket, job)) = self.slots.promote() {
            let job = job.clone();
            let result = if self.is_expired(now, job.deadline, job.expires, job.idempotent) {
                self.slots.remove(ticket);
                Err(self.refuse(Refusal::Expired))
            } else {
                Ok(self.start(now, ticket, &job))
            };
            wakes.push(Wake { ticket, result });
        }
        wakes
    }

    /// Starts a part that has a slot.
    fn start(&mut self, now: Now, ticket: Ticket, job: &Job) -> Run {
        assert!(
            job.idempotent || now.wall <= job.expires,
            "a part that is not idempotent must not start after it expired"
        );
        self.counters.started += 1;
        let count = if job.idempotent { 0 } else { self.count_run(&job.request) };
        let input = Input {
            seed: self.seed,
            leaf: &self.settings.name,
            request: &job.request,
            shard: job.shard,
        };
        let factor = self.settings.cold_start.factor_at(now.time.since(self.cold_since));
        let time = self.settings.service_time.draw(input).mul_f64(factor);
        let delay = time.max(self.stalled_until.since(now.time));
        Run { ticket, version: job.version, delay, count }
    }

    fn count_run(&mut self, request: &id::Request) -> u64 {
        let count = self.runs.entry(request.clone()).or_default();
        *count += 1;
        *count
    }

    fn reply(&mut self, now: Now, run: &Run, query: &Query) -> Reply {
        let text = &query.query.text;
        let rows = if text.starts_with(rows::INVOICE_PREFIX) {
            vec![rows::receipt(&query.request, run.version, run.count, text)]
        } else {
            let held = self.index.get(&(run.version, query.shard));
            rows::select(held.map_or(&[], Vec::as_slice), run.version, &query.query)
        };
        Reply {
            attempt: query.attempt.clone(),
            request: query.request.clone(),
            shard: query.shard,
            version: run.version,
            count: u32::try_from(rows.len()).unwrap_or(u32::MAX),
            rows,
            load: self.load(now),
            leaving: self.is_leaving(),
        }
    }

    fn count_received(&mut self, now: Now) {
        self.counters.received += 1;
        if let Some(since) = self.draining_since {
            self.counters.received_draining += 1;
            let elapsed = now.time.since(since).as_millis();
            self.counters.last_draining_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        }
    }

    fn refuse(&mut self, refusal: Refusal) -> Refusal {
        let counter = match refusal {
            Refusal::Overloaded => &mut self.counters.overloaded,
            Refusal::Leaving => &mut self.counters.leaving,
            Refusal::Version { .. } => &mut self.counters.version,
            Refusal::Shard => &mut self.counters.shard,
            Refusal::Expired => &mut self.counters.expired,
        };
        *counter += 1;
        refusal
    }
}

/// Returns the settings after a change.
fn changed(settings: &Leaf, change: &Change) -> Leaf {
    let mut settings = settings.clone();
    set(&mut settings.versions, &change.versions);
    set(&mut settings.held, &change.held);
    set(&mut settings.named_versions, &change.named_versions);
    set(&mut settings.drain_grace, &change.drain_grace);
    set(&mut settings.service_time, &change.service_time);
    set(&mut settings.cold_start, &change.cold_start);
    set(&mut settings.slots, &change.slots);
    set(&mut settings.queue, &change.queue);
    set(&mut settings.load, &change.load);
    set(&mut settings.deadlines, &change.deadlines);
    settings
}

/// Sets a field if there is a new value.
fn set<T: Clone>(field: &mut T, value: &Option<T>) {
    if let Some(value) = value {
        field.clone_from(value);
    }
}

/// Computes the keys of every shard that a leaf holds.
fn index(settings: &Leaf) -> Index {
    let held = settings.held.iter().flat_map(|held| {
        let count = held.shard_count;
        held.shards.iter().map(move |&shard| ((held.version, shard), count))
    });
    held.map(|(key, count)| (key, rows::keys(key.1, count, settings.keys))).collect()
}
