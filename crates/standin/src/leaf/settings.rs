//! Settings of simulated leafs.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jacinthfall_core::{id, leaf};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

use crate::leaf::fleet::Fleet;
use crate::settings::Error;

/// Default number of parts that may wait for a slot.
const DEFAULT_QUEUE: usize = 64;

/// Default number of keys of a service.
const DEFAULT_KEYS: u32 = 120;

/// Default time from the start of draining until parts are refused.
const DEFAULT_DRAIN_GRACE: Duration = Duration::from_secs(1);

/// Settings of a process that simulates leafs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Seed of the service times of all leafs.
    #[serde(default)]
    pub seed: u64,
    /// Address that serves `/control` without the limits of any leaf.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Leafs that are described one by one.
    #[serde(default)]
    pub leafs: Vec<Leaf>,
    /// Fleets, each of which describes all leafs of a service.
    #[serde(default)]
    pub fleets: Vec<Fleet>,
}

/// Settings of one leaf.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaf {
    /// Name.
    pub name: id::Name,
    /// Address to listen on; port 0 selects a free port.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Service that it belongs to.
    pub service: id::Name,
    /// Availability zone.
    pub zone: id::Name,
    /// Number of parts served concurrently.
    pub slots: u32,
    /// Largest number of open connections; further ones are closed at once.
    pub connections: usize,
    /// Time to set up a new connection, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_ms", default)]
    pub connect: Duration,
    /// Shards held, by version.
    pub held: Vec<Held>,
    /// Versions served, a subset of those held.
    pub versions: Vec<id::Version>,
    /// Whether a query may name the version to serve; otherwise the newest is served.
    #[serde(default = "yes")]
    pub named_versions: bool,
    /// Number of keys of the whole service.
    #[serde(default = "default_keys")]
    pub keys: u32,
    /// Distribution of the time to serve a part.
    #[serde(default)]
    pub service_time: Delay,
    /// Slowdown after the start.
    #[serde(default)]
    pub cold_start: ColdStart,
    /// Number of parts that may wait for a slot; the leaf refuses more.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Time from the start of draining until parts are refused, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_grace_ms", default = "default_drain_grace")]
    pub drain_grace: Duration,
    /// How the leaf reports its load.
    #[serde(default)]
    pub load: LoadReport,
    /// Whether the leaf refuses an idempotent part past its deadline.
    #[serde(default = "yes")]
    pub deadlines: bool,
}

/// Shards of one version that a leaf holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Held {
    /// The version.
    pub version: id::Version,
    /// Number of shards of the version, over all leafs.
    pub shard_count: u32,
    /// The shards held, out of `0..shard_count`.
    pub shards: Vec<id::Shard>,
}

/// Distribution of service times: a base, an exponential part and stragglers.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Delay {
    /// Smallest time, in microseconds.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "base_us")]
    pub base: Duration,
    /// Mean of the exponential part, in microseconds.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "exponential_us")]
    pub exponential: Duration,
    /// Probability of a straggler, from 0 to 1.
    pub straggler: f64,
    /// Factor by which a straggler takes longer.
    pub straggler_factor: f64,
}

/// Slowdown after the start, which decreases linearly to none.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdStart {
    /// Length of the slowdown, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "period_ms")]
    pub period: Duration,
    /// Factor by which parts take longer right after the start.
    pub factor: f64,
}

/// How a leaf reports its load.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LoadReport {
    /// The current load.
    #[default]
    True,
    /// The load of some time ago.
    Lag {
        /// Age of the reported load, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "lag_ms")]
        lag: Duration,
    },
    /// Always this load.
    Fixed(leaf::Load),
}

impl Settings {
    /// Returns the settings of every leaf, including those of the fleets.
    ///
    /// ```
    /// use jacinthfall_standin::{leaf::settings::Settings, settings};
    /// let settings: Settings = settings::parse(r#"{"seed": 1}"#).unwrap();
    /// assert!(settings.leafs().is_empty());
    /// ```
    #[must_use]
    pub fn leafs(&self) -> Vec<Leaf> {
        let fleets = self.fleets.iter().flat_map(Fleet::leafs);
        self.leafs.iter().cloned().chain(fleets).collect()
    }

    /// Checks every leaf and fleet.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with the first violated rule.
    pub fn check(&self) -> Result<(), Error> {
        self.fleets.iter().try_for_each(Fleet::check)?;
        self.leafs().iter().try_for_each(Leaf::check)
    }
}

impl Leaf {
    /// Checks that the leaf has slots and that what it serves and holds is consistent.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with the first violated rule.
    pub fn check(&self) -> Result<(), Error> {
        let name = &self.name;
        if self.slots == 0 {
            return Err(Error::Invalid(format!(
                "leaf `{name}` has 0 `slots`, 1 or more are needed"
            )));
        }
        let is_held = |version| self.held.iter().any(|held| held.version == version);
        if let Some(version) = self.versions.iter().find(|&&version| !is_held(version)) {
            return Err(Error::Invalid(format!(
                "leaf `{name}` serves version {version}, which is not in `held`"
            )));
        }
        let invalid =
            self.held.iter().find(|held| held.shards.iter().any(|s| s.0 >= held.shard_count));
        match invalid {
            Some(held) => Err(Error::Invalid(format!(
                "leaf `{name}` holds a shard beyond `shard_count` in version {}",
                held.version
            ))),
            None => Ok(()),
        }
    }
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub(crate) fn yes() -> bool {
    true
}

pub(crate) fn default_keys() -> u32 {
    DEFAULT_KEYS
}

pub(crate) fn default_queue() -> usize {
    DEFAULT_QUEUE
}

pub(crate) fn default_drain_grace() -> Duration {
    DEFAULT_DRAIN_GRACE
}
