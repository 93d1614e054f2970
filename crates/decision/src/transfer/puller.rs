//! What an instance asks for that lacks changes of a table, and whom it asks.

use super::{MAX_PARCEL_BYTES, PageRequest, Parcel, TablePage, WINDOW_BYTES};
use crate::id::{InstanceId, Time};
use crate::table_copy::Position;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a page after which the sender is asked for it again.
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// Time in which a sender has to send [`LEAST_BYTES`], or all that is missing.
const GIVE_UP: Duration = Duration::from_millis(600);
/// Bytes below which a sender is given up: a tenth of what a link of 10 Mbit/s carries
/// in that time.
const LEAST_BYTES: usize = 64 << 10;
/// Time after which a sender that was given up may be asked again.
const FORGIVE: Duration = Duration::from_secs(3);
/// Senders given up one after the other after which the store is read too.
const MAX_FAILURES: u32 = 2;

/// Request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Receiver.
    pub to: InstanceId,
    /// Request.
    pub request: PageRequest,
}

/// Result of receiving a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// Nothing is to be done.
    Nothing,
    /// The next pages are to be asked for.
    Ask(Ask),
    /// All pages of a parcel have come.
    Complete(Parcel),
}

/// Parcel of which pages are missing.
#[derive(Clone, Debug)]
struct Pull {
    from: InstanceId,
    /// What the pages that have come say of the parcel.
    head: Option<Head>,
    bytes: Vec<u8>,
    /// Bytes up to which pages were asked for.
    asked: usize,
    /// Time of the last page or request.
    active_at: Time,
    /// Time of the last page.
    page_at: Option<Time>,
    /// Time since which the rate of the sender is measured, and the bytes then.
    measured: (Time, usize),
    is_lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Head {
    since: Option<u64>,
    position: Position,
    digest: u64,
    total: usize,
}

/// Puller of the changes of one table.
#[derive(Clone, Debug)]
pub struct Puller {
    table: u8,
    /// Latest change of the table that was heard of.
    wanted: Option<Position>,
    /// Instance that the latest news came from.
    told_by: Option<InstanceId>,
    /// Time from which missing changes are asked for; `None` while none are missing.
    due: Option<Time>,
    pull: Option<Pull>,
    /// Senders that were given up, and when.
    failed: BTreeMap<InstanceId, Time>,
    /// Number of senders given up since one sent enough.
    failures: u32,
    /// Whether the last parcel could not be applied to the copy.
    needs_all: bool,
    /// Whether there was no sender left to ask.
    has_no_source: bool,
}

impl Puller {
    /// Creates the puller of a table, given by its index in the fixed order of tables.
    pub fn new(table: u8) -> Self {
        Puller {
            table,
            wanted: None,
            told_by: None,
            due: None,
            pull: None,
            failed: BTreeMap::new(),
            failures: 0,
            needs_all: false,
            has_no_source: false,
        }
    }

    /// Records that an instance has a change of the table, which may be on its way here
    /// until `due`.
    pub fn note_change(&mut self, from: &InstanceId, change: Position, due: Time) {
        self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
        if self.wanted.is_none_or(|wanted| wanted < change) {
            self.wanted = Some(change);
        }
        if self.wanted == Some(change) {
            self.told_by = Some(from.clone());
        }
    }

    /// Returns whether changes are missing of a copy.
    pub fn lacks_changes(&self, copy: Option<Position>) -> bool {
        self.wanted > copy
    }

    /// Returns whether pages of missing changes have come lately.
    pub fn is_progressing(&self, now: Time) -> bool {
        let page_at = self.pull.as_ref().and_then(|pull| pull.page_at);
        page_at.is_some_and(|at| now.saturating_sub(at) < GIVE_UP)
    }

    /// Returns whether changes are missing that other instances don't send.
    pub fn is_exhausted(&self) -> bool {
        self.has_no_source || self.failures >= MAX_FAILURES
    }

    /// Returns whether what is missing comes from other instances, so that the store
    /// need not be read for it.
    pub fn spares_store(&self, now: Time) -> bool {
        self.is_progressing(now) && !self.is_exhausted()
    }

    /// Records that an instance can't be reached.
    pub fn peer_lost(&mut self, now: Time, id: &str) {
        if let Some(pull) = self.pull.as_mut().filter(|pull| pull.from == *id) {
            pull.is_lost = true;
            self.failed.insert(pull.from.clone(), now);
        }
    }

    /// Records that a parcel could not be applied, so that all rows are needed.
    pub fn reject(&mut self) {
        self.needs_all = true;
    }

