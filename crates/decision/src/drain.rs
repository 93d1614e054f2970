//! Drain marks: failure domains and targets that operators have drained.
//!
//! A drained target gets no new work. The operators' platform has an order of its
//! own to evacuate a failure domain, which gateway instances follow instead.

use crate::hash::hash_parts;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Subject of a drain mark.
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

/// An operator's order to drain a target or failure domain, or to use it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Mark")]
pub struct DrainMark {
    /// Target or failure domain.
    #[serde(rename = "k")]
    pub key: DrainKey,
    /// Number of the order; the highest one of a key wins.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Whether it is drained.
    #[serde(rename = "o")]
    pub drained: bool,
}

/// Known drain marks, the highest one per key.
///
/// Marks are ordered by epoch; of two with the same epoch the one that drains
/// wins. The merge is commutative, associative and idempotent, so that instances
/// that see the same marks in any order reach the same state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainMarks {
    by_key: BTreeMap<DrainKey, (u64, bool)>,
}

impl DrainMarks {
    /// Merges a mark; returns whether anything changed.
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

    /// Creates and merges the mark that follows the current one of a key.
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

    /// Returns whether a key is drained.
    pub fn is_drained(&self, key: &DrainKey) -> bool {
        self.by_key.get(key).is_some_and(|m| m.1)
    }

    /// Iterates over all marks.
    pub fn iter(&self) -> impl Iterator<Item = DrainMark> + '_ {
        self.by_key.iter().map(|(key, (epoch, drained))| DrainMark {
            key: key.clone(),
            epoch: *epoch,
            drained: *drained,
        })
    }

    /// Returns a hash that is equal where the marks are equal.
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
