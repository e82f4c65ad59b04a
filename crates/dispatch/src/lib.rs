//! Decision core of routed requests.
//!
//! [`catalog`] holds the leafs that are known from the store, with the revision of each
//! entry. [`fleet`] tracks the load of the usable leafs and chooses one for each send,
//! [`budget`] limits retries and hedged sends, and [`latency`] tracks response times.
//! [`flight`] drives one request from its arrival to its answer, and [`merge`] merges the
//! parts of a query over shards. [`split`] distributes requests over services by weight,
//! [`gossip`] has the datagrams that nodes exchange, and [`round_trip`] estimates how far away a
//! caller is. [`roster`]
//! tracks the other nodes and selects those that callers may use, by what these say of the leafs
//! that they [`reach`]. [`relay`] chooses nodes that serve
//! on behalf of one that has lost its leafs. [`overload`] decides what gives way while leafs are
//! short of room. [`quarantine`] tells requests that crash leafs. [`attribution`] tells which
//! request a leaf's response belongs to.
//! [`quota`] limits what organisations send to all nodes together, and [`evacuation`] holds the
//! availability zones that nothing may be sent to. [`transfer`] spreads a large document over the
//! nodes, and [`configuration`] orders the versions of the one that it is for. [`watch`] decides
//! which nodes ask the store for changes.
//!
//! Nothing here opens a socket, reads a clock or starts a thread: the current time is an
//! argument of every call, and sending is left to the caller.

pub mod attribution;
pub mod budget;
pub mod catalog;
pub mod configuration;
pub mod evacuation;
pub mod fleet;
pub mod flight;
pub mod gossip;
pub mod latency;
pub mod merge;
pub mod overload;
pub mod quarantine;
pub mod quota;
pub mod reach;
pub mod relay;
pub mod roster;
pub mod round_trip;
pub mod split;
pub mod transfer;
pub mod watch;
