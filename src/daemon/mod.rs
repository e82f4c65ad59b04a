//! A running node: decision cores joined to sockets, clocks and threads.
//!
//! [`Daemon::spawn`] binds the listeners and starts the threads. Events reach
//! the cores through one queue ([`job`]), which a pool of workers serves
//! ([`worker`]); their actions go to the edges: leafs ([`leafs`]), other nodes
//! ([`peers`]), the platform ([`store`]), callers ([`callers`]) and operators
//! ([`operators`]). The order in which locks are taken stands at [`context`].

pub mod asks;
pub mod callers;
pub mod change;
pub mod context;
pub mod drive;
pub mod finds;
pub mod gather;

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
use std::sync::{Arc, Mutex, RwLock};

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
use context::{Context, Cores, Force};
use finds::Finds;
use gather::Gather;
use leafs::Leafs;
use peers::{Frames, Peers};
use recent::Recent;
use settings::Settings;
use state::{Phase, State};
use timer::Timer;

/// Version of the running program.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

/// A running node.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    runtime: Runtime,
    addresses: Addresses,
    /// Serves frames of other nodes until it is dropped.
    _server: Server,
}

impl Daemon {
    /// Binds all listeners and starts the node.
    ///
    /// # Errors
    ///
    /// Any error of the operating system while binding or starting threads.
    pub fn spawn(settings: Settings, metrics: PrometheusHandle) -> io::Result<Daemon> {
        let runtime = jacinthfall_net::runtime(settings.limits.socket_threads)?;
        let limits = &settings.limits;
        let listen = settings.peers.listen;
        let connections = limits.peer_connections;
        let (workers, timeline) = (limits.workers, limits.timeline);
        let edge = listener::Limits { connections: limits.connections, stall: limits.stall };
        let (callers, operators) = (settings.callers.listen, settings.operators.listen);

        // Every listener needs the context, which needs the peers' and callers'
        // addresses; requests that come before it is filled wait for it.
        let slot: Arc<OnceCell<Arc<Context>>> = Arc::new(OnceCell::new());
        let frames = Frames { context: Arc::clone(&slot) };
        let server = runtime.block_on(Server::bind(listen, connections, frames))?;
        let callers = bind(&slot, callers, edge, callers::serve)?;
        let serve = move |context: &Arc<Context>, request: &mut _| {
            operators::serve(context, &metrics, request)
        };
        let operators = bind(&slot, operators, edge, serve)?;
        let addresses = Addresses { callers, operators, peers: server.address() };

        let (jobs, queue) = unbounded();
        let context = Arc::new(open(settings, &runtime, jobs, &addresses, timeline)?);
        let _ = slot.set(Arc::clone(&context));
        worker::spawn(&context, &queue, workers)?;
        let own = own(&context.settings, &context.origin, &addresses);
        runtime.spawn(store::register(Arc::clone(&context), own));
        runtime.spawn(store::poll_vms(Arc::clone(&context)));
        start(&context);
        Ok(Daemon { context, runtime, addresses, _server: server })
    }

    /// Addresses that the node listens on.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Begins a planned stop; [`Daemon::wait`] returns when it has ended.
    pub fn stop(&self) {
        self.context.state.advance(Phase::Leaving);
    }

    /// What the parts of the node share.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Waits until a planned stop has ended.
    #[must_use]
    pub fn wait(self) -> stop::End {
        let end = stop::run(&self.context);
        self.runtime.shutdown_background();
        end
    }
}

/// Binds an HTTP/1.1 listener whose calls wait until the context is filled.
fn bind(
    slot: &Arc<OnceCell<Arc<Context>>>,
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
    let slot = Arc::clone(slot);
    listener::bind(listen, limits, move |request| match slot.get() {
        Some(context) => serve(context, request),
        None => {
            let text = "the node is starting; ask again\n";
            listener::text_response(http::StatusCode::SERVICE_UNAVAILABLE, text)
        }
    })
}

fn open(
    settings: Settings,
    runtime: &Runtime,
    jobs: crossbeam::channel::Sender<job::Job>,
    addresses: &Addresses,
    timeline: usize,
) -> io::Result<Context> {
    let clock = Clock::open();
    let origin = id::Incarnation { node: settings.node.clone(), started: clock.wall().0 };
    let own = own(&settings, &origin, addresses);
    let token = HeaderValue::from_str(&settings.peers.token).map_err(io::Error::other)?;
    Ok(Context {
        cores: cores(&settings, &origin, &own),
        view: RwLock::new(Arc::from([own])),
        state: State::open(),
        force: RwLock::new(Force::default()),
        asks: Mutex::new(Asks::default()),
        recent: Mutex::new(Recent::default()),
        finds: Finds::default(),
        gather: Gather::default(),
        ring: Mutex::new(timeline::Ring::open(origin.clone(), timeline)),
        timer: Timer::spawn(clock, jobs.clone())?,
        leafs: Leafs::open(runtime.handle().clone(), jobs.clone()),
        peers: Peers::open(runtime.handle().clone(), token),
        platform: Platform::open(settings.platform.address),
        runtime: runtime.handle().clone(),
        tokens: AtomicU64::new(1),
        jobs,
        clock,
        origin,
        settings,
    })
}

/// What this node says of itself.
fn own(settings: &Settings, origin: &id::Incarnation, addresses: &Addresses) -> Rumor {
    Rumor {
        node: origin.clone(),
        sequence: 0,
        state: Liveness::Alive,
        zone: settings.zone.clone(),
        peer_address: addresses.peers,
        caller_address: addresses.callers,
    }
}

fn cores(settings: &Settings, origin: &id::Incarnation, own: &Rumor) -> Cores {
    let (node, zone) = (settings.node.clone(), settings.zone.clone());
    // Nodes and lives of a node draw different random numbers.
    let seed = jacinthfall_core::hash::of(origin.to_string().as_bytes());
    let config_own = config::Peer { node: node.clone(), zone: zone.clone() };
    let fate_own = fate::Peer { node, started: origin.started, zone };
    Cores {
        reads: RwLock::new(BTreeMap::new()),
        claim: Mutex::new(claim::Engine::open(origin.clone(), claim::Settings::default())),
        config: Mutex::new(config::Engine::open(config_own, seed)),
        member: Mutex::new(member::Engine::open(own.clone(), seed)),
        fate: Mutex::new(fate::Keeper::open(fate_own, settings.fates.clone(), seed)),
    }
}

/// Gives every core its first turn.
fn start(context: &Arc<Context>) {
    use job::Job;
    use timer::Source;

    for source in [Source::Member, Source::Config, Source::Claim, Source::Fate] {
        context.post(Job::Wake(source));
    }
}
