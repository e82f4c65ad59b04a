//! Malformed requests, oversized requests and attempts at request smuggling.

use jacinthfall_testkit::gateway::site::{Request, Response, Site, exchange, route, serving_leaf};

use crate::support::serving;

/// Sends bytes and parses the first response.
fn first_response(site: &Site, bytes: &str) -> Response {
    Response::parse(&exchange(site.nodes[0].callers, bytes.as_bytes()))
}

#[test]
fn unknown_hosts_and_paths_have_no_route() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);

    for target in ["/", "/a", "/b/1", "/A/1", "//a/1"] {
        let response = site.ask(0, &Request { target, ..Request::default() });
        assert_eq!(response.status, 404, "{target}");
    }
    let other = Request::default().text().replace("shop.example", "other.example");
    assert_eq!(first_response(&site, &other).status, 404);
    assert!(leaf.runs().is_empty());
}

#[test]
fn bodies_and_headers_over_the_limit_are_rejected() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    let large = "x".repeat(5_000);
    let head = format!("X-Large: {}\r\n", "x".repeat(20_000));

    let sized = site.ask(0, &Request { method: "POST", body: &large, ..Request::default() });
    let chunked =
        Request { method: "POST", headers: "Transfer-Encoding: chunked\r\n", ..Request::default() };
    let chunked = first_response(&site, &format!("{}1388\r\n{large}\r\n0\r\n\r\n", chunked.text()));
    let headed = site.ask(0, &Request { headers: &head, ..Request::default() });

    assert_eq!((sized.status, chunked.status, headed.status), (413, 413, 431));
    assert!(leaf.runs().is_empty());
}

#[test]
fn ambiguous_framing_smuggles_no_second_request() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    let inner = "GET /a/smuggled HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: no\r\n\r\n";
    let start = "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r-1\r\n";
    let length = inner.len();
    let malformed = [
        format!("{start}Content-Length: 0\r\nContent-Length: {length}\r\n\r\n{inner}"),
        format!("{start}Content-Length: 0, {length}\r\n\r\n{inner}"),
        format!("{start}Content-Length: +{length}\r\n\r\n{inner}"),
        format!("{start}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n{inner}"),
        format!("{start}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n{inner}"),
    ];

    for request in malformed {
        let response = first_response(&site, &request);
        assert!(response.status == 400 || response.status == 0, "{request}: {response:?}");
    }
    let both = format!(
        "{start}Connection: close\r\nContent-Length: {length}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    );
    first_response(&site, &both);

    let smuggled = leaf.runs().iter().any(|run| run.head.contains("smuggled"));
    assert!(!smuggled);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    let open = "GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: first\r\n\r\n";
    let last = Request { id: "second", ..Request::default() };

    let bytes = exchange(site.nodes[0].callers, format!("{open}{}", last.text()).as_bytes());

    let text = String::from_utf8_lossy(&bytes).into_owned();
    let order = (text.find("x-request-id: first"), text.find("x-request-id: second"));
    assert!(matches!(order, (Some(a), Some(b)) if a < b), "{text}");
}

#[test]
fn a_request_without_id_is_rejected() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);

    let request = "GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n";

    assert_eq!(first_response(&site, request).status, 400);
    assert!(leaf.runs().is_empty());
}

/// Bytes of a request, and a word that the reason of its rejection contains.
fn malformed_requests() -> Vec<(String, &'static str)> {
    let request =
        |headers: &str| format!("GET /a/1 HTTP/1.1\r\n{headers}Connection: close\r\n\r\n");
    let good = "Host: shop.example\r\nX-Request-Id: r-1\r\n";
    let chunked = |body: &str| {
        format!("POST /a/1 HTTP/1.1\r\n{good}Transfer-Encoding: chunked\r\n\r\n{body}")
    };
    vec![
        (request("X-Request-Id: r-1\r\n"), "Host"),
        (request(&format!("{good}Host: other.example\r\n")), "Host"),
        (request(&format!("{good}X-Request-Id: r-2\r\n")), "id"),
        (request(&format!("Host: shop.example\r\nX-Request-Id: {}\r\n", "x".repeat(257))), "id"),
        (request("Host: shop.example\r\nX-Request-Id: r\u{e9}\r\n"), "id"),
        (request("Host: shop.example\r\nX-Request-Id: \r\n"), "id"),
        (request(&format!("{good}X-Deadline-Ms: -5\r\n")), "deadline"),
        (request(&format!("{good}X-Deadline-Ms: soon\r\n")), "deadline"),
        (request(&format!("{good}X-Deadline-Ms: 1e40\r\n")), "deadline"),
        (request(&format!("{good}X-Deadline-Ms: 5\r\nX-Deadline-Ms: 6\r\n")), "deadline"),
        (chunked("zz\r\nabc\r\n0\r\n\r\n"), "body"),
        (chunked("3\r\nabcdef\r\n0\r\n\r\n"), "body"),
    ]
}

#[test]
fn malformed_requests_get_400_with_the_reason_and_are_not_passed_on() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);

    for (request, reason) in malformed_requests() {
        let response = first_response(&site, &request);

        let body = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status, 400, "{request}: {body}");
        assert!(body.contains(reason), "{request}: {body}");
    }
    assert!(leaf.runs().is_empty());
}

#[test]
fn unusual_requests_that_are_proper_are_served() {
    let leaf = serving_leaf("i-1", b"ok");
    let site = serving(&[route("safe")], &[("i-1", "a", &leaf)]);
    let id = "x".repeat(256);
    let good = "Host: shop.example\r\nConnection: close\r\n";

    for headers in [
        format!("X-Request-Id: {id}\r\n"),
        "X-Request-Id: r-1\r\nX-Deadline-Ms: 5000.5\r\n".to_owned(),
        "X-Request-Id: r-1\r\nX-Deadline-Ms:  5000 \r\n".to_owned(),
    ] {
        let response = first_response(&site, &format!("GET /a/1 HTTP/1.1\r\n{good}{headers}\r\n"));

        assert_eq!(response.status, 200, "{headers}");
    }
}
