//! A table of the store as this instance knows it, and how old that is.

use crate::id::Time;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Bytes of a row beside its key and value: names of fields, lengths, version.
const ROW_OVERHEAD: usize = 24;

/// Removed rows that are remembered, to tell those who know an older version.
const MAX_REMOVED: usize = 1_000;

/// A row of a table, or the mark of one that was removed.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key.
    #[serde(rename = "k")]
    pub key: SmolStr,
    /// Version.
    #[serde(rename = "v")]
    pub version: u64,
    /// Value; `None` where the row is gone.
    #[serde(rename = "b", default)]
    #[serde_as(as = "Option<serde_with::Bytes>")]
    pub value: Option<Vec<u8>>,
}

/// News of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Version after which the rows changed; `None` where these are all rows.
    #[serde(rename = "s", default)]
    pub since: Option<u64>,
    /// Version that the table then has.
    #[serde(rename = "v")]
    pub version: u64,
    /// Rows.
    #[serde(rename = "r", default)]
    pub rows: Vec<TableRow>,
}

impl TableUpdate {
    /// Bytes of all rows as a message holds them.
    pub fn byte_size(&self) -> usize {
        let value = |row: &TableRow| row.value.as_ref().map_or(0, Vec::len);
        let rows = self.rows.iter();
        rows.map(|r| r.key.len() + value(r) + ROW_OVERHEAD).sum()
    }
}

/// What became of news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It was taken; the rows that differ from before.
    Changed(Vec<TableRow>),
    /// It is older than what is known.
    Stale,
    /// Something between what is known and the news is missing.
    Gap,
}

/// A table of the store as this instance knows it.
///
/// Versions never go back: news that is older than what is known changes
/// nothing and proves nothing.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<SmolStr, (u64, Vec<u8>)>,
    version: Option<u64>,
    last_change: u64,
    verified_at: Option<Time>,
    /// Removed rows with their versions, the oldest first.
    removed: VecDeque<(u64, SmolStr)>,
    /// Version since which all removed rows are remembered.
    removed_since: u64,
}

impl TableCopy {
    /// Version known.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Latest moment at which this was the newest version.
    pub fn verified_at(&self) -> Option<Time> {
        self.verified_at
    }

    /// Version of the latest change of a row. The store counts versions over
    /// all its tables, so that [`TableCopy::version`] rises without any.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Notes that `version`, whose latest change is `changed`, was the newest
    /// at `at`; returns whether this copy holds all of it.
    pub fn verify(&mut self, version: u64, changed: u64, at: Time) -> bool {
        let Some(known) = self.version else {
            return false;
        };
        if version < known || changed > known {
            return false;
        }
        self.version = Some(version);
        self.verified_at = self.verified_at.max(Some(at));
        true
    }

    /// Takes news.
    pub fn apply(&mut self, update: TableUpdate) -> ApplyOutcome {
        match (self.version, update.since) {
            (Some(known), _) if update.version < known => return ApplyOutcome::Stale,
            (None, Some(_)) => return ApplyOutcome::Gap,
            (Some(known), Some(since)) if since > known => return ApplyOutcome::Gap,
            _ => {}
        }
        self.version = Some(update.version);
        let mut changed = Vec::new();
        if update.since.is_none() {
            changed.extend(self.missing_from(&update.rows));
            // A list doesn't tell when what it lacks was removed.
            self.removed.clear();
            self.removed_since = update.version;
        }
        changed.extend(update.rows);
        changed.retain(|row| self.set(row));
        // The versions of rows that a complete list lacks are not known.
        let latest = match update.since {
            None => Some(update.version),
            Some(_) => changed.iter().map(|row| row.version).max(),
        };
        self.last_change = self.last_change.max(latest.unwrap_or(0));
        ApplyOutcome::Changed(changed)
    }

    /// What has changed since a version, or all rows where that is not known.
    pub fn updates_since(&self, known: Option<u64>) -> Option<TableUpdate> {
        let version = self.version?;
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
            version,
            rows: removed.chain(rows).collect(),
        })
    }

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

    /// Sets a row; returns whether it changed.
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
        // Rows that a list lacks bear the version that they had.
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
