//! State machine of one instance: placement, membership and replicated state.
//!
//! Four roles recur in this module. An instance can hold all of them at once:
//!
//! - The *entry* of a request is the instance that received it from its caller.
//!   It asks for a slot on a target and holds the grant while the request runs.
//! - The *steward* of a target is the only instance that grants its slots.
//!   Rendezvous hashing over the live instances picks it.
//! - The *home* of a chat is the steward of the chat's first-ranked target. It
//!   records which targets cache the chat's prompt and chooses among targets.
//! - The *aggregator* of a service collects the loads of all its targets from
//!   the stewards and broadcasts them back.

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
use entry::PendingRequest;
use pool::Pool;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two events from which the process counts as paused.
const MIN_PAUSE: Duration = Duration::from_secs(3);

/// Handover messages that a stopping instance sends per tick.
const HANDOVER_MESSAGES: usize = 10;

/// State machine of one instance.
///
/// It performs no I/O: [`Node::handle`] takes an [`Event`] and returns the
/// [`Command`]s that the caller must carry out.
#[derive(Clone, Debug)]
pub struct Node {
    me: InstanceId,
    incarnation: Incarnation,
    members: Members,
    /// Membership view for which stewards were assigned last.
    view: u64,
    /// Number of members that had returned from death by then.
    revivals: u64,
    pools: BTreeMap<ServiceId, Pool>,
    cache_index: CacheIndex,
    marks: DrainMarks,
    quarantine: Quarantine,
    budgets: BTreeMap<(ServiceId, WorkspaceId), RetryBudget>,
    /// Slot requests of this entry without a grant, by their identifier.
    pending: BTreeMap<SlotRequestId, PendingRequest>,
    /// Maps the numbers used in messages to identifiers of pending requests.
    ids_by_number: BTreeMap<SlotRequestId, SlotRequestId>,
    next_number: SlotRequestId,
    /// Grants of requests that run from this entry.
    held: BTreeMap<GrantId, HeldGrant>,
    /// Messages that hand over chat records, sent a few per tick.
    handovers: Vec<(InstanceId, Message)>,
    grant_count: u64,
    leaving: bool,
    /// Time of the last event, to detect pauses.
    last_event: Time,
    gossip: gossip::Schedule,
    counters: Counters,
}

impl Node {
    /// Creates the state of an instance that has just started.
    pub fn new(settings: NodeSettings, now: Time) -> Self {
        let NodeSettings {
            me,
            incarnation,
            max_chats,
            timing,
        } = settings;
        Node {
            me: me.id.clone(),
            incarnation,
            members: Members::new(&me, incarnation, timing, now),
            view: 0,
            revivals: 0,
            pools: BTreeMap::new(),
            cache_index: CacheIndex::new(max_chats),
            marks: DrainMarks::default(),
            quarantine: Quarantine::default(),
            budgets: BTreeMap::new(),
            pending: BTreeMap::new(),
            ids_by_number: BTreeMap::new(),
            next_number: 0,
            held: BTreeMap::new(),
            handovers: Vec::new(),
            grant_count: 0,
            leaving: false,
            last_event: now,
            gossip: gossip::Schedule::default(),
            counters: Counters::default(),
        }
    }

