//! A randomised soak test: gateway nodes run as processes, faults are injected from outside,
//! and invariants are checked on what callers and leafs observe.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use jacinthfall_standin::platform::control::Change;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

mod caller;
mod disturbance;
mod organisations;

use super::leaf::{Behaviour, Copies, Leaf, Run};
use super::proxy::{Fault, Proxy};
use super::site::{self, Request, Response, Site, gather, metric, route, try_exchange};
use caller::Lost;

/// Number of leafs of each service.
const LEAFS_PER_SERVICE: usize = 3;

/// Services; the first serves proxied requests, the others hold one shard each.
const SERVICES: [&str; 4] = ["a", "s-0", "s-1", "s-2"];

/// Zone of the first leaf of each service, which is evacuated at times.
const EVACUATED_ZONE: &str = "y";

/// Key that evacuates it.
const EVACUATION_KEY: &str = "op/evacuate/y";

/// Number of concurrent callers.
const CALLERS: usize = 6;

/// Upper bound of the pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;

/// Time after a leaf's entry changed to draining in which the leaf may still get requests.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);

/// Time without disturbance of the store or a node after which [`MAX_DRAIN_DELAY`] applies
/// again.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Longest time from a request until its response.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(2);

/// Statuses that guarantee that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A fault: its name in the report and the method that injects it.
type Injection = (&'static str, fn(&mut Soak));

/// Parameters of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of the faults.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// Number of nodes.
    pub nodes: usize,
}

/// Observations of a soak.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of requests by status; 0 counts requests without a response.
    pub statuses: BTreeMap<u16, usize>,
    /// Number of injected faults by name.
    pub faults: BTreeMap<&'static str, usize>,
    /// Violations of invariants, as text.
    pub violations: Vec<String>,
}

/// A leaf and its entry in the registry.
struct Server {
    id: String,
    service: &'static str,
    zone: &'static str,
    leaf: Leaf,
    sequence: u64,
    draining_since: Option<Instant>,
}

/// State shared by the threads of the callers, the thread that changes the behaviour of leafs,
/// and [`Soak`].
#[derive(Default)]
struct Shared {
    nodes: RwLock<Vec<SocketAddr>>,
    next: AtomicU64,
    stop: AtomicBool,
    /// Whether the behaviour of leafs must no longer be changed.
    leafs_healed: AtomicBool,
    statuses: Mutex<BTreeMap<u16, usize>>,
    /// Ids of requests whose status guarantees that they did not run.
    not_run: Mutex<Vec<String>>,
    violations: Mutex<Vec<String>>,
    /// Requests without a complete response.
    lost: Mutex<Vec<Lost>>,
}

/// A planned stop of a node.
struct Stop {
    /// Address of the node.
    node: SocketAddr,
    begun: Instant,
    ended: Instant,
}

/// Runs a soak with nodes of `program` and reports what was observed.
///
/// # Panics
///
/// If the site can't be started.
#[must_use]
pub fn run(program: &Path, plan: Plan) -> Report {
    let mut soak = Soak::open(program, plan);
    let shared = Arc::clone(&soak.shared);
    let callers: Vec<JoinHandle<()>> = (0..CALLERS)
        .map(|number| {
            let shared = Arc::clone(&shared);
            let seed = plan.seed.wrapping_mul(31).wrapping_add(number as u64);
            thread::spawn(move || caller::run(&shared, seed))
        })
        .collect();
    let leafs: Vec<Leaf> = soak.servers.iter().map(|server| server.leaf.clone()).collect();
    let disturbances = disturbance::spawn(&shared, leafs, &soak.links, plan.seed);
    let end = Instant::now() + plan.duration;
    while Instant::now() < end {
        soak.inject_fault();
    }
    shared.leafs_healed.store(true, Ordering::Relaxed);
    for thread in disturbances {
        if thread.join().is_err() {
            shared.record_violation("a thread that injects faults panicked".to_owned());
        }
    }
    soak.heal();
    soak.check_recovery();
    shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        if caller.join().is_err() {
            shared.record_violation("a caller panicked".to_owned());
        }
    }
    soak.finish()
}

impl Shared {
    fn record_violation(&self, violation: String) {
        self.violations.lock().expect("not poisoned").push(violation);
    }

    fn record_not_run(&self, id: &str) {
        self.not_run.lock().expect("not poisoned").push(id.to_owned());
    }
}

