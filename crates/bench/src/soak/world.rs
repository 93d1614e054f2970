//! Instances as real processes between the stand-ins, behind proxies.

use super::plan::Fault;
use super::proxy::{Mode, Proxy};
use crate::child::{Daemon, Folder, free_address};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use standin::{PlatformFaults, PlatformStandIn, ScriptedResponse, TargetStandIn};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bound on the age of a configuration by which a key is honoured.
pub const KEY_AGE: Duration = Duration::from_secs(3);
/// Time from the order to stop to the kill.
pub(super) const GRACE: Duration = Duration::from_secs(6);
/// Time beyond the grace after which a process counts as hung.
const GRACE_SLACK: Duration = Duration::from_secs(2);
/// Delay of a slow store or target.
const SLOW: Duration = Duration::from_millis(250);
/// Failure domains.
const DOMAINS: usize = 2;
/// Slots of a target, by its entry.
const SLOTS: u32 = 8;

/// Keys that were ever given out; the last one is in force.
pub struct Keys(Mutex<Vec<(String, Option<Instant>)>>);

impl Default for Keys {
    fn default() -> Keys {
        Keys(Mutex::new(vec![("key-0".to_owned(), None)]))
    }
}

impl Keys {
    /// Mostly the key in force, with its place.
    pub(super) fn draw(&self, rng: &mut ChaCha8Rng) -> (usize, String) {
        let keys = self.0.lock().expect("keys");
        let last = keys.len() - 1;
        let place = if rng.random_bool(0.8) {
            last
        } else {
            rng.random_range(0..=last)
        };
        (place, keys[place].0.clone())
    }

    /// When a key was taken away.
    pub(super) fn taken_away(&self, place: usize) -> Option<Instant> {
        self.0.lock().expect("keys")[place].1
    }

    pub(super) fn current(&self) -> (usize, String) {
        let keys = self.0.lock().expect("keys");
        (keys.len() - 1, keys[keys.len() - 1].0.clone())
    }

    /// Gives out another key, which is in force from now on.
    pub fn add(&self) {
        let mut keys = self.0.lock().expect("keys");
        let key = format!("key-{}", keys.len());
        keys.push((key, None));
    }

    /// Notes that all keys but the last are taken away now.
    pub fn take_away_old(&self) {
        let mut keys = self.0.lock().expect("keys");
        let last = keys.len() - 1;
        for (_, taken) in &mut keys[..last] {
            taken.get_or_insert_with(Instant::now);
        }
    }
}

/// A request as a target saw it.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it came.
    pub at: Instant,
    /// Attempt.
    pub id: String,
    /// Path.
    pub path: String,
    /// Workspace by its header.
    pub workspace: String,
    /// Place of the target.
    pub target: usize,
}

/// What an instance's process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    Paused,
    /// Asked to stop then; to be started again once it has ended.
    Stopping(Instant),
    Down,
}

struct Node {
    name: String,
    daemon: Daemon,
    state: State,
    store: Proxy,
    ready: SocketAddr,
    directory: SocketAddr,
    peers: SocketAddr,
}

struct Target {
    proxy: Proxy,
    _stand_in: TargetStandIn,
}

/// Processes, stand-ins and proxies of one run.
pub(super) struct World {
    store: PlatformStandIn,
    faults: PlatformFaults,
    nodes: Vec<Node>,
    targets: Vec<Target>,
    version: u64,
    pub(super) keys: Arc<Keys>,
    pub(super) runs: Arc<Mutex<Vec<Run>>>,
    /// Processes that ended otherwise than they should.
    pub(super) findings: Vec<String>,
    folder: Folder,
}

