//! Transfer of a document from node to node, in pieces.
//!
//! A change of a large configuration is needed by all nodes at once, and few hold it at first.
//! If every node were sent it at the same time, each transfer would get a small part of the
//! link, and none would end soon. So a node sends it to a few others at a time, in [`Slots`], and
//! each of these can then send it too. What has arrived is kept in a [`Download`], which may
//! continue from another sender.

use std::collections::HashMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jacinthfall_core::hash;
use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use serde::{Deserialize, Serialize};

/// Maximum size of a piece, in bytes.
pub const MAX_PIECE_BYTES: usize = 64 * 1024;

/// Maximum size of a document in the form that is sent, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// Share of the link that transfers may use; the rest is left to requests.
const LINK_SHARE: f64 = 0.5;

/// Bandwidth that one transfer is expected to use, in megabits per second.
const TRANSFER_MBPS: f64 = 10.0;

/// Time without a request for a piece after which a receiver loses its slot.
const SLOT_LEASE: Duration = Duration::from_millis(500);

/// Order of the documents: a later version wins, wherever it stands in the store's history.
///
/// A store that returns from an older copy holds an older version at a later place.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// Version that the operator gave the document; 0 for no document.
    pub version: u64,
    /// Place of the document in the store's history.
    pub at: Position,
}

/// One version of the document, in the form that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edition {
    /// Rank of the document.
    pub rank: Rank,
    /// Digest of the bytes that are sent.
    pub digest: u64,
    /// Number of the bytes that are sent.
    pub length: usize,
}

impl Edition {
    /// Describes `bytes`, which hold the document of a rank.
    ///
    /// ```
    /// use jacinthfall_dispatch::transfer::{Edition, Rank};
    /// assert_eq!(Edition::of(Rank::default(), b"routes").length, 6);
    /// ```
    #[must_use]
    pub fn of(rank: Rank, bytes: &[u8]) -> Edition {
        Edition { rank, digest: hash::digest(bytes), length: bytes.len() }
    }
}

/// Consecutive bytes of an edition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Edition that the bytes belong to.
    pub edition: Edition,
    /// Position of the first byte.
    pub offset: usize,
    /// The bytes; at most [`MAX_PIECE_BYTES`].
    pub bytes: Bytes,
}

impl Piece {
    /// Cuts the piece at `offset` out of the bytes of an edition.
    #[must_use]
    pub fn cut(edition: Edition, bytes: &Bytes, offset: usize) -> Piece {
        let offset = offset.min(bytes.len());
        let end = bytes.len().min(offset + MAX_PIECE_BYTES);
        Piece { edition, offset, bytes: bytes.slice(offset..end) }
    }

    /// Whether it is the last piece of its edition.
    #[must_use]
    pub fn is_last(&self) -> bool {
        self.offset + self.bytes.len() >= self.edition.length
    }
}

/// How far a receiver is with an edition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The edition.
    pub edition: Edition,
    /// Number of bytes that have arrived.
    pub offset: usize,
}

/// Receivers that a node sends the document to at a time.
#[derive(Debug)]
pub struct Slots {
    limit: usize,
    /// Latest request for a piece of each receiver.
    leases: HashMap<id::Name, Time>,
}

impl Slots {
    /// Creates the slots of a node with a link of `link_mbps` megabits per second.
    ///
    /// ```
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::transfer::Slots;
    /// let mut slots = Slots::open(14.0);
    /// assert!(slots.admit(Time(0), &"a".into()));
    /// assert!(!slots.admit(Time(0), &"b".into()));
    /// ```
    #[must_use]
    pub fn open(link_mbps: f64) -> Slots {
        let limit = (link_mbps * LINK_SHARE / TRANSFER_MBPS) as usize;
        Slots { limit: limit.max(1), leases: HashMap::new() }
    }

    /// Gives a receiver a slot, or renews its slot; `false` if all slots are in use by others.
    pub fn admit(&mut self, now: Time, receiver: &id::Name) -> bool {
        self.leases.retain(|_, at| now.since(*at) < SLOT_LEASE);
        if !self.leases.contains_key(receiver) && self.leases.len() >= self.limit {
            return false;
        }
        self.leases.insert(receiver.clone(), now);
        true
    }

    /// Frees the slot of a receiver.
    pub fn release(&mut self, receiver: &str) {
        self.leases.remove(receiver);
    }
}

/// Why a piece can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It belongs to an older edition than the one that is being received.
    #[error("the piece belongs to an older version; ask another node")]
    Older,
    /// It doesn't continue what has arrived.
    #[error("the piece doesn't continue what has arrived; ask again")]
    Misplaced,
    /// The edition is larger than [`MAX_DOCUMENT_BYTES`], or the piece exceeds the edition.
    #[error("the document exceeds {MAX_DOCUMENT_BYTES} bytes or its own length; make it smaller")]
    TooLarge,
    /// The complete bytes don't have the digest of the edition.
    #[error("the document was damaged on the way; it is received anew")]
    Damaged,
}

/// A document that is being received.
#[derive(Debug, Default)]
pub struct Download {
    edition: Option<Edition>,
    bytes: BytesMut,
}

impl Download {
    /// Returns how far the download is; `None` if nothing has arrived.
    #[must_use]
    pub fn progress(&self) -> Option<Progress> {
        self.edition.map(|edition| Progress { edition, offset: self.bytes.len() })
    }

    /// Drops what has arrived.
    pub fn clear(&mut self) {
        self.edition = None;
        self.bytes.clear();
    }

    /// Adds a piece. Returns the document once it is complete. The first piece of a newer
    /// edition replaces what has arrived.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub fn accept(&mut self, piece: &Piece) -> Result<Option<(Edition, Bytes)>, Error> {
        if self.edition != Some(piece.edition) {
            self.restart(piece.edition)?;
        }
        if piece.offset != self.bytes.len() {
            return Err(Error::Misplaced);
        }
        if self.bytes.len() + piece.bytes.len() > piece.edition.length {
            self.clear();
            return Err(Error::TooLarge);
        }
        self.bytes.extend_from_slice(&piece.bytes);
        if self.bytes.len() < piece.edition.length {
            return Ok(None);
        }
        let bytes = self.bytes.split().freeze();
        self.clear();
        if hash::digest(&bytes) != piece.edition.digest {
            return Err(Error::Damaged);
        }
        Ok(Some((piece.edition, bytes)))
    }

    fn restart(&mut self, edition: Edition) -> Result<(), Error> {
        if self.edition.is_some_and(|current| current.rank > edition.rank) {
            return Err(Error::Older);
        }
        if edition.length > MAX_DOCUMENT_BYTES {
            return Err(Error::TooLarge);
        }
        self.clear();
        self.edition = Some(edition);
        Ok(())
    }
}
