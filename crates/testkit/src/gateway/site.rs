//! Sites of gateway nodes: a store, leafs and node processes.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use std::{fs, thread};

use jacinthfall_standin::platform::Settings;
use jacinthfall_standin::platform::control::{Change, Counters, Put};
use jacinthfall_standin::platform::server::{self, Server, View};
use serde_json::{Value, json};

use super::leaf::{Behaviour, Leaf};
use crate::call;
use crate::process::Process;

/// Longest wait for a condition or for response bytes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Gauges of what requests hold until they end.
const HELD: [&str; 7] = [
    "jacinthfall_requests_in_hand",
    "jacinthfall_served_for_others",
    "jacinthfall_quota_waiting",
    "jacinthfall_bytes_receiving",
    "jacinthfall_sends_in_flight",
    "jacinthfall_requests_queued",
    "jacinthfall_relays_in_flight",
];

/// Number of sites that this process has started; makes the names of their folders unique.
static SITES: AtomicU32 = AtomicU32::new(0);

/// A running gateway node.
#[derive(Debug)]
pub struct Node {
    /// Name.
    pub name: String,
    /// Its process.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address that serves the look-up of nodes' addresses.
    pub addresses: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
}

/// A running site; dropping it kills the nodes.
#[derive(Debug)]
pub struct Site {
    /// Nodes in order of their start.
    pub nodes: Vec<Node>,
    /// Address of the store.
    pub store: SocketAddr,
    /// The setting `quotas` of nodes that are started; null for none.
    pub quotas: Value,
    /// The setting `overload` of nodes that are started; an empty object for none.
    pub overload: Value,
    program: PathBuf,
    folder: PathBuf,
    /// Address of all nodes.
    host: Ipv4Addr,
    started: usize,
    version: u64,
    /// Organisations of the configurations that are written; `None` for none.
    organisations: Option<Value>,
    /// The latest configuration document.
    document: Option<String>,
    server: Server,
    /// Further listeners of the store.
    views: Vec<Server>,
    runtime: tokio::runtime::Runtime,
}

impl Site {
    /// Starts a store without any node; nodes that are started later run `program`.
    ///
    /// # Panics
    ///
    /// If the store can't be started.
    #[must_use]
    pub fn open(program: &Path) -> Site {
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let name = format!("jacinthfall-gateway-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a folder for settings");
        let runtime = jacinthfall_net::runtime(1).expect("a runtime");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = runtime.block_on(server::bind(any, &Settings::default()));
        let server = server.expect("a free port");
        let store = server.address();
        Site {
            nodes: Vec::new(),
            store,
            quotas: Value::Null,
            overload: json!({}),
            program: program.into(),
            folder,
            host: host(std::process::id(), number),
            started: 0,
            version: 0,
            organisations: None,
            document: None,
            server,
            views: Vec::new(),
            runtime,
        }
    }

    /// Starts a store, registers leafs, writes a configuration and starts one node.
    ///
    /// # Panics
    ///
    /// If the node does not become ready.
    #[must_use]
    pub fn serving(program: &Path, routes: &[Value], leafs: &[(&str, &str, &Leaf)]) -> Site {
        let mut site = Site::open(program);
        for (id, service, leaf) in leafs {
            site.register(id, service, leaf, 1, "ready");
        }
        site.configure(routes);
        site.start();
        site.wait_ready(0);
        site
    }

    /// Sends a change to the control path of the store's stand-in, and returns its counters.
    ///
    /// # Panics
    ///
    /// If the store does not accept it.
    pub fn change(&self, change: &Change) -> Counters {
        let change = serde_json::to_value(change).expect("plain");
        serde_json::from_value(call::control(self.store, &change)).expect("counters")
    }

