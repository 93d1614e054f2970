//! Tokens that requests hold in the memory of an engine.
//!
//! Answers bursts of long prompts, of which several instances send some to the same
//! engine before they hear of each other.

use super::choose::TargetQuery;
use crate::capacity::{Capacity, RequestTokens};
use crate::id::PrefixHash;
use std::collections::BTreeMap;

/// Share of an engine's memory that requests may fill. The rest is for responses that
/// get longer than expected.
pub(super) const MAX_SHARE: f64 = 0.85;
/// Least share from which a request draws its limit. With one limit for all, every
/// instance would send to an engine with room until the news reaches it that the room
/// is taken.
const MIN_SHARE: f64 = 0.6;
/// Part of the growth from one report to the next that is remembered at the one after.
const GROWTH_MEMORY: f64 = 0.8;
/// Tokens that are held at one target.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldTokens {
    /// Tokens of this instance's requests that no other request shares.
    own: u64,
    /// Requests of this instance with each prefix, and the tokens by which the prefix
    /// counts.
    shared: BTreeMap<PrefixHash, (u32, u64)>,
    /// Tokens of all other instances.
    remote: u64,
    /// Most by which the other instances' tokens grew from one report to the next
    /// lately. It is kept free for what they have sent but not reported yet.
    growth: u64,
}

impl HeldTokens {
    /// Returns the tokens of this instance's requests.
    pub(super) fn own(&self) -> u64 {
        self.own + self.shared.values().map(|(_, tokens)| tokens).sum::<u64>()
    }

    /// Sets the tokens of all other instances.
    pub(super) fn set_remote(&mut self, remote: u64) {
        let remembered = (self.growth as f64 * GROWTH_MEMORY) as u64;
        self.growth = remembered.max(remote.saturating_sub(self.remote));
        self.remote = remote;
    }

    /// Returns whether a request fits beside what is held. `running` is the number of
    /// requests with its prefix at the target, over all instances.
    pub(super) fn has_room(
        &self,
        capacity: &Capacity,
        query: &TargetQuery<'_>,
        running: f64,
    ) -> bool {
        let is_held = query
            .prompt_prefix
            .is_some_and(|p| self.shared.contains_key(&p));
        let added = if is_held {
            query.tokens.own
        } else {
            query.tokens.added(running)
        };
        let drawn = (query.spread_hash >> 11) as f64 / (1_u64 << 53) as f64;
        let share = MIN_SHARE + drawn * (MAX_SHARE - MIN_SHARE);
        let held = self.own() + self.remote + self.growth;
        capacity.has_memory(held, added, share)
    }

    /// Counts a request of this instance.
    pub(super) fn add(&mut self, prefix: Option<PrefixHash>, tokens: RequestTokens, running: f64) {
        self.own += tokens.own;
        let counted = tokens.added(running) - tokens.own;
        if let Some(prefix) = prefix {
            let (requests, _) = self.shared.entry(prefix).or_insert((0, counted));
            *requests += 1;
        }
    }

    /// Ends a request that [`HeldTokens::add`] counted.
    pub(super) fn remove(&mut self, prefix: Option<PrefixHash>, own: u64) {
        self.own = self.own.saturating_sub(own);
        let shared = prefix.and_then(|p| Some((p, self.shared.get_mut(&p)?)));
        if let Some((prefix, (requests, _))) = shared {
            *requests -= 1;
            if *requests == 0 {
                self.shared.remove(&prefix);
            }
        }
    }
}
