//! Pulses that an instance sends.

use super::tag_map::TagMap;
use super::{
    CopyStatus, FORGET, Fleet, InstanceRecord, LoadSummary, OutgoingPulse, Peer, Pulse, PulseScope,
};
use crate::id::{InstanceId, Time};
use crate::members::Listing;
use std::collections::BTreeSet;
use std::time::Duration;

/// Pulses of a hub of which one tells all instances; the others tell the hub.
const LISTS: u64 = 3;
/// Lists of a hub over which all that is known of each instance is spread.
const SLICES: u32 = 32;
/// Time for which what has changed of an instance is told in each list.
const CHANGE_TOLD: Duration = Duration::from_secs(3);
/// Busy targets for each pulse between two that tell the work at all of them:
/// at 14 KB a second for control, an instance can be told of 1,000 a second.
const TARGETS_A_PULSE: usize = 200;
/// Most pulses from one that tells the work to the next: a second.
const WORK_PULSES: usize = 5;
/// Subjects that a hub's pulse names.
const SUBJECTS: usize = 16;
/// Own pulses whose work is remembered until a hub's answer.
const PULSES: usize = 16;

impl Fleet {
    /// Pulse to a seed, which names this instance alone: many may ask at once.
    pub fn join_pulse(&self, now: Time) -> Pulse {
        self.first_pulse(now, |_| false)
    }

    /// First pulse to an instance that has introduced itself: its domain, in
    /// which it finds its hub, and the hubs of the others.
    pub fn join_reply(&self, now: Time, to: &str) -> Pulse {
        let domain = self.peers.get(to).map(|p| p.listing.domain.clone());
        let hubs: BTreeSet<InstanceId> = self.hubs(now).into_iter().map(|h| h.id.clone()).collect();
        self.first_pulse(now, |p| {
            Some(&p.listing.domain) == domain.as_ref() || hubs.contains(&p.listing.id)
        })
    }

    fn first_pulse(&self, now: Time, wanted: impl Fn(&Peer) -> bool) -> Pulse {
        Pulse {
            sent_ms: now.as_millis() as u64,
            echo_ms: None,
            scope: PulseScope::Own,
            instances: self.heard(now, wanted),
            heard_ages: TagMap::default(),
            load: None,
            copies: Vec::new(),
        }
    }

    /// Forgets instances that have been silent for long, and says what to send
    /// to the hub, or as a hub to the others.
    pub fn tick(
        &mut self,
        now: Time,
        own: &LoadSummary,
        feeds: &[Option<CopyStatus>],
    ) -> Vec<OutgoingPulse> {
        self.peers
            .retain(|_, p| now.saturating_sub(p.heard) < FORGET);
        self.ticks += 1;
        self.try_hub(now);
        let at_ms = now.as_millis() as u64;
        self.told.push_back((at_ms, own.clone()));
        if self.told.len() > PULSES {
            self.told.pop_front();
        }
        let mut out = Vec::new();
        if self.is_hub(now) {
            let pulse = self.hub_pulse(now, own, feeds, PulseScope::Domain);
            for hub in self.other_hubs(now) {
                self.tell(now, &mut out, &hub, &pulse);
            }
        } else if let Some(hub) = self.hub(now, &self.me.domain).cloned() {
            let pulse = Pulse {
                sent_ms: at_ms,
                echo_ms: None,
                scope: PulseScope::Own,
                instances: self.heard(now, |_| false),
                heard_ages: TagMap::default(),
                load: Some(own.clone()),
                copies: feeds.to_vec(),
            };
            self.send(&mut out, &hub, &pulse);
        }
        out
    }

    /// Says what to send to this instance's domain, if it is the hub.
    pub fn pulse_domain(
        &mut self,
        now: Time,
        own: &LoadSummary,
        feeds: &[Option<CopyStatus>],
    ) -> Vec<OutgoingPulse> {
        if !self.is_hub(now) {
            return Vec::new();
        }
        let pulse = self.hub_pulse(now, own, feeds, PulseScope::All);
        let tells_all = self.ticks.is_multiple_of(LISTS);
        let domain = self.me.domain.clone();
        let here = self.peers.values().filter(|p| p.listing.domain == domain);
        // Those that are silent may not know of this hub.
        let here = here.filter(|p| self.is_heard(p, now) || tells_all && !p.listing.leaving);
        let here: Vec<Listing> = here.map(|p| p.listing.clone()).collect();
        let mut out = Vec::new();
        for listing in here {
            self.tell(now, &mut out, &listing, &pulse);
        }
        out
    }

