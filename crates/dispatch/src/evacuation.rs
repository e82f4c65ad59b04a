//! Availability zones that are evacuated: nothing may be sent to the leafs in them.
//!
//! Answers an operator who takes a zone out of service. Every row carries the place of the zone's
//! key in the store's history. The latest place wins, whether it comes from a watch, a listing or
//! another node, and a removal leaves a tombstone. A node also knows up to which place its rows are
//! complete, so that rows that it hasn't got are known to be removed.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use serde::{Deserialize, Serialize};

/// Maximum number of rows that a node keeps and sends.
pub const MAX_ROWS: usize = 16;

/// Time after which the tombstone of an evacuation that has ended is dropped.
pub const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Time for which a node that reaches only nodes without any knowledge of evacuations, such as
/// those of an older build, waits for the store or another node.
pub const MAX_WAIT: Duration = Duration::from_secs(2);

/// Maximum length of a zone's name, in bytes, so that [`MAX_ROWS`] rows fit into a datagram.
const MAX_ZONE_BYTES: usize = 64;

/// Upper bound on the eras and revisions that other nodes state.
const MAX_PLAUSIBLE: u64 = 1 << 53;

/// Latest known change of one zone's key, in the form that nodes exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Availability zone.
    pub zone: id::Name,
    /// Place of the change.
    pub at: Position,
    /// Whether the zone is evacuated; else the row is a tombstone.
    pub evacuated: bool,
}

/// All that a node knows of evacuations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Zones that are evacuated, and tombstones.
    pub rows: Vec<Row>,
    /// Place up to which the rows are complete; the start if nothing is known.
    pub upto: Position,
}

/// Change of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Availability zone.
    pub zone: id::Name,
    /// Place of the change.
    pub at: Position,
    /// Whether the zone is evacuated from now on.
    pub evacuated: bool,
}

/// Why what another node states is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There are more than [`MAX_ROWS`] rows.
    #[error("{0} rows, allowed are {MAX_ROWS}; check that the node runs the same release")]
    Rows(usize),
    /// A place in the store's history is implausible.
    #[error("implausible place {0} in the store's history; check that the node is intact")]
    Position(Position),
    /// The name of a zone is empty, too long or has control characters.
    #[error("a zone name of {0} bytes that can't be used; check that the node is intact")]
    Zone(usize),
}

/// State of one zone.
#[derive(Clone, Copy, Debug)]
struct Known {
    at: Position,
    /// When the evacuation ended, as this node learnt it; `None` while the zone is evacuated.
    ended_at: Option<Time>,
}

/// The evacuations that this node knows.
#[derive(Debug, Default)]
pub struct Table {
    zones: BTreeMap<id::Name, Known>,
    /// Place up to which `zones` is complete.
    upto: Position,
    /// When this node first met a node without any knowledge, while it had none itself.
    uninformed_since: Option<Time>,
    /// Whether there are changes since the last [`Table::take_news`].
    is_news: bool,
}

impl Table {
    /// Applies a change that the store reported. Returns it if it is news.
    ///
    /// ```
    /// use jacinthfall_core::history::Position;
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::evacuation::Table;
    /// let mut table = Table::default();
    /// table.apply(Time(0), &"zone-a".into(), Position::new(0, 8), true);
    /// assert!(table.evacuated().contains("zone-a"));
    /// assert!(table.apply(Time(0), &"zone-a".into(), Position::new(0, 7), false).is_none());
    /// ```
    pub fn apply(
        &mut self,
        now: Time,
        zone: &id::Name,
        at: Position,
        evacuated: bool,
    ) -> Option<Change> {
        if !is_zone(zone) {
            return None;
        }
        let known = self.zones.get(zone).copied();
        let was_evacuated = known.is_some_and(|known| known.ended_at.is_none());
        match known {
            Some(known) if at <= known.at => return None,
            // The rows are complete up to a later place, so the key has been removed since.
            None if at <= self.upto => return None,
            None if !self.make_room(evacuated) => return None,
            _ => {}
        }
        let ended_at = (!evacuated).then_some(now);
        self.zones.insert(zone.clone(), Known { at, ended_at });
        self.is_news = true;
        (was_evacuated != evacuated).then(|| Change { zone: zone.clone(), at, evacuated })
    }

    /// Makes room for one more row by dropping the oldest tombstone, if needed. A tombstone doesn't
    /// displace another one. Returns `false` if there is no room.
    fn make_room(&mut self, evacuated: bool) -> bool {
        if self.zones.len() < MAX_ROWS {
            return true;
        }
        let tombstones = self.zones.iter().filter(|(_, known)| known.ended_at.is_some());
        let oldest = tombstones.min_by_key(|(_, known)| known.at).map(|(zone, _)| zone.clone());
        evacuated && oldest.is_some_and(|zone| self.zones.remove(&zone).is_some())
    }

