//! Data types shared by all jacinthfall crates.
//!
//! The crate holds data only: identifiers, points in time, profiles, partition
//! maps, queries, answers, fates and timeline events. The policy crates that
//! depend on it implement the operations on them. Type names are single nouns
//! that the module qualifies: [`query::Answer`], [`profile::Profile`],
//! [`fate::Fate`].

pub mod coverage;
pub mod event;
pub mod fate;
pub mod hash;
pub mod history;
pub mod id;
pub mod leaf;
pub mod profile;
pub mod query;
pub mod record;
pub mod refusal;
pub mod service;
pub mod time;
