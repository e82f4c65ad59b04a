//! Hybrid logical clock that takes the wall clock time as an argument.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use jacinthfall_core::time::Wall;
use jacinthfall_core::{hash, id};
use jacinthfall_wire::Stamp;
use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

/// Maximum time by which an accepted stamp may be ahead of the local wall clock.
///
/// Stamps of causally related events are ordered as long as the wall clocks of all
/// nodes differ by no more than this.
pub const MAX_DRIFT: Duration = Duration::from_secs(1);

/// Latest wall clock time that a stamp can hold, in milliseconds since the Unix epoch.
const MAX_WALL_MS: u64 = u32::MAX as u64 * 1_000;

thread_local! {
    /// Wall clock time of the call in progress on this thread.
    static NOW: Cell<Wall> = const { Cell::new(Wall(0)) };
}

/// Returns the wall clock time of the call in progress, from [`NOW`].
///
/// `uhlc` takes its physical clock as a plain function, which can't capture the time
/// that a caller passes in.
fn physical_clock() -> NTP64 {
    let now = NOW.get();
    NTP64::from(Duration::from_millis(now.0.min(MAX_WALL_MS)))
}

/// Hybrid logical clock of one incarnation of a node.
///
/// Its stamps increase strictly, and are greater than every stamp of another clock
/// that it accepted before.
pub struct Clock {
    hlc: HLC,
}

impl Clock {
    /// Opens the clock of `origin`. The clock's id is a hash of the incarnation.
    ///
    /// ```
    /// use jacinthfall_core::id::Incarnation;
    /// use jacinthfall_core::time::Wall;
    /// use jacinthfall_timeline::clock::Clock;
    /// let clock = Clock::open(&Incarnation { node: "n".into(), started: 1 });
    /// let first = clock.stamp(Wall(5));
    /// assert!(clock.stamp(Wall(5)) > first);
    /// assert_eq!(first.wall(), Wall(5));
    /// ```
    #[must_use]
    pub fn open(origin: &id::Incarnation) -> Clock {
        let hlc = HLCBuilder::new()
            .with_id(clock_id(origin))
            .with_clock(physical_clock)
            .with_max_delta(MAX_DRIFT)
            .build();
        Clock { hlc }
    }

    /// Creates a stamp that is greater than every stamp created or accepted before.
    #[must_use]
    pub fn stamp(&self, now: Wall) -> Stamp {
        NOW.set(now);
        let stamp = self.hlc.new_timestamp();
        Stamp {
            time: stamp.get_time().as_u64(),
            clock: u128::from_le_bytes(stamp.get_id().to_le_bytes()),
        }
    }

    /// Advances the clock past `stamp`, and returns whether the stamp was accepted.
    ///
    /// A stamp that is more than [`MAX_DRIFT`] ahead of `now` is rejected, so that a
    /// wrong clock on another node can't advance this one without limit. The limit is
    /// checked here because `uhlc` writes a log line for each rejection.
    #[must_use]
    pub fn observe(&self, now: Wall, stamp: Stamp) -> bool {
        NOW.set(now);
        let limit = physical_clock() + NTP64::from(MAX_DRIFT);
        if NTP64(stamp.time) > limit {
            return false;
        }
        let Ok(id) = ID::try_from(&stamp.clock.to_le_bytes()) else {
            return false;
        };
        let stamp = Timestamp::new(NTP64(stamp.time), id);
        self.hlc.update_with_timestamp(&stamp).is_ok()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clock").field("id", self.hlc.get_id()).finish_non_exhaustive()
    }
}

/// Derives the id of a clock from the incarnation of its node.
fn clock_id(origin: &id::Incarnation) -> ID {
    let name = origin.to_string();
    let low = hash::weight(&name, "clock id, low half");
    let high = hash::weight(&name, "clock id, high half");
    let id = u128::from(high) << 64 | u128::from(low).max(1);
    ID::try_from(&id.to_le_bytes()).expect("a clock id is not 0")
}
