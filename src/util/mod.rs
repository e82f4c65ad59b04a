//! Utilities that the daemon and the commands share.

pub mod jsonc;
pub mod lock;
pub mod output;
pub mod plot;
pub mod settings;
