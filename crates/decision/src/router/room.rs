//! What the router knows of the room at plain services.

use super::Router;
use crate::capacity::Capacity;
use crate::configuration::{ServiceSpec, TargetStage};
use crate::id::{ServiceId, TargetId, Time};
use crate::room::RoomTarget;

impl Router {
    /// Returns the plain services, those without engines.
    pub fn plain_services(&self) -> impl Iterator<Item = &ServiceId> {
        let services = self.configuration.iter().flat_map(|c| &c.services);
        let is_plain = |(_, spec): &(&ServiceId, &ServiceSpec)| spec.engine.is_none();
        services.filter(is_plain).map(|(service, _)| service)
    }

    /// Returns the targets of a service that take requests, except for cold ones,
    /// which have a limit of their own.
    pub fn room_targets(&self, now: Time, service: &ServiceId) -> Vec<RoomTarget> {
        let spec = self.configuration.as_ref();
        let spec = spec.and_then(|c| c.services.get(service));
        let targets = self.targets.of_service(service).filter(|(_, state)| {
            state.entry.stage == TargetStage::Ready
                && state.is_kept(now)
                && !state.is_cold(now)
                && !state.availability.is_leaving
                && !state.availability.is_paused(now)
                && !self.evacuated.contains(&state.entry.domain)
        });
        let target = |(id, state): (&TargetId, &super::targets::TargetState)| RoomTarget {
            id: id.clone(),
            capacity: Capacity::new(&state.entry, spec),
            held: state.own + state.remote,
        };
        targets.map(target).collect()
    }

    /// Returns the targets of a service other than `target`. An attempt that excludes
    /// them goes to that one or to none.
    pub fn others(&self, service: &ServiceId, target: &TargetId) -> Vec<TargetId> {
        let all = self.targets.of_service(service).map(|(id, _)| id);
        all.filter(|id| *id != target).cloned().collect()
    }

    /// Returns the warm targets of a service if others are cold. An attempt that
    /// excludes them goes to a cold one or to none.
    pub fn warm_targets(&self, now: Time, service: &ServiceId) -> Option<Vec<TargetId>> {
        let all = self.targets.of_service(service);
        let (cold, warm): (Vec<_>, Vec<_>) = all.partition(|(_, state)| state.is_cold(now));
        let warm = warm.into_iter().map(|(id, _)| id.clone()).collect();
        (!cold.is_empty()).then_some(warm)
    }
}
