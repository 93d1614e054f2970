//! Start, background tasks and graceful shutdown of an instance under service documents.

use crate::answers::Answers;
use crate::caller_api::LocalCallerApi;
use crate::idempotency::IssuedIds;
use crate::metrics::Metrics;
use crate::node_thread::{NodeHandle, NodeThread};
use crate::operator_api::LocalOperatorApi;
use crate::runner::TargetClients;
use crate::settings::Settings;
use crate::store::Store;
use crate::{Error, Result};
use decision::{Event, Listing, Node, PollTarget, TargetId};
use exchange::MemoryBudget;
use peer::{Mesh, WsMesh};
use platform::{BlockingStore, InstanceRegistry, RecordStore};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use target::{EngineClient, ServiceClient};

/// Shortest operators' token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;
/// Interval at which the load reports of engines are read.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which expired answers are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which metrics are sent.
const METRICS_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which a stopping instance checks whether all requests are finished.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the queue of mesh events for the node's thread.
const PEER_EVENT_QUEUE: usize = 4_096;

/// Services of the platform, as trait objects so that tests can replace them.
#[derive(Clone)]
pub struct Platform {
    /// Rows that all instances share.
    pub records: Arc<dyn RecordStore>,
    /// List of instances.
    pub registry: Arc<dyn InstanceRegistry>,
}

impl Platform {
    /// Uses the store at `address` for both services.
    pub fn with_store(address: SocketAddr) -> Self {
        let store = Arc::new(BlockingStore::new(address));
        Platform {
            records: store.clone(),
            registry: store,
        }
    }
}

/// A running instance under service documents.
pub struct Instance {
    node: NodeHandle,
    answers: Arc<Answers>,
    leaving: Arc<AtomicBool>,
    registry: Arc<dyn InstanceRegistry>,
    listing: Listing,
    caller_server: caller::Server,
    operator_server: operator::Server,
    settings: Settings,
    stop_requests: flume::Receiver<()>,
}

impl Instance {
    /// Starts an instance on the current async runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, a token, certificate or key cannot be read, or
    /// a thread cannot be started.
    pub async fn start(settings: Settings, platform: Platform) -> Result<Instance> {
        let start = Instant::now();
        let incarnation = new_incarnation();
        let token = read_token(&settings)?;
        let (peer_sender, peer_events) = flume::bounded(PEER_EVENT_QUEUE);
        let mesh = start_mesh(&settings, incarnation, peer_sender).await?;
        let store = Store::start(platform.records.clone())
            .map_err(|e| io_error("start", &"threads", &e))?;
        let answers = Arc::new(Answers::new(settings.answers.clone()));
        let (node, inputs) = NodeHandle::new();
        let memory = MemoryBudget::default();
        let targets = TargetClients {
            engine: Arc::new(EngineClient::new(memory.clone())),
            plain: Arc::new(ServiceClient::new(memory)),
        };
        let leaving = Arc::new(AtomicBool::new(false));
        let caller_api = LocalCallerApi {
            instance: settings.instance.clone(),
            incarnation,
            node: node.clone(),
            store: store.clone(),
            answers: answers.clone(),
            issued_ids: Arc::new(IssuedIds::new(settings.instance.clone(), incarnation)),
            targets: targets.clone(),
            lookup_ttl: settings.caller.lookup_ttl,
            seq: Arc::new(AtomicU64::new(1)),
            leaving: leaving.clone(),
        };
        let caller_server = caller::Server::builder(settings.caller.listen)
            .max_connections(settings.caller.max_connections)
            .max_body(settings.caller.max_body)
            .head_timeout(settings.caller.head_timeout)
            .start(Arc::new(caller_api))
            .await
            .map_err(|e| io_error("listen for callers on", &settings.caller.listen, &e))?;
        let listing = own_listing(&settings, caller_server.local_addr(), mesh.local_addr());
        let node_settings = decision::NodeSettings::builder(listing.clone(), incarnation)
            .max_chats(settings.max_chats)
            .heartbeat_interval(settings.membership.heartbeat_interval)
            .suspect_after(settings.membership.suspect_timeout)
            .dead_after(settings.membership.dead_timeout)
            .build();
        let (stop_sender, stop_requests) = flume::bounded(1);
        let operator_api = LocalOperatorApi {
            instance: settings.instance.clone(),
            settings: settings.clone(),
            node: node.clone(),
            store: store.clone(),
            answers: answers.clone(),
            mesh: mesh.clone(),
            stop_sender,
        };
        let operator_server =
            operator::Server::start(settings.operator.listen, token, Arc::new(operator_api))
                .map_err(|e| io_error("listen for operators on", &settings.operator.listen, &e))?;
        let node_thread = NodeThread {
            node: Node::new(node_settings, start.elapsed()),
            start,
            mesh: mesh.clone(),
            peer_events,
            store: store.clone(),
            answers: answers.clone(),
        };
        node_thread
            .start(node.clone(), inputs)
            .map_err(|e| io_error("start", &"threads", &e))?;
        node.send_event(Event::InstanceList(settings.peer.seeds.clone()));
        start_platform_poll(&settings, &platform, &listing, &node, &store, &leaving)?;
        tokio::spawn(poll_loads(node.clone(), targets));
        tokio::spawn(expire_answers(answers.clone()));
        if let Some(statsd) = settings.statsd {
            let metrics = Metrics::new(statsd, &settings.instance)?;
            tokio::spawn(send_metrics(metrics, node.clone(), mesh, answers.clone()));
        }
        log::info!(
            "instance {} serves callers at {}, peers at {}, operators at {}",
            settings.instance,
            caller_server.local_addr(),
            listing.peer,
            operator_server.local_addr()
        );
        Ok(Instance {
            node,
            answers,
            leaving,
            registry: platform.registry,
            listing,
            caller_server,
            operator_server,
            settings,
            stop_requests,
        })
    }

