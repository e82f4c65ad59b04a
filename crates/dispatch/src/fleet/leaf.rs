//! Load and health of one leaf, and the response time expected from them.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::leaf::Entry;

use super::rate_limit::Limiter;
use super::warmup::Warmup;

/// Weight of a new observation in the exponential moving averages.
const SMOOTHING_WEIGHT: f64 = 0.25;

/// Time after which a past slowness or failure has lost half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Minimum time for which a reported queue length is used.
const MIN_REPORT_LIFETIME: Duration = Duration::from_millis(150);

/// Time for which a reported queue length is used, in response times of the leaf.
const REPORT_LIFETIME_RESPONSES: f64 = 2.0;

/// First pause of a leaf that can't be reached; the pause doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause of a leaf that can't be reached.
const MAX_PAUSE: Duration = Duration::from_millis(2_000);

/// Silence after which a leaf with requests in flight counts as stalled, in usual response
/// times.
const STALL_FACTOR: f64 = 1.5;

/// Upper bound on the slowness factor of a single answer.
const MAX_SLOWNESS: f64 = 12.0;

/// Time for which no new connection is opened to a leaf that accepts no more of them.
const CONNECTION_LIMIT_DURATION: Duration = Duration::from_millis(400);

/// Time without any answer after which a leaf whose requests time out counts as
/// unreachable. A leaf that still answers other requests is only slow.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// How a send to a leaf ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// The leaf answered successfully.
    Success {
        /// Response time.
        took: Duration,
        /// Usual response time of such requests, for comparison.
        usual: Duration,
    },
    /// The leaf ran the request and failed, or its answer can't be used.
    Failure,
    /// The connection broke before the answer was complete.
    Broken,
    /// A response came that doesn't name the request, so nothing that it says counts.
    Unattributed,
    /// The leaf rejected the request without running it.
    Rejected,
    /// A different leaf now has the address.
    Misdirected,
    /// The leaf could not be reached.
    Unreachable,
    /// The leaf didn't answer before the caller stopped waiting.
    Silent,
    /// No connection to the leaf became free in time.
    Busy,
    /// The leaf accepts no more connections.
    Crowded,
    /// This node cancelled the request.
    Cancelled,
}

impl Ending {
    /// Whether the leaf has responded, be it to another request.
    #[must_use]
    pub(super) const fn is_response(self) -> bool {
        match self {
            Ending::Success { .. }
            | Ending::Failure
            | Ending::Unattributed
            | Ending::Rejected
            | Ending::Misdirected => true,
            Ending::Broken
            | Ending::Unreachable
            | Ending::Silent
            | Ending::Busy
            | Ending::Crowded
            | Ending::Cancelled => false,
        }
    }

    /// Returns the name that is written to logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Ending::Success { .. } => "success",
            Ending::Failure => "failure",
            Ending::Broken => "broken",
            Ending::Unattributed => "unattributed",
            Ending::Rejected => "rejected",
            Ending::Misdirected => "misdirected",
            Ending::Unreachable => "unreachable",
            Ending::Silent => "silent",
            Ending::Busy => "busy",
            Ending::Crowded => "crowded",
            Ending::Cancelled => "cancelled",
        }
    }
}

/// Assessment of a leaf at the time when it was chosen for a send.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Assessment {
    /// Expected response time.
    pub expected: Duration,
    /// Number of requests from this node that the leaf has in flight.
    pub in_flight: usize,
    /// Number of requests in the leaf's latest report, with the age of that report.
    pub report: Option<(u32, Duration)>,
}

/// How the end of a request changes the use of its leaf for further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The leaf gets no requests for this time.
    Paused(Duration),
    /// The leaf answers again after it was unreachable.
    Recovered,
    /// The leaf gets at most this many concurrent requests for a while, because it accepts
    /// no more connections.
    Limited(usize),
    /// The leaf isn't used until the store has a new entry of it, because another leaf has
    /// its address.
    Dropped,
    /// The leaf gets no requests for this time, because it asked for that.
    BackedOff(Duration),
    /// The leaf gets no requests any more, because it is shutting down.
    Leaving,
}

/// Queue length that a leaf reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of requests that it runs or has queued.
    pub requests: u32,
    /// When the report arrived.
    pub at: Time,
}

/// A request in flight to a leaf.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    /// When it was sent.
    pub(super) at: Time,
    /// Factor by which the leaf's queue was expected to lengthen the response time.
    pub(super) queueing: f64,
    /// Time after which it counts as unanswered.
    pub(super) patience: Duration,
}

