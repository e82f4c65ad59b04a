//! Fixtures for tests of the stand-ins.

#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::id::{Attempt, Incarnation, Shard, Version};
use jacinthfall_core::leaf;
use jacinthfall_core::query::{Query, Scope};
use jacinthfall_core::time::{Time, Wall};
use jacinthfall_net::client::Client;
use jacinthfall_standin::leaf::settings::{ColdStart, Delay, Held, Leaf, LoadReport};
use jacinthfall_standin::leaf::state::Now;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Number of keys of the service that [`leaf`] belongs to.
pub const KEYS: u32 = 120;

/// Time after which a wait of a test counts as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Expiry time of parts that never expire.
pub const NEVER: Wall = Wall(u64::MAX);

/// Returns a leaf with one slot, a queue for one part and two index versions.
pub fn leaf() -> Leaf {
    let held = |version, shard_count| Held {
        version: Version(version),
        shard_count,
        shards: (0..shard_count).map(Shard).collect(),
    };
    Leaf {
        name: "slot-finder-0-0".into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        service: "slot-finder".into(),
        zone: "kbely-hall".into(),
        slots: 1,
        connections: 8,
        connect: Duration::ZERO,
        held: vec![held(1, 30), held(2, 20)],
        versions: vec![Version(1), Version(2)],
        named_versions: true,
        keys: KEYS,
        service_time: Delay::default(),
        cold_start: ColdStart::default(),
        queue: 1,
        drain_grace: Duration::from_secs(1),
        load: LoadReport::True,
        deadlines: true,
    }
}

/// Returns a part for shard 0 in version 1 with a budget of 100 ms that never expires.
pub fn part(counter: u64) -> leaf::Query {
    let origin = Incarnation { node: "node-1".into(), started: 1 };
    leaf::Query {
        attempt: Attempt { origin, counter },
        request: format!("r-{counter}").into(),
        service: "slot-finder".into(),
        shard: Shard(0),
        version: Some(Version(1)),
        budget: Duration::from_millis(100),
        expires: NEVER,
        idempotent: true,
        query: query("free bays"),
    }
}

/// Returns a part that issues an invoice and must not run after `expires`.
pub fn invoice(counter: u64, expires: Wall) -> leaf::Query {
    let query = query("issue invoice 7");
    leaf::Query { idempotent: false, expires, query, ..part(counter) }
}

/// Returns a query to every shard.
pub fn query(text: &str) -> Query {
    Query { scope: Scope::All, text: text.into(), limit: 1_000 }
}

/// Returns the same time by both clocks, in milliseconds.
pub fn at(millis: u64) -> Now {
    Now { time: Time::from_millis(millis), wall: Wall(millis) }
}

/// Waits for a future; if it hangs, the test fails after [`HANG_TIMEOUT`].
pub async fn bounded<F: Future>(future: F) -> F::Output {
    tokio::time::timeout(HANG_TIMEOUT, future)
        .await
        .expect("the awaited event did not happen before the timeout")
}

/// Posts JSON and parses the reply, whose status must be 200.
pub async fn post<T: DeserializeOwned>(client: &Client, path: &str, request: &impl Serialize) -> T {
    let body = serde_json::to_vec(request).unwrap();
    let response = client.post(path, &[], body.into()).await.unwrap();
    assert!(response.status.is_success(), "{path}: {} {:?}", response.status, response.body);
    serde_json::from_slice(&response.body).unwrap()
}
