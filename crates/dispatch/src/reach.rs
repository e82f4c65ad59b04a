//! What nodes tell each other about the leafs that they reach.
//!
//! A node may lose its links to leafs while callers, the store and the other nodes still reach
//! it. Alone, it can't tell that from leafs that are gone; the statements of the others can.

use serde::{Deserialize, Serialize};

use crate::quarantine::Service;

/// Maximum number of services that a statement lists.
const MAX_SERVICES: usize = 16;

/// The services of which a node reaches no leaf.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Loss {
    /// None, as far as the node knows.
    #[default]
    Nothing,
    /// These, at most `MAX_SERVICES`.
    Services(Vec<Service>),
    /// All of them, or more than can be listed.
    Most,
}

impl Loss {
    /// Returns the statement of a node that has lost services.
    ///
    /// ```
    /// use jacinthfall_dispatch::quarantine::Service;
    /// use jacinthfall_dispatch::reach::Loss;
    /// let loss = Loss::of([Service::of("a")]);
    /// assert!(loss.includes(Service::of("a")) && !loss.includes(Service::of("b")));
    /// ```
    #[must_use]
    pub fn of(services: impl IntoIterator<Item = Service>) -> Loss {
        let services: Vec<Service> = services.into_iter().take(MAX_SERVICES + 1).collect();
        match services.len() {
            0 => Loss::Nothing,
            1..=MAX_SERVICES => Loss::Services(services),
            _ => Loss::Most,
        }
    }

    /// Whether the node reaches no leaf of a service.
    #[must_use]
    pub fn includes(&self, service: Service) -> bool {
        match self {
            Loss::Nothing => false,
            Loss::Services(services) => services.contains(&service),
            Loss::Most => true,
        }
    }

    /// Whether the node reaches no leafs of most services.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        matches!(self, Loss::Most)
    }

    /// Returns the name that is written to the log.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Loss::Nothing => "nothing",
            Loss::Services(_) => "some",
            Loss::Most => "most",
        }
    }
}
