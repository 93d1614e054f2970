//! Runs a policy against the model and measures it.

use super::baselines::{Baseline, LOAD_MULTIPLE, View};
use super::model::{
    COLD_SLOTS, Finished, MAX_FIRST_WAIT, Model, RAMP_STEP, Request, SLOTS, Time, Workload,
};
use crate::net::{Faults, Net};
use crate::test_fleet;
use decision::{
    CacheLocation, Command, Event, GrantId, InstanceId, Limits, LoadReport, Release, ServiceKind,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which load reports are read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Age of a load report when it is read.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Last part of a run; its requests are not counted, because the run may end before
/// they do.
const TAIL: Duration = Duration::from_secs(20);
/// First part of a run, as a fraction, that is not measured because caches fill in it.
const WARM_UP: f64 = 0.25;
/// Requests by which an engine's load may exceed the load bound, because the
/// stewards (the instances that grant slots) learn of each other's loads with a
/// delay: one for a request that every target denied, and one more than a sixth
/// of the slots for changes of load that are not announced yet.
pub(super) const MAX_LAG_EXCESS: usize = 1 + SLOTS / 6 + 1;

/// A workload and the conditions under which a policy runs.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    pub(super) name: String,
    pub(super) workload: Workload,
    pub(super) instances: usize,
    /// Engine that goes down, with the times of its stop and its return.
    pub(super) outage: Option<(usize, Time, Time)>,
    pub(super) time: Time,
    pub(super) seed: u64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Returning prompt tokens that came from a cache, over all returning ones.
    pub reuse: f64,
    /// Highest load divided by the mean load, averaged over time.
    pub skew: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_p95_ms: f64,
    /// Share of requests whose first token came in time and that completed.
    pub completed: f64,
    /// Completed requests per second whose first token came in time.
    pub goodput: f64,
    /// The same share as `completed`, for all workspaces but the first.
    pub others_completed: f64,
    /// Number of requests that were refused.
    pub refused: u64,
    /// Number of placements beyond the capacity of a cold engine.
    pub cold_excess: u64,
    /// Highest number of requests of an engine above the load bound: the allowed
    /// multiple of the mean load, plus one.
    pub bound_excess: usize,
    /// Bytes of messages that request, grant and release slots, per granted slot.
    pub slot_bytes: f64,
    /// Bytes of all messages per second and instance.
    pub control_bytes: f64,
}

/// A policy under measurement.
pub enum Policy {
    /// Chooses an engine as a request arrives.
    Immediate(Box<dyn Baseline>),
    /// Runs the decision states of all instances, which exchange messages.
    Fleet(Box<Fleet>),
}

/// Decision states of all instances, and the requests that they handle.
pub struct Fleet {
    net: Net,
    /// Requests that wait for a slot, by instance and request id.
    waiting: BTreeMap<(InstanceId, u64), u64>,
    /// Slot and instance of each request that was granted one.
    grants: BTreeMap<u64, (GrantId, InstanceId)>,
    next: usize,
}

impl Policy {
    pub(super) fn immediate(baseline: Box<dyn Baseline>) -> Policy {
        Policy::Immediate(baseline)
    }

    pub(super) fn fleet(scenario: &Scenario) -> Policy {
        let address = "127.0.0.1:9".parse().expect("address");
        let addresses = vec![address; scenario.workload.engines];
        let limits = Limits {
            multiple: LOAD_MULTIPLE,
            slots: SLOTS as u32,
            cold_slots: COLD_SLOTS as u32,
            ramp_step: RAMP_STEP as u32,
            queue: 64,
            queue_time: MAX_FIRST_WAIT,
            ..Limits::default()
        };
        let workspaces = (0..scenario.workload.workspaces)
            .map(|i| test_fleet::workspace(&format!("w{i}"), 1))
            .collect();
        let document =
            test_fleet::document("pool", ServiceKind::Engine, limits, &addresses, workspaces);
        let mut net = Net::with_instances(scenario.instances, scenario.seed, Faults::default());
        net.apply_document(&document, 1);
        Policy::Fleet(Box::new(Fleet {
            net,
            waiting: BTreeMap::new(),
            grants: BTreeMap::new(),
            next: 0,
        }))
    }
}

