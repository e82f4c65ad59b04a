//! In-memory store with compare-and-swap.

use std::collections::BTreeMap;

use jacinthfall_claim::Completion;
use jacinthfall_core::id::Name;

/// A call to the store.
#[derive(Clone, Debug)]
pub enum Op {
    Read { key: Name },
    Swap { key: Name, expect: u64, value: Vec<u8> },
}

/// Values by key, with their revisions.
#[derive(Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<Name, (u64, Vec<u8>)>,
}

impl Store {
    pub fn call(&mut self, op: Op) -> Completion {
        match op {
            Op::Read { key } => {
                let found = self.keys.get(&key).cloned();
                let revision = found.as_ref().map_or(0, |(revision, _)| *revision);
                Completion::Value { revision, value: found.map(|(_, value)| value) }
            }
            Op::Swap { key, expect, value } => {
                let revision = self.keys.get(&key).map_or(0, |(revision, _)| *revision);
                if revision != expect {
                    return Completion::Conflict { revision };
                }
                self.revision += 1;
                self.keys.insert(key, (self.revision, value));
                Completion::Swapped { revision: self.revision }
            }
        }
    }
}
