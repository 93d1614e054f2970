//! Instances as real processes, which reach the stand-ins through proxies.

use super::plan::Fault;
use super::proxy::{Mode, Proxy};
use crate::child::{DaemonProcess, RunFolder, free_address};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use standin::{PlatformFaults, PlatformStandIn, ScriptedResponse, TargetStandIn};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Age of a configuration up to which an instance accepts the keys in it.
pub const MAX_KEY_AGE: Duration = Duration::from_secs(3);
/// Time that an instance has to finish its requests after the stop signal.
pub(super) const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);
/// Time beyond the grace after which a process counts as hung.
const HANG_MARGIN: Duration = Duration::from_secs(2);
/// Delay that a slow store or connection adds.
const SLOW_DELAY: Duration = Duration::from_millis(250);
/// Number of failure domains.
const DOMAIN_COUNT: usize = 2;
/// Slots in the entry of each target.
const TARGET_SLOTS: u32 = 8;

/// All API keys issued in a run, with the time of revocation; the last one is current.
pub struct Keys(Mutex<Vec<(String, Option<Instant>)>>);

impl Default for Keys {
    fn default() -> Keys {
        Keys(Mutex::new(vec![("key-0".to_owned(), None)]))
    }
}

impl Keys {
    /// Draws a key and its index; four of five draws favour the current key.
    pub(super) fn draw(&self, rng: &mut ChaCha8Rng) -> (usize, String) {
        let keys = self.0.lock().expect("keys");
        let last = keys.len() - 1;
        let index = if rng.random_bool(0.8) {
            last
        } else {
            rng.random_range(0..=last)
        };
        (index, keys[index].0.clone())
    }

    /// Time at which a key was revoked.
    pub(super) fn revoked_at(&self, index: usize) -> Option<Instant> {
        self.0.lock().expect("keys")[index].1
    }

    /// Returns the current key and its index.
    pub(super) fn current(&self) -> (usize, String) {
        let keys = self.0.lock().expect("keys");
        (keys.len() - 1, keys[keys.len() - 1].0.clone())
    }

    /// Issues another key, which becomes the current one.
    pub fn add(&self) {
        let mut keys = self.0.lock().expect("keys");
        let key = format!("key-{}", keys.len());
        keys.push((key, None));
    }

    /// Records that all keys but the current one are revoked now.
    pub fn revoke_old(&self) {
        let mut keys = self.0.lock().expect("keys");
        let last = keys.len() - 1;
        for (_, revoked) in &mut keys[..last] {
            revoked.get_or_insert_with(Instant::now);
        }
    }
}

/// A request that a target received.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it was received.
    pub at: Instant,
    /// Id of the attempt.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Workspace in the header of the request.
    pub workspace: String,
    /// Index of the target.
    pub target: usize,
}

/// State of an instance's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    Paused,
    /// Got the stop signal at this time; is started again once it has ended.
    Stopping(Instant),
    Down,
}

/// Process of an instance, with its proxy to the store.
struct InstanceProcess {
    name: String,
    daemon: DaemonProcess,
    state: State,
    store: Proxy,
    ready: SocketAddr,
    directory: SocketAddr,
    peers: SocketAddr,
}

/// Target stand-in behind a proxy.
struct ProxiedTarget {
    proxy: Proxy,
    _stand_in: TargetStandIn,
}

/// Processes, stand-ins and proxies of one run, and the faults in effect.
pub(super) struct Testbed {
    store: PlatformStandIn,
    faults: PlatformFaults,
    instances: Vec<InstanceProcess>,
    targets: Vec<ProxiedTarget>,
    version: u64,
    pub(super) keys: Arc<Keys>,
    pub(super) runs: Arc<Mutex<Vec<Run>>>,
    /// Processes that ended unexpectedly, with an error, or not in time.
    pub(super) findings: Vec<String>,
    folder: RunFolder,
}

impl Testbed {
    /// Starts the stand-ins, the proxies and the instances.
    pub(super) fn start(
        binary: &Path,
        seed: u64,
        instance_count: usize,
        targets: usize,
    ) -> std::io::Result<Testbed> {
        let folder = RunFolder::create(&format!("soak-{seed}"))?;
        let store = PlatformStandIn::start();
        let runs = Arc::new(Mutex::new(Vec::new()));
        let targets = (0..targets)
            .map(|index| start_target(index, &runs))
            .collect();
        let mut instances: Vec<InstanceProcess> = Vec::new();
        for index in 0..instance_count {
            let seed = instances.first().map(|n| n.peers);
            instances.push(InstanceProcess::new(
                binary,
                &folder,
                index,
                store.address(),
                seed,
            )?);
        }
        let mut testbed = Testbed {
            store,
            faults: PlatformFaults::default(),
            instances,
            targets,
            version: 0,
            keys: Arc::new(Keys::default()),
            runs,
            findings: Vec::new(),
            folder,
        };
        testbed.configure();
        for index in 0..testbed.targets.len() {
            testbed.set_target(index, "ready");
        }
        for instance in &mut testbed.instances {
            instance.daemon.start();
        }
        Ok(testbed)
    }

