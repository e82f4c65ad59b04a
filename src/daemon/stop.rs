//! Planned stop of a node, which aborts no request.
//!
//! 1. Leave: this node and, through gossip, the other nodes no longer list it in
//!    answers to `GET /v1/addresses`. It still serves requests.
//! 2. Wait until every answer that lists it has expired.
//! 3. Stop: refuse new requests and wait until the open ones have ended.
//! 4. Record the outcomes of runs that are not in the store yet.
//! 5. Hand over the fates that only this node keeps, then exit.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use jacinthfall_claim as claim;
use jacinthfall_fate as fate;
use jacinthfall_member as member;

use super::context::Context;
use super::job::Job;
use super::state::Phase;
use crate::util::lock::lock;

/// Time for gossip to tell every other node that this one is leaving.
const GOSSIP_DELAY: Duration = Duration::from_secs(2);

/// Maximum time to wait for the outcomes of runs to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two checks whether the claim engine is idle.
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time for handing over fates.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Every request ended and all fates were handed over.
    Clean,
    /// Requests were still open at the end of the drain limit.
    Open,
    /// Not all fates were handed over in time; this node still kept some of them.
    Kept,
}

/// Waits until the outcomes of all runs are recorded in the store, at most for
/// [`RECORD_TIMEOUT`]. The claim of a run without a recorded outcome stays open forever.
fn wait_for_recorded_outcomes(context: &Context) {
    let deadline = Instant::now() + RECORD_TIMEOUT;
    while !lock(&context.cores.claim).is_idle() {
        if Instant::now() >= deadline {
            log::warn!("stopping although some outcomes of runs are not recorded; check the store");
            return;
        }
        thread::sleep(RECORD_POLL_INTERVAL);
    }
}

/// Waits until the node starts to leave, then carries out the planned stop.
pub fn run(context: &Arc<Context>) -> End {
    context.state.wait_leaving();
    let deadline = Instant::now() + context.settings.limits.drain;
    log::info!("leaving: the node is no longer listed for callers");
    context.post(Job::Member(member::Event::Leave));
    thread::sleep(context.settings.callers.hold + GOSSIP_DELAY);
    context.state.advance(Phase::Stopping);
    log::info!("stopping: the node refuses new requests");
    let idle = context.state.wait_idle(deadline.saturating_duration_since(Instant::now()));
    context.post(Job::Claim(claim::Event::Stop));
    wait_for_recorded_outcomes(context);
    context.post(Job::Fate(fate::Event::HandOver));
    let handed_over = context.lookups.hand_over_receiver().recv_timeout(HAND_OVER_TIMEOUT).is_ok();
    match (idle, handed_over) {
        (false, _) => End::Open,
        (true, false) => End::Kept,
        (true, true) => End::Clean,
    }
}
