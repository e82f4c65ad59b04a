//! Places in the history of the platform's store.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// A place in the history of the platform's store; later places compare greater.
///
/// The store may return from an older copy of itself. Its revisions then go back and are given
/// out again, so a revision says nothing without its era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of times that the store has returned from a copy.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl Position {
    /// The place before every change.
    pub const START: Position = Position { era: 0, revision: 0 };

    /// Returns the place of a revision in an era.
    ///
    /// ```
    /// use jacinthfall_core::history::Position;
    /// assert!(Position::new(1, 3) > Position::new(0, 9));
    /// assert_eq!(Position::new(1, 3).to_string(), "1:3");
    /// assert_eq!(Position::new(0, 9).to_string(), "9");
    /// ```
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Position {
        Position { era, revision }
    }
}

impl Display for Position {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.revision),
            era => write!(f, "{era}:{}", self.revision),
        }
    }
}
