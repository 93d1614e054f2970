//! HTTP/1.1 client with one request at a time on a connection.
//!
//! Targets and the platform's store are called this way: closing the connection
//! cancels the request at the server, and a connection that stalls delays no
//! other request. A connection can be kept between requests as an
//! [`IdleConnection`], which has neither a task nor a buffer.

mod idle;
mod memory;

pub use idle::{IdleConnection, IdleState};
pub use memory::{Holder, MemoryBudget, Purpose, Reservation, Share};

use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;

/// Limit on the bytes of a response head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Limit on the interim (1xx) responses that precede the final one.
const MAX_INTERIM: u32 = 16;
/// Size in bytes of a socket's receive buffer, which holds data until it is read.
const RECEIVE_BUFFER: u32 = 64 << 10;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why a request got no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No byte of the request was sent.
    NotSent {
        /// Whether the TCP connection failed or timed out.
        connect_failed: bool,
        /// Cause.
        message: String,
    },
    /// The connection or the response failed after sending began: the server may
    /// have received the request and run it.
    Lost(String),
    /// The server received the request, but its response exceeds a size limit.
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

/// Opens a connection for one request within `timeout`.
///
/// # Errors
///
/// Fails with [`Error::NotSent`] if no connection can be opened.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection> {
    let tcp = match tokio::time::timeout(timeout, open_tcp(address)).await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => return Err(not_sent(true, &e)),
        Err(_) => return Err(not_sent(true, &"no connection in time")),
    };
    tcp.set_nodelay(true).map_err(|e| not_sent(false, &e))?;
    begin(tcp).await
}

/// Prepares an open TCP connection for one request.
async fn begin(tcp: TcpStream) -> Result<Connection> {
    let handshake = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(tcp));
    let (sender, connection) = handshake.await.map_err(|e| not_sent(false, &e))?;
    let driver = Driver(tokio::spawn(async move {
        // If the connection fails, so does the request or the read of its body.
        let parts = connection.without_shutdown().await.ok()?;
        parts.read_buf.is_empty().then(|| parts.io.into_inner())
    }));
    Ok(Connection {
        sender,
        driver,
        has_interim: false,
    })
}

/// Opens a TCP connection with a small receive buffer, because unread data in
/// it counts as memory of this process.
async fn open_tcp(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.connect(address).await
}

/// Open connection that can send one request.
pub struct Connection {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    /// Whether the response was preceded by an interim one.
    has_interim: bool,
}

/// Task that performs a connection's I/O; dropping it closes the connection.
///
/// It returns the socket if no byte follows the response.
#[derive(Debug)]
pub struct Driver(tokio::task::JoinHandle<Option<TcpStream>>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Sends the request and waits for the head of the response.
    ///
    /// The body can be read for as long as the returned [`Driver`] is kept.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Lost`] if the connection ends before the head or the
    /// server sends too many interim responses.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Driver)> {
        let response = self.request(request).await?;
        Ok((response, self.driver))
    }

    /// Sends the one request of this connection and waits for the head of the
    /// response, whose body can be read for as long as the connection is kept.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NotSent`] if the connection had ended before, and as
    /// [`Connection::send`] does.
    pub async fn request(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        let interim = watch_interim(&mut request);
        let response = tokio::select! {
            response = self.sender.try_send_request(request) => response,
            () = interim.exceeded.notified() => {
                return Err(Error::Lost("too many interim answers".to_owned()));
            }
        };
        self.has_interim = interim.count.load(Ordering::Relaxed) > 0;
        response.map_err(|mut e| match e.take_message() {
            Some(_) => not_sent(false, e.error()),
            None => Error::Lost(e.error().to_string()),
        })
    }

    /// Ends the exchange and returns the connection for another request, once the
    /// response has been read to its end. `None` if it can't serve one: bytes of the
    /// request are unsent or others follow the response, or the server closes it.
    pub async fn into_idle(self) -> Option<IdleConnection> {
        if self.has_interim || !self.sender.is_ready() {
            return None;
        }
        let Connection {
            sender, mut driver, ..
        } = self;
        drop(sender);
        let tcp = (&mut driver.0).await.ok().flatten()?;
        Some(IdleConnection::new(tcp))
    }
}

/// Interim responses to one request.
#[derive(Debug, Default)]
struct Interim {
    count: AtomicU32,
    /// Notified when they exceed [`MAX_INTERIM`].
    exceeded: Notify,
}

/// Counts the interim responses to a request.
fn watch_interim(request: &mut Request<Full<Bytes>>) -> Arc<Interim> {
    let interim = Arc::new(Interim::default());
    let counted = interim.clone();
    hyper::ext::on_informational(request, move |_| {
        if counted.count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM {
            counted.exceeded.notify_one();
        }
    });
    interim
}

