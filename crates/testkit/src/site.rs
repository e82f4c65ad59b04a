//! A site whose platform, leafs and nodes run as separate processes.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_standin::deployment::{self, Deployment};
use jacinthfall_standin::leaf::fleet::Fleet;
use jacinthfall_standin::leaf::settings::Settings as LeafSettings;
use serde_json::{Value, json};

use crate::call;
use crate::process::Process;

/// Operators' token of every test site.
pub const OPERATOR_TOKEN: &str = "operators-of-this-test-site";

/// Token that nodes of every test site present to each other.
const PEER_TOKEN: &str = "nodes-of-this-test-site";

/// Interval at which nodes of every test site read the entries of nodes in the store.
pub const VM_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for a condition, such as that a site is ready.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of sites that this process has started; makes the names of their folders unique.
static SITES: AtomicU32 = AtomicU32::new(0);

/// Parameters of a site.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Folder that condition the programs.
    pub programs: PathBuf,
    /// Settings of the deployment.
    pub deployment: Deployment,
    /// Services whose fleets run; other fleets of the deployment are left out.
    pub services: Vec<String>,
    /// Whether each leaf is a process of its own; otherwise one process serves a whole fleet.
    pub leaf_processes: bool,
    /// Number of nodes.
    pub nodes: u32,
    /// How long callers may use an answer to `GET /v1/addresses`.
    pub hold: Duration,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    /// Name.
    pub name: String,
    /// Its process.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Availability zone.
    pub zone: String,
}

/// A running site; dropping it kills every process.
#[derive(Debug)]
pub struct Site {
    plan: Plan,
    folder: PathBuf,
    /// Process of the platform.
    pub platform: Process,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Processes of leafs, by the name of the leaf or fleet.
    pub leafs: BTreeMap<String, Process>,
    /// Nodes in order of their start.
    pub nodes: Vec<Node>,
}

