//! Routes, services and leafs, as the gateway uses them.
//!
//! [`snapshot::Snapshot`] is one version of the configuration: routes by host and path
//! prefix, services, organisations and limits. [`leaf::Entry`] is a leaf's registration in the store.
//! Both are plain data; they are decoded elsewhere.

pub mod leaf;
pub mod organisation;
pub mod snapshot;
