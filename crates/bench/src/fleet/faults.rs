//! Faults that `bench fleet` injects, and the invariants that hold under them.

use super::load::{Load, Outcome};
use super::report::CaseResult;
use super::{Deployment, SLOTS};
use crate::client::Caller;
use crate::standin::{EngineFaults, PlatformFaults};
use crate::test_fleet;
use decision::DrainKey;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a drained failure domain gets no new requests.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Fault that a case injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// An engine crashes and starts again.
    EngineCrash,
    /// An engine crashes twice.
    EngineFlap,
    /// An engine loses its cache and is cold.
    EngineCold,
    /// An instance is killed and starts only at the end of the case.
    InstanceKilled,
    /// The process of an instance is stopped for a time.
    InstancePaused,
    /// An instance is killed and starts again at once.
    InstanceReplaced,
    /// The store rejects all calls.
    StoreDown,
    /// The store responds late.
    StoreSlow,
    /// The store applies every third write without a response.
    StoreLossy,
    /// Operators drain a failure domain, and return it midway.
    DomainDrained,
    /// The next streams of each engine stall after some events.
    SilentStreams,
    /// A request crashes every engine that it runs on.
    Poison,
    /// The request rate is doubled for the whole case.
    Surge,
    /// Two operators change one document at the same time.
    RacingOperators,
}

/// What the injected faults leave to be undone or checked at the end of a case.
#[derive(Default)]
struct FaultState {
    /// Index of the process that is paused.
    paused: Option<usize>,
    /// Indices of the processes to start again.
    killed: Vec<usize>,
    /// Time at which a failure domain was drained, on the clock of each engine.
    drained_at: Vec<u64>,
    /// Time at which its drain ended, on the clock of each engine.
    returned_at: Vec<u64>,
}

impl Fault {
    /// All faults.
    pub(super) const ALL: [Fault; 14] = [
        Fault::EngineCrash,
        Fault::EngineFlap,
        Fault::EngineCold,
        Fault::InstanceKilled,
        Fault::InstancePaused,
        Fault::InstanceReplaced,
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::StoreLossy,
        Fault::DomainDrained,
        Fault::SilentStreams,
        Fault::Poison,
        Fault::Surge,
        Fault::RacingOperators,
    ];

    /// Returns the name on the command line and in reports.
    pub(super) fn name(self) -> &'static str {
        match self {
            Fault::EngineCrash => "engine-crash",
            Fault::EngineFlap => "engine-flap",
            Fault::EngineCold => "engine-cold",
            Fault::InstanceKilled => "instance-killed",
            Fault::InstancePaused => "instance-paused",
            Fault::InstanceReplaced => "instance-replaced",
            Fault::StoreDown => "store-down",
            Fault::StoreSlow => "store-slow",
            Fault::StoreLossy => "store-lossy",
            Fault::DomainDrained => "domain-out",
            Fault::SilentStreams => "silent-streams",
            Fault::Poison => "poison",
            Fault::Surge => "surge",
            Fault::RacingOperators => "racing-operators",
        }
    }

    /// Injects the fault.
    fn inject(self, deployment: &mut Deployment, state: &mut FaultState) {
        let engines = &deployment.engines;
        match self {
            Fault::EngineCrash | Fault::EngineFlap => engines[1].crash(true),
            Fault::EngineCold => engines[2].reset_cold(),
            Fault::InstanceKilled => {
                deployment.processes[4].kill();
                state.killed.push(4);
            }
            Fault::InstancePaused => {
                deployment.processes[5].signal("STOP");
                state.paused = Some(5);
            }
            Fault::InstanceReplaced => {
                deployment.processes[6].kill();
                deployment.processes[6].start();
            }
            Fault::StoreDown => deployment.platform.set_faults(PlatformFaults {
                down: true,
                ..PlatformFaults::default()
            }),
            Fault::StoreSlow => deployment.platform.set_faults(PlatformFaults {
                slow_ms: 700,
                ..PlatformFaults::default()
            }),
            Fault::StoreLossy => deployment.platform.set_faults(PlatformFaults {
                lose_every: 3,
                ..PlatformFaults::default()
            }),
            Fault::DomainDrained => {
                let key = DrainKey::Domain(deployment.domains[0].into());
                let _ = deployment.processes[1]
                    .operator_client()
                    .set_drained(&key, true);
                state.drained_at = engines
                    .iter()
                    .map(crate::standin::Engine::elapsed_ms)
                    .collect();
            }
            Fault::SilentStreams => {
                for engine in engines {
                    engine.set_faults(EngineFaults {
                        silent: 3,
                        silent_after: 6,
                        ..EngineFaults::default()
                    });
                }
            }
            Fault::Poison => send_poison(deployment),
            Fault::Surge => {}
            Fault::RacingOperators => race_operators(deployment),
        }
    }

    /// Changes or ends the fault while the load still runs.
    fn change_midway(self, deployment: &mut Deployment, state: &mut FaultState) {
        match self {
            Fault::EngineFlap => deployment.engines[1].crash(true),
            Fault::StoreDown | Fault::StoreSlow | Fault::StoreLossy => {
                deployment.platform.set_faults(PlatformFaults::default());
            }
            Fault::DomainDrained => {
                let engines = deployment.engines.iter();
                state.returned_at = engines.map(crate::standin::Engine::elapsed_ms).collect();
                let key = DrainKey::Domain(deployment.domains[0].into());
                let _ = deployment.processes[2]
                    .operator_client()
                    .set_drained(&key, false);
            }
            _ => {}
        }
    }
}

