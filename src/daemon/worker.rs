//! Pool of workers that run the decision cores.
//!
//! A worker locks one core, passes it an event and carries out the resulting actions
//! before it unlocks the core, so that the actions of one core keep their order.
//! Carrying out an action does not wait for I/O: work is queued for the pool, a
//! connection or the socket runtime.

use std::io;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use crossbeam::channel::Receiver;
use jacinthfall_claim as claim;
use jacinthfall_config as config;
use jacinthfall_fate as fate;
use jacinthfall_member as member;
use jacinthfall_read as read;

use super::context::Context;
use super::job::Job;
use super::timer::Core;
use super::{drive, leafs};

/// Spawns `count` workers that handle the queued jobs.
///
/// # Errors
///
/// Returns the operating system's error if a thread can't be started.
pub fn spawn(
    context: &Arc<Context>,
    jobs: &Receiver<Job>,
    count: usize,
) -> io::Result<Vec<JoinHandle<()>>> {
    (0..count)
        .map(|index| {
            let context = Arc::clone(context);
            let jobs = jobs.clone();
            let name = format!("worker-{index}");
            thread::Builder::new().name(name).spawn(move || run(&context, &jobs))
        })
        .collect()
}

fn run(context: &Arc<Context>, jobs: &Receiver<Job>) {
    while let Ok(job) = jobs.recv() {
        match job {
            Job::Read { service, event } => drive::read::handle(context, &service, event),
            Job::AttemptEnded { service, leaf, attempt, result } => {
                let outcome = leafs::attempt_outcome(result);
                let event = read::Event::Ended { attempt, leaf, outcome };
                drive::read::handle(context, &service, event);
            }
            Job::Claim(event) => drive::claim::handle(context, event),
            Job::Config(event) => drive::config::handle(context, event),
            Job::Member(event) => drive::member::handle(context, event),
            Job::Fate(event) => drive::fate::handle(context, event),
            Job::Wake(core) => wake(context, core),
            Job::Quit => return,
        }
    }
}

fn wake(context: &Arc<Context>, core: Core) {
    match core {
        Core::Read(service) => drive::read::handle(context, &service, read::Event::Wake),
        Core::Claim => drive::claim::handle(context, claim::Event::Wake),
        Core::Config => drive::config::handle(context, config::Event::Wake),
        Core::Member => drive::member::handle(context, member::Event::Wake),
        Core::Fate => drive::fate::handle(context, fate::Event::Wake),
    }
}
