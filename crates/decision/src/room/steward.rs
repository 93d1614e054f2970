//! A steward's part: the slots of one service and the line for them.

use super::grants::Grants;
use super::line::{Line, Waiter};
use super::message::{RoomAsk, RoomMessage, SlotEnd};
use super::{RoomTarget, milliseconds};
use crate::id::{InstanceId, TargetId, TicketId, Time, WorkspaceId};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a renewal after which a grant lapses. It exceeds two renewals, so
/// that one may be lost.
const LEASE: Duration = Duration::from_millis(600);
/// Longest age of the loads that pulses report, which a target's own grants may
/// have caused.
const LOAD_LAG: Duration = Duration::from_millis(500);
/// Time after a takeover in which half of the room is granted. By its end, the leases of
/// the previous steward have lapsed and the instances that asked it have heard of this
/// one.
const TAKEOVER: Duration = Duration::from_secs(1);
/// Age at which a load that others caused no longer counts: requests of plain
/// services are shorter, and the next pulse tells of new ones.
const FOREIGN_TIME: Duration = Duration::from_millis(250);
/// Places in a target's own queue that are granted too, as a share of its slots: they
/// keep its slots busy while the word of a free one and the next request are on their
/// way.
const QUEUE_SHARE: f64 = 0.5;
/// Time without grants for a target that turned a granted request away.
const FULL_BACKOFF: Duration = Duration::from_millis(20);
/// Time without grants for a target that can't be reached; then one is a trial.
const BROKEN_BACKOFF: Duration = Duration::from_millis(500);
/// Broken connections in a row from which a target counts as unreachable.
const MAX_BROKEN: u32 = 2;
/// Time in the line after which the instance that asked is first told that it waits.
pub(super) const FIRST_WORD: Duration = Duration::from_millis(15);
/// Interval at which it is told so again.
const WORD_INTERVAL: Duration = Duration::from_millis(60);
/// Requests of one class that are served in a row while a later class waits.
const CLASS_TURN: u32 = 16;
/// Assumed time for which a request holds a slot, before any is measured.
const FIRST_HOLD: Duration = Duration::from_millis(20);
/// Weight of the latest request in the moving average of that time.
const SMOOTHING: f64 = 0.05;
/// Share of its longest wait that a request may expect when it joins the line. The rest
/// is for the spread of waits, so that few are refused after a wait in vain.
const JOIN_SHARE: f64 = 0.6;
/// Weight of the latest request in the moving average of a workspace's stretch.
const STRETCH_SMOOTHING: f64 = 0.1;
/// Shortest expected wait that says something of the stretch.
const MIN_STRETCH_WAIT: Duration = Duration::from_millis(5);
/// Largest stretch.
const MAX_STRETCH: f64 = 5.0;
/// Part of a stretch that is forgotten in each tick, most of it in a second.
const STRETCH_DECAY: f64 = 0.02;
/// Longest line, for its memory; the pace bounds it far below.
const MAX_LINE: usize = 10_000;

/// Instance that asked, and its number for the request.
type Key = (InstanceId, TicketId);

/// A request in the line.
#[derive(Clone, Debug)]
struct Waiting {
    from: InstanceId,
    ask: RoomAsk,
    joined_at: Time,
    /// Wait that was expected by its place alone.
    expected: Duration,
    /// Time at which the instance that asked is told that it waits.
    word_at: Time,
}

impl Waiter for Waiting {
    fn workspace(&self) -> &WorkspaceId {
        &self.ask.workspace
    }

    fn class(&self) -> u8 {
        self.ask.class
    }
}

/// Slots of one target.
#[derive(Clone, Debug)]
struct Slots {
    /// Its slots, and the places of its own queue that are granted.
    cap: u32,
    grants: Grants<Key, WorkspaceId>,
    /// Requests that were sent without a grant, and when pulses told of them.
    foreign: (u32, Time),
    /// Broken connections since the last response.
    broken: u32,
    backoff_until: Time,
    /// Whether it takes requests by its entry.
    is_usable: bool,
}

impl Slots {
    fn load(&self, now: Time) -> u32 {
        let (count, at) = self.foreign;
        let left = 1.0 - now.saturating_sub(at).div_duration_f64(FOREIGN_TIME);
        self.grants.len() + (f64::from(count) * left.max(0.0)).round() as u32
    }

