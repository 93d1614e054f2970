//! Bounded queue with priorities and weighted shares of workspaces.

use crate::id::{Time, WorkspaceId};
use crate::message::SlotRequest;
use std::collections::BTreeMap;

/// Fixed-point scale of virtual time.
const SCALE: u64 = 1 << 20;

/// An ask that waits for a slot.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The ask.
    pub request: SlotRequest,
    /// Time at which it is refused.
    pub expires: Time,
    /// Time at which it is placed elsewhere.
    pub moves: Time,
    start: u64,
    finish: u64,
}

/// Asks that wait for one target, served by start-time fair queueing.
///
/// Higher priorities go first; within one, each workspace advances in
/// proportion to its share (Goyal, Vin and Cheng, "Start-Time Fair Queueing",
/// 1996). A full queue drops the entry that would be served last, so that a
/// workspace that surges displaces its own requests first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    items: BTreeMap<(u8, u64, u64), QueuedRequest>,
    finish: BTreeMap<WorkspaceId, u64>,
    clock: u64,
    seq: u64,
}

impl Queue {
    /// Asks that wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds an ask that is placed elsewhere at `moves` and refused at `expires`;
    /// returns the one that the full queue pushed out, if any.
    pub fn push(
        &mut self,
        request: SlotRequest,
        (moves, expires): (Time, Time),
        share: u32,
        limit: usize,
    ) -> Option<SlotRequest> {
        self.seq += 1;
        let last = self.finish.get(&request.workspace).copied().unwrap_or(0);
        let start = self.clock.max(last);
        let finish = start + SCALE / u64::from(share.max(1));
        self.finish.insert(request.workspace.clone(), finish);
        let class = u8::MAX - request.priority;
        let waiting = QueuedRequest {
            request,
            expires,
            moves,
            start,
            finish,
        };
        self.items.insert((class, start, self.seq), waiting);
        if self.items.len() <= limit {
            return None;
        }
        let (_, dropped) = self.items.pop_last()?;
        self.undo(&dropped);
        Some(dropped.request)
    }

    /// Takes the ask that is next in turn.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let ((_, start, _), waiting) = self.items.pop_first()?;
        self.clock = self.clock.max(start);
        if self.items.is_empty() {
            self.finish.clear();
            self.clock = 0;
        }
        Some(waiting)
    }

    /// The ask that is next in turn.
    pub fn peek(&self) -> Option<&SlotRequest> {
        self.items.first_key_value().map(|(_, w)| &w.request)
    }

    /// Takes every ask whose time has passed.
    pub fn expire(&mut self, now: Time) -> Vec<SlotRequest> {
        let expired = self.remove(|w| w.expires <= now);
        expired.into_iter().map(|w| w.request).collect()
    }

    /// Takes every ask that is now to be placed elsewhere.
    pub fn take_moving(&mut self, now: Time) -> Vec<QueuedRequest> {
        self.remove(|w| w.moves <= now)
    }

    /// Takes out the ask of an entry, because its caller has gone.
    pub fn cancel(&mut self, entry: &str, request: u64) -> bool {
        !self
            .remove(|w| w.request.entry == entry && w.request.id == request)
            .is_empty()
    }

    /// Takes out everything.
    pub fn drain(&mut self) -> Vec<SlotRequest> {
        let all = self.remove(|_| true);
        all.into_iter().map(|w| w.request).collect()
    }

    fn remove(&mut self, gone: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, w)| gone(w))
            .map(|(key, _)| *key)
            .collect();
        let taken = keys.iter().filter_map(|key| self.items.remove(key));
        taken.collect()
    }

    /// Gives a dropped ask's turn back, if it was its workspace's last.
    fn undo(&mut self, dropped: &QueuedRequest) {
        if let Some(finish) = self.finish.get_mut(&dropped.request.workspace)
            && *finish == dropped.finish
        {
            *finish = dropped.start;
        }
    }
}
