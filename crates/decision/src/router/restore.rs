//! What a restored store changes: it may have rows that are older than what this
//! instance knows, and lack newer ones, until these are written again.

use super::targets::Targets;
use super::{LAPSE_GRACE, Router};
use crate::configuration::{TargetEntry, TargetStage};
use crate::id::{DomainId, TargetId, Time};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a restore in which an entry lapses that its target does not write: three
/// intervals of 1.2 s, and 0.4 s for the store to notice.
const LAPSE_TIME: Duration = Duration::from_secs(4);
/// Time before the last proof of the entries for which removed targets are remembered.
/// The store keeps a history of 20 s, the most that a restore can undo; the rest is for
/// proofs that arrive before the restored entries do.
const REMOVED_TTL: Duration = Duration::from_secs(60);
/// Maximum number of removed targets that are remembered; the oldest is dropped first.
const MAX_REMOVED: usize = 2_000;

/// Target whose entry was removed.
#[derive(Clone, Copy, Debug)]
struct Former {
    started_ms: u64,
    cold_until: Time,
    removed_at: Time,
    /// Whether its entry was removed while the store was in service, rather than for
    /// want of it.
    has_left: bool,
}

/// Restored entry that may be of a target that has left.
#[derive(Clone, Debug)]
struct HeldEntry {
    entry: TargetEntry,
    /// Least cold time of the service.
    cold_time: Duration,
    /// Time until which the target would have written it.
    until: Time,
}

/// Removed targets, and the restored entries that are not used yet.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerTargets {
    by_id: BTreeMap<TargetId, Former>,
    held: BTreeMap<TargetId, HeldEntry>,
    /// Latest time at which the entries were proved to be the newest.
    verified_at: Time,
}

/// How a restored entry relates to what is known of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relation {
    /// The entry is of the process that is known.
    Same,
    /// The entry is of a process that was not known, or whose entry lapsed for want of
    /// the store.
    New,
    /// The process may have left, or have been replaced.
    Doubtful,
}

impl FormerTargets {
    /// Ends what holds for a target of this start, or of an earlier one, as its entry
    /// counts.
    pub(super) fn forget(&mut self, id: &TargetId, started_ms: u64) {
        self.held.remove(id);
        let former = self.by_id.get(id);
        if former.is_some_and(|f| f.started_ms <= started_ms) {
            self.by_id.remove(id);
        }
    }

    /// Drops the restored entry of a target that is removed from the store.
    pub(super) fn remove_held(&mut self, now: Time, id: &TargetId) {
        if let Some(held) = self.held.remove(id) {
            let started_ms = held.entry.started_ms;
            let known = self.by_id.get(id).filter(|f| f.started_ms == started_ms);
            let cold_until = known.map_or(now + held.entry.cold_left, |f| f.cold_until);
            self.record_removal(now, id, started_ms, cold_until, true);
        }
    }

    /// Remembers that a process has no entry any more. A later process of the target
    /// that is remembered stays so instead, as of this removal.
    pub(super) fn record_removal(
        &mut self,
        now: Time,
        id: &TargetId,
        started_ms: u64,
        cold_until: Time,
        has_left: bool,
    ) {
        let later = self.by_id.get(id).filter(|f| f.started_ms > started_ms);
        let former = Former {
            started_ms: later.map_or(started_ms, |f| f.started_ms),
            cold_until: later.map_or(cold_until, |f| f.cold_until),
            removed_at: now,
            has_left: has_left || later.is_some_and(|f| f.has_left),
        };
        self.by_id.insert(id.clone(), former);
        if self.by_id.len() > MAX_REMOVED {
            let oldest = self.by_id.iter().min_by_key(|(_, f)| f.removed_at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.by_id.remove(&id);
            }
        }
    }

    pub(super) fn set_verified(&mut self, at: Time) {
        self.verified_at = self.verified_at.max(at);
    }

    /// Returns whether a removed target has left: its entry was removed, or lapsed and
    /// did not return while the store was in service.
    fn is_gone(&self, former: &Former) -> bool {
        former.has_left || former.removed_at <= self.verified_at
    }

    /// Returns the names of the targets whose restored entries are not used yet.
    pub(super) fn held(&self) -> Vec<TargetId> {
        self.held.keys().cloned().collect()
    }

    /// Takes the entries that have outlived the time in which they would have lapsed.
    /// The store must have been read since.
    fn take_confirmed(&mut self, now: Time) -> BTreeMap<TargetId, HeldEntry> {
        let seen = now.min(self.verified_at);
        let held = std::mem::take(&mut self.held);
        let (confirmed, held) = held.into_iter().partition(|(_, h)| h.until <= seen);
        self.held = held;
        confirmed
    }

    fn expire(&mut self) {
        let verified_at = self.verified_at;
        self.by_id
            .retain(|_, f| verified_at < f.removed_at + REMOVED_TTL);
    }
}

impl Targets {
    /// Begins the time in which the entries may be older than what is known.
    pub(super) fn begin_restore(&mut self, now: Time) {
        for held in self.former.held.values_mut() {
            held.until = now + LAPSE_TIME;
        }
    }

