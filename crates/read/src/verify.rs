//! Validation of replies from leafs.

use jacinthfall_core::id;
use jacinthfall_core::leaf::Reply;
use jacinthfall_core::query::Row;

use crate::layout::Layout;

/// Why a reply is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It belongs to another attempt, request or shard.
    Mismatched,
    /// Rows are missing, duplicated or belong to another shard.
    Malformed,
}

/// Checks that `reply` belongs to this attempt, request and shard and that its row
/// count is right.
pub(crate) fn check_identity(
    reply: &Reply,
    attempt: &id::Attempt,
    request: &id::Request,
    shard: id::Shard,
) -> Result<(), Fault> {
    let is_match = reply.attempt == *attempt && reply.request == *request && reply.shard == shard;
    if !is_match {
        return Err(Fault::Mismatched);
    }
    if reply.rows.len() as u64 != u64::from(reply.count) {
        return Err(Fault::Malformed);
    }
    Ok(())
}

/// Sorts `rows` by key and checks that the keys are distinct and, for a read, that they
/// belong to `shard` in the version of `layout`. A non-idempotent request returns a
/// receipt, which need not be a row of the index.
pub(crate) fn sort_rows(
    mut rows: Vec<Row>,
    layout: &Layout,
    shard: id::Shard,
    is_read: bool,
) -> Result<Vec<Row>, Fault> {
    let position = layout.position(shard);
    let is_stray = |row: &Row| layout.position_of(&row.key) != position;
    if is_read && (position.is_none() || rows.iter().any(is_stray)) {
        return Err(Fault::Malformed);
    }
    if !rows.is_sorted() {
        rows.sort_unstable();
    }
    if rows.windows(2).any(|pair| pair[0].key == pair[1].key) {
        return Err(Fault::Malformed);
    }
    Ok(rows)
}
