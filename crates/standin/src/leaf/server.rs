//! Serves simulated leafs over HTTP/2.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::StatusCode;
use jacinthfall_core::id;
use jacinthfall_core::leaf::{Query, Refusal, Reply};
use jacinthfall_net::clock::Clock;
use jacinthfall_net::server::{Handler, Request, Response, Server};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::leaf::control::{Change, Report};
use crate::leaf::fault::Sending;
use crate::leaf::settings::Settings;
use crate::leaf::slots::Ticket;
use crate::leaf::state::{Arrival, Now, Run, State, Wake};

/// Largest number of open connections to the control address.
const CONTROL_CONNECTIONS: usize = 64;

/// All leafs of a process and the servers that they listen on.
#[derive(Debug)]
pub struct Process {
    leafs: Vec<Arc<Leaf>>,
    servers: Vec<(id::Name, Server)>,
    control: Option<Server>,
}

impl Process {
    /// Binds every leaf, and the control address if there is one.
    ///
    /// # Errors
    ///
    /// Any error of the operating system while binding.
    pub async fn bind(settings: &Settings) -> io::Result<Process> {
        let clock = Clock::open();
        let leafs: Vec<_> = settings.leafs().into_iter().collect();
        let listens: Vec<_> = leafs.iter().map(|leaf| (leaf.listen, leaf.connections)).collect();
        let leafs: Vec<_> =
            leafs.into_iter().map(|leaf| Leaf::open(settings.seed, leaf, clock)).collect();
        let all: Arc<[Arc<Leaf>]> = leafs.iter().cloned().collect();
        let mut servers = Vec::new();
        for (leaf, (listen, connections)) in leafs.iter().zip(listens) {
            let handler = Endpoint { leaf: Some(Arc::clone(leaf)), all: Arc::clone(&all) };
            let server = Server::bind(listen, connections, handler).await?;
            servers.push((leaf.name.clone(), server));
        }
        let control = match settings.control {
            Some(listen) => {
                let handler = Endpoint { leaf: None, all };
                Some(Server::bind(listen, CONTROL_CONNECTIONS, handler).await?)
            }
            None => None,
        };
        Ok(Process { leafs, servers, control })
    }

    /// Address of each leaf.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<id::Name, SocketAddr> {
        self.servers.iter().map(|(name, server)| (name.clone(), server.address())).collect()
    }

    /// Address that serves `/control` without the limits of any leaf.
    #[must_use]
    pub fn control(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::address)
    }

    /// Applies a change, as `/control` does.
    ///
    /// # Errors
    ///
    /// A message that names the violated rule.
    pub fn change(&self, change: &Change) -> Result<Report, String> {
        change_all(&self.leafs, change)
    }
}

/// A leaf with its clock and its state, which connections share.
#[derive(Debug)]
struct Leaf {
    name: id::Name,
    clock: Clock,
    shared: Mutex<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: State,
    /// Senders that wake the parts in the queue.
    waiting: BTreeMap<Ticket, oneshot::Sender<Result<Run, Refusal>>>,
}

/// Handler of an address: serves one leaf and `/control`, or only `/control`.
#[derive(Debug)]
struct Endpoint {
    leaf: Option<Arc<Leaf>>,
    all: Arc<[Arc<Leaf>]>,
}

impl Handler for Endpoint {
    async fn handle(&self, request: Request) -> Option<Response> {
        match (request.path.as_str(), &self.leaf) {
            ("/part", Some(leaf)) => leaf.serve(&request).await,
            ("/load", Some(leaf)) => Some(leaf.load()),
            ("/control", _) => Some(self.control(&request)),
            _ => Some(Response::new(StatusCode::NOT_FOUND, "use /part, /load or /control")),
        }
    }

    async fn on_connect(&self, _peer: SocketAddr) {
        let Some(leaf) = &self.leaf else { return };
        let cost = {
            let mut shared = leaf.lock();
            shared.state.count_connection();
            shared.state.settings().connect
        };
        if !cost.is_zero() {
            tokio::time::sleep(cost).await;
        }
    }

    fn on_limit_exceeded(&self, _peer: SocketAddr) {
        if let Some(leaf) = &self.leaf {
            leaf.lock().state.count_refused_connection();
        }
    }
}

