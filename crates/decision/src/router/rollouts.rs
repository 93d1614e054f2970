//! Choice of a target of a service whose requests move to another version.

use super::choose::{self, Pick, TargetQuery};
use super::evacuations::Evacuations;
use super::targets::{AttemptOutcome, Lease, Targets};
use super::{Refusal, Router};
use crate::configuration::{TargetEntry, TargetStage};
use crate::id::{ServiceId, TargetId, Time};
use crate::rollout::{Draw, ReadyTargets, RolloutCommand, RolloutOrder, Rollouts, Side, is_split};
use std::time::Duration;

/// Time since its first entry from which on the speed of a target counts.
const WARM_UP: Duration = Duration::from_secs(3);

impl Router {
    /// Returns the roll-outs.
    pub fn rollouts(&mut self) -> &mut Rollouts {
        &mut self.rollouts
    }

    /// Applies an order to roll a version out; returns whether it is new.
    pub fn order_rollout(&mut self, now: Time, order: RolloutOrder) -> bool {
        // An instance that has just started does not know how many share the slack.
        let instances = match now {
            now if now < super::FLEET_DISCOVERY_TIME => 0,
            _ => self.instances,
        };
        let ready = ready_targets(now, &self.targets, &self.evacuated, &order);
        let service = order.service.clone();
        let is_new = self.rollouts.set_order(now, order, instances);
        self.rollouts.note_registered(now, &service, &ready);
        is_new
    }

    /// Has a version wait for an order if its first target has just appeared beside
    /// those of another. At the start of the process all targets are new.
    pub(super) fn note_version(&mut self, now: Time, id: &TargetId, entry: &TargetEntry) {
        let known = self.targets.get(id);
        let is_known = known.is_some_and(|s| s.entry.software == entry.software);
        if is_known || now < super::FLEET_DISCOVERY_TIME {
            return;
        }
        let others = self.targets.of_service(&entry.service);
        let mut others = others.filter(|(other, _)| *other != id).peekable();
        let has_others = others.peek().is_some();
        if has_others && others.all(|(_, s)| s.entry.software != entry.software) {
            let rollouts = &mut self.rollouts;
            rollouts.note_version(now, &entry.service, &entry.software);
        }
    }

    /// Records that the entry of a target goes, or turns to another version.
    pub(super) fn note_left(&mut self, now: Time, id: &TargetId, entry: Option<&TargetEntry>) {
        let Some(known) = self.targets.get(id).map(|state| &state.entry) else {
            return;
        };
        let software = entry.map(|e| &e.software);
        if software != Some(&known.software) {
            let (service, software) = (known.service.clone(), known.software.clone());
            self.rollouts.note_left(now, &service, &software);
        }
    }

    /// Judges the versions that are rolled out, and returns the calls to the store that
    /// are due. `position` returns the position of this instance among those that may
    /// lead the roll-out of a service.
    pub fn poll_rollouts(
        &mut self,
        now: Time,
        is_hub: bool,
        position: impl Fn(&ServiceId) -> Option<usize>,
    ) -> Vec<RolloutCommand> {
        let (targets, evacuated) = (&self.targets, &self.evacuated);
        let ready = |order: &RolloutOrder| ready_targets(now, targets, evacuated, order);
        let registered = |order: &RolloutOrder| {
            let all = targets.of_service(&order.service);
            let (new, old): (Vec<_>, Vec<_>) = all.partition(|(_, s)| s.entry.software == order.to);
            (old.len() as u32, new.len() as u32)
        };
        self.rollouts.forget_withdrawn(registered);
        self.rollouts.poll(now, is_hub, position, ready)
    }

