//! Decides what to do next for one run, given the last known content of its
//! bucket.

use jacinthfall_core::id;
use jacinthfall_core::query::Outcome;
use jacinthfall_core::time::Wall;

use crate::entry::{Entry, State, compact};
use crate::refuse;
use crate::run::{Run, Stage, Waiter};
use crate::view::View;
use crate::{Now, Settings};

/// What to do next for a run.
#[derive(Debug)]
pub enum Decision {
    /// Wait for the next event.
    Wait,
    /// Read the bucket: its content is unknown or outdated.
    Read,
    /// Write this entry with the next swap.
    Write(Entry),
    /// Write the bucket even if it is unchanged, so that a swap without a reply can
    /// no longer take effect.
    Fence,
    /// Dispatch the run: its own claim is in the store.
    Dispatch,
    /// Refuse the asks that may have arrived before this attempt ended.
    RefuseEarlier {
        /// The attempt that ended without a run.
        attempt: id::Attempt,
        /// When it ended, by the wall clock of the node that held the claim.
        ended: Wall,
    },
    /// Refuse every ask: this other attempt holds the claim and has recorded no
    /// outcome.
    ClaimedElsewhere(id::Attempt),
    /// Answer every ask with this outcome.
    Answer(Outcome),
    /// End the attempt: nothing remains to be written. The run is removed, or
    /// restarted for asks that still wait.
    Remove,
}

/// Decides what to do next for `run`, given the last known content of its bucket.
/// `pending_swap` is the expected revision of a swap of this node that may still
/// take effect.
pub fn decide(
    run: &Run,
    view: Option<&View>,
    pending_swap: Option<u64>,
    now: Now,
    settings: &Settings,
) -> Decision {
    if !settings.is_remembered(run.issued, now.wall) {
        return decide_expired(run);
    }
    let Some(view) = view else {
        return match run.stage {
            Stage::Running(_) => Decision::Wait,
            Stage::Claiming | Stage::Recording(_) | Stage::Releasing => Decision::Read,
        };
    };
    let oldest = settings.oldest_retained(now.wall);
    let entry = view.get(&run.request).filter(|entry| entry.issued >= oldest);
    match &run.stage {
        Stage::Running(_) => Decision::Wait,
        Stage::Claiming => decide_claiming(run, entry, view, settings),
        Stage::Recording(outcome) => decide_recording(run, entry, outcome),
        Stage::Releasing => decide_releasing(
            run,
            entry,
            now.wall,
            pending_swap.is_some_and(|revision| view.revision <= revision),
        ),
    }
}

fn decide_expired(run: &Run) -> Decision {
    match run.stage {
        Stage::Running(_) => Decision::Wait,
        Stage::Claiming => Decision::Answer(refuse::expired()),
        Stage::Recording(_) | Stage::Releasing => Decision::Remove,
    }
}

fn decide_claiming(run: &Run, entry: Option<&Entry>, view: &View, settings: &Settings) -> Decision {
    let Some(entry) = entry else {
        return Decision::Write(run.entry(State::Claimed));
    };
    if entry.attempt == run.attempt {
        assert!(
            entry.state == State::Claimed && entry.is_same_request(run.digest, run.issued),
            "an attempt is only ended by its own engine, and not while it is claiming"
        );
        return Decision::Dispatch;
    }
    if !entry.is_same_request(run.digest, run.issued) {
        return Decision::Answer(refuse::id_reused());
    }
    match &entry.state {
        State::Done(outcome) => Decision::Answer(outcome.clone()),
        State::Claimed if view.seen < run.started => Decision::Read,
        State::Claimed => Decision::ClaimedElsewhere(entry.attempt.clone()),
        State::NotRun { ended } => {
            if first_arrived_after(&run.waiters, &entry.attempt, *ended, settings) == Some(0) {
                return Decision::Write(run.entry(State::Claimed));
            }
            Decision::RefuseEarlier { attempt: entry.attempt.clone(), ended: *ended }
        }
    }
}

fn decide_recording(run: &Run, entry: Option<&Entry>, outcome: &Outcome) -> Decision {
    match entry {
        Some(entry) if entry.attempt == run.attempt && entry.state == State::Claimed => {
            Decision::Write(run.entry(State::Done(compact(outcome))))
        }
        _ => Decision::Remove,
    }
}

fn decide_releasing(
    run: &Run,
    entry: Option<&Entry>,
    wall: Wall,
    is_swap_pending: bool,
) -> Decision {
    match entry {
        Some(entry) if entry.attempt == run.attempt => match entry.state {
            // Written after callers were told "not run", so the end is dated after
            // that answer.
            State::Claimed => Decision::Write(run.entry(State::NotRun { ended: wall })),
            State::NotRun { .. } | State::Done(_) => Decision::Remove,
        },
        _ if run.swap_started && is_swap_pending => Decision::Fence,
        _ => Decision::Remove,
    }
}

/// Returns the position of the first ask that certainly arrived after `attempt`
/// ended. The asks behind it arrived even later.
pub fn first_arrived_after(
    waiters: &[Waiter],
    attempt: &id::Attempt,
    ended: Wall,
    settings: &Settings,
) -> Option<usize> {
    waiters.iter().position(|waiter| {
        waiter.ended_attempt.as_ref() == Some(attempt) || waiter.arrived > ended + settings.skew
    })
}
