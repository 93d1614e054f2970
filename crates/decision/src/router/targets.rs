//! State of every target, as its entry in the store and its responses show it.

use super::choose::{FIRST_READ_TIME, TargetQuery};
use super::memory::HeldTokens;
use super::restore::FormerTargets;
use crate::capacity::{Capacity, Held, USUAL_PACE};
use crate::configuration::{ServiceSpec, TargetEntry, TargetStage};
use crate::connections::{ConnectionId, Connections};
use crate::fleet::{LoadSummary, Tag, incarnation_tag, target_tag};
use crate::id::{PrefixHash, ServiceId, TargetId, Time};
use crate::pace::{PaceMeter, Warmup, usual_time};
use crate::rollout::RolloutLease;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Weight of the newest outcome in the moving average of a target's failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Share of failures above which a target is ejected.
const EJECT_SHARE: f64 = 0.6;
/// Duration of a target's first ejection; it doubles with each further one.
const EJECT_TIME: Duration = Duration::from_secs(1);
/// Longest duration of an ejection.
const MAX_EJECT_TIME: Duration = Duration::from_secs(8);
/// Time between two pauses of a target below which they count as one.
const MIN_PAUSE_GAP: Duration = Duration::from_secs(1);
/// Longest time for which a target is kept whose entry was removed: one that leaves
/// without notice serves for 2 s after that, and requests are under way to it.
const MAX_KEPT_TIME: Duration = Duration::from_millis(1_800);
/// Part of an engine's memory, as a divisor, up to which instances don't report the
/// tokens that they hold there.
const CROWDED_PART: u64 = 4;
/// Targets without an entry whose notices are kept; the oldest is dropped first.
const MAX_REMOVED: usize = 2_000;

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target sent a complete response.
    Completed,
    /// The target responded that the request failed there.
    Failed,
    /// The target is full and did not run the request.
    Full,
    /// Another target has the address now and did not run the request.
    Moved,
    /// The connection could not be opened, broke, or went silent.
    Broken,
    /// The caller disconnected, or the deadline passed through no fault of the
    /// target.
    Abandoned,
}

/// What a target says of itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Whether it is going to stop.
    pub is_leaving: bool,
    /// Time for which it wants no request from this instance.
    pub retry_after: Option<Duration>,
}

/// Notices of a target that this instance did not know of before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeChange {
    /// The target has begun to leave.
    pub leaves: bool,
    /// The target has asked for a pause.
    pub pauses: bool,
}

/// Notices of one process of a target that are in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Availability {
    pub(crate) is_leaving: bool,
    paused_until: Time,
}

impl Availability {
    pub(crate) fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Returns the time for which the target wants no request.
    pub(crate) fn pause_left(&self, now: Time) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    fn record(&mut self, now: Time, notice: TargetNotice) -> NoticeChange {
        let leaves = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        let until = notice
            .retry_after
            .map_or(Time::ZERO, |after| now.saturating_add(after));
        let was_paused = self.paused_until > Time::ZERO;
        let gap = now.saturating_sub(self.paused_until);
        let pauses = until > now && (!was_paused || gap >= MIN_PAUSE_GAP);
        // Each refusal is in force for its own time.
        self.paused_until = self.paused_until.max(until);
        NoticeChange { leaves, pauses }
    }
}

/// Notices of a target without an entry, in case the entry returns.
#[derive(Clone, Debug)]
struct RemovedTarget {
    started_ms: u64,
    availability: Availability,
    removed_at: Time,
}

/// An attempt that counts in the load of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Target.
    pub target: TargetId,
    /// Generation of the target at the start of the attempt.
    pub(crate) generation: u64,
    /// Start time of the target's process.
    pub(crate) started_ms: u64,
    /// Tag of the target and its start, the same at all instances.
    pub(crate) incarnation: Tag,
    pub(crate) prompt_prefix: Option<PrefixHash>,
    /// Tokens that it holds there and shares with no other request.
    pub(crate) tokens: u64,
    pub(crate) since: Time,
    /// Service and part of the attempt in its roll-out, if there is one.
    pub(crate) rollout: Option<Box<(ServiceId, RolloutLease)>>,
}

/// Begin or end of a target's warm-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmupChange {
    /// Target.
    pub target: TargetId,
    /// Whether it begins.
    pub has_begun: bool,
    /// Time that work takes on the target, in hundredths of the usual time.
    pub pace: u32,
}