/// Reads a complete body of up to `max_bytes`.
///
/// # Errors
///
/// Fails with [`Error::Lost`] if the body ends early, and with
/// [`Error::TooLarge`] if it is larger.
pub async fn collect(body: Incoming, max_bytes: usize) -> Result<Bytes> {
    let bytes = collect_counted(body, max_bytes, |_| ()).await?;
    Ok(bytes.into())
}

/// Least rate at which a body has to arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeastRate {
    /// Time in which `bytes` have to arrive, or the end of the body.
    pub period: Duration,
    /// Bytes of each period.
    pub bytes: usize,
}

/// Reads a complete body of up to `max_bytes` for as long as it arrives at a least rate.
///
/// # Errors
///
/// Fails with [`Error::Lost`] if the body ends early or arrives too slowly, and with
/// [`Error::TooLarge`] if it is larger.
pub async fn collect_at_rate(body: Incoming, max_bytes: usize, rate: LeastRate) -> Result<Bytes> {
    let arrived = Cell::new(0);
    let collect = collect_counted(body, max_bytes, |bytes| arrived.set(bytes));
    let mut collect = std::pin::pin!(collect);
    loop {
        let before = arrived.get();
        match tokio::time::timeout(rate.period, collect.as_mut()).await {
            Ok(body) => return body.map(Bytes::from),
            Err(_) if arrived.get() - before < rate.bytes => {
                return Err(Error::Lost("the answer comes too slowly".to_owned()));
            }
            Err(_) => {}
        }
    }
}

/// Reads a complete body of up to `max_bytes` whose buffer counts towards
/// `reservation` until the last clone of the result is dropped.
///
/// # Errors
///
/// Fails with [`Error::Lost`] if the body ends early, and with
/// [`Error::TooLarge`] if it is larger or the reservation can't grow.
pub async fn collect_reserved(
    mut body: Incoming,
    max_bytes: usize,
    reservation: Reservation,
) -> Result<Bytes> {
    let mut buffer = ReservedBuffer::new(reservation, max_bytes);
    while let Some(data) = next_data(&mut body).await? {
        let capacity = buffer.capacity_for(data.len()).ok_or(Error::TooLarge)?;
        if !buffer.reservation.try_resize(capacity) {
            return Err(Error::TooLarge);
        }
        buffer.push(&data);
    }
    Ok(buffer.into_bytes())
}

/// Reads a complete body; `progress` gets the number of bytes so far.
async fn collect_counted(
    mut body: Incoming,
    max_bytes: usize,
    progress: impl Fn(usize),
) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Error::TooLarge);
    }
    while let Some(data) = next_data(&mut body).await? {
        if bytes.len() + data.len() > max_bytes {
            return Err(Error::TooLarge);
        }
        bytes.extend_from_slice(&data);
        progress(bytes.len());
    }
    Ok(bytes)
}

/// Reads the next bytes of a body; `None` at its end.
///
/// # Errors
///
/// Fails with [`Error::Lost`] if the body ends early.
pub async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| Error::Lost(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Buffer of a body whose capacity counts towards a reservation.
///
/// The pieces of a body are copied into it: each of them would hold the whole buffer
/// in which it was received.
#[derive(Debug)]
pub struct ReservedBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    /// Memory of the buffer, to be resized before [`ReservedBuffer::push`].
    pub reservation: Reservation,
}

impl ReservedBuffer {
    /// Creates an empty buffer of up to `max_bytes`.
    pub fn new(reservation: Reservation, max_bytes: usize) -> Self {
        ReservedBuffer {
            bytes: Vec::new(),
            max_bytes,
            reservation,
        }
    }

    /// Returns the capacity that is needed for `count` more bytes; `None` if they exceed
    /// the maximum.
    pub fn capacity_for(&self, count: usize) -> Option<usize> {
        let length = self.bytes.len() + count;
        if length > self.max_bytes {
            return None;
        }
        let grown = length.next_power_of_two().min(self.max_bytes);
        let fits = length <= self.bytes.capacity();
        Some(if fits { self.bytes.capacity() } else { grown })
    }

    /// Appends bytes.
    pub fn push(&mut self, data: &[u8]) {
        if let Some(capacity) = self.capacity_for(data.len()) {
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
    }

    /// Returns the bytes, which count until the last clone is dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ReservedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the value of a header, or an empty string if it is missing or not
/// text.
pub fn header_or_empty<'a>(response: &'a Response<Incoming>, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}
