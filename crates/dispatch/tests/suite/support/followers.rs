//! Nodes in virtual time that learn of changes in a store, which leaves some of them without an
//! answer.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::reach::Loss;
use jacinthfall_dispatch::roster::{Demand, Heartbeat, Node, Phase, Roster};
use jacinthfall_dispatch::transfer::Rank;
use jacinthfall_dispatch::watch::{Confirmation, Knowledge, Role, Schedule};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// Interval between two heartbeats of a node.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two decisions of a node without a call.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a call without an answer has failed, beyond the wait of a watch.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time that the store takes to answer.
const LATENCY: Duration = Duration::from_millis(10);

/// Interval between two renewals of a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Pause after a watch that returned changes.
const BATCH_PAUSE: Duration = Duration::from_millis(400);

/// First and longest mean pause after failed calls.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Time to get the changes that another node knows.
const EXCHANGE_TIME: Duration = Duration::from_millis(50);

/// Time that a node which watches the store waits for changes before it gets them from another one.
const MAX_WATCH_LAG: Duration = Duration::from_millis(400);

/// Share of the datagrams that are lost.
const LOST_SHARE: f64 = 0.02;

/// What the store does with the calls of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serves,
    Refuses,
    /// It doesn't answer calls, and never those that are waiting meanwhile.
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Watch,
    Renewal,
}

/// A call to the store that has not ended.
#[derive(Clone, Copy, Debug)]
struct Call {
    started: Time,
    wait: Duration,
    is_lost: bool,
}

/// How a call has ended.
enum End {
    Answered,
    Failed,
}

impl Call {
    fn open(now: Time, wait: Duration) -> Call {
        Call { started: now, wait, is_lost: false }
    }

    /// Lets the store handle the call; `has_news` tells whether there are changes that it waits for.
    fn step(&mut self, now: Time, mode: Mode, has_news: bool) -> Option<End> {
        self.is_lost |= mode == Mode::Silent;
        let took = now.since(self.started);
        if self.is_lost {
            return (took >= self.wait + TIMEOUT).then_some(End::Failed);
        }
        if took < LATENCY {
            return None;
        }
        if mode == Mode::Refuses {
            return Some(End::Failed);
        }
        (has_news || took >= self.wait).then_some(End::Answered)
    }
}

/// Pause after failed calls.
struct Backoff(Duration);

impl Backoff {
    fn next(&mut self, rng: &mut ChaCha8Rng) -> Duration {
        let pause = self.0.mul_f64(rng.random_range(0.7..1.3));
        self.0 = (self.0 * 2).min(MAX_PAUSE);
        pause
    }
}

struct Member {
    own: Node,
    roster: Roster,
    knowledge: Knowledge,
    upto: u64,
    answers: bool,
    watch: Option<Call>,
    /// When it decides on its role next.
    decides_at: Time,
    watch_backoff: Backoff,
    renewal: Option<Call>,
    renews_at: Time,
    renewal_backoff: Backoff,
    is_renewal_due: bool,
    beats_at: Time,
    /// Changes that another node knows, and when they have been fetched.
    fetched: Option<(Time, u64)>,
}