/// State of one target, for the dump of the instance.
#[derive(Clone, Debug, Serialize)]
pub struct RouterTargetDump {
    /// Target.
    pub target: TargetId,
    /// Service.
    pub service: ServiceId,
    /// Stage that its entry declares.
    pub stage: TargetStage,
    /// Requests of this instance.
    pub own: u32,
    /// Requests of all other instances.
    #[serde(rename = "others")]
    pub remote: u32,
    /// Connections of this instance, if its service limits them.
    pub connections: u32,
    /// Milliseconds for which it stays cold; 0 where it is warm.
    pub cold_ms: u64,
    /// Milliseconds for which it stays ejected; 0 where it is not.
    #[serde(rename = "aside_ms")]
    pub ejected_ms: u64,
    /// Whether a response of it said that it leaves.
    #[serde(rename = "leaving")]
    pub is_leaving: bool,
    /// Milliseconds for which it wants no request from this instance.
    pub paused_ms: u64,
    /// Time that work takes on it, in hundredths of the usual time.
    pub pace: u32,
    /// Requests that it may have while it warms up; `None` where it doesn't.
    #[serde(rename = "warmup")]
    pub warmup_limit: Option<u32>,
}

#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) entry: TargetEntry,
    /// Tag that stands for the target in pulses.
    tag: Tag,
    /// Number that changes when the target is added again or its process starts
    /// anew, so that leases from before have no effect.
    pub(crate) generation: u64,
    pub(crate) cold_until: Time,
    pub(crate) ejected_until: Time,
    pub(crate) availability: Availability,
    /// What this instance's requests hold there.
    pub(crate) own: Held,
    /// What the requests of all other instances hold there.
    pub(crate) remote: Held,
    /// What [`Held::tokens`] of both consists of.
    pub(super) memory: HeldTokens,
    pub(crate) meter: PaceMeter,
    /// Warm-up, while it has just started, turned cold, slowed down or recovered.
    pub(crate) warmup: Option<Warmup>,
    /// Whether it warmed up when that was last looked at.
    was_warming_up: bool,
    /// Connections of this instance, if the service limits them.
    pub(crate) connections: Connections,
    /// Time of the last request that was sent while the target was cold.
    pub(crate) cold_sent: Option<Time>,
    pub(crate) known_since: Time,
    /// Moving average of the outcomes, of which a failure counts 1.
    failure_share: f64,
    /// Ejections since the last success.
    ejections: u32,
    /// Time until which the target is kept though its entry lapsed.
    kept_until: Option<Time>,
}

impl TargetState {
    pub(crate) fn load(&self) -> u32 {
        self.own.requests + self.remote.requests
    }

    /// Returns the load in requests of a target at the usual pace that would keep it
    /// busy for as long.
    pub(crate) fn weighed(&self, load: f64) -> f64 {
        load * f64::from(self.meter.pace()) / f64::from(USUAL_PACE)
    }

    /// Returns the tokens of this instance that others are told: none as long as all
    /// that is held can't come near the memory.
    pub(super) fn reported_tokens(&self, instances: usize, spec: Option<&ServiceSpec>) -> u64 {
        let memory = Capacity::new(&self.entry, spec).tokens;
        let limit = memory.unwrap_or(u64::MAX) / CROWDED_PART;
        let (own, remote) = (self.own.tokens, self.remote.tokens);
        let is_crowded = own.saturating_mul(instances as u64) > limit || own + remote > limit;
        if is_crowded { own } else { 0 }
    }

    /// Returns whether it has as many requests as its warm-up allows.
    pub(crate) fn is_warming_up_full(&self) -> bool {
        self.warmup.is_some_and(|w| self.load() >= w.limit())
    }

    pub(crate) fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Returns whether its entry is there, or lapsed so recently that it may return.
    pub(crate) fn is_kept(&self, now: Time) -> bool {
        self.kept_until.is_none_or(|until| now < until)
    }

    pub(crate) fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Replaces the entry by another one of the same process.
    pub(super) fn keep(&mut self, entry: TargetEntry) {
        self.kept_until = None;
        self.entry = entry;
    }

