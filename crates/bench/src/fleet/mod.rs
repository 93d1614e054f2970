//! `bench fleet`: runs the built binary as processes, under load and faults.
//!
//! Invariants are checked against what the stand-ins recorded, not against what
//! the instances report. Processes are ended by their ids, and every run is
//! limited in time.

mod faults;
mod load;
mod process;
mod report;

use crate::child::{RunFolder, binary};
use crate::client::Caller;
use crate::standin::{Engine, EngineOptions, PlatformStandIn, Service};
use crate::test_fleet;
use bpaf::Bpaf;
use decision::{Limits, ServiceKind};
use faults::Fault;
use load::{Load, Outcome, RESPONSE_TOKENS, WORKSPACES};
use process::InstanceProcess;
use report::{CaseResult, Measures};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Options of `bench fleet`.
#[derive(Clone, Debug, Bpaf)]
pub struct FleetOptions {
    #[bpaf(external(binary))]
    binary: PathBuf,
    /// Deployment: hoepelgilde or great-lakes
    #[bpaf(long, argument("NAME"), fallback("hoepelgilde".to_owned()), display_fallback)]
    deployment: String,
    /// Requests a second
    #[bpaf(long, argument("RATE"), fallback(60.0), display_fallback)]
    rate: f64,
    /// Seconds of each run
    #[bpaf(long, argument("SECONDS"), fallback(15), display_fallback)]
    seconds: u64,
    /// Run the faults, each alone
    #[bpaf(long)]
    faults: bool,
    /// Run every pair of faults too
    #[bpaf(long)]
    pairs: bool,
    /// Faults to run, by name, separated by commas
    #[bpaf(long, argument("NAMES"))]
    only: Option<String>,
    /// Write a Markdown report to this file
    #[bpaf(long, argument("FILE"))]
    report: Option<PathBuf>,
}

/// Number of requests that an engine runs at once.
const SLOTS: u32 = 16;
/// Number of short prompts that measure the latency the fleet adds to an engine's.
const LATENCY_SAMPLES: usize = 200;
/// Time limit for each step of the start-up.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Instance processes of one deployment, with the stand-ins that they use.
struct Deployment {
    platform: PlatformStandIn,
    engines: Vec<Engine>,
    services: Vec<Service>,
    processes: Vec<InstanceProcess>,
    domains: [&'static str; 3],
    _folder: RunFolder,
}

impl Deployment {
    fn start(options: &FleetOptions) -> Result<Deployment, String> {
        let (instances, engines, domains) = match options.deployment.as_str() {
            "hoepelgilde" => (13, 12, ["nl-west-1", "nl-west-2", "nl-west-3"]),
            "great-lakes" => (18, 18, ["huron-shore", "erie-shore", "superior-shore"]),
            other => return Err(format!("unknown deployment {other:?}")),
        };
        let platform = PlatformStandIn::start();
        let engine = EngineOptions {
            slots: SLOTS as usize,
            token_time: Duration::from_millis(20),
            answer_tokens: RESPONSE_TOKENS as usize,
            ..EngineOptions::default()
        };
        let engines: Vec<Engine> = (0..engines)
            .map(|_| Engine::start(engine.clone()))
            .collect();
        for engine in &engines {
            engine.warm_up();
        }
        let services: Vec<Service> = (0..3).map(|_| Service::start()).collect();
        let folder = RunFolder::create("fleet").map_err(|e| e.to_string())?;
        let processes = (0..instances).map(|i| {
            let domain = domains[i % domains.len()];
            let name = format!("{domain}-{i}");
            InstanceProcess::new(
                &options.binary,
                folder.path(),
                &name,
                domain,
                &platform.base_url(),
            )
        });
        let mut deployment = Deployment {
            processes: processes.collect(),
            platform,
            engines,
            services,
            domains,
            _folder: folder,
        };
        for process in &mut deployment.processes {
            process.start();
        }
        deployment.apply_documents()?;
        Ok(deployment)
    }

