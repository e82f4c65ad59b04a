//! Identifiers. Names are shared immutable strings; numbers are newtypes.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name or request id, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Name of a node, leaf, service, caller, profile or availability zone.
pub type Name = Arc<str>;

/// Id of a request, chosen by its caller. All repeats of a request carry the same id.
pub type Request = Arc<str>;

/// Number of a shard in the partition map of one index version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Shard(pub u32);

/// Version of a service's index; a higher version is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Revision of a configuration record, counted from 1; see
/// [`Record::revision`](crate::record::Record::revision).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Token that identifies an open request to an engine, or an open question to other
/// nodes, so that the reply can be matched with it. Local to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(pub u64);

/// Incarnation of a node: one run of its process, identified by the node's name and
/// the start time of the process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the node.
    pub node: Name,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started: u64,
}

/// Id of an attempt, which is one send of a part to a leaf. Unique across all nodes and
/// their incarnations. Claims carry ids of this type, too, to identify the run that made
/// them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Node that makes the attempt, in its current incarnation.
    pub origin: Incarnation,
    /// Number of the attempt within that incarnation.
    pub counter: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.node, self.started)
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.origin, self.counter)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Reason why a name is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The name is empty or too long.
    #[error("a name must have 1 to {MAX_NAME_BYTES} bytes, but this one has {0}")]
    Length(usize),
    /// The name contains a character that is not allowed.
    #[error("`{0}` is not allowed in a name; use letters, digits, `-`, `_`, `.` or `:`")]
    Character(char),
}

/// Validates a name or request id and converts it to a shared string.
///
/// # Errors
///
/// Returns [`Error::Length`] or [`Error::Character`] if the name is invalid.
///
/// ```
/// use jacinthfall_core::id;
/// assert_eq!(&*id::name("klang-1").unwrap(), "klang-1");
/// assert!(id::name("").is_err());
/// assert!(id::name("a b").is_err());
/// ```
pub fn name(text: &str) -> Result<Name, Error> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(Error::Length(text.len()));
    }
    match text.chars().find(|&c| !is_allowed(c)) {
        Some(c) => Err(Error::Character(c)),
        None => Ok(text.into()),
    }
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
}