    /// Records the outcome of an attempt, and ejects the target where the share of
    /// failures is too high.
    fn record_outcome(&mut self, now: Time, failed: bool) {
        let sample = f64::from(u8::from(failed));
        self.failure_share += FAILURE_WEIGHT * (sample - self.failure_share);
        if !failed {
            self.ejections = 0;
        }
        if self.failure_share > EJECT_SHARE && !self.is_ejected(now) {
            let doublings = self.ejections.min(3);
            self.ejected_until = now + (EJECT_TIME * (1 << doublings)).min(MAX_EJECT_TIME);
            self.ejections += 1;
            self.warmup = Some(Warmup::begin(now));
            // The first failure after the ejection ejects it again.
            self.failure_share = EJECT_SHARE;
        }
    }
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Targets {
    pub(super) by_id: BTreeMap<TargetId, TargetState>,
    last_generation: u64,
    last_connection: ConnectionId,
    removed: BTreeMap<TargetId, RemovedTarget>,
    pub(super) former: FormerTargets,
    /// Time until which targets are kept whose entries lapse.
    grace_until: Time,
    /// Services whose targets tell their pace.
    paced: BTreeSet<ServiceId>,
}

impl Targets {
    /// Adds or changes a target by its entry, or removes it.
    ///
    /// `cold_time` is the service's, which is the least for an entry without a
    /// start time.
    pub(crate) fn apply(
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
        self.former.forget(id, entry.started_ms);
        // A later process is replaced only if the start of the new one is unknown, or
        // the clock was set back.
        if let Some(state) = self.by_id.get(id)
            && state.entry.started_ms > entry.started_ms
        {
            let (started_ms, cold_until) = (state.entry.started_ms, state.cold_until);
            self.former
                .record_removal(now, id, started_ms, cold_until, true);
        }
        let known = self.by_id.get_mut(id);
        match known {
            Some(state) if state.entry.started_ms == entry.started_ms => {
                let cold_until = now.saturating_add(entry.cold_left);
                if entry.cold_left > Duration::ZERO {
                    if !state.is_cold(now) {
                        state.warmup = Some(Warmup::begin(now));
                    }
                    state.cold_until = state.cold_until.max(cold_until);
                }
                state.keep(entry);
            }
            _ => {
                self.last_generation += 1;
                let known = self.removed.remove(id);
                let known = known.filter(|r| r.started_ms == entry.started_ms);
                // Without a start time, the entry may have been written before its
                // cold time was known.
                let cold_left = if entry.started_ms == 0 {
                    entry.cold_left.max(cold_time)
                } else {
                    entry.cold_left
                };
                let state = TargetState {
                    tag: target_tag(id),
                    generation: self.last_generation,
                    cold_until: now.saturating_add(cold_left),
                    ejected_until: Time::ZERO,
                    availability: known.map(|r| r.availability).unwrap_or_default(),
                    own: Held::default(),
                    remote: Held::default(),
                    memory: HeldTokens::default(),
                    meter: PaceMeter::default(),
                    // A target found at the start of this process may be in full use.
                    warmup: (now >= FIRST_READ_TIME).then(|| Warmup::begin(now)),
                    was_warming_up: false,
                    connections: Connections::default(),
                    cold_sent: None,
                    known_since: now,
                    failure_share: 0.0,
                    ejections: 0,
                    kept_until: None,
                    entry,
                };
                self.by_id.insert(id.clone(), state);
            }
        }
    }

    /// Removes a target; within the grace period only if it is draining, because
    /// the entry of a ready one may have lapsed for want of the store.
    pub(super) fn remove(&mut self, now: Time, id: &TargetId) {
        match self.by_id.get_mut(id) {
            Some(state) if now < self.grace_until && state.entry.stage == TargetStage::Ready => {
                let until = self.grace_until.min(now + MAX_KEPT_TIME);
                state.kept_until.get_or_insert(until);
            }
            Some(_) => self.drop_target(now, id, true),
            None => {}
        }
    }

    /// Drops the state of a target except for its notices, which hold if the
    /// entry of the same process returns.
    ///
    /// `has_left` tells whether its entry was removed while the store was in service.
    fn drop_target(&mut self, now: Time, id: &TargetId, has_left: bool) {
        let Some(state) = self.by_id.remove(id) else {
            return;
        };
        let (started_ms, cold_until) = (state.entry.started_ms, state.cold_until);
        self.former
            .record_removal(now, id, started_ms, cold_until, has_left);
        self.keep_notices(now, id, state.entry.started_ms, state.availability);
    }

