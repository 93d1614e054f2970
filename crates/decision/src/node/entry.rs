//! The entry's side of placement: pending slot requests and held grants.

use super::{Command, Event, Node};
use crate::id::{
    ChatId, Digest, InstanceId, ServiceId, SlotRequestId, TargetId, Time, WorkspaceId,
};
use crate::message::{DenyCode, Grant, HeldGrant, Message, Release, SlotRequest};
use crate::retry_budget::RetryBudget;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a reply after which a slot request goes to another steward.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Times that a slot request is sent again to another steward.
const MAX_RESENDS: u8 = 4;
/// Delay before a request is sent again that was denied as unsettled.
const UNSETTLED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time beyond a slot request's own wait after which it expires.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Interval at which held grants are renewed; under a third of a grant's lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Grants per renewal message.
const MAX_RENEWALS: usize = 200;
/// Long-run ratio of retries to first attempts.
const RETRY_RATIO: f64 = 0.1;
/// Retries per second allowed beyond the ratio.
const RETRY_REFILL_PER_S: f64 = 2.0;
/// Largest burst of retries.
const RETRY_BURST: f64 = 20.0;

/// A slot request that waits for a grant or a denial.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    request: SlotRequest,
    /// Time of the last send or of the last sign that it is queued.
    sent_at: Time,
    deadline: Time,
    /// Times that the request was sent again without a reply.
    resends: u8,
    /// Instance that has the request, if any.
    steward: Option<InstanceId>,
    /// Whether that instance has queued it.
    queued: bool,
}

impl Node {
    /// Denies a slot request at once or sends it to a steward.
    pub(super) fn request_slot(&mut self, now: Time, event: Event, out: &mut Vec<Command>) {
        let Event::RequestSlot {
            id,
            service,
            workspace,
            chat,
            digest,
            priority,
            wait,
            avoid,
            retry,
        } = event
        else {
            return;
        };
        self.counters.asks += 1;
        let refusal = match () {
            () if !self.pools.contains_key(&service) => Some(DenyCode::NoService),
            () if self.quarantine.is_quarantined(digest) => Some(DenyCode::Quarantined),
            () if !self.allows_attempt(now, &service, &workspace, retry) => {
                Some(DenyCode::RetryBudget)
            }
            () => None,
        };
        if let Some(code) = refusal {
            out.push(Command::Denied { request: id, code });
            return;
        }
        let request = SlotRequest {
            id: self.assign_number(id),
            entry: InstanceId::default(),
            service,
            workspace,
            chat,
            priority,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            target: TargetId::default(),
            tried: avoid,
            hold_ms: 0,
            hops: 0,
            all_denied: false,
            suspect: self.quarantine.is_suspect(digest),
        };
        let pending = PendingRequest {
            request,
            sent_at: now,
            deadline: now + wait + DEADLINE_GRACE,
            resends: 0,
            steward: None,
            queued: false,
        };
        self.pending.insert(id, pending);
        self.send_slot_request(now, id, out);
    }

    /// Assigns a pending request a new number for use in messages.
    fn assign_number(&mut self, id: SlotRequestId) -> SlotRequestId {
        self.next_number += 1;
        self.ids_by_number.insert(self.next_number, id);
        self.next_number
    }

    /// Removes a pending request by its number in messages.
    fn take_pending(&mut self, number: SlotRequestId) -> Option<(SlotRequestId, PendingRequest)> {
        let id = self.ids_by_number.remove(&number)?;
        let pending = self.pending.remove(&id)?;
        Some((id, pending))
    }

