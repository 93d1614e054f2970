//! One HTTP/1.1 exchange over a connection of its own.
//!
//! Targets and the platform's store are called this way: dropping the exchange
//! closes its connection, which cancels the call, and a connection that has
//! gone silent holds up one call and no more.

mod memory;

pub use memory::{MemoryBudget, Reservation};

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;

/// Most bytes of the head of an answer.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most interim answers before the final one.
const MAX_INTERIM: u32 = 16;
/// Bytes that a connection may hold before they are read.
const RECEIVE_BUFFER: u32 = 64 << 10;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Where an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No byte of the request was sent.
    NotSent {
        /// Whether no connection could be opened.
        connect_failed: bool,
        /// What went wrong.
        message: String,
    },
    /// The request may have been received.
    Lost(String),
    /// The request was received, and its answer is larger than may be held.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent { message, .. } => write!(f, "not sent: {message}"),
            Error::Lost(message) => write!(f, "lost: {message}"),
            Error::TooLarge => f.write_str("the answer is too large"),
        }
    }
}

impl std::error::Error for Error {}

fn not_sent(connect_failed: bool, message: &dyn fmt::Display) -> Error {
    Error::NotSent {
        connect_failed,
        message: message.to_string(),
    }
}

/// Opens a connection within `limit`.
///
/// # Errors
///
/// Fails with [`Error::NotSent`] where none can be opened.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection> {
    let tcp = match tokio::time::timeout(timeout, open_tcp(address)).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => return Err(not_sent(true, &e)),
        Err(_) => return Err(not_sent(true, &"no connection in time")),
    };
    tcp.set_nodelay(true).map_err(|e| not_sent(false, &e))?;
    let handshake = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(tcp));
    let (sender, connection) = handshake.await.map_err(|e| not_sent(false, &e))?;
    Ok(Connection { sender, connection })
}

/// Opens a connection whose unread bytes are bounded: they count as memory of
/// the process.
async fn open_tcp(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.connect(address).await
}

/// An open connection before its one request.
pub struct Connection {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    connection: hyper::client::conn::http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
}

/// Drives a connection; dropping it closes the connection.
#[derive(Debug)]
pub struct Driver(tokio::task::JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Lost`] where no head comes.
    pub async fn send(
        mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Driver)> {
        let exceeded = watch_interim(&mut request);
        let connection = self.connection;
        let driver = Driver(tokio::spawn(async move {
            // A connection that ends early shows at the request or its body.
            let _ = connection.await;
        }));
        let response = tokio::select! {
            response = self.sender.send_request(request) => response,
            () = exceeded.notified() => {
                return Err(Error::Lost("too many interim answers".to_owned()));
            }
        };
        let response = response.map_err(|e| Error::Lost(e.to_string()))?;
        Ok((response, driver))
    }
}

/// Counts the interim answers to a request; the result is notified of the one
/// over the limit.
fn watch_interim(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let exceeded = Arc::new(Notify::new());
    let (count, exceeded_signal) = (AtomicU32::new(0), exceeded.clone());
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM {
            exceeded_signal.notify_one();
        }
    });
    exceeded
}

/// Reads a whole body of at most `most` bytes.
///
/// # Errors
///
/// Fails where the body ends early or is larger.
pub async fn collect(body: Incoming, max_bytes: usize) -> Result<Bytes> {
    collect_with(body, max_bytes, |_| true)
        .await
        .map(Bytes::from)
}

/// Reads a whole body of at most `most` bytes, which counts towards `share`
/// until the last of the result is dropped.
///
/// # Errors
///
/// Fails where the body ends early or is larger than may be held.
pub async fn collect_reserved(
    body: Incoming,
    max_bytes: usize,
    mut reservation: Reservation,
) -> Result<Bytes> {
    let bytes = collect_with(body, max_bytes, |size| reservation.try_resize(size)).await?;
    Ok(Bytes::from_owner(ReservedBytes {
        bytes,
        _reservation: reservation,
    }))
}

/// A body and the memory that it takes.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body for as long as `may_hold` allows its buffer's size.
async fn collect_with(
    mut body: Incoming,
    max_bytes: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Error::Lost(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(Error::TooLarge);
        }
        if length > bytes.capacity() {
            let capacity = length.next_power_of_two().min(max_bytes);
            if !reserve(capacity) {
                return Err(Error::TooLarge);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

/// Value of a header as text, or an empty string.
pub fn header_or_empty<'a>(response: &'a Response<Incoming>, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}
