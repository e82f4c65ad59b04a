//! Planned stop of a node, which cuts off no request.
//!
//! 1. Leave: the node is no longer named in answers to `GET /v1/addresses`, here
//!    and, through gossip, at other nodes. It serves on.
//! 2. Wait until every answer that names it has expired.
//! 3. Stop: refuse new requests, wait until the open ones have ended.
//! 4. Record the outcomes of runs that are not in the store yet.
//! 5. Hand over the fates that only it keeps, then end.

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

/// Time for the news of a leaving node to reach every other node.
const GOSSIP_DELAY: Duration = Duration::from_secs(2);

/// Time that recording the outcomes of runs may take.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two looks at the claim path.
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time that the hand-over of fates may take.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Every request ended and every fate was handed over.
    Clean,
    /// Requests were open when the limit ran out.
    Open,
    /// The fates were not all taken over in time.
    Kept,
}

/// Waits until every outcome of a run is recorded in the store, at most for
/// [`RECORD_TIMEOUT`]; an outcome that is not recorded leaves its claim open for good.
fn wait_for_recorded_outcomes(context: &Context) {
    let deadline = Instant::now() + RECORD_TIMEOUT;
    while !lock(&context.cores.claim).is_idle() {
        if Instant::now() >= deadline {
            log::warn!("stopping with outcomes that could not be recorded in the store");
            return;
        }
        thread::sleep(RECORD_POLL_INTERVAL);
    }
}

/// Waits until the node is to leave, then takes it through all steps.
pub fn run(context: &Arc<Context>) -> End {
    context.state.wait_leaving();
    let deadline = Instant::now() + context.settings.limits.drain;
    log::info!("leaving: no new caller is sent here");
    context.post(Job::Member(member::Event::Leave));
    thread::sleep(context.settings.callers.hold + GOSSIP_DELAY);
    context.state.advance(Phase::Stopping);
    log::info!("stopping: new requests are refused");
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
