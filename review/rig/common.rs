//! Stand-ins for the scripts of this review, with the standard library only: the platform's store,
//! HTTP for leafs and consumers, and the start and end of gateway nodes.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

static START: OnceLock<Instant> = OnceLock::new();

/// Ids of the processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Time after which a script gives up, and ends the processes that it started.
const TIME_LIMIT: Duration = Duration::from_secs(117);

fn spawn_watchdog() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        for id in CHILDREN.lock().unwrap().iter() {
            kill("KILL", *id);
        }
        println!("not done after {TIME_LIMIT:?}");
        std::process::exit(COULD_NOT_RUN);
    });
}

/// Sends a signal to one process, by its id.
fn kill(signal: &str, id: u32) {
    let id = id.to_string();
    let _ = Command::new("sh").args(["-c", "kill -s \"$0\" \"$1\"", signal, &id]).status();
}

/// Milliseconds since the start of the script.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Whether the disruption is to be brought about.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The file `record.txt`: one line for each thing sent, answered and run.
pub struct Record(Mutex<File>);

impl Record {
    pub fn open(folder: &Path) -> Record {
        Record(Mutex::new(File::create(folder.join("record.txt")).expect("record.txt")))
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.0.lock().unwrap(), "{:>7} ms  {text}", now_ms());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Small deterministic random numbers.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1

/// A request or response: first line, headers in lower case, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head and a body that has a length, chunks or (if `to_end`) the end of the connection.
/// `Ok(None)`: the connection ended before the first byte.
pub fn read_message(
    reader: &mut BufReader<TcpStream>,
    to_end: bool,
) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            if message.first.is_empty() {
                return Ok(None);
            }
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            break;
        }
        if message.first.is_empty() {
            message.first = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            chunk.truncate(size);
            message.body.extend(chunk);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length").and_then(|l| l.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if to_end && message.status() >= 200 {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Formats a response with a length.
pub fn response(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    bytes
}

/// Calls `serve` in a thread of its own for each connection.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = Arc::clone(&serve);
            thread::Builder::new().stack_size(256 * 1024).spawn(move || serve(stream)).ok();
        }
    });
    address
}

/// A consumer's connection to a node, kept for many requests.
pub struct Connection {
    pub address: SocketAddr,
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Connection { address, reader, writer })
    }

    /// Sends a request and reads the answer, within `limit`.
    pub fn ask(&mut self, bytes: &[u8], limit: Duration) -> std::io::Result<Message> {
        self.writer.set_read_timeout(Some(limit))?;
        self.writer.write_all(bytes)?;
        let message = read_message(&mut self.reader, true)?;
        message.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
    }
}

