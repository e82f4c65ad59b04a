//! A world of fake leafs around an engine, which checks every action from outside.

#![allow(dead_code, reason = "each test binary uses a part of the fixtures")]

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

/// A map of `shards` shards over `groups` groups of `replicas` leafs each.
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

/// Rows of one shard in the version of `map`: the ground truth.
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

/// What the world knows of an ask.
#[derive(Debug)]
pub struct Known {
    pub ask: Arc<Ask>,
    pub profile: Arc<Profile>,
    pub deadline: Time,
    pub sends: u32,
    pub unsent: u32,
    /// Whether a leaf may have run it.
    pub may_have_run: bool,
    pub answer: Option<(Time, query::Outcome, fate::Report)>,
}

pub struct World {
    pub engine: Engine,
    pub now: Time,
    pub service: Service,
    /// Maps of all versions that ever were.
    pub maps: BTreeMap<id::Version, Map>,
    /// Attempts that are out, by counter.
    pub out: BTreeMap<u64, Sent>,
    /// Attempts that ended or were cancelled.
    pub past: Vec<Sent>,
    pub asks: BTreeMap<id::Token, Known>,
    pub leaving: BTreeSet<id::Name>,
    pub announced: Vec<(id::Name, bool)>,
    pub records: Vec<event::Event>,
    pub wake: Option<Time>,
    next_token: u64,
}

pub fn origin() -> id::Incarnation {
    id::Incarnation { node: name("klang-1"), started: 7 }
}

