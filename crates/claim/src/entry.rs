//! Entries of a bucket. Each holds the claim of one request id and, once it is
//! known, the outcome.

use jacinthfall_core::id;
use jacinthfall_core::query::Outcome;
use jacinthfall_core::refusal::{Cause, Ran, Refusal};
use jacinthfall_core::time::Wall;
use serde::{Deserialize, Serialize};

/// Longest encoded outcome that is recorded in full, in bytes.
pub const MAX_OUTCOME_BYTES: usize = 4_096;

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The attempt may dispatch the request, or has already done so.
    Claimed,
    /// The attempt ended without a run: it did not dispatch and never will.
    NotRun {
        /// When the node that held the claim ended the attempt, by its wall clock.
        ended: Wall,
    },
    /// The request was dispatched and ended with this outcome.
    Done(Outcome),
}

/// The claim of one request id: the reservation that allows a single attempt to
/// dispatch the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Id of the request.
    pub request: id::Request,
    /// Digest of the query.
    pub digest: u64,
    /// When the caller first issued the request. A known id with another issue
    /// time is another request.
    pub issued: Wall,
    /// The attempt that holds the claim.
    pub attempt: id::Attempt,
    /// State of the claim.
    pub state: State,
}

/// An entry that can't be decoded or encoded.
#[derive(Debug, thiserror::Error)]
#[error("an entry of a claim bucket is malformed; run the same release on all nodes: {0}")]
pub struct Error(#[from] serde_json::Error);

/// Stored form of an entry. It is an array, without field names, to keep buckets
/// small.
#[derive(Serialize, Deserialize)]
struct Line(id::Request, u64, Wall, id::Name, u64, u64, State);

impl Entry {
    /// Whether the entry belongs to a request with this digest and issue time.
    #[must_use]
    pub fn is_same_request(&self, digest: u64, issued: Wall) -> bool {
        self.digest == digest && self.issued == issued
    }

    /// Encodes the entry as one line of JSON, without the line break.
    ///
    /// # Errors
    ///
    /// [`Error`] if a field can't be encoded.
    pub fn encode(&self) -> Result<String, Error> {
        let origin = &self.attempt.origin;
        let line = Line(
            self.request.clone(),
            self.digest,
            self.issued,
            origin.node.clone(),
            origin.started,
            self.attempt.counter,
            self.state.clone(),
        );
        Ok(serde_json::to_string(&line)?)
    }

    /// Decodes an entry from one line.
    ///
    /// # Errors
    ///
    /// [`Error`] if the line is not a valid entry.
    ///
    /// ```
    /// use jacinthfall_claim::entry::{Entry, State};
    /// let entry = Entry::decode(r#"["invoice-7",9,1000,"kbely-1",500,3,"claimed"]"#).unwrap();
    /// assert_eq!(entry.state, State::Claimed);
    /// assert_eq!(entry.attempt.counter, 3);
    /// ```
    pub fn decode(line: &str) -> Result<Entry, Error> {
        let Line(request, digest, issued, node, started, counter, state) =
            serde_json::from_str(line)?;
        let origin = id::Incarnation { node, started };
        let attempt = id::Attempt { origin, counter };
        Ok(Entry { request, digest, issued, attempt, state })
    }
}

/// Returns the outcome in the form that is recorded: in full if it is small,
/// otherwise without rows or long messages. The retry delay is removed, because
/// a retry can't change a recorded outcome.
#[must_use]
pub fn compact(outcome: &Outcome) -> Outcome {
    let mut outcome = outcome.clone();
    if let Outcome::Refused(refusal) = &mut outcome {
        refusal.retry_after = None;
    }
    let length = serde_json::to_string(&outcome).map_or(usize::MAX, |text| text.len());
    if length <= MAX_OUTCOME_BYTES { outcome } else { summarize(&outcome) }
}

/// Returns the summary that replaces an outcome that is too large to be recorded
/// in full.
#[must_use]
pub fn summarize(outcome: &Outcome) -> Outcome {
    let (cause, ran, message) = match outcome {
        Outcome::Answered(answer) => {
            let coverage = &answer.coverage;
            let message = format!(
                "the request ran at version {} and {} of {} shards answered, but its rows were \
                 too large to be recorded; query the data to see the effect",
                answer.version, coverage.answered, coverage.total
            );
            (Cause::TooLarge, Ran::Ran, message)
        }
        Outcome::Refused(refusal) => {
            let message = "the details were too large to be recorded; see the trace of the request"
                .to_owned();
            (refusal.cause, refusal.ran, message)
        }
    };
    Outcome::Refused(Refusal { cause, ran, retry_after: None, message })
}
