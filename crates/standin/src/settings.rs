//! Reads settings in JSON with comments.

use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

/// Why settings could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("can't read {path}: {source}; give the path of a settings file")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is not valid JSON or does not match the expected settings.
    #[error("{path}: {source}; correct the settings")]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with line and column.
        source: serde_json::Error,
    },
    /// A setting is out of range or contradicts another one.
    #[error("{0}; correct the settings")]
    Invalid(String),
}

/// Reads the file at `path`.
///
/// # Errors
///
/// [`Error::Read`] or [`Error::Parse`].
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::Read { path: path.into(), source })?;
    parse(&text).map_err(|source| Error::Parse { path: path.into(), source })
}

/// Parses JSON with comments.
///
/// # Errors
///
/// The error of the parser, with line and column.
///
/// ```
/// let number: u32 = jacinthfall_standin::settings::parse("/* seven */ 7").unwrap();
/// assert_eq!(number, 7);
/// ```
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, serde_json::Error> {
    serde_json::from_reader(json_comments::StripComments::new(text.as_bytes()))
}
