//! Faults that a test brings about and mends again.

use super::Fleet;
use super::network::Conditions;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Frames are lost, doubled and overtake each other.
    Loss,
    /// One node is frozen.
    Frozen,
    /// One node is cut off.
    CutOff,
    /// One node sends but gets no frame.
    Deaf,
    /// Two nodes don't reach each other.
    LinkCut,
    /// One zone is cut off.
    ZoneCutOff,
    /// One node ends and starts again.
    Killed,
    /// One zone ends and starts again.
    ZoneKilled,
}

pub const FAULTS: [Fault; 8] = [
    Fault::Loss,
    Fault::Frozen,
    Fault::CutOff,
    Fault::Deaf,
    Fault::LinkCut,
    Fault::ZoneCutOff,
    Fault::Killed,
    Fault::ZoneKilled,
];

const STORM: Conditions =
    Conditions { min_delay: 300, max_delay: 150_000, loss: 0.05, duplicates: 0.2 };

impl Fault {
    /// Nodes whose state it changes.
    pub fn nodes(self, fleet: &Fleet) -> Vec<usize> {
        let zone = |rest: usize| (0..fleet.nodes.len()).filter(move |index| index % 3 == rest);
        match self {
            Fault::Loss | Fault::LinkCut => Vec::new(),
            Fault::Frozen => vec![0],
            Fault::CutOff => vec![3],
            Fault::Deaf => vec![6],
            Fault::Killed => vec![4],
            Fault::ZoneCutOff => zone(2).collect(),
            Fault::ZoneKilled => zone(1).collect(),
        }
    }

    /// Brings the fault about.
    pub fn begin(self, fleet: &mut Fleet) {
        for index in self.nodes(fleet) {
            fleet.untouched.remove(&index);
            match self {
                Fault::Frozen => fleet.freeze(index),
                Fault::CutOff => fleet.network.partitions[index] = 1,
                Fault::ZoneCutOff => fleet.network.partitions[index] = 2,
                Fault::Killed | Fault::ZoneKilled => fleet.kill(index),
                Fault::Deaf => {
                    let others = 0..fleet.nodes.len();
                    fleet.network.blocked_links.extend(others.map(|other| (other, index)));
                }
                Fault::Loss | Fault::LinkCut => {}
            }
        }
        match self {
            Fault::Loss => fleet.network.conditions = STORM,
            Fault::LinkCut => fleet.network.blocked_links.extend([(0, 7), (7, 0)]),
            _ => {}
        }
    }

    /// Mends the fault.
    pub fn end(self, fleet: &mut Fleet) {
        for index in self.nodes(fleet) {
            match self {
                Fault::Frozen => fleet.resume(index),
                Fault::CutOff | Fault::ZoneCutOff => fleet.network.partitions[index] = 0,
                Fault::Killed | Fault::ZoneKilled => fleet.start(index),
                Fault::Deaf | Fault::Loss | Fault::LinkCut => {}
            }
        }
        match self {
            Fault::Loss => fleet.network.conditions = Conditions::NORMAL,
            Fault::Deaf | Fault::LinkCut => fleet.network.blocked_links.clear(),
            _ => {}
        }
    }
}
