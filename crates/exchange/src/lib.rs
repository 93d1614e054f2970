//! One HTTP/1.1 exchange over a connection of its own.
//!
//! Targets and the platform's store are called this way: dropping the exchange
//! closes its connection, which cancels the call, and a connection that has
//! gone silent holds up one call and no more.

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Result with this package's [`Failure`].
pub type Result<T> = std::result::Result<T, Failure>;

/// Where an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    Unsent {
        /// Whether no connection could be opened.
        refused: bool,
        /// What went wrong.
        message: String,
    },
    /// The request may have been received.
    Lost(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unsent { message, .. } => write!(f, "not sent: {message}"),
            Failure::Lost(message) => write!(f, "lost: {message}"),
        }
    }
}

impl std::error::Error for Failure {}

fn unsent(refused: bool, message: &dyn fmt::Display) -> Failure {
    Failure::Unsent {
        refused,
        message: message.to_string(),
    }
}

/// Opens a connection within `limit`.
///
/// # Errors
///
/// Fails with [`Failure::Unsent`] where none can be opened.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Sender> {
    let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
    let tcp = match connecting.await {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(e)) => return Err(unsent(true, &e)),
        Err(_) => return Err(unsent(true, &"no connection in time")),
    };
    tcp.set_nodelay(true).map_err(|e| unsent(false, &e))?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(tcp));
    let (sender, connection) = handshake.await.map_err(|e| unsent(false, &e))?;
    Ok(Sender { sender, connection })
}

/// An open connection before its one request.
pub struct Sender {
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

impl Sender {
    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Lost`] where no head comes.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Driver)> {
        let connection = self.connection;
        let driver = Driver(tokio::spawn(async move {
            // A connection that ends early shows at the request or its body.
            let _ = connection.await;
        }));
        let answer = self.sender.send_request(request).await;
        let answer = answer.map_err(|e| Failure::Lost(e.to_string()))?;
        Ok((answer, driver))
    }
}

/// Reads a whole body of at most `most` bytes.
///
/// # Errors
///
/// Fails where the body ends early or is larger.
pub async fn collect(body: Incoming, most: usize) -> Result<Bytes> {
    let collected = Limited::new(body, most).collect().await;
    let collected = collected.map_err(|e| Failure::Lost(e.to_string()))?;
    Ok(collected.to_bytes())
}

/// Value of a header as text, or an empty string.
pub fn header<'a>(answer: &'a Response<Incoming>, name: &str) -> &'a str {
    let value = answer.headers().get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or_default()
}
