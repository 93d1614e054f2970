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
/// Time for which the hubs that were determined are used, unless an instance has
/// changed in the meantime. It delays the detection of a timeout.
const HUB_TABLE_LIFETIME: Duration = Duration::from_millis(10);

/// Part of the strongest machine's power from which a machine counts as strong.
const STRONG_SHARE: f64 = 0.75;

/// The hub of each failure domain that has one.
#[derive(Clone, Debug)]
pub(super) struct HubTable {
    determined_at: Time,
    by_domain: BTreeMap<DomainId, InstanceId>,
}

/// Returns whether a peer runs and is not leaving, as known at `known_until`.
fn is_running(peer: &Peer, known_until: Time) -> bool {
    let is_reachable = peer
        .failed_at
        .is_none_or(|failed_at| peer.last_heard > failed_at);
    let silence = known_until.saturating_sub(peer.last_heard);
    !peer.listing.leaving && is_reachable && silence < LIVE_TIMEOUT
}

impl Peer {
    /// Records that the instance was heard from at `at`. Returns whether it may be
    /// running only since then.
    pub(super) fn heard(&mut self, now: Time, at: Time) -> bool {
        let before = self.last_heard;
        self.last_heard = before.max(at);
        let was_silent = now.saturating_sub(before) >= LIVE_TIMEOUT / 2;
        let had_failed = self.failed_at.is_some_and(|f| before <= f && f < at);
        at > before && (was_silent || had_failed)
    }
}

impl Fleet {
    /// Returns the peers that run and are not leaving. Unlike live ones, they may
    /// still be starting.
    pub(super) fn running(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let known_until = self.known_until(now);
        let peers = self.peers.values();
        peers.filter(move |p| is_running(p, known_until))
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
        let others = self.running(now).map(|p| &p.listing);
        let others = others.filter(|l| !l.starting);
        me.into_iter().chain(others).collect()
    }

    /// Returns the instances that run and are not leaving, including this one, as far as
    /// a list lacks them.
    pub fn missing_from(&self, now: Time, list: &[Listing]) -> Vec<Listing> {
        let listed: BTreeSet<&InstanceId> = list.iter().map(|l| &l.id).collect();
        let me = Some(&self.me).filter(|me| !me.leaving);
        let running = self.running(now).map(|p| &p.listing);
        let all = me.into_iter().chain(running);
        all.filter(|l| !listed.contains(&l.id)).cloned().collect()
    }

    /// Returns the number of instances that share the limits, and the position of
    /// this one in the order of their names.
    pub fn share(&self, now: Time) -> (usize, usize) {
        let is_known = |p: &&Peer| now.saturating_sub(p.last_heard) < FORGET_AFTER;
        let ids = self.peers.values().filter(is_known).map(|p| &p.listing.id);
        let (mut count, mut before) = (1, 0);
        for id in ids {
            count += 1;
            before += usize::from(*id < self.me.id);
        }
        (count, before)
    }

    /// Returns the failure domains in which instances run, by what any instance heard.
    pub fn domains(&self, now: Time) -> BTreeSet<DomainId> {
        let running = self.running(now).map(|p| p.listing.domain.clone());
        running.chain([self.me.domain.clone()]).collect()
    }

    /// Returns the hub of a failure domain: the first by rendezvous hashing of the
    /// live instances on the strongest machines.
    ///
    /// In this instance's domain, starting instances are candidates too as long as
    /// no other live one is known: instances that start together learn of each
    /// other's state late and would all act as hubs.
    pub fn hub(&self, now: Time, domain: &str) -> Option<&Listing> {
        self.refresh_hubs(now);
        let hubs = self.hubs.borrow();
        let id = hubs.as_ref()?.by_domain.get(domain)?;
        self.listing(id)
    }

    /// Returns the listing of this instance or of a peer.
    pub(super) fn listing(&self, id: &str) -> Option<&Listing> {
        match self.peers.get(id) {
            _ if *id == *self.me.id => Some(&self.me),
            peer => peer.map(|p| &p.listing),
        }
    }

    /// Determines the hubs again unless they were determined just now.
    fn refresh_hubs(&self, now: Time) {
        let mut hubs = self.hubs.borrow_mut();
        let is_current = |hubs: &HubTable| {
            let age = now.checked_sub(hubs.determined_at);
            age.is_some_and(|age| age < HUB_TABLE_LIFETIME)
        };
        if !hubs.as_ref().is_some_and(is_current) {
            *hubs = Some(self.determine_hubs(now));
        }
    }

