//! Injects every fault at every step of recording and copying a fate.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthfall_core::time::Wall;
use jacinthfall_fate::Settings;
use support::{Cluster, Network, cluster};

const REQUEST: &str = "request-1";
const ARRIVED_MS: u64 = 1_000;
const TOOK_MS: u64 = 40;
const ENDED_AT: Option<Wall> = Some(Wall(ARRIVED_MS + TOOK_MS));

/// Progress of recording and copying when the fault is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The fate is recorded, and its copies are queued for the next batch.
    Batched,
    /// The copies are in flight.
    Sent,
    /// The copies have arrived, and their acknowledgements are in flight.
    Received,
    /// All copies are acknowledged.
    Acknowledged,
    /// A keeper was lost, and the copy to its replacement is under way.
    Repairing,
    /// The server is handing over its fates.
    HandingOver,
}

const STEPS: [Step; 6] = [
    Step::Batched,
    Step::Sent,
    Step::Received,
    Step::Acknowledged,
    Step::Repairing,
    Step::HandingOver,
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    KillServer,
    KillServerZone,
    KillKeeper,
    KillKeeperZone,
    KillServerAndKeeper,
    RestartServer,
    RestartKeeper,
    RestartServerAndKeeper,
    StopServer,
    StopKeeper,
    IsolateServer,
    IsolateKeeper,
    DropAllFrames,
    LossyNetwork,
}

const FAULTS: [Fault; 14] = [
    Fault::KillServer,
    Fault::KillServerZone,
    Fault::KillKeeper,
    Fault::KillKeeperZone,
    Fault::KillServerAndKeeper,
    Fault::RestartServer,
    Fault::RestartKeeper,
    Fault::RestartServerAndKeeper,
    Fault::StopServer,
    Fault::StopKeeper,
    Fault::IsolateServer,
    Fault::IsolateKeeper,
    Fault::DropAllFrames,
    Fault::LossyNetwork,
];

impl Fault {
    /// Whether the server loses copies that it has not sent yet.
    fn loses_unsent_copies(self) -> bool {
        matches!(
            self,
            Fault::KillServer
                | Fault::KillServerZone
                | Fault::KillServerAndKeeper
                | Fault::RestartServer
                | Fault::RestartServerAndKeeper
        )
    }
}

fn run_until(cluster: &mut Cluster, step: Step) {
    let server = 0;
    cluster.record(server, REQUEST, ARRIVED_MS, Some(TOOK_MS));
    match step {
        Step::Batched => cluster.run(Duration::from_millis(50)),
        Step::Sent => cluster.run(Duration::from_millis(100)),
        Step::Received => {
            cluster.network.max_delay = Duration::from_micros(500);
            cluster.run(Duration::from_micros(100_600));
        }
        Step::Acknowledged => cluster.run(Duration::from_secs(1)),
        Step::Repairing => {
            cluster.run(Duration::from_secs(1));
            let keeper = cluster.keepers(REQUEST, server)[1];
            cluster.kill(keeper);
            cluster.run(Duration::from_millis(600));
        }
        Step::HandingOver => cluster.stop(server),
    }
}

fn inject(cluster: &mut Cluster, fault: Fault) {
    let server = 0;
    let keeper = cluster.keepers(REQUEST, server)[0];
    match fault {
        Fault::KillServer => cluster.kill(server),
        Fault::KillServerZone => kill_zone(cluster, server),
        Fault::KillKeeper => cluster.kill(keeper),
        Fault::KillKeeperZone => kill_zone(cluster, keeper),
        Fault::KillServerAndKeeper => {
            cluster.kill(server);
            cluster.kill(keeper);
        }
        Fault::RestartServer => cluster.restart(server),
        Fault::RestartKeeper => cluster.restart(keeper),
        Fault::RestartServerAndKeeper => {
            cluster.restart(server);
            cluster.restart(keeper);
        }
        Fault::StopServer => cluster.stop(server),
        Fault::StopKeeper => cluster.stop(keeper),
        Fault::IsolateServer => {
            cluster.isolated.insert(server);
        }
        Fault::IsolateKeeper => {
            cluster.isolated.insert(keeper);
        }
        Fault::DropAllFrames => cluster.network = Network::DISCONNECTED,
        Fault::LossyNetwork => cluster.network = Network::LOSSY,
    }
}