    /// Returns the address on which callers are served.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_server.local_addr()
    }

    /// Returns the address on which operators are served.
    pub fn operator_addr(&self) -> SocketAddr {
        self.operator_server.local_addr()
    }

    /// Returns the entry of this instance in lists of instances.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Waits until an operator asks this instance to stop.
    pub async fn stop_requested(&self) {
        if self.stop_requests.recv_async().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Shuts down gracefully; returns whether every request was completed.
    ///
    /// The instance leaves placement at once, but accepts callers until their cached
    /// lookups have expired. It ends when no answer is unfinished or being read, and at the
    /// latest after the `stop_limit` of the settings.
    pub async fn stop(self) -> bool {
        log::info!("instance {} is stopping", self.settings.instance);
        let started_at = Instant::now();
        self.leaving.store(true, Ordering::Relaxed);
        self.node.send_event(Event::Shutdown);
        let listing = Listing {
            leaving: true,
            ..self.listing.clone()
        };
        let registry = self.registry.clone();
        std::thread::spawn(move || {
            if let Err(e) = registry.announce(&listing) {
                log::warn!("cannot announce the shutdown to the platform: {e}");
            }
        });
        // Other instances may return this one's address until they learn of the shutdown,
        // and callers cache it for another `lookup_ttl`.
        let lookup_expiry =
            self.settings.caller.lookup_ttl + self.settings.membership.suspect_timeout;
        while started_at.elapsed() < self.settings.stop_limit {
            let is_idle =
                self.answers.count_unfinished() == 0 && self.answers.count_being_read() == 0;
            if started_at.elapsed() >= lookup_expiry && is_idle {
                break;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        self.caller_server.stop_accepting();
        let cut_off = self.answers.count_unfinished();
        // Lets the sockets send the last bytes.
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        self.node.stop();
        log::info!("stopped; {cut_off} requests were cut off");
        cut_off == 0
    }
}

/// Returns the wall-clock time in milliseconds, which tells this start of the instance from
/// earlier ones.
fn new_incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |t| t.as_millis() as u64)
}

/// Reads and validates the operators' token.
fn read_token(settings: &Settings) -> Result<String> {
    let path = &settings.operator.token_file;
    let text = std::fs::read_to_string(path).map_err(|e| io_error("read", &path.display(), &e))?;
    let token = text.trim();
    if token.len() < MIN_TOKEN_BYTES {
        return Err(Error::Setting {
            path: "operator.token_file".to_owned(),
            message: "the token must have at least 16 characters".to_owned(),
        });
    }
    Ok(token.to_owned())
}

async fn start_mesh(
    settings: &Settings,
    incarnation: u64,
    events: flume::Sender<peer::PeerEvent>,
) -> Result<Arc<WsMesh>> {
    let instance = settings.instance.clone();
    let listen = settings.peer.listen;
    let mut builder = WsMesh::builder(instance, incarnation, listen, events);
    if let Some(files) = settings.tls_files() {
        builder = builder.tls(peer::TlsReloader::load(files).map_err(|e| mesh_error(&e))?);
    }
    builder.start().await.map_err(|e| mesh_error(&e))
}

fn mesh_error(error: &peer::Error) -> Error {
    Error::Mesh {
        message: error.to_string(),
    }
}

/// Builds this instance's entry in lists, with the addresses that others connect to.
fn own_listing(settings: &Settings, caller: SocketAddr, peer: SocketAddr) -> Listing {
    Listing {
        id: settings.instance.clone(),
        domain: settings.domain.clone(),
        caller: settings.caller.advertise.unwrap_or(caller),
        peer: settings.peer.advertise.unwrap_or(peer),
        leaving: false,
        starting: false,
        power: 0,
    }
}

