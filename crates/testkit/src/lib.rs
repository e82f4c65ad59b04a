//! Fixtures for tests that start processes.
//!
//! [`site::Site`] starts a platform, leafs and nodes as separate processes on
//! free ports of the loopback interface and stops them when it is dropped.
//! [`gateway`] does the same for gateway nodes. [`trial`] injects random faults into a site
//! under load and checks invariants.
//! [`call`] holds the HTTP calls that tests make. Waits are bounded by generous
//! timeouts; no test asserts the length of a wait itself.

pub mod call;
pub mod gateway;
pub mod process;
pub mod site;
pub mod trial;
