//! A caller of a trial: sends queries and invoices, and checks each response against the
//! ground truth.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jacinthfall_core::id::Version;
use jacinthfall_core::query::{Query, Row, Scope};
use jacinthfall_standin::rows;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::ledger::Ledger;
use super::{READ_PROFILE, RUN_PROFILE};
use crate::call;

/// Number of keys of the read service.
const KEYS: u32 = 120;

/// Share of requests that are invoices.
const INVOICE_SHARE: f64 = 0.3;

/// Largest number of times that an invoice is sent with the same id.
const MAX_SENDS_PER_ID: u32 = 3;

/// Pause after a request without a response.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// Sends requests until the trial is done.
pub fn run(index: usize, ledger: &Ledger, mut rng: ChaCha8Rng) {
    for number in 0_u64.. {
        if ledger.done.load(Ordering::Relaxed) {
            return;
        }
        let request = format!("t{index}-{number}");
        if rng.random_bool(INVOICE_SHARE) {
            invoice(&request, ledger, &mut rng);
        } else {
            query(&request, ledger, &mut rng);
        }
    }
}

/// Asks a random known node for an address to use.
fn address(ledger: &Ledger, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
    let entry = *ledger.entries().choose(rng)?;
    let response = call::send("GET", entry, "/v1/addresses", None, None)?;
    response.body["addresses"][0]["address"].as_str()?.parse().ok()
}

fn send(request: &str, body: &Value, ledger: &Ledger, rng: &mut ChaCha8Rng) -> Option<Value> {
    let Some(node) = address(ledger, rng) else {
        thread::sleep(FAILURE_PAUSE);
        return None;
    };
    let text = body.to_string();
    let response = call::send("POST", node, "/v1/query", None, Some(text.as_bytes()));
    let Some(response) = response else {
        ledger.record_lost(node, request);
        thread::sleep(FAILURE_PAUSE);
        return None;
    };
    if response.body["request"] != request {
        ledger.record_violation(format!(
            "{request}: got the response to request {}",
            response.body["request"]
        ));
    }
    if response.body["ran"] == "not_run" {
        ledger.count(|tally| tally.not_run += 1);
    }
    Some(response.body)
}

fn query(request: &str, ledger: &Ledger, rng: &mut ChaCha8Rng) {
    let text = format!("text {request}");
    let body = json!({
        "request": request,
        "profile": READ_PROFILE,
        "caller": request.split('-').next(),
        "query": {"scope": "all", "text": text, "limit": 1000},
    });
    let Some(response) = send(request, &body, ledger, rng) else { return };
    if response["rows"].is_null() {
        ledger.count(|tally| tally.refused += 1);
        return;
    }
    if let Err(violation) = check_answer(&response, &text) {
        ledger.record_violation(format!("{request}: {violation}"));
    }
    let full = response["coverage"]["missed"] == json!([]);
    ledger.count(|tally| if full { tally.full += 1 } else { tally.partial += 1 });
}

/// Number of shards of an index version of the read service.
fn shards(version: Version) -> u32 {
    if version == Version(1) { 30 } else { 20 }
}

/// Checks that the rows are exactly those of the shards that the answer claims to cover.
fn check_answer(answer: &Value, text: &str) -> Result<(), String> {
    let version = Version(answer["version"].as_u64().ok_or("no version")?);
    let shards = shards(version);
    let coverage = &answer["coverage"];
    let missed = coverage["missed"].as_array().ok_or("no list of missed shards")?;
    let missed: Vec<u64> = missed.iter().filter_map(|missed| missed["shard"].as_u64()).collect();
    let answered = coverage["answered"].as_u64().ok_or("no count of answered shards")?;
    if coverage["total"] != shards || answered + missed.len() as u64 != u64::from(shards) {
        return Err(format!("coverage does not add up: {coverage}"));
    }
    let query = Query { scope: Scope::All, text: text.into(), limit: 1_000 };
    let covered = |row: &Row| !missed.contains(&u64::from(rows::shard_of(&row.key, shards).0));
    let truth: Vec<Row> = rows::truth(version, KEYS, &query).into_iter().filter(covered).collect();
    let rows: Vec<Row> =
        serde_json::from_value(answer["rows"].clone()).map_err(|error| error.to_string())?;
    if rows != truth {
        return Err(format!("{} rows differ from the {} expected rows", rows.len(), truth.len()));
    }
    Ok(())
}

fn invoice(request: &str, ledger: &Ledger, rng: &mut ChaCha8Rng) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let key = rng.random_range(0..KEYS);
    let mut body = json!({
        "request": request,
        "profile": RUN_PROFILE,
        "issued_ms": u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        "query": {
            "scope": {"key": rows::key(key)},
            "text": format!("{} {request}", rows::INVOICE_PREFIX),
            "limit": 10,
        },
    });
    for _ in 0..rng.random_range(1..=MAX_SENDS_PER_ID) {
        let response = send(request, &body, ledger, rng);
        let ran = response.as_ref().map(|response| response["ran"].as_str().unwrap_or("absent"));
        ledger.record_invoice(request, ran);
        body["repeat"] = true.into();
    }
}
