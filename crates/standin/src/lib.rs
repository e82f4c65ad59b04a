//! Stand-ins of the platform and of leafs, as processes of their own.
//!
//! Nothing in the product depends on this crate. [`platform`] keeps a store
//! and the faults that can be switched on; [`leaf`] plays any number of leafs in one
//! process; [`rows`] is the ground truth of what leafs hold;
//! [`deployment`] reads the example settings of the two deployments.

pub mod deployment;
pub mod leaf;
pub mod platform;
pub mod process;
pub mod rows;
pub mod settings;
