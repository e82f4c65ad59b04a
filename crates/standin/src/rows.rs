//! Computes the rows that leafs hold: the ground truth that tests compare answers with.
//!
//! A service has keys `k0`, `k1` and so on. A key's shard is determined by the number
//! of shards of a version, by the same rule as in
//! [`jacinthfall_core::service::Map::shard_of`], so that repartitioning moves
//! keys and neither adds nor removes any.

use std::sync::Arc;

use jacinthfall_core::hash;
use jacinthfall_core::id;
use jacinthfall_core::query::{Query, Row, Scope};

/// Prefix of a query text that issues an invoice instead of reading rows.
pub const INVOICE_PREFIX: &str = "issue invoice";

/// Shards of one index version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partition {
    /// The version.
    pub version: id::Version,
    /// Number of its shards.
    pub shards: u32,
}

/// Returns the key with a number.
///
/// ```
/// assert_eq!(&*jacinthfall_standin::rows::key(7), "k7");
/// ```
#[must_use]
pub fn key(number: u32) -> Arc<str> {
    format!("k{number}").into()
}

/// Returns the shard of a key in a version with `shards` shards, numbered from 0.
///
/// # Panics
///
/// If `shards` is 0.
///
/// ```
/// use jacinthfall_core::id::Shard;
/// assert_eq!(jacinthfall_standin::rows::shard_of("k7", 1), Shard(0));
/// ```
#[must_use]
pub fn shard_of(key: &str, shards: u32) -> id::Shard {
    let index = hash::digest(key.as_bytes()) % u64::from(shards);
    id::Shard(u32::try_from(index).expect("a remainder of a u32 fits a u32"))
}

/// Returns the keys of one shard in ascending order, out of a service's `keys` keys.
///
/// ```
/// use jacinthfall_core::id::Shard;
/// assert_eq!(jacinthfall_standin::rows::keys(Shard(0), 1, 12).len(), 12);
/// ```
#[must_use]
pub fn keys(shard: id::Shard, shards: u32, keys: u32) -> Vec<Arc<str>> {
    let mut held: Vec<_> =
        (0..keys).map(key).filter(|key| shard_of(key, shards) == shard).collect();
    held.sort();
    held
}

/// Returns the row of a key in a version; its value repeats the text of the query.
///
/// ```
/// use jacinthfall_core::id::Version;
/// let row = jacinthfall_standin::rows::row("k7", Version(2), "history");
/// assert_eq!(&*row.value, "v2 k7 history");
/// ```
#[must_use]
pub fn row(key: &str, version: id::Version, text: &str) -> Row {
    Row { key: key.into(), value: format!("v{version} {key} {text}").into() }
}

/// Returns the rows that a leaf answers a query with, out of the `held` keys of one shard.
///
/// ```
/// use jacinthfall_core::id::Version;
/// use jacinthfall_core::query::{Query, Scope};
/// let query = Query { scope: Scope::Key("k7".into()), text: "card".into(), limit: 9 };
/// let held = vec!["k6".into(), "k7".into()];
/// assert_eq!(jacinthfall_standin::rows::select(&held, Version(1), &query).len(), 1);
/// ```
#[must_use]
pub fn select(held: &[Arc<str>], version: id::Version, query: &Query) -> Vec<Row> {
    let limit = usize::try_from(query.limit).unwrap_or(usize::MAX);
    let matches = held.iter().filter(|key| match &query.scope {
        Scope::All => true,
        Scope::Key(wanted) => wanted == *key,
    });
    matches.take(limit).map(|key| row(key, version, &query.text)).collect()
}

/// Returns every row of a complete answer to a query: the ground truth.
///
/// ```
/// use jacinthfall_core::id::Version;
/// use jacinthfall_core::query::{Query, Scope};
/// let query = Query { scope: Scope::All, text: "bays".into(), limit: 1_000 };
/// assert_eq!(jacinthfall_standin::rows::truth(Version(1), 120, &query).len(), 120);
/// ```
#[must_use]
pub fn truth(version: id::Version, keys: u32, query: &Query) -> Vec<Row> {
    let mut held: Vec<_> = (0..keys).map(key).collect();
    held.sort();
    select(&held, version, query)
}

/// Returns the row that run number `run` of a request that issues an invoice answers with.
///
/// ```
/// use jacinthfall_core::id::Version;
/// let row = jacinthfall_standin::rows::receipt("r-1", Version(1), 1, "issue invoice 7");
/// assert_eq!(&*row.value, "v1 run 1 issue invoice 7");
/// ```
#[must_use]
pub fn receipt(request: &str, version: id::Version, run: u64, text: &str) -> Row {
    let value = format!("v{version} run {run} {text}").into();
    Row { key: format!("receipt-{request}").into(), value }
}
