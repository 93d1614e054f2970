//! The thread that owns the decisions.

use crate::answers::Answers;
use crate::store::Store;
use decision::{
    Command, DenyCode, Event, GrantId, InstanceId, Message, Node, Release, ServiceId,
    SlotRequestId, TargetId, Time, VersionedDocument,
};
use peer::{Mesh, PeerEvent};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

/// Interval of ticks.
const TICK: Duration = Duration::from_millis(100);
/// Inputs that wait for the thread.
const INPUTS_WAITING: usize = 4_096;

/// Answer to an ask for a slot.
#[derive(Clone, Debug)]
pub(crate) enum AskReply {
    /// A slot.
    Granted {
        grant: GrantId,
        target: TargetId,
        address: SocketAddr,
        at: Instant,
    },
    /// No slot.
    Denied(DenyCode),
}

type Query = Box<dyn FnOnce(&Node, Time) + Send>;

enum CoreInput {
    Event(Event),
    Ask(Event, SlotRequestId, flume::Sender<AskReply>),
    PartAsk(SlotRequestId, InstanceId, Message, flume::Sender<Message>),
    Query(Query),
    Stop,
}

/// Documents in force, for readers on any thread.
pub(crate) type Documents = Arc<RwLock<BTreeMap<ServiceId, Arc<VersionedDocument>>>>;

/// The way to the thread that owns the decisions.
#[derive(Clone)]
pub(crate) struct CoreHandle {
    inputs: flume::Sender<CoreInput>,
    asks: Arc<AtomicU64>,
    pub(crate) documents: Documents,
}

/// What the thread needs besides its node.
pub(crate) struct Core {
    pub(crate) node: Node,
    pub(crate) start: Instant,
    pub(crate) mesh: Arc<dyn Mesh>,
    pub(crate) peers: flume::Receiver<PeerEvent>,
    pub(crate) store: Store,
    pub(crate) answers: Arc<Answers>,
}

/// Inputs of a core that has not started yet.
pub(crate) struct CoreInputs(flume::Receiver<CoreInput>);

impl CoreHandle {
    /// Makes a handle; inputs wait until the core is started.
    pub(crate) fn new() -> (CoreHandle, CoreInputs) {
        let (inputs, received) = flume::bounded(INPUTS_WAITING);
        let handle = CoreHandle {
            inputs,
            asks: Arc::new(AtomicU64::new(1)),
            documents: Documents::default(),
        };
        (handle, CoreInputs(received))
    }

    /// Number for the next ask.
    pub(crate) fn next_ask(&self) -> SlotRequestId {
        self.asks.fetch_add(1, Ordering::Relaxed)
    }

    /// Hands in an event.
    pub(crate) fn event(&self, event: Event) {
        let _ = self.inputs.send(CoreInput::Event(event));
    }

    /// Asks for a slot.
    pub(crate) fn ask(&self, id: SlotRequestId, event: Event) -> flume::Receiver<AskReply> {
        let (sender, reply) = flume::bounded(1);
        let _ = self.inputs.send(CoreInput::Ask(event, id, sender));
        reply
    }

    /// Asks another instance for a part of an answer.
    pub(crate) fn part(
        &self,
        to: InstanceId,
        id: SlotRequestId,
        message: Message,
    ) -> flume::Receiver<Message> {
        let (sender, reply) = flume::bounded(1);
        let _ = self
            .inputs
            .send(CoreInput::PartAsk(id, to, message, sender));
        reply
    }

    /// Reads something of the node.
    pub(crate) fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Node, Time) -> T + Send + 'static,
    ) -> flume::Receiver<T> {
        let (sender, reply) = flume::bounded(1);
        let query = Box::new(move |node: &Node, now: Time| {
            let _ = sender.send(read(node, now));
        });
        let _ = self.inputs.send(CoreInput::Query(query));
        reply
    }

    /// Ends the thread.
    pub(crate) fn stop(&self) {
        let _ = self.inputs.send(CoreInput::Stop);
    }
}

impl Core {
    /// Starts the thread.
    pub(crate) fn start(self, handle: CoreHandle, inputs: CoreInputs) -> std::io::Result<()> {
        let thread = std::thread::Builder::new().name("core".to_owned());
        let running = Running {
            core: self,
            documents: handle.documents,
            waiting: BTreeMap::new(),
            parts: BTreeMap::new(),
        };
        thread.spawn(move || running.run(&inputs.0)).map(drop)
    }
}

