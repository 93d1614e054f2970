//! Room at small services: which request gets the next slot, which waits for one,
//! and which is refused at once.
//!
//! It answers this load: a service of a few targets with a few slots each gets more
//! requests than it can run, from a hundred instances, each of which sees few of them
//! and hears of the others' a quarter of a second late, when they have long ended.
//!
//! While a service is contended, its *line* is open: an instance asks the service's
//! steward for a slot before it sends a request. The steward is chosen by rendezvous
//! hashing of the live instances, counts the slots of all targets of the service and
//! grants them by priority class, then by fair shares of workspaces, then by arrival.
//! A grant is only a permission for one attempt, which its own instance sends, so
//! that a steward that is lost, late or wrong makes nothing run twice. It has a lease.
//!
//! [`Room`] is both parts of one instance: what it asks, and what it grants.

mod contention;
mod grants;
mod line;
mod message;
mod steward;

pub(crate) use grants::{Grants, OpenGrant};
pub use line::{Line, Queued, Waiter};
pub use message::{RoomAsk, RoomMessage, SlotEnd};
pub use steward::LineDump;

use crate::capacity::{Capacity, Held};
use crate::id::{InstanceId, ServiceId, TargetId, TicketId, Time, WorkspaceId};
use contention::Contention;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use steward::{Outbox, Steward};

/// Stewards that are asked in turn. Where all are silent, requests are sent without a
/// grant.
pub const ROOM_STEWARDS: usize = 2;
/// Time for which a steward may leave an ask without a word.
const FIRST_PATIENCE: Duration = Duration::from_millis(50);
/// Time for which it may then leave a request in its line without a word: two of the
/// words may be lost or late.
const LINE_PATIENCE: Duration = Duration::from_millis(150);
/// Time for which a steward that was silent is not asked; it doubles each time.
const SILENT_TIME: Duration = Duration::from_secs(1);
/// Longest time for which a silent steward is not asked.
const MAX_SILENT_TIME: Duration = Duration::from_secs(8);
/// Interval at which leases are renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);
/// Gap between two ticks from which this instance was not running, so that words of
/// the stewards wait unread.
const OWN_DELAY: Duration = Duration::from_millis(50);
/// Gap between two ticks after which others have given this steward up.
const STEWARD_PAUSE: Duration = Duration::from_millis(400);
/// Time after an ask to another steward within which that one may still be granting.
const RECENT_ASK: Duration = Duration::from_secs(1);
/// Time after which a line that holds nothing is forgotten.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Target of a service that takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomTarget {
    /// Target.
    pub id: TargetId,
    /// What it can take.
    pub capacity: Capacity,
    /// What requests of all instances hold there, as pulses tell.
    pub held: Held,
}

/// A request that needs a slot.
#[derive(Clone, Debug, Default)]
pub struct RoomNeed {
    /// Workspace whose share it takes.
    pub workspace: WorkspaceId,
    /// Priority class; 0 is the most urgent.
    pub class: u8,
    /// Longest time for which it may wait.
    pub wait: Duration,
    /// Targets that don't come into question.
    pub excluded: Vec<TargetId>,
}

/// Answer to a request that needs a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has a slot of this target.
    Granted(TargetId),
    /// Its wait would exceed its time: this is what was to be expected.
    Refused(Duration),
    /// No steward answers, or none knows a target: it may be sent without a grant.
    Bypassed,
}

/// What an instance has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoomCommand {
    /// Send a message.
    Send(InstanceId, RoomMessage),
    /// Go on with a request.
    Settle(TicketId, Verdict),
}

/// A request of this instance that waits for a verdict.
#[derive(Clone, Debug)]
struct Ticket {
    ask: RoomAsk,
    steward: InstanceId,
    /// Further stewards to ask if this one is silent.
    next: Vec<InstanceId>,
    asked_at: Time,
    /// Time of the last word that it waits in the line.
    heard_at: Option<Time>,
    expires_at: Time,
}

/// A slot that a request of this instance uses.
#[derive(Clone, Debug)]
struct HeldSlot {
    service: ServiceId,
    steward: InstanceId,
    renewed_at: Time,
}

/// Silence of a steward.
#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    until: Time,
    count: u32,
}

