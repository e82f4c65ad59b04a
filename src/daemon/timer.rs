//! One thread that wakes the decision cores at the times they ask for.
//!
//! Each source has at most one wake; setting it again replaces it.

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

/// A decision core that asks to be woken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The read path of a service.
    Read(id::Name),
    /// The claim path.
    Claim,
    /// Configuration.
    Config,
    /// Membership.
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
    wakes: Mutex<BTreeMap<Source, Time>>,
    changed: Condvar,
}

impl Timer {
    /// Spawns the thread; due wakes are sent to `jobs` until its end is dropped.
    ///
    /// # Errors
    ///
    /// Any error of the operating system while starting the thread.
    pub fn spawn(clock: Clock, jobs: Sender<Job>) -> io::Result<Timer> {
        let shared = Shared { clock, wakes: Mutex::new(BTreeMap::new()), changed: Condvar::new() };
        let shared = Arc::new(shared);
        let thread_shared = Arc::clone(&shared);
        thread::Builder::new().name("timer".into()).spawn(move || run(&thread_shared, &jobs))?;
        Ok(Timer { shared })
    }

    /// Wakes `source` at `time`, in place of any earlier setting.
    pub fn set(&self, source: Source, time: Time) {
        let mut wakes = self.shared.wakes.lock().unwrap_or_else(PoisonError::into_inner);
        let earliest = wakes.values().min().copied();
        wakes.insert(source, time);
        if earliest.is_none_or(|earliest| time < earliest) {
            self.shared.changed.notify_one();
        }
    }
}

fn run(shared: &Shared, jobs: &Sender<Job>) {
    let mut wakes = shared.wakes.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let now = shared.clock.time();
        while let Some(source) = due(&wakes, now) {
            wakes.remove(&source);
            if jobs.send(Job::Wake(source)).is_err() {
                return;
            }
        }
        wakes = match wakes.values().min() {
            None => shared.changed.wait(wakes).unwrap_or_else(PoisonError::into_inner),
            Some(&next) => {
                let pause = shared.clock.instant(next).saturating_duration_since(Instant::now());
                let waited = shared.changed.wait_timeout(wakes, pause);
                waited.unwrap_or_else(PoisonError::into_inner).0
            }
        };
    }
}

fn due(wakes: &BTreeMap<Source, Time>, now: Time) -> Option<Source> {
    wakes.iter().find(|(_, time)| **time <= now).map(|(source, _)| source.clone())
}
