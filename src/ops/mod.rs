//! Library behind the operators' command `jacinthfall`: calls to nodes over HTTP,
//! analysis of logs, and formatting of the results.
//!
//! Each module implements one subcommand, except for the shared ones: [`node`] and
//! [`gateway`] send the calls, [`metrics`] parses metrics, and [`text`] and [`event`]
//! format values for people.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use http::StatusCode;
use jacinthfall_core::refusal::Ran;

pub mod addresses;
pub mod event;
pub mod explain;
pub mod gateway;
pub mod losses;
pub mod metrics;
pub mod node;
pub mod profile;
pub mod query;
pub mod report;
pub mod status;
pub mod text;
pub mod timeline;
pub mod top;
pub mod trace;

pub use node::Node;

/// How a command ended. The value is the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command succeeded.
    Done = 0,
    /// The command failed: no node was reachable, or the requested item does not exist.
    Failure = 1,
    /// The command line or a file is invalid. Nothing was sent.
    Usage = 2,
    /// The request was refused. It did not run and will not run.
    Refused = 3,
    /// The request may have run or taken effect; no reply proves either.
    Unknown = 4,
    /// The result is partial: shards or nodes are missing from it.
    Partial = 5,
}

/// Why a call returned no usable reply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address of the callers' listener is not set.
    #[error("no callers' address of a node; give --callers IP:PORT or set JACINTHFALL_CALLERS")]
    NoCallers,
    /// The address of the operators' listener is not set.
    #[error(
        "no operators' address of a node; give --operators IP:PORT or set JACINTHFALL_OPERATORS"
    )]
    NoOperators,
    /// The operators' token is not set.
    #[error("no operators' token; give --token-file FILE or set JACINTHFALL_TOKEN")]
    NoToken,
    /// No connection to the node was established, so nothing was sent.
    #[error("{address}: {source}; nothing was sent, use another node's address")]
    Unreachable {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection failed before a complete reply arrived.
    #[error("{address}: {source}; the node may have served the call, ask another node about it")]
    Broken {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The node rejected the token.
    #[error("the node rejects the token; give the one in `operators.token` of its settings")]
    Token,
    /// The reply has an unexpected status.
    #[error("the node replied {status}: {text}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The body of the reply.
        text: String,
    },
    /// The body of the reply could not be parsed.
    #[error("the reply can't be parsed: {0}; use the same release of the command and the node")]
    Body(#[from] serde_json::Error),
    /// A file could not be read.
    #[error("{file}: {source}; check the path and its permissions")]
    File {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A profile file is invalid.
    #[error(transparent)]
    Profile(#[from] profile::Error),
}

impl Error {
    /// Returns the outcome of a command without side effects that failed with this error.
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

    /// Returns the outcome of a command with side effects that failed with this error:
    /// [`Outcome::Unknown`] if the node may have run the request or applied the change.
    #[must_use]
    pub fn outcome_with_effects(&self) -> Outcome {
        match self {
            Error::Broken { .. } | Error::Body(_) => Outcome::Unknown,
            Error::Status { status, .. } if status.is_server_error() => Outcome::Unknown,
            _ => self.outcome(),
        }
    }
}

/// Returns the outcome of a command whose request was refused.
#[must_use]
pub const fn outcome_of_refusal(ran: Ran) -> Outcome {
    match ran {
        Ran::NotRun => Outcome::Refused,
        Ran::Ran => Outcome::Failure,
        Ran::Unknown => Outcome::Unknown,
    }
}
