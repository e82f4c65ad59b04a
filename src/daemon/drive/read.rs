//! Driver of the read engines: sends parts to leafs, and answers to callers or to the
//! claim engine.

use std::sync::Arc;

use jacinthfall_claim as claim;
use jacinthfall_core::coverage;
use jacinthfall_core::event::Kind;
use jacinthfall_core::id;
use jacinthfall_read as read;
use jacinthfall_wire::{Frame, leaf};
use metrics::counter;

use crate::daemon::context::Context;
use crate::daemon::job::Job;
use crate::daemon::peers;
use crate::daemon::timer::Core;
use crate::util::lock::lock;

/// Passes an event to the read engine of a service. Does nothing if there is none.
pub fn handle(context: &Arc<Context>, service: &id::Name, event: read::Event) {
    let Some(engine) = context.read_engine(service) else {
        return;
    };
    let mut engine = lock(&engine);
    for action in engine.handle(context.clock.time(), event) {
        carry_out(context, service, action);
    }
}

fn carry_out(context: &Arc<Context>, service: &id::Name, action: read::Action) {
    match action {
        read::Action::Send { leaf, part } => context.leafs.send(leaf, *part),
        read::Action::Cancel { attempt, .. } => context.leafs.cancel(&attempt),
        read::Action::Answer { token, outcome, report } => {
            let run = lock(&context.asks).finish_run(token, report.clone());
            match run {
                Some(claimed) => context.post(Job::Claim(claim::Event::RunEnded {
                    token: claimed,
                    dispatched: report.dispatched,
                    outcome,
                })),
                None => lock(&context.asks).answer(token, outcome, Some(report)),
            }
        }
        read::Action::Record(event) => {
            count_event(&event.kind);
            context.record_event(event);
        }
        read::Action::Announce { leaf, leaving } => announce(context, service, leaf, leaving),
        read::Action::Wake(time) => context.timer.set(Core::Read(service.clone()), time),
    }
}

fn count_event(kind: &Kind) {
    match kind {
        Kind::Hedged { .. } => counter!("jacinthfall_leaf_hedges_total").increment(1),
        Kind::Retried { .. } => counter!("jacinthfall_leaf_retries_total").increment(1),
        Kind::Dropped { .. } => counter!("jacinthfall_leaf_replies_dropped_total").increment(1),
        Kind::Moved { .. } => counter!("jacinthfall_version_moves_total").increment(1),
        Kind::Failed { cause, .. } => {
            let cause = cause_label(*cause);
            counter!("jacinthfall_leaf_failures_total", "cause" => cause).increment(1);
        }
        _ => (),
    }
}

/// Returns the metric label of a cause.
const fn cause_label(cause: coverage::Cause) -> &'static str {
    match cause {
        coverage::Cause::Timeout => "timeout",
        coverage::Cause::Unreachable => "unreachable",
        coverage::Cause::Overloaded => "overloaded",
        coverage::Cause::Leaving => "leaving",
        coverage::Cause::VersionUnavailable => "version_unavailable",
        coverage::Cause::BadReply => "bad_reply",
        coverage::Cause::NoReplica => "no_replica",
        coverage::Cause::AnsweredEarly => "answered_early",
        coverage::Cause::Cancelled => "cancelled",
        coverage::Cause::RelayLost => "relay_lost",
        coverage::Cause::GivenUp => "given_up",
    }
}

/// Tells the other nodes that a leaf is leaving or serving again.
fn announce(context: &Context, service: &id::Name, leaf: id::Name, leaving: bool) {
    let state = if leaving { "leaving" } else { "serving" };
    log::info!("leaf {leaf} of {service} is {state}");
    context.record(None, Kind::State { who: leaf.clone(), state: state.into() });
    let message = leaf::Message { service: service.clone(), leaf, leaving };
    for node in context.others() {
        peers::send(context, &node, Frame::Leaf(message.clone()));
    }
}
