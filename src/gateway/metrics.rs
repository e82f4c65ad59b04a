//! Metrics of a gateway node, in the Prometheus text format.

use std::sync::atomic::Ordering;

use jacinthfall_core::id;
use metrics::{describe_counter, describe_gauge, describe_histogram, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use super::hub::Hub;
use super::quotas;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.04, 0.06, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 6.0];

/// Installs the global metrics recorder and describes the metrics.
pub fn install() -> Result<PrometheusHandle, Box<dyn std::error::Error + Send + Sync>> {
    let recorder = PrometheusBuilder::new().set_buckets(&BUCKETS_SECONDS)?.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)?;
    describe_requests();
    describe_use();
    describe_knowledge();
    Ok(handle)
}

/// Describes the metrics of requests, and of the leafs that get them.
fn describe_requests() {
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
    describe_counter!(
        "jacinthfall_rejections_total",
        "Requests answered before any leaf was chosen, by reason"
    );
    describe_counter!("jacinthfall_extra_sends_total", "Parts given to a further leaf, by route");
    describe_counter!("jacinthfall_missing_parts_total", "Shards left out of answers, by route");
    describe_counter!("jacinthfall_sends_total", "Sends to leafs by outcome");
    describe_counter!(
        "jacinthfall_unattributed_responses_total",
        "Responses of leafs that don't name the request that was sent, by what they name"
    );
    describe_gauge!("jacinthfall_leafs_cold", "Leafs that may be given requests and are cold");
    describe_gauge!("jacinthfall_leafs_usable", "Leafs that may be given requests");
    describe_counter!(
        "jacinthfall_relayed_requests_total",
        "Requests that another node was asked to serve, by outcome"
    );
    describe_histogram!(
        "jacinthfall_relay_seconds",
        "Time until another node's answer to such a request, by outcome"
    );
    describe_counter!(
        "jacinthfall_served_for_others_total",
        "Requests that this node has served on behalf of others"
    );
    describe_counter!(
        "jacinthfall_refused_to_others_total",
        "Requests of other nodes that this node turned away, by reason"
    );
    describe_counter!("jacinthfall_probes_total", "Health checks of lost leafs, by outcome");
    describe_gauge!("jacinthfall_leafs_silent", "Leafs that gave this node no response lately");
    describe_gauge!(
        "jacinthfall_leafs_unconnectable",
        "Leafs that answer on open connections while new ones fail"
    );
    describe_gauge!("jacinthfall_services_lost", "Services of which this node reaches no leaf");
    describe_gauge!("jacinthfall_cut_off", "Whether this node reaches no leaf at all");
    describe_gauge!(
        "jacinthfall_extra_sends_left",
        "Further sends to a service that the bound still allows this node"
    );
    describe_counter!(
        "jacinthfall_leaf_crashes_total",
        "Requests of this node under which a leaf crashed"
    );
    describe_gauge!("jacinthfall_requests_quarantined", "Requests in quarantine");
    describe_gauge!(
        "jacinthfall_rate_limit_share",
        "Share of this node in the rate limits that leafs state"
    );
    quotas::describe();
}

/// Describes the gauges of what requests hold until they end.
fn describe_use() {
    describe_gauge!("jacinthfall_requests_in_hand", "Requests without an answer yet");
    describe_gauge!("jacinthfall_sends_in_flight", "Sends to leafs that have not ended");
    describe_gauge!("jacinthfall_requests_queued", "Parts of requests that wait for a leaf");
    describe_gauge!(
        "jacinthfall_relays_in_flight",
        "Requests that other nodes are serving on behalf of this node"
    );
    describe_gauge!(
        "jacinthfall_served_for_others",
        "Requests that this node is serving on behalf of others"
    );
    describe_gauge!("jacinthfall_quota_waiting", "Requests that wait for a grant of a quota");
    describe_gauge!(
        "jacinthfall_bytes_receiving",
        "Size of the responses of leafs that are being received"
    );
    describe_gauge!(
        "jacinthfall_leaf_connections",
        "Connections to leafs that are open or being opened"
    );
}

/// Describes the metrics of what this node knows from the store and from other nodes.
fn describe_knowledge() {
    describe_counter!(
        "jacinthfall_store_checks_total",
        "Times that this node found out by itself whether the store answers"
    );
    describe_histogram!("jacinthfall_store_call_seconds", "Time of calls to the store, by kind");
    describe_counter!("jacinthfall_store_calls_total", "Calls to the store by kind and outcome");
    describe_counter!("jacinthfall_exchanges_total", "Exchanges with other nodes by outcome");
    describe_histogram!("jacinthfall_exchange_seconds", "Time of exchanges, by outcome");
    describe_counter!(
        "jacinthfall_configuration_transfers_total",
        "Attempts to fetch a later configuration from another node, by outcome"
    );
    describe_gauge!(
        "jacinthfall_configuration_behind_seconds",
        "Time for which a later configuration than the one in force is known to exist"
    );
    describe_gauge!("jacinthfall_configuration_version", "Version of the configuration in force");
    describe_gauge!("jacinthfall_zones_evacuated", "Availability zones that are evacuated");
    describe_counter!(
        "jacinthfall_evacuation_statements_dropped_total",
        "Statements of other nodes on evacuated zones that were implausible"
    );
    describe_gauge!(
        "jacinthfall_knowledge_age_seconds",
        "Time since the store confirmed, to this node or another one, what this node knows"
    );
    describe_gauge!("jacinthfall_nodes", "Nodes that share the bound on extra sends");
    describe_gauge!("jacinthfall_nodes_known", "Nodes that this node knows, itself included");
    describe_counter!(
        "jacinthfall_store_restores_total",
        "Times that the store returned from an older copy"
    );
    describe_gauge!("jacinthfall_store_era", "Era of the store that this node knows");
    describe_gauge!("jacinthfall_store_answers", "Whether the store answered the last call");
}

