//! Numbers by short names, packed for pulses.

use crate::hash::hash_parts;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::collections::BTreeMap;

/// Short name of a target or of an instance's life in pulses: a hash. Pulses
/// name thousands of them a second; two that share one share a number.
pub type Tag = u32;

/// Bytes of one packed entry: a tag and a number of 16 bits.
const ENTRY_BYTES: usize = 6;

/// Short name of what these parts name together.
pub fn tag(parts: &[&[u8]]) -> Tag {
    hash_parts(parts) as Tag
}

/// Numbers by short names; over 65,535 they are told as that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct TagMap(pub BTreeMap<Tag, u32>);

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
    /// Bytes after the last whole entry are left out.
    fn from(packed: Packed) -> TagMap {
        let entries = packed.0.chunks_exact(ENTRY_BYTES);
        let unpack = |e: &[u8]| {
            let tag = Tag::from_le_bytes([e[0], e[1], e[2], e[3]]);
            (tag, u32::from(u16::from_le_bytes([e[4], e[5]])))
        };
        TagMap(entries.map(unpack).collect())
    }
}
