//! Settings of a gateway node: JSON with comments, validated before the node starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_dispatch::watch::Schedule;
use jacinthfall_dispatch::{budget, overload, quota};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

use crate::util::settings::{self, Error};

/// CPU time that forwarding a part takes.
const PART_CPU_TIME: Duration = Duration::from_micros(70);

/// Bits that a part takes on the link, both directions together.
const PART_LINK_BITS: f64 = 8.0 * 1_600.0;

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
    /// Listener for the platform's readiness check.
    pub readiness: Listener,
    /// Listener for the address lookup of callers.
    pub addresses: Addresses,
    /// Listener for other nodes.
    pub peers: Peers,
    /// The platform's store.
    pub store: Store,
    /// Budget of sends beyond the first of each request.
    pub extra: Extra,
    /// Capacity of the entry VM.
    pub capacity: Capacity,
    /// Planned stops.
    pub stop: Stop,
    /// Bounds within which changes in the store take effect.
    #[serde(default)]
    pub changes: Changes,
    /// Rule that quotas of organisations are kept by; they aren't limited if omitted.
    #[serde(default)]
    pub quotas: Option<Quotas>,
    /// Mechanisms of load shedding that are in use; none if omitted.
    #[serde(default)]
    pub overload: overload::Settings,
    /// Listener for metrics collectors, at the path `/metrics`; none if omitted.
    #[serde(default)]
    pub metrics: Option<Listener>,
}

/// A listener.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
}

/// Listener for the address lookup of callers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Time for which callers may cache an answer, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms", default = "default_hold")]
    pub hold: Duration,
}

/// Listener for other nodes: heartbeats over UDP, exchanges over TCP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Addresses of some nodes, separated by commas, to contact after the start. Some may be out
    /// of date, and this node may be among them.
    #[serde(default)]
    pub seeds: String,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
}

/// Budget of sends beyond the first of each request, over all nodes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Extra {
    /// Number of extra sends allowed per request to a service.
    pub ratio: f64,
    /// Number of extra sends to a service allowed in a window without requests.
    pub floor: f64,
    /// Length of the window, in seconds.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "window_s")]
    pub window: Duration,
}

/// Capacity of the entry VM.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// CPU cores; may be a fraction of one.
    pub cores: f64,
    /// Bandwidth of its link, in megabits per second.
    pub link_mbps: f64,
}

impl Capacity {
    /// Returns the number of parts per second that the VM can forward, which is limited by its
    /// CPU or its link.
    #[must_use]
    pub fn parts(&self) -> u32 {
        let cpu = self.cores / PART_CPU_TIME.as_secs_f64();
        let link = self.link_mbps * 1e6 / PART_LINK_BITS;
        cpu.min(link) as u32
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

/// Bounds within which changes in the store take effect at all nodes that reach it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Changes {
    /// Bound for versions of the configuration, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "configuration_ms")]
    pub configuration: Duration,
    /// Bound for leafs that drain, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_ms")]
    pub drain: Duration,
    /// Bound for evacuations, in milliseconds; none if omitted.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "evacuation_ms")]
    pub evacuation: Option<Duration>,
}

impl Default for Changes {
    fn default() -> Changes {
        let bound = Duration::from_secs(3);
        Changes { configuration: bound, drain: bound, evacuation: None }
    }
}

/// Rule that quotas of organisations are kept by: in every window, an organisation's requests at
/// all nodes stay within its quota and the room that is stated here.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quotas {
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Share by which the quota may be exceeded.
    pub overage: f64,
    /// Number of requests by which it may be exceeded besides.
    pub slack: f64,
}

impl Quotas {
    /// Returns the rule.
    #[must_use]
    pub fn rule(&self) -> quota::Rule {
        let window = Duration::from_secs_f64(self.window_s);
        quota::Rule { window, overage: self.overage, slack: self.slack }
    }
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

    /// Returns the limit of the retry budget.
    #[must_use]
    pub fn budget(&self) -> budget::Limit {
        let extra = &self.extra;
        budget::Limit { ratio: extra.ratio, floor: extra.floor, window: extra.window }
    }

    /// Returns when nodes ask the store for changes: such that each kind keeps to its bound.
    #[must_use]
    pub fn schedule(&self) -> Schedule {
        let Changes { configuration, drain, evacuation } = self.changes;
        let bound = configuration.min(drain);
        Schedule::of(evacuation.map_or(bound, |evacuation| bound.min(evacuation)))
    }

    /// Returns the seed addresses; this node's own one may be among them.
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.peers.seeds.split(',').filter_map(|seed| seed.trim().parse().ok());
        seeds.collect()
    }

    fn check(&self, file: &Path) -> Result<(), Error> {
        let value = |valid: bool, key, allowed, found: &dyn std::fmt::Display| {
            settings::check(file, valid, key, allowed, found)
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
        let positive = "more than 0 is needed";
        let capacity = &self.capacity;
        value(capacity.cores > 0.0, "capacity.cores", positive, &capacity.cores)?;
        value(capacity.link_mbps > 0.0, "capacity.link_mbps", positive, &capacity.link_mbps)?;
        let Changes { configuration, drain, evacuation } = self.changes;
        let bounds = [
            ("changes.configuration_ms", Some(configuration)),
            ("changes.drain_ms", Some(drain)),
            ("changes.evacuation_ms", evacuation),
        ];
        for (key, bound) in bounds.into_iter().filter_map(|(key, bound)| Some((key, bound?))) {
            let allowed = "1000 to 600000 milliseconds are allowed";
            let bound_ms = bound.as_millis();
            value((1_000..=600_000).contains(&bound_ms), key, allowed, &bound_ms)?;
        }
        let at_least_one = "1 or more is needed";
        if let Some(Quotas { window_s, overage, slack }) = &self.quotas {
            let window = "1 to 3600 seconds are allowed";
            value((1.0..=3_600.0).contains(window_s), "quotas.window_s", window, window_s)?;
            // Grants must last for as long as a message takes on its way.
            let share = "0.02 to 1 is allowed";
            value((0.02..=1.0).contains(overage), "quotas.overage", share, overage)?;
            let requests = "5 to 10000 requests are allowed";
            value((5.0..=10_000.0).contains(slack), "quotas.slack", requests, slack)?;
        }
        value(!extra.window.is_zero(), "extra.window_s", at_least_one, &extra.window.as_secs())?;
        let seeds = self.peers.seeds.split(',').map(str::trim).filter(|seed| !seed.is_empty());
        for seed in seeds {
            let valid = seed.parse::<SocketAddr>().is_ok();
            value(valid, "peers.seeds", "addresses with ports are allowed", &seed)?;
        }
        value(!self.stop.grace.is_zero(), "stop.grace_s", at_least_one, &self.stop.grace.as_secs())
    }
}
