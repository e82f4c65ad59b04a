//! Starts the stand-ins and nodes of a deployment on this machine and runs the load tool.
//!
//! Usage: `site DEPLOYMENT NODES [options of jacinthfall-load]`, after a release
//! build of the workspace. The exit code is that of `jacinthfall-load`.

use std::env;
use std::path::Path;
use std::process::{Command, ExitCode};
use std::time::Duration;

use jacinthfall_standin::deployment::Deployment;
use jacinthfall_testkit::site::{Plan, Site};

/// How long callers may use an answer to `GET /v1/addresses`.
const HOLD: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [deployment, nodes, rest @ ..] = arguments.as_slice() else {
        eprintln!("usage: site DEPLOYMENT NODES [options of jacinthfall-load]");
        return ExitCode::from(2);
    };
    let folder = Path::new("examples/settings").join(deployment);
    let program = env::current_exe().expect("this program has a path");
    let programs = program.ancestors().nth(2).expect("examples lie below the programs");
    let deployment = Deployment::open(&folder).expect("start this from the workspace's folder");
    let fleets = deployment.leafs.fleets.iter();
    let site = Site::open(Plan {
        programs: programs.into(),
        services: fleets.map(|fleet| fleet.service.to_string()).collect(),
        deployment,
        leaf_processes: false,
        nodes: nodes.parse().expect("the number of nodes"),
        hold: HOLD,
    });
    let mut load = Command::new(programs.join("jacinthfall-load"));
    load.arg("--echo");
    if !rest.iter().any(|argument| argument == "--mix") {
        load.arg("--mix").arg(folder.join("load.jsonc"));
    }
    for node in &site.nodes {
        load.args(["--node", &node.callers.to_string()]);
    }
    for process in site.leafs.values() {
        load.args(["--leafs", &process.addresses()["control"].to_string()]);
    }
    let status = load.args(rest).status().expect("jacinthfall-load is built");
    let code = status.code().and_then(|code| u8::try_from(code).ok());
    code.map_or(ExitCode::FAILURE, ExitCode::from)
}
