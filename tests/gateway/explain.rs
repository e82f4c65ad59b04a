//! From the id of a request to the cause of its end.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use jacinthfall_testkit::gateway::leaf::{Conduct, Leaf};
use jacinthfall_testkit::gateway::site::{Request, Site, gather, route, serves};
use serde_json::Value;

use crate::support::serving;

/// Lines about failed requests in a second, and those of the one that fills them up.
const FAILED_LINES: usize = 100 + 25;

fn command(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_jacinthfall"))
        .args(arguments)
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command starts");
    // A command that doesn't read closes the pipe early.
    let _ = child.stdin.take().expect("a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("the command ends")
}

fn told(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

/// Ends a node and returns its log.
fn log(site: &mut Site) -> String {
    site.nodes[0].process.terminate();
    site.nodes[0].process.wait();
    site.nodes[0].process.rest().join("\n") + "\n"
}

fn ask(site: &Site, id: &str) -> u16 {
    site.ask(0, &Request { id, ..Request::default() }).status
}

fn address(site: &Site) -> SocketAddr {
    site.nodes[0].addresses
}

#[test]
fn a_request_that_must_not_run_twice_is_explained_from_the_log_and_at_the_node() {
    let leaf = Leaf::spawn("i-1", Conduct::Drop);
    let mut site = serving(&[route("unsafe")], &[("i-1", "a", &leaf)]);
    assert_eq!(ask(&site, "r-7"), 502);

    let node = address(&site).to_string();
    let live = told(&command(&["trace", "r-7", "--gateway", &node], ""));
    let log = format!("{}no line of a node\n", log(&mut site));
    let later = told(&command(&["explain", "r-7"], &log));

    for text in [live, later.clone()] {
        assert!(text.contains("failed with 502; it may have run"), "{text}");
        assert!(text.contains("a to i-1: first choice"), "{text}");
        assert!(text.contains("i-1 gave no usable answer"), "{text}");
        assert!(text.contains("must not run twice"), "{text}");
        assert!(text.contains("Cause: a leaf broke off"), "{text}");
    }
    assert!(later.contains("(in force since"), "{later}");
    assert!(later.contains("1 line in the logs could not be read"), "{later}");
}

#[test]
fn a_refused_request_names_the_shards_without_a_leaf() {
    let leaf = serves("i-1", b"ok");
    let mut site = serving(&[gather(1.0)], &[("i-1", "s-0", &leaf)]);
    let request = Request { id: "r-7", target: "/g/1", ..Request::default() };
    assert_eq!(site.ask(0, &request).status, 503);

    let output = command(&["explain", "r-7", "--output", "json"], &log(&mut site));

    let told: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let end = &told["stories"][0]["end"];
    assert_eq!(end["outcome"], "refused", "{told}");
    assert!(end["missing"].as_str().expect("text").contains("s-1:"), "{told}");
    assert_eq!(end["known_ms"].as_str().map(|ms| ms.parse::<u64>().is_ok()), Some(true), "{told}");
}

#[test]
fn a_request_without_a_route_is_explained() {
    let leaf = serves("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    let request = Request { id: "r-9", target: "/nowhere", ..Request::default() };
    assert_eq!(site.ask(0, &request).status, 404);

    let text = told(&command(&["explain", "r-9"], &log(&mut site)));

    assert!(text.contains("/nowhere; answered 404"), "{text}");
    assert!(text.contains("no route of the configuration in force fits"), "{text}");
}

#[test]
fn what_an_earlier_process_believed_is_not_told() {
    let log = "time=2026-12-03T10:00:00.000Z level=INFO event=start node=n-1\n\
        time=2026-12-03T10:00:01.000Z level=INFO event=configuration version=3 source=store\n\
        time=2026-12-03T10:00:02.000Z level=INFO event=start node=n-1\n\
        time=2026-12-03T10:00:02.010Z level=INFO event=rejected id=\"r-1\" status=503 \
        reason=starting host=\"a\" path=\"/\" version=0 upto=0\n";

    let text = told(&command(&["explain", "r-1"], log));

    assert!(text.contains("Configuration version 0.\n"), "{text}");
    assert!(text.contains("no configuration yet"), "{text}");
}

#[test]
fn an_unknown_request_ends_with_failure_and_says_where_to_look() {
    let output = command(&["explain", "r-1"], "");

    assert_eq!(output.status.code(), Some(1));
    assert!(told(&output).contains("passed_over"), "{}", told(&output));
}

#[test]
fn lines_about_failures_are_bounded_and_counted() {
    let leaf = Leaf::spawn("i-1", Conduct::Fail);
    let mut site = serving(&[route("unsafe")], &[("i-1", "a", &leaf)]);
    let started = std::time::Instant::now();
    for number in 0..400 {
        ask(&site, &format!("r-{number}"));
    }
    let seconds = usize::try_from(started.elapsed().as_secs()).expect("a few") + 2;

    let log = log(&mut site);

    let about = log.lines().filter(|line| line.contains("id=\"r-"));
    assert!(about.count() <= seconds * FAILED_LINES, "{log}");
    let answers = log.lines().filter(|line| line.contains("event=answer")).count();
    let traffic = log.lines().filter(|line| line.contains("event=traffic"));
    let counted: usize = traffic.filter_map(|line| number(line, "failed")).sum();
    assert!(answers < 400, "{answers} answers have a line");
    assert!(counted > 0, "{log}");
}

#[test]
fn what_a_caller_chooses_makes_no_line_long() {
    let leaf = Leaf::spawn("i-1", Conduct::Fail);
    let mut site = serving(&[route("unsafe")], &[("i-1", "a", &leaf)]);
    let long = "x".repeat(3_000);
    let target = format!("/nowhere/{long}");
    assert_eq!(site.ask(0, &Request { target: &target, ..Request::default() }).status, 404);
    assert_eq!(ask(&site, &long), 500);

    let log = log(&mut site);

    let about: Vec<&str> = log.lines().filter(|line| line.contains("xxx")).collect();
    assert!(about.len() >= 2, "{log}");
    assert!(about.iter().all(|line| line.len() < 1_000), "{log}");
}

fn number(line: &str, field: &str) -> Option<usize> {
    let field = format!(" {field}=");
    line.split_once(field.as_str())?.1.split(' ').next()?.parse().ok()
}

#[test]
fn rates_of_a_node_are_shown() {
    let leaf = serves("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    assert_eq!(ask(&site, "r-1"), 200);

    let node = address(&site).to_string();
    let arguments = ["top", "--once", "--interval-ms", "300", "--output", "json", &node];
    let output = command(&arguments, "");

    let view: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(view["routes"][0]["name"], "r-a", "{view}");
    assert_eq!(view["nodes"][0]["leafs"], 1.0, "{view}");
    assert_eq!(view["nodes"][0]["store_answers"], true, "{view}");
    let lost = command(&["top", "--once", "--interval-ms", "1", &node, "127.0.0.1:1"], "");
    assert_eq!(lost.status.code(), Some(5));
}

#[test]
fn a_page_is_drawn_from_logs() {
    static PAGES: AtomicU32 = AtomicU32::new(0);
    let leaf = serves("i-1", b"ok");
    let mut site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    jacinthfall_testkit::gateway::site::wait_for("a line about traffic", || {
        ask(&site, "r-1");
        // Lines come each five seconds.
        std::thread::sleep(std::time::Duration::from_millis(200));
        site.nodes[0].process.cpu() > std::time::Duration::ZERO && leaf.runs().len() > 40
    });
    let log = log(&mut site);
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
fn completion_names_every_command_of_the_help() {
    let help = told(&command(&["--help"], ""));
    let commands = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let commands = commands.take_while(|line| !line.is_empty());
    let names = commands.filter_map(|line| line.strip_prefix("    ")?.split(' ').next());

    for shell in ["bash", "zsh", "fish"] {
        let script = told(&command(&["completion", shell], ""));
        for name in names.clone().filter(|name| !name.is_empty()) {
            assert!(script.contains(name), "{name} in {shell}");
        }
    }
}
