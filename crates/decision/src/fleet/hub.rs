//! Which instances are live, and which of them are hubs.

use super::{FORGET_AFTER, Fleet, Peer, PulseScope};
use crate::hash::{hash_parts, rank, winner};
use crate::id::{DomainId, InstanceId, Time};
use crate::members::Listing;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Silence after which an instance no longer counts as live. News of it takes two
/// hops at most, from hub to hub and to the domain, and each of them waits up to
/// three pulses for a list.
const LIVE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which the presumed hub may leave pulses unanswered: five of them.
const HUB_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence of the hubs at which an instance is regarded as no longer informed about
/// the others.
const MAX_PULSE_DELAY: Duration = Duration::from_millis(600);
/// Longest time for which the last news about other instances is relied on. With
/// [`LIVE_TIMEOUT`] it stays below the 6 s for which operators allow an instance
/// that is gone to be listed as live.
const MAX_NEWS_AGE: Duration = Duration::from_millis(2_500);

impl Fleet {
    /// Returns whether an instance runs and accepts callers.
    pub(super) fn is_live(&self, peer: &Peer, now: Time) -> bool {
        !peer.listing.starting && self.is_running(peer, now)
    }

    /// Returns whether an instance runs and is not leaving. Unlike a live one, it may
    /// still be starting.
    pub(super) fn is_running(&self, peer: &Peer, now: Time) -> bool {
        let is_reachable = peer
            .failed_at
            .is_none_or(|failed_at| peer.last_heard > failed_at);
        let silence = self.known_until(now).saturating_sub(peer.last_heard);
        !peer.listing.leaving && is_reachable && silence < LIVE_TIMEOUT
    }

    /// Returns the time up to which this instance knows who was heard from.
    ///
    /// Without a hub it learns nothing about the others, so that for a while their
    /// silence does not mean that they are gone.
    fn known_until(&self, now: Time) -> Time {
        match self.hub_silence(now) {
            Some(silence) if silence >= MAX_PULSE_DELAY => {
                now.saturating_sub(silence.min(MAX_NEWS_AGE))
            }
            _ => now,
        }
    }

    /// Returns the live instances that accept callers, including this one where it
    /// does.
    pub fn live(&self, now: Time) -> Vec<&Listing> {
        let me = Some(&self.me).filter(|me| !me.leaving && !me.starting);
        let others = self.peers.values().filter(|p| self.is_live(p, now));
        me.into_iter().chain(others.map(|p| &p.listing)).collect()
    }

    /// Returns the number of instances that share the limits, and the position of
    /// this one in the order of their names.
    pub fn share(&self, now: Time) -> (usize, usize) {
        let is_known = |p: &&Peer| now.saturating_sub(p.last_heard) < FORGET_AFTER;
        let ids = self.peers.values().filter(is_known).map(|p| &p.listing.id);
        let ids: Vec<&InstanceId> = ids.collect();
        let before = ids.iter().filter(|id| ***id < self.me.id).count();
        (ids.len() + 1, before)
    }

    /// Returns the hub of a failure domain: the first by rendezvous hashing of the
    /// live instances on the strongest machines.
    ///
    /// In this instance's domain, starting instances are candidates too as long as
    /// no other live one is known: instances that start together learn of each
    /// other's state late and would all act as hubs.
    pub fn hub(&self, now: Time, domain: &str) -> Option<&Listing> {
        let live = self.live(now).into_iter().filter(|l| l.domain == domain);
        let mut candidates: Vec<&Listing> = live.collect();
        if domain == self.me.domain && candidates.iter().all(|l| l.id == self.me.id) {
            let me = Some(&self.me).filter(|me| !me.leaving);
            let others = self.peers.values().filter(|p| self.is_running(p, now));
            let starting = me.into_iter().chain(others.map(|p| &p.listing));
            candidates = starting.filter(|l| l.domain == domain).collect();
        }
        let power = candidates.iter().map(|l| l.power).max()?;
        let strongest = candidates.iter().filter(|l| l.power == power);
        let id = winner(domain, strongest.map(|l| l.id.as_str()))?;
        candidates.iter().find(|l| l.id == id).copied()
    }

    /// Returns whether this instance is the hub of its failure domain. It also acts as
    /// one where it knows no candidate.
    pub fn is_hub(&self, now: Time) -> bool {
        let hub = self.hub(now, &self.me.domain);
        hub.is_none_or(|hub| hub.id == self.me.id)
    }

