//! What is known of one leaf's load.

use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::leaf::Entry;

/// Weight of a new observation in moving averages.
const SMOOTHING: f64 = 0.25;

/// Time in which a remembered slowness or failure loses half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Age up to which a reported queue counts, at least.
const REPORT_AGE: Duration = Duration::from_millis(150);

/// Response times for which a reported queue counts.
const REPORT_RESPONSES: f64 = 2.0;

/// Time for which a leaf that can't be reached is passed over; doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest time for which a leaf that can't be reached is passed over.
const MAX_PAUSE: Duration = Duration::from_millis(2_000);

/// Cost of sending to another availability zone, in expected response time.
const CROSS_ZONE: Duration = Duration::from_millis(13);

/// Response times that a silent leaf may take before it counts as stalled.
const STALL_FACTOR: f64 = 1.5;

/// Greatest slowness that one answer can show.
const MAX_SLOWNESS: f64 = 12.0;

/// Time for which a leaf that accepts no further connection isn't asked for one.
const CROWDED: Duration = Duration::from_millis(400);

/// Time without any answer after which a leaf that lets requests time out counts as
/// unreachable; one that answers others is only slow.
const SILENCE: Duration = Duration::from_millis(500);

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
pub struct Outlook {
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
    Back,
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
pub(super) struct Sent {
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
    pub(super) warm: Time,
    pub(super) sent: Vec<Sent>,
    pub(super) last_answer: Time,
    pub(super) report: Option<Report>,
    /// Factor by which answers took longer than usual.
    pub(super) slowness: f64,
    /// Share of requests that failed.
    pub(super) failing: f64,
    pub(super) observed: Time,
    pub(super) paused_until: Time,
    pub(super) pause: Duration,
    pub(super) misdirected: bool,
    /// Whether it could not be reached the last time.
    pub(super) suspect: bool,
    /// Requests that it is given at a time until a moment, for want of connections.
    pub(super) crowded: Option<(usize, Time)>,
}

impl Leaf {
    pub(super) fn open(now: Time, id: id::Name, entry: Entry) -> Leaf {
        Leaf {
            id,
            warm: now + entry.warmup,
            entry,
            sent: Vec::new(),
            last_answer: now,
            report: None,
            slowness: 1.0,
            failing: 0.0,
            observed: now,
            paused_until: Time(0),
            pause: FIRST_PAUSE,
            misdirected: false,
            suspect: false,
            crowded: None,
        }
    }

    /// Requests of this node that it has in hand.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    fn decay(&self, now: Time) -> f64 {
        0.5_f64.powf(now.since(self.observed).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    pub(super) fn slowness(&self, now: Time) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    fn failing(&self, now: Time) -> f64 {
        self.failing * self.decay(now)
    }

    pub(super) fn observe(&mut self, now: Time, slowness: Option<f64>, failed: bool) {
        let (slow, failing) = (self.slowness(now), self.failing(now));
        self.slowness = slowness.map_or(slow, |s| slow + SMOOTHING * (s - slow));
        self.failing = failing + SMOOTHING * (f64::from(u8::from(failed)) - failing);
        self.observed = now;
    }

    /// Notes how a request ended whose response the queue was expected to prolong by a
    /// factor.
    pub(super) fn ended(&mut self, now: Time, queueing: f64, ending: Ending) -> Option<Change> {
        let was_suspect = self.suspect;
        match ending {
            Ending::Success { took, usual } => {
                let ratio = took.as_secs_f64() / queueing / usual.as_secs_f64().max(0.001);
                self.observe(now, Some(ratio.min(MAX_SLOWNESS)), false);
                self.last_answer = now;
                self.pause = FIRST_PAUSE;
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
            Ending::Silent if now.since(self.last_answer) > SILENCE => return self.pause(now),
            Ending::Silent => self.observe(now, Some(MAX_SLOWNESS), false),
            Ending::Crowded => {
                self.crowded = Some((self.sent.len(), now + CROWDED));
                return Some(Change::Limited(self.sent.len()));
            }
            Ending::Busy | Ending::Cancelled => {}
        }
        (was_suspect && !self.suspect).then_some(Change::Back)
    }

    /// Passes the leaf over for a while, unless it is already.
    pub(super) fn pause(&mut self, now: Time) -> Option<Change> {
        self.observe(now, None, true);
        self.suspect = true;
        if self.paused_until > now {
            return None;
        }
        let pause = self.pause;
        self.paused_until = now + pause;
        self.pause = (pause * 2).min(MAX_PAUSE);
        Some(Change::Paused(pause))
    }

    /// Requests that it may be given at a time.
    pub(super) fn limit(&self, now: Time, limit: usize) -> usize {
        match self.crowded {
            Some((crowded, until)) if until > now => limit.min(crowded),
            _ => limit,
        }
    }

    /// Requests that are in front of the next one.
    fn queue(&self, now: Time, response: f64) -> f64 {
        let own = self.sent.len() as f64;
        let age = REPORT_AGE.as_secs_f64().max(REPORT_RESPONSES * response);
        let reported = self.report.filter(|report| now.since(report.at).as_secs_f64() < age);
        reported.map_or(own, |report| own.max(f64::from(report.requests)))
    }

    /// Factor by which the queue is expected to prolong a response.
    pub(super) fn queueing(&self, now: Time, response: f64) -> f64 {
        let slots = f64::from(self.entry.slots);
        let queue = self.queue(now, response);
        let waiting = (queue + 1.0 - slots).max(0.0) / slots;
        // Leafs that are nearly full work slower.
        let filling = 0.25 * queue / slots;
        1.0 + waiting + filling
    }

    /// How long it has been silent beyond what is usual, with requests in hand.
    fn stall(&self, now: Time, usual: Duration) -> Duration {
        let Some(oldest) = self.sent.first() else { return Duration::ZERO };
        let silent = now.since(oldest.at.max(self.last_answer));
        silent.saturating_sub(usual.mul_f64(STALL_FACTOR))
    }

    /// Expected response time of a request that usually takes `usual`, in seconds.
    pub(super) fn estimate(&self, now: Time, usual: Duration, zone: &str) -> f64 {
        let response = usual.as_secs_f64() * self.slowness(now);
        let warmup = if now < self.warm { 1.6 } else { 1.0 };
        let work = response * warmup * self.queueing(now, response);
        let distance = if *self.entry.zone == *zone { 0.0 } else { CROSS_ZONE.as_secs_f64() };
        let stall = 4.0 * self.stall(now, usual).as_secs_f64();
        let failing = 8.0 * self.failing(now) * usual.as_secs_f64();
        work + distance + stall + failing
    }
}
