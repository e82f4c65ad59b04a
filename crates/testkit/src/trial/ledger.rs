//! Records what callers of a trial sent and received, and the violations of invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;

use serde_json::Value;

use super::lock;
use crate::site::Site;

/// Counts of requests and answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Queries answered with full coverage.
    pub full: u64,
    /// Queries answered with partial coverage.
    pub partial: u64,
    /// Queries refused.
    pub refused: u64,
    /// Invoices requested, not counting repeats.
    pub invoices: u64,
    /// Invoices with at least one response that confirmed the run.
    pub confirmed: u64,
    /// Responses with `ran` set to `not_run`.
    pub not_run: u64,
    /// Requests without a response; only a killed or frozen node may lose them.
    pub lost: u64,
    /// Accepted changes of the profile.
    pub changes: u64,
}

/// What the responses to one request id have said so far.
#[derive(Clone, Debug, Default)]
struct Responses {
    /// Whether any response confirmed the run.
    ran: bool,
    /// Whether every send so far was answered with `not_run`.
    all_not_run: bool,
}

#[derive(Debug, Default)]
struct Inner {
    tally: Tally,
    entries: Vec<SocketAddr>,
    /// Nodes that were killed or frozen, so that requests to them may be lost.
    unreliable: BTreeSet<SocketAddr>,
    /// Responses by request id.
    invoices: BTreeMap<String, Responses>,
    /// Last revision seen, by incarnation of a node.
    revisions: BTreeMap<String, u64>,
    accepted: Option<u64>,
    violations: Vec<String>,
}

/// Record of a trial, shared by its threads.
#[derive(Debug)]
pub struct Ledger {
    /// Whether callers must stop.
    pub done: AtomicBool,
    inner: Mutex<Inner>,
}

impl Ledger {
    /// Creates an empty record for a running site.
    #[must_use]
    pub fn open(site: &Site) -> Ledger {
        let ledger = Ledger { done: AtomicBool::new(false), inner: Mutex::default() };
        ledger.set_entries(site);
        ledger
    }

    /// Sets the nodes that callers send address lookups to: all nodes of the site.
    pub fn set_entries(&self, site: &Site) {
        lock(&self.inner).entries = site.nodes.iter().map(|node| node.callers).collect();
    }

    /// Addresses of the nodes that callers send address lookups to.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        lock(&self.inner).entries.clone()
    }

    /// Records that a node is killed or frozen, so that requests to it may be lost from now on.
    pub fn mark_unreliable(&self, node: SocketAddr) {
        lock(&self.inner).unreliable.insert(node);
    }

    /// Updates the counts.
    pub fn count(&self, update: impl Fn(&mut Tally)) {
        update(&mut lock(&self.inner).tally);
    }

    /// Records that a request got no response; a violation unless its node is unreliable.
    pub fn record_lost(&self, node: SocketAddr, request: &str) {
        let mut inner = lock(&self.inner);
        inner.tally.lost += 1;
        if !inner.unreliable.contains(&node) {
            inner.violations.push(format!(
                "{request}: no response from {node}, which was neither killed nor frozen"
            ));
        }
    }

    /// Records a violation of an invariant.
    pub fn record_violation(&self, text: String) {
        lock(&self.inner).violations.push(text);
    }

    /// Records field `ran` of a response to an invoice request; `None` if no response came.
    pub fn record_invoice(&self, request: &str, ran: Option<&str>) {
        let mut inner = lock(&self.inner);
        let first = Responses { ran: false, all_not_run: true };
        let responses = inner.invoices.entry(request.into()).or_insert(first);
        responses.ran |= ran == Some("ran");
        responses.all_not_run &= ran == Some("not_run");
        let contradiction = responses.ran && ran == Some("not_run");
        if contradiction {
            inner.violations.push(format!("{request}: answered \"not_run\" after \"ran\""));
        }
    }

    /// Records the revision in force at an incarnation of a node; a lower one than before is a
    /// violation.
    pub fn record_revision(&self, incarnation: &str, revision: u64) {
        let mut inner = lock(&self.inner);
        let before = inner.revisions.insert(incarnation.into(), revision).unwrap_or(0);
        if before > revision {
            inner.violations.push(format!("{incarnation}: reverted from {before} to {revision}"));
        }
    }

    /// Records an accepted change.
    pub fn record_accepted(&self, revision: u64) {
        let mut inner = lock(&self.inner);
        inner.tally.changes += 1;
        inner.accepted = inner.accepted.max(Some(revision));
    }

    /// Highest accepted revision.
    #[must_use]
    pub fn accepted(&self) -> Option<u64> {
        lock(&self.inner).accepted
    }

    /// Compares the runs that leafs counted with the responses that callers got.
    pub fn check_runs(&self, report: &Value) {
        let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
        for leaf in report["leafs"].as_array().into_iter().flatten() {
            for (request, count) in leaf["runs"].as_object().into_iter().flatten() {
                *runs.entry(request).or_default() += count.as_u64().unwrap_or(0);
            }
        }
        let mut inner = lock(&self.inner);
        let mut violations = Vec::new();
        for (request, responses) in &inner.invoices {
            let count = runs.get(request.as_str()).copied().unwrap_or(0);
            if count > 1 {
                violations.push(format!("{request}: ran {count} times"));
            }
            if responses.all_not_run && count > 0 {
                violations.push(format!("{request}: answered \"not_run\", but it ran"));
            }
            if responses.ran && count == 0 {
                violations.push(format!("{request}: answered \"ran\", but it did not run"));
            }
        }
        inner.tally.invoices = inner.invoices.len() as u64;
        inner.tally.confirmed =
            inner.invoices.values().filter(|responses| responses.ran).count() as u64;
        inner.violations.append(&mut violations);
    }

    /// Counts so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        lock(&self.inner).tally
    }

    /// Violations so far.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        lock(&self.inner).violations.clone()
    }
}
