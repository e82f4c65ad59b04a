//! Locks for shared tables.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table and ignores poisoning: a panic in any thread aborts the process, so a
/// poisoned lock can only be seen while the process ends.
///
/// ```
/// let table = std::sync::Mutex::new(7);
/// assert_eq!(*jacinthfall::util::lock::lock(&table), 7);
/// ```
pub fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
