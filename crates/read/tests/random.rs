//! Random runs against fake leafs. [`World`] checks every action of the engine.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::leaf::{Outcome, Refusal};
use jacinthfall_core::profile::{Profile, Wait};
use jacinthfall_core::query::{self, Scope};
use jacinthfall_core::service::Service;
use jacinthfall_read::Event;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use support::{World, broken, key, malformed, map, profile, service, unsent, world};

const GROUPS: u32 = 3;
const REPLICAS: u32 = 3;
const CASES: u32 = 200;
const STEPS: usize = 400;

/// One step of a run. Indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum Step {
    Ask { profile: usize, scope: u32, limit: u32 },
    Reply { pick: usize },
    Fault { pick: usize, fault: usize },
    Late { pick: usize },
    WrongLeaf { pick: usize },
    Advance { micros: u64 },
    Publish { shards: u32 },
    Retire,
    Upgrade { leaf: usize },
    Leaving { leaf: usize, leaving: bool },
    Replace { leaf: usize },
    Abandon { pick: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let pick = 0..64_usize;
    prop_oneof![
        6 => (0..4_usize, 0..80_u32, 1..60_u32)
            .prop_map(|(profile, scope, limit)| Step::Ask { profile, scope, limit }),
        24 => pick.clone().prop_map(|pick| Step::Reply { pick }),
        6 => (pick.clone(), 0..12_usize).prop_map(|(pick, fault)| Step::Fault { pick, fault }),
        2 => pick.clone().prop_map(|pick| Step::Late { pick }),
        1 => pick.clone().prop_map(|pick| Step::WrongLeaf { pick }),
        4 => (0..20_000_u64).prop_map(|micros| Step::Advance { micros }),
        1 => (1..9_u32).prop_map(|shards| Step::Publish { shards }),
        1 => Just(Step::Retire),
        3 => pick.clone().prop_map(|leaf| Step::Upgrade { leaf }),
        1 => (pick.clone(), any::<bool>())
            .prop_map(|(leaf, leaving)| Step::Leaving { leaf, leaving }),
        1 => pick.clone().prop_map(|leaf| Step::Replace { leaf }),
        1 => pick.prop_map(|pick| Step::Abandon { pick }),
    ]
}

fn profiles() -> [Profile; 4] {
    let full = profile(true);
    let lenient = Profile { least_coverage: 0.3, ..full.clone() };
    let early = Profile {
        wait: Wait::Early,
        early_after: Duration::from_millis(10),
        least_coverage: 0.6,
        ..full.clone()
    };
    [full, lenient, early, profile(false)]
}

/// State of a run, with the versions that each leaf holds.
struct Run {
    world: World,
    held: BTreeMap<id::Name, BTreeSet<id::Version>>,
    replaced: u32,
}

impl Run {
    fn start(named: bool) -> Run {
        let described = service(GROUPS, REPLICAS, 2, vec![map(1, 6, GROUPS, REPLICAS)]);
        let described = Service { named_versions: named, ..described };
        let first = BTreeSet::from([id::Version(1)]);
        let held = described.leafs.iter().map(|leaf| (leaf.name.clone(), first.clone()));
        Run { held: held.collect(), world: world(described), replaced: 0 }
    }

    fn leaf(&self, pick: usize) -> id::Name {
        let leafs = &self.world.service.leafs;
        leafs[pick % leafs.len()].name.clone()
    }

