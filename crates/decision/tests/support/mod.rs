#![allow(dead_code, reason = "each test file uses a part of it")]

//! A pool of targets under a few decision states, with the true loads.

use bench::kit;
use bench::net::{Faults, Net};
use decision::{
    CacheLocation, Command, Document, Event, GrantId, InstanceId, Limits, LoadReport, Release,
    ServiceKind, SlotRequestId, TargetId, Time,
};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use std::collections::BTreeMap;
use std::time::Duration;

/// Seed of the generated schedules.
const SEED: u64 = 0x0062_7269_6172;

/// Configuration of property tests: a fixed seed, so that a verdict stands.
///
/// `BRIARGAP_CASES` multiplies the number of cases, and `BRIARGAP_SEED` sets
/// another seed, for long runs by hand.
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

/// Interval at which stewards read load reports.
const POLL: Duration = Duration::from_millis(500);

/// A request that runs at a target.
#[derive(Clone, Debug)]
pub struct Running {
    pub target: TargetId,
    pub entry: InstanceId,
    pub chat: u64,
}

/// A pool, the requests that truly run there, and the decision states.
pub struct World {
    pub net: Net,
    pub document: Document,
    pub running: BTreeMap<GrantId, Running>,
    pub completed: BTreeMap<TargetId, u64>,
    pub boots: BTreeMap<TargetId, u64>,
    pub granted: u64,
    pub denied: u64,
    asks: BTreeMap<(InstanceId, SlotRequestId), u64>,
    next_ask: SlotRequestId,
    poll_at: Time,
}

/// Name of a target of the world's pool.
pub fn target(i: usize) -> TargetId {
    format!("pool-{i}").into()
}

impl World {
    pub fn new(
        instances: usize,
        targets: usize,
        limits: Limits,
        seed: u64,
        faults: Faults,
    ) -> Self {
        let address = "127.0.0.1:9".parse().expect("address");
        let addresses = vec![address; targets];
        let workspaces = (0..4).map(|i| kit::workspace(&format!("w{i}"), 1));
        let document = kit::document(
            "pool",
            ServiceKind::Engine,
            limits,
            &addresses,
            workspaces.collect(),
        );
        let mut net = Net::with_instances(instances, seed, faults);
        net.accept(&document, 1);
        World {
            net,
            document,
            running: BTreeMap::new(),
            completed: BTreeMap::new(),
            boots: BTreeMap::new(),
            granted: 0,
            denied: 0,
            asks: BTreeMap::new(),
            next_ask: 0,
            poll_at: Time::ZERO,
        }
    }

    /// Counts so many requests as completed at every target.
    pub fn warm(&mut self) {
        for spec in &self.document.targets {
            self.completed.insert(spec.id.clone(), 10_000);
        }
    }

    /// Requests that truly run at a target.
    pub fn load(&self, target: &str) -> usize {
        self.running.values().filter(|r| r.target == target).count()
    }

    /// A request comes to an instance.
    pub fn ask(&mut self, entry: &str, chat: u64, workspace: usize) -> SlotRequestId {
        self.ask_digest(entry, chat, workspace, chat)
    }

    /// A request of a given digest comes to an instance.
    pub fn ask_digest(
        &mut self,
        entry: &str,
        chat: u64,
        workspace: usize,
        digest: u64,
    ) -> SlotRequestId {
        self.next_ask += 1;
        let id = self.next_ask;
        self.asks.insert((entry.into(), id), chat);
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
        self.net.hand(entry, event);
        self.settle();
        id
    }

    /// A request ends.
    pub fn finish(&mut self, grant: GrantId, whole: bool) {
        let Some(run) = self.running.remove(&grant) else {
            return;
        };
        if whole {
            *self.completed.entry(run.target.clone()).or_insert(0) += 1;
        }
        let release = Release {
            grant,
            service: "pool".into(),
            chat: run.chat,
            location: CacheLocation {
                target: run.target,
                tokens: if whole { 100 } else { 0 },
            },
            complete: whole,
            refused: false,
            first_ms: whole.then_some(50),
        };
        let event = Event::AttemptEnded {
            release,
            digest: run.chat,
            crashed: false,
        };
        self.net.hand(&run.entry, event);
        self.settle();
    }

    /// An instance dies; what it ran is cancelled at the targets.
    pub fn kill(&mut self, entry: &str) {
        self.net.kill(entry);
        self.running.retain(|_, r| r.entry != entry);
        self.asks.retain(|(e, _), _| e != entry);
    }

    /// Lets time pass; stewards read reports that are up to half a second old.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.net.now + time;
        while self.net.now < end {
            if self.net.now >= self.poll_at {
                self.poll_at = self.net.now + POLL;
                self.poll();
            }
            let next = end.min(self.poll_at);
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
                self.net.hand(&id, event);
            }
        }
        self.settle();
    }

    /// Starts what was granted.
    fn settle(&mut self) {
        for said in self.net.take_said() {
            match said.command {
                Command::Granted {
                    request,
                    grant,
                    target,
                    ..
                } => {
                    let chat = self.asks.remove(&(said.instance.clone(), request));
                    let chat = chat.expect("each request is granted once");
                    assert!(
                        self.net.node(&said.instance).accepts_work("pool", &target),
                        "granted {target}, which is out as {} knows",
                        said.instance,
                    );
                    let run = Running {
                        target,
                        entry: said.instance,
                        chat,
                    };
                    assert!(self.running.insert(grant, run).is_none(), "grant twice");
                    self.granted += 1;
                }
                Command::Denied { request, .. } => {
                    let known = self.asks.remove(&(said.instance, request));
                    assert!(known.is_some(), "a request is answered twice");
                    self.denied += 1;
                }
                _ => {}
            }
        }
    }

    /// Asks that have no answer yet.
    pub fn waiting(&self) -> usize {
        self.asks.len()
    }
}
