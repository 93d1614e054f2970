//! Mesh over WebSocket connections.

use crate::frame::{Frame, Hello, PROTOCOL, decode, decode_hello, encode};
use crate::link::{self, Dialer, Socket, Stream};
use crate::meter::{Meter, Metered};
use crate::{Error, Mesh, PeerEvent, Result, TlsReloader};
use decision::{Incarnation, InstanceId, Message};
use exchange::{MemoryBudget, Purpose};
use futures_util::StreamExt;
use serde::Serialize;
use snafu::ResultExt;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio_tungstenite::tungstenite::Message as WsMessage;

/// Default maximum number of incoming connections.
const CONNECTIONS_MAX: usize = 2_048;
/// Timeout for the greeting of an incoming connection, including TLS.
const GREETING_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which an incoming connection is checked: one whose message is under way
/// at two checks without a complete one between them is closed.
const MESSAGE_CHECK: Duration = Duration::from_secs(10);
/// Number of checks without a frame after which an incoming connection is closed.
const IDLE_CHECKS: u32 = 12;
/// Size in bytes of the receive buffer of an incoming connection.
const RECEIVE_BUFFER: usize = 32 << 10;
/// Size of a WebSocket frame's header with its mask, in bytes.
const HEADER_BYTES: u64 = 6;

/// Counters of messages and bytes by kind of message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Numbers of messages and bytes sent, by kind.
    pub sent: BTreeMap<&'static str, (u64, u64)>,
    /// Numbers of messages and bytes received, by kind.
    pub received: BTreeMap<&'static str, (u64, u64)>,
    /// Messages of an unknown kind, which a newer version sent.
    pub unknown: u64,
    /// Frames that could not be decoded.
    pub malformed: u64,
    /// Messages dropped because a link's queue was full, or because a pulse would
    /// have waited in it.
    pub dropped: u64,
}

/// Builder of a [`WsMesh`].
pub struct WsMeshBuilder {
    hello: Hello,
    listen: SocketAddr,
    tls: Option<Arc<TlsReloader>>,
    allow_plaintext: bool,
    connections: usize,
    memory: MemoryBudget,
    events: flume::Sender<PeerEvent>,
}

impl WsMeshBuilder {
    /// Allows a non-loopback address without TLS, for networks that only
    /// instances can reach.
    #[must_use]
    pub fn allow_plaintext(mut self) -> Self {
        self.allow_plaintext = true;
        self
    }

    /// Limits the number of incoming connections, by default to 2,048.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Takes the memory for messages that are being received from a budget, by default
    /// one of its own.
    #[must_use]
    pub fn memory(mut self, memory: MemoryBudget) -> Self {
        self.memory = memory;
        self
    }

    /// Requires mutual TLS.
    #[must_use]
    pub fn tls(mut self, reloader: TlsReloader) -> Self {
        self.tls = Some(Arc::new(reloader));
        self
    }

    /// Binds the address and starts the mesh.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TlsRequired`] if the address is not a loopback address
    /// and plaintext is not allowed, or [`Error::Io`] if it cannot be bound.
    pub async fn start(self) -> Result<Arc<WsMesh>> {
        let WsMeshBuilder {
            hello,
            listen,
            tls,
            allow_plaintext,
            connections,
            memory,
            events,
        } = self;
        if tls.is_none() && !allow_plaintext && !listen.ip().is_loopback() {
            return Err(Error::TlsRequired { address: listen });
        }
        let address = listen.to_string();
        let io_context = || crate::IoSnafu {
            step: "listen",
            peer: address.clone(),
        };
        let listener = TcpListener::bind(listen).await.context(io_context())?;
        // Its connections inherit this. Unread bytes in them count as memory of the process.
        let socket = SockRef::from(&listener);
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER)
            .context(io_context())?;
        let local_addr = listener.local_addr().context(io_context())?;
        let mesh = Arc::new(WsMesh {
            dialer: Dialer {
                hello,
                tls,
                events: events.clone(),
            },
            links: Mutex::new(BTreeMap::new()),
            traffic: Mutex::new(Traffic::default()),
            local_addr,
            incoming: AtomicU64::new(0),
            newcomers: Newcomers::default(),
            memory,
            runtime: tokio::runtime::Handle::current(),
        });
        tokio::spawn(accept(mesh.clone(), listener, connections, events));
        Ok(mesh)
    }
}

/// Address of a peer and the queues of the link to it.
type LinkEntry = (SocketAddr, link::Queues);

