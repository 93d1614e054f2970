//! An instance's local copy of a table of the store, and how new it is.

use crate::fleet::CopyStatus;
use crate::id::{Era, Time};
use crate::transfer::{delta, digest};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Bytes of an encoded row besides its key and value: field names, lengths and
/// version.
const ROW_OVERHEAD: usize = 24;

/// Removed rows that are remembered, for updates to copies of an older version.
const MAX_REMOVED: usize = 1_000;

/// Size in bytes from which a value that changes is kept as a step too.
const MIN_STEP_VALUE: usize = 4 << 10;
/// Bytes of steps that are kept of a table: some hundred changes of a configuration of
/// thousands of routes.
const STEPS_BYTES: usize = 1 << 20;
/// Bytes of a step besides its difference.
const STEP_OVERHEAD: usize = 64;
/// Proofs that wait for the rows that they are about: those of three seconds of pulses.
const MAX_PROOFS: usize = 16;

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

/// Change of a large row's value, as the difference from the former value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowStep {
    /// Key of the row.
    pub key: SmolStr,
    /// Version of the former value.
    pub from: u64,
    /// Version of the value.
    pub to: u64,
    /// Digest of the value.
    pub digest: u64,
    /// Difference.
    pub delta: Vec<u8>,
}

impl RowStep {
    fn byte_size(&self) -> usize {
        self.delta.len() + STEP_OVERHEAD
    }
}

/// Row of a copy: its key, the version of its last change, and its value, which is
/// `None` where it was removed.
pub(crate) type RowRef<'a> = (&'a SmolStr, u64, Option<&'a [u8]>);