    /// Returns the request that is due now: a first one, one for pages that did not come,
    /// or one to the next sender. `sources` are the instances to ask in their order.
    ///
    /// It is called for each piece of news, and regularly.
    pub fn next_ask(
        &mut self,
        now: Time,
        copy: Option<Position>,
        sources: &[InstanceId],
    ) -> Option<Ask> {
        self.failed
            .retain(|_, at| now.saturating_sub(*at) < FORGIVE);
        let is_done = |pull: &Pull| pull.head.is_some_and(|head| copy >= Some(head.position));
        if self.pull.as_ref().is_some_and(is_done) || !self.lacks_changes(copy) {
            self.pull = None;
        }
        if !self.lacks_changes(copy) {
            self.needs_all = false;
            self.has_no_source = false;
            self.failures = 0;
            self.due = None;
            return None;
        }
        let Some(pull) = &mut self.pull else {
            if self.due.is_some_and(|due| now < due) {
                return None;
            }
            let from = self.choose(sources)?;
            self.pull = Some(Pull::new(now, from));
            return self.ask(now, copy);
        };
        let (since, bytes) = pull.measured;
        let is_over = now.saturating_sub(since) >= GIVE_UP;
        let is_slow = is_over && pull.bytes.len() - bytes < LEAST_BYTES;
        match () {
            () if is_slow || pull.is_lost => {
                self.failed.entry(pull.from.clone()).or_insert(now);
                self.failures += u32::from(!self.has_no_source);
                let from = self.choose(sources)?;
                let pull = self.pull.as_mut()?;
                pull.turn_to(now, from);
                self.ask(now, copy)
            }
            () if now.saturating_sub(pull.active_at) >= ASK_AGAIN => self.ask(now, copy),
            () => {
                if is_over {
                    self.failures = 0;
                    pull.measured = (now, pull.bytes.len());
                }
                None
            }
        }
    }

    /// Returns the first source that was not given up lately.
    fn choose(&mut self, sources: &[InstanceId]) -> Option<InstanceId> {
        let sources = sources.iter().chain(&self.told_by);
        let mut usable = sources.filter(|id| !self.failed.contains_key(*id));
        let chosen = usable.next().cloned();
        self.has_no_source = chosen.is_none();
        chosen
    }

    /// Returns the request for the next pages of the pull.
    fn ask(&mut self, now: Time, copy: Option<Position>) -> Option<Ask> {
        let (wanted, needs_all) = (self.wanted?, self.needs_all);
        let pull = self.pull.as_mut()?;
        pull.active_at = now;
        pull.asked = pull.bytes.len() + WINDOW_BYTES;
        let known = copy.filter(|copy| copy.era == wanted.era && !needs_all);
        Some(Ask {
            to: pull.from.clone(),
            request: PageRequest {
                table: self.table,
                era: wanted.era,
                known: known.map(|known| known.version),
                digest: pull.head.map_or(0, |head| head.digest),
                offset: pull.bytes.len() as u64,
            },
        })
    }

    /// Receives a page.
    pub fn receive(
        &mut self,
        now: Time,
        from: &InstanceId,
        page: &TablePage,
        copy: Option<Position>,
    ) -> Received {
        let head = Head {
            since: page.since,
            position: page.position(),
            digest: page.digest,
            total: usize::try_from(page.total).unwrap_or(usize::MAX),
        };
        if copy >= Some(head.position) || head.total > MAX_PARCEL_BYTES {
            return Received::Nothing;
        }
        self.note_change(from, head.position, now);
        if !self.begin(now, from, head, page.offset, copy) {
            return Received::Nothing;
        }
        let Some(pull) = &mut self.pull else {
            return Received::Nothing;
        };
        if page.offset != pull.bytes.len() as u64
            || pull.bytes.len() + page.bytes.len() > head.total
        {
            return Received::Nothing;
        }
        pull.bytes.extend_from_slice(&page.bytes);
        pull.active_at = now;
        pull.page_at = Some(now);
        if pull.bytes.len() == head.total {
            let bytes = std::mem::take(&mut pull.bytes);
            self.pull = None;
            self.has_no_source = false;
            self.failures = 0;
            return Received::Complete(Parcel {
                since: head.since,
                era: head.position.era,
                version: head.position.version,
                digest: head.digest,
                bytes,
            });
        }
        if pull.bytes.len() < pull.asked || pull.from != *from {
            return Received::Nothing;
        }
        self.ask(now, copy).map_or(Received::Nothing, Received::Ask)
    }

    /// Returns whether a page belongs to the pull, which it may begin.
    ///
    /// A parcel that is under way is not left for a newer one, as changes might come
    /// faster than any of them is complete.
    fn begin(
        &mut self,
        now: Time,
        from: &InstanceId,
        head: Head,
        offset: u64,
        copy: Option<Position>,
    ) -> bool {
        let follows =
            |copy: Position| head.position.era == copy.era && head.since <= Some(copy.version);
        let is_usable = head.since.is_none() || (copy.is_some_and(follows) && !self.needs_all);
        let under_way = self.pull.as_ref().and_then(|pull| pull.head);
        match &self.pull {
            _ if under_way.is_some_and(|known| known.digest == head.digest) => return true,
            _ if !is_usable || offset != 0 => return false,
            Some(pull) if under_way.is_some() && pull.from != *from => return false,
            _ => {}
        }
        let mut pull = Pull::new(now, from.clone());
        pull.head = Some(head);
        pull.bytes.reserve_exact(head.total);
        // Without a request of its own the sender has sent this page alone.
        let asked = self.pull.take().filter(|pull| pull.from == *from);
        let ahead = |pull: Pull| pull.asked.saturating_sub(pull.bytes.len());
        pull.asked = asked.map_or(0, ahead);
        self.pull = Some(pull);
        true
    }
}

impl Pull {
    fn new(now: Time, from: InstanceId) -> Self {
        Pull {
            from,
            head: None,
            bytes: Vec::new(),
            asked: 0,
            active_at: now,
            page_at: None,
            measured: (now, 0),
            is_lost: false,
        }
    }

    /// Goes on with another sender. A parcel that it doesn't have begins anew.
    fn turn_to(&mut self, now: Time, from: InstanceId) {
        self.from = from;
        self.measured = (now, self.bytes.len());
        self.is_lost = false;
    }
}