/// Renders the metrics, after updating the gauges to the current state of the node.
#[must_use]
pub fn render(hub: &Hub) -> String {
    update_gauges(hub);
    hub.metrics.render() + &render_rate_limits(hub)
}

/// Renders the rate limits of leafs. They aren't kept in the registry, which never forgets a
/// label, while leafs come and go.
fn render_rate_limits(hub: &Hub) -> String {
    const NAME: &str = "jacinthfall_leaf_rate_limit";
    let tables = hub.tables();
    let mut text = format!(
        "# HELP {NAME} Requests per second that a leaf accepts from all nodes\n# TYPE {NAME} gauge\n"
    );
    for (leaf, limiter) in tables.fleet.rate_limited() {
        let labels = format!("service={:?},leaf={:?}", leaf.entry.service, leaf.id);
        text.push_str(&format!("{NAME}{{{labels}}} {}\n", limiter.limit));
    }
    text
}

/// Sets the gauges of what requests hold until they end. Each of them returns to zero when no
/// request is in flight, except for connections, which stay open for a while.
fn update_use(hub: &Hub) {
    let in_flight = hub.in_flight.load(Ordering::Relaxed);
    gauge!("jacinthfall_requests_in_hand").set(in_flight as f64);
    let served = hub.served_for_others.load(Ordering::Relaxed);
    gauge!("jacinthfall_served_for_others").set(served as f64);
    gauge!("jacinthfall_quota_waiting").set(hub.quotas.waiting() as f64);
    gauge!("jacinthfall_bytes_receiving").set(hub.received.bytes() as f64);
    gauge!("jacinthfall_leaf_connections").set(hub.pool.connections() as f64);
    let tables = hub.tables();
    gauge!("jacinthfall_sends_in_flight").set(tables.fleet.sends_in_flight() as f64);
    gauge!("jacinthfall_requests_queued").set(tables.fleet.queued() as f64);
    gauge!("jacinthfall_relays_in_flight").set(tables.relays.in_flight() as f64);
}

/// Sets the gauges to the current state of the node.
fn update_gauges(hub: &Hub) {
    update_use(hub);
    let answers = hub.store_answers.load(Ordering::Relaxed);
    gauge!("jacinthfall_store_answers").set(if answers { 1.0 } else { 0.0 });
    let now = hub.now();
    let mut tables = hub.tables();
    gauge!("jacinthfall_configuration_version").set(tables.version() as f64);
    let behind = tables.ranks.time_behind(now).as_secs_f64();
    gauge!("jacinthfall_configuration_behind_seconds").set(behind);
    gauge!("jacinthfall_store_era").set(tables.upto.era as f64);
    gauge!("jacinthfall_leafs_usable").set(tables.catalog.usable().count() as f64);
    let evacuated = tables.evacuations.evacuated().len();
    gauge!("jacinthfall_zones_evacuated").set(evacuated as f64);
    gauge!("jacinthfall_leafs_cold").set(tables.fleet.cold_leafs(now) as f64);
    let census = tables.fleet.census(now);
    gauge!("jacinthfall_leafs_silent").set(census.silent_leafs as f64);
    gauge!("jacinthfall_leafs_unconnectable").set(census.unconnectable_leafs as f64);
    gauge!("jacinthfall_services_lost").set(census.lost_services as f64);
    gauge!("jacinthfall_cut_off").set(if census.is_cut_off { 1.0 } else { 0.0 });
    gauge!("jacinthfall_nodes_known").set((tables.roster.len() + 1) as f64);
    gauge!("jacinthfall_nodes").set(tables.nodes as f64);
    gauge!("jacinthfall_requests_quarantined").set(tables.quarantine.quarantined(now) as f64);
    gauge!("jacinthfall_rate_limit_share").set(tables.fleet.share());
    let age = now.since(tables.knowledge.confirmed());
    gauge!("jacinthfall_knowledge_age_seconds").set(age.as_secs_f64());
    let services = tables.configuration.as_ref();
    let services: Vec<id::Name> =
        services.map(|known| known.snapshot.services.keys().cloned().collect()).unwrap_or_default();
    for service in services {
        let left = tables.budget.remaining(now, &service);
        gauge!("jacinthfall_extra_sends_left", "service" => service).set(left);
    }
}