/// Mesh over WebSocket connections.
pub struct WsMesh {
    dialer: Dialer,
    links: Mutex<BTreeMap<InstanceId, LinkEntry>>,
    traffic: Mutex<Traffic>,
    local_addr: SocketAddr,
    incoming: AtomicU64,
    newcomers: Newcomers,
    memory: MemoryBudget,
    runtime: tokio::runtime::Handle,
}

impl WsMesh {
    /// Returns a builder; `events` receives the events of peers.
    pub fn builder(
        instance: InstanceId,
        incarnation: Incarnation,
        listen: SocketAddr,
        events: flume::Sender<PeerEvent>,
    ) -> WsMeshBuilder {
        WsMeshBuilder {
            hello: Hello {
                protocol: PROTOCOL,
                instance,
                incarnation,
            },
            listen,
            tls: None,
            allow_plaintext: false,
            connections: CONNECTIONS_MAX,
            memory: MemoryBudget::default(),
            events,
        }
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    fn link(&self, to: &InstanceId, address: SocketAddr) -> link::Queues {
        let mut links = self.links.lock().expect("links");
        match links.get(to) {
            Some((known, queues)) if *known == address && !queues.main.is_disconnected() => {
                queues.clone()
            }
            _ => {
                let _guard = self.runtime.enter();
                let queues = link::spawn(self.dialer.clone(), to.clone(), address);
                links.insert(to.clone(), (address, queues.clone()));
                queues
            }
        }
    }

    fn update_traffic(&self, change: impl FnOnce(&mut Traffic)) {
        change(&mut self.traffic.lock().expect("traffic"));
    }
}

impl Mesh for WsMesh {
    fn send(&self, to: &InstanceId, address: SocketAddr, message: &Message) {
        let frame = encode(message);
        let bytes = frame.len() as u64 + HEADER_BYTES;
        let queues = self.link(to, address);
        // Pages of a table hold up no other message.
        let queue = match message {
            Message::TablePage(_) => queues.bulk,
            _ => queues.main,
        };
        // A pulse that waits behind other frames would be outdated on arrival.
        let is_stale = matches!(message, Message::Pulse(_)) && !queue.is_empty();
        let is_sent = !is_stale && queue.try_send(frame).is_ok();
        self.update_traffic(|traffic| {
            if !is_sent {
                traffic.dropped += 1;
                return;
            }
            let totals = traffic.sent.entry(message.kind()).or_default();
            totals.0 += 1;
            totals.1 += bytes;
        });
    }

    fn traffic(&self) -> Traffic {
        self.traffic.lock().expect("traffic").clone()
    }
}

/// Incoming connections that have not greeted, in the order in which they came.
#[derive(Clone, Default)]
struct Newcomers(Arc<Mutex<Waiting>>);

/// Number of the next connection, and what closes each one that is waited for.
type Waiting = (u64, BTreeMap<u64, Arc<Notify>>);

/// Incoming connection until it has greeted.
struct Newcomer {
    newcomers: Newcomers,
    id: u64,
    /// Notified when it is to be closed for another one.
    closed: Arc<Notify>,
}

impl Newcomers {
    fn add(&self) -> Newcomer {
        let closed = Arc::new(Notify::new());
        let mut waiting = self.0.lock().expect("newcomers");
        let id = waiting.0;
        waiting.0 += 1;
        waiting.1.insert(id, closed.clone());
        Newcomer {
            newcomers: self.clone(),
            id,
            closed,
        }
    }

