//! Outgoing connection to one instance.

use crate::frame::{FRAME_MAX, Hello, encode};
use crate::{Error, PeerEvent, Result, TlsReloader};
use decision::InstanceId;
use futures_util::{SinkExt, StreamExt};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Bytes, Message as WsMessage};

/// Timeout for opening a connection, including TLS and the greeting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval of pings while frames are not yet acknowledged by a pong.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the first unacknowledged frame, without a pong, after which a
/// connection counts as broken.
const PONG_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which a connection is closed, since it costs both ends a task
/// and buffers. It is 25 intervals of the pulses that a connection in use
/// carries.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before dialling again after a failure.
const REDIAL_DELAY: Duration = Duration::from_millis(300);
/// Size of each buffer of a connection in bytes: most frames are under 2 KB,
/// and an instance has few connections that carry larger ones.
const BUFFER_BYTES: usize = 4 << 10;
/// Number of frames that are buffered for a connection; further ones are dropped.
const FRAME_BUFFER: usize = 1_024;
/// Number of frames with parts of tables that are buffered besides: some requests' worth.
const BULK_BUFFER: usize = 64;

/// Byte stream under a WebSocket: plain TCP or TLS.
pub(crate) trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> Stream for T {}

pub(crate) type Socket = WebSocketStream<Box<dyn Stream>>;

/// Shared state of the links, for opening connections.
#[derive(Clone)]
pub(crate) struct Dialer {
    pub(crate) hello: Hello,
    pub(crate) tls: Option<Arc<TlsReloader>>,
    pub(crate) events: flume::Sender<PeerEvent>,
}

/// Queues of a link. Frames of each are sent in order; those of `bulk` wait for the
/// others.
#[derive(Clone)]
pub(crate) struct Queues {
    pub(crate) main: flume::Sender<Vec<u8>>,
    pub(crate) bulk: flume::Sender<Vec<u8>>,
}

/// Receiving ends of [`Queues`].
struct Frames {
    main: flume::Receiver<Vec<u8>>,
    bulk: flume::Receiver<Vec<u8>>,
}

impl Frames {
    /// Returns the next frame; `None` once the queues are dropped.
    async fn next(&self) -> Option<Vec<u8>> {
        tokio::select! {
            biased;
            frame = self.main.recv_async() => frame.ok(),
            frame = self.bulk.recv_async() => frame.ok(),
        }
    }
}

/// Spawns a link and returns its queues.
pub(crate) fn spawn(dialer: Dialer, to: InstanceId, address: SocketAddr) -> Queues {
    let (main, main_frames) = flume::bounded(FRAME_BUFFER);
    let (bulk, bulk_frames) = flume::bounded(BULK_BUFFER);
    let frames = Frames {
        main: main_frames,
        bulk: bulk_frames,
    };
    tokio::spawn(async move { run(&dialer, &to, address, &frames).await });
    Queues { main, bulk }
}

pub(crate) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FRAME_MAX))
        .max_frame_size(Some(FRAME_MAX))
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
}

async fn run(dialer: &Dialer, to: &InstanceId, address: SocketAddr, frames: &Frames) {
    loop {
        // Dial only when there is a frame to send, so that idle links cost nothing.
        let Some(first) = frames.next().await else {
            return;
        };
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, dialer.dial(to, address)).await;
        let result = match connected {
            Ok(Ok(socket)) => send_frames(socket, first, to, frames).await,
            Ok(Err(e)) => Err(e),
            Err(_) => Err(no_response(to)),
        };
        if let Err(e) = result {
            log::debug!("link to {to}: {e}");
            let _ = dialer.events.send(PeerEvent::ConnectionFailed(to.clone()));
            tokio::time::sleep(REDIAL_DELAY).await;
        }
        if frames.main.is_disconnected() {
            return;
        }
    }
}

impl Dialer {
    async fn dial(&self, to: &InstanceId, address: SocketAddr) -> Result<Socket> {
        let peer = to.as_str();
        let tcp = TcpStream::connect(address)
            .await
            .context(io_context("connect", peer))?;
        tcp.set_nodelay(true).context(io_context("connect", peer))?;
        let stream: Box<dyn Stream> = match &self.tls {
            None => Box::new(tcp),
            Some(reloader) => {
                let name = rustls::pki_types::ServerName::try_from(to.to_string())
                    .map_err(|e| std::io::Error::other(e.to_string()))
                    .context(io_context("TLS name", peer))?;
                let connector = tokio_rustls::TlsConnector::from(reloader.configs().client);
                let tls = connector.connect(name, tcp).await;
                Box::new(tls.context(io_context("TLS greeting", peer))?)
            }
        };
        let url = format!("ws://{address}/mesh");
        let (mut socket, _) =
            tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config()))
                .await
                .context(ws_context("greeting", peer))?;
        let hello = WsMessage::Binary(encode(&self.hello).into());
        socket
            .send(hello)
            .await
            .context(ws_context("greeting", peer))?;
        Ok(socket)
    }
}

/// Sends frames until the connection is idle, fails or does not respond to pings.
async fn send_frames(
    mut socket: Socket,
    first: Vec<u8>,
    to: &InstanceId,
    frames: &Frames,
) -> Result<()> {
    let peer = to.as_str();
    let send_context = || ws_context("send", peer);
    socket
        .send(WsMessage::Binary(first.into()))
        .await
        .context(send_context())?;
    let mut last_used = Instant::now();
    let mut unacknowledged_since = Some(Instant::now());
    let mut ping = tokio::time::interval(PING_INTERVAL);
    loop {
        tokio::select! {
            frame = frames.next() => {
                let Some(frame) = frame else { return Ok(()) };
                last_used = Instant::now();
                unacknowledged_since.get_or_insert(last_used);
                socket.send(WsMessage::Binary(frame.into())).await.context(send_context())?;
            }
            received = socket.next() => match received {
                Some(Ok(WsMessage::Pong(_))) => unacknowledged_since = None,
                Some(Ok(_)) => {}
                Some(Err(e)) => return Err(e).context(ws_context("receive", peer)),
                None => return Err(no_response(to)),
            },
            _ = ping.tick() => {
                match unacknowledged_since {
                    Some(since) if since.elapsed() >= PONG_TIMEOUT => return Err(no_response(to)),
                    Some(_) => socket.send(WsMessage::Ping(Bytes::new())).await.context(send_context())?,
                    None if last_used.elapsed() >= IDLE_TIMEOUT => return Ok(()),
                    None => {}
                }
            }
        }
    }
}

fn io_context(step: &'static str, peer: &str) -> crate::IoSnafu<&'static str, String> {
    crate::IoSnafu {
        step,
        peer: peer.to_owned(),
    }
}

fn ws_context(step: &'static str, peer: &str) -> crate::WebSocketSnafu<&'static str, String> {
    crate::WebSocketSnafu {
        step,
        peer: peer.to_owned(),
    }
}

fn no_response(to: &InstanceId) -> Error {
    Error::Io {
        step: "wait for a pong",
        peer: to.to_string(),
        source: std::io::ErrorKind::TimedOut.into(),
    }
}
