//! Content of a bucket at one store revision: decoding, lookup, changes and
//! encoding.

use std::collections::BTreeMap;
use std::str;
use std::sync::Arc;

use jacinthfall_core::id;
use jacinthfall_core::time::{Time, Wall};

use crate::entry::{self, Entry, State};

/// Bytes reserved for the outcome of each open claim, so that a bucket that is full
/// of claims can still record how they end.
pub const OUTCOME_RESERVE_BYTES: usize = 384;

/// A value of the store that is not a bucket.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The value is not UTF-8 text.
    #[error("a claim bucket is not UTF-8; make sure that nothing else writes to its key: {0}")]
    Text(#[from] str::Utf8Error),
    /// A line is not a valid entry.
    #[error(transparent)]
    Entry(#[from] entry::Error),
}

/// An entry with its encoded line.
#[derive(Debug)]
struct Record {
    entry: Entry,
    line: String,
}

impl Record {
    fn size_bytes(&self) -> usize {
        let reserve = match self.entry.state {
            State::Claimed => OUTCOME_RESERVE_BYTES,
            State::NotRun { .. } | State::Done(_) => 0,
        };
        self.line.len() + 1 + reserve
    }

    fn quoted_id(&self) -> &str {
        quoted_id(&self.line)
    }
}

/// Returns the start of a line up to the first comma, which is the quoted request
/// id, because ids contain no comma.
fn quoted_id(line: &str) -> &str {
    line.split(',').next().unwrap_or(line)
}

/// The entries of one bucket at one store revision.
#[derive(Clone, Debug)]
pub struct View {
    /// Store revision, 0 if the key is absent.
    pub revision: u64,
    /// When the reply that showed this revision arrived.
    pub seen: Time,
    records: BTreeMap<id::Request, Arc<Record>>,
    size_bytes: usize,
}

impl View {
    /// Decodes a value of the store, which has one entry per line. Entries whose
    /// lines are unchanged since `before` are reused, because decoding is most of
    /// the cost.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub fn decode(
        revision: u64,
        seen: Time,
        value: &[u8],
        before: Option<&View>,
    ) -> Result<View, Error> {
        let mut known = before.into_iter().flat_map(|view| view.records.values()).peekable();
        let mut records = Vec::new();
        for line in str::from_utf8(value)?.lines() {
            // Both are sorted by id. This skips records whose lines changed or are gone.
            while known.next_if(|record| record.quoted_id() < quoted_id(line)).is_some() {}
            match known.next_if(|record| record.line == line) {
                Some(record) => records.push(Arc::clone(record)),
                None => {
                    let entry = Entry::decode(line)?;
                    records.push(Arc::new(Record { entry, line: line.to_owned() }));
                }
            }
        }
        let pairs = records.into_iter().map(|record| (record.entry.request.clone(), record));
        let mut view = View { revision, seen, records: pairs.collect(), size_bytes: 0 };
        view.size_bytes = view.records.values().map(|record| record.size_bytes()).sum();
        Ok(view)
    }

    /// Returns the size of the bucket in bytes, including the bytes reserved for
    /// outcomes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Encodes the value to be written to the store.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut value = Vec::with_capacity(self.size_bytes);
        for record in self.records.values() {
            value.extend_from_slice(record.line.as_bytes());
            value.push(b'\n');
        }
        value
    }

    /// Returns the entry of a request id.
    #[must_use]
    pub fn get(&self, request: &str) -> Option<&Entry> {
        self.records.get(request).map(|record| &record.entry)
    }

    /// Returns the same entries, as written at `revision`.
    #[must_use]
    pub fn with_revision(self, revision: u64, seen: Time) -> View {
        View { revision, seen, ..self }
    }

    /// Adds or replaces an entry, unless the size of the bucket would exceed
    /// `limit` bytes, including the bytes reserved for outcomes. Returns whether it
    /// was written.
    ///
    /// # Errors
    ///
    /// [`Error::Entry`] if it can't be encoded.
    pub fn put(&mut self, entry: Entry, limit: usize) -> Result<bool, Error> {
        let line = entry.encode()?;
        let record = Record { entry, line };
        let before = self.records.get(&record.entry.request).map_or(0, |old| old.size_bytes());
        if self.size_bytes - before + record.size_bytes() > limit {
            return Ok(false);
        }
        self.insert(record);
        Ok(true)
    }

    /// Removes entries issued before `oldest` and returns their number.
    pub fn prune(&mut self, oldest: Wall) -> usize {
        let count = self.records.len();
        self.records.retain(|_, record| record.entry.issued >= oldest);
        self.size_bytes = self.records.values().map(|record| record.size_bytes()).sum();
        count - self.records.len()
    }

    fn insert(&mut self, record: Record) {
        self.size_bytes += record.size_bytes();
        let old = self.records.insert(record.entry.request.clone(), Arc::new(record));
        self.size_bytes -= old.map_or(0, |old| old.size_bytes());
    }
}
