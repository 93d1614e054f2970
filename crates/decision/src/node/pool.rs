//! One service's pool of targets as seen by one instance: stewards, loads, and
//! the ledgers and queues of the targets that this instance stewards.

use super::queueing::Queue;
use super::{Command, Node, PollTarget};
use crate::document::{TargetSpec, VersionedDocument};
use crate::drain::{DrainKey, DrainMarks};
use crate::hash::{rank, winner};
use crate::id::{ChatId, InstanceId, ServiceId, TargetId, Time, Version};
use crate::loads::Loads;
use crate::message::{DenyCode, Message, SlotRequest};
use crate::slots::{LoadReport, SlotLedger};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum interval between two load messages to the aggregator.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum delay before a changed load is sent.
const MAX_SEND_DELAY: Duration = Duration::from_secs(1);
/// Divisor of a load: a change by more than this part is sent without delay.
const URGENT_PART: u32 = 6;
/// Chat records per handover message.
const MAX_CHATS: usize = 100;

/// One service's pool of targets.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) versioned: VersionedDocument,
    pub(super) loads: Loads,
    /// Ledgers of the targets that this instance stewards.
    pub(super) slots: BTreeMap<TargetId, SlotLedger>,
    pub(super) queues: BTreeMap<TargetId, Queue>,
    stewards: BTreeMap<TargetId, InstanceId>,
    aggregator: Option<InstanceId>,
    /// Load and cap per target as last sent to the aggregator.
    sent: BTreeMap<TargetId, (u32, u32)>,
    sent_at: Time,
    /// Encoded loads as last broadcast to the stewards.
    broadcast: Vec<u8>,
    broadcast_at: Time,
    drained: BTreeSet<TargetId>,
    /// Position of each target in the document.
    positions: BTreeMap<TargetId, usize>,
}

impl Pool {
    fn new(versioned: VersionedDocument) -> Self {
        Pool {
            positions: positions(&versioned),
            versioned,
            loads: Loads::default(),
            slots: BTreeMap::new(),
            queues: BTreeMap::new(),
            stewards: BTreeMap::new(),
            aggregator: None,
            sent: BTreeMap::new(),
            sent_at: Time::ZERO,
            broadcast: Vec::new(),
            broadcast_at: Time::ZERO,
            drained: BTreeSet::new(),
        }
    }

    /// Ranks all targets for a chat by weighted rendezvous hashing.
    ///
    /// Drained and unreachable targets are included, so that a chat's home does
    /// not move while targets go and come back.
    pub(super) fn ranking(&self, chat: ChatId) -> Vec<&str> {
        let targets = self.versioned.document.targets.iter();
        rank(chat, targets.map(|t| (t.id.as_str(), t.weight)))
    }

    pub(super) fn steward(&self, target: &str) -> Option<&InstanceId> {
        self.stewards.get(target)
    }

    /// Returns the home of a chat, the steward of its first-ranked target.
    pub(super) fn home(&self, chat: ChatId) -> Option<&InstanceId> {
        self.steward(self.ranking(chat).first()?)
    }

