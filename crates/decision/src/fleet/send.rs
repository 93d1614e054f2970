//! The pulses that an instance sends.

use super::tag_map::TagMap;
use super::{
    CopyStatus, FORGET_AFTER, Fleet, InstanceRecord, LoadSummary, OutgoingPulse, Peer, Pulse,
    PulseScope,
};
use crate::id::{InstanceId, Time};
use crate::members::Listing;
use std::collections::BTreeSet;
use std::time::Duration;

/// Pulses of a hub of which one, the list, says when each instance was heard from.
/// The others name only the hub.
const LIST_INTERVAL: u64 = 3;
/// Lists of a hub over which the full records of all instances are distributed.
const RECORD_SLICES: u32 = 32;
/// Time for which the record of an instance that has changed is in every list.
const CHANGE_TIME: Duration = Duration::from_secs(3);
/// Targets in use per pulse from one load report to the next, which covers all of
/// them: with 14 KB of control traffic a second, an instance can receive the load
/// of 1,000 targets a second.
const TARGETS_PER_PULSE: usize = 200;
/// Most pulses from one load report to the next: one second.
const MAX_REPORT_INTERVAL: usize = 5;
/// Prompt prefixes in a hub's load report.
const HUB_TOP_PREFIXES: usize = 16;
/// Own load reports that are kept until a hub's pulse echoes them.
const MAX_KEPT_REPORTS: usize = 16;

impl Fleet {
    /// Returns the pulse to a seed. It has the record of this instance alone, because
    /// many instances may ask a seed at once.
    pub fn join_pulse(&self, now: Time) -> Pulse {
        self.first_pulse(now, |_| false)
    }

    /// Returns the first pulse to a new instance: records of its domain, so that it
    /// finds its hub, and of the hubs of the other domains.
    pub fn join_reply(&self, now: Time, to: &str) -> Pulse {
        let domain = self.peers.get(to).map(|p| p.listing.domain.clone());
        let hubs: BTreeSet<InstanceId> = self.hubs(now).into_iter().map(|h| h.id.clone()).collect();
        self.first_pulse(now, |p| {
            Some(&p.listing.domain) == domain.as_ref() || hubs.contains(&p.listing.id)
        })
    }

    fn first_pulse(&self, now: Time, is_included: impl Fn(&Peer) -> bool) -> Pulse {
        Pulse {
            sent_ms: now.as_millis() as u64,
            echo_ms: None,
            scope: PulseScope::Own,
            instances: self.records(now, is_included),
            heard_ages: TagMap::default(),
            load: None,
            copies: Vec::new(),
            pages: true,
            configuration: None,
            crashes: Vec::new(),
            rollouts: Vec::new(),
        }
    }

    /// Forgets instances that have been silent for long, and returns the pulses to
    /// send: to the hub, or, from a hub, to the other hubs.
    pub fn tick(
        &mut self,
        now: Time,
        own: &LoadSummary,
        copies: &[Option<CopyStatus>],
    ) -> Vec<OutgoingPulse> {
        let known = self.peers.len();
        self.peers
            .retain(|_, p| now.saturating_sub(p.last_heard) < FORGET_AFTER);
        if self.peers.len() < known {
            self.hubs.take();
        }
        self.ticks += 1;
        self.check_hub(now);
        let sent_ms = now.as_millis() as u64;
        self.reported.push_back((sent_ms, own.clone()));
        if self.reported.len() > MAX_KEPT_REPORTS {
            self.reported.pop_front();
        }
        let mut out = Vec::new();
        if self.is_hub(now) {
            let pulse = self.hub_pulse(now, own, copies, PulseScope::Domain);
            for hub in self.other_hubs(now) {
                self.send_hub_pulse(now, &mut out, &hub, &pulse);
            }
        } else if let Some(hub) = self.hub(now, &self.me.domain).cloned() {
            let pulse = Pulse {
                sent_ms,
                echo_ms: None,
                scope: PulseScope::Own,
                instances: self.records(now, |_| false),
                heard_ages: TagMap::default(),
                load: Some(own.clone()),
                copies: copies.to_vec(),
                pages: true,
                configuration: None,
                crashes: Vec::new(),
                rollouts: Vec::new(),
            };
            self.send(&mut out, &hub, &pulse);
        }
        out
    }

    /// Returns the pulses to send to this instance's domain, if it is the hub.
    pub fn pulse_domain(
        &mut self,
        now: Time,
        own: &LoadSummary,
        copies: &[Option<CopyStatus>],
    ) -> Vec<OutgoingPulse> {
        if !self.is_hub(now) {
            return Vec::new();
        }
        let pulse = self.hub_pulse(now, own, copies, PulseScope::All);
        let is_list = self.is_list_due();
        let domain = self.me.domain.clone();
        // Silent instances get the lists too: they may not know of this hub yet.
        let receivers: Vec<&Peer> = if is_list {
            let peers = self.peers.values();
            peers.filter(|p| !p.listing.leaving).collect()
        } else {
            self.running(now).collect()
        };
        let receivers = receivers.into_iter().map(|p| &p.listing);
        let receivers: Vec<Listing> = receivers.filter(|l| l.domain == domain).cloned().collect();
        let mut out = Vec::new();
        for receiver in receivers {
            self.send_hub_pulse(now, &mut out, &receiver, &pulse);
        }
        out
    }

