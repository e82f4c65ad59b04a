//! Tests of the platform's stand-in: transactions, watches, leases, limits and faults.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jacinthfall_adapter::message::{self, MAX_VALUE_BYTES};
use jacinthfall_adapter::store::{Client, Condition, Error, Put};
use jacinthfall_core::history::Position;
use jacinthfall_core::time::Time;
use jacinthfall_net::client::Client as Connection;
use jacinthfall_standin::platform::Settings;
use jacinthfall_standin::platform::control::{self, Change, Counters};
use jacinthfall_standin::platform::rate::Limit;
use jacinthfall_standin::platform::server::{self, Server};
use jacinthfall_standin::platform::store::{self, Rejection, Store, Transaction};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{bounded, post};

/// Wait time of a watch that a test wakes; so long that a missed wake-up fails the test.
const WATCH_WAIT: Duration = Duration::from_secs(30);

struct Platform {
    _server: Server,
    client: Client,
    control: Connection,
}

async fn platform(settings: Settings) -> Platform {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = server::bind(any, &settings).await.unwrap();
    let client = Client::open(server.address());
    let control = Connection::open(server.address()).await.unwrap();
    Platform { _server: server, client, control }
}

impl Platform {
    async fn change(&self, change: Change) -> Counters {
        post(&self.control, "/control", &change).await
    }

    async fn wait_for_waiting_watch(&self) {
        let poll = async {
            while self.change(Change::default()).await.watches_waiting == 0 {
                tokio::task::yield_now().await;
            }
        };
        bounded(poll).await;
    }
}

fn settings() -> Settings {
    Settings { latency: Duration::ZERO, ..Settings::default() }
}

/// Place of a revision before any restore.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// Writes a key on the condition that its last change is at `expect`.
async fn swap_at(
    client: &Client,
    key: &str,
    expect: Position,
    value: &str,
) -> Result<Position, Error> {
    let condition = Condition { key: key.into(), at: expect };
    client.commit(&[condition], &[put(key, value, 0)], &[]).await
}

/// Writes a key on the condition that it has revision `expect`, before any restore.
async fn swap(client: &Client, key: &str, expect: u64, value: &str) -> Result<u64, Error> {
    Ok(swap_at(client, key, at(expect), value).await?.revision)
}

fn put(key: &str, value: &str, lease: u64) -> Put {
    Put { key: key.into(), value: Bytes::copy_from_slice(value.as_bytes()), lease }
}

async fn value(client: &Client, key: &str) -> Option<Bytes> {
    client.get(key).await.unwrap().and_then(|item| item.value)
}

#[tokio::test]
async fn a_swap_that_expects_an_older_revision_conflicts() {
    let platform = platform(settings()).await;
    let first = swap(&platform.client, "k", 0, "a").await.unwrap();
    let second = swap(&platform.client, "k", first, "b").await.unwrap();

    let late = swap(&platform.client, "k", first, "c").await;

    let Err(Error::Conflict(present)) = late else { panic!("{late:?}") };
    assert_eq!((present[0].at.revision, present[0].value.as_deref()), (second, Some(&b"b"[..])));
    assert_eq!(value(&platform.client, "k").await.as_deref(), Some(&b"b"[..]));
}

/// Characters that stand for something else in a URL, or that can't be in one.
const RESERVED: [&str; 8] = ["&", "+", "#", "%", "%41", " ", "=", "ä"];

/// Regression test: a listing that went on after a key with such a character never ended, left out
/// keys or failed.
#[tokio::test]
async fn a_listing_goes_on_after_a_key_with_any_characters() {
    for odd in RESERVED {
        let platform = platform(settings()).await;
        let full_page = (0..store::MAX_PAGE_KEYS - 1).map(|number| format!("a/{number:04}"));
        let keys: Vec<Arc<str>> =
            full_page.chain([format!("b{odd}c"), "d".into()]).map(Arc::from).collect();
        let put = keys.iter().map(|key| control::Put { key: key.clone(), value: Some("1".into()) });
        platform.change(Change { put: put.collect(), ..Change::default() }).await;

        let listing = bounded(platform.client.list("")).await;

        let listing = listing.unwrap_or_else(|error| panic!("{odd:?}: {error}"));
        let listed: Vec<Arc<str>> = listing.items.into_iter().map(|item| item.key).collect();
        let end = &listed[store::MAX_PAGE_KEYS - 1..];
        assert!(listed == keys, "{odd:?}: the listing ends with {end:?}");
    }
}