    /// Sends every pending request again under a new number.
    ///
    /// After a pause the socket buffers may hold grants whose lease has expired.
    /// They name the old number, so they no longer match a pending request.
    pub(super) fn resend_pending(&mut self, now: Time, out: &mut Vec<Command>) {
        self.ids_by_number.clear();
        let ids: Vec<SlotRequestId> = self.pending.keys().copied().collect();
        for id in ids {
            let number = self.assign_number(id);
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.request.id = number;
                pending.steward = None;
            }
            self.send_slot_request(now, id, out);
        }
    }

    /// Returns whether the retry budgets of the pool and the workspace allow an
    /// attempt; a first attempt adds to both and is always allowed.
    fn allows_attempt(
        &mut self,
        now: Time,
        service: &ServiceId,
        workspace: &str,
        retry: bool,
    ) -> bool {
        let pool_key = (service.clone(), WorkspaceId::default());
        let workspace_key = (service.clone(), WorkspaceId::from(workspace));
        [pool_key, workspace_key].into_iter().all(|key| {
            let budget = self
                .budgets
                .entry(key)
                .or_insert_with(|| RetryBudget::new(RETRY_RATIO, RETRY_REFILL_PER_S, RETRY_BURST));
            if !retry {
                budget.deposit();
                return true;
            }
            budget.withdraw(now)
        })
    }

    /// Sends a pending request to the chat's home, or to the steward of the next
    /// target in the chat's ranking if the steward asked before did not reply.
    fn send_slot_request(&mut self, now: Time, id: SlotRequestId, out: &mut Vec<Command>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.sent_at = now;
        pending.queued = false;
        let unresponsive = pending.steward.take();
        let mut request = pending.request.clone();
        let pool = &self.pools[&request.service];
        let ranking = pool.ranking(request.chat);
        let next = ranking.into_iter().find_map(|target| {
            let steward = pool.steward(target)?;
            (Some(steward) != unresponsive.as_ref()).then(|| (target, steward.clone()))
        });
        let Some((target, steward)) = next else {
            if let Some(pending) = self.pending.remove(&id) {
                self.ids_by_number.remove(&pending.request.id);
                let code = DenyCode::NoTarget;
                out.push(Command::Denied { request: id, code });
            }
            return;
        };
        pending.steward = Some(steward.clone());
        if steward == self.me {
            self.place(now, request, out);
            return;
        }
        request.hops = 1;
        if unresponsive.is_some() {
            // This steward is not the chat's home, so the request names the target.
            request.target = target.into();
        }
        out.push(Command::Send {
            to: steward,
            message: Message::SlotRequest(request),
        });
    }

    /// Sends pending requests again that got no reply, expires those past their
    /// deadline, and renews the held grants when they are due.
    pub(super) fn tick_entry(&mut self, now: Time, out: &mut Vec<Command>) {
        let mut resend = Vec::new();
        let mut expired = Vec::new();
        for (id, pending) in &mut self.pending {
            let steward_lost = pending
                .steward
                .as_ref()
                .is_some_and(|id| !self.members.is_live(id));
            let is_silent = !pending.queued && now.saturating_sub(pending.sent_at) >= REPLY_TIMEOUT;
            match () {
                () if now >= pending.deadline => expired.push(*id),
                () if (steward_lost || is_silent) && pending.resends >= MAX_RESENDS => {
                    expired.push(*id);
                }
                () if steward_lost || is_silent => {
                    pending.resends += 1;
                    resend.push(*id);
                }
                () => {}
            }
        }
        for id in resend {
            self.counters.asked_again += 1;
            self.send_slot_request(now, id, out);
        }
        for id in expired {
            self.cancel_slot_request(id, out);
            let code = DenyCode::Expired;
            out.push(Command::Denied { request: id, code });
        }
        if now.saturating_sub(self.gossip.renewed_at) >= RENEWAL_INTERVAL {
            self.renew_grants(now, out);
        }
    }

    /// Takes a grant into use, or returns it if its request is no longer pending
    /// or its target is drained.
    pub(super) fn on_grant(
        &mut self,
        now: Time,
        from: &InstanceId,
        grant: Grant,
        out: &mut Vec<Command>,
    ) {
        if self.held.contains_key(&grant.grant) {
            // A repeated message: returning the grant would free the slot in use.
            return;
        }
        let Some((id, mut pending)) = self.take_pending(grant.request) else {
            return self.return_grant(now, &grant, out);
        };
        let request = &pending.request;
        let spec = self
            .pools
            .get(&request.service)
            .and_then(|p| p.spec(&grant.target));
        let address = spec
            .filter(|spec| !self.is_drained(&spec.id, &spec.domain))
            .map(|spec| spec.address);
        let held = HeldGrant {
            grant: grant.grant,
            service: request.service.clone(),
            target: grant.target.clone(),
            workspace: request.workspace.clone(),
        };
        self.notify_steward(now, from, &held, out);
        self.held.insert(grant.grant, held);
        let Some(address) = address else {
            // The steward does not know of a drain order that is known here.
            self.return_grant(now, &grant, out);
            pending.request.tried.push(grant.target);
            pending.steward = None;
            pending.request.id = self.assign_number(id);
            self.pending.insert(id, pending);
            return self.send_slot_request(now, id, out);
        };
        out.push(Command::Granted {
            request: id,
            grant: grant.grant,
            target: grant.target,
            address,
        });
    }

    /// Registers a grant with the target's current steward if another instance
    /// granted it.
    fn notify_steward(
        &mut self,
        now: Time,
        granted_by: &InstanceId,
        held: &HeldGrant,
        out: &mut Vec<Command>,
    ) {
        let pool = self.pools.get(&held.service);
        let steward = pool.and_then(|p| p.steward(&held.target)).cloned();
        match steward {
            Some(steward) if steward == *granted_by => {}
            Some(steward) if steward == self.me => {
                self.on_renewals(now, &steward, vec![held.clone()]);
            }
            Some(to) => out.push(Command::Send {
                to,
                message: Message::RenewGrants(vec![held.clone()]),
            }),
            None => {}
        }
    }

    /// Returns an unused grant to the steward.
    fn return_grant(&mut self, now: Time, grant: &Grant, out: &mut Vec<Command>) {
        self.counters.given_back += 1;
        let held = self.held.remove(&grant.grant);
        let service = match held {
            Some(held) => Some(held.service),
            None => self.service_of(&grant.target),
        };
        let Some(service) = service else { return };
        let release = Release::unused(grant.grant, service, grant.target.clone());
        self.send_release(now, &release, out);
    }

    /// Returns the service whose pool contains a target.
    fn service_of(&self, target: &str) -> Option<ServiceId> {
        let mut pools = self.pools.iter();
        let found = pools.find(|(_, pool)| pool.spec(target).is_some());
        found.map(|(service, _)| service.clone())
    }

    /// Denies a pending request, or schedules it again if stewards are unsettled.
    pub(super) fn on_deny(
        &mut self,
        now: Time,
        number: SlotRequestId,
        code: DenyCode,
        out: &mut Vec<Command>,
    ) {
        let id = self.ids_by_number.get(&number);
        let pending = id.and_then(|id| self.pending.get_mut(id));
        if let Some(pending) = pending.filter(|_| code == DenyCode::Unsettled) {
            // Membership views converge within a few heartbeats, so the request is
            // sent again until its deadline.
            pending.steward = None;
            pending.queued = false;
            pending.resends = 0;
            pending.sent_at = (now + UNSETTLED_RETRY_DELAY).saturating_sub(REPLY_TIMEOUT);
            return;
        }
        if let Some((request, _)) = self.take_pending(number) {
            self.counters.refused += 1;
            out.push(Command::Denied { request, code });
        }
    }

    /// Notes that a pending request waits in a queue, so that silence is no reason
    /// to send it again.
    pub(super) fn on_queued(&mut self, now: Time, number: SlotRequestId, from: &InstanceId) {
        let id = self.ids_by_number.get(&number);
        if let Some(pending) = id.and_then(|id| self.pending.get_mut(id)) {
            pending.queued = true;
            pending.sent_at = now;
            pending.steward = Some(from.clone());
        }
    }

    /// Drops a pending request, and cancels it at the instance that has it.
    pub(super) fn cancel_slot_request(&mut self, id: SlotRequestId, out: &mut Vec<Command>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let id = pending.request.id;
        self.ids_by_number.remove(&id);
        let service = pending.request.service;
        match pending.steward {
            Some(steward) if steward == self.me => {
                // In the local queue the entry is empty, or this instance's name if
                // the request came back from another steward.
                for entry in [InstanceId::default(), steward] {
                    self.on_cancel(&service, &entry, id);
                }
            }
            Some(steward) => out.push(Command::Send {
                to: steward,
                message: Message::Cancel {
                    service,
                    request: id,
                },
            }),
            None => {}
        }
    }

    /// Releases the slot of an attempt, and records whether its request crashed the
    /// target.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Time,
        release: &Release,
        digest: Digest,
        crashed: bool,
        out: &mut Vec<Command>,
    ) {
        self.held.remove(&release.grant);
        if crashed {
            self.counters.crashes += 1;
            let suspect = self.quarantine.record_crash(now, digest);
            self.broadcast_summary(Vec::new(), Vec::new(), vec![suspect], out);
        } else if release.complete {
            self.quarantine.record_success(digest);
        }
        self.send_release(now, release, out);
    }

    /// Sends a release to the steward and, if the response was complete, to the
    /// chat's home.
    fn send_release(&mut self, now: Time, release: &Release, out: &mut Vec<Command>) {
        let Some(pool) = self.pools.get(&release.service) else {
            return;
        };
        let steward = pool.steward(&release.location.target).cloned();
        let home = self.home_to_notify(release.chat, release);
        let mut to: Vec<InstanceId> = steward.into_iter().chain(home).collect();
        to.dedup();
        for id in to {
            if id == self.me {
                self.on_release(now, release, out);
                continue;
            }
            out.push(Command::Send {
                to: id,
                message: Message::Release(vec![release.clone()]),
            });
        }
    }

    /// Returns the chat's home if the response was complete.
    fn home_to_notify(&self, chat: ChatId, release: &Release) -> Option<InstanceId> {
        let pool = self.pools.get(&release.service)?;
        release.complete.then(|| pool.home(chat).cloned()).flatten()
    }

    /// Renews all held grants with the stewards of their targets.
    pub(super) fn renew_grants(&mut self, now: Time, out: &mut Vec<Command>) {
        self.gossip.renewed_at = now;
        let mut by_steward = BTreeMap::<InstanceId, Vec<HeldGrant>>::new();
        for held in self.held.values() {
            let pool = self.pools.get(&held.service);
            if let Some(steward) = pool.and_then(|p| p.steward(&held.target)) {
                by_steward
                    .entry(steward.clone())
                    .or_default()
                    .push(held.clone());
            }
        }
        for (to, grants) in by_steward {
            if to == self.me {
                self.on_renewals(now, &to, grants);
                continue;
            }
            for chunk in grants.chunks(MAX_RENEWALS) {
                out.push(Command::Send {
                    to: to.clone(),
                    message: Message::RenewGrants(chunk.to_vec()),
                });
            }
        }
    }
}
