//! Tells which services this node reaches, by what its sends and connections to leafs showed.
//!
//! A leaf that gave no response counts against its service only if no other leaf of the service has
//! responded to anything since. A service is lost when several of its leafs count against it, and
//! the node is cut off when leafs of several services do and no leaf of any service has responded.
//! It is restricted when leafs of several services answer on open connections while new ones fail.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::leaf::{Ending, Leaf};
use super::{Fleet, Key};
use crate::quarantine::Service;
use crate::reach::Loss;

/// Minimum number of silent leafs of a lost service, if it has as many, and of a node that is cut
/// off.
const MIN_SILENT_LEAFS: usize = 3;

/// Minimum number of services with silent leafs at a node that is cut off, if there are as many.
const MIN_SILENT_SERVICES: usize = 2;

/// Time without a response after which a send counts as unanswered, beyond
/// [`PATIENCE_RESPONSES`].
const MIN_PATIENCE: Duration = Duration::from_millis(250);

/// Time without a response after which a send counts as unanswered, in usual response times.
const PATIENCE_RESPONSES: u32 = 4;

/// Maximum number of leafs that are probed at the same time.
const MAX_PROBES: usize = 3;

/// Returns the time after which a send with a usual response time counts as unanswered.
pub(crate) fn patience(usual: Duration) -> Duration {
    MIN_PATIENCE + usual * PATIENCE_RESPONSES
}

/// What this node knows of its reach.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    /// When a leaf of each service last responded.
    heard: HashMap<id::Name, Time>,
    /// When any leaf last responded.
    heard_any: Option<Time>,
    /// Services that are lost.
    lost: HashSet<id::Name>,
    /// Whether no leaf can be reached.
    is_cut_off: bool,
    /// Whether new connections to leafs fail while open ones live on.
    is_restricted: bool,
    /// What was last told to the others.
    stated: Loss,
}

/// Numbers of leafs and services in and out of reach, for the log and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// Number of leafs that may be sent requests.
    pub leafs: usize,
    /// Number of those that gave no response lately.
    pub silent_leafs: usize,
    /// Number of services that have leafs.
    pub services: usize,
    /// Number of leafs that answer on open connections while new ones fail.
    pub unconnectable_leafs: usize,
    /// Number of services that are lost.
    pub lost_services: usize,
    /// Whether no leaf can be reached.
    pub is_cut_off: bool,
}

impl Leaf {
    /// Returns when the latest send or connection attempt began that got no response and is
    /// overdue.
    pub(super) fn silent_since(&self, now: Time) -> Option<Time> {
        let overdue = self.sends.iter().filter(|send| send.is_overdue(now)).map(|send| send.at);
        overdue.chain(self.missed).max()
    }
}

impl Fleet {
    /// Records what the end of a send that began at `sent` shows of this node's reach.
    pub(super) fn record_reach(&mut self, now: Time, key: Key, sent: Time, ending: Ending) {
        if ending.is_response() {
            self.record_heard(now, key);
            return;
        }
        let Some(leaf) = self.leafs.get(&key) else { return };
        let is_overdue = leaf.sends.iter().any(|send| send.at == sent && send.is_overdue(now));
        let failed = matches!(ending, Ending::Unreachable | Ending::Crowded | Ending::Silent);
        if failed || is_overdue {
            self.record_missed(key, sent);
        }
    }

    /// Records that a leaf gave no response to a send or connection attempt that began at
    /// `started`.
    pub fn record_missed(&mut self, key: Key, started: Time) {
        if let Some(leaf) = self.leafs.get_mut(&key) {
            leaf.missed = leaf.missed.max(Some(started));
        }
    }

    /// Records that a leaf has responded. If no leaf could be reached until now, all are tried
    /// again at once: it was a link of this node that had failed.
    pub fn record_heard(&mut self, now: Time, key: Key) {
        let Some(leaf) = self.leafs.get_mut(&key) else { return };
        let service = leaf.entry.service.clone();
        self.reach.heard_any = Some(now);
        if std::mem::take(&mut self.reach.is_cut_off) {
            self.leafs.values_mut().for_each(Leaf::clear_suspicion);
            self.reach.heard = self.services.keys().map(|name| (name.clone(), now)).collect();
            self.reach.lost.clear();
            return;
        }
        if self.reach.lost.remove(&service) {
            leaf.clear_suspicion();
        }
        self.reach.heard.insert(service, now);
    }

    /// Records that a connection to a leaf was opened.
    pub(super) fn record_connected(&mut self, key: Key) {
        if std::mem::take(&mut self.reach.is_restricted) {
            self.leafs.values_mut().for_each(|leaf| leaf.refused_since = None);
        } else if let Some(leaf) = self.leafs.get_mut(&key) {
            leaf.refused_since = None;
        }
    }