/// Formats a consumer's request.
pub fn request(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    if !body.is_empty() || method != "GET" {
        bytes.extend(format!("Content-Length: {}\r\n", body.len()).into_bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

// ---------------------------------------------------------------------------------------------
// JSON and base64, as far as the store needs them

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.as_bytes();
        parse_json(&mut rest)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(rows) => rows.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

fn skip_space(rest: &mut &[u8]) {
    while let Some(byte) = rest.first() {
        if !byte.is_ascii_whitespace() {
            break;
        }
        *rest = &rest[1..];
    }
}

fn parse_json(rest: &mut &[u8]) -> Option<Json> {
    skip_space(rest);
    match *rest.first()? {
        b'"' => Some(Json::Text(parse_text(rest)?)),
        b'[' => {
            *rest = &rest[1..];
            let mut list = Vec::new();
            loop {
                skip_space(rest);
                if *rest.first()? == b']' {
                    *rest = &rest[1..];
                    return Some(Json::List(list));
                }
                if *rest.first()? == b',' {
                    *rest = &rest[1..];
                    continue;
                }
                list.push(parse_json(rest)?);
            }
        }
        b'{' => {
            *rest = &rest[1..];
            let mut rows = Vec::new();
            loop {
                skip_space(rest);
                match *rest.first()? {
                    b'}' => {
                        *rest = &rest[1..];
                        return Some(Json::Table(rows));
                    }
                    b',' => *rest = &rest[1..],
                    _ => {
                        let key = parse_text(rest)?;
                        skip_space(rest);
                        if *rest.first()? != b':' {
                            return None;
                        }
                        *rest = &rest[1..];
                        rows.push((key, parse_json(rest)?));
                    }
                }
            }
        }
        _ => {
            let end = rest
                .iter()
                .position(|b| matches!(b, b',' | b']' | b'}') || b.is_ascii_whitespace())
                .unwrap_or(rest.len());
            let word = std::str::from_utf8(&rest[..end]).ok()?;
            *rest = &rest[end..];
            Some(match word {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                number => Json::Number(number.parse().ok()?),
            })
        }
    }
}

fn parse_text(rest: &mut &[u8]) -> Option<String> {
    if *rest.first()? != b'"' {
        return None;
    }
    *rest = &rest[1..];
    let mut bytes = Vec::new();
    loop {
        let byte = *rest.first()?;
        *rest = &rest[1..];
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let escaped = *rest.first()?;
                *rest = &rest[1..];
                bytes.push(match escaped {
                    b'n' => b'\n',
                    b't' => b'\t',
                    other => other,
                });
            }
            other => bytes.push(other),
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const TABLE: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(TABLE[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes, oldest first: key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, at))| *at <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

/// The platform's store, as PROTOCOL.md tells it, without rate limits.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    pub fn spawn() -> Store {
        let data = Data { revision: 100, next_lease: 7_000, ..Data::default() };
        let shared = Arc::new((Mutex::new(data), Condvar::new()));
        let state = Arc::clone(&shared);
        let address = listen(move |stream| {
            let Ok(clone) = stream.try_clone() else { return };
            let (mut reader, mut writer) = (BufReader::new(clone), stream);
            while let Ok(Some(call)) = read_message(&mut reader, false) {
                let (status, body) = answer_call(&state, &call);
                let json = [("Content-Type", "application/json".to_owned())];
                if writer.write_all(&response(status, &json, body.as_bytes())).is_err() {
                    break;
                }
            }
        });
        Store { address, shared }
    }

    /// Writes a key, as the operator or a leaf does.
    pub fn put(&self, key: &str, text: &str) {
        let (data, changed) = &*self.shared;
        let mut data = data.lock().unwrap();
        data.revision += 1;
        data.put(key, base64(text.as_bytes()), 0);
        changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let (data, changed) = &*self.shared;
        let mut data = data.lock().unwrap();
        data.revision += 1;
        data.remove(key);
        changed.notify_all();
    }
}

fn query(target: &str, name: &str) -> String {
    let fields = target.split_once('?').map_or("", |(_, fields)| fields);
    let mut fields = fields.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(key, _)| *key == name).map_or(String::new(), |(_, value)| value.to_owned())
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create-revision\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn answer_call(shared: &(Mutex<Data>, Condvar), call: &Message) -> (&'static str, String) {
    let (data, changed) = shared;
    let mut data = data.lock().unwrap();
    data.expire();
    let target = call.target().to_owned();
    let path = target.split('?').next().unwrap_or("");
    match (call.method(), path) {
        ("GET", "/api/kv-key") => match data.items.get(&query(&target, "key")) {
            Some(item) => ("200 OK", item_json(&query(&target, "key"), item)),
            None => ("404 Not Found", "{}".to_owned()),
        },
        ("GET", "/api/kv-range") => {
            let (prefix, after) = (query(&target, "prefix"), query(&target, "after"));
            let listed =
                data.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let items: Vec<String> = listed.map(|(key, item)| item_json(key, item)).collect();
            let (page, more) = (items.len().min(500), items.len() > 500);
            let items = items[..page].join(",");
            let as_of = data.revision;
            ("200 OK", format!("{{\"items\":[{items}],\"has-more\":{more},\"as-of\":{as_of}}}"))
        }
        ("GET", "/api/kv-watch") => {
            let (prefix, after) = (query(&target, "prefix"), query(&target, "after"));
            let after: u64 = after.parse().unwrap_or(0);
            let wait: u64 = query(&target, "wait-ms").parse().unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(wait.min(30_000));
            loop {
                data.expire();
                let events: Vec<String> = data
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                    .map(|(revision, key, item)| match item {
                        Some(item) => item_json(key, item),
                        None => format!(
                            "{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"
                        ),
                    })
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let (events, as_of) = (events.join(","), data.revision);
                    return ("200 OK", format!("{{\"events\":[{events}],\"as-of\":{as_of}}}"));
                }
                data = changed.wait_timeout(data, left.min(Duration::from_millis(200))).unwrap().0;
            }
        }
        ("POST", "/api/kv-lease") => {
            let ttl = body_json(call).get("ttl-ms").map_or(10_000, Json::number);
            data.next_lease += 1;
            let lease = data.next_lease;
            let ttl_time = Duration::from_millis(ttl);
            data.leases.insert(lease, (ttl_time, Instant::now() + ttl_time));
            ("200 OK", format!("{{\"lease\":{lease},\"ttl-ms\":{ttl}}}"))
        }
        ("POST", "/api/kv-txn") => {
            let body = body_json(call);
            let list = |name: &str| body.get(name).map_or(Vec::new(), |list| list.list().to_vec());
            for row in list("precondition") {
                let key = row.get("key").map_or("", Json::text);
                let now = data.items.get(key).map_or(0, |item| item.revision);
                if now != row.get("revision").map_or(0, Json::number) {
                    let item = data.items.get(key).map(|item| item_json(key, item));
                    let items = item.unwrap_or_default();
                    return ("412 Precondition Failed", format!("{{\"items\":[{items}]}}"));
                }
            }
            let puts = list("puts");
            let lease_of = |put: &Json| put.get("lease").map_or(0, Json::number);
            if puts.iter().any(|put| lease_of(put) > 0 && !data.leases.contains_key(&lease_of(put)))
            {
                return ("404 Not Found", "{}".to_owned());
            }
            data.revision += 1;
            for put in &puts {
                let key = put.get("key").map_or("", Json::text);
                let value = put.get("value").map_or("", Json::text).to_owned();
                data.put(key, value, lease_of(put));
            }
            for key in list("remove") {
                data.remove(key.text());
            }
            changed.notify_all();
            ("200 OK", format!("{{\"revision\":{}}}", data.revision))
        }
        ("POST", path) if path.starts_with("/api/kv-keep/") => {
            let lease: u64 = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
            match data.leases.get_mut(&lease) {
                Some((ttl, at)) => {
                    *at = Instant::now() + *ttl;
                    ("200 OK", format!("{{\"ttl-ms\":{}}}", ttl.as_millis()))
                }
                None => ("404 Not Found", "{}".to_owned()),
            }
        }
        ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
            let lease: u64 = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
            data.end_lease(lease);
            changed.notify_all();
            ("200 OK", "{}".to_owned())
        }
        _ => ("404 Not Found", "{}".to_owned()),
    }
}