impl World {
    /// Starts everything.
    pub(super) fn start(
        binary: &Path,
        seed: u64,
        instances: usize,
        targets: usize,
    ) -> std::io::Result<World> {
        let folder = Folder::create(&format!("soak-{seed}"))?;
        let store = PlatformStandIn::start();
        let runs = Arc::new(Mutex::new(Vec::new()));
        let targets = (0..targets).map(|place| target(place, &runs)).collect();
        let mut nodes: Vec<Node> = Vec::new();
        for place in 0..instances {
            let seed = nodes.first().map(|n| n.peers);
            nodes.push(Node::new(binary, &folder, place, store.address(), seed)?);
        }
        let mut world = World {
            store,
            faults: PlatformFaults::default(),
            nodes,
            targets,
            version: 0,
            keys: Arc::new(Keys::default()),
            runs,
            findings: Vec::new(),
            folder,
        };
        world.configure();
        for place in 0..world.targets.len() {
            world.enter(place, "ready");
        }
        for node in &mut world.nodes {
            node.daemon.start();
        }
        Ok(world)
    }

    pub(super) fn directories(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.directory).collect()
    }

    pub(super) fn ready(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.ready).collect()
    }

    /// Keeps the logs of the processes and returns where they lie.
    pub(super) fn keep_logs(&mut self) -> String {
        self.folder.keep();
        self.folder.path().display().to_string()
    }

    fn configure(&mut self) {
        self.version += 1;
        let (_, key) = self.keys.current();
        self.store.configure(self.version, &[&key]);
    }

    fn enter(&self, place: usize, state: &str) {
        let address = self.targets[place].proxy.address();
        let entry = standin::target_entry("pool", address, &domain(place), SLOTS, state);
        self.store.put_target(&id(place), entry);
    }

    /// Takes a target's entry away for good.
    pub(super) fn remove(&self, place: usize) {
        self.store.remove_target(&id(place));
    }

    /// Begins a fault; one that doesn't fit the state of its process is left
    /// out.
    pub(super) fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::StoreDown => self.faults.down = true,
            Fault::StoreSlow => self.faults.slow_ms = SLOW.as_millis() as u64,
            Fault::StoreStale => self.faults.stale = true,
            Fault::StoreLoses => {
                self.faults.lose_every = 2;
                self.faults.late_ms = 800;
            }
            Fault::StoreBusy => self.faults.refuse_every = 3,
            Fault::StoreForgets => self.store.drop_history(),
            Fault::StoreCut(place) => self.nodes[place].store.set(Mode::Silent),
            Fault::StoreReset(place) => self.nodes[place].store.set(Mode::Reset),
            Fault::TargetSilent(place) => self.targets[place].proxy.set(Mode::Silent),
            Fault::TargetReset(place) => self.targets[place].proxy.set(Mode::Reset),
            Fault::TargetSlow(place) => self.targets[place].proxy.set(Mode::Delay(SLOW)),
            Fault::TargetMute(place) => self.targets[place].proxy.set(Mode::NoAnswers),
            Fault::TargetDeaf(place) => self.targets[place].proxy.set(Mode::NoRequests),
            Fault::TargetDrains(place) => self.enter(place, "draining"),
            Fault::Pause(place) => self.nodes[place].pause(),
            Fault::Kill(place) => self.nodes[place].kill(),
            Fault::Stop(place) => self.nodes[place].stop(),
            Fault::Reload(place) => self.nodes[place].reload(),
            Fault::Revoke => {
                self.keys.add();
                self.configure();
                self.keys.take_away_old();
            }
            Fault::Change => self.configure(),
        }
        self.set_faults();
    }

    /// Ends a fault.
    pub(super) fn end(&mut self, fault: Fault) {
        match fault {
            Fault::StoreDown => self.faults.down = false,
            Fault::StoreSlow => self.faults.slow_ms = 0,
            Fault::StoreStale => self.faults.stale = false,
            Fault::StoreLoses => self.faults.lose_every = 0,
            Fault::StoreBusy => self.faults.refuse_every = 0,
            Fault::StoreCut(place) | Fault::StoreReset(place) => {
                self.nodes[place].store.set(Mode::Pass);
            }
            Fault::TargetSilent(place)
            | Fault::TargetReset(place)
            | Fault::TargetSlow(place)
            | Fault::TargetMute(place)
            | Fault::TargetDeaf(place) => self.targets[place].proxy.set(Mode::Pass),
            Fault::TargetDrains(place) => self.enter(place, "ready"),
            Fault::Pause(place) => self.nodes[place].resume(),
            Fault::Kill(place) => self.nodes[place].start(),
            Fault::StoreForgets
            | Fault::Stop(_)
            | Fault::Reload(_)
            | Fault::Revoke
            | Fault::Change => {}
        }
        self.set_faults();
    }

    /// Sets the store's faults; those that are set already stay as they began.
    fn set_faults(&self) {
        if self.store.faults() != self.faults {
            self.store.set_faults(self.faults.clone());
        }
    }

    /// Looks at the processes: none ends unasked, each ends in its grace.
    pub(super) fn look(&mut self) {
        for node in &mut self.nodes {
            self.findings.extend(node.look());
        }
    }

    /// Stops all processes at once; each must end well in its grace.
    pub(super) fn stop(&mut self) {
        for node in &mut self.nodes {
            node.stop();
        }
        let until = Instant::now() + GRACE + GRACE_SLACK;
        while Instant::now() < until && self.nodes.iter_mut().any(|n| n.daemon.is_running()) {
            std::thread::sleep(Duration::from_millis(50));
        }
        for node in &mut self.nodes {
            self.findings.extend(node.judge_end());
        }
    }
}

