//! Faults of leafs and links that threads of their own bring about. Each has a random sequence of its
//! own, so that the other faults of a seed stay the same when one is changed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Shared;
use crate::gateway::leaf::{Behaviour, Copies, Endless, Leaf};
use crate::gateway::proxy::{Fault, Proxy};

/// Starts the threads. They end when `leafs_healed` is set.
pub(super) fn spawn(
    shared: &Arc<Shared>,
    leafs: Vec<Leaf>,
    links: &Arc<Vec<Proxy>>,
    seed: u64,
) -> [JoinHandle<()>; 4] {
    let leafs = Arc::new(leafs);
    let spawn_with = |vary: fn(&Shared, &[Leaf], u64)| {
        let (shared, leafs) = (Arc::clone(shared), Arc::clone(&leafs));
        thread::spawn(move || vary(&shared, &leafs, seed))
    };
    let links_thread = {
        let (shared, links) = (Arc::clone(shared), Arc::clone(links));
        thread::spawn(move || vary_links(&shared, &links, seed))
    };
    [spawn_with(vary_behaviour), spawn_with(vary_notices), spawn_with(vary_copies), links_thread]
}

/// Changes the behaviour of random leafs many times a second, until `leafs_healed` is set.
fn vary_behaviour(shared: &Shared, leafs: &[Leaf], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let faults = [
        Behaviour::Echo(Duration::from_millis(120)),
        Behaviour::Reject,
        Behaviour::Drop,
        Behaviour::Truncate,
        Behaviour::Foreign,
        Behaviour::Fail,
        Behaviour::Silent,
        Behaviour::Encoded,
    ];
    while !shared.leafs_healed.load(Ordering::Relaxed) {
        let leaf = leafs.choose(&mut rng).expect("there are leafs");
        let healthy = Behaviour::Echo(Duration::from_millis(3));
        let faulty = faults.choose(&mut rng).expect("there are faults").clone();
        leaf.set_behaviour(if rng.random_bool(0.6) { healthy } else { faulty });
        thread::sleep(Duration::from_millis(rng.random_range(5..40)));
    }
}

/// Lets random leafs state limits, leave, crash or send without end, until `leafs_healed` is set.
fn vary_notices(shared: &Shared, leafs: &[Leaf], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6e6f_7469_6365);
    let notices = ["", "", "server-limit: 5\r\n", "server-limit: 20\r\n", "retry-after: 0.3\r\n"];
    while !shared.leafs_healed.load(Ordering::Relaxed) {
        let leaf = leafs.choose(&mut rng).expect("there are leafs");
        match rng.random_range(0..20) {
            0 => leaf.crash(Duration::from_millis(rng.random_range(50..400))),
            1 => leaf.set_behaviour(Behaviour::Endless(Endless::Interim)),
            2 => leaf.set_behaviour(Behaviour::Endless(Endless::Body)),
            _ => leaf.set_headers(notices.choose(&mut rng).expect("there are notices")),
        }
        thread::sleep(Duration::from_millis(rng.random_range(5..80)));
    }
}

/// Lets random leafs send late copies of their responses, and reject requests once, until
/// `leafs_healed` is set.
fn vary_copies(shared: &Shared, leafs: &[Leaf], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0063_6f70_6965);
    while !shared.leafs_healed.load(Ordering::Relaxed) {
        let leaf = leafs.choose(&mut rng).expect("there are leafs");
        let copies = match rng.random_range(0..10) {
            0..2 => Copies::Exact,
            2..4 => Copies::WithoutId,
            _ => Copies::None,
        };
        leaf.set_copies(copies);
        if copies != Copies::None {
            leaf.set_behaviour(Behaviour::RejectFirst);
        }
        thread::sleep(Duration::from_millis(rng.random_range(5..120)));
    }
}

/// Cuts the links of some nodes to leafs again and again, until `leafs_healed` is set.
fn vary_links(shared: &Shared, links: &[Proxy], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6c69_6e6b);
    let faults = [Fault::Blackhole, Fault::Reset, Fault::OneWay];
    while !shared.leafs_healed.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(0..1_500)));
        let fault = *faults.choose(&mut rng).expect("there are faults");
        let share = if rng.random_bool(0.7) { 1.0 } else { 0.4 };
        links.iter().filter(|_| rng.random_bool(share)).for_each(|link| link.set_fault(fault));
        thread::sleep(Duration::from_millis(rng.random_range(100..3_000)));
        links.iter().for_each(|link| link.set_fault(Fault::None));
    }
}
