//! Stable hashes, used for routing and to detect a reused request id.

use twox_hash::XxHash64;

/// Seed of every hash. It must be the same on all nodes, which route by these hashes.
const SEED: u64 = 0x6a61_6369_6e74_6866;

/// Hashes `bytes` to 64 bits. The result is the same on every node and in every release.
///
/// ```
/// use jacinthfall_core::hash;
/// assert_eq!(hash::digest(b"bay-7"), hash::digest(b"bay-7"));
/// assert_ne!(hash::digest(b"bay-7"), hash::digest(b"bay-8"));
/// ```
#[must_use]
pub fn digest(bytes: &[u8]) -> u64 {
    XxHash64::oneshot(SEED, bytes)
}

/// Returns the rendezvous hashing weight of `candidate` for `key`; the candidate
/// with the highest weight is selected.
///
/// ```
/// use jacinthfall_core::hash;
/// assert_ne!(hash::weight("bucket-1", "node-a"), hash::weight("bucket-1", "node-b"));
/// ```
#[must_use]
pub fn weight(key: &str, candidate: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + candidate.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(candidate.as_bytes());
    digest(&bytes)
}

/// Maps a hash to the interval from 0 to 1.
///
/// ```
/// use jacinthfall_core::hash;
/// assert_eq!(hash::unit_interval(0), 0.0);
/// assert!(hash::unit_interval(hash::digest(b"node-1")) <= 1.0);
/// ```
#[must_use]
pub fn unit_interval(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
