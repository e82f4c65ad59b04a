//! Driver of the claim engine: accesses the store, dispatches runs and answers callers.

use std::sync::Arc;
use std::time::Duration;

use jacinthfall_claim as claim;
use jacinthfall_core::id;
use jacinthfall_core::query::Outcome;
use jacinthfall_core::refusal::{Cause, Ran, Refusal};
use jacinthfall_core::time::Wall;
use jacinthfall_read as read;

use crate::daemon::context::Context;
use crate::daemon::job::Job;
use crate::daemon::store;
use crate::daemon::timer::Core;
use crate::util::lock::lock;

/// Retry delay for callers if a run could not be dispatched.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Passes an event to the claim engine and carries out the actions.
pub fn handle(context: &Arc<Context>, event: claim::Event) {
    let mut engine = lock(&context.cores.claim);
    for action in engine.handle(context.now(), event) {
        carry_out(context, action);
    }
}

fn carry_out(context: &Arc<Context>, action: claim::Action) {
    match action {
        claim::Action::Read { call, key } => store::read(context, call, key),
        claim::Action::Swap { call, key, expect, value } => {
            store::swap(context, call, key, expect, value);
        }
        claim::Action::Dispatch { token, expires } => dispatch(context, token, expires),
        claim::Action::Answer { token, outcome } => {
            lock(&context.asks).answer(token, outcome, None);
        }
        claim::Action::Record(event) => context.record_event(event),
        claim::Action::Wake(time) => context.timer.set(Core::Claim, time),
    }
}

/// Dispatches a run of a claimed ask to the read engine, under a token of its own.
fn dispatch(context: &Context, claimed: id::Token, expires: Wall) {
    // The thread that serves the caller may have stopped waiting, but not before the
    // deadline.
    let pending = lock(&context.asks).get(claimed).cloned();
    let servable =
        pending.filter(|pending| context.read_engine(&pending.profile.service).is_some());
    let Some(pending) = servable else { return refuse_run(context, claimed) };
    let run = context.token();
    lock(&context.asks).insert_run(run, claimed);
    let service = pending.profile.service.clone();
    let event = read::Event::Ask {
        token: run,
        ask: pending.ask,
        profile: pending.profile,
        deadline: pending.deadline,
        expires: expires.min(pending.expires),
    };
    context.post(Job::Read { service, event });
}

/// Reports to the claim engine that the run of a claimed ask was not dispatched.
fn refuse_run(context: &Context, claimed: id::Token) {
    let refusal = Refusal {
        cause: Cause::Unavailable,
        ran: Ran::NotRun,
        retry_after: Some(RETRY_AFTER),
        message: "the request could not be sent to any leaf; try again".into(),
    };
    context.post(Job::Claim(claim::Event::RunEnded {
        token: claimed,
        dispatched: false,
        outcome: Outcome::Refused(refusal),
    }));
}
