//! Faults that a test injects and ends.

use super::Fleet;
use super::network::Conditions;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The store is down.
    StoreDown,
    /// Frames are lost, duplicated and reordered.
    Loss,
    /// One node is frozen.
    Frozen,
    /// The watchers are frozen.
    WatchersFrozen,
    /// One node reaches neither its peers nor the store.
    Isolated,
    /// One zone can't reach the others, but reaches the store.
    ZonePartitioned,
    /// The watchers are killed, and started again at the end.
    WatchersKilled,
    /// The watchers don't reach the store.
    WatchersWithoutStore,
    /// All nodes but one are killed, and started again at the end.
    MostRestarted,
}

pub const FAULTS: [Fault; 9] = [
    Fault::StoreDown,
    Fault::Loss,
    Fault::Frozen,
    Fault::WatchersFrozen,
    Fault::Isolated,
    Fault::ZonePartitioned,
    Fault::WatchersKilled,
    Fault::WatchersWithoutStore,
    Fault::MostRestarted,
];

const DEGRADED: Conditions =
    Conditions { min_delay: 300, max_delay: 400_000, loss: 0.3, duplicates: 0.2 };

/// A fault in progress, with the nodes that it affects.
pub struct Active {
    fault: Fault,
    nodes: Vec<usize>,
}

impl Fault {
    /// Injects the fault.
    pub fn begin(self, fleet: &mut Fleet) -> Active {
        let nodes = self.nodes(fleet);
        match self {
            Fault::StoreDown => fleet.stop_store(),
            Fault::Loss => fleet.network.conditions = DEGRADED,
            _ => {}
        }
        for &index in &nodes {
            match self {
                Fault::StoreDown | Fault::Loss => {}
                Fault::Frozen | Fault::WatchersFrozen => fleet.freeze(index),
                Fault::Isolated => {
                    fleet.nodes[index].reaches_store = false;
                    fleet.move_to_partition(index, 1);
                }
                Fault::ZonePartitioned => fleet.move_to_partition(index, 2),
                Fault::WatchersKilled | Fault::MostRestarted => fleet.kill(index),
                Fault::WatchersWithoutStore => fleet.nodes[index].reaches_store = false,
            }
        }
        Active { fault: self, nodes }
    }

    /// Returns the nodes that the fault affects.
    fn nodes(self, fleet: &Fleet) -> Vec<usize> {
        let all = 0..fleet.nodes.len();
        let watches = |index: &usize| fleet.status(*index).is_some_and(|s| s.watching);
        match self {
            Fault::StoreDown | Fault::Loss => Vec::new(),
            Fault::Frozen | Fault::Isolated => vec![1],
            Fault::ZonePartitioned => all.filter(|index| index % 3 == 2).collect(),
            Fault::MostRestarted => all.skip(1).collect(),
            Fault::WatchersFrozen | Fault::WatchersKilled | Fault::WatchersWithoutStore => {
                all.filter(watches).collect()
            }
        }
    }
}

impl Active {
    /// Ends the fault.
    pub fn end(self, fleet: &mut Fleet) {
        match self.fault {
            Fault::StoreDown => fleet.store.up = true,
            Fault::Loss => fleet.network.conditions = Conditions::NORMAL,
            _ => {}
        }
        for index in self.nodes {
            match self.fault {
                Fault::StoreDown | Fault::Loss => {}
                Fault::Frozen | Fault::WatchersFrozen => fleet.resume(index),
                Fault::Isolated | Fault::ZonePartitioned => {
                    fleet.nodes[index].reaches_store = true;
                    fleet.move_to_partition(index, 0);
                }
                Fault::WatchersKilled | Fault::MostRestarted => fleet.start(index),
                Fault::WatchersWithoutStore => fleet.nodes[index].reaches_store = true,
            }
        }
    }
}
