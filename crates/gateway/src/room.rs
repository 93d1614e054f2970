//! Waiting for a slot of a contended service.
//!
//! [`decision::Room`] decides; this module sends its messages, wakes the requests that
//! it settles, and gives slots back when attempts end.

use crate::SharedGateway;
use crate::admitted::{AdmittedRequest, Choice};
use crate::fleet::Mesh;
use decision::{
    AttemptOutcome, InstanceId, Message, ROOM_STEWARDS, Refusal, Room, RoomCommand, RoomMessage,
    RoomNeed, ServiceId, SlotEnd, TargetId, TicketId, Verdict, service_tag,
};
use rand::Rng;
use serde_json::json;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Interval at which lines and leases are looked at while there are any.
const TICK: Duration = Duration::from_millis(10);
/// Part of the time left that a request may spend in a line.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Longest wait as a multiple of the route's goal for the first byte: who waits longer
/// misses the goal, and makes those behind miss it.
const MAX_WAIT_GOALS: f64 = 0.6;
/// Asks for one attempt; each one leaves out targets that were granted but can't be
/// used here.
const MAX_ASKS: usize = 3;
/// Part of the time left that `Retry-After` may take; callers don't wait longer.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// Range of the factor of the expected wait that `Retry-After` is drawn from, so that
/// callers that are refused together don't return together.
const RETRY_SPREAD: std::ops::Range<f64> = 1.0..3.0;

/// This instance's room and the requests that wait for its verdicts.
pub(crate) struct RoomState {
    room: RefCell<Room>,
    waiting: RefCell<BTreeMap<TicketId, oneshot::Sender<Verdict>>>,
    mesh: OnceCell<Mesh>,
    /// Notified when there is something to watch.
    active: Notify,
}

impl RoomState {
    pub(crate) fn new(me: InstanceId, incarnation: u64, is_enabled: bool) -> Self {
        // Milliseconds since the epoch leave room for a million tickets each.
        let room = Room::new(me, incarnation << 20, is_enabled);
        RoomState {
            room: RefCell::new(room),
            waiting: RefCell::default(),
            mesh: OnceCell::new(),
            active: Notify::new(),
        }
    }
}

/// Slot that an attempt uses, or place in a line; dropping it gives it back.
pub(crate) struct RoomSlot {
    gateway: SharedGateway,
    ticket: TicketId,
    end: Cell<SlotEnd>,
}

impl RoomSlot {
    /// Sets how the attempt that uses the slot ended.
    pub(crate) fn set_outcome(&self, outcome: AttemptOutcome) {
        self.end.set(match outcome {
            AttemptOutcome::Completed => SlotEnd::Completed,
            AttemptOutcome::Full => SlotEnd::Full,
            AttemptOutcome::Broken => SlotEnd::Broken,
            AttemptOutcome::Failed | AttemptOutcome::Moved | AttemptOutcome::Abandoned => {
                SlotEnd::Other
            }
        });
    }
}

impl Drop for RoomSlot {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let state = &self.gateway.room;
        state.waiting.borrow_mut().remove(&self.ticket);
        let release = state
            .room
            .borrow_mut()
            .release(now, self.ticket, self.end.get());
        carry_out(&self.gateway, release);
    }
}

/// Starts the task that watches lines and leases.
pub(crate) fn start(gateway: &SharedGateway, mesh: &Mesh) {
    // Set once: an instance starts once.
    let _ = gateway.room.mesh.set(mesh.clone());
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        loop {
            let is_active = gateway.room.room.borrow().is_active();
            if is_active {
                tokio::time::sleep(TICK).await;
            } else {
                gateway.room.active.notified().await;
            }
            let commands = gateway.room.room.borrow_mut().tick(gateway.now());
            carry_out(&gateway, commands);
        }
    });
}

/// Handles a message of another instance.
pub(crate) fn receive(gateway: &SharedGateway, from: &InstanceId, message: RoomMessage) {
    let now = gateway.now();
    let commands = gateway.room.room.borrow_mut().receive(now, from, message);
    carry_out(gateway, commands);
    gateway.room.active.notify_one();
}

/// Tells the room what pulses and entries say of the plain services.
pub(crate) fn observe(gateway: &SharedGateway, reported: &decision::TagMap) {
    let now = gateway.now();
    let router = gateway.router.borrow();
    let mut room = gateway.room.room.borrow_mut();
    room.set_enabled(gateway.settings.borrow().lines);
    let services: Vec<&ServiceId> = router.plain_services().collect();
    for service in &services {
        let is_reported = reported
            .0
            .get(&service_tag(service))
            .is_some_and(|n| *n > 0);
        room.observe(now, service, router.room_targets(now, service), is_reported);
    }
    room.retain_services(|service| services.contains(&service));
    for (service, is_open) in room.line_changes(now) {
        let kind = if is_open { "opened" } else { "closed" };
        gateway.metrics.count("lines", kind);
        gateway.event_log.state_change(&json!({
            "event": "line", "service": service, "state": kind,
        }));
    }
}

/// Returns the tags of the services that this instance's pulses report as contended.
pub(crate) fn contended(gateway: &SharedGateway) -> decision::TagMap {
    let room = gateway.room.room.borrow();
    let services = room.contended(gateway.now());
    decision::TagMap(services.map(|s| (service_tag(s), 1)).collect())
}

