//! Decides whether queries that this node could answer without some lost shards are served by other
//! nodes, which may reach these shards.
//!
//! Answers the load of a shard whose leafs have all crashed: other nodes reach them no more than
//! this one, but can't tell before they have tried. One query at a time goes to another node until
//! an answer is whole, and none for a while after an answer that isn't.

use std::time::Duration;

use jacinthfall_core::time::Time;

/// First pause after an answer that wasn't whole; the pause doubles each time.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// Maximum pause after an answer that wasn't whole.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// What the queries sent to other nodes have shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Other nodes may answer whole, from this time on.
    Unknown(Time),
    /// A query is on its way to another node.
    Running,
    /// Other nodes answer whole.
    Whole,
}

/// Whether other nodes answer queries whole of which this node has lost some shards.
///
/// ```
/// use jacinthfall_core::time::Time;
/// use jacinthfall_dispatch::relay::Trial;
/// let mut trial = Trial::default();
/// assert!(trial.start(Time(0)));
/// assert!(!trial.start(Time(0)));
/// trial.end(Time(0), Some(true));
/// assert!(trial.start(Time(0)) && trial.start(Time(0)));
/// ```
#[derive(Debug)]
pub struct Trial {
    state: State,
    next_pause: Duration,
}

impl Default for Trial {
    fn default() -> Trial {
        Trial { state: State::Unknown(Time(0)), next_pause: FIRST_PAUSE }
    }
}

impl Trial {
    /// Returns whether a query may be sent to another node. If so, [`Trial::end`] must be called.
    pub fn start(&mut self, now: Time) -> bool {
        match self.state {
            State::Whole => true,
            State::Unknown(from) if from <= now => {
                self.state = State::Running;
                true
            }
            State::Unknown(_) | State::Running => false,
        }
    }

    /// Records whether the answer of another node was whole; `None` if the query was not sent or
    /// its caller left.
    pub fn end(&mut self, now: Time, is_whole: Option<bool>) {
        match (is_whole, self.state) {
            (Some(true), _) => *self = Trial { state: State::Whole, ..Trial::default() },
            (Some(false), State::Running | State::Whole) => {
                self.state = State::Unknown(now + self.next_pause);
                self.next_pause = (self.next_pause * 2).min(MAX_PAUSE);
            }
            (None, State::Running) => self.state = State::Unknown(now),
            (Some(false), State::Unknown(_)) | (None, State::Whole | State::Unknown(_)) => {}
        }
    }
}
