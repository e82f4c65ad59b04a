//! Merges the parts of a query over shards into the greatest fixed-size records.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bytes::{Bytes, BytesMut};

/// Size of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all parts, greatest first.
///
/// Records are compared byte by byte; duplicates are kept. A trailing remainder shorter
/// than a record is ignored.
///
/// ```
/// use jacinthfall_dispatch::merge::greatest;
/// let parts = [[b'a'; 16].to_vec(), [[b'c'; 16], [b'b'; 16]].concat(), b"short".to_vec()];
/// let merged = greatest(parts.iter().map(|part| &part[..]), 2);
/// assert_eq!(merged, [[b'c'; 16], [b'b'; 16]].concat());
/// ```
#[must_use]
pub fn greatest<'a>(parts: impl Iterator<Item = &'a [u8]>, top: usize) -> Bytes {
    let mut heap: BinaryHeap<Reverse<&[u8]>> = BinaryHeap::with_capacity(top + 1);
    for part in parts {
        for record in part.chunks_exact(RECORD_BYTES) {
            if heap.len() < top {
                heap.push(Reverse(record));
            } else if heap.peek().is_some_and(|least| record > least.0) {
                heap.pop();
                heap.push(Reverse(record));
            }
        }
    }
    let mut merged = BytesMut::with_capacity(heap.len() * RECORD_BYTES);
    for Reverse(record) in heap.into_sorted_vec() {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}