impl Member {
    fn place(&self) -> Position {
        Position::new(0, self.upto)
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            node: self.own.clone(),
            phase: Phase::Serving,
            upto: self.place(),
            configuration: Rank::default(),
            store_answers: self.answers,
            active: true,
            load: 0,
            demand: Demand::default(),
            loss: Loss::Nothing,
        }
    }

    fn record_call(&mut self, now: Time, end: &End) {
        let answers = matches!(end, End::Answered);
        if answers {
            self.knowledge.record_answer(now);
            self.decides_at = self.decides_at.min(now);
        }
        if std::mem::replace(&mut self.answers, answers) != answers {
            self.beats_at = now;
        }
    }

    fn end_watch(&mut self, now: Time, end: &End, latest: u64, rng: &mut ChaCha8Rng) {
        self.record_call(now, end);
        self.decides_at = now;
        match end {
            End::Answered => {
                if latest > self.upto {
                    self.decides_at = now + BATCH_PAUSE;
                }
                self.upto = latest;
                self.knowledge.record_read(now);
                self.watch_backoff.0 = FIRST_PAUSE;
                self.beats_at = now;
            }
            End::Failed => self.decides_at = now + self.watch_backoff.next(rng),
        }
    }

    fn end_renewal(&mut self, now: Time, end: &End, rng: &mut ChaCha8Rng) {
        self.record_call(now, end);
        match end {
            End::Answered => {
                self.renews_at = now + RENEWAL_INTERVAL;
                self.renewal_backoff.0 = FIRST_PAUSE;
            }
            End::Failed => self.renews_at = now + self.renewal_backoff.next(rng),
        }
    }

    /// Starts the renewal of the lease if it is due. A node whose last one failed keeps to its
    /// backoff.
    fn start_renewal(&mut self, now: Time) -> bool {
        let is_asked = self.is_renewal_due && self.renewal_backoff.0 == FIRST_PAUSE;
        if self.renewal.is_some() || !is_asked && now < self.renews_at {
            return false;
        }
        self.is_renewal_due = false;
        self.renewal = Some(Call::open(now, Duration::ZERO));
        true
    }

    /// Decides on the role; returns whether that starts a watch.
    fn decide(&mut self, now: Time, schedule: &Schedule) -> bool {
        if self.watch.is_some() || now < self.decides_at {
            return false;
        }
        let place = self.place();
        self.knowledge.advance(place);
        self.decides_at = now + ROLE_POLL_INTERVAL;
        match self.knowledge.role(now, schedule, &self.roster, &self.own, self.answers) {
            Role::Watch(wait) => {
                self.watch = Some(Call::open(now, wait));
                return true;
            }
            Role::Check => self.is_renewal_due = true,
            Role::Rely(left) => self.decides_at = now + left.min(ROLE_POLL_INTERVAL),
        }
        false
    }

    fn receive(&mut self, now: Time, beat: &Heartbeat) {
        self.roster.record_heartbeat(now, beat);
        if beat.upto.revision > self.upto && self.fetched.is_none() {
            let follows = self.answers && self.roster.is_follower_of_store(now, &self.own);
            let lag = if follows { MAX_WATCH_LAG } else { Duration::ZERO };
            self.fetched = Some((now + lag + EXCHANGE_TIME, beat.upto.revision));
        }
    }
}

/// Nodes that follow a store.
pub struct Followers {
    members: Vec<Member>,
    numbers: HashMap<SocketAddr, usize>,
    schedule: Schedule,
    rng: ChaCha8Rng,
    /// Current time.
    pub now: Time,
    /// What the store does with the calls of each node.
    pub modes: Vec<Mode>,
    revision: u64,
    /// When each watch and renewal began.
    calls: Vec<(Time, Kind)>,
}

impl Followers {
    /// Creates nodes that know each other and the store's first revision.
    pub fn open(nodes: usize, zones: usize, bound: Duration, seed: u64) -> Followers {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes: Vec<Node> = (0..nodes).map(|number| deployment::node(number, zones)).collect();
        let numbers = nodes.iter().enumerate().map(|(number, node)| (node.peers, number));
        let members = nodes.iter().map(|own| {
            let mut roster = Roster::default();
            for other in nodes.iter().filter(|other| other.name != own.name) {
                roster.record_registration(Time(0), other.clone());
            }
            let random =
                |most: Duration, rng: &mut ChaCha8Rng| Time(0) + most.mul_f64(rng.random());
            Member {
                own: own.clone(),
                roster,
                knowledge: Knowledge::default(),
                upto: 1,
                answers: true,
                watch: None,
                decides_at: random(HEARTBEAT_INTERVAL, &mut rng) + HEARTBEAT_INTERVAL,
                watch_backoff: Backoff(FIRST_PAUSE),
                renewal: None,
                renews_at: random(RENEWAL_INTERVAL, &mut rng),
                renewal_backoff: Backoff(FIRST_PAUSE),
                is_renewal_due: false,
                beats_at: random(HEARTBEAT_INTERVAL, &mut rng),
                fetched: None,
            }
        });
        Followers {
            members: members.collect(),
            numbers: numbers.collect(),
            schedule: Schedule::of(bound),
            modes: vec![Mode::Serves; nodes.len()],
            rng,
            now: Time(0),
            revision: 1,
            calls: Vec::new(),
        }
    }