impl InFlight {
    /// Whether it counts as unanswered.
    pub(super) fn is_overdue(&self, now: Time) -> bool {
        now.since(self.at) > self.patience
    }
}

/// A leaf: its entry in the store, and its load and health as seen by this node.
#[derive(Clone, Debug)]
pub struct Leaf {
    /// Id that the leaf uses for itself.
    pub id: id::Name,
    /// Latest entry from the store.
    pub entry: Entry,
    /// Its warm-up.
    pub(super) warmup: Warmup,
    /// Requests of this node in flight, oldest first.
    pub(super) sends: Vec<InFlight>,
    /// Until when each idle connection to it may be used, the one used last at the end.
    pub(super) idle: Vec<Time>,
    pub(super) last_answer: Time,
    /// When the latest send or connection attempt began that got no response.
    pub(super) missed: Option<Time>,
    /// When the first connection attempt failed of those since the last one that succeeded.
    pub(super) refused_since: Option<Time>,
    pub(super) report: Option<Report>,
    /// Factor by which answers took longer than usual, as of `observed_at`.
    pub(super) slowness: f64,
    /// Share of requests that failed, as of `observed_at`.
    pub(super) failure_rate: f64,
    /// When `slowness` and `failure_rate` were last updated.
    pub(super) observed_at: Time,
    pub(super) paused_until: Time,
    /// Length of the next pause.
    pub(super) next_pause: Duration,
    /// Whether another leaf answered at its address.
    pub(super) misdirected: bool,
    /// Whether it has said that it is shutting down.
    pub(super) leaving: bool,
    /// Until when it wants no requests from this node.
    pub(super) backoff_until: Time,
    /// Whether it could not be reached and hasn't answered since.
    pub(super) suspect: bool,
    /// Maximum number of concurrent requests until the given time, while it accepts no more
    /// connections.
    pub(super) connection_limit: Option<(usize, Time)>,
    /// Rate limit that it states, if any.
    pub rate_limiter: Option<Limiter>,
}

impl Leaf {
    pub(super) fn open(now: Time, id: id::Name, entry: Entry) -> Leaf {
        Leaf {
            id,
            warmup: Warmup::open(now, &entry),
            entry,
            sends: Vec::new(),
            idle: Vec::new(),
            last_answer: now,
            missed: None,
            refused_since: None,
            report: None,
            slowness: 1.0,
            failure_rate: 0.0,
            observed_at: now,
            paused_until: Time(0),
            next_pause: FIRST_PAUSE,
            misdirected: false,
            leaving: false,
            backoff_until: Time(0),
            suspect: false,
            connection_limit: None,
            rate_limiter: None,
        }
    }

