//! The `jacinthfall` command for operators and support staff.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use http::StatusCode;
use jacinthfall::api::{Fates, Timeline};
use jacinthfall::daemon::listener::{self, Limits};
use jacinthfall::ops::{profile, trace};
use jacinthfall_core::coverage::{self, Coverage, Missed};
use jacinthfall_core::event::{Event, Kind};
use jacinthfall_core::fate::{Fate, Phase, Slowest, Span};
use jacinthfall_core::id::{Incarnation, Shard, Version};
use jacinthfall_core::profile::Profile;
use jacinthfall_core::refusal::{Cause, Ran};
use jacinthfall_core::time::Wall;
use jacinthfall_testkit::site::OPERATOR_TOKEN;
use jacinthfall_wire::Stamp;
use jacinthfall_wire::timeline::Entry;
use serde_json::{Value, json};
use tokio::net::TcpSocket;

use crate::support;

const TOKEN: &str = "token-of-the-tests";

/// Returns the fate of a request whose answer lacks 3 of 30 shards.
fn partial() -> Fate {
    let span = |phase, micros| Span { phase, took: Duration::from_micros(micros) };
    let missed = |shard, cause| Missed { shard: Shard(shard), cause };
    let missed = vec![
        missed(4, coverage::Cause::Unreachable),
        missed(5, coverage::Cause::Unreachable),
        missed(17, coverage::Cause::Timeout),
    ];
    Fate {
        request: "lookup-8f3a".into(),
        profile: "agent-lookup".into(),
        caller: "chat-widget".into(),
        node: Incarnation { node: "klang-1".into(), started: 1_764_790_000_000 },
        arrived: Wall(1_764_795_600_123),
        ended: Some(Wall(1_764_795_600_263)),
        ran: Ran::Ran,
        version: Some(Version(412)),
        coverage: Some(Coverage { total: 30, answered: 27, missed }),
        refused: None,
        message: String::new(),
        spans: vec![span(Phase::Queued, 210), span(Phase::Leafs, 139_400), span(Phase::Merge, 330)],
        slowest: Some(Slowest {
            leaf: "agent-console-07-b".into(),
            shard: Shard(7),
            took: Duration::from_micros(98_900),
        }),
        hedges: 2,
        retries: 1,
    }
}

/// Returns a fate of the same request, which another node refused without running it.
fn refused() -> Fate {
    Fate {
        node: Incarnation { node: "klang-2".into(), started: 1_764_790_000_000 },
        arrived: Wall(1_764_795_599_000),
        ended: Some(Wall(1_764_795_599_001)),
        ran: Ran::NotRun,
        version: None,
        coverage: None,
        refused: Some(Cause::Overloaded),
        message: "256 requests of agent-lookup are in progress; ask again later".into(),
        spans: Vec::new(),
        slowest: None,
        hedges: 0,
        retries: 0,
        ..partial()
    }
}

fn fates(fates: Vec<Fate>, complete: bool) -> Fates {
    Fates { request: "lookup-8f3a".into(), fates, complete, reach: Duration::from_secs(1_800) }
}

fn events() -> Timeline {
    let entry = |at: u64, node: &str, kind| Entry {
        stamp: Stamp { time: at << 32, clock: 1 },
        node: Incarnation { node: node.into(), started: 1 },
        event: Event { request: Some("lookup-8f3a".into()), kind },
    };
    let arrived = Kind::Arrived { profile: "agent-lookup".into() };
    let failed = Kind::Failed {
        attempt: 9,
        leaf: "agent-console-04-a".into(),
        shard: Shard(4),
        cause: coverage::Cause::Unreachable,
    };
    let entries = vec![entry(3_600, "klang-1", arrived), entry(3_601, "klang-1", failed)];
    Timeline { entries, missing: vec!["klang-3".into()] }
}