impl Fleet {
    /// Submits a request to the first instance that a lookup returns, or, for one
    /// request in ten, to another one, as with a stale lookup.
    fn submit(&mut self, request: &Request) {
        let ids = self.net.instances();
        self.next += 1;
        let stale = self.next.is_multiple_of(10);
        let located = self.net.node(&ids[0]).locate("pool", request.chat, 1);
        let home = located.first().map(|l| l.0.clone());
        let entry = match home {
            Some(home) if !stale => home,
            _ => ids[self.next % ids.len()].clone(),
        };
        self.waiting.insert((entry.clone(), request.id), request.id);
        let event = Event::RequestSlot {
            id: request.id,
            service: "pool".into(),
            workspace: format!("w{}", request.workspace).into(),
            chat: request.chat,
            digest: request.id,
            priority: 5,
            wait: MAX_FIRST_WAIT,
            avoid: Vec::new(),
            retry: false,
        };
        self.net.handle_event(&entry, event);
    }

    /// Releases the slot of a request that has ended.
    fn release(&mut self, ended: &Finished) {
        let Some((grant, entry)) = self.grants.remove(&ended.request.id) else {
            return;
        };
        let tokens = ended.request.prompt + ended.request.response;
        let release = Release {
            grant,
            service: "pool".into(),
            chat: ended.request.chat,
            location: CacheLocation {
                target: format!("pool-{}", ended.engine).into(),
                tokens: if ended.complete { tokens as u32 } else { 0 },
            },
            complete: ended.complete,
            refused: !ended.complete,
            first_ms: None,
        };
        let event = Event::AttemptEnded {
            release,
            digest: ended.request.id,
            crashed: false,
        };
        self.net.handle_event(&entry, event);
    }

    /// Passes the reported loads to every instance that polls the engines.
    fn report_loads(&mut self, model: &Model, loads: &[Option<usize>]) {
        for id in self.net.instances() {
            for poll in self.net.node(&id).poll_targets() {
                let index = poll.target.rsplit('-').next().and_then(|i| i.parse().ok());
                let index: usize = index.unwrap_or(0);
                let engine = &model.engines[index];
                let event = match loads[index] {
                    Some(running) => Event::LoadReport {
                        service: poll.service,
                        target: poll.target,
                        report: LoadReport {
                            boot: engine.boot,
                            running: running as u32,
                            completed: engine.completed,
                            cached: 0,
                        },
                    },
                    None => Event::TargetUnreachable {
                        service: poll.service,
                        target: poll.target,
                    },
                };
                self.net.handle_event(&id, event);
            }
        }
    }

    /// Takes the decided requests, each with its engine or, if it was refused, `None`.
    fn outcomes(&mut self) -> Vec<(u64, Option<usize>)> {
        let mut outcomes = Vec::new();
        for issued in self.net.take_commands() {
            match issued.command {
                Command::Granted {
                    request,
                    grant,
                    target,
                    ..
                } => {
                    self.waiting.remove(&(issued.instance.clone(), request));
                    self.grants.insert(request, (grant, issued.instance));
                    let engine = target.rsplit('-').next().and_then(|i| i.parse().ok());
                    outcomes.push((request, engine));
                }
                Command::Denied { request, .. } => {
                    self.waiting.remove(&(issued.instance, request));
                    outcomes.push((request, None));
                }
                _ => {}
            }
        }
        outcomes
    }
}

/// Totals of the measured part of a run.
#[derive(Default)]
struct Totals {
    arrived: u64,
    refused: u64,
    good: u64,
    others: u64,
    others_arrived: u64,
    returning: u64,
    cached: u64,
    firsts: Vec<Duration>,
    skew: f64,
    samples: u64,
    cold_excess: u64,
    bound_excess: usize,
    placed: u64,
}

