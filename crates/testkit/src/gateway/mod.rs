//! Fixtures for gateway nodes: leafs with configurable misbehaviour, sites of a store, leafs
//! and nodes, and a soak test that injects random faults into such a site.

pub mod leaf;
pub mod link;
pub mod proxy;
pub mod site;
pub mod soak;
