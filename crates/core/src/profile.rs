//! Profiles: settings by which operators control how a kind of request is served.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id;

/// Longest deadline that a profile may set.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// Whether a request waits for slow shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wait {
    /// Wait for every shard until the deadline.
    #[default]
    Full,
    /// Answer as soon as `least_coverage` is reached and `early_after` has passed.
    Early,
}

/// Settings for one kind of request: deadline, coverage, retries and admission.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name, unique across all services.
    pub name: id::Name,
    /// Service that the requests are sent to.
    pub service: id::Name,
    /// Time limit from the arrival of a request to its answer, in milliseconds in JSON.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Minimum share of the addressed shards that an answer must cover, from 0 to 1.
    #[serde(default = "full_coverage")]
    pub least_coverage: f64,
    /// Whether to wait for slow shards.
    #[serde(default)]
    pub wait: Wait,
    /// Shortest time from the arrival of a request to an early answer, in milliseconds in JSON.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "early_after_ms", default)]
    pub early_after: Duration,
    /// Whether requests are idempotent, so that they may run more than once.
    pub idempotent: bool,
    /// Limit of hedged requests and retries, as a share of the first attempts.
    #[serde(default = "default_extra_load")]
    pub extra_load: f64,
    /// Quantile of the leaf latency after which a hedged request is sent, from 0 to 1.
    #[serde(default = "default_hedge_quantile")]
    pub hedge_quantile: f64,
    /// Priority, from 0 (served last) to 9 (served first).
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Maximum number of requests of this profile that one node serves concurrently.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

fn full_coverage() -> f64 {
    1.0
}

fn default_extra_load() -> f64 {
    0.03
}

fn default_hedge_quantile() -> f64 {
    0.95
}

fn default_priority() -> u8 {
    5
}

fn default_concurrency() -> u32 {
    256
}

/// A field of a profile is out of bounds.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("field `{field}`: {allowed}, but it is {found}; correct it and put the profile again")]
pub struct Error {
    /// Name of the field in JSON.
    pub field: &'static str,
    /// Description of the allowed values.
    pub allowed: &'static str,
    /// Value that was found.
    pub found: String,
}

impl Profile {
    /// Checks that every field is within its bounds.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of bounds.
    ///
    /// ```
    /// use jacinthfall_core::profile::Profile;
    /// let text = r#"{"name":"p","service":"s","deadline_ms":0,"idempotent":true}"#;
    /// let profile: Profile = serde_json::from_str(text).unwrap();
    /// assert_eq!(profile.check().unwrap_err().field, "deadline_ms");
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        let millis = self.deadline.as_millis();
        check_name("name", &self.name)?;
        check_name("service", &self.service)?;
        ensure(
            !self.deadline.is_zero() && self.deadline <= MAX_DEADLINE,
            "deadline_ms",
            "1 to 60000 milliseconds are allowed",
            &millis,
        )?;
        check_share("least_coverage", self.least_coverage)?;
        check_share("extra_load", self.extra_load)?;
        check_share("hedge_quantile", self.hedge_quantile)?;
        ensure(
            self.early_after <= self.deadline,
            "early_after_ms",
            "at most `deadline_ms` is allowed",
            &self.early_after.as_millis(),
        )?;
        ensure(self.priority <= 9, "priority", "0 to 9 is allowed", &self.priority)?;
        ensure(self.concurrency > 0, "concurrency", "1 or more is allowed", &self.concurrency)
    }
}

fn check_name(field: &'static str, name: &str) -> Result<(), Error> {
    ensure(
        id::name(name).is_ok(),
        field,
        "1 to 128 letters, digits, `-`, `_`, `.` or `:` are allowed",
        &name,
    )
}

fn check_share(field: &'static str, share: f64) -> Result<(), Error> {
    ensure((0.0..=1.0).contains(&share), field, "a share from 0 to 1 is allowed", &share)
}

fn ensure(
    is_valid: bool,
    field: &'static str,
    allowed: &'static str,
    found: &dyn std::fmt::Display,
) -> Result<(), Error> {
    if is_valid {
        return Ok(());
    }
    Err(Error { field, allowed, found: found.to_string() })
}