impl Site {
    /// Starts every process and waits until each node is ready and knows the other nodes.
    ///
    /// # Panics
    ///
    /// If anything can't be started.
    #[must_use]
    pub fn open(plan: Plan) -> Site {
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let folder = format!("jacinthfall-site-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder).expect("a folder for settings");
        let program = plan.programs.join("jacinthfall-standin-platform");
        let settings = folder.join("platform.jsonc");
        let platform = serde_json::to_string(&plan.deployment.platform).expect("plain settings");
        fs::write(&settings, platform).expect("settings can be written");
        let arguments = [Path::new("--settings"), &settings];
        let platform = Process::spawn(&program, &arguments, "listening");
        let platform_address = platform.lines[0]
            .rsplit(' ')
            .next()
            .and_then(|address| address.parse().ok())
            .expect("the platform prints its address");
        let leafs = BTreeMap::new();
        let nodes = Vec::new();
        let mut site = Site { plan, folder, platform, platform_address, leafs, nodes };
        site.start_leafs();
        site.put_profiles();
        for index in 0..site.plan.nodes {
            site.start_node(&format!("node-{index}"));
        }
        site.wait_ready();
        site
    }

    /// Starts one more node.
    ///
    /// # Panics
    ///
    /// If it can't be started.
    pub fn start_node(&mut self, name: &str) {
        let zones = &self.plan.deployment.leafs.fleets[0].zones;
        let zone = zones[self.nodes.len() % zones.len()].to_string();
        let file = self.folder.join(format!("{name}.jsonc"));
        let seeds: Vec<Value> = self.nodes.iter().map(entry).collect();
        let settings = json!({
            "node": name,
            "zone": zone,
            "callers": {"listen": "127.0.0.1:0", "hold_ms": self.plan.hold.as_millis()},
            "operators": {"listen": "127.0.0.1:0", "token": OPERATOR_TOKEN},
            "peers": {"listen": "127.0.0.1:0", "token": PEER_TOKEN, "seeds": seeds},
            "platform": {"address": self.platform_address, "vm_poll_ms": VM_POLL_INTERVAL.as_millis()},
        });
        fs::write(&file, settings.to_string()).expect("settings can be written");
        let program = self.plan.programs.join("jacinthfalld");
        let process = Process::spawn(&program, &[Path::new("--settings"), &file], "listening");
        let bound = process.addresses();
        self.nodes.push(Node {
            name: name.into(),
            process,
            callers: bound["callers"],
            operators: bound["operators"],
            peers: bound["peers"],
            zone,
        });
    }

    /// Marks a node as leaving in its store entry, as an operator does for a planned stop.
    ///
    /// # Panics
    ///
    /// If no node of this name runs.
    pub fn mark_leaving(&self, name: &str) {
        self.mark_leaving_at(&format!("jacinthfall/vms/{name}"), name);
    }

    /// Writes a store entry that marks a node as leaving, under any key.
    ///
    /// # Panics
    ///
    /// If no node of this name runs.
    pub fn mark_leaving_at(&self, key: &str, name: &str) {
        let node = self.nodes.iter().find(|node| node.name == name).expect("a node of this name");
        let mut entry = entry(node);
        entry["leaving"] = true.into();
        let put = json!({"key": key, "value": entry.to_string()});
        let _ = call::control(self.platform_address, &json!({"put": [put]}));
    }

    /// Waits until each node has every profile in force and knows every other node.
    ///
    /// # Panics
    ///
    /// If that takes more than a minute.
    pub fn wait_ready(&self) {
        let profiles: Vec<String> =
            self.profiles().iter().map(|profile| profile.name.to_string()).collect();
        let records = profiles.len() + self.plan.services.len();
        for node in &self.nodes {
            self.wait_for(&format!("{} to be ready", node.name), || {
                let status = self.status(node);
                let revisions = status["revisions"].as_object().map_or(0, serde_json::Map::len);
                let alive = status["members"].as_array().map_or(0, |members| {
                    members.iter().filter(|member| member["state"] == "alive").count()
                });
                status["ready"] == true && revisions >= records && alive == self.nodes.len()
            });
        }
    }

    /// Status of a node; null if it does not reply.
    #[must_use]
    pub fn status(&self, node: &Node) -> Value {
        let response = call::send("GET", node.operators, "/v1/status", Some(OPERATOR_TOKEN), None);
        response.map_or(Value::Null, |response| response.body)
    }

    /// Polls until `condition` is true.
    ///
    /// # Panics
    ///
    /// If that takes more than a minute.
    pub fn wait_for(&self, what: &str, condition: impl Fn() -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !condition() {
            assert!(Instant::now() < end, "timed out waiting for {what}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a change to the control path of a leaf's process.
    ///
    /// # Panics
    ///
    /// If no process of this name runs.
    #[must_use]
    pub fn control_leaf(&self, process: &str, change: &Value) -> Value {
        let address = self.leafs[process].addresses()["control"];
        call::control(address, change)
    }

    /// Fleets of the services that run.
    fn fleets(&self) -> Vec<Fleet> {
        let fleets = self.plan.deployment.leafs.fleets.iter();
        fleets.filter(|f| self.plan.services.iter().any(|s| **s == *f.service)).cloned().collect()
    }

    /// Profiles of the services that run.
    #[must_use]
    pub fn profiles(&self) -> Vec<Profile> {
        let profiles = self.plan.deployment.profiles.iter();
        profiles.filter(|p| self.plan.services.iter().any(|s| **s == *p.service)).cloned().collect()
    }

    fn start_leafs(&mut self) {
        let mut services = Vec::new();
        for fleet in self.fleets() {
            let mut addresses = BTreeMap::new();
            for (name, settings) in self.leaf_settings(&fleet) {
                let process = self.start_leaf(&name, &settings);
                let printed = process.addresses();
                let printed = printed.iter().filter(|(name, _)| *name != "control");
                addresses.extend(printed.map(|(name, address)| (name.as_str().into(), *address)));
                self.leafs.insert(name, process);
            }
            services.push(fleet.service(&addresses));
        }
        let records = services.into_iter().map(deployment::record).collect();
        let runtime = jacinthfall_net::runtime(1).expect("a runtime");
        let registered = runtime.block_on(deployment::register(self.platform_address, records));
        registered.expect("services can be registered");
    }

    fn leaf_settings(&self, fleet: &Fleet) -> Vec<(String, LeafSettings)> {
        let control = Some("127.0.0.1:0".parse().expect("an address"));
        let seed = self.plan.deployment.leafs.seed;
        if !self.plan.leaf_processes {
            let fleets = vec![fleet.clone()];
            let settings = LeafSettings { seed, control, leafs: Vec::new(), fleets };
            return vec![(fleet.service.to_string(), settings)];
        }
        let leafs = fleet.leafs().into_iter();
        leafs
            .map(|leaf| {
                let name = leaf.name.to_string();
                let leafs = vec![leaf];
                (name, LeafSettings { seed, control, leafs, fleets: Vec::new() })
            })
            .collect()
    }

    fn start_leaf(&self, name: &str, settings: &LeafSettings) -> Process {
        let file = self.folder.join(format!("{name}.jsonc"));
        let text = serde_json::to_string(settings).expect("plain settings");
        fs::write(&file, text).expect("settings can be written");
        let program = self.plan.programs.join("jacinthfall-standin-leaf");
        Process::spawn(&program, &[Path::new("--settings"), &file], "ready")
    }

    /// Writes the initial profiles directly into the store, since no node runs yet.
    fn put_profiles(&self) {
        use jacinthfall_core::record::{self, Body, Change, Document};
        use jacinthfall_core::time::Wall;
        let put: Vec<Value> = self
            .profiles()
            .into_iter()
            .map(|profile| {
                let key = record::profile_key(&profile.name);
                let change = Change {
                    id: format!("first-{}", profile.name).into(),
                    author: "site".into(),
                    time: Wall(1),
                    cause: "first start".into(),
                };
                let body = Body::Profile(profile.into());
                let document = Document::next(None, id::Revision(0), key.clone(), change, body);
                let value = serde_json::to_string(&document).expect("plain document");
                json!({"key": key, "value": value})
            })
            .collect();
        let _ = call::control(self.platform_address, &json!({ "put": put }));
    }
}

/// Returns the entry of a node, as used in `seeds` of the settings and in the store.
fn entry(node: &Node) -> Value {
    json!({
        "node": node.name,
        "zone": node.zone,
        "peer_address": node.peers,
        "caller_address": node.callers,
    })
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}
