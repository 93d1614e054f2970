//! When pulses are sent.
//!
//! The load of the fleet is summed up in three steps: instances report to their
//! hub, hubs report to each other, and hubs report to their domains. Each step
//! comes shortly before the next one, so that loads are hardly older when they
//! arrive than when they were counted.

use super::{Fleet, Peer, PulseScope};
use crate::id::Time;
use std::time::Duration;

/// Interval of pulses. An engine of the size that the operators use gets a request
/// every 100 ms.
const PULSE_INTERVAL: Duration = Duration::from_millis(200);
/// Time from a hub's pulse to the other hubs until its pulse to its domain.
const HUB_EXCHANGE_TIME: Duration = Duration::from_millis(15);
/// Time from an instance's pulse until its hub's pulse to the domain.
const HUB_LEAD: Duration = Duration::from_millis(45);
/// Age at which another instance's pulse no longer sets the time of ticks.
const MAX_ANCHOR_AGE: Duration = Duration::from_millis(700);

impl Fleet {
    /// Returns the time from a tick until the pulse to this instance's domain, if
    /// this instance is its hub.
    pub fn domain_pulse_delay(&self, now: Time) -> Option<Duration> {
        self.is_hub(now).then_some(HUB_EXCHANGE_TIME)
    }

    /// Returns the time until the next tick.
    ///
    /// It is the interval of pulses on average. While an instance synchronizes with
    /// its hub, it is between half and one and a half of the interval.
    pub fn next_tick_delay(&self, now: Time) -> Duration {
        let Some(due) = self.anchor(now) else {
            return PULSE_INTERVAL;
        };
        let earliest = now + PULSE_INTERVAL / 2;
        let missing = earliest.saturating_sub(due).as_nanos();
        let intervals = missing.div_ceil(PULSE_INTERVAL.as_nanos()) as u32;
        (due + PULSE_INTERVAL * intervals).saturating_sub(now)
    }

    /// Returns a time at which a tick would have been in step: shortly before the
    /// last pulse of the hub, or, for a hub, at the last pulse of the hub with the
    /// first name.
    fn anchor(&self, now: Time) -> Option<Time> {
        if !self.is_hub(now) {
            let hub = self.hub(now, &self.me.domain)?;
            let pulse_at = recent_pulse_at(now, self.peers.get(&hub.id)?, PulseScope::All);
            return pulse_at.map(|at| at.saturating_sub(HUB_LEAD));
        }
        let first = self.hubs(now).into_iter().map(|h| &h.id).min()?;
        let peer = self.peers.get(first).filter(|_| *first < self.me.id)?;
        recent_pulse_at(now, peer, PulseScope::Domain)
    }
}

/// Returns when a peer's last pulse arrived, if it was recent and of this scope.
fn recent_pulse_at(now: Time, peer: &Peer, scope: PulseScope) -> Option<Time> {
    let (at, last_scope) = peer.last_pulse?;
    let is_recent = now.saturating_sub(at) < MAX_ANCHOR_AGE;
    (last_scope == scope && is_recent).then_some(at)
}
