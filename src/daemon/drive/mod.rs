//! Drivers of the decision cores. Each module locks one core, passes it an event and
//! carries out the resulting actions. These never block: they only queue work for the
//! workers, a connection or the socket runtime.

pub mod claim;
pub mod config;
pub mod fate;
pub mod member;
pub mod read;
