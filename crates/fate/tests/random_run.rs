//! Long seeded runs with many requests and one random fault per round.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_core::time::Wall;
use jacinthfall_fate::Settings;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Cluster, Network, cluster};

const REQUESTS_PER_ROUND: u64 = 12;

/// Time without faults after which every fate must have all its copies.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// Retention time, longer than a run takes in simulated time.
const RETENTION: Duration = Duration::from_secs(86_400);

/// Last recorded state of every fate, by request and server.
type Model = BTreeMap<(String, usize), Option<Wall>>;

/// Records requests on a lossy network, some of them at two nodes and some first as in
/// progress.
fn record_requests(cluster: &mut Cluster, model: &mut Model, round: usize, rng: &mut ChaCha8Rng) {
    cluster.network = Network::LOSSY;
    for number in 0..REQUESTS_PER_ROUND {
        let request = format!("request-{round}-{number}");
        let arrived = round as u64 * 100_000 + number;
        for _ in 0..rng.random_range(1..=2) {
            let server = *cluster.live().choose(rng).unwrap();
            let took = rng.random_range(1..600);
            if model.contains_key(&(request.clone(), server)) {
                continue;
            }
            match rng.random_range(0..3) {
                0 => cluster.record(server, &request, arrived, None),
                1 => cluster.record_and_flush(server, &request, arrived),
                _ => (),
            }
            cluster.run(Duration::from_millis(rng.random_range(0..500)));
            cluster.record(server, &request, arrived, Some(took));
            model.insert((request.clone(), server), Some(Wall(arrived + took)));
        }
    }
    cluster.network = Network::RELIABLE;
}

/// Injects one fault: kills a node or a zone, or restarts, stops or isolates a node.
/// Returns the nodes that stay down.
fn inject_fault(cluster: &mut Cluster, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let node = *cluster.live().choose(rng).unwrap();
    match rng.random_range(0..5) {
        0 => {
            cluster.kill(node);
            vec![node]
        }
        1 => {
            let zone = cluster.zone(node);
            zone.iter().for_each(|&node| cluster.kill(node));
            zone
        }
        2 => {
            cluster.restart(node);
            Vec::new()
        }
        3 => {
            cluster.stop(node);
            cluster.run(Duration::from_secs(31));
            assert_eq!(
                cluster.nodes[node].handed_over, 1,
                "a stopping node must report the end of its hand-over once"
            );
            cluster.kill(node);
            vec![node]
        }
        _ => {
            cluster.isolated.insert(node);
            cluster.run(Duration::from_secs(5));
            cluster.isolated.clear();
            Vec::new()
        }
    }
}

fn check(cluster: &mut Cluster, model: &Model, rng: &mut ChaCha8Rng, context: &str) {
    let requests: Vec<&(String, usize)> = model.keys().collect();
    for (request, _) in requests.choose_multiple(rng, 40) {
        let node = *cluster.live().choose(rng).unwrap();
        let answer = cluster.find(node, request);
        let mut found: Vec<Option<Wall>> = answer.fates.iter().map(|fate| fate.ended).collect();
        let states = model.range((request.clone(), 0)..=(request.clone(), usize::MAX));
        let mut recorded: Vec<Option<Wall>> = states.map(|(_, ended)| *ended).collect();
        found.sort_unstable();
        recorded.sort_unstable();
        assert_eq!(found, recorded, "{context}: search for {request} at node {node}");
    }
}

fn run(nodes: usize, zones: usize, cells: u32, rounds: usize, seed: u64) {
    let settings = Settings { cells, keep: RETENTION, ..Settings::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = cluster(nodes, zones, settings, seed);
    let mut model = Model::new();
    for round in 0..rounds {
        let context = format!("{nodes} nodes, {cells} cells, seed {seed}, round {round}");
        record_requests(&mut cluster, &mut model, round, &mut rng);
        cluster.run(SETTLE_TIME);

        let lost = inject_fault(&mut cluster, &mut rng);
        cluster.run(SETTLE_TIME);

        check(&mut cluster, &model, &mut rng, &context);
        lost.into_iter().for_each(|node| cluster.restart(node));
        cluster.run(SETTLE_TIME);
    }
}

#[test]
fn fates_survive_faults_in_a_small_cluster() {
    run(8, 3, 1, 50, 1);
}

#[test]
fn fates_survive_faults_with_two_zones() {
    run(6, 2, 1, 50, 2);
}

#[test]
fn fates_survive_faults_if_searches_ask_only_homes() {
    run(24, 4, 1, 25, 3);
}

#[test]
fn fates_survive_faults_with_two_cells() {
    run(40, 5, 2, 12, 4);
}
