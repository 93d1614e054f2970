//! One service's pool as one instance sees it.

use super::{Command, Node, PollTarget};
use crate::document::{TargetSpec, VersionedDocument};
use crate::drain::{DrainKey, DrainMarks};
use crate::hash::{rank, winner};
use crate::id::{ChatId, InstanceId, ServiceId, TargetId, Time, Version};
use crate::loads::Loads;
use crate::message::{DenyCode, Message, SlotRequest};
use crate::queue::Queue;
use crate::slots::{LoadReport, SlotLedger};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Shortest time between two tellings of loads.
const TELL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two tellings of loads that have changed.
const TELL_LATEST: Duration = Duration::from_secs(1);
/// A load is told at once when it has changed by one part in this many.
const TELL_PART: u32 = 6;
/// Records in one message that hands chats over.
const CHATS_A_MESSAGE: usize = 100;

/// One service's pool.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) versioned: VersionedDocument,
    pub(super) loads: Loads,
    pub(super) slots: BTreeMap<TargetId, SlotLedger>,
    pub(super) queues: BTreeMap<TargetId, Queue>,
    stewards: BTreeMap<TargetId, InstanceId>,
    aggregator: Option<InstanceId>,
    told: BTreeMap<TargetId, (u32, u32)>,
    told_at: Time,
    pushed: Vec<u8>,
    pushed_at: Time,
    out: BTreeSet<TargetId>,
    index: BTreeMap<TargetId, usize>,
}

impl Pool {
    fn new(versioned: VersionedDocument) -> Self {
        Pool {
            index: index(&versioned),
            versioned,
            loads: Loads::default(),
            slots: BTreeMap::new(),
            queues: BTreeMap::new(),
            stewards: BTreeMap::new(),
            aggregator: None,
            told: BTreeMap::new(),
            told_at: Time::ZERO,
            pushed: Vec::new(),
            pushed_at: Time::ZERO,
            out: BTreeSet::new(),
        }
    }

    /// Every target in the order in which a chat prefers them.
    ///
    /// All targets of the document count, whether they take work or not, so
    /// that a chat's home stays where it is while targets come and go.
    pub(super) fn ranking(&self, chat: ChatId) -> Vec<&str> {
        let targets = self.versioned.document.targets.iter();
        rank(chat, targets.map(|t| (t.id.as_str(), t.weight)))
    }

    pub(super) fn steward(&self, target: &str) -> Option<&InstanceId> {
        self.stewards.get(target)
    }

    /// Instance that remembers where a chat's cache lies.
    pub(super) fn home(&self, chat: ChatId) -> Option<&InstanceId> {
        self.steward(self.ranking(chat).first()?)
    }

    pub(super) fn spec(&self, target: &str) -> Option<&TargetSpec> {
        let place = *self.index.get(target)?;
        self.versioned.document.targets.get(place)
    }

