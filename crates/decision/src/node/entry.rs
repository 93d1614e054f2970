//! The entry's side of placement: asks that wait and grants that are held.

use super::{Command, Event, Node};
use crate::id::{
    ChatId, Digest, InstanceId, ServiceId, SlotRequestId, TargetId, Time, WorkspaceId,
};
use crate::message::{DenyCode, Grant, HeldGrant, Message, Release, SlotRequest};
use crate::retry_budget::RetryBudget;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without an answer after which an ask goes to another steward.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Most stewards that are asked in turn when they do not answer.
const ASK_TRIES: u8 = 4;
/// Pause before an ask is sent again on which the instances did not agree.
const UNSETTLED_PAUSE: Duration = Duration::from_millis(100);
/// Time beyond an ask's own wait after which it is given up.
const ASK_GRACE: Duration = Duration::from_millis(500);
/// Interval at which held grants are renewed.
const RENEWAL: Duration = Duration::from_secs(3);
/// Grants in one message that renews them.
const HOLDS_A_MESSAGE: usize = 200;
/// Retries for each first attempt, in the long run.
const RETRY_RATIO: f64 = 0.1;
/// Retries allowed per second besides.
const RETRY_REFILL: f64 = 2.0;
/// Most retries at once.
const RETRY_BURST: f64 = 20.0;

/// An ask that waits for an answer.
#[derive(Clone, Debug)]
pub(super) struct PendingAsk {
    request: SlotRequest,
    sent: Time,
    gives_up: Time,
    tries: u8,
    asked: Option<InstanceId>,
    queued: bool,
}