/// What an instance knows of a plain service.
#[derive(Clone, Debug, Default)]
struct Pool {
    targets: Vec<RoomTarget>,
    contention: Contention,
    /// Steward that this instance asked last, and when.
    last_ask: Option<(InstanceId, Time)>,
    was_open: bool,
}

/// Requests, slots and lines of one instance.
#[derive(Clone, Debug)]
pub struct Room {
    me: InstanceId,
    is_enabled: bool,
    last_ticket: TicketId,
    pools: BTreeMap<ServiceId, Pool>,
    tickets: BTreeMap<TicketId, Ticket>,
    held: BTreeMap<TicketId, HeldSlot>,
    silent: BTreeMap<InstanceId, Silence>,
    lines: BTreeMap<ServiceId, Steward>,
    ticked_at: Time,
    counts: BTreeMap<&'static str, u64>,
}

/// State of the room, for the dump of the instance.
#[derive(Clone, Debug, Serialize)]
pub struct RoomDump {
    /// Services whose line is open.
    pub open: Vec<ServiceId>,
    /// Lines of which this instance is the steward.
    pub lines: BTreeMap<ServiceId, LineDump>,
    /// Requests of this instance that wait for a verdict.
    pub asking: usize,
    /// Slots that this instance uses.
    pub held: usize,
    /// Stewards that are not asked because they were silent.
    pub silent: Vec<InstanceId>,
}

impl Room {
    /// Creates the room of an instance. Its tickets are numbered from `first`, which
    /// must be higher than those of earlier processes with its name.
    pub fn new(me: InstanceId, first: TicketId, is_enabled: bool) -> Self {
        Room {
            me,
            is_enabled,
            last_ticket: first,
            pools: BTreeMap::new(),
            tickets: BTreeMap::new(),
            held: BTreeMap::new(),
            silent: BTreeMap::new(),
            lines: BTreeMap::new(),
            ticked_at: Time::ZERO,
            counts: BTreeMap::new(),
        }
    }