    pub(super) fn poll_targets(&self) -> impl Iterator<Item = PollTarget> + '_ {
        let service = &self.versioned.document.service;
        self.slots.keys().filter_map(move |target| {
            Some(PollTarget {
                service: service.clone(),
                target: target.clone(),
                address: self.spec(target)?.address,
            })
        })
    }

    pub(super) fn caution(&mut self, now: Time) {
        for slots in self.slots.values_mut() {
            slots.caution(now);
        }
    }

    /// Copies the ledger's load and cap of one target into the pool's view.
    pub(super) fn note_load(&mut self, now: Time, target: &TargetId) {
        let limits = &self.versioned.document.limits;
        let Some(slots) = self.slots.get(target) else {
            return;
        };
        // A target that takes no new work has no part in the pool's mean.
        let (load, cap) = if slots.is_resting(now) || self.out.contains(target) {
            (0, 0)
        } else {
            (slots.load(), slots.cap(limits))
        };
        self.loads.set(target, load, cap);
    }

    /// Follows the drain marks: a target that is out has no part in the mean.
    pub(super) fn follow_marks(&mut self, now: Time, marks: &DrainMarks) {
        let targets = self.versioned.document.targets.iter();
        self.out = targets
            .filter(|t| {
                marks.is_drained(&DrainKey::Target(t.id.clone()))
                    || marks.is_drained(&DrainKey::Domain(t.domain.clone()))
            })
            .map(|t| t.id.clone())
            .collect();
        for target in self.out.clone() {
            self.loads.set(&target, 0, 0);
        }
        let mine: Vec<TargetId> = self.slots.keys().cloned().collect();
        for target in mine {
            self.note_load(now, &target);
        }
    }

    fn assign(&mut self, now: Time, me: &InstanceId, live: &[InstanceId]) {
        let document = &self.versioned.document;
        let name = format!("pool:{}", document.service);
        self.aggregator = winner(&name, live.iter()).cloned();
        self.stewards.clear();
        for target in &document.targets {
            if let Some(steward) = winner(target.id.as_str(), live.iter()) {
                self.stewards.insert(target.id.clone(), steward.clone());
            }
        }
        let stewards = &self.stewards;
        let is_mine = |t: &TargetId| stewards.get(t) == Some(me);
        self.slots.retain(|t, _| is_mine(t));
        for target in &document.targets {
            if is_mine(&target.id) && !self.slots.contains_key(&target.id) {
                let known = self.loads.get(&target.id).map(|l| l.1);
                let slots = SlotLedger::new(now, document.kind, known, &document.limits);
                self.slots.insert(target.id.clone(), slots);
            }
        }
        self.told.clear();
        self.pushed.clear();
    }

    /// Takes out the asks that wait for targets of which this is no steward.
    fn orphans(&mut self) -> Vec<SlotRequest> {
        let slots = &self.slots;
        let mut asks = Vec::new();
        self.queues.retain(|target, queue| {
            let mine = slots.contains_key(target);
            if !mine {
                asks.extend(queue.drain());
            }
            mine
        });
        asks
    }

    fn drop_unknown_targets(&mut self) {
        let gone: Vec<TargetId> = self
            .loads
            .iter()
            .map(|(t, _, _)| t.clone())
            .filter(|t| self.spec(t).is_none())
            .collect();
        for target in gone {
            self.loads.remove(&target);
        }
    }

    /// Loads of this instance's targets, if they should be told now.
    fn loads_to_tell(&mut self, now: Time) -> Option<Vec<(TargetId, u32, u32)>> {
        let since = now.saturating_sub(self.told_at);
        if since < TELL_INTERVAL {
            return None;
        }
        let rows: Vec<(TargetId, u32, u32)> = self
            .slots
            .keys()
            .filter_map(|t| self.loads.get(t).map(|(l, c)| (t.clone(), l, c)))
            .filter(|(t, l, c)| self.told.get(t) != Some(&(*l, *c)))
            .collect();
        let is_urgent = rows.iter().any(|(t, l, c)| {
            let told = self.told.get(t);
            told.is_none_or(|(load, cap)| cap != c || load.abs_diff(*l) > *load.max(l) / TELL_PART)
        });
        let is_due = since >= TELL_LATEST && !rows.is_empty();
        if !is_urgent && !is_due {
            return None;
        }
        self.told_at = now;
        for (target, load, cap) in &rows {
            self.told.insert(target.clone(), (*load, *cap));
        }
        Some(rows)
    }

    /// Load and cap of every target in the document's order, one byte each.
    fn packed(&self) -> Vec<u8> {
        let byte = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        let targets = self.versioned.document.targets.iter();
        targets
            .flat_map(|t| {
                let (load, cap) = self.loads.get(&t.id).unwrap_or_default();
                [byte(load), byte(cap)]
            })
            .collect()
    }

    /// The packed loads, if the stewards should hear of them now.
    fn loads_to_push(&mut self, now: Time) -> Option<Vec<u8>> {
        let since = now.saturating_sub(self.pushed_at);
        if since < 2 * TELL_INTERVAL {
            return None;
        }
        let packed = self.packed();
        if packed == self.pushed {
            return None;
        }
        let sum = |bytes: &[u8]| bytes.iter().step_by(2).map(|b| u32::from(*b)).sum::<u32>();
        let (old, new) = (sum(&self.pushed), sum(&packed));
        let caps = |bytes: &[u8]| {
            bytes
                .iter()
                .skip(1)
                .step_by(2)
                .copied()
                .collect::<Vec<u8>>()
        };
        let is_urgent = self.pushed.len() != packed.len()
            || caps(&self.pushed) != caps(&packed)
            || old.abs_diff(new) > old.max(new) / (2 * TELL_PART);
        if !is_urgent && since < TELL_LATEST {
            return None;
        }
        self.pushed_at = now;
        self.pushed.clone_from(&packed);
        Some(packed)
    }
}

