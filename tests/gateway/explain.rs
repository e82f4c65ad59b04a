//! The `jacinthfall` command finds out from a request's id why the request ended as it did.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use jacinthfall_testkit::gateway::leaf::{Behaviour, Leaf};
use jacinthfall_testkit::gateway::site::{
    Request, Site, gather, metric, route, serving_leaf, wait_for,
};
use serde_json::Value;

use crate::spread::{linked, many_routes};
use crate::support::{serving, status};

/// Upper limit of log lines about failed requests in one second: 100, and up to 25 more from
/// the request that reaches the limit.
const MAX_FAILURE_LINES_PER_SECOND: usize = 100 + 25;

pub fn command(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_jacinthfall"))
        .args(arguments)
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command starts");
    // A command that doesn't read its input closes the pipe early.
    let _ = child.stdin.take().expect("a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("the command ends")
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

/// Stops the first node and returns its log.
fn stop_and_read_log(site: &mut Site) -> String {
    stop_and_read_log_of(site, 0)
}

/// Stops a node and returns its log.
pub fn stop_and_read_log_of(site: &mut Site, node: usize) -> String {
    let process = &mut site.nodes[node].process;
    process.terminate();
    process.wait();
    process.remaining_lines().join("\n") + "\n"
}

fn ask(site: &Site, id: &str) -> u16 {
    site.ask(0, &Request { id, ..Request::default() }).status
}

fn address(site: &Site) -> SocketAddr {
    site.nodes[0].addresses
}

#[test]
fn a_failed_non_idempotent_request_is_explained_by_the_log_and_by_the_node() {
    let leaf = Leaf::spawn("i-1", Behaviour::Drop);
    let mut site = serving(&[route("unsafe")], &[("i-1", "a", &leaf)]);
    assert_eq!(ask(&site, "r-7"), 502);

    let node = address(&site).to_string();
    let from_node = stdout(&command(&["trace", "r-7", "--gateway", &node], ""));
    let log = format!("{}no line of a node\n", stop_and_read_log(&mut site));
    let from_log = stdout(&command(&["explain", "r-7"], &log));

    for text in [from_node, from_log.clone()] {
        assert!(text.contains("failed with 502; it may have run"), "{text}");
        assert!(text.contains("a to i-1: first choice"), "{text}");
        assert!(text.contains("i-1 gave no usable answer"), "{text}");
        assert!(text.contains("must not run twice"), "{text}");
        assert!(text.contains("Cause: a leaf broke off"), "{text}");
    }
    assert!(from_log.contains("(in force since"), "{from_log}");
    assert!(from_log.contains("1 line in the logs could not be read"), "{from_log}");
}

#[test]
fn a_refused_request_names_the_shards_without_a_leaf() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[gather(1.0)], &[("i-1", "s-0", &leaf)]);
    let request = Request { id: "r-7", target: "/g/1", ..Request::default() };
    assert_eq!(site.ask(0, &request).status, 503);

    let output = command(&["explain", "r-7", "--output", "json"], &stop_and_read_log(&mut site));

    let explanation: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let end = &explanation["stories"][0]["end"];
    assert_eq!(end["outcome"], "refused", "{explanation}");
    assert!(end["missing"].as_str().expect("text").contains("s-1:"), "{explanation}");
    assert_eq!(
        end["known_ms"].as_str().map(|ms| ms.parse::<u64>().is_ok()),
        Some(true),
        "{explanation}"
    );
}

#[test]
fn a_request_without_a_route_is_explained() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    let request = Request { id: "r-9", target: "/nowhere", ..Request::default() };
    assert_eq!(site.ask(0, &request).status, 404);

    let text = stdout(&command(&["explain", "r-9"], &stop_and_read_log(&mut site)));

    assert!(text.contains("/nowhere; answered 404"), "{text}");
    assert!(text.contains("no route of the configuration in force fits"), "{text}");
}

#[test]
fn state_logged_by_an_earlier_process_is_not_attributed_to_a_request() {
    let log = "time=2026-12-03T10:00:00.000Z level=INFO event=start node=n-1\n\
        time=2026-12-03T10:00:01.000Z level=INFO event=configuration version=3 source=store\n\
        time=2026-12-03T10:00:02.000Z level=INFO event=start node=n-1\n\
        time=2026-12-03T10:00:02.010Z level=INFO event=rejected id=\"r-1\" status=503 \
        reason=starting host=\"a\" path=\"/\" version=0 upto=0\n";

    let text = stdout(&command(&["explain", "r-1"], log));

    assert!(text.contains("Configuration version 0.\n"), "{text}");
    assert!(text.contains("no configuration yet"), "{text}");
}

#[test]
fn explaining_an_unknown_request_fails_and_names_where_to_look() {
    let output = command(&["explain", "r-1"], "");

    assert_eq!(output.status.code(), Some(1));
    assert!(stdout(&output).contains("passed_over"), "{}", stdout(&output));
}

