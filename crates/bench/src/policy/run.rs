//! One run of a policy over the model.

use super::choosers::{Chooser, MULTIPLE, View};
use super::model::{
    COLD_SLOTS, Finished, Model, PATIENCE, RAMP_STEP, Request, SLOTS, Time, Workload,
};
use crate::kit;
use crate::net::{Faults, Net};
use decision::{
    CacheLocation, Command, Event, GrantId, InstanceId, Limits, LoadReport, Release, ServiceKind,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which reports are read.
const POLL: Duration = Duration::from_millis(500);
/// Age of a report as it is read.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Last part of a run, whose requests may not end within it.
const TAIL: Duration = Duration::from_secs(20);
/// Part of a run that is not measured, while caches fill.
const WARM_UP: f64 = 0.25;
/// Requests by which a load may pass the bound because stewards' loads reach
/// each other with a delay: one for an ask that every target denied, and the
/// change of a load that is not told yet, a sixth of it.
pub(super) const LAG_EXCESS: usize = 1 + SLOTS / 6 + 1;

/// One scenario.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    pub(super) name: String,
    pub(super) workload: Workload,
    pub(super) instances: usize,
    /// Engine that leaves, when, and when it is back.
    pub(super) outage: Option<(usize, Time, Time)>,
    pub(super) time: Time,
    pub(super) seed: u64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Returning prompt tokens that came from a cache, over all returning ones.
    pub reuse: f64,
    /// Highest load over the mean, on average over time.
    pub skew: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_p95_ms: f64,
    /// Requests completed within patience, over all that came.
    pub completed: f64,
    /// Requests a second completed within patience.
    pub goodput: f64,
    /// Requests completed over those that came, of all workspaces but the first.
    pub others_completed: f64,
    /// Requests refused.
    pub refused: u64,
    /// Placements beyond what a cold engine bears.
    pub cold_excess: u64,
    /// Most requests of an engine beyond the multiple of the mean and one.
    pub bound_excess: usize,
    /// Control bytes of asking, granting and releasing, for each placement.
    pub slot_bytes: f64,
    /// Control bytes of all kinds a second, for each instance.
    pub control_bytes: f64,
}

/// A policy under measurement.
pub enum Placer {
    /// Chooses at once.
    AtOnce(Box<dyn Chooser>),
    /// Decision states that exchange messages.
    Fleet(Box<Fleet>),
}

/// The fleet's decision states.
pub struct Fleet {
    net: Net,
    asks: BTreeMap<(InstanceId, u64), u64>,
    grants: BTreeMap<u64, (GrantId, InstanceId)>,
    next: usize,
}

impl Placer {
    pub(super) fn at_once(chooser: Box<dyn Chooser>) -> Placer {
        Placer::AtOnce(chooser)
    }

    pub(super) fn fleet(scenario: &Scenario) -> Placer {
        let address = "127.0.0.1:9".parse().expect("address");
        let addresses = vec![address; scenario.workload.engines];
        let limits = Limits {
            multiple: MULTIPLE,
            slots: SLOTS as u32,
            cold_slots: COLD_SLOTS as u32,
            ramp_step: RAMP_STEP as u32,
            queue: 64,
            queue_time: PATIENCE,
            ..Limits::default()
        };
        let workspaces = (0..scenario.workload.workspaces)
            .map(|i| kit::workspace(&format!("w{i}"), 1))
            .collect();
        let document = kit::document("pool", ServiceKind::Engine, limits, &addresses, workspaces);
        let mut net = Net::with_instances(scenario.instances, scenario.seed, Faults::default());
        net.accept(&document, 1);
        Placer::Fleet(Box::new(Fleet {
            net,
            asks: BTreeMap::new(),
            grants: BTreeMap::new(),
            next: 0,
        }))
    }
}

impl Fleet {
    /// A request comes to the first instance that its lookup names; one in ten
    /// comes to another one, with a stale lookup.
    fn ask(&mut self, request: &Request) {
        let ids = self.net.instances();
        self.next += 1;
        let stale = self.next.is_multiple_of(10);
        let located = self.net.node(&ids[0]).locate("pool", request.chat, 1);
        let home = located.first().map(|l| l.0.clone());
        let entry = match home {
            Some(home) if !stale => home,
            _ => ids[self.next % ids.len()].clone(),
        };
        self.asks.insert((entry.clone(), request.id), request.id);
        let event = Event::RequestSlot {
            id: request.id,
            service: "pool".into(),
            workspace: format!("w{}", request.workspace).into(),
            chat: request.chat,
            digest: request.id,
            priority: 5,
            wait: PATIENCE,
            avoid: Vec::new(),
            retry: false,
        };
        self.net.hand(&entry, event);
    }

