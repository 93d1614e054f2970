//! Line with priority classes and fair shares of workspaces.

use crate::id::{Time, WorkspaceId};
use std::collections::BTreeMap;

/// Virtual time that one request of a workspace with share 1 takes.
const VIRTUAL_SCALE: u64 = 1 << 20;

/// Place in a line: class, virtual start time and sequence number.
type Place = (u8, u64, u64);

/// What can wait in a [`Line`].
pub trait Waiter {
    /// Returns the workspace whose share it takes.
    fn workspace(&self) -> &WorkspaceId;

    /// Returns its class; lower ones are served first.
    fn class(&self) -> u8;
}

/// An item that waits in a [`Line`].
#[derive(Clone, Debug)]
pub struct Queued<T> {
    /// Item.
    pub item: T,
    /// Time at which its wait is over.
    pub expires_at: Time,
    /// Time at which it moves to another line.
    pub move_at: Time,
    /// Virtual start and finish time.
    start: u64,
    finish: u64,
}

/// Items that wait, served by start-time fair queueing.
///
/// Lower classes go first. Within a class, workspaces are served in proportion to
/// their shares (Goyal, Vin and Cheng, "Start-Time Fair Queueing", 1996). A full
/// line drops the item that would be served last, so that a burst of one workspace
/// displaces that workspace's own items first.
#[derive(Clone, Debug)]
pub struct Line<T> {
    items: BTreeMap<Place, Queued<T>>,
    /// Virtual finish time of the last item of each workspace.
    last_finish: BTreeMap<WorkspaceId, u64>,
    virtual_time: u64,
    seq: u64,
    /// Items of one class served in a row after which one of a later class has its
    /// turn; `None` if the classes are strict.
    turn: Option<u32>,
    /// Items served in a row while one of a later class waited.
    streak: u32,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Line {
            items: BTreeMap::new(),
            last_finish: BTreeMap::new(),
            virtual_time: 0,
            seq: 0,
            turn: None,
            streak: 0,
        }
    }
}

impl<T> Line<T> {
    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the line is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Lets an item of a later class have its turn after `turn` others, so that the
    /// most urgent class can't starve the rest.
    #[must_use]
    pub fn with_turn(mut self, turn: u32) -> Self {
        self.turn = Some(turn);
        self
    }

    /// Returns the next item to serve.
    pub fn peek(&self) -> Option<&T> {
        self.items.first_key_value().map(|(_, q)| &q.item)
    }

    /// Iterates over the items by class and virtual start time.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.items.values_mut().map(|q| &mut q.item)
    }

    /// Removes the next item to serve.
    pub fn pop(&mut self) -> Option<Queued<T>> {
        self.pop_where(|_| true)
    }

    /// Removes the next item to serve of those that `fits` selects.
    pub fn pop_where(&mut self, fits: impl Fn(&T) -> bool) -> Option<Queued<T>> {
        let mut fitting = self.items.iter().filter(|(_, q)| fits(&q.item));
        let first = *fitting.next()?.0;
        let is_due = self.turn.is_some_and(|turn| self.streak >= turn);
        let later = if is_due {
            fitting.map(|(place, _)| *place).find(|p| p.0 > first.0)
        } else {
            None
        };
        let has_later = self.items.last_key_value().is_some_and(|l| l.0.0 > first.0);
        self.streak = match later {
            None if has_later => self.streak + 1,
            _ => 0,
        };
        let queued = self.items.remove(&later.unwrap_or(first))?;
        self.virtual_time = self.virtual_time.max(queued.start);
        if self.items.is_empty() {
            self.last_finish.clear();
            self.virtual_time = 0;
        }
        Some(queued)
    }

    /// Removes all items whose longest wait is over.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let expired = self.take_matching(|q| q.expires_at <= now);
        expired.into_iter().map(|q| q.item).collect()
    }

    /// Removes all items that are due to move to another line.
    pub fn take_overdue(&mut self, now: Time) -> Vec<Queued<T>> {
        self.take_matching(|q| q.move_at <= now)
    }

    /// Removes the items that match; returns whether there were any.
    pub fn remove_where(&mut self, matches: impl Fn(&T) -> bool) -> bool {
        !self.take_matching(|q| matches(&q.item)).is_empty()
    }

    /// Removes all items.
    pub fn drain(&mut self) -> Vec<T> {
        let all = self.take_matching(|_| true);
        all.into_iter().map(|q| q.item).collect()
    }

    /// Removes the items that match, in the order in which they would be served.
    pub fn take_matching(&mut self, mut matches: impl FnMut(&Queued<T>) -> bool) -> Vec<Queued<T>> {
        let matching = self.items.iter().filter(|(_, q)| matches(q));
        let places: Vec<Place> = matching.map(|(place, _)| *place).collect();
        let taken = places.iter().filter_map(|place| self.items.remove(place));
        taken.collect()
    }
}

impl<T: Waiter> Line<T> {
    /// Adds an item that moves at `move_at` and whose wait is over at `expires_at`.
    ///
    /// If the line then holds more than `limit` items, returns the one that was
    /// dropped, which may be the new one.
    pub fn push(
        &mut self,
        item: T,
        (move_at, expires_at): (Time, Time),
        share: u32,
        limit: usize,
    ) -> Option<T> {
        self.seq += 1;
        let start = self.start_of(item.workspace());
        let finish = start + VIRTUAL_SCALE / u64::from(share.max(1));
        self.last_finish.insert(item.workspace().clone(), finish);
        let place = (item.class(), start, self.seq);
        let queued = Queued {
            item,
            expires_at,
            move_at,
            start,
            finish,
        };
        self.items.insert(place, queued);
        if self.items.len() <= limit {
            return None;
        }
        let (_, dropped) = self.items.pop_last()?;
        self.refund(&dropped);
        Some(dropped.item)
    }

    /// Returns how many items would be served before a new one.
    pub fn ahead_of(&self, item: &T) -> usize {
        let last = (item.class(), self.start_of(item.workspace()), u64::MAX);
        self.items.range(..=last).count()
    }

    /// Returns the virtual start time of the next item of a workspace.
    fn start_of(&self, workspace: &WorkspaceId) -> u64 {
        let last = self.last_finish.get(workspace).copied();
        self.virtual_time.max(last.unwrap_or(0))
    }

    /// Returns the virtual time of a dropped item to its workspace, if it was the
    /// workspace's last one.
    fn refund(&mut self, dropped: &Queued<T>) {
        if let Some(finish) = self.last_finish.get_mut(dropped.item.workspace())
            && *finish == dropped.finish
        {
            *finish = dropped.start;
        }
    }
}
