//! Organisations: their keys, what leafs learn of them, and that keys stay secret.

use jacinthfall_testkit::gateway::leaf::{Leaf, Run};
use jacinthfall_testkit::gateway::site::{
    Request, Response, Site, exchange, gather, route, serving_leaf,
};
use serde_json::{Value, json};

use crate::support::open;

/// Key of the organisation `bank`.
const KEY: &str = "sk-bank-4f9d2c71";

/// Header line with that key.
const HEADER: &str = "X-Api-Key: sk-bank-4f9d2c71\r\n";

/// Another key of the organisation `bank`.
const SECOND_KEY: &str = "sk-bank-second";

fn tenants() -> Value {
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
    site.set_tenants(tenants());
    site.configure(&[route("safe"), anonymous(), gather(1.0)]);
    site.start();
    site.wait_ready(0);
    site
}

fn ask(site: &Site, target: &str, headers: &str) -> u16 {
    site.ask(0, &Request { target, headers, ..Request::default() }).status
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
