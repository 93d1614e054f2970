//! Processing of received pulses.

use super::tag_map::TagMap;
use super::{
    CopyStatus, Fleet, FreshnessProofs, InstanceRecord, LoadSummary, Pulse, PulseScope,
    incarnation_tag,
};
use crate::id::{InstanceId, Time};
use crate::members::Listing;
use std::time::Duration;

/// Longest time in milliseconds for which a connection delays a pulse: a link
/// gives up a silent connection earlier.
const MAX_DELAY_MS: u64 = 3_000;

impl Fleet {
    /// Processes a pulse and returns what it proves about the sender's copies of
    /// the store's tables.
    ///
    /// A copy's age is subtracted from the time of the pulse that the sender
    /// echoes. That time is on this instance's clock, and the sender determined the
    /// age after it, so that the proved time is never too late.
    pub fn receive_pulse(&mut self, now: Time, from: &InstanceId, pulse: Pulse) -> FreshnessProofs {
        self.is_informed |= pulse.configuration.is_some();
        for record in pulse.instances {
            self.apply_record(now, record);
        }
        self.apply_heard_ages(now, &pulse.heard_ages);
        let Some(peer) = self.peers.get_mut(from) else {
            return FreshnessProofs::new();
        };
        // A pulse that was delayed on its way may arrive after a newer one and is
        // ignored. One that is far older comes from a new incarnation whose clock
        // starts anew.
        let is_late = |last: u64| pulse.sent_ms < last && last - pulse.sent_ms < MAX_DELAY_MS;
        if peer.sent_ms.is_some_and(is_late) {
            return FreshnessProofs::new();
        }
        peer.sent_ms = Some(pulse.sent_ms);
        let is_back = peer.heard(now, now);
        peer.last_pulse = Some((now, pulse.scope));
        peer.pages = Some(pulse.pages);
        let age = |c: &CopyStatus| Duration::from_millis(u64::from(c.age_ms));
        let copies = pulse.copies.iter();
        peer.copies_at = copies
            .map(|c| c.as_ref().map(|c| now.saturating_sub(age(c))))
            .collect();
        if is_back {
            self.hubs.take();
        }
        match pulse.load {
            Some(load) if pulse.scope == PulseScope::All => {
                self.apply_total(now, pulse.echo_ms, load);
            }
            Some(load) => {
                peer.load = load;
                peer.load_at = Some(now);
            }
            None => {}
        }
        // A sender that has not heard of this instance's start echoes a pulse from before
        // it, whose time was on another clock.
        let echo = pulse.echo_ms.map(Duration::from_millis);
        let Some(echo) = echo.filter(|echo| *echo <= now) else {
            return FreshnessProofs::new();
        };
        let copies = pulse.copies.iter();
        copies
            .map(|c| {
                c.as_ref()
                    .and_then(|c| Some((*c, echo.checked_sub(age(c))?)))
            })
            .collect()
    }

    /// Stores the load of the whole fleet, without the load that this instance
    /// reported in the pulse that the hub echoes.
    fn apply_total(&mut self, now: Time, echo_ms: Option<u64>, mut total: LoadSummary) {
        let own = self.reported.iter().find(|(at, _)| Some(*at) == echo_ms);
        if let Some((_, own)) = own {
            total.subtract(own);
        }
        self.remote = Some((now, total));
    }

    /// Applies a record of another instance. One of an older incarnation, or of the
    /// same one without later news of it, has no effect.
    fn apply_record(&mut self, now: Time, record: InstanceRecord) {
        let at = now.saturating_sub(Duration::from_millis(u64::from(record.age_ms)));
        let id = record.listing.id.clone();
        if id == self.me.id {
            return;
        }
        match self.peers.get_mut(&id) {
            Some(peer) => {
                let is_newer = record.incarnation > peer.incarnation;
                if is_newer {
                    peer.sent_ms = None;
                    peer.has_records = false;
                }
                if is_newer || (record.incarnation == peer.incarnation && at > peer.last_heard) {
                    let leaving = record.listing.leaving || (!is_newer && peer.listing.leaving);
                    let listing = Listing {
                        leaving,
                        ..record.listing
                    };
                    let is_changed = is_newer || peer.listing != listing;
                    if is_changed {
                        peer.changed_at = now;
                    }
                    peer.tag = incarnation_tag(&id, record.incarnation);
                    peer.listing = listing;
                    peer.incarnation = record.incarnation;
                    if peer.heard(now, at) || is_changed {
                        self.hubs.take();
                    }
                }
            }
            None => self.add_peer(now, at, record.listing, record.incarnation),
        }
    }

    fn apply_heard_ages(&mut self, now: Time, ages: &TagMap) {
        if ages.0.is_empty() {
            return;
        }
        for peer in self.peers.values_mut() {
            if let Some(age_ms) = ages.0.get(&peer.tag) {
                let age = Duration::from_millis(u64::from(*age_ms));
                if peer.heard(now, now.saturating_sub(age)) {
                    self.hubs.take();
                }
            }
        }
    }
}