fn body_json(call: &Message) -> Json {
    Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null)
}

/// Unix time in milliseconds, for the field `born` of a leaf's entry.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The entry of a leaf under `servers/ID`.
pub fn leaf_entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    born: u64,
    sequence: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"warmup-left-ms\":0,\
         \"sequence\":{sequence},\"born\":{born}}}"
    )
}

pub const LIMITS: &str = "{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\
     \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}";

// ---------------------------------------------------------------------------------------------
// Gateway nodes

/// A running node of the project: the program and the template of `deploy/system.toml`.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
    pub zone: String,
    pub child: Child,
    log: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        CHILDREN.lock().unwrap().retain(|other| *other != id);
    }
}

/// Figures of the deployment that the template needs.
#[derive(Clone)]
pub struct Bounds {
    pub retry_ratio: &'static str,
    pub retry_min: &'static str,
    pub window_s: &'static str,
    pub cores: &'static str,
    pub link_mbps: &'static str,
    pub grace_s: &'static str,
    /// Window, overage and slack of quotas.
    pub quota: Option<[&'static str; 3]>,
}

/// Addresses that are free for TCP and UDP, below the ports that outgoing connections get.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
    let mut rng = Rng::new(u64::from(nanos) ^ u64::from(std::process::id()) << 32);
    let mut held = Vec::new();
    while held.len() < count {
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (rng.next() % 19_000) as u16));
        if let (Ok(tcp), Ok(udp)) = (TcpListener::bind(address), UdpSocket::bind(address)) {
            held.push((tcp, udp));
        }
    }
    held.iter().map(|(tcp, _)| tcp.local_addr().unwrap()).collect()
}