    /// Processes an event and returns the commands to carry out, in order.
    ///
    /// `now` must not be earlier than in the previous call.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        self.detect_pause(now, &mut out);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::PeerMessage { from, message } => self.on_message(now, &from, message, &mut out),
            Event::PeerLost(id) => self.members.suspect(now, &id),
            Event::InstanceList(list) => self.members.apply_list(now, &list),
            Event::Document(versioned) => self.apply_document(now, versioned, &mut out),
            Event::DrainMark(mark) => self.apply_mark(now, &mark, &mut out),
            Event::SetDrained { key, drained } => self.set_drained(now, key, drained, &mut out),
            Event::CancelSlotRequest(id) => self.cancel_slot_request(id, &mut out),
            Event::AttemptEnded {
                release,
                digest,
                crashed,
            } => self.on_attempt_ended(now, &release, digest, crashed, &mut out),
            Event::LoadReport {
                service,
                target,
                report,
            } => self.on_load_report(now, &service, &target, report, &mut out),
            Event::CachedTokens {
                service,
                target,
                chats,
                gap,
            } => {
                self.counters.cache_gaps += u64::from(gap);
                self.on_cached_tokens(&service, &target, chats, &mut out);
            }
            Event::TargetUnreachable { service, target } => {
                self.on_unreachable(now, &service, &target, &mut out);
            }
            Event::Unquarantine(digest) => self.unquarantine(digest, &mut out),
            Event::Shutdown => self.shut_down(now, &mut out),
            request @ Event::RequestSlot { .. } => self.request_slot(now, request, &mut out),
        }
        self.apply_view_change(now, &mut out);
        let changes = self.members.take_changes();
        out.extend(changes.into_iter().map(Command::MemberChanged));
        out
    }

    /// Returns up to `most` instances to which a caller should connect for a
    /// chat, best first: the stewards in the chat's target ranking, then the
    /// other live instances.
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

    /// Returns the active document of a service.
    pub fn document(&self, service: &str) -> Option<&VersionedDocument> {
        self.pools.get(service).map(|p| &p.versioned)
    }

    /// Iterates over the active documents of all services.
    pub fn services(&self) -> impl Iterator<Item = &VersionedDocument> {
        self.pools.values().map(|p| &p.versioned)
    }

    /// Returns the engines that this instance stewards, whose load reports it
    /// must poll.
    pub fn poll_targets(&self) -> Vec<PollTarget> {
        let engines = self
            .pools
            .values()
            .filter(|p| p.versioned.document.kind == ServiceKind::Engine);
        engines.flat_map(Pool::poll_targets).collect()
    }

    /// Returns the membership view.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the known drain marks.
    pub fn marks(&self) -> &DrainMarks {
        &self.marks
    }

    /// Returns whether a target exists and is not drained, as far as this
    /// instance knows.
    pub fn accepts_work(&self, service: &str, target: &str) -> bool {
        let Some(pool) = self.pools.get(service) else {
            return false;
        };
        let spec = pool.versioned.document.target(target);
        spec.is_some_and(|spec| !self.is_drained(&spec.id, &spec.domain))
    }

    /// Returns the number of held grants and pending slot requests.
    pub fn in_flight(&self) -> usize {
        self.held.len() + self.pending.len()
    }

    fn is_drained(&self, target: &TargetId, domain: &str) -> bool {
        self.marks.is_drained(&DrainKey::Target(target.clone()))
            || self.marks.is_drained(&DrainKey::Domain(domain.into()))
    }

    /// Treats a long gap between events as a restart.
    ///
    /// Other instances may have declared this one dead and taken over its
    /// targets, so it takes a new incarnation, grants cautiously, renews its
    /// grants and sends its pending slot requests again.
    fn detect_pause(&mut self, now: Time, out: &mut Vec<Command>) {
        let gap = now.saturating_sub(self.last_event);
        self.last_event = now.max(self.last_event);
        if gap < MIN_PAUSE {
            return;
        }
        self.counters.pauses += 1;
        self.members.bump_incarnation(now);
        for pool in self.pools.values_mut() {
            pool.start_takeover(now);
        }
        self.renew_grants(now, out);
        self.resend_pending(now, out);
        out.push(Command::PauseDetected(gap));
    }

    fn on_message(
        &mut self,
        now: Time,
        from: &InstanceId,
        message: Message,
        out: &mut Vec<Command>,
    ) {
        match message {
            Message::SlotRequest(mut request) => {
                if request.entry.is_empty() {
                    request.entry = from.clone();
                }
                self.place(now, request, out);
            }
            Message::Grant(grant) => self.on_grant(now, from, grant, out),
            Message::Deny { request, code } => self.on_deny(now, request, code, out),
            Message::Queued(request) => self.on_queued(now, request, from),
            Message::Cancel { service, request } => self.on_cancel(&service, from, request),
            Message::Release(releases) => {
                for release in releases {
                    self.on_release(now, &release, out);
                }
            }
            Message::RenewGrants(grants) => self.on_renewals(now, from, grants),
            Message::TargetLoads { service, loads } => self.on_target_loads(&service, loads),
            Message::PoolLoads {
                service,
                version,
                loads,
            } => self.on_pool_loads(&service, version, &loads),
            Message::Heartbeat {
                incarnation,
                fingerprint,
                updates,
            } => self.on_heartbeat(now, from, incarnation, fingerprint, &updates, out),
            Message::StateSummary {
                documents,
                marks,
                suspects,
                updates,
            } => {
                let summary = gossip::Summary {
                    documents,
                    marks,
                    suspects,
                    updates,
                };
                self.on_summary(now, from, summary, out);
            }
            Message::FetchDocuments(services) => self.on_fetch_documents(from, &services, out),
            Message::Document(versioned) => self.apply_document(now, *versioned, out),
            Message::ChatLocations { chats, .. } => {
                for (chat, location) in chats {
                    if self.cache_index.locations(chat).is_empty() {
                        self.cache_index.record(now, chat, location);
                    }
                }
            }
            Message::CachedTokens(chats) => {
                for (chat, location) in chats {
                    self.cache_index.correct(chat, location);
                }
            }
            Message::Unquarantine(digest) => {
                self.quarantine.release(digest);
            }
            query @ Message::FetchAnswer { .. } => out.push(Command::SendAnswerPart {
                to: from.clone(),
                message: query,
            }),
            part @ Message::AnswerPart { .. } => out.push(Command::AnswerPart(part)),
            // Only gateway instances exchange these, and they run no node.
            Message::Pulse(_)
            | Message::TableUpdate(..)
            | Message::FetchTable(..)
            | Message::TablePage(_)
            | Message::FetchPages(_)
            | Message::Room(_) => {}
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        self.members.tick(now);
        self.send_heartbeats(now, out);
        self.quarantine.expire(now);
        self.tick_pools(now, out);
        self.tick_entry(now, out);
        let burst = if self.leaving { HANDOVER_MESSAGES } else { 1 };
        for _ in 0..burst {
            if let Some((to, message)) = self.handovers.pop() {
                out.push(Command::Send { to, message });
            }
        }
    }

    fn shut_down(&mut self, now: Time, out: &mut Vec<Command>) {
        self.leaving = true;
        self.members.leave(now);
        self.flush_updates(now, out);
    }

    /// Reassigns stewards and homes after a change of the set of live instances.
    fn apply_view_change(&mut self, now: Time, out: &mut Vec<Command>) {
        if self.view == self.members.view() {
            return;
        }
        self.view = self.members.view();
        if self.revivals != self.members.revivals() {
            // An instance that returns from a partition may have granted slots of
            // the same targets.
            self.revivals = self.members.revivals();
            for pool in self.pools.values_mut() {
                pool.start_takeover(now);
            }
        }
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            self.assign_stewards(now, &service, out);
        }
        self.renew_grants(now, out);
    }

    fn next_grant_id(&mut self) -> GrantId {
        self.grant_count += 1;
        let owner = crate::hash::hash_parts(&[self.me.as_bytes(), &self.incarnation.to_le_bytes()]);
        // The upper 32 bits identify the steward's incarnation, the lower ones
        // count its grants.
        (owner << 32) | (self.grant_count & u64::from(u32::MAX))
    }
}
