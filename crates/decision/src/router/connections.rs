//! Connections to targets: which one an attempt uses, by the limit that the service
//! states.

use super::targets::{Lease, TargetState};
use super::{FLEET_DISCOVERY_TIME, Router};
use crate::configuration::TargetStage;
use crate::connections::{ConnectionId, ConnectionLimit, ConnectionPlan, REPORT_AGE, Reuse};
use crate::id::{TargetId, Time};

/// Connection to a target that counts towards its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionClaim {
    /// Target.
    pub target: TargetId,
    /// Connection.
    pub id: ConnectionId,
    /// Generation of the target when the connection was opened.
    generation: u64,
}

impl Router {
    /// Chooses the connection on which an attempt is sent. One that is reused or opened
    /// counts until [`Router::close_connection`] and for some time after.
    pub fn claim_connection(
        &mut self,
        now: Time,
        lease: &Lease,
        reuse: Reuse,
    ) -> (ConnectionPlan, Option<ConnectionClaim>) {
        self.update_sharers(now);
        let new_id = self.targets.next_connection();
        let state = self.targets.get(&lease.target);
        let state = state.filter(|s| s.generation == lease.generation);
        let limit = state.and_then(|s| self.connection_limit(now, &lease.target, s));
        let state = self.targets.of_generation(&lease.target, lease.generation);
        let (Some(limit), Some(state)) = (limit, state) else {
            return (ConnectionPlan::Uncounted, None);
        };
        let plan = state.connections.claim(now, &limit, reuse, new_id);
        let claim = |id| ConnectionClaim {
            target: lease.target.clone(),
            id,
            generation: lease.generation,
        };
        match plan {
            ConnectionPlan::Reuse(id) | ConnectionPlan::Open(id) => (plan, Some(claim(id))),
            ConnectionPlan::Uncounted | ConnectionPlan::Full => (plan, None),
        }
    }

    /// Keeps a connection for another request until a time; returns whether it may be
    /// kept. It may not where its target takes no more requests.
    pub fn rest_connection(&mut self, now: Time, claim: &ConnectionClaim, until: Time) -> bool {
        if !self.takes_requests(now, claim) {
            return false;
        }
        let state = self.targets.of_generation(&claim.target, claim.generation);
        state.is_some_and(|s| s.connections.rest(now, claim.id, until))
    }

    /// Returns whether a resting connection is still to be kept.
    pub fn keeps_connection(&self, now: Time, claim: &ConnectionClaim) -> bool {
        let state = self.targets.get(&claim.target);
        let is_resting = state.is_some_and(|s| s.connections.is_resting(now, claim.id));
        is_resting && self.takes_requests(now, claim)
    }

    /// Returns whether the target of a connection may be asked to keep it.
    pub fn may_keep(&self, now: Time, claim: &ConnectionClaim) -> bool {
        let state = self.targets.get(&claim.target);
        let is_kept = state.is_none_or(|s| s.connections.may_keep(now));
        is_kept && self.takes_requests(now, claim)
    }

    /// Records that a target has sent bytes on a connection that belong to no request.
    /// For a while none is kept.
    pub fn record_surplus(&mut self, now: Time, claim: &ConnectionClaim) {
        let state = self.targets.of_generation(&claim.target, claim.generation);
        if let Some(state) = state {
            state.connections.record_surplus(now);
        }
    }

    /// Records that a connection was closed.
    pub fn close_connection(&mut self, now: Time, claim: &ConnectionClaim) {
        let state = self.targets.of_generation(&claim.target, claim.generation);
        if let Some(state) = state {
            state.connections.close(now, claim.id);
        }
    }

    /// Returns the connections of this instance that count at a target.
    pub fn connection_count(&self, now: Time, target: &str) -> u32 {
        let state = self.targets.get(target);
        state.map_or(0, |s| s.connections.count(now))
    }

    fn takes_requests(&self, now: Time, claim: &ConnectionClaim) -> bool {
        let state = self.targets.get(&claim.target);
        let state = state.filter(|s| s.generation == claim.generation);
        state.is_some_and(|s| {
            s.entry.stage == TargetStage::Ready
                && s.is_kept(now)
                && !s.availability.is_leaving
                && !self.evacuated.contains(&s.entry.domain)
        })
    }

    /// Returns whether an attempt can be sent to a target without exceeding the limit
    /// on its connections.
    pub(super) fn has_connection_room(&self, now: Time, id: &str, state: &TargetState) -> bool {
        let limit = self.connection_limit(now, id, state);
        limit.is_none_or(|limit| state.connections.has_room(now, &limit))
    }

    /// Returns the connections to a target that pulses report.
    pub(super) fn excess_connections(&self, now: Time, id: &str, state: &TargetState) -> u32 {
        let limit = self.connection_limit(now, id, state);
        limit.map_or(0, |limit| state.connections.excess(now, &limit))
    }

    pub(super) fn update_sharers(&mut self, now: Time) {
        let is_known = now >= FLEET_DISCOVERY_TIME;
        self.sharers
            .update(now, self.instances, self.position, is_known);
    }

    fn connection_limit<'a>(
        &self,
        now: Time,
        target: &'a str,
        state: &TargetState,
    ) -> Option<ConnectionLimit<'a>> {
        let configuration = self.configuration.as_ref()?;
        let service = configuration.services.get(&state.entry.service)?;
        let is_recent = |at: Time| now.saturating_sub(at) <= REPORT_AGE;
        let is_alone = self.instances == 1;
        let is_reported = is_alone || self.remote_load_at.is_some_and(is_recent);
        Some(ConnectionLimit {
            target,
            limit: service.max_connections?,
            reported: is_reported.then_some(state.remote.connections),
            sharers: self.sharers,
        })
    }
}