impl Endpoint {
    fn control(&self, request: &Request) -> Response {
        let change: Change = match serde_json::from_slice(&request.body) {
            Ok(change) => change,
            Err(error) => return Response::new(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match change_all(&self.all, &change) {
            Ok(report) => json(StatusCode::OK, &report),
            Err(message) => Response::new(StatusCode::BAD_REQUEST, message),
        }
    }
}

fn change_all(leafs: &[Arc<Leaf>], change: &Change) -> Result<Report, String> {
    let is_selected =
        |leaf: &&Arc<Leaf>| change.leaf.as_ref().is_none_or(|name| *name == leaf.name);
    let mut report = Report::default();
    for leaf in leafs.iter().filter(is_selected) {
        let now = leaf.now();
        let mut shared = leaf.lock();
        let wakes = shared.state.change(now, change)?;
        shared.wake(wakes);
        report.leafs.push(shared.state.report(change.runs));
    }
    match report.leafs.is_empty() {
        true => Err("no leaf of this process has this name; correct `leaf` or omit it".into()),
        false => Ok(report),
    }
}

impl Leaf {
    fn open(seed: u64, settings: crate::leaf::settings::Leaf, clock: Clock) -> Arc<Leaf> {
        let name = settings.name.clone();
        let now = Now { time: clock.time(), wall: clock.wall() };
        let state = State::new(seed, settings, now);
        let shared = Mutex::new(Shared { state, waiting: BTreeMap::new() });
        Arc::new(Leaf { name, clock, shared })
    }

    fn now(&self) -> Now {
        Now { time: self.clock.time(), wall: self.clock.wall() }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> Response {
        let load = self.lock().state.load(self.now());
        json(StatusCode::OK, &load)
    }

    /// Serves a part. If its stream is reset, the future is dropped, which frees the slot or
    /// removes the part from the queue.
    async fn serve(&self, request: &Request) -> Option<Response> {
        let query: Query = match serde_json::from_slice(&request.body) {
            Ok(query) => query,
            Err(error) => {
                return Some(Response::new(StatusCode::BAD_REQUEST, error.to_string()));
            }
        };
        let (run, reservation) = match self.start(&query).await {
            Ok(started) => started,
            Err(refusal) => return Some(json(status(&refusal), &refusal)),
        };
        if !run.delay.is_zero() {
            tokio::time::sleep(run.delay).await;
        }
        match reservation.finish(&run, &query) {
            Sending::Whole(reply) => Some(json(StatusCode::OK, &reply)),
            Sending::Half(reply) => Some(half(&reply)),
            Sending::Delayed(reply, delay) => {
                tokio::time::sleep(delay).await;
                Some(json(StatusCode::OK, &reply))
            }
            Sending::Reset => None,
        }
    }

    /// Waits until a part has a slot, unless it is refused.
    async fn start(&self, query: &Query) -> Result<(Run, Reservation<'_>), Refusal> {
        let (ticket, waiting) = {
            let now = self.now();
            let mut shared = self.lock();
            match shared.state.arrive(now, query) {
                Arrival::Refused(refusal) => return Err(refusal),
                Arrival::Started(run) => {
                    let reservation = Reservation { leaf: self, ticket: Some(run.ticket) };
                    return Ok((run, reservation));
                }
                Arrival::Queued(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    shared.waiting.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let reservation = Reservation { leaf: self, ticket: Some(ticket) };
        let run = waiting.await.unwrap_or(Err(Refusal::Overloaded))?;
        Ok((run, reservation))
    }
}

impl Shared {
    fn wake(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            if let Some(sender) = self.waiting.remove(&wake.ticket) {
                // If the part was cancelled meanwhile, its reservation frees the slot.
                let _ = sender.send(wake.result);
            }
        }
    }
}

/// Slot or queue entry of a part, freed on drop.
struct Reservation<'a> {
    leaf: &'a Leaf,
    ticket: Option<Ticket>,
}

impl Reservation<'_> {
    fn finish(mut self, run: &Run, query: &Query) -> Sending {
        self.ticket = None;
        let now = self.leaf.now();
        let mut shared = self.leaf.lock();
        let (sending, wakes) = shared.state.finish(now, run, query);
        shared.wake(wakes);
        sending
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let now = self.leaf.now();
        let mut shared = self.leaf.lock();
        shared.waiting.remove(&ticket);
        let wakes = shared.state.cancel(now, ticket);
        shared.wake(wakes);
    }
}

fn status(refusal: &Refusal) -> StatusCode {
    match refusal {
        Refusal::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        Refusal::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::Version { .. } => StatusCode::CONFLICT,
        Refusal::Shard => StatusCode::GONE,
        Refusal::Expired => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Response with the first half of the encoded reply.
fn half(reply: &Reply) -> Response {
    let response = json(StatusCode::OK, reply);
    let length = response.body.len() / 2;
    Response::new(response.status, response.body.slice(..length))
}

fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(status, body),
        Err(error) => Response::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
