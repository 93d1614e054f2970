//! One instance's share of the fleet's decisions.

mod dump;
mod entry;
mod event;
mod gossip;
mod placement;
mod pool;
mod queueing;
mod settings;

pub use dump::{Counters, NodeDump};
pub use event::{Command, Event, PollTarget};
pub use settings::{NodeSettings, NodeSettingsBuilder};

use crate::cache_index::CacheIndex;
use crate::document::{ServiceKind, VersionedDocument};
use crate::drain::{DrainKey, DrainMarks};
use crate::hash::rank;
use crate::id::{
    ChatId, GrantId, Incarnation, InstanceId, ServiceId, SlotRequestId, TargetId, Time, WorkspaceId,
};
use crate::members::Members;
use crate::message::{HeldGrant, Message};
use crate::quarantine::Quarantine;
use crate::retry_budget::RetryBudget;
use entry::PendingAsk;
use pool::Pool;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Gap between two events after which the process counts as having paused.
const PAUSE: Duration = Duration::from_secs(3);

/// Messages of chat records that a stopping instance sends in one tick.
const HANDOVER_BURST: usize = 10;

/// One instance's share of the fleet's decisions.
#[derive(Clone, Debug)]
pub struct Node {
    me: InstanceId,
    incarnation: Incarnation,
    members: Members,
    view: u64,
    returns: u64,
    pools: BTreeMap<ServiceId, Pool>,
    chats: CacheIndex,
    marks: DrainMarks,
    quarantine: Quarantine,
    budgets: BTreeMap<(ServiceId, WorkspaceId), RetryBudget>,
    pending: BTreeMap<SlotRequestId, PendingAsk>,
    numbers: BTreeMap<SlotRequestId, SlotRequestId>,
    next_number: SlotRequestId,
    held: BTreeMap<GrantId, HeldGrant>,
    moving: Vec<(InstanceId, Message)>,
    grants: u64,
    leaving: bool,
    last: Time,
    spread: gossip::Schedule,
    counters: Counters,
}

impl Node {
    /// Makes the node of an instance that has just started.
    pub fn new(settings: NodeSettings, now: Time) -> Self {
        let NodeSettings {
            me,
            incarnation,
            chats,
            timing,
        } = settings;
        Node {
            me: me.id.clone(),
            incarnation,
            members: Members::new(&me, incarnation, timing, now),
            view: 0,
            returns: 0,
            pools: BTreeMap::new(),
            chats: CacheIndex::new(chats),
            marks: DrainMarks::default(),
            quarantine: Quarantine::default(),
            budgets: BTreeMap::new(),
            pending: BTreeMap::new(),
            numbers: BTreeMap::new(),
            next_number: 0,
            held: BTreeMap::new(),
            moving: Vec::new(),
            grants: 0,
            leaving: false,
            last: now,
            spread: gossip::Schedule::default(),
            counters: Counters::default(),
        }
    }

