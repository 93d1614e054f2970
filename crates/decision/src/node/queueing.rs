//! Asks that wait in the queues of the targets stewarded here.

use super::placement::is_known_full;
use super::pool::Pool;
use super::{Command, Node};
use crate::id::{InstanceId, ServiceId, TargetId, Time};
use crate::message::{DenyCode, Message, SlotRequest};
use crate::queue::{Queue, QueuedRequest};
use std::time::Duration;

/// Queued asks of one target that are placed elsewhere in one tick.
const MOVES_A_TICK: usize = 4;
/// Queues in which an ask waits in turn within its longest wait.
const QUEUES_A_WAIT: u32 = 4;
/// Time after which an ask is placed again that a queue could not serve.
const MOVE_AGAIN: Duration = Duration::from_millis(500);

impl Node {
    /// Queues an ask for the first of its targets that this instance stewards.
    pub(super) fn enqueue(&mut self, now: Time, mut request: SlotRequest, out: &mut Vec<Command>) {
        let pool = &self.pools[&request.service];
        let ranking = pool.ranking(request.chat);
        let wanted = std::mem::take(&mut request.target);
        let mut queues = std::iter::once(wanted.as_str()).chain(ranking);
        let Some(target) = queues.find(|t| pool.slots.contains_key(*t)) else {
            return self.deny(&request, DenyCode::Unsettled, out);
        };
        let target = TargetId::from(target);
        request.tried.clear();
        let takes_work = self.is_candidate(pool, &target, &request);
        let is_first = pool.queues.get(&target).is_none_or(Queue::is_empty);
        if takes_work && is_first && self.try_grant(now, &request, &target, 1, out).is_ok() {
            return;
        }
        let limits = &self.pools[&request.service].versioned.document.limits;
        let moves = now + limits.queue_time / QUEUES_A_WAIT;
        self.push(now, &target, request, moves, out);
    }

    /// Queues an ask; at `moves` it is placed elsewhere.
    pub(super) fn push(
        &mut self,
        now: Time,
        target: &TargetId,
        request: SlotRequest,
        moves: Time,
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
        let dropped = queue.push(request, (moves, now + wait), share, limits.queue);
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

    /// Grants what waits for one target, for as long as it has room.
    pub(super) fn serve(
        &mut self,
        now: Time,
        service: &ServiceId,
        target: &TargetId,
        out: &mut Vec<Command>,
    ) {
        while let Some(request) = self.next_waiting(service, target) {
            let pool = &self.pools[service];
            if !self.is_candidate(pool, target, &request) || !has_room(pool, now, target, &request)
            {
                return;
            }
            // Out of the queue first: a grant that comes back at once serves it again.
            let pool = self.pools.get_mut(service).expect("pool");
            pool.queues.get_mut(target).and_then(Queue::pop);
            if self.try_grant(now, &request, target, 0, out).is_err() {
                let moves = now + MOVE_AGAIN;
                return self.push(now, target, request, moves, out);
            }
        }
    }

    fn next_waiting(&self, service: &ServiceId, target: &TargetId) -> Option<SlotRequest> {
        let queue = self.pools.get(service)?.queues.get(target)?;
        queue.peek().cloned()
    }

    /// Serves every queue, and places elsewhere what another target has room for.
    pub(super) fn serve_all(&mut self, now: Time, service: &ServiceId, out: &mut Vec<Command>) {
        let pool = &self.pools[service];
        let waiting: Vec<TargetId> = pool
            .queues
            .iter()
            .filter(|(_, q)| !q.is_empty())
            .map(|(t, _)| t.clone())
            .collect();
        for target in waiting {
            self.serve(now, service, &target, out);
            for _ in 0..MOVES_A_TICK {
                if !self.move_waiting(now, service, &target, out) {
                    break;
                }
            }
            self.move_late(now, service, &target, out);
        }
    }

    /// Places asks that were held back elsewhere, and sends those that have
    /// waited for long to the queue of their next choice, because a target
    /// whose requests are long hardly serves its queue.
    fn move_late(
        &mut self,
        now: Time,
        service: &ServiceId,
        target: &TargetId,
        out: &mut Vec<Command>,
    ) {
        let pool = self.pools.get_mut(service).expect("pool");
        let queue = pool.queues.get_mut(target);
        let moving = queue.map(|q| q.take_moving(now)).unwrap_or_default();
        for waiting in moving {
            let mut request = remaining(now, waiting);
            if !request.full {
                // Held back for the chat's cache: any other target will do now.
                request.tried.push(target.clone());
                request.hops = 0;
                self.place(now, request, out);
                continue;
            }
            let pool = &self.pools[service];
            let ranking = pool.ranking(request.chat);
            let at = ranking.iter().position(|t| t == target).unwrap_or(0);
            let others = ranking.iter().cycle().skip(at + 1).take(ranking.len());
            let mut others = others.filter(|t| self.is_candidate(pool, t, &request));
            let next = TargetId::from(*others.next().unwrap_or(&target.as_str()));
            let steward = pool.steward(&next).cloned();
            request.hops = 0;
            self.counters.moved += 1;
            match steward {
                Some(steward) if steward != self.me => self.pass_on(steward, next, request, out),
                _ => {
                    request.target = next;
                    self.enqueue(now, request, out);
                }
            }
        }
    }

    /// Places the first waiting ask on another target that is known to have room.
    fn move_waiting(
        &mut self,
        now: Time,
        service: &ServiceId,
        target: &TargetId,
        out: &mut Vec<Command>,
    ) -> bool {
        // An ask that is held back for its chat's cache stays for its time.
        let next = self.next_waiting(service, target);
        let Some(request) = next.filter(|request| request.full) else {
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
        let Some(mut request) = popped.map(|w| remaining(now, w)) else {
            return false;
        };
        request.tried.push(target.clone());
        request.full = false;
        request.hops = 0;
        self.counters.moved += 1;
        self.place(now, request, out);
        true
    }

    pub(super) fn cancel_came(&mut self, service: &str, entry: &InstanceId, request: u64) {
        if let Some(pool) = self.pools.get_mut(service) {
            for queue in pool.queues.values_mut() {
                queue.cancel(entry, request);
            }
        }
    }
}

/// An ask out of a queue, with what is left of its wait.
fn remaining(now: Time, waiting: QueuedRequest) -> SlotRequest {
    let left = waiting.expires.saturating_sub(now).as_millis();
    SlotRequest {
        wait_ms: u32::try_from(left).unwrap_or(u32::MAX),
        ..waiting.request
    }
}

/// Whether the ledger of a target would grant an ask.
fn has_room(pool: &Pool, now: Time, target: &str, request: &SlotRequest) -> bool {
    let limits = &pool.versioned.document.limits;
    pool.slots.get(target).is_some_and(|slots| {
        let bound = pool.loads.bound(slots.cap(limits), limits.multiple);
        slots.check(now, bound, request.suspect, limits).is_ok()
    })
}