/// Proof that a position, with the table's latest change in a version, was the newest
/// one at a time.
type Proof = (Position, u64, Time);

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
    /// Whether a step is kept of each large value that changes.
    makes_steps: bool,
    /// Steps of large rows, the oldest first.
    steps: VecDeque<RowStep>,
    steps_bytes: usize,
    /// Proofs that came before the rows that they are about.
    proofs: VecDeque<Proof>,
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
        if position < known {
            return false;
        }
        if changed > known.version {
            self.proofs.push_back((position, changed, at));
            if self.proofs.len() > MAX_PROOFS {
                self.proofs.pop_front();
            }
            return false;
        }
        self.position = Some(position);
        self.verified = self.verified.max(Some((position.era, at)));
        true
    }

    /// Counts the proofs whose rows have come. A copy that is newer than what a proof is
    /// about had no later change at its time.
    fn redeem_proofs(&mut self) {
        let Some(known) = self.position.filter(|known| known.era == self.latest_era) else {
            return;
        };
        let verified = &mut self.verified;
        self.proofs.retain(|(position, changed, at)| {
            let is_due = position.era == known.era && *changed <= known.version;
            if is_due {
                *verified = (*verified).max(Some((known.era, *at)));
            }
            !is_due && position.era >= known.era
        });
    }

    /// Sets whether a step is kept of each large value that changes, for instances that
    /// have the former value.
    pub fn make_steps(&mut self, makes_steps: bool) {
        self.makes_steps = makes_steps;
    }

    /// Keeps steps that came with an update, which is applied next.
    pub fn keep_steps(&mut self, steps: Vec<RowStep>) {
        for step in steps {
            let is_known = |s: &RowStep| s.key == step.key && s.to == step.to;
            if !self.steps.iter().any(is_known) {
                self.push_step(step);
            }
        }
    }

    fn push_step(&mut self, step: RowStep) {
        self.steps_bytes += step.byte_size();
        self.steps.push_back(step);
        while self.steps_bytes > STEPS_BYTES
            && let Some(oldest) = self.steps.pop_front()
        {
            self.steps_bytes -= oldest.byte_size();
        }
    }

    /// Returns the steps of a row from the value of table version `known` to the
    /// present one; `None` where they are not all kept or larger than the value.
    pub(crate) fn steps_since(&self, key: &str, known: u64) -> Option<Vec<&RowStep>> {
        let (mut version, value) = self.row(key)?;
        let mut chain = Vec::new();
        let mut bytes = 0;
        for step in self.steps.iter().rev().filter(|step| step.key == key) {
            if version <= known {
                break;
            }
            if step.to == version {
                bytes += step.byte_size();
                version = step.from;
                chain.push(step);
            }
        }
        chain.reverse();
        (version <= known && bytes < value.len()).then_some(chain)
    }

    /// Returns the version and the value of a row.
    pub fn row(&self, key: &str) -> Option<(u64, &[u8])> {
        let (version, value) = self.rows.get(key)?;
        Some((*version, value))
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
        // Rows that the copy has already, as they changed while its first pages were
        // read, are changes all the same. The versions of the removals that a complete
        // list implies are not known.
        let latest = match update.since {
            None => Some(update.version),
            Some(_) => update.rows.iter().map(|row| row.version).max(),
        };
        let mut changed = Vec::new();
        if update.since.is_none() {
            changed.extend(self.missing_from(&update.rows));
            // A complete list of rows doesn't say when the missing ones were removed.
            self.removed.clear();
            self.removed_since = update.version;
        }
        changed.extend(update.rows);
        changed.retain(|row| self.set(row));
        self.last_change = self.last_change.max(latest.unwrap_or(0));
        self.redeem_proofs();
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
        self.steps.clear();
        self.steps_bytes = 0;
        self.redeem_proofs();
        changed
    }

    /// Returns the changes since version `known` of the copy's era, or all rows where
    /// those changes are not known; `None` where nothing has been read yet.
    pub fn updates_since(&self, known: Option<u64>) -> Option<TableUpdate> {
        let Position { era, version } = self.position?;
        let (since, rows) = self.changes_since(known);
        let rows = rows.into_iter().map(|(key, version, value)| TableRow {
            key: key.clone(),
            version,
            value: value.map(<[u8]>::to_vec),
        });
        Some(TableUpdate {
            since,
            era,
            version,
            rows: rows.collect(),
        })
    }

    /// Returns what [`TableCopy::updates_since`] does without copies of the values.
    pub(crate) fn changes_since(&self, known: Option<u64>) -> (Option<u64>, Vec<RowRef<'_>>) {
        let since = known.filter(|known| self.has_changes_since(*known));
        let after = since.unwrap_or(0);
        let is_new = |version: u64| since.is_none() || version > after;
        let removed = self.removed.iter().filter(|(version, _)| *version > after);
        let removed = removed.filter(|(_, key)| since.is_some() && !self.rows.contains_key(key));
        let removed = removed.map(|(version, key)| (key, *version, None));
        let rows = self.rows.iter().filter(|(_, (v, _))| is_new(*v));
        let rows = rows.map(|(key, (version, value))| (key, *version, Some(value.as_slice())));
        (since, removed.chain(rows).collect())
    }

    /// Returns about how many bytes the rows of [`TableCopy::updates_since`] take up.
    pub fn changes_size(&self, known: Option<u64>) -> usize {
        let (_, rows) = self.changes_since(known);
        let rows = rows.into_iter();
        rows.map(|(key, _, value)| key.len() + value.map_or(0, <[u8]>::len) + ROW_OVERHEAD)
            .sum()
    }

    /// Returns whether all changes since a version of the copy's era are known.
    pub(crate) fn has_changes_since(&self, version: u64) -> bool {
        version >= self.removed_since
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
                self.make_step(row, value);
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

    /// Keeps the step from the present value of a row to a new one, where both are large.
    fn make_step(&mut self, row: &TableRow, value: &[u8]) {
        let Some((from, former)) = self.rows.get(&row.key).filter(|_| self.makes_steps) else {
            return;
        };
        let is_known = |s: &RowStep| s.key == row.key && s.to == row.version;
        if former.len().min(value.len()) < MIN_STEP_VALUE || self.steps.iter().any(is_known) {
            return;
        }
        let step = RowStep {
            key: row.key.clone(),
            from: *from,
            to: row.version,
            digest: digest(value),
            delta: delta::encode(former, value),
        };
        self.push_step(step);
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
