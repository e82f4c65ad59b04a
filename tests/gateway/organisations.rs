//! Organisations: their keys, what leafs learn of them, and that keys stay secret.

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall::gateway::peers::relay::{Query, Refusal, Reply, decode_headers, encode_headers};
use jacinthfall_standin::platform::control::Change;
use jacinthfall_testkit::gateway::leaf::{Leaf, Run};
use jacinthfall_testkit::gateway::site::{
    Request, Response, Site, exchange, gather, metric, ready, route, serving_leaf, wait_for,
};
use serde_json::{Value, json};

use crate::cut_off::{Cut, SERVICES, queries};
use crate::explain::{command, stdout, stop_and_read_log_of};
use crate::relay::{encode, query, send, send_with};
use crate::support::{open, silent_store};

/// Key of the organisation `bank`.
const KEY: &str = "sk-bank-4f9d2c71";

/// Header line with that key.
const HEADER: &str = "X-Api-Key: sk-bank-4f9d2c71\r\n";

/// Another key of the organisation `bank`.
const SECOND_KEY: &str = "sk-bank-second";

fn organisations() -> Value {
    json!([
        {"name": "bank", "api-keys": [KEY, SECOND_KEY], "rate-per-s": 50, "burst": 10},
        {"name": "shop", "api-keys": ["sk-shop-1"], "priority": 3},
    ])
}

/// Returns a route to service `a` for callers without a key.
fn anonymous() -> Value {
    let mut anonymous = route("safe");
    anonymous["name"] = "r-open".into();
    anonymous["prefix"] = "/open/".into();
    anonymous["allow-anonymous"] = true.into();
    anonymous
}

/// Starts a node with organisations, with a leaf of each of the services.
fn serving(leafs: &[(&str, &str, &Leaf)]) -> Site {
    let mut site = open();
    for (id, service, leaf) in leafs {
        site.register(id, service, leaf, 1, "ready");
    }
    site.set_organisations(organisations());
    site.configure(&[route("safe"), anonymous(), gather(1.0)]);
    site.start();
    site.wait_ready(0);
    site
}

fn ask(site: &Site, target: &str, headers: &str) -> u16 {
    ask_node(site, 0, target, headers)
}

fn ask_node(site: &Site, node: usize, target: &str, headers: &str) -> u16 {
    site.ask(node, &Request { target, headers, ..Request::default() }).status
}

/// Registers a further leaf of service `b` and waits until all nodes know it, so that they know all
/// earlier changes in the store too.
fn pass_on(site: &Site, id: &str, leaf: &Leaf) {
    let usable = |node| metric(node, "jacinthfall_leafs_usable");
    let before: Vec<_> = site.nodes.iter().map(usable).collect();
    site.register(id, "b", leaf, 1, "ready");
    for (node, before) in site.nodes.iter().zip(before) {
        wait_for("a change after the others", || usable(node) > before);
    }
}

/// Returns the values of a header of a request that a leaf got.
fn values(run: &Run, name: &str) -> Vec<String> {
    let lines = run.head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let lines = lines.filter(|(other, _)| other.eq_ignore_ascii_case(name));
    lines.map(|(_, value)| value.trim().to_owned()).collect()
}

/// Checks that each request named this organisation once, if any, and no key.
fn assert_named(runs: &[Run], organisation: Option<&str>) {
    for run in runs {
        assert_eq!(values(run, "x-tenant"), Vec::from_iter(organisation), "{}", run.head);
        assert!(!run.head.to_ascii_lowercase().contains("x-api-key"), "{}", run.head);
        assert!(!run.head.contains("sk-"), "{}", run.head);
    }
}

