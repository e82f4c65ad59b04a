//! A gateway node: routed requests of callers, served by leafs.
//!
//! [`Gateway::run`] binds the listeners and serves until a planned stop has ended.
//! All work runs on one thread: entry VMs have a fraction of one core, and a switch
//! of threads for each part of a query would cost more than the part itself.
//!
//! Callers come in at [`callers`], requests go out at [`leafs`]; [`store`] follows
//! the platform's store, [`peers`] the other nodes; [`addresses`] tells callers which
//! nodes to use. Decisions are made in `jacinthfall-dispatch`, under one lock
//! ([`hub::Hub::tables`]).

pub mod addresses;
pub mod audit;
pub mod callers;
pub mod hub;
pub mod leafs;
pub mod listener;
pub mod peers;
pub mod settings;
pub mod stop;
pub mod store;

use std::io;
use std::sync::Arc;

use metrics::{describe_counter, describe_gauge, describe_histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::runtime::Builder;

use hub::{Bound, Hub};
use settings::Settings;

/// Upper bounds of the buckets of response times, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.02, 0.04, 0.06, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 6.0];

/// Runs a gateway node until a planned stop has ended.
///
/// # Errors
///
/// Any error of the operating system while binding listeners.
pub fn run(settings: Settings) -> io::Result<()> {
    let metrics = record().map_err(io::Error::other)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(settings, metrics))
}

/// Installs the recorder of metrics, with help texts.
fn record() -> Result<PrometheusHandle, Box<dyn std::error::Error + Send + Sync>> {
    let recorder = PrometheusBuilder::new().set_buckets(&BUCKETS)?.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)?;
    describe_counter!("jacinthfall_requests_total", "Requests by route and outcome");
    describe_histogram!(
        "jacinthfall_request_seconds",
        "Time to answer a request, by route and outcome"
    );
    describe_histogram!(
        "jacinthfall_queue_seconds",
        "Time until enough parts of a request had a leaf, by route"
    );
    describe_histogram!(
        "jacinthfall_response_seconds",
        "Time of a send until the leaf's success, by route"
    );
    describe_histogram!("jacinthfall_store_call_seconds", "Time of calls to the store, by kind");
    describe_counter!(
        "jacinthfall_rejections_total",
        "Requests answered before any leaf was chosen, by reason"
    );
    describe_counter!("jacinthfall_extra_sends_total", "Parts given to a further leaf, by route");
    describe_counter!("jacinthfall_missing_parts_total", "Shards left out of answers, by route");
    describe_counter!("jacinthfall_sends_total", "Sends to leafs by outcome");
    describe_counter!("jacinthfall_store_calls_total", "Calls to the store by kind and outcome");
    describe_counter!("jacinthfall_exchanges_total", "Exchanges with other nodes by outcome");
    describe_gauge!("jacinthfall_configuration_version", "Version of the configuration in force");
    describe_gauge!("jacinthfall_leafs_usable", "Leafs that may be given requests");
    describe_gauge!(
        "jacinthfall_knowledge_age_seconds",
        "Time since the store, or a node that it answers, confirmed what this node knows"
    );
    describe_gauge!(
        "jacinthfall_extra_sends_left",
        "Further sends to a service that the bound still allows this node"
    );
    describe_gauge!("jacinthfall_nodes", "Nodes that share the bound on extra sends");
    describe_gauge!("jacinthfall_requests_in_hand", "Requests without an answer yet");
    describe_gauge!("jacinthfall_store_answers", "Whether the store answered the last call");
    Ok(handle)
}

async fn serve(settings: Settings, metrics: PrometheusHandle) -> io::Result<()> {
    let callers = listener::bind(settings.callers.listen)?;
    let readiness = listener::bind(settings.readiness.listen)?;
    let addresses = listener::bind(settings.addresses.listen)?;
    let peers = peers::Sockets::bind(settings.peers.listen).await?;
    let bound = Bound { callers: callers.local_addr()?, peers: peers.address() };
    log::info!(
        "event=start version={} node={} zone={} callers={} readiness={} addresses={} peers={}",
        crate::daemon::VERSION,
        settings.node,
        settings.zone,
        bound.callers,
        readiness.local_addr()?,
        addresses.local_addr()?,
        bound.peers
    );
    let collectors = settings.metrics.as_ref().map(|metrics| listener::bind(metrics.listen));
    let hub = Arc::new(Hub::open(settings, bound, metrics));
    let signals = stop::Signals::open()?;
    let peers = peers.spawn(Arc::clone(&hub));
    store::spawn(&hub);
    let serving = tokio::spawn(callers::serve(Arc::clone(&hub), callers));
    tokio::spawn(addresses::serve(Arc::clone(&hub), addresses));
    tokio::spawn(addresses::serve(Arc::clone(&hub), readiness));
    if let Some(collectors) = collectors.transpose()? {
        tokio::spawn(addresses::serve(Arc::clone(&hub), collectors));
    }
    tokio::spawn(hub::tend(Arc::clone(&hub)));
    stop::run(&hub, signals, serving).await;
    drop(peers);
    Ok(())
}
