//! Several nodes follow a store that returns from older copies, with answers that arrive late.
//!
//! After quiet, all nodes hold what the store holds. At no time does the version in force go back
//! at a node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::catalog::{Catalog, Delta, LAPSE_GRACE, Record};
use jacinthfall_dispatch::configuration::Ranks;
use jacinthfall_dispatch::transfer::Rank;
use jacinthfall_route::leaf::{Age, Entry, State};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::support::entry;

const NODES: usize = 3;
const LEAFS: usize = 4;

/// One step of the world.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A leaf writes its entry; it starts if it isn't running.
    Write(usize),
    /// A leaf writes that it drains.
    Drain(usize),
    /// A leaf leaves, and its entry is removed.
    Leave(usize),
    /// The operator writes the next version.
    Configure,
    /// A copy of the store is taken.
    Copy,
    /// The store returns to its copy.
    Restore,
    /// A node reads the store; the answer is on its way.
    Ask(usize),
    /// A node asks another one; the answer is on its way.
    Exchange(usize, usize),
    /// One of the answers on their way arrives.
    Deliver(usize),
    /// Time passes.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..LEAFS).prop_map(Step::Write),
        2 => (0..LEAFS).prop_map(Step::Drain),
        2 => (0..LEAFS).prop_map(Step::Leave),
        2 => Just(Step::Configure),
        2 => Just(Step::Copy),
        2 => Just(Step::Restore),
        6 => (0..NODES).prop_map(Step::Ask),
        4 => (0..NODES, 0..NODES).prop_map(|(to, from)| Step::Exchange(to, from)),
        8 => (0..8_usize).prop_map(Step::Deliver),
        1 => (0..3_000_u64).prop_map(Step::Wait),
    ]
}

/// The store, without its history: nodes read it by listings, and by changes since a place.
#[derive(Clone, Debug, Default)]
struct Store {
    revision: u64,
    leafs: BTreeMap<usize, (u64, Entry)>,
    /// Removals of leafs.
    removed: BTreeMap<usize, u64>,
    /// Version of the configuration, and its revision.
    configuration: (u64, u64),
}

impl Store {
    fn write(&mut self, leaf: usize, entry: Entry) {
        self.revision += 1;
        self.removed.remove(&leaf);
        self.leafs.insert(leaf, (self.revision, entry));
    }

    fn remove(&mut self, leaf: usize) {
        if self.leafs.remove(&leaf).is_some() {
            self.revision += 1;
            self.removed.insert(leaf, self.revision);
        }
    }

    fn configure(&mut self, version: u64) {
        self.revision += 1;
        self.configuration = (version, self.revision);
    }

    /// Returns the records of the leafs that changed after a revision.
    fn records(&self, era: u64, after: u64) -> Vec<(id::Name, Record)> {
        let written = self.leafs.iter().map(|(leaf, (at, entry))| (leaf, *at, Some(entry.clone())));
        let removed = self.removed.iter().map(|(leaf, at)| (leaf, *at, None));
        let changed = written.chain(removed).filter(|(_, at, _)| *at > after);
        changed
            .map(|(leaf, at, entry)| (name(*leaf), Record::of(Position::new(era, at), entry)))
            .collect()
    }
}

fn name(leaf: usize) -> id::Name {
    format!("i-{leaf}").into()
}

/// A leaf as it is, whatever the store says.
#[derive(Clone, Copy, Debug, Default)]
struct Leaf {
    age: Age,
    state: Option<State>,
}

impl Leaf {
    fn entry(&self) -> Option<Entry> {
        let state = self.state?;
        Some(Entry { state, ..entry("a", "z", self.age) })
    }
}

#[derive(Debug, Default)]
struct Node {
    catalog: Catalog,
    ranks: Ranks,
    upto: Position,
}

/// An answer on its way to a node.
#[derive(Clone, Debug)]
enum Answer {
    Listing { leafs: Vec<(id::Name, Record)>, configuration: Rank, at: Position },
    Changes { leafs: Vec<(id::Name, Record)>, configuration: Rank, at: Position },
    Updates { delta: Delta, configuration: Rank, upto: Position },
}

#[derive(Debug, Default)]
struct World {
    now: Time,
    era: u64,
    store: Store,
    copy: Store,
    leafs: [Leaf; LEAFS],
    version: u64,
    nodes: [Node; NODES],
    pending: Vec<(usize, Answer)>,
}

