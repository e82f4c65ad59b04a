//! Configuration records, as stored in the platform's store.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::id;
use crate::profile::Profile;
use crate::service::Service;
use crate::time::Wall;

/// Prefix of the keys of configuration records in the store.
pub const PREFIX: &str = "config/";

/// Content of a configuration record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Settings for one kind of request.
    Profile(Arc<Profile>),
    /// Leafs and partition maps of one service.
    Service(Arc<Service>),
    /// Tombstone of a deleted record. It keeps the revision, so that an older revision
    /// can't restore the record.
    Deleted,
}

/// Who changed a record, when, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id of the change. If the reply of the store is lost, the id shows whether the change
    /// was written.
    pub id: Arc<str>,
    /// Author of the change.
    pub author: Arc<str>,
    /// When the change was requested.
    pub time: Wall,
    /// Reason for the change.
    pub cause: Arc<str>,
}

/// A configuration record. A node applies it only if its revision is higher than the one
/// in effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Key in the store, such as `config/profile/desk`.
    pub key: id::Name,
    /// Revision of the record: 1 when it is created, incremented by every change.
    pub revision: id::Revision,
    /// Change that created this revision.
    pub change: Change,
    /// Content of the record.
    pub body: Body,
}

/// An entry in the history of a record: one change and the revision that it created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Revision that the change created.
    pub revision: id::Revision,
    /// Who made the change, when, and why.
    pub change: Change,
}

/// Maximum number of changes in the history of a document.
pub const MAX_HISTORY: usize = 100;

/// Value that the store holds for a record's key: the record and its history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The record in effect.
    pub record: Record,
    /// The latest changes including the current one, oldest first.
    #[serde(default)]
    pub history: Vec<Edit>,
}

impl Document {
    /// Returns the document that follows `previous`, or the first one of a new record. Its
    /// revision is also higher than `in_force`, which a store that was restored may lack.
    ///
    /// ```
    /// use jacinthfall_core::id;
    /// use jacinthfall_core::record::{Body, Change, Document};
    /// use jacinthfall_core::time::Wall;
    /// let change = Change { id: "c".into(), author: "a".into(), time: Wall(1), cause: "x".into() };
    /// let key = || "config/profile/p".into();
    /// let none = id::Revision(0);
    /// let first = Document::next(None, none, key(), change.clone(), Body::Deleted);
    /// let second = Document::next(Some(&first), none, key(), change.clone(), Body::Deleted);
    /// assert_eq!(second.record.revision.0, 2);
    /// assert_eq!(second.history.len(), 2);
    /// let later = Document::next(Some(&first), id::Revision(5), key(), change, Body::Deleted);
    /// assert_eq!(later.record.revision.0, 6);
    /// ```
    #[must_use]
    pub fn next(
        previous: Option<&Document>,
        in_force: id::Revision,
        key: id::Name,
        change: Change,
        body: Body,
    ) -> Document {
        let stored = previous.map_or(0, |p| p.record.revision.0);
        let revision = id::Revision(stored.max(in_force.0) + 1);
        let mut history = previous.map_or_else(Vec::new, |p| p.history.clone());
        history.push(Edit { revision, change: change.clone() });
        let excess = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..excess);
        Document { record: Record { key, revision, change, body }, history }
    }
}

/// Returns the key of a profile's record.
///
/// ```
/// assert_eq!(&*jacinthfall_core::record::profile_key("desk"), "config/profile/desk");
/// ```
#[must_use]
pub fn profile_key(name: &str) -> id::Name {
    format!("{PREFIX}profile/{name}").into()
}

/// Returns the key of a service's record.
///
/// ```
/// assert_eq!(&*jacinthfall_core::record::service_key("bay-card"), "config/service/bay-card");
/// ```
#[must_use]
pub fn service_key(name: &str) -> id::Name {
    format!("{PREFIX}service/{name}").into()
}
