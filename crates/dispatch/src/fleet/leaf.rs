//! What is known of one leaf's load.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::leaf::Entry;

/// Weight of a new observation in moving averages.
const SMOOTHING_WEIGHT: f64 = 0.25;

/// Time in which a remembered slowness or failure loses half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Age up to which a reported queue counts, at least.
const MIN_REPORT_LIFETIME: Duration = Duration::from_millis(150);

/// Response times for which a reported queue counts.
const REPORT_LIFETIME_RESPONSES: f64 = 2.0;

/// Time for which a leaf that can't be reached is passed over; doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest time for which a leaf that can't be reached is passed over.
const MAX_PAUSE: Duration = Duration::from_millis(2_000);

/// Cost of sending to another availability zone, in expected response time.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(13);

/// Response times that a silent leaf may take before it counts as stalled.
const STALL_FACTOR: f64 = 1.5;

/// Greatest slowness that one answer can show.
const MAX_SLOWNESS: f64 = 12.0;

/// Time for which a leaf that accepts no further connection isn't asked for one.
const CONNECTION_LIMIT_DURATION: Duration = Duration::from_millis(400);

/// Time without any answer after which a leaf that lets requests time out counts as
/// unreachable; one that answers others is only slow.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// How a send to a leaf ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// It answered with success after this time, where this time was expected.
    Success {
        /// Response time.
        took: Duration,
        /// Usual response time of such requests.
        usual: Duration,
    },
    /// It ran the request and failed, or its answer broke off.
    Failure,
    /// It rejected the request without running it.
    Rejected,
    /// Another leaf has the address.
    Misdirected,
    /// It could not be reached.
    Unreachable,
    /// It was silent until the caller stopped waiting.
    Silent,
    /// No connection to it was free.
    Busy,
    /// It accepts no further connection.
    Crowded,
    /// This node gave up on the request.
    Cancelled,
}

impl Ending {
    /// Short name, for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Ending::Success { .. } => "success",
            Ending::Failure => "failure",
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

/// What the choice of a leaf rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Assessment {
    /// Expected response time.
    pub expected: Duration,
    /// Requests of this node that the leaf has in hand.
    pub in_flight: usize,
    /// Requests that it reported to have, with the age of that report.
    pub report: Option<(u32, Duration)>,
}

/// What an ending changes for further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The leaf is passed over for this time.
    Paused(Duration),
    /// The leaf answers again.
    Recovered,
    /// The leaf is given no more than this many requests at a time for a while: it
    /// accepts no further connection.
    Limited(usize),
    /// The leaf is not used before a new entry of it: another one has its address.
    Dropped,
}

/// Queue of a leaf as it reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that it works on or has queued.
    pub requests: u32,
    /// When the report came.
    pub at: Time,
}

/// A request that a leaf has in hand.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub(super) at: Time,
    /// Factor by which the leaf's queue was expected to prolong the response.
    pub(super) queueing: f64,
}

/// What decisions need to know of a leaf.
#[derive(Clone, Debug)]
pub struct Leaf {
    /// Id, as the leaf itself knows it.
    pub id: id::Name,
    /// What it says of itself.
    pub entry: Entry,
    pub(super) warm_at: Time,
    pub(super) sends: Vec<InFlight>,
    pub(super) last_answer: Time,
    pub(super) report: Option<Report>,
    /// Factor by which answers took longer than usual.
    pub(super) slowness: f64,
    /// Share of requests that failed.
    pub(super) failure_rate: f64,
    pub(super) observed_at: Time,
    pub(super) paused_until: Time,
    pub(super) next_pause: Duration,
    pub(super) misdirected: bool,
    /// Whether it could not be reached the last time.
    pub(super) suspect: bool,
    /// Requests that it is given at a time until a moment, for want of connections.
    pub(super) connection_limit: Option<(usize, Time)>,
}

impl Leaf {
    pub(super) fn open(now: Time, id: id::Name, entry: Entry) -> Leaf {
        Leaf {
            id,
            warm_at: now + entry.warmup,
            entry,
            sends: Vec::new(),
            last_answer: now,
            report: None,
            slowness: 1.0,
            failure_rate: 0.0,
            observed_at: now,
            paused_until: Time(0),
            next_pause: FIRST_PAUSE,
            misdirected: false,
            suspect: false,
            connection_limit: None,
        }
    }

