//! Time after which refused callers should come back.
//!
//! Answers callers that are refused together: they come back when room is expected, not all at the
//! same moment, and as early as they do in any case.

use std::time::Duration;

use jacinthfall_core::time::Time;

/// Part of the time that a caller has left for which it waits at most, whatever it is told.
const HEEDED_PART: u32 = 3;

/// When there is room for a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Room {
    /// At this time, which is the request's alone.
    Reserved(Time),
    /// At about this time, for the request or others.
    Expected {
        /// When there is room for the first one.
        at: Time,
        /// Time after which there is room for the next one.
        response: Duration,
    },
    /// It isn't known when.
    Unknown,
}

impl Room {
    /// Returns the room that a number of parts wait for, given that of each part: the latest of as
    /// many early ones.
    pub(super) fn of_parts(mut rooms: Vec<Room>, needed: usize) -> Room {
        rooms.sort_unstable_by_key(|room| room.time().unwrap_or(Time(u64::MAX)));
        rooms.get(needed.saturating_sub(1)).copied().unwrap_or(Room::Unknown)
    }

    fn time(self) -> Option<Time> {
        match self {
            Room::Reserved(at) | Room::Expected { at, .. } => Some(at),
            Room::Unknown => None,
        }
    }
}

/// Returns the delay after which a caller with a deadline should come back. `jitter`, from 0 to 1,
/// spreads callers over the time of one response, as far as they wait. Where nothing is known, they
/// come back in the second half of the time that they wait at most.
pub(super) fn delay(now: Time, deadline: Time, room: Room, jitter: f64) -> Duration {
    let heeded = deadline.since(now) / HEEDED_PART;
    let (earliest, spread) = match room {
        Room::Reserved(at) => (at.since(now), Duration::ZERO),
        Room::Expected { at, response } => (at.since(now), response),
        Room::Unknown => (heeded / 2, heeded),
    };
    earliest + spread.min(heeded.saturating_sub(earliest)).mul_f64(jitter)
}