    fn room(&self, now: Time) -> u32 {
        let load = self.load(now);
        match () {
            () if !self.is_usable || now < self.backoff_until => 0,
            () if self.broken >= MAX_BROKEN => u32::from(self.grants.len() == 0),
            () if self.grants.is_takeover(now) => self.grants.takeover_room(now, self.cap, load),
            () => self.cap.saturating_sub(load),
        }
    }
}

/// Slots of a service's targets and the line for them, at its steward.
#[derive(Clone, Debug)]
pub(super) struct Steward {
    slots: BTreeMap<TargetId, Slots>,
    line: Line<Waiting>,
    /// Moving average of the time for which a request holds a slot, in seconds.
    hold: f64,
    /// Requests in that average, of which the first ones count alike.
    completed: u32,
    /// How much longer than by their place the requests of a class and a workspace
    /// wait, because others are served before them that come later.
    stretches: BTreeMap<(u8, WorkspaceId), f64>,
    /// Time of the latest message that concerned this line.
    used_at: Time,
    is_takeover: bool,
}

/// State of a line, for the dump of the instance.
#[derive(Clone, Debug, Serialize)]
pub struct LineDump {
    /// Requests in the line.
    pub waiting: usize,
    /// Slots granted and those that may be, of each target.
    pub granted: BTreeMap<TargetId, (u32, u32)>,
    /// Milliseconds for which a request holds a slot, on average.
    pub hold_ms: u64,
}

/// Messages to send, with their receivers.
pub(super) type Outbox = Vec<(InstanceId, RoomMessage)>;

impl Steward {
    /// Creates the line of a new steward; `is_takeover` tells whether another one may
    /// still be granting.
    pub(super) fn new(now: Time, targets: &[RoomTarget], is_takeover: bool) -> Self {
        let mut steward = Steward {
            slots: BTreeMap::new(),
            line: Line::default().with_turn(CLASS_TURN),
            hold: FIRST_HOLD.as_secs_f64(),
            completed: 0,
            stretches: BTreeMap::new(),
            used_at: now,
            is_takeover,
        };
        steward.observe(now, targets);
        steward
    }

    /// Applies what the entries and pulses tell of the service's targets.
    pub(super) fn observe(&mut self, now: Time, targets: &[RoomTarget]) {
        for slots in self.slots.values_mut() {
            slots.is_usable = false;
        }
        for target in targets {
            let is_takeover = self.is_takeover;
            let slots = self.slots.entry(target.id.clone()).or_insert_with(|| {
                let mut grants = Grants::new(now, LOAD_LAG, TAKEOVER);
                if is_takeover {
                    grants.start_takeover(now);
                }
                Slots {
                    cap: 0,
                    grants,
                    foreign: (0, now),
                    broken: 0,
                    backoff_until: Time::ZERO,
                    is_usable: true,
                }
            });
            slots.is_usable = true;
            let own = target.capacity.slots;
            slots.cap = own + (f64::from(own) * QUEUE_SHARE) as u32;
            slots.foreign = (slots.grants.foreign(target.held.requests), now);
        }
        self.slots.retain(|_, s| s.is_usable || s.grants.len() > 0);
        self.is_takeover = false;
    }

    /// Grants at most half of the room for a while, and drops the line: the instances
    /// that asked have given this steward up.
    pub(super) fn resume(&mut self, now: Time) {
        self.line.drain();
        for slots in self.slots.values_mut() {
            slots.grants.start_takeover(now);
        }
    }

    /// Grants a slot, or lets the request wait if its time will do, or refuses it.
    pub(super) fn ask(&mut self, now: Time, from: &InstanceId, ask: RoomAsk, out: &mut Outbox) {
        self.used_at = now;
        self.expire(now);
        let is_known = |target: &TargetId| !ask.excluded.contains(target);
        if !self.slots.iter().any(|(id, s)| s.is_usable && is_known(id)) {
            return out.push((from.clone(), RoomMessage::Unknown(ask.ticket)));
        }
        let key = (from.clone(), ask.ticket);
        self.forget(&key);
        let wait = Duration::from_millis(u64::from(ask.wait_ms));
        let mut waiting = Waiting {
            from: from.clone(),
            ask,
            joined_at: now,
            expected: Duration::ZERO,
            word_at: now + FIRST_WORD,
        };
        let has_room = self.free_target(now, &waiting.ask.excluded).is_some();
        waiting.expected = self.expected_wait(now, self.line.ahead_of(&waiting));
        let expected = waiting.expected.mul_f64(self.stretch(&waiting));
        if !(has_room && self.line.is_empty()) && expected > wait.mul_f64(JOIN_SHARE) {
            let refusal = RoomMessage::Refuse(waiting.ask.ticket, milliseconds(expected));
            return out.push((from.clone(), refusal));
        }
        let expires_at = now + wait;
        if let Some(dropped) = self
            .line
            .push(waiting, (expires_at, expires_at), 1, MAX_LINE)
        {
            let refusal = RoomMessage::Refuse(dropped.ask.ticket, milliseconds(expected));
            out.push((dropped.from, refusal));
        }
        self.serve(now, out);
    }