    fn keep_notices(
        &mut self,
        now: Time,
        id: &TargetId,
        started_ms: u64,
        availability: Availability,
    ) {
        // Without a start time, a process that starts anew looks like the former one.
        let is_in_force = availability.is_leaving || availability.is_paused(now);
        if !is_in_force || started_ms == 0 {
            return;
        }
        let removed = RemovedTarget {
            started_ms,
            availability,
            removed_at: now,
        };
        self.removed.insert(id.clone(), removed);
        if self.removed.len() > MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, r)| r.removed_at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.removed.remove(&id);
            }
        }
    }

    /// Keeps targets whose entries lapse until a time; an earlier one than before
    /// has no effect.
    pub(crate) fn keep_lapsed_until(&mut self, until: Time) {
        self.grace_until = self.grace_until.max(until);
    }

    /// Removes the targets whose entries lapsed and that are kept no longer.
    pub(crate) fn remove_lapsed(&mut self, now: Time) -> Vec<TargetId> {
        let lapsed = self.by_id.iter().filter(|(_, s)| !s.is_kept(now));
        let removed: Vec<TargetId> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in &removed {
            self.drop_target(now, id, false);
        }
        removed
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

    /// Counts an attempt, and the tokens that it holds, in the load of a target.
    /// `running` is the number of requests with its prefix there.
    pub(crate) fn lease(
        &mut self,
        now: Time,
        id: &TargetId,
        query: &TargetQuery<'_>,
        running: f64,
    ) -> Option<Lease> {
        let state = self.by_id.get_mut(id)?;
        state.own.requests += 1;
        state.memory.add(query.prompt_prefix, query.tokens, running);
        state.own.tokens = state.memory.own();
        if state.is_cold(now) {
            state.cold_sent = Some(now);
        }
        Some(Lease {
            target: id.clone(),
            generation: state.generation,
            started_ms: state.entry.started_ms,
            incarnation: incarnation_tag(id, state.entry.started_ms),
            prompt_prefix: query.prompt_prefix,
            tokens: query.tokens.own,
            since: now,
            rollout: None,
        })
    }

    /// Returns whether the start of a target that a lease is for is draining, has said
    /// that it leaves, or has no entry any more.
    pub(crate) fn is_leaving(&self, lease: &Lease) -> bool {
        let state = self.by_id.get(&lease.target);
        let state = state.filter(|s| s.generation == lease.generation);
        state.is_none_or(|s| {
            let is_ready = s.entry.stage == TargetStage::Ready && s.kept_until.is_none();
            !is_ready || s.availability.is_leaving
        })
    }

    /// Ends an attempt. A lease of another generation has no effect.
    pub(crate) fn finish(&mut self, now: Time, lease: &Lease, outcome: AttemptOutcome) {
        let state = self.by_id.get_mut(&lease.target);
        let Some(state) = state.filter(|s| s.generation == lease.generation) else {
            return;
        };
        state.own.requests = state.own.requests.saturating_sub(1);
        state.memory.remove(lease.prompt_prefix, lease.tokens);
        state.own.tokens = state.memory.own();
        match outcome {
            AttemptOutcome::Completed => state.record_outcome(now, false),
            AttemptOutcome::Failed | AttemptOutcome::Broken => state.record_outcome(now, true),
            AttemptOutcome::Moved => self.drop_target(now, &lease.target, true),
            AttemptOutcome::Full | AttemptOutcome::Abandoned => {}
        }
    }

    /// Records the notice in a response to an attempt. It holds for the process
    /// that the attempt was sent to and for no later one.
    pub(crate) fn record_notice(
        &mut self,
        now: Time,
        lease: &Lease,
        notice: TargetNotice,
    ) -> NoticeChange {
        let started_ms = lease.started_ms;
        match self.by_id.get_mut(&lease.target) {
            Some(state) if state.entry.started_ms == started_ms => {
                state.availability.record(now, notice)
            }
            Some(_) => NoticeChange::default(),
            None => {
                let known = self.removed.get(&lease.target);
                let known = known.filter(|r| r.started_ms == started_ms);
                let mut availability = known.map(|r| r.availability).unwrap_or_default();
                let change = availability.record(now, notice);
                self.keep_notices(now, &lease.target, started_ms, availability);
                change
            }
        }
    }

    /// Returns the notices in force of the process that an attempt is sent to.
    pub(crate) fn availability(&self, lease: &Lease) -> Availability {
        let state = self.by_id.get(&lease.target);
        let state = state.map(|s| (s.entry.started_ms, s.availability));
        let removed = self.removed.get(&lease.target);
        let removed = removed.map(|r| (r.started_ms, r.availability));
        let known = state.or(removed);
        let known = known.filter(|(started_ms, _)| *started_ms == lease.started_ms);
        known.map_or(Availability::default(), |(_, availability)| availability)
    }

    pub(crate) fn set_remote_load(&mut self, load: &LoadSummary) {
        for state in self.by_id.values_mut() {
            state.remote = load.held(state.tag);
            state.memory.set_remote(state.remote.tokens);
            state.meter.set_remote(load.work(state.tag));
        }
    }

    /// Returns this instance's load, without prompt prefixes; `reported` returns what is
    /// told of what it holds at a target.
    pub(crate) fn own_load(
        &self,
        now: Time,
        reported: impl Fn(&TargetId, &TargetState) -> Held,
    ) -> LoadSummary {
        let mut load = LoadSummary::default();
        for (id, state) in &self.by_id {
            load.set_held(state.tag, reported(id, state));
            if self.paced.contains(&state.entry.service) {
                load.set_work(state.tag, state.meter.own(now));
            }
        }
        load
    }

    /// Records how long a target took for the next event of a stream.
    pub(crate) fn record_work(&mut self, now: Time, lease: &Lease, took: Duration) {
        let state = self.by_id.get_mut(&lease.target);
        if let Some(state) = state.filter(|s| s.generation == lease.generation) {
            state.meter.record(now, took);
        }
    }

    /// Records the pace that a target tells, in hundredths of the usual time. From
    /// then on the targets of its service are weighed by their pace.
    pub(crate) fn record_pace(&mut self, now: Time, lease: &Lease, pace: u32) {
        if let Some(state) = self.by_id.get_mut(&lease.target) {
            state.meter.record_told(now, pace);
            if !self.paced.contains(&state.entry.service) {
                self.paced.insert(state.entry.service.clone());
            }
        }
    }

    /// Returns whether the targets of a service are weighed by their pace.
    pub(crate) fn is_paced(&self, service: &str) -> bool {
        self.paced.contains(service)
    }

    /// Estimates the pace of all targets whose services are weighed by it, and lets
    /// warm-ups go on. A warm-up ends at `multiple` times the pool's mean load.
    ///
    /// Returns the warm-ups that have begun or ended.
    pub(crate) fn update_paces(&mut self, now: Time, multiple: f64) -> Vec<WarmupChange> {
        let mut changes = Vec::new();
        for service in &self.paced {
            let pool = || self.by_id.values().filter(|s| s.entry.service == *service);
            let usual = usual_time(pool().filter_map(|s| s.meter.mean(now)));
            let (count, load) = pool().fold((0, 0), |(n, sum), s| (n + 1, sum + s.load()));
            let enough = f64::from(load) / f64::from(count.max(1)) * multiple;
            let pool = self.by_id.iter_mut();
            for (id, state) in pool.filter(|(_, s)| s.entry.service == *service) {
                state.meter.estimate(now, usual);
                let (load, meter) = (state.load(), &state.meter);
                let is_waiting = now < state.ejected_until;
                state.warmup = match state.warmup {
                    None if meter.is_slow() => Some(Warmup::begin(now)),
                    Some(warmup) if !is_waiting => warmup.step(now, meter, load, enough),
                    warmup => warmup,
                };
                let is_warming_up = state.warmup.is_some();
                if std::mem::replace(&mut state.was_warming_up, is_warming_up) != is_warming_up {
                    changes.push(WarmupChange {
                        target: id.clone(),
                        has_begun: is_warming_up,
                        pace: state.meter.pace(),
                    });
                }
            }
        }
        changes
    }

    /// Returns the state of the target of a lease or a connection, in the start of the
    /// target that it is for.
    pub(crate) fn of_generation(&mut self, id: &str, generation: u64) -> Option<&mut TargetState> {
        let state = self.by_id.get_mut(id);
        state.filter(|s| s.generation == generation)
    }

    /// Returns an identifier for a new connection.
    pub(crate) fn next_connection(&mut self) -> ConnectionId {
        self.last_connection += 1;
        self.last_connection
    }

    /// Returns the number of this instance's requests at targets.
    pub(crate) fn in_flight(&self) -> u32 {
        self.by_id.values().map(|s| s.own.requests).sum()
    }

    pub(crate) fn dumps(&self, now: Time) -> Vec<RouterTargetDump> {
        let ms = |until: Time| until.saturating_sub(now).as_millis() as u64;
        let row = |(id, s): (&TargetId, &TargetState)| RouterTargetDump {
            target: id.clone(),
            service: s.entry.service.clone(),
            stage: s.entry.stage,
            own: s.own.requests,
            remote: s.remote.requests,
            connections: s.connections.count(now),
            cold_ms: ms(s.cold_until),
            ejected_ms: ms(s.ejected_until),
            is_leaving: s.availability.is_leaving,
            paused_ms: ms(s.availability.paused_until),
            pace: s.meter.pace(),
            warmup_limit: s.warmup.map(|w| w.limit()),
        };
        self.by_id.iter().map(row).collect()
    }
}
