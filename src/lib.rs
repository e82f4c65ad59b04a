//! Query tier between calling services and backend servers that hold shards.
//!
//! [`gateway`] runs a node on the users' platform: it routes callers' requests to leafs.
//! [`daemon`] runs a node with the product's own interface: it connects the decision logic of
//! the other crates to sockets, clocks and threads. [`api`] defines the messages of its HTTP
//! interfaces, [`load`] generates load on nodes and checks their answers, [`registration`]
//! maintains a node's entry in the platform's store, and [`ops`] implements the operators'
//! command.

pub mod api;
pub mod daemon;
pub mod gateway;
pub mod load;
pub mod ops;
pub mod registration;
pub mod util;