#[test]
fn trace_renders_every_ask_with_timing_coverage_and_events() {
    let fates = fates(vec![refused(), partial()], true);

    let text = trace::render(&fates, Some(&events()));

    let expected = r#"Request lookup-8f3a: it ran. 2 asks known.

Ask 1 of 2, at node klang-2
  It came at 2025-12-03 20:59:59.000 UTC from caller chat-widget, under profile agent-lookup.
  It was refused after 1.0 ms, because the node was at its limit of work for this profile. The node said: "256 requests of agent-lookup are in progress; ask again later".
  It did not run: no leaf was given it, and none will be.

Ask 2 of 2, at node klang-1
  It came at 2025-12-03 21:00:00.123 UTC from caller chat-widget, under profile agent-lookup.
  It was answered after 140.0 ms.
  It ran.
  The answer shows index version 412.
  The answer is partial: 27 of 30 shards are in it (90.0%), 3 shards missing:
    shard 17: no replica replied before the deadline.
    shards 4-5: every replica refused or closed the connection.
  Where the time went: 0.2 ms waiting for a free slot, 139.4 ms waiting for leafs, 0.3 ms merging rows.
  Most of it (99%) was waiting for leafs: the leafs took that long to reply.
  The slowest leaf was agent-console-07-b (shard 7), with 98.9 ms.
  2 slow parts also went to another replica (hedged requests).
  1 failed part went to another replica (retries).

Every node that keeps fates of this request replied.
Their records reach back 1800.0 s; what came before may be forgotten.

Events on all nodes, each after what caused it (UTC):
  01:00:00.000  klang-1  arrived, profile agent-lookup
  01:00:01.000  klang-1  leaf agent-console-04-a failed for shard 4: it refused or closed the connection (attempt 9)
No reply came from klang-3; events there are not shown.
"#;
    assert_eq!(text, expected);
}

#[test]
fn trace_with_incomplete_records_says_what_is_unknown() {
    let in_progress = Fate { ended: None, ran: Ran::Unknown, ..refused() };
    let incomplete = trace::render(&fates(vec![refused()], false), None);
    let unknown = trace::render(&fates(Vec::new(), false), None);
    let unfinished = trace::render(&fates(vec![in_progress], true), None);

    assert!(
        incomplete.starts_with("Request lookup-8f3a: it did not run at the asks that are known.")
    );
    assert!(incomplete.contains("there may be more"));
    assert!(unknown.starts_with("Nothing is known about request lookup-8f3a."));
    assert!(unknown.contains("there may be more"));
    assert!(unfinished.starts_with("Request lookup-8f3a: it may have run."));
    assert!(unfinished.contains("in progress, or its node was lost"));
}

#[test]
fn profile_file_errors_name_key_and_remedy() {
    let cases = [
        (json!({"deadline_ms": null, "deadline": 140}), "write it as `deadline_ms`"),
        (json!({"early_after_s": 1}), "write it as `early_after_ms`"),
        (json!({"colour": 1}), "take one of name, service, deadline_ms"),
        (json!({"deadline_ms": "140ms"}), "write whole milliseconds as a plain number"),
        (json!({"least_coverage": 90}), "a share from 0 to 1 is allowed, but it is 90"),
        (json!({"wait": "never"}), "write \"full\" or \"early\""),
        (json!({"idempotent": null}), "add the missing key"),
    ];
    for (change, remedy) in cases {
        let mut value = json!({
            "name": "p", "service": "s", "deadline_ms": 140, "idempotent": true
        });
        for (key, changed) in change.as_object().unwrap() {
            value[key] = changed.clone();
        }
        let object = value.as_object_mut().unwrap();
        object.retain(|_, value| !value.is_null());

        let error = profile::parse("p.jsonc".as_ref(), &value.to_string()).unwrap_err();

        let text = error.to_string();
        assert!(text.starts_with("p.jsonc: "), "{text}");
        assert!(text.contains(remedy), "{text}");
    }
}

#[test]
fn known_profile_keys_match_the_fields_of_profile() {
    let text = r#"{"name": "p", "service": "s", "deadline_ms": 1, "idempotent": true}"#;
    let profile: Profile = serde_json::from_str(text).unwrap();

    let value = serde_json::to_value(&profile).unwrap();

    let mut keys: Vec<&str> = value.as_object().unwrap().keys().map(String::as_str).collect();
    let mut known = profile::KEYS.to_vec();
    keys.sort_unstable();
    known.sort_unstable();
    assert_eq!(keys, known);
}

