//! Slot requests that wait in the queues of the targets stewarded here.

use super::placement::is_known_full;
use super::pool::Pool;
use super::{Command, Node};
use crate::id::{InstanceId, ServiceId, TargetId, Time, WorkspaceId};
use crate::message::{DenyCode, Message, SlotRequest};
use crate::room::{Line, Queued, Waiter};
use std::time::Duration;

/// Requests moved from one target's queue to other targets per tick.
const MAX_MOVES: usize = 4;
/// Queues in which a request waits in turn before its longest wait is over.
const QUEUES_PER_WAIT: u32 = 4;
/// Delay before a request moves that failed to get a slot from its queue.
const MOVE_DELAY: Duration = Duration::from_millis(500);

/// Slot requests that wait for one target.
pub(super) type Queue = Line<SlotRequest>;

impl Waiter for SlotRequest {
    fn workspace(&self) -> &WorkspaceId {
        &self.workspace
    }

    fn class(&self) -> u8 {
        u8::MAX - self.priority
    }
}

impl Node {
    /// Queues a request for the target that it names, or else for the first in
    /// the chat's ranking, among the targets that this instance stewards.
    pub(super) fn enqueue(&mut self, now: Time, mut request: SlotRequest, out: &mut Vec<Command>) {
        let pool = &self.pools[&request.service];
        let ranking = pool.ranking(request.chat);
        let requested = std::mem::take(&mut request.target);
        let mut queues = std::iter::once(requested.as_str()).chain(ranking);
        let Some(target) = queues.find(|t| pool.slots.contains_key(*t)) else {
            return self.deny(&request, DenyCode::Unsettled, out);
        };
        let target = TargetId::from(target);
        request.tried.clear();
        let accepts_work = self.is_candidate(pool, &target, &request);
        let is_first = pool.queues.get(&target).is_none_or(Queue::is_empty);
        if accepts_work && is_first && self.try_grant(now, &request, &target, 1, out).is_ok() {
            return;
        }
        let limits = &self.pools[&request.service].versioned.document.limits;
        let move_at = now + limits.queue_time / QUEUES_PER_WAIT;
        self.push_queued(now, &target, request, move_at, out);
    }

    /// Queues a request for a target; at `move_at` it moves to another one.
    pub(super) fn push_queued(
        &mut self,
        now: Time,
        target: &TargetId,
        request: SlotRequest,
        move_at: Time,
        out: &mut Vec<Command>,
    ) {
        let pool = self.pools.get_mut(&request.service).expect("pool");
        let document = &pool.versioned.document;
        let limits = &document.limits;
        let wait = Duration::from_millis(u64::from(request.wait_ms)).min(limits.queue_time);
        let queue = pool.queues.entry(target.clone()).or_default();
        let share = document
            .workspace(&request.workspace)
            .map_or(1, |w| w.share);
        let entry = request.entry.clone();
        let id = request.id;
        let dropped = queue.push(request, (move_at, now + wait), share, limits.queue);
        if let Some(dropped) = &dropped {
            self.counters.shed += 1;
            self.deny(dropped, DenyCode::Overloaded, out);
        }
        let is_kept = dropped.is_none_or(|d| d.entry != entry || d.id != id);
        if is_kept {
            self.counters.queued += 1;
            self.reply(&entry, Message::Queued(id), now, out);
        }
    }

    /// Grants slots to the requests queued for a target while it has room.
    pub(super) fn serve_queue(
        &mut self,
        now: Time,
        service: &ServiceId,
        target: &TargetId,
        out: &mut Vec<Command>,
    ) {
        while let Some(request) = self.peek_queued(service, target) {
            let pool = &self.pools[service];
            if !self.is_candidate(pool, target, &request) || !has_room(pool, now, target, &request)
            {
                return;
            }
            // The request is popped before the grant because the entry may return
            // the grant at once, which serves this queue again.
            let pool = self.pools.get_mut(service).expect("pool");
            pool.queues.get_mut(target).and_then(Queue::pop);
            if self.try_grant(now, &request, target, 0, out).is_err() {
                let move_at = now + MOVE_DELAY;
                return self.push_queued(now, target, request, move_at, out);
            }
        }
    }

    fn peek_queued(&self, service: &ServiceId, target: &TargetId) -> Option<SlotRequest> {
        let queue = self.pools.get(service)?.queues.get(target)?;
        queue.peek().cloned()
    }

