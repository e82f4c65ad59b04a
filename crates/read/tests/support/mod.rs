//! Test harness with fake leafs around an engine. It checks every action of the engine
//! against the rules of the read path.

#![allow(dead_code, reason = "each test binary uses only some of the fixtures")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::leaf::{Load, Outcome, Refusal, Reply};
use jacinthfall_core::profile::Profile;
use jacinthfall_core::query::{self, Answer, Ask, Query, Row, Scope};
use jacinthfall_core::refusal::Ran;
use jacinthfall_core::service::{Leaf, Map, Service, Shard};
use jacinthfall_core::time::{Time, Wall};
use jacinthfall_core::{event, fate, id, leaf};
use jacinthfall_read::{Action, Engine, Event};

/// Keys that the index holds in every version.
pub const KEYS: u32 = 40;

pub fn name(text: &str) -> id::Name {
    text.into()
}

pub fn leaf_name(group: u32, replica: u32) -> id::Name {
    format!("leaf-{group}-{replica}").into()
}

/// Partition map of `shards` shards over `groups` groups of `replicas` leafs each.
pub fn map(version: u64, shards: u32, groups: u32, replicas: u32) -> Map {
    let replicas_of = |shard: u32| (0..replicas).map(move |r| leaf_name(shard % groups, r));
    let shards = (0..shards)
        .map(|shard| Shard { shard: id::Shard(shard), replicas: replicas_of(shard).collect() });
    Map { version: id::Version(version), shards: shards.collect() }
}

pub fn service(groups: u32, replicas: u32, slots: u32, maps: Vec<Map>) -> Service {
    let leafs = (0..groups).flat_map(|g| (0..replicas).map(move |r| (g, r)));
    let leafs = leafs.map(|(group, replica)| Leaf {
        name: leaf_name(group, replica),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: name("kl-hall-a"),
        leaving: false,
    });
    Service {
        name: name("agent-console"),
        slots,
        connections: 30,
        connect: Duration::from_millis(6),
        named_versions: true,
        leafs: leafs.collect(),
        maps,
    }
}

pub fn profile(idempotent: bool) -> Profile {
    let text = r#"{"name":"desk","service":"agent-console","deadline_ms":100,"idempotent":true}"#;
    let profile: Profile = serde_json::from_str(text).unwrap();
    Profile { idempotent, ..profile }
}

pub fn all() -> Scope {
    Scope::All
}

pub fn key(number: u32) -> Scope {
    Scope::Key(format!("k{number:03}").into())
}

/// Row of a key in a version.
pub fn row(version: id::Version, number: u32) -> Row {
    Row { key: format!("k{number:03}").into(), value: format!("v{version}").into() }
}

/// Correct rows of one shard in the version of `map`.
pub fn rows(map: &Map, shard: id::Shard, scope: &Scope) -> Vec<Row> {
    let all = (0..KEYS).map(|number| row(map.version, number));
    let held = all.filter(|row| map.shard_of(&row.key) == Some(shard));
    held.filter(|row| matches!(scope, Scope::All) || *scope == Scope::Key(row.key.clone()))
        .collect()
}

/// An attempt that the engine sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub leaf: id::Name,
    pub part: leaf::Query,
}

/// Observed state of a request.
#[derive(Debug)]
pub struct Request {
    pub ask: Arc<Ask>,
    pub profile: Arc<Profile>,
    pub deadline: Time,
    pub sends: u32,
    pub unsent: u32,
    /// Whether a leaf may have run the request.
    pub may_have_run: bool,
    pub answer: Option<(Time, query::Outcome, fate::Report)>,
}

pub struct World {
    pub engine: Engine,
    pub now: Time,
    pub service: Service,
    /// Partition maps of all versions described so far.
    pub maps: BTreeMap<id::Version, Map>,
    /// Attempts in flight, by counter.
    pub in_flight: BTreeMap<u64, Sent>,
    /// Attempts that ended or were cancelled.
    pub ended: Vec<Sent>,
    pub asks: BTreeMap<id::Token, Request>,
    pub leaving: BTreeSet<id::Name>,
    pub announced: Vec<(id::Name, bool)>,
    pub records: Vec<event::Event>,
    pub wake: Option<Time>,
    next_token: u64,
}

