//! The mix of requests: which queries are sent under which profiles, and how often.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use std::{fs, io};

use jacinthfall_core::id;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::util::jsonc;

/// A mix of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
}

/// Which shards a kind of request addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Every shard.
    All,
    /// The shard of one key, drawn from `k0`, `k1` and so on.
    Key,
}

/// One kind of request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the profile.
    pub profile: id::Name,
    /// Share of the requests, relative to the other kinds.
    pub weight: u32,
    /// Which shards it addresses.
    pub scope: Scope,
    /// Number of keys to draw from.
    #[serde(default = "one")]
    pub keys: u32,
    /// Text of the query; the id of the request is appended.
    pub text: Arc<str>,
    /// Maximum number of rows to return.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Time within which an answer counts as goodput, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Expected number of rows with full coverage, if known.
    #[serde(default)]
    pub rows: Option<u32>,
    /// Whether the request must not run twice.
    #[serde(default)]
    pub once: bool,
}

const fn one() -> u32 {
    1
}

const fn default_limit() -> u32 {
    1_000
}

/// Why a mix is invalid.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("{file}: can't be read: {source}; check the path and its permissions")]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The text does not describe a mix.
    #[error("{file}: key `{key}`: {message}; see docs/LOAD.md for what is allowed")]
    Parse {
        /// The file.
        file: PathBuf,
        /// Path of the key.
        key: String,
        /// What is wrong, with line and column.
        message: String,
    },
    /// There are no kinds, or a `weight` or `keys` is 0, so no request can be drawn.
    #[error("{file}: needs at least one kind, and every `weight` and `keys` must be at least 1")]
    Empty {
        /// The file.
        file: PathBuf,
    },
}

impl Mix {
    /// Reads and checks a file in JSON with comments.
    ///
    /// # Errors
    ///
    /// Any [`Error`], naming the file, the key and the remedy.
    pub fn open(file: &Path) -> Result<Mix, Error> {
        let text = fs::read_to_string(file);
        let text = text.map_err(|source| Error::Read { file: file.into(), source })?;
        Mix::parse(file, &text)
    }

    /// Parses and checks a mix; `file` only appears in error messages.
    ///
    /// # Errors
    ///
    /// [`Error::Parse`] or [`Error::Empty`].
    ///
    /// ```
    /// use jacinthfall::load::mix::Mix;
    /// let error = Mix::parse("mix.jsonc".as_ref(), r#"{"kinds": []}"#).unwrap_err();
    /// assert!(error.to_string().contains("weight"));
    /// ```
    pub fn parse(file: &Path, text: &str) -> Result<Mix, Error> {
        let mix: Mix = jsonc::parse(text).map_err(|fault| Error::Parse {
            file: file.into(),
            key: fault.key,
            message: fault.message,
        })?;
        let is_empty = |kind: &Kind| kind.weight == 0 || kind.keys == 0;
        if mix.kinds.is_empty() || mix.kinds.iter().any(is_empty) {
            return Err(Error::Empty { file: file.into() });
        }
        Ok(mix)
    }
}
