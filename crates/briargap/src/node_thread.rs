//! The thread that owns this instance's [`Node`].
//!
//! A node decides and does no input or output. This thread feeds it events, one at a
//! time, from the mesh and from the other threads and tasks of the process, and executes
//! the commands that it returns.

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

/// Interval at which the node gets [`Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the queue of inputs; senders block while it is full.
const INPUT_QUEUE: usize = 4_096;

/// Result of a slot request.
#[derive(Clone, Debug)]
pub(crate) enum SlotReply {
    /// The request may use a slot of this target.
    Granted {
        grant: GrantId,
        target: TargetId,
        address: SocketAddr,
        granted_at: Instant,
    },
    /// The request gets no slot.
    Denied(DenyCode),
}

/// Closure that reads the node on its thread and sends the result back.
type Inspection = Box<dyn FnOnce(&Node, Time) + Send>;

/// Input from another thread or task of the process.
enum NodeInput {
    Event(Event),
    RequestSlot(Event, SlotRequestId, flume::Sender<SlotReply>),
    FetchAnswer(SlotRequestId, InstanceId, Message, flume::Sender<Message>),
    Inspect(Inspection),
    Stop,
}

/// Service documents in force, readable from any thread.
pub(crate) type Documents = Arc<RwLock<BTreeMap<ServiceId, Arc<VersionedDocument>>>>;

/// Handle by which other threads and tasks reach the node.
#[derive(Clone)]
pub(crate) struct NodeHandle {
    inputs: flume::Sender<NodeInput>,
    next_id: Arc<AtomicU64>,
    pub(crate) documents: Documents,
}

/// The node and everything that its thread uses, before the thread is started.
pub(crate) struct NodeThread {
    pub(crate) node: Node,
    /// Origin of the times that the node is given.
    pub(crate) start: Instant,
    pub(crate) mesh: Arc<dyn Mesh>,
    pub(crate) peer_events: flume::Receiver<PeerEvent>,
    pub(crate) store: Store,
    pub(crate) answers: Arc<Answers>,
}

/// Receiving end of the input queue of a thread that is not started yet.
pub(crate) struct PendingInputs(flume::Receiver<NodeInput>);

impl NodeHandle {
    /// Creates a handle; inputs are queued until the thread is started.
    pub(crate) fn new() -> (NodeHandle, PendingInputs) {
        let (inputs, received) = flume::bounded(INPUT_QUEUE);
        let handle = NodeHandle {
            inputs,
            next_id: Arc::new(AtomicU64::new(1)),
            documents: Documents::default(),
        };
        (handle, PendingInputs(received))
    }

    /// Returns a unique id for a slot request or a query for an answer.
    pub(crate) fn next_request_id(&self) -> SlotRequestId {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Queues an event for the node.
    pub(crate) fn send_event(&self, event: Event) {
        let _ = self.inputs.send(NodeInput::Event(event));
    }

    /// Queues a slot request; the receiver gets its result.
    pub(crate) fn request_slot(
        &self,
        id: SlotRequestId,
        event: Event,
    ) -> flume::Receiver<SlotReply> {
        let (sender, reply) = flume::bounded(1);
        let _ = self.inputs.send(NodeInput::RequestSlot(event, id, sender));
        reply
    }

    /// Sends a query for part of an answer to another instance.
    ///
    /// The receiver gets the [`Message::AnswerPart`] that comes back; without one it
    /// stays empty, so callers need a timeout.
    pub(crate) fn fetch_answer(
        &self,
        to: InstanceId,
        id: SlotRequestId,
        message: Message,
    ) -> flume::Receiver<Message> {
        let (sender, reply) = flume::bounded(1);
        let _ = self
            .inputs
            .send(NodeInput::FetchAnswer(id, to, message, sender));
        reply
    }

    /// Runs a closure on the node's thread; the receiver gets its result.
    pub(crate) fn inspect<T: Send + 'static>(
        &self,
        inspect: impl FnOnce(&Node, Time) -> T + Send + 'static,
    ) -> flume::Receiver<T> {
        let (sender, reply) = flume::bounded(1);
        let inspection = Box::new(move |node: &Node, now: Time| {
            let _ = sender.send(inspect(node, now));
        });
        let _ = self.inputs.send(NodeInput::Inspect(inspection));
        reply
    }

    /// Ends the thread once all inputs queued before are handled.
    pub(crate) fn stop(&self) {
        let _ = self.inputs.send(NodeInput::Stop);
    }
}

impl NodeThread {
    /// Starts the thread.
    pub(crate) fn start(self, handle: NodeHandle, inputs: PendingInputs) -> std::io::Result<()> {
        let thread = std::thread::Builder::new().name("core".to_owned());
        let event_loop = EventLoop {
            thread: self,
            documents: handle.documents,
            slot_waiters: BTreeMap::new(),
            answer_waiters: BTreeMap::new(),
        };
        thread.spawn(move || event_loop.run(&inputs.0)).map(drop)
    }
}

