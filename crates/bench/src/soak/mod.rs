//! `bench soak`: the built binary as real processes under random faults.
//!
//! Faults come from a seed, in series and overlapping: the store and the
//! connections through loopback proxies, signals, and planned changes. Callers
//! keep their connections open. What callers and targets saw is judged by the
//! promises; nothing is asked of the instances themselves. The clock is the
//! machine's and can't be set here: pauses of processes stand for it.

mod caller;
mod cases;
mod judge;
mod plan;
mod proxy;
mod world;

pub use caller::{Call, EVENTS, Kind};
pub use judge::{Evidence, judge};
pub use world::{KEY_AGE, Keys, Run};

use crate::child::binary;
use bpaf::Bpaf;
use caller::Field;
use plan::Step;
use serde_json::json;
use standin::caller::is_ready;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use world::World;

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

/// Time in which all instances are ready, at the start and after the faults.
const READY: Duration = Duration::from_secs(8);
/// Longest that one answer to whether an instance is ready takes.
const READY_ANSWER: Duration = Duration::from_secs(1);
/// Time after the faults in which requests must be served.
const CALM: Duration = Duration::from_secs(3);
/// Time after which a target whose entry is gone gets no request.
const GONE: Duration = Duration::from_secs(3);
/// Interval of looks at the processes.
const LOOK: Duration = Duration::from_millis(20);

/// Runs the seeds; a line of JSON for each, and a failure if any broke a
/// promise.
pub fn run(options: &SoakOptions) -> ExitCode {
    let mut broken = 0;
    let seeds: Vec<u64> = if options.cases {
        cases::CASES.iter().map(|(seed, _)| *seed).collect()
    } else {
        (options.seed..options.seed + options.runs).collect()
    };
    for seed in &seeds {
        match soak(options, *seed) {
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

fn soak(options: &SoakOptions, seed: u64) -> std::io::Result<Vec<String>> {
    let time = Duration::from_secs_f64(options.minutes * 60.0);
    let mut world = World::start(&options.binary, seed, options.instances, options.targets)?;
    let steps = plan::draw(seed, time, options.instances, options.targets);
    let field = Field {
        directories: world.directories(),
        keys: world.keys.clone(),
        calls: Mutex::default(),
        is_over: AtomicBool::new(false),
    };
    let mut findings = ready(&world, "RECOVER: not ready after the start");
    let mut unplanned = Vec::new();
    std::thread::scope(|scope| {
        for name in 0..options.callers {
            let field = &field;
            scope.spawn(move || caller::run(field, seed, name));
        }
        unplanned = play(&mut world, &steps);
        findings.extend(calm(&mut world, &field));
        field.is_over.store(true, Ordering::Relaxed);
    });
    world.stop();
    let calls = field.calls.into_inner().expect("calls");
    let runs = world.runs.lock().expect("runs").clone();
    findings.extend(judge(&Evidence {
        calls: &calls,
        runs: &runs,
        keys: &world.keys,
        unplanned: &unplanned,
    }));
    findings.append(&mut world.findings);
    let served = calls.iter().filter(|c| c.answer.status == 200);
    let line = json!({
        "seed": seed, "faults": steps.len(), "calls": calls.len(), "served": served.count(),
        "runs": runs.len(), "findings": findings,
    });
    println!("{line}");
    if !findings.is_empty() {
        let plan: Vec<String> = steps.iter().map(|s| format!("{s:?}")).collect();
        eprintln!(
            "seed {seed}: logs in {}\n{}",
            world.keep_logs(),
            plan.join("\n")
        );
    }
    Ok(findings)
}

/// Plays the faults; returns from when to when each unplanned one lasted.
fn play(world: &mut World, steps: &[Step]) -> Vec<(Instant, Instant)> {
    let begun = Instant::now();
    let mut waiting = steps.iter().peekable();
    let mut lasting: Vec<(Duration, Step, Instant)> = Vec::new();
    let mut unplanned = Vec::new();
    while waiting.peek().is_some() || !lasting.is_empty() {
        std::thread::sleep(LOOK);
        let now = begun.elapsed();
        world.look();
        while let Some(step) = waiting.next_if(|s| s.at <= now) {
            let since = Instant::now();
            world.begin(step.fault);
            lasting.push((step.at + step.lasts, *step, since));
        }
        lasting.retain(|(until, step, since)| {
            let goes_on = *until > now;
            if !goes_on {
                world.end(step.fault);
                if !step.fault.is_planned() {
                    unplanned.push((*since, Instant::now()));
                }
            }
            goes_on
        });
    }
    unplanned
}

/// After the faults everything is served again, and what is gone gets nothing.
fn calm(world: &mut World, field: &Field) -> Vec<String> {
    let begun = Instant::now();
    while begun.elapsed() < CALM {
        std::thread::sleep(LOOK);
        world.look();
    }
    let mut findings = ready(world, "RECOVER: not ready after the faults");
    let since = Instant::now();
    std::thread::sleep(CALM);
    let (key, _) = field.keys.current();
    let calls = field.calls.lock().expect("calls");
    let late = calls.iter().filter(|c| c.sent > since && c.key == key);
    let failed = late.filter(|c| c.answer.status != 200 && !(c.kept && c.answer.status == 0));
    findings.extend(failed.map(|c| format!("RECOVER: {} got {:?}", c.id, c.answer)));
    drop(calls);
    world.remove(0);
    std::thread::sleep(GONE);
    let gone = Instant::now();
    std::thread::sleep(Duration::from_secs(1));
    let runs = world.runs.lock().expect("runs");
    let late = runs.iter().filter(|r| r.target == 0 && r.at > gone);
    findings.extend(late.map(|r| format!("GONE: {r:?}")));
    findings
}

/// Waits until all instances are ready; returns what is wrong if they are not.
fn ready(world: &World, what: &str) -> Vec<String> {
    let until = Instant::now() + READY;
    let mut waiting = world.ready();
    while !waiting.is_empty() && Instant::now() < until {
        waiting.retain(|address| !is_ready(*address, READY_ANSWER));
        std::thread::sleep(LOOK);
    }
    waiting.iter().map(|a| format!("{what}: {a}")).collect()
}
