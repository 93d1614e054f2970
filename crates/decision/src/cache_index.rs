//! Index of the targets that cache each chat, kept by the chat's home.

use crate::id::{ChatId, TargetId, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A target that caches a chat's prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheLocation {
    /// Target.
    #[serde(rename = "t")]
    pub target: TargetId,
    /// Tokens of the chat that it cached at last report.
    #[serde(rename = "n")]
    pub tokens: u32,
}

/// Locations kept per chat: the latest target and the one before.
const MAX_LOCATIONS: usize = 2;

/// Locations of one chat, the one with the most tokens first.
#[derive(Clone, Debug, Default)]
struct Locations(Vec<CacheLocation>);

impl Locations {
    fn set(&mut self, location: CacheLocation) {
        self.0.retain(|p| p.target != location.target);
        if location.tokens > 0 {
            self.0.push(location);
        }
        self.0.sort_by_key(|p| std::cmp::Reverse(p.tokens));
        self.0.truncate(MAX_LOCATIONS);
    }
}

#[derive(Clone, Debug)]
struct Record {
    locations: Locations,
    last_use: (Time, u64),
}

/// Bounded index from chats to the targets that cache them.
///
/// The least recently served chat is evicted first.
#[derive(Clone, Debug)]
pub struct CacheIndex {
    records: BTreeMap<ChatId, Record>,
    by_last_use: BTreeMap<(Time, u64), ChatId>,
    limit: usize,
    seq: u64,
}

impl CacheIndex {
    /// Creates an empty index of at most `limit` chats, or of one if `limit` is 0.
    pub fn new(limit: usize) -> Self {
        CacheIndex {
            records: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            limit: limit.max(1),
            seq: 0,
        }
    }

    /// Returns the number of chats.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the targets that cache a chat, the one with the most tokens first.
    pub fn locations(&self, chat: ChatId) -> &[CacheLocation] {
        self.records.get(&chat).map_or(&[], |r| &r.locations.0)
    }

    /// Records that a target served a chat, and evicts a chat beyond the limit.
    pub fn record(&mut self, now: Time, chat: ChatId, location: CacheLocation) {
        self.seq += 1;
        let last_use = (now, self.seq);
        let record = self.records.entry(chat).or_insert_with(|| Record {
            locations: Locations::default(),
            last_use,
        });
        self.by_last_use.remove(&record.last_use);
        record.last_use = last_use;
        record.locations.set(location);
        self.by_last_use.insert(last_use, chat);
        if self.records.len() > self.limit {
            self.evict();
        }
    }

    /// Corrects the tokens of a chat at a target that the index already holds.
    ///
    /// A cache event may be late or repeated, so it never adds a location.
    pub fn correct(&mut self, chat: ChatId, location: CacheLocation) {
        if let Some(record) = self.records.get_mut(&chat)
            && record
                .locations
                .0
                .iter()
                .any(|p| p.target == location.target)
        {
            record.locations.set(location);
        }
    }

    /// Removes a target from all chats, because it lost its cache.
    pub fn forget_target(&mut self, target: &str) {
        for record in self.records.values_mut() {
            record.locations.0.retain(|p| p.target != target);
        }
    }

    /// Removes up to `most` chats for which `matches` holds, and returns each with
    /// its first location.
    pub fn remove_matching(
        &mut self,
        most: usize,
        matches: impl Fn(ChatId) -> bool,
    ) -> Vec<(ChatId, CacheLocation)> {
        let picked: Vec<ChatId> = self
            .records
            .keys()
            .copied()
            .filter(|c| matches(*c))
            .take(most)
            .collect();
        picked
            .into_iter()
            .filter_map(|chat| {
                let record = self.records.remove(&chat)?;
                self.by_last_use.remove(&record.last_use);
                Some((chat, record.locations.0.into_iter().next()?))
            })
            .collect()
    }

    fn evict(&mut self) {
        if let Some((_, chat)) = self.by_last_use.pop_first() {
            self.records.remove(&chat);
        }
    }
}