struct Soak {
    site: Site,
    proxy: Proxy,
    /// Links to the leafs that some nodes use.
    links: Arc<Vec<Proxy>>,
    /// Address of the store for these nodes.
    linked_store: SocketAddr,
    servers: Vec<Server>,
    shared: Arc<Shared>,
    rng: ChaCha8Rng,
    /// Random sequence of the nodes that use links.
    links_rng: ChaCha8Rng,
    faults: BTreeMap<&'static str, usize>,
    /// When the store, the link to it or a node was disturbed.
    disturbances: Vec<Instant>,
    stops: Vec<Stop>,
    nodes: usize,
    is_short_timeout: bool,
    /// Since when [`EVACUATED_ZONE`] is evacuated.
    evacuated_since: Option<Instant>,
    /// Earlier evacuations.
    evacuations: Vec<(Instant, Instant)>,
}

/// Writes the registry entry of a leaf.
fn register(site: &Site, server: &Server) {
    let Server { id, service, zone, leaf, sequence, draining_since } = server;
    let state = if draining_since.is_some() { "draining" } else { "ready" };
    let fields = json!({"sequence": sequence, "state": state, "zone": zone});
    site.register_with(id, service, leaf, &fields);
}

impl Soak {
    fn open(program: &Path, plan: Plan) -> Soak {
        let mut site = Site::open(program);
        let proxy = Proxy::spawn(site.store).expect("a proxy");
        let mut servers = Vec::new();
        for service in SERVICES {
            for number in 0..LEAFS_PER_SERVICE {
                let id = format!("i-{service}-{number}");
                let leaf = Leaf::spawn(&id, Behaviour::Echo(Duration::from_millis(3)));
                let zone = if number == 0 { EVACUATED_ZONE } else { "z" };
                let server = Server { id, service, zone, leaf, sequence: 1, draining_since: None };
                register(&site, &server);
                servers.push(server);
            }
        }
        site.set_organisations(organisations::document());
        site.quotas = organisations::quotas();
        site.configure(&[route("unsafe"), gather(0.6)]);
        let leafs: Vec<SocketAddr> = servers.iter().map(|server| server.leaf.address).collect();
        let links: Vec<Proxy> =
            leafs.iter().map(|leaf| Proxy::spawn(*leaf).expect("a proxy")).collect();
        let linked = leafs.iter().zip(&links).map(|(leaf, link)| (*leaf, link.address));
        let linked_store = site.open_view(&linked.collect::<Vec<_>>());
        let mut soak = Soak {
            site,
            proxy,
            links: Arc::new(links),
            linked_store,
            servers,
            shared: Arc::default(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            links_rng: ChaCha8Rng::seed_from_u64(!plan.seed ^ 0x6c69_6e6b),
            faults: BTreeMap::new(),
            disturbances: Vec::new(),
            stops: Vec::new(),
            nodes: plan.nodes,
            is_short_timeout: false,
            evacuated_since: None,
            evacuations: Vec::new(),
        };
        for _ in 0..plan.nodes {
            soak.start();
        }
        (0..plan.nodes).for_each(|node| soak.site.wait_ready(node));
        soak
    }

    /// Starts a node; on average, half of the nodes reach the store through the proxy, and a third
    /// of the nodes reach the leafs by links that are cut at times.
    fn start(&mut self) {
        let store = if self.rng.random_bool(0.5) { self.proxy.address } else { self.site.store };
        let is_linked = self.links_rng.random_bool(0.33);
        self.site.start_with(if is_linked { self.linked_store } else { store });
        self.publish_nodes();
    }

    /// Publishes the running nodes to the callers.
    fn publish_nodes(&self) {
        let nodes = self.site.nodes.iter().map(|node| node.callers).collect();
        *self.shared.nodes.write().expect("not poisoned") = nodes;
    }

    fn record_disturbance(&mut self) {
        self.disturbances.push(Instant::now());
    }

    /// Injects one random fault, then pauses for a random time.
    fn inject_fault(&mut self) {
        let faults: [Injection; 12] = [
            ("kill", Soak::kill),
            ("stop", Soak::stop),
            ("freeze", Soak::freeze),
            ("store link", Soak::disturb_store_link),
            ("store", Soak::disturb_store),
            ("history", Soak::compact),
            ("copy", Soak::copy_store),
            ("restore", Soak::restore_store),
            ("configuration", Soak::configure),
            ("drain", Soak::drain),
            ("return", Soak::reinstate_leaf),
            ("evacuation", Soak::evacuate),
        ];
        let (name, fault) = *faults.choose(&mut self.rng).expect("there are faults");
        *self.faults.entry(name).or_default() += 1;
        fault(self);
        thread::sleep(Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS)));
    }

    fn random_node(&mut self) -> usize {
        self.rng.random_range(0..self.site.nodes.len())
    }

    fn kill(&mut self) {
        let index = self.random_node();
        self.site.nodes[index].process.kill();
        self.replace(index);
    }

    /// Stops a node as planned while callers keep using it.
    fn stop(&mut self) {
        let index = self.random_node();
        let (node, begun) = (self.site.nodes[index].callers, Instant::now());
        self.site.nodes[index].process.terminate();
        let status = self.site.nodes[index].process.wait();
        self.stops.push(Stop { node, begun, ended: Instant::now() });
        if !status.success() {
            let name = &self.site.nodes[index].name;
            self.shared.record_violation(format!("{name}: a planned stop ended with {status}"));
        }
        self.replace(index);
    }

    fn replace(&mut self, index: usize) {
        self.site.nodes.remove(index);
        if self.site.nodes.len() < self.nodes {
            self.start();
        }
        self.publish_nodes();
    }

    fn freeze(&mut self) {
        self.record_disturbance();
        let index = self.random_node();
        let pause = Duration::from_millis(self.rng.random_range(50..1_500));
        self.site.nodes[index].process.freeze();
        thread::sleep(pause);
        self.site.nodes[index].process.resume();
        self.record_disturbance();
    }

    fn disturb_store_link(&mut self) {
        self.record_disturbance();
        let delay = Duration::from_millis(self.rng.random_range(1..80));
        let faults =
            [Fault::Delay(delay), Fault::Reset, Fault::Blackhole, Fault::OneWay, Fault::None];
        let fault = *faults.choose(&mut self.rng).expect("there are faults");
        self.proxy.set_fault(fault);
    }

    fn disturb_store(&mut self) {
        self.record_disturbance();
        let unchanged = Change::default();
        let changes = [
            Change { outage: Some(true), ..unchanged.clone() },
            Change { silent: Some(true), ..unchanged.clone() },
            Change { slow_ms: Some(120), ..unchanged.clone() },
            Change { lose_replies: Some(2), ..unchanged.clone() },
            Change { late_writes: Some(2), late_ms: Some(900), ..unchanged },
        ];
        let change = changes.choose(&mut self.rng).expect("there are changes").clone();
        self.site.change(&change);
        thread::sleep(Duration::from_millis(self.rng.random_range(0..1_500)));
        self.heal_store();
    }

    fn heal_store(&mut self) {
        let healthy = Change {
            outage: Some(false),
            silent: Some(false),
            slow_ms: Some(0),
            lose_replies: Some(0),
            late_writes: Some(0),
            ..Change::default()
        };
        self.site.change(&healthy);
        self.record_disturbance();
    }

    fn compact(&mut self) {
        self.record_disturbance();
        self.site.change(&Change { compact: true, ..Change::default() });
    }

    fn copy_store(&mut self) {
        self.site.change(&Change { copy: true, ..Change::default() });
    }

    /// Lets the store return from its copy, at times twice and while nodes are killed or the
    /// configuration changes. Then the operator and the leafs write again.
    fn restore_store(&mut self) {
        self.record_disturbance();
        self.site.change(&Change { outage: Some(true), restore: true, ..Change::default() });
        thread::sleep(Duration::from_millis(self.rng.random_range(0..400)));
        if self.rng.random_bool(0.3) {
            self.kill();
        }
        self.site.change(&Change { outage: Some(false), ..Change::default() });
        if self.rng.random_bool(0.3) {
            thread::sleep(Duration::from_millis(self.rng.random_range(0..400)));
            self.site.change(&Change { restore: true, ..Change::default() });
        }
        if self.rng.random_bool(0.5) {
            self.configure();
        } else {
            self.site.write_configuration();
        }
        for server in &mut self.servers {
            server.sequence += 1;
            register(&self.site, server);
        }
        self.record_disturbance();
    }

    fn configure(&mut self) {
        self.is_short_timeout = !self.is_short_timeout;
        let mut single = route("unsafe");
        if self.is_short_timeout {
            single["timeout-ms"] = 5_000.into();
        }
        self.site.configure(&[single, gather(0.6)]);
    }

    /// Lets a leaf drain, unless its service might be left without any: the zone of the first leaf
    /// of each service may be evacuated meanwhile.
    fn drain(&mut self) {
        let index = self.rng.random_range(0..self.servers.len());
        let Server { service, zone, draining_since, .. } = &self.servers[index];
        let is_ready = |other: &&Server| {
            other.service == *service
                && other.zone != EVACUATED_ZONE
                && other.draining_since.is_none()
        };
        let is_last = *zone != EVACUATED_ZONE && self.servers.iter().filter(is_ready).count() < 2;
        if is_last || draining_since.is_some() {
            return;
        }
        let server = &mut self.servers[index];
        server.sequence += 1;
        server.draining_since = Some(Instant::now());
        register(&self.site, &self.servers[index]);
    }

    /// Registers a drained leaf as ready again, after checking that it got no late requests.
    fn reinstate_leaf(&mut self) {
        let is_drained = |server: &Server| {
            server.draining_since.is_some_and(|at| at.elapsed() > 2 * MAX_DRAIN_DELAY)
        };
        let Some(index) = self.servers.iter().position(is_drained) else { return };
        self.check_drained(index);
        let server = &mut self.servers[index];
        server.sequence += 1;
        server.draining_since = None;
        register(&self.site, &self.servers[index]);
    }

    /// Evacuates a zone, or takes it back after checking that its leafs got no late requests.
    fn evacuate(&mut self) {
        match self.evacuated_since.take() {
            None => {
                self.site.put(EVACUATION_KEY, Some("{}".to_owned()));
                self.evacuated_since = Some(Instant::now());
            }
            Some(since) => {
                self.evacuations.push((since, Instant::now()));
                self.site.put(EVACUATION_KEY, None);
            }
        }
    }

    /// Checks that leafs of the evacuated zone got no request after [`MAX_DRAIN_DELAY`].
    fn check_evacuations(&self) {
        let current = self.evacuated_since.map(|since| (since, Instant::now()));
        for (since, until) in self.evacuations.iter().copied().chain(current) {
            let servers = self.servers.iter().filter(|server| server.zone == EVACUATED_ZONE);
            for server in servers {
                let late = self.late_runs(server, since, until);
                if late > 0 {
                    self.shared.record_violation(format!(
                        "{}: {late} requests more than {MAX_DRAIN_DELAY:?} after its zone was \
                         evacuated",
                        server.id
                    ));
                }
            }
        }
    }

    /// Counts the requests that a leaf got later than [`MAX_DRAIN_DELAY`] after `since` and before
    /// `until`. Requests soon after a disturbance of the store or a node are not counted.
    fn late_runs(&self, server: &Server, since: Instant, until: Instant) -> usize {
        let is_undisturbed = |at: Instant| {
            let recent = |disturbance: &Instant| {
                *disturbance <= at
                    && at.duration_since(*disturbance) < RECOVERY_TIME + MAX_DRAIN_DELAY
            };
            !self.disturbances.iter().any(recent)
        };
        let runs = server.leaf.runs();
        let times = runs.iter().filter_map(|run| run.at);
        let late = times.filter(|at| *at > since + MAX_DRAIN_DELAY && *at < until);
        late.filter(|at| is_undisturbed(*at)).count()
    }

    /// Checks that a draining leaf got no request after [`MAX_DRAIN_DELAY`]. Requests soon after
    /// a disturbance of the store or a node are not counted.
    fn check_drained(&self, index: usize) {
        let server = &self.servers[index];
        let Some(draining_since) = server.draining_since else { return };
        let late = self.late_runs(server, draining_since, Instant::now());
        if late > 0 {
            self.shared.record_violation(format!(
                "{}: {late} requests more than {MAX_DRAIN_DELAY:?} after it started to drain",
                server.id
            ));
        }
    }

    /// Ends all faults of leafs, the store and the link to it.
    fn heal(&mut self) {
        self.proxy.set_fault(Fault::None);
        self.heal_store();
        for index in 0..self.servers.len() {
            let leaf = &self.servers[index].leaf;
            leaf.set_behaviour(Behaviour::Echo(Duration::from_millis(3)));
            leaf.set_headers("");
            leaf.set_copies(Copies::None);
        }
    }

    /// Checks that every node has the latest configuration in force.
    fn check_configuration(&self, end: Instant) {
        let version = self.site.version() as f64;
        for node in &self.site.nodes {
            while metric(node, "jacinthfall_configuration_version") != Some(version) {
                if Instant::now() > end {
                    self.shared.record_violation(format!(
                        "{} does not have version {version} in force",
                        node.name
                    ));
                    break;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Returns the leafs of a service that are neither draining nor in an evacuated zone.
    fn usable_leafs(&self, service: &str) -> Vec<&str> {
        let is_evacuated =
            |server: &Server| server.zone == EVACUATED_ZONE && self.evacuated_since.is_some();
        let usable = self.servers.iter().filter(|server| {
            server.service == service && server.draining_since.is_none() && !is_evacuated(server)
        });
        usable.map(|server| server.id.as_str()).collect()
    }

    /// Checks that every node serves requests again.
    fn check_recovery(&self) {
        let end = Instant::now() + 3 * RECOVERY_TIME;
        self.check_configuration(end);
        for node in &self.site.nodes {
            loop {
                let number = self.shared.next.fetch_add(1, Ordering::Relaxed);
                let id = format!("u-{number:06}");
                let headers = organisations::headers(organisations::of(number));
                let request =
                    Request { method: "POST", id: &id, headers: &headers, ..Request::default() };
                let bytes = try_exchange(node.callers, request.text().as_bytes());
                if Response::parse(&bytes.unwrap_or_default()).status == 200 {
                    break;
                }
                if Instant::now() > end {
                    let (name, leafs) = (&node.name, self.usable_leafs("a"));
                    self.shared.record_violation(format!(
                        "{name} does not serve again; leafs that it may use: {leafs:?}"
                    ));
                    break;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Checks that no request was passed on by a node that then stopped as planned without
    /// answering it. `runs` counts the runs of each request.
    fn check_stops(&self, runs: &BTreeMap<String, usize>) {
        let lost = self.shared.lost.lock().expect("not poisoned");
        for Lost { id, node, sent } in lost.iter() {
            let is_cause = |stop: &Stop| {
                stop.node == *node && *sent < stop.ended && *sent + MAX_REQUEST_TIME > stop.begun
            };
            if runs.contains_key(id) && self.stops.iter().any(is_cause) {
                self.shared.record_violation(format!("{id} ran and was cut by a planned stop"));
            }
        }
    }

    /// Checks that no node holds anything for requests that have ended.
    fn check_idle(&self) {
        let end = Instant::now() + 3 * RECOVERY_TIME;
        for node in &self.site.nodes {
            let mut held = site::held(node);
            while !held.is_empty() && Instant::now() < end {
                thread::sleep(Duration::from_millis(100));
                held = site::held(node);
            }
            if !held.is_empty() {
                self.shared.record_violation(format!("{} holds {held:?} when idle", node.name));
            }
        }
    }

    /// Checks the invariants that need all runs at leafs, and builds the report.
    fn finish(self) -> Report {
        self.check_idle();
        (0..self.servers.len()).for_each(|index| self.check_drained(index));
        self.check_evacuations();
        let all: Vec<Run> = self.servers.iter().flat_map(|server| server.leaf.runs()).collect();
        organisations::check(&all).into_iter().for_each(|text| self.shared.record_violation(text));
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in &all {
            let id = run.header("x-request-id").unwrap_or_default();
            *runs.entry(id).or_default() += 1;
        }
        for (id, count) in runs.iter().filter(|(id, count)| id.starts_with('u') && **count > 1) {
            self.shared.record_violation(format!("{id} ran {count} times"));
        }
        self.check_stops(&runs);
        for id in self.shared.not_run.lock().expect("not poisoned").iter() {
            if runs.contains_key(id) {
                self.shared.record_violation(format!(
                    "{id} ran although its status guarantees that it did not"
                ));
            }
        }
        let statuses = self.shared.statuses.lock().expect("not poisoned").clone();
        let violations = self.shared.violations.lock().expect("not poisoned").clone();
        Report { statuses, faults: self.faults, violations }
    }
}