fn id(place: usize) -> String {
    format!("t{place}")
}

fn domain(place: usize) -> String {
    format!("d{}", place % DOMAINS)
}

fn target(place: usize, runs: &Arc<Mutex<Vec<Run>>>) -> Target {
    let runs = runs.clone();
    let stand_in = TargetStandIn::start(&id(place), move |seen| {
        runs.lock().expect("runs").push(Run {
            at: Instant::now(),
            id: seen.attempt().to_owned(),
            path: seen.path.clone(),
            workspace: seen.workspace().to_owned(),
            target: place,
        });
        if seen.path.starts_with("/resume/") {
            ScriptedResponse::Events {
                count: super::caller::EVENTS,
                pause: Duration::from_millis(60),
            }
        } else {
            std::thread::sleep(Duration::from_millis(30));
            ScriptedResponse::Echo
        }
    });
    let proxy = Proxy::start(stand_in.address());
    Target {
        proxy,
        _stand_in: stand_in,
    }
}

impl Node {
    fn new(
        binary: &Path,
        folder: &Folder,
        place: usize,
        store: SocketAddr,
        seed: Option<SocketAddr>,
    ) -> std::io::Result<Node> {
        let name = format!("i{place}");
        let store = Proxy::start(store);
        let [callers, ready, directory, control, peers] = [(); 5].map(|()| free_address());
        let settings = json!({
            "instance": name, "domain": domain(place),
            "listen": {
                "callers": callers, "ready": ready, "directory": directory,
                "control": control, "peers": peers,
            },
            "seeds": [seed.unwrap_or(peers)],
            "store": { "address": store.address() },
            "bounds": {
                "key_age_ms": KEY_AGE.as_millis() as u64, "grace_s": GRACE.as_secs(),
                "lookup_s": 5, "retry_ratio": 0.2, "retry_slack": 100.0,
                "cold_excess": 1.5, "cold_slack": 5.0, "load_multiple": 2.0,
            },
            "machine": { "cores": 0.5, "descriptors": 2_000 },
        });
        let path = folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(Node {
            name,
            daemon: Daemon::new(binary, path),
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

    /// Starts again what was asked to stop; returns what ended wrongly.
    fn look(&mut self) -> Option<String> {
        if matches!(self.state, State::Down) || self.daemon.is_running() && !self.is_hung() {
            return None;
        }
        let finding = self.judge_end();
        self.daemon.kill();
        self.daemon.start();
        self.state = State::Up;
        finding
    }

    fn is_hung(&self) -> bool {
        matches!(self.state, State::Stopping(since) if since.elapsed() > GRACE + GRACE_SLACK)
    }

    /// Judges how a process has ended.
    fn judge_end(&mut self) -> Option<String> {
        let name = &self.name;
        let is_asked = matches!(self.state, State::Stopping(_));
        match self.daemon.ended() {
            None if is_asked => Some(format!("EXIT: {name} did not end in its grace")),
            Some(status) if !is_asked => Some(format!("EXIT: {name} ended unasked: {status}")),
            Some(status) if !status.success() => Some(format!("EXIT: {name}: {status}")),
            _ => None,
        }
    }
}