fn kill_zone(cluster: &mut Cluster, node_of_zone: usize) {
    for node in cluster.zone(node_of_zone) {
        cluster.kill(node);
    }
}

/// Lets the fault last for four seconds, then repairs the network, ends the nodes that
/// handed over, and waits until repairs are done.
fn end_faults(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(4));
    cluster.network = Network::RELIABLE;
    cluster.isolated.clear();
    cluster.run(Duration::from_secs(40));
    for node in cluster.live() {
        if cluster.nodes[node].handed_over > 0 {
            cluster.kill(node);
        }
    }
    cluster.run(Duration::from_secs(12));
}

/// Checks that a search at every live node finds the fate in its last state, and that
/// the fate is stored in two zones, or in all if fewer are left.
fn check(cluster: &mut Cluster, case: &str) {
    for node in cluster.live() {
        let answer = cluster.find(node, REQUEST);
        let states: Vec<Option<Wall>> = answer.fates.iter().map(|fate| fate.ended).collect();
        assert_eq!(states, [ENDED_AT], "{case}: search at node {node}");
        assert!(answer.complete, "{case}: search at node {node}");
    }
    let live: BTreeSet<_> =
        cluster.live().into_iter().map(|node| cluster.nodes[node].peer.zone.clone()).collect();
    let storing = cluster.zones_storing(REQUEST, ENDED_AT);
    assert!(storing >= live.len().min(2), "{case}: stored in {storing} zones of {}", live.len());
}

fn settings(cells: u32) -> Settings {
    Settings { cells, ..Settings::default() }
}

/// Numbers of nodes, zones and cells of the clusters. Searches ask all nodes in the
/// first cluster, and only the homes in the others.
const CLUSTERS: [(usize, usize, u32); 3] = [(8, 3, 1), (24, 6, 1), (40, 5, 2)];

#[test]
fn one_fault_at_each_step() {
    for (nodes, zones, cells) in CLUSTERS {
        for (number, step) in STEPS.into_iter().enumerate() {
            for fault in FAULTS {
                let seed = number as u64;
                let case =
                    format!("{nodes} nodes, {zones} zones, {cells} cells, {fault:?} at {step:?}");
                let mut cluster = cluster(nodes, zones, settings(cells), seed);
                run_until(&mut cluster, step);

                inject(&mut cluster, fault);
                end_faults(&mut cluster);

                if step == Step::Batched && fault.loses_unsent_copies() {
                    check_absent(&mut cluster, &case);
                    continue;
                }
                check(&mut cluster, &case);
            }
        }
    }
}

/// Checks that no node finds the fate: copies that a server had not sent are lost
/// with it.
fn check_absent(cluster: &mut Cluster, case: &str) {
    for node in cluster.live() {
        let answer = cluster.find(node, REQUEST);
        assert!(answer.fates.is_empty(), "{case}: search at node {node}");
    }
}

#[test]
fn two_faults_one_after_the_other() {
    for (nodes, zones, cells) in CLUSTERS {
        for first in FAULTS {
            for second in FAULTS {
                let case = format!("{nodes} nodes, {zones} zones, {first:?}, then {second:?}");
                let mut cluster = cluster(nodes, zones, settings(cells), 7);
                run_until(&mut cluster, Step::Acknowledged);

                inject(&mut cluster, first);
                end_faults(&mut cluster);
                assert!(!cluster.keepers(REQUEST, 0).is_empty(), "{case}: no node is left");
                inject(&mut cluster, second);
                end_faults(&mut cluster);

                check(&mut cluster, &case);
            }
        }
    }
}