    /// Requests of this node that it has in hand.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.sends.len()
    }

    fn decay(&self, now: Time) -> f64 {
        0.5_f64.powf(now.since(self.observed_at).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    pub(super) fn slowness(&self, now: Time) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    fn failure_rate(&self, now: Time) -> f64 {
        self.failure_rate * self.decay(now)
    }

    pub(super) fn observe(&mut self, now: Time, slowness: Option<f64>, failed: bool) {
        let (slow, failure_rate) = (self.slowness(now), self.failure_rate(now));
        self.slowness = slowness.map_or(slow, |s| slow + SMOOTHING_WEIGHT * (s - slow));
        self.failure_rate =
            failure_rate + SMOOTHING_WEIGHT * (f64::from(u8::from(failed)) - failure_rate);
        self.observed_at = now;
    }

    /// Notes how a request ended whose response the queue was expected to prolong by a
    /// factor.
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
            Ending::Rejected => {
                let requests = 2 * self.entry.slots;
                self.report = Some(Report { requests, at: now });
                self.observe(now, None, true);
                self.last_answer = now;
            }
            Ending::Misdirected => {
                self.misdirected = true;
                return Some(Change::Dropped);
            }
            Ending::Unreachable => return self.pause(now),
            Ending::Silent if now.since(self.last_answer) > MAX_SILENCE => return self.pause(now),
            Ending::Silent => self.observe(now, Some(MAX_SLOWNESS), false),
            Ending::Crowded => {
                self.connection_limit = Some((self.sends.len(), now + CONNECTION_LIMIT_DURATION));
                return Some(Change::Limited(self.sends.len()));
            }
            Ending::Busy | Ending::Cancelled => {}
        }
        (was_suspect && !self.suspect).then_some(Change::Recovered)
    }

    /// Passes the leaf over for a while, unless it is already.
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

    /// Requests that it may be given at a time.
    pub(super) fn limit(&self, now: Time, limit: usize) -> usize {
        match self.connection_limit {
            Some((connection_limit, until)) if until > now => limit.min(connection_limit),
            _ => limit,
        }
    }

    /// Requests that are in front of the next one.
    fn queue_length(&self, now: Time, response: f64) -> f64 {
        let own = self.sends.len() as f64;
        let lifetime = MIN_REPORT_LIFETIME.as_secs_f64().max(REPORT_LIFETIME_RESPONSES * response);
        let reported = self.report.filter(|report| now.since(report.at).as_secs_f64() < lifetime);
        reported.map_or(own, |report| own.max(f64::from(report.requests)))
    }

    /// Factor by which the queue is expected to prolong a response.
    pub(super) fn queueing_factor(&self, now: Time, response: f64) -> f64 {
        let slots = f64::from(self.entry.slots);
        let queue = self.queue_length(now, response);
        let waiting = (queue + 1.0 - slots).max(0.0) / slots;
        // Leafs that are nearly full work slower.
        let occupancy = 0.25 * queue / slots;
        1.0 + waiting + occupancy
    }

    /// How long it has been silent beyond what is usual, with requests in hand.
    fn stall(&self, now: Time, usual: Duration) -> Duration {
        let Some(oldest) = self.sends.first() else { return Duration::ZERO };
        let silent = now.since(oldest.at.max(self.last_answer));
        silent.saturating_sub(usual.mul_f64(STALL_FACTOR))
    }

    /// Expected response time of a request that usually takes `usual`, in seconds.
    pub(super) fn estimate(&self, now: Time, usual: Duration, zone: &str) -> f64 {
        let response = usual.as_secs_f64() * self.slowness(now);
        let warmup = if now < self.warm_at { 1.6 } else { 1.0 };
        let work = response * warmup * self.queueing_factor(now, response);
        let distance =
            if *self.entry.zone == *zone { 0.0 } else { CROSS_ZONE_PENALTY.as_secs_f64() };
        let stall = 4.0 * self.stall(now, usual).as_secs_f64();
        let failures = 8.0 * self.failure_rate(now) * usual.as_secs_f64();
        work + distance + stall + failures
    }
}
