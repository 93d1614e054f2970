//! Decision states of several instances that exchange messages in virtual time.
//!
//! Only the mesh between the instances is simulated: it delivers, delays, loses
//! and duplicates messages. The decision states are the code that the daemon runs.

use crate::test_fleet;
use decision::{
    Command, Document, Event, InstanceId, Limits, Listing, LoadReport, Message, Node, NodeSettings,
    ServiceKind, Time, VersionedDocument,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval of the tick events of an instance.
const TICK: Duration = Duration::from_millis(100);
/// Size of the header of a WebSocket frame, in bytes.
const HEADER_BYTES: u64 = 6;

/// Delays, losses and duplicates of messages in the mesh.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Delay of a message.
    pub delay: Duration,
    /// Upper limit of a further delay, which is drawn uniformly.
    pub jitter: Duration,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that are delivered twice.
    pub duplicate: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            delay: Duration::from_micros(500),
            jitter: Duration::ZERO,
            loss: 0.0,
            duplicate: 0.0,
        }
    }
}

/// Command of a node to its daemon, other than to send a message.
#[derive(Clone, Debug)]
pub struct IssuedCommand {
    /// Time of the command.
    pub at: Time,
    /// Instance whose node issued it.
    pub instance: InstanceId,
    /// The command.
    pub command: Command,
}

/// Decision states of several instances and the simulated mesh between them.
pub struct Net {
    /// Current virtual time.
    pub now: Time,
    /// Delays, losses and duplicates of messages.
    pub faults: Faults,
    nodes: BTreeMap<InstanceId, Node>,
    due: BTreeMap<(Time, u64), (InstanceId, Event)>,
    seq: u64,
    rng: ChaCha8Rng,
    paused: BTreeSet<InstanceId>,
    cut_links: BTreeSet<(InstanceId, InstanceId)>,
    issued: Vec<IssuedCommand>,
    sent: BTreeMap<&'static str, (u64, u64)>,
    sent_by: BTreeMap<InstanceId, u64>,
}

/// Returns a list entry of an instance; nothing connects to its addresses.
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

/// Returns the document of a pool with the given numbers of engines and workspaces.
pub fn pool_document(engines: usize, workspaces: usize) -> Document {
    let address = "127.0.0.1:9".parse().expect("address");
    let workspaces = (0..workspaces).map(|i| test_fleet::workspace(&format!("w{i}"), 1));
    test_fleet::document(
        "pool",
        ServiceKind::Engine,
        Limits::default(),
        &vec![address; engines],
        workspaces.collect(),
    )
}

/// Returns the node of a lone instance, which is the steward of a whole pool of
/// warm engines (grants all their slots).
///
/// Four seconds of ticks have passed, so the node no longer grants with the caution
/// of one that has just started.
pub fn single_node(engines: usize) -> Node {
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
    for tick in 1..=40 {
        node.handle(TICK * tick, Event::Tick);
    }
    node
}

impl Net {
    /// Creates a net without instances; the same seed gives the same run.
    pub fn new(seed: u64, faults: Faults) -> Self {
        Net {
            now: Time::ZERO,
            faults,
            nodes: BTreeMap::new(),
            due: BTreeMap::new(),
            seq: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            paused: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            issued: Vec::new(),
            sent: BTreeMap::new(),
            sent_by: BTreeMap::new(),
        }
    }

    /// Creates a net of instances that know each other.
    pub fn with_instances(count: usize, seed: u64, faults: Faults) -> Self {
        let mut net = Net::new(seed, faults);
        for i in 0..count {
            let name = format_smolstr!("instance-{i:03}");
            net.add(&name, test_fleet::DOMAINS[i % test_fleet::DOMAINS.len()], 1);
        }
        net.share_listings();
        net
    }

    /// Adds an instance.
    pub fn add(&mut self, name: &str, domain: &str, incarnation: u64) {
        let settings = NodeSettings::builder(listing(name, domain), incarnation).build();
        let node = Node::new(settings, self.now);
        self.nodes.insert(name.into(), node);
        // Spreads the ticks of the instances over the interval.
        let offset = Duration::from_micros(self.rng.random_range(0..100_000));
        self.schedule(offset, name.into(), Event::Tick);
    }

