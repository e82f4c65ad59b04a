//! The check of line ends finds lone line feeds in heads, however the bytes are divided.

use jacinthfall_net::head::{Check, LoneLineFeed};

/// Checks bytes that arrive in pieces of `size` bytes.
fn check(bytes: &str, size: usize) -> Result<(), LoneLineFeed> {
    let mut check = Check::default();
    bytes.as_bytes().chunks(size).try_for_each(|piece| check.push(piece))
}

fn assert_all(cases: &[&str], expected: Result<(), LoneLineFeed>) {
    for case in cases {
        for size in 1..=case.len() {
            assert_eq!(check(case, size), expected, "{case:?} in pieces of {size} bytes");
        }
    }
}

#[test]
fn proper_heads_pass_with_any_body() {
    let cases = [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\na: b\r\n\r\na\n\nb\r\r\n\n",
        "\r\n\r\nHTTP/1.1 200 OK\r\na: b\r\n\r\n\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\na: b\r\n\r\n\n",
        "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\nHTTP/1.1 102\r\n\r\nHTTP/1.1 404 No\r\n\r\n\n",
    ];

    assert_all(&cases, Ok(()));
}

#[test]
fn a_lone_line_feed_in_a_head_is_found() {
    let cases = [
        "\nHTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\n\n",
        "HTTP/1.1 200 OK\na: b\r\n\r\n",
        "HTTP/1.1 200 OK\r\na: b\n\r\n",
        "HTTP/1.1 200 OK\r\na: b\r\n\n",
        "HTTP/1.1 200 OK\r\n\na: b\r\n\r\n",
        "HTTP/1.1 200 OK\r\na: b\r\n\nc: d\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\na: b\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\nHTTP/1.1 200 OK\r\n\r\n",
    ];

    assert_all(&cases, Err(LoneLineFeed));
}

#[test]
fn a_line_of_carriage_returns_ends_no_head() {
    assert_all(&["HTTP/1.1 200 OK\r\n\r\r\n\n"], Err(LoneLineFeed));
}
