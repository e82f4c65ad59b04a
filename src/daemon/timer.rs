//! Timer thread that wakes the decision cores at the times they request.
//!
//! Each core has at most one pending wake-up; setting another one replaces it.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Instant;

use crossbeam::channel::Sender;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_net::clock::Clock;

use super::job::Job;

/// Identifies the decision core to wake.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Core {
    /// The read engine of a service.
    Read(id::Name),
    /// The claim engine.
    Claim,
    /// The configuration engine.
    Config,
    /// The membership engine.
    Member,
    /// The keeper of fates.
    Fate,
}

/// Handle of the timer thread.
#[derive(Clone, Debug)]
pub struct Timer {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    wakeups: Mutex<BTreeMap<Core, Time>>,
    changed: Condvar,
}

impl Timer {
    /// Spawns the thread. It sends due wake-ups to `jobs` and ends when the receiver of
    /// the queue is dropped.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread can't be started.
    pub fn spawn(clock: Clock, jobs: Sender<Job>) -> io::Result<Timer> {
        let shared =
            Shared { clock, wakeups: Mutex::new(BTreeMap::new()), changed: Condvar::new() };
        let shared = Arc::new(shared);
        let thread_shared = Arc::clone(&shared);
        thread::Builder::new().name("timer".into()).spawn(move || run(&thread_shared, &jobs))?;
        Ok(Timer { shared })
    }

    /// Wakes `core` at `time`. Replaces its pending wake-up.
    pub fn set(&self, core: Core, time: Time) {
        let mut wakeups = self.shared.wakeups.lock().unwrap_or_else(PoisonError::into_inner);
        let earliest = wakeups.values().min().copied();
        wakeups.insert(core, time);
        if earliest.is_none_or(|earliest| time < earliest) {
            self.shared.changed.notify_one();
        }
    }
}

fn run(shared: &Shared, jobs: &Sender<Job>) {
    let mut wakeups = shared.wakeups.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let now = shared.clock.time();
        while let Some(core) = find_due(&wakeups, now) {
            wakeups.remove(&core);
            if jobs.send(Job::Wake(core)).is_err() {
                return;
            }
        }
        wakeups = match wakeups.values().min() {
            None => shared.changed.wait(wakeups).unwrap_or_else(PoisonError::into_inner),
            Some(&next) => {
                let pause = shared.clock.instant(next).saturating_duration_since(Instant::now());
                let waited = shared.changed.wait_timeout(wakeups, pause);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
        };
    }
}

fn find_due(wakeups: &BTreeMap<Core, Time>, now: Time) -> Option<Core> {
    wakeups.iter().find(|(_, time)| **time <= now).map(|(core, _)| core.clone())
}
