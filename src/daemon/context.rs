//! State that the modules of a running node share.
//!
//! Lock order: a decision core first, then [`Context::asks`], then the internal
//! tables of [`Timer`], [`Leafs`] and [`Peers`], then [`Context::timeline`]. No
//! thread locks two decision cores at a time: events from one core to another
//! go through the job queue. [`Leafs`] and [`Peers`] only queue work while they hold
//! their locks.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock, RwLockReadGuard};

use crossbeam::channel::Sender;
use jacinthfall_adapter::store::Client as Platform;
use jacinthfall_claim as claim;
use jacinthfall_config as config;
use jacinthfall_core::event::{Event, Kind};
use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::record::Record;
use jacinthfall_core::service::Service;
use jacinthfall_fate as fate;
use jacinthfall_member as member;
use jacinthfall_net::clock::Clock;
use jacinthfall_read as read;
use jacinthfall_timeline as timeline;
use jacinthfall_wire::member::Rumor;
use tokio::runtime::Handle;

use super::asks::Asks;
use super::broadcasts::Broadcasts;
use super::job::Job;
use super::leafs::Leafs;
use super::lookups::Lookups;
use super::peers::Peers;
use super::recent::Recent;
use super::settings::Settings;
use super::state::State;
use super::timer::Timer;
use crate::util::lock::lock;

/// The configuration in effect on this node.
#[derive(Debug, Default)]
pub struct Configuration {
    /// Profiles by name.
    pub profiles: BTreeMap<id::Name, Arc<Profile>>,
    /// Services by name.
    pub services: BTreeMap<id::Name, Arc<Service>>,
    /// Records by key, including the records of deleted objects.
    pub records: BTreeMap<id::Name, Arc<Record>>,
}

/// Decision cores of a node, each behind a lock of its own.
#[derive(Debug)]
pub struct Cores {
    /// Engine of the read path of each configured service, by name.
    pub read_engines: RwLock<BTreeMap<id::Name, Arc<Mutex<read::Engine>>>>,
    /// At-most-once runs of requests that are not idempotent.
    pub claim: Mutex<claim::Engine>,
    /// Distribution of configuration.
    pub config: Mutex<config::Engine>,
    /// Membership.
    pub member: Mutex<member::Engine>,
    /// Storage and replication of fates.
    pub fate: Mutex<fate::Keeper>,
}

/// State that the modules of a running node share.
#[derive(Debug)]
pub struct Context {
    /// Settings of the node.
    pub settings: Settings,
    /// Incarnation of this node.
    pub origin: id::Incarnation,
    /// Monotonic clock and wall clock.
    pub clock: Clock,
    /// Phase of the node's life and number of open requests.
    pub state: State,
    /// Decision cores.
    pub cores: Cores,
    /// Configuration in effect.
    pub configuration: RwLock<Configuration>,
    /// Nodes that are not known to be dead, including this one, sorted by name.
    pub view: RwLock<Arc<[Rumor]>>,
    /// Asks that have no answer yet.
    pub asks: Mutex<Asks>,
    /// Ids of the latest idempotent requests at this node.
    pub recent_ids: Mutex<Recent>,
    /// Pending lookups of fates.
    pub lookups: Lookups,
    /// Pending requests to all other nodes.
    pub broadcasts: Broadcasts,
    /// Event timeline of this node.
    pub timeline: Mutex<timeline::Ring>,
    /// Sender of the workers' queue.
    pub jobs: Sender<Job>,
    /// Timer that wakes the decision cores.
    pub timer: Timer,
    /// Connections to leafs.
    pub leafs: Leafs,
    /// Connections to other nodes.
    pub peers: Peers,
    /// Client of the platform's store.
    pub platform: Platform,
    /// Era of the store at its first answer to this process.
    pub claims_era: OnceLock<u64>,
    /// Runtime that serves the sockets.
    pub runtime: Handle,
    /// Next token that [`Context::token`] returns.
    pub tokens: AtomicU64,
}

impl Context {
    /// Returns a token that this process has not used before.
    pub fn token(&self) -> id::Token {
        id::Token(self.tokens.fetch_add(1, Ordering::Relaxed))
    }

    /// Queues a job. Jobs are lost only when the process ends.
    pub fn post(&self, job: Job) {
        let _ = self.jobs.send(job);
    }

    /// Reads both clocks for the claim engine.
    pub fn now(&self) -> claim::Now {
        claim::Now { time: self.clock.time(), wall: self.clock.wall() }
    }

    /// Returns the era of the store whose claims are trusted: the one of its first answer.
    pub fn claims_era(&self) -> u64 {
        *self.claims_era.get_or_init(|| self.platform.era())
    }

    /// Records an event in the timeline, with the request that it belongs to.
    pub fn record(&self, request: Option<id::Request>, kind: Kind) {
        self.record_event(Event { request, kind });
    }

    /// Records an event of a decision core in the timeline.
    pub fn record_event(&self, event: Event) {
        lock(&self.timeline).record(self.clock.wall(), event);
    }

    /// Returns the nodes that are not known to be dead, including this one, sorted by
    /// name.
    pub fn view(&self) -> Arc<[Rumor]> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the names of the other nodes that are not known to be dead.
    pub fn others(&self) -> Vec<id::Name> {
        let names = self.view().iter().map(|rumor| rumor.node.node.clone()).collect::<Vec<_>>();
        names.into_iter().filter(|name| *name != self.origin.node).collect()
    }

    /// Locks the configuration in effect for reading.
    pub fn configuration(&self) -> RwLockReadGuard<'_, Configuration> {
        self.configuration.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the read engine of a service, or `None` if the service is not configured.
    pub fn read_engine(&self, service: &str) -> Option<Arc<Mutex<read::Engine>>> {
        let engines = self.cores.read_engines.read().unwrap_or_else(PoisonError::into_inner);
        engines.get(service).cloned()
    }
}