    fn attempt(&self, pick: usize) -> Option<u64> {
        let in_flight = &self.world.in_flight;
        in_flight.keys().nth(pick % in_flight.len().max(1)).copied()
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask { profile, scope, limit } => self.ask(profile, scope, limit),
            Step::Reply { pick } => self.end(pick, None),
            Step::Fault { pick, fault } => self.end(pick, Some(fault)),
            Step::Late { pick } => self.repeat_outcome(pick),
            Step::WrongLeaf { pick } => self.end_at_wrong_leaf(pick),
            Step::Advance { micros } => self.world.advance(Duration::from_micros(micros)),
            Step::Publish { shards } => self.publish(shards),
            Step::Retire => self.retire(),
            Step::Upgrade { leaf } => self.upgrade(leaf),
            Step::Leaving { leaf, leaving } => self.set_leaving(leaf, leaving),
            Step::Replace { leaf } => self.replace(leaf),
            Step::Abandon { pick } => self.abandon(pick),
        }
    }

    fn ask(&mut self, profile: usize, scope: u32, limit: u32) {
        let profile = &profiles()[profile];
        let is_key = scope < support::KEYS || !profile.idempotent;
        let scope = if is_key { key(scope % support::KEYS) } else { Scope::All };
        self.world.ask_with(profile, scope, limit);
    }

    /// Correct outcome of an attempt, given the versions that its leaf holds.
    fn correct_outcome(&self, counter: u64) -> Outcome {
        let sent = &self.world.in_flight[&counter];
        let held = &self.held[&sent.leaf];
        let version = sent.part.version.unwrap_or(*held.last().expect("a version"));
        if !held.contains(&version) {
            let available = held.iter().copied().collect();
            return Outcome::Refused(Refusal::Version { available });
        }
        self.world.outcome(sent, version)
    }

    fn end(&mut self, pick: usize, fault: Option<usize>) {
        let Some(counter) = self.attempt(pick) else { return };
        let mut outcome = self.correct_outcome(counter);
        match fault {
            Some(0) => outcome = broken(),
            Some(1) => outcome = unsent(),
            Some(2) => outcome = malformed(),
            Some(3) => outcome = Outcome::Refused(Refusal::Overloaded),
            Some(4) => outcome = Outcome::Refused(Refusal::Expired),
            Some(5) => outcome = Outcome::Refused(Refusal::Shard),
            Some(fault) => {
                let is_read = self.world.in_flight[&counter].part.idempotent;
                if let Outcome::Replied(reply) = &mut outcome {
                    corrupt(reply, fault, is_read, &self.world);
                }
            }
            None => {}
        }
        self.world.end(counter, outcome);
    }

    /// Repeats the outcome of an attempt that ended or was cancelled.
    fn repeat_outcome(&mut self, pick: usize) {
        if self.world.ended.is_empty() {
            return;
        }
        let sent = self.world.ended[pick % self.world.ended.len()].clone();
        let version = sent.part.version.unwrap_or(id::Version(1));
        let outcome = self.world.outcome(&sent, version);
        let (attempt, leaf) = (sent.part.attempt, sent.leaf);
        self.world.feed(Event::Ended { attempt, leaf, outcome });
    }

    fn end_at_wrong_leaf(&mut self, pick: usize) {
        let Some(counter) = self.attempt(pick) else { return };
        let outcome = self.correct_outcome(counter);
        let sent = &self.world.in_flight[&counter];
        let attempt = sent.part.attempt.clone();
        let leaf = format!("{}-not", sent.leaf).into();
        self.world.feed(Event::Ended { attempt, leaf, outcome });
    }

    /// Publishes a new version with `shards` shards.
    fn publish(&mut self, shards: u32) {
        let newest = *self.world.maps.last_key_value().expect("a map").0;
        let mut described = self.world.service.clone();
        let mut next = map(newest.0 + 1, shards, GROUPS, REPLICAS);
        let groups: Vec<Vec<id::Name>> = (0..GROUPS).map(|group| self.group(group)).collect();
        for shard in &mut next.shards {
            shard.replicas.clone_from(&groups[(shard.shard.0 % GROUPS) as usize]);
        }
        described.maps.push(next);
        self.world.describe(described);
    }

    /// Current leafs of a group. A replacement has the position of the leaf it replaces.
    fn group(&self, group: u32) -> Vec<id::Name> {
        let leafs = self.world.service.leafs.chunks(REPLICAS as usize);
        let members = leafs.into_iter().nth(group as usize).expect("the group");
        members.iter().map(|leaf| leaf.name.clone()).collect()
    }

    /// Removes the oldest version from the service description and from all leafs.
    fn retire(&mut self) {
        let mut described = self.world.service.clone();
        if described.maps.len() < 2 {
            return;
        }
        let gone = described.maps.remove(0).version;
        let next = described.maps[0].version;
        for held in self.held.values_mut() {
            held.insert(next);
            held.remove(&gone);
        }
        self.world.describe(described);
    }

    /// Adds the next version to a leaf.
    fn upgrade(&mut self, leaf: usize) {
        let leaf = self.leaf(leaf);
        let held = self.held.get_mut(&leaf).expect("a listed leaf");
        let newest = *held.last().expect("a version");
        let next = self.world.service.maps.iter().find(|map| map.version > newest);
        held.extend(next.map(|map| map.version));
    }

    fn set_leaving(&mut self, leaf: usize, leaving: bool) {
        let leaf = self.leaf(leaf);
        if leaving {
            self.world.leaving.insert(leaf.clone());
        } else {
            self.world.leaving.remove(&leaf);
        }
        self.world.feed(Event::Leaving { leaf, leaving });
    }

    /// Replaces a leaf by one with another name in all partition maps.
    fn replace(&mut self, leaf: usize) {
        let old = self.leaf(leaf);
        self.replaced += 1;
        let new: id::Name = format!("leaf-new-{}", self.replaced).into();
        let held = self.held[&old].clone();
        self.held.insert(new.clone(), held);
        let mut described = self.world.service.clone();
        let rename = |name: &mut id::Name| {
            if *name == old {
                name.clone_from(&new);
            }
        };
        described.leafs.iter_mut().for_each(|leaf| rename(&mut leaf.name));
        let shards = described.maps.iter_mut().flat_map(|map| &mut map.shards);
        shards.flat_map(|shard| &mut shard.replicas).for_each(rename);
        self.world.describe(described);
    }

    fn abandon(&mut self, pick: usize) {
        let open = self.world.asks.iter().filter(|(_, tracked)| tracked.answer.is_none());
        let open: Vec<_> = open.map(|(&token, _)| token).collect();
        if !open.is_empty() {
            self.world.feed(Event::Abandoned { token: open[pick % open.len()] });
        }
    }

    /// Ends all requests, then checks that the service gives full answers again once all
    /// leafs work.
    fn finish(&mut self) {
        self.world.advance(Duration::from_millis(200));
        assert!(
            self.world.asks.values().all(|tracked| tracked.answer.is_some()),
            "all requests are answered"
        );
        let newest = self.world.service.maps.last().expect("a map").version;
        for position in 0..self.world.service.leafs.len() {
            self.set_leaving(position, false);
            let leaf = self.leaf(position);
            self.held.insert(leaf, BTreeSet::from([newest]));
        }
        self.world.advance(Duration::from_secs(60));
        for _ in 0..6 {
            self.ask(0, support::KEYS, 1_000);
            while let Some(counter) = self.attempt(0) {
                let outcome = self.correct_outcome(counter);
                self.world.end(counter, outcome);
            }
        }
        let (_, outcome, _) = self.last_answer();
        let query::Outcome::Answered(answer) = outcome else { panic!("{outcome:?}") };
        assert!(answer.coverage.is_full() && answer.version == newest);
    }

    fn last_answer(
        &self,
    ) -> &(jacinthfall_core::time::Time, query::Outcome, jacinthfall_core::fate::Report) {
        let (_, last) = self.world.asks.last_key_value().expect("an ask");
        last.answer.as_ref().expect("an answer")
    }
}

fn corrupt(reply: &mut jacinthfall_core::leaf::Reply, fault: usize, is_read: bool, world: &World) {
    match fault {
        6 => reply.attempt.counter += 1,
        7 => reply.request = "r-1000000".into(),
        8 => reply.shard.0 += 1,
        9 => reply.count += 1,
        10 => reply.rows.reverse(),
        // A receipt need not belong to the shard of its request.
        _ if !is_read => reply.count += 1,
        _ => {
            let map = &world.maps[&reply.version];
            let rows = (0..support::KEYS).map(|number| support::row(reply.version, number));
            let stray = rows.filter(|row| map.shard_of(&row.key) != Some(reply.shard));
            reply.rows.extend(stray.take(1));
            reply.count = u32::try_from(reply.rows.len()).unwrap();
        }
    }
}

fn run(named: bool, seed: u64) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let steps = vec(step(), 1..STEPS);
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut run = Run::start(named);
        steps.into_iter().for_each(|step| run.step(step));
        run.finish();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn random_run_with_leafs_that_serve_the_requested_version() {
    run(true, 1);
}

#[test]
fn random_run_with_leafs_that_only_report_their_version() {
    run(false, 2);
}
