//! Faults that a test injects and ends.

use super::Fleet;
use super::network::Conditions;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Frames are lost, duplicated and reordered.
    Loss,
    /// One node is frozen.
    Frozen,
    /// One node is in a network partition of its own.
    Isolated,
    /// One node sends frames but receives none.
    InboundBlocked,
    /// Two nodes can't reach each other.
    LinkBlocked,
    /// One zone is in a network partition of its own.
    ZonePartitioned,
    /// One node is killed, and started again at the end.
    Killed,
    /// The nodes of one zone are killed, and started again at the end.
    ZoneKilled,
}

pub const FAULTS: [Fault; 8] = [
    Fault::Loss,
    Fault::Frozen,
    Fault::Isolated,
    Fault::InboundBlocked,
    Fault::LinkBlocked,
    Fault::ZonePartitioned,
    Fault::Killed,
    Fault::ZoneKilled,
];

const DEGRADED: Conditions =
    Conditions { min_delay: 300, max_delay: 150_000, loss: 0.05, duplicates: 0.2 };

impl Fault {
    /// Returns the nodes whose state the fault changes.
    pub fn nodes(self, fleet: &Fleet) -> Vec<usize> {
        let zone =
            |remainder: usize| (0..fleet.nodes.len()).filter(move |index| index % 3 == remainder);
        match self {
            Fault::Loss | Fault::LinkBlocked => Vec::new(),
            Fault::Frozen => vec![0],
            Fault::Isolated => vec![3],
            Fault::InboundBlocked => vec![6],
            Fault::Killed => vec![4],
            Fault::ZonePartitioned => zone(2).collect(),
            Fault::ZoneKilled => zone(1).collect(),
        }
    }

    /// Injects the fault.
    pub fn begin(self, fleet: &mut Fleet) {
        for index in self.nodes(fleet) {
            fleet.unaffected.remove(&index);
            match self {
                Fault::Frozen => fleet.freeze(index),
                Fault::Isolated => fleet.network.partitions[index] = 1,
                Fault::ZonePartitioned => fleet.network.partitions[index] = 2,
                Fault::Killed | Fault::ZoneKilled => fleet.kill(index),
                Fault::InboundBlocked => {
                    let others = 0..fleet.nodes.len();
                    fleet.network.blocked_links.extend(others.map(|other| (other, index)));
                }
                Fault::Loss | Fault::LinkBlocked => {}
            }
        }
        match self {
            Fault::Loss => fleet.network.conditions = DEGRADED,
            Fault::LinkBlocked => fleet.network.blocked_links.extend([(0, 7), (7, 0)]),
            _ => {}
        }
    }

    /// Ends the fault.
    pub fn end(self, fleet: &mut Fleet) {
        for index in self.nodes(fleet) {
            match self {
                Fault::Frozen => fleet.resume(index),
                Fault::Isolated | Fault::ZonePartitioned => fleet.network.partitions[index] = 0,
                Fault::Killed | Fault::ZoneKilled => fleet.start(index),
                Fault::InboundBlocked | Fault::Loss | Fault::LinkBlocked => {}
            }
        }
        match self {
            Fault::Loss => fleet.network.conditions = Conditions::NORMAL,
            Fault::InboundBlocked | Fault::LinkBlocked => fleet.network.blocked_links.clear(),
            _ => {}
        }
    }
}