impl Scenario {
    /// Runs a policy and returns its figures.
    pub(super) fn run(&self, policy: &mut Policy) -> Figures {
        let mut model = Model::new(self.workload.clone(), self.seed);
        let mut totals = Totals::default();
        let warm = self.time.mul_f64(WARM_UP);
        let mut poll_at = Time::ZERO;
        let mut lagged = loads(&model);
        let mut reported = lagged.clone();
        let mut outage: Vec<(Time, bool)> = match self.outage {
            Some((_, out, back)) => vec![(back, true), (out, false)],
            None => Vec::new(),
        };
        while model.now < self.time {
            let next_model = model.next_due().unwrap_or(self.time);
            let next_net = match policy {
                Policy::Fleet(fleet) => fleet.net.next_due().unwrap_or(self.time),
                Policy::Immediate(_) => self.time,
            };
            let next_outage = outage.last().map_or(self.time, |o| o.0);
            let next = next_model.min(next_net).min(poll_at).min(next_outage);
            if next >= self.time {
                break;
            }
            if let Policy::Fleet(fleet) = policy {
                fleet.net.run_until(next);
                model.now = next;
                place_outcomes(fleet, &mut model, &mut totals, next >= warm);
            }
            if next == poll_at {
                model.now = next;
                // Reports the loads of the previous poll, since reports lag.
                reported.clone_from(&lagged);
                if let Policy::Fleet(fleet) = policy {
                    fleet.report_loads(&model, &reported);
                }
                lagged = loads(&model);
                poll_at = next
                    + if POLL_INTERVAL > REPORT_LAG {
                        POLL_INTERVAL
                    } else {
                        REPORT_LAG
                    };
                if next >= warm {
                    totals.sample(&model);
                }
            }
            if next == next_outage
                && let Some((_, is_up)) = outage.pop()
                && let Some((engine, _, _)) = self.outage
            {
                model.now = next;
                for ended in model.set_available(engine, is_up) {
                    if let Policy::Fleet(fleet) = policy {
                        fleet.release(&ended);
                    }
                }
                lagged = loads(&model);
            }
            if next == next_model {
                let (arrived, ended) = model.step();
                if let Some(request) = arrived {
                    let is_counted = next >= warm && next + TAIL < self.time;
                    totals.arrived += u64::from(is_counted);
                    totals.others_arrived += u64::from(is_counted && request.workspace != 0);
                    arrive(
                        policy,
                        &mut model,
                        &request,
                        &reported,
                        &mut totals,
                        next >= warm,
                    );
                }
                if let Some(ended) = ended {
                    if ended.request.at >= warm && ended.request.at + TAIL < self.time {
                        totals.count(&ended);
                    }
                    if let Policy::Fleet(fleet) = policy {
                        fleet.release(&ended);
                    }
                }
            }
            if let Policy::Fleet(fleet) = policy {
                place_outcomes(fleet, &mut model, &mut totals, next >= warm);
            }
        }
        self.figures(&totals, policy)
    }

    fn figures(&self, totals: &Totals, policy: &Policy) -> Figures {
        let measured = self.time.as_secs_f64() * (1.0 - WARM_UP) - TAIL.as_secs_f64();
        let mut firsts = totals.firsts.clone();
        firsts.sort();
        let p95 = firsts.get(firsts.len() * 95 / 100).copied();
        let (slot_bytes, control_bytes) = match policy {
            Policy::Fleet(fleet) => self.bytes(fleet),
            Policy::Immediate(_) => (0.0, 0.0),
        };
        Figures {
            reuse: totals.cached as f64 / totals.returning.max(1) as f64,
            skew: totals.skew / totals.samples.max(1) as f64,
            first_p95_ms: p95.unwrap_or_default().as_secs_f64() * 1e3,
            completed: totals.good as f64 / totals.arrived.max(1) as f64,
            goodput: totals.good as f64 / measured,
            others_completed: totals.others as f64 / totals.others_arrived.max(1) as f64,
            refused: totals.refused,
            cold_excess: totals.cold_excess,
            bound_excess: totals.bound_excess,
            slot_bytes,
            control_bytes,
        }
    }

    /// Returns the bytes of slot messages per grant, and of all messages per
    /// second and instance.
    fn bytes(&self, fleet: &Fleet) -> (f64, f64) {
        let sent = fleet.net.sent();
        let bytes_of =
            |kinds: &[&str]| -> u64 { kinds.iter().filter_map(|k| sent.get(k)).map(|s| s.1).sum() };
        let slots = bytes_of(&["ask", "grant", "deny", "queued", "cancel", "release"]);
        let all: u64 = sent.values().map(|s| s.1).sum();
        let grants: u64 = fleet
            .net
            .instances()
            .iter()
            .map(|id| fleet.net.node(id).counters().grants)
            .sum();
        let per_second = all as f64 / self.time.as_secs_f64() / self.instances as f64;
        (slots as f64 / grants.max(1) as f64, per_second)
    }
}