#[test]
fn lines_about_failures_are_bounded_and_counted() {
    let leaf = Leaf::spawn("i-1", Behaviour::Fail);
    let mut site = serving(&[route("unsafe")], &[("i-1", "a", &leaf)]);
    let started = std::time::Instant::now();
    for number in 0..400 {
        ask(&site, &format!("r-{number}"));
    }
    let seconds = usize::try_from(started.elapsed().as_secs()).expect("a few") + 2;

    let log = stop_and_read_log(&mut site);

    let about = log.lines().filter(|line| line.contains("id=\"r-"));
    assert!(about.count() <= seconds * MAX_FAILURE_LINES_PER_SECOND, "{log}");
    let answer_lines = log.lines().filter(|line| line.contains("event=answer")).count();
    let traffic = log.lines().filter(|line| line.contains("event=traffic"));
    let counted: usize = traffic.filter_map(|line| number(line, "failed")).sum();
    assert!(answer_lines < 400, "{answer_lines} answers have a line");
    assert!(counted > 0, "{log}");
}

#[test]
fn text_chosen_by_callers_is_truncated_in_log_lines() {
    let leaf = Leaf::spawn("i-1", Behaviour::Fail);
    let mut site = serving(&[route("unsafe")], &[("i-1", "a", &leaf)]);
    let long = "x".repeat(3_000);
    let target = format!("/nowhere/{long}");
    assert_eq!(site.ask(0, &Request { target: &target, ..Request::default() }).status, 404);
    assert_eq!(ask(&site, &long), 400);
    assert_eq!(ask(&site, &long[..256]), 500);

    let log = stop_and_read_log(&mut site);

    let about: Vec<&str> = log.lines().filter(|line| line.contains("xxx")).collect();
    assert!(about.len() >= 3, "{log}");
    assert!(about.iter().all(|line| line.len() < 1_000), "{log}");
}

fn number(line: &str, field: &str) -> Option<usize> {
    let field = format!(" {field}=");
    line.split_once(field.as_str())?.1.split(' ').next()?.parse().ok()
}

#[test]
fn top_shows_the_rates_of_a_node() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    assert_eq!(ask(&site, "r-1"), 200);

    let node = address(&site).to_string();
    let arguments = ["top", "--once", "--interval-ms", "300", "--output", "json", &node];
    let output = command(&arguments, "");

    let view: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(view["routes"][0]["name"], "r-a", "{view}");
    assert_eq!(view["nodes"][0]["leafs"], 1.0, "{view}");
    assert_eq!(view["nodes"][0]["store_answers"], true, "{view}");
    let unreachable = command(&["top", "--once", "--interval-ms", "1", &node, "127.0.0.1:1"], "");
    assert_eq!(unreachable.status.code(), Some(5));
}

#[test]
fn report_renders_a_page_from_logs() {
    static PAGES: AtomicU32 = AtomicU32::new(0);
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    jacinthfall_testkit::gateway::site::wait_for("a line about traffic", || {
        ask(&site, "r-1");
        // The node logs its traffic every five seconds.
        std::thread::sleep(std::time::Duration::from_millis(200));
        site.nodes[0].process.cpu_time() > std::time::Duration::ZERO && leaf.runs().len() > 40
    });
    let log = stop_and_read_log(&mut site);
    let name = format!(
        "jacinthfall-{}-{}.html",
        std::process::id(),
        PAGES.fetch_add(1, Ordering::Relaxed)
    );
    let page = std::env::temp_dir().join(name);

    let output = command(&["report", "--page", page.to_str().expect("a path")], &log);

    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = fs::read_to_string(&page).expect("a page");
    fs::remove_file(&page).expect("it can be removed");
    assert!(text.matches("<svg").count() >= 5, "{text}");
    assert!(text.contains("r-a"), "{text}");
    assert_eq!(command(&["report", "--page", "x.html"], "noise\n").status.code(), Some(1));
}

#[test]
fn completion_scripts_contain_every_command_of_the_help() {
    let help = stdout(&command(&["--help"], ""));
    let commands = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let commands = commands.take_while(|line| !line.is_empty());
    let names = commands.filter_map(|line| line.strip_prefix("    ")?.split(' ').next());

    for shell in ["bash", "zsh", "fish"] {
        let script = stdout(&command(&["completion", shell], ""));
        for name in names.clone().filter(|name| !name.is_empty()) {
            assert!(script.contains(name), "{name} in {shell}");
        }
    }
}

#[test]
fn a_request_under_an_outdated_configuration_is_explained() {
    let leaf = serving_leaf("i-1", b"ok");
    let (mut site, _links, _silent) = linked(2, 20_000, &leaf);
    site.configure(&many_routes("/moved/"));
    wait_for("the configuration at the first node", || status(&site, 0, "/moved/1") == 200);
    let behind = "jacinthfall_configuration_behind_seconds";
    // The request's line states whole milliseconds.
    wait_for("the second node to know of it", || metric(&site.nodes[1], behind) > Some(0.002));

    let request = Request { id: "r-7", target: "/moved/1", ..Request::default() };
    let answer = site.ask(1, &request).status;
    let log = stop_and_read_log_of(&mut site, 1);
    let text = stdout(&command(&["explain", "r-7"], &log));

    assert_eq!(answer, 404);
    assert!(text.contains("A later version had been known to exist for"), "{text}");
}