    /// Returns the number of requests from this node that are in flight to it.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.sends.len()
    }

    /// Returns the weight that the last observation still has.
    fn decay(&self, now: Time) -> f64 {
        0.5_f64.powf(now.since(self.observed_at).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Returns the decayed slowness; 1 is the usual response time.
    pub(super) fn slowness(&self, now: Time) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    /// Returns the decayed share of failed requests.
    fn failure_rate(&self, now: Time) -> f64 {
        self.failure_rate * self.decay(now)
    }

    /// Updates the moving averages of slowness and failures.
    pub(super) fn observe(&mut self, now: Time, slowness: Option<f64>, failed: bool) {
        let (slow, failure_rate) = (self.slowness(now), self.failure_rate(now));
        self.slowness = slowness.map_or(slow, |s| slow + SMOOTHING_WEIGHT * (s - slow));
        self.failure_rate =
            failure_rate + SMOOTHING_WEIGHT * (f64::from(u8::from(failed)) - failure_rate);
        self.observed_at = now;
    }

    /// Records how a request ended. `queueing` is the factor by which the queue was expected
    /// to lengthen its response time.
    pub(super) fn record_end(
        &mut self,
        now: Time,
        queueing: f64,
        ending: Ending,
    ) -> Option<Change> {
        let was_suspect = self.suspect;
        match ending {
            Ending::Success { took, usual } => {
                let ratio = took.as_secs_f64() / queueing / usual.as_secs_f64().max(0.001);
                self.observe(now, Some(ratio.min(MAX_SLOWNESS)), false);
                self.last_answer = now;
                self.next_pause = FIRST_PAUSE;
                self.paused_until = Time(0);
                self.suspect = false;
            }
            Ending::Failure => {
                self.observe(now, None, true);
                self.last_answer = now;
            }
            Ending::Broken | Ending::Unattributed => self.observe(now, None, true),
            Ending::Rejected => {
                let requests = self.entry.slots.saturating_mul(2);
                self.report = Some(Report { requests, at: now });
                self.observe(now, None, true);
                self.last_answer = now;
            }
            Ending::Misdirected => {
                self.misdirected = true;
                return Some(Change::Dropped);
            }
            Ending::Unreachable => {
                self.refused_since.get_or_insert(now);
                if !self.answers_elsewhere(now) {
                    return self.pause(now);
                }
                return Some(self.limit_connections(now));
            }
            Ending::Silent if now.since(self.last_answer) > MAX_SILENCE => return self.pause(now),
            Ending::Silent => self.observe(now, Some(MAX_SLOWNESS), false),
            Ending::Crowded => return Some(self.limit_connections(now)),
            Ending::Busy | Ending::Cancelled => {}
        }
        (was_suspect && !self.suspect).then_some(Change::Recovered)
    }

    /// Whether it answers on connections that were opened before.
    fn answers_elsewhere(&self, now: Time) -> bool {
        let has_connection = !self.sends.is_empty() || self.is_connected(now);
        has_connection && now.since(self.last_answer) <= MAX_SILENCE
    }

    /// Whether it answers on connections that were opened before, while new ones fail.
    pub(super) fn is_unconnectable(&self) -> bool {
        self.refused_since.is_some_and(|since| self.last_answer > since)
    }

    /// Opens no further connections to it for a while.
    fn limit_connections(&mut self, now: Time) -> Change {
        let limit = self.sends.len();
        self.connection_limit = Some((limit, now + CONNECTION_LIMIT_DURATION));
        Change::Limited(limit)
    }

    /// Pauses the leaf, unless it is already paused.
    pub(super) fn pause(&mut self, now: Time) -> Option<Change> {
        self.observe(now, None, true);
        self.suspect = true;
        if self.paused_until > now {
            return None;
        }
        let pause = self.next_pause;
        self.paused_until = now + pause;
        self.next_pause = (pause * 2).min(MAX_PAUSE);
        Some(Change::Paused(pause))
    }

    /// Lets it be sent requests at once, although it could not be reached. If that fails again,
    /// its pause is as long as it would have been.
    pub(super) fn clear_suspicion(&mut self) {
        self.suspect = false;
        self.paused_until = Time(0);
    }

    /// Returns the maximum number of concurrent requests, given the limit of its service.
    pub(super) fn limit(&self, now: Time, limit: usize) -> usize {
        match self.connection_limit {
            Some((connection_limit, until)) if until > now => limit.min(connection_limit),
            _ => limit,
        }
    }

    /// Returns the number of requests that are ahead of the next one.
    fn queue_length(&self, now: Time, response: f64) -> f64 {
        let own = self.sends.len() as f64;
        let lifetime = MIN_REPORT_LIFETIME.as_secs_f64().max(REPORT_LIFETIME_RESPONSES * response);
        let reported = self.report.filter(|report| now.since(report.at).as_secs_f64() < lifetime);
        reported.map_or(own, |report| own.max(f64::from(report.requests)))
    }

    /// Returns the factor by which the queue is expected to lengthen a response time.
    pub(super) fn queueing_factor(&self, now: Time, response: f64) -> f64 {
        let slots = f64::from(self.entry.slots);
        let queue = self.queue_length(now, response);
        let waiting = (queue + 1.0 - slots).max(0.0) / slots;
        // Leafs get slower as their slots fill up.
        let occupancy = 0.25 * queue / slots;
        1.0 + waiting + occupancy
    }

    /// Returns how long it has been silent with requests in flight, beyond the usual
    /// response time.
    fn stall(&self, now: Time, usual: Duration) -> Duration {
        let Some(oldest) = self.sends.first() else { return Duration::ZERO };
        let silent = now.since(oldest.at.max(self.last_answer));
        silent.saturating_sub(usual.mul_f64(STALL_FACTOR))
    }

    /// Whether a request can be sent to it without connecting first.
    #[must_use]
    pub fn is_connected(&self, now: Time) -> bool {
        self.idle.last().is_some_and(|until| *until > now)
    }

    /// Returns the cost of sending it a request that usually takes `usual`: the expected
    /// response time, in seconds, with penalties for stalls and failures. The way to it and the time
    /// to connect are not included.
    pub(super) fn estimate(&self, now: Time, usual: Duration) -> f64 {
        let response = usual.as_secs_f64() * self.slowness(now);
        let warmup = if self.warmup.is_slow(now) { 1.6 } else { 1.0 };
        let work = response * warmup * self.queueing_factor(now, response);
        let stall = 4.0 * self.stall(now, usual).as_secs_f64();
        let failures = 8.0 * self.failure_rate(now) * usual.as_secs_f64();
        work + stall + failures
    }
}
