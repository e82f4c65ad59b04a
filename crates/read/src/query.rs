//! State of queries in progress and of their parts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::coverage::{Cause, Coverage, Missed};
use jacinthfall_core::fate::{Phase, Report, Slowest, Span};
use jacinthfall_core::id;
use jacinthfall_core::profile::{Profile, Wait};
use jacinthfall_core::query::{Answer, Ask, Row};
use jacinthfall_core::refusal::Ran;
use jacinthfall_core::time::{Time, Wall};

use crate::layout::Layout;
use crate::leafs::{Index, Ticket};
use crate::merge::merge;

/// Sequence number of a query, unique for the lifetime of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Serial(pub(crate) u64);

/// Progress of a part.
#[derive(Debug)]
pub(crate) enum State {
    /// No leaf has been chosen.
    Unplaced,
    /// Waits in the queue of a leaf.
    Queued(Index, Ticket),
    /// One attempt is in flight, or two if hedged.
    Sent,
    /// Answered with these rows, in ascending order of key.
    Answered(Vec<Row>),
    /// Given up.
    Missed(Cause),
}

/// Sub-request of a query to one shard.
#[derive(Debug)]
pub(crate) struct Part {
    /// Position of the shard in the layout.
    pub(crate) position: usize,
    pub(crate) state: State,
    /// Counters of the attempts in flight; the second one is a hedge.
    pub(crate) attempts: Vec<u64>,
    /// Leafs it was sent to.
    pub(crate) tried: Vec<Index>,
    /// Whether a hedged request was sent; at most one is sent per part.
    pub(crate) hedged: bool,
}

impl Part {
    fn new(position: usize) -> Part {
        let state = State::Unplaced;
        Part { position, state, attempts: Vec::new(), tried: Vec::new(), hedged: false }
    }

    pub(crate) fn is_open(&self) -> bool {
        !matches!(self.state, State::Answered(_) | State::Missed(_))
    }
}

/// Rows received in one index version.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) layout: Arc<Layout>,
    /// Rows by the position of their shard in the layout.
    pub(crate) rows: BTreeMap<usize, Vec<Row>>,
}

/// A query in progress.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) serial: Serial,
    pub(crate) token: id::Token,
    pub(crate) ask: Arc<Ask>,
    pub(crate) profile: Arc<Profile>,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    pub(crate) expires: Wall,
    /// Partition map of the version that the query is pinned to.
    pub(crate) layout: Arc<Layout>,
    /// Epoch of the oldest layout that the query refers to.
    pub(crate) epoch: u64,
    pub(crate) parts: Vec<Part>,
    pub(crate) answered: usize,
    pub(crate) missed: usize,
    /// Number of parts given up because no leaf serves the version.
    pub(crate) version_misses: usize,
    /// Version reported by the leaf for a non-idempotent request, which is not
    /// repeated to get the pinned version.
    pub(crate) reported_version: Option<id::Version>,
    /// Whether it moved to another version; it moves at most once.
    pub(crate) has_moved: bool,
    /// Versions that leafs offered instead of the requested one, with the number of
    /// offers.
    pub(crate) offered_versions: BTreeMap<id::Version, usize>,
    /// Rows received in versions other than the pinned one.
    pub(crate) other_versions: BTreeMap<id::Version, Group>,
    /// Number of attempts, including the unsent ones.
    pub(crate) sends: u64,
    /// Of those, the ones that provably were not sent to the leaf.
    pub(crate) unsent: u64,
    /// Of those, the ones that provably did not run, including the unsent ones.
    pub(crate) not_run: u64,
    /// Number of replies that prove that a leaf ran the request.
    pub(crate) replies: u64,
    first_sends: usize,
    last_first_send: Option<Time>,
    first_sent_at: Option<Time>,
    last_reply_at: Option<Time>,
    slowest: Option<Slowest>,
    pub(crate) hedges: u32,
    pub(crate) retries: u32,
}

/// Parameters of a new query.
pub(crate) struct Params {
    pub(crate) serial: Serial,
    pub(crate) token: id::Token,
    pub(crate) ask: Arc<Ask>,
    pub(crate) profile: Arc<Profile>,
    pub(crate) deadline: Time,
    pub(crate) expires: Wall,
}

impl Query {
    pub(crate) fn new(now: Time, params: Params, layout: Arc<Layout>) -> Query {
        let parts = layout.targets(&params.ask.query.scope).into_iter().map(Part::new).collect();
        let epoch = layout.epoch;
        Query {
            serial: params.serial,
            token: params.token,
            ask: params.ask,
            profile: params.profile,
            arrived: now,
            deadline: params.deadline,
            expires: params.expires,
            layout,
            epoch,
            parts,
            answered: 0,
            missed: 0,
            version_misses: 0,
            reported_version: None,
            has_moved: false,
            offered_versions: BTreeMap::new(),
            other_versions: BTreeMap::new(),
            sends: 0,
            unsent: 0,
            not_run: 0,
            replies: 0,
            first_sends: 0,
            last_first_send: None,
            first_sent_at: None,
            last_reply_at: None,
            slowest: None,
            hedges: 0,
            retries: 0,
        }
    }

    pub(crate) fn shard(&self, part: usize) -> id::Shard {
        self.layout.entries[self.parts[part].position].shard
    }

    pub(crate) fn open_parts(&self) -> usize {
        self.parts.len() - self.answered - self.missed
    }

    /// Whether `answered` of `total` shards reach the profile's minimum coverage.
    pub(crate) fn meets_coverage(&self, answered: usize, total: usize) -> bool {
        answered as f64 >= self.profile.least_coverage * total as f64
    }