    /// Takes a slot back, or a request out of the line.
    pub(super) fn release(
        &mut self,
        now: Time,
        from: &InstanceId,
        ticket: TicketId,
        end: SlotEnd,
        out: &mut Outbox,
    ) {
        self.used_at = now;
        let key = (from.clone(), ticket);
        let freed = self.slots.values_mut().find_map(|slots| {
            let open = slots.grants.remove(&key)?;
            Some((slots, now.saturating_sub(open.granted_at)))
        });
        match freed {
            Some((slots, held)) => match end {
                SlotEnd::Completed => {
                    slots.broken = 0;
                    self.completed = self.completed.saturating_add(1);
                    let weight = SMOOTHING.max(1.0 / f64::from(self.completed));
                    self.hold += weight * (held.as_secs_f64() - self.hold);
                }
                SlotEnd::Full => slots.backoff_until = now + FULL_BACKOFF,
                SlotEnd::Broken => {
                    slots.broken += 1;
                    if slots.broken >= MAX_BROKEN {
                        slots.backoff_until = now + BROKEN_BACKOFF;
                    }
                }
                SlotEnd::Other => {}
            },
            None => self.forget(&key),
        }
        self.serve(now, out);
    }

    /// Takes a request out of the line.
    fn forget(&mut self, (from, ticket): &Key) {
        self.line
            .remove_where(|w| w.ask.ticket == *ticket && w.from == *from);
    }

    /// Renews the leases of an instance's slots.
    pub(super) fn renew(&mut self, now: Time, from: &InstanceId, tickets: &[TicketId]) {
        self.used_at = now;
        for ticket in tickets {
            let key = (from.clone(), *ticket);
            for slots in self.slots.values_mut() {
                slots.grants.renew(now, &key);
            }
        }
    }

    /// Frees lapsed slots, refuses requests whose time won't do any more, tells the
    /// others that they wait, and returns the number of lapsed slots.
    pub(super) fn tick(&mut self, now: Time, out: &mut Outbox) -> usize {
        let lapsed = self.expire(now);
        self.stretches.retain(|_, stretch| {
            *stretch -= (*stretch - 1.0) * STRETCH_DECAY;
            *stretch > 1.0 + STRETCH_DECAY
        });
        self.serve(now, out);
        self.refuse_late(now, out);
        let mut words: BTreeMap<InstanceId, Vec<TicketId>> = BTreeMap::new();
        for waiting in self.line.iter_mut().filter(|w| w.word_at <= now) {
            waiting.word_at = now + WORD_INTERVAL;
            let tickets = words.entry(waiting.from.clone()).or_default();
            tickets.push(waiting.ask.ticket);
        }
        let words = words.into_iter();
        out.extend(words.map(|(to, tickets)| (to, RoomMessage::Waiting(tickets))));
        lapsed
    }

    /// Refuses the requests whose expected wait exceeds what they may wait, as others
    /// were served before them.
    fn refuse_late(&mut self, now: Time, out: &mut Outbox) {
        let pace = self.expected_wait(now, 0);
        let mut ahead = 0;
        let late = self.line.take_matching(|queued| {
            let expected = pace * ahead;
            let is_late = expected > queued.expires_at.saturating_sub(now);
            ahead += u32::from(!is_late);
            is_late || queued.expires_at <= now
        });
        let whole_line = pace * ahead;
        for queued in late {
            let waiting = queued.item;
            // It would have waited longer still.
            let longer = now.saturating_sub(waiting.joined_at) + waiting.expected;
            self.record_stretch(now, &waiting, longer);
            let expected = milliseconds(longer.max(whole_line));
            let refusal = RoomMessage::Refuse(waiting.ask.ticket, expected);
            out.push((waiting.from, refusal));
        }
    }

