//! Callers of a soak. They keep their connections, and use the open ones until the process at the
//! other end is gone, whether or not it is still named to callers.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{NOT_RUN, SERVICES, Shared, organisations};
use crate::gateway::site::{Request, Response};

/// Time without a byte after which a connection counts as broken: a node that is frozen in between
/// answers later than a caller's deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that a caller waits for an answer, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// Share of the requests that are sent over a connection that is open, if there is one.
const KEPT_SHARE: f64 = 0.7;

/// A request that was sent and whose connection ended without a complete response.
#[derive(Clone, Debug)]
pub(super) struct Lost {
    pub(super) id: String,
    /// Address of the node that it was sent to.
    pub(super) node: SocketAddr,
    pub(super) sent: Instant,
}

/// Sends requests to random nodes and checks the answers, until the soak stops.
pub(super) fn run(shared: &Shared, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut connections = Connections::default();
    while !shared.stop.load(Ordering::Relaxed) {
        let Some(node) = choose(shared, &connections, &mut rng) else { continue };
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let is_gather = rng.random_bool(0.5);
        // Ids of requests that must not run twice begin with `u`.
        let id = format!("{}-{number:06}", if is_gather { "g" } else { "u" });
        let (method, target) = if is_gather { ("GET", "/g/1") } else { ("POST", "/a/1") };
        let headers = organisations::headers(organisations::of(number));
        let deadline_ms = DEADLINE_MS;
        let request = Request { method, target, id: &id, deadline_ms, headers: &headers, body: "" };
        let sent = Instant::now();
        let response = match connections.exchange(node, &request) {
            Ok(response) => response,
            Err(Failure::Unsent) => Response::default(),
            Err(Failure::Broken) => {
                shared.lost.lock().expect("not poisoned").push(Lost { id: id.clone(), node, sent });
                Response::default()
            }
        };
        check_answer(shared, &id, is_gather, &response);
        let mut statuses = shared.statuses.lock().expect("not poisoned");
        *statuses.entry(response.status).or_default() += 1;
        drop(statuses);
        thread::sleep(Duration::from_millis(rng.random_range(1..15)));
    }
}

/// Chooses a node that the caller has a connection to, or one that is named to callers.
fn choose(shared: &Shared, connections: &Connections, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
    let is_kept = rng.random_bool(KEPT_SHARE);
    let open = connections.0.keys().copied().filter(|_| is_kept).choose(rng);
    open.or_else(|| shared.nodes.read().expect("not poisoned").choose(rng).copied())
}

/// Why there is no response.
enum Failure {
    /// The connection could not be opened.
    Unsent,
    /// It ended before the response was complete.
    Broken,
}

/// Open connections of a caller, by node.
#[derive(Default)]
struct Connections(BTreeMap<SocketAddr, BufReader<TcpStream>>);

impl Connections {
    /// Sends a request and reads its response. The connection stays open unless the node closes it.
    fn exchange(&mut self, node: SocketAddr, request: &Request<'_>) -> Result<Response, Failure> {
        let mut connection = match self.0.remove(&node) {
            Some(connection) => connection,
            None => open(node).map_err(|_| Failure::Unsent)?,
        };
        let text = request.text_for_kept_connection();
        let response = connection.get_mut().write_all(text.as_bytes());
        let response =
            response.and_then(|()| read(&mut connection)).map_err(|_| Failure::Broken)?;
        let closes = response.header("connection").is_some_and(|value| value.contains("close"));
        if !closes {
            self.0.insert(node, connection);
        }
        Ok(response)
    }
}

fn open(node: SocketAddr) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(BufReader::new(stream))
}

/// Reads a response, whose body has a length.
fn read(connection: &mut BufReader<TcpStream>) -> io::Result<Response> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if connection.read_until(b'\n', &mut head)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let mut response = Response::parse(&head);
    let length = response.header("content-length").and_then(|length| length.parse().ok());
    response.body = vec![0; length.unwrap_or(0)];
    connection.read_exact(&mut response.body)?;
    Ok(response)
}

/// Checks an answer on its own, without the runs at leafs.
fn check_answer(shared: &Shared, id: &str, is_gather: bool, response: &Response) {
    if NOT_RUN.contains(&response.status) {
        shared.record_not_run(id);
        if response.status == 503 && response.header("retry-after").is_none() {
            shared.record_violation(format!("{id}: status 503 without a Retry-After header"));
        }
    }
    if response.status != 200 {
        return;
    }
    if !is_gather {
        if response.body != id.as_bytes() {
            let body = String::from_utf8_lossy(&response.body);
            shared.record_violation(format!(
                "{id}: answered with the body `{body}` instead of the id"
            ));
        }
        return;
    }
    let stamps = response.header("x-part-stamps").unwrap_or_default();
    let stamps: Vec<&str> = stamps.split(", ").collect();
    let missing = response.header("x-missing-parts").and_then(|count| count.parse().ok());
    if stamps.len() + missing.unwrap_or(0_usize) != SERVICES.len() - 1 {
        shared.record_violation(format!(
            "{id}: stamps {stamps:?} and {missing:?} missing parts don't add up to all shards"
        ));
    }
    if stamps.iter().any(|stamp| !stamp.ends_with(&format!(".{id}"))) {
        shared.record_violation(format!("{id}: stamps of other requests: {stamps:?}"));
    }
}
