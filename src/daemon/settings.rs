//! Settings of a node, read from JSON with comments and checked before the node starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_fate as fate;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::util::settings;

pub use crate::util::settings::Error;

/// Minimum length of a token, in bytes.
const MIN_TOKEN_LEN: usize = 16;

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node.
    pub node: id::Name,
    /// Availability zone of its entry VM.
    pub zone: id::Name,
    /// Listener for callers.
    pub callers: Callers,
    /// Listener for operators.
    pub operators: Operators,
    /// Listener for other nodes.
    pub peers: Peers,
    /// Access to the platform.
    pub platform: Platform,
    /// Resource limits of the node.
    #[serde(default)]
    pub limits: Limits,
    /// Retention and replication of fates.
    #[serde(default)]
    pub fates: fate::settings::Settings,
}

/// Listener for callers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time for which callers may use an answer to `GET /v1/addresses`, in milliseconds.
    /// A planned stop waits at least that long before it refuses requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hold_ms", default = "default_hold")]
    pub hold: Duration,
}

/// Listener for operators.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Bearer token that every request must carry.
    pub token: String,
}

/// Listener for other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Token that all nodes share.
    pub token: String,
    /// Other nodes to contact first, so that the node can join while the platform's
    /// store is down.
    #[serde(default)]
    pub seeds: Vec<Seed>,
}

/// Another node to contact at the start.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Name of the node.
    pub node: id::Name,
    /// Availability zone.
    pub zone: id::Name,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
}

/// Access to the platform.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the platform's HTTP interface.
    pub address: SocketAddr,
    /// Interval at which the node entries are read from the store, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "vm_poll_ms", default = "default_vm_poll")]
    pub vm_poll: Duration,
}

/// Resource limits of a node.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of connections from callers, and as many from operators.
    pub connections: usize,
    /// Maximum number of connections from other nodes.
    pub peer_connections: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time after which an idle or stalled connection is closed, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stall_ms")]
    pub stall: Duration,
    /// Number of threads that run the decision cores.
    pub workers: usize,
    /// Number of threads that serve sockets.
    pub socket_threads: usize,
    /// Maximum number of events kept in the timeline.
    pub timeline: usize,
    /// Time after the start of a planned stop, in milliseconds, until which open requests
    /// may end. After that, the stop continues even if some are still open.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_ms")]
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 1_024,
            peer_connections: 256,
            body_bytes: 64 * 1024,
            stall: Duration::from_secs(30),
            workers: 2,
            socket_threads: 1,
            timeline: 65_536,
            drain: Duration::from_secs(90),
        }
    }
}

const fn default_hold() -> Duration {
    Duration::from_secs(10)
}

const fn default_vm_poll() -> Duration {
    Duration::from_secs(5)
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the file, the key and the remedy.
    pub fn open(file: &Path) -> Result<Settings, Error> {
        Settings::parse(file, &settings::read(file)?)
    }

    /// Parses and checks the text of a settings file. `file` is only used in messages.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Parse`] or [`Error::Value`].
    ///
    /// ```
    /// use jacinthfall::daemon::settings::Settings;
    /// let error = Settings::parse("node.jsonc".as_ref(), "{ \"nod\": 1 }").unwrap_err();
    /// assert!(error.to_string().contains("`nod`"));
    /// ```
    pub fn parse(file: &Path, text: &str) -> Result<Settings, Error> {
        settings::parse(file, text, Settings::check)
    }

    fn check(&self, file: &Path) -> Result<(), Error> {
        let require = |holds: bool, key, allowed, found: &dyn std::fmt::Display| {
            settings::check(file, holds, key, allowed, found)
        };
        let name_rule = "must be 1 to 128 letters, digits, `-`, `_`, `.` or `:`";
        let token_rule = "must be 16 or more characters long";
        let interval_rule = "must be 100 to 600000 milliseconds";
        let count_rule = "must be 1 or more";
        let limits = &self.limits;
        let length = |text: &str| format!("{} characters long", text.len());
        let hold_ms = self.callers.hold.as_millis();
        let poll_ms = self.platform.vm_poll.as_millis();
        require(id::name(&self.node).is_ok(), "node", name_rule, &self.node)?;
        require(id::name(&self.zone).is_ok(), "zone", name_rule, &self.zone)?;
        let operator_token = &self.operators.token;
        require(
            operator_token.len() >= MIN_TOKEN_LEN,
            "operators.token",
            token_rule,
            &length(operator_token),
        )?;
        let peer_token = &self.peers.token;
        require(peer_token.len() >= MIN_TOKEN_LEN, "peers.token", token_rule, &length(peer_token))?;
        require((100..=600_000).contains(&hold_ms), "callers.hold_ms", interval_rule, &hold_ms)?;
        require(
            (100..=600_000).contains(&poll_ms),
            "platform.vm_poll_ms",
            interval_rule,
            &poll_ms,
        )?;
        require(limits.connections > 0, "limits.connections", count_rule, &limits.connections)?;
        let peer_connections = &limits.peer_connections;
        require(*peer_connections > 0, "limits.peer_connections", count_rule, peer_connections)?;
        require(limits.workers > 0, "limits.workers", count_rule, &limits.workers)?;
        require(
            limits.socket_threads > 0,
            "limits.socket_threads",
            count_rule,
            &limits.socket_threads,
        )?;
        require(limits.timeline > 0, "limits.timeline", count_rule, &limits.timeline)?;
        let drain_rule = "must be longer than `callers.hold_ms`";
        let drain_ms = limits.drain.as_millis();
        require(limits.drain > self.callers.hold, "limits.drain_ms", drain_rule, &drain_ms)?;
        if let Err(error) = self.fates.check() {
            return require(false, "fates", "each key must be 1 or more", &error);
        }
        let body_rule = "must be 1024 to 1048576 bytes";
        let body = limits.body_bytes;
        require((1_024..=1_048_576).contains(&body), "limits.body_bytes", body_rule, &body)
    }
}