#[tokio::test]
async fn keys_with_any_characters_are_read_and_watched() {
    for odd in RESERVED {
        let platform = platform(settings()).await;
        let key = format!("b{odd}c/d");
        let written = swap(&platform.client, &key, 0, "1").await.unwrap();

        let read = value(&platform.client, &key).await;
        let changes = bounded(platform.client.watch(&key, at(written - 1), WATCH_WAIT)).await;

        assert_eq!(read, Some("1".into()), "{odd:?}");
        let events = changes.unwrap_or_else(|error| panic!("{odd:?}: {error}")).events;
        assert_eq!(events.iter().map(|event| &*event.key).collect::<Vec<_>>(), [key], "{odd:?}");
    }
}

#[tokio::test]
async fn transactions_are_atomic() {
    let platform = platform(settings()).await;
    swap(&platform.client, "a", 0, "1").await.unwrap();
    let stale = [Condition { key: "a".into(), at: at(9) }];
    let puts = [put("b", "1", 0), put("c", "1", 0)];

    let rejected = platform.client.commit(&stale, &puts, &["a".into()]).await;
    let unchanged = (value(&platform.client, "b").await, value(&platform.client, "a").await);
    platform.client.commit(&[], &puts, &["a".into()]).await.unwrap();

    assert!(matches!(rejected, Err(Error::Conflict(_))), "{rejected:?}");
    assert_eq!(unchanged, (None, Some("1".into())));
    assert_eq!(value(&platform.client, "a").await, None);
    assert_eq!(value(&platform.client, "c").await, Some("1".into()));
}

#[tokio::test]
async fn a_write_takes_effect_if_its_reply_is_lost_but_not_if_its_request_is() {
    let platform = platform(settings()).await;

    platform.change(Change { lose_replies: Some(1), ..Change::default() }).await;
    let lost_reply = swap(&platform.client, "reply", 0, "a").await;
    platform.change(Change { lose_requests: Some(1), ..Change::default() }).await;
    let lost_request = swap(&platform.client, "request", 0, "a").await;

    assert!(matches!(lost_reply, Err(Error::Unknown(_))), "{lost_reply:?}");
    assert!(matches!(lost_request, Err(Error::Unknown(_))), "{lost_request:?}");
    assert_eq!(value(&platform.client, "reply").await, Some("a".into()));
    assert_eq!(value(&platform.client, "request").await, None);
    assert_eq!(platform.change(Change::default()).await.lost, 2);
}

#[tokio::test]
async fn a_late_write_takes_effect_only_while_its_condition_holds() {
    let platform = platform(settings()).await;
    let late = Change { late_writes: Some(2), late_ms: Some(20), ..Change::default() };
    platform.change(late).await;

    let overtaken = swap(&platform.client, "k", 0, "late").await;
    let alone = swap(&platform.client, "other", 0, "late").await;
    swap(&platform.client, "k", 0, "early").await.unwrap();

    assert!(matches!(overtaken, Err(Error::Unknown(_))), "{overtaken:?}");
    assert!(matches!(alone, Err(Error::Unknown(_))), "{alone:?}");
    let arrived = async {
        while value(&platform.client, "other").await.is_none() {
            tokio::task::yield_now().await;
        }
    };
    bounded(arrived).await;
    assert_eq!(value(&platform.client, "k").await, Some("early".into()));
}

#[tokio::test]
async fn calls_beyond_a_rate_are_refused_without_effect() {
    // The bucket holds at least one call, so a rate of 0 admits exactly one.
    let settings = Settings { writes_per_second: 0, reads_per_second: 2, ..settings() };
    let platform = platform(settings).await;

    let first = swap(&platform.client, "k", 0, "a").await;
    let second = swap(&platform.client, "k", 1, "b").await;

    assert_eq!(first.unwrap(), 1);
    assert!(matches!(second, Err(Error::Refused(_))), "{second:?}");
    let counters = platform.change(Change::default()).await;
    assert_eq!((counters.writes, counters.refused, counters.revision), (1, 1, 1));
}

#[tokio::test]
async fn a_listing_returns_the_keys_of_all_pages_in_order() {
    let platform = platform(settings()).await;
    let count = 2 * store::MAX_PAGE_KEYS + 7;
    let puts = (0..count).map(|n| control::Put { key: key(n), value: Some(n.to_string()) });
    platform.change(Change { put: puts.collect(), ..Change::default() }).await;

    let listing = platform.client.list("k/").await.unwrap();

    let keys: Vec<_> = listing.items.iter().map(|item| item.key.clone()).collect();
    assert_eq!(keys, (0..count).map(key).collect::<Vec<_>>());
    assert_eq!(listing.at.revision, count as u64);
}

