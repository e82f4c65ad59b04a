//! Decision core of routed requests.
//!
//! [`catalog`] keeps what is known of leafs and how old it is, [`fleet`] places
//! requests on leafs, [`budget`] bounds extra sends, [`latency`] learns how long
//! answers take, [`flight`] drives one request from its arrival to its answer,
//! [`caller_timeout`] judges how long a caller has tried already, and [`merge`] joins the parts of a query over all shards. [`split`] deals requests
//! out by weight and [`roster`] says which nodes callers may use.
//!
//! Nothing here opens a socket, reads a clock or starts a thread: every call is
//! given the time, and sending is left to the caller.

pub mod budget;
pub mod caller_timeout;
pub mod catalog;
pub mod fleet;
pub mod flight;
pub mod latency;
pub mod merge;
pub mod roster;
pub mod split;
