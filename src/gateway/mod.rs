//! A gateway node: routes requests of callers to leafs and returns their answers.
//!
//! [`run`] binds the listeners and serves until a planned stop is complete. All work runs
//! on one thread: the VMs of gateway nodes have a fraction of one core, and a thread switch for each part
//! of a query would cost more than the part itself.
//!
//! [`callers`] serves the requests of callers and [`leafs`] sends them to leafs
//! over the [`connection`]s of [`pool`]; [`crashes`] finds out which of them have crashed, and [`notices`] records what
//! they say of themselves; [`registrations`] applies their entries in the store, and [`probes`] find
//! out when lost leafs can be reached again. [`evacuation`] tells to which zones nothing is sent. [`store`]
//! follows the platform's store, and [`peers`] exchanges data with the other nodes,
//! the configuration as a compressed [`document`].
//! [`quotas`] admits requests of organisations that have a quota over all nodes.
//! [`addresses`] serves the address lookup, readiness and metrics; [`audit`] writes the log
//! lines about requests, and [`maintenance`] does the periodic work. The tasks share the state in
//! [`hub`], most of it [`tables`]; [`reach`] is what it says of leafs that can't be reached. Decisions are made in
//! `jacinthfall-dispatch`, under one lock ([`hub::Hub::tables`]).

pub mod addresses;
pub mod audit;
pub mod callers;
pub mod configuration;
pub mod connection;
pub mod crashes;
pub mod document;
pub mod evacuation;
pub mod hub;
pub mod leafs;
pub mod listener;
pub mod maintenance;
pub mod metrics;
pub mod notices;
pub mod peers;
pub mod pool;
pub mod probes;
pub mod quotas;
pub mod reach;
pub mod registrations;
pub mod settings;
pub mod stop;
pub mod store;
pub mod tables;

use std::io;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use tokio::runtime::Builder;

use hub::{Endpoints, Hub};
use settings::Settings;

/// Runs a gateway node until a planned stop is complete.
///
/// # Errors
///
/// Any error of the operating system while binding listeners or installing signal handlers,
/// and any error while installing the metrics recorder.
pub fn run(settings: Settings) -> io::Result<()> {
    let metrics = metrics::install().map_err(io::Error::other)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(settings, metrics))
}

async fn serve(settings: Settings, metrics: PrometheusHandle) -> io::Result<()> {
    let callers = listener::bind(settings.callers.listen)?;
    let readiness = listener::bind(settings.readiness.listen)?;
    let addresses = listener::bind(settings.addresses.listen)?;
    let peers = peers::Sockets::bind(settings.peers.listen).await?;
    let endpoints = Endpoints { callers: callers.local_addr()?, peers: peers.address() };
    log::info!(
        "event=start version={} node={} zone={} callers={} readiness={} addresses={} peers={}",
        crate::daemon::VERSION,
        settings.node,
        settings.zone,
        endpoints.callers,
        readiness.local_addr()?,
        addresses.local_addr()?,
        endpoints.peers
    );
    let collectors = settings.metrics.as_ref().map(|metrics| listener::bind(metrics.listen));
    let hub = Arc::new(Hub::open(settings, endpoints, metrics));
    let signals = stop::Signals::open()?;
    let peers = peers.spawn(Arc::clone(&hub));
    store::spawn(&hub);
    let serving = tokio::spawn(callers::serve(Arc::clone(&hub), callers));
    tokio::spawn(addresses::serve(Arc::clone(&hub), addresses));
    tokio::spawn(addresses::serve(Arc::clone(&hub), readiness));
    if let Some(collectors) = collectors.transpose()? {
        tokio::spawn(addresses::serve(Arc::clone(&hub), collectors));
    }
    tokio::spawn(maintenance::run(Arc::clone(&hub)));
    stop::run(&hub, signals, serving).await;
    drop(peers);
    Ok(())
}
