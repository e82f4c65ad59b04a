//! Time after which refused callers should come back.
//!
//! Answers callers that are refused together: they come back when room is expected, not all at the
//! same moment, and as early as they do in any case.

use std::time::Duration;

use jacinthfall_core::time::Time;

/// Part of the time that a caller has left for which it waits at most, whatever it is told.
const HEEDED_PART: u32 = 3;

/// Returns the delay after which a caller with a deadline should come back if room is expected at
/// `room`. `jitter`, from 0 to 1, spreads callers over as long again, as far as they wait. Where
/// nothing can be expected, they come back in the second half of the time that they wait at most.
pub(super) fn delay(now: Time, deadline: Time, room: Option<Time>, jitter: f64) -> Duration {
    let heeded = deadline.since(now) / HEEDED_PART;
    let room = room.map_or(heeded / 2, |at| at.since(now));
    room + room.min(heeded.saturating_sub(room)).mul_f64(jitter)
}
