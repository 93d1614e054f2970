//! Bounded queue of slot requests with priorities and fair shares of workspaces.

use crate::id::{Time, WorkspaceId};
use crate::message::SlotRequest;
use std::collections::BTreeMap;

/// Virtual time that one request of a workspace with share 1 takes.
const VIRTUAL_SCALE: u64 = 1 << 20;

/// A queued slot request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Slot request.
    pub request: SlotRequest,
    /// Time at which it is denied.
    pub expires_at: Time,
    /// Time at which it moves to another target.
    pub move_at: Time,
    /// Virtual start and finish time.
    start: u64,
    finish: u64,
}

/// Slot requests that wait for one target, served by start-time fair queueing.
///
/// Higher priorities go first. Within a priority, workspaces are served in
/// proportion to their shares (Goyal, Vin and Cheng, "Start-Time Fair
/// Queueing", 1996). A full queue drops the request that would be served last,
/// so that a burst of one workspace displaces that workspace's own requests
/// first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Requests by inverted priority, virtual start time and sequence number.
    items: BTreeMap<(u8, u64, u64), QueuedRequest>,
    /// Virtual finish time of the last request of each workspace.
    last_finish: BTreeMap<WorkspaceId, u64>,
    virtual_time: u64,
    seq: u64,
}

impl Queue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds a request that moves at `move_at` and is denied at `expires_at`.
    ///
    /// If the queue then holds more than `limit` requests, returns the one that
    /// was dropped, which may be the new one.
    pub fn push(
        &mut self,
        request: SlotRequest,
        (move_at, expires_at): (Time, Time),
        share: u32,
        limit: usize,
    ) -> Option<SlotRequest> {
        self.seq += 1;
        let last = self
            .last_finish
            .get(&request.workspace)
            .copied()
            .unwrap_or(0);
        let start = self.virtual_time.max(last);
        let finish = start + VIRTUAL_SCALE / u64::from(share.max(1));
        self.last_finish.insert(request.workspace.clone(), finish);
        let class = u8::MAX - request.priority;
        let queued = QueuedRequest {
            request,
            expires_at,
            move_at,
            start,
            finish,
        };
        self.items.insert((class, start, self.seq), queued);
        if self.items.len() <= limit {
            return None;
        }
        let (_, dropped) = self.items.pop_last()?;
        self.refund(&dropped);
        Some(dropped.request)
    }

    /// Removes the next request to serve.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let ((_, start, _), queued) = self.items.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        if self.items.is_empty() {
            self.last_finish.clear();
            self.virtual_time = 0;
        }
        Some(queued)
    }

    /// Returns the next request to serve.
    pub fn peek(&self) -> Option<&SlotRequest> {
        self.items.first_key_value().map(|(_, w)| &w.request)
    }

    /// Removes all requests whose longest wait is over.
    pub fn expire(&mut self, now: Time) -> Vec<SlotRequest> {
        let expired = self.take_matching(|w| w.expires_at <= now);
        expired.into_iter().map(|w| w.request).collect()
    }

    /// Removes all requests that are due to move to another target.
    pub fn take_overdue(&mut self, now: Time) -> Vec<QueuedRequest> {
        self.take_matching(|w| w.move_at <= now)
    }

    /// Removes a request that its entry has cancelled; returns whether it was
    /// queued.
    pub fn cancel(&mut self, entry: &str, request: u64) -> bool {
        !self
            .take_matching(|w| w.request.entry == entry && w.request.id == request)
            .is_empty()
    }

    /// Removes all requests.
    pub fn drain(&mut self) -> Vec<SlotRequest> {
        let all = self.take_matching(|_| true);
        all.into_iter().map(|w| w.request).collect()
    }

    fn take_matching(&mut self, matches: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, w)| matches(w))
            .map(|(key, _)| *key)
            .collect();
        let taken = keys.iter().filter_map(|key| self.items.remove(key));
        taken.collect()
    }

    /// Returns the virtual time of a dropped request to its workspace, if it was
    /// the workspace's last request.
    fn refund(&mut self, dropped: &QueuedRequest) {
        if let Some(finish) = self.last_finish.get_mut(&dropped.request.workspace)
            && *finish == dropped.finish
        {
            *finish = dropped.start;
        }
    }
}