    /// Waits until all instances know each other, then applies the service documents.
    fn apply_documents(&mut self) -> Result<(), String> {
        let count = self.processes.len();
        self.wait_until("every instance to know all others", |d| {
            d.processes.iter().all(|p| {
                let members = p.state()["node"]["members"].clone();
                let members = members.as_object().cloned().unwrap_or_default();
                members.values().filter(|m| m["status"] == "a").count() == count
            })
        })?;
        let workspaces: Vec<_> = WORKSPACES
            .iter()
            .map(|w| test_fleet::workspace(w, 1))
            .collect();
        let limits = Limits {
            slots: SLOTS,
            first_time: Duration::from_secs(5),
            ..Limits::default()
        };
        let engines: Vec<SocketAddr> = self.engines.iter().map(Engine::address).collect();
        let services: Vec<SocketAddr> = self.services.iter().map(Service::address).collect();
        let mut documents = vec![
            test_fleet::document(
                "assistant",
                ServiceKind::Engine,
                limits.clone(),
                &engines,
                workspaces.clone(),
            ),
            test_fleet::document("orders", ServiceKind::Plain, limits, &services, workspaces),
        ];
        for document in &mut documents {
            for (i, target) in document.targets.iter_mut().enumerate() {
                target.domain = self.domains[i % self.domains.len()].into();
            }
            let applied = self.processes[0]
                .operator_client()
                .apply(document, 0, false);
            applied.map_err(|e| e.to_string())?;
        }
        self.wait_until("the documents to be in force", |d| {
            let mut processes = d.processes.iter();
            processes.all(|p| p.operator_client().services().is_ok_and(|s| s.len() == 2))
        })?;
        // Instances that have just started grant slots with caution for some seconds.
        std::thread::sleep(Duration::from_secs(4));
        Ok(())
    }

    /// Waits until a condition holds, at most `READY_TIMEOUT`.
    fn wait_until(&self, what: &str, holds: impl Fn(&Deployment) -> bool) -> Result<(), String> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if holds(self) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err(format!("timed out waiting for {what}"))
    }

    /// Returns the addresses on which the instances serve callers.
    fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|p| p.listing.caller).collect()
    }

    /// Returns the CPU time of all instances so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
        self.processes.iter().map(|p| p.usage().cpu).sum()
    }

    /// Returns the bytes that the instances have sent to each other, by message kind.
    fn mesh_bytes(&self) -> BTreeMap<String, f64> {
        let mut bytes = BTreeMap::new();
        for process in &self.processes {
            let state = process.state();
            for (kind, row) in state["mesh"]["sent"].as_object().into_iter().flatten() {
                *bytes.entry(kind.clone()).or_insert(0.0) += row[1].as_f64().unwrap_or(0.0);
            }
        }
        bytes
    }
}

