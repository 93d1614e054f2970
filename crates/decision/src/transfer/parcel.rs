//! Rows of a table packed for transfer.

use super::delta::{self, push_bytes, push_number, take_bytes, take_number};
use super::{MAX_PARCEL_BYTES, MAX_TABLE_BYTES};
use crate::hash::hash_parts;
use crate::id::Era;
use crate::table_copy::{Position, RowStep, TableCopy, TableRow, TableUpdate};
use smol_str::SmolStr;

/// Kinds of rows in a parcel.
const REMOVED: u64 = 0;
const WHOLE: u64 = 1;
const STEPS: u64 = 2;

/// Names the bytes of a parcel or of a row's value.
pub(crate) fn digest(bytes: &[u8]) -> u64 {
    hash_parts(&[bytes])
}

/// Changes of a table, or all of its rows, packed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parcel {
    /// Version since which the rows changed; `None` where it has all rows.
    pub since: Option<u64>,
    /// Era of the store.
    pub era: Era,
    /// Version of the table with the changes applied.
    pub version: u64,
    /// Name of the bytes.
    pub digest: u64,
    /// Packed rows.
    pub bytes: Vec<u8>,
}

/// Why a parcel can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// Its bytes are not a parcel's.
    Malformed,
    /// It has steps from a value that the copy doesn't have.
    OtherBase,
}

/// What a parcel contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contents {
    /// Update with the whole rows.
    pub update: TableUpdate,
    /// Steps by which large rows changed.
    pub steps: Vec<RowStep>,
}

impl Parcel {
    /// Packs the changes of a copy since version `known`, or all of its rows; `None`
    /// where nothing has been read yet or the rows are larger than a table may be.
    pub fn pack(copy: &TableCopy, known: Option<u64>) -> Option<Parcel> {
        let Position { era, version } = copy.position()?;
        let (since, rows) = copy.changes_since(known);
        let mut plain = Vec::new();
        push_number(&mut plain, rows.len() as u64);
        for (key, row_version, value) in rows {
            push_bytes(&mut plain, key.as_bytes());
            push_number(&mut plain, row_version);
            match (value, since) {
                (None, _) => push_number(&mut plain, REMOVED),
                (Some(value), Some(since)) => match copy.steps_since(key, since) {
                    Some(steps) => push_steps(&mut plain, &steps),
                    None => push_value(&mut plain, value),
                },
                (Some(value), None) => push_value(&mut plain, value),
            }
            if plain.len() > MAX_TABLE_BYTES {
                return None;
            }
        }
        let bytes = delta::encode(&[], &plain);
        Some(Parcel {
            since,
            era,
            version,
            digest: digest(&bytes),
            bytes,
        })
    }

    /// Unpacks the rows, whose steps go from the values in `copy`.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed or `copy` has none of the values that the steps
    /// of a row lead through.
    pub fn unpack(&self, copy: &TableCopy) -> Result<Contents, Unusable> {
        if self.bytes.len() > MAX_PARCEL_BYTES || digest(&self.bytes) != self.digest {
            return Err(Unusable::Malformed);
        }
        let plain = delta::decode(&[], &self.bytes, MAX_TABLE_BYTES + 1);
        let plain = plain.ok_or(Unusable::Malformed)?;
        let mut rest = plain.as_slice();
        let count = take_number(&mut rest).ok_or(Unusable::Malformed)?;
        let mut rows = Vec::new();
        let mut steps = Vec::new();
        for _ in 0..count {
            let (row, row_steps) = take_row(&mut rest, copy)?;
            rows.push(row);
            steps.extend(row_steps);
        }
        let update = TableUpdate {
            since: self.since,
            era: self.era,
            version: self.version,
            rows,
        };
        Ok(Contents { update, steps })
    }
}

fn push_value(out: &mut Vec<u8>, value: &[u8]) {
    push_number(out, WHOLE);
    push_bytes(out, value);
}

fn push_steps(out: &mut Vec<u8>, steps: &[&RowStep]) {
    push_number(out, STEPS);
    push_number(out, steps.len() as u64);
    for step in steps {
        push_number(out, step.from);
        push_number(out, step.to);
        push_number(out, step.digest);
        push_bytes(out, &step.delta);
    }
}

fn take_row(from: &mut &[u8], copy: &TableCopy) -> Result<(TableRow, Vec<RowStep>), Unusable> {
    let mut head = || {
        let key = std::str::from_utf8(take_bytes(from)?).ok()?;
        Some((SmolStr::from(key), take_number(from)?, take_number(from)?))
    };
    let (key, version, kind) = head().ok_or(Unusable::Malformed)?;
    let (value, steps) = match kind {
        REMOVED => (None, Vec::new()),
        WHOLE => {
            let value = take_bytes(from).ok_or(Unusable::Malformed)?;
            (Some(value.to_vec()), Vec::new())
        }
        STEPS => {
            let steps = take_steps(from, &key).ok_or(Unusable::Malformed)?;
            let value = walk(copy, &key, &steps).ok_or(Unusable::OtherBase)?;
            (Some(value), steps)
        }
        _ => return Err(Unusable::Malformed),
    };
    let row = TableRow {
        key,
        version,
        value,
    };
    Ok((row, steps))
}

fn take_steps(from: &mut &[u8], key: &SmolStr) -> Option<Vec<RowStep>> {
    let count = take_number(from)?;
    let mut steps = Vec::new();
    for _ in 0..count {
        steps.push(RowStep {
            key: key.clone(),
            from: take_number(from)?,
            to: take_number(from)?,
            digest: take_number(from)?,
            delta: take_bytes(from)?.to_vec(),
        });
    }
    Some(steps)
}

/// Returns the last value of a chain of steps, beginning with the value in `copy`.
fn walk(copy: &TableCopy, key: &str, steps: &[RowStep]) -> Option<Vec<u8>> {
    let (version, value) = copy.row(key)?;
    if steps.last().is_some_and(|step| step.to <= version) {
        return Some(value.to_vec());
    }
    let first = steps.iter().position(|step| step.from == version)?;
    let mut value = std::borrow::Cow::Borrowed(value);
    for step in &steps[first..] {
        let next = delta::decode(&value, &step.delta, MAX_TABLE_BYTES)?;
        if digest(&next) != step.digest {
            return None;
        }
        value = next.into();
    }
    Some(value.into_owned())
}
