//! Reading and checking of settings files, with errors that name the remedy.

use std::fmt::Display;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

use super::jsonc;

/// Why settings were rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{file}: can't be read: {source}; check the path and its permissions")]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The text does not fit the settings.
    #[error("{file}: key `{key}`: {message}; see docs/SETTINGS.md for what is allowed")]
    Parse {
        /// The file.
        file: PathBuf,
        /// Path of the key.
        key: String,
        /// What is wrong, with line and column.
        message: String,
    },
    /// A value is impossible.
    #[error("{file}: key `{key}`: {allowed}, but it is {found}; correct it")]
    Value {
        /// The file.
        file: PathBuf,
        /// Path of the key.
        key: &'static str,
        /// What is allowed.
        allowed: &'static str,
        /// What was found.
        found: String,
    },
}

/// Reads a settings file.
///
/// # Errors
///
/// [`Error::Read`].
pub fn read(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|source| Error::Read { file: file.into(), source })
}

/// Parses and checks the text of a settings file; `file` is for messages.
///
/// # Errors
///
/// [`Error::Parse`], or what the check finds.
///
/// ```
/// use jacinthfall::util::settings;
/// let file = "node.jsonc".as_ref();
/// let error = settings::parse(file, "[1, -2]", |_: &Vec<u8>, _| Ok(())).unwrap_err();
/// assert!(error.to_string().contains("[1]"));
/// ```
pub fn parse<T: DeserializeOwned>(
    file: &Path,
    text: &str,
    check: impl FnOnce(&T, &Path) -> Result<(), Error>,
) -> Result<T, Error> {
    let settings = jsonc::parse(text).map_err(|fault| Error::Parse {
        file: file.into(),
        key: fault.key,
        message: fault.message,
    })?;
    check(&settings, file)?;
    Ok(settings)
}

/// Checks one value of a settings file.
///
/// # Errors
///
/// [`Error::Value`] unless the value `holds`.
pub fn check(
    file: &Path,
    holds: bool,
    key: &'static str,
    allowed: &'static str,
    found: &dyn Display,
) -> Result<(), Error> {
    if holds {
        return Ok(());
    }
    Err(Error::Value { file: file.into(), key, allowed, found: found.to_string() })
}
