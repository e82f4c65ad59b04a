//! Settings of a [`Keeper`](crate::Keeper).

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};
use thiserror::Error;

/// Limits of the stored fates, and how soon they are copied.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Retention time of a fate, in seconds, if the memory budget suffices.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "keep_s")]
    pub keep: Duration,
    /// Memory budget for fates, in bytes. Beyond it, the oldest are evicted, complete
    /// answers without retries first.
    pub budget_bytes: usize,
    /// Maximum time for which copies are collected into a batch, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "batch_ms")]
    pub batch: Duration,
    /// Age at which the fate of an idempotent request in progress is copied, in
    /// milliseconds. If the request ends earlier, its fate is copied only after the
    /// end.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_after_ms")]
    pub slow_after: Duration,
    /// Number of cells that the nodes are partitioned into by a hash of their names.
    /// Fates are copied only within a cell. Must be the same on all nodes.
    pub cells: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            keep: Duration::from_secs(3_600),
            budget_bytes: 32 << 20,
            batch: Duration::from_millis(100),
            slow_after: Duration::from_millis(250),
            cells: 1,
        }
    }
}

/// Error for a setting that is 0; holds its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("setting `{0}` is 0, but must be at least 1")]
pub struct Zero(pub &'static str);

impl Settings {
    /// Checks that no setting is 0.
    ///
    /// # Errors
    ///
    /// Returns [`Zero`] with the name of the first setting that is 0.
    ///
    /// ```
    /// use jacinthfall_fate::settings::Settings;
    /// assert!(Settings::default().check().is_ok());
    /// assert!(Settings { cells: 0, ..Settings::default() }.check().is_err());
    /// ```
    pub fn check(&self) -> Result<(), Zero> {
        let zero = [
            ("keep_s", self.keep.is_zero()),
            ("budget_bytes", self.budget_bytes == 0),
            ("batch_ms", self.batch.is_zero()),
            ("slow_after_ms", self.slow_after.is_zero()),
            ("cells", self.cells == 0),
        ];
        match zero.into_iter().find(|(_, zero)| *zero) {
            Some((name, _)) => Err(Zero(name)),
            None => Ok(()),
        }
    }
}