/// Records that a target turned a request away.
pub(crate) fn record_refusal(gateway: &SharedGateway, service: &ServiceId) {
    let now = gateway.now();
    gateway.room.room.borrow_mut().record_refusal(now, service);
}

/// Returns the counters of the room as metrics, and the length of its lines.
pub(crate) fn metrics_text(gateway: &SharedGateway) -> String {
    let room = gateway.room.room.borrow();
    let counts = room.counts().iter();
    let lines = counts.map(|(kind, n)| format!("briargap_room{{kind=\"{kind}\"}} {n}\n"));
    let length = format!("briargap_line_length {}\n", room.line_length());
    lines.collect::<String>() + &length
}

pub(crate) fn dump(gateway: &SharedGateway) -> decision::RoomDump {
    gateway.room.room.borrow().dump(gateway.now())
}

fn carry_out(gateway: &SharedGateway, commands: Vec<RoomCommand>) {
    for command in commands {
        match command {
            RoomCommand::Send(to, message) => {
                if let Some(mesh) = gateway.room.mesh.get() {
                    mesh.send(gateway, &to, &Message::Room(message));
                }
            }
            RoomCommand::Settle(ticket, verdict) => {
                let waiter = gateway.room.waiting.borrow_mut().remove(&ticket);
                // Fails if the request is gone; its guard gives the slot back.
                let _ = waiter.map(|waiter| waiter.send(verdict));
            }
        }
    }
}

impl AdmittedRequest {
    /// Chooses a target as [`AdmittedRequest::choose`] does. Where the service's line
    /// is open, it first waits for a slot.
    pub(crate) async fn choose_in_line(
        &self,
        tried: &[TargetId],
    ) -> Result<(Choice, Option<RoomSlot>), Refusal> {
        let (gateway, service) = (&self.gateway, &self.admission.service);
        let mut excluded = tried.to_vec();
        for _ in 0..MAX_ASKS {
            if !self.needs_slot() {
                break;
            }
            // Cold targets have a limit of their own and no slots in the line.
            let warm = gateway.router.borrow().warm_targets(gateway.now(), service);
            if let Some(Ok(choice)) = warm.map(|w| self.choose(&[&w, tried].concat())) {
                return Ok((choice, None));
            }
            let (slot, verdict) = self.wait_for_slot(excluded.clone()).await;
            match verdict {
                Verdict::Granted(target) => {
                    let others = gateway.router.borrow().others(service, &target);
                    match self.choose(&[&others, tried].concat()) {
                        Ok(choice) => return Ok((choice, Some(slot))),
                        Err(Refusal::NoTarget | Refusal::Paused | Refusal::Full) => {
                            excluded.push(target);
                        }
                        Err(refusal) => return Err(refusal),
                    }
                }
                Verdict::Refused(expected) => {
                    let retry_after = self.retry_after(expected);
                    return Err(Refusal::NoRoom { retry_after });
                }
                Verdict::Bypassed => break,
            }
        }
        self.choose(tried).map(|choice| (choice, None))
    }

    /// Returns whether the request needs a slot. Streams don't: they hold slots for
    /// long, and a line promises a wait by the pace of short requests.
    pub(crate) fn needs_slot(&self) -> bool {
        let (gateway, service) = (&self.gateway, &self.admission.service);
        let is_open = gateway.room.room.borrow().is_open(gateway.now(), service);
        is_open && !self.admission.route.retry_policy.is_stream()
    }

    async fn wait_for_slot(&self, excluded: Vec<TargetId>) -> (RoomSlot, Verdict) {
        let (gateway, service) = (&self.gateway, &self.admission.service);
        let now = gateway.now();
        let goal = self.admission.route.ttfb_goal.mul_f64(MAX_WAIT_GOALS);
        let need = RoomNeed {
            workspace: self.admission.workspace.clone().unwrap_or_default(),
            class: self.admission.priority_class,
            wait: self.time_left().mul_f64(MAX_WAIT_SHARE).min(goal),
            excluded,
        };
        let stewards = gateway.fleet.borrow().stewards(now, service, ROOM_STEWARDS);
        let (ticket, commands) = {
            let mut room = gateway.room.room.borrow_mut();
            room.ask(now, service, need, &stewards)
        };
        let (sender, verdict) = oneshot::channel();
        gateway.room.waiting.borrow_mut().insert(ticket, sender);
        let slot = RoomSlot {
            gateway: gateway.clone(),
            ticket,
            end: Cell::new(SlotEnd::Other),
        };
        carry_out(gateway, commands);
        gateway.room.active.notify_one();
        let verdict = tokio::select! {
            biased;
            verdict = verdict => verdict.unwrap_or(Verdict::Bypassed),
            () = gateway.ending() => Verdict::Bypassed,
        };
        (slot, verdict)
    }

    /// Returns the time after which a refused request may come again: its expected
    /// wait, spread, within the part of its time that its caller waits.
    fn retry_after(&self, expected: Duration) -> Duration {
        let factor = rand::rng().random_range(RETRY_SPREAD);
        let longest = self.time_left().mul_f64(MAX_RETRY_SHARE);
        expected.mul_f64(factor).min(longest)
    }
}
