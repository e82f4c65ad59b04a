//! Stand-in of leafs: simulates any number of them in one process.
//!
//! [`state::State`] is one leaf as a state machine that takes the time as an argument;
//! [`slots`], [`delay`] and [`fault`] are its parts. [`server`] serves the leafs
//! with the messages of [`jacinthfall_core::leaf`] and changes them as [`control`] messages
//! ask. [`fleet`]
//! describes all leafs of a service at once.

pub mod control;
pub mod delay;
pub mod fault;
pub mod fleet;
pub mod server;
pub mod settings;
pub mod slots;
pub mod state;