    /// Returns the revision of the store.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.change(&Change::default()).revision
    }

    /// Writes a key, or deletes it if `value` is `None`.
    pub fn put(&self, key: &str, value: Option<String>) {
        let put = vec![Put { key: key.into(), value }];
        self.change(&Change { put, ..Change::default() });
    }

    /// Writes the registry entry of a leaf.
    pub fn register(&self, id: &str, service: &str, leaf: &Leaf, sequence: u64, state: &str) {
        self.register_with(id, service, leaf, &json!({ "sequence": sequence, "state": state }));
    }

    /// Writes the registry entry of a leaf, in which `fields` replace the usual ones.
    ///
    /// # Panics
    ///
    /// If `fields` isn't an object.
    pub fn register_with(&self, id: &str, service: &str, leaf: &Leaf, fields: &Value) {
        let mut entry = json!({
            "service": service, "address": leaf.address, "zone": "z", "version": "v1", "slots": 4,
            "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1_700_000_000_000_u64,
        });
        set_fields(&mut entry, fields);
        self.put(&format!("servers/{id}"), Some(entry.to_string()));
    }

    /// Sets the organisations of the configurations that are written from now on.
    pub fn set_organisations(&mut self, organisations: Value) {
        self.organisations = Some(organisations);
    }

    /// Writes the next version of the configuration, with these routes.
    pub fn configure(&mut self, routes: &[Value]) {
        self.configure_with(routes, &json!({}));
    }

    /// Writes the next version of the configuration, with these routes and with services that have
    /// `fields` in addition.
    ///
    /// # Panics
    ///
    /// If `fields` isn't an object.
    pub fn configure_with(&mut self, routes: &[Value], fields: &Value) {
        self.version += 3;
        let services = ["a", "b", "s-0", "s-1", "s-2"];
        let services = services.map(|name| {
            let mut service = json!({
                "name": name, "health-path": "/healthz", "max-connections": 60,
                "protocol": "h1", "tls": false,
            });
            set_fields(&mut service, fields);
            service
        });
        let mut document = json!({
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max-header-bytes": 16_384, "max-body-bytes": 4_096,
                "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000,
            },
        });
        if let Some(organisations) = &self.organisations {
            document["tenants"] = organisations.clone();
        }
        self.document = Some(document.to_string());
        self.write_configuration();
    }

    /// Writes the latest configuration again, as an operator does after a restore of the store.
    pub fn write_configuration(&self) {
        self.put("op/config", self.document.clone());
    }

    /// Returns the latest version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Starts a node that reaches the store.
    pub fn start(&mut self) {
        self.start_with(self.store);
    }

    /// Opens a further listener of the store, over which each first address stands for the second
    /// one in what is read, and returns its address. Nodes learn of changes of leafs from each
    /// other too, and these name the first addresses.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn open_view(&mut self, addresses: &[(SocketAddr, SocketAddr)]) -> SocketAddr {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let view = self.server.bind_view(any, View::open(addresses));
        let view = self.runtime.block_on(view).expect("a free port");
        let address = view.address();
        self.views.push(view);
        address
    }

    /// Starts a node whose settings name `store` as the store's address.
    pub fn start_with(&mut self, store: SocketAddr) {
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|node| node.peers).collect();
        self.start_with_seeds(store, &seeds);
    }

    /// Starts a node that reaches the other nodes by `seeds` at first.
    ///
    /// # Panics
    ///
    /// If the node can't be started.
    pub fn start_with_seeds(&mut self, store: SocketAddr, seeds: &[SocketAddr]) {
        let name = format!("node-{}", self.started);
        self.started += 1;
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let listen = SocketAddr::from((self.host, 0));
        let settings = json!({
            "node": name,
            "zone": "z",
            "callers": {"listen": listen},
            "readiness": {"listen": listen},
            "addresses": {"listen": listen},
            "peers": {"listen": listen, "seeds": seeds.join(",")},
            "store": {"address": store},
            "extra": {"ratio": 0.2, "floor": 1_000.0, "window_s": 10},
            "capacity": {"cores": 1.0, "link_mbps": 1_000.0},
            "stop": {"grace_s": 4},
            "quotas": self.quotas,
            "overload": self.overload,
        });
        let file = self.folder.join(format!("{name}.jsonc"));
        fs::write(&file, settings.to_string()).expect("settings can be written");
        let arguments = [Path::new("--gateway"), Path::new("--settings"), &file];
        let process = Process::spawn(&self.program, &arguments, "event=start");
        let bound = process.addresses();
        self.nodes.push(Node {
            name,
            callers: bound["callers"],
            readiness: bound["readiness"],
            addresses: bound["addresses"],
            peers: bound["peers"],
            process,
        });
    }

    /// Waits until a node is ready.
    ///
    /// # Panics
    ///
    /// If that takes more than half a minute.
    pub fn wait_ready(&self, node: usize) {
        wait_for("a ready node", || ready(&self.nodes[node]));
    }

    /// Sends a request to a node and reads its response.
    ///
    /// # Panics
    ///
    /// If the node does not listen or does not read.
    pub fn ask(&self, node: usize, request: &Request<'_>) -> Response {
        let response = exchange(self.nodes[node].callers, request.text().as_bytes());
        Response::parse(&response)
    }
}

