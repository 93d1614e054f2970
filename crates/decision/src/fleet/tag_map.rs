//! Numbers by tag, in the packed form that pulses carry.

use crate::hash::hash_parts;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::collections::BTreeMap;

/// 32-bit hash that stands for a target, or for an incarnation of an instance, in
/// pulses.
///
/// Pulses name thousands of them a second, which their full names would make too
/// long. Two that have the same tag share one number.
pub type Tag = u32;

/// Bytes of a packed entry: a tag and a 16-bit number.
const ENTRY_BYTES: usize = 6;

/// Returns the tag of what `parts` name together.
pub fn tag(parts: &[&[u8]]) -> Tag {
    hash_parts(parts) as Tag
}

/// Map from tags to numbers. Numbers above 65,535 are sent as 65,535.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct TagMap(pub BTreeMap<Tag, u32>);

impl TagMap {
    /// Returns whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds the numbers of another map.
    pub(super) fn add(&mut self, other: &TagMap) {
        for (tag, number) in &other.0 {
            *self.0.entry(*tag).or_insert(0) += number;
        }
    }

    /// Subtracts the numbers of another map, down to 0.
    pub(super) fn subtract(&mut self, other: &TagMap) {
        for (tag, number) in &other.0 {
            if let Some(sum) = self.0.get_mut(tag) {
                *sum = sum.saturating_sub(*number);
            }
        }
    }
}

#[serde_as]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
struct Packed(#[serde_as(as = "serde_with::Bytes")] Vec<u8>);

impl From<TagMap> for Packed {
    fn from(map: TagMap) -> Packed {
        let mut bytes = Vec::with_capacity(map.0.len() * ENTRY_BYTES);
        for (tag, number) in map.0 {
            let number = u16::try_from(number).unwrap_or(u16::MAX);
            bytes.extend_from_slice(&tag.to_le_bytes());
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        Packed(bytes)
    }
}

impl From<Packed> for TagMap {
    /// Unpacks a map; bytes after the last complete entry are ignored.
    fn from(packed: Packed) -> TagMap {
        let entries = packed.0.chunks_exact(ENTRY_BYTES);
        let unpack = |e: &[u8]| {
            let tag = Tag::from_le_bytes([e[0], e[1], e[2], e[3]]);
            (tag, u32::from(u16::from_le_bytes([e[4], e[5]])))
        };
        TagMap(entries.map(unpack).collect())
    }
}