impl Node {
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
            () if !self.may_try(now, &service, &workspace, retry) => Some(DenyCode::RetryBudget),
            () => None,
        };
        if let Some(code) = refusal {
            out.push(Command::Denied { request: id, code });
            return;
        }
        let request = SlotRequest {
            id: self.number(id),
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
            full: false,
            suspect: self.quarantine.is_suspect(digest),
        };
        let pending = PendingAsk {
            request,
            sent: now,
            gives_up: now + wait + ASK_GRACE,
            tries: 0,
            asked: None,
            queued: false,
        };
        self.pending.insert(id, pending);
        self.send_ask(now, id, out);
    }

    /// Gives a pending ask a number for the mesh.
    fn number(&mut self, id: SlotRequestId) -> SlotRequestId {
        self.next_number += 1;
        self.numbers.insert(self.next_number, id);
        self.next_number
    }

    /// Takes a pending ask by its number on the mesh.
    fn take_pending(&mut self, number: SlotRequestId) -> Option<(SlotRequestId, PendingAsk)> {
        let id = self.numbers.remove(&number)?;
        let pending = self.pending.remove(&id)?;
        Some((id, pending))
    }

    /// Asks anew for everything that is pending, under new numbers.
    ///
    /// After a pause a grant may wait in the sockets that has lapsed long ago.
    pub(super) fn renumber(&mut self, now: Time, out: &mut Vec<Command>) {
        self.numbers.clear();
        let ids: Vec<SlotRequestId> = self.pending.keys().copied().collect();
        for id in ids {
            let number = self.number(id);
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.request.id = number;
                pending.asked = None;
            }
            self.send_ask(now, id, out);
        }
    }

    /// Draws a retry on the budgets of its workspace and its pool.
    fn may_try(&mut self, now: Time, service: &ServiceId, workspace: &str, retry: bool) -> bool {
        let pool_key = (service.clone(), WorkspaceId::default());
        let own_key = (service.clone(), WorkspaceId::from(workspace));
        [pool_key, own_key].into_iter().all(|key| {
            let budget = self
                .budgets
                .entry(key)
                .or_insert_with(|| RetryBudget::new(RETRY_RATIO, RETRY_REFILL, RETRY_BURST));
            if !retry {
                budget.deposit();
                return true;
            }
            budget.withdraw(now)
        })
    }

    /// Sends a pending ask to its chat's home, or onward where that is silent.
    fn send_ask(&mut self, now: Time, id: SlotRequestId, out: &mut Vec<Command>) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.sent = now;
        pending.queued = false;
        let silent = pending.asked.take();
        let mut request = pending.request.clone();
        let pool = &self.pools[&request.service];
        let ranking = pool.ranking(request.chat);
        let next = ranking.into_iter().find_map(|target| {
            let steward = pool.steward(target)?;
            (Some(steward) != silent.as_ref()).then(|| (target, steward.clone()))
        });
        let Some((target, steward)) = next else {
            if let Some(pending) = self.pending.remove(&id) {
                self.numbers.remove(&pending.request.id);
                let code = DenyCode::NoTarget;
                out.push(Command::Denied { request: id, code });
            }
            return;
        };
        pending.asked = Some(steward.clone());
        if steward == self.me {
            self.place(now, request, out);
            return;
        }
        request.hops = 1;
        if silent.is_some() {
            // The second choice's steward is not this chat's home: name the target.
            request.target = target.into();
        }
        out.push(Command::Send {
            to: steward,
            message: Message::SlotRequest(request),
        });
    }

    pub(super) fn tick_entry(&mut self, now: Time, out: &mut Vec<Command>) {
        let mut again = Vec::new();
        let mut over = Vec::new();
        for (id, pending) in &mut self.pending {
            let holder_lost = pending
                .asked
                .as_ref()
                .is_some_and(|id| !self.members.is_live(id));
            let is_silent = !pending.queued && now.saturating_sub(pending.sent) >= ASK_TIMEOUT;
            match () {
                () if now >= pending.gives_up => over.push(*id),
                () if (holder_lost || is_silent) && pending.tries >= ASK_TRIES => over.push(*id),
                () if holder_lost || is_silent => {
                    pending.tries += 1;
                    again.push(*id);
                }
                () => {}
            }
        }
        for id in again {
            self.counters.asked_again += 1;
            self.send_ask(now, id, out);
        }
        for id in over {
            self.cancel(id, out);
            let code = DenyCode::Expired;
            out.push(Command::Denied { request: id, code });
        }
        if now.saturating_sub(self.spread.renewed_at) >= RENEWAL {
            self.renew_held(now, out);
        }
    }

    pub(super) fn grant_came(
        &mut self,
        now: Time,
        from: &InstanceId,
        grant: Grant,
        out: &mut Vec<Command>,
    ) {
        if self.held.contains_key(&grant.grant) {
            // A repeated message: giving it back would free the slot in use.
            return;
        }
        let Some((id, mut pending)) = self.take_pending(grant.request) else {
            return self.give_back(now, &grant, out);
        };
        let request = &pending.request;
        let spec = self
            .pools
            .get(&request.service)
            .and_then(|p| p.spec(&grant.target));
        let address = spec
            .filter(|spec| !self.is_drained(&spec.id, &spec.domain))
            .map(|spec| spec.address);
        let hold = HeldGrant {
            grant: grant.grant,
            service: request.service.clone(),
            target: grant.target.clone(),
            workspace: request.workspace.clone(),
        };
        self.tell_steward(now, from, &hold, out);
        self.held.insert(grant.grant, hold);
        let Some(address) = address else {
            // The steward has not heard of an order that is known here.
            self.give_back(now, &grant, out);
            pending.request.tried.push(grant.target);
            pending.asked = None;
            pending.request.id = self.number(id);
            self.pending.insert(id, pending);
            return self.send_ask(now, id, out);
        };
        out.push(Command::Granted {
            request: id,
            grant: grant.grant,
            target: grant.target,
            address,
        });
    }

    /// Tells the steward known here of a grant that another one gave.
    fn tell_steward(
        &mut self,
        now: Time,
        granted_by: &InstanceId,
        hold: &HeldGrant,
        out: &mut Vec<Command>,
    ) {
        let pool = self.pools.get(&hold.service);
        let steward = pool.and_then(|p| p.steward(&hold.target)).cloned();
        match steward {
            Some(steward) if steward == *granted_by => {}
            Some(steward) if steward == self.me => {
                self.holds_came(now, &steward, vec![hold.clone()]);
            }
            Some(to) => out.push(Command::Send {
                to,
                message: Message::RenewGrants(vec![hold.clone()]),
            }),
            None => {}
        }
    }

    /// Returns a grant that nothing will use.
    fn give_back(&mut self, now: Time, grant: &Grant, out: &mut Vec<Command>) {
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

    fn service_of(&self, target: &str) -> Option<ServiceId> {
        let mut pools = self.pools.iter();
        let found = pools.find(|(_, pool)| pool.spec(target).is_some());
        found.map(|(service, _)| service.clone())
    }

    pub(super) fn deny_came(
        &mut self,
        now: Time,
        number: SlotRequestId,
        code: DenyCode,
        out: &mut Vec<Command>,
    ) {
        let id = self.numbers.get(&number);
        let pending = id.and_then(|id| self.pending.get_mut(id));
        if let Some(pending) = pending.filter(|_| code == DenyCode::Unsettled) {
            // Views converge within a few heartbeats: ask again until the wait is over.
            pending.asked = None;
            pending.queued = false;
            pending.tries = 0;
            pending.sent = (now + UNSETTLED_PAUSE).saturating_sub(ASK_TIMEOUT);
            return;
        }
        if let Some((request, _)) = self.take_pending(number) {
            self.counters.refused += 1;
            out.push(Command::Denied { request, code });
        }
    }

    pub(super) fn queued_came(&mut self, now: Time, number: SlotRequestId, from: &InstanceId) {
        let id = self.numbers.get(&number);
        if let Some(pending) = id.and_then(|id| self.pending.get_mut(id)) {
            pending.queued = true;
            pending.sent = now;
            pending.asked = Some(from.clone());
        }
    }

    pub(super) fn cancel(&mut self, id: SlotRequestId, out: &mut Vec<Command>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let id = pending.request.id;
        self.numbers.remove(&id);
        let service = pending.request.service;
        match pending.asked {
            Some(holder) if holder == self.me => {
                // The queue names this entry as it came: empty, or in full after a detour.
                for entry in [InstanceId::default(), holder] {
                    self.cancel_came(&service, &entry, id);
                }
            }
            Some(holder) => out.push(Command::Send {
                to: holder,
                message: Message::Cancel {
                    service,
                    request: id,
                },
            }),
            None => {}
        }
    }

    pub(super) fn ended(
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
            let suspect = self.quarantine.crashed(now, digest);
            self.push_index(Vec::new(), Vec::new(), vec![suspect], out);
        } else if release.complete {
            self.quarantine.completed(digest);
        }
        self.send_release(now, release, out);
    }

    /// Tells the steward and, where it is another, the chat's home.
    fn send_release(&mut self, now: Time, release: &Release, out: &mut Vec<Command>) {
        let Some(pool) = self.pools.get(&release.service) else {
            return;
        };
        let steward = pool.steward(&release.location.target).cloned();
        let home = self.home_to_tell(release.chat, release);
        let mut to: Vec<InstanceId> = steward.into_iter().chain(home).collect();
        to.dedup();
        for id in to {
            if id == self.me {
                self.released(now, release, out);
                continue;
            }
            out.push(Command::Send {
                to: id,
                message: Message::Release(vec![release.clone()]),
            });
        }
    }

    fn home_to_tell(&self, chat: ChatId, release: &Release) -> Option<InstanceId> {
        let pool = self.pools.get(&release.service)?;
        release.complete.then(|| pool.home(chat).cloned()).flatten()
    }

    /// Renews the held grants with their targets' stewards.
    pub(super) fn renew_held(&mut self, now: Time, out: &mut Vec<Command>) {
        self.spread.renewed_at = now;
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
        for (to, holds) in by_steward {
            if to == self.me {
                self.holds_came(now, &to, holds);
                continue;
            }
            for part in holds.chunks(HOLDS_A_MESSAGE) {
                out.push(Command::Send {
                    to: to.clone(),
                    message: Message::RenewGrants(part.to_vec()),
                });
            }
        }
    }
}
