//! Services: their leafs, and the partition maps of their index versions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{hash, id};

/// A leaf: a backend server of a service, which holds replicas of shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaf {
    /// Name, unique across all services.
    pub name: id::Name,
    /// Address of its HTTP/2 listener.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: id::Name,
    /// Whether the leaf is leaving, so that no new parts are sent to it.
    #[serde(default)]
    pub leaving: bool,
}

/// The replicas of one shard in one index version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// Number of the shard.
    pub shard: id::Shard,
    /// Names of the leafs that hold the shard, in order of preference.
    pub replicas: Vec<id::Name>,
}

/// Partition map of one index version. Its shards are disjoint and complete: each key
/// belongs to exactly one of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// Index version that the map belongs to.
    pub version: id::Version,
    /// All shards, in ascending order.
    pub shards: Vec<Shard>,
}

impl Map {
    /// Returns the shard that holds `key` in this version, or `None` if the map is empty.
    ///
    /// ```
    /// use jacinthfall_core::id::{Shard, Version};
    /// use jacinthfall_core::service::{self, Map};
    /// let shards = vec![service::Shard { shard: Shard(0), replicas: vec!["leaf-0".into()] }];
    /// let map = Map { version: Version(1), shards };
    /// assert_eq!(map.shard_of("bay-7"), Some(Shard(0)));
    /// ```
    #[must_use]
    pub fn shard_of(&self, key: &str) -> Option<id::Shard> {
        let count = self.shards.len() as u64;
        if count == 0 {
            return None;
        }
        let index = usize::try_from(hash::digest(key.as_bytes()) % count).ok()?;
        self.shards.get(index).map(|shard| shard.shard)
    }

    /// Returns the entry of `shard`, or `None` if the map does not contain it.
    ///
    /// ```
    /// use jacinthfall_core::id::{Shard, Version};
    /// use jacinthfall_core::service::Map;
    /// let map = Map { version: Version(1), shards: Vec::new() };
    /// assert!(map.shard(Shard(0)).is_none());
    /// ```
    #[must_use]
    pub fn shard(&self, shard: id::Shard) -> Option<&Shard> {
        let index = self.shards.binary_search_by_key(&shard, |entry| entry.shard).ok()?;
        self.shards.get(index)
    }
}

/// A service, with the settings that a node needs to query it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: id::Name,
    /// Number of requests that one leaf serves concurrently.
    pub slots: u32,
    /// Number of connections that one leaf accepts from all nodes together.
    pub connections: u32,
    /// Typical time to open a connection, in milliseconds in JSON.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_ms")]
    pub connect: Duration,
    /// Whether a request can name the index version to serve; if not, leafs only report
    /// the version that they served.
    #[serde(default = "named_versions")]
    pub named_versions: bool,
    /// All leafs of the service.
    pub leafs: Vec<Leaf>,
    /// Partition maps of the versions that can be queried, oldest first.
    pub maps: Vec<Map>,
}

fn named_versions() -> bool {
    true
}

/// Reason why a service is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A limit is zero.
    #[error("field `{0}` is 0; set it to the number that each leaf accepts, at least 1")]
    ZeroLimit(&'static str),
    /// Two leafs have the same name.
    #[error("leaf `{0}` is listed twice; give each leaf a unique name")]
    DuplicateLeaf(id::Name),
    /// A partition map refers to a leaf that is not listed.
    #[error(
        "the map of version {version} refers to leaf `{leaf}`, which is not in `leafs`; add it there"
    )]
    UnknownLeaf {
        /// Version of the map.
        version: id::Version,
        /// Name of the leaf.
        leaf: id::Name,
    },
    /// Versions or shards are not in strictly ascending order.
    #[error("{0} are not in strictly ascending order; sort them and remove duplicates")]
    Unsorted(&'static str),
}

impl Service {
    /// Checks that limits are positive, leaf names are unique and known, and versions and
    /// shards are sorted.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    ///
    /// ```
    /// use jacinthfall_core::service::Service;
    /// let text = r#"{"name":"s","slots":0,"connections":1,"connect_ms":1,"leafs":[],"maps":[]}"#;
    /// let service: Service = serde_json::from_str(text).unwrap();
    /// assert!(service.check().is_err());
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        if self.slots == 0 {
            return Err(Error::ZeroLimit("slots"));
        }
        if self.connections == 0 {
            return Err(Error::ZeroLimit("connections"));
        }
        let mut names = BTreeSet::new();
        for leaf in &self.leafs {
            if !names.insert(&leaf.name) {
                return Err(Error::DuplicateLeaf(leaf.name.clone()));
            }
        }
        if !self.maps.windows(2).all(|pair| pair[0].version < pair[1].version) {
            return Err(Error::Unsorted("versions"));
        }
        self.maps.iter().try_for_each(|map| check_map(map, &names))
    }

    /// Returns the leafs by name.
    ///
    /// ```
    /// use jacinthfall_core::service::Service;
    /// let text = r#"{"name":"s","slots":1,"connections":1,"connect_ms":1,"leafs":[],"maps":[]}"#;
    /// let service: Service = serde_json::from_str(text).unwrap();
    /// assert!(service.leafs_by_name().is_empty());
    /// ```
    #[must_use]
    pub fn leafs_by_name(&self) -> BTreeMap<&str, &Leaf> {
        self.leafs.iter().map(|leaf| (&*leaf.name, leaf)).collect()
    }
}

fn check_map(map: &Map, names: &BTreeSet<&id::Name>) -> Result<(), Error> {
    if !map.shards.windows(2).all(|pair| pair[0].shard < pair[1].shard) {
        return Err(Error::Unsorted("shards"));
    }
    let replicas = map.shards.iter().flat_map(|shard| &shard.replicas);
    match replicas.into_iter().find(|leaf| !names.contains(leaf)) {
        Some(leaf) => Err(Error::UnknownLeaf { version: map.version, leaf: leaf.clone() }),
        None => Ok(()),
    }
}
