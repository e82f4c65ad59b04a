//! Messages that inform nodes about the state of leafs.

use jacinthfall_core::id;
use serde::{Deserialize, Serialize};

/// State of a leaf, as the sender learned it from the leaf itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Service that the leaf belongs to.
    pub service: id::Name,
    /// Name of the leaf.
    pub leaf: id::Name,
    /// Whether the leaf is leaving.
    pub leaving: bool,
}
