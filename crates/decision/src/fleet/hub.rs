//! Which instances are live, and which are hubs.

use super::{FORGET_AFTER, Fleet, Peer, PulseScope};
use crate::hash::{hash_parts, rank, winner};
use crate::id::{DomainId, InstanceId, Time};
use crate::members::Listing;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Silence after which an instance no longer counts as live: it is told of
/// over at most two hops, each within [`LISTS`] pulses.
const LIVE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which an instance that is taken for the hub may leave pulses
/// without an answer: five of them.
const HUB_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence of the hubs after which an instance is no longer told who is heard.
const MAX_PULSE_DELAY: Duration = Duration::from_millis(600);
/// Longest time for which the last news of who is heard stands: with [`LIVE`],
/// under the 6 s that operators allow for naming an instance that is gone.
const MAX_NEWS_AGE: Duration = Duration::from_millis(2_500);

impl Fleet {
    pub(super) fn is_live(&self, peer: &Peer, now: Time) -> bool {
        !peer.listing.starting && self.is_heard(peer, now)
    }

    pub(super) fn is_heard(&self, peer: &Peer, now: Time) -> bool {
        let is_reachable = peer
            .failed_at
            .is_none_or(|failed_at| peer.last_heard > failed_at);
        let silence = self.news_at(now).saturating_sub(peer.last_heard);
        !peer.listing.leaving && is_reachable && silence < LIVE_TIMEOUT
    }

    /// Moment up to which this instance is told who is heard. Without a hub it
    /// is told nothing, and for a while that is no sign of the others' silence.
    fn news_at(&self, now: Time) -> Time {
        match self.hub_silence(now) {
            Some(silence) if silence >= MAX_PULSE_DELAY => {
                now.saturating_sub(silence.min(MAX_NEWS_AGE))
            }
            _ => now,
        }
    }

    /// Live instances that take callers, this one included where it does.
    pub fn live(&self, now: Time) -> Vec<&Listing> {
        let me = Some(&self.me).filter(|me| !me.leaving && !me.starting);
        let others = self.peers.values().filter(|p| self.is_live(p, now));
        me.into_iter().chain(others.map(|p| &p.listing)).collect()
    }

    /// Instances that share the limits, and this one's place among them.
    pub fn share(&self, now: Time) -> (usize, usize) {
        let is_known = |p: &&Peer| now.saturating_sub(p.last_heard) < FORGET_AFTER;
        let ids = self.peers.values().filter(is_known).map(|p| &p.listing.id);
        let ids: Vec<&InstanceId> = ids.collect();
        let before = ids.iter().filter(|id| ***id < self.me.id).count();
        (ids.len() + 1, before)
    }

    /// Hub of a failure domain: of the live instances on the strongest machines
    /// the first by rendezvous hashing. Where no other of this instance's domain
    /// is known to serve, those that start count too: instances that start
    /// together know each other's state late, and would all act as hubs.
    pub fn hub(&self, now: Time, domain: &str) -> Option<&Listing> {
        let live = self.live(now).into_iter().filter(|l| l.domain == domain);
        let mut candidates: Vec<&Listing> = live.collect();
        if domain == self.me.domain && candidates.iter().all(|l| l.id == self.me.id) {
            let me = Some(&self.me).filter(|me| !me.leaving);
            let others = self.peers.values().filter(|p| self.is_heard(p, now));
            let starting = me.into_iter().chain(others.map(|p| &p.listing));
            candidates = starting.filter(|l| l.domain == domain).collect();
        }
        let power = candidates.iter().map(|l| l.power).max()?;
        let strongest = candidates.iter().filter(|l| l.power == power);
        let id = winner(domain, strongest.map(|l| l.id.as_str()))?;
        candidates.iter().find(|l| l.id == id).copied()
    }

    /// Whether this instance is the hub of its failure domain.
    pub fn is_hub(&self, now: Time) -> bool {
        let hub = self.hub(now, &self.me.domain);
        hub.is_none_or(|hub| hub.id == self.me.id)
    }

    /// Hubs of all domains in which an instance is live.
    pub(super) fn hubs(&self, now: Time) -> Vec<&Listing> {
        let live = self.live(now);
        let domains: BTreeSet<&DomainId> = live.iter().map(|l| &l.domain).collect();
        let hubs = domains.into_iter().filter_map(|d| self.hub(now, d));
        hubs.collect()
    }

    /// Whether this instance is one of the first `most` hubs, in an order by
    /// rendezvous hashing of `key`, which spreads the work over the hubs.
    pub fn is_chosen_hub(&self, now: Time, key: &str, count: usize) -> bool {
        if !self.is_hub(now) {
            return false;
        }
        let hubs = self.hubs(now).into_iter();
        let hubs = hubs.map(|hub| (hub.id.as_str(), 1));
        let ranking = rank(hash_parts(&[key.as_bytes()]), hubs);
        let position = ranking.iter().position(|id| **id == *self.me.id);
        // A hub that starts is not live; it reads for itself.
        position.is_none_or(|position| position < count)
    }

    /// Time since any hub's pulse came, if one ever did.
    pub fn hub_silence(&self, now: Time) -> Option<Duration> {
        let last = self.hub_pulses().map(|(at, _)| at).max();
        last.map(|at| now.saturating_sub(at))
    }

    /// Estimated age of the newest copy of a table that any hub told of. It
    /// decides when to read; it proves nothing.
    pub fn hub_copy_age(&self, now: Time, table: usize) -> Option<Duration> {
        let newest = self.hub_pulses().filter_map(|(_, peer)| {
            let at = peer.copies_at.get(table)?;
            *at
        });
        newest.max().map(|at| now.saturating_sub(at))
    }

    pub(super) fn hub_pulses(&self) -> impl Iterator<Item = (Time, &Peer)> {
        let pulses = self.peers.values();
        let pulses = pulses.filter_map(|p| Some((p.last_pulse?, p)));
        pulses
            .filter(|((_, scope), _)| *scope != PulseScope::Own)
            .map(|((at, _), peer)| (at, peer))
    }

    /// Gives up an instance that is taken for the hub and does not answer.
    pub(super) fn check_hub(&mut self, now: Time) {
        let hub = self.hub(now, &self.me.domain).map(|hub| hub.id.clone());
        let Some(hub) = hub.filter(|hub| *hub != self.me.id) else {
            self.hub_trial = None;
            return;
        };
        let since = match &self.hub_trial {
            Some((id, since)) if *id == hub => *since,
            _ => now,
        };
        self.hub_trial = Some((hub.clone(), since));
        let last_pulse = self.peers.get(&hub).and_then(|p| p.last_pulse);
        let answered = last_pulse.map_or(since, |(at, _)| at.max(since));
        if now.saturating_sub(answered) >= HUB_TIMEOUT {
            self.peer_lost(now, &hub);
            self.hub_trial = None;
        }
    }

    /// Hubs of the other failure domains. Of a domain in which nobody is heard
    /// one instance after the other is tried.
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

    /// Instances to which news of the store's tables goes on from here.
    pub fn update_recipients(&self, now: Time) -> Vec<Listing> {
        if !self.is_hub(now) {
            return Vec::new();
        }
        let domain = self
            .peers
            .values()
            .filter(|p| p.listing.domain == self.me.domain && self.is_heard(p, now));
        domain.map(|p| p.listing.clone()).collect()
    }
}
