//! Membership of the fleet, from the platform's list, heartbeats and gossip.
//!
//! The live instances form a hash ring. Each one sends heartbeats to its next
//! few successors and expects them from its predecessors, so that the cost per
//! instance does not grow with the fleet. Suspicion, refutation by a higher
//! incarnation and the dissemination of updates follow SWIM (Das, Gupta and
//! Motivala, 2002).

use crate::hash::hash_parts;
use crate::id::{DomainId, Incarnation, InstanceId, Time};
use crate::message::MemberUpdate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Instances that watch the heartbeats of one instance.
pub(crate) const WATCHERS: usize = 3;
/// Instances to which a new update is sent at once.
pub(crate) const FANOUT: usize = 4;
/// Member updates per heartbeat.
const MAX_UPDATES: usize = 8;
/// Rounds between two heartbeats to dead members.
const PROBE_ROUNDS: u64 = 5;
/// Time after which a member is removed that is neither live nor listed.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Status of a member.
///
/// Of two updates with the same incarnation the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It sends heartbeats.
    #[serde(rename = "a")]
    Alive,
    /// Its heartbeats are missing; it still counts as live.
    #[serde(rename = "s")]
    Suspect,
    /// It is shutting down and no longer counts as live.
    #[serde(rename = "l")]
    Leaving,
    /// It has been suspected for too long without refuting.
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
    /// Whether the platform lists it as shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// Whether it has no configuration yet, so that it must not get callers.
    #[serde(default)]
    pub starting: bool,
    /// CPU capacity of its machine in thousandths of a core; 0 if unknown.
    #[serde(default)]
    pub power: u32,
}

/// A member as this instance knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Highest known incarnation.
    pub incarnation: Incarnation,
    /// Status.
    pub status: MemberStatus,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Whether it is on the platform's list.
    pub listed: bool,
    /// Time of the last heartbeat, or at which its silence began to count.
    #[serde(skip)]
    pub(crate) heard_at: Time,
    /// Time of the last change.
    #[serde(skip)]
    pub(crate) changed_at: Time,
}

impl Member {
    fn to_update(&self, id: &InstanceId) -> MemberUpdate {
        MemberUpdate {
            instance: id.clone(),
            incarnation: self.incarnation,
            status: self.status,
            domain: self.domain.clone(),
            caller: self.caller,
            peer: self.peer,
        }
    }

    /// Returns whether it takes part in rendezvous hashing.
    pub fn is_live(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}

/// Timeouts of failure detection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Interval between heartbeats.
    pub(crate) heartbeat: Duration,
    /// Silence after which a member is suspected.
    pub(crate) suspect: Duration,
    /// Time after which a suspect is declared dead.
    pub(crate) dead: Duration,
}