/// Place of each target in a document.
fn index(versioned: &VersionedDocument) -> BTreeMap<TargetId, usize> {
    let targets = versioned.document.targets.iter().enumerate();
    targets.map(|(i, t)| (t.id.clone(), i)).collect()
}

impl Node {
    /// Puts a document into force where its version is higher than the one
    /// known; returns nothing where it is not.
    pub(super) fn accept(
        &mut self,
        now: Time,
        versioned: VersionedDocument,
        out: &mut Vec<Command>,
    ) {
        let service = versioned.document.service.clone();
        let version = versioned.version;
        match self.pools.get_mut(&service) {
            Some(pool) if pool.versioned.version >= version => return,
            Some(pool) => {
                pool.index = index(&versioned);
                pool.versioned = versioned;
                pool.drop_unknown_targets();
            }
            None => {
                self.pools.insert(service.clone(), Pool::new(versioned));
            }
        }
        self.counters.documents += 1;
        self.assign(now, &service, out);
        self.renew_held(now, out);
        out.push(Command::DocumentApplied(service.clone(), version));
        self.push_index(vec![(service, version)], Vec::new(), Vec::new(), out);
    }

    /// Assigns stewards for the live list, and hands over what moves.
    pub(super) fn assign(&mut self, now: Time, service: &ServiceId, out: &mut Vec<Command>) {
        let live: Vec<InstanceId> = self.members.live().cloned().collect();
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let had: Vec<TargetId> = pool.slots.keys().cloned().collect();
        pool.assign(now, &self.me, &live);
        let (alive, known) = self.members.sight();
        for slots in pool.slots.values_mut() {
            slots.set_sight(alive, known);
        }
        pool.follow_marks(now, &self.marks);
        let lost: Vec<TargetId> = had
            .into_iter()
            .filter(|t| !pool.slots.contains_key(t))
            .collect();
        let gained: Vec<TargetId> = pool.slots.keys().cloned().collect();
        for target in &gained {
            pool.note_load(now, target);
        }
        let orphans = pool.orphans();
        self.hand_over_chats(service, &lost);
        for mut request in orphans {
            request.full = false;
            request.hops = 0;
            request.target = TargetId::default();
            self.place(now, request, out);
        }
    }

    /// Queues the records of chats whose home was the steward of `lost`.
    fn hand_over_chats(&mut self, service: &ServiceId, lost: &[TargetId]) {
        if lost.is_empty() {
            return;
        }
        let pool = &self.pools[service];
        for target in lost {
            let Some(home) = pool.steward(target).cloned() else {
                continue;
            };
            let moved = self.chats.remove_matching(usize::MAX, |chat| {
                pool.ranking(chat).first() == Some(&target.as_str())
            });
            for part in moved.chunks(CHATS_A_MESSAGE) {
                let message = Message::ChatLocations {
                    service: service.clone(),
                    chats: part.to_vec(),
                };
                self.moving.push((home.clone(), message));
            }
        }
    }

