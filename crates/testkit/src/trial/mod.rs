//! A long randomised test: faults drawn from a seed are injected into a site under load, and
//! every response is checked against the ground truth.
//!
//! [`run`] starts a site, lets callers query it and issue invoices ([`caller`]), injects
//! faults ([`fault`]), then ends all faults and checks the invariants on what [`ledger`]
//! recorded. The seed determines the faults and the requests, not the timing of processes.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_core::profile::Profile;
use jacinthfall_standin::deployment::Deployment;
use jacinthfall_standin::leaf::fleet::Fleet;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::call;
use crate::site::{OPERATOR_TOKEN, Plan, Site};

pub mod caller;
pub mod fault;
pub mod ledger;

use ledger::Ledger;

/// Service that callers query; its requests are idempotent.
pub const READ_SERVICE: &str = "agent-console";

/// Service that issues invoices; its requests must not run twice.
pub const RUN_SERVICE: &str = "invoicer";

/// Profile of requests to [`READ_SERVICE`].
pub const READ_PROFILE: &str = "trial-read";

/// Profile of requests to [`RUN_SERVICE`].
pub const RUN_PROFILE: &str = "trial-run";

/// Number of concurrent callers.
const CALLERS: usize = 4;

/// How long callers may use an answer to `GET /v1/addresses`.
const HOLD: Duration = Duration::from_millis(500);

/// Parameters of a trial.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Folder that holds the programs.
    pub programs: std::path::PathBuf,
    /// Seed of the faults and requests.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
}

/// Observations of a trial.
#[derive(Clone, Debug)]
pub struct Report {
    /// Counts of requests and answers.
    pub tally: ledger::Tally,
    /// Number of injected faults by name.
    pub faults: std::collections::BTreeMap<&'static str, u32>,
    /// Violations of invariants, as text.
    pub violations: Vec<String>,
}

/// Runs a trial.
///
/// # Panics
///
/// If the site can't be started or does not recover.
#[must_use]
pub fn run(settings: &Settings) -> Report {
    let mut site = Site::open(plan(settings));
    fault::serve_version(&site, 1);
    let ledger = Arc::new(Ledger::open(&site));
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let ledger = Arc::clone(&ledger);
            let rng = ChaCha8Rng::seed_from_u64(settings.seed ^ (index as u64 + 1) << 32);
            thread::spawn(move || caller::run(index, &ledger, rng))
        })
        .collect();

    let mut injector = fault::Injector::open(settings.seed);
    let end = Instant::now() + settings.duration;
    while Instant::now() < end {
        injector.inject(&mut site, &ledger);
        record_revisions(&site, &ledger);
    }
    injector.heal(&mut site, &ledger);
    ledger.done.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    check_final_state(&site, &ledger);
    let tally = ledger.tally();
    let violations = ledger.violations();
    Report { tally, faults: injector.counts(), violations }
}

/// Returns the fleet of [`READ_SERVICE`]: two index versions with different numbers of shards.
fn read_fleet(deployment: &Deployment) -> Fleet {
    let fleets = &deployment.leafs.fleets;
    let mut fleet =
        fleets.iter().find(|fleet| *fleet.service == *READ_SERVICE).expect("a fleet").clone();
    fleet.versions = vec![
        jacinthfall_standin::leaf::fleet::Partition {
            version: jacinthfall_core::id::Version(1),
            shards: 30,
        },
        jacinthfall_standin::leaf::fleet::Partition {
            version: jacinthfall_core::id::Version(2),
            shards: 20,
        },
    ];
    fleet
}

fn plan(settings: &Settings) -> Plan {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    let klang = Deployment::open(&examples.join("klang-valley")).expect("valid settings");
    let cz = Deployment::open(&examples.join("cz-central")).expect("valid settings");
    let runs =
        cz.leafs.fleets.iter().find(|fleet| *fleet.service == *RUN_SERVICE).expect("a fleet");
    let mut deployment = klang;
    deployment.leafs.seed = settings.seed;
    deployment.leafs.fleets = vec![read_fleet(&deployment), runs.clone()];
    deployment.profiles = vec![
        profile(READ_PROFILE, READ_SERVICE, true, 2_000),
        profile(RUN_PROFILE, RUN_SERVICE, false, 2_000),
    ];
    Plan {
        programs: settings.programs.clone(),
        deployment,
        services: vec![READ_SERVICE.into(), RUN_SERVICE.into()],
        leaf_processes: false,
        nodes: 3,
        hold: HOLD,
    }
}

/// Returns a profile of the trial.
#[must_use]
pub fn profile(name: &str, service: &str, idempotent: bool, deadline_ms: u64) -> Profile {
    let profile = json!({
        "name": name,
        "service": service,
        "deadline_ms": deadline_ms,
        "least_coverage": 0.1,
        "idempotent": idempotent,
    });
    serde_json::from_value(profile).expect("a valid profile")
}

/// Records the revision in force at each node; one incarnation must never go back to a lower one.
fn record_revisions(site: &Site, ledger: &Ledger) {
    for node in &site.nodes {
        let status = site.status(node);
        let revision = status["revisions"][format!("config/profile/{READ_PROFILE}")].as_u64();
        if let Some(revision) = revision {
            ledger.record_revision(&status["incarnation"].to_string(), revision);
        }
    }
}

/// Checks the invariants that must hold after all faults ended.
fn check_final_state(site: &Site, ledger: &Ledger) {
    let accepted = ledger.accepted();
    let key = format!("config/profile/{READ_PROFILE}");
    site.wait_for("every accepted change to be in force everywhere", || {
        let in_force = |node| site.status(node)["revisions"][&key].as_u64();
        site.nodes.iter().all(|node| in_force(node) >= accepted)
    });
    let report = site.control_leaf(RUN_SERVICE, &json!({"runs": true}));
    ledger.check_runs(&report);
    for node in &site.nodes {
        let ask = json!({
            "request": format!("last-{}", node.name),
            "profile": READ_PROFILE,
            "query": {"scope": "all", "text": "last", "limit": 1000},
        });
        site.wait_for("full coverage after all faults ended", || {
            let response = call::post(node.callers, "/v1/query", &ask);
            let coverage = &response.body["coverage"];
            response.status == 200 && coverage["answered"] == coverage["total"]
        });
    }
}

/// Sends a change of [`READ_PROFILE`] to an operators' listener; `None` if no response came.
pub(crate) fn put_profile(node: std::net::SocketAddr, id: &str, deadline_ms: u64) -> Option<Value> {
    let body = json!({
        "profile": profile(READ_PROFILE, READ_SERVICE, true, deadline_ms),
        "change": {"id": id, "author": "trial", "cause": "random run"},
    });
    let path = format!("/v1/profiles/{READ_PROFILE}");
    let body = body.to_string();
    let response = call::send("PUT", node, &path, Some(OPERATOR_TOKEN), Some(body.as_bytes()))?;
    Some(response.body)
}

/// Locks a mutex, also if another thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
