//! Everything that the parts of a running node share.
//!
//! Lock order: a decision core first, then [`Context::asks`], then the edges'
//! own tables ([`Timer`], [`Leafs`], [`Peers`]), then the time line's ring. No
//! thread holds two decision cores at a time: events from one core to another
//! go through the job queue. Edges only queue work under their locks.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard};

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

/// Configuration in force, by name.
#[derive(Debug, Default)]
pub struct Configuration {
    /// Profiles.
    pub profiles: BTreeMap<id::Name, Arc<Profile>>,
    /// Services.
    pub services: BTreeMap<id::Name, Arc<Service>>,
    /// Records by key, deleted ones included.
    pub records: BTreeMap<id::Name, Arc<Record>>,
}

/// Decision cores of a node.
#[derive(Debug)]
pub struct Cores {
    /// Read path of each service.
    pub read_engines: RwLock<BTreeMap<id::Name, Arc<Mutex<read::Engine>>>>,
    /// Claim path.
    pub claim: Mutex<claim::Engine>,
    /// Configuration.
    pub config: Mutex<config::Engine>,
    /// Membership.
    pub member: Mutex<member::Engine>,
    /// Keeper of fates.
    pub fate: Mutex<fate::Keeper>,
}

/// Everything that the parts of a running node share.
#[derive(Debug)]
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// This node in its present life.
    pub origin: id::Incarnation,
    /// Clocks.
    pub clock: Clock,
    /// Whether the node is running, leaving or stopping.
    pub state: State,
    /// Decision cores.
    pub cores: Cores,
    /// Configuration in force.
    pub configuration: RwLock<Configuration>,
    /// Nodes that are not known to be dead, this one included, by name.
    pub view: RwLock<Arc<[Rumor]>>,
    /// Asks that wait for their answer.
    pub asks: Mutex<Asks>,
    /// Ids used lately at this node.
    pub recent_ids: Mutex<Recent>,
    /// Questions to the keeper of fates that wait for answers.
    pub lookups: Lookups,
    /// Questions to other nodes that wait for replies.
    pub broadcasts: Broadcasts,
    /// Time line of this node.
    pub timeline: Mutex<timeline::Ring>,
    /// Queue of the workers.
    pub jobs: Sender<Job>,
    /// Timer of the cores.
    pub timer: Timer,
    /// Edge towards leafs.
    pub leafs: Leafs,
    /// Edge towards other nodes.
    pub peers: Peers,
    /// Edge towards the platform.
    pub platform: Platform,
    /// Runtime that serves sockets.
    pub runtime: Handle,
    /// Tokens of this process.
    pub tokens: AtomicU64,
}

impl Context {
    /// A token that this process has not used before.
    pub fn token(&self) -> id::Token {
        id::Token(self.tokens.fetch_add(1, Ordering::Relaxed))
    }

    /// Queues work; it is lost only when the process ends.
    pub fn post(&self, job: Job) {
        let _ = self.jobs.send(job);
    }

    /// Both clocks, as the claim path wants them.
    pub fn now(&self) -> claim::Now {
        claim::Now { time: self.clock.time(), wall: self.clock.wall() }
    }

    /// Records an event on the time line.
    pub fn record(&self, request: Option<id::Request>, kind: Kind) {
        self.record_event(Event { request, kind });
    }

    /// Records an event of a decision core on the time line.
    pub fn record_event(&self, event: Event) {
        lock(&self.timeline).record(self.clock.wall(), event);
    }

    /// The nodes that are not known to be dead, this one included, by name.
    pub fn view(&self) -> Arc<[Rumor]> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Names of the other nodes that are not known to be dead.
    pub fn others(&self) -> Vec<id::Name> {
        let names = self.view().iter().map(|rumor| rumor.node.node.clone()).collect::<Vec<_>>();
        names.into_iter().filter(|name| *name != self.origin.node).collect()
    }

    /// Configuration in force.
    pub fn configuration(&self) -> RwLockReadGuard<'_, Configuration> {
        self.configuration.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// The read path of a service, if it is configured.
    pub fn read_engine(&self, service: &str) -> Option<Arc<Mutex<read::Engine>>> {
        let engines = self.cores.read_engines.read().unwrap_or_else(PoisonError::into_inner);
        engines.get(service).cloned()
    }
}
