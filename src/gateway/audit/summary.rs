//! Periodic summaries: calls to the store, look-ups, requests through other nodes, the traffic of
//! each route and the requests to leafs with a rate limit.

use std::time::Duration;

use jacinthfall_core::time::Time;

use super::{Audit, Named, Relays};
use crate::gateway::tables::{Shared, Tables};
use crate::util::lock::lock;

/// Interval between two summaries of the routes' traffic and of the calls to the store.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of leafs in one summary of the requests to leafs with a rate limit.
const MAX_RATE_LIMITED_LINES: usize = 40;

/// Maximum number of nodes in one summary of the requests that others were asked to serve.
const MAX_RELAY_LINES: usize = 8;

impl Audit {
    /// Logs the summaries if `SUMMARY_INTERVAL` has passed since the last ones.
    pub fn flush_if_due(&self, now: Time, tables: &Shared) {
        if now.since(lock(&self.0).last_summary) >= SUMMARY_INTERVAL {
            self.flush(now, tables);
        }
    }

    /// Logs summaries of the calls to the store, of look-ups, of each route's traffic and of the
    /// requests to leafs with a rate limit since the last ones.
    pub fn flush(&self, now: Time, tables: &Shared) {
        let mut inner = lock(&self.0);
        let window = now.since(inner.last_summary);
        inner.last_summary = now;
        let traffic = std::mem::take(&mut inner.traffic);
        let calls = std::mem::take(&mut inner.store_calls);
        let lookups = std::mem::take(&mut inner.lookups);
        let relays = std::mem::take(&mut inner.relays);
        drop(inner);
        for (node, Relays { requests, failures }) in relays.iter().take(MAX_RELAY_LINES) {
            log::info!(
                "event=relays node={node} window_ms={} requests={requests} failures={failures}",
                window.as_millis()
            );
        }
        if lookups.answers > 0 {
            let Named { addresses, cut_off } = lookups.latest;
            log::info!(
                "event=lookups window_ms={} answers={} addresses={addresses} cut_off={cut_off}",
                window.as_millis(),
                lookups.answers
            );
        }
        if !calls.is_empty() {
            let calls = calls.iter().map(|(kind, count)| format!(" {kind}={count}"));
            let calls: String = calls.collect();
            log::info!("event=store_calls window_ms={}{calls}", window.as_millis());
        }
        traffic.lines(window).for_each(|line| log::info!("{line}"));
        log_rate_limited_sends(&mut tables.lock(), window);
    }
}

/// Logs how many requests this node has sent to leafs with a rate limit.
fn log_rate_limited_sends(tables: &mut Tables, window: Duration) {
    let sends = tables.fleet.take_rate_limited_sends();
    let skipped = sends.len().saturating_sub(MAX_RATE_LIMITED_LINES);
    for (key, sends) in sends.into_iter().take(MAX_RATE_LIMITED_LINES) {
        let Some(leaf) = tables.fleet.leaf(key) else { continue };
        let Some(limiter) = &leaf.rate_limiter else { continue };
        log::info!(
            "event=rate_limited_sends id={} service={} window_ms={} sends={sends} per_second={} \
             own_per_second={:.3} left_out={skipped}",
            leaf.id,
            leaf.entry.service,
            window.as_millis(),
            limiter.limit,
            limiter.rate()
        );
    }
}
