//! A running node: connects the decision cores to sockets, clocks and threads.
//!
//! A decision core (the claim, config, member, read and fate crates) does no I/O: it
//! turns events into actions. [`Daemon::spawn`] binds the listeners and starts the
//! threads. Events are queued as jobs ([`job`]) for a pool of workers ([`worker`]),
//! which pass them to the cores ([`drive`]). The actions are carried out by the
//! modules that communicate with leafs ([`leafs`]), other nodes ([`peers`]), the
//! platform ([`store`]), callers ([`callers`]) and operators ([`operators`]).
//! [`context`] documents the lock order.

pub mod asks;
pub mod broadcasts;
pub mod callers;
pub mod change;
pub mod context;
pub mod drive;
pub mod lookups;

pub mod job;
pub mod leafs;
pub mod listener;
pub mod operators;
pub mod peers;
pub mod receive;
pub mod recent;
pub mod settings;
pub mod state;
pub mod stop;
pub mod store;
pub mod timer;
pub mod worker;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, OnceLock, RwLock};

use crossbeam::channel::unbounded;
use http::HeaderValue;
use jacinthfall_adapter::store::Client as Platform;
use jacinthfall_claim as claim;
use jacinthfall_config as config;
use jacinthfall_core::id;
use jacinthfall_fate as fate;
use jacinthfall_member as member;
use jacinthfall_net::clock::Clock;
use jacinthfall_net::server::Server;
use jacinthfall_timeline as timeline;
use jacinthfall_wire::member::{Rumor, State as Liveness};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::runtime::Runtime;
use tokio::sync::OnceCell;

use asks::Asks;
use broadcasts::Broadcasts;
use context::{Configuration, Context, Cores};
use leafs::Leafs;
use lookups::Lookups;
use peers::{Frames, Peers};
use recent::Recent;
use settings::Settings;
use state::{Phase, State};
use timer::Timer;

/// Version of the running program.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Addresses that the listeners of a node are bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
}

/// A running node.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    runtime: Runtime,
    addresses: Addresses,
    /// Server for the frames of other nodes; it stops when dropped.
    _server: Server,
}

impl Daemon {
    /// Binds all listeners and starts the node.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if a listener can't be bound or a thread
    /// can't be started.
    pub fn spawn(settings: Settings, metrics: PrometheusHandle) -> io::Result<Daemon> {
        let runtime = jacinthfall_net::runtime(settings.limits.socket_threads)?;
        let limits = &settings.limits;
        let peer_listen = settings.peers.listen;
        let peer_connections = limits.peer_connections;
        let (workers, timeline_capacity) = (limits.workers, limits.timeline);
        let http_limits = listener::Limits { connections: limits.connections, stall: limits.stall };
        let (callers, operators) = (settings.callers.listen, settings.operators.listen);

        // The listeners need the context, but the context needs the bound addresses of
        // the listeners for peers and callers. Until the cell is set, callers and
        // operators get status 503 and streams of other nodes are closed.
        let context_cell: Arc<OnceCell<Arc<Context>>> = Arc::new(OnceCell::new());
        let frames = Frames { context: Arc::clone(&context_cell) };
        let server = runtime.block_on(Server::bind(peer_listen, peer_connections, frames))?;
        let callers = bind(&context_cell, callers, http_limits, callers::serve)?;
        let serve = move |context: &Arc<Context>, request: &mut _| {
            operators::serve(context, &metrics, request)
        };
        let operators = bind(&context_cell, operators, http_limits, serve)?;
        let addresses = Addresses { callers, operators, peers: server.address() };

        let (jobs, queue) = unbounded();
        let context =
            Arc::new(open_context(settings, &runtime, jobs, &addresses, timeline_capacity)?);
        let _ = context_cell.set(Arc::clone(&context));
        worker::spawn(&context, &queue, workers)?;
        let own_rumor = own_rumor(&context.settings, &context.origin, &addresses);
        runtime.spawn(store::register(Arc::clone(&context), own_rumor));
        runtime.spawn(store::poll_vms(Arc::clone(&context)));
        start_cores(&context);
        Ok(Daemon { context, runtime, addresses, _server: server })
    }

