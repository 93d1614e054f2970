//! `bench soak`: the built binary as real processes under random faults.
//!
//! A seed determines the faults, which may overlap: faults of the store, faults
//! of connections (by loopback proxies), signals to processes, and planned
//! changes. Callers keep their connections open. The checks compare what callers
//! and targets recorded with the guarantees of briargap; they read no state of
//! the instances. The processes use the machine's clock, which a run can't
//! change, so a paused process stands in for a clock that jumps.

mod caller;
mod checks;
mod plan;
mod proxy;
mod regressions;
mod testbed;

pub use caller::{Call, Kind, STREAM_EVENTS};
pub use checks::{Observations, check};
pub use testbed::{Keys, MAX_KEY_AGE, Run};

use crate::child::binary;
use bpaf::Bpaf;
use caller::CallerContext;
use plan::Step;
use serde_json::json;
use standin::caller::is_ready;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use testbed::Testbed;

/// Options of `bench soak`.
#[derive(Clone, Debug, Bpaf)]
pub struct SoakOptions {
    #[bpaf(external(binary))]
    binary: PathBuf,
    /// First seed
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Runs, each with the next seed
    #[bpaf(long, argument("COUNT"), fallback(1), display_fallback)]
    runs: u64,
    /// Run the seeds that once failed in place of others
    #[bpaf(long)]
    cases: bool,
    /// Minutes of faults in each run
    #[bpaf(long, argument("MINUTES"), fallback(0.5), display_fallback)]
    minutes: f64,
    /// Instances
    #[bpaf(long, argument("COUNT"), fallback(4), display_fallback)]
    instances: usize,
    /// Targets
    #[bpaf(long, argument("COUNT"), fallback(5), display_fallback)]
    targets: usize,
    /// Callers at once
    #[bpaf(long, argument("COUNT"), fallback(12), display_fallback)]
    callers: usize,
}

/// Time limit for all instances to become ready, at the start and after the faults.
const READY_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit of one readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Settling time after the last fault, and the length of the period after it
/// in which every request must succeed.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time after the removal of a target's entry from which it may get no request.
const REMOVAL_TIME: Duration = Duration::from_secs(3);
/// Interval at which processes, due faults and readiness are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs each seed and prints a line of JSON for it.
///
/// Exits with 1 if a check of any seed failed, and with 2 if a run could not
/// start.
pub fn run(options: &SoakOptions) -> ExitCode {
    let mut broken = 0;
    let seeds: Vec<u64> = if options.cases {
        regressions::SEEDS.iter().map(|(seed, _)| *seed).collect()
    } else {
        (options.seed..options.seed + options.runs).collect()
    };
    for seed in &seeds {
        match run_seed(options, *seed) {
            Ok(findings) => broken += u64::from(!findings.is_empty()),
            Err(e) => {
                eprintln!("seed {seed}: {e}");
                return ExitCode::from(2);
            }
        }
    }
    if broken == 0 {
        return ExitCode::SUCCESS;
    }
    eprintln!("{broken} of {} seeds broke a promise", seeds.len());
    ExitCode::FAILURE
}

