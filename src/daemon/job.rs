//! Work for the pool of workers.

use jacinthfall_claim as claim;
use jacinthfall_config as config;
use jacinthfall_core::id;
use jacinthfall_fate as fate;
use jacinthfall_member as member;
use jacinthfall_net::Error as NetError;
use jacinthfall_net::client::Response;
use jacinthfall_read as read;

use super::timer::Core;

/// One piece of work, handled by any worker.
#[derive(Debug)]
pub enum Job {
    /// An event of the read path of a service.
    Read {
        /// The service.
        service: id::Name,
        /// The event.
        event: read::Event,
    },
    /// An attempt at a leaf ended.
    AttemptEnded {
        /// The service.
        service: id::Name,
        /// The leaf.
        leaf: id::Name,
        /// The attempt.
        attempt: id::Attempt,
        /// Its response.
        result: Result<Response, NetError>,
    },
    /// An event of the claim path.
    Claim(claim::Event),
    /// An event of configuration.
    Config(config::Event),
    /// An event of membership.
    Member(member::Event),
    /// An event of the keeper of fates.
    Fate(fate::Event),
    /// A core asked to be woken now.
    Wake(Core),
    /// Ends one worker.
    Quit,
}