#[test]
fn leafs_learn_the_organisation_of_a_known_key_once_and_not_the_key() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[("i-1", "a", &leaf)]);
    let forged = ["", "X-Tenant: shop\r\n", "x-tenant: shop\r\nX-TENANT: bank\r\n"];

    for target in ["/a/1", "/open/1"] {
        for forged in forged {
            assert_eq!(ask(&site, target, &format!("{forged}{HEADER}")), 200);
            assert_eq!(ask(&site, target, &format!("{HEADER}{forged}")), 200);
        }
    }
    let named = "Connection: X-Tenant, X-Api-Key\r\n";
    assert_eq!(ask(&site, "/a/1", &format!("{named}{HEADER}")), 200);
    assert_eq!(ask(&site, "/a/1", &format!("X-Api-Key: \t {SECOND_KEY} \r\n")), 200);

    assert_eq!(leaf.runs().len(), 14);
    assert_named(&leaf.runs(), Some("bank"));
}

#[test]
fn a_request_without_a_known_key_is_not_forwarded() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[("i-1", "a", &leaf), ("i-1", "s-0", &leaf)]);

    for headers in ["", "X-Api-Key: no\r\n", "X-Tenant: bank\r\n", "Authorization: bank\r\n"] {
        for target in ["/a/1", "/g/1"] {
            let response = site.ask(0, &Request { target, headers, ..Request::default() });
            assert_eq!(response.status, 401, "{headers}");
            assert!(response.header("www-authenticate").is_some());
        }
    }
    let almost = [KEY[1..].to_owned(), KEY.to_ascii_uppercase(), format!("{KEY}x")];
    for key in almost {
        assert_eq!(ask(&site, "/a/1", &format!("X-Api-Key: {key}\r\n")), 401, "{key}");
    }

    assert!(leaf.runs().is_empty());
}

#[test]
fn an_anonymous_route_names_the_organisations_of_known_keys_only() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[("i-1", "a", &leaf)]);

    for headers in ["", "X-Tenant: bank\r\n", "X-Api-Key: sk-no\r\nX-Tenant: bank\r\n"] {
        assert_eq!(ask(&site, "/open/1", headers), 200, "{headers}");
    }

    assert_eq!(leaf.runs().len(), 3);
    assert_named(&leaf.runs(), None);
}

#[test]
fn malformed_keys_are_rejected_on_every_route() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[("i-1", "a", &leaf)]);
    let twice = format!("{HEADER}{HEADER}");
    let mixed = format!("{HEADER}x-api-key: no\r\n");
    let cases: [(&[u8], u16); 6] = [
        (twice.as_bytes(), 400),
        (mixed.as_bytes(), 400),
        (b"X-Api-Key:\r\n", 400),
        (b"X-Api-Key: \t \r\n", 400),
        (b"X-Api-Key: \xff\xfe\r\n", 400),
        (b"X-Api-Key: sk-bank\x00\r\n", 400),
    ];
    let huge = format!("X-Api-Key: {}\r\n", "k".repeat(100_000));

    for target in ["/a/1", "/open/1"] {
        for (headers, status) in cases {
            let text = Request { target, headers: "HEADERS", ..Request::default() }.text();
            let (before, after) = text.split_once("HEADERS").expect("the headers");
            let bytes = [before.as_bytes(), headers, after.as_bytes()].concat();
            let response = Response::parse(&exchange(site.nodes[0].callers, &bytes));
            assert_eq!(response.status, status, "{}", String::from_utf8_lossy(headers));
        }
        assert_eq!(ask(&site, target, &huge), 431);
    }

    assert!(leaf.runs().is_empty());
    assert_eq!(ask(&site, "/a/1", HEADER), 200);
}

#[test]
fn without_organisations_both_headers_pass_through() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = crate::support::serving(&[route("safe")], &[("i-1", "a", &leaf)]);

    assert_eq!(ask(&site, "/a/1", &format!("{HEADER}X-Tenant: own\r\n")), 200);
    assert_eq!(ask(&site, "/a/1", ""), 200);

    let runs = leaf.runs();
    assert_eq!((values(&runs[0], "x-api-key"), values(&runs[0], "x-tenant")), {
        (vec![KEY.to_owned()], vec!["own".to_owned()])
    });
}

