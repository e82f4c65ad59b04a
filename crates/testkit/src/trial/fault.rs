//! Injects faults into a site, drawn from a seeded generator.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::ledger::Ledger;
use super::{READ_SERVICE, RUN_SERVICE, put_profile};
use crate::call;
use crate::site::Site;

/// Smallest number of running nodes.
const MIN_NODES: usize = 3;

/// Upper bound of the pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 250;

/// How long all replicas of some shards stall, in milliseconds; longer than the deadline of
/// queries.
const GROUP_STALL_MS: u64 = 2_500;

/// Upper bound of the number of replies that a fault of a leaf affects.
const MAX_FAULTY_REPLIES: u32 = 40;

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillNode,
    StopNode,
    FreezeNode,
    Outage,
    SlowStore,
    LostReplies,
    LostRequests,
    LeafReplies,
    LeafStall,
    GroupStall,
    LeafDrain,
    VersionForward,
    VersionBack,
    Change,
}

/// All faults to draw from; the more frequent ones are listed several times.
const FAULTS: [Fault; 20] = [
    Fault::KillNode,
    Fault::StopNode,
    Fault::FreezeNode,
    Fault::Outage,
    Fault::SlowStore,
    Fault::LostReplies,
    Fault::LostReplies,
    Fault::LostRequests,
    Fault::LeafReplies,
    Fault::LeafReplies,
    Fault::LeafReplies,
    Fault::LeafStall,
    Fault::GroupStall,
    Fault::GroupStall,
    Fault::LeafDrain,
    Fault::VersionForward,
    Fault::VersionBack,
    Fault::Change,
    Fault::Change,
    Fault::Change,
];

impl Fault {
    const fn name(self) -> &'static str {
        match self {
            Fault::KillNode => "node killed",
            Fault::StopNode => "node stopped as planned",
            Fault::FreezeNode => "node frozen and resumed",
            Fault::Outage => "store out",
            Fault::SlowStore => "store slow",
            Fault::LostReplies => "replies of the store lost",
            Fault::LostRequests => "requests to the store lost",
            Fault::LeafReplies => "replies of a leaf wrong or late",
            Fault::LeafStall => "leaf stalled",
            Fault::GroupStall => "all replicas of some shards stalled",
            Fault::LeafDrain => "leaf draining",
            Fault::VersionForward => "leafs move to the newer version",
            Fault::VersionBack => "leafs move to the older version",
            Fault::Change => "operators change a profile at once",
        }
    }
}

/// Injects faults into a site.
#[derive(Debug)]
pub struct Injector {
    rng: ChaCha8Rng,
    counts: BTreeMap<&'static str, u32>,
    nodes_started: u32,
    changes: u64,
}

impl Injector {
    /// Builds an injector whose faults are determined by `seed`.
    #[must_use]
    pub fn open(seed: u64) -> Injector {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Injector { rng, counts: BTreeMap::new(), nodes_started: 0, changes: 0 }
    }

