//! Merge of the rows of several shards.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use jacinthfall_core::query::Row;

/// Merges lists of rows, each in ascending order of key, into the first `limit` rows.
///
/// # Panics
///
/// If a key occurs twice, because the shards of one version are disjoint.
pub(crate) fn merge(lists: Vec<Vec<Row>>, limit: usize) -> Vec<Row> {
    let mut lists: Vec<_> = lists.into_iter().map(|rows| rows.into_iter().peekable()).collect();
    let mut heap = BinaryHeap::with_capacity(lists.len());
    for (index, list) in lists.iter_mut().enumerate() {
        if let Some(row) = list.next() {
            heap.push(Reverse((row, index)));
        }
    }
    let mut merged: Vec<Row> = Vec::new();
    while merged.len() < limit {
        let Some(Reverse((row, index))) = heap.pop() else { break };
        if let Some(next) = lists[index].next() {
            heap.push(Reverse((next, index)));
        }
        let is_new = merged.last().is_none_or(|last| last.key < row.key);
        assert!(is_new, "invariant: keys are unique across shards, but `{}` occurs twice", row.key);
        merged.push(row);
    }
    merged
}