    /// Sets whether lines open at all.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
    }

    /// Applies what pulses and entries tell of a plain service: its targets that take
    /// requests, and whether another instance reports that it is contended.
    pub fn observe(
        &mut self,
        now: Time,
        service: &ServiceId,
        targets: Vec<RoomTarget>,
        is_reported: bool,
    ) {
        let slots: u32 = targets.iter().map(|t| t.capacity.slots).sum();
        let held: u32 = targets.iter().map(|t| t.held.requests).sum();
        let share = f64::from(held) / f64::from(slots.max(1));
        if let Some(line) = self.lines.get_mut(service) {
            line.observe(now, &targets);
        }
        let pool = self.pools.entry(service.clone()).or_default();
        pool.contention.observe(now, share, is_reported);
        pool.targets = targets;
    }

    /// Forgets the services that are not in `services`.
    pub fn retain_services(&mut self, is_plain: impl Fn(&ServiceId) -> bool) {
        self.pools.retain(|service, _| is_plain(service));
    }

    /// Records that a target of a service turned a request of this instance away.
    /// Only services that [`Room::observe`] has told of can have a line.
    pub fn record_refusal(&mut self, now: Time, service: &ServiceId) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.contention.record_refusal(now);
        }
    }

    /// Returns whether requests of a service need a slot.
    pub fn is_open(&self, now: Time, service: &ServiceId) -> bool {
        let pool = self.pools.get(service);
        self.is_enabled && pool.is_some_and(|p| p.contention.is_open(now))
    }

    /// Returns the services whose targets have turned requests of this instance away
    /// lately, which pulses report.
    pub fn contended(&self, now: Time) -> impl Iterator<Item = &ServiceId> {
        let pools = self.pools.iter().filter(|_| self.is_enabled);
        let reported = pools.filter(move |(_, p)| p.contention.is_reported(now));
        reported.map(|(service, _)| service)
    }

    /// Returns the lines that have opened or closed since the last call.
    pub fn line_changes(&mut self, now: Time) -> Vec<(ServiceId, bool)> {
        let mut changes = Vec::new();
        for (service, pool) in &mut self.pools {
            let is_open = self.is_enabled && pool.contention.is_open(now);
            if std::mem::replace(&mut pool.was_open, is_open) != is_open {
                changes.push((service.clone(), is_open));
            }
        }
        changes
    }

    /// Asks for a slot; `stewards` are the instances to ask, in this order.
    ///
    /// The verdict comes with a [`RoomCommand::Settle`], which may be among the
    /// commands returned.
    pub fn ask(
        &mut self,
        now: Time,
        service: &ServiceId,
        need: RoomNeed,
        stewards: &[InstanceId],
    ) -> (TicketId, Vec<RoomCommand>) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let mut out = Vec::new();
        let first = stewards.first();
        let mut asked = stewards.iter().filter(|s| !self.is_silent(now, s)).cloned();
        let Some(steward) = asked.next() else {
            self.settle(ticket, Verdict::Bypassed, &mut out);
            return (ticket, out);
        };
        let next: Vec<InstanceId> = asked.collect();
        if let Some(pool) = self.pools.get_mut(service) {
            pool.last_ask = Some((steward.clone(), now));
        }
        let ask = RoomAsk {
            ticket,
            service: service.clone(),
            workspace: need.workspace,
            class: need.class,
            wait_ms: milliseconds(need.wait),
            excluded: need.excluded,
            is_fallback: first != Some(&steward),
        };
        let state = Ticket {
            ask: ask.clone(),
            steward: steward.clone(),
            next,
            asked_at: now,
            heard_at: None,
            expires_at: now + need.wait,
        };
        self.tickets.insert(ticket, state);
        self.send(now, steward, RoomMessage::Ask(ask), &mut out);
        (ticket, out)
    }

    /// Leaves the line, or gives a slot back.
    pub fn release(&mut self, now: Time, ticket: TicketId, end: SlotEnd) -> Vec<RoomCommand> {
        let mut out = Vec::new();
        let waiting = self.tickets.remove(&ticket);
        let waiting = waiting.map(|t| (t.ask.service, t.steward));
        let held = self.held.remove(&ticket);
        let held = held.map(|h| (h.service, h.steward));
        if let Some((service, steward)) = waiting.or(held) {
            let message = RoomMessage::Release(service, ticket, end);
            self.send(now, steward, message, &mut out);
        }
        out
    }

    /// Handles a message of another instance.
    pub fn receive(
        &mut self,
        now: Time,
        from: &InstanceId,
        message: RoomMessage,
    ) -> Vec<RoomCommand> {
        let mut out = Vec::new();
        self.handle(now, from, message, &mut out);
        out
    }

    fn handle(
        &mut self,
        now: Time,
        from: &InstanceId,
        message: RoomMessage,
        out: &mut Vec<RoomCommand>,
    ) {
        match message {
            RoomMessage::Ask(ask) => self.handle_ask(now, from, ask, out),
            RoomMessage::Release(service, ticket, end) => {
                self.with_line(now, &service, out, |line, outbox| {
                    line.release(now, from, ticket, end, outbox);
                });
            }
            RoomMessage::Renew(service, tickets) => {
                self.with_line(now, &service, out, |line, _| {
                    line.renew(now, from, &tickets);
                });
            }
            RoomMessage::Grant(ticket, target) => self.handle_grant(now, from, ticket, target, out),
            RoomMessage::Waiting(tickets) => {
                self.silent.remove(from);
                for ticket in tickets {
                    let state = self.tickets.get_mut(&ticket);
                    if let Some(state) = state.filter(|t| t.steward == *from) {
                        state.heard_at = Some(now);
                    }
                }
            }
            RoomMessage::Refuse(ticket, wait_ms) => {
                let wait = Duration::from_millis(u64::from(wait_ms));
                self.conclude(from, ticket, Verdict::Refused(wait), out);
            }
            RoomMessage::Unknown(ticket) => self.conclude(from, ticket, Verdict::Bypassed, out),
        }
    }

    fn handle_ask(
        &mut self,
        now: Time,
        from: &InstanceId,
        ask: RoomAsk,
        out: &mut Vec<RoomCommand>,
    ) {
        let service = ask.service.clone();
        if !self.lines.contains_key(&service) {
            let Some(pool) = self.pools.get(&service) else {
                let unknown = RoomMessage::Unknown(ask.ticket);
                return self.send(now, from.clone(), unknown, out);
            };
            let former = pool
                .last_ask
                .as_ref()
                .filter(|(steward, _)| *steward != self.me);
            let is_takeover = former.is_some_and(|(_, at)| now.saturating_sub(*at) < RECENT_ASK);
            let line = Steward::new(now, &pool.targets, ask.is_fallback || is_takeover);
            self.lines.insert(service.clone(), line);
        }
        self.with_line(now, &service, out, |line, outbox| {
            line.ask(now, from, ask, outbox);
        });
    }

    fn handle_grant(
        &mut self,
        now: Time,
        from: &InstanceId,
        ticket: TicketId,
        target: TargetId,
        out: &mut Vec<RoomCommand>,
    ) {
        self.silent.remove(from);
        let is_asked = |t: &Ticket| t.steward == *from;
        if !self.tickets.get(&ticket).is_some_and(is_asked) {
            // The request has left the line, or has asked another steward since.
            // Which service it was for is known to the steward alone.
            return;
        }
        let Some(state) = self.tickets.remove(&ticket) else {
            return;
        };
        if now.saturating_sub(state.asked_at) >= steward::FIRST_WORD {
            self.count("waited");
        }
        let slot = HeldSlot {
            service: state.ask.service,
            steward: from.clone(),
            renewed_at: now,
        };
        self.held.insert(ticket, slot);
        self.settle(ticket, Verdict::Granted(target), out);
    }

    /// Ends a ticket with a verdict of its steward that gives no slot.
    fn conclude(
        &mut self,
        from: &InstanceId,
        ticket: TicketId,
        verdict: Verdict,
        out: &mut Vec<RoomCommand>,
    ) {
        self.silent.remove(from);
        let state = self.tickets.get(&ticket);
        if state.is_some_and(|t| t.steward == *from) {
            self.tickets.remove(&ticket);
            self.settle(ticket, verdict, out);
        }
    }

    /// Gives up silent stewards, renews leases and keeps the lines.
    ///
    /// It is due every 10 ms or so while [`Room::is_active`].
    pub fn tick(&mut self, now: Time) -> Vec<RoomCommand> {
        let mut out = Vec::new();
        let gap = now.saturating_sub(self.ticked_at);
        self.ticked_at = now;
        if gap >= OWN_DELAY {
            for ticket in self.tickets.values_mut() {
                ticket.asked_at = ticket.asked_at.max(now.saturating_sub(OWN_DELAY));
                ticket.heard_at = ticket.heard_at.map(|_| now);
            }
        }
        self.check_stewards(now, &mut out);
        self.renew(now, &mut out);
        let services: Vec<ServiceId> = self.lines.keys().cloned().collect();
        for service in services {
            let mut lapsed = 0;
            self.with_line(now, &service, &mut out, |line, outbox| {
                if gap >= STEWARD_PAUSE {
                    line.resume(now);
                }
                lapsed = line.tick(now, outbox);
            });
            for _ in 0..lapsed {
                self.count("lapsed");
            }
        }
        let is_idle = |line: &Steward| line.idle_time(now).is_some_and(|t| t >= MAX_IDLE);
        self.lines.retain(|_, line| !is_idle(line));
        out
    }

    /// Returns whether [`Room::tick`] has something to watch.
    pub fn is_active(&self) -> bool {
        !self.tickets.is_empty() || !self.held.is_empty() || !self.lines.is_empty()
    }

    /// Asks the next steward where one is silent, or bypasses the line.
    fn check_stewards(&mut self, now: Time, out: &mut Vec<RoomCommand>) {
        let is_due = |t: &Ticket| match t.heard_at {
            // The steward refuses a request whose wait is over.
            Some(heard) => now >= (heard + LINE_PATIENCE).min(t.expires_at + FIRST_PATIENCE),
            None => now >= t.asked_at + FIRST_PATIENCE,
        };
        let due = self.tickets.iter().filter(|(_, t)| is_due(t));
        let due: Vec<TicketId> = due.map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            let Some(mut state) = self.tickets.remove(&ticket) else {
                continue;
            };
            // It might still grant a slot, which would lie idle until its lease ends.
            let leave = RoomMessage::Release(state.ask.service.clone(), ticket, SlotEnd::Other);
            self.send(now, state.steward.clone(), leave, out);
            self.record_silence(now, &state);
            let left = state.expires_at.saturating_sub(now);
            let next = state.next.iter().find(|s| !self.is_silent(now, s)).cloned();
            let Some(next) = next.filter(|_| !left.is_zero()) else {
                self.settle(ticket, Verdict::Bypassed, out);
                continue;
            };
            state.next.retain(|s| *s != next);
            state.steward = next.clone();
            state.ask.is_fallback = true;
            state.ask.wait_ms = milliseconds(left);
            state.asked_at = now;
            state.heard_at = None;
            let ask = RoomMessage::Ask(state.ask.clone());
            self.tickets.insert(ticket, state);
            self.send(now, next, ask, out);
        }
    }

    /// Records that the steward of a ticket is silent, once for all tickets that it
    /// left without a word at the same time.
    fn record_silence(&mut self, now: Time, ticket: &Ticket) {
        if self.is_silent(now, &ticket.steward) || ticket.steward == self.me {
            return;
        }
        let silence = self.silent.entry(ticket.steward.clone()).or_default();
        let time = SILENT_TIME * (1 << silence.count.min(3));
        silence.until = now + time.min(MAX_SILENT_TIME);
        silence.count += 1;
        self.count("silent");
    }

    fn is_silent(&self, now: Time, steward: &InstanceId) -> bool {
        self.silent.get(steward).is_some_and(|s| now < s.until)
    }

    fn renew(&mut self, now: Time, out: &mut Vec<RoomCommand>) {
        let mut due: BTreeMap<(InstanceId, ServiceId), Vec<TicketId>> = BTreeMap::new();
        for (ticket, slot) in &mut self.held {
            if now.saturating_sub(slot.renewed_at) >= RENEW_INTERVAL {
                slot.renewed_at = now;
                let key = (slot.steward.clone(), slot.service.clone());
                due.entry(key).or_default().push(*ticket);
            }
        }
        for ((steward, service), tickets) in due {
            self.send(now, steward, RoomMessage::Renew(service, tickets), out);
        }
    }

    /// Lets the line of a service act, if this instance has one.
    fn with_line(
        &mut self,
        now: Time,
        service: &ServiceId,
        out: &mut Vec<RoomCommand>,
        act: impl FnOnce(&mut Steward, &mut Outbox),
    ) {
        let mut outbox = Outbox::new();
        if let Some(line) = self.lines.get_mut(service) {
            act(line, &mut outbox);
        }
        for (to, message) in outbox {
            if let RoomMessage::Grant(..) = message {
                self.count("slots");
            }
            self.send(now, to, message, out);
        }
    }

    /// Sends a message, or handles it here where this instance is the receiver.
    fn send(
        &mut self,
        now: Time,
        to: InstanceId,
        message: RoomMessage,
        out: &mut Vec<RoomCommand>,
    ) {
        if to == self.me {
            self.handle(now, &to, message, out);
        } else {
            out.push(RoomCommand::Send(to, message));
        }
    }

    fn settle(&mut self, ticket: TicketId, verdict: Verdict, out: &mut Vec<RoomCommand>) {
        self.count(match verdict {
            Verdict::Granted(_) => "granted",
            Verdict::Refused(_) => "refused",
            Verdict::Bypassed => "bypassed",
        });
        out.push(RoomCommand::Settle(ticket, verdict));
    }

    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_insert(0) += 1;
    }

    /// Returns the events since the start of the process, by kind.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Returns the number of requests in the lines of which this instance is the
    /// steward.
    pub fn line_length(&self) -> usize {
        self.lines.values().map(|l| l.dump().waiting).sum()
    }

    /// Returns the state of the room, for the dump of the instance.
    pub fn dump(&self, now: Time) -> RoomDump {
        let open = self.pools.keys().filter(|s| self.is_open(now, s));
        let lines = self.lines.iter();
        let silent = self.silent.keys().filter(|s| self.is_silent(now, s));
        RoomDump {
            open: open.cloned().collect(),
            lines: lines.map(|(s, line)| (s.clone(), line.dump())).collect(),
            asking: self.tickets.len(),
            held: self.held.len(),
            silent: silent.cloned().collect(),
        }
    }
}

fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