    fn stretch(&self, waiting: &Waiting) -> f64 {
        let key = (waiting.class(), waiting.ask.workspace.clone());
        self.stretches.get(&key).copied().unwrap_or(1.0)
    }

    /// Records for how long a request has waited, or would have. Where slots were
    /// taken without a grant, that says nothing of its place.
    fn record_stretch(&mut self, now: Time, waiting: &Waiting, wait: Duration) {
        let is_foreign = |s: &Slots| s.foreign.0 > 0 || s.grants.is_takeover(now);
        if waiting.expected < MIN_STRETCH_WAIT || self.slots.values().any(is_foreign) {
            return;
        }
        let sample = wait.div_duration_f64(waiting.expected);
        let key = (waiting.class(), waiting.ask.workspace.clone());
        let stretch = self.stretches.entry(key).or_insert(1.0);
        *stretch += STRETCH_SMOOTHING * (sample.clamp(1.0, MAX_STRETCH) - *stretch);
    }

    fn expire(&mut self, now: Time) -> usize {
        let slots = self.slots.values_mut();
        slots
            .map(|s| {
                s.grants.expire(now, LEASE);
                s.grants.free_lapsed(usize::MAX, |_| true)
            })
            .sum()
    }

    /// Grants free slots to the line.
    fn serve(&mut self, now: Time, out: &mut Outbox) {
        while !self.line.is_empty() {
            if self.free_target(now, &[]).is_none() {
                return;
            }
            let slots = &self.slots;
            let next = self
                .line
                .pop_where(|w| free_target(slots, now, &w.ask.excluded).is_some());
            let Some(waiting) = next.map(|queued| queued.item) else {
                return;
            };
            let Some(target) = self.free_target(now, &waiting.ask.excluded).cloned() else {
                return;
            };
            self.record_stretch(now, &waiting, now.saturating_sub(waiting.joined_at));
            let key = (waiting.from.clone(), waiting.ask.ticket);
            if let Some(slots) = self.slots.get_mut(&target) {
                slots.grants.insert(now, key, waiting.ask.workspace);
            }
            out.push((waiting.from, RoomMessage::Grant(waiting.ask.ticket, target)));
        }
    }

    fn free_target(&self, now: Time, excluded: &[TargetId]) -> Option<&TargetId> {
        free_target(&self.slots, now, excluded)
    }

    /// Returns the wait that a request with `ahead` others before it can expect, by
    /// the pace at which slots become free.
    fn expected_wait(&self, now: Time, ahead: usize) -> Duration {
        let is_open = |s: &&Slots| s.is_usable && s.broken < MAX_BROKEN;
        let caps = self.slots.values().filter(is_open).map(|s| {
            if s.grants.is_takeover(now) {
                s.cap.div_ceil(2)
            } else {
                s.cap
            }
        });
        let cap: u32 = caps.sum();
        Duration::from_secs_f64(self.hold * (ahead + 1) as f64 / f64::from(cap.max(1)))
    }

    /// Returns the time since the line was last used, unless it holds something.
    pub(super) fn idle_time(&self, now: Time) -> Option<Duration> {
        let is_idle = self.line.is_empty() && self.slots.values().all(|s| s.grants.len() == 0);
        is_idle.then(|| now.saturating_sub(self.used_at))
    }

    pub(super) fn dump(&self) -> LineDump {
        let granted = self.slots.iter();
        LineDump {
            waiting: self.line.len(),
            granted: granted
                .map(|(id, s)| (id.clone(), (s.grants.len(), s.cap)))
                .collect(),
            hold_ms: (self.hold * 1_000.0) as u64,
        }
    }
}

/// Returns the target with the least load per slot that has room.
fn free_target<'a>(
    slots: &'a BTreeMap<TargetId, Slots>,
    now: Time,
    excluded: &[TargetId],
) -> Option<&'a TargetId> {
    let free = slots.iter();
    let free = free.filter(|(id, s)| s.room(now) > 0 && !excluded.contains(id));
    let load = |s: &Slots| f64::from(s.load(now)) / f64::from(s.cap.max(1));
    let least = free.min_by(|(_, a), (_, b)| load(a).total_cmp(&load(b)));
    least.map(|(id, _)| id)
}
