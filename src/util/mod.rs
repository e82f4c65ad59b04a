//! Small helpers, each named by its job.

pub mod jsonc;
pub mod lock;
pub mod output;
pub mod plot;
pub mod settings;