/// Known instances, including this one.
#[derive(Clone, Debug)]
pub struct Members {
    me: InstanceId,
    by_id: BTreeMap<InstanceId, Member>,
    /// Live instances in order of the hash of their name.
    ring: Vec<(u64, InstanceId)>,
    /// Members whose state is still to be sent, with the remaining number of sends.
    updates: BTreeMap<InstanceId, u32>,
    /// Members whose heartbeats were expected at the last tick.
    watched: Vec<InstanceId>,
    timing: Timing,
    /// Number of changes of the ring.
    view: u64,
    /// Counter that varies samples and probes.
    round: u64,
    /// Times that a dead member returned.
    revivals: u64,
    /// Instances whose status has changed since they were taken.
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
            heard_at: now,
            changed_at: now,
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
            revivals: 0,
            changes: Vec::new(),
        };
        members.queue_update(&me.id);
        members.rebuild_ring();
        members
    }

    /// Returns a number that grows with each change of the set of live instances.
    pub fn view(&self) -> u64 {
        self.view
    }

    /// Removes and returns the instances whose status has changed.
    pub(crate) fn take_changes(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.changes)
    }

    /// Returns a number that grows whenever a member that was dead returns.
    pub(crate) fn revivals(&self) -> u64 {
        self.revivals
    }

    /// Returns the member of this instance.
    pub fn me(&self) -> &Member {
        &self.by_id[&self.me]
    }

    /// Returns a member.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.by_id.get(id)
    }

    /// Iterates over all members.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Member)> {
        self.by_id.iter()
    }

    /// Iterates over the live instances, which take part in rendezvous hashing.
    pub fn live(&self) -> impl Iterator<Item = &InstanceId> {
        let live = self.by_id.iter().filter(|(_, m)| m.is_live());
        live.map(|(id, _)| id)
    }

    /// Returns the number of live instances, and of live and dead ones together.
    ///
    /// Instances that are shutting down count in neither.
    pub(crate) fn visibility(&self) -> (usize, usize) {
        let alive = self.live().count();
        let missing = self
            .by_id
            .values()
            .filter(|m| m.status == MemberStatus::Dead);
        (alive, alive + missing.count())
    }

    /// Returns whether an instance is live.
    pub fn is_live(&self, id: &str) -> bool {
        self.by_id.get(id).is_some_and(Member::is_live)
    }

    /// Applies the platform's list of instances.
    ///
    /// The list adds instances and marks those that are shutting down. It never
    /// revives a dead member, because it lags behind the gossip.
    pub(crate) fn apply_list(&mut self, now: Time, list: &[Listing]) {
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
        let forget = |m: &Member| {
            !m.is_live() && !m.listed && now.saturating_sub(m.changed_at) > FORGET_AFTER
        };
        self.by_id.retain(|_, m| !forget(m));
        self.rebuild_ring();
    }

    /// Adds a member from the platform's list.
    fn add(&mut self, now: Time, listing: &Listing) {
        let member = Member {
            incarnation: 0,
            status: MemberStatus::Alive,
            domain: listing.domain.clone(),
            caller: listing.caller,
            peer: listing.peer,
            listed: true,
            heard_at: now,
            changed_at: now,
        };
        self.by_id.insert(listing.id.clone(), member);
    }

    /// Records a heartbeat; returns whether the sender must be sent its own
    /// status, because it is suspected or dead and has to refute that.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Time,
        id: &str,
        incarnation: Incarnation,
    ) -> bool {
        let Some(member) = self.by_id.get_mut(id) else {
            return false;
        };
        member.heard_at = now;
        if incarnation > member.incarnation {
            member.incarnation = incarnation;
            if matches!(member.status, MemberStatus::Dead | MemberStatus::Suspect) {
                self.change(now, id, MemberStatus::Alive);
            }
            return false;
        }
        member.status == MemberStatus::Dead || member.status == MemberStatus::Suspect
    }

    /// Merges an update; returns whether it was new.
    pub(crate) fn merge(&mut self, now: Time, update: &MemberUpdate) -> bool {
        if update.instance == self.me {
            return self.refute(now, update);
        }
        let Some(member) = self.by_id.get_mut(&update.instance) else {
            return self.insert(now, update);
        };
        let is_newer = (update.incarnation, update.status) > (member.incarnation, member.status);
        if !is_newer {
            return false;
        }
        let is_revived = update.incarnation > member.incarnation;
        member.incarnation = update.incarnation;
        member.domain = update.domain.clone();
        member.caller = update.caller;
        member.peer = update.peer;
        if is_revived {
            member.heard_at = now;
        }
        self.revivals += u64::from(member.status == MemberStatus::Dead);
        if member.status != update.status {
            self.changes.push(update.instance.clone());
        }
        member.status = update.status;
        member.changed_at = now;
        self.queue_update(&update.instance);
        self.rebuild_ring();
        true
    }

    /// Adds a member from an update, unless it is dead; returns whether it did.
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
            heard_at: now,
            changed_at: now,
        };
        self.by_id.insert(update.instance.clone(), member);
        self.queue_update(&update.instance);
        self.rebuild_ring();
        true
    }

    /// Raises this instance's incarnation above that of an update that gives it a
    /// worse status; returns whether it did.
    fn refute(&mut self, now: Time, update: &MemberUpdate) -> bool {
        let member = self.by_id.get_mut(&self.me).expect("this instance");
        let is_wrong = update.status > member.status && update.incarnation >= member.incarnation;
        if !is_wrong {
            return false;
        }
        member.incarnation = update.incarnation + 1;
        member.changed_at = now;
        let me = self.me.clone();
        self.queue_update(&me);
        true
    }

    /// Raises this instance's incarnation after a pause, which refutes updates
    /// that declare it dead, and restarts the silence timers of all members.
    pub(crate) fn bump_incarnation(&mut self, now: Time) {
        let member = self.by_id.get_mut(&self.me).expect("this instance");
        member.incarnation += 1;
        for member in self.by_id.values_mut() {
            member.heard_at = now;
        }
        let me = self.me.clone();
        self.queue_update(&me);
    }

    /// Marks this instance as shutting down.
    pub(crate) fn leave(&mut self, now: Time) {
        let me = self.me.clone();
        self.change(now, &me, MemberStatus::Leaving);
    }

    /// Suspects a live member because the connection to it was lost.
    pub(crate) fn suspect(&mut self, now: Time, id: &str) {
        if self.by_id.get(id).map(|m| m.status) == Some(MemberStatus::Alive) {
            self.change(now, id, MemberStatus::Suspect);
        }
    }

    /// Suspects watched members that are silent, and declares dead those that
    /// have been suspected for too long.
    pub(crate) fn tick(&mut self, now: Time) {
        let watched = self.predecessors();
        for id in watched.iter().filter(|id| !self.watched.contains(id)) {
            // Silence counts from when this instance began to watch the member.
            if let Some(member) = self.by_id.get_mut(id) {
                member.heard_at = now;
            }
        }
        self.watched.clone_from(&watched);
        let Timing { suspect, dead, .. } = self.timing;
        let mut changes = Vec::new();
        for (id, member) in &self.by_id {
            let silent = now.saturating_sub(member.heard_at);
            let unchanged = now.saturating_sub(member.changed_at);
            match member.status {
                MemberStatus::Alive if watched.contains(id) && silent >= suspect => {
                    changes.push((id.clone(), MemberStatus::Suspect));
                }
                MemberStatus::Suspect if unchanged >= dead => {
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

    /// Changes the status of a member and queues the update.
    fn change(&mut self, now: Time, id: &str, status: MemberStatus) {
        let Some(member) = self.by_id.get_mut(id) else {
            return;
        };
        if member.status == status
            || (member.status == MemberStatus::Dead && status == MemberStatus::Leaving)
        {
            return;
        }
        self.revivals += u64::from(member.status == MemberStatus::Dead);
        member.status = status;
        member.changed_at = now;
        let id = InstanceId::from(id);
        self.changes.push(id.clone());
        self.queue_update(&id);
        self.rebuild_ring();
    }

    /// Queues the state of a member for the next heartbeats.
    fn queue_update(&mut self, id: &InstanceId) {
        // Each round multiplies the instances reached, so a logarithmic number
        // reaches all; chance misses are found by comparing fingerprints.
        let rounds = (self.by_id.len() as u32 + 1).ilog2() + 1;
        self.updates.insert(id.clone(), rounds);
    }

    /// Returns the receivers of the next heartbeat: the successors on the ring, a
    /// random live member, and sometimes a dead one.
    pub(crate) fn heartbeat_targets(&mut self) -> Vec<InstanceId> {
        self.round += 1;
        let mut to = self.successors();
        to.extend(self.sample(1));
        if let Some(dead) = self.dead_to_probe() {
            to.push(dead);
        }
        to.sort();
        to.dedup();
        to
    }

    /// Returns a dead member to probe in this round, if one is due.
    ///
    /// It may be on the other side of a partition that has healed; a heartbeat
    /// makes both sides merge their views.
    fn dead_to_probe(&self) -> Option<InstanceId> {
        let mut dead = self
            .by_id
            .iter()
            .filter(|(_, m)| m.status == MemberStatus::Dead);
        let count = dead.clone().count();
        if count == 0 || !self.round.is_multiple_of(PROBE_ROUNDS) {
            return None;
        }
        dead.nth((self.round / PROBE_ROUNDS) as usize % count)
            .map(|(id, _)| id.clone())
    }

    /// Returns up to `most` other live members, a different sample each time.
    pub(crate) fn sample(&mut self, most: usize) -> Vec<InstanceId> {
        self.round += 1;
        let mut others: Vec<InstanceId> =
            self.live().filter(|id| **id != self.me).cloned().collect();
        let seed = hash_parts(&[self.me.as_bytes(), &self.round.to_le_bytes()]);
        // A partial Fisher-Yates shuffle, so that no instance is picked twice.
        let count = most.min(others.len());
        for i in 0..count {
            let pick = hash_parts(&[&seed.to_le_bytes(), &i.to_le_bytes()]) as usize;
            let remaining = others.len() - i;
            others.swap(i, i + pick % remaining);
        }
        others.truncate(count);
        others
    }

    /// Returns the updates for the next heartbeat; each is sent a limited number
    /// of times.
    pub(crate) fn take_updates(&mut self) -> Vec<MemberUpdate> {
        let ids: Vec<InstanceId> = self.updates.keys().take(MAX_UPDATES).cloned().collect();
        let mut updates = Vec::new();
        for id in ids {
            if let Some(member) = self.by_id.get(&id) {
                updates.push(member.to_update(&id));
            }
            match self.updates.get_mut(&id) {
                Some(left) if *left > 1 => *left -= 1,
                _ => {
                    self.updates.remove(&id);
                }
            }
        }
        updates
    }

    /// Returns the known state of one member, or of all members.
    pub(crate) fn updates_of(&self, id: Option<&str>) -> Vec<MemberUpdate> {
        match id {
            Some(id) => {
                let member = self.by_id.get_key_value(id);
                member.map(|(id, m)| m.to_update(id)).into_iter().collect()
            }
            None => self.by_id.iter().map(|(id, m)| m.to_update(id)).collect(),
        }
    }

    /// Returns a hash that is equal where the sets of live instances are equal.
    pub(crate) fn fingerprint(&self) -> u64 {
        self.ring.iter().fold(0, |sum, (hash, _)| sum ^ hash)
    }

    /// Returns the interval between heartbeats.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        self.timing.heartbeat
    }

    /// Rebuilds the ring, and counts the view up if it has changed.
    fn rebuild_ring(&mut self) {
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

    /// Returns the position on the ring at which this instance is or would be.
    fn position(&self) -> usize {
        let key = (hash_parts(&[self.me.as_bytes()]), self.me.clone());
        self.ring.partition_point(|p| *p < key)
    }

    /// Returns the next instances on the ring, which watch this one.
    fn successors(&self) -> Vec<InstanceId> {
        let position = self.position();
        self.neighbours((0..self.ring.len()).map(|i| position + i))
    }

    /// Returns the previous instances on the ring, which this one watches.
    fn predecessors(&self) -> Vec<InstanceId> {
        let position = self.position();
        let len = self.ring.len();
        self.neighbours((1..=len).map(|i| position + len - i))
    }

    /// Returns the first other instances among the given positions on the ring.
    fn neighbours(&self, positions: impl Iterator<Item = usize>) -> Vec<InstanceId> {
        let len = self.ring.len();
        positions
            .map(|i| &self.ring[i % len].1)
            .filter(|id| **id != self.me)
            .take(WATCHERS)
            .cloned()
            .collect()
    }
}