    /// Returns the addresses that the node listens on.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Starts a planned stop; [`Daemon::wait`] returns when it has finished.
    pub fn stop(&self) {
        self.context.state.advance(Phase::Leaving);
    }

    /// Returns the state that the modules of the node share.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Waits for a planned stop to be requested and carries it out.
    #[must_use]
    pub fn wait(self) -> stop::End {
        let end = stop::run(&self.context);
        self.runtime.shutdown_background();
        end
    }
}

/// Binds an HTTP/1.1 listener that replies with status 503 until the context is set.
fn bind(
    context_cell: &Arc<OnceCell<Arc<Context>>>,
    listen: SocketAddr,
    limits: listener::Limits,
    serve: impl Fn(
        &Arc<Context>,
        &mut oxhttp::model::Request<oxhttp::model::Body>,
    ) -> oxhttp::model::Response<oxhttp::model::Body>
    + Send
    + Sync
    + 'static,
) -> io::Result<SocketAddr> {
    let context_cell = Arc::clone(context_cell);
    listener::bind(listen, limits, move |request| match context_cell.get() {
        Some(context) => serve(context, request),
        None => {
            let text = "the node is starting; try again\n";
            listener::text_response(http::StatusCode::SERVICE_UNAVAILABLE, text)
        }
    })
}

fn open_context(
    settings: Settings,
    runtime: &Runtime,
    jobs: crossbeam::channel::Sender<job::Job>,
    addresses: &Addresses,
    timeline_capacity: usize,
) -> io::Result<Context> {
    let clock = Clock::open();
    let origin = id::Incarnation { node: settings.node.clone(), started: clock.wall().0 };
    let own_rumor = own_rumor(&settings, &origin, addresses);
    let token = HeaderValue::from_str(&settings.peers.token).map_err(io::Error::other)?;
    Ok(Context {
        cores: open_cores(&settings, &origin, &own_rumor),
        view: RwLock::new(Arc::from([own_rumor])),
        state: State::open(),
        configuration: RwLock::new(Configuration::default()),
        asks: Mutex::new(Asks::default()),
        recent_ids: Mutex::new(Recent::default()),
        lookups: Lookups::default(),
        broadcasts: Broadcasts::default(),
        timeline: Mutex::new(timeline::Ring::open(origin.clone(), timeline_capacity)),
        timer: Timer::spawn(clock, jobs.clone())?,
        leafs: Leafs::open(runtime.handle().clone(), jobs.clone()),
        peers: Peers::open(runtime.handle().clone(), token),
        platform: Platform::open(settings.platform.address),
        claims_era: OnceLock::new(),
        runtime: runtime.handle().clone(),
        tokens: AtomicU64::new(1),
        jobs,
        clock,
        origin,
        settings,
    })
}

/// Returns the membership entry that this node publishes about itself.
fn own_rumor(settings: &Settings, origin: &id::Incarnation, addresses: &Addresses) -> Rumor {
    Rumor {
        node: origin.clone(),
        sequence: 0,
        state: Liveness::Alive,
        zone: settings.zone.clone(),
        peer_address: addresses.peers,
        caller_address: addresses.callers,
    }
}

fn open_cores(settings: &Settings, origin: &id::Incarnation, own_rumor: &Rumor) -> Cores {
    let (node, zone) = (settings.node.clone(), settings.zone.clone());
    // Every incarnation of every node uses its own random number sequence.
    let seed = jacinthfall_core::hash::digest(origin.to_string().as_bytes());
    let config_peer = config::Peer { node: node.clone(), zone: zone.clone() };
    let fate_peer = fate::Peer { node, started: origin.started, zone };
    Cores {
        read_engines: RwLock::new(BTreeMap::new()),
        claim: Mutex::new(claim::Engine::open(origin.clone(), claim::Settings::default())),
        config: Mutex::new(config::Engine::open(config_peer, seed)),
        member: Mutex::new(member::Engine::open(own_rumor.clone(), seed)),
        fate: Mutex::new(fate::Keeper::open(fate_peer, settings.fates.clone(), seed)),
    }
}

/// Wakes every core once, so that it starts its periodic work.
fn start_cores(context: &Arc<Context>) {
    use job::Job;
    use timer::Core;

    for core in [Core::Member, Core::Config, Core::Claim, Core::Fate] {
        context.post(Job::Wake(core));
    }
}