/// Starts a listener that gives the same reply to every call, in place of a node.
fn fake_node(status: StatusCode, body: Value) -> SocketAddr {
    let limits = Limits { connections: 8, stall: Duration::from_secs(30) };
    let serve = move |_: &mut _| listener::json_response(status, &body);
    listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)), limits, serve).unwrap()
}

/// Runs the command with the given addresses and token, and nothing else in the environment.
fn run(arguments: &[&str], callers: SocketAddr, operators: SocketAddr, token: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jacinthfall"))
        .args(arguments)
        .env_clear()
        .env("JACINTHFALL_CALLERS", callers.to_string())
        .env("JACINTHFALL_OPERATORS", operators.to_string())
        .env("JACINTHFALL_TOKEN", token)
        .output()
        .unwrap()
}

/// Writes a profile with this deadline to a temporary file.
fn profile_file(deadline_ms: u32) -> PathBuf {
    static FILES: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = FILES.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("jacinthfall-profile-{}-{number}.jsonc", std::process::id());
    let path = std::env::temp_dir().join(name);
    let profile = json!({
        "name": "patient-bot-engine", "service": "bot-engine",
        "deadline_ms": deadline_ms, "idempotent": true
    });
    let mut file = fs::File::create(&path).unwrap();
    writeln!(file, "// changed by a test\n{profile}").unwrap();
    path
}

fn refusal(ran: &str) -> Value {
    json!({"request": "q", "node": "n", "cause": "overloaded", "ran": ran,
        "retry_after_ms": 50, "message": "ask again later"})
}

fn answer(answered: u32) -> Value {
    let missed: Vec<Value> =
        (answered..2).map(|shard| json!({"shard": shard, "cause": "timeout"})).collect();
    json!({"request": "q", "node": "n", "ran": "ran", "version": 7, "rows": [],
        "coverage": {"total": 2, "answered": answered, "missed": missed}, "took_us": 9})
}

#[test]
fn exit_codes_distinguish_success_refusal_and_unknown_outcome() {
    let file = profile_file(140);
    let put = ["profile", "put", file.to_str().unwrap(), "--cause", "test", "--author", "me"];
    let query = ["query", "--profile", "p", "--text", "t"];
    let trace = ["trace", "q"];
    let no_fates =
        |complete| json!({"request": "q", "fates": [], "complete": complete, "reach_ms": 1});
    let refused = json!({"result": "refused", "revision": 5, "message": "read it and try again"});
    let invalid = json!({"result": "invalid", "field": "profile.service", "message": "correct it"});
    let cases: [(&[&str], u16, Value, i32); 12] = [
        (&query, 200, answer(2), 0),
        (&query, 200, answer(1), 5),
        (&query, 503, refusal("not_run"), 3),
        (&query, 503, refusal("unknown"), 4),
        (&query, 503, refusal("ran"), 1),
        (&query, 500, json!("no JSON object"), 4),
        (&trace, 404, no_fates(true), 1),
        (&trace, 503, no_fates(false), 4),
        (&put, 200, json!({"result": "accepted", "revision": 5}), 0),
        (&put, 409, refused, 3),
        (&put, 400, invalid, 2),
        (&put, 401, json!(null), 1),
    ];
    for (arguments, status, body, expected) in cases {
        let node = fake_node(StatusCode::from_u16(status).unwrap(), body.clone());

        let output = run(arguments, node, node, TOKEN);

        assert_eq!(output.status.code(), Some(expected), "{arguments:?} {body} {output:?}");
    }
    fs::remove_file(file).unwrap();
}

#[test]
fn broken_connection_is_distinguished_from_a_refused_one() {
    let query = ["query", "--profile", "p", "--text", "t", "--request", "q-1"];
    let closing = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = closing.local_addr().unwrap();
    let server = std::thread::spawn(move || drop(closing.accept().unwrap()));
    // Bound but not listening: connections are refused, and no other process gets the port.
    let refusing = TcpSocket::new_v4().unwrap();
    refusing.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let refusing_address = refusing.local_addr().unwrap();

    let broken = run(&query, address, address, TOKEN);
    let unreachable = run(&query, refusing_address, refusing_address, TOKEN);

    server.join().unwrap();
    let stderr = String::from_utf8(broken.stderr).unwrap();
    assert_eq!(broken.status.code(), Some(4), "{stderr}");
    assert!(stderr.contains("jacinthfall trace q-1"), "{stderr}");
    let stderr = String::from_utf8(unreachable.stderr).unwrap();
    assert_eq!(unreachable.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains("nothing was sent"), "{stderr}");
}

