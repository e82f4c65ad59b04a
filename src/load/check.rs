//! Checks replies and runs for violations of the contract.

use jacinthfall_core::id;
use jacinthfall_core::query::Scope;
use jacinthfall_core::refusal::Ran;
use thiserror::Error;

use crate::api::{Answer, Ask, Refusal};
use crate::load::mix::Kind;

/// A rule that an answer, a refusal or a run breaks.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// The reply belongs to another request.
    #[error("the reply is to request `{0}`")]
    Foreign(id::Request),
    /// Answered and missed shards don't add up to the total, or a missed shard is listed twice.
    #[error("coverage names {answered} answered and {missed} missed of {total} shards")]
    Coverage {
        /// Shards answered.
        answered: u32,
        /// Distinct shards missed.
        missed: usize,
        /// Shards addressed.
        total: u32,
    },
    /// Keys are not strictly ascending.
    #[error("key `{0}` is repeated or out of order")]
    Key(std::sync::Arc<str>),
    /// There are more rows than requested.
    #[error("{0} rows are more than requested")]
    Limit(usize),
    /// Coverage is full, but the number of rows is wrong.
    #[error("coverage is full, but the answer has {found} rows instead of {expected}")]
    Rows {
        /// Rows in the answer.
        found: usize,
        /// Rows expected.
        expected: usize,
    },
    /// A row does not repeat the text of the query and the version of the answer.
    #[error("row `{0}` belongs to another query or version")]
    Echo(std::sync::Arc<str>),
    /// An answer does not state that the request ran.
    #[error("an answer with rows states `{0:?}` instead of `Ran`")]
    Ran(Ran),
    /// A request that must not run twice ran more than once.
    #[error("it ran {0} times")]
    Runs(u64),
    /// A request that was refused as "not run" ran.
    #[error("it was refused as not run, but ran {0} times")]
    NotRun(u64),
    /// A request was answered that no leaf ran.
    #[error("it was answered, but no leaf ran it")]
    Unrun,
    /// The response violates the contract.
    #[error("{0}")]
    Contract(String),
}

/// Checks an answer. With `echo`, each row must repeat version, key and text.
#[must_use]
pub fn answer(ask: &Ask, kind: &Kind, echo: bool, answer: &Answer) -> Vec<Violation> {
    let mut found = Vec::new();
    if answer.request != ask.request {
        found.push(Violation::Foreign(answer.request.clone()));
    }
    if answer.ran != Ran::Ran {
        found.push(Violation::Ran(answer.ran));
    }
    found.extend(coverage(answer));
    found.extend(rows(ask, kind, answer));
    if echo {
        found.extend(echoes(ask, kind, answer));
    }
    found
}

/// Checks a refusal.
#[must_use]
pub fn refusal(ask: &Ask, refusal: &Refusal) -> Option<Violation> {
    (refusal.request != ask.request).then(|| Violation::Foreign(refusal.request.clone()))
}

/// Reply that the caller of a request that must not run twice received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It was answered.
    Answered,
    /// It was refused.
    Refused(Ran),
    /// No usable reply arrived.
    Nothing,
}

/// Checks the reply to a request against its number of runs at all leafs.
#[must_use]
pub fn runs(reply: Reply, runs: u64) -> Option<Violation> {
    match (reply, runs) {
        (_, 2..) => Some(Violation::Runs(runs)),
        (Reply::Refused(Ran::NotRun), 1) => Some(Violation::NotRun(runs)),
        (Reply::Answered, 0) => Some(Violation::Unrun),
        _ => None,
    }
}

fn coverage(answer: &Answer) -> Option<Violation> {
    let coverage = &answer.coverage;
    let mut shards: Vec<_> = coverage.missed.iter().map(|missed| missed.shard).collect();
    shards.sort_unstable();
    shards.dedup();
    if coverage.is_consistent() && shards.len() == coverage.missed.len() {
        return None;
    }
    Some(Violation::Coverage {
        answered: coverage.answered,
        missed: shards.len(),
        total: coverage.total,
    })
}

fn rows(ask: &Ask, kind: &Kind, answer: &Answer) -> Vec<Violation> {
    let mut found = Vec::new();
    let rows = &answer.rows;
    if let Some(pair) = rows.windows(2).find(|pair| pair[0].key >= pair[1].key) {
        found.push(Violation::Key(pair[1].key.clone()));
    }
    let limit = usize::try_from(ask.query.limit).unwrap_or(usize::MAX);
    if rows.len() > limit {
        found.push(Violation::Limit(rows.len()));
    }
    let expected = kind.rows.map_or(rows.len(), |rows| rows as usize).min(limit);
    if answer.coverage.is_full() && rows.len() != expected {
        found.push(Violation::Rows { found: rows.len(), expected });
    }
    found
}

fn echoes(ask: &Ask, kind: &Kind, answer: &Answer) -> Option<Violation> {
    let text = &ask.query.text;
    let version = answer.version;
    let is_valid = |row: &jacinthfall_core::query::Row| {
        if kind.once {
            return *row.value == *format!("v{version} run 1 {text}");
        }
        let is_requested = match &ask.query.scope {
            Scope::All => true,
            Scope::Key(key) => *key == row.key,
        };
        is_requested && *row.value == *format!("v{version} {} {text}", row.key)
    };
    let invalid = answer.rows.iter().find(|row| !is_valid(row))?;
    Some(Violation::Echo(invalid.key.clone()))
}
