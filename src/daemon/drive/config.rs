//! Driver of the configuration engine: watches the store, sends frames to peers and
//! applies new records.

use std::sync::{Arc, Mutex, PoisonError};

use jacinthfall_config as config;
use jacinthfall_core::event::Kind;
use jacinthfall_core::id;
use jacinthfall_core::record::{self, Body, Record};
use jacinthfall_read as read;
use jacinthfall_wire::Frame;
use metrics::counter;

use crate::daemon::context::Context;
use crate::daemon::job::Job;
use crate::daemon::timer::Core;
use crate::daemon::{peers, store};
use crate::util::lock::lock;

/// Passes an event to the configuration engine and carries out the actions.
pub fn handle(context: &Arc<Context>, event: config::Event) {
    let mut engine = lock(&context.cores.config);
    for action in engine.handle(context.clock.time(), event) {
        match action {
            config::Action::Send { to, message } => {
                peers::send(context, &to, Frame::Config(message));
            }
            config::Action::Apply(record) => apply(context, record),
            config::Action::Watch { after } => store::watch(context, after),
            config::Action::Wake(time) => context.timer.set(Core::Config, time),
        }
    }
}

/// Applies a record: makes it part of the configuration in effect.
fn apply(context: &Arc<Context>, record: Arc<Record>) {
    let mut configuration = context.configuration.write().unwrap_or_else(PoisonError::into_inner);
    let current_revision = configuration.records.get(&record.key).map(|current| current.revision);
    assert!(
        current_revision.is_none_or(|current| current < record.revision),
        "a record is only replaced by a higher revision"
    );
    log::info!("{} is in force at revision {}", record.key, record.revision);
    counter!("jacinthfall_config_applied_total").increment(1);
    let kind = Kind::Applied { key: record.key.clone(), revision: record.revision };
    context.record(None, kind);
    match &record.body {
        Body::Profile(profile) => {
            configuration.profiles.insert(profile.name.clone(), Arc::clone(profile));
        }
        Body::Service(service) => {
            configuration.services.insert(service.name.clone(), Arc::clone(service));
            context.leafs.update(service);
            open_read_engine(context, &service.name);
            let event = read::Event::Service(Arc::clone(service));
            context.post(Job::Read { service: service.name.clone(), event });
            let count = u32::try_from(context.view().len()).unwrap_or(u32::MAX);
            let event = read::Event::Peers { count };
            context.post(Job::Read { service: service.name.clone(), event });
        }
        Body::Deleted => {
            configuration.profiles.retain(|name, _| record::profile_key(name) != record.key);
        }
    }
    configuration.records.insert(record.key.clone(), record);
}

/// Creates the read engine of a service unless it exists.
fn open_read_engine(context: &Context, service: &id::Name) {
    let mut engines = context.cores.read_engines.write().unwrap_or_else(PoisonError::into_inner);
    engines.entry(service.clone()).or_insert_with(|| {
        let seed = context.origin.started;
        let engine = read::Engine::open(context.origin.clone(), service.clone(), seed);
        Arc::new(Mutex::new(engine))
    });
}