/// Sends a request that crashes every engine it runs on, several times.
fn send_poison(deployment: &Deployment) {
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            crash_on: Some("crash the engine".to_owned()),
            ..EngineFaults::default()
        });
    }
    let addresses = deployment.caller_addrs();
    std::thread::spawn(move || {
        let caller = Caller::new(&test_fleet::key("w4")).with_timeout(Duration::from_secs(10));
        let messages = json!([{ "role": "user", "content": "crash the engine" }]);
        for address in addresses.iter().cycle().take(10) {
            caller.chat(*address, "assistant", "poison", &messages);
        }
    });
}

/// Changes the same document through two instances at the same time.
fn race_operators(deployment: &Deployment) {
    for process in deployment.processes.iter().take(2) {
        let client = process.operator_client();
        std::thread::spawn(move || {
            if let Ok(mut found) = client.document("assistant", None) {
                found.document.limits.queue += 1;
                let _ = client.apply(&found.document, found.version, false);
            }
        });
    }
}

/// Runs one case and checks its invariants.
///
/// The faults are injected after a quarter of the load's time and changed or
/// ended after a further third. At the end the deployment is restored.
pub(super) fn run_case(
    deployment: &mut Deployment,
    load: &Arc<Load>,
    faults: &[Fault],
    rate: f64,
    time: Duration,
    seed: u64,
) -> CaseResult {
    let names: Vec<&str> = faults.iter().map(|f| f.name()).collect();
    let crashes_before = crash_count(deployment);
    let rate = if faults.contains(&Fault::Surge) {
        rate * 2.0
    } else {
        rate
    };
    let running = {
        let load = load.clone();
        std::thread::spawn(move || load.run(rate, time, seed))
    };
    let mut state = FaultState::default();
    std::thread::sleep(time / 4);
    for fault in faults {
        fault.inject(deployment, &mut state);
    }
    std::thread::sleep(time / 3);
    for fault in faults {
        fault.change_midway(deployment, &mut state);
    }
    if let Some(i) = state.paused {
        // The pause lasts at least 15 s, the lease time that the requirements assume,
        // however short the load is.
        std::thread::sleep(Duration::from_secs(15).saturating_sub(time / 3));
        deployment.processes[i].signal("CONT");
    }
    let outcomes = running.join().unwrap_or_default();
    let mut result = CaseResult::new(&names.join(" + "), &outcomes, time);
    check_invariants(deployment, &outcomes, &mut result);
    check_drained_domain(deployment, &state, &mut result);
    // A request is quarantined at its second crash.
    let max_crashes = if faults.contains(&Fault::Poison) {
        2
    } else {
        0
    };
    if faults == [Fault::Poison] && crash_count(deployment) - crashes_before > max_crashes {
        result.violations.push(format!(
            "a request crashed {} engines",
            crash_count(deployment) - crashes_before
        ));
    }
    for i in state.killed {
        deployment.processes[i].start();
    }
    deployment.platform.set_faults(PlatformFaults::default());
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults::default());
    }
    for process in &mut deployment.processes {
        if !process.is_running() {
            result
                .violations
                .push(format!("{} has ended", process.listing.id));
            process.start();
        }
    }
    // Lets the fleet recover before the next case.
    std::thread::sleep(Duration::from_secs(5));
    for engine in &deployment.engines {
        engine.warm_up();
    }
    result
}

/// Returns the number of crashes of all engines so far.
fn crash_count(deployment: &Deployment) -> u64 {
    deployment.engines.iter().map(|e| e.records().crashes).sum()
}

/// Checks outcomes against the records of the stand-ins.
///
/// A complete response has the right text, no order runs twice, an order that was
/// reported as not run did not run, and one that was reported as done ran. Engines
/// that held more requests than they have slots are counted in `over_slots`.
pub(super) fn check_invariants(
    deployment: &Deployment,
    outcomes: &[Outcome],
    result: &mut CaseResult,
) {
    let records: Vec<_> = deployment
        .services
        .iter()
        .map(crate::standin::Service::records)
        .collect();
    let runs = |body: &str| -> u32 { records.iter().filter_map(|r| r.runs.get(body)).sum() };
    for outcome in outcomes {
        if outcome.has_wrong_text {
            result
                .violations
                .push("an answer told whole is not right".to_owned());
        }
        let Some((body, reported_not_run)) = &outcome.order else {
            continue;
        };
        match runs(body) {
            n if n > 1 => result.violations.push(format!("{body} ran {n} times")),
            n if n > 0 && *reported_not_run => {
                result
                    .violations
                    .push(format!("{body} ran, but was told not run"));
            }
            0 if outcome.is_complete => result.violations.push(format!("{body} was told done")),
            _ => {}
        }
    }
    for engine in &deployment.engines {
        let held = engine.records().held_peak;
        if held > SLOTS as usize {
            result.over_slots = result.over_slots.max(held - SLOTS as usize);
        }
    }
}

/// Checks that engines of a drained failure domain got no requests after `DRAIN_GRACE`.
fn check_drained_domain(deployment: &Deployment, state: &FaultState, result: &mut CaseResult) {
    let grace_ms = DRAIN_GRACE.as_millis() as u64;
    for (i, (drained, returned)) in state.drained_at.iter().zip(&state.returned_at).enumerate() {
        if !i.is_multiple_of(deployment.domains.len()) {
            continue;
        }
        let runs = deployment.engines[i].records().runs;
        let late = runs
            .iter()
            .filter(|r| r.at_ms > drained + grace_ms && r.at_ms < *returned);
        let late = late.count();
        if late > 0 {
            result.violations.push(format!(
                "{late} requests to engine {i}, whose domain is out"
            ));
        }
    }
}