    /// Addresses at which callers look up instances.
    pub(super) fn directories(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|n| n.directory).collect()
    }

    /// Addresses of the readiness probes.
    pub(super) fn readiness_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|n| n.ready).collect()
    }

    /// Keeps the logs of the processes and returns the path of their folder.
    pub(super) fn keep_logs(&mut self) -> String {
        self.folder.keep();
        self.folder.path().display().to_string()
    }

    /// Stores a new version of the configuration with the current key.
    fn configure(&mut self) {
        self.version += 1;
        let (_, key) = self.keys.current();
        self.store.configure(self.version, &[&key]);
    }

    fn set_target(&self, index: usize, state: &str) {
        let address = self.targets[index].proxy.address();
        let entry =
            standin::target_entry("pool", address, &domain_name(index), TARGET_SLOTS, state);
        self.store.put_target(&target_id(index), entry);
    }

    /// Removes the entry of a target from the store.
    pub(super) fn remove_target(&self, index: usize) {
        self.store.remove_target(&target_id(index));
    }

    /// Starts a fault; signals that don't fit the state of the process are skipped.
    pub(super) fn start_fault(&mut self, fault: Fault) {
        match fault {
            Fault::StoreDown => self.faults.down = true,
            Fault::StoreSlow => self.faults.slow_ms = SLOW_DELAY.as_millis() as u64,
            Fault::StoreStale => self.faults.stale = true,
            Fault::StoreLoses => {
                self.faults.lose_every = 2;
                self.faults.late_ms = 800;
            }
            Fault::StoreBusy => self.faults.refuse_every = 3,
            Fault::StoreForgets => self.store.drop_history(),
            Fault::StoreCut(index) => self.instances[index].store.set(Mode::DropAll),
            Fault::StoreReset(index) => self.instances[index].store.set(Mode::Reset),
            Fault::TargetSilent(index) => self.targets[index].proxy.set(Mode::DropAll),
            Fault::TargetReset(index) => self.targets[index].proxy.set(Mode::Reset),
            Fault::TargetSlow(index) => self.targets[index].proxy.set(Mode::Delay(SLOW_DELAY)),
            Fault::TargetMute(index) => self.targets[index].proxy.set(Mode::DropResponses),
            Fault::TargetDeaf(index) => self.targets[index].proxy.set(Mode::DropRequests),
            Fault::TargetDrains(index) => self.set_target(index, "draining"),
            Fault::Pause(index) => self.instances[index].pause(),
            Fault::Kill(index) => self.instances[index].kill(),
            Fault::Stop(index) => self.instances[index].stop(),
            Fault::Reload(index) => self.instances[index].reload(),
            Fault::Revoke => {
                self.keys.add();
                self.configure();
                self.keys.revoke_old();
            }
            Fault::Change => self.configure(),
        }
        self.set_faults();
    }

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::StoreDown => self.faults.down = false,
            Fault::StoreSlow => self.faults.slow_ms = 0,
            Fault::StoreStale => self.faults.stale = false,
            Fault::StoreLoses => self.faults.lose_every = 0,
            Fault::StoreBusy => self.faults.refuse_every = 0,
            Fault::StoreCut(index) | Fault::StoreReset(index) => {
                self.instances[index].store.set(Mode::Forward);
            }
            Fault::TargetSilent(index)
            | Fault::TargetReset(index)
            | Fault::TargetSlow(index)
            | Fault::TargetMute(index)
            | Fault::TargetDeaf(index) => self.targets[index].proxy.set(Mode::Forward),
            Fault::TargetDrains(index) => self.set_target(index, "ready"),
            Fault::Pause(index) => self.instances[index].resume(),
            Fault::Kill(index) => self.instances[index].start(),
            Fault::StoreForgets
            | Fault::Stop(_)
            | Fault::Reload(_)
            | Fault::Revoke
            | Fault::Change => {}
        }
        self.set_faults();
    }

    /// Passes the faults to the store, unless they are unchanged: setting them
    /// again would start the current ones anew.
    fn set_faults(&self) {
        if self.store.faults() != self.faults {
            self.store.set_faults(self.faults.clone());
        }
    }

    /// Records processes that ended unexpectedly or exceeded their grace, and
    /// starts them again.
    pub(super) fn check_processes(&mut self) {
        for instance in &mut self.instances {
            self.findings.extend(instance.check());
        }
    }

    /// Stops all processes at once and records those that end late or with an error.
    pub(super) fn stop(&mut self) {
        for instance in &mut self.instances {
            instance.stop();
        }
        let until = Instant::now() + SHUTDOWN_GRACE + HANG_MARGIN;
        while Instant::now() < until && self.instances.iter_mut().any(|n| n.daemon.is_running()) {
            std::thread::sleep(Duration::from_millis(50));
        }
        for instance in &mut self.instances {
            self.findings.extend(instance.check_exit());
        }
    }
}