    /// Returns the hubs of all domains that have a live instance.
    pub(super) fn hubs(&self, now: Time) -> Vec<&Listing> {
        let live = self.live(now);
        let domains: BTreeSet<&DomainId> = live.iter().map(|l| &l.domain).collect();
        let hubs = domains.into_iter().filter_map(|d| self.hub(now, d));
        hubs.collect()
    }

    /// Returns whether this instance is one of the first `count` hubs by rendezvous
    /// hashing of `key`, which distributes tasks over the hubs.
    pub fn is_chosen_hub(&self, now: Time, key: &str, count: usize) -> bool {
        if !self.is_hub(now) {
            return false;
        }
        let hubs = self.hubs(now).into_iter();
        let hubs = hubs.map(|hub| (hub.id.as_str(), 1));
        let ranking = rank(hash_parts(&[key.as_bytes()]), hubs);
        let position = ranking.iter().position(|id| **id == *self.me.id);
        // A hub that is starting is not live and so not in the ranking. It does the
        // task for itself.
        position.is_none_or(|position| position < count)
    }

    /// Returns the time since the last pulse of any hub, if one ever came.
    pub fn hub_silence(&self, now: Time) -> Option<Duration> {
        let last = self.hub_pulses().map(|(at, _)| at).max();
        last.map(|at| now.saturating_sub(at))
    }

    /// Returns the estimated age of the newest copy of a table that any hub has.
    ///
    /// The estimate decides when to read the table, but it proves nothing.
    pub fn hub_copy_age(&self, now: Time, table: usize) -> Option<Duration> {
        let newest = self.hub_pulses().filter_map(|(_, peer)| {
            let at = peer.copies_at.get(table)?;
            *at
        });
        newest.max().map(|at| now.saturating_sub(at))
    }

    /// Returns the peers that sent their last pulse as a hub, each with the time of
    /// its arrival.
    pub(super) fn hub_pulses(&self) -> impl Iterator<Item = (Time, &Peer)> {
        let pulses = self.peers.values();
        let pulses = pulses.filter_map(|p| Some((p.last_pulse?, p)));
        pulses
            .filter(|((_, scope), _)| *scope != PulseScope::Own)
            .map(|((at, _), peer)| (at, peer))
    }

    /// Marks the presumed hub of this domain as unreachable if it answers no pulse.
    pub(super) fn check_hub(&mut self, now: Time) {
        let hub = self.hub(now, &self.me.domain).map(|hub| hub.id.clone());
        let Some(hub) = hub.filter(|hub| *hub != self.me.id) else {
            self.presumed_hub = None;
            return;
        };
        let since = match &self.presumed_hub {
            Some((id, since)) if *id == hub => *since,
            _ => now,
        };
        self.presumed_hub = Some((hub.clone(), since));
        let last_pulse = self.peers.get(&hub).and_then(|p| p.last_pulse);
        let answered_at = last_pulse.map_or(since, |(at, _)| at.max(since));
        if now.saturating_sub(answered_at) >= HUB_TIMEOUT {
            self.peer_lost(now, &hub);
            self.presumed_hub = None;
        }
    }

    /// Returns the hubs of the other failure domains. For a domain without a live
    /// instance it returns one of the known instances, another one at each tick.
    pub fn other_hubs(&self, now: Time) -> Vec<Listing> {
        let mut domains: BTreeMap<&DomainId, Vec<&Listing>> = BTreeMap::new();
        let known = self.peers.values().map(|p| &p.listing);
        for listing in known.filter(|l| l.domain != self.me.domain && !l.leaving) {
            domains.entry(&listing.domain).or_default().push(listing);
        }
        let hub = |(domain, known): (&DomainId, Vec<&Listing>)| {
            let turn = (self.ticks as usize) % known.len();
            self.hub(now, domain).unwrap_or(known[turn]).clone()
        };
        domains.into_iter().map(hub).collect()
    }

    /// Returns the instances to which this one forwards updates of the store's
    /// tables: those of its domain if it is the hub, or else none.
    pub fn update_recipients(&self, now: Time) -> Vec<Listing> {
        if !self.is_hub(now) {
            return Vec::new();
        }
        let domain = self
            .peers
            .values()
            .filter(|p| p.listing.domain == self.me.domain && self.is_running(p, now));
        domain.map(|p| p.listing.clone()).collect()
    }
}