    fn finished(&mut self, ended: &Finished) {
        let Some((grant, entry)) = self.grants.remove(&ended.request.id) else {
            return;
        };
        let tokens = ended.request.prompt + ended.request.answer;
        let release = Release {
            grant,
            service: "pool".into(),
            chat: ended.request.chat,
            location: CacheLocation {
                target: format!("pool-{}", ended.engine).into(),
                tokens: if ended.whole { tokens as u32 } else { 0 },
            },
            complete: ended.whole,
            refused: !ended.whole,
            first_ms: None,
        };
        let event = Event::AttemptEnded {
            release,
            digest: ended.request.id,
            crashed: false,
        };
        self.net.hand(&entry, event);
    }

    fn report(&mut self, model: &Model, loads: &[Option<usize>]) {
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
                self.net.hand(&id, event);
            }
        }
    }

    /// Takes the outcomes of asks: the engine, or nothing where refused.
    fn outcomes(&mut self) -> Vec<(u64, Option<usize>)> {
        let mut outcomes = Vec::new();
        for said in self.net.take_said() {
            match said.command {
                Command::Granted {
                    request,
                    grant,
                    target,
                    ..
                } => {
                    self.asks.remove(&(said.instance.clone(), request));
                    self.grants.insert(request, (grant, said.instance));
                    let engine = target.rsplit('-').next().and_then(|i| i.parse().ok());
                    outcomes.push((request, engine));
                }
                Command::Denied { request, .. } => {
                    self.asks.remove(&(said.instance, request));
                    outcomes.push((request, None));
                }
                _ => {}
            }
        }
        outcomes
    }
}

