//! Calls to nodes over HTTP/1.1 and to stand-ins over HTTP/2.

use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_net::client::Client;
use oxhttp::model::{Body, Method, Request};
use serde_json::Value;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A response with a JSON body; the body is null if it is not JSON.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// Body.
    pub body: Value,
}

/// Sends a request; `None` if the connection could not be opened, broke or timed out.
#[must_use]
pub fn send(
    method: &str,
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
    body: Option<&[u8]>,
) -> Option<Response> {
    let method: Method = method.parse().expect("a known method");
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let body = body.map_or_else(Body::empty, |bytes| Body::from(bytes.to_vec()));
    let request = request.body(body).expect("a well-formed request");
    let client = oxhttp::Client::new().with_global_timeout(TIMEOUT);
    let response = client.request(request).ok()?;
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response.into_body().to_vec().ok()?;
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Some(Response { status, retry_after, body })
}

/// Sends a GET request.
///
/// # Panics
///
/// If no response comes.
#[must_use]
pub fn get(address: SocketAddr, path: &str) -> Response {
    send("GET", address, path, None, None).expect("a response")
}

/// Sends a POST request with a JSON body.
///
/// # Panics
///
/// If no response comes.
#[must_use]
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Response {
    let body = body.to_string();
    send("POST", address, path, None, Some(body.as_bytes())).expect("a response")
}

/// Sends a request to the control path of a stand-in.
///
/// # Panics
///
/// If the stand-in does not accept it.
#[must_use]
pub fn control(address: SocketAddr, body: &Value) -> Value {
    let runtime = jacinthfall_net::runtime(1).expect("a runtime");
    let body = body.to_string();
    let response = runtime.block_on(async {
        let client = Client::open(address).await.expect("the stand-in runs");
        client.post("/control", &[], body.into()).await.expect("a response")
    });
    let text = String::from_utf8_lossy(&response.body).into_owned();
    assert!(response.status.is_success(), "control answered {}: {text}", response.status);
    serde_json::from_str(&text).unwrap_or(Value::Null)
}
