//! The platform's VM list. It adds nodes to the membership and removes nodes that
//! don't respond, but never overrides evidence that a node is alive.

use std::collections::BTreeSet;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_wire::member::{Rumor, State};

use crate::{Engine, Vm, ring, suspicion};

/// Time after which a dead node that is not in the VM list is forgotten. It
/// exceeds the time for which any node may still report it as alive.
pub(crate) const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Number of ticks between two searches for nodes to forget.
const FORGET_TICKS: u64 = 40;

impl Engine {
    /// Updates the membership from the VM list.
    pub(crate) fn handle_vm_list(&mut self, vms: &[Vm], now: Time) {
        for vm in vms {
            if vm.node == self.own.node {
                self.handle_own_vm(vm);
            } else {
                self.handle_peer_vm(vm, now);
            }
        }
        self.prune(vms, now);
        if self.table.counts().alive == 1 {
            self.ping_lost_nodes(ring::MAX_NEIGHBOURS);
        }
    }

    fn handle_own_vm(&mut self, vm: &Vm) {
        if vm.leaving {
            self.retire();
        }
    }

    fn handle_peer_vm(&mut self, vm: &Vm, now: Time) {
        if self.table.add_listed(seed_rumor(vm), now) {
            self.changed = true;
        }
        let Some(entry) = self.table.get_mut(&vm.node) else { return };
        if entry.rumor.node.started == 0 {
            entry.rumor.peer_address = vm.peer_address;
            return;
        }
        let is_in_service = matches!(entry.rumor.state, State::Alive | State::Suspect);
        if vm.leaving && is_in_service {
            let rumor = Rumor { state: State::Leaving, ..entry.rumor.clone() };
            self.accept(rumor, None, now);
        }
    }

    /// Processes the suspect nodes that are not in the list: removes those that were
    /// never contacted, and declares dead those that have been suspect for
    /// [`suspicion::TIMEOUT`]. Nodes that gossip considers alive stay. A list without this
    /// node itself is stale and removes nothing.
    fn prune(&mut self, vms: &[Vm], now: Time) {
        let listed: BTreeSet<&id::Name> = vms.iter().map(|vm| &vm.node).collect();
        if !listed.contains(&self.own.node) {
            return;
        }
        let mut suspects = Vec::new();
        for (name, entry) in self.table.iter_mut() {
            entry.listed = listed.contains(name);
            if !entry.listed && entry.rumor.state == State::Suspect {
                suspects.push((entry.rumor.clone(), entry.since));
            }
        }
        for (rumor, since) in suspects {
            if rumor.node.started == 0 {
                self.table.remove(&rumor.node.node);
                self.changed = true;
            } else if now.since(since) >= suspicion::TIMEOUT {
                self.accept(Rumor { state: State::Dead, ..rumor }, None, now);
            }
        }
    }

    /// Forgets nodes that have been dead for [`FORGET_AFTER`] and are not in the list.
    pub(crate) fn forget_dead(&mut self, now: Time) {
        if !self.ticks.is_multiple_of(FORGET_TICKS) {
            return;
        }
        let forgotten = self.table.iter().filter(|(_, entry)| {
            let is_expired = now.since(entry.since) >= FORGET_AFTER;
            is_expired && !entry.listed && entry.rumor.state == State::Dead
        });
        let forgotten: Vec<_> = forgotten.map(|(name, _)| name.clone()).collect();
        for node in forgotten {
            self.table.remove(&node);
        }
    }
}

/// Returns the rumor about a node known only from the list. The node is suspect until it
/// has been contacted; `started` is 0 because its incarnation is not known before that.
fn seed_rumor(vm: &Vm) -> Rumor {
    Rumor {
        node: id::Incarnation { node: vm.node.clone(), started: 0 },
        sequence: 0,
        state: State::Suspect,
        zone: vm.zone.clone(),
        peer_address: vm.peer_address,
        caller_address: vm.caller_address,
    }
}
