//! Drain marks: failure domains, targets and instances that operators took out.

use crate::hash::hash_parts;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// What a drain mark is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(expecting = "enum MarkKey")]
pub enum DrainKey {
    /// A failure domain.
    #[serde(rename = "domain")]
    Domain(SmolStr),
    /// One target.
    #[serde(rename = "target")]
    Target(SmolStr),
}

/// One operator order: taken out or back in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Mark")]
pub struct DrainMark {
    /// What is out or in.
    #[serde(rename = "k")]
    pub key: DrainKey,
    /// Order number; the higher one holds.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Whether it is out.
    #[serde(rename = "o")]
    pub drained: bool,
}

/// All marks known, merged by (epoch, out before in).
///
/// The merge is commutative, associative and idempotent, so that instances
/// that see the same orders in any sequence end in the same state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainMarks {
    by_key: BTreeMap<DrainKey, (u64, bool)>,
}

impl DrainMarks {
    /// Merges one mark; returns whether anything changed.
    pub fn merge(&mut self, mark: &DrainMark) -> bool {
        let new = (mark.epoch, mark.drained);
        match self.by_key.get_mut(&mark.key) {
            Some(old) if new > *old => {
                *old = new;
                true
            }
            Some(_) => false,
            None => {
                self.by_key.insert(mark.key.clone(), new);
                true
            }
        }
    }

    /// Makes the next order for a key and merges it.
    pub fn set(&mut self, key: DrainKey, drained: bool) -> DrainMark {
        let epoch = self.by_key.get(&key).map_or(0, |m| m.0) + 1;
        let mark = DrainMark {
            key,
            epoch,
            drained,
        };
        self.merge(&mark);
        mark
    }

    /// Whether a key is out.
    pub fn is_drained(&self, key: &DrainKey) -> bool {
        self.by_key.get(key).is_some_and(|m| m.1)
    }

    /// Every mark.
    pub fn iter(&self) -> impl Iterator<Item = DrainMark> + '_ {
        self.by_key.iter().map(|(key, (epoch, drained))| DrainMark {
            key: key.clone(),
            epoch: *epoch,
            drained: *drained,
        })
    }

    /// Hash that is equal where the marks are equal.
    pub(crate) fn fingerprint(&self) -> u64 {
        self.by_key.iter().fold(0, |sum, (key, (epoch, drained))| {
            let (kind, name): (&[u8], _) = match key {
                DrainKey::Domain(name) => (b"d", name),
                DrainKey::Target(name) => (b"t", name),
            };
            sum ^ hash_parts(&[
                kind,
                name.as_bytes(),
                &epoch.to_le_bytes(),
                &[u8::from(*drained)],
            ])
        })
    }
}