    /// Serves every queue, and moves requests to targets that have room.
    pub(super) fn serve_queues(&mut self, now: Time, service: &ServiceId, out: &mut Vec<Command>) {
        let pool = &self.pools[service];
        let targets: Vec<TargetId> = pool
            .queues
            .iter()
            .filter(|(_, q)| !q.is_empty())
            .map(|(t, _)| t.clone())
            .collect();
        for target in targets {
            self.serve_queue(now, service, &target, out);
            for _ in 0..MAX_MOVES {
                if !self.move_first(now, service, &target, out) {
                    break;
                }
            }
            self.move_overdue(now, service, &target, out);
        }
    }

    /// Moves the requests whose `move_at` has passed.
    ///
    /// Those that waited for a cached chat are placed on any target. Others go
    /// to the queue of the next target in the chat's ranking, because a target
    /// whose requests run for long rarely serves its queue.
    fn move_overdue(
        &mut self,
        now: Time,
        service: &ServiceId,
        target: &TargetId,
        out: &mut Vec<Command>,
    ) {
        let pool = self.pools.get_mut(service).expect("pool");
        let queue = pool.queues.get_mut(target);
        let overdue = queue.map(|q| q.take_overdue(now)).unwrap_or_default();
        for queued in overdue {
            let mut request = with_remaining_wait(now, queued);
            if !request.all_denied {
                // The request waited for the chat's cache; any other target will
                // do now.
                request.tried.push(target.clone());
                request.hops = 0;
                self.place(now, request, out);
                continue;
            }
            let pool = &self.pools[service];
            let ranking = pool.ranking(request.chat);
            let position = ranking.iter().position(|t| t == target).unwrap_or(0);
            let candidates = ranking
                .iter()
                .cycle()
                .skip(position + 1)
                .take(ranking.len());
            let mut candidates = candidates.filter(|t| self.is_candidate(pool, t, &request));
            let next = TargetId::from(*candidates.next().unwrap_or(&target.as_str()));
            let steward = pool.steward(&next).cloned();
            request.hops = 0;
            self.counters.moved += 1;
            match steward {
                Some(steward) if steward != self.me => self.forward(steward, next, request, out),
                _ => {
                    request.target = next;
                    self.enqueue(now, request, out);
                }
            }
        }
    }

    /// Places the first queued request on another target if one is known to have
    /// room; returns whether it did.
    fn move_first(
        &mut self,
        now: Time,
        service: &ServiceId,
        target: &TargetId,
        out: &mut Vec<Command>,
    ) -> bool {
        // A request that waits for its chat's cache stays until its `move_at`.
        let next = self.peek_queued(service, target);
        let Some(request) = next.filter(|request| request.all_denied) else {
            return false;
        };
        let pool = &self.pools[service];
        let has_room = pool.loads.iter().any(|(t, _, _)| {
            t != target && !is_known_full(pool, t) && self.is_candidate(pool, t, &request)
        });
        if !has_room {
            return false;
        }
        let pool = self.pools.get_mut(service).expect("pool");
        let popped = pool.queues.get_mut(target).and_then(Queue::pop);
        let Some(mut request) = popped.map(|w| with_remaining_wait(now, w)) else {
            return false;
        };
        request.tried.push(target.clone());
        request.all_denied = false;
        request.hops = 0;
        self.counters.moved += 1;
        self.place(now, request, out);
        true
    }

    /// Removes a cancelled request from the queues of a service.
    pub(super) fn on_cancel(&mut self, service: &str, entry: &InstanceId, request: u64) {
        if let Some(pool) = self.pools.get_mut(service) {
            for queue in pool.queues.values_mut() {
                queue.remove_where(|r| r.entry == *entry && r.id == request);
            }
        }
    }
}

/// Converts a queued request back to a slot request with its remaining wait.
fn with_remaining_wait(now: Time, queued: Queued<SlotRequest>) -> SlotRequest {
    let remaining = queued.expires_at.saturating_sub(now).as_millis();
    SlotRequest {
        wait_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
        ..queued.item
    }
}

/// Returns whether the ledger of a target would grant a request.
fn has_room(pool: &Pool, now: Time, target: &str, request: &SlotRequest) -> bool {
    let limits = &pool.versioned.document.limits;
    pool.slots.get(target).is_some_and(|slots| {
        let bound = pool.loads.bound(slots.cap(limits), limits.multiple);
        slots.check(now, bound, request.suspect, limits).is_ok()
    })
}