/// Returns a loopback address for the nodes of one site. A node that is gone is sent heartbeats for
/// a while; if a node of another site got its port, the two sites would become one.
fn host(process: u32, site: u32) -> Ipv4Addr {
    let [.., third, fourth] = process.to_be_bytes();
    let second = 1 + (site % 254) as u8;
    Ipv4Addr::new(127, second, third, fourth)
}

/// Sets fields of an object to those of another one.
fn set_fields(object: &mut Value, fields: &Value) {
    for (name, value) in fields.as_object().expect("an object") {
        object[name] = value.clone();
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // A folder that can't be removed is left to the system's clean-up of temporary files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the value of a gauge or counter without labels; `None` if the node doesn't answer or
/// doesn't have it.
#[must_use]
pub fn metric(node: &Node, name: &str) -> Option<f64> {
    let request = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let response = try_exchange(node.addresses, request.as_bytes()).ok()?;
    let text = String::from_utf8_lossy(&response).into_owned();
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value?.parse().ok()
}

/// Returns the gauges of what requests hold at a node until they end, those that aren't zero.
#[must_use]
pub fn held(node: &Node) -> Vec<(&'static str, f64)> {
    let values = HELD.iter().map(|name| (*name, metric(node, name).unwrap_or(f64::NAN)));
    values.filter(|(_, value)| *value != 0.0).collect()
}

/// Whether a node reports that it is ready.
pub fn ready(node: &Node) -> bool {
    call::send("GET", node.readiness, "/api/ready", None, None).is_some_and(|r| r.status == 200)
}

/// Polls until `condition` is true.
///
/// # Panics
///
/// If that takes more than half a minute.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Id.
    pub id: &'a str,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Further header lines, each with its line end.
    pub headers: &'a str,
    /// Body.
    pub body: &'a str,
}

impl Default for Request<'_> {
    fn default() -> Self {
        Request {
            method: "GET",
            target: "/a/1",
            id: "r-1",
            deadline_ms: 10_000,
            headers: "",
            body: "",
        }
    }
}

impl Request<'_> {
    /// Serialises the request for a connection of its own.
    pub fn text(&self) -> String {
        self.text_with("Connection: close\r\n")
    }

    /// Serialises the request for a connection that is used again.
    pub fn text_for_kept_connection(&self) -> String {
        self.text_with("")
    }

    fn text_with(&self, connection: &str) -> String {
        let Request { method, target, id, deadline_ms, headers, body } = self;
        let length = match body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        format!(
            "{method} {target} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\n{connection}{headers}{length}\r\n{body}"
        )
    }
}

/// A response as a caller receives it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status; 0 if there was no complete response head.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// Parses a response whose body ends with the connection.
    pub fn parse(bytes: &[u8]) -> Response {
        let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
            return Response::default();
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let mut lines = head.lines();
        let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned()));
        let body = bytes[end + 4..].to_vec();
        Response { status: status.unwrap_or(0), headers: headers.collect(), body }
    }

    /// A header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Sends bytes on a new connection and reads until the other side closes it.
///
/// # Panics
///
/// If the node does not listen or does not read.
#[must_use]
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    try_exchange(address, bytes).expect("the node listens and reads")
}

/// Sends bytes on a new connection and reads until the other side closes it; an error while
/// reading, such as a reset, ends the response and is not reported.
///
/// # Errors
///
/// Any error while connecting or sending.
pub fn try_exchange(address: SocketAddr, bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(bytes)?;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    Ok(response)
}

/// Returns a route that proxies to one leaf of service `a`.
pub fn route(kind: &str) -> Value {
    json!({
        "name": "r-a", "host": "shop.example", "prefix": "/a/", "route-type": kind,
        "timeout-ms": 10_000, "target-latency-ms": 4_000, "priority": 1,
        "service": "a", "attempts": 2,
    })
}

/// Returns a route that gathers from the shards `s-0` to `s-2`.
pub fn gather(coverage: f64) -> Value {
    json!({
        "name": "r-g", "host": "shop.example", "prefix": "/g/", "route-type": "safe",
        "timeout-ms": 10_000, "target-latency-ms": 4_000, "priority": 1,
        "gather": ["s-0", "s-1", "s-2"], "attempts": 2, "top-k": 3, "min-coverage": coverage,
    })
}

/// Starts a leaf that answers every request with `body`.
pub fn serving_leaf(id: &str, body: &[u8]) -> Leaf {
    Leaf::spawn(id, Behaviour::Serve(body.to_vec()))
}
