//! An instance's local copy of a table of the store, and how new it is.

use crate::fleet::CopyStatus;
use crate::id::{Era, Time};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Bytes of an encoded row besides its key and value: field names, lengths and
/// version.
const ROW_OVERHEAD: usize = 24;

/// Removed rows that are remembered, for updates to copies of an older version.
const MAX_REMOVED: usize = 1_000;

/// Position in the history of the store.
///
/// Positions are ordered by era first: the store gives out the versions of an
/// earlier era again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Position {
    /// Era.
    pub era: Era,
    /// Version within the era.
    pub version: u64,
}

/// A row of a table, or the removal of one.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key.
    #[serde(rename = "k")]
    pub key: SmolStr,
    /// Version of the table in which the row was last changed.
    #[serde(rename = "v")]
    pub version: u64,
    /// Value; `None` where the row was removed.
    #[serde(rename = "b", default)]
    #[serde_as(as = "Option<serde_with::Bytes>")]
    pub value: Option<Vec<u8>>,
}

/// Changes of a table, or all of its rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Version of the same era since which the rows changed; `None` where the update
    /// has all rows of the table.
    #[serde(rename = "s", default)]
    pub since: Option<u64>,
    /// Era of the store.
    #[serde(rename = "e", default)]
    pub era: Era,
    /// Version of the table with the update applied.
    #[serde(rename = "v")]
    pub version: u64,
    /// Rows.
    #[serde(rename = "r", default)]
    pub rows: Vec<TableRow>,
}

impl TableUpdate {
    /// Returns the position of the table with the update applied.
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            version: self.version,
        }
    }

    /// Returns about how many bytes the rows take up in a message.
    pub fn byte_size(&self) -> usize {
        let value = |row: &TableRow| row.value.as_ref().map_or(0, Vec::len);
        let rows = self.rows.iter();
        rows.map(|r| r.key.len() + value(r) + ROW_OVERHEAD).sum()
    }
}

/// Result of applying an update to a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The update was applied, and these rows of the copy changed.
    Changed(Vec<TableRow>),
    /// The update replaced a copy of an earlier era, in which these rows had another
    /// value.
    Replaced(Vec<TableRow>),
    /// The update is older than the copy and was ignored.
    Stale,
    /// Changes between the copy and the update are missing, so that it was ignored.
    Gap,
}

/// Copy of a table of the store.
///
/// Its position never goes back: an update that is older than the copy changes
/// nothing and proves nothing. Nothing proves a copy of an earlier era than the
/// latest one that was heard of, because the answer may come from a part of the
/// store that lags behind.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<SmolStr, (u64, Vec<u8>)>,
    position: Option<Position>,
    /// Latest era of the store that was heard of.
    latest_era: Era,
    /// Version of the latest change of a row, in the era of the copy.
    last_change: u64,
    /// Latest time at which the copy was proved to be the newest one, and the era
    /// that it was of then.
    verified: Option<(Era, Time)>,
    /// Removed rows with the versions of their removal, the oldest first.
    removed: VecDeque<(u64, SmolStr)>,
    /// Version since which `removed` is complete.
    removed_since: u64,
}

impl TableCopy {
    /// Returns the position of the copy; `None` where nothing has been read yet.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the latest time at which the copy was proved to be the newest version,
    /// in any era.
    pub fn verified_at(&self) -> Option<Time> {
        self.verified.map(|(_, at)| at)
    }

    /// Returns the position of the latest change of a row.
    ///
    /// The store counts versions over all its tables, so that the version of
    /// [`TableCopy::position`] rises without a change of this table too.
    pub fn last_change(&self) -> Option<Position> {
        let position = self.position?;
        Some(Position {
            version: self.last_change,
            ..position
        })
    }

    /// Returns the state of the copy for other instances; `None` where it has not
    /// been proved in its era.
    pub fn status(&self, now: Time) -> Option<CopyStatus> {
        let position = self.position?;
        let (_, at) = self.verified.filter(|(era, _)| *era == position.era)?;
        Some(CopyStatus {
            version: position.version,
            changed: self.last_change,
            age_ms: now.saturating_sub(at).as_millis() as u32,
            era: position.era,
        })
    }

    /// Returns the latest era of the store that was heard of.
    pub fn latest_era(&self) -> Era {
        self.latest_era
    }

    /// Records that the store has been in an era.
    pub fn note_era(&mut self, era: Era) {
        self.latest_era = self.latest_era.max(era);
    }

    /// Records that `position`, with the table's latest change in version `changed`,
    /// was the newest one at `at`. Returns whether the copy has all of its changes.
    pub fn verify(&mut self, position: Position, changed: u64, at: Time) -> bool {
        self.note_era(position.era);
        let Some(known) = self.position.filter(|known| known.era == self.latest_era) else {
            return false;
        };
        if position < known || changed > known.version {
            return false;
        }
        self.position = Some(position);
        self.verified = self.verified.max(Some((position.era, at)));
        true
    }

