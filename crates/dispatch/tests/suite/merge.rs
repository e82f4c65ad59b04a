use jacinthfall_dispatch::merge::{RECORD_BYTES, greatest};
use proptest::prelude::*;

/// Reference implementation: sorts all records.
fn sorted(parts: &[Vec<u8>], top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> =
        parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat()
}

proptest! {
    #[test]
    fn the_greatest_records_equal_those_of_a_full_sort(
        // Few distinct byte values produce equal records; the lengths produce remainders and
        // empty parts.
        parts in prop::collection::vec(prop::collection::vec(0_u8..3, 0..100), 0..8),
        top in 0_usize..12,
    ) {
        let merged = greatest(parts.iter().map(|part| &part[..]), top);
        prop_assert_eq!(&merged[..], &sorted(&parts, top)[..]);
    }
}