    /// Pulse of a hub, about its domain or about all instances.
    fn hub_pulse(
        &self,
        now: Time,
        own: &LoadSummary,
        feeds: &[Option<CopyStatus>],
        scope: PulseScope,
    ) -> Pulse {
        let tells_all = self.ticks.is_multiple_of(LISTS);
        let is_covered = |p: &Peer| scope == PulseScope::All || p.listing.domain == self.me.domain;
        Pulse {
            sent_ms: now.as_millis() as u64,
            echo_ms: None,
            scope,
            instances: self.heard(now, |p| is_covered(p) && tells_all && self.is_due(p, now)),
            heard_ages: self.ages(now, |p| is_covered(p) && tells_all),
            load: self.work_to_tell(now, own, is_covered),
            copies: feeds.to_vec(),
        }
    }

    /// Sends a pulse, the first one with all that is known of those it covers.
    fn tell(&mut self, now: Time, out: &mut Vec<OutgoingPulse>, to: &Listing, pulse: &Pulse) {
        let greeted = self.peers.get_mut(&to.id).map(|p| &mut p.greeted);
        if greeted.is_some_and(|greeted| std::mem::replace(greeted, true)) {
            return self.send(out, to, pulse);
        }
        let is_covered =
            |p: &Peer| pulse.scope == PulseScope::All || p.listing.domain == self.me.domain;
        let first = Pulse {
            instances: self.heard(now, is_covered),
            ..pulse.clone()
        };
        self.send(out, to, &first);
    }

    /// Whether all that is known of an instance is told in this list.
    fn is_due(&self, peer: &Peer, now: Time) -> bool {
        let turn = (self.ticks / LISTS) as u32 % SLICES;
        now.saturating_sub(peer.changed) < CHANGE_TOLD || peer.tag % SLICES == turn
    }

    /// Work of this instance and of some others, if it is told in this pulse.
    fn work_to_tell(
        &self,
        now: Time,
        own: &LoadSummary,
        wanted: impl Fn(&Peer) -> bool,
    ) -> Option<LoadSummary> {
        let mut work = self.sum(now, wanted);
        work.add(own);
        let pulses = work.targets.0.len().div_ceil(TARGETS_A_PULSE);
        let pulses = pulses.clamp(1, WORK_PULSES) as u64;
        if !self.ticks.is_multiple_of(pulses) {
            return None;
        }
        work.keep_top_prefixes(SUBJECTS);
        Some(work)
    }

    fn send(&self, out: &mut Vec<OutgoingPulse>, to: &Listing, pulse: &Pulse) {
        let echo_ms = self.peers.get(&to.id).and_then(|p| p.pulse_ms);
        out.push(OutgoingPulse {
            to: to.id.clone(),
            address: to.peer,
            pulse: Pulse {
                echo_ms,
                ..pulse.clone()
            },
        });
    }

    fn ages(&self, now: Time, wanted: impl Fn(&Peer) -> bool) -> TagMap {
        let age = |p: &Peer| now.saturating_sub(p.heard);
        let known = self.peers.values().filter(|p| wanted(p) && age(p) < FORGET);
        TagMap(known.map(|p| (p.tag, age(p).as_millis() as u32)).collect())
    }

    fn heard(&self, now: Time, wanted: impl Fn(&Peer) -> bool) -> Vec<InstanceRecord> {
        let me = InstanceRecord {
            listing: self.me.clone(),
            incarnation: self.incarnation,
            age_ms: 0,
        };
        let others = self.peers.values().filter(|p| wanted(p));
        let others = others.filter(|p| now.saturating_sub(p.heard) < FORGET);
        let others = others.map(|p| InstanceRecord {
            listing: p.listing.clone(),
            incarnation: p.incarnation,
            age_ms: now.saturating_sub(p.heard).as_millis() as u32,
        });
        std::iter::once(me).chain(others).collect()
    }
}