#[test]
fn every_part_of_a_query_names_the_organisation_once() {
    let leafs = ["s-0", "s-1", "s-2"].map(|service| (service, serving_leaf(service, b"ok")));
    let registered: Vec<_> = leafs.iter().map(|(name, leaf)| (*name, *name, leaf)).collect();
    let site = serving(&registered);

    assert_eq!(ask(&site, "/g/1", &format!("X-Tenant: shop\r\n{HEADER}")), 200);

    for (_, leaf) in &leafs {
        assert_eq!(leaf.runs().len(), 1);
        assert_named(&leaf.runs(), Some("bank"));
    }
}

/// Sends bytes to the address at which a node serves metrics and traces, and returns the response.
fn ask_operators(site: &Site, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let response = exchange(site.nodes[0].addresses, request.as_bytes());
    String::from_utf8(response).expect("text")
}

#[test]
fn logs_metrics_traces_and_errors_name_the_organisation_and_hold_no_key() {
    let leaf = serving_leaf("i-1", b"ok");
    let mut site = serving(&[("i-1", "a", &leaf)]);
    let ask = |id, headers| site.ask(0, &Request { id, headers, ..Request::default() });

    let answers = [
        ask("r-ok", HEADER),
        ask("r-none", ""),
        ask("r-unknown", "X-Api-Key: sk-unknown\r\n"),
        ask("r-twice", "X-Api-Key: sk-one\r\nX-Api-Key: sk-two\r\n"),
    ];
    let metrics = ask_operators(&site, "/metrics");
    let node = site.nodes[0].addresses.to_string();
    let traces = ["r-ok", "r-none", "r-unknown", "r-twice"];
    let traces = traces.map(|id| stdout(&command(&["trace", id, "--gateway", &node], "")));
    site.set_organisations(json!([
        {"name": "bank", "api-keys": [KEY]}, {"name": "shop", "api-keys": [KEY]},
    ]));
    site.configure(&[route("safe")]);
    pass_on(&site, "i-2", &leaf);
    let log = stop_and_read_log_of(&mut site, 0);

    assert_eq!(answers.each_ref().map(|answer| answer.status), [200, 401, 401, 400]);
    let errors: String =
        answers.iter().map(|answer| String::from_utf8_lossy(&answer.body).into_owned()).collect();
    let explained = stdout(&command(&["explain", "r-unknown"], &log));
    let losses = stdout(&command(&["losses"], &log));
    let texts = [errors, metrics, traces.concat(), log.clone(), explained, losses];
    for text in &texts {
        assert!(!text.contains("sk-"), "{text}");
    }
    assert!(log.contains("organisation=\"bank\""), "{log}");
    for reason in ["no_key", "unknown_key", "bad_key"] {
        assert!(log.contains(&format!("reason={reason}")), "{log}");
    }
    assert!(log.contains("event=configuration_unreadable"), "{log}");
    let [_, metrics, traces, _, explained, losses] = texts;
    assert!(metrics.contains("jacinthfall_rejections_total{reason=\"no_key\"} 1"), "{metrics}");
    assert!(traces.contains("organisation bank") && traces.contains("no key"), "{traces}");
    assert!(explained.contains("answered 401 without being sent to a leaf"), "{explained}");
    assert!(explained.contains("no organisation of the configuration in force"), "{explained}");
    assert!(losses.contains("no key") && losses.contains("unknown key"), "{losses}");
}

/// Starts two nodes with organisations, of which the first has lost its links to leafs.
fn cut_off() -> Cut {
    let mut cut = Cut::open(&queries(), &SERVICES, 1);
    cut.cut_off();
    cut.site.set_organisations(organisations());
    cut.site.configure(&[route("safe"), anonymous(), gather(0.6)]);
    for node in 0..2 {
        wait_for("the organisations", || ask_node(&cut.site, node, "/a/1", "") == 401);
    }
    cut
}

/// Returns the requests with an id that leafs got.
fn runs(cut: &Cut, id: &str) -> Vec<Run> {
    let runs = cut.leafs.iter().flat_map(|leaf| leaf.runs());
    runs.filter(|run| run.header("x-request-id").as_deref() == Some(id)).collect()
}