    /// Applies a complete listing as of a place: the zones that are evacuated, with the place of
    /// each key. Other zones aren't, unless a later change is known. Returns what is news.
    pub fn apply_listing(
        &mut self,
        now: Time,
        listed: &[(id::Name, Position)],
        upto: Position,
    ) -> Vec<Change> {
        let named: HashSet<&id::Name> = listed.iter().map(|(zone, _)| zone).collect();
        let missing: Vec<id::Name> = self
            .zones
            .iter()
            .filter(|(zone, known)| {
                known.ended_at.is_none() && known.at < upto && !named.contains(zone)
            })
            .map(|(zone, _)| zone.clone())
            .collect();
        let ended = missing.iter().map(|zone| (zone, upto, false));
        let listed = listed.iter().map(|(zone, at)| (zone, *at, true));
        let changes: Vec<Change> = ended
            .chain(listed)
            .filter_map(|(zone, at, evacuated)| self.apply(now, zone, at, evacuated))
            .collect();
        self.upto = self.upto.max(upto);
        changes
    }

    /// Records that the changes after one place, up to another one, have been applied.
    pub fn advance(&mut self, after: Position, upto: Position) {
        if self.is_informed() && self.upto >= after {
            self.upto = self.upto.max(upto);
        }
    }

    /// Merges what another node states. Returns what is news.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; nothing of the statement has been applied then.
    pub fn merge(&mut self, now: Time, statement: &Statement) -> Result<Vec<Change>, Error> {
        check(statement)?;
        if statement.upto == Position::START {
            self.record_uninformed(now);
        }
        let rows = &statement.rows;
        let mut changes: Vec<Change> = rows
            .iter()
            .filter_map(|row| self.apply(now, &row.zone, row.at, row.evacuated))
            .collect();
        if statement.upto > self.upto {
            let evacuated = rows.iter().filter(|row| row.evacuated);
            let listed: Vec<(id::Name, Position)> =
                evacuated.map(|row| (row.zone.clone(), row.at)).collect();
            changes.extend(self.apply_listing(now, &listed, statement.upto));
        }
        Ok(changes)
    }

    /// Records that another node knows nothing of evacuations.
    pub fn record_uninformed(&mut self, now: Time) {
        self.uninformed_since.get_or_insert(now);
    }

    /// Drops old tombstones that a node with complete rows no longer needs.
    pub fn expire(&mut self, now: Time) {
        let upto = self.upto;
        self.zones.retain(|_, known| {
            let is_old = known.ended_at.is_some_and(|at| now.since(at) >= FORGET_AFTER);
            !is_old || known.at > upto
        });
    }

    /// Returns all that this node knows, for other nodes.
    #[must_use]
    pub fn statement(&self) -> Statement {
        let rows = self.zones.iter().map(|(zone, known)| Row {
            zone: zone.clone(),
            at: known.at,
            evacuated: known.ended_at.is_none(),
        });
        Statement { rows: rows.collect(), upto: self.upto }
    }

    /// Returns the zones that are evacuated.
    #[must_use]
    pub fn evacuated(&self) -> HashSet<id::Name> {
        let evacuated = self.zones.iter().filter(|(_, known)| known.ended_at.is_none());
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// Whether the state as of some place is known completely.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.upto > Position::START
    }

    /// Whether requests may be sent: the state is known, or only nodes without any knowledge
    /// could be reached for [`MAX_WAIT`].
    #[must_use]
    pub fn allows_requests(&self, now: Time) -> bool {
        self.is_informed() || self.uninformed_since.is_some_and(|at| now.since(at) >= MAX_WAIT)
    }

    /// Returns the place up to which the rows are complete.
    #[must_use]
    pub fn upto(&self) -> Position {
        self.upto
    }

    /// Whether there are no rows, tombstones included.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Whether there are changes since the last call.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.is_news)
    }
}

/// Whether a zone's name can be used.
fn is_zone(zone: &str) -> bool {
    (1..=MAX_ZONE_BYTES).contains(&zone.len()) && !zone.chars().any(char::is_control)
}

/// Checks what another node states.
fn check(statement: &Statement) -> Result<(), Error> {
    let rows = &statement.rows;
    if rows.len() > MAX_ROWS {
        return Err(Error::Rows(rows.len()));
    }
    let positions = rows.iter().map(|row| row.at).chain([statement.upto]);
    let is_implausible = |at: &Position| at.era > MAX_PLAUSIBLE || at.revision > MAX_PLAUSIBLE;
    if let Some(at) = positions.into_iter().find(is_implausible) {
        return Err(Error::Position(at));
    }
    match rows.iter().find(|row| !is_zone(&row.zone)) {
        Some(row) => Err(Error::Zone(row.zone.len())),
        None => Ok(()),
    }
}
