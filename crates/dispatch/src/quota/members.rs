//! The nodes that may grant, as this node remembers them.
//!
//! Answers large deployments, in which a node hears those of other zones every few seconds only, and
//! forgets some between two heartbeats. Nodes that disagree on who may grant divide their votes.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;

/// Time for which a node that is no longer known stays a member.
const MEMORY: Duration = Duration::from_secs(20);

/// Number of known nodes up to which they send every heartbeat to each other, so that one that is
/// no longer known is gone.
const MAX_SMALL_DEPLOYMENT: usize = 12;

/// When each node was last known.
#[derive(Debug, Default)]
pub struct Members(BTreeMap<id::Name, Time>);

impl Members {
    /// Records the nodes that are known now, and returns these and the remembered ones.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::quota::Members;
    /// let mut members = Members::default();
    /// assert_eq!(members.update(Time(0), ["a".into(), "b".into()]).len(), 2);
    /// assert_eq!(members.update(Time(1), ["a".into()]).len(), 1, "a small deployment");
    /// ```
    pub fn update(
        &mut self,
        now: Time,
        known: impl IntoIterator<Item = id::Name>,
    ) -> Vec<id::Name> {
        self.0.extend(known.into_iter().map(|name| (name, now)));
        let known = self.0.values().filter(|at| **at == now).count();
        let memory = if known > MAX_SMALL_DEPLOYMENT { MEMORY } else { Duration::ZERO };
        self.0.retain(|_, at| now.since(*at) <= memory);
        self.0.keys().cloned().collect()
    }
}
