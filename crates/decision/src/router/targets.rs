//! Targets as their entries and answers show them.

use crate::configuration::{TargetEntry, TargetStage};
use crate::fleet::{Tag, TagMap, target_tag};
use crate::id::{ServiceId, TargetId, Time};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest outcome in a target's moving share of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Share of failures above which a target is set aside.
const EJECT_SHARE: f64 = 0.6;
/// Time for which a target is set aside at first.
const EJECT_TIME: Duration = Duration::from_secs(1);
/// Longest time for which a target is set aside.
const EJECT_LIMIT: Duration = Duration::from_secs(8);

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Whole,
    /// An answer that says that the request failed there.
    Failed,
    /// The target did not run it because it is full.
    Full,
    /// Another target has the address.
    Moved,
    /// No connection, or one that broke or fell silent.
    Broken,
    /// The caller left, or time ran out for other reasons.
    Dropped,
}

/// A request counted at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Target.
    pub target: TargetId,
    pub(crate) generation: u64,
    pub(crate) subject: Option<u64>,
    pub(crate) since: Time,
}

/// State of one target, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct RouterTargetDump {
    /// Target.
    pub target: TargetId,
    /// Service.
    pub service: ServiceId,
    /// State by its own entry.
    pub stage: TargetStage,
    /// Requests of this instance.
    pub own: u32,
    /// Requests of all other instances.
    pub others: u32,
    /// Milliseconds for which it stays cold.
    pub cold_ms: u64,
    /// Milliseconds for which it is set aside.
    pub aside_ms: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) entry: TargetEntry,
    /// Short name in pulses.
    tag: Tag,
    pub(crate) generation: u64,
    pub(crate) cold_until: Time,
    pub(crate) aside_until: Time,
    pub(crate) own: u32,
    pub(crate) others: u32,
    /// Start of the last request that was sent while the target was cold.
    pub(crate) cold_sent: Option<Time>,
    pub(crate) since: Time,
    failures: f64,
    ejections: u32,
    lapsed: Option<Time>,
}

impl TargetState {
    pub(crate) fn load(&self) -> u32 {
        self.own + self.others
    }

    pub(crate) fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    pub(crate) fn is_aside(&self, now: Time) -> bool {
        now < self.aside_until
    }

    pub(crate) fn failures(&self) -> f64 {
        self.failures
    }

    /// Notes an outcome; sets the target aside where too many fail.
    fn judge(&mut self, now: Time, failed: bool) {
        let sample = f64::from(u8::from(failed));
        self.failures += FAILURE_WEIGHT * (sample - self.failures);
        if !failed {
            self.ejections = 0;
        }
        if self.failures > EJECT_SHARE && !self.is_aside(now) {
            let doublings = self.ejections.min(3);
            self.aside_until = now + (EJECT_TIME * (1 << doublings)).min(EJECT_LIMIT);
            self.ejections += 1;
            // One failure after its return sets it aside again.
            self.failures = EJECT_SHARE;
        }
    }
}

/// Every target known.
#[derive(Clone, Debug, Default)]
pub(crate) struct Targets {
    by_id: BTreeMap<TargetId, TargetState>,
    generations: u64,
    hold_until: Time,
}

impl Targets {
    pub(crate) fn apply(
        &mut self,
        now: Time,
        id: &TargetId,
        entry: Option<TargetEntry>,
        cold_time: Duration,
    ) {
        let Some(entry) = entry else {
            return self.remove(now, id);
        };
        let known = self.by_id.get_mut(id);
        match known {
            Some(state) if state.entry.born == entry.born => {
                let cold_until = now + entry.cold_left;
                if entry.cold_left > Duration::ZERO {
                    state.cold_until = state.cold_until.max(cold_until);
                }
                state.lapsed = None;
                state.entry = entry;
            }
            _ => {
                self.generations += 1;
                // An entry that tells no cold time may be written before it is known.
                let cold = if entry.born == 0 {
                    entry.cold_left.max(cold_time)
                } else {
                    entry.cold_left
                };
                let state = TargetState {
                    tag: target_tag(id),
                    generation: self.generations,
                    cold_until: now + cold,
                    aside_until: Time::ZERO,
                    own: 0,
                    others: 0,
                    cold_sent: None,
                    since: now,
                    failures: 0.0,
                    ejections: 0,
                    lapsed: None,
                    entry,
                };
                self.by_id.insert(id.clone(), state);
            }
        }
    }

    fn remove(&mut self, now: Time, id: &TargetId) {
        match self.by_id.get_mut(id) {
            Some(state) if now < self.hold_until && state.entry.stage == TargetStage::Ready => {
                state.lapsed = state.lapsed.or(Some(now));
            }
            Some(_) => {
                self.by_id.remove(id);
            }
            None => {}
        }
    }

    pub(crate) fn hold_until(&mut self, until: Time) {
        self.hold_until = self.hold_until.max(until);
    }

    pub(crate) fn sweep(&mut self, now: Time) -> Vec<TargetId> {
        if now < self.hold_until {
            return Vec::new();
        }
        let lapsed = self.by_id.iter().filter(|(_, s)| s.lapsed.is_some());
        let gone: Vec<TargetId> = lapsed.map(|(id, _)| id.clone()).collect();
        self.by_id.retain(|_, s| s.lapsed.is_none());
        gone
    }

    pub(crate) fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a TargetId, &'a TargetState)> {
        let all = self.by_id.iter();
        all.filter(move |(_, s)| s.entry.service == service)
    }

    pub(crate) fn get(&self, id: &str) -> Option<&TargetState> {
        self.by_id.get(id)
    }

    /// Counts a request at a target.
    pub(crate) fn lease(&mut self, now: Time, id: &TargetId) -> Option<Lease> {
        let state = self.by_id.get_mut(id)?;
        state.own += 1;
        if state.is_cold(now) {
            state.cold_sent = Some(now);
        }
        Some(Lease {
            target: id.clone(),
            generation: state.generation,
            subject: None,
            since: now,
        })
    }

    pub(crate) fn ended(&mut self, now: Time, lease: &Lease, ending: AttemptOutcome) {
        let state = self.by_id.get_mut(&lease.target);
        let Some(state) = state.filter(|s| s.generation == lease.generation) else {
            return;
        };
        state.own = state.own.saturating_sub(1);
        match ending {
            AttemptOutcome::Whole => state.judge(now, false),
            AttemptOutcome::Failed | AttemptOutcome::Broken => state.judge(now, true),
            AttemptOutcome::Moved => {
                self.by_id.remove(&lease.target);
            }
            AttemptOutcome::Full | AttemptOutcome::Dropped => {}
        }
    }

    pub(crate) fn others(&mut self, loads: &TagMap) {
        for state in self.by_id.values_mut() {
            state.others = loads.0.get(&state.tag).copied().unwrap_or(0);
        }
    }

    pub(crate) fn own(&self) -> TagMap {
        let busy = self.by_id.values().filter(|s| s.own > 0);
        TagMap(busy.map(|s| (s.tag, s.own)).collect())
    }

    pub(crate) fn rows(&self, now: Time) -> Vec<RouterTargetDump> {
        let ms = |until: Time| until.saturating_sub(now).as_millis() as u64;
        let row = |(id, s): (&TargetId, &TargetState)| RouterTargetDump {
            target: id.clone(),
            service: s.entry.service.clone(),
            stage: s.entry.stage,
            own: s.own,
            others: s.others,
            cold_ms: ms(s.cold_until),
            aside_ms: ms(s.aside_until),
        };
        self.by_id.iter().map(row).collect()
    }
}