/// State of the running thread.
struct EventLoop {
    thread: NodeThread,
    documents: Documents,
    /// Reply channels of slot requests that are neither granted nor denied yet.
    slot_waiters: BTreeMap<SlotRequestId, flume::Sender<SlotReply>>,
    /// Reply channels of queries to other instances.
    answer_waiters: BTreeMap<SlotRequestId, flume::Sender<Message>>,
}

/// What the event loop received while waiting.
enum Wakeup {
    Input(NodeInput),
    Peer(PeerEvent),
    Closed,
}

impl EventLoop {
    fn run(mut self, inputs: &flume::Receiver<NodeInput>) {
        let peer_events = self.thread.peer_events.clone();
        let mut last_tick = Instant::now();
        loop {
            if last_tick.elapsed() >= TICK_INTERVAL {
                last_tick = Instant::now();
                self.handle_event(Event::Tick);
                self.answer_waiters
                    .retain(|_, sender| !sender.is_disconnected());
            }
            let wait = TICK_INTERVAL.saturating_sub(last_tick.elapsed());
            let wakeup = flume::Selector::new()
                .recv(inputs, |r| r.map_or(Wakeup::Closed, Wakeup::Input))
                .recv(&peer_events, |r| r.map_or(Wakeup::Closed, Wakeup::Peer))
                .wait_timeout(wait);
            match wakeup {
                Err(_) => {}
                Ok(Wakeup::Closed | Wakeup::Input(NodeInput::Stop)) => return,
                Ok(Wakeup::Peer(PeerEvent::Message { from, message })) => {
                    self.handle_event(Event::PeerMessage { from, message });
                }
                Ok(Wakeup::Peer(PeerEvent::ConnectionFailed(id))) => {
                    self.handle_event(Event::PeerLost(id));
                }
                Ok(Wakeup::Input(NodeInput::Event(event))) => self.handle_event(event),
                Ok(Wakeup::Input(NodeInput::RequestSlot(event, id, reply))) => {
                    self.slot_waiters.insert(id, reply);
                    self.handle_event(event);
                }
                Ok(Wakeup::Input(NodeInput::FetchAnswer(id, to, message, reply))) => {
                    self.answer_waiters.insert(id, reply);
                    self.send(&to, &message);
                }
                Ok(Wakeup::Input(NodeInput::Inspect(inspection))) => {
                    inspection(&self.thread.node, self.thread.start.elapsed());
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.thread.start.elapsed();
        for command in self.thread.node.handle(now, event) {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Send { to, message } => self.send(&to, &message),
            Command::Granted {
                request,
                grant,
                target,
                address,
            } => self.deliver_grant(request, grant, target, address),
            Command::Denied { request, code } => {
                if let Some(reply) = self.slot_waiters.remove(&request) {
                    let _ = reply.send(SlotReply::Denied(code));
                }
            }
            Command::StoreMark(mark) => self.thread.store.save_mark(mark),
            Command::SendAnswerPart { to, message } => {
                if let Some(part) = self.thread.answers.read_for_instance(&message) {
                    self.send(&to, &part);
                }
            }
            Command::AnswerPart(message) => {
                if let Message::AnswerPart { query, .. } = &message
                    && let Some(reply) = self.answer_waiters.remove(query)
                {
                    let _ = reply.send(message);
                }
            }
            Command::DocumentApplied(service, version) => self.publish_document(&service, version),
            Command::PauseDetected(gap) => {
                log::warn!("the process was paused for {} ms", gap.as_millis());
            }
            Command::MemberChanged(id) => {
                if let Some(member) = self.thread.node.members().get(&id) {
                    log::info!("instance {id} is {:?}", member.status);
                }
            }
            Command::TargetChanged(target, what) => log::info!("target {target} is {what}"),
        }
    }

    /// Sends a message to a known member; drops it for any other instance.
    fn send(&self, to: &InstanceId, message: &Message) {
        if let Some(member) = self.thread.node.members().get(to) {
            self.thread.mesh.send(to, member.peer, message);
        }
    }

    /// Hands a grant to the request that waits for it, or gives the slot back.
    fn deliver_grant(
        &mut self,
        request: SlotRequestId,
        grant: GrantId,
        target: TargetId,
        address: SocketAddr,
    ) {
        let reply = self.slot_waiters.remove(&request);
        let granted = SlotReply::Granted {
            grant,
            target: target.clone(),
            address,
            granted_at: Instant::now(),
        };
        let is_delivered = reply.is_some_and(|r| r.send(granted).is_ok());
        if is_delivered {
            return;
        }
        // The request has ended in the meantime, so the slot stays unused.
        let service = self.thread.node.services().find_map(|v| {
            let document = &v.document;
            document.target(&target).map(|_| document.service.clone())
        });
        if let Some(service) = service {
            self.handle_event(Event::AttemptEnded {
                release: Release::unused(grant, service, target),
                digest: 0,
                crashed: false,
            });
        }
    }

    /// Makes a document that came into force visible to all threads.
    fn publish_document(&self, service: &ServiceId, version: u64) {
        if let Some(versioned) = self.thread.node.document(service) {
            let mut documents = self.documents.write().expect("documents");
            documents.insert(service.clone(), Arc::new(versioned.clone()));
        }
        log::info!("service {service} version {version} is in force");
    }
}