struct Running {
    core: Core,
    documents: Documents,
    waiting: BTreeMap<SlotRequestId, flume::Sender<AskReply>>,
    parts: BTreeMap<SlotRequestId, flume::Sender<Message>>,
}

enum Next {
    Input(CoreInput),
    Peer(PeerEvent),
    Closed,
}

impl Running {
    fn run(mut self, inputs: &flume::Receiver<CoreInput>) {
        let peers = self.core.peers.clone();
        let mut tick = Instant::now();
        loop {
            if tick.elapsed() >= TICK {
                tick = Instant::now();
                self.handle(Event::Tick);
                self.parts.retain(|_, sender| !sender.is_disconnected());
            }
            let wait = TICK.saturating_sub(tick.elapsed());
            let next = flume::Selector::new()
                .recv(inputs, |r| r.map_or(Next::Closed, Next::Input))
                .recv(&peers, |r| r.map_or(Next::Closed, Next::Peer))
                .wait_timeout(wait);
            match next {
                Err(_) => {}
                Ok(Next::Closed | Next::Input(CoreInput::Stop)) => return,
                Ok(Next::Peer(PeerEvent::Message { from, message })) => {
                    self.handle(Event::PeerMessage { from, message });
                }
                Ok(Next::Peer(PeerEvent::ConnectionFailed(id))) => self.handle(Event::PeerLost(id)),
                Ok(Next::Input(CoreInput::Event(event))) => self.handle(event),
                Ok(Next::Input(CoreInput::Ask(event, id, reply))) => {
                    self.waiting.insert(id, reply);
                    self.handle(event);
                }
                Ok(Next::Input(CoreInput::PartAsk(id, to, message, reply))) => {
                    self.parts.insert(id, reply);
                    self.send(&to, &message);
                }
                Ok(Next::Input(CoreInput::Query(query))) => {
                    query(&self.core.node, self.core.start.elapsed());
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.core.start.elapsed();
        for command in self.core.node.handle(now, event) {
            self.carry_out(command);
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Send { to, message } => self.send(&to, &message),
            Command::Granted {
                ask,
                grant,
                target,
                address,
            } => self.granted(ask, grant, target, address),
            Command::Denied { ask, code } => {
                if let Some(reply) = self.waiting.remove(&ask) {
                    let _ = reply.send(AskReply::Denied(code));
                }
            }
            Command::StoreMark(mark) => self.core.store.save_mark(mark),
            Command::SendAnswerPart { to, message } => {
                if let Some(part) = self.core.answers.part(&message) {
                    self.send(&to, &part);
                }
            }
            Command::AnswerPart(message) => {
                if let Message::AnswerPart { ask, .. } = &message
                    && let Some(reply) = self.parts.remove(ask)
                {
                    let _ = reply.send(message);
                }
            }
            Command::DocumentApplied(service, version) => self.in_force(&service, version),
            Command::PauseDetected(gap) => log::warn!("paused for {} ms", gap.as_millis()),
            Command::MemberChanged(id) => {
                if let Some(member) = self.core.node.members().get(&id) {
                    log::info!("instance {id} is {:?}", member.status);
                }
            }
            Command::TargetChanged(target, what) => log::info!("target {target} is {what}"),
        }
    }

    fn send(&self, to: &InstanceId, message: &Message) {
        if let Some(member) = self.core.node.members().get(to) {
            self.core.mesh.send(to, member.peer, message);
        }
    }

    fn granted(
        &mut self,
        ask: SlotRequestId,
        grant: GrantId,
        target: TargetId,
        address: SocketAddr,
    ) {
        let reply = self.waiting.remove(&ask);
        let granted = AskReply::Granted {
            grant,
            target: target.clone(),
            address,
            at: Instant::now(),
        };
        let is_taken = reply.is_some_and(|r| r.send(granted).is_ok());
        if is_taken {
            return;
        }
        // The request has gone meanwhile: nothing will use the slot.
        let service = self.core.node.services().find_map(|v| {
            let document = &v.document;
            document.target(&target).map(|_| document.service.clone())
        });
        if let Some(service) = service {
            self.handle(Event::AttemptEnded {
                release: Release::unused(grant, service, target),
                digest: 0,
                crashed: false,
            });
        }
    }

    fn in_force(&self, service: &ServiceId, version: u64) {
        if let Some(versioned) = self.core.node.document(service) {
            let mut documents = self.documents.write().expect("documents");
            documents.insert(service.clone(), Arc::new(versioned.clone()));
        }
        log::info!("service {service} version {version} is in force");
    }
}
