//! Membership: who is alive, by the platform's list, heartbeats and gossip.
//!
//! Each instance sends heartbeats to the next few on a ring and expects them
//! from the few before it, so that its cost does not grow with the fleet.
//! Suspicion, refutation by a higher incarnation and the spreading of rumours
//! follow SWIM (Das, Gupta and Motivala, 2002).

use crate::hash::hash_parts;
use crate::id::{DomainId, Incarnation, InstanceId, Time};
use crate::message::MemberUpdate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Instances that watch one instance.
pub(crate) const WATCHERS: usize = 3;
/// Instances that hear a new rumour at once.
pub(crate) const FANOUT: usize = 4;
/// Most rumours in one heartbeat.
const RUMOURS: usize = 8;
/// Time after which a member that is gone, and not listed, is forgotten.
const FORGET: Duration = Duration::from_secs(600);

/// What is held of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It has been silent; it still counts as live.
    #[serde(rename = "s")]
    Suspect,
    /// It is stopping; it takes no new part.
    #[serde(rename = "l")]
    Leaving,
    /// It is gone.
    #[serde(rename = "d")]
    Dead,
}

/// One entry of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Instance.
    pub id: InstanceId,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Whether the platform says that it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Whether it knows no configuration yet and is not to be given callers.
    #[serde(default)]
    pub starting: bool,
    /// Thousandths of a core that its machine has; 0 where it isn't told.
    #[serde(default)]
    pub power: u32,
}

/// One instance as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Last life heard of.
    pub incarnation: Incarnation,
    /// What is held of it.
    pub status: MemberStatus,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Whether the platform lists it.
    pub listed: bool,
    #[serde(skip)]
    pub(crate) heard: Time,
    #[serde(skip)]
    pub(crate) changed: Time,
}

impl Member {
    fn update(&self, id: &InstanceId) -> MemberUpdate {
        MemberUpdate {
            instance: id.clone(),
            incarnation: self.incarnation,
            status: self.status,
            domain: self.domain.clone(),
            caller: self.caller,
            peer: self.peer,
        }
    }

    /// Whether it takes part in rendezvous hashing.
    pub fn is_live(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}

/// Timing of membership.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    pub(crate) beat: Duration,
    pub(crate) suspect: Duration,
    pub(crate) dead: Duration,
}

/// Every instance known, this one included.
#[derive(Clone, Debug)]
pub struct Members {
    me: InstanceId,
    by_id: BTreeMap<InstanceId, Member>,
    ring: Vec<(u64, InstanceId)>,
    updates: BTreeMap<InstanceId, u32>,
    watched: Vec<InstanceId>,
    timing: Timing,
    view: u64,
    round: u64,
    returns: u64,
    changes: Vec<InstanceId>,
}

impl Members {
    pub(crate) fn new(me: &Listing, incarnation: Incarnation, timing: Timing, now: Time) -> Self {
        let member = Member {
            incarnation,
            status: MemberStatus::Alive,
            domain: me.domain.clone(),
            caller: me.caller,
            peer: me.peer,
            listed: false,
            heard: now,
            changed: now,
        };
        let mut members = Members {
            me: me.id.clone(),
            by_id: BTreeMap::from([(me.id.clone(), member)]),
            ring: Vec::new(),
            updates: BTreeMap::new(),
            watched: Vec::new(),
            timing,
            view: 0,
            round: 0,
            returns: 0,
            changes: Vec::new(),
        };
        members.spread(&me.id);
        members.turn();
        members
    }

    /// Number that rises with each change of the live list.
    pub fn view(&self) -> u64 {
        self.view
    }