    /// Takes an event and says what to do.
    ///
    /// `now` must not be lower than at the call before.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        self.notice_pause(now, &mut out);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::PeerMessage { from, message } => self.receive(now, &from, message, &mut out),
            Event::PeerLost(id) => self.members.lost(now, &id),
            Event::InstanceList(list) => self.members.listed(now, &list),
            Event::Document(versioned) => self.accept(now, versioned, &mut out),
            Event::DrainMark(mark) => self.mark(now, &mark, &mut out),
            Event::SetDrained { key, drained } => self.set_drained(now, key, drained, &mut out),
            Event::CancelSlotRequest(id) => self.cancel(id, &mut out),
            Event::AttemptEnded {
                release,
                digest,
                crashed,
            } => self.ended(now, &release, digest, crashed, &mut out),
            Event::LoadReport {
                service,
                target,
                report,
            } => self.reported(now, &service, &target, report, &mut out),
            Event::CachedTokens {
                service,
                target,
                chats,
                gap,
            } => {
                self.counters.cache_gaps += u64::from(gap);
                self.cached(&service, &target, chats, &mut out);
            }
            Event::TargetUnreachable { service, target } => {
                self.unreachable(now, &service, &target, &mut out);
            }
            Event::Unquarantine(digest) => self.pardon(digest, &mut out),
            Event::Shutdown => self.leave(now, &mut out),
            request @ Event::RequestSlot { .. } => self.request_slot(now, request, &mut out),
        }
        self.follow_view(now, &mut out);
        let changes = self.members.take_changes();
        out.extend(changes.into_iter().map(Command::MemberChanged));
        out
    }

    /// Instances to which a caller should connect for a chat, the best first.
    pub fn locate(
        &self,
        service: &str,
        chat: ChatId,
        most: usize,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let Some(pool) = self.pools.get(service) else {
            return Vec::new();
        };
        let mut found: Vec<InstanceId> = Vec::new();
        let stewards = pool
            .ranking(chat)
            .into_iter()
            .filter_map(|t| pool.steward(t));
        let others = rank(chat, self.members.live().map(|id| (id.as_str(), 1)));
        let all = stewards.map(InstanceId::as_str).chain(others);
        for id in all {
            if found.len() < most && !found.iter().any(|f| f == id) {
                found.push(id.into());
            }
        }
        let with_address = found.into_iter().filter_map(|id| {
            let member = self.members.get(&id)?;
            member.is_live().then_some((id, member.caller))
        });
        with_address.collect()
    }

    /// Document in force for a service.
    pub fn document(&self, service: &str) -> Option<&VersionedDocument> {
        self.pools.get(service).map(|p| &p.versioned)
    }

    /// Services with a document in force.
    pub fn services(&self) -> impl Iterator<Item = &VersionedDocument> {
        self.pools.values().map(|p| &p.versioned)
    }

    /// Targets whose load reports this instance reads.
    pub fn poll_targets(&self) -> Vec<PollTarget> {
        let engines = self
            .pools
            .values()
            .filter(|p| p.versioned.document.kind == ServiceKind::Engine);
        engines.flat_map(Pool::poll_targets).collect()
    }

    /// Instances known.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Drain marks known.
    pub fn marks(&self) -> &DrainMarks {
        &self.marks
    }

    /// Whether a target takes new work, by the orders known here.
    pub fn accepts_work(&self, service: &str, target: &str) -> bool {
        let Some(pool) = self.pools.get(service) else {
            return false;
        };
        let spec = pool.versioned.document.target(target);
        spec.is_some_and(|spec| !self.is_drained(&spec.id, &spec.domain))
    }

    /// Grants that this instance holds, and asks that wait for an answer.
    pub fn in_flight(&self) -> usize {
        self.held.len() + self.pending.len()
    }

    fn is_drained(&self, target: &TargetId, domain: &str) -> bool {
        self.marks.is_drained(&DrainKey::Target(target.clone()))
            || self.marks.is_drained(&DrainKey::Domain(domain.into()))
    }

    /// Treats a pause as a new life: others may have taken over meanwhile.
    fn notice_pause(&mut self, now: Time, out: &mut Vec<Command>) {
        let gap = now.saturating_sub(self.last);
        self.last = now.max(self.last);
        if gap < PAUSE {
            return;
        }
        self.counters.pauses += 1;
        self.members.renew(now);
        for pool in self.pools.values_mut() {
            pool.caution(now);
        }
        self.renew_held(now, out);
        self.renumber(now, out);
        out.push(Command::PauseDetected(gap));
    }

    fn receive(&mut self, now: Time, from: &InstanceId, message: Message, out: &mut Vec<Command>) {
        match message {
            Message::SlotRequest(mut request) => {
                if request.entry.is_empty() {
                    request.entry = from.clone();
                }
                self.place(now, request, out);
            }
            Message::Grant(grant) => self.grant_came(now, from, grant, out),
            Message::Deny { request, code } => self.deny_came(now, request, code, out),
            Message::Queued(request) => self.queued_came(now, request, from),
            Message::Cancel { service, request } => self.cancel_came(&service, from, request),
            Message::Release(releases) => {
                for release in releases {
                    self.released(now, &release, out);
                }
            }
            Message::RenewGrants(holds) => self.holds_came(now, from, holds),
            Message::TargetLoads { service, loads } => self.loads_came(&service, loads),
            Message::PoolLoads {
                service,
                version,
                loads,
            } => self.pool_came(&service, version, &loads),
            Message::Heartbeat {
                incarnation,
                fingerprint,
                updates,
            } => self.beat_came(now, from, incarnation, fingerprint, &updates, out),
            Message::StateSummary {
                documents,
                marks,
                suspects,
                updates,
            } => {
                let news = gossip::News {
                    documents,
                    marks,
                    suspects,
                    updates,
                };
                self.index_came(now, from, news, out);
            }
            Message::FetchDocuments(services) => self.fetch_came(from, &services, out),
            Message::Document(versioned) => self.accept(now, *versioned, out),
            Message::ChatLocations { chats, .. } => {
                for (chat, place) in chats {
                    if self.chats.locations(chat).is_empty() {
                        self.chats.record(now, chat, place);
                    }
                }
            }
            Message::CachedTokens(chats) => {
                for (chat, place) in chats {
                    self.chats.correct(chat, place);
                }
            }
            Message::Unquarantine(digest) => {
                self.quarantine.release(digest);
            }
            request @ Message::FetchAnswer { .. } => out.push(Command::SendAnswerPart {
                to: from.clone(),
                message: request,
            }),
            part @ Message::AnswerPart { .. } => out.push(Command::AnswerPart(part)),
            // Instances on the operators' platform tell these; none is there.
            Message::Pulse(_) | Message::TableUpdate(..) | Message::FetchTable(..) => {}
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        self.members.tick(now);
        self.beat(now, out);
        self.quarantine.expire(now);
        self.tick_pools(now, out);
        self.tick_entry(now, out);
        let burst = if self.leaving { HANDOVER_BURST } else { 1 };
        for _ in 0..burst {
            if let Some((to, message)) = self.moving.pop() {
                out.push(Command::Send { to, message });
            }
        }
    }

    fn leave(&mut self, now: Time, out: &mut Vec<Command>) {
        self.leaving = true;
        self.members.leave(now);
        self.tell_news(now, out);
    }

    /// Follows a change of the live list: stewards and homes move.
    fn follow_view(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.view == self.members.view() {
            return;
        }
        self.view = self.members.view();
        if self.returns != self.members.returns() {
            // The one that is back may have granted slots of the same targets.
            self.returns = self.members.returns();
            for pool in self.pools.values_mut() {
                pool.caution(now);
            }
        }
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            self.assign(now, &service, out);
        }
        self.renew_held(now, out);
    }

    fn mint_grant(&mut self) -> GrantId {
        self.grants += 1;
        let owner = crate::hash::hash_parts(&[self.me.as_bytes(), &self.incarnation.to_le_bytes()]);
        // The upper half names the steward's life and the lower half counts.
        (owner << 32) | (self.grants & u64::from(u32::MAX))
    }
}
