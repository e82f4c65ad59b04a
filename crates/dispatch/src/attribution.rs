//! Which request a leaf's response belongs to.
//!
//! A leaf names in its response the request that it answers. A faulty leaf may send further bytes
//! after a response, and these arrive where the next response on the connection is expected. What
//! doesn't name the request counts as no response to it.
//!
//! The further bytes may be a second copy of the response. Its id tells it from the response to
//! another request, but not from the response to a later send of the same request. A connection
//! therefore carries each request once at most.

use jacinthfall_core::hash;
use jacinthfall_core::time::Time;

/// Request that a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// The request that was sent.
    Own,
    /// Another request, or several.
    Foreign,
    /// None. The bytes belong to no request, or the leaf names none in any response.
    Missing,
}

impl Attribution {
    /// Returns what a response says that answers the request with the id `sent`, given the ids that
    /// it names.
    ///
    /// ```
    /// use jacinthfall_dispatch::attribution::Attribution;
    /// let of = |echoed: &[&str]| Attribution::of(b"r-1", echoed.iter().map(|id| id.as_bytes()));
    /// assert_eq!(of(&["r-1"]), Attribution::Own);
    /// assert_eq!(of(&["r-2"]), Attribution::Foreign);
    /// assert_eq!(of(&["r-1", "r-2"]), Attribution::Foreign);
    /// assert_eq!(of(&[]), Attribution::Missing);
    /// ```
    #[must_use]
    pub fn of<'a>(sent: &[u8], echoed: impl IntoIterator<Item = &'a [u8]>) -> Attribution {
        let mut attribution = Attribution::Missing;
        for id in echoed {
            if id != sent {
                return Attribution::Foreign;
            }
            attribution = Attribution::Own;
        }
        attribution
    }

    /// Returns the name that is written to logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Attribution::Own => "own",
            Attribution::Foreign => "foreign",
            Attribution::Missing => "missing",
        }
    }
}

/// Maximum number of requests that a connection remembers.
const MAX_REQUESTS: usize = 1_024;

/// Hash of a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Id(u64);

impl Id {
    /// Returns the hash of an id as it is sent to leafs.
    ///
    /// ```
    /// use jacinthfall_dispatch::attribution::Id;
    /// assert_eq!(Id::of(b"9c41d07b"), Id::of(b"9c41d07b"));
    /// assert_ne!(Id::of(b"9c41d07b"), Id::of(b"9c41d07c"));
    /// ```
    #[must_use]
    pub fn of(id: &[u8]) -> Id {
        Id(hash::digest(id))
    }
}

/// A request that was sent over a connection.
#[derive(Clone, Copy, Debug)]
struct Request {
    id: Id,
    /// Until when it may be sent again.
    deadline: Time,
}

/// Requests that a connection has carried and that may be sent again.
///
/// ```
/// use jacinthfall_core::time::Time;
/// use jacinthfall_dispatch::attribution::{Carried, Id};
///
/// let (id, deadline) = (Id::of(b"9c41d07b"), Time::from_millis(800));
/// let mut carried = Carried::default();
/// carried.record(Time(0), id, deadline);
/// assert!(!carried.allows(Time::from_millis(1), id));
/// assert!(carried.allows(deadline, id));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Carried {
    requests: Vec<Request>,
}

impl Carried {
    /// Whether the connection may carry a request at `now`: it has not carried it before, and can
    /// remember it.
    #[must_use]
    pub fn allows(&self, now: Time, id: Id) -> bool {
        let is_remembered = |request: &Request| request.deadline > now;
        if self.requests.iter().any(|request| request.id == id && is_remembered(request)) {
            return false;
        }
        let is_full = || self.requests.iter().filter(|r| is_remembered(r)).count() >= MAX_REQUESTS;
        self.requests.len() < MAX_REQUESTS || !is_full()
    }

    /// Records that the connection carries a request, which may be sent again until `deadline`.
    ///
    /// # Panics
    ///
    /// If it must not carry it; see [`Carried::allows`].
    pub fn record(&mut self, now: Time, id: Id, deadline: Time) {
        assert!(self.allows(now, id), "a connection must carry a request once at most");
        self.requests.retain(|request| request.deadline > now);
        self.requests.push(Request { id, deadline });
    }
}
