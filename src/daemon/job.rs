//! Jobs for the pool of workers.

use jacinthfall_claim as claim;
use jacinthfall_config as config;
use jacinthfall_core::id;
use jacinthfall_fate as fate;
use jacinthfall_member as member;
use jacinthfall_net::Error as NetError;
use jacinthfall_net::client::Response;
use jacinthfall_read as read;

use super::timer::Core;

/// A unit of work, handled by any worker.
#[derive(Debug)]
pub enum Job {
    /// An event for the read engine of a service.
    Read {
        /// The service.
        service: id::Name,
        /// The event.
        event: read::Event,
    },
    /// An attempt ended: the leaf responded, or the connection failed.
    AttemptEnded {
        /// The service.
        service: id::Name,
        /// The leaf.
        leaf: id::Name,
        /// The attempt.
        attempt: id::Attempt,
        /// The response, or why there is none.
        result: Result<Response, NetError>,
    },
    /// An event for the claim engine.
    Claim(claim::Event),
    /// An event for the configuration engine.
    Config(config::Event),
    /// An event for the membership engine.
    Member(member::Event),
    /// An event for the keeper of fates.
    Fate(fate::Event),
    /// The wake-up time of a core has come.
    Wake(Core),
    /// Ends the worker that takes this job.
    Quit,
}
