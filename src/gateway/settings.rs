//! Settings of a gateway node: JSON with comments, checked before anything starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_dispatch::budget;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

use crate::util::settings::{self, Error};

/// Processor time that a part takes.
const PART_PROCESSOR: Duration = Duration::from_micros(70);

/// Bits of a part on the link, both ways.
const PART_BITS: f64 = 8.0 * 1_600.0;

/// Settings of one gateway node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node.
    pub node: id::Name,
    /// Availability zone of its entry VM.
    pub zone: id::Name,
    /// Listener for callers.
    pub callers: Listener,
    /// Listener for the platform's check whether the node is ready.
    pub readiness: Listener,
    /// Listener for callers that ask for addresses.
    pub addresses: Addresses,
    /// Listener for other nodes.
    pub peers: Peers,
    /// The platform's store.
    pub store: Store,
    /// Bound on sends beyond the first of each request.
    pub extra: Extra,
    /// What the entry VM can carry.
    pub capacity: Capacity,
    /// Planned stops.
    pub stop: Stop,
    /// Listener for whoever collects metrics, at the path `/metrics`; none if left out.
    #[serde(default)]
    pub metrics: Option<Listener>,
}

/// A listener.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
}

/// Listener for callers that ask for addresses.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How long callers may use an answer, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms", default = "default_hold")]
    pub hold: Duration,
}

/// Listener for other nodes: heartbeats as datagrams, exchanges over TCP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Addresses of some other nodes, separated by commas; may be out of date.
    #[serde(default)]
    pub seeds: String,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of its interface.
    pub address: SocketAddr,
}

/// Bound on sends beyond the first of each request, over all nodes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Extra {
    /// Extra sends for each request to a service.
    pub ratio: f64,
    /// Extra sends to a service in a window without requests.
    pub floor: f64,
    /// Length of the window, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "window_s")]
    pub window: Duration,
}

/// What the entry VM can carry.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Processor cores, maybe a fraction of one.
    pub cores: f64,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: f64,
}

impl Capacity {
    /// Parts that the VM can pass on in a second: the processor or the link decides.
    #[must_use]
    pub fn parts(&self) -> u32 {
        let processor = self.cores / PART_PROCESSOR.as_secs_f64();
        let link = self.link_mbps * 1e6 / PART_BITS;
        processor.min(link) as u32
    }
}

/// Planned stops.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Time from the signal until the process is killed, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "grace_s")]
    pub grace: Duration,
}

const fn default_hold() -> Duration {
    Duration::from_secs(1)
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Any [`Error`], naming the file, the key and the remedy.
    pub fn open(file: &Path) -> Result<Settings, Error> {
        Settings::parse(file, &settings::read(file)?)
    }

    /// Parses and checks the text of a settings file; `file` is for messages.
    ///
    /// # Errors
    ///
    /// [`Error::Parse`] or [`Error::Value`].
    ///
    /// ```
    /// use jacinthfall::gateway::settings::Settings;
    /// let error = Settings::parse("node.jsonc".as_ref(), "{ \"nod\": 1 }").unwrap_err();
    /// assert!(error.to_string().contains("`nod`"));
    /// ```
    pub fn parse(file: &Path, text: &str) -> Result<Settings, Error> {
        settings::parse(file, text, Settings::check)
    }

    /// The bound on extra sends.
    #[must_use]
    pub fn budget(&self) -> budget::Limit {
        let extra = &self.extra;
        budget::Limit { ratio: extra.ratio, floor: extra.floor, window: extra.window }
    }

    /// Addresses of some nodes, maybe this one among them.
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.peers.seeds.split(',').filter_map(|seed| seed.trim().parse().ok());
        seeds.collect()
    }

    fn check(&self, file: &Path) -> Result<(), Error> {
        let value = |holds: bool, key, allowed, found: &dyn std::fmt::Display| {
            settings::check(file, holds, key, allowed, found)
        };
        let name = "1 to 128 letters, digits, `-`, `_`, `.` or `:` are allowed";
        let extra = &self.extra;
        let hold_ms = self.addresses.hold.as_millis();
        value(id::name(&self.node).is_ok(), "node", name, &self.node)?;
        value(id::name(&self.zone).is_ok(), "zone", name, &self.zone)?;
        let hold = "100 to 600000 milliseconds are allowed";
        value((100..=600_000).contains(&hold_ms), "addresses.hold_ms", hold, &hold_ms)?;
        let ratio = "0 to 1 is allowed";
        value((0.0..=1.0).contains(&extra.ratio), "extra.ratio", ratio, &extra.ratio)?;
        value(extra.floor >= 0.0, "extra.floor", "0 or more is allowed", &extra.floor)?;
        let above = "more than 0 is needed";
        let capacity = &self.capacity;
        value(capacity.cores > 0.0, "capacity.cores", above, &capacity.cores)?;
        value(capacity.link_mbps > 0.0, "capacity.link_mbps", above, &capacity.link_mbps)?;
        let positive = "1 or more is needed";
        value(!extra.window.is_zero(), "extra.window_s", positive, &extra.window.as_secs())?;
        let seeds = self.peers.seeds.split(',').map(str::trim).filter(|seed| !seed.is_empty());
        for seed in seeds {
            let sound = seed.parse::<SocketAddr>().is_ok();
            value(sound, "peers.seeds", "addresses with ports are allowed", &seed)?;
        }
        value(!self.stop.grace.is_zero(), "stop.grace_s", positive, &self.stop.grace.as_secs())
    }
}
