//! Finds out when leafs that this node has lost can be reached again.
//!
//! Requests that need lost services go through other nodes, so they don't show it. Instead, this
//! node asks a few lost leafs for their health at each maintenance tick. Any response will do, since
//! a connection alone may be accepted on behalf of a leaf that gets nothing.
//!
//! The connection of a health check isn't used for requests: the response names no request, so that
//! a late copy of it would pass for the response to any.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::HOST;
use http::{HeaderValue, Request, Uri};
use http_body_util::Full;
use jacinthfall_dispatch::fleet::Key;
use metrics::counter;
use tokio::time::timeout;

use super::hub::Hub;
use super::notices;
use super::pool;

/// Maximum time for a response to a health check.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A health check of a lost leaf.
struct Probe {
    leaf: Key,
    address: SocketAddr,
    path: Uri,
}

/// Starts health checks of some leafs of the services that this node has lost.
pub fn spawn(hub: &Arc<Hub>) {
    for probe in choose(hub) {
        tokio::spawn(run(Arc::clone(hub), probe));
    }
}

fn choose(hub: &Hub) -> Vec<Probe> {
    let Some(snapshot) = hub.snapshot() else { return Vec::new() };
    let mut tables = hub.tables();
    let leafs = tables.fleet.choose_lost_leafs();
    let probe = |leaf: Key| {
        let entry = &tables.fleet.leaf(leaf)?.entry;
        let service = snapshot.services.get(&entry.service)?;
        // Any path has a response.
        let path = service.health_path.parse().unwrap_or_else(|_| Uri::from_static("/"));
        Some(Probe { leaf, address: entry.address, path })
    };
    leafs.into_iter().filter_map(probe).collect()
}

async fn run(hub: Arc<Hub>, probe: Probe) {
    let started = hub.now();
    let responded = check(&hub, &probe).await.is_some();
    let outcome = if responded { "response" } else { "silence" };
    counter!("jacinthfall_probes_total", "outcome" => outcome).increment(1);
    if responded {
        hub.record_heard(probe.leaf);
    } else {
        hub.tables().fleet.record_missed(probe.leaf, started);
    }
}

/// Asks a leaf for its health on a connection of its own; `None` if there is no response.
async fn check(hub: &Hub, probe: &Probe) -> Option<()> {
    let permit = hub.pool.reserve(probe.leaf, usize::MAX)?;
    let started = hub.now();
    let mut sender = pool::dial(probe.address, permit).await.ok()?;
    hub.tables().fleet.record_connect(probe.leaf, hub.now().since(started));
    let mut request = Request::new(Full::default());
    *request.uri_mut() = probe.path.clone();
    let host = HeaderValue::from_str(&probe.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let exchange = sender.exchange(request, &hub.received);
    let response = timeout(RESPONSE_TIMEOUT, exchange).await.ok()?.ok()?;
    notices::record_health(hub, probe.leaf, response.headers());
    Some(())
}
