//! Hashing of names and rendezvous ranking.

use crate::id::{ChatId, Digest};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Hashes a list of parts. Each part's length is hashed too, so that different
/// lists never hash the same bytes.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Hashes a caller's name for a chat within its service and workspace.
pub fn chat_id(service: &str, workspace: &str, chat: &str) -> ChatId {
    hash_parts(&[service.as_bytes(), workspace.as_bytes(), chat.as_bytes()])
}

/// Hashes the service and the body of a request.
pub fn digest(service: &str, body: &[u8]) -> Digest {
    hash_parts(&[service.as_bytes(), body])
}

/// Returns the score of a node for a key; the node with the highest score ranks
/// first.
///
/// The logarithmic method keeps each node's share of the keys in proportion to its
/// weight, and moves only the keys of a node that is added or removed
/// (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005).
pub(crate) fn score(key: u64, node: &[u8], weight: u32) -> f64 {
    let hash = xxh3_64(node) ^ key;
    let mixed = xxh3_64(&hash.to_le_bytes());
    // 53 bits make a uniform number in the open interval from 0 to 1.
    let unit = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    f64::from(weight) / -unit.ln()
}

/// Ranks nodes for a key by weighted rendezvous hashing, the best first.
///
/// The ranking depends on the key and the nodes alone, not on the order in which
/// the nodes are given.
pub fn rank<'a>(key: u64, nodes: impl Iterator<Item = (&'a str, u32)>) -> Vec<&'a str> {
    let mut scored: Vec<(f64, &str)> = nodes
        .map(|(node, weight)| (score(key, node.as_bytes(), weight), node))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, node)| node).collect()
}

/// Returns the first node for a name by rendezvous hashing with equal weights.
pub(crate) fn winner<'a, T: AsRef<str> + ?Sized + 'a>(
    name: &str,
    nodes: impl Iterator<Item = &'a T>,
) -> Option<&'a T> {
    let key = xxh3_64(name.as_bytes());
    nodes.max_by(|a, b| {
        let (x, y) = (a.as_ref(), b.as_ref());
        score(key, x.as_bytes(), 1)
            .total_cmp(&score(key, y.as_bytes(), 1))
            .then_with(|| y.cmp(x))
    })
}