    /// Applies a change of an entry that a restored store implies; `None` is one that it
    /// lacks.
    pub(super) fn restore(
        &mut self,
        now: Time,
        id: &TargetId,
        entry: Option<TargetEntry>,
        cold_time: Duration,
    ) {
        let Some(entry) = entry else {
            self.former.remove_held(now, id);
            return self.remove(now, id);
        };
        match self.relation(id, &entry) {
            Relation::Same => self.restore_known(now, id, entry, cold_time),
            Relation::New => self.add_restored(now, id, entry, cold_time),
            Relation::Doubtful => {
                self.remove(now, id);
                self.hold(now, id, entry, cold_time);
            }
        }
    }

    /// Uses the restored entries that were not removed in time.
    pub(super) fn confirm_held(&mut self, now: Time) {
        for (id, held) in self.former.take_confirmed(now) {
            self.add_restored(now, &id, held.entry, held.cold_time);
        }
        self.former.expire();
    }

    fn relation(&self, id: &TargetId, entry: &TargetEntry) -> Relation {
        let order = |known: u64| match (known, entry.started_ms) {
            (0, _) | (_, 0) => None,
            (known, restored) => Some(restored.cmp(&known)),
        };
        let known = self.by_id.get(id).map(|s| s.entry.started_ms);
        if known == Some(entry.started_ms) {
            return Relation::Same;
        }
        let is_later = known.is_none_or(|k| order(k) == Some(Ordering::Greater));
        let former = self.former.by_id.get(id);
        let may_return = former.is_none_or(|f| match order(f.started_ms) {
            Some(Ordering::Greater) => true,
            Some(Ordering::Less) => false,
            _ => !self.former.is_gone(f),
        });
        if is_later && may_return {
            Relation::New
        } else {
            Relation::Doubtful
        }
    }

    /// Applies an older entry of the same process. What was known of its cold time and
    /// of its end holds.
    fn restore_known(
        &mut self,
        now: Time,
        id: &TargetId,
        mut entry: TargetEntry,
        cold_time: Duration,
    ) {
        self.former.held.remove(id);
        let Some(state) = self.by_id.get_mut(id) else {
            return;
        };
        let was_draining = state.entry.stage == TargetStage::Draining;
        let is_revoked = was_draining && entry.stage == TargetStage::Ready;
        let held = (is_revoked && entry.started_ms == 0).then(|| entry.clone());
        if is_revoked {
            entry.stage = TargetStage::Draining;
        }
        state.keep(entry);
        // Without a start time, it may be a process that has started since.
        if let Some(held) = held {
            self.hold(now, id, held, cold_time);
        }
    }

    fn add_restored(&mut self, now: Time, id: &TargetId, entry: TargetEntry, cold_time: Duration) {
        let former = self.former.by_id.get(id);
        let former = former.filter(|f| f.started_ms == entry.started_ms && f.started_ms != 0);
        let cold_until = former.map(|f| f.cold_until);
        self.apply(now, id, Some(entry), cold_time);
        if let (Some(state), Some(cold_until)) = (self.by_id.get_mut(id), cold_until) {
            state.cold_until = cold_until;
        }
    }

    fn hold(&mut self, now: Time, id: &TargetId, entry: TargetEntry, cold_time: Duration) {
        let held = HeldEntry {
            entry,
            cold_time,
            until: now + LAPSE_TIME,
        };
        self.former.held.insert(id.clone(), held);
    }
}

impl Router {
    /// Begins the time after a restore of the store in which its rows may be older than
    /// what is known; to be called before the changes are applied that its complete
    /// lists imply.
    ///
    /// What is written after the restore is applied by [`Router::update_target`] and
    /// [`Router::set_evacuated`], and holds at once. [`Router::remove_lapsed`] ends what
    /// holds for a while.
    pub fn store_restored(&mut self, now: Time) {
        self.rollouts.store_restored();
        self.targets.keep_lapsed_until(now + LAPSE_GRACE);
        self.targets.begin_restore(now);
        self.evacuated.extend(now);
        self.versions.doubt(now);
    }

    /// Applies a change of a target's entry that the complete list of a restored store
    /// implies; `None` is one that the list lacks.
    ///
    /// A target that is known to drain, or to have left, gets no requests by an older
    /// entry of the same process. If it has no entry any more, the restored one is used
    /// once it has outlived the time in which it would have lapsed.
    pub fn restore_target(&mut self, now: Time, id: &TargetId, entry: Option<TargetEntry>) {
        let cold_time = self.least_cold_time(entry.as_ref());
        self.note_left(now, id, entry.as_ref());
        self.targets.restore(now, id, entry, cold_time);
    }

    /// Applies a change of an evacuation that the complete list of a restored store
    /// implies. One that the list lacks stays in force for a while, in which operators
    /// write it again.
    pub fn restore_evacuated(&mut self, now: Time, domain: &DomainId, evacuated: bool) {
        self.evacuated.restore(now, domain, evacuated);
    }
}