    /// Closes the connection that has not greeted for longest, if there is one.
    fn close_oldest(&self) {
        let oldest = self.0.lock().expect("newcomers").1.pop_first();
        if let Some((_, closed)) = oldest {
            closed.notify_one();
        }
    }
}

impl Drop for Newcomer {
    fn drop(&mut self) {
        let mut waiting = self.newcomers.0.lock().expect("newcomers");
        waiting.1.remove(&self.id);
    }
}

/// Accepts connections forever. At their limit, the oldest one that has not greeted is
/// closed for the new one, which waits where all have.
async fn accept(
    mesh: Arc<WsMesh>,
    listener: TcpListener,
    connections: usize,
    events: flume::Sender<PeerEvent>,
) {
    let permits = Arc::new(Semaphore::new(connections));
    loop {
        let Ok((tcp, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if permits.available_permits() == 0 {
            mesh.newcomers.close_oldest();
        }
        let permit = permits.clone().acquire_owned().await;
        let newcomer = mesh.newcomers.add();
        let mesh = mesh.clone();
        let events = events.clone();
        tokio::spawn(async move {
            mesh.incoming.fetch_add(1, Ordering::Relaxed);
            let closed = newcomer.closed.clone();
            let ended = tokio::select! {
                ended = receive_messages(&mesh, tcp, from, &events, newcomer) => ended,
                () = closed.notified() => Err(no_greeting(&from.to_string())),
            };
            if let Err(e) = ended {
                log::debug!("incoming mesh connection from {from}: {e}");
            }
            mesh.incoming.fetch_sub(1, Ordering::Relaxed);
            drop(permit);
        });
    }
}

async fn receive_messages(
    mesh: &WsMesh,
    tcp: TcpStream,
    from: SocketAddr,
    events: &flume::Sender<PeerEvent>,
    newcomer: Newcomer,
) -> Result<()> {
    let peer = from.to_string();
    let meter = Meter::new(mesh.memory.reservation_for(Purpose::Frames));
    let greeting = receive_greeting(mesh, tcp, &peer, &meter);
    let greeted = tokio::time::timeout(GREETING_TIMEOUT, greeting).await;
    let (mut socket, hello) = greeted.unwrap_or_else(|_| Err(no_greeting(&peer)))?;
    drop(newcomer);
    meter.complete();
    let sender = hello.instance;
    let (mut checks, mut was_partial) = (0, false);
    loop {
        let next = tokio::time::timeout(MESSAGE_CHECK, socket.next()).await;
        let Ok(next) = next else {
            checks += 1;
            if checks >= IDLE_CHECKS || (was_partial && meter.is_partial()) {
                return Ok(());
            }
            was_partial = meter.is_partial();
            continue;
        };
        (checks, was_partial) = (0, false);
        meter.complete();
        let bytes = match next {
            None => return Ok(()),
            Some(Ok(WsMessage::Binary(bytes))) => bytes,
            Some(Ok(_)) => continue,
            Some(Err(e)) => return Err(e).context(ws_context("receive", &peer)),
        };
        match decode(&sender, &bytes) {
            Ok(Frame::Message(message)) => {
                mesh.update_traffic(|traffic| {
                    let totals = traffic.received.entry(message.kind()).or_default();
                    totals.0 += 1;
                    totals.1 += bytes.len() as u64 + HEADER_BYTES;
                });
                let event = PeerEvent::Message {
                    from: sender.clone(),
                    message: *message,
                };
                if events.send_async(event).await.is_err() {
                    return Ok(());
                }
            }
            Ok(Frame::Unknown) => mesh.update_traffic(|traffic| traffic.unknown += 1),
            Err(e) => {
                mesh.update_traffic(|traffic| traffic.malformed += 1);
                return Err(e);
            }
        }
    }
}

async fn receive_greeting(
    mesh: &WsMesh,
    tcp: TcpStream,
    peer: &str,
    meter: &Meter,
) -> Result<(Socket, Hello)> {
    let io_context = |step| crate::IoSnafu {
        step,
        peer: peer.to_owned(),
    };
    tcp.set_nodelay(true).context(io_context("accept"))?;
    let stream: Box<dyn Stream> = match &mesh.dialer.tls {
        None => Box::new(tcp),
        Some(reloader) => {
            let acceptor = tokio_rustls::TlsAcceptor::from(reloader.configs().server);
            Box::new(
                acceptor
                    .accept(tcp)
                    .await
                    .context(io_context("TLS greeting"))?,
            )
        }
    };
    let stream: Box<dyn Stream> = Box::new(Metered {
        stream,
        meter: meter.clone(),
    });
    let mut socket =
        tokio_tungstenite::accept_async_with_config(stream, Some(link::websocket_config()))
            .await
            .context(ws_context("greeting", peer))?;
    match socket.next().await {
        Some(Ok(WsMessage::Binary(bytes))) => Ok((socket, decode_hello(peer, &bytes)?)),
        Some(Err(e)) => Err(e).context(ws_context("greeting", peer)),
        _ => Err(no_greeting(peer)),
    }
}

fn ws_context(step: &'static str, peer: &str) -> crate::WebSocketSnafu<&'static str, String> {
    crate::WebSocketSnafu {
        step,
        peer: peer.to_owned(),
    }
}

fn no_greeting(peer: &str) -> Error {
    Error::Io {
        step: "greeting",
        peer: peer.to_owned(),
        source: std::io::ErrorKind::TimedOut.into(),
    }
}