#[test]
fn a_request_through_another_node_names_the_organisation_once_and_holds_no_key() {
    let cut = cut_off();
    let forged = format!("X-Tenant: shop\r\n{HEADER}X-Tenant: bank\r\n");
    let unknown = "X-Api-Key: sk-no\r\nX-Tenant: bank\r\n";
    let cases = [
        ("r-one", "/a/1", HEADER, 200, Some("bank")),
        ("r-forged", "/a/1", &*forged, 200, Some("bank")),
        ("r-query", "/g/1", &*forged, 200, Some("bank")),
        ("r-known", "/open/1", &*forged, 200, Some("bank")),
        ("r-open", "/open/1", unknown, 200, None),
        ("r-unknown", "/a/1", unknown, 401, None),
    ];
    let served = || metric(&cut.site.nodes[1], "jacinthfall_served_for_others_total");
    let before = served().unwrap_or_default();

    for (id, target, headers, status, organisation) in cases {
        let request = Request { id, target, headers, ..Request::default() };
        assert_eq!(cut.site.ask(0, &request).status, status, "{id}");

        let runs = runs(&cut, id);
        assert_eq!(runs.is_empty(), status == 401, "{id}");
        assert_named(&runs, organisation);
    }

    assert_eq!(served().unwrap_or_default() - before, 5.0, "through the other node");
}

#[test]
fn both_nodes_of_a_request_tell_organisations_apart_alike() {
    let mut cut = cut_off();
    let ids = ["r-bank", "r-again", "r-shop"];
    let second = format!("X-Api-Key: {SECOND_KEY}\r\n");

    for (id, headers) in ids.iter().zip([HEADER, &second, "X-Api-Key: sk-shop-1\r\n"]) {
        // The limit on lines about complete answers applies for a second.
        thread::sleep(Duration::from_millis(1_100));
        assert_eq!(cut.site.ask(0, &Request { id, headers, ..Request::default() }).status, 200);
    }

    let logs = [0, 1].map(|node| stop_and_read_log_of(&mut cut.site, node));
    let fingerprint = |log: &str, id: &str| {
        let id = format!("id={id:?} request=");
        let line = log.lines().find(|line| line.contains(&id)).expect("a line about the request");
        line.split(&id).nth(1).and_then(|rest| rest.split(' ').next().map(str::to_owned))
    };
    let [first, second] = logs.map(|log| ids.map(|id| fingerprint(&log, id)));
    assert_eq!(first, second);
    assert_eq!(first[0], first[1], "two keys of one organisation");
    assert_ne!(first[0], first[2], "two organisations");
}

#[test]
fn a_node_identifies_the_requests_of_peers_that_do_not() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[("i-1", "a", &leaf)]);
    let relay = |target: &str, fields: &[(&str, &str)]| {
        let mut query = Query { target: target.to_owned(), ..query(site.version()) };
        let mut headers = decode_headers(&query.headers).expect("headers");
        for (name, value) in fields {
            let name = http::HeaderName::from_bytes(name.as_bytes()).expect("a name");
            headers.append(name, value.parse().expect("a value"));
        }
        query.headers = encode_headers(&headers);
        let reply = send(site.nodes[0].peers, encode(&query));
        let Reply::Answer(answer) = reply else { panic!("{reply:?}") };
        answer.status
    };
    let (key, forged) = (("x-api-key", KEY), ("x-tenant", "shop"));

    assert_eq!(relay("/a/1", &[key]), 200);
    assert_eq!(relay("/a/1", &[forged, key, forged]), 200);
    assert_eq!(relay("/open/1", &[key, forged]), 200);
    assert_named(&leaf.runs(), Some("bank"));
    assert_eq!(leaf.runs().len(), 3);
    for fields in [&[][..], &[forged], &[("x-api-key", "sk-no"), forged]] {
        assert_eq!(relay("/a/1", fields), 401, "{fields:?}");
    }
    assert_eq!(relay("/a/1", &[key, key]), 400);
    assert_eq!(leaf.runs().len(), 3);
    assert_eq!(relay("/open/1", &[forged]), 200);
    assert_named(&leaf.runs()[3..], None);
}

