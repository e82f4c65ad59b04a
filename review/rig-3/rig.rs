//! Common parts of the scripts of review 3: the platform's store, leafs, nodes, callers, a record.
//!
//! Only the standard library is used. The store is the project's own stand-in,
//! `jacinthfall-standin-platform`; leafs and callers are written here. Every address is a loopback
//! address on a port that was free at the start.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const EXIT_HELD: i32 = 0;
pub const EXIT_BROKEN: i32 = 1;
pub const EXIT_NOT_RUN: i32 = 2;

/// Bounds of a small deployment (`sites/sembang-cari.toml`).
pub const GRACE: Duration = Duration::from_secs(6);
/// `config-apply-ms` and `drain-ms`.
pub const BOUND_MS: u64 = 3_000;

pub mod signal {
    pub const KILL: i32 = 9;
    pub const TERM: i32 = 15;
    pub const CONT: i32 = 18;
    pub const STOP: i32 = 19;
}

mod sys {
    unsafe extern "C" {
        pub fn kill(process: i32, signal: i32) -> i32;
        pub fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
        pub fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        pub fn connect(fd: i32, address: *const Address, size: u32) -> i32;
    }

    /// `struct sockaddr_in`.
    #[repr(C)]
    pub struct Address {
        pub family: u16,
        pub port: u16,
        pub host: u32,
        pub zero: [u8; 8],
    }
}

/// Sends a signal to a process that this test started.
pub fn send_signal(process: u32, signal: i32) {
    unsafe { sys::kill(process as i32, signal) };
}

/// Connects with a small receive window and segment size, as over a narrow link.
pub fn connect_narrow(address: SocketAddr, window: i32, segment: i32) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(address) = address else { panic!("an IPv4 address") };
    const INET: i32 = 2;
    const STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let fd = unsafe { sys::socket(INET, STREAM, 0) };
    if fd < 0 {
        return Err(io::Error::last_os_error());
    }
    let stream = unsafe { TcpStream::from_raw_fd(fd) };
    for (level, name, value) in
        [(SOL_SOCKET, SO_RCVBUF, window), (IPPROTO_TCP, TCP_MAXSEG, segment)]
    {
        if unsafe { sys::setsockopt(stream.as_raw_fd(), level, name, &value, 4) } != 0 {
            return Err(io::Error::last_os_error());
        }
    }
    let raw = sys::Address {
        family: INET as u16,
        port: address.port().to_be(),
        host: u32::from(*address.ip()).to_be(),
        zero: [0; 8],
    };
    if unsafe { sys::connect(stream.as_raw_fd(), &raw, 16) } != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(stream)
}

/// The record of a run, `record.txt`, with the time since the start in each line.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn open(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| stop(&format!("{path:?}: {error}")));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn millis(&self) -> u128 {
        self.0.0.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{:>8.3} {text}", self.0.0.elapsed().as_secs_f64());
    }
}

