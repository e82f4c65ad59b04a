//! Tests of leafs' responses, limits and faults over loopback connections.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use jacinthfall_core::id::Version;
use jacinthfall_core::leaf::{Query, Refusal, Reply};
use jacinthfall_net::Error;
use jacinthfall_net::client::{Client, Response};
use jacinthfall_standin::leaf::control::{Change, Counters};
use jacinthfall_standin::leaf::fault::Kind;
use jacinthfall_standin::leaf::server::Process;
use jacinthfall_standin::leaf::settings::{Delay, Leaf, Settings};
use jacinthfall_standin::rows;
use support::{NEVER, bounded, invoice, leaf, part, query};

/// Service time of a part that a test cancels; longer than any test runs.
const FOREVER: Duration = Duration::from_secs(3_600);

async fn process(leaf: Leaf) -> (Process, SocketAddr) {
    let settings = Settings { seed: 1, control: None, leafs: vec![leaf], fleets: Vec::new() };
    let process = Process::bind(&settings).await.unwrap();
    let address = process.addresses()["slot-finder-0-0"];
    (process, address)
}

async fn send(client: &Client, part: &Query) -> Result<Response, Error> {
    let body = serde_json::to_vec(part).unwrap();
    bounded(client.post("/part", &[], body.into())).await
}

fn counters(process: &Process) -> Counters {
    process.change(&Change::default()).unwrap().leafs.remove(0).counters
}

/// Yields to other tasks until the counters are as expected.
async fn wait_until(process: &Process, expected: impl Fn(&Counters) -> bool) {
    let poll = async {
        while !expected(&counters(process)) {
            tokio::task::yield_now().await;
        }
    };
    bounded(poll).await;
}

#[tokio::test]
async fn a_part_is_answered_with_the_rows_of_its_shard() {
    let (_process, address) = process(leaf()).await;
    let client = Client::open(address).await.unwrap();

    let response = send(&client, &part(1)).await.unwrap();

    let reply: Reply = serde_json::from_slice(&response.body).unwrap();
    let held = rows::keys(part(1).shard, 30, support::KEYS);
    let rows = rows::select(&held, Version(1), &query("free bays"));
    assert_eq!((reply.attempt, reply.request), (part(1).attempt, part(1).request));
    assert_eq!((reply.count as usize, reply.rows), (rows.len(), rows));
}

#[tokio::test]
async fn each_refusal_has_its_own_status() {
    let (process, address) = process(Leaf { slots: 1, queue: 0, ..leaf() }).await;
    let client = Client::open(address).await.unwrap();
    let expired = Query { budget: Duration::ZERO, ..part(1) };
    let shard = Query { shard: jacinthfall_core::id::Shard(99), ..part(2) };
    let version = Query { version: Some(Version(9)), ..part(3) };
    let available = vec![Version(1), Version(2)];
    let cases = [
        (expired, StatusCode::GATEWAY_TIMEOUT, Refusal::Expired),
        (shard, StatusCode::GONE, Refusal::Shard),
        (version, StatusCode::CONFLICT, Refusal::Version { available }),
    ];

    for (part, status, refusal) in cases {
        let response = send(&client, &part).await.unwrap();

        assert_eq!(response.status, status);
        assert_eq!(serde_json::from_slice::<Refusal>(&response.body).unwrap(), refusal);
    }
    let drain =
        Change { draining: Some(true), drain_grace: Some(Duration::ZERO), ..Change::default() };
    process.change(&drain).unwrap();
    let response = send(&client, &part(4)).await.unwrap();
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn a_reset_stream_frees_its_slot_or_queue_entry_and_keeps_the_connection() {
    let service_time = Delay { base: FOREVER, ..Delay::default() };
    let (process, address) = process(Leaf { service_time, ..leaf() }).await;
    let client = Client::open(address).await.unwrap();
    let post = |counter| {
        let client = client.clone();
        let part = Query { budget: FOREVER, ..part(counter) };
        tokio::spawn(async move { send(&client, &part).await.map(|_| ()) })
    };
    let running = post(1);
    wait_until(&process, |counters| counters.busy == 1).await;
    let waiting = post(2);
    wait_until(&process, |counters| counters.queued == 1).await;
    let shed = send(&client, &part(3)).await.unwrap();

    waiting.abort();
    wait_until(&process, |counters| counters.queued == 0).await;
    running.abort();
    wait_until(&process, |counters| counters.busy == 0).await;

    assert_eq!(shed.status, StatusCode::TOO_MANY_REQUESTS);
    let instant = Change { service_time: Some(Delay::default()), ..Change::default() };
    process.change(&instant).unwrap();
    assert_eq!(send(&client, &part(4)).await.unwrap().status, StatusCode::OK);
    let counters = counters(&process);
    assert_eq!((counters.cancelled_queued, counters.cancelled_running), (1, 1));
    assert_eq!(counters.connections, 1);
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed_and_counted() {
    let (process, address) = process(Leaf { connections: 1, ..leaf() }).await;
    let first = Client::open(address).await.unwrap();
    send(&first, &part(1)).await.unwrap();

    let second = match Client::open(address).await {
        Ok(client) => send(&client, &part(2)).await.map(|_| ()),
        Err(error) => Err(error),
    };

    assert!(matches!(second, Err(Error::Unsent(_))), "{second:?}");
    let counters = counters(&process);
    assert_eq!((counters.connections, counters.connections_refused), (1, 1));
    assert_eq!(counters.received, 1);
}

#[tokio::test]
async fn a_run_is_counted_whether_or_not_its_reply_arrives() {
    let (process, address) = process(leaf()).await;
    let client = Client::open(address).await.unwrap();
    let fault = |kind| Change { fault: Some(kind), ..Change::default() };

    process.change(&fault(Kind::Drop)).unwrap();
    let dropped = send(&client, &invoice(1, NEVER)).await;
    process.change(&fault(Kind::Truncate)).unwrap();
    let truncated = send(&client, &invoice(1, NEVER)).await.unwrap();
    let late = send(&client, &invoice(2, jacinthfall_core::time::Wall(1))).await.unwrap();

    assert!(matches!(dropped, Err(Error::Broken(_))), "{dropped:?}");
    assert!(serde_json::from_slice::<Reply>(&truncated.body).is_err());
    assert_eq!(late.status, StatusCode::GATEWAY_TIMEOUT);
    let report = process.change(&Change { runs: true, ..Change::default() }).unwrap();
    let runs: Vec<_> = report.leafs[0].runs.clone().into_iter().collect();
    assert_eq!(runs, [("r-1".into(), 2)]);
}

#[tokio::test]
async fn an_invalid_change_is_refused_and_has_no_effect() {
    let (process, address) = process(leaf()).await;
    let client = Client::open(address).await.unwrap();
    let unheld = Change { versions: Some(vec![Version(7)]), ..Change::default() };

    let refused = process.change(&unheld);
    let unknown = client.post("/control", &[], r#"{"drainig": true}"#.into()).await.unwrap();

    assert!(refused.unwrap_err().contains("version 7"));
    assert_eq!(unknown.status, StatusCode::BAD_REQUEST);
    assert_eq!(send(&client, &part(1)).await.unwrap().status, StatusCode::OK);
}
