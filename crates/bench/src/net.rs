//! Several decision states that exchange messages in virtual time.
//!
//! This is a fake of the mesh, not of a cluster: it delivers, delays, loses
//! and repeats messages, and calls the same code that the daemon runs.

use crate::kit;
use decision::{
    Command, Document, Event, InstanceId, Limits, Listing, LoadReport, Message, Node, NodeSettings,
    ServiceKind, Time, VersionedDocument,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval of ticks.
const TICK: Duration = Duration::from_millis(100);
/// Bytes of a WebSocket frame's header.
const HEADER_BYTES: u64 = 6;

/// Losses and delays of the mesh.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Delay of a message.
    pub delay: Duration,
    /// Further delay, drawn evenly.
    pub jitter: Duration,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that come twice.
    pub repeat: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            delay: Duration::from_micros(500),
            jitter: Duration::ZERO,
            loss: 0.0,
            repeat: 0.0,
        }
    }
}

/// Something that a node told its daemon to do, beside sending messages.
#[derive(Clone, Debug)]
pub struct Said {
    /// When.
    pub at: Time,
    /// Which instance.
    pub instance: InstanceId,
    /// What.
    pub command: Command,
}

/// Several decision states and the mesh between them.
pub struct Net {
    /// Time.
    pub now: Time,
    /// Losses and delays.
    pub faults: Faults,
    nodes: BTreeMap<InstanceId, Node>,
    due: BTreeMap<(Time, u64), (InstanceId, Event)>,
    seq: u64,
    rng: ChaCha8Rng,
    paused: BTreeSet<InstanceId>,
    cut: BTreeSet<(InstanceId, InstanceId)>,
    said: Vec<Said>,
    sent: BTreeMap<&'static str, (u64, u64)>,
    sent_by: BTreeMap<InstanceId, u64>,
}

/// Entry of an instance in lists; the addresses are never dialled.
pub fn listing(name: &str, domain: &str) -> Listing {
    Listing {
        id: name.into(),
        domain: domain.into(),
        caller: "127.0.0.1:1".parse().expect("address"),
        peer: "127.0.0.1:2".parse().expect("address"),
        leaving: false,
        starting: false,
        power: 0,
    }
}

/// Document of a pool of so many engines.
pub fn pool_document(engines: usize, workspaces: usize) -> Document {
    let address = "127.0.0.1:9".parse().expect("address");
    let workspaces = (0..workspaces).map(|i| kit::workspace(&format!("w{i}"), 1));
    kit::document(
        "pool",
        ServiceKind::Engine,
        Limits::default(),
        &vec![address; engines],
        workspaces.collect(),
    )
}

/// One instance that stewards a whole pool, warm and past its caution.
pub fn lone_node(engines: usize) -> Node {
    let settings = NodeSettings::builder(listing("alone", "north"), 1).build();
    let mut node = Node::new(settings, Time::ZERO);
    let versioned = VersionedDocument {
        version: 1,
        document: pool_document(engines, 28),
    };
    node.handle(Time::ZERO, Event::Document(versioned));
    for poll in node.poll_targets() {
        let report = LoadReport {
            boot: 1,
            completed: 10_000,
            ..LoadReport::default()
        };
        let event = Event::LoadReport {
            service: poll.service,
            target: poll.target,
            report,
        };
        node.handle(Time::ZERO, event);
    }
    for tenth in 1..=40 {
        node.handle(TICK * tenth, Event::Tick);
    }
    node
}

impl Net {
    /// Makes an empty net; the same seed gives the same run.
    pub fn new(seed: u64, faults: Faults) -> Self {
        Net {
            now: Time::ZERO,
            faults,
            nodes: BTreeMap::new(),
            due: BTreeMap::new(),
            seq: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            said: Vec::new(),
            sent: BTreeMap::new(),
            sent_by: BTreeMap::new(),
        }
    }

    /// Makes a net of so many instances that know each other.
    pub fn with_instances(count: usize, seed: u64, faults: Faults) -> Self {
        let mut net = Net::new(seed, faults);
        for i in 0..count {
            let name = format_smolstr!("instance-{i:03}");
            net.add(&name, kit::DOMAINS[i % kit::DOMAINS.len()], 1);
        }
        net.list_all();
        net
    }

    /// Adds an instance.
    pub fn add(&mut self, name: &str, domain: &str, incarnation: u64) {
        let settings = NodeSettings::builder(listing(name, domain), incarnation).build();
        let node = Node::new(settings, self.now);
        self.nodes.insert(name.into(), node);
        // Ticks of different instances fall on different times.
        let offset = Duration::from_micros(self.rng.random_range(0..100_000));
        self.schedule(offset, name.into(), Event::Tick);
    }