    /// Chooses a target for an attempt on a route, as [`Router::choose`] does. A
    /// roll-out counts what becomes of it by the route.
    ///
    /// # Errors
    ///
    /// Returns why no target can take the request.
    pub fn choose_on(
        &mut self,
        now: Time,
        query: &TargetQuery<'_>,
        route: &str,
    ) -> Result<Pick, Refusal> {
        // A chat stays with a version, unless its prefix is that of many requests.
        let prefix = query.prompt_prefix;
        let prefix = prefix.filter(|prefix| !is_split(self.prefixes.running(now, *prefix)));
        let draw = Draw {
            key: prefix.unwrap_or(query.spread_hash),
            is_first: query.tried.is_empty(),
        };
        let leaves_out = self.rollouts.leave_out(now, query.service);
        let Some(sides) = self.rollouts.sides(now, query.service, draw) else {
            let chosen = choose::choose(self, now, query);
            self.rollouts.leave_out_none();
            return match chosen {
                Err(_) if leaves_out => choose::choose(self, now, query),
                chosen => chosen,
            };
        };
        let mut refusal = None;
        for side in sides {
            self.rollouts.leave_out(now, query.service);
            self.rollouts.restrict(Some(side));
            let chosen = choose::choose(self, now, query);
            self.rollouts.restrict(None);
            self.rollouts.leave_out_none();
            match chosen {
                Ok(mut pick) => {
                    self.begin_rollout(now, query, route, (side, draw), &mut pick);
                    return Ok(pick);
                }
                Err(error) if side == Side::Old => refusal = Some(error),
                Err(error) => refusal = refusal.or(Some(error)),
            }
        }
        Err(refusal.unwrap_or(Refusal::NoTarget))
    }

    fn begin_rollout(
        &mut self,
        now: Time,
        query: &TargetQuery<'_>,
        route: &str,
        (side, draw): (Side, Draw),
        pick: &mut Pick,
    ) {
        let Some(state) = self.targets.get(&pick.lease.target) else {
            return;
        };
        let is_warm = !state.is_cold(now) && now.saturating_sub(state.known_since) >= WARM_UP;
        let cell = (route, state.entry.domain.as_str());
        let lease = self
            .rollouts
            .begin(query.service, side, draw, cell, is_warm);
        pick.lease.rollout = lease.map(|lease| Box::new((query.service.clone(), lease)));
    }

    /// Records the first byte of the response to an attempt, or the first event if it
    /// is a stream.
    pub fn record_first_byte(&mut self, now: Time, lease: &mut Lease) {
        let wait = now.saturating_sub(lease.since);
        if let Some((service, rollout)) = lease.rollout.as_deref_mut() {
            self.rollouts.record_first_byte(service, rollout, wait);
        }
    }

    pub(super) fn end_rollout(&mut self, lease: &Lease, outcome: AttemptOutcome) {
        let Some((service, rollout)) = lease.rollout.as_deref() else {
            return;
        };
        let failed = match outcome {
            AttemptOutcome::Completed => Some(false),
            AttemptOutcome::Failed | AttemptOutcome::Broken => Some(true),
            AttemptOutcome::Full | AttemptOutcome::Moved | AttemptOutcome::Abandoned => None,
        };
        let has_arrived = !matches!(outcome, AttemptOutcome::Broken | AttemptOutcome::Moved);
        self.rollouts
            .record_end(service, rollout, failed, has_arrived);
    }

    /// Returns whether a version was found to be bad since an attempt at one of its
    /// targets was begun.
    pub(super) fn is_rolled_back(&self, lease: &Lease) -> bool {
        let rollout = lease.rollout.as_deref();
        rollout.is_some_and(|(service, rollout)| self.rollouts.is_stopped(service, rollout))
    }
}

/// Returns the targets of an order's service that take requests.
fn ready_targets(
    now: Time,
    targets: &Targets,
    evacuated: &Evacuations,
    order: &RolloutOrder,
) -> ReadyTargets {
    let mut ready = ReadyTargets::default();
    for (id, state) in targets.of_service(&order.service) {
        let entry = &state.entry;
        let is_open = entry.stage == TargetStage::Ready
            && state.is_kept(now)
            && !state.availability.is_leaving
            && !evacuated.contains(&entry.domain);
        let is_new = order.to == entry.software;
        let since = Some(state.known_since).filter(|_| is_new);
        ready.new_since = [ready.new_since, since].into_iter().flatten().min();
        ready.registered.0 |= !is_new;
        ready.registered.1 |= is_new;
        if is_open && is_new {
            // A cold target does not bear its share yet.
            if !state.is_cold(now) {
                ready.slots.1 += entry.slots;
            }
            let domain = ready.new.entry(entry.domain.clone());
            domain.or_default().push(id.clone());
        } else if is_open {
            ready.slots.0 += entry.slots;
        }
    }
    ready
}