/// Processes that were started and haven't been ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the test because it can't run, and all processes that it started.
pub fn stop(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    started.into_iter().for_each(|process| send_signal(process, signal::KILL));
    std::process::exit(EXIT_NOT_RUN)
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A process that is killed when this is dropped.
pub struct Process(pub Child);

impl Process {
    /// Takes over a process that has just been started.
    fn open(child: Child) -> Process {
        STARTED.lock().unwrap().push(child.id());
        Process(child)
    }

    pub fn signal(&self, signal: i32) {
        send_signal(self.0.id(), signal);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        STARTED.lock().unwrap().retain(|process| *process != self.0.id());
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A folder that is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn open(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|error| stop(&error.to_string()));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Ports that are given out: below those that the system uses for outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 18_000;

/// Returns a loopback address with a port that is free now and that this test hasn't given out yet.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let start = std::process::id() as usize * 97;
    for _ in 0..PORTS {
        let number = (start + NEXT.fetch_add(1, Ordering::Relaxed)) % usize::from(PORTS);
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + number as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    stop("no port is free")
}

/// The platform's store: the project's own stand-in.
pub struct Store {
    pub address: SocketAddr,
    _process: Process,
}

impl Store {
    pub fn start() -> Store {
        let mut child = Command::new("target/release/jacinthfall-standin-platform")
            .args(["--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| stop(&format!("the store's stand-in: {error}")));
        let mut line = String::new();
        let _ = BufReader::new(child.stdout.take().unwrap()).read_line(&mut line);
        let address = line.trim().strip_prefix("listening ").and_then(|text| text.parse().ok());
        let address = address.unwrap_or_else(|| stop("the store's stand-in says no address"));
        Store { address, _process: Process::open(child) }
    }

    /// Writes a key, as the operator or a leaf does; `None` removes it.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let value = value.map_or("null".to_owned(), quote);
        self.control(&format!("{{\"put\":[{{\"key\":{},\"value\":{value}}}]}}", quote(key)));
    }

    pub fn control(&self, body: &str) {
        let head = format!(
            "POST /control HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = call(self.address, head.as_bytes(), Duration::from_secs(5));
        match answer {
            Ok(answer) if answer.status == 200 => {}
            other => stop(&format!("the store's stand-in refuses {body}: {other:?}")),
        }
    }

    /// Writes the entry of a leaf.
    pub fn register(&self, leaf: &Leaf, sequence: u64, state: &str) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"warmup-left-ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            leaf.service, leaf.address, leaf.zone, leaf.born
        );
        self.put(&format!("servers/{}", leaf.id), Some(&entry));
    }
}

/// Returns a JSON string.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

/// Settings of a node, as `deploy/gateway.jsonc` renders them for a small deployment.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub addresses: SocketAddr,
    pub peers: SocketAddr,
    pub process: Process,
}

/// Addresses of a node that isn't started yet.
#[derive(Clone)]
pub struct Plan {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub addresses: SocketAddr,
    pub peers: SocketAddr,
}

impl Plan {
    pub fn new(name: &str, zone: &str) -> Plan {
        Plan {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: free_address(),
            readiness: free_address(),
            addresses: free_address(),
            peers: free_address(),
        }
    }

    /// Starts the node with the command of the deploy file.
    pub fn start(
        &self,
        folder: &Folder,
        store: SocketAddr,
        seeds: &[SocketAddr],
        bound_ms: u64,
    ) -> Node {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let settings = format!(
            r#"{{
  "node": "{}",
  "zone": "{}",
  "callers": {{ "listen": "{}" }},
  "readiness": {{ "listen": "{}" }},
  "addresses": {{ "listen": "{}", "hold_ms": 3000 }},
  "peers": {{ "listen": "{}", "seeds": "{}" }},
  "store": {{ "address": "{store}" }},
  "extra": {{ "ratio": 0.2, "floor": 52, "window_s": 10 }},
  "capacity": {{ "cores": 0.25, "link_mbps": 1000.0 }},
  "changes": {{ "configuration_ms": {bound_ms}, "drain_ms": {bound_ms} }},
  "overload": {{ "singles": "objective", "parts": "in_time", "queue": "urgency" }},
  "stop": {{ "grace_s": {} }}
}}
"#,
            self.name,
            self.zone,
            self.callers,
            self.readiness,
            self.addresses,
            self.peers,
            seeds.join(","),
            GRACE.as_secs(),
        );
        let file = folder.0.join(format!("{}.conf", self.name));
        fs::write(&file, settings).unwrap_or_else(|error| stop(&error.to_string()));
        let log = File::create(folder.0.join(format!("{}.log", self.name))).unwrap();
        let child = Command::new("target/release/jacinthfalld")
            .args(["--gateway", "--settings"])
            .arg(&file)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| stop(&format!("the node: {error}")));
        Node {
            name: self.name.clone(),
            zone: self.zone.clone(),
            callers: self.callers,
            readiness: self.readiness,
            addresses: self.addresses,
            peers: self.peers,
            process: Process::open(child),
        }
    }
}

