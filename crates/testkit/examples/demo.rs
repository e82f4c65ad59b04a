//! Starts a site of separate processes and demonstrates its behaviour; run by `demo.sh`.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use jacinthfall_standin::deployment::Deployment;
use jacinthfall_testkit::call;
use jacinthfall_testkit::site::{OPERATOR_TOKEN, Plan, Site};

/// Longest wait for the copy of a fate at another node.
const COPY_TIMEOUT: Duration = Duration::from_secs(10);

fn main() {
    let keep = std::env::args().any(|argument| argument == "--keep");
    let program = std::env::current_exe().expect("a running program");
    let programs = program.parent().and_then(Path::parent).expect("examples lie beside programs");
    println!("Starting a platform, 40 leafs and 3 nodes in 3 availability zones ...");
    let mut site = Site::open(plan(programs));
    let command = Shell { program: programs.join("jacinthfall") };

    step("A query over 30 leafs, each shard on three of them");
    let (node, operators) = (site.nodes[0].callers, site.nodes[0].operators);
    command.query(node, "demo-1", "order-history");
    step("Its fate, as another node reports it");
    command.trace(site.nodes[1].callers, operators, "demo-1");

    step("One leaf of three that hold a shard is killed: the answer stays complete");
    kill(&mut site, "agent-console-0-0");
    command.query(node, "demo-2", "order-history");

    step("The other two are killed as well: the answer lists the missing shards");
    kill(&mut site, "agent-console-0-1");
    kill(&mut site, "agent-console-0-2");
    command.query(node, "demo-3", "order-history");
    command.trace(site.nodes[2].callers, operators, "demo-3");

    step("Its events over all processes, in causal order");
    command.timeline(operators, "demo-3");

    step("One node is killed: the others still know the fate of its request");
    site.nodes[0].process.kill();
    let operators = site.nodes[1].operators;
    command.trace(site.nodes[2].callers, operators, "demo-1");

    if keep {
        keep_running(&site, &command.program);
    }
}

fn plan(programs: &Path) -> Plan {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings/klang-valley");
    let mut deployment = Deployment::open(&folder).expect("the example settings are valid");
    let profile = serde_json::json!({
        "name": "order-history",
        "service": "agent-console",
        "deadline_ms": 5_000,
        "least_coverage": 0.5,
        "idempotent": true,
    });
    deployment.profiles.push(serde_json::from_value(profile).expect("a valid profile"));
    Plan {
        programs: programs.into(),
        deployment,
        services: vec!["agent-console".into(), "chat-archive".into()],
        leaf_processes: true,
        nodes: 3,
        hold: Duration::from_secs(2),
    }
}

fn step(title: &str) {
    println!("\n== {title}");
}

fn kill(site: &mut Site, leaf: &str) {
    println!("   (kill {leaf})");
    site.leafs.get_mut(leaf).expect("the leaf runs").kill();
}

/// Runs the `jacinthfall` command as a person would in a shell.
struct Shell {
    program: PathBuf,
}

impl Shell {
    fn query(&self, node: SocketAddr, request: &str, profile: &str) {
        let ask = ["--request", request, "--profile", profile, "--text", "order 17"];
        self.run(&[&["query", "--callers", &node.to_string()], &ask[..]].concat(), 8);
    }

    fn trace(&self, node: SocketAddr, operators: SocketAddr, request: &str) {
        // The copy of the fate takes a moment to reach the other nodes.
        let path = format!("/v1/fates/{request}");
        let end = Instant::now() + COPY_TIMEOUT;
        while call::get(node, &path).status != 200 && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
        let (node, operators) = (node.to_string(), operators.to_string());
        self.run(&["trace", "--callers", &node, "--operators", &operators, request], 24);
    }

    fn timeline(&self, operators: SocketAddr, request: &str) {
        let operators = operators.to_string();
        self.run(&["timeline", "--operators", &operators, "--request", request], 12);
    }

    /// Prints a command and the first and last lines of its output, `lines` in all.
    fn run(&self, arguments: &[&str], lines: usize) {
        println!("$ jacinthfall {}", arguments.join(" "));
        let output = Command::new(&self.program)
            .args(arguments)
            .env("JACINTHFALL_TOKEN", OPERATOR_TOKEN)
            .output()
            .expect("the command can be run");
        let text = String::from_utf8_lossy(&output.stdout);
        let all: Vec<&str> = text.lines().collect();
        let (head, tail) = all.split_at(all.len().min(lines / 2));
        let skipped = tail.len().saturating_sub(lines / 2);
        head.iter().for_each(|line| println!("{line}"));
        if skipped > 0 {
            println!("... {skipped} more lines");
        }
        tail[skipped..].iter().for_each(|line| println!("{line}"));
        eprint!("{}", String::from_utf8_lossy(&output.stderr));
        println!("(exit code {})", output.status.code().unwrap_or(-1));
    }
}

/// Keeps the site running until Enter is pressed, and prints its addresses.
fn keep_running(site: &Site, program: &Path) {
    step("The site keeps running until you press Enter");
    println!("export JACINTHFALL_TOKEN={OPERATOR_TOKEN}");
    println!("command: {}", program.display());
    println!("platform: {}", site.platform_address);
    for node in &site.nodes[1..] {
        println!("{}: callers {}, operators {}", node.name, node.callers, node.operators);
    }
    let _ = io::stdin().read_line(&mut String::new());
}