pub fn origin() -> id::Incarnation {
    id::Incarnation { node: name("klang-1"), started: 7 }
}

/// Creates a world whose engine has the description `service`.
pub fn world(service: Service) -> World {
    let mut world = World {
        engine: Engine::open(origin(), service.name.clone(), 1),
        now: Time::from_millis(1_000),
        maps: BTreeMap::new(),
        service: service.clone(),
        in_flight: BTreeMap::new(),
        ended: Vec::new(),
        asks: BTreeMap::new(),
        leaving: BTreeSet::new(),
        announced: Vec::new(),
        records: Vec::new(),
        wake: None,
        next_token: 0,
    };
    world.describe(service);
    world
}

impl World {
    pub fn describe(&mut self, service: Service) {
        for map in &service.maps {
            self.maps.insert(map.version, map.clone());
        }
        self.service = service.clone();
        self.feed(Event::Service(Arc::new(service)));
    }

    pub fn ask(&mut self, profile: &Profile, scope: Scope) -> id::Token {
        self.ask_with(profile, scope, 1_000)
    }

    pub fn ask_with(&mut self, profile: &Profile, scope: Scope, limit: u32) -> id::Token {
        self.next_token += 1;
        let token = id::Token(self.next_token);
        let ask = Arc::new(Ask {
            request: format!("r-{}", token.0).into(),
            profile: profile.name.clone(),
            caller: name("widget"),
            issued: Wall(1),
            query: Query { scope, text: "order note".into(), limit },
        });
        let profile = Arc::new(profile.clone());
        let deadline = self.now + profile.deadline;
        let tracked = Request {
            ask: Arc::clone(&ask),
            profile: Arc::clone(&profile),
            deadline,
            sends: 0,
            unsent: 0,
            may_have_run: false,
            answer: None,
        };
        self.asks.insert(token, tracked);
        self.feed(Event::Ask { token, ask, profile, deadline, expires: Wall(9) });
        token
    }

