//! Test sites, profiles and queries that the tests share.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jacinthfall_core::profile::Profile;
use jacinthfall_standin::deployment::Deployment;
use jacinthfall_testkit::site::{Plan, Site};
use serde_json::{Value, json};

/// How long callers of a test site may use an answer to `GET /v1/addresses`.
pub const HOLD: Duration = Duration::from_millis(500);

/// Directory of the programs under test.
pub fn programs() -> PathBuf {
    let daemon = Path::new(env!("CARGO_BIN_EXE_jacinthfalld"));
    daemon.parent().expect("the daemon's path has a parent").into()
}

/// Profile `patient-SERVICE`: its deadline is long enough to wait for every shard, so that
/// no result depends on the speed of the machine.
fn patient(service: &str) -> Profile {
    let profile = json!({
        "name": format!("patient-{service}"),
        "service": service,
        "deadline_ms": 20_000,
        "least_coverage": 0.5,
        "idempotent": true,
    });
    serde_json::from_value(profile).expect("a valid profile")
}

/// Profile of the invoicer for requests that are not idempotent.
fn patient_invoice() -> Profile {
    Profile { name: "patient-invoice".into(), idempotent: false, ..patient("invoicer") }
}

/// Wall clock time, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970");
    u64::try_from(elapsed.as_millis()).expect("the time fits into 64 bits")
}

/// Starts three nodes in cz-central with only the invoicer, whose leafs share one
/// process.
pub fn invoicer() -> Site {
    let mut plan = plan("cz-central", &["invoicer"]);
    plan.leaf_processes = false;
    plan.deployment.profiles.push(patient_invoice());
    Site::open(plan)
}

/// Returns a plan for three nodes in a deployment that runs only `services`.
pub fn plan(deployment: &str, services: &[&str]) -> Plan {
    let directory =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/settings").join(deployment);
    let mut deployment = Deployment::open(&directory).expect("the example settings are valid");
    deployment.profiles.extend(services.iter().map(|service| patient(service)));
    Plan {
        programs: programs(),
        deployment,
        services: services.iter().map(|service| (*service).to_owned()).collect(),
        leaf_processes: true,
        nodes: 3,
        hold: HOLD,
    }
}

/// Starts three nodes in klang-valley with only `services`.
pub fn site(services: &[&str]) -> Site {
    Site::open(plan("klang-valley", services))
}

/// Returns the body of a query to every shard.
pub fn ask(request: &str, profile: &str) -> Value {
    json!({
        "request": request,
        "profile": profile,
        "query": {"scope": "all", "text": "order 17", "limit": 1000},
    })
}