impl Node {
    pub fn is_ready(&self) -> bool {
        let request = b"GET /api/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        call(self.readiness, request, Duration::from_secs(1)).is_ok_and(|a| a.status == 200)
    }

    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > end {
                stop(&format!("{} isn't ready after 20 s", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Asks which addresses a caller of a zone may use.
    pub fn resolve(&self, zone: &str) -> Vec<SocketAddr> {
        let request = format!(
            "GET /api/resolve?name=front.example&region=r&zone={zone} HTTP/1.1\r\nHost: node\r\n\
             Connection: close\r\n\r\n"
        );
        let answer = call(self.addresses, request.as_bytes(), Duration::from_secs(1));
        let Ok(answer) = answer else { return Vec::new() };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let list = text.split_once('[').and_then(|(_, rest)| rest.split_once(']'));
        let list = list.map_or("", |(list, _)| list);
        list.split(',').filter_map(|item| item.trim().trim_matches('"').parse().ok()).collect()
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Why there is no complete answer.
#[derive(Clone, Debug)]
pub enum Lack {
    /// The connection ended or failed after this many bytes of the body.
    Cut { body: usize, expected: Option<usize>, reason: String },
    /// Nothing came in time.
    Silent,
    /// It could not be sent.
    Unsent(String),
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(to: SocketAddr, request: &[u8], timeout: Duration) -> Result<Answer, Lack> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1));
    let mut stream = stream.map_err(|error| Lack::Unsent(error.to_string()))?;
    stream.write_all(request).map_err(|error| Lack::Unsent(error.to_string()))?;
    read_answer(&mut stream, timeout, None)
}

/// Reads an answer; `pace` is the number of bytes that are read every 10 ms at most.
pub fn read_answer(
    stream: &mut TcpStream,
    timeout: Duration,
    pace: Option<usize>,
) -> Result<Answer, Lack> {
    let end = Instant::now() + timeout;
    let mut bytes: Vec<u8> = Vec::new();
    let mut head_end = None;
    let mut expected = None;
    loop {
        if let (Some(head), Some(length)) = (head_end, expected)
            && bytes.len() >= head + length
        {
            let (status, headers) = parse_head(&bytes[..head]);
            return Ok(Answer { status, headers, body: bytes[head..head + length].to_vec() });
        }
        let now = Instant::now();
        if now >= end {
            return Err(Lack::Silent);
        }
        let _ = stream.set_read_timeout(Some(end - now));
        let mut buffer = vec![0; pace.unwrap_or(64 * 1024)];
        let cut = |reason: String| {
            Err(Lack::Cut { body: bytes.len() - head_end.unwrap_or(bytes.len()), expected, reason })
        };
        match stream.read(&mut buffer) {
            Ok(0) => return cut("the connection was closed".to_owned()),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(Lack::Silent);
            }
            Err(error) => return cut(error.to_string()),
        }
        if head_end.is_none()
            && let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n")
        {
            head_end = Some(at + 4);
            let (_, headers) = parse_head(&bytes[..at + 4]);
            expected = Some(headers.get("content-length").map_or(0, |v| v.parse().unwrap_or(0)));
        }
        if pace.is_some() {
            thread::sleep(Duration::from_millis(10));
        }
    }
}

fn parse_head(head: &[u8]) -> (u16, HashMap<String, String>) {
    let text = String::from_utf8_lossy(head);
    let mut lines = text.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok()).unwrap_or(0);
    let headers = lines.filter_map(|line| line.split_once(':'));
    (status, headers.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned())).collect())
}

/// A request as a leaf received it.
pub struct Received {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// What a leaf does with a request.
#[derive(Clone, Debug)]
pub struct Work {
    pub takes: Duration,
    pub bytes: usize,
}

/// A sound leaf.
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    /// Number of requests that it ran.
    pub ran: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
}

impl Leaf {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        record: Record,
        work: impl Fn(&Received) -> Work + Send + Sync + 'static,
    ) -> Leaf {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ran = Arc::new(AtomicUsize::new(0));
        let ended = Arc::new(AtomicBool::new(false));
        let (work, name) = (Arc::new(work), id.to_owned());
        let (count, stopped) = (Arc::clone(&ran), Arc::clone(&ended));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (work, name) = (Arc::clone(&work), name.clone());
                let (count, record) = (Arc::clone(&count), record.clone());
                thread::spawn(move || serve(stream, &name, &*work, &count, &record));
            }
        });
        Leaf {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: 1_700_000_000_000,
            ran,
            ended,
        }
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Received> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
        if &head[before..] == "\r\n" {
            break;
        }
    }
    let mut lines = head.split("\r\n");
    let mut words = lines.next()?.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers: HashMap<String, String> =
        headers.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned())).collect();
    let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Received { method, path, headers, body })
}

fn serve(
    stream: TcpStream,
    id: &str,
    work: &dyn Fn(&Received) -> Work,
    ran: &AtomicUsize,
    record: &Record,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let echoed = request.headers.get("x-request-id").cloned().unwrap_or_default();
        let (status, extra, body) = if request.path == "/healthz" {
            ("200 OK", format!("X-Instance-Id: {id}\r\n"), Vec::new())
        } else if request.headers.get("x-expect-instance").is_some_and(|wanted| wanted != id) {
            ("421 Misdirected Request", "X-Not-Run: 1\r\n".to_owned(), Vec::new())
        } else {
            let work = work(&request);
            ran.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("leaf {id} runs {echoed}, {} bytes", work.bytes));
            thread::sleep(work.takes);
            ("200 OK", format!("X-Response-Stamp: {id}.{echoed}\r\n"), vec![b'x'; work.bytes])
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Request-Id: {echoed}\r\n{extra}X-Server-Load: 1,0,6\r\n\
             Keep-Alive: timeout=15\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&body)).is_err() {
            return;
        }
    }
}

/// Returns the operator's document with one route to one service.
pub fn configuration(version: u64, kind: &str, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-fetch","host":"front.example","prefix":"/fetch/","route-type":"{kind}","service":"{service}","timeout-ms":6000,"target-latency-ms":600,"attempts":2,"priority":2}}],"services":[{{"name":"{service}","health-path":"/healthz","max-connections":96}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}