fn key(number: usize) -> Arc<str> {
    format!("k/{number:05}").into()
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_fails() {
    let platform = platform(settings()).await;
    swap(&platform.client, "k", 0, "a").await.unwrap();
    swap(&platform.client, "k", 1, "b").await.unwrap();

    platform.change(Change { compact: true, ..Change::default() }).await;

    let behind = platform.client.watch("k", at(1), Duration::ZERO).await;
    assert!(matches!(behind, Err(Error::Compacted)), "{behind:?}");
    let present = platform.client.watch("k", at(2), Duration::ZERO).await.unwrap();
    assert!(present.events.is_empty());
}

#[tokio::test]
async fn a_revoked_lease_removes_its_keys_and_cannot_be_used_again() {
    let platform = platform(settings()).await;
    let lease = platform.client.grant(Duration::from_secs(60)).await.unwrap();
    platform.client.commit(&[], &[put("owner", "node-1", lease.number)], &[]).await.unwrap();
    platform.client.renew(lease).await.unwrap();

    platform.client.revoke(lease).await.unwrap();

    assert_eq!(value(&platform.client, "owner").await, None);
    assert!(matches!(platform.client.renew(lease).await, Err(Error::LeaseEnded)));
    let late = platform.client.commit(&[], &[put("owner", "node-1", lease.number)], &[]).await;
    assert!(matches!(late, Err(Error::LeaseEnded)), "{late:?}");
}

#[test]
fn a_rate_limit_refills_with_time_up_to_its_burst() {
    let mut limit = Limit::new(300);

    let at_once = (0..1_000).filter(|_| limit.admit(Time(0))).count();
    let in_a_second = (1..=1_000).filter(|&ms| limit.admit(Time::from_millis(ms))).count();
    let after_a_pause = (0..1_000).filter(|_| limit.admit(Time::from_millis(9_000))).count();

    assert_eq!((at_once, in_a_second, after_a_pause), (75, 300, 75));
}

#[tokio::test]
async fn a_watch_wakes_on_a_change_of_its_prefix() {
    let platform = platform(settings()).await;
    swap(&platform.client, "config/a", 0, "1").await.unwrap();
    let client = platform.client.clone();
    let watch = tokio::spawn(async move { client.watch("config/", at(1), WATCH_WAIT).await });
    platform.wait_for_waiting_watch().await;

    swap(&platform.client, "other", 0, "1").await.unwrap();
    swap(&platform.client, "config/b", 0, "1").await.unwrap();

    let changes = bounded(watch).await.unwrap().unwrap();
    let keys: Vec<_> = changes.events.iter().map(|event| &*event.key).collect();
    assert_eq!((keys, changes.at.revision), (vec!["config/b"], 3));
    assert_eq!(platform.change(Change::default()).await.watches_waiting, 0);
}

#[tokio::test]
async fn an_outage_refuses_calls_and_fails_waiting_watches() {
    let platform = platform(settings()).await;
    let client = platform.client.clone();
    let watch = tokio::spawn(async move { client.watch("config/", at(0), WATCH_WAIT).await });
    platform.wait_for_waiting_watch().await;

    platform.change(Change { outage: Some(true), ..Change::default() }).await;

    assert!(matches!(bounded(watch).await.unwrap(), Err(Error::Refused(_))));
    let swapped = swap(&platform.client, "k", 0, "a").await;
    assert!(matches!(swapped, Err(Error::Refused(_))), "{swapped:?}");
    platform.change(Change { outage: Some(false), ..Change::default() }).await;
    assert_eq!(value(&platform.client, "k").await, None);
}

#[tokio::test]
async fn a_value_beyond_the_limit_is_not_written() {
    let platform = platform(settings()).await;
    let large = "x".repeat(MAX_VALUE_BYTES + 1);

    let swapped = swap(&platform.client, "k", 0, &large).await;

    assert!(swapped.is_err());
    assert_eq!(value(&platform.client, "k").await, None);
}

#[test]
fn an_expired_lease_removes_its_keys_and_watches_see_it() {
    let mut store = Store::default();
    let ttl = Duration::from_millis(100);
    let put = |lease| store::Put { key: "owner".into(), value: "node-1".into(), lease };
    let leased = |lease| Transaction { puts: vec![put(lease)], ..Transaction::default() };
    let early = store.commit(&leased(1));
    let lease = store.grant(Time(0), ttl);
    let written = store.commit(&leased(lease)).unwrap();

    let renewed = store.renew(Time::from_millis(90), lease);
    store.expire_leases(Time::from_millis(189));
    let before = store.get("owner").cloned();
    store.expire_leases(Time::from_millis(190));

    assert_eq!(
        early,
        Err(Rejection::NoLease),
        "a key can't be bound to a lease that was not granted"
    );
    assert_eq!(renewed, Some(ttl));
    assert!(before.is_some());
    assert_eq!(store.get("owner"), None);
    assert_eq!(store.renew(Time::from_millis(190), lease), None);
    let changes = store.changes("owner", written).unwrap();
    assert_eq!(changes[0].value, None, "a watch sees the removal of the key");
}

/// One write to the store: number of the key, whether the expected revision matches, and value
/// (`None` removes the key).
type Write = (u8, bool, Option<u8>);

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// A mirror that applies the changes, in batches of any size, ends in the state that a
    /// listing returns.
    #[test]
    fn changes_lead_to_the_same_state_as_a_list(
        steps in prop::collection::vec((any::<Write>(), any::<bool>()), 1..200)
    ) {
        let mut store = Store::default();
        let mut mirror: BTreeMap<Arc<str>, (u64, Bytes)> = BTreeMap::new();
        let mut through = 0;
        let last = ((0, false, None), true);
        for ((key, matches, value), follow) in steps.into_iter().chain([last]) {
            let key: Arc<str> = format!("k/{}", key % 8).into();
            let present = store.get(&key).map_or(0, |item| item.revision);
            let revision = if matches { present } else { present + 1 };
            let mut transaction = Transaction {
                conditions: vec![message::Condition { key: key.clone(), revision }],
                ..Transaction::default()
            };
            match value {
                Some(value) => {
                    let value = value.to_string().into();
                    transaction.puts.push(store::Put { key, value, lease: 0 });
                }
                None => transaction.remove.push(key),
            }
            prop_assert_eq!(store.commit(&transaction).is_ok(), matches);
            if follow {
                for item in store.changes("k/", through).unwrap() {
                    match item.value {
                        Some(value) => mirror.insert(item.key, (item.revision, value)),
                        None => mirror.remove(&item.key),
                    };
                }
                through = store.revision();
            }
        }

        let (listed, _) = store.range("k/", "");
        let listed: BTreeMap<_, _> = listed
            .into_iter()
            .map(|item| (item.key, (item.revision, item.value.unwrap())))
            .collect();
        prop_assert_eq!(mirror, listed);
    }
}