/// Starts nodes, one for each zone named, and waits until all are ready.
pub fn start_nodes(
    root: &Path,
    work: &Path,
    store: SocketAddr,
    zones: &[&str],
    b: &Bounds,
) -> Vec<Node> {
    let template = fs::read_to_string(root.join("deploy/gateway.jsonc")).expect("the template");
    let mut free = free_addresses(5 * zones.len()).into_iter();
    let mut next = || free.next().expect("enough addresses");
    let peers: Vec<SocketAddr> = zones.iter().map(|_| next()).collect();
    let seeds: Vec<String> = peers.iter().take(3).map(SocketAddr::to_string).collect();
    let mut nodes = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let (callers, readiness, directory) = (next(), next(), next());
        let name = format!("front-{zone}-{}", index + 1);
        let mut text = template.clone();
        let section = |text: String, quota: bool| {
            let (open, close) = ("{{#bounds.quota-window-s}}", "{{/bounds.quota-window-s}}");
            match (text.find(open), text.find(close)) {
                (Some(a), Some(z)) if !quota => {
                    format!("{}{}", &text[..a], &text[z + close.len()..])
                }
                _ => text.replace(open, "").replace(close, ""),
            }
        };
        text = section(text, b.quota.is_some());
        let quota = b.quota.unwrap_or(["", "", ""]);
        let fields = [
            ("node", name.clone()),
            ("zone", (*zone).to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("listen.front", callers.to_string()),
            ("listen.readiness", readiness.to_string()),
            ("listen.directory", directory.to_string()),
            ("listen.control", peers[index].to_string()),
            ("seeds", seeds.join(",")),
            ("platform.address", store.to_string()),
            ("bounds.retry-budget-ratio", b.retry_ratio.to_owned()),
            ("bounds.retry-budget-min", b.retry_min.to_owned()),
            ("bounds.budget-window-s", b.window_s.to_owned()),
            ("limits.cpu-share", b.cores.to_owned()),
            ("limits.link-mbps", b.link_mbps.to_owned()),
            ("bounds.grace-s", b.grace_s.to_owned()),
            ("bounds.quota-window-s", quota[0].to_owned()),
            ("bounds.quota-overage", quota[1].to_owned()),
            ("bounds.quota-slack", quota[2].to_owned()),
        ];
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        // The nodes share one address here, so that of the metrics needs a free port.
        text = text.replace("127.0.0.1:9464", &next().to_string());
        let settings = work.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("settings");
        let log = work.join(format!("{name}.log"));
        let child = launch(root, &settings, &log);
        nodes.push(Node {
            name,
            callers,
            readiness,
            directory,
            peers: peers[index],
            zone: (*zone).to_owned(),
            child,
            log,
        });
    }
    for node in &nodes {
        if !wait_ready(node, 15_000) {
            println!("{} doesn't become ready", node.name);
            drop(nodes);
            std::process::exit(COULD_NOT_RUN);
        }
    }
    nodes
}

fn launch(root: &Path, settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
    let child = Command::new(root.join("target/release/jacinthfalld"))
        .args(["--gateway", "--settings"])
        .arg(settings)
        .env_clear()
        .env("RUST_LOG", "info")
        .env("JACINTHFALL_NODE_FILE", settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("target/release/jacinthfalld");
    CHILDREN.lock().unwrap().push(child.id());
    child
}

impl Node {
    /// Sends a signal by its name, to this process only.
    pub fn signal(&self, name: &str) {
        kill(name, self.child.id());
    }

    pub fn log_text(&self) -> String {
        String::from_utf8_lossy(&fs::read(&self.log).unwrap_or_default()).into_owned()
    }
}

pub fn is_ready(node: &Node) -> bool {
    let ready = request("GET", "/api/ready", &[("Host", "ready".to_owned())], b"");
    let answer = Connection::open(node.readiness)
        .and_then(|mut connection| connection.ask(&ready, Duration::from_secs(1)));
    answer.is_ok_and(|answer| answer.status() == 200)
}

pub fn wait_ready(node: &Node, limit_ms: u64) -> bool {
    let end = now_ms() + limit_ms;
    while now_ms() < end {
        if is_ready(node) {
            return true;
        }
        sleep_ms(50);
    }
    false
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn open() -> Folder {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("jacinthfall-review-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Arguments of a case: the root of the repository, the folder of the case, and a variant.
pub fn arguments() -> (PathBuf, PathBuf, String) {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (Some(root), Some(case)) = (arguments.first(), arguments.get(1)) else {
        println!("usage: PROGRAM ROOT CASE [VARIANT]");
        std::process::exit(COULD_NOT_RUN);
    };
    now_ms();
    spawn_watchdog();
    (root.into(), case.into(), arguments.get(2).cloned().unwrap_or_default())
}
