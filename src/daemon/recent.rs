//! Recently used request ids, to detect an id that is reused for another query.

use std::collections::{BTreeMap, VecDeque};

use jacinthfall_core::id;

/// Maximum number of ids; beyond it, the oldest are evicted.
const MAX_IDS: usize = 65_536;

/// Whether a request id was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// The id was not used before, or was evicted since.
    New,
    /// The id was used for the same query.
    SameQuery,
    /// The id was used for another query.
    OtherQuery,
}

/// Bounded table of request ids with the digests of their queries.
#[derive(Debug, Default)]
pub struct Recent {
    digests: BTreeMap<id::Request, u64>,
    order: VecDeque<id::Request>,
}

impl Recent {
    /// Checks an id and adds it if it is new.
    ///
    /// ```
    /// use jacinthfall::daemon::recent::{Recent, Reuse};
    /// let mut recent = Recent::default();
    /// assert_eq!(recent.check(&"r".into(), 1), Reuse::New);
    /// assert_eq!(recent.check(&"r".into(), 1), Reuse::SameQuery);
    /// assert_eq!(recent.check(&"r".into(), 2), Reuse::OtherQuery);
    /// ```
    pub fn check(&mut self, request: &id::Request, digest: u64) -> Reuse {
        match self.digests.get(request) {
            Some(&known) if known == digest => return Reuse::SameQuery,
            Some(_) => return Reuse::OtherQuery,
            None => (),
        }
        if self.order.len() == MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.digests.remove(&oldest);
        }
        self.digests.insert(request.clone(), digest);
        self.order.push_back(request.clone());
        Reuse::New
    }
}