#[test]
fn invalid_command_lines_exit_with_2_and_print_nothing_to_stdout() {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let cases: [&[&str]; 9] = [
        &[],
        &["frobnicate"],
        &["query", "--profile", "p"],
        &["query", "--profile", "a b", "--text", "t"],
        &["query", "--profile", "p", "--text", "t", "--limit", "many"],
        &["trace"],
        &["trace", "q", "--colour"],
        &["profile", "put", "/no/such/file", "--cause", "c"],
        &["status", "--operators", "localhost"],
    ];
    for arguments in cases {
        let output = run(arguments, nowhere, nowhere, TOKEN);

        assert_eq!(output.status.code(), Some(2), "{arguments:?} {output:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
    }
}

#[test]
fn every_command_has_help() {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let commands: [&[&str]; 10] = [
        &[],
        &["query"],
        &["trace"],
        &["addresses"],
        &["status"],
        &["timeline"],
        &["profile", "list"],
        &["profile", "show"],
        &["profile", "put"],
        &["profile", "history"],
    ];
    for command in commands {
        let output = run(&[command, &["--help"]].concat(), nowhere, nowhere, TOKEN);

        assert_eq!(output.status.code(), Some(0), "{command:?}");
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.contains(format!("jacinthfall {}", command.join(" ")).trim()), "{text}");
    }
}

#[test]
fn commands_work_against_a_running_site() {
    let site = support::site(&["bot-engine"]);
    let at = |node: usize, arguments: &[&str]| -> (i32, String) {
        let node = &site.nodes[node];
        let output = run(arguments, node.callers, node.operators, OPERATOR_TOKEN);
        let text = String::from_utf8(output.stdout).unwrap();
        (output.status.code().unwrap(), text + &String::from_utf8(output.stderr).unwrap())
    };
    let json = |node: usize, arguments: &[&str]| -> Value {
        let (code, text) = at(node, &[arguments, &["--json"]].concat());
        assert_eq!(code, 0, "{text}");
        serde_json::from_str(&text).unwrap()
    };
    let query = ["query", "--profile", "patient-bot-engine", "--text", "t", "--request", "q-1"];

    let (code, text) = at(0, &query);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("The answer is complete: 5 of 5 shards"), "{text}");

    let (code, text) = at(2, &["trace", "q-1"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("at node node-0") && text.contains("It ran."), "{text}");
    assert!(text.contains("arrived, profile patient-bot-engine"), "{text}");

    let found = json(1, &["timeline", "--request", "q-1"]);
    assert!(found["entries"].as_array().unwrap().len() > 5, "{found}");
    assert_eq!(json(1, &["status"])["members"].as_array().unwrap().len(), 3);
    assert_eq!(json(1, &["addresses"])["addresses"].as_array().unwrap().len(), 3);

    let file = profile_file(15_000);
    let put = ["profile", "put", file.to_str().unwrap(), "--cause", "test", "--author", "me"];
    let (code, text) = at(1, &[&put[..], &["--wait"]].concat());
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("in force on 3 of 3 nodes"), "{text}");
    let (code, text) = at(2, &[&put[..], &["--expect-revision", "1"]].concat());
    assert_eq!(code, 3, "{text}");

    let (code, text) = at(0, &["profile", "show", "patient-bot-engine"]);
    assert_eq!(code, 0, "{text}");
    let shown = profile::parse("shown".as_ref(), &text).expect("a shown profile can be put again");
    assert_eq!(shown.deadline, Duration::from_secs(15));
    let (code, text) = at(0, &["profile", "history", "patient-bot-engine"]);
    assert!(code == 0 && text.contains("me  test"), "{text}");
    let (code, text) = at(0, &["profile", "list"]);
    assert!(code == 0 && text.contains("patient-bot-engine"), "{text}");
    fs::remove_file(file).unwrap();
}
