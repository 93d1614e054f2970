//! When pulses are sent.
//!
//! The work of the fleet is summed up in three steps: instances tell their hub,
//! hubs tell each other, and hubs tell their domains. Each step is timed to come
//! shortly before the next, so that loads are hardly older when they arrive than
//! when they were counted.

use super::{Fleet, Peer, PulseScope};
use crate::id::Time;
use std::time::Duration;

/// Interval of pulses: an engine of the operators' sizes gets a request every
/// 100 ms.
const PULSE_INTERVAL: Duration = Duration::from_millis(200);
/// Time from the pulses between hubs to those to their domains.
const HUB_EXCHANGE_TIME: Duration = Duration::from_millis(15);
/// Time from the pulse of an instance to that of its hub to the domain.
const HUB_LEAD: Duration = Duration::from_millis(45);
/// Age at which another instance's pulse sets the time no longer.
const MAX_ANCHOR_AGE: Duration = Duration::from_millis(700);

impl Fleet {
    /// Time after a tick until its instance's domain is told, if this instance
    /// is a hub.
    pub fn domain_pulse_delay(&self, now: Time) -> Option<Duration> {
        self.is_hub(now).then_some(HUB_EXCHANGE_TIME)
    }

    /// Time until the next tick.
    ///
    /// The mean is the interval of pulses; single times are half as long to
    /// half as long again while an instance falls in with its hub.
    pub fn next_tick_delay(&self, now: Time) -> Duration {
        let Some(due) = self.anchor(now) else {
            return PULSE_INTERVAL;
        };
        let earliest = now + PULSE_INTERVAL / 2;
        let missing = earliest.saturating_sub(due).as_nanos();
        let intervals = missing.div_ceil(PULSE_INTERVAL.as_nanos()) as u32;
        (due + PULSE_INTERVAL * intervals).saturating_sub(now)
    }

    /// A moment at which a tick would have been right: before the last pulse of
    /// the hub, or among hubs at that of the first one.
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

/// When another instance's last pulse came, if it was of this scope and lately.
fn recent_pulse_at(now: Time, peer: &Peer, scope: PulseScope) -> Option<Time> {
    let (at, last_scope) = peer.last_pulse?;
    let is_recent = now.saturating_sub(at) < MAX_ANCHOR_AGE;
    (last_scope == scope && is_recent).then_some(at)
}