#[test]
fn a_node_takes_the_organisation_from_a_peer_that_has_determined_it() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[("i-1", "a", &leaf)]);
    let relay = |target: &str, name: Option<&str>, known_version: u64| {
        let mut query = Query { target: target.to_owned(), known_version, ..query(site.version()) };
        let mut headers = decode_headers(&query.headers).expect("headers");
        if let Some(name) = name {
            headers.insert("x-tenant", name.parse().expect("a value"));
        }
        query.headers = encode_headers(&headers);
        let marker = ("jacinthfall-identified", http::HeaderValue::from_static("1"));
        send_with(site.nodes[0].peers, &[marker], encode(&query))
    };
    let version = site.version();
    let status = |reply: Reply| match reply {
        Reply::Answer(answer) => answer.status,
        Reply::Refused(refusal) => panic!("{refusal:?}"),
    };

    assert_eq!(status(relay("/a/1", Some("bank"), version)), 200);
    assert_named(&leaf.runs(), Some("bank"));
    assert_eq!(status(relay("/a/1", Some("withdrawn"), version)), 401);
    assert_eq!(status(relay("/a/1", None, version)), 401);
    assert_eq!(leaf.runs().len(), 1);
    assert_eq!(status(relay("/open/1", Some("withdrawn"), version)), 200);
    assert_named(&leaf.runs()[1..], None);
    // The other node has a later version, which has added the organisation.
    assert_eq!(status(relay("/a/1", Some("added"), version + 1)), 200);
    assert_named(&leaf.runs()[2..], Some("added"));
}

#[test]
fn a_node_does_not_reject_a_key_that_its_peer_may_know_by_a_later_version() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[("i-1", "a", &leaf)]);
    let query = Query { known_version: site.version() + 1, ..query(site.version()) };

    let reply = send(site.nodes[0].peers, encode(&query));

    assert!(matches!(reply, Reply::Refused(Refusal::Behind)), "{reply:?}");
    assert!(leaf.runs().is_empty());
}

/// Time after which nodes must handle requests by a new version.
const APPLY_TIME: Duration = Duration::from_secs(5);

const OLD: &str = "X-Api-Key: sk-old\r\n";
const NEW: &str = "X-Api-Key: sk-new\r\n";

/// Writes a version in which the organisation `bank` has one key.
fn write_key(site: &mut Site, key: &str) {
    site.set_organisations(json!([{"name": "bank", "api-keys": [key]}]));
    site.configure(&[route("safe")]);
}

/// Starts a node, and nodes that reach it but not the store; all have the old key.
fn informed(leaf: &Leaf, nodes: usize) -> (Site, TcpListener) {
    let mut site = open();
    site.register("i-1", "a", leaf, 1, "ready");
    write_key(&mut site, "sk-old");
    site.start();
    site.wait_ready(0);
    let silent = silent_store();
    let store = silent.local_addr().expect("an address");
    for node in 1..nodes {
        site.start_with(store);
        site.wait_ready(node);
    }
    (site, silent)
}

/// Checks that a node accepts the new key and not the old one.
fn assert_new(site: &Site, node: usize, what: &str) {
    let statuses = [OLD, NEW].map(|headers| ask_node(site, node, "/a/1", headers));
    assert_eq!(statuses, [401, 200], "{what}");
}

#[test]
fn a_version_adds_and_withdraws_keys_at_nodes_with_and_without_the_store() {
    let leaf = serving_leaf("i-1", b"ok");
    let (mut site, silent) = informed(&leaf, 3);
    for node in 0..3 {
        let statuses = [OLD, NEW].map(|headers| ask_node(&site, node, "/a/1", headers));
        assert_eq!(statuses, [200, 401]);
    }

    write_key(&mut site, "sk-new");

    let started = Instant::now();
    for node in 0..3 {
        wait_for("the new key", || ask_node(&site, node, "/a/1", NEW) == 200);
        assert_new(&site, node, "in force");
    }
    assert!(started.elapsed() < APPLY_TIME, "{:?}", started.elapsed());

    // A node that restarts learns it from its peers.
    site.nodes[2].process.kill();
    site.start_with(silent.local_addr().expect("an address"));
    site.wait_ready(3);
    assert_new(&site, 3, "restarted without the store");
}