fn target_id(index: usize) -> String {
    format!("t{index}")
}

fn domain_name(index: usize) -> String {
    format!("d{}", index % DOMAIN_COUNT)
}

fn start_target(index: usize, runs: &Arc<Mutex<Vec<Run>>>) -> ProxiedTarget {
    let runs = runs.clone();
    let stand_in = TargetStandIn::start(&target_id(index), move |request| {
        runs.lock().expect("runs").push(Run {
            at: Instant::now(),
            id: request.attempt().to_owned(),
            path: request.path.clone(),
            workspace: request.workspace().to_owned(),
            target: index,
        });
        if request.path.starts_with("/resume/") {
            ScriptedResponse::Events {
                count: super::caller::STREAM_EVENTS,
                pause: Duration::from_millis(60),
            }
        } else {
            std::thread::sleep(Duration::from_millis(30));
            ScriptedResponse::Echo
        }
    });
    let proxy = Proxy::start(stand_in.address());
    ProxiedTarget {
        proxy,
        _stand_in: stand_in,
    }
}

impl InstanceProcess {
    fn new(
        binary: &Path,
        folder: &RunFolder,
        index: usize,
        store: SocketAddr,
        seed: Option<SocketAddr>,
    ) -> std::io::Result<InstanceProcess> {
        let name = format!("i{index}");
        let store = Proxy::start(store);
        let [callers, ready, directory, control, peers] = [(); 5].map(|()| free_address());
        let settings = json!({
            "instance": name, "domain": domain_name(index),
            "listen": {
                "callers": callers, "ready": ready, "directory": directory,
                "control": control, "peers": peers,
            },
            "seeds": [seed.unwrap_or(peers)],
            "store": { "address": store.address() },
            "bounds": {
                "key_age_ms": MAX_KEY_AGE.as_millis() as u64, "grace_s": SHUTDOWN_GRACE.as_secs(),
                "lookup_s": 5, "retry_ratio": 0.2, "retry_slack": 100.0,
                "cold_excess": 1.5, "cold_slack": 5.0, "load_multiple": 2.0,
            },
            "machine": { "cores": 0.5, "descriptors": 2_000 },
        });
        let path = folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(InstanceProcess {
            name,
            daemon: DaemonProcess::new(binary, path),
            state: State::Up,
            store,
            ready,
            directory,
            peers,
        })
    }

    fn start(&mut self) {
        if self.state == State::Down {
            self.daemon.start();
            self.state = State::Up;
        }
    }

    fn kill(&mut self) {
        self.daemon.kill();
        self.state = State::Down;
    }

    fn stop(&mut self) {
        if self.state == State::Paused {
            self.resume();
        }
        if self.state == State::Up {
            self.daemon.signal("TERM");
            self.state = State::Stopping(Instant::now());
        }
    }

    fn reload(&self) {
        if self.state == State::Up {
            self.daemon.signal("HUP");
        }
    }

    fn pause(&mut self) {
        if self.state == State::Up {
            self.daemon.signal("STOP");
            self.state = State::Paused;
        }
    }

    fn resume(&mut self) {
        if self.state == State::Paused {
            self.daemon.signal("CONT");
            self.state = State::Up;
        }
    }

    /// Restarts the process if it has ended or hangs; returns a finding unless it
    /// ended as requested.
    fn check(&mut self) -> Option<String> {
        if matches!(self.state, State::Down) || self.daemon.is_running() && !self.is_hung() {
            return None;
        }
        let finding = self.check_exit();
        self.daemon.kill();
        self.daemon.start();
        self.state = State::Up;
        finding
    }

    fn is_hung(&self) -> bool {
        matches!(self.state, State::Stopping(since) if since.elapsed() > SHUTDOWN_GRACE + HANG_MARGIN)
    }

    /// Returns a finding unless the process ended as requested and without error.
    fn check_exit(&mut self) -> Option<String> {
        let name = &self.name;
        let is_stopping = matches!(self.state, State::Stopping(_));
        match self.daemon.exit_status() {
            None if is_stopping => Some(format!("EXIT: {name} did not end in its grace")),
            Some(status) if !is_stopping => Some(format!("EXIT: {name} ended unasked: {status}")),
            Some(status) if !status.success() => Some(format!("EXIT: {name}: {status}")),
            _ => None,
        }
    }
}