/// Lets the store return to its copy.
async fn restore(platform: &Platform) {
    platform.change(Change { restore: true, ..Change::default() }).await;
}

/// Starts a store with one key, takes a copy, and writes the key again.
async fn copied() -> (Platform, Position) {
    let platform = platform(settings()).await;
    let first = swap_at(&platform.client, "k", at(0), "a").await.unwrap();
    platform.change(Change { copy: true, ..Change::default() }).await;
    let second = swap_at(&platform.client, "k", first, "b").await.unwrap();
    (platform, second)
}

#[tokio::test]
async fn a_restore_returns_to_the_copy_in_a_new_era() {
    let (platform, before) = copied().await;

    restore(&platform).await;
    let item = platform.client.get("k").await.unwrap().unwrap();

    assert_eq!((item.at, item.value.as_deref()), (Position::new(1, 1), Some(&b"a"[..])));
    assert!(item.at > before);
}

#[tokio::test]
async fn a_watch_from_before_a_restore_fails_whatever_the_revision() {
    let (platform, before) = copied().await;
    restore(&platform).await;

    let below = platform.client.watch("k", before, Duration::ZERO).await;
    swap_at(&platform.client, "other", at(0), "x").await.unwrap();
    let reached = platform.client.watch("k", before, Duration::ZERO).await;

    for watch in [below, reached] {
        assert!(matches!(watch, Err(Error::Restored)), "{watch:?}");
    }
}

#[tokio::test]
async fn a_waiting_watch_is_cut_by_a_restore() {
    let (platform, before) = copied().await;
    let client = platform.client.clone();
    let watch = tokio::spawn(async move { client.watch("k", before, WATCH_WAIT).await });
    platform.wait_for_waiting_watch().await;

    restore(&platform).await;
    let cut = bounded(watch).await.unwrap();

    assert!(matches!(cut, Err(Error::Unknown(_))), "{cut:?}");
}

#[tokio::test]
async fn a_condition_from_before_a_restore_does_not_hold_for_the_same_revision() {
    let (platform, before) = copied().await;
    restore(&platform).await;
    let other = Client::open(platform.client.address());
    let item = other.get("k").await.unwrap().unwrap();
    let reused = swap_at(&other, "k", item.at, "c").await.unwrap();
    assert_eq!(reused.revision, before.revision, "the revision is given out again");

    let first = swap_at(&platform.client, "k", before, "d").await;
    let second = swap_at(&platform.client, "k", before, "e").await;

    assert!(matches!(first, Err(Error::Unknown(_))), "it may have been written: {first:?}");
    assert!(matches!(second, Err(Error::Restored)), "{second:?}");
}

#[tokio::test]
async fn a_lease_from_before_a_restore_is_void() {
    let (platform, _) = copied().await;
    let lease = platform.client.grant(WATCH_WAIT).await.unwrap();
    restore(&platform).await;
    let other = Client::open(platform.client.address());
    let reused = other.grant(WATCH_WAIT).await.unwrap();
    assert_eq!(reused.number, lease.number, "the number is given out again");

    let renewal = platform.client.renew(lease).await;

    assert!(matches!(renewal, Err(Error::Restored)), "{renewal:?}");
}