    pub(super) fn spec(&self, target: &str) -> Option<&TargetSpec> {
        let position = *self.positions.get(target)?;
        self.versioned.document.targets.get(position)
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

    pub(super) fn start_takeover(&mut self, now: Time) {
        for slots in self.slots.values_mut() {
            slots.start_takeover(now);
        }
    }

    /// Copies load and cap of one target from its ledger to the pool's loads.
    pub(super) fn update_load(&mut self, now: Time, target: &TargetId) {
        let limits = &self.versioned.document.limits;
        let Some(slots) = self.slots.get(target) else {
            return;
        };
        // A target that accepts no new work must not count in the pool's mean.
        let (load, cap) = if slots.is_backing_off(now) || self.drained.contains(target) {
            (0, 0)
        } else {
            (slots.load(), slots.cap(limits))
        };
        self.loads.set(target, load, cap);
    }

    /// Applies the drain marks: drained targets do not count in the pool's mean.
    pub(super) fn apply_marks(&mut self, now: Time, marks: &DrainMarks) {
        let targets = self.versioned.document.targets.iter();
        self.drained = targets
            .filter(|t| {
                marks.is_drained(&DrainKey::Target(t.id.clone()))
                    || marks.is_drained(&DrainKey::Domain(t.domain.clone()))
            })
            .map(|t| t.id.clone())
            .collect();
        for target in self.drained.clone() {
            self.loads.set(&target, 0, 0);
        }
        let stewarded: Vec<TargetId> = self.slots.keys().cloned().collect();
        for target in stewarded {
            self.update_load(now, &target);
        }
    }

    /// Assigns a steward to each target and the aggregator, and opens ledgers for
    /// the targets that this instance now stewards.
    fn assign_stewards(&mut self, now: Time, me: &InstanceId, live: &[InstanceId]) {
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
        let is_steward = |t: &TargetId| stewards.get(t) == Some(me);
        self.slots.retain(|t, _| is_steward(t));
        for target in &document.targets {
            if is_steward(&target.id) && !self.slots.contains_key(&target.id) {
                let known_cap = self.loads.get(&target.id).map(|l| l.1);
                let slots = SlotLedger::new(now, document.kind, known_cap, &document.limits);
                self.slots.insert(target.id.clone(), slots);
            }
        }
        self.sent.clear();
        self.broadcast.clear();
    }

    /// Removes the requests queued for targets that this instance no longer
    /// stewards.
    fn take_orphans(&mut self) -> Vec<SlotRequest> {
        let slots = &self.slots;
        let mut requests = Vec::new();
        self.queues.retain(|target, queue| {
            let stewarded = slots.contains_key(target);
            if !stewarded {
                requests.extend(queue.drain());
            }
            stewarded
        });
        requests
    }

    fn drop_unknown_targets(&mut self) {
        let unknown: Vec<TargetId> = self
            .loads
            .iter()
            .map(|(t, _, _)| t.clone())
            .filter(|t| self.spec(t).is_none())
            .collect();
        for target in unknown {
            self.loads.remove(&target);
        }
    }

    /// Returns the changed loads of the targets stewarded here, if they are due
    /// to be sent to the aggregator.
    fn loads_to_send(&mut self, now: Time) -> Option<Vec<(TargetId, u32, u32)>> {
        let since = now.saturating_sub(self.sent_at);
        if since < MIN_SEND_INTERVAL {
            return None;
        }
        let rows: Vec<(TargetId, u32, u32)> = self
            .slots
            .keys()
            .filter_map(|t| self.loads.get(t).map(|(l, c)| (t.clone(), l, c)))
            .filter(|(t, l, c)| self.sent.get(t) != Some(&(*l, *c)))
            .collect();
        let is_urgent = rows.iter().any(|(t, l, c)| {
            let sent = self.sent.get(t);
            sent.is_none_or(|(load, cap)| {
                cap != c || load.abs_diff(*l) > *load.max(l) / URGENT_PART
            })
        });
        let is_due = since >= MAX_SEND_DELAY && !rows.is_empty();
        if !is_urgent && !is_due {
            return None;
        }
        self.sent_at = now;
        for (target, load, cap) in &rows {
            self.sent.insert(target.clone(), (*load, *cap));
        }
        Some(rows)
    }

    /// Encodes load and cap of every target in the document's order, one byte
    /// each, saturating at 255.
    fn packed_loads(&self) -> Vec<u8> {
        let byte = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        let targets = self.versioned.document.targets.iter();
        targets
            .flat_map(|t| {
                let (load, cap) = self.loads.get(&t.id).unwrap_or_default();
                [byte(load), byte(cap)]
            })
            .collect()
    }

    /// Returns the encoded loads of the pool, if they are due to be broadcast to
    /// the stewards.
    fn loads_to_broadcast(&mut self, now: Time) -> Option<Vec<u8>> {
        let since = now.saturating_sub(self.broadcast_at);
        if since < 2 * MIN_SEND_INTERVAL {
            return None;
        }
        let packed = self.packed_loads();
        if packed == self.broadcast {
            return None;
        }
        let sum = |bytes: &[u8]| bytes.iter().step_by(2).map(|b| u32::from(*b)).sum::<u32>();
        let (old, new) = (sum(&self.broadcast), sum(&packed));
        let caps = |bytes: &[u8]| {
            bytes
                .iter()
                .skip(1)
                .step_by(2)
                .copied()
                .collect::<Vec<u8>>()
        };
        let is_urgent = self.broadcast.len() != packed.len()
            || caps(&self.broadcast) != caps(&packed)
            || old.abs_diff(new) > old.max(new) / (2 * URGENT_PART);
        if !is_urgent && since < MAX_SEND_DELAY {
            return None;
        }
        self.broadcast_at = now;
        self.broadcast.clone_from(&packed);
        Some(packed)
    }
}

/// Maps each target to its position in the document.
fn positions(versioned: &VersionedDocument) -> BTreeMap<TargetId, usize> {
    let targets = versioned.document.targets.iter().enumerate();
    targets.map(|(i, t)| (t.id.clone(), i)).collect()
}

impl Node {
    /// Activates a service document if its version is higher than that of the
    /// active one, and ignores it otherwise.
    pub(super) fn apply_document(
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
                pool.positions = positions(&versioned);
                pool.versioned = versioned;
                pool.drop_unknown_targets();
            }
            None => {
                self.pools.insert(service.clone(), Pool::new(versioned));
            }
        }
        self.counters.documents += 1;
        self.assign_stewards(now, &service, out);
        self.renew_grants(now, out);
        out.push(Command::DocumentApplied(service.clone(), version));
        self.broadcast_summary(vec![(service, version)], Vec::new(), Vec::new(), out);
    }

    /// Assigns the targets of a service to the live instances.
    ///
    /// For targets that move to another steward, the chat records are handed
    /// over and the queued requests are placed again.
    pub(super) fn assign_stewards(
        &mut self,
        now: Time,
        service: &ServiceId,
        out: &mut Vec<Command>,
    ) {
        let live: Vec<InstanceId> = self.members.live().cloned().collect();
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let previous: Vec<TargetId> = pool.slots.keys().cloned().collect();
        pool.assign_stewards(now, &self.me, &live);
        let (alive, known) = self.members.visibility();
        for slots in pool.slots.values_mut() {
            slots.set_visibility(alive, known);
        }
        pool.apply_marks(now, &self.marks);
        let lost: Vec<TargetId> = previous
            .into_iter()
            .filter(|t| !pool.slots.contains_key(t))
            .collect();
        let stewarded: Vec<TargetId> = pool.slots.keys().cloned().collect();
        for target in &stewarded {
            pool.update_load(now, target);
        }
        let orphans = pool.take_orphans();
        self.hand_over_chats(service, &lost);
        for mut request in orphans {
            request.all_denied = false;
            request.hops = 0;
            request.target = TargetId::default();
            self.place(now, request, out);
        }
    }

    /// Prepares the messages that hand over the records of chats whose
    /// first-ranked target is in `lost` to their new home.
    fn hand_over_chats(&mut self, service: &ServiceId, lost: &[TargetId]) {
        if lost.is_empty() {
            return;
        }
        let pool = &self.pools[service];
        for target in lost {
            let Some(home) = pool.steward(target).cloned() else {
                continue;
            };
            let records = self.cache_index.remove_matching(usize::MAX, |chat| {
                pool.ranking(chat).first() == Some(&target.as_str())
            });
            for chunk in records.chunks(MAX_CHATS) {
                let message = Message::ChatLocations {
                    service: service.clone(),
                    chats: chunk.to_vec(),
                };
                self.handovers.push((home.clone(), message));
            }
        }
    }

    pub(super) fn tick_pools(&mut self, now: Time, out: &mut Vec<Command>) {
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            self.expire_grants(now, &service);
            self.send_loads(now, &service, out);
            self.expire_queues(now, &service, out);
            self.serve_queues(now, &service, out);
        }
    }

    /// Lapses grants whose lease is over or whose entry is dead.
    fn expire_grants(&mut self, now: Time, service: &ServiceId) {
        let pool = self.pools.get_mut(service).expect("pool");
        let dead: Vec<&str> = self
            .members
            .iter()
            .filter(|(_, m)| m.status == crate::members::MemberStatus::Dead)
            .map(|(id, _)| id.as_str())
            .collect();
        let (alive, known) = self.members.visibility();
        let targets: Vec<TargetId> = pool.slots.keys().cloned().collect();
        for target in &targets {
            let slots = pool.slots.get_mut(target).expect("ledger");
            for id in &dead {
                slots.lapse_entry(id);
            }
            self.counters.lapsed += slots.expire(now) as u64;
            slots.set_visibility(alive, known);
            pool.update_load(now, target);
        }
    }

    /// Sends this steward's loads to the aggregator, or as the aggregator the
    /// pool's loads to all stewards, if they are due.
    fn send_loads(&mut self, now: Time, service: &ServiceId, out: &mut Vec<Command>) {
        let pool = self.pools.get_mut(service).expect("pool");
        let Some(aggregator) = pool.aggregator.clone() else {
            return;
        };
        if aggregator != self.me {
            if let Some(loads) = pool.loads_to_send(now) {
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
        let Some(packed) = pool.loads_to_broadcast(now) else {
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

    /// Takes over the loads of another steward's targets, as the aggregator.
    pub(super) fn on_target_loads(&mut self, service: &str, loads: Vec<(TargetId, u32, u32)>) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        for (target, load, cap) in loads {
            let is_excluded = pool.slots.contains_key(&target) || pool.drained.contains(&target);
            if pool.spec(&target).is_some() && !is_excluded {
                pool.loads.set(&target, load, cap);
            }
        }
    }

    /// Takes over the pool's loads from the aggregator, except those of targets
    /// stewarded here, whose ledgers are more recent.
    pub(super) fn on_pool_loads(&mut self, service: &str, version: Version, packed: &[u8]) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let targets = &pool.versioned.document.targets;
        if pool.versioned.version != version || packed.len() != 2 * targets.len() {
            return;
        }
        for (target, pair) in targets.iter().zip(packed.chunks_exact(2)) {
            if !pool.slots.contains_key(&target.id) && !pool.drained.contains(&target.id) {
                pool.loads
                    .set(&target.id, u32::from(pair[0]), u32::from(pair[1]));
            }
        }
    }

    /// Applies a target's load report and serves its queue.
    pub(super) fn on_load_report(
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
        let is_rebooted = slots.report().is_some_and(|r| r.boot != report.boot);
        if slots.apply_report(now, report) {
            self.counters.cold_again += 1;
            out.push(Command::TargetChanged(target.clone(), "cold again"));
            if is_rebooted {
                self.cache_index.forget_target(target);
            }
        }
        let pool = self.pools.get_mut(service).expect("pool");
        pool.update_load(now, target);
        self.serve_queue(now, service, target, out);
    }

    /// Stops grants for a target that refused a connection.
    pub(super) fn on_unreachable(
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
        if !slots.is_backing_off(now) {
            out.push(Command::TargetChanged(target.clone(), "unreachable"));
        }
        slots.mark_unreachable(now);
        pool.update_load(now, target);
    }

    /// Denies the queued requests whose longest wait is over.
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