    /// Gives every instance the list of all.
    pub fn list_all(&mut self) {
        let ids: Vec<InstanceId> = self.nodes.keys().cloned().collect();
        let list: Vec<Listing> = ids
            .iter()
            .map(|id| listing(id, &self.nodes[id].members().me().domain))
            .collect();
        for id in ids {
            self.hand(&id, Event::InstanceList(list.clone()));
        }
    }

    /// Takes an instance away without a word.
    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    /// Stops an instance's process, or lets it go on.
    pub fn pause(&mut self, name: &str, is_paused: bool) {
        if is_paused {
            self.paused.insert(name.into());
        } else if self.paused.remove(name) {
            self.schedule(Duration::ZERO, name.into(), Event::Tick);
        }
    }

    /// Cuts the mesh between two groups, both ways, or mends it.
    pub fn cut(&mut self, one: &[InstanceId], other: &[InstanceId], is_cut: bool) {
        for a in one {
            for b in other {
                for pair in [(a.clone(), b.clone()), (b.clone(), a.clone())] {
                    if is_cut {
                        self.cut.insert(pair);
                    } else {
                        self.cut.remove(&pair);
                    }
                }
            }
        }
    }

    /// Whether an instance's process is stopped.
    pub fn is_paused(&self, name: &str) -> bool {
        self.paused.contains(name)
    }

    /// Instances that run, paused ones included.
    pub fn instances(&self) -> Vec<InstanceId> {
        self.nodes.keys().cloned().collect()
    }

    /// One instance's decisions.
    pub fn node(&self, name: &str) -> &Node {
        &self.nodes[name]
    }

    /// Hands an event to an instance now, or when its pause is over.
    pub fn hand(&mut self, name: &str, event: Event) {
        if self.paused.contains(name) {
            return self.schedule(TICK, name.into(), event);
        }
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let commands = node.handle(self.now, event);
        for command in commands {
            self.carry_out(name, command);
        }
    }

    /// Hands a document to every instance, as the platform's table does.
    pub fn accept(&mut self, document: &Document, version: u64) {
        for id in self.instances() {
            let document = document.clone();
            let versioned = VersionedDocument { version, document };
            self.hand(&id, Event::Document(versioned));
        }
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Time) {
        while let Some((&(at, seq), _)) = self.due.first_key_value() {
            if at > end {
                break;
            }
            let (name, event) = self.due.remove(&(at, seq)).expect("first entry");
            self.now = at;
            self.deliver(&name, event);
        }
        self.now = end;
    }

    /// Runs for a time.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Time of the next thing that is due.
    pub fn next_due(&self) -> Option<Time> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes what the nodes told their daemons.
    pub fn take_said(&mut self) -> Vec<Said> {
        std::mem::take(&mut self.said)
    }

    /// Messages and bytes sent so far, by kind.
    pub fn sent(&self) -> &BTreeMap<&'static str, (u64, u64)> {
        &self.sent
    }

    /// Bytes sent so far by each instance.
    pub fn sent_by(&self) -> &BTreeMap<InstanceId, u64> {
        &self.sent_by
    }

    fn deliver(&mut self, name: &InstanceId, event: Event) {
        let is_tick = matches!(event, Event::Tick);
        if self.paused.contains(name) {
            if !is_tick {
                // The kernel keeps what arrives meanwhile.
                self.hand(name, event);
            }
            return;
        }
        if is_tick && self.nodes.contains_key(name) {
            self.schedule(TICK, name.clone(), Event::Tick);
        }
        self.hand(name, event);
    }

    fn schedule(&mut self, after: Duration, name: InstanceId, event: Event) {
        self.seq += 1;
        self.due.insert((self.now + after, self.seq), (name, event));
    }

    fn carry_out(&mut self, from: &str, command: Command) {
        match command {
            Command::Send { to, message } => self.send(from, &to, &message),
            command => self.said.push(Said {
                at: self.now,
                instance: from.into(),
                command,
            }),
        }
    }

    fn send(&mut self, from: &str, to: &InstanceId, message: &Message) {
        let bytes = peer::encode(message).len() as u64 + HEADER_BYTES;
        let row = self.sent.entry(message.kind()).or_default();
        row.0 += 1;
        row.1 += bytes;
        *self.sent_by.entry(from.into()).or_default() += bytes;
        let is_cut = self.cut.contains(&(from.into(), to.clone()));
        if is_cut || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.repeat));
        for _ in 0..copies {
            let jitter = self.faults.jitter.mul_f64(self.rng.random());
            let event = Event::PeerMessage {
                from: from.into(),
                message: message.clone(),
            };
            self.schedule(self.faults.delay + jitter, to.clone(), event);
        }
    }
}