    /// Number of injected faults by name.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<&'static str, u32> {
        self.counts.clone()
    }

    /// Injects one random fault, then pauses for a random time.
    pub fn inject(&mut self, site: &mut Site, ledger: &Ledger) {
        let fault = *FAULTS.choose(&mut self.rng).expect("there are faults");
        *self.counts.entry(fault.name()).or_default() += 1;
        match fault {
            Fault::KillNode => self.replace(site, ledger, true),
            Fault::StopNode => self.replace(site, ledger, false),
            Fault::FreezeNode => self.freeze(site, ledger),
            Fault::Outage => {
                let pause = self.pause(1_000);
                let _ = call::control(site.platform_address, &json!({"outage": true}));
                thread::sleep(pause);
                let _ = call::control(site.platform_address, &json!({"outage": false}));
            }
            Fault::SlowStore => {
                let slow = self.rng.random_range(0..80_u64);
                let _ = call::control(site.platform_address, &json!({"slow_ms": slow}));
            }
            Fault::LostReplies => {
                let count = self.rng.random_range(1..4_u32);
                let _ = call::control(site.platform_address, &json!({"lose_replies": count}));
            }
            Fault::LostRequests => {
                let count = self.rng.random_range(1..4_u32);
                let _ = call::control(site.platform_address, &json!({"lose_requests": count}));
            }
            Fault::LeafReplies => self.corrupt_replies(site),
            Fault::LeafStall => {
                let stall = self.rng.random_range(50..700_u64);
                let service = self.random_service();
                let leaf = self.random_leaf(service);
                let change = json!({"leaf": leaf, "stall_ms": stall});
                let _ = site.control_leaf(service, &change);
            }
            Fault::GroupStall => self.stall_group(site),
            Fault::LeafDrain => self.drain(site),
            Fault::VersionForward => self.move_versions(site, &[1, 2], &[2]),
            Fault::VersionBack => self.move_versions(site, &[1, 2], &[1]),
            Fault::Change => self.race_changes(site, ledger),
        }
        thread::sleep(self.pause(MAX_PAUSE_MS));
    }

    /// Ends every fault that is still active, then lets one more change of the profile race.
    pub fn heal(&mut self, site: &mut Site, ledger: &Ledger) {
        let change = json!({
            "outage": false, "slow_ms": 0, "lose_replies": 0, "lose_requests": 0,
        });
        let _ = call::control(site.platform_address, &change);
        let change = json!({"draining": false, "fault": "none", "count": 0, "versions": [1, 2]});
        let _ = site.control_leaf(READ_SERVICE, &change);
        let change = json!({"draining": false, "fault": "none", "count": 0});
        let _ = site.control_leaf(RUN_SERVICE, &change);
        self.race_changes(site, ledger);
    }

    fn pause(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..max_ms))
    }

    fn random_service(&mut self) -> &'static str {
        if self.rng.random_bool(0.5) { READ_SERVICE } else { RUN_SERVICE }
    }

    /// Draws a leaf of a service and returns its name.
    fn random_leaf(&mut self, service: &str) -> String {
        let groups = if service == READ_SERVICE { 10 } else { 15 };
        let group = self.rng.random_range(0..groups);
        format!("{service}-{group}-{}", self.rng.random_range(0..3))
    }

    /// Starts a new node and, if enough nodes run, kills another one or stops it as planned.
    fn replace(&mut self, site: &mut Site, ledger: &Ledger, kill: bool) {
        let index = self.rng.random_range(0..site.nodes.len());
        self.nodes_started += 1;
        site.start_node(&format!("fresh-{}", self.nodes_started));
        ledger.set_entries(site);
        if site.nodes.len() <= MIN_NODES {
            return;
        }
        if kill {
            ledger.mark_unreliable(site.nodes[index].callers);
            site.nodes[index].process.kill();
        } else {
            site.nodes[index].process.terminate();
            let status = site.nodes[index].process.wait();
            if !status.success() {
                let name = &site.nodes[index].name;
                ledger.record_violation(format!("{name}: planned stop ended with {status}"));
            }
        }
        site.nodes.remove(index);
        ledger.set_entries(site);
    }

    fn freeze(&mut self, site: &Site, ledger: &Ledger) {
        let index = self.rng.random_range(0..site.nodes.len());
        let pause = self.pause(1_500);
        let node = &site.nodes[index];
        ledger.mark_unreliable(node.callers);
        node.process.freeze();
        thread::sleep(pause);
        node.process.resume();
    }

    fn corrupt_replies(&mut self, site: &Site) {
        let kinds = ["truncate", "short", "cross", "double", "late", "drop"];
        let kind = *kinds.choose(&mut self.rng).expect("there are kinds");
        let count = self.rng.random_range(1..MAX_FAULTY_REPLIES);
        let service = self.random_service();
        let leaf = self.random_leaf(service);
        let change = json!({"leaf": leaf, "fault": kind, "count": count, "late_ms": 300});
        let _ = site.control_leaf(service, &change);
    }

    /// Stalls every replica of some shards beyond the deadline of queries.
    fn stall_group(&mut self, site: &Site) {
        let group = self.rng.random_range(0..10);
        for replica in 0..3 {
            let leaf = format!("{READ_SERVICE}-{group}-{replica}");
            let change = json!({"leaf": leaf, "stall_ms": GROUP_STALL_MS});
            let _ = site.control_leaf(READ_SERVICE, &change);
        }
    }

    fn drain(&mut self, site: &Site) {
        let service = self.random_service();
        let leaf = self.random_leaf(service);
        let draining = self.rng.random_bool(0.5);
        let change = json!({"leaf": leaf, "draining": draining, "drain_grace_ms": 100});
        let _ = site.control_leaf(service, &change);
    }

    /// Switches the leafs of the read service, one by one, first to `between`, then to `after`.
    fn move_versions(&mut self, site: &Site, between: &[u64], after: &[u64]) {
        for versions in [between, after] {
            for group in 0..10 {
                for replica in 0..3 {
                    let leaf = format!("{READ_SERVICE}-{group}-{replica}");
                    let change = json!({"leaf": leaf, "versions": versions});
                    let _ = site.control_leaf(READ_SERVICE, &change);
                }
            }
            thread::sleep(self.pause(200));
        }
    }

    /// Lets two operators change the same profile concurrently, at two nodes.
    fn race_changes(&mut self, site: &Site, ledger: &Ledger) {
        self.changes += 1;
        let deadline = 2_000 + self.changes;
        let nodes: Vec<_> =
            site.nodes.choose_multiple(&mut self.rng, 2).map(|node| node.operators).collect();
        let operators: Vec<_> = nodes
            .into_iter()
            .enumerate()
            .map(|(index, node)| {
                let id = format!("change-{}-{index}", self.changes);
                thread::spawn(move || put_profile(node, &id, deadline))
            })
            .collect();
        for operator in operators {
            let verdict = operator.join().expect("an operator ends");
            let Some(verdict) = verdict else { continue };
            if verdict["result"] == "accepted" {
                ledger.record_accepted(verdict["revision"].as_u64().unwrap_or(0));
            }
        }
    }
}

/// Makes every leaf of the read service serve only `version`.
pub fn serve_version(site: &Site, version: u64) {
    let _ = site.control_leaf(READ_SERVICE, &json!({"versions": [version]}));
}