    pub(super) fn tick_pools(&mut self, now: Time, out: &mut Vec<Command>) {
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            self.expire_grants(now, &service);
            self.tell_loads(now, &service, out);
            self.expire_queues(now, &service, out);
            self.serve_all(now, &service, out);
        }
    }

    fn expire_grants(&mut self, now: Time, service: &ServiceId) {
        let pool = self.pools.get_mut(service).expect("pool");
        let dead: Vec<&str> = self
            .members
            .iter()
            .filter(|(_, m)| m.status == crate::members::MemberStatus::Dead)
            .map(|(id, _)| id.as_str())
            .collect();
        let (alive, known) = self.members.sight();
        let targets: Vec<TargetId> = pool.slots.keys().cloned().collect();
        for target in &targets {
            let slots = pool.slots.get_mut(target).expect("ledger");
            for id in &dead {
                slots.drop_entry(id);
            }
            self.counters.lapsed += slots.expire(now) as u64;
            slots.set_sight(alive, known);
            pool.note_load(now, target);
        }
    }

    fn tell_loads(&mut self, now: Time, service: &ServiceId, out: &mut Vec<Command>) {
        let pool = self.pools.get_mut(service).expect("pool");
        let Some(aggregator) = pool.aggregator.clone() else {
            return;
        };
        if aggregator != self.me {
            if let Some(loads) = pool.loads_to_tell(now) {
                let message = Message::TargetLoads {
                    service: service.clone(),
                    loads,
                };
                out.push(Command::Send {
                    to: aggregator,
                    message,
                });
            }
            return;
        }
        let Some(packed) = pool.loads_to_push(now) else {
            return;
        };
        let mut stewards: Vec<&InstanceId> = pool.stewards.values().collect();
        stewards.sort();
        stewards.dedup();
        for to in stewards.into_iter().filter(|id| **id != self.me) {
            let message = Message::PoolLoads {
                service: service.clone(),
                version: pool.versioned.version,
                loads: packed.clone(),
            };
            out.push(Command::Send {
                to: to.clone(),
                message,
            });
        }
    }

    pub(super) fn loads_came(&mut self, service: &str, loads: Vec<(TargetId, u32, u32)>) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        for (target, load, cap) in loads {
            let is_ours = pool.slots.contains_key(&target) || pool.out.contains(&target);
            if pool.spec(&target).is_some() && !is_ours {
                pool.loads.set(&target, load, cap);
            }
        }
    }

    pub(super) fn pool_came(&mut self, service: &str, version: Version, packed: &[u8]) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let targets = &pool.versioned.document.targets;
        if pool.versioned.version != version || packed.len() != 2 * targets.len() {
            return;
        }
        for (target, pair) in targets.iter().zip(packed.chunks_exact(2)) {
            if !pool.slots.contains_key(&target.id) && !pool.out.contains(&target.id) {
                pool.loads
                    .set(&target.id, u32::from(pair[0]), u32::from(pair[1]));
            }
        }
    }

    pub(super) fn reported(
        &mut self,
        now: Time,
        service: &ServiceId,
        target: &TargetId,
        report: LoadReport,
        out: &mut Vec<Command>,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let Some(slots) = pool.slots.get_mut(target) else {
            return;
        };
        let rebooted = slots.report().is_some_and(|r| r.boot != report.boot);
        if slots.reported(now, report) {
            self.counters.cold_again += 1;
            out.push(Command::TargetChanged(target.clone(), "cold again"));
            if rebooted {
                self.chats.forget_target(target);
            }
        }
        let pool = self.pools.get_mut(service).expect("pool");
        pool.note_load(now, target);
        self.serve(now, service, target, out);
    }

    pub(super) fn unreachable(
        &mut self,
        now: Time,
        service: &ServiceId,
        target: &TargetId,
        out: &mut Vec<Command>,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let Some(slots) = pool.slots.get_mut(target) else {
            return;
        };
        if !slots.is_resting(now) {
            out.push(Command::TargetChanged(target.clone(), "unreachable"));
        }
        slots.unreachable(now);
        pool.note_load(now, target);
    }

    fn expire_queues(&mut self, now: Time, service: &ServiceId, out: &mut Vec<Command>) {
        let pool = self.pools.get_mut(service).expect("pool");
        let expired: Vec<SlotRequest> = pool
            .queues
            .values_mut()
            .flat_map(|q| q.expire(now))
            .collect();
        for request in expired {
            self.deny(&request, DenyCode::Expired, out);
        }
    }
}