impl World {
    fn step(&mut self, step: Step) {
        match step {
            Step::Write(leaf) => self.write(leaf, State::Ready),
            Step::Drain(leaf) if self.leafs[leaf].state.is_some() => {
                self.write(leaf, State::Draining);
            }
            Step::Drain(_) => {}
            Step::Leave(leaf) => {
                self.leafs[leaf].state = None;
                self.store.remove(leaf);
            }
            Step::Configure => {
                self.version += 2;
                self.store.configure(self.version);
            }
            Step::Copy => self.copy = self.store.clone(),
            Step::Restore => {
                self.store = self.copy.clone();
                self.era += 1;
            }
            Step::Ask(node) => self.ask(node),
            Step::Exchange(to, from) => self.exchange(to, from),
            Step::Deliver(index) if index < self.pending.len() => {
                let (node, answer) = self.pending.remove(index);
                self.apply(node, answer);
            }
            Step::Deliver(_) => {}
            Step::Wait(millis) => self.wait(Duration::from_millis(millis)),
        }
    }

    /// Lets a leaf write. One that has left starts again, and one that drains goes on draining.
    fn write(&mut self, leaf: usize, state: State) {
        let known = &mut self.leafs[leaf];
        match known.state {
            None => known.age = Age { born: known.age.born + 1, sequence: 1 },
            Some(_) => known.age.sequence += 1,
        }
        let draining = known.state == Some(State::Draining);
        known.state = Some(if draining { State::Draining } else { state });
        let entry = known.entry().expect("it runs");
        self.store.write(leaf, entry);
    }

    fn ask(&mut self, node: usize) {
        let at = Position::new(self.era, self.store.revision);
        let (version, revision) = self.store.configuration;
        let configuration = Rank { version, at: Position::new(self.era, revision) };
        let upto = self.nodes[node].upto;
        let answer = if upto == Position::START || upto.era != self.era {
            let leafs = self.store.records(self.era, 0);
            let leafs = leafs.into_iter().filter(|(_, record)| record.entry.is_some()).collect();
            Answer::Listing { leafs, configuration, at }
        } else {
            let leafs = self.store.records(self.era, upto.revision);
            Answer::Changes { leafs, configuration, at }
        };
        self.pending.push((node, answer));
    }

    fn exchange(&mut self, to: usize, from: usize) {
        let source = &self.nodes[from];
        let answer = Answer::Updates {
            delta: source.catalog.changes_since(self.nodes[to].upto),
            configuration: source.ranks.in_force(),
            upto: source.upto,
        };
        self.pending.push((to, answer));
    }

    fn apply(&mut self, node: usize, answer: Answer) {
        let now = self.now;
        let Node { catalog, ranks, upto } = &mut self.nodes[node];
        let (rank, at) = match answer {
            Answer::Listing { leafs, configuration, at } => {
                catalog.apply_listing(now, leafs, at);
                (configuration, at)
            }
            // The client of the store rejects changes of another era.
            Answer::Changes { at, .. } if at.era != upto.era => return,
            Answer::Changes { leafs, configuration, at } => {
                for (id, record) in leafs {
                    catalog.apply(now, &id, record);
                }
                (configuration, at)
            }
            Answer::Updates { delta, configuration, upto } => {
                catalog.merge(now, delta, upto);
                (configuration, upto)
            }
        };
        *upto = (*upto).max(at);
        if ranks.examine(rank) {
            let before = ranks.in_force().version;
            ranks.put_in_force(rank);
            assert!(ranks.in_force().version >= before, "a version in force never goes back");
        }
    }

    fn wait(&mut self, duration: Duration) {
        self.now = self.now + duration;
        for node in &mut self.nodes {
            node.catalog.expire(self.now);
        }
    }

    /// Lets all leafs and the operator write again, entries of leafs that are gone lapse, and all
    /// nodes read the store.
    fn settle(&mut self) {
        for leaf in 0..LEAFS {
            match self.leafs[leaf].state {
                Some(state) => self.write(leaf, state),
                None => self.store.remove(leaf),
            }
        }
        if self.version > 0 {
            self.store.configure(self.version);
        }
        while let Some((node, answer)) = self.pending.pop() {
            self.apply(node, answer);
        }
        for node in 0..NODES {
            self.ask(node);
            let (node, answer) = self.pending.pop().expect("it has asked");
            self.apply(node, answer);
        }
        self.wait(LAPSE_GRACE * 2);
    }

    fn usable(&self, node: usize) -> BTreeSet<id::Name> {
        self.nodes[node].catalog.usable().map(|(id, _)| id.clone()).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(25),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_nodes_hold_what_a_restored_store_holds_after_quiet(
        steps in proptest::collection::vec(step(), 0..80),
    ) {
        let mut world = World::default();
        for step in steps {
            world.step(step);
        }

        world.settle();

        let leafs = world.leafs.iter().enumerate();
        let ready = leafs.filter(|(_, leaf)| leaf.state == Some(State::Ready));
        let ready: BTreeSet<id::Name> = ready.map(|(leaf, _)| name(leaf)).collect();
        for node in 0..NODES {
            prop_assert_eq!(&world.usable(node), &ready, "node {}", node);
            prop_assert_eq!(world.nodes[node].ranks.in_force().version, world.version);
        }
    }
}