    /// Takes the instances whose status has changed.
    pub(crate) fn take_changes(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.changes)
    }

    /// Number that rises whenever an instance that counted as dead is back.
    pub(crate) fn returns(&self) -> u64 {
        self.returns
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.by_id[&self.me]
    }

    /// One instance.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.by_id.get(id)
    }

    /// Every instance.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Member)> {
        self.by_id.iter()
    }

    /// Live instances, which take part in rendezvous hashing.
    pub fn live(&self) -> impl Iterator<Item = &InstanceId> {
        let live = self.by_id.iter().filter(|(_, m)| m.is_live());
        live.map(|(id, _)| id)
    }

    /// How many instances are seen alive, and how many that may be: those that
    /// said that they leave are not missed.
    pub(crate) fn sight(&self) -> (usize, usize) {
        let alive = self.live().count();
        let missing = self
            .by_id
            .values()
            .filter(|m| m.status == MemberStatus::Dead);
        (alive, alive + missing.count())
    }

    /// Whether an instance is live.
    pub fn is_live(&self, id: &str) -> bool {
        self.by_id.get(id).is_some_and(Member::is_live)
    }

    /// Takes the platform's list. It adds instances and says which leave; it
    /// never revives one that this instance knows to be dead, because it lags.
    pub(crate) fn listed(&mut self, now: Time, list: &[Listing]) {
        for member in self.by_id.values_mut() {
            member.listed = false;
        }
        for listing in list {
            match self.by_id.get_mut(&listing.id) {
                Some(member) => member.listed = true,
                None if listing.leaving => {}
                None => self.add(now, listing),
            }
            if listing.leaving && listing.id != self.me {
                self.change(now, &listing.id, MemberStatus::Leaving);
            }
        }
        let forget =
            |m: &Member| !m.is_live() && !m.listed && now.saturating_sub(m.changed) > FORGET;
        self.by_id.retain(|_, m| !forget(m));
        self.turn();
    }

    fn add(&mut self, now: Time, listing: &Listing) {
        let member = Member {
            incarnation: 0,
            status: MemberStatus::Alive,
            domain: listing.domain.clone(),
            caller: listing.caller,
            peer: listing.peer,
            listed: true,
            heard: now,
            changed: now,
        };
        self.by_id.insert(listing.id.clone(), member);
    }

    /// Takes a sign of life; returns whether the sender must be told that it
    /// counts as dead, so that it refutes.
    pub(crate) fn heard(&mut self, now: Time, id: &str, incarnation: Incarnation) -> bool {
        let Some(member) = self.by_id.get_mut(id) else {
            return false;
        };
        member.heard = now;
        if incarnation > member.incarnation {
            member.incarnation = incarnation;
            if matches!(member.status, MemberStatus::Dead | MemberStatus::Suspect) {
                self.change(now, id, MemberStatus::Alive);
            }
            return false;
        }
        member.status == MemberStatus::Dead || member.status == MemberStatus::Suspect
    }

    /// Merges a rumour; returns whether it was news.
    pub(crate) fn merge(&mut self, now: Time, update: &MemberUpdate) -> bool {
        if update.instance == self.me {
            return self.refute(now, update);
        }
        let Some(member) = self.by_id.get_mut(&update.instance) else {
            return self.insert(now, update);
        };
        let newer = (update.incarnation, update.status) > (member.incarnation, member.status);
        if !newer {
            return false;
        }
        let revived = update.incarnation > member.incarnation;
        member.incarnation = update.incarnation;
        member.domain = update.domain.clone();
        member.caller = update.caller;
        member.peer = update.peer;
        if revived {
            member.heard = now;
        }
        self.returns += u64::from(member.status == MemberStatus::Dead);
        if member.status != update.status {
            self.changes.push(update.instance.clone());
        }
        member.status = update.status;
        member.changed = now;
        self.spread(&update.instance);
        self.turn();
        true
    }

    fn insert(&mut self, now: Time, update: &MemberUpdate) -> bool {
        if update.status == MemberStatus::Dead {
            return false;
        }
        let member = Member {
            incarnation: update.incarnation,
            status: update.status,
            domain: update.domain.clone(),
            caller: update.caller,
            peer: update.peer,
            listed: false,
            heard: now,
            changed: now,
        };
        self.by_id.insert(update.instance.clone(), member);
        self.spread(&update.instance);
        self.turn();
        true
    }

    fn refute(&mut self, now: Time, update: &MemberUpdate) -> bool {
        let member = self.by_id.get_mut(&self.me).expect("this instance");
        let wrong = update.status > member.status && update.incarnation >= member.incarnation;
        if !wrong {
            return false;
        }
        member.incarnation = update.incarnation + 1;
        member.changed = now;
        let me = self.me.clone();
        self.spread(&me);
        true
    }

    /// Starts a new life after a pause, so that rumours of death are refuted.
    pub(crate) fn renew(&mut self, now: Time) {
        let member = self.by_id.get_mut(&self.me).expect("this instance");
        member.incarnation += 1;
        for member in self.by_id.values_mut() {
            member.heard = now;
        }
        let me = self.me.clone();
        self.spread(&me);
    }

    /// Marks this instance as stopping.
    pub(crate) fn leave(&mut self, now: Time) {
        let me = self.me.clone();
        self.change(now, &me, MemberStatus::Leaving);
    }

    /// Takes the loss of a connection as a reason to suspect.
    pub(crate) fn lost(&mut self, now: Time, id: &str) {
        if self.by_id.get(id).map(|m| m.status) == Some(MemberStatus::Alive) {
            self.change(now, id, MemberStatus::Suspect);
        }
    }

    /// Suspects those that are silent and buries the suspects.
    pub(crate) fn tick(&mut self, now: Time) {
        let watched = self.before();
        for id in watched.iter().filter(|id| !self.watched.contains(id)) {
            // The silence of a member counts from when this instance began to watch it.
            if let Some(member) = self.by_id.get_mut(id) {
                member.heard = now;
            }
        }
        self.watched.clone_from(&watched);
        let Timing { suspect, dead, .. } = self.timing;
        let mut changes = Vec::new();
        for (id, member) in &self.by_id {
            let silent = now.saturating_sub(member.heard);
            let since = now.saturating_sub(member.changed);
            match member.status {
                MemberStatus::Alive if watched.contains(id) && silent >= suspect => {
                    changes.push((id.clone(), MemberStatus::Suspect));
                }
                MemberStatus::Suspect if since >= dead => {
                    changes.push((id.clone(), MemberStatus::Dead));
                }
                MemberStatus::Leaving if watched.contains(id) && silent >= suspect + dead => {
                    changes.push((id.clone(), MemberStatus::Dead));
                }
                _ => {}
            }
        }
        for (id, status) in changes {
            self.change(now, &id, status);
        }
    }

    fn change(&mut self, now: Time, id: &str, status: MemberStatus) {
        let Some(member) = self.by_id.get_mut(id) else {
            return;
        };
        if member.status == status
            || (member.status == MemberStatus::Dead && status == MemberStatus::Leaving)
        {
            return;
        }
        self.returns += u64::from(member.status == MemberStatus::Dead);
        member.status = status;
        member.changed = now;
        let id = InstanceId::from(id);
        self.changes.push(id.clone());
        self.spread(&id);
        self.turn();
    }

    fn spread(&mut self, id: &InstanceId) {
        // Each round reaches a few instances, so this many reach all of them;
        // what is missed by chance is found by comparing fingerprints.
        let rounds = (self.by_id.len() as u32 + 1).ilog2() + 1;
        self.updates.insert(id.clone(), rounds);
    }

    /// Instances to which this one sends heartbeats now.
    pub(crate) fn beat_targets(&mut self) -> Vec<InstanceId> {
        self.round += 1;
        let mut to = self.after();
        to.extend(self.sample(1));
        if let Some(dead) = self.probe() {
            to.push(dead);
        }
        to.sort();
        to.dedup();
        to
    }

    /// A member that counts as dead but is still listed: it may have been cut
    /// off, and merging begins with a word to it.
    fn probe(&self) -> Option<InstanceId> {
        let mut gone = self
            .by_id
            .iter()
            .filter(|(_, m)| m.status == MemberStatus::Dead);
        let count = gone.clone().count();
        if count == 0 || !self.round.is_multiple_of(5) {
            return None;
        }
        gone.nth((self.round / 5) as usize % count)
            .map(|(id, _)| id.clone())
    }

    /// Some live members other than this one, different ones each round.
    pub(crate) fn sample(&mut self, most: usize) -> Vec<InstanceId> {
        self.round += 1;
        let mut others: Vec<InstanceId> =
            self.live().filter(|id| **id != self.me).cloned().collect();
        let seed = hash_parts(&[self.me.as_bytes(), &self.round.to_le_bytes()]);
        // The first steps of a shuffle: no instance is picked twice.
        let count = most.min(others.len());
        for i in 0..count {
            let pick = hash_parts(&[&seed.to_le_bytes(), &i.to_le_bytes()]) as usize;
            let left = others.len() - i;
            others.swap(i, i + pick % left);
        }
        others.truncate(count);
        others
    }

    /// Rumours for one heartbeat; each is sent a bounded number of times.
    pub(crate) fn updates(&mut self) -> Vec<MemberUpdate> {
        let ids: Vec<InstanceId> = self.updates.keys().take(RUMOURS).cloned().collect();
        let mut told = Vec::new();
        for id in ids {
            if let Some(member) = self.by_id.get(&id) {
                told.push(member.update(&id));
            }
            match self.updates.get_mut(&id) {
                Some(left) if *left > 1 => *left -= 1,
                _ => {
                    self.updates.remove(&id);
                }
            }
        }
        told
    }

    /// What this instance holds of one member, or of every one.
    pub(crate) fn tell(&self, id: Option<&str>) -> Vec<MemberUpdate> {
        match id {
            Some(id) => {
                let member = self.by_id.get_key_value(id);
                member.map(|(id, m)| m.update(id)).into_iter().collect()
            }
            None => self.by_id.iter().map(|(id, m)| m.update(id)).collect(),
        }
    }

    /// Hash that is equal where the live lists are equal.
    pub(crate) fn fingerprint(&self) -> u64 {
        self.ring.iter().fold(0, |sum, (hash, _)| sum ^ hash)
    }

    /// Interval of heartbeats.
    pub(crate) fn interval(&self) -> Duration {
        self.timing.beat
    }

    fn turn(&mut self) {
        let live = self.by_id.iter().filter(|(_, m)| m.is_live());
        let mut ring: Vec<(u64, InstanceId)> = live
            .map(|(id, _)| (hash_parts(&[id.as_bytes()]), id.clone()))
            .collect();
        ring.sort();
        if ring != self.ring {
            self.ring = ring;
            self.view += 1;
        }
    }

    fn position(&self) -> usize {
        let place = (hash_parts(&[self.me.as_bytes()]), self.me.clone());
        self.ring.partition_point(|p| *p < place)
    }

    /// The next instances on the ring, which watch this one.
    fn after(&self) -> Vec<InstanceId> {
        let at = self.position();
        self.around((0..self.ring.len()).map(|i| at + i))
    }

    /// The instances before this one on the ring, which it watches.
    fn before(&self) -> Vec<InstanceId> {
        let at = self.position();
        let len = self.ring.len();
        self.around((1..=len).map(|i| at + len - i))
    }

    fn around(&self, places: impl Iterator<Item = usize>) -> Vec<InstanceId> {
        let len = self.ring.len();
        places
            .map(|i| &self.ring[i % len].1)
            .filter(|id| **id != self.me)
            .take(WATCHERS)
            .cloned()
            .collect()
    }
}
