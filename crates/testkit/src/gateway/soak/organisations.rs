//! Organisations of the callers of a soak, and what must hold for their requests.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::gateway::leaf::Run;

/// Window, overage and slack that the quota is kept by.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Requests per second, and burst, of the organisation with a quota.
const RATE: f64 = 10.0;
const BURST: f64 = 10.0;

/// One in this many requests is of the organisation with a quota.
const LIMITED_SHARE: u64 = 8;

/// Name of the organisation with a quota.
const LIMITED: &str = "stall";

/// Returns the organisations of the configuration.
pub(super) fn document() -> Value {
    json!([
        {"name": "bank", "api-keys": ["key-bank", "old-key-bank"], "priority": 0},
        {"name": "shop", "api-keys": ["key-shop"]},
        {"name": LIMITED, "api-keys": ["key-stall"], "rate-per-s": RATE, "burst": BURST},
    ])
}

/// Returns the setting `quotas` of the nodes.
pub(super) fn quotas() -> Value {
    json!({"window_s": WINDOW.as_secs(), "overage": OVERAGE, "slack": SLACK})
}

/// Returns the organisation of the request with a number.
pub(super) fn of(number: u64) -> &'static str {
    match number % LIMITED_SHARE {
        0 => LIMITED,
        odd if odd % 2 == 1 => "bank",
        _ => "shop",
    }
}

/// Returns the header lines of a request of an organisation. Callers also name another one, which
/// must reach no leaf.
pub(super) fn headers(organisation: &str) -> String {
    format!("X-Api-Key: key-{organisation}\r\nX-Tenant: forged\r\n")
}

/// Returns what is wrong with the runs of requests at leafs.
pub(super) fn check(runs: &[Run]) -> Vec<String> {
    let mut violations = Vec::new();
    for run in runs {
        let id = run.header("x-request-id").unwrap_or_default();
        let Some(number) = id.split('-').nth(1).and_then(|number| number.parse().ok()) else {
            continue;
        };
        let head = run.head.to_ascii_lowercase();
        let named = head.matches("\r\nx-tenant:").count();
        if named != 1 || run.header("x-tenant").as_deref() != Some(of(number)) {
            violations.push(format!("{id}: a leaf got it {named} times with an organisation"));
        }
        if head.contains("key-") {
            violations.push(format!("{id}: a leaf got its key"));
        }
    }
    violations.extend(check_quota(runs));
    violations
}

/// Checks that the organisation with a quota keeps to it in every window. A request that several
/// leafs got counts once.
fn check_quota(runs: &[Run]) -> Option<String> {
    let of_limited = |run: &&Run| run.header("x-tenant").as_deref() == Some(LIMITED);
    let mut first: std::collections::BTreeMap<String, Instant> = std::collections::BTreeMap::new();
    for run in runs.iter().filter(of_limited) {
        let (Some(at), Some(id)) = (run.at, run.header("x-request-id")) else { continue };
        let earliest = first.entry(id).or_insert(at);
        *earliest = at.min(*earliest);
    }
    let mut times: Vec<Instant> = first.into_values().collect();
    times.sort_unstable();
    let count = |from: usize| {
        times[from..].iter().take_while(|at| at.duration_since(times[from]) < WINDOW).count()
    };
    let most = (0..times.len()).map(count).max().unwrap_or(0);
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
    (most as f64 > allowed).then(|| format!("{LIMITED}: {most} of {allowed} requests in a window"))
}