/// Load of each engine, `None` for one that is down.
fn loads(model: &Model) -> Vec<Option<usize>> {
    let engines = model.engines.iter();
    engines.map(|e| e.is_available.then(|| e.load())).collect()
}

/// Passes a request that arrives to the policy.
fn arrive(
    policy: &mut Policy,
    model: &mut Model,
    request: &Request,
    reported: &[Option<usize>],
    totals: &mut Totals,
    is_measured: bool,
) {
    match policy {
        Policy::Fleet(fleet) => fleet.submit(request),
        Policy::Immediate(baseline) => {
            let view = View {
                engines: &model.engines,
                reported_loads: reported,
            };
            let chosen = baseline.choose(request, &view);
            place(model, request.id, chosen, totals, is_measured);
        }
    }
}

/// Places the requests that the fleet has decided on.
fn place_outcomes(fleet: &mut Fleet, model: &mut Model, totals: &mut Totals, is_measured: bool) {
    for (id, engine) in fleet.outcomes() {
        place(model, id, engine, totals, is_measured);
        let is_down = engine.is_some_and(|e| !model.engines[e].is_available);
        if is_down {
            // The engine is down and refuses the connection, so the slot is released.
            if let Some((grant, entry)) = fleet.grants.remove(&id) {
                let target = format!("pool-{}", engine.unwrap_or(0)).into();
                let mut release = Release::unused(grant, "pool".into(), target);
                release.refused = true;
                let event = Event::AttemptEnded {
                    release,
                    digest: id,
                    crashed: false,
                };
                fleet.net.handle_event(&entry, event);
            }
        }
    }
}

/// Places a request on an engine or refuses it, and checks the limits.
fn place(
    model: &mut Model,
    id: u64,
    engine: Option<usize>,
    totals: &mut Totals,
    is_measured: bool,
) {
    let Some(engine) = engine.filter(|e| model.engines[*e].is_available) else {
        totals.refused += u64::from(is_measured);
        return model.refuse(id);
    };
    model.place(id, engine);
    if !is_measured {
        return;
    }
    totals.placed += 1;
    let chosen = &model.engines[engine];
    let is_cold = chosen.capacity() < SLOTS;
    if is_cold && chosen.load() > chosen.capacity() {
        totals.cold_excess += 1;
    }
    let up = model.engines.iter().filter(|e| e.is_available);
    let (load, capacity) = up.fold((0, 0), |(l, b), e| (l + e.load(), b + e.capacity()));
    let mean = load as f64 / capacity.max(1) as f64 * chosen.capacity() as f64;
    let bound = (LOAD_MULTIPLE * mean) as usize + 1;
    totals.bound_excess = totals.bound_excess.max(chosen.load().saturating_sub(bound));
}

impl Totals {
    /// Counts a request that has ended.
    fn count(&mut self, ended: &Finished) {
        if !ended.complete {
            return;
        }
        self.returning += ended.request.returning;
        self.cached += ended.cached.min(ended.request.returning);
        self.firsts.push(ended.first);
        if ended.first <= MAX_FIRST_WAIT + Duration::from_secs(3) {
            self.good += 1;
            self.others += u64::from(ended.request.workspace != 0);
        }
    }

    /// Samples the skew of the load over the warm engines.
    fn sample(&mut self, model: &Model) {
        let warm = model
            .engines
            .iter()
            .filter(|e| e.is_available && e.capacity() == SLOTS);
        let loads: Vec<usize> = warm.map(super::model::Engine::load).collect();
        let total: usize = loads.iter().sum();
        if total == 0 {
            return;
        }
        let mean = total as f64 / loads.len() as f64;
        let highest = loads.iter().copied().max().unwrap_or(0);
        self.skew += highest as f64 / mean;
        self.samples += 1;
    }
}
