//! Service descriptions, leaving leafs and version pinning.

use std::sync::Arc;

use jacinthfall_core::service::Service;
use jacinthfall_core::{event, id};

use super::Engine;
use crate::Action;
use crate::layout::{self, Layout};
use crate::leafs::Index;

impl Engine {
    /// Applies a service description. Queries in progress keep the partition map they
    /// are pinned to; leafs that are no longer listed get no new parts.
    pub(super) fn apply_description(&mut self, service: Arc<Service>) {
        self.epoch += 1;
        let oldest_epoch = self.queries.values().map(|query| query.epoch).min();
        let oldest_epoch = oldest_epoch.unwrap_or(self.epoch);
        let unusable = self.leafs.apply_description(self.now, &service, self.epoch, oldest_epoch);
        self.layouts = layout::resolve(&service, &self.leafs, self.epoch);
        self.description = Some(service);
        for leaf in unusable {
            self.clear_queue(leaf);
        }
    }

    /// Handles another node's report that a leaf started or stopped leaving.
    pub(super) fn handle_leaving(&mut self, leaf: &id::Name, leaving: bool) {
        let Some(index) = self.leafs.find(leaf) else {
            return self.leafs.set_unlisted_leaving(self.now, leaf, leaving);
        };
        if self.set_leaving(index, leaving) {
            self.record_state(index, if leaving { "leaving" } else { "serving" });
        }
    }

    /// Handles a leaf's own report that it is leaving. A later reply without this report
    /// does not undo it, because the reply may have been sent earlier.
    pub(super) fn observe_leaving(&mut self, index: Index) {
        if self.set_leaving(index, true) {
            let leaf = self.leafs.leaf(index).name.clone();
            self.actions.push(Action::Announce { leaf, leaving: true });
        }
    }

    fn set_leaving(&mut self, index: Index, leaving: bool) -> bool {
        if !self.leafs.leaf_mut(index).set_reported_leaving(leaving) {
            return false;
        }
        if leaving {
            self.clear_queue(index);
        }
        true
    }

    pub(super) fn record_state(&mut self, index: Index, state: &str) {
        let who = self.leafs.leaf(index).name.clone();
        let kind = event::Kind::State { who, state: state.into() };
        self.actions.push(Action::Record(event::Event { request: None, kind }));
    }

    /// Moves the parts queued at a leaf to other leafs. Dequeues them one at a time, because
    /// a query that ends removes its other parts from the queue.
    fn clear_queue(&mut self, index: Index) {
        while let Some(queued) = self.leafs.leaf_mut(index).dequeue() {
            let mut query = self.take_query(queued.query).expect("a queued part has a query");
            self.place(&mut query, queued.part, queued.kind);
            self.settle(query);
        }
    }

    /// Returns the layout that a new query is pinned to. If leafs serve versions on
    /// request, this is the newest version that is not avoided, or the newest if all are.
    /// Otherwise it is the version that most leafs report.
    pub(super) fn pin(&self) -> Option<Arc<Layout>> {
        let serves_named_versions =
            self.description.as_ref().is_some_and(|service| service.named_versions);
        let layouts = self.layouts.iter();
        if !serves_named_versions {
            let reports = |layout: &&Arc<Layout>| self.leafs.count_reporting(layout.version);
            return layouts.max_by_key(reports).cloned();
        }
        let avoided = self.avoided.filter(|&(_, until)| self.now < until);
        let is_avoided = |version| avoided.is_some_and(|(other, _)| other == version);
        let pinned = self.layouts.iter().rev().find(|layout| !is_avoided(layout.version));
        pinned.or(self.layouts.last()).cloned()
    }

    /// Returns the layout of `version` if the current service description has it.
    pub(super) fn layout(&self, version: id::Version) -> Option<&Arc<Layout>> {
        let index = self.layouts.binary_search_by_key(&version, |layout| layout.version).ok()?;
        self.layouts.get(index)
    }

    /// Whether leafs serve the version named in the request, instead of only reporting
    /// the version of their reply.
    pub(super) fn names_versions(&self) -> bool {
        self.description.as_ref().is_none_or(|service| service.named_versions)
    }
}
