#![allow(dead_code, reason = "each test file uses a part of it")]

//! Simulation of a pool of targets and several nodes, with the true loads.

use bench::net::{Faults, Net};
use bench::test_fleet;
use decision::{
    CacheLocation, Command, Document, Event, GrantId, InstanceId, Limits, LoadReport, Release,
    ServiceKind, SlotRequestId, TargetId, Time,
};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use std::collections::BTreeMap;
use std::time::Duration;

/// Default seed of the generated test cases.
const SEED: u64 = 0x0062_7269_6172;

/// Returns a configuration of property tests with a fixed seed, so that results
/// are reproducible.
///
/// The environment variable `BRIARGAP_CASES` multiplies the number of cases, and
/// `BRIARGAP_SEED` sets another seed, for long manual runs.
pub fn config(cases: u32) -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let factor = number("BRIARGAP_CASES").unwrap_or(1) as u32;
    ProptestConfig {
        cases: cases * factor,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(number("BRIARGAP_SEED").unwrap_or(SEED)),
        ..ProptestConfig::default()
    }
}

/// Interval at which stewards poll load reports.
const POLL: Duration = Duration::from_millis(500);

/// A request that runs on a target.
#[derive(Clone, Debug)]
pub struct Running {
    pub target: TargetId,
    pub entry: InstanceId,
    pub chat: u64,
}

/// A pool, the requests that truly run on it, and the nodes.
pub struct Simulation {
    pub net: Net,
    pub document: Document,
    pub running: BTreeMap<GrantId, Running>,
    pub completed: BTreeMap<TargetId, u64>,
    pub boots: BTreeMap<TargetId, u64>,
    pub granted: u64,
    pub denied: u64,
    pending: BTreeMap<(InstanceId, SlotRequestId), u64>,
    next_request: SlotRequestId,
    next_poll: Time,
}

/// Returns the name of the i-th target of the pool.
pub fn target(i: usize) -> TargetId {
    format!("pool-{i}").into()
}

impl Simulation {
    pub fn new(
        instances: usize,
        targets: usize,
        limits: Limits,
        seed: u64,
        faults: Faults,
    ) -> Self {
        let address = "127.0.0.1:9".parse().expect("address");
        let addresses = vec![address; targets];
        let workspaces = (0..4).map(|i| test_fleet::workspace(&format!("w{i}"), 1));
        let document = test_fleet::document(
            "pool",
            ServiceKind::Engine,
            limits,
            &addresses,
            workspaces.collect(),
        );
        let mut net = Net::with_instances(instances, seed, faults);
        net.apply_document(&document, 1);
        Simulation {
            net,
            document,
            running: BTreeMap::new(),
            completed: BTreeMap::new(),
            boots: BTreeMap::new(),
            granted: 0,
            denied: 0,
            pending: BTreeMap::new(),
            next_request: 0,
            next_poll: Time::ZERO,
        }
    }

    /// Ends the cold start of all targets by setting a high number of completed
    /// requests.
    pub fn warm(&mut self) {
        for spec in &self.document.targets {
            self.completed.insert(spec.id.clone(), 10_000);
        }
    }

    /// Returns the number of requests that truly run on a target.
    pub fn load(&self, target: &str) -> usize {
        self.running.values().filter(|r| r.target == target).count()
    }

    /// Sends a request to an instance.
    pub fn request_slot(&mut self, entry: &str, chat: u64, workspace: usize) -> SlotRequestId {
        self.request_slot_of_digest(entry, chat, workspace, chat)
    }

    /// Sends a request with a given digest to an instance.
    pub fn request_slot_of_digest(
        &mut self,
        entry: &str,
        chat: u64,
        workspace: usize,
        digest: u64,
    ) -> SlotRequestId {
        self.next_request += 1;
        let id = self.next_request;
        self.pending.insert((entry.into(), id), chat);
        let event = Event::RequestSlot {
            id,
            service: "pool".into(),
            workspace: format!("w{workspace}").into(),
            chat,
            digest,
            priority: 5,
            wait: Duration::from_secs(5),
            avoid: Vec::new(),
            retry: false,
        };
        self.net.handle_event(entry, event);
        self.settle();
        id
    }

    /// Ends a running request.
    pub fn finish(&mut self, grant: GrantId, complete: bool) {
        let Some(run) = self.running.remove(&grant) else {
            return;
        };
        if complete {
            *self.completed.entry(run.target.clone()).or_insert(0) += 1;
        }
        let release = Release {
            grant,
            service: "pool".into(),
            chat: run.chat,
            location: CacheLocation {
                target: run.target,
                tokens: if complete { 100 } else { 0 },
            },
            complete,
            refused: false,
            first_ms: complete.then_some(50),
        };
        let event = Event::AttemptEnded {
            release,
            digest: run.chat,
            crashed: false,
        };
        self.net.handle_event(&run.entry, event);
        self.settle();
    }

    /// Kills an instance, which cancels its requests at the targets.
    pub fn kill(&mut self, entry: &str) {
        self.net.kill(entry);
        self.running.retain(|_, r| r.entry != entry);
        self.pending.retain(|(e, _), _| e != entry);
    }

    /// Advances the time; stewards poll reports every [`POLL`].
    pub fn run_for(&mut self, time: Duration) {
        let end = self.net.now + time;
        while self.net.now < end {
            if self.net.now >= self.next_poll {
                self.next_poll = self.net.now + POLL;
                self.poll();
            }
            let next = end.min(self.next_poll);
            while self.net.next_due().is_some_and(|at| at <= next) {
                let at = self.net.next_due().expect("due");
                self.net.run_until(at);
                self.settle();
            }
            self.net.run_until(next);
        }
    }

    fn poll(&mut self) {
        for id in self.net.instances() {
            if self.net.is_paused(&id) {
                continue;
            }
            for poll in self.net.node(&id).poll_targets() {
                let report = LoadReport {
                    boot: self.boots.get(&poll.target).copied().unwrap_or(1),
                    running: self.load(&poll.target) as u32,
                    completed: self.completed.get(&poll.target).copied().unwrap_or(0),
                    cached: 0,
                };
                let event = Event::LoadReport {
                    service: poll.service,
                    target: poll.target,
                    report,
                };
                self.net.handle_event(&id, event);
            }
        }
        self.settle();
    }

    /// Processes the commands of the nodes and starts granted requests.
    fn settle(&mut self) {
        for issued in self.net.take_commands() {
            match issued.command {
                Command::Granted {
                    request,
                    grant,
                    target,
                    ..
                } => {
                    let chat = self.pending.remove(&(issued.instance.clone(), request));
                    let chat = chat.expect("each request is granted once");
                    assert!(
                        self.net
                            .node(&issued.instance)
                            .accepts_work("pool", &target),
                        "granted {target}, which is out as {} knows",
                        issued.instance,
                    );
                    let run = Running {
                        target,
                        entry: issued.instance,
                        chat,
                    };
                    assert!(self.running.insert(grant, run).is_none(), "grant twice");
                    self.granted += 1;
                }
                Command::Denied { request, .. } => {
                    let known = self.pending.remove(&(issued.instance, request));
                    assert!(known.is_some(), "a request is answered twice");
                    self.denied += 1;
                }
                _ => {}
            }
        }
    }

    /// Returns the number of slot requests without a reply.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}