    /// Returns a hub's pulse that covers its domain or all instances.
    fn hub_pulse(
        &self,
        now: Time,
        own: &LoadSummary,
        copies: &[Option<CopyStatus>],
        scope: PulseScope,
    ) -> Pulse {
        let is_list = self.is_list_due();
        let is_covered = |p: &Peer| scope == PulseScope::All || p.listing.domain == self.me.domain;
        let is_included = |p: &Peer| is_covered(p) && is_list && self.is_record_due(p, now);
        Pulse {
            sent_ms: now.as_millis() as u64,
            echo_ms: None,
            scope,
            instances: self.records(now, is_included),
            heard_ages: self.heard_ages(now, |p| is_covered(p) && is_list),
            load: self.load_report(now, own, is_covered),
            copies: copies.to_vec(),
            pages: true,
            configuration: None,
            crashes: Vec::new(),
            rollouts: Vec::new(),
        }
    }

    /// Sends a hub's pulse. The first one to a receiver has the records of all
    /// instances that it covers.
    fn send_hub_pulse(
        &mut self,
        now: Time,
        out: &mut Vec<OutgoingPulse>,
        to: &Listing,
        pulse: &Pulse,
    ) {
        let has_records = self.peers.get_mut(&to.id).map(|p| &mut p.has_records);
        if has_records.is_some_and(|has_records| std::mem::replace(has_records, true)) {
            return self.send(out, to, pulse);
        }
        let is_covered =
            |p: &Peer| pulse.scope == PulseScope::All || p.listing.domain == self.me.domain;
        let first = Pulse {
            instances: self.records(now, is_covered),
            ..pulse.clone()
        };
        self.send(out, to, &first);
    }

    /// Returns whether the hub's pulses of this tick are lists.
    fn is_list_due(&self) -> bool {
        self.ticks.is_multiple_of(LIST_INTERVAL)
    }

    /// Returns whether a list of this tick has the record of an instance.
    fn is_record_due(&self, peer: &Peer, now: Time) -> bool {
        let slice = (self.ticks / LIST_INTERVAL) as u32 % RECORD_SLICES;
        now.saturating_sub(peer.changed_at) < CHANGE_TIME || peer.tag % RECORD_SLICES == slice
    }

    /// Returns the load of this instance and of those that `is_included` selects, if
    /// the hub's pulses of this tick report it.
    fn load_report(
        &self,
        now: Time,
        own: &LoadSummary,
        is_included: impl Fn(&Peer) -> bool,
    ) -> Option<LoadSummary> {
        let mut load = self.sum_loads(now, is_included);
        load.add(own);
        let interval = load.targets.0.len().div_ceil(TARGETS_PER_PULSE);
        let interval = interval.clamp(1, MAX_REPORT_INTERVAL) as u64;
        if !self.ticks.is_multiple_of(interval) {
            return None;
        }
        load.keep_top_prefixes(HUB_TOP_PREFIXES);
        Some(load)
    }

    /// Adds a pulse to those to send, with the echo of the receiver's last one.
    fn send(&self, out: &mut Vec<OutgoingPulse>, to: &Listing, pulse: &Pulse) {
        let echo_ms = self.peers.get(&to.id).and_then(|p| p.sent_ms);
        out.push(OutgoingPulse {
            to: to.id.clone(),
            address: to.peer,
            pulse: Pulse {
                echo_ms,
                ..pulse.clone()
            },
        });
    }

    fn heard_ages(&self, now: Time, is_included: impl Fn(&Peer) -> bool) -> TagMap {
        let age = |p: &Peer| now.saturating_sub(p.last_heard);
        let peers = self.peers.values();
        let known = peers.filter(|p| is_included(p) && age(p) < FORGET_AFTER);
        TagMap(known.map(|p| (p.tag, age(p).as_millis() as u32)).collect())
    }

    /// Returns the records of this instance and of those that `is_included` selects.
    fn records(&self, now: Time, is_included: impl Fn(&Peer) -> bool) -> Vec<InstanceRecord> {
        let me = InstanceRecord {
            listing: self.me.clone(),
            incarnation: self.incarnation,
            age_ms: 0,
        };
        let others = self.peers.values().filter(|p| is_included(p));
        let others = others.filter(|p| now.saturating_sub(p.last_heard) < FORGET_AFTER);
        let others = others.map(|p| InstanceRecord {
            listing: p.listing.clone(),
            incarnation: p.incarnation,
            age_ms: now.saturating_sub(p.last_heard).as_millis() as u32,
        });
        std::iter::once(me).chain(others).collect()
    }
}
