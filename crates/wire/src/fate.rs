//! Messages that replicate fates between nodes and look them up.
//!
//! A fate is sent and stored in [`Packed`] form. The packing is lossless: the end is
//! encoded as the difference from the arrival, and missed shards as runs with the same
//! cause.

use std::sync::Arc;

use bincode::error::DecodeError;
use jacinthfall_core::coverage::{Cause, Coverage, Missed};
use jacinthfall_core::fate::{Fate, Slowest, Span};
use jacinthfall_core::refusal::{self, Ran};
use jacinthfall_core::time::Wall;
use jacinthfall_core::{coverage, id};
use serde::{Deserialize, Serialize};

use crate::Error;

/// Maximum number of missed shards in a packed fate. It bounds the memory that decoding
/// takes, because a few bytes can encode a long run.
const MAX_MISSED_SHARDS: u64 = 1 << 20;

/// A fate in its compact binary encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Packed(Arc<[u8]>);

/// Copy of a fate, for the receiver to store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// Time since the fate was first recorded, in milliseconds.
    pub age_ms: u64,
    /// Fate in packed form.
    pub fate: Packed,
}

/// A message between the fate subsystems of nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sends copies to store; repeated until acknowledged.
    Copies {
        /// Id of the batch, echoed in the acknowledgement.
        batch: u64,
        /// Copies of the fates.
        copies: Vec<Copy>,
    },
    /// Acknowledges [`Message::Copies`].
    Ack {
        /// Id of the batch.
        batch: u64,
    },
    /// Asks for the fates of a request.
    Find {
        /// Token of the lookup, echoed in the reply.
        token: id::Token,
        /// Id of the request.
        request: id::Request,
    },
    /// Replies to [`Message::Find`].
    Found {
        /// Token of the lookup.
        token: id::Token,
        /// All fates of this request id that the sender holds, oldest first.
        fates: Vec<Fate>,
        /// Age up to which the records of the sender are complete, in milliseconds.
        reach_ms: u64,
        /// Whether fates of this request id were evicted because there were too many.
        trimmed: bool,
    },
}

/// Missed shards with consecutive numbers and the same cause.
#[derive(Serialize, Deserialize)]
struct Run {
    cause: Cause,
    first: id::Shard,
    count: u32,
}

/// Encoded form of [`Coverage`].
#[derive(Serialize, Deserialize)]
struct CompactCoverage {
    total: u32,
    answered: u32,
    missed: Vec<Run>,
}

/// Encoded form of a [`Fate`], the content of [`Packed`].
#[derive(Serialize, Deserialize)]
struct Compact {
    request: id::Request,
    profile: id::Name,
    caller: id::Name,
    node: id::Incarnation,
    arrived: Wall,
    /// Time from arrival to end, in milliseconds; negative if the clock was set back.
    took_ms: Option<i64>,
    ran: Ran,
    version: Option<id::Version>,
    coverage: Option<CompactCoverage>,
    refused: Option<refusal::Cause>,
    message: String,
    spans: Vec<Span>,
    slowest: Option<Slowest>,
    hedges: u32,
    retries: u32,
}

impl Packed {
    /// Returns the size of the encoded fate, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Encodes a fate.
///
/// ```
/// # use jacinthfall_core::{fate::Fate, id::Incarnation, refusal::Ran, time::Wall};
/// # let fate = Fate { request: "r".into(), profile: "p".into(), caller: "c".into(),
/// #     node: Incarnation { node: "n".into(), started: 1 }, arrived: Wall(2), ended: None,
/// #     ran: Ran::Unknown, version: None, coverage: None, refused: None,
/// #     message: String::new(), spans: vec![], slowest: None, hedges: 0, retries: 0 };
/// use jacinthfall_wire::fate;
/// assert_eq!(fate::unpack(&fate::pack(&fate)).unwrap(), fate);
/// ```
///
/// # Panics
///
/// Never: every fate can be encoded.
#[must_use]
pub fn pack(fate: &Fate) -> Packed {
    let compact = Compact {
        request: fate.request.clone(),
        profile: fate.profile.clone(),
        caller: fate.caller.clone(),
        node: fate.node.clone(),
        arrived: fate.arrived,
        took_ms: fate.ended.map(|ended| ended.0.wrapping_sub(fate.arrived.0).cast_signed()),
        ran: fate.ran,
        version: fate.version,
        coverage: fate.coverage.as_ref().map(compact_coverage),
        refused: fate.refused,
        message: fate.message.clone(),
        spans: fate.spans.clone(),
        slowest: fate.slowest.clone(),
        hedges: fate.hedges,
        retries: fate.retries,
    };
    let codec = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(compact, codec).expect("a fate can be encoded");
    Packed(bytes.into())
}

/// Decodes a fate.
///
/// # Errors
///
/// Returns [`Error::Decode`] if the bytes are corrupt or come from another release.
pub fn unpack(packed: &Packed) -> Result<Fate, Error> {
    let (compact, _): (Compact, usize) =
        bincode::serde::decode_from_slice(&packed.0, crate::codec())?;
    let ended = |took: i64| Wall(compact.arrived.0.wrapping_add(took.cast_unsigned()));
    Ok(Fate {
        request: compact.request,
        profile: compact.profile,
        caller: compact.caller,
        node: compact.node,
        arrived: compact.arrived,
        ended: compact.took_ms.map(ended),
        ran: compact.ran,
        version: compact.version,
        coverage: compact.coverage.map(expand_coverage).transpose()?,
        refused: compact.refused,
        message: compact.message,
        spans: compact.spans,
        slowest: compact.slowest,
        hedges: compact.hedges,
        retries: compact.retries,
    })
}

fn compact_coverage(coverage: &Coverage) -> CompactCoverage {
    let mut runs: Vec<Run> = Vec::new();
    for missed in &coverage.missed {
        match runs.last_mut() {
            Some(run) if extends(run, *missed) => run.count += 1,
            _ => runs.push(Run { cause: missed.cause, first: missed.shard, count: 1 }),
        }
    }
    CompactCoverage { total: coverage.total, answered: coverage.answered, missed: runs }
}

fn extends(run: &Run, missed: Missed) -> bool {
    run.cause == missed.cause && run.first.0.checked_add(run.count) == Some(missed.shard.0)
}

fn expand_coverage(compact: CompactCoverage) -> Result<Coverage, Error> {
    let count: u64 = compact.missed.iter().map(|run| u64::from(run.count)).sum();
    if count > MAX_MISSED_SHARDS {
        return Err(
            DecodeError::Other("the fate has more missed shards than the limit allows").into()
        );
    }
    let missed = compact.missed.iter().flat_map(|run| {
        let shards = (0..run.count).map(|offset| id::Shard(run.first.0.wrapping_add(offset)));
        shards.map(|shard| coverage::Missed { shard, cause: run.cause })
    });
    Ok(Coverage { total: compact.total, answered: compact.answered, missed: missed.collect() })
}