/// Runs a deployment under load, then each selected combination of faults.
pub fn run(options: &FleetOptions) -> ExitCode {
    let mut deployment = match Deployment::start(options) {
        Ok(deployment) => deployment,
        Err(e) => {
            eprintln!("cannot start the deployment: {e}");
            return ExitCode::FAILURE;
        }
    };
    let time = Duration::from_secs(options.seconds);
    let measures = measure(&mut deployment, options.rate, time);
    report::print_measures(&options.deployment, &measures);
    let mut results = vec![measures.case.clone()];
    let load = Load::new(deployment.caller_addrs());
    for (i, faults) in selected_cases(options).into_iter().enumerate() {
        let seed = 1_000 + i as u64;
        let result = faults::run_case(&mut deployment, &load, &faults, options.rate, time, seed);
        report::print_case(&result);
        results.push(result);
    }
    if let Some(path) = &options.report
        && let Err(e) = report::write(path, &options.deployment, &measures, &results)
    {
        eprintln!("cannot write the report: {e}");
    }
    if results.iter().all(CaseResult::passed) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Returns the fault combinations that the options select.
fn selected_cases(options: &FleetOptions) -> Vec<Vec<Fault>> {
    let names = options.only.as_deref();
    let is_selected = |f: &&Fault| names.is_none_or(|w| w.split(',').any(|n| n == f.name()));
    let all: Vec<Fault> = Fault::ALL.iter().filter(is_selected).copied().collect();
    let mut cases = Vec::new();
    if options.faults || names.is_some() {
        cases.extend(all.iter().map(|f| vec![*f]));
    }
    if options.pairs {
        for (i, one) in all.iter().enumerate() {
            cases.extend(all[i + 1..].iter().map(|other| vec![*one, *other]));
        }
    }
    cases
}

/// Measures the fleet without faults, under load and at rest.
fn measure(deployment: &mut Deployment, rate: f64, time: Duration) -> Measures {
    let load = Load::new(deployment.caller_addrs());
    // Fills the prompt caches of the engines.
    load.run(rate, time / 2, 1);
    let runs_before: Vec<usize> = deployment
        .engines
        .iter()
        .map(|e| e.records().runs.len())
        .collect();
    let (cpu, bytes) = (deployment.cpu_seconds(), deployment.mesh_bytes());
    let started = Instant::now();
    let engines = deployment.engines.clone();
    let skew_sampler = std::thread::spawn(move || measure_skew(&engines, time));
    let outcomes = load.run(rate, time, 2);
    let elapsed = started.elapsed().as_secs_f64();
    let instances = deployment.processes.len() as f64;
    let after = deployment.mesh_bytes();
    let control = after.into_iter().map(|(kind, n)| {
        let before = bytes.get(&kind).copied().unwrap_or(0.0);
        (kind, (n - before) / elapsed / instances)
    });
    let mut measures = Measures {
        control: control.collect(),
        cpu: 100.0 * (deployment.cpu_seconds() - cpu) / elapsed / instances,
        memory: deployment
            .processes
            .iter()
            .map(|p| p.usage().memory)
            .fold(0.0, f64::max),
        skew: skew_sampler.join().unwrap_or(0.0),
        reuse: cache_reuse(&deployment.engines, &runs_before),
        ..Measures::default()
    };
    // Measures the cost of the mesh without requests.
    std::thread::sleep(Duration::from_secs(2));
    let (cpu, bytes) = (deployment.cpu_seconds(), deployment.mesh_bytes());
    let started = Instant::now();
    std::thread::sleep(Duration::from_secs(8));
    let elapsed = started.elapsed().as_secs_f64();
    measures.rest_cpu = 100.0 * (deployment.cpu_seconds() - cpu) / elapsed / instances;
    let sum = |bytes: &BTreeMap<String, f64>| bytes.values().sum::<f64>();
    measures.rest_bytes = (sum(&deployment.mesh_bytes()) - sum(&bytes)) / elapsed / instances;
    let (direct, through) = first_token_times(deployment);
    measures.set_first_times(direct, through);
    measures.set_latencies(&outcomes);
    measures.case = CaseResult::new("no fault", &outcomes, time);
    measures.case.min_completed = report::MIN_WITHOUT_FAULT;
    faults::check_invariants(deployment, &outcomes, &mut measures.case);
    measures
}

/// Returns the ratio of the highest engine load to the mean, averaged over samples.
fn measure_skew(engines: &[Engine], time: Duration) -> f64 {
    let started = Instant::now();
    let (mut sum, mut samples) = (0.0, 0u32);
    while started.elapsed() < time {
        std::thread::sleep(Duration::from_millis(100));
        let loads: Vec<usize> = engines.iter().map(Engine::load).collect();
        let total: usize = loads.iter().sum();
        if total > 0 {
            let highest = loads.iter().copied().max().unwrap_or(0);
            sum += highest as f64 * loads.len() as f64 / total as f64;
            samples += 1;
        }
    }
    sum / f64::from(samples.max(1))
}

/// Returns the share of prompt tokens that came from a cache.
///
/// `before` holds the number of runs of each engine that are not counted.
fn cache_reuse(engines: &[Engine], before: &[usize]) -> f64 {
    let (mut prompt, mut cached) = (0, 0);
    for (engine, before) in engines.iter().zip(before) {
        for run in &engine.records().runs[*before..] {
            prompt += run.prompt;
            cached += run.cached;
        }
    }
    cached as f64 / prompt.max(1) as f64
}

/// Measures the time to the first token of short prompts, sent one at a time.
///
/// Returns the times of requests sent directly to an engine, and of requests sent
/// through the instance that a lookup names.
fn first_token_times(deployment: &Deployment) -> (Vec<Duration>, Vec<Duration>) {
    let caller = Caller::new(&test_fleet::key("w1"));
    let any = deployment.processes[0].listing.caller;
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    for i in 0..LATENCY_SAMPLES {
        let chat = format!("first-{i}");
        let body = serde_json::json!({
            "model": "assistant",
            "stream": true,
            "max_tokens": 2,
            "prompt_cache_key": chat,
            "messages": [{ "role": "user", "content": "short" }],
        });
        let engine = &deployment.engines[i % deployment.engines.len()];
        direct.extend(
            caller
                .chat_with(engine.address(), "direct", &body)
                .first_event,
        );
        let located = caller.locate(any, "assistant", &chat);
        let at = located.first().copied().unwrap_or(any);
        through.extend(caller.chat_with(at, &chat, &body).first_event);
    }
    (direct, through)
}

/// Returns the share of requests that completed.
fn completed_share(outcomes: &[Outcome]) -> f64 {
    let completed = outcomes.iter().filter(|o| o.is_complete).count();
    completed as f64 / outcomes.len().max(1) as f64
}