    /// Whether the query can be answered without waiting for slow shards.
    pub(crate) fn may_answer_early(&self, now: Time) -> bool {
        self.profile.wait == Wait::Early
            && now.since(self.arrived) >= self.profile.early_after
            && self.answered > 0
            && self.meets_coverage(self.answered, self.parts.len())
    }

    /// Whether a leaf may have received any part.
    pub(crate) fn is_dispatched(&self) -> bool {
        self.sends > self.unsent
    }

    /// Whether the request ran, as reported in a refusal.
    pub(crate) fn ran(&self) -> Ran {
        if self.replies > 0 {
            return Ran::Ran;
        }
        if self.is_dispatched() { Ran::Unknown } else { Ran::NotRun }
    }

    pub(crate) fn note_sent(&mut self, now: Time) {
        self.sends += 1;
        self.first_sent_at.get_or_insert(now);
    }

    /// Records that a part was sent for the first time.
    pub(crate) fn note_first_send(&mut self, now: Time) {
        self.first_sends += 1;
        self.last_first_send = Some(now);
    }

    /// Time from arrival until each part had been sent at least once, or until `now`
    /// if some part has not been sent.
    pub(crate) fn queueing_time(&self, now: Time) -> Duration {
        let until = if self.first_sends < self.parts.len() { None } else { self.last_first_send };
        until.unwrap_or(now).since(self.arrived)
    }

    /// Marks a part as answered with `rows`.
    pub(crate) fn answer_part(&mut self, part: usize, rows: Vec<Row>) {
        assert!(self.parts[part].is_open(), "invariant: a shard is answered at most once");
        self.parts[part].state = State::Answered(rows);
        self.answered += 1;
    }

    /// Marks a part as missed.
    pub(crate) fn miss_part(&mut self, part: usize, cause: Cause) {
        assert!(self.parts[part].is_open(), "invariant: a shard is given up at most once");
        self.parts[part].state = State::Missed(cause);
        self.missed += 1;
        self.version_misses += usize::from(cause == Cause::VersionUnavailable);
    }

    /// Updates the slowest attempt with one whose reply was used or that was cancelled.
    pub(crate) fn note_slowest(
        &mut self,
        leaf: &id::Name,
        shard: id::Shard,
        sent: Time,
        now: Time,
    ) {
        let took = now.since(sent);
        if self.slowest.as_ref().is_none_or(|slowest| slowest.took < took) {
            self.slowest = Some(Slowest { leaf: leaf.clone(), shard, took });
        }
    }

    pub(crate) fn note_reply_used(&mut self, now: Time) {
        self.replies += 1;
        self.last_reply_at = Some(now);
    }

    /// Moves the query to the version of `layout`. Shards whose rows were already
    /// received in that version count as answered; all others have to be queried.
    pub(crate) fn move_to(&mut self, layout: Arc<Layout>) {
        let before = Arc::clone(&self.layout);
        let rows = self.take_rows();
        let mut known =
            self.other_versions.remove(&layout.version).map_or_else(BTreeMap::new, |g| g.rows);
        self.other_versions.insert(before.version, Group { layout: before, rows });
        self.parts = layout.targets(&self.ask.query.scope).into_iter().map(Part::new).collect();
        self.epoch = self.epoch.min(layout.epoch);
        self.layout = layout;
        self.answered = 0;
        self.missed = 0;
        self.version_misses = 0;
        for part in 0..self.parts.len() {
            if let Some(rows) = known.remove(&self.parts[part].position) {
                self.answer_part(part, rows);
            }
        }
    }

    fn take_rows(&mut self) -> BTreeMap<usize, Vec<Row>> {
        let answered = self.parts.iter_mut().filter_map(|part| match &mut part.state {
            State::Answered(rows) => Some((part.position, std::mem::take(rows))),
            _ => None,
        });
        answered.collect()
    }

    /// Coverage in the pinned version.
    ///
    /// # Panics
    ///
    /// If a part is still open.
    pub(crate) fn coverage(&self) -> Coverage {
        let missed = self.parts.iter().filter_map(|part| {
            let shard = self.layout.entries[part.position].shard;
            match part.state {
                State::Missed(cause) => Some(Missed { shard, cause }),
                _ => None,
            }
        });
        let missed = missed.collect();
        let coverage =
            Coverage { total: count(self.parts.len()), answered: count(self.answered), missed };
        assert!(
            coverage.is_consistent(),
            "invariant: every shard of the map is either answered or missed"
        );
        coverage
    }

    /// Builds the answer by merging the rows of the pinned version.
    pub(crate) fn answer(&mut self) -> Answer {
        let coverage = self.coverage();
        let lists = self.take_rows().into_values().collect();
        let limit = usize::try_from(self.ask.query.limit).unwrap_or(usize::MAX);
        let version = self.reported_version.unwrap_or(self.layout.version);
        Answer { version, rows: merge(lists, limit), coverage }
    }

    /// Details of the query for the audit record.
    pub(crate) fn report(&self, now: Time) -> Report {
        let started = self.first_sent_at.unwrap_or(now);
        let mut spans = vec![Span { phase: Phase::Queued, took: started.since(self.arrived) }];
        if self.first_sent_at.is_some() {
            let ended = self.last_reply_at.unwrap_or(now);
            spans.push(Span { phase: Phase::Leafs, took: ended.since(started) });
        }
        // A full answer contains its own coverage, and coverage is undefined while parts
        // are open.
        let decided = self.missed > 0 && self.answered + self.missed == self.parts.len();
        Report {
            dispatched: self.is_dispatched(),
            version: Some(self.reported_version.unwrap_or(self.layout.version)),
            coverage: decided.then(|| self.coverage()),
            spans,
            slowest: self.slowest.clone(),
            hedges: self.hedges,
            retries: self.retries,
        }
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).expect("a partition map has fewer than 2^32 shards")
}
