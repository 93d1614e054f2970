//! What pulses say of other instances.

use super::tag_map::TagMap;
use super::{
    CopyStatus, Fleet, FreshnessProofs, InstanceRecord, LoadSummary, Pulse, PulseScope, life_tag,
};
use crate::id::{InstanceId, Time};
use crate::members::Listing;
use std::time::Duration;

/// Longest time for which a connection holds a pulse up, in milliseconds: a
/// link gives up a silent connection after less.
const LATE_MAX_MS: u64 = 3_000;

impl Fleet {
    /// Takes a pulse; returns what it proves about the sender's tables.
    pub fn receive_pulse(&mut self, now: Time, from: &InstanceId, pulse: Pulse) -> FreshnessProofs {
        for heard in pulse.instances {
            self.hear(now, heard);
        }
        self.hear_ages(now, &pulse.heard_ages);
        let Some(peer) = self.peers.get_mut(from) else {
            return FreshnessProofs::new();
        };
        // A pulse that was held up on its way is overtaken by a newer one; one
        // that is far older comes from a new life whose clock was set back.
        let is_late = |last: u64| pulse.sent_ms < last && last - pulse.sent_ms < LATE_MAX_MS;
        if peer.pulse_ms.is_some_and(is_late) {
            return FreshnessProofs::new();
        }
        peer.pulse_ms = Some(pulse.sent_ms);
        peer.heard = peer.heard.max(now);
        peer.told = Some((now, pulse.scope));
        let age = |f: &CopyStatus| Duration::from_millis(u64::from(f.age_ms));
        let estimates = pulse.copies.iter();
        peer.feeds = estimates
            .map(|f| f.as_ref().map(|f| now.saturating_sub(age(f))))
            .collect();
        match pulse.load {
            Some(work) if pulse.scope == PulseScope::All => {
                self.take_total(now, pulse.echo_ms, work);
            }
            Some(work) => {
                peer.work = work;
                peer.worked = Some(now);
            }
            None => {}
        }
        let Some(echo) = pulse.echo_ms.map(Duration::from_millis) else {
            return FreshnessProofs::new();
        };
        let feeds = pulse.copies.iter();
        feeds
            .map(|f| {
                f.as_ref()
                    .and_then(|f| Some((*f, echo.checked_sub(age(f))?)))
            })
            .collect()
    }

    /// Takes the fleet's work; this instance's own, as it had told it, is taken
    /// off.
    fn take_total(&mut self, now: Time, echo_ms: Option<u64>, mut total: LoadSummary) {
        let own = self.told.iter().find(|(at, _)| Some(*at) == echo_ms);
        if let Some((_, own)) = own {
            total.subtract(own);
        }
        self.others = Some((now, total));
    }

    fn hear(&mut self, now: Time, heard: InstanceRecord) {
        let at = now.saturating_sub(Duration::from_millis(u64::from(heard.age_ms)));
        let id = heard.listing.id.clone();
        if id == self.me.id {
            return;
        }
        match self.peers.get_mut(&id) {
            Some(peer) => {
                let is_newer = heard.incarnation > peer.incarnation;
                if is_newer {
                    peer.pulse_ms = None;
                    peer.greeted = false;
                }
                if is_newer || (heard.incarnation == peer.incarnation && at > peer.heard) {
                    let leaving = heard.listing.leaving || (!is_newer && peer.listing.leaving);
                    let listing = Listing {
                        leaving,
                        ..heard.listing
                    };
                    if is_newer || peer.listing != listing {
                        peer.changed = now;
                    }
                    peer.tag = life_tag(&id, heard.incarnation);
                    peer.listing = listing;
                    peer.incarnation = heard.incarnation;
                    peer.heard = peer.heard.max(at);
                }
            }
            None => self.add_peer(now, at, heard.listing, heard.incarnation),
        }
    }

    fn hear_ages(&mut self, now: Time, ages: &TagMap) {
        for peer in self.peers.values_mut() {
            if let Some(age_ms) = ages.0.get(&peer.tag) {
                let age = Duration::from_millis(u64::from(*age_ms));
                peer.heard = peer.heard.max(now.saturating_sub(age));
            }
        }
    }
}
