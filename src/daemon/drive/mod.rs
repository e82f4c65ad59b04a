//! Drivers of the decision cores. Each module locks one core, passes it an event and
//! carries out the resulting actions. No action waits for I/O: work is queued for the workers,
//! a connection or the socket runtime.

pub mod claim;
pub mod config;
pub mod fate;
pub mod member;
pub mod read;