#[test]
fn a_withdrawn_key_stays_withdrawn_when_the_store_returns_from_an_older_copy() {
    let leaf = serving_leaf("i-1", b"ok");
    let (mut site, _silent) = informed(&leaf, 2);
    site.change(&Change { copy: true, ..Change::default() });
    write_key(&mut site, "sk-new");
    (0..2).for_each(|node| wait_for("the key", || ask_node(&site, node, "/a/1", NEW) == 200));

    site.change(&Change { restore: true, ..Change::default() });
    wait_for("the restore", || metric(&site.nodes[0], "jacinthfall_store_era") == Some(1.0));
    site.start();
    site.wait_ready(2);

    for node in 0..3 {
        assert_new(&site, node, "after the restore");
    }
    pass_on(&site, "i-2", &leaf);
    for node in 0..3 {
        assert_new(&site, node, "after later changes");
    }
}

#[test]
fn a_version_with_a_fault_leaves_the_one_in_force() {
    let leaf = serving_leaf("i-1", b"ok");
    let (mut site, _silent) = informed(&leaf, 2);
    write_key(&mut site, "sk-new");
    (0..2).for_each(|node| wait_for("the key", || ask_node(&site, node, "/a/1", NEW) == 200));
    let faults = [
        json!([{"name": "bank", "api-keys": ["sk-old"]}, {"name": "b", "api-keys": ["sk-old"]}]),
        json!([{"name": "bank", "api-keys": ["sk-old"]}, {"name": "bank", "api-keys": []}]),
        json!([{"name": "bank", "api-keys": ["sk-old"], "rate-per-s": -1}]),
        json!("sk-old"),
    ];

    for (number, fault) in faults.into_iter().enumerate() {
        site.set_organisations(fault.clone());
        site.configure(&[route("safe")]);
        pass_on(&site, &format!("i-later-{number}"), &leaf);
        (0..2).for_each(|node| assert_new(&site, node, &fault.to_string()));
    }
    // A node that starts finds the faulty version in the store, and the one in force at peers.
    site.start();
    site.wait_ready(2);
    assert_new(&site, 2, "a node that starts");

    write_key(&mut site, "sk-corrected");
    let corrected = "X-Api-Key: sk-corrected\r\n";
    for node in 0..3 {
        wait_for("the key", || ask_node(&site, node, "/a/1", corrected) == 200);
        assert_eq!(ask_node(&site, node, "/a/1", NEW), 401);
    }
}

#[test]
fn a_node_without_a_configuration_answers_503_whatever_the_key() {
    let silent = silent_store();
    let mut site = open();
    site.start_with(silent.local_addr().expect("an address"));

    for headers in ["", HEADER, "X-Api-Key:\r\n"] {
        let response = site.ask(0, &Request { headers, ..Request::default() });
        assert_eq!(response.status, 503, "{headers}");
        assert!(response.header("retry-after").is_some());
    }
}

#[test]
fn a_node_that_waits_for_peers_with_an_older_copy_accepts_no_withdrawn_key() {
    let leaf = serving_leaf("i-1", b"ok");
    let (mut site, _silent) = informed(&leaf, 2);
    site.change(&Change { copy: true, ..Change::default() });
    write_key(&mut site, "sk-new");
    (0..2).for_each(|node| wait_for("the key", || ask_node(&site, node, "/a/1", NEW) == 200));
    site.change(&Change { restore: true, ..Change::default() });
    site.nodes[..2].iter().for_each(|node| node.process.freeze());

    // It reads the copy and waits for the others, which are silent.
    site.start_with_seeds(site.store, &[]);

    wait_for("a ready node that is asked all the time", || {
        let status = ask_node(&site, 2, "/a/1", OLD);
        let is_ready = ready(&site.nodes[2]);
        assert!(is_ready || status != 200, "it wasn't ready yet");
        is_ready
    });
    site.nodes[..2].iter().for_each(|node| node.process.resume());
    wait_for("the key", || ask_node(&site, 2, "/a/1", NEW) == 200);
    assert_new(&site, 2, "after news of the others");
}