    /// Applies an update.
    pub fn apply(&mut self, update: TableUpdate) -> ApplyOutcome {
        let position = update.position();
        self.note_era(position.era);
        match (self.position, update.since) {
            (Some(known), _) if position < known => return ApplyOutcome::Stale,
            (None, Some(_)) => return ApplyOutcome::Gap,
            (Some(known), Some(_)) if position.era > known.era => return ApplyOutcome::Gap,
            (Some(known), Some(since)) if since > known.version => return ApplyOutcome::Gap,
            (Some(known), None) if position.era > known.era => {
                return ApplyOutcome::Replaced(self.replace(update));
            }
            _ => {}
        }
        self.position = Some(position);
        let mut changed = Vec::new();
        if update.since.is_none() {
            changed.extend(self.missing_from(&update.rows));
            // A complete list of rows doesn't say when the missing ones were removed.
            self.removed.clear();
            self.removed_since = update.version;
        }
        changed.extend(update.rows);
        changed.retain(|row| self.set(row));
        // The versions of the removals that a complete list implies are not known.
        let latest = match update.since {
            None => Some(update.version),
            Some(_) => changed.iter().map(|row| row.version).max(),
        };
        self.last_change = self.last_change.max(latest.unwrap_or(0));
        ApplyOutcome::Changed(changed)
    }

    /// Replaces a copy of an earlier era, whose versions mean nothing any more, and
    /// returns the rows whose values differ.
    fn replace(&mut self, list: TableUpdate) -> Vec<TableRow> {
        let mut changed = self.missing_from(&list.rows);
        let former = std::mem::take(&mut self.rows);
        for row in list.rows {
            let Some(value) = &row.value else { continue };
            self.rows
                .insert(row.key.clone(), (row.version, value.clone()));
            if former.get(&row.key).is_none_or(|(_, known)| known != value) {
                changed.push(row);
            }
        }
        self.position = Some(Position {
            era: list.era,
            version: list.version,
        });
        self.last_change = list.version;
        self.removed.clear();
        self.removed_since = list.version;
        changed
    }

    /// Returns the changes since version `known` of the copy's era, or all rows where
    /// those changes are not known; `None` where nothing has been read yet.
    pub fn updates_since(&self, known: Option<u64>) -> Option<TableUpdate> {
        let Position { era, version } = self.position?;
        let since = known.filter(|known| *known >= self.removed_since);
        let after = since.unwrap_or(0);
        let is_new = |version: u64| since.is_none() || version > after;
        let removed = self.removed.iter().filter(|(version, _)| *version > after);
        let removed = removed.filter(|(_, key)| since.is_some() && !self.rows.contains_key(key));
        let removed = removed.map(|(version, key)| TableRow {
            key: key.clone(),
            version: *version,
            value: None,
        });
        let rows = self.rows.iter().filter(|(_, (v, _))| is_new(*v));
        let rows = rows.map(|(key, (version, value))| TableRow {
            key: key.clone(),
            version: *version,
            value: Some(value.clone()),
        });
        Some(TableUpdate {
            since,
            era,
            version,
            rows: removed.chain(rows).collect(),
        })
    }

    /// Returns removals of the rows that a complete list lacks.
    fn missing_from(&self, list: &[TableRow]) -> Vec<TableRow> {
        let listed: BTreeSet<&SmolStr> = list.iter().map(|r| &r.key).collect();
        let missing = self.rows.iter().filter(|(key, _)| !listed.contains(key));
        missing
            .map(|(key, (version, _))| TableRow {
                key: key.clone(),
                version: *version,
                value: None,
            })
            .collect()
    }

    /// Sets a row unless the copy has this version of it or a newer one, or removes
    /// it unless the copy has a newer one. Returns whether the copy changed.
    fn set(&mut self, row: &TableRow) -> bool {
        match (self.rows.get(&row.key), &row.value) {
            (Some((known, _)), _) if row.version < *known => false,
            (Some((known, _)), Some(_)) if row.version == *known => false,
            (_, Some(value)) => {
                let new = (row.version, value.clone());
                self.rows.insert(row.key.clone(), new);
                true
            }
            (_, None) => {
                self.record_removal(row);
                self.rows.remove(&row.key).is_some()
            }
        }
    }

    fn record_removal(&mut self, row: &TableRow) {
        // Removals that a complete list implies have the version of the former row.
        if row.version <= self.removed_since {
            return;
        }
        self.removed.push_back((row.version, row.key.clone()));
        if self.removed.len() > MAX_REMOVED
            && let Some((version, _)) = self.removed.pop_front()
        {
            self.removed_since = version;
        }
    }
}
