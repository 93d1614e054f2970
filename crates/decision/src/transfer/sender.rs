//! Which pages an instance sends.

use super::{PAGE_BYTES, PageRequest, Parcel, TablePage, WINDOW_BYTES};
use crate::fleet::TransferLimiter;
use crate::id::Time;
use crate::table_copy::{Position, TableCopy};
use std::collections::VecDeque;
use std::time::Duration;

/// Bytes of parcels that are kept for receivers that have begun with them; the one that
/// was used last is kept in any case.
const KEPT_BYTES: usize = 8 << 20;
/// Time after the last use for which a parcel is kept: a receiver asks again earlier, or
/// has given this instance up.
const KEEP_TIME: Duration = Duration::from_secs(3);

/// Parcel that was packed, and what for.
#[derive(Clone, Debug)]
struct Kept {
    table: u8,
    /// Latest change of the copy that was packed.
    changed: Option<Position>,
    known: Option<u64>,
    parcel: Parcel,
    used_at: Time,
}

/// Sender of parcels in pages, within a rate.
#[derive(Clone, Debug)]
pub struct PageSender {
    limiter: TransferLimiter,
    /// The least recently used first.
    kept: VecDeque<Kept>,
}

impl PageSender {
    /// Creates a sender with a limit on what it sends.
    pub fn new(limiter: TransferLimiter) -> Self {
        PageSender {
            limiter,
            kept: VecDeque::new(),
        }
    }

    /// Returns the first page of the changes since version `known`, to push to those
    /// that have it; `None` where there are no changes, or they can't be packed.
    ///
    /// It is not refused for the rate, but counts towards it for each of `receivers`.
    pub fn first_page(
        &mut self,
        now: Time,
        (table, copy): (u8, &TableCopy),
        known: u64,
        receivers: usize,
    ) -> Option<TablePage> {
        let parcel = self.parcel(now, (table, copy), Some(known))?;
        let page = page(table, parcel, 0);
        self.limiter.count_bytes(now, page.bytes.len() * receivers);
        Some(page)
    }

    /// Returns the next pages for a receiver, as far as the rate allows. A receiver that
    /// gets none asks again, or asks another instance.
    pub fn answer(&mut self, now: Time, request: &PageRequest, copy: &TableCopy) -> Vec<TablePage> {
        let table = request.table;
        let begun = |kept: &Kept| {
            let is_begun = request.digest != 0 && kept.parcel.digest == request.digest;
            kept.table == table && is_begun
        };
        let era = copy.position().map(|p| p.era);
        let known = request.known.filter(|_| era == Some(request.era));
        let is_new = known.is_none() || copy.last_change().map(|p| p.version) > known;
        let offset = match self.reuse(now, begun) {
            true => request.offset as usize,
            false if is_new && self.parcel(now, (table, copy), known).is_some() => 0,
            false => return Vec::new(),
        };
        let Some(Kept { parcel, .. }) = self.kept.back() else {
            return Vec::new();
        };
        let end = (offset.saturating_add(WINDOW_BYTES)).min(parcel.bytes.len());
        let pages = (offset..end).step_by(PAGE_BYTES);
        let pages: Vec<TablePage> = pages.map(|from| page(table, parcel, from)).collect();
        let limiter = &mut self.limiter;
        let allowed = pages.into_iter();
        allowed
            .take_while(|page| limiter.allow_bytes(now, page.bytes.len()))
            .collect()
    }

    /// Returns the parcel of the changes since version `known`, or of all rows.
    fn parcel(
        &mut self,
        now: Time,
        (table, copy): (u8, &TableCopy),
        known: Option<u64>,
    ) -> Option<&Parcel> {
        let changed = copy.last_change();
        let known = known.filter(|known| copy.has_changes_since(*known));
        let is_same = |kept: &Kept| {
            let is_copy = (kept.table, kept.changed) == (table, changed);
            is_copy && kept.known == known
        };
        if !self.reuse(now, is_same) {
            let parcel = Parcel::pack(copy, known)?;
            self.kept.push_back(Kept {
                table,
                changed,
                known,
                parcel,
                used_at: now,
            });
            self.drop_unused(now);
        }
        self.kept.back().map(|kept| &kept.parcel)
    }

    /// Moves the kept parcel that `is_wanted` selects to the end; returns whether there
    /// is one.
    fn reuse(&mut self, now: Time, is_wanted: impl Fn(&Kept) -> bool) -> bool {
        let index = self.kept.iter().position(is_wanted);
        let Some(mut kept) = index.and_then(|index| self.kept.remove(index)) else {
            return false;
        };
        kept.used_at = now;
        self.kept.push_back(kept);
        true
    }

    /// Drops the parcels that nobody needs any more, and the least recently used ones
    /// above the limit. Called after each change and regularly.
    pub fn drop_unused(&mut self, now: Time) {
        let is_used = |kept: &Kept| now.saturating_sub(kept.used_at) < KEEP_TIME;
        self.kept.retain(is_used);
        let mut bytes: usize = self.kept.iter().map(|kept| kept.parcel.bytes.len()).sum();
        while bytes > KEPT_BYTES && self.kept.len() > 1 {
            let dropped = self.kept.pop_front();
            bytes -= dropped.map_or(0, |kept| kept.parcel.bytes.len());
        }
    }
}

fn page(table: u8, parcel: &Parcel, from: usize) -> TablePage {
    let end = (from + PAGE_BYTES).min(parcel.bytes.len());
    TablePage {
        table,
        era: parcel.era,
        since: parcel.since,
        version: parcel.version,
        digest: parcel.digest,
        total: parcel.bytes.len() as u64,
        offset: from as u64,
        bytes: parcel.bytes[from..end].to_vec(),
    }
}