    /// Passes the list of all instances to each of them.
    pub fn share_listings(&mut self) {
        let ids: Vec<InstanceId> = self.nodes.keys().cloned().collect();
        let list: Vec<Listing> = ids
            .iter()
            .map(|id| listing(id, &self.nodes[id].members().me().domain))
            .collect();
        for id in ids {
            self.handle_event(&id, Event::InstanceList(list.clone()));
        }
    }

    /// Removes an instance without a notice to the others, as a crash does.
    pub fn kill(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    /// Pauses an instance's process or resumes it.
    pub fn pause(&mut self, name: &str, is_paused: bool) {
        if is_paused {
            self.paused.insert(name.into());
        } else if self.paused.remove(name) {
            self.schedule(Duration::ZERO, name.into(), Event::Tick);
        }
    }

    /// Partitions two groups of instances from each other, or ends the partition.
    pub fn cut(&mut self, one: &[InstanceId], other: &[InstanceId], is_cut: bool) {
        for a in one {
            for b in other {
                for pair in [(a.clone(), b.clone()), (b.clone(), a.clone())] {
                    if is_cut {
                        self.cut_links.insert(pair);
                    } else {
                        self.cut_links.remove(&pair);
                    }
                }
            }
        }
    }

    /// Returns whether an instance is paused.
    pub fn is_paused(&self, name: &str) -> bool {
        self.paused.contains(name)
    }

    /// Returns the instances that run, paused ones included.
    pub fn instances(&self) -> Vec<InstanceId> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the decision state of an instance.
    pub fn node(&self, name: &str) -> &Node {
        &self.nodes[name]
    }

    /// Passes an event to an instance now, or after its pause if it is paused.
    pub fn handle_event(&mut self, name: &str, event: Event) {
        if self.paused.contains(name) {
            return self.schedule(TICK, name.into(), event);
        }
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let commands = node.handle(self.now, event);
        for command in commands {
            self.execute(name, command);
        }
    }

    /// Passes a document to every instance, as if each had read it from the store.
    pub fn apply_document(&mut self, document: &Document, version: u64) {
        for id in self.instances() {
            let document = document.clone();
            let versioned = VersionedDocument { version, document };
            self.handle_event(&id, Event::Document(versioned));
        }
    }

    /// Runs until the given time.
    pub fn run_until(&mut self, end: Time) {
        while let Some((&(at, seq), _)) = self.due.first_key_value() {
            if at > end {
                break;
            }
            let (name, event) = self.due.remove(&(at, seq)).expect("first entry");
            self.now = at;
            self.process(&name, event);
        }
        self.now = end;
    }

    /// Runs for the given duration.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Returns the time of the next event.
    pub fn next_due(&self) -> Option<Time> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes the commands that nodes have issued to their daemons.
    pub fn take_commands(&mut self) -> Vec<IssuedCommand> {
        std::mem::take(&mut self.issued)
    }

    /// Returns the numbers of messages and bytes sent so far, by message kind.
    pub fn sent(&self) -> &BTreeMap<&'static str, (u64, u64)> {
        &self.sent
    }

    /// Returns the bytes that each instance has sent so far.
    pub fn sent_by(&self) -> &BTreeMap<InstanceId, u64> {
        &self.sent_by
    }

    fn process(&mut self, name: &InstanceId, event: Event) {
        let is_tick = matches!(event, Event::Tick);
        if self.paused.contains(name) {
            if !is_tick {
                // The kernel buffers what a paused process receives.
                self.handle_event(name, event);
            }
            return;
        }
        if is_tick && self.nodes.contains_key(name) {
            self.schedule(TICK, name.clone(), Event::Tick);
        }
        self.handle_event(name, event);
    }

    fn schedule(&mut self, after: Duration, name: InstanceId, event: Event) {
        self.seq += 1;
        self.due.insert((self.now + after, self.seq), (name, event));
    }

    fn execute(&mut self, from: &str, command: Command) {
        match command {
            Command::Send { to, message } => self.send(from, &to, &message),
            command => self.issued.push(IssuedCommand {
                at: self.now,
                instance: from.into(),
                command,
            }),
        }
    }

    fn send(&mut self, from: &str, to: &InstanceId, message: &Message) {
        let bytes = peer::encode(message).len() as u64 + HEADER_BYTES;
        let count = self.sent.entry(message.kind()).or_default();
        count.0 += 1;
        count.1 += bytes;
        *self.sent_by.entry(from.into()).or_default() += bytes;
        let is_cut = self.cut_links.contains(&(from.into(), to.clone()));
        if is_cut || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate));
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
