//! Frames that nodes exchange, with their binary codec.
//!
//! A node keeps one HTTP/2 stream to each peer that it sends to, and writes
//! length-prefixed, bincode-encoded [`Envelope`]s to it. Frames can be lost when the
//! connection fails; each subsystem recovers from that by itself.
//!
//! Bincode encodes fields and variants by position, so their order is part of the
//! format.

use bincode::config::{self, Configuration, Limit, LittleEndian, Varint};
use jacinthfall_core::id;
use serde::{Deserialize, Serialize};

pub mod configuration;
pub mod fate;
pub mod leaf;
pub mod member;
pub mod stamp;
pub mod status;
pub mod timeline;

pub use stamp::Stamp;

/// Maximum size of an encoded envelope without its length prefix, in bytes.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Size of the length prefix of an envelope, in bytes.
pub const PREFIX_BYTES: usize = 4;

/// Message to one of the receiver's subsystems.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Membership gossip.
    Member(member::Message),
    /// Synchronization of configuration records.
    Config(configuration::Message),
    /// Replication and lookup of fates.
    Fate(fate::Message),
    /// Collection of the timeline.
    Timeline(timeline::Message),
    /// Lookup of the configuration in effect.
    Status(status::Message),
    /// State changes of leafs.
    Leaf(leaf::Message),
}

/// A frame with its sender and timestamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender, in its current incarnation.
    pub from: id::Incarnation,
    /// Hybrid logical time at which it was sent.
    pub stamp: Stamp,
    /// Content of the envelope.
    pub frame: Frame,
}

/// Reason why an envelope could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The envelope can't be encoded.
    #[error("can't encode a frame; please report this as a bug: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The bytes are not a valid envelope.
    #[error("can't decode a frame; check that all nodes run the same release: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// The envelope exceeds [`MAX_BYTES`].
    #[error(
        "a frame of {0} bytes exceeds the limit of {MAX_BYTES} bytes; split it into smaller frames"
    )]
    TooLarge(usize),
}

const fn codec() -> Configuration<LittleEndian, Varint, Limit<MAX_BYTES>> {
    config::standard().with_limit::<MAX_BYTES>()
}

/// Encodes an envelope, preceded by its length prefix.
///
/// # Errors
///
/// Returns [`Error::Encode`] or [`Error::TooLarge`].
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, Error> {
    let body = bincode::serde::encode_to_vec(envelope, codec())?;
    let length = u32::try_from(body.len()).map_err(|_| Error::TooLarge(body.len()))?;
    if body.len() > MAX_BYTES {
        return Err(Error::TooLarge(body.len()));
    }
    let mut bytes = Vec::with_capacity(body.len() + PREFIX_BYTES);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes an envelope from the bytes that follow its length prefix.
///
/// # Errors
///
/// Returns [`Error::Decode`] if the bytes are not a valid envelope.
pub fn decode(body: &[u8]) -> Result<Envelope, Error> {
    let (envelope, _) = bincode::serde::decode_from_slice(body, codec())?;
    Ok(envelope)
}

/// Removes the first envelope from the front of `buffer` and returns it, or `None` if it
/// is not complete yet.
///
/// # Errors
///
/// Returns [`Error::Decode`] or [`Error::TooLarge`]. The byte stream is unusable
/// afterwards.
///
/// ```
/// let mut buffer = vec![9, 0, 0];
/// assert!(jacinthfall_wire::split_first(&mut buffer).unwrap().is_none());
/// ```
pub fn split_first(buffer: &mut Vec<u8>) -> Result<Option<Envelope>, Error> {
    let Some(prefix) = buffer.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > MAX_BYTES {
        return Err(Error::TooLarge(length));
    }
    let end = PREFIX_BYTES + length;
    if buffer.len() < end {
        return Ok(None);
    }
    let envelope = decode(&buffer[PREFIX_BYTES..end])?;
    buffer.drain(..end);
    Ok(Some(envelope))
}