fn run_seed(options: &SoakOptions, seed: u64) -> std::io::Result<Vec<String>> {
    let time = Duration::from_secs_f64(options.minutes * 60.0);
    let mut testbed = Testbed::start(&options.binary, seed, options.instances, options.targets)?;
    let steps = plan::draw(seed, time, options.instances, options.targets);
    let context = CallerContext {
        directories: testbed.directories(),
        keys: testbed.keys.clone(),
        calls: Mutex::default(),
        is_over: AtomicBool::new(false),
    };
    let mut findings = wait_ready(&testbed, "RECOVER: not ready after the start");
    let mut unplanned = Vec::new();
    std::thread::scope(|scope| {
        for index in 0..options.callers {
            let context = &context;
            scope.spawn(move || caller::run(context, seed, index));
        }
        unplanned = inject(&mut testbed, &steps);
        findings.extend(check_recovery(&mut testbed, &context));
        context.is_over.store(true, Ordering::Relaxed);
    });
    testbed.stop();
    let calls = context.calls.into_inner().expect("calls");
    let runs = testbed.runs.lock().expect("runs").clone();
    findings.extend(check(&Observations {
        calls: &calls,
        runs: &runs,
        keys: &testbed.keys,
        unplanned: &unplanned,
    }));
    findings.append(&mut testbed.findings);
    let served = calls.iter().filter(|c| c.response.status == 200);
    let line = json!({
        "seed": seed, "faults": steps.len(), "calls": calls.len(), "served": served.count(),
        "runs": runs.len(), "findings": findings,
    });
    println!("{line}");
    if !findings.is_empty() {
        let plan: Vec<String> = steps.iter().map(|s| format!("{s:?}")).collect();
        eprintln!(
            "seed {seed}: logs in {}\n{}",
            testbed.keep_logs(),
            plan.join("\n")
        );
    }
    Ok(findings)
}

/// Injects the faults at their times; returns the start and end of each unplanned one.
fn inject(testbed: &mut Testbed, steps: &[Step]) -> Vec<(Instant, Instant)> {
    let started = Instant::now();
    let mut pending = steps.iter().peekable();
    let mut active: Vec<(Duration, Step, Instant)> = Vec::new();
    let mut unplanned = Vec::new();
    while pending.peek().is_some() || !active.is_empty() {
        std::thread::sleep(POLL_INTERVAL);
        let now = started.elapsed();
        testbed.check_processes();
        while let Some(step) = pending.next_if(|s| s.at <= now) {
            let since = Instant::now();
            testbed.start_fault(step.fault);
            active.push((step.at + step.lasts, *step, since));
        }
        active.retain(|(until, step, since)| {
            let continues = *until > now;
            if !continues {
                testbed.end_fault(step.fault);
                if !step.fault.is_planned() {
                    unplanned.push((*since, Instant::now()));
                }
            }
            continues
        });
    }
    unplanned
}

/// Checks that the instances recover after the faults: all become ready, every
/// request with the current key succeeds, and a removed target gets none.
fn check_recovery(testbed: &mut Testbed, context: &CallerContext) -> Vec<String> {
    let started = Instant::now();
    while started.elapsed() < RECOVERY_TIME {
        std::thread::sleep(POLL_INTERVAL);
        testbed.check_processes();
    }
    let mut findings = wait_ready(testbed, "RECOVER: not ready after the faults");
    let since = Instant::now();
    std::thread::sleep(RECOVERY_TIME);
    let (key, _) = context.keys.current();
    let calls = context.calls.lock().expect("calls");
    let late = calls
        .iter()
        .filter(|c| c.sent > since && c.key_index == key);
    let failed = late.filter(|c| c.response.status != 200 && !(c.reused && c.response.status == 0));
    findings.extend(failed.map(|c| format!("RECOVER: {} got {:?}", c.id, c.response)));
    drop(calls);
    testbed.remove_target(0);
    std::thread::sleep(REMOVAL_TIME);
    let removed_at = Instant::now();
    std::thread::sleep(Duration::from_secs(1));
    let runs = testbed.runs.lock().expect("runs");
    let late = runs.iter().filter(|r| r.target == 0 && r.at > removed_at);
    findings.extend(late.map(|r| format!("GONE: {r:?}")));
    findings
}

/// Waits until all instances are ready; returns a finding for each that is not.
fn wait_ready(testbed: &Testbed, what: &str) -> Vec<String> {
    let until = Instant::now() + READY_TIMEOUT;
    let mut unready = testbed.readiness_addresses();
    while !unready.is_empty() && Instant::now() < until {
        unready.retain(|address| !is_ready(*address, PROBE_TIMEOUT));
        std::thread::sleep(POLL_INTERVAL);
    }
    unready.iter().map(|a| format!("{what}: {a}")).collect()
}
