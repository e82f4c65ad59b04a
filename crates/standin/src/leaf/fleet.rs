//! Fleets: settings that describe all leafs of a service at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jacinthfall_core::{id, service};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::leaf::settings::{self, ColdStart, Delay, Held, Leaf};
use crate::settings::Error;

/// Leafs of a service, in groups of replicas.
///
/// Shard `s` belongs to group `s % groups`, and every leaf of the group holds it.
/// The first replica of the map rotates with each shard of a group, so that a query to
/// `groups * replicas` shards reaches every leaf once.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the service.
    pub service: id::Name,
    /// Availability zones; replica `r` of group `g` is in zone `(g + r) % zones.len()`.
    pub zones: Vec<id::Name>,
    /// Number of groups.
    pub groups: u32,
    /// Number of replicas in each group.
    pub replicas: u32,
    /// Index versions, oldest first.
    pub versions: Vec<Partition>,
    /// Number of parts that a leaf serves concurrently.
    pub slots: u32,
    /// Largest number of open connections to a leaf.
    pub connections: u32,
    /// Time to set up a new connection, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_ms")]
    pub connect: Duration,
    /// Whether a query may name the version to serve.
    #[serde(default = "settings::yes")]
    pub named_versions: bool,
    /// Number of keys of the service.
    #[serde(default = "settings::default_keys")]
    pub keys: u32,
    /// Distribution of the time to serve a part.
    #[serde(default)]
    pub service_time: Delay,
    /// Slowdown after the start.
    #[serde(default)]
    pub cold_start: ColdStart,
    /// Number of parts that may wait for a slot of a leaf; the leaf refuses more.
    #[serde(default = "settings::default_queue")]
    pub queue: usize,
}

/// One index version of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partition {
    /// The version.
    pub version: id::Version,
    /// Number of its shards.
    pub shards: u32,
}

impl Fleet {
    /// Checks that there are zones, groups, replicas and shards.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with the first violated rule.
    pub fn check(&self) -> Result<(), Error> {
        let shards = self.versions.iter().map(|partition| partition.shards).min();
        let counts = [
            ("zones", self.zones.len() as u64),
            ("groups", u64::from(self.groups)),
            ("replicas", u64::from(self.replicas)),
            ("versions", u64::from(shards.unwrap_or(0))),
        ];
        match counts.iter().find(|(_, count)| *count == 0) {
            Some((field, _)) => Err(Error::Invalid(format!(
                "fleet `{}` has none in field `{field}`, 1 or more are needed",
                self.service
            ))),
            None => Ok(()),
        }
    }

    /// Returns the settings of every leaf.
    #[must_use]
    pub fn leafs(&self) -> Vec<Leaf> {
        self.positions().map(|(group, replica)| self.leaf(group, replica)).collect()
    }

    /// Returns the description of the service for nodes, with the addresses of the leafs.
    ///
    /// A leaf without an address is left out of `leafs` and of every map.
    #[must_use]
    pub fn service(&self, addresses: &BTreeMap<id::Name, SocketAddr>) -> service::Service {
        let leafs = self.positions().filter_map(|(group, replica)| {
            let name = self.name(group, replica);
            let address = *addresses.get(&name)?;
            let zone = self.zone(group, replica);
            Some(service::Leaf { name, address, zone, leaving: false })
        });
        service::Service {
            name: self.service.clone(),
            slots: self.slots,
            connections: self.connections,
            connect: self.connect,
            named_versions: self.named_versions,
            leafs: leafs.collect(),
            maps: self.versions.iter().map(|&p| self.map(p, addresses)).collect(),
        }
    }

    fn map(
        &self,
        partition: Partition,
        addresses: &BTreeMap<id::Name, SocketAddr>,
    ) -> service::Map {
        let shards = (0..partition.shards).map(|shard| {
            let group = shard % self.groups;
            let first = (shard / self.groups) % self.replicas;
            let order = (0..self.replicas).map(|r| (first + r) % self.replicas);
            let names = order.map(|replica| self.name(group, replica));
            let replicas = names.filter(|name| addresses.contains_key(name)).collect();
            service::Shard { shard: id::Shard(shard), replicas }
        });
        service::Map { version: partition.version, shards: shards.collect() }
    }

    fn leaf(&self, group: u32, replica: u32) -> Leaf {
        let held = self.versions.iter().map(|partition| Held {
            version: partition.version,
            shard_count: partition.shards,
            shards: (0..partition.shards)
                .filter(|shard| shard % self.groups == group)
                .map(id::Shard)
                .collect(),
        });
        Leaf {
            name: self.name(group, replica),
            listen: settings::any_port(),
            service: self.service.clone(),
            zone: self.zone(group, replica),
            slots: self.slots,
            connections: usize::try_from(self.connections).unwrap_or(usize::MAX),
            connect: self.connect,
            held: held.collect(),
            versions: self.versions.iter().map(|partition| partition.version).collect(),
            named_versions: self.named_versions,
            keys: self.keys,
            service_time: self.service_time,
            cold_start: self.cold_start,
            queue: self.queue,
            drain_grace: settings::default_drain_grace(),
            load: settings::LoadReport::True,
            deadlines: true,
        }
    }

    /// Group and replica of every leaf.
    fn positions(&self) -> impl Iterator<Item = (u32, u32)> + use<'_> {
        (0..self.groups).flat_map(|group| (0..self.replicas).map(move |r| (group, r)))
    }

    fn name(&self, group: u32, replica: u32) -> id::Name {
        match self.replicas {
            1 => format!("{}-{group}", self.service).into(),
            _ => format!("{}-{group}-{replica}", self.service).into(),
        }
    }

    fn zone(&self, group: u32, replica: u32) -> id::Name {
        let index = (group as usize + replica as usize) % self.zones.len();
        self.zones[index].clone()
    }
}