    /// Lets a time pass.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Changes the store, and returns how long it takes until each node knows the change; `None` for
    /// those that don't within `longest`.
    pub fn change(&mut self, longest: Duration) -> Vec<Option<Duration>> {
        self.revision += 1;
        let (started, revision) = (self.now, self.revision);
        let mut known = vec![None; self.members.len()];
        while self.now.since(started) < longest {
            self.step();
            for (member, known) in self.members.iter().zip(&mut known) {
                if member.upto >= revision {
                    known.get_or_insert(self.now.since(started));
                }
            }
        }
        known
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for number in 0..self.members.len() {
            let (member, mode) = (&mut self.members[number], self.modes[number]);
            let has_news = self.revision > member.upto;
            if let Some(end) = member.watch.as_mut().and_then(|c| c.step(now, mode, has_news)) {
                member.watch = None;
                member.end_watch(now, &end, self.revision, &mut self.rng);
            }
            if let Some(end) = member.renewal.as_mut().and_then(|c| c.step(now, mode, true)) {
                member.renewal = None;
                member.end_renewal(now, &end, &mut self.rng);
            }
            if let Some((_, upto)) = member.fetched.take_if(|(at, _)| *at <= now) {
                member.upto = member.upto.max(upto);
                member.beats_at = now;
            }
            if member.start_renewal(now) {
                self.calls.push((now, Kind::Renewal));
            }
            if member.decide(now, &self.schedule) {
                self.calls.push((now, Kind::Watch));
            }
        }
        for number in 0..self.members.len() {
            if self.members[number].beats_at <= now {
                self.beat(number);
            }
        }
    }

    /// Lets a node send its heartbeat and what it states of the store.
    fn beat(&mut self, number: usize) {
        let now = self.now;
        let member = &mut self.members[number];
        member.beats_at = now + HEARTBEAT_INTERVAL;
        let beat = member.heartbeat();
        let (place, passes_on) = (member.place(), !member.roster.is_small());
        let news = member.knowledge.next_statement(now, &self.schedule, place, passes_on);
        let targets = member.roster.heartbeat_targets(&member.own, &mut self.rng);
        for target in targets {
            let target = self.numbers[&target];
            if !self.rng.random_bool(LOST_SHARE) {
                self.members[target].receive(now, &beat);
            }
            if let Some(news) = &news
                && !self.rng.random_bool(LOST_SHARE)
            {
                self.state(target, news);
            }
        }
    }

    fn state(&mut self, target: usize, news: &Confirmation) {
        let member = &mut self.members[target];
        let place = member.place();
        member.knowledge.merge(self.now, news, place);
    }

    /// Returns the nodes of each zone in the order of their names; the zones are in order, too.
    pub fn zones(&self) -> Vec<Vec<usize>> {
        let mut zones: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (number, member) in self.members.iter().enumerate() {
            zones.entry(&*member.own.zone).or_default().push(number);
        }
        zones.into_values().collect()
    }

    /// Returns the number of watches and that of renewals since a time, per second.
    pub fn call_rates(&self, since: Time) -> (f64, f64) {
        let seconds = self.now.since(since).as_secs_f64();
        let rate = |kind| {
            let calls = self.calls.iter().filter(|(at, other)| *at > since && *other == kind);
            calls.count() as f64 / seconds
        };
        (rate(Kind::Watch), rate(Kind::Renewal))
    }

    /// Returns the largest number of calls within a second since a time.
    pub fn most_calls(&self, since: Time) -> usize {
        let calls: Vec<Time> =
            self.calls.iter().map(|(at, _)| *at).filter(|at| *at > since).collect();
        let second = Duration::from_secs(1);
        let within =
            |first: Time| calls.iter().filter(move |at| **at >= first && at.since(first) < second);
        calls.iter().map(|first| within(*first).count()).max().unwrap_or(0)
    }
}
