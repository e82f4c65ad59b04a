//! What operators and support do with nodes: calls over HTTP, and texts that
//! explain the replies.
//!
//! The command `jacinthfall` is a thin layer above. Each module here holds one
//! kind of call; [`text`] and [`story`] put replies into words.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use http::StatusCode;
use jacinthfall_core::refusal::Ran;
use thiserror::Error;

pub mod addresses;
pub mod explain;
pub mod gateway;
pub mod metrics;
pub mod node;
pub mod profile;
pub mod query;
pub mod report;
pub mod status;
pub mod story;
pub mod text;
pub mod timeline;
pub mod top;
pub mod trace;

pub use node::Node;

/// How a command ended; also the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Done.
    Done = 0,
    /// Not done: no node could be reached, or what was asked for is not there.
    Failure = 1,
    /// The command line or a file is wrong; nothing was sent.
    Usage = 2,
    /// Refused; it did not run and will not.
    Refused = 3,
    /// It may have run or taken effect; no reply proves either.
    Unknown = 4,
    /// Done in part: shards or nodes are missing from the answer.
    Partial = 5,
}

/// Why a call has no reply that can be used.
#[derive(Debug, Error)]
pub enum Error {
    /// No address of a callers' listener is known.
    #[error("no callers' address of a node; give --callers IP:PORT or set JACINTHFALL_CALLERS")]
    NoCallers,
    /// No address of an operators' listener is known.
    #[error(
        "no operators' address of a node; give --operators IP:PORT or set JACINTHFALL_OPERATORS"
    )]
    NoOperators,
    /// No operators' token is known.
    #[error("no operators' token; give --token-file FILE or set JACINTHFALL_TOKEN")]
    NoToken,
    /// The node did not take the connection, so nothing was sent.
    #[error("{address}: {source}; nothing was sent, use another node's address")]
    Unreachable {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The connection ended without a whole reply.
    #[error("{address}: {source}; the call may have been served, ask another node about it")]
    Broken {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The node does not accept the token.
    #[error("the node rejects the token; give the one in `operators.token` of its settings")]
    Token,
    /// Another status than expected.
    #[error("the node replied {status}: {text}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The text that came with it.
        text: String,
    },
    /// The body is not what was expected.
    #[error("the reply can't be read: {0}; use the command and the node of one release")]
    Body(#[from] serde_json::Error),
    /// A file can't be read.
    #[error("{file}: {source}; check the path and its permissions")]
    File {
        /// The file.
        file: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A profile file makes no sense.
    #[error(transparent)]
    Profile(#[from] profile::Error),
}

impl Error {
    /// How a command ends that changes nothing when asked twice.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Error::NoCallers
            | Error::NoOperators
            | Error::NoToken
            | Error::File { .. }
            | Error::Profile(_) => Outcome::Usage,
            Error::Unreachable { .. }
            | Error::Broken { .. }
            | Error::Token
            | Error::Status { .. }
            | Error::Body(_) => Outcome::Failure,
        }
    }

    /// How a command ends that may have run something or changed something.
    #[must_use]
    pub fn outcome_of_run(&self) -> Outcome {
        match self {
            Error::Broken { .. } | Error::Body(_) => Outcome::Unknown,
            Error::Status { status, .. } if status.is_server_error() => Outcome::Unknown,
            _ => self.outcome(),
        }
    }
}

/// How a command ends whose request was refused.
#[must_use]
pub const fn refused(ran: Ran) -> Outcome {
    match ran {
        Ran::NotRun => Outcome::Refused,
        Ran::Ran => Outcome::Failure,
        Ran::Unknown => Outcome::Unknown,
    }
}
