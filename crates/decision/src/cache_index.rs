//! Where the cache of each chat lies, as its home instance knows it.

use crate::id::{ChatId, TargetId, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A target that holds cache of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheLocation {
    /// The target.
    #[serde(rename = "t")]
    pub target: TargetId,
    /// Tokens of the chat that are cached there, as last told.
    #[serde(rename = "n")]
    pub tokens: u32,
}

/// Places kept for one chat: the latest target and the one before.
const PLACES: usize = 2;

/// Places of one chat, the one with the most tokens first.
#[derive(Clone, Debug, Default)]
struct Places(Vec<CacheLocation>);

impl Places {
    fn set(&mut self, place: CacheLocation) {
        self.0.retain(|p| p.target != place.target);
        if place.tokens > 0 {
            self.0.push(place);
        }
        self.0.sort_by_key(|p| std::cmp::Reverse(p.tokens));
        self.0.truncate(PLACES);
    }
}

#[derive(Clone, Debug)]
struct Record {
    places: Places,
    used: (Time, u64),
}

/// Bounded records of chats; the least recently used leaves first.
#[derive(Clone, Debug)]
pub struct CacheIndex {
    records: BTreeMap<ChatId, Record>,
    by_use: BTreeMap<(Time, u64), ChatId>,
    limit: usize,
    seq: u64,
}

impl CacheIndex {
    /// Makes an empty set that keeps at most `limit` chats.
    pub fn new(limit: usize) -> Self {
        CacheIndex {
            records: BTreeMap::new(),
            by_use: BTreeMap::new(),
            limit: limit.max(1),
            seq: 0,
        }
    }

    /// Chats on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no chat is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Places that hold cache of a chat, the one with the most tokens first.
    pub fn locations(&self, chat: ChatId) -> &[CacheLocation] {
        self.records.get(&chat).map_or(&[], |r| &r.places.0)
    }

    /// Notes that a chat was served at a target, and evicts past the limit.
    pub fn record(&mut self, now: Time, chat: ChatId, place: CacheLocation) {
        self.seq += 1;
        let used = (now, self.seq);
        let record = self.records.entry(chat).or_insert_with(|| Record {
            places: Places::default(),
            used,
        });
        self.by_use.remove(&record.used);
        record.used = used;
        record.places.set(place);
        self.by_use.insert(used, chat);
        if self.records.len() > self.limit {
            self.evict();
        }
    }

    /// Corrects the tokens cached at a target that a record already names.
    ///
    /// A cache event may be late or repeated, so it never adds a record.
    pub fn correct(&mut self, chat: ChatId, place: CacheLocation) {
        if let Some(record) = self.records.get_mut(&chat)
            && record.places.0.iter().any(|p| p.target == place.target)
        {
            record.places.set(place);
        }
    }

    /// Forgets what a target held, because it lost its cache.
    pub fn forget_target(&mut self, target: &str) {
        for record in self.records.values_mut() {
            record.places.0.retain(|p| p.target != target);
        }
    }

    /// Takes out up to `most` chats that `moved` picks.
    pub fn remove_matching(
        &mut self,
        most: usize,
        moved: impl Fn(ChatId) -> bool,
    ) -> Vec<(ChatId, CacheLocation)> {
        let picked: Vec<ChatId> = self
            .records
            .keys()
            .copied()
            .filter(|c| moved(*c))
            .take(most)
            .collect();
        picked
            .into_iter()
            .filter_map(|chat| {
                let record = self.records.remove(&chat)?;
                self.by_use.remove(&record.used);
                Some((chat, record.places.0.into_iter().next()?))
            })
            .collect()
    }

    fn evict(&mut self) {
        if let Some((_, chat)) = self.by_use.pop_first() {
            self.records.remove(&chat);
        }
    }
}