/// Starts the thread that reads the platform's store at an interval.
///
/// It announces this instance until that succeeds once, and passes the list of instances,
/// new documents and drain marks to the node.
fn start_platform_poll(
    settings: &Settings,
    platform: &Platform,
    listing: &Listing,
    node: &NodeHandle,
    store: &Store,
    leaving: &Arc<AtomicBool>,
) -> Result<()> {
    let interval = settings.platform.poll_interval;
    let (registry, listing) = (platform.registry.clone(), listing.clone());
    let (node, store, leaving) = (node.clone(), store.clone(), leaving.clone());
    let thread = std::thread::Builder::new().name("platform-poll".to_owned());
    let poll = move || {
        let mut announced = false;
        let mut was_up = None;
        loop {
            if !announced && !leaving.load(Ordering::Relaxed) {
                announced = registry.announce(&listing).is_ok();
            }
            if let Ok(list) = registry.list() {
                node.send_event(Event::InstanceList(list));
            }
            let is_up = read_table(&node, &store);
            if was_up != Some(is_up) {
                log::info!(
                    "the platform's store {}",
                    if is_up {
                        "responds"
                    } else {
                        "does not respond"
                    }
                );
                was_up = Some(is_up);
            }
            std::thread::sleep(interval);
        }
    };
    thread
        .spawn(poll)
        .map_err(|e| io_error("start", &"threads", &e))?;
    Ok(())
}

/// Passes new documents and all drain marks to the node; returns whether the store responded.
fn read_table(node: &NodeHandle, store: &Store) -> bool {
    let documents = node.documents.clone();
    let known = |service: &decision::ServiceId| {
        let documents = documents.read().expect("documents");
        documents.get(service).map_or(0, |v| v.version)
    };
    let Ok(changes) = store.read_changes(known) else {
        return false;
    };
    for versioned in changes.documents {
        node.send_event(Event::Document(versioned));
    }
    for mark in changes.marks {
        node.send_event(Event::DrainMark(mark));
    }
    true
}

/// Boot number of an engine and sequence number from which its cache events are read next.
type EventPosition = (u64, u64);

/// Reads load reports and cache events of the engines that this instance is steward of.
async fn poll_loads(node: NodeHandle, targets: TargetClients) {
    let mut positions = BTreeMap::<TargetId, EventPosition>::new();
    loop {
        let reply = node.inspect(|node, _| node.poll_targets());
        let Ok(poll_targets) = reply.recv_async().await else {
            return;
        };
        positions.retain(|target, _| poll_targets.iter().any(|p| p.target == *target));
        let mut tasks = Vec::new();
        for poll in poll_targets {
            let position = positions.get(&poll.target).copied().unwrap_or_default();
            let polling = targets.engine.poll_load(poll.address, position.1);
            tasks.push((poll, position, tokio::spawn(polling)));
        }
        for (poll, position, task) in tasks {
            if let Ok(result) = task.await {
                let next = handle_load_poll(&node, poll.clone(), position, result);
                positions.insert(poll.target, next);
            }
        }
        tokio::time::sleep(LOAD_POLL_INTERVAL).await;
    }
}

/// Passes the result of a poll to the node; returns the position of the next poll.
fn handle_load_poll(
    node: &NodeHandle,
    poll: PollTarget,
    position: EventPosition,
    result: target::Result<target::LoadPoll>,
) -> EventPosition {
    let PollTarget {
        service, target, ..
    } = poll;
    let Ok(polled) = result else {
        node.send_event(Event::TargetUnreachable { service, target });
        return position;
    };
    let chats = polled
        .cached_chats
        .into_iter()
        .filter_map(|(name, tokens)| {
            let chat = u64::from_str_radix(&name, 16).ok()?;
            Some((chat, tokens))
        });
    let chats: Vec<_> = chats.collect();
    let is_same_boot = position.0 == polled.report.boot;
    if !chats.is_empty() {
        node.send_event(Event::CachedTokens {
            service: service.clone(),
            target: target.clone(),
            chats,
            gap: polled.events_lost && is_same_boot,
        });
    }
    let boot = polled.report.boot;
    node.send_event(Event::LoadReport {
        service,
        target,
        report: polled.report,
    });
    // After a restart an engine numbers its events from 0 again.
    if position.0 != 0 && position.0 != boot {
        return (boot, 0);
    }
    (boot, polled.next_seq)
}

/// Removes expired answers at an interval.
async fn expire_answers(answers: Arc<Answers>) {
    loop {
        answers.expire();
        tokio::time::sleep(EXPIRY_INTERVAL).await;
    }
}

/// Sends metrics at an interval until the node's thread ends.
async fn send_metrics(
    metrics: Metrics,
    node: NodeHandle,
    mesh: Arc<WsMesh>,
    answers: Arc<Answers>,
) {
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        let reply = node.inspect(decision::Node::dump);
        let Ok(dump) = reply.recv_async().await else {
            return;
        };
        metrics.send(&dump, &mesh.traffic(), answers.usage());
    }
}

fn io_error(step: &'static str, peer: &impl ToString, error: &std::io::Error) -> Error {
    Error::Io {
        step,
        peer: peer.to_string(),
        message: error.to_string(),
    }
}
