//! Stand-ins of the platform and of leafs for tests and load runs, as separate processes.
//!
//! Nothing in the product depends on this crate. [`platform`] is a key-value store with faults
//! that can be switched on; [`leaf`] runs any number of simulated leafs in one
//! process; [`rows`] computes the rows that leafs hold, the ground truth of answers;
//! [`deployment`] reads the example settings of the two deployments.

pub mod deployment;
pub mod leaf;
pub mod platform;
pub mod process;
pub mod rows;
pub mod settings;