    /// Chooses leafs to be asked whether they can be reached: one of each lost service, for
    /// `MAX_PROBES` services at most, or as many to which new connections fail.
    pub fn choose_lost_leafs(&mut self) -> Vec<Key> {
        if self.reach.is_restricted && !self.reach.is_cut_off {
            let all = self.services.values().flatten().copied();
            let is_unconnectable =
                |key: &Key| self.leafs[key].is_unconnectable() && !self.is_evacuated(*key);
            let unconnectable: Vec<Key> = all.filter(is_unconnectable).collect();
            return unconnectable.choose_multiple(&mut self.rng, MAX_PROBES).copied().collect();
        }
        let lost: Vec<id::Name> = self.lost_services().cloned().collect();
        let Fleet { services, leafs, closed, rng, .. } = self;
        let chosen: Vec<&id::Name> = lost.choose_multiple(rng, MAX_PROBES).collect();
        let choose = |service: &id::Name| {
            let open = services[service].iter().filter(|key| !closed.contains(&leafs[*key]));
            open.choose(rng).copied()
        };
        chosen.into_iter().filter_map(choose).collect()
    }

    /// Returns the services with leafs outside of evacuated zones, and these leafs.
    fn open_services(&self) -> Vec<(&id::Name, Vec<Key>)> {
        let open = self.services.iter().map(|(service, keys)| {
            let keys = keys.iter().copied().filter(|key| !self.is_evacuated(*key));
            (service, keys.collect::<Vec<Key>>())
        });
        open.filter(|(_, keys)| !keys.is_empty()).collect()
    }

    /// Updates which services are lost. Returns `true` if [`Fleet::loss`] has changed since the last
    /// call.
    pub fn update_reach(&mut self, now: Time) -> bool {
        let services = &self.services;
        self.reach.heard.retain(|service, _| services.contains_key(service));
        let mut lost = HashSet::new();
        let (mut silent_leafs, mut silent_services) = (0, 0);
        let (mut unconnectable_leafs, mut unconnectable_services) = (0, 0);
        let open_services = self.open_services();
        for (service, keys) in &open_services {
            let silent: Vec<Time> =
                keys.iter().filter_map(|key| self.leafs[key].silent_since(now)).collect();
            let after = |heard: Option<Time>| silent.iter().filter(|at| Some(**at) > heard).count();
            let unheard = after(self.reach.heard.get(*service).copied());
            if unheard > 0 && unheard >= keys.len().min(MIN_SILENT_LEAFS) {
                lost.insert((*service).clone());
            }
            let unheard = after(self.reach.heard_any);
            silent_leafs += unheard;
            silent_services += usize::from(unheard > 0);
            let unconnectable = count_unconnectable(&self.leafs, keys);
            unconnectable_leafs += unconnectable;
            unconnectable_services += usize::from(unconnectable > 0);
        }
        let min_services = MIN_SILENT_SERVICES.min(open_services.len());
        let is_node =
            |leafs: usize, services: usize| leafs >= MIN_SILENT_LEAFS && services >= min_services;
        let reach = &mut self.reach;
        reach.is_cut_off = is_node(silent_leafs, silent_services);
        reach.is_restricted = is_node(unconnectable_leafs, unconnectable_services);
        reach.lost = lost;
        let loss = self.loss();
        let has_changed = loss != self.reach.stated;
        self.reach.stated = loss;
        has_changed
    }

    /// Whether new connections to leafs fail, so that this node can serve only what its open ones
    /// have room for.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.reach.is_restricted
    }

    /// Whether this node reaches no leaf of a service. A service without leafs outside of evacuated
    /// zones isn't lost.
    #[must_use]
    pub fn is_lost(&self, service: &str) -> bool {
        (self.reach.is_cut_off || self.reach.lost.contains(service))
            && self.open_leafs(service).next().is_some()
    }

    /// Iterates over the services that are lost.
    pub fn lost_services(&self) -> impl Iterator<Item = &id::Name> {
        self.services.keys().filter(|service| self.is_lost(service))
    }

    /// Returns what this node tells the others of its reach.
    #[must_use]
    pub fn loss(&self) -> Loss {
        if self.reach.is_cut_off || self.reach.is_restricted {
            return Loss::Most;
        }
        let mut lost: Vec<&id::Name> = self.reach.lost.iter().collect();
        lost.sort_unstable();
        Loss::of(lost.into_iter().map(|service| Service::of(service)))
    }

    /// Counts the leafs and services in and out of reach.
    #[must_use]
    pub fn census(&self, now: Time) -> Census {
        let mut census = Census {
            services: self.services.len(),
            is_cut_off: self.reach.is_cut_off,
            ..Census::default()
        };
        for (service, keys) in &self.services {
            let heard = self.reach.heard.get(service).copied();
            let open = keys.iter().filter(|key| !self.is_evacuated(**key));
            let silent = open.filter(|key| self.leafs[key].silent_since(now) > heard);
            census.leafs += keys.len();
            census.silent_leafs += silent.count();
            census.unconnectable_leafs += count_unconnectable(&self.leafs, keys);
            census.lost_services += usize::from(self.is_lost(service));
        }
        census
    }
}

/// Returns how many of these leafs answer on open connections while new ones fail.
fn count_unconnectable(leafs: &HashMap<Key, Leaf>, keys: &[Key]) -> usize {
    keys.iter().filter(|key| leafs[key].is_unconnectable()).count()
}