    fn determine_hubs(&self, now: Time) -> HubTable {
        let mut candidates: BTreeMap<&DomainId, Vec<&Listing>> = BTreeMap::new();
        for listing in self.live(now) {
            candidates.entry(&listing.domain).or_default().push(listing);
        }
        let own = candidates.entry(&self.me.domain).or_default();
        if own.iter().all(|l| l.id == self.me.id) {
            let me = Some(&self.me).filter(|me| !me.leaving);
            let others = self.running(now).map(|p| &p.listing);
            let others = others.filter(|l| l.domain == self.me.domain);
            *own = me.into_iter().chain(others).collect();
        }
        let hub = |(domain, candidates): (&DomainId, Vec<&Listing>)| {
            let power = candidates.iter().map(|l| l.power).max()?;
            let strongest = candidates.iter().filter(|l| l.power == power);
            let id = winner(domain, strongest.map(|l| &l.id))?;
            Some((domain.clone(), id.clone()))
        };
        HubTable {
            determined_at: now,
            by_domain: candidates.into_iter().filter_map(hub).collect(),
        }
    }

    /// Returns whether this instance is the hub of its failure domain. It also acts as
    /// one where it knows no candidate.
    pub fn is_hub(&self, now: Time) -> bool {
        let hub = self.hub(now, &self.me.domain);
        hub.is_none_or(|hub| hub.id == self.me.id)
    }

    /// Returns the hubs of all domains that have a live instance.
    pub(super) fn hubs(&self, now: Time) -> Vec<&Listing> {
        self.refresh_hubs(now);
        let hubs = self.hubs.borrow();
        let ids = hubs.iter().flat_map(|hubs| hubs.by_domain.values());
        let hubs = ids.filter_map(|id| self.listing(id));
        hubs.filter(|hub| !hub.starting).collect()
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

    /// Returns the first `count` stewards of a service: live instances by rendezvous
    /// hashing, those on the stronger machines first.
    pub fn stewards(&self, now: Time, service: &str, count: usize) -> Vec<InstanceId> {
        let live = self.live(now);
        let power = live.iter().map(|l| l.power).max().unwrap_or(0);
        let key = hash_parts(&[service.as_bytes()]);
        let is_strong = |l: &&&Listing| f64::from(l.power) >= STRONG_SHARE * f64::from(power);
        let by_rank = |is_wanted: bool| {
            let wanted = live.iter().filter(|l| is_strong(l) == is_wanted);
            rank(key, wanted.map(|l| (l.id.as_str(), 1)))
        };
        let mut first = by_rank(true);
        if first.len() < count {
            first.extend(by_rank(false));
        }
        first
            .into_iter()
            .take(count)
            .map(InstanceId::from)
            .collect()
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

    /// Returns the instances to ask for changes of a table, in their order: the hub of
    /// this domain, and the other ones in an order that differs between instances.
    ///
    /// Those that are known to take no pages are left out.
    pub fn table_sources(&self, now: Time) -> Vec<InstanceId> {
        let hubs = self.hubs(now).into_iter();
        let hubs = hubs.filter(|hub| hub.id != self.me.id);
        let may_answer = |id: &str| self.peers.get(id).is_some_and(|p| p.pages != Some(false));
        let hubs = hubs.filter(|hub| may_answer(&hub.id));
        let (own, others): (Vec<_>, Vec<_>) = hubs.partition(|hub| hub.domain == self.me.domain);
        let key = hash_parts(&[self.me.id.as_bytes()]);
        let others = rank(key, others.iter().map(|hub| (hub.id.as_str(), 1)));
        let own = own.into_iter().map(|hub| hub.id.clone());
        own.chain(others.into_iter().map(InstanceId::from))
            .collect()
    }

    /// Returns the instances to which this one forwards updates of the store's
    /// tables: those of its domain if it is the hub, or else none.
    pub fn update_recipients(&self, now: Time) -> Vec<Listing> {
        if !self.is_hub(now) {
            return Vec::new();
        }
        let running = self.running(now).map(|p| &p.listing);
        let domain = running.filter(|l| l.domain == self.me.domain);
        domain.cloned().collect()
    }
}