/// A world whose engine knows `service`.
pub fn world(service: Service) -> World {
    let mut world = World {
        engine: Engine::new(origin(), service.name.clone(), 1),
        now: Time::from_millis(1_000),
        maps: BTreeMap::new(),
        service: service.clone(),
        out: BTreeMap::new(),
        past: Vec::new(),
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
        let known = Known {
            ask: Arc::clone(&ask),
            profile: Arc::clone(&profile),
            deadline,
            sends: 0,
            unsent: 0,
            may_have_run: false,
            answer: None,
        };
        self.asks.insert(token, known);
        self.feed(Event::Ask { token, ask, profile, deadline, expires: Wall(9) });
        token
    }

    /// Feeds an event and checks every action that follows.
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
                let sent =
                    self.out.remove(&attempt.counter).expect("only what is out is cancelled");
                assert_eq!(sent.leaf, leaf);
                self.past.push(sent);
            }
            Action::Answer { token, outcome, report } => self.check_answer(token, outcome, report),
            Action::Record(event) => self.records.push(event),
            Action::Announce { leaf, leaving } => self.announced.push((leaf, leaving)),
            Action::Wake(due) => self.wake = Some(due),
        }
    }

    fn check_send(&mut self, sent: Sent) {
        let leaf = sent.leaf.clone();
        assert!(!self.leaving.contains(&leaf), "{leaf} is leaving and gets no new part");
        let described = self.service.leafs.iter().find(|listed| listed.name == leaf);
        assert!(described.is_some_and(|listed| !listed.leaving), "{leaf} is usable");
        let slots = self.service.slots as usize;
        let busy = self.out.values().filter(|other| other.leaf == leaf).count();
        assert!(busy < slots, "{leaf} has no more parts out than slots");
        let known = self.known_of(&sent.part.request);
        assert!(known.answer.is_none(), "no part is sent after the answer");
        if !known.profile.idempotent {
            assert!(!known.may_have_run, "what may have run is not sent again");
            known.may_have_run = true;
        }
        known.sends += 1;
        let counter = sent.part.attempt.counter;
        assert!(self.out.insert(counter, sent).is_none(), "an attempt id is used once");
    }

    fn known_of(&mut self, request: &str) -> &mut Known {
        self.asks.values_mut().find(|known| *known.ask.request == *request).unwrap()
    }

    fn check_answer(&mut self, token: id::Token, outcome: query::Outcome, report: fate::Report) {
        let known = &self.asks[&token];
        assert!(known.answer.is_none(), "an ask is answered once");
        let request = &known.ask.request;
        let is_out = self.out.values().any(|sent| sent.part.request == *request);
        assert!(!is_out, "no attempt is out after the answer");
        match &outcome {
            query::Outcome::Answered(answer) => self.check_rows(known, answer),
            query::Outcome::Refused(refusal) => {
                let given = known.sends > known.unsent;
                assert!(refusal.ran != Ran::NotRun || !given, "not run: no leaf was given it");
                assert_eq!(report.dispatched, given);
            }
        }
        let now = self.now;
        self.asks.get_mut(&token).unwrap().answer = Some((now, outcome, report));
    }

    /// Compares an answer with the ground truth of its version.
    fn check_rows(&self, known: &Known, answer: &Answer) {
        let map = &self.maps[&answer.version];
        let addressed: Vec<id::Shard> = match &known.ask.query.scope {
            Scope::All => map.shards.iter().map(|shard| shard.shard).collect(),
            Scope::Key(key) => map.shard_of(key).into_iter().collect(),
        };
        let coverage = &answer.coverage;
        assert!(coverage.adds_up(), "answered and missed shards add up");
        assert_eq!(coverage.total as usize, addressed.len(), "coverage is that of the map");
        let missed: Vec<_> = coverage.missed.iter().map(|missed| missed.shard).collect();
        assert!(missed.is_sorted(), "missed shards are ascending");
        assert!(missed.iter().all(|shard| addressed.contains(shard)));
        assert!(coverage.share() >= known.profile.least_coverage);
        let scope = &known.ask.query.scope;
        let answered = addressed.iter().filter(|shard| !missed.contains(shard));
        let mut truth: Vec<_> = answered.flat_map(|&shard| rows(map, shard, scope)).collect();
        truth.sort();
        truth.truncate(known.ask.query.limit as usize);
        assert_eq!(answer.rows, truth, "the rows are those of one version, each once");
    }

    fn check_wake(&self) {
        let mut open = self.asks.values().filter(|known| known.answer.is_none());
        let first = open.clone().map(|known| known.deadline).min();
        assert!(open.all(|known| known.deadline > self.now), "answered by the deadline");
        if let Some(first) = first {
            assert!(self.wake.is_some_and(|wake| wake <= first), "a wake is armed in time");
        }
    }

    /// Lets time pass, with every wake on the way.
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

    /// The reply that a sound leaf gives in `version`; a refusal if it can't.
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

    /// The sound reply to an attempt in the version that it asks for.
    pub fn reply_to(&self, sent: &Sent) -> Reply {
        let version = sent.part.version.unwrap_or(id::Version(1));
        let Outcome::Replied(reply) = self.outcome(sent, version) else { panic!("no reply") };
        reply
    }

    /// Ends an attempt that is out.
    pub fn end(&mut self, counter: u64, outcome: Outcome) {
        let sent = self.out.remove(&counter).expect("the attempt is out");
        let known = self.known_of(&sent.part.request);
        if matches!(outcome, Outcome::Unsent { .. }) {
            known.unsent += 1;
            known.may_have_run = false;
        }
        if matches!(outcome, Outcome::Refused(_)) {
            known.may_have_run = false;
        }
        let (attempt, leaf) = (sent.part.attempt.clone(), sent.leaf.clone());
        self.past.push(sent);
        self.feed(Event::Ended { attempt, leaf, outcome });
    }

    /// Ends an attempt with the sound reply.
    pub fn reply(&mut self, counter: u64) {
        let reply = self.reply_to(&self.out[&counter]);
        self.end(counter, Outcome::Replied(reply));
    }

    /// Replies soundly to everything that is out, until nothing is.
    pub fn reply_all(&mut self) {
        while let Some((&counter, _)) = self.out.first_key_value() {
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

    /// Counters of the attempts of an ask that are out.
    pub fn attempts_of(&self, token: id::Token) -> Vec<u64> {
        let request = &self.asks[&token].ask.request;
        let own = self.out.iter().filter(|(_, sent)| sent.part.request == *request);
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

/// Lets the engine learn that a reply takes a millisecond.
pub fn warm_up(world: &mut World) {
    for _ in 0..120 {
        world.ask(&profile(true), all());
        world.advance(Duration::from_millis(1));
        world.reply_all();
    }
}

/// Lets time pass until a hedged request is sent.
pub fn hedge(world: &mut World) {
    let before = world.engine.counters().hedges;
    while world.engine.counters().hedges == before {
        world.advance(Duration::from_micros(200));
    }
}