    /// Passes an event to the engine and checks the resulting actions.
    pub fn feed(&mut self, event: Event) {
        let actions = self.engine.handle(self.now, event);
        for action in actions {
            self.check(action);
        }
        self.check_wake();
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { leaf, part } => self.check_send(Sent { leaf, part: *part }),
            Action::Cancel { attempt, leaf } => {
                let sent = self
                    .in_flight
                    .remove(&attempt.counter)
                    .expect("only attempts in flight are cancelled");
                assert_eq!(sent.leaf, leaf);
                self.ended.push(sent);
            }
            Action::Answer { token, outcome, report } => self.check_answer(token, outcome, report),
            Action::Record(event) => self.records.push(event),
            Action::Announce { leaf, leaving } => self.announced.push((leaf, leaving)),
            Action::Wake(due) => self.wake = Some(due),
        }
    }

    fn check_send(&mut self, sent: Sent) {
        let leaf = sent.leaf.clone();
        assert!(!self.leaving.contains(&leaf), "{leaf} is leaving and must get no new parts");
        let described = self.service.leafs.iter().find(|listed| listed.name == leaf);
        assert!(
            described.is_some_and(|listed| !listed.leaving),
            "{leaf} must be listed and not leaving"
        );
        let slots = self.service.slots as usize;
        let busy = self.in_flight.values().filter(|other| other.leaf == leaf).count();
        assert!(busy < slots, "{leaf} must not have more attempts in flight than slots");
        let tracked = self.tracked(&sent.part.request);
        assert!(tracked.answer.is_none(), "no part may be sent after the answer");
        if !tracked.profile.idempotent {
            assert!(
                !tracked.may_have_run,
                "a non-idempotent request that may have run must not be sent again"
            );
            tracked.may_have_run = true;
        }
        tracked.sends += 1;
        let counter = sent.part.attempt.counter;
        assert!(self.in_flight.insert(counter, sent).is_none(), "attempt ids are unique");
    }

    fn tracked(&mut self, request: &str) -> &mut Request {
        self.asks.values_mut().find(|tracked| *tracked.ask.request == *request).unwrap()
    }

    fn check_answer(&mut self, token: id::Token, outcome: query::Outcome, report: fate::Report) {
        let tracked = &self.asks[&token];
        assert!(tracked.answer.is_none(), "a request is answered at most once");
        let request = &tracked.ask.request;
        let is_in_flight = self.in_flight.values().any(|sent| sent.part.request == *request);
        assert!(!is_in_flight, "no attempt is in flight after the answer");
        match &outcome {
            query::Outcome::Answered(answer) => self.check_rows(tracked, answer),
            query::Outcome::Refused(refusal) => {
                let was_sent = tracked.sends > tracked.unsent;
                assert!(
                    refusal.ran != Ran::NotRun || !was_sent,
                    "a request sent to a leaf may have run"
                );
                assert_eq!(report.dispatched, was_sent);
            }
        }
        let now = self.now;
        self.asks.get_mut(&token).unwrap().answer = Some((now, outcome, report));
    }

    /// Compares an answer with the correct rows of its version.
    fn check_rows(&self, tracked: &Request, answer: &Answer) {
        let map = &self.maps[&answer.version];
        let addressed: Vec<id::Shard> = match &tracked.ask.query.scope {
            Scope::All => map.shards.iter().map(|shard| shard.shard).collect(),
            Scope::Key(key) => map.shard_of(key).into_iter().collect(),
        };
        let coverage = &answer.coverage;
        assert!(coverage.is_consistent(), "answered and missed shards add up");
        assert_eq!(
            coverage.total as usize,
            addressed.len(),
            "coverage counts all addressed shards of the map"
        );
        let missed: Vec<_> = coverage.missed.iter().map(|missed| missed.shard).collect();
        assert!(missed.is_sorted(), "missed shards are in ascending order");
        assert!(missed.iter().all(|shard| addressed.contains(shard)));
        assert!(coverage.share() >= tracked.profile.least_coverage);
        let scope = &tracked.ask.query.scope;
        let answered = addressed.iter().filter(|shard| !missed.contains(shard));
        let mut expected: Vec<_> = answered.flat_map(|&shard| rows(map, shard, scope)).collect();
        expected.sort();
        expected.truncate(tracked.ask.query.limit as usize);
        assert_eq!(answer.rows, expected, "the rows are those of one version, without duplicates");
    }

    fn check_wake(&self) {
        let mut open = self.asks.values().filter(|tracked| tracked.answer.is_none());
        let first = open.clone().map(|tracked| tracked.deadline).min();
        assert!(
            open.all(|tracked| tracked.deadline > self.now),
            "requests are answered by their deadline"
        );
        if let Some(first) = first {
            assert!(
                self.wake.is_some_and(|wake| wake <= first),
                "a wake-up is armed by the first deadline"
            );
        }
    }

    /// Advances the time and sends each wake-up that becomes due.
    pub fn advance(&mut self, delay: Duration) {
        let end = self.now + delay;
        while let Some(wake) = self.wake.filter(|wake| *wake <= end) {
            self.wake = None;
            self.now = self.now.max(wake);
            self.feed(Event::Wake);
        }
        self.now = end;
        self.feed(Event::Wake);
    }

    /// Correct outcome of an attempt at a leaf that serves `version`: the reply, or a
    /// refusal if the version or the shard does not exist.
    pub fn outcome(&self, sent: &Sent, version: id::Version) -> Outcome {
        let Some(map) = self.maps.get(&version) else {
            return Outcome::Refused(Refusal::Version { available: Vec::new() });
        };
        if map.shard(sent.part.shard).is_none() {
            return Outcome::Refused(Refusal::Shard);
        }
        let rows = rows(map, sent.part.shard, &sent.part.query.scope);
        Outcome::Replied(Reply {
            attempt: sent.part.attempt.clone(),
            request: sent.part.request.clone(),
            shard: sent.part.shard,
            version,
            count: u32::try_from(rows.len()).unwrap(),
            rows,
            load: Load::default(),
            leaving: false,
        })
    }

    /// Correct reply to an attempt in the version that it requests.
    pub fn reply_to(&self, sent: &Sent) -> Reply {
        let version = sent.part.version.unwrap_or(id::Version(1));
        let Outcome::Replied(reply) = self.outcome(sent, version) else { panic!("no reply") };
        reply
    }

    /// Ends an attempt in flight.
    pub fn end(&mut self, counter: u64, outcome: Outcome) {
        let sent = self.in_flight.remove(&counter).expect("the attempt is in flight");
        let tracked = self.tracked(&sent.part.request);
        if matches!(outcome, Outcome::Unsent { .. }) {
            tracked.unsent += 1;
            tracked.may_have_run = false;
        }
        if matches!(outcome, Outcome::Refused(_)) {
            tracked.may_have_run = false;
        }
        let (attempt, leaf) = (sent.part.attempt.clone(), sent.leaf.clone());
        self.ended.push(sent);
        self.feed(Event::Ended { attempt, leaf, outcome });
    }

    /// Ends an attempt with the correct reply.
    pub fn reply(&mut self, counter: u64) {
        let reply = self.reply_to(&self.in_flight[&counter]);
        self.end(counter, Outcome::Replied(reply));
    }

    /// Replies correctly to all attempts in flight, including those sent meanwhile.
    pub fn reply_all(&mut self) {
        while let Some((&counter, _)) = self.in_flight.first_key_value() {
            self.reply(counter);
        }
    }

    pub fn is_answered(&self, token: id::Token) -> bool {
        self.asks[&token].answer.is_some()
    }

    pub fn outcome_of(&self, token: id::Token) -> &query::Outcome {
        let (_, outcome, _) = self.asks[&token].answer.as_ref().expect("an answer");
        outcome
    }

    pub fn answer_of(&self, token: id::Token) -> &Answer {
        match self.outcome_of(token) {
            query::Outcome::Answered(answer) => answer,
            query::Outcome::Refused(refusal) => panic!("refused: {refusal:?}"),
        }
    }

    pub fn refusal_of(&self, token: id::Token) -> &jacinthfall_core::refusal::Refusal {
        match self.outcome_of(token) {
            query::Outcome::Refused(refusal) => refusal,
            query::Outcome::Answered(answer) => panic!("answered: {answer:?}"),
        }
    }

    /// Counters of the attempts in flight of a request.
    pub fn attempts_of(&self, token: id::Token) -> Vec<u64> {
        let request = &self.asks[&token].ask.request;
        let own = self.in_flight.iter().filter(|(_, sent)| sent.part.request == *request);
        own.map(|(&counter, _)| counter).collect()
    }
}

pub fn unsent() -> Outcome {
    Outcome::Unsent { message: "refused".into() }
}

pub fn broken() -> Outcome {
    Outcome::Broken { message: "reset".into() }
}

pub fn malformed() -> Outcome {
    Outcome::Malformed { message: "cut".into() }
}

/// Runs queries with replies after 1 ms until the engine has latency estimates.
pub fn warm_up(world: &mut World) {
    for _ in 0..120 {
        world.ask(&profile(true), all());
        world.advance(Duration::from_millis(1));
        world.reply_all();
    }
}

/// Advances the time until a hedged request is sent.
pub fn hedge(world: &mut World) {
    let before = world.engine.counters().hedges;
    while world.engine.counters().hedges == before {
        world.advance(Duration::from_micros(200));
    }
}