/// Sums of one run.
#[derive(Default)]
struct Sums {
    came: u64,
    refused: u64,
    good: u64,
    others: u64,
    others_came: u64,
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
    /// Runs a policy and measures it.
    pub(super) fn run(&self, placer: &mut Placer) -> Figures {
        let mut model = Model::new(self.workload.clone(), self.seed);
        let mut sums = Sums::default();
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
            let next_net = match placer {
                Placer::Fleet(fleet) => fleet.net.next_due().unwrap_or(self.time),
                Placer::AtOnce(_) => self.time,
            };
            let next_outage = outage.last().map_or(self.time, |o| o.0);
            let next = next_model.min(next_net).min(poll_at).min(next_outage);
            if next >= self.time {
                break;
            }
            if let Placer::Fleet(fleet) = placer {
                fleet.net.run_until(next);
                model.now = next;
                settle(fleet, &mut model, &mut sums, next >= warm);
            }
            if next == poll_at {
                model.now = next;
                // What is read now is as old as the engine's lag.
                reported.clone_from(&lagged);
                if let Placer::Fleet(fleet) = placer {
                    fleet.report(&model, &reported);
                }
                lagged = loads(&model);
                poll_at = next + if POLL > REPORT_LAG { POLL } else { REPORT_LAG };
                if next >= warm {
                    sums.sample(&model);
                }
            }
            if next == next_outage
                && let Some((_, is_up)) = outage.pop()
                && let Some((engine, _, _)) = self.outage
            {
                model.now = next;
                for ended in model.set_up(engine, is_up) {
                    if let Placer::Fleet(fleet) = placer {
                        fleet.finished(&ended);
                    }
                }
                lagged = loads(&model);
            }
            if next == next_model {
                let (came, ended) = model.step();
                if let Some(request) = came {
                    let is_counted = next >= warm && next + TAIL < self.time;
                    sums.came += u64::from(is_counted);
                    sums.others_came += u64::from(is_counted && request.workspace != 0);
                    arrive(
                        placer,
                        &mut model,
                        &request,
                        &reported,
                        &mut sums,
                        next >= warm,
                    );
                }
                if let Some(ended) = ended {
                    if ended.request.at >= warm && ended.request.at + TAIL < self.time {
                        sums.count(&ended);
                    }
                    if let Placer::Fleet(fleet) = placer {
                        fleet.finished(&ended);
                    }
                }
            }
            if let Placer::Fleet(fleet) = placer {
                settle(fleet, &mut model, &mut sums, next >= warm);
            }
        }
        self.figures(&sums, placer)
    }

    fn figures(&self, sums: &Sums, placer: &Placer) -> Figures {
        let measured = self.time.as_secs_f64() * (1.0 - WARM_UP) - TAIL.as_secs_f64();
        let mut firsts = sums.firsts.clone();
        firsts.sort();
        let p95 = firsts.get(firsts.len() * 95 / 100).copied();
        let (slot_bytes, control_bytes) = match placer {
            Placer::Fleet(fleet) => self.bytes(fleet),
            Placer::AtOnce(_) => (0.0, 0.0),
        };
        Figures {
            reuse: sums.cached as f64 / sums.returning.max(1) as f64,
            skew: sums.skew / sums.samples.max(1) as f64,
            first_p95_ms: p95.unwrap_or_default().as_secs_f64() * 1e3,
            completed: sums.good as f64 / sums.came.max(1) as f64,
            goodput: sums.good as f64 / measured,
            others_completed: sums.others as f64 / sums.others_came.max(1) as f64,
            refused: sums.refused,
            cold_excess: sums.cold_excess,
            bound_excess: sums.bound_excess,
            slot_bytes,
            control_bytes,
        }
    }

    fn bytes(&self, fleet: &Fleet) -> (f64, f64) {
        let sent = fleet.net.sent();
        let of =
            |kinds: &[&str]| -> u64 { kinds.iter().filter_map(|k| sent.get(k)).map(|s| s.1).sum() };
        let slots = of(&["ask", "grant", "deny", "queued", "cancel", "release"]);
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

fn loads(model: &Model) -> Vec<Option<usize>> {
    let engines = model.engines.iter();
    engines.map(|e| e.is_up.then(|| e.load())).collect()
}

fn arrive(
    placer: &mut Placer,
    model: &mut Model,
    request: &Request,
    reported: &[Option<usize>],
    sums: &mut Sums,
    is_measured: bool,
) {
    match placer {
        Placer::Fleet(fleet) => fleet.ask(request),
        Placer::AtOnce(chooser) => {
            let view = View {
                engines: &model.engines,
                reported,
            };
            let chosen = chooser.choose(request, &view);
            place(model, request.id, chosen, sums, is_measured);
        }
    }
}

fn settle(fleet: &mut Fleet, model: &mut Model, sums: &mut Sums, is_measured: bool) {
    for (id, engine) in fleet.outcomes() {
        place(model, id, engine, sums, is_measured);
        let is_down = engine.is_some_and(|e| !model.engines[e].is_up);
        if is_down {
            // The connection is refused: the slot comes back at once.
            if let Some((grant, entry)) = fleet.grants.remove(&id) {
                let target = format!("pool-{}", engine.unwrap_or(0)).into();
                let mut release = Release::unused(grant, "pool".into(), target);
                release.refused = true;
                let event = Event::AttemptEnded {
                    release,
                    digest: id,
                    crashed: false,
                };
                fleet.net.hand(&entry, event);
            }
        }
    }
}

fn place(model: &mut Model, id: u64, engine: Option<usize>, sums: &mut Sums, is_measured: bool) {
    let Some(engine) = engine.filter(|e| model.engines[*e].is_up) else {
        sums.refused += u64::from(is_measured);
        return model.refuse(id);
    };
    model.place(id, engine);
    if !is_measured {
        return;
    }
    sums.placed += 1;
    let at = &model.engines[engine];
    let is_cold = at.bears() < SLOTS;
    if is_cold && at.load() > at.bears() {
        sums.cold_excess += 1;
    }
    let up = model.engines.iter().filter(|e| e.is_up);
    let (load, bears) = up.fold((0, 0), |(l, b), e| (l + e.load(), b + e.bears()));
    let mean = load as f64 / bears.max(1) as f64 * at.bears() as f64;
    let bound = (MULTIPLE * mean) as usize + 1;
    sums.bound_excess = sums.bound_excess.max(at.load().saturating_sub(bound));
}

impl Sums {
    fn count(&mut self, ended: &Finished) {
        if !ended.whole {
            return;
        }
        self.returning += ended.request.returning;
        self.cached += ended.cached.min(ended.request.returning);
        self.firsts.push(ended.first);
        if ended.first <= PATIENCE + Duration::from_secs(3) {
            self.good += 1;
            self.others += u64::from(ended.request.workspace != 0);
        }
    }

    fn sample(&mut self, model: &Model) {
        let warm = model
            .engines
            .iter()
            .filter(|e| e.is_up && e.bears() == SLOTS);
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
